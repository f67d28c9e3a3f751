"""What a client sends behind a request, on loopback sockets: the rest of a body, noise, or another request."""

import asyncio

import pytest

from gateusher.listeners.client_connection import MAX_BUFFERED_REQUEST_BYTES

from ..helpers import HANG_TIMEOUT_S
from ..net import (
    OK_RESPONSE,
    Endpoint,
    Reader,
    RunningSidecar,
    Writer,
    at_most_once_request,
    idempotent_request,
    read_message,
    run,
    run_sidecar,
    status,
)

REST = b'llets":40,"to":"Taichung"}'
BUFFERED = b"0123456789" * 10_000
FORWARDED = b"0123456789" * (MAX_BUFFERED_REQUEST_BYTES // 10 * 3)


def post(body: bytes, length: int | None = None, fields: bytes = b"") -> bytes:
    count = len(body) if length is None else length
    return at_most_once_request("a", extra_headers=b"Content-Length: %d\r\n%b" % (count, fields), body=body)


def post_chunked(body: bytes, end: bytes = b"0\r\n\r\n") -> bytes:
    text = b"".join(
        b"%x\r\n%b\r\n" % (len(body[i : i + 9000]), body[i : i + 9000]) for i in range(0, len(body), 9000)
    )
    return at_most_once_request("a", extra_headers=b"Transfer-Encoding: chunked\r\n", body=text + end)


SPOILT = {
    "length too short": post(b"ab" + REST, 2),
    "length too short, with a close": post(b"ab" + REST, 2, b"Connection: close\r\n"),
    "length too short, HTTP/1.0": post(b"ab" + REST, 2).replace(b"HTTP/1.1", b"HTTP/1.0"),
    "length too short by a line end": post(b"ab\n", 2),
    "length too short by empty lines": post(b"ab\r\n\r\n", 2),
    "length too short by the beginning of a method": post(b"abPU", 2),
    "length 0": post(REST, 0),
    "no length": idempotent_request() + REST,
    "no length, with a close": idempotent_request(extra_headers=b"Connection: close\r\n") + b"\x00noise",
    "chunked": post_chunked(b"ab") + REST,
    "chunked, with trailers": post_chunked(b"ab", b"0\r\nX-A: b\r\n\r\n") + REST,
    "buffered": post(BUFFERED + REST, len(BUFFERED)),
    "forwarded": post(FORWARDED + REST, len(FORWARDED)),
    "forwarded, much too short": post(FORWARDED, len(FORWARDED) - 200_000),
    "forwarded, chunked": post_chunked(FORWARDED) + REST,
    "forwarded, begins late": post(
        FORWARDED[: MAX_BUFFERED_REQUEST_BYTES + 1] + REST, MAX_BUFFERED_REQUEST_BYTES + 1
    ),
}


class ChunkedEndpoint(Endpoint):
    """Also reads chunked bodies; it records a request once it is complete."""

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        try:
            while True:
                head, _ = await read_message(reader)
                wire = b"0\r\n\r\n" if b"chunked" not in head else b""
                while not wire.endswith(b"0\r\n\r\n"):
                    data = await reader.read(65536)
                    if not data:
                        return
                    wire = wire[-8:] + data
                self.request_heads.append(head)
                if self._handler:
                    await self._handler(head, writer)
                else:
                    writer.write(OK_RESPONSE)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def read_statuses(reader: Reader) -> list[int]:
    """Return the statuses of all responses up to the end of the connection."""
    statuses = []
    try:
        while not reader.at_eof():
            statuses.append(status((await read_message(reader))[0]))
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    return statuses


async def send(r: RunningSidecar, data: bytes) -> list[int]:
    reader, writer = await r.connect()
    writer.write(data)
    statuses = await asyncio.wait_for(read_statuses(reader), HANG_TIMEOUT_S)
    writer.close()
    return statuses


@pytest.mark.parametrize("name", SPOILT)
def test_a_request_with_foreign_data_behind_it_reaches_no_endpoint(name: str) -> None:
    """Guards against a part of a body that is passed on as the whole, run and served."""

    async def test() -> None:
        endpoint = ChunkedEndpoint()
        async with run_sidecar(endpoint) as r:
            assert await send(r, SPOILT[name]) == [400]
            head, body = await r.request(at_most_once_request("good"))
            assert (status(head), body) == (200, b"ok")
            assert [b"X-Request-Id: good" in head for head in endpoint.request_heads] == [True]
            assert r.sidecar.node.memory.in_use == 0

    run(test())


LATE = {
    "no length": (idempotent_request("a"), b"\x00noise"),
    "length too short": (post(b"ab"), REST),
    "length too short by a line end": (post(b"ab"), b"\n"),
    "with a close": (post(b"ab", fields=b"Connection: close\r\n"), REST),
    "chunked": (post_chunked(b"ab"), REST),
    "forwarded": (post(FORWARDED), REST),
}


@pytest.mark.parametrize("name", LATE)
def test_a_request_with_foreign_data_behind_it_is_not_served_while_its_response_is_outstanding(name: str) -> None:
    """Guards against serving a request of which a later read shows that its body was cut."""
    request, rest = LATE[name]

    async def test() -> None:
        has_arrived, may_respond = asyncio.Event(), asyncio.Event()

        async def respond(_: bytes, writer: Writer) -> None:
            has_arrived.set()
            await may_respond.wait()
            writer.write(OK_RESPONSE)

        endpoint = ChunkedEndpoint(respond)
        async with run_sidecar(endpoint) as r:
            reader, writer = await r.connect()
            writer.write(request)
            await has_arrived.wait()
            writer.write(rest)
            assert status((await read_message(reader))[0]) == 400
            may_respond.set()
            assert await read_statuses(reader) == []
            assert len(endpoint.request_heads) == 1
            writer.close()

    run(test())


def test_a_response_that_is_being_written_is_cut_if_foreign_data_follows_the_request() -> None:
    """Guards against completing the response to a request whose body was cut; the client can tell."""

    async def test() -> None:
        may_end = asyncio.Event()

        async def respond(_: bytes, writer: Writer) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + bytes(100_000))
            await may_end.wait()
            writer.write(bytes(100_000))

        async with run_sidecar(Endpoint(respond)) as r:
            reader, writer = await r.connect()
            writer.write(post(b"ab"))
            assert status(await reader.readuntil(b"\r\n\r\n")) == 200
            writer.write(REST)
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await reader.readexactly(200_000)
            may_end.set()
            writer.close()

    run(test())


