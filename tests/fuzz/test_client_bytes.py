"""Fuzzing of the bytes that a client sends."""

import h11
import httptools
import pytest
from hypothesis import given
from hypothesis import strategies as st

from checker.history import RequestRecord
from checker.world import World
from gateusher.core.requests import MAX_LIBRARY_BODY_BYTES
from gateusher.listeners import client_connection, request_parser
from gateusher.listeners.client_connection import ClientConnection
from gateusher.virtual.loop import Transport

from .inputs import EDITS, FUZZ_SETTINGS, check_nothing_is_left, edited, make_world, saved_inputs, split_at

FIELD_NAMES = [
    b"Host",
    b"X-Request-Id",
    b"X-Class",
    b"X-Deadline",
    b"Content-Length",
    b"Transfer-Encoding",
    b"Connection",
    b"Expect",
    b"Upgrade",
    b"Idempotency-Key",
    b"X-Retry",
    b"X-Cost-Hint",
    b"X-Tenant",
    b"TE",
    b"",
    b" Host",
    b"Content-Length ",
    b"X\x00Y",
]

FIELD_VALUES = [
    b"a",
    b"1.0",
    b"0",
    b"2",
    b"-1",
    b"+2",
    b"2, 2",
    b"99999999999999999999",
    b"65537",
    b"chunked",
    b"gzip, chunked",
    b"chunked, chunked",
    b"close",
    b"keep-alive",
    b"100-continue",
    b"h2c",
    b"unsafe",
    b"safe",
    b"",
    b"\x00",
    b"a\r\n b",
    b"1e9",
    b"nan",
    b"\xff\xfe",
    b"x" * 9000,
]

FIELD_LINES = st.one_of(
    st.builds(
        lambda n, v, end: n + b": " + v + end,
        st.sampled_from(FIELD_NAMES),
        st.sampled_from(FIELD_VALUES),
        st.sampled_from([b"\r\n", b"\r\n", b"\r\n", b"\n", b"\r", b""]),
    ),
    st.sampled_from([b"Content-Length: 2\r\n", b"Transfer-Encoding: chunked\r\n"]),
)

REQUEST_LINES = st.sampled_from(
    [
        b"GET /safe HTTP/1.1\r\n",
        b"POST /unsafe HTTP/1.1\r\n",
        b"POST /unsafe HTTP/1.0\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        b"CONNECT a:1 HTTP/1.1\r\n",
        b"GET  /safe HTTP/1.1\r\n",
        b"GET http://a/safe HTTP/1.1\r\n",
        b"POST /unsafe?obj=1 HTTP/1.1\n",
        b"GET /safe\r\n",
    ]
)

VALID_FIELDS = b"Host: o\r\nX-Request-Id: %d\r\nX-Deadline: 1.0\r\nX-Ask: a%d\r\n"

BODIES = st.sampled_from(
    [
        b"",
        b"ab",
        b"0\r\n\r\n",
        b"2\r\nab\r\n0\r\n\r\n",
        b"ffffffffffffffff\r\n",
        b"2;x=y\r\nab\r\n",
        b"GET /safe HTTP/1.1\r\n" + VALID_FIELDS % (9, 9) + b"\r\n",
        b"a" * 70000,
        b"2\nab\n0\n\n",
        b"0\r\nX-Request-Id: 8\r\n\r\n",
    ]
)

REQUESTS = st.lists(
    st.one_of(
        st.builds(
            lambda start, valid, lines, end, body, n: (
                start + (VALID_FIELDS % (n, n) if valid else b"") + b"".join(lines) + end + body
            ),
            REQUEST_LINES,
            st.booleans(),
            st.lists(FIELD_LINES, max_size=4),
            st.sampled_from([b"\r\n", b"\r\n", b"\n", b""]),
            BODIES,
            st.integers(0, 5),
        ),
        st.binary(max_size=30),
    ),
    min_size=1,
    max_size=4,
).map(b"".join)

