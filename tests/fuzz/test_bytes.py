"""What an explorer's few bytes can't reach: any bytes at all of a client, of a node, of the list, of a configuration.

The same examples each time.  What once failed lies in `tests/data`, a file each, and is played first.
"""

import copy
import json
import math
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import h11
import httptools
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from checker import properties
from checker.explore import MAX_QUIESCENCE_STEPS
from checker.history import RequestRecord
from checker.scheduler import Scheduler
from checker.world import Setting, World
from gateusher.config import file as toml_config
from gateusher.config import platform
from gateusher.config.model import ConfigError
from gateusher.core.requests import MAX_LIBRARY_BODY_BYTES
from gateusher.listeners import client_connection, request_parser
from gateusher.listeners.client_connection import ClientConnection
from gateusher.policy.interface import EndpointState
from gateusher.upstream.response_parser import MAX_HEAD_BYTES
from gateusher.virtual.loop import Transport
from tests.net import configuration

DATA = Path(__file__).parents[1] / "data"
SAME = settings(
    derandomize=True, database=None, deadline=None, max_examples=400, suppress_health_check=list(HealthCheck)
)


def kept(what: str) -> list[bytes]:
    return [path.read_bytes() for path in sorted((DATA / what).iterdir())]


def world(face: str = "daemon", effect: str = "safe", **setting: Any) -> World:
    return World(Scheduler([]), face, (effect,), setting=Setting(**setting))


def in_parts(data: bytes, cuts: list[int]) -> Iterator[bytes]:
    places = sorted({c % (len(data) + 1) for c in cuts} | {0, len(data)})
    for start, end in zip(places, places[1:], strict=False):
        yield data[start:end]


def at_rest(w: World) -> None:
    """Time alone does the rest, and nothing may be left."""
    w.quiesce()
    w.loop.settle()
    for _ in range(MAX_QUIESCENCE_STEPS):
        if not w.has_pending_work():
            break
        w.loop.fire()
        w.loop.settle()
    assert not w.loop.errors
    assert not properties.nothing_retained(w)


def edited(base: bytes, edits: list[tuple[int, int, bytes]]) -> bytes:
    """With so much left out and this put in, at each of these places."""
    for place, gone, new in edits:
        at = place % (len(base) + 1)
        base = base[:at] + new + base[at + gone :]
    return base


PIECES = st.sampled_from(
    [
        b"",
        b"\r\n",
        b"\n",
        b"\r",
        b" ",
        b"0",
        b"1",
        b":",
        b",",
        b"\x00",
        b"\xff",
        b"\r\n\r\n",
        b"chunked",
        b"Content-Length: 1\r\n",
        b"close",
    ]
)
EDITS = st.lists(st.tuples(st.integers(0, 1000), st.integers(0, 3), PIECES), max_size=2)


# -- a client

