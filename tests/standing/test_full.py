"""Idle clients fill a real process's descriptors while discovery is away, and limits that are too small to serve."""

import asyncio
import signal
import sys
from pathlib import Path

import pytest

from gateusher.base.limits import MIN_DESCRIPTORS, DescriptorBudget

from ..helpers import HANG_TIMEOUT_S, wait_until
from ..net import Discovery, Endpoint, Writer, host_entry, run, unused_address
from .process import RUN, Process, crowded, daemon

LIMIT = 96
CROWD = 2 * LIMIT  # idle clients at any time


async def _named(name: str) -> Endpoint:
    """An endpoint that says its name."""

    async def answer(head: bytes, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nX-Name: %b\r\nContent-Length: 0\r\n\r\n" % name.encode())

    endpoint = Endpoint(answer)
    await endpoint.start()
    return endpoint


async def _answered(d: Process) -> bytes:
    """The head of an answer; nothing where the connection was shut unread, as it may be beside a crowd."""
    try:
        return await d.named("a")
    except (ConnectionError, asyncio.IncompleteReadError):
        return b""


async def _filled_while_discovery_is_away(folder: Path, run_it: str = RUN) -> None:
    old, new = await _named("old"), await _named("new")
    first = Discovery([host_entry("e0", old.port)])
    await first.start()
    async with crowded(folder, first, CROWD, run_it, LIMIT, sockets=LIMIT) as (d, crowd):
        operators = [await asyncio.open_connection(*d.admin) for _ in range(16)]
        await wait_until(lambda: d.descriptors >= DescriptorBudget(LIMIT).client_limit)
        first.server.close()
        first.reset_connections()
        refused = asyncio.Event()
        away = await asyncio.start_server(
            lambda _, writer: (refused.set(), writer.transport.abort()), "127.0.0.1", first.port
        )
        await refused.wait()  # it has called in vain
        await wait_until(lambda: min(crowd.shut) > 0)  # each new one had its turn: none is left hanging
        away.close()
        second = Discovery([host_entry("e0", old.port, "Terminating"), host_entry("e1", new.port)], seq=2)
        await second.start(("127.0.0.1", first.port))
        await second.has_watch.wait()
        while b"x-name: new" not in await _answered(d):  # the list is read a moment after it was written
            pass
        await d.ready()
        for _, writer in operators:
            writer.close()
        d.process.send_signal(signal.SIGTERM)
        crowd.close()
        assert await d.process.wait() == 0
    assert d.process.stderr
    said = await d.process.stderr.read()
    assert b"Traceback" not in said
    assert b"Too many open files" not in said  # nothing had to be lucky: neither a call for the list nor a client
    for server in (second.server, old.server, new.server):
        server.close()


def test_idle_clients_fill_the_descriptors_while_discovery_is_away(tmp_path: Path) -> None:
    """Back, it is watched, its list is followed and requests are served; operators are answered all the time."""
    run(asyncio.wait_for(_filled_while_discovery_is_away(tmp_path), HANG_TIMEOUT_S))


PLANTED = (
    "import gateusher.base.limits as limits, runpy; limits.SPARE_DESCRIPTORS = 0; limits.CLIENT_SHARE = 1.0; "
    "runpy.run_module('gateusher', run_name='__main__')"
)


def test_without_room_for_the_watch_that_is_noticed(tmp_path: Path) -> None:
    run_it = f'exec {sys.executable} -c "{PLANTED}"'
    with pytest.raises(AssertionError, match="Too many open files"):
        run(asyncio.wait_for(_filled_while_discovery_is_away(tmp_path, run_it), HANG_TIMEOUT_S))


async def _refused(folder: Path, says: str, hard: int = 1024, **limits: float) -> None:
    async with daemon(folder, [host_entry("e0", 1)], unused_address()[1], hard=hard, **limits) as d:
        assert await d.process.wait() == 2
        assert d.process.stderr
        told = (await d.process.stderr.read()).decode().splitlines()
    assert len(told) == 1 and says in told[0], told


@pytest.mark.parametrize(
    ("hard", "sockets", "says"),
    [
        (1024, MIN_DESCRIPTORS - 1, "limits.sockets: a number of 48 or more wanted, found 47"),
        (1024, 1, "limits.sockets: a number of 48 or more wanted, found 1"),
        (MIN_DESCRIPTORS - 1, 1024, "limits.sockets: 48 or more wanted, and this process may open 47"),
    ],
)
def test_a_limit_too_small_to_serve_is_told_in_one_line_at_the_start(
    hard: int, sockets: int, says: str, tmp_path: Path
) -> None:
    run(asyncio.wait_for(_refused(tmp_path, says, hard, sockets=sockets), HANG_TIMEOUT_S))


@pytest.mark.parametrize(
    ("hard", "limits", "says"),
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
def test_with_the_least_it_serves_under_a_crowd(
    hard: int, limits: dict[str, float], says: str, tmp_path: Path
) -> None:
    async def test() -> None:
        endpoint = await _named("e0")
        discovery = Discovery([host_entry("e0", endpoint.port)])
        await discovery.start()
        async with crowded(tmp_path, discovery, 64, hard=hard, **limits) as (d, crowd):
            operators = [await asyncio.open_connection(*d.admin) for _ in range(16)]
            await wait_until(lambda: min(crowd.shut) > 0)
            while not await _answered(d):
                pass
            discovery.reset_connections()
            discovery.has_watch.clear()
            await discovery.has_watch.wait()
            await d.ready()
            crowd.close()
            for _, writer in operators:
                writer.close()
            d.process.send_signal(signal.SIGTERM)
            assert await d.process.wait() == 0
            assert d.process.stderr
            told = (await d.process.stderr.read()).decode()
        assert says in told and "Traceback" not in told and "Too many open files" not in told
        assert told.count("gateusher: limits.") == bool(says)
        discovery.server.close()
        endpoint.server.close()

    run(asyncio.wait_for(test(), HANG_TIMEOUT_S))
