"""A real process whose descriptors are filled by idle clients, and limits that are too small to serve with."""

import asyncio
import signal
import sys
from pathlib import Path

import pytest

from gateusher.base.limits import MIN_DESCRIPTORS, DescriptorBudget

from ..helpers import HANG_TIMEOUT_S, wait_until
from ..net import Discovery, Endpoint, Writer, host_entry, run, unused_address
from .process import RUN_COMMAND, DaemonProcess, run_daemon, run_daemon_with_idle_clients

DESCRIPTOR_LIMIT = 96
IDLE_CLIENT_COUNT = 2 * DESCRIPTOR_LIMIT


async def _start_named_endpoint(name: str) -> Endpoint:
    """Start an endpoint that puts its name into each response head."""

    async def respond(head: bytes, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nX-Name: %b\r\nContent-Length: 0\r\n\r\n" % name.encode())

    endpoint = Endpoint(respond)
    await endpoint.start()
    return endpoint


async def _request_or_empty(d: DaemonProcess) -> bytes:
    """Return the head of a response, or nothing if the connection was closed, as it may be among idle clients."""
    try:
        return await d.request("a")
    except (ConnectionError, asyncio.IncompleteReadError):
        return b""


async def _fill_while_discovery_is_unreachable(folder: Path, command: str = RUN_COMMAND) -> None:
    old, new = await _start_named_endpoint("old"), await _start_named_endpoint("new")
    first = Discovery([host_entry("e0", old.port)])
    await first.start()
    async with run_daemon_with_idle_clients(
        folder, first, IDLE_CLIENT_COUNT, command, DESCRIPTOR_LIMIT, sockets=DESCRIPTOR_LIMIT
    ) as (d, idle_clients):
        operators = [await asyncio.open_connection(*d.admin) for _ in range(16)]
        await wait_until(lambda: d.descriptor_count >= DescriptorBudget(DESCRIPTOR_LIMIT).client_limit)
        first.server.close()
        first.reset_connections()
        call_reset = asyncio.Event()
        resetting_server = await asyncio.start_server(
            lambda _, writer: (call_reset.set(), writer.transport.abort()), "127.0.0.1", first.port
        )
        await call_reset.wait()
        # Each client was closed at least once, so none waits forever.
        await wait_until(lambda: min(idle_clients.close_counts) > 0)
        resetting_server.close()
        second = Discovery([host_entry("e0", old.port, "Terminating"), host_entry("e1", new.port)], seq=2)
        await second.start(("127.0.0.1", first.port))
        await second.has_watch.wait()
        while b"x-name: new" not in await _request_or_empty(d):  # the list takes effect some time after it was sent
            pass
        await d.wait_until_ready()
        for _, writer in operators:
            writer.close()
        d.process.send_signal(signal.SIGTERM)
        idle_clients.close()
        assert await d.process.wait() == 0
    assert d.process.stderr
    log = await d.process.stderr.read()
    assert b"Traceback" not in log
    assert b"Too many open files" not in log  # descriptors were reserved for discovery and for clients
    for server in (second.server, old.server, new.server):
        server.close()


def test_idle_clients_fill_the_descriptors_while_discovery_is_unreachable(tmp_path: Path) -> None:
    """Once discovery is back, it is watched, its list takes effect and requests are served.

    Operators get responses all the time.
    """
    run(asyncio.wait_for(_fill_while_discovery_is_unreachable(tmp_path), HANG_TIMEOUT_S))


WITHOUT_RESERVE = (
    "import gateusher.base.limits as limits, runpy; limits.SPARE_DESCRIPTORS = 0; limits.CLIENT_SHARE = 1.0; "
    "runpy.run_module('gateusher', run_name='__main__')"
)


def test_a_missing_descriptor_reserve_is_detected(tmp_path: Path) -> None:
    command = f'exec {sys.executable} -c "{WITHOUT_RESERVE}"'
    with pytest.raises(AssertionError, match="Too many open files"):
        run(asyncio.wait_for(_fill_while_discovery_is_unreachable(tmp_path, command), HANG_TIMEOUT_S))


async def _check_rejected_limit(folder: Path, message: str, hard_limit: int = 1024, **limits: float) -> None:
    async with run_daemon(
        folder, [host_entry("e0", 1)], unused_address()[1], descriptor_limit=hard_limit, **limits
    ) as d:
        assert await d.process.wait() == 2
        assert d.process.stderr
        lines = (await d.process.stderr.read()).decode().splitlines()
    assert len(lines) == 1 and message in lines[0], lines


@pytest.mark.parametrize(
    ("hard_limit", "sockets", "message"),
    [
        (1024, MIN_DESCRIPTORS - 1, "limits.sockets: a number of 48 or more wanted, found 47"),
        (1024, 1, "limits.sockets: a number of 48 or more wanted, found 1"),
        (MIN_DESCRIPTORS - 1, 1024, "limits.sockets: 48 or more wanted, and this process may open 47"),
    ],
)
def test_a_limit_too_small_to_serve_is_reported_in_one_line_at_the_start(
    hard_limit: int, sockets: int, message: str, tmp_path: Path
) -> None:
    run(asyncio.wait_for(_check_rejected_limit(tmp_path, message, hard_limit, sockets=sockets), HANG_TIMEOUT_S))


@pytest.mark.parametrize(
    ("hard_limit", "limits", "message"),
    [
        (MIN_DESCRIPTORS, {"sockets": MIN_DESCRIPTORS}, ""),
        (
            MIN_DESCRIPTORS,
            {"sockets": 1024},
            "limits.sockets: 1024 are wanted, this process may open 48: 48 are used",
        ),
        (1024, {"memory_mb": 2}, "limits.memory_mb: 2 is less than a start takes, which is "),
    ],
)
def test_it_serves_among_idle_clients_with_the_smallest_limits(
    hard_limit: int, limits: dict[str, float], message: str, tmp_path: Path
) -> None:
    async def test() -> None:
        endpoint = await _start_named_endpoint("e0")
        discovery = Discovery([host_entry("e0", endpoint.port)])
        await discovery.start()
        async with run_daemon_with_idle_clients(tmp_path, discovery, 64, descriptor_limit=hard_limit, **limits) as (
            d,
            idle_clients,
        ):
            operators = [await asyncio.open_connection(*d.admin) for _ in range(16)]
            await wait_until(lambda: min(idle_clients.close_counts) > 0)
            while not await _request_or_empty(d):
                pass
            discovery.reset_connections()
            discovery.has_watch.clear()
            await discovery.has_watch.wait()
            await d.wait_until_ready()
            idle_clients.close()
            for _, writer in operators:
                writer.close()
            d.process.send_signal(signal.SIGTERM)
            assert await d.process.wait() == 0
            assert d.process.stderr
            log = (await d.process.stderr.read()).decode()
        assert message in log and "Traceback" not in log and "Too many open files" not in log
        assert log.count("gateusher: limits.") == bool(message)
        discovery.server.close()
        endpoint.server.close()

    run(asyncio.wait_for(test(), HANG_TIMEOUT_S))