NAMES = [
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
VALUES = [
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
LINES = st.one_of(
    st.builds(
        lambda n, v, end: n + b": " + v + end,
        st.sampled_from(NAMES),
        st.sampled_from(VALUES),
        st.sampled_from([b"\r\n", b"\r\n", b"\r\n", b"\n", b"\r", b""]),
    ),
    st.sampled_from([b"Content-Length: 2\r\n", b"Transfer-Encoding: chunked\r\n"]),
)
STARTS = st.sampled_from(
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
GOOD = b"Host: o\r\nX-Request-Id: %d\r\nX-Deadline: 1.0\r\nX-Ask: a%d\r\n"
BODIES = st.sampled_from(
    [
        b"",
        b"ab",
        b"0\r\n\r\n",
        b"2\r\nab\r\n0\r\n\r\n",
        b"ffffffffffffffff\r\n",
        b"2;x=y\r\nab\r\n",
        b"GET /safe HTTP/1.1\r\n" + GOOD % (9, 9) + b"\r\n",
        b"a" * 70000,
        b"2\nab\n0\n\n",
        b"0\r\nX-Request-Id: 8\r\n\r\n",
    ]
)
REQUESTS = st.lists(
    st.one_of(
        st.builds(
            lambda start, good, lines, end, body, n: (
                start + (GOOD % (n, n) if good else b"") + b"".join(lines) + end + body
            ),
            STARTS,
            st.booleans(),
            st.lists(LINES, max_size=4),
            st.sampled_from([b"\r\n", b"\r\n", b"\n", b""]),
            BODIES,
            st.integers(0, 5),
        ),
        st.binary(max_size=30),
    ),
    min_size=1,
    max_size=4,
).map(b"".join)
PLAIN = (
    b"GET /safe HTTP/1.1\r\n" + GOOD % (1, 1) + b"\r\n",
    b"POST /unsafe HTTP/1.1\r\n" + GOOD % (2, 2) + b"Content-Length: 2\r\n\r\nab",
    b"POST /unsafe HTTP/1.1\r\n" + GOOD % (3, 3) + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    b"POST /keyed HTTP/1.1\r\n" + GOOD % (4, 4) + b"Idempotency-Key: k\r\nContent-Length: 2\r\n\r\nab",
)
SPOILT = st.builds(edited, st.lists(st.sampled_from(PLAIN), min_size=1, max_size=3).map(b"".join), EDITS)


def client_says(data: bytes, cuts: list[int]) -> None:
    w = world()
    try:
        w.node.descriptors.acquire()
        client = ClientConnection(w.sidecar.server)
        w.sidecar.server._connections.add(client)
        door = listener_end(w, client)
        for part in in_parts(data, cuts):
            door.feed(part)
            w.loop.settle()
            # Bodies count in the budget; a head and what the parser holds of one are bounded by themselves.
            assert w.node.memory.in_use <= (client_connection.MAX_PIPELINED_REQUESTS + 1) * MAX_LIBRARY_BODY_BYTES
            assert client._parser.head_bytes <= request_parser.MAX_HEAD_BYTES + len(part)
            assert len(client._unanswered) <= client_connection.MAX_PIPELINED_REQUESTS + 1
        for dial in w.loop.dials:
            w._establish(dial)
        w.loop.settle()
        for sent in w.history.attempts:
            heads = sent_heads(bytes(sent.transport.sent))
            assert len(heads) == 1, "one write, and an endpoint reads more than one request"
        for sent in list(w.history.attempts):
            sent.answered = True
            sent.transport.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
        w.loop.settle()
        assert len(answers(bytes(door.sent))) <= client_connection.MAX_PIPELINED_REQUESTS + 1 + data.count(b"\n")
        if not door.closing:
            door.end(False)
        w.loop.settle()
        w.daemon_connections.clear()
        at_rest(w)
    finally:
        w.close()


def listener_end(w: World, client: ClientConnection) -> Transport:
    door = Transport(w.loop, client, 0)
    client.connection_made(door)  # type: ignore[arg-type]
    w.history.requests.update(
        {f"a{n}": RequestRecord(f"a{n}", str(n), "safe", 1.0, extra=True, submitted_at=1000.0) for n in range(10)}
    )
    return door


def sent_heads(data: bytes) -> list[bytes]:
    """What a strict server reads of what an endpoint was sent."""
    server = h11.Connection(h11.SERVER)
    server.receive_data(data)
    heads: list[bytes] = []
    while True:
        event = server.next_event()
        if isinstance(event, h11.Request):
            heads.append(event.target)
        elif event is h11.PAUSED:
            server.send(h11.Response(status_code=200, headers=[("Content-Length", "0")]))
            server.send(h11.EndOfMessage())
            if server.their_state is h11.MUST_CLOSE:
                return heads
            server.start_next_cycle()
        elif event is h11.NEED_DATA or isinstance(event, h11.ConnectionClosed):
            return heads


def answers(data: bytes) -> list[int]:
    """The final answers in what a client got; it must be readable to the end."""
    found: list[int] = []

    class Reader:
        def on_message_complete(self) -> None:
            if parser.get_status_code() >= 200:
                found.append(parser.get_status_code())

    parser = httptools.HttpResponseParser(Reader())
    parser.feed_data(data)
    return found


@SAME
@given(st.one_of(REQUESTS, SPOILT, SPOILT), st.lists(st.integers(0, 100_000), max_size=4))
def test_any_bytes_of_a_client(data: bytes, cuts: list[int]) -> None:
    client_says(data, cuts)


@pytest.mark.parametrize("data", kept("client"))
def test_kept_bytes_of_a_client(data: bytes) -> None:
    for cuts in ([], [1], list(range(0, len(data), 7))):
        client_says(data, cuts)


# -- a node

STATUS = st.sampled_from(
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
CONTENT = st.sampled_from(
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
ANSWERS = st.one_of(
    st.builds(
        lambda s, f, end, c: s + b"".join(f) + end + c,
        STATUS,
        st.lists(FIELDS, max_size=4),
        st.sampled_from([b"\r\n", b"\r\n", b"\n", b""]),
        CONTENT,
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


def node_says(effect: str, data: bytes, cuts: list[int], end: str) -> None:
    w = world("library", effect)
    try:
        w._submit_request(0)
        w.loop.settle()
        w._establish(w.loop.dials[0])
        w.loop.settle()
        (transport,) = w.transports
        (sent,) = w.history.attempts
        for part in in_parts(data, cuts):
            transport.feed(part)
            w.loop.settle()
            assert w.node.memory.in_use <= MAX_LIBRARY_BODY_BYTES + len(b"ab")
            conn = next(iter(w.upstream._connections), None)
            assert conn is None or conn._parser.head_bytes <= 2 * MAX_HEAD_BYTES + len(part)
        sent.served = True  # judged below, by another reader
        if end != "nothing":
            transport.end(end == "reset")
        w.loop.settle()
        told = next(iter(w.history.requests.values())).outcomes
        if told and told[0][1] == "served":
            read = another_reads(data, effect, end == "the end")
            assert read is None or read == told[0][2], f"served {told[0][2][:50]!r}, and another reads {read[:50]!r}"
        at_rest(w)
        assert len(told) == 1
    finally:
        w.close()


def another_reads(data: bytes, effect: str, ended: bool) -> bytes | None:
    """The body of the final answer as h11 reads it; None where it can't, which is no proof of anything."""
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


@SAME
@given(
    st.sampled_from(["safe", "unsafe", "keyed"]),
    ANSWERS,
    st.lists(st.integers(0, 100_000), max_size=4),
    st.sampled_from(["nothing", "the end", "reset"]),
)
def test_any_bytes_of_a_node(effect: str, data: bytes, cuts: list[int], end: str) -> None:
    node_says(effect, data, cuts, end)


@pytest.mark.parametrize("data", kept("node"))
def test_kept_bytes_of_a_node(data: bytes) -> None:
    for end in ("nothing", "the end", "reset"):
        for cuts in ([], list(range(0, len(data), 5))):
            node_says("unsafe", data, cuts, end)


# -- the list

ODD = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-2, 70000),
    st.floats(),
    st.text(max_size=5),
    st.lists(st.integers(), max_size=2),
    st.just(1e400),
    st.just("127.0.0.1:0"),
    st.just("::1:9"),
)
ENTRY = st.fixed_dictionaries(
    {"host": st.sampled_from(["n0", "n1", "n9"]), "health": st.sampled_from(["Ready", "Terminating", "Gone", "Odd"])},
    optional={
        "dial": st.one_of(st.sampled_from(["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:5"]), ODD),
        "site": st.one_of(st.sampled_from(["a", "b"]), ODD),
        "class": ODD,
        "block": ODD,
        "share": ODD,
        "born_ms": ODD,
    },
)
LINE = st.fixed_dictionaries(
    {
        "seq": st.one_of(st.integers(0, 9), ODD),
        "whole": st.one_of(st.booleans(), ODD),
        "hosts": st.one_of(st.lists(st.one_of(ENTRY, ODD), max_size=3), ODD),
    }
)
TEXT = st.one_of(
    LINE.map(lambda line: json.dumps(line).encode()),
    st.binary(max_size=20),
    st.just(b"[" * 100_000),
    st.just(b'{"seq":' + b"9" * 5000 + b"}"),
)


def list_says(lines: list[bytes], cuts: list[int]) -> None:
    w = world(watched_list=True)
    try:
        w.node.discovery.watch()
        w.loop.settle()
        w._establish_watch(w.loop.dials[0])
        w.loop.settle()
        (watch,) = w.watches
        for line in lines:
            data = line + b"\n"
            before = copy.copy(w.balancer.endpoint_list.endpoints)
            for part in in_parts(b"%x\r\n%b\r\n" % (len(data), data), cuts):
                watch.feed(part)
                w.loop.settle()
            assert not w.loop.errors
            assert {s.endpoint_id for s in w.balancer.control_set.ready} <= set(w.upstream._endpoints)
            assert all(w.upstream._endpoints[s.endpoint_id].ready for s in w.balancer.control_set.ready)
            for server in w.balancer.control_set.ready:
                assert all(math.isfinite(x) for x in (server.entry.capacity_share, server.entry.started_ms))
            if not watch.closing:
                told_to_drain(w, line, before)
        at_rest(w)
    finally:
        w.close()


def told_to_drain(w: World, line: bytes, before: Any) -> None:
    """However flawed an entry is: where its name can be read, a drain counts."""
    try:
        told = json.loads(line)
    except (ValueError, RecursionError):
        return
    last = {e["host"]: e["health"] for e in told["hosts"] if isinstance(e, dict)}
    for name, health in last.items():
        host = next((h for h in w.upstream._endpoints.values() if h.name == name), None)
        if health in ("Terminating", "Gone") and host is not None:
            assert w.balancer.endpoint_list.endpoints[host.endpoint_id].entry.state is EndpointState.DRAINING
            assert not host.ready


@SAME
@given(st.lists(TEXT, min_size=1, max_size=3), st.lists(st.integers(0, 100_000), max_size=3))
def test_any_lines_of_the_list(lines: list[bytes], cuts: list[int]) -> None:
    list_says(lines, cuts)


@pytest.mark.parametrize("data", kept("list"))
def test_kept_lines_of_the_list(data: bytes) -> None:
    list_says(data.splitlines(), [])


# -- configurations


def _changed(base: Any, path: list[int], value: Any) -> Any:
    """A copy with one place of it, found by these numbers, put to another value or left out."""
    base = copy.deepcopy(base)
    at = base
    for step, number in enumerate(path):
        if not isinstance(at, dict | list) or not at:
            break
        key = list(at)[number % len(at)] if isinstance(at, dict) else number % len(at)
        if step == len(path) - 1 or not isinstance(at[key], dict | list):
            if value is Ellipsis:
                del at[key]
            else:
                at[key] = value
            break
        at = at[key]
    return base


PLATFORM = configuration(
    [
        {
            "host": "e0",
            "dial": "127.0.0.1:1",
            "site": "a",
            "class": "m",
            "block": 0,
            "health": "Ready",
            "share": 1.0,
            "born_ms": 0,
        }
    ],
    1,
)
JSON = st.one_of(
    st.just(...),
    st.recursive(
        ODD,
        lambda inner: st.one_of(st.lists(inner, max_size=2), st.dictionaries(st.text(max_size=4), inner, max_size=2)),
        max_leaves=4,
    ),
)


CHANGES = st.lists(st.tuples(st.lists(st.integers(0, 20), min_size=1, max_size=4), JSON), min_size=1, max_size=3)


def read(parse: Callable[[Any], object], conf: Any, changes: list[tuple[list[int], Any]]) -> None:
    """It is read, or its faults are told."""
    for path, value in changes:
        conf = _changed(conf, path, value)
    try:
        parse(conf)
    except ConfigError as error:
        assert str(error)


@SAME
@given(CHANGES)
def test_any_configuration_of_the_platform(changes: list[tuple[list[int], Any]]) -> None:
    read(lambda conf: platform.parse(conf, {}), PLATFORM, changes)


EXAMPLE = tomllib.loads((DATA.parents[1] / "deploy" / "gateusher.example.toml").read_text())


@SAME
@given(CHANGES)
def test_any_configuration_in_toml(changes: list[tuple[list[int], Any]]) -> None:
    read(toml_config.parse, EXAMPLE, changes)
