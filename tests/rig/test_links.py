"""Requests on their way to a sidecar while the rig's event loop is slow, as it is on a busy machine."""

import asyncio
import socket
import threading
import time
from pathlib import Path

import pytest
import uvloop

from rig.history import History
from rig.links import StreamRelay
from rig.processes import Process

from ..helpers import HANG_TIMEOUT_S

UNUSED_TIMEOUT_S = 0.4  # the server closes a connection that has sent nothing by then
TURN_S = 0.5  # each turn of the event loop takes longer


def _serve_one(listener: socket.socket, received: list[bytes]) -> None:
    """Accept one connection and echo its first data, or close it as unused."""
    connection, _ = listener.accept()
    with connection:
        connection.settimeout(UNUSED_TIMEOUT_S)
        try:
            received.append(connection.recv(100))
            connection.sendall(received[-1])
        except TimeoutError:
            received.append(b"")


async def _exchange_in_a_slow_loop(address: tuple[str, int], connects_with_data: bool) -> bytes:
    loop = asyncio.get_running_loop()
    relay = StreamRelay(address, connects_with_data)
    await relay.start()
    is_slow = True

    def slow_down() -> None:
        if is_slow:
            time.sleep(TURN_S)
            loop.call_soon(slow_down)

    slow_down()
    async with asyncio.timeout(HANG_TIMEOUT_S):
        reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        writer.write(b"request")
        try:
            return await reader.read(100)
        finally:
            is_slow = False
            writer.close()
            relay.close()


@pytest.mark.parametrize("connects_with_data", [True, False])
def test_slow_event_loop_does_not_separate_a_connection_from_its_request(connects_with_data: bool) -> None:
    received: list[bytes] = []
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(HANG_TIMEOUT_S)
        server = threading.Thread(target=_serve_one, args=(listener, received))
        server.start()
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            response = runner.run(_exchange_in_a_slow_loop(listener.getsockname(), connects_with_data))
        server.join()
    expected = b"request" if connects_with_data else b""  # without it, the server sees an unused connection
    assert (response, received) == (expected, [expected])


def test_refused_connection_ends_the_client() -> None:
    async def run() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = listener.getsockname()
        relay = StreamRelay(address, connects_with_data=True)
        await relay.start()
        async with asyncio.timeout(HANG_TIMEOUT_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
            writer.write(b"request")
            assert await reader.read(100) == b""
        writer.close()
        relay.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


REQUEST = b"GET /look/s1-1-look HTTP/1.1\r\nHost: o\r\nX-Request-Id: s1-1-look\r\nX-Class: look\r\n\r\n"


async def _shut_down_with_a_request_on_its_way(folder: Path) -> list[str]:
    """Send a request through a relay, shut the process down and return the order of events."""
    events: list[str] = []
    process = Process("s1", folder, "", History(), False, "-")
    process.child = await asyncio.create_subprocess_exec("sleep", "600")
    with socket.create_server(("127.0.0.1", 0)) as listener:
        relay = StreamRelay(listener.getsockname(), connects_with_data=True)
        await relay.start()

        def on_forwarded(data: bytes) -> None:
            events.append("signal sent" if process.history.select("signal") else "signal not sent")
            process.on_requests_delivered(data)

        relay.on_forwarded = on_forwarded
        async with asyncio.timeout(HANG_TIMEOUT_S):
            process.undelivered.add("s1-1-look")
            shutdown = asyncio.create_task(process.shut_down())
            await asyncio.sleep(UNUSED_TIMEOUT_S)
            _, writer = await asyncio.open_connection("127.0.0.1", relay.port)
            writer.write(REQUEST)
            await shutdown
        events += [e["signal"] for e in process.history.select("signal")]
        writer.close()
        relay.close()
    await process.close()
    return events


def test_process_is_signalled_after_the_requests_that_were_sent_before(tmp_path: Path) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        events = runner.run(_shut_down_with_a_request_on_its_way(tmp_path))
    assert events == ["signal not sent", "SIGTERM"]


def test_shutdown_does_not_wait_for_requests_that_a_fault_holds(tmp_path: Path) -> None:
    async def run() -> None:
        process = Process("s1", tmp_path, "", History(), False, "-")
        process.child = await asyncio.create_subprocess_exec("sleep", "600")
        process.undelivered.add("s1-1-look")
        process.delivery_is_held = lambda: True
        async with asyncio.timeout(HANG_TIMEOUT_S):
            await process.shut_down()
        assert process.history.select("signal")
        await process.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())