NEXT = idempotent_request("b")
SOUND = {
    "another request": ([post(b"ab") + NEXT], [200, 200]),
    "another request behind an empty line": ([post(b"ab") + b"\r\n" + NEXT], [200, 200]),
    "an empty line": ([post(b"ab") + b"\r\n"], [200]),
    "another request in pieces": ([post(b"ab") + NEXT[:2], NEXT[2:9], NEXT[9:60], NEXT[60:]], [200, 200]),
    "another request behind chunks": ([post_chunked(b"ab") + NEXT], [200, 200]),
    "another request behind a long body": ([post(FORWARDED) + NEXT], [200, 200]),
    "another request behind long chunks": ([post_chunked(FORWARDED) + NEXT], [200, 200]),
    "another request behind a close": ([post(b"ab", fields=b"Connection: close\r\n") + NEXT], [200]),
    "another request that can't be used": ([post(b"ab") + NEXT.replace(b"look", b"none")], [200, 400]),
    "another request that has not ended": ([post(b"ab") + NEXT[:-30]], [200, 408]),
}


@pytest.mark.parametrize("name", SOUND)
def test_a_request_with_a_sound_request_behind_it_is_served(name: str) -> None:
    pieces, expected = SOUND[name]

    async def test() -> None:
        endpoint = ChunkedEndpoint()
        async with run_sidecar(endpoint) as r:
            reader, writer = await r.connect()
            for piece in pieces:
                writer.write(piece)
                await asyncio.sleep(0.02)
            statuses = [status((await read_message(reader))[0]) for _ in expected]
            assert statuses == expected
            writer.close()

    run(test())
