"""A load that a daemon plays through its own engine: its end, with requests of one client that wait."""

import asyncio
from pathlib import Path
from typing import Any

from gateusher.base.limits import MemoryBudget
from gateusher.config.file import Load
from gateusher.core.engine import ClientRequest, FinalOutcome, FinalResponse
from gateusher.load.runner import LoadRunner
from gateusher.load.wire import Outcome

from ..net import run
from .target import FORM, RULES

COUNT = 1500


class Engine:
    """An engine whose requests are answered by the test."""

    def __init__(self) -> None:
        self.submitted: list[ClientRequest] = []

    def submit(self, request: ClientRequest, timeout_ms: float) -> None:
        self.submitted.append(request)


def test_a_load_that_closes_ends_however_many_requests_of_a_client_wait(tmp_path: Path) -> None:
    async def test() -> None:
        (tmp_path / "a.log").write_text('1700000000.000 10.0.0.1 "GET /pallets/1 HTTP/1.1" 200\n' * COUNT)
        (tmp_path / "replay.toml").write_text(RULES)
        load = Load([str(tmp_path / "a.log")], str(tmp_path / "replay.toml"), rate=1e6, most_open=COUNT, format=FORM)
        engine: Any = Engine()
        classes = {b"look": 0, b"issue": 1, b"book": 2}
        runner = LoadRunner(load, engine, MemoryBudget(1 << 20), classes, lambda: 1)
        runner.start()
        while runner.open < COUNT:
            await asyncio.sleep(0.01)
        assert len(engine.submitted) == 64  # connections of a client
        runner.close()
        for request in engine.submitted:
            request.client.on_final_response(request, FinalResponse(FinalOutcome.SERVED, None))
        assert runner.open == 0
        (counts,) = [counts for counts in runner.recorder.outcomes if counts]
        assert counts == {Outcome.SERVED: 64, Outcome.STOPPED: COUNT - 64}

    run(test())
