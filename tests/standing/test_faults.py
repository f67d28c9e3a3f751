"""A real process under faults: a blocked log, early signals, failing system calls, and pauses of the process."""

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
from rig.soak.faults import EVERY_CALL_PER_MILLE, FaultPage, SystemCall, build_library

from ..helpers import HANG_TIMEOUT_S, wait_until
from ..net import Discovery, Endpoint, host_entry, idempotent_request, read_message, run, status
from .process import DaemonProcess, run_daemon, wait_until_serving


@pytest.fixture
def page(tmp_path: Path) -> Iterator[FaultPage]:
    library = build_library(tmp_path)
    if library is None:
        pytest.skip("no C compiler: system calls of a real process can't be made to fail")
    fault_page = FaultPage(library, tmp_path / "page", seed=1)
    yield fault_page
    fault_page.close()


# -- the log


async def _serve_with_blocked_log(folder: Path) -> None:
    endpoint = Endpoint()
    await endpoint.start()
    discovery = Discovery([host_entry("e0", endpoint.port)])
    await discovery.start()
    read_fd, write_fd = os.pipe()
    os.set_blocking(write_fd, False)
    with suppress(BlockingIOError):
        while True:
            os.write(write_fd, b"\n" * fcntl.fcntl(write_fd, fcntl.F_GETPIPE_SZ))
    with suppress(BlockingIOError):
        while True:
            os.write(write_fd, b"\n")
    os.set_blocking(write_fd, True)
    try:
        async with run_daemon(folder, discovery.hosts, discovery.port, stderr=write_fd) as d:
            await wait_until_serving(d.process, d.address)
            await d.request("a")
            discovery.resets_connections = True
            discovery.reset_connections()  # it is logged, as is each later call that fails
            for _ in range(3):
                discovery.connected.clear()
                await discovery.connected.wait()
            await d.request("b")
    finally:
        os.close(read_fd)
        os.close(write_fd)
    for server in (endpoint.server, discovery.server):
        server.close()


def test_a_log_that_nobody_reads_stops_nothing(tmp_path: Path) -> None:
    """The pipe of the log is full and stays full, as with a log collector that hangs."""
    run(_serve_with_blocked_log(tmp_path))


# -- signals during the start

RELOAD_INTERVAL_S = 0.0005
ENDS = 3


async def _start_during_reloads(folder: Path) -> None:
    endpoint = Endpoint()
    await endpoint.start()
    discovery = Discovery([host_entry("e0", endpoint.port)])
    await discovery.start()
    async with run_daemon(folder, discovery.hosts, discovery.port) as d:
        command = Path(f"/proc/{d.process.pid}/cmdline")
        await wait_until(
            lambda: b"gateusher" in command.read_bytes() and not command.read_bytes().startswith(b"sh\0")
        )
        starting = asyncio.ensure_future(wait_until_serving(d.process, d.address))
        while not starting.done():
            with suppress(ProcessLookupError):
                d.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0)
        await starting
        await d.request("a")
    for server in (endpoint.server, discovery.server):
        server.close()


def test_reload_signals_during_the_start_do_not_end_it(tmp_path: Path) -> None:
    run(_start_during_reloads(tmp_path))


async def _end_during_reloads(folder: Path) -> None:
    discovery = Discovery([])
    await discovery.start()
    async with run_daemon(folder, [], discovery.port) as d:
        await wait_until_serving(d.process, d.address)
        d.process.send_signal(signal.SIGTERM)
        while d.process.returncode is None:
            d.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(RELOAD_INTERVAL_S)
        assert d.process.returncode == 0
    discovery.server.close()


def test_reload_signals_while_it_ends_make_it_no_crash(tmp_path: Path) -> None:
    """Guards against the incident 546e86: a process that ended by itself, by SIGHUP after its handlers were gone."""
    for _ in range(ENDS):
        run(_end_during_reloads(tmp_path))


# -- a paused process


