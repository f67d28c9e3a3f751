"""A load that a daemon plays through its own engine: its end, with requests of one client that wait."""

import asyncio
from pathlib import Path
from typing import Any

from gateusher.base.limits import MemoryBudget
from gateusher.config.classes import RequestClass, RequestClassTable
from gateusher.config.file import Load
from gateusher.core.engine import ClientRequest, FinalOutcome, FinalResponse
from gateusher.load.runner import LoadRunner
from gateusher.load.wire import Outcome
from gateusher.policy.interface import ClassSettings, Effect

from ..net import run
from .target import FORM, RULES

COUNT = 1500
CONNECTIONS = 64  # of a client
LOG_LINE = '1700000000.000 10.0.0.1 "GET /pallets/1 HTTP/1.1" 200\n'


class Engine:
    """An engine whose requests are answered by the test."""

    def __init__(self) -> None:
        self.submitted: list[ClientRequest] = []

    def submit(self, request: ClientRequest, timeout_ms: float) -> None:
        self.submitted.append(request)


def make_table() -> RequestClassTable:
    return RequestClassTable([make_class(name) for name in (b"look", b"issue", b"book")])


def make_class(name: bytes, priority_weight: float = 1.0) -> RequestClass:
    return RequestClass(name, ClassSettings(Effect.IDEMPOTENT, 500.0, 2000.0, priority_weight), frozenset({b"GET"}))


def test_a_load_goes_by_the_classes_of_the_latest_reload(tmp_path: Path) -> None:
    """Guards against class indexes of the start, which a reload may give to another class."""

    async def test() -> None:
        (tmp_path / "a.log").write_text(LOG_LINE * (CONNECTIONS + 1))
        (tmp_path / "replay.toml").write_text(RULES)
        load = Load([str(tmp_path / "a.log")], str(tmp_path / "replay.toml"), rate=1e6, most_open=COUNT, format=FORM)
        engine, table = Engine(), make_table()
        any_engine: Any = engine
        runner = LoadRunner(load, any_engine, MemoryBudget(1 << 20), table, lambda: 1)
        runner.start()
        while runner.open <= CONNECTIONS:
            await asyncio.sleep(0.01)
        assert {request.class_index for request in engine.submitted} == {0}
        table.change([make_class(b"look", 2.0), make_class(b"issue"), make_class(b"book")], ())
        first = engine.submitted[0]
        first.client.on_final_response(first, FinalResponse(FinalOutcome.SERVED, None))
        assert len(engine.submitted) == CONNECTIONS + 1
        assert engine.submitted[-1].class_index == table.current[b"look"] != 0
        runner.close()
        for request in engine.submitted[1:]:
            request.client.on_final_response(request, FinalResponse(FinalOutcome.SERVED, None))

    run(test())


def test_a_load_that_closes_ends_however_many_requests_of_a_client_wait(tmp_path: Path) -> None:
    async def test() -> None:
        (tmp_path / "a.log").write_text(LOG_LINE * COUNT)
        (tmp_path / "replay.toml").write_text(RULES)
        load = Load([str(tmp_path / "a.log")], str(tmp_path / "replay.toml"), rate=1e6, most_open=COUNT, format=FORM)
        engine: Any = Engine()
        runner = LoadRunner(load, engine, MemoryBudget(1 << 20), make_table(), lambda: 1)
        runner.start()
        while runner.open < COUNT:
            await asyncio.sleep(0.01)
        assert len(engine.submitted) == CONNECTIONS
        runner.close()
        for request in engine.submitted:
            request.client.on_final_response(request, FinalResponse(FinalOutcome.SERVED, None))
        assert runner.open == 0
        (counts,) = [counts for counts in runner.recorder.outcomes if counts]
        assert counts == {Outcome.SERVED: CONNECTIONS, Outcome.STOPPED: COUNT - CONNECTIONS}

    run(test())
