"""A voter's folder, opened without blocking the event loop."""

import asyncio
import threading
from pathlib import Path

import pytest

from gateusher.base.clock import BootClock
from gateusher.config.duties import Duties
from gateusher.duties.voter_host import VoterHost
from gateusher.storage.log import Log, Recovered

from ..net import run


def test_a_voter_that_is_stopped_while_its_folder_is_read_unlocks_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    is_reading, may_continue = threading.Event(), threading.Event()
    open_log = Log.open

    def open_slowly(log: Log) -> Recovered:
        recovered = open_log(log)
        is_reading.set()
        may_continue.wait()
        return recovered

    monkeypatch.setattr(Log, "open", open_slowly)

    async def test() -> None:
        host = VoterHost(Duties("a", ("a",), folder=str(tmp_path)), BootClock(), lambda actions: None)
        host.open()
        while not is_reading.is_set():
            await asyncio.sleep(0.001)
        host.close()  # as when a successor takes over
        may_continue.set()
        host.open()  # as when the successor is lost
        async with asyncio.timeout(5.0):
            while host.voter is None:
                await asyncio.sleep(0.01)
        host.close()

    run(test())
