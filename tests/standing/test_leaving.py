"""A client that leaves while its request waits: nothing of it reaches an endpoint, however its leaving is seen."""

import asyncio
import json
import socket
import struct
import time
from typing import Any

import pytest

from gateusher.discovery.catalog import Discovery
from gateusher.listeners.client_connection import ClientConnection
from gateusher.upstream.pool import REUSE_DELAY_MS

from ..helpers import HANG_TIMEOUT_S, wait_until
from ..net import (
    OK_RESPONSE,
    Endpoint,
    RunningSidecar,
    Writer,
    at_most_once_request,
    host_entry,
    idempotent_request,
    read_message,
    run_sidecar,
)
from .loops import play

TURNED_AWAY = b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


def connect(r: RunningSidecar) -> socket.socket:
    return socket.create_connection(("127.0.0.1", r.sidecar.server.port))


def leave(sock: socket.socket, how: str) -> None:
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


async def nobody_is_left(r: RunningSidecar, lost: int, gone: list[ClientConnection]) -> None:
    """Until so many connections are gone and every request is settled."""
    await wait_until(lambda: len(gone) >= lost and not r.sidecar.engine.requests)


@pytest.fixture
def gone(monkeypatch: pytest.MonkeyPatch) -> list[ClientConnection]:
    """The clients' connections that are gone."""
    found: list[ClientConnection] = []
    lost = ClientConnection.connection_lost

    def hear(self: ClientConnection, exc: Exception | None) -> None:
        lost(self, exc)
        found.append(self)

    monkeypatch.setattr(ClientConnection, "connection_lost", hear)
    return found


@pytest.mark.parametrize("how", ["end", "reset"])
@pytest.mark.parametrize("asked", [idempotent_request("l1"), at_most_once_request("p1")], ids=["safe", "unsafe"])
def test_in_the_queue_of_those_who_wait_to_be_accepted(how: str, asked: bytes, gone: list[ClientConnection]) -> None:
    """Connection, request and end are all there before the loop comes to accept: a burst that has gone again."""

    async def story() -> None:
        endpoint = Endpoint()
        async with run_sidecar(endpoint) as r:
            head, _ = await r.request(idempotent_request("first"))
            assert head.startswith(b"HTTP/1.1 200")
            node = r.sidecar.node
            # The kept connection has rested, and would be used.
            await wait_until(
                lambda: any(
                    c.idle_since_ms <= node.clock.now_ms() - REUSE_DELAY_MS
                    for h in node.upstream._endpoints.values()
                    for c in h.idle
                )
            )
            for _ in range(20):
                sock = connect(r)
                sock.sendall(asked)
                leave(sock, how)
            await nobody_is_left(r, 21, gone)
            assert len(endpoint.request_heads) == 1

    play(story)


@pytest.mark.parametrize("pause_s", [0.06, 0.3])
def test_on_a_kept_connection_while_the_process_stood_still(pause_s: float, gone: list[ClientConnection]) -> None:
    async def story() -> None:
        endpoint = Endpoint()
        async with run_sidecar(endpoint) as r:
            reader, writer = await r.connect()
            writer.write(idempotent_request("l1"))
            await asyncio.wait_for(read_message(reader), HANG_TIMEOUT_S)
            await asyncio.sleep(0.15)  # a sweep that was in time
            sock: socket.socket = writer.get_extra_info("socket")
            fd = socket.socket(fileno=socket.dup(sock.fileno()))
            fd.sendall(idempotent_request("l2"))
            fd.shutdown(socket.SHUT_WR)
            fd.close()
            time.sleep(pause_s)  # noqa: ASYNC251 - the loop stands still
            await nobody_is_left(r, 1, gone)
            assert len(endpoint.request_heads) == 1
            writer.close()

    play(story)


def unread(r: RunningSidecar, how: str, sock: socket.socket) -> None:
    """The client leaves, and nothing of it is read for now: its end waits in the kernel, as behind a long turn."""
    (client,) = r.sidecar.server._connections
    assert client._transport
    client._transport.pause_reading()
    leave(sock, how)
    for call in r.sidecar.engine.requests.values():
        call.client_seen_ms -= 100.0  # so long ago was it there


def read_on(r: RunningSidecar) -> None:
    for client in r.sidecar.server._connections:
        if client._transport:
            client._transport.resume_reading()


@pytest.mark.parametrize("how", ["end", "reset"])
def test_before_a_further_attempt(how: str, gone: list[ClientConnection]) -> None:
    """The first was turned away after its client had left; the end was still to be read when the second began."""

    async def story() -> None:
        out, turn = asyncio.Event(), asyncio.Event()

        async def handle(head: bytes, writer: Writer) -> None:
            out.set()
            await turn.wait()
            writer.write(TURNED_AWAY)

        ends = [Endpoint(handle), Endpoint(handle)]
        async with run_sidecar(*ends) as r:
            sock = connect(r)
            sock.sendall(idempotent_request("l1"))
            await asyncio.wait_for(out.wait(), HANG_TIMEOUT_S)
            unread(r, how, sock)
            turn.set()
            await wait_until(lambda: not r.sidecar.engine.requests)
            assert sum(len(end.request_heads) for end in ends) == 1
            read_on(r)
            await nobody_is_left(r, 1, gone)

    play(story)


