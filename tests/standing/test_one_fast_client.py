"""One client at full speed delays no other: each connection has its part of a turn of the event loop."""

import asyncio
import socket
import struct
import time
from contextlib import suppress
from pathlib import Path

import pytest

from gateusher.base import input_turns

from ..helpers import wait_until
from ..net import OK_RESPONSE, Endpoint, Writer, at_most_once_request, idempotent_request, run, run_sidecar
from .test_memory_limit import run_with_usual_clients
from .usual_clients import DEADLINE_S

FLOOD_S = 4.0
CLOSE_SLACK_S = 0.1  # STANDING: an attempt that begins later after its client's close is a lost request
REQUESTS = 3000
MEMORY_MB = 64

FLOODS = {
    "unknown class": lambda n: b"GET /none HTTP/1.1\r\nHost: o\r\nX-Request-Id: f%d\r\n\r\n" % n,
    "ever new class names": lambda n: b"GET /none-%d HTTP/1.1\r\nHost: o\r\nX-Class: none-%d\r\n\r\n" % (n, n),
    "unsound deadline": lambda n: idempotent_request(f"f{n}", f"1e{n}"),
    "small and sound": lambda n: idempotent_request(f"f{n}"),
    "invalid idempotency key": lambda n: idempotent_request(f"f{n}", "1.5", b"Idempotency-Key: k%d\r\n" % n),
    "short body": lambda n: at_most_once_request(f"f{n}", "1.5", b"Content-Length: 3\r\n", b"abc"),
    "heads in many reads": lambda n: b"GET /none HTTP/1.1\r\nHost: o\r\nX: %b\r\n\r\n" % (b"x" * 3000),
    "empty lines": lambda n: b"\r\n" * 50,
}


async def flood(address: tuple[str, int], data: bytes, seconds: float) -> None:
    """Send at full speed, read what comes, and connect again as soon as the sidecar closes."""
    loop = asyncio.get_running_loop()

    async def discard_answers(sock: socket.socket) -> None:
        while await loop.sock_recv(sock, 1 << 16):
            pass

    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s:
        sock = socket.socket()
        sock.setblocking(False)
        reading = None
        try:
            await loop.sock_connect(sock, address)
            reading = asyncio.ensure_future(discard_answers(sock))
            while time.monotonic() < until_s and not reading.done():
                await loop.sock_sendall(sock, data)
                await asyncio.sleep(0)
        except ConnectionError:
            pass  # closed for what it sent
        finally:
            if reading:
                reading.cancel()
            sock.close()


@pytest.mark.parametrize("what", FLOODS)
def test_a_client_at_full_speed_delays_no_other(tmp_path: Path, what: str) -> None:
    """Guards against the incident f104c5: others were answered late or never, or memory grew without end."""

    async def test() -> None:
        async with run_with_usual_clients(tmp_path, MEMORY_MB) as (daemon, usual):
            data = b"".join(FLOODS[what](n) for n in range(REQUESTS))
            await flood(daemon.address, data, FLOOD_S)
            assert usual.served > 0.9 * usual.sent - usual.rate_per_s * DEADLINE_S

    run(test())


@pytest.mark.parametrize("size", [16, 3000])
def test_a_read_full_of_requests_is_handled_in_several_turns(size: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against one connection that uses a whole turn: 256 KB of requests took 0.1 s and more."""

    async def test() -> None:
        async with run_sidecar(Endpoint()) as r:
            turns: list[int] = []
            parse = input_turns.InputTurns.parse

            def count_and_parse(self: input_turns.InputTurns, data: bytes) -> None:
                parser = self._parser
                before = getattr(parser, "request_count", 0)
                parse(self, data)
                turns.append(getattr(parser, "request_count", 0) - before)

            monkeypatch.setattr(input_turns.InputTurns, "parse", count_and_parse)
            reader, writer = await r.connect()
            request = b"GET /none HTTP/1.1\r\nHost: o\r\nX: %b\r\n\r\n" % (b"x" * size)
            count = 400
            writer.write(request * count)
            answer = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
            assert await reader.readexactly(len(answer) * count) == answer * count
            await wait_until(lambda: sum(turns) == count)
            assert max(turns) <= 16
            assert r.sidecar.node.memory.in_use == 0
            writer.close()

    run(test())


@pytest.mark.parametrize("how", ["end", "reset"])
def test_requests_that_wait_for_their_turn_are_not_sent_once_their_client_has_closed(how: str) -> None:
    """Guards against the incident f104c5: a client closed with much still unread, and its requests were sent on."""

    async def test() -> None:
        arrived_s: list[float] = []

        async def respond(_: bytes, writer: Writer) -> None:
            arrived_s.append(time.monotonic())
            writer.write(OK_RESPONSE)

        async with run_sidecar(Endpoint(respond)) as r:
            for client in range(20):
                sock = socket.create_connection(("127.0.0.1", r.sidecar.server.port))
                noise = b"".join(FLOODS["unknown class"](n) for n in range(300))
                sound = b"".join(at_most_once_request(f"s{client}-{n}") for n in range(30))
                sock.setblocking(False)
                with suppress(BlockingIOError):
                    sock.send(noise + sound)
                if how == "reset":
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.close()
                closed_s = time.monotonic()
                await asyncio.sleep(0.15)
                late = [at_s for at_s in arrived_s if at_s > closed_s + CLOSE_SLACK_S]
                assert not late, f"{len(late)} of {len(arrived_s)} began late"
                arrived_s.clear()

    run(test())
