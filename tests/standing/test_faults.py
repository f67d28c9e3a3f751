"""A real process while what it stands on fails: its log, its signals, its system calls, its time to run."""

import asyncio
import fcntl
import json
import os
import signal
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import pytest

from gateusher.listeners.server import STOP_LISTENING_AFTER_S
from gateusher.standins.nodes import Fleet, Node
from gateusher.standins.wire import DiscoveryServer
from rig.soak.faults import ALL, FaultPage, SystemCall, build

from ..helpers import HANG_TIMEOUT_S, wait_until
from ..net import Discovery, Endpoint, host_entry, idempotent_request, read_message, run, status
from .process import Process, daemon, up


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
    discovery = Discovery([host_entry("e0", endpoint.port)])
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
            discovery.resets_connections = True
            discovery.reset_connections()  # which is logged, and so is each call that fails after it
            for _ in range(3):
                discovery.connected.clear()
                await discovery.connected.wait()
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
    discovery = Discovery([host_entry("e0", endpoint.port)])
    await discovery.start()
    async with daemon(folder, discovery.hosts, discovery.port) as d:
        command = Path(f"/proc/{d.process.pid}/cmdline")
        await wait_until(
            lambda: b"gateusher" in command.read_bytes() and not command.read_bytes().startswith(b"sh\0")
        )
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
    catalog = DiscoveryServer()
    for part in (old, new, catalog):
        await part.start()
    catalog.update(old.list_entry())
    async with daemon(folder, [old.list_entry()], catalog.port) as d:
        await up(d.process, d.where)
        await catalog.has_watch.wait()
        lines = [await asyncio.open_connection(*d.where) for _ in range(20)]
        for number, (reader, writer) in enumerate(lines):  # kept connections, whose requests need no accept
            writer.write(idempotent_request(f"before-{number}"))
            assert status((await read_message(reader))[0]) == 200
        d.process.send_signal(signal.SIGSTOP)
        for number, (_, writer) in enumerate(lines):
            writer.write(idempotent_request(f"after-{number}"))
        catalog.update(new.list_entry())
        catalog.update(old.list_entry("Terminating"))
        came = fleet.requests_by_node["old"]
        await asyncio.sleep(0.3)  # the pause; the verdict does not hang on its length
        d.process.send_signal(signal.SIGCONT)
        for reader, writer in lines:
            assert status((await read_message(reader))[0]) == 200
            writer.close()
        assert fleet.requests_by_node["old"] == came
    for part in (old, new, catalog):
        part.close()


def test_what_waited_beside_the_news_of_a_drain_goes_by_that_news(tmp_path: Path) -> None:
    """A stopped process finds requests and a drain unread: whichever it reads first, none goes to what drains."""
    run(_drained_while_it_stood_still(tmp_path))


# -- the accept queue

Line = tuple[asyncio.StreamReader, asyncio.StreamWriter]
SHORT_LANES = [{"name": "look", "effect": "idempotent", "objective_ms": 300, "give_up_ms": 400, "worth": 1}]


async def _sent(d: Process, count: int, deadline: str) -> list[Line]:
    """Requests on connections of their own, written and not yet answered."""
    lines = [await asyncio.open_connection(*d.where) for _ in range(count)]
    for number, (_, writer) in enumerate(lines):
        writer.write(idempotent_request(f"queued-{number}", deadline))
    return lines


async def _answers(lines: list[Line]) -> list[int]:
    """The status on each connection; none may end without one."""
    found = []
    for reader, writer in lines:
        found.append(status((await read_message(reader))[0]))
        writer.close()
    return found


def _told(heads: list[bytes]) -> list[float]:
    """The time that each head tells its endpoint, in seconds."""
    return [float(head.lower().split(b"x-deadline: ")[1].split(b"\r\n")[0]) for head in heads]


async def _health(d: Process) -> int:
    reader, writer = await asyncio.open_connection(*d.where)
    writer.write(b"GET /_health HTTP/1.1\r\nHost: o\r\n\r\n")
    head, _ = await read_message(reader)
    writer.close()
    return status(head)


@asynccontextmanager
async def served(folder: Path, page: FaultPage, lanes: object = None) -> AsyncIterator[tuple[Process, Endpoint]]:
    """A daemon whose system calls can be made to fail, with one endpoint and discovery."""
    endpoint = Endpoint()
    await endpoint.start()
    discovery = Discovery([host_entry("e0", endpoint.port)])
    await discovery.start()
    more = {"lanes": lanes} if lanes else {}
    async with daemon(folder, discovery.hosts, discovery.port, env=page.environment, settings=more) as d:
        await up(d.process, d.where)
        await discovery.has_watch.wait()
        yield d, endpoint
    for server in (endpoint.server, discovery.server):
        server.close()