@pytest.mark.parametrize("how", ["end", "reset"])
@pytest.mark.parametrize("asked", [idempotent_request("l1"), at_most_once_request("p1")], ids=["safe", "unsafe"])
def test_behind_a_dial_that_comes_up(how: str, asked: bytes, gone: list[ClientConnection]) -> None:
    """Its client has left while the connection came up, and its end is still to be read."""

    async def story() -> None:
        endpoint = Endpoint()
        async with run_sidecar(endpoint) as r:
            upstream = r.sidecar.node.upstream
            loop, may = upstream.loop, asyncio.Event()

            class Slow:
                """The loop, on which a connection comes up when it may."""

                def __getattr__(self, name: str) -> Any:
                    return getattr(loop, name)

                async def create_connection(self, *args: Any) -> Any:
                    await may.wait()
                    return await loop.create_connection(*args)

            upstream.loop = Slow()  # type: ignore[assignment]
            sock = connect(r)
            sock.sendall(asked)
            await wait_until(lambda: upstream._connections)
            unread(r, how, sock)
            may.set()
            await wait_until(lambda: not r.sidecar.engine.requests)
            read_on(r)
            await nobody_is_left(r, 1, gone)
            assert endpoint.request_heads == []

    play(story)


def test_in_a_hold_of_the_module_whose_end_is_not_read(gone: list[ClientConnection]) -> None:
    """No endpoint is there when it comes; when one is, the client has left."""

    async def story() -> None:
        endpoint = Endpoint()
        async with run_sidecar(endpoint) as r:
            node = r.sidecar.node
            assert isinstance(node.discovery, Discovery)

            def told(health: str) -> None:
                seq = node.discovery.list_version + 1
                line = {"seq": seq, "whole": False, "hosts": [host_entry("e0", endpoint.port, health)]}
                node.discovery.receive_list(json.dumps(line).encode(), False)  # type: ignore[union-attr]

            await wait_until(lambda: node.discovery.list_version == 1 and node.discovery.list_received.is_set())
            told("Terminating")
            sock = connect(r)
            sock.sendall(idempotent_request("l1"))
            await wait_until(lambda: node.engine.requests)
            unread(r, "end", sock)
            told("Ready")
            await wait_until(lambda: not node.engine.requests)
            assert endpoint.request_heads == []
            read_on(r)
            await nobody_is_left(r, 1, gone)

    play(story)


def test_behind_an_answer_that_it_does_not_read(gone: list[ClientConnection]) -> None:
    """Its end is seen, and its connection lives on until what is written is read; its second request waits there."""

    async def story() -> None:
        out, turn = asyncio.Event(), asyncio.Event()

        async def handle(head: bytes, writer: Writer) -> None:
            if b"X-Request-Id: long" in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (32 << 20))
                for _ in range(512):
                    writer.write(bytes(65536))
                    await writer.drain()
            elif not turn.is_set():
                out.set()
                await turn.wait()
                writer.write(TURNED_AWAY)
            else:
                writer.write(OK_RESPONSE)

        ends = [Endpoint(handle), Endpoint(handle)]
        async with run_sidecar(*ends) as r:
            sock = connect(r)
            sock.sendall(idempotent_request("long") + idempotent_request("l2"))
            await asyncio.wait_for(out.wait(), HANG_TIMEOUT_S)
            (client,) = r.sidecar.server._connections
            await wait_until(lambda: client._write_blocked)
            sock.shutdown(socket.SHUT_WR)
            await wait_until(lambda: client._transport is None or client._transport.is_closing())
            turn.set()
            await wait_until(lambda: all(call.request_id != b"l2" for call in r.sidecar.engine.requests.values()))
            seen = [head for end in ends for head in end.request_heads if b"X-Request-Id: l2" in head]
            assert len(seen) == 1
            sock.close()

    play(story)


class Slow:
    """An endpoint that keeps what it has got of a long body."""

    def __init__(self) -> None:
        self.got, self.some, self.over = 0, asyncio.Event(), asyncio.Event()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            while data := await reader.read(65536):
                self.got += len(data)
                self.some.set()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        self.over.set()
        writer.close()


@pytest.mark.parametrize("how", ["its endpoint has room again", "a sweep"])
def test_a_long_body_that_is_held(how: str, gone: list[ClientConnection]) -> None:
    """Nothing is read of it meanwhile, so its end lies unread behind its last byte."""
    size = 400_000

    async def story() -> None:
        endpoint: Any = Slow()
        async with run_sidecar(endpoint) as r:
            sock = connect(r)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(
                sock, at_most_once_request("p1", "60", b"Content-Length: %d\r\n" % size, bytes(size - 1000))
            )
            await wait_until(lambda: r.sidecar.engine.requests and endpoint.got >= size - 1000)
            (call,) = r.sidecar.engine.requests.values()
            assert call.upload
            call.upload.pause()
            await loop.sock_sendall(sock, bytes(1000))
            leave(sock, "end")
            if how == "a sweep":
                r.sidecar.server.sweep()
            else:
                call.upload.resume()
            for _ in range(20):
                await asyncio.sleep(0)
            assert call.is_finished
            await nobody_is_left(r, 1, gone)
            await asyncio.wait_for(endpoint.over.wait(), HANG_TIMEOUT_S)
            assert endpoint.got == size - 1000

    play(story)


def test_in_a_hold_of_the_module_and_in_a_dial(gone: list[ClientConnection]) -> None:
    """Its leaving is read at once there: the dial is given up, the hold ends in nothing."""

    async def story() -> None:
        full = socket.create_server(("127.0.0.1", 0), backlog=0)  # a dial to it stays on its way
        fill = []
        for _ in range(3):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(full.getsockname())
            fill.append(sock)

        class Dialled:
            port = full.getsockname()[1]
            server = full

            async def start(self) -> None: ...

        end: Any = Dialled()
        async with run_sidecar(end) as r:
            reader, writer = await r.connect()
            writer.write(at_most_once_request("p1", "60"))
            await wait_until(lambda: r.sidecar.node.upstream._connections)
            writer.close()
            await nobody_is_left(r, 1, gone)
            assert not any(conn.attempt for conn in r.sidecar.node.upstream._connections)
        for sock in fill:
            sock.close()

    play(story)