VALID_REQUESTS = (
    b"GET /safe HTTP/1.1\r\n" + VALID_FIELDS % (1, 1) + b"\r\n",
    b"POST /unsafe HTTP/1.1\r\n" + VALID_FIELDS % (2, 2) + b"Content-Length: 2\r\n\r\nab",
    b"POST /unsafe HTTP/1.1\r\n" + VALID_FIELDS % (3, 3) + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    b"POST /keyed HTTP/1.1\r\n" + VALID_FIELDS % (4, 4) + b"Idempotency-Key: k\r\nContent-Length: 2\r\n\r\nab",
)

EDITED_REQUESTS = st.builds(
    edited, st.lists(st.sampled_from(VALID_REQUESTS), min_size=1, max_size=3).map(b"".join), EDITS
)


def check_client_bytes(data: bytes, cuts: list[int]) -> None:
    w = make_world()
    try:
        w.node.descriptors.acquire()
        client = ClientConnection(w.sidecar.server)
        w.sidecar.server._connections.add(client)
        transport = connect_client(w, client)
        for part in split_at(data, cuts):
            transport.feed(part)
            w.loop.settle()
            # Bodies count against the budget; a head, and the part of one in the parser, have limits of their own.
            assert w.node.memory.in_use <= (client_connection.MAX_PIPELINED_REQUESTS + 1) * MAX_LIBRARY_BODY_BYTES
            assert client._parser.head_bytes <= request_parser.MAX_HEAD_BYTES + len(part)
            assert len(client._unanswered) <= client_connection.MAX_PIPELINED_REQUESTS + 1
        for dial in w.loop.dials:
            w._establish(dial)
        w.loop.settle()
        for sent in w.history.attempts:
            targets = request_targets(bytes(sent.transport.sent))
            assert len(targets) == 1, "an endpoint reads more than one request from one write"
        for sent in list(w.history.attempts):
            sent.answered = True
            sent.transport.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
        w.loop.settle()
        assert len(
            final_statuses(bytes(transport.sent))
        ) <= client_connection.MAX_PIPELINED_REQUESTS + 1 + data.count(b"\n")
        if not transport.closing:
            transport.end(False)
        w.loop.settle()
        w.daemon_connections.clear()
        check_nothing_is_left(w)
    finally:
        w.close()


def connect_client(w: World, client: ClientConnection) -> Transport:
    transport = Transport(w.loop, client, 0)
    client.connection_made(transport)  # type: ignore[arg-type]
    w.history.requests.update(
        {f"a{n}": RequestRecord(f"a{n}", str(n), "safe", 1.0, extra=True, submitted_at=1000.0) for n in range(10)}
    )
    return transport


def request_targets(data: bytes) -> list[bytes]:
    """Return the target of each request that a strict server parses from `data`."""
    server = h11.Connection(h11.SERVER)
    server.receive_data(data)
    targets: list[bytes] = []
    while True:
        event = server.next_event()
        if isinstance(event, h11.Request):
            targets.append(event.target)
        elif event is h11.PAUSED:
            server.send(h11.Response(status_code=200, headers=[("Content-Length", "0")]))
            server.send(h11.EndOfMessage())
            if server.their_state is h11.MUST_CLOSE:
                return targets
            server.start_next_cycle()
        elif event is h11.NEED_DATA or isinstance(event, h11.ConnectionClosed):
            return targets


def final_statuses(data: bytes) -> list[int]:
    """Return the status of each final response that a client received; raises an error if `data` is malformed."""
    statuses: list[int] = []

    class Reader:
        def on_message_complete(self) -> None:
            if parser.get_status_code() >= 200:
                statuses.append(parser.get_status_code())

    parser = httptools.HttpResponseParser(Reader())
    parser.feed_data(data)
    return statuses


@FUZZ_SETTINGS
@given(st.one_of(REQUESTS, EDITED_REQUESTS, EDITED_REQUESTS), st.lists(st.integers(0, 100_000), max_size=4))
def test_any_bytes_of_a_client(data: bytes, cuts: list[int]) -> None:
    check_client_bytes(data, cuts)


@pytest.mark.parametrize("data", saved_inputs("client"))
def test_saved_bytes_of_a_client(data: bytes) -> None:
    for cuts in ([], [1], list(range(0, len(data), 7))):
        check_client_bytes(data, cuts)
