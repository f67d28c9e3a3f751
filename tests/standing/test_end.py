"""The planned end: who waits gets an answer, whichever timer comes first; a signal in the start waits its turn."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from gateusher.listeners.client_connection import ClientConnection
from gateusher.listeners.close_reason import CloseReason

from ..helpers import HANG_TIMEOUT_S, wait_until
from ..net import (
    Endpoint,
    RunningSidecar,
    Writer,
    at_most_once_request,
    configuration,
    idempotent_request,
    read_message,
    run_sidecar,
)
from .loops import LOOPS, Loop, play


async def hang(head: bytes, writer: Writer) -> None:
    """The endpoint hangs in the middle of its work."""


async def open_calls(r: RunningSidecar, count: int) -> None:
    await wait_until(lambda: len(r.sidecar.engine.requests) >= count)


def close_first(r: RunningSidecar) -> None:
    """The listener's end comes now, before the timers of the deadlines that lie at the same moment."""
    r.sidecar.drain()
    r.sidecar.server.lifecycle._phase_began_s -= 100.0
    r.sidecar.server.advance_drain()


@LOOPS
@pytest.mark.parametrize(
    "asked",
    [
        idempotent_request("l1"),
        at_most_once_request("p1"),
        idempotent_request("l1") + idempotent_request("l2") + idempotent_request("l3"),
    ],
    ids=["safe", "unsafe", "one behind another"],
)
def test_the_end_of_the_listener_before_the_end_of_the_deadlines(asked: bytes, loop: Loop) -> None:
    """Each request that was taken gets its answer, and only then the connection is closed."""

    async def story() -> None:
        async with run_sidecar(Endpoint(hang)) as r:
            reader, writer = await r.connect()
            writer.write(asked)
            await open_calls(r, asked.count(b"X-Request-Id"))
            close_first(r)
            for _ in range(asked.count(b"X-Request-Id")):
                head, _ = await asyncio.wait_for(read_message(reader), HANG_TIMEOUT_S)
                assert head.startswith(b"HTTP/1.1 504")
            assert await asyncio.wait_for(reader.read(), HANG_TIMEOUT_S) == b""
            writer.close()
            assert all(call.is_finished for call in r.sidecar.engine.requests.values())

    play(story, loop)


@LOOPS
def test_the_end_while_a_long_body_is_half_through(loop: Loop) -> None:
    """It was never whole, so it was never taken: it is refused, and no endpoint begins it."""

    async def story() -> None:
        endpoint = Endpoint()
        async with run_sidecar(endpoint) as r:
            reader, writer = await r.connect()
            writer.write(at_most_once_request("p1", "60", b"Content-Length: 400000\r\n", bytes(300_000)))
            await open_calls(r, 1)
            close_first(r)
            head, _ = await asyncio.wait_for(read_message(reader), HANG_TIMEOUT_S)
            assert head.startswith(b"HTTP/1.1 503") and b"Connection: close" in head
            writer.close()
            assert endpoint.request_heads == []

    play(story, loop)


@LOOPS
def test_a_process_that_is_closed_at_once_answers_first(loop: Loop) -> None:
    async def story() -> None:
        async with run_sidecar(Endpoint(hang)) as r:
            reader, writer = await r.connect()
            writer.write(at_most_once_request("p1"))
            await open_calls(r, 1)
            r.sidecar.close()
            head, _ = await asyncio.wait_for(read_message(reader), HANG_TIMEOUT_S)
            assert head.startswith(b"HTTP/1.1 504")
            writer.close()

    play(story, loop)


@LOOPS
def test_a_connection_that_is_given_up_while_it_is_taken_in(loop: Loop, monkeypatch: pytest.MonkeyPatch) -> None:
    """Accepted and closed in one turn: the loop makes it only after that, and nothing would have closed it."""
    made = ClientConnection.connection_made
    came: list[ClientConnection] = []

    def late(self: ClientConnection, transport: asyncio.BaseTransport) -> None:
        if not came:
            self.close(CloseReason.SHUTDOWN)
        came.append(self)
        made(self, transport)

    monkeypatch.setattr(ClientConnection, "connection_made", late)

    async def story() -> None:
        endpoint = Endpoint()
        async with run_sidecar(endpoint) as r:
            with socket.create_connection(("127.0.0.1", r.sidecar.server.port)) as sock:
                sock.setblocking(False)
                data = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 100), HANG_TIMEOUT_S)
                assert data == b"" and not endpoint.request_heads
            await wait_until(lambda: not r.sidecar.server._connections)
            assert r.sidecar.node.descriptors.used == 0

    play(story, loop)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_signal_in_the_start_waits_for_the_start(number: signal.Signals, tmp_path: Path) -> None:
    """The listener is there before the start is through, and so may clients be."""
    file = tmp_path / "config.json"
    conf = configuration([], 1)
    with socket.create_server(("127.0.0.1", 0)) as place:
        conf["listen"] = f"127.0.0.1:{place.getsockname()[1]}"
    file.write_text(json.dumps(conf))
    code = f"""
import os, sys
from gateusher import daemon
from gateusher.cli.run import run
start = daemon.Sidecar.start
async def late(self):
    os.kill(os.getpid(), {int(number)})
    await start(self)
    print("started", flush=True)
daemon.Sidecar.start = late
sys.exit(run(None))
"""
    env = {**os.environ, "BALANCER_CONFIG": str(file)}
    done = subprocess.run(
        [sys.executable, "-c", code], env=env, timeout=HANG_TIMEOUT_S, capture_output=True, text=True, check=False
    )
    assert done.returncode == 0 and "started" in done.stdout and "Traceback" not in done.stderr
