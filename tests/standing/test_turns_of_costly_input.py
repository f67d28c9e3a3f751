"""Input that causes much work for its length is divided into turns, whoever sends it."""

import asyncio
import json
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from gateusher.discovery.call import DiscoveryCall
from gateusher.discovery.catalog import Discovery as FollowedDiscovery
from gateusher.listeners.client_connection import ClientConnection
from gateusher.listeners.request_parser import RequestParser
from gateusher.upstream.connection import Connection
from gateusher.upstream.response_parser import ResponseParser

from ..helpers import wait_until
from ..net import (
    Discovery,
    Endpoint,
    Reader,
    Writer,
    at_most_once_request,
    host_entry,
    idempotent_request,
    read_message,
    run,
    run_sidecar,
    status,
)

# 300 clients, as many as "connect by hundreds" (DAYS), leave a usual request, which takes some five iterations of the
# event loop, within its half second if each has 0.3 ms: 2,000 callbacks are more than that.
MAX_CALLBACKS = 2000
MAX_LISTS = 150
CALLBACKS = ("on_body", "on_header", "on_message_begin")


class Turns:
    """Counts the callbacks of each parser in each call of `data_received`."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.callbacks = self.most_callbacks = 0
        self.lists = self.most_lists = 0
        for parser in (RequestParser, ResponseParser, DiscoveryCall):
            for name in CALLBACKS:
                if hasattr(parser, name):
                    monkeypatch.setattr(parser, name, self._counted(getattr(parser, name)))
        for protocol in (ClientConnection, Connection, DiscoveryCall):
            monkeypatch.setattr(protocol, "data_received", self._turn(protocol.data_received))
        monkeypatch.setattr(FollowedDiscovery, "receive_list", self._counted_list(FollowedDiscovery.receive_list))

    def _counted(self, callback: Callable[..., None]) -> Callable[..., None]:
        def count(*args: Any) -> None:
            self.callbacks += 1
            callback(*args)

        return count

    def _counted_list(self, receive: Callable[..., None]) -> Callable[..., None]:
        def count(*args: Any) -> None:
            self.lists += 1
            receive(*args)

        return count

    def _turn(self, data_received: Callable[..., None]) -> Callable[..., None]:
        def measure(*args: Any) -> None:
            callbacks, lists = self.callbacks, self.lists
            data_received(*args)
            self.most_callbacks = max(self.most_callbacks, self.callbacks - callbacks)
            self.most_lists = max(self.most_lists, self.lists - lists)

        return measure


@pytest.fixture
def turns(monkeypatch: pytest.MonkeyPatch) -> Iterator[Turns]:
    yield Turns(monkeypatch)


CHUNKED = b"Transfer-Encoding: chunked\r\n"
TINY_CHUNKS = b"1\r\nx\r\n" * 60_000
CHUNKS = {
    "of one byte": TINY_CHUNKS + b"0\r\n\r\n",
    "with extensions": b"1;a=b\r\nx\r\n" * 40_000 + b"0\r\n\r\n",
    "and long ones between": (b"2000\r\n%b\r\n" % bytes(8192) * 4 + TINY_CHUNKS[:60_000]) * 4 + b"0\r\n\r\n",
}


@pytest.mark.parametrize("name", CHUNKS)
def test_a_body_in_tiny_chunks_is_read_in_turns(name: str, turns: Turns) -> None:
    """Guards against reads of which each causes thousands of callbacks: others were answered too late (review/9)."""

    async def test() -> None:
        async with run_sidecar(Endpoint()) as r:
            head, body = await r.request(at_most_once_request("a", "10", CHUNKED, CHUNKS[name]))
            assert (status(head), body) == (200, b"ok")
            assert 0 < turns.most_callbacks <= MAX_CALLBACKS
            assert r.sidecar.node.memory.in_use == 0

    run(test())


UNUSABLE = {
    "trailers": CHUNKED + b"\r\n1\r\nx\r\n0\r\n" + b"a:b\r\n" * 40_000 + b"\r\n",
    "a long trailer": CHUNKED + b"\r\n1\r\nx\r\n0\r\na: " + b"b" * 200_000 + b"\r\n\r\n",
    "a long extension": CHUNKED + b"\r\n1;" + b"a" * 200_000 + b"\r\nx\r\n0\r\n\r\n",
    "tiny fields": b"a:b\r\n" * 40_000 + b"\r\n",
}


@pytest.mark.parametrize("name", UNUSABLE)
def test_framing_without_end_is_rejected(name: str, turns: Turns) -> None:
    """Guards against extensions and trailers that are read, and kept, without bound."""

    async def test() -> None:
        async with run_sidecar(Endpoint()) as r:
            head, _ = await r.request(at_most_once_request("a", "10")[:-2] + UNUSABLE[name])
            assert status(head) in (400, 431)
            assert turns.most_callbacks <= MAX_CALLBACKS

    run(test())


RESPONSES = {
    "chunks of one byte": b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"\r\n" + TINY_CHUNKS + b"0\r\n\r\n",
    "chunks with extensions": b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"\r\n" + CHUNKS["with extensions"],
}


@pytest.mark.parametrize("name", RESPONSES)
def test_a_response_in_tiny_chunks_is_read_in_turns(name: str, turns: Turns) -> None:
    async def test() -> None:
        async def respond(_: bytes, writer: Writer) -> None:
            writer.write(RESPONSES[name])

        async with run_sidecar(Endpoint(respond)) as r:
            head, body = await r.request(idempotent_request(deadline="10"))
            assert (status(head), body) == (200, b"x" * RESPONSES[name].count(b"x"))
            assert 0 < turns.most_callbacks <= MAX_CALLBACKS

    run(test())


SPOILT_RESPONSES = {
    "interim responses": b"HTTP/1.1 100 C\r\n\r\n" * 10_000,
    "trailers": b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"\r\n1\r\nx\r\n0\r\n" + b"a:b\r\n" * 40_000 + b"\r\n",
    "a long trailer": b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"\r\n1\r\nx\r\n0\r\na: " + b"b" * 200_000 + b"\r\n\r\n",
    "a long extension": b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"\r\n1;" + b"a" * 200_000 + b"\r\nx\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("name", SPOILT_RESPONSES)
def test_a_response_with_framing_without_end_is_a_failed_attempt(name: str, turns: Turns) -> None:
    async def test() -> None:
        async def respond(_: bytes, writer: Writer) -> None:
            writer.write(SPOILT_RESPONSES[name])

        async with run_sidecar(Endpoint(respond)) as r:
            head, _ = await r.request(at_most_once_request("a"))
            assert status(head) == 502
            assert turns.most_callbacks <= MAX_CALLBACKS
            assert r.sidecar.node.memory.in_use == 0

    run(test())


class CostlyDiscovery(Discovery):
    """Sends a watch many lists or heartbeats at once, in chunks of some length, and then a last list."""

    def __init__(self, line: Callable[[int], bytes], count: int, chunk_bytes: int) -> None:
        super().__init__([])
        self._body = b"".join(line(number) for number in range(count))
        self._chunk_bytes = chunk_bytes

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        try:
            while b"watch=1" not in (await read_message(reader))[0]:
                writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n" + CHUNKED + b"\r\n")
            body = self._body + json.dumps({"seq": 10**6, "whole": True, "hosts": self.hosts}).encode() + b"\n"
            size = self._chunk_bytes
            parts = (body[start : start + size] for start in range(0, len(body), size))
            writer.write(b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts))
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


COSTLY_WATCHES = {
    "heartbeats": (lambda number: b"\n", 200_000, 9000),
    "lists": (lambda number: b'{"seq":%d,"whole":false,"hosts":[]}\n' % (number + 2), 10_000, 9000),
    "chunks of one byte": (lambda number: b"\n", 60_000, 1),
}


@pytest.mark.parametrize("name", COSTLY_WATCHES)
def test_a_costly_watch_is_read_in_turns(name: str, turns: Turns) -> None:
    async def test() -> None:
        endpoint = Endpoint()
        discovery = CostlyDiscovery(*COSTLY_WATCHES[name])
        await endpoint.start()
        discovery.hosts = [host_entry("e0", endpoint.port)]
        async with run_sidecar(discovery=discovery, known={"seq": 1, "whole": True, "hosts": discovery.hosts}) as r:
            head, _ = await r.request(idempotent_request())
            assert status(head) == 200
            await wait_until(lambda: r.sidecar.discovery.list_version == 10**6)
            assert turns.most_callbacks <= MAX_CALLBACKS
            assert turns.most_lists <= MAX_LISTS
        endpoint.server.close()

    run(test())
