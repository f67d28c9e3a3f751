"""What an endpoint sends behind a response, on loopback sockets: the rest of a body, noise, or the response again."""

import asyncio

import pytest

from ..net import (
    NOT_EXECUTED_RESPONSE,
    OK_RESPONSE,
    Endpoint,
    Reader,
    Writer,
    at_most_once_request,
    idempotent_request,
    run,
    run_sidecar,
    status,
)

REST = b'07,"bay":"12-C"}'
LONG = b"0123456789" * 6000  # not read at once, and short enough to be buffered
STREAMED = b"0123456789" * 30_000


def sized(body: bytes, length: int | None = None, fields: bytes = b"") -> bytes:
    count = len(body) if length is None else length
    return b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b" % (fields, count, body)


def chunked(body: bytes, end: bytes = b"0\r\n\r\n") -> bytes:
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n%b" % (len(body), body, end)


SPOILT = {
    "length too short": [sized(b"ok" + REST, 2)],
    "length too short, in pieces": [sized(b"o", 2), b"k" + REST],
    "length too short, with a close": [sized(b"ok" + REST, 2, b"Connection: close\r\n")],
    "length too short, HTTP/1.0": [sized(b"ok" + REST, 2).replace(b"1.1", b"1.0")],
    "length too short by a line end": [sized(b"ok\n", 2)],
    "length too short by an empty line": [sized(b"ok\r\n\r\n", 2)],
    "length 0": [sized(REST, 0)],
    "no content": [b"HTTP/1.1 204 No Content\r\n\r\n" + REST],
    "length too short, long": [sized(LONG + REST * 1000, len(LONG))],
    "interim response ahead": [b"HTTP/1.1 103 Early Hints\r\n\r\n" + sized(b"ok" + REST, 2)],
    "chunked": [chunked(b"ok") + REST],
    "chunked, in pieces": [chunked(b"ok")[:-3], b"\n\r\n" + REST],
    "chunked, with an empty line": [chunked(b"ok") + b"\r\n"],
    "chunked, with trailers": [chunked(b"ok", b"0\r\nX-A: b\r\n\r\n") + REST],
    "another response": [sized(b"ok") + sized(b"no")],
    "another response's head": [sized(b"ok") + sized(b"ok", fields=b"X-A: b\r\n")],
    "another status": [sized(b"ok") + sized(b"ok").replace(b"200", b"201")],
    "a rejection and a response": [NOT_EXECUTED_RESPONSE + sized(b"ok")],
    "a rejection and noise": [NOT_EXECUTED_RESPONSE + REST],
}
REPEATED = {
    "with a length": [sized(b"ok") * 2],
    "in pieces": [sized(b"ok") + sized(b"ok")[:9], sized(b"ok")[9:]],
    "with a close": [sized(b"ok", fields=b"Connection: close\r\n") * 2],
    "chunked": [chunked(b"ok") * 2],
    "after an interim response": [(b"HTTP/1.1 103 Early Hints\r\n\r\n" + sized(b"ok")) * 2],
    "twice": [sized(b"ok") * 3],
    "and noise": [sized(b"ok") * 2 + REST],
}


async def write_parts(writer: Writer, parts: list[bytes]) -> None:
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("name", SPOILT)
def test_a_response_with_foreign_data_behind_it_is_not_served(name: str) -> None:
    """Guards against a part of a body that is served as the whole, and against another request's response."""

    async def test() -> None:
        spoilt = [SPOILT[name]]

        async def respond(_: bytes, writer: Writer) -> None:
            await write_parts(writer, spoilt.pop() if spoilt else [OK_RESPONSE])

        endpoints = Endpoint(respond), Endpoint(respond)
        async with run_sidecar(*endpoints) as r:
            head, body = await r.request(idempotent_request())
            assert (status(head), body) == (200, b"ok")
            assert sum(len(e.request_heads) for e in endpoints) == 2
            spoilt.append(SPOILT[name])
            head, _ = await r.request(at_most_once_request())
            assert status(head) == 502  # it may have run
            assert sum(len(e.request_heads) for e in endpoints) == 3
            assert r.sidecar.node.memory.in_use == 0

    run(test())


@pytest.mark.parametrize("name", REPEATED)
def test_a_response_with_the_same_response_behind_it_is_served(name: str) -> None:
    async def test() -> None:
        async def respond(_: bytes, writer: Writer) -> None:
            await write_parts(writer, REPEATED[name])

        endpoint = Endpoint(respond)
        async with run_sidecar(endpoint) as r:
            for request_id in ("a", "b"):
                head, body = await r.request(at_most_once_request(request_id))
                assert (status(head), body) == (200, b"ok")
            assert endpoint.accepted_connections == 2  # a connection with data behind a response is not used again
            assert r.sidecar.node.memory.in_use == 0

    run(test())


async def ends_whole(reader: Reader, head: bytes) -> bool:
    """Return whether the body that follows the head is whole, as far as its client can tell."""
    wire, length = b"", -1
    if b"chunked" not in head:
        length = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
    try:
        while len(wire) != length and not wire.endswith(b"\r\n0\r\n\r\n"):
            data = await reader.read(65536)
            if not data:
                return False
            wire += data
    except ConnectionError:
        return False
    return True


STREAMED_FORMS = {
    "length too short": (sized(STREAMED + REST, len(STREAMED)), False),
    "length too short by a line end": (sized(STREAMED + b"\n", len(STREAMED)), False),
    "length too short by much": (sized(STREAMED, 100_000), False),
    "chunked and noise": (chunked(STREAMED) + REST, False),
    "sound": (sized(STREAMED), True),
    "chunked": (chunked(STREAMED), True),
    "repeated": (sized(STREAMED) * 2, True),
    "with a close": (sized(STREAMED, fields=b"Connection: close\r\n"), True),
}


@pytest.mark.parametrize("name", STREAMED_FORMS)
def test_a_streamed_response_with_foreign_data_behind_it_is_not_completed(name: str) -> None:
    """Guards against a part of a long body that the client takes for the whole."""
    response, is_sound = STREAMED_FORMS[name]

    async def test() -> None:
        async def respond(head: bytes, writer: Writer) -> None:
            for start in range(0, len(response), 16_000):
                await write_parts(writer, [response[start : start + 16_000]])
            if b"Connection: close" in response:
                writer.close()

        async with run_sidecar(Endpoint(respond)) as r:
            reader, writer = await r.connect()
            writer.write(idempotent_request(deadline="20"))
            head = await reader.readuntil(b"\r\n\r\n")
            assert status(head) == 200
            is_whole = await ends_whole(reader, head)
            assert is_whole == is_sound
            writer.close()

    run(test())