async def _drain_endpoint_while_paused(folder: Path) -> None:
    fleet = Fleet()
    old, new = Node(fleet, "old"), Node(fleet, "new")
    catalog = DiscoveryServer()
    for server in (old, new, catalog):
        await server.start()
    catalog.update(old.list_entry())
    async with run_daemon(folder, [old.list_entry()], catalog.port) as d:
        await wait_until_serving(d.process, d.address)
        await catalog.has_watch.wait()
        connections = [await asyncio.open_connection(*d.address) for _ in range(20)]
        for number, (reader, writer) in enumerate(connections):  # requests on open connections need no accept
            writer.write(idempotent_request(f"before-{number}"))
            assert status((await read_message(reader))[0]) == 200
        d.process.send_signal(signal.SIGSTOP)
        for number, (_, writer) in enumerate(connections):
            writer.write(idempotent_request(f"after-{number}"))
        catalog.update(new.list_entry())
        catalog.update(old.list_entry("Terminating"))
        requests_before = fleet.requests_by_node["old"]
        await asyncio.sleep(0.3)  # the pause, of any length
        d.process.send_signal(signal.SIGCONT)
        for reader, writer in connections:
            assert status((await read_message(reader))[0]) == 200
            writer.close()
        assert fleet.requests_by_node["old"] == requests_before
    for server in (old, new, catalog):
        server.close()


def test_requests_that_arrive_with_a_drain_update_follow_the_update(tmp_path: Path) -> None:
    """A resumed process finds requests and a drain unread: no request goes to the draining endpoint, in any order."""
    run(_drain_endpoint_while_paused(tmp_path))


# -- the accept queue

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]
SHORT_DEADLINE_CLASSES = [
    {"name": "look", "effect": "idempotent", "objective_ms": 300, "give_up_ms": 400, "worth": 1}
]


async def _send_requests(d: DaemonProcess, count: int, deadline: str) -> list[Connection]:
    """Send each request on a new connection, without reading the responses."""
    connections = [await asyncio.open_connection(*d.address) for _ in range(count)]
    for number, (_, writer) in enumerate(connections):
        writer.write(idempotent_request(f"queued-{number}", deadline))
    return connections


async def _read_statuses(connections: list[Connection]) -> list[int]:
    """Return the response status on each connection; none may close without one."""
    statuses = []
    for reader, writer in connections:
        statuses.append(status((await read_message(reader))[0]))
        writer.close()
    return statuses


def _deadlines_s(heads: list[bytes]) -> list[float]:
    """Return the remaining time that each request head gives its endpoint."""
    return [float(head.lower().split(b"x-deadline: ")[1].split(b"\r\n")[0]) for head in heads]


async def _health_status(d: DaemonProcess) -> int:
    reader, writer = await asyncio.open_connection(*d.address)
    writer.write(b"GET /_health HTTP/1.1\r\nHost: o\r\n\r\n")
    head, _ = await read_message(reader)
    writer.close()
    return status(head)


@asynccontextmanager
async def run_daemon_with_faults(
    folder: Path, page: FaultPage, classes: object = None
) -> AsyncIterator[tuple[DaemonProcess, Endpoint]]:
    """Run a daemon with one endpoint and discovery, whose system calls `page` can make fail."""
    endpoint = Endpoint()
    await endpoint.start()
    discovery = Discovery([host_entry("e0", endpoint.port)])
    await discovery.start()
    overrides = {"lanes": classes} if classes else {}
    async with run_daemon(folder, discovery.hosts, discovery.port, env=page.environment, settings=overrides) as d:
        await wait_until_serving(d.process, d.address)
        await discovery.has_watch.wait()
        yield d, endpoint
    for server in (endpoint.server, discovery.server):
        server.close()


def test_graceful_shutdown_serves_the_accept_queue_though_accept_fails(page: FaultPage, tmp_path: Path) -> None:
    """Accept fails from before SIGTERM until after the time at which the listener is closed."""

    async def test() -> None:
        async with run_daemon_with_faults(tmp_path, page) as (d, _):
            page.set(SystemCall.ACCEPT, EVERY_CALL_PER_MILLE)
            connections = await _send_requests(d, 8, "1.9")
            d.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(STOP_LISTENING_AFTER_S + 0.3)
            page.clear()
            assert set(await _read_statuses(connections)) <= {200, 503, 504}
            assert await d.process.wait() == 0

    run(test())


def test_the_accept_queue_is_answered_though_the_process_is_paused_for_its_whole_shutdown(
    page: FaultPage, tmp_path: Path
) -> None:
    async def test() -> None:
        async with run_daemon_with_faults(tmp_path, page, SHORT_DEADLINE_CLASSES) as (d, _):
            d.process.send_signal(signal.SIGTERM)
            while await _health_status(d) == 200:
                pass
            d.process.send_signal(signal.SIGSTOP)
            connections = await _send_requests(d, 8, "0.3")
            await asyncio.sleep(1.2)  # the shutdown takes 0.8 s and is forced 0.2 s after that
            d.process.send_signal(signal.SIGCONT)
            assert set(await _read_statuses(connections)) <= {503, 504}
            assert await d.process.wait() == 0

    run(test())


