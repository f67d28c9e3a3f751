"""Silence in the middle of a response that is passed on as it comes."""

import asyncio

import pytest

from gateusher.listeners import client_connection as connection_module
from gateusher.upstream.response_stream import EndpointBodyStream
from gateusher.virtual.loop import VirtualLoop

from ..net import Endpoint, Writer, idempotent_request, run, run_sidecar, status

LONGEST_PARTITION_S = 20.0  # BRIEF 6.3
FIRST_RESEND_S = (
    2 * LONGEST_PARTITION_S
)  # TCP doubles its intervals (RFC 6298), so this is the latest after a partition


class SilentConnection:
    def __init__(self) -> None:
        self.was_cut = False

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def cut_stream(self) -> None:
        self.was_cut = True

    def close(self) -> None:
        pass


def advance(loop: VirtualLoop, seconds: float) -> None:
    until_s = loop.now + seconds
    while loop.timers and loop.timers[0][0] <= until_s:
        loop.fire()
    loop.now = until_s


def test_an_endpoint_behind_the_longest_partition_is_waited_for() -> None:
    """Guards against cutting a long response that continues once the partition is over (review/10)."""
    loop, connection = VirtualLoop(), SilentConnection()
    stream = EndpointBodyStream(connection, loop, 1000)
    stream.resume()
    for _ in range(2):
        advance(loop, FIRST_RESEND_S)
        assert not connection.was_cut
        assert stream.feed(b"more")
    advance(loop, 2 * FIRST_RESEND_S)
    assert connection.was_cut


def test_a_client_that_pauses_within_a_streamed_response_is_waited_for(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the limit for complete responses, which is shorter than a partition may be."""
    monkeypatch.setattr(connection_module, "WRITE_STALL_TIMEOUT_S", 0.2)
    size = 8 << 20

    async def test() -> None:
        async def respond(_: bytes, writer: Writer) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size))

        async with run_sidecar(Endpoint(respond)) as r:
            reader, writer = await asyncio.open_connection("127.0.0.1", r.sidecar.server.port, limit=1024)
            writer.write(idempotent_request())
            assert status(await reader.readuntil(b"\r\n\r\n")) == 200
            (client,) = r.sidecar.server._connections
            client.pause_writing()  # as if the kernel took no more
            await asyncio.sleep(1.0)
            client.resume_writing()
            assert len(await reader.readexactly(size)) == size
            writer.close()

    run(test())