def test_at_the_planned_end_the_accept_queue_is_served_though_accept_fails(page: FaultPage, tmp_path: Path) -> None:
    """Accept fails from before SIGTERM until after the moment at which nobody new is waited for."""

    async def story() -> None:
        async with served(tmp_path, page) as (d, _):
            page.set(SystemCall.ACCEPT, ALL)
            lines = await _sent(d, 8, "1.9")
            d.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(STOP_LISTENING_AFTER_S + 0.3)
            page.clear()
            assert set(await _answers(lines)) <= {200, 503, 504}
            assert await d.process.wait() == 0

    run(story())


def test_who_waits_in_the_queue_of_a_process_stopped_over_its_whole_end_is_answered(
    page: FaultPage, tmp_path: Path
) -> None:
    async def story() -> None:
        async with served(tmp_path, page, SHORT_LANES) as (d, _):
            d.process.send_signal(signal.SIGTERM)
            while await _health(d) == 200:
                pass
            d.process.send_signal(signal.SIGSTOP)
            lines = await _sent(d, 8, "0.3")
            await asyncio.sleep(1.2)  # the end is 0.8 s long and gives up 0.2 s after it
            d.process.send_signal(signal.SIGCONT)
            assert set(await _answers(lines)) <= {503, 504}
            assert await d.process.wait() == 0

    run(story())


def test_time_in_the_accept_queue_is_taken_off_the_deadline(page: FaultPage, tmp_path: Path) -> None:
    """The request is 0.4 s old when accept works again: of its 0.6 s at most 0.2 are left, and 0.15 are slack."""

    async def story() -> None:
        async with served(tmp_path, page) as (d, endpoint):
            page.set(SystemCall.ACCEPT, ALL)
            lines = await _sent(d, 4, "0.6")
            await asyncio.sleep(0.4)
            page.clear()
            await _answers(lines)
            told = _told(endpoint.request_heads)
            assert all(seconds <= 0.6 - 0.4 + 0.15 for seconds in told), told

    run(story())


def test_time_that_the_process_stood_still_is_taken_off_the_deadline(page: FaultPage, tmp_path: Path) -> None:
    """On kept connections, whose requests need no accept."""

    async def story() -> None:
        async with served(tmp_path, page) as (d, endpoint):
            lines = await _sent(d, 4, "5.0")
            for reader, _ in lines:
                assert status((await read_message(reader))[0]) == 200
            before = len(endpoint.request_heads)
            d.process.send_signal(signal.SIGSTOP)
            for number, (_, writer) in enumerate(lines):
                writer.write(idempotent_request(f"late-{number}", "0.6"))
            await asyncio.sleep(0.4)
            d.process.send_signal(signal.SIGCONT)
            await _answers(lines)
            told = _told(endpoint.request_heads[before:])
            assert all(seconds <= 0.6 - 0.4 + 0.15 for seconds in told), told

    run(story())


# -- system calls that fail for a moment


def test_a_call_that_fails_in_the_start_only_delays_it(page: FaultPage, tmp_path: Path) -> None:
    """Descriptors or memory are short as it opens its address or reads its configuration."""

    async def story(call: SystemCall) -> None:
        endpoint = Endpoint()
        await endpoint.start()
        discovery = Discovery([host_entry("e0", endpoint.port)])
        await discovery.start()
        page.set(call, ALL)
        async with daemon(tmp_path, discovery.hosts, discovery.port, env=page.environment) as d:
            await d.says(b"again soon")
            page.clear()
            await up(d.process, d.where)
            await d.named("a")
        for server in (endpoint.server, discovery.server):
            server.close()

    for call in (SystemCall.SOCKET, SystemCall.OPEN):
        run(story(call))


def test_a_reload_whose_file_cannot_be_opened_is_tried_again(page: FaultPage, tmp_path: Path) -> None:
    """The new configuration names another discovery; nobody sends the signal a second time."""

    async def story() -> None:
        async with served(tmp_path, page) as (d, endpoint):
            second = Discovery([host_entry("e0", endpoint.port)], seq=2)
            await second.start()
            conf = json.loads(d.config.read_text())
            d.config.write_text(json.dumps({**conf, "discovery": f"127.0.0.1:{second.port}"}))
            page.set(SystemCall.OPEN, ALL)
            d.process.send_signal(signal.SIGHUP)
            await d.says(b"reload")
            page.clear()
            await second.has_watch.wait()
            second.server.close()

    run(story())


def test_no_endpoint_is_blamed_where_no_connection_can_be_made_here(page: FaultPage, tmp_path: Path) -> None:
    """A request waits until its dial works, and the endpoint is as good as before."""

    async def story(call: SystemCall) -> None:
        async with served(tmp_path, page) as (d, endpoint):
            page.set(call, ALL)
            lines = await _sent(d, 1, str(HANG_TIMEOUT_S))
            await d.says(b"no connection")
            page.clear()
            assert await _answers(lines) == [200]
            await d.named("b")
            assert len(endpoint.request_heads) == 2

    for call in (SystemCall.SOCKET, SystemCall.CONNECT):
        run(story(call))
