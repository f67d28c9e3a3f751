"""A real process while what it stands on fails: its log, its signals, its system calls, its time to run."""

import asyncio
import fcntl
import os
import signal
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

import pytest

from gateusher.standins.nodes import Fleet, Node
from gateusher.standins.wire import Catalog
from rig.soak.faults import FaultPage, build

from ..helpers import until
from ..net import Discovery, Endpoint, host, look, read_message
from ..test_sockets import run, status
from .process import daemon, up


@pytest.fixture
def page(tmp_path: Path) -> Iterator[FaultPage]:
    library = build(tmp_path)
    if library is None:
        pytest.skip("no C compiler: system calls of a real process can't be made to fail")
    made = FaultPage(library, tmp_path / "page", seed=1)
    yield made
    made.close()


# -- the log


async def _serves_though_nobody_reads_its_log(folder: Path) -> None:
    endpoint = Endpoint()
    await endpoint.start()
    discovery = Discovery([host("e0", endpoint.port)])
    await discovery.start()
    reads, writes = os.pipe()
    os.set_blocking(writes, False)
    with suppress(BlockingIOError):
        while True:
            os.write(writes, b"\n" * fcntl.fcntl(writes, fcntl.F_GETPIPE_SZ))
    with suppress(BlockingIOError):
        while True:
            os.write(writes, b"\n")
    os.set_blocking(writes, True)
    try:
        async with daemon(folder, discovery.hosts, discovery.port, stderr=writes) as d:
            await up(d.process, d.where)
            await d.named("a")
            discovery.resets = True
            discovery.cut()   # which is logged, and so is each call that fails after it
            for _ in range(3):
                discovery.called.clear()
                await discovery.called.wait()
            await d.named("b")
    finally:
        os.close(reads)
        os.close(writes)
    for server in (endpoint.server, discovery.server):
        server.close()


def test_a_log_that_nobody_reads_stops_nothing(tmp_path: Path) -> None:
    """The pipe of the log is full and stays so, as behind a collector that hangs."""
    run(_serves_though_nobody_reads_its_log(tmp_path))


# -- signals in the start


async def _starts_under_reloads(folder: Path) -> None:
    endpoint = Endpoint()
    await endpoint.start()
    discovery = Discovery([host("e0", endpoint.port)])
    await discovery.start()
    async with daemon(folder, discovery.hosts, discovery.port) as d:
        command = Path(f"/proc/{d.process.pid}/cmdline")
        await until(lambda: b"gateusher" in command.read_bytes() and not command.read_bytes().startswith(b"sh\0"))
        starting = asyncio.ensure_future(up(d.process, d.where))
        while not starting.done():
            with suppress(ProcessLookupError):
                d.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0)
        await starting
        await d.named("a")
    for server in (endpoint.server, discovery.server):
        server.close()


def test_reloads_from_the_first_moment_on_do_not_end_the_start(tmp_path: Path) -> None:
    run(_starts_under_reloads(tmp_path))


# -- a process that stood still



async def _drained_while_it_stood_still(folder: Path) -> None:
    fleet = Fleet()
    old, new = Node(fleet, "old"), Node(fleet, "new")
    catalog = Catalog()
    for part in (old, new, catalog):
        await part.start()
    catalog.tell(old.entry())
    async with daemon(folder, [old.entry()], catalog.port) as d:
        await up(d.process, d.where)
        await catalog.watched.wait()
        lines = [await asyncio.open_connection(*d.where) for _ in range(20)]
        for number, (reader, writer) in enumerate(lines):   # kept connections, whose requests need no accept
            writer.write(look(f"before-{number}"))
            assert status((await read_message(reader))[0]) == 200
        d.process.send_signal(signal.SIGSTOP)
        for number, (_, writer) in enumerate(lines):
            writer.write(look(f"after-{number}"))
        catalog.tell(new.entry())
        catalog.tell(old.entry("Terminating"))
        came = fleet.by_node["old"]
        await asyncio.sleep(0.3)    # the pause; the verdict does not hang on its length
        d.process.send_signal(signal.SIGCONT)
        for reader, writer in lines:
            assert status((await read_message(reader))[0]) == 200
            writer.close()
        assert fleet.by_node["old"] == came
    for part in (old, new, catalog):
        part.close()


def test_what_waited_beside_the_news_of_a_drain_goes_by_that_news(tmp_path: Path) -> None:
    """A stopped process finds requests and a drain unread: whichever it reads first, none goes to what drains."""
    run(_drained_while_it_stood_still(tmp_path))
