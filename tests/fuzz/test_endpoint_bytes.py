"""Fuzzing of the bytes that an endpoint sends."""

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateusher.core.requests import MAX_LIBRARY_BODY_BYTES
from gateusher.upstream.response_parser import MAX_HEAD_BYTES

from .inputs import EDITS, FUZZ_SETTINGS, check_nothing_is_left, edited, make_world, saved_inputs, split_at

STATUS_LINES = st.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200\r\n",
        b"HTTP/1.0 200 OK\r\n",
        b"HTTP/1.1 204 X\r\n",
        b"HTTP/1.1 304 X\r\n",
        b"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 101 X\r\n",
        b"HTTP/1.1 503 X\r\n",
        b"HTTP/1.1 999 X\r\n",
        b"HTTP/1.1 99 X\r\n",
        b"HTTP/2 200\r\n",
        b"HTTP/1.1 200 OK\n",
        b"200 OK\r\n",
    ]
)

FIELDS = st.sampled_from(
    [
        b"Content-Length: 2\r\n",
        b"Content-Length: 0\r\n",
        b"Content-Length: 3\r\n",
        b"X-Load: TEXT queue=1\r\n",
        b"Content-Length: -1\r\n",
        b"Content-Length: 2, 2\r\n",
        b"Content-Length: 3000000000\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: gzip\r\n",
        b"Connection: close\r\n",
        b"Connection: x-a\r\n",
        b"X-A: b\r\n",
        b"X-Not-Run: 1\r\n",
        b"X-Load: \xff=,,=\r\n",
        b"A: b\n",
        b"Content-Length: 18446744073709551617\r\n",
        b" folded\r\n",
        b"X: " + b"y" * 70000 + b"\r\n",
    ]
)

CONTENTS = st.sampled_from(
    [
        b"",
        b"ab",
        b"abc",
        b"2\r\nab\r\n0\r\n\r\n",
        b"0\r\n\r\n",
        b"2\r\nabc\r\n",
        b"x" * 70000,
        b"fffffffff\r\n",
        b"2\r\nab\r\n0\r\nX-A: t\r\n\r\n",
        b"abHTTP/1.1 200 OK\r\n\r\n",
    ]
)

RESPONSES = st.one_of(
    st.builds(
        lambda s, f, end, c: s + b"".join(f) + end + c,
        STATUS_LINES,
        st.lists(FIELDS, max_size=4),
        st.sampled_from([b"\r\n", b"\r\n", b"\n", b""]),
        CONTENTS,
    ),
    st.binary(max_size=40),
    *[
        st.builds(
            edited,
            st.sampled_from(
                [
                    b"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 3\r\n\r\nabc",
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n",
                    b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc",
                    b"HTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 404 X\r\nContent-Length: 3\r\n\r\nabc",
                    b"HTTP/1.1 204 X\r\n\r\n",
                ]
            ),
            EDITS,
        )
    ]
    * 3,
)


def check_endpoint_bytes(effect: str, data: bytes, cuts: list[int], end: str) -> None:
    w = make_world("library", effect)
    try:
        w._submit_request(0)
        w.loop.settle()
        w._establish(w.loop.dials[0])
        w.loop.settle()
        (transport,) = w.transports
        (sent,) = w.history.attempts
        for part in split_at(data, cuts):
            transport.feed(part)
            w.loop.settle()
            assert w.node.memory.in_use <= MAX_LIBRARY_BODY_BYTES + len(b"ab")
            conn = next(iter(w.upstream._connections), None)
            assert conn is None or conn._parser.head_bytes <= 2 * MAX_HEAD_BYTES + len(part)
        sent.served = True  # its response is checked below, with another parser
        if end != "nothing":
            transport.end(end == "reset")
        w.loop.settle()
        results = next(iter(w.history.requests.values())).outcomes
        if results and results[0][1] == "served":
            body = body_read_by_h11(data, effect, end == "the end")
            assert body is None or body == results[0][2], (
                f"served {results[0][2][:50]!r}, but h11 reads {body[:50]!r}"
            )
        check_nothing_is_left(w)
        assert len(results) == 1
    finally:
        w.close()


def body_read_by_h11(data: bytes, effect: str, ended: bool) -> bytes | None:
    """Return the body of the final response as h11 reads it; None if it can't, which proves nothing."""
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method="GET" if effect == "safe" else "POST", target="/", headers=[("Host", "o")]))
    client.send(h11.EndOfMessage())
    body = b""
    try:
        client.receive_data(data)
        if ended:
            client.receive_data(b"")
        while True:
            event = client.next_event()
            if isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return body
            elif event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return None
    except h11.RemoteProtocolError:
        return None


@FUZZ_SETTINGS
@given(
    st.sampled_from(["safe", "unsafe", "keyed"]),
    RESPONSES,
    st.lists(st.integers(0, 100_000), max_size=4),
    st.sampled_from(["nothing", "the end", "reset"]),
)
def test_any_bytes_of_an_endpoint(effect: str, data: bytes, cuts: list[int], end: str) -> None:
    check_endpoint_bytes(effect, data, cuts, end)


@pytest.mark.parametrize("data", saved_inputs("node"))
def test_saved_bytes_of_an_endpoint(data: bytes) -> None:
    for end in ("nothing", "the end", "reset"):
        for cuts in ([], list(range(0, len(data), 5))):
            check_endpoint_bytes("unsafe", data, cuts, end)