def test_time_in_the_accept_queue_counts_against_the_deadline(page: FaultPage, tmp_path: Path) -> None:
    """Accept works again after 0.4 s, so at most 0.2 s of the 0.6 s deadline are left; 0.15 s are tolerance."""

    async def test() -> None:
        async with run_daemon_with_faults(tmp_path, page) as (d, endpoint):
            page.set(SystemCall.ACCEPT, EVERY_CALL_PER_MILLE)
            connections = await _send_requests(d, 4, "0.6")
            await asyncio.sleep(0.4)
            page.clear()
            await _read_statuses(connections)
            deadlines_s = _deadlines_s(endpoint.request_heads)
            assert all(seconds <= 0.6 - 0.4 + 0.15 for seconds in deadlines_s), deadlines_s

    run(test())


def test_time_while_the_process_is_paused_counts_against_the_deadline(page: FaultPage, tmp_path: Path) -> None:
    """The requests come on open connections, so they need no accept."""

    async def test() -> None:
        async with run_daemon_with_faults(tmp_path, page) as (d, endpoint):
            connections = await _send_requests(d, 4, "5.0")
            for reader, _ in connections:
                assert status((await read_message(reader))[0]) == 200
            before = len(endpoint.request_heads)
            d.process.send_signal(signal.SIGSTOP)
            for number, (_, writer) in enumerate(connections):
                writer.write(idempotent_request(f"late-{number}", "0.6"))
            await asyncio.sleep(0.4)
            d.process.send_signal(signal.SIGCONT)
            await _read_statuses(connections)
            deadlines_s = _deadlines_s(endpoint.request_heads[before:])
            assert all(seconds <= 0.6 - 0.4 + 0.15 for seconds in deadlines_s), deadlines_s

    run(test())


# -- system calls that fail temporarily


def test_a_system_call_that_fails_during_the_start_only_delays_it(page: FaultPage, tmp_path: Path) -> None:
    """Descriptors or memory run out while it opens its address or reads its configuration."""

    async def test(call: SystemCall) -> None:
        endpoint = Endpoint()
        await endpoint.start()
        discovery = Discovery([host_entry("e0", endpoint.port)])
        await discovery.start()
        page.set(call, EVERY_CALL_PER_MILLE)
        async with run_daemon(tmp_path, discovery.hosts, discovery.port, env=page.environment) as d:
            await d.wait_for_log(b"again soon")
            page.clear()
            await wait_until_serving(d.process, d.address)
            await d.request("a")
        for server in (endpoint.server, discovery.server):
            server.close()

    for call in (SystemCall.SOCKET, SystemCall.OPEN):
        run(test(call))


def test_a_reload_whose_file_cannot_be_opened_is_retried(page: FaultPage, tmp_path: Path) -> None:
    """The new configuration names another discovery; the signal is sent only once."""

    async def test() -> None:
        async with run_daemon_with_faults(tmp_path, page) as (d, endpoint):
            second = Discovery([host_entry("e0", endpoint.port)], seq=2)
            await second.start()
            conf = json.loads(d.config.read_text())
            d.config.write_text(json.dumps({**conf, "discovery": f"127.0.0.1:{second.port}"}))
            page.set(SystemCall.OPEN, EVERY_CALL_PER_MILLE)
            d.process.send_signal(signal.SIGHUP)
            await d.wait_for_log(b"reload")
            page.clear()
            await second.has_watch.wait()
            second.server.close()

    run(test())


def test_local_connect_failures_do_not_count_against_the_endpoint(page: FaultPage, tmp_path: Path) -> None:
    """A request waits until its dial succeeds, and the endpoint stays in use."""

    async def test(call: SystemCall) -> None:
        async with run_daemon_with_faults(tmp_path, page) as (d, endpoint):
            page.set(call, EVERY_CALL_PER_MILLE)
            connections = await _send_requests(d, 1, str(HANG_TIMEOUT_S))
            await d.wait_for_log(b"no connection")
            page.clear()
            assert await _read_statuses(connections) == [200]
            await d.request("b")
            assert len(endpoint.request_heads) == 2

    for call in (SystemCall.SOCKET, SystemCall.CONNECT):
        run(test(call))
