"""Graceful shutdown: open requests get a response, whichever timer fires first; a signal waits for the start."""

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
from .event_loops import LOOPS, Loop, run_on_loop


async def hang(head: bytes, writer: Writer) -> None:
    """Never respond."""


async def wait_for_open_requests(r: RunningSidecar, count: int) -> None:
    await wait_until(lambda: len(r.sidecar.engine.requests) >= count)


def end_drain_now(r: RunningSidecar) -> None:
    """Let the listener's drain end now, before the timers of the deadlines that fall due at the same moment."""
    r.sidecar.drain()
    r.sidecar.server.lifecycle._phase_began_s -= 100.0
    r.sidecar.server.advance_drain()


@LOOPS
@pytest.mark.parametrize(
    "request_data",
    [
        idempotent_request("l1"),
        at_most_once_request("p1"),
        idempotent_request("l1") + idempotent_request("l2") + idempotent_request("l3"),
    ],
    ids=["idempotent", "at most once", "pipelined"],
)
def test_the_drain_ends_before_the_deadlines(request_data: bytes, loop: Loop) -> None:
    """Each accepted request gets a response before the connection is closed."""

    async def test() -> None:
        async with run_sidecar(Endpoint(hang)) as r:
            reader, writer = await r.connect()
            writer.write(request_data)
            await wait_for_open_requests(r, request_data.count(b"X-Request-Id"))
            end_drain_now(r)
            for _ in range(request_data.count(b"X-Request-Id")):
                head, _ = await asyncio.wait_for(read_message(reader), HANG_TIMEOUT_S)
                assert head.startswith(b"HTTP/1.1 504")
            assert await asyncio.wait_for(reader.read(), HANG_TIMEOUT_S) == b""
            writer.close()
            assert all(call.is_finished for call in r.sidecar.engine.requests.values())

    run_on_loop(test, loop)


@LOOPS
def test_the_drain_ends_while_a_long_body_is_incomplete(loop: Loop) -> None:
    """An incomplete request is rejected, and no endpoint gets it."""

    async def test() -> None:
        endpoint = Endpoint()
        async with run_sidecar(endpoint) as r:
            reader, writer = await r.connect()
            writer.write(at_most_once_request("p1", "60", b"Content-Length: 400000\r\n", bytes(300_000)))
            await wait_for_open_requests(r, 1)
            end_drain_now(r)
            head, _ = await asyncio.wait_for(read_message(reader), HANG_TIMEOUT_S)
            assert head.startswith(b"HTTP/1.1 503") and b"Connection: close" in head
            writer.close()
            assert endpoint.request_heads == []

    run_on_loop(test, loop)


@LOOPS
def test_an_immediate_close_answers_open_requests_first(loop: Loop) -> None:
    async def test() -> None:
        async with run_sidecar(Endpoint(hang)) as r:
            reader, writer = await r.connect()
            writer.write(at_most_once_request("p1"))
            await wait_for_open_requests(r, 1)
            r.sidecar.close()
            head, _ = await asyncio.wait_for(read_message(reader), HANG_TIMEOUT_S)
            assert head.startswith(b"HTTP/1.1 504")
            writer.close()

    run_on_loop(test, loop)


@LOOPS
def test_a_connection_that_is_closed_while_it_is_accepted(loop: Loop, monkeypatch: pytest.MonkeyPatch) -> None:
    """It is closed in the turn in which it is accepted; the loop calls connection_made later, which must close it."""
    made = ClientConnection.connection_made
    connections: list[ClientConnection] = []

    def close_before_made(self: ClientConnection, transport: asyncio.BaseTransport) -> None:
        if not connections:
            self.close(CloseReason.SHUTDOWN)
        connections.append(self)
        made(self, transport)

    monkeypatch.setattr(ClientConnection, "connection_made", close_before_made)

    async def test() -> None:
        endpoint = Endpoint()
        async with run_sidecar(endpoint) as r:
            with socket.create_connection(("127.0.0.1", r.sidecar.server.port)) as sock:
                sock.setblocking(False)
                data = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 100), HANG_TIMEOUT_S)
                assert data == b"" and not endpoint.request_heads
            await wait_until(lambda: not r.sidecar.server._connections)
            assert r.sidecar.node.descriptors.used == 0

    run_on_loop(test, loop)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_signal_during_the_start_waits_until_the_start_is_complete(number: signal.Signals, tmp_path: Path) -> None:
    """The listener opens before the start is complete, so clients may already be connected."""
    file = tmp_path / "config.json"
    conf = configuration([], 1)
    with socket.create_server(("127.0.0.1", 0)) as sock:
        conf["listen"] = f"127.0.0.1:{sock.getsockname()[1]}"
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
