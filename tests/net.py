"""A sidecar on loopback sockets, with scripted endpoints and a discovery server."""

import asyncio
import json
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

import uvloop

from gateusher.config import platform as config
from gateusher.daemon import Sidecar

from .helpers import HANG_TIMEOUT_S

Reader, Writer = asyncio.StreamReader, asyncio.StreamWriter
Handler = Callable[[bytes, Writer], Awaitable[None]]
REQUEST_CLASSES = [
    {"name": "look", "effect": "idempotent", "objective_ms": 1500, "give_up_ms": 2000, "worth": 1},
    {"name": "pay", "effect": "at_most_once", "objective_ms": 1500, "give_up_ms": 2000, "worth": 1},
]
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
NOT_EXECUTED_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


def run(test: Coroutine[Any, Any, None]) -> None:
    """Run a test on an event loop of uvloop; it fails if it hangs."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(test, HANG_TIMEOUT_S))


def status(head: bytes) -> int:
    """Return the status code of a response head."""
    return int(head.split(b" ")[1])


async def read_message(reader: Reader) -> tuple[bytes, bytes]:
    """Read a message and return its head and its body, whose length only Content-Length gives."""
    head = await reader.readuntil(b"\r\n\r\n")
    lengths = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
    return head, await reader.readexactly(int(lengths[0].split(b":")[1]) if lengths else 0)


class Endpoint:
    """An endpoint that records request heads and responds with its handler, or with 200."""

    def __init__(self, handler: Handler | None = None) -> None:
        self.request_heads: list[bytes] = []
        self.accepted_connections = 0
        self._handler = handler

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self.accepted_connections += 1
        try:
            while True:
                head, _ = await read_message(reader)
                self.request_heads.append(head)
                if self._handler:
                    await self._handler(head, writer)
                else:
                    writer.write(OK_RESPONSE)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()  # also where the loop ends first: a writer's finalizer would raise at any later time


class Discovery:
    """A discovery server that serves one endpoint list to polls and watches, and keeps watches open."""

    def __init__(self, hosts: list[dict[str, Any]], seq: int = 1) -> None:
        self.hosts, self.seq = hosts, seq
        self.watches_to_drop = 0  # number of next watches that are closed without a response
        self.request_lines: list[bytes] = []
        self.has_watch = asyncio.Event()
        self.connections = set[Writer]()
        self.connected = asyncio.Event()
        self.may_respond = asyncio.Event()  # responses wait until it is set
        self.may_respond.set()
        self.resets_connections = False  # reset every new connection and request

    async def start(self, address: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        self.server = await asyncio.start_server(self._serve, *address)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        line = json.dumps({"seq": self.seq, "whole": True, "hosts": self.hosts}).encode() + b"\n"
        self.connections.add(writer)
        self.connected.set()
        try:
            while True:
                if self.resets_connections:
                    return writer.transport.abort()
                head, _ = await read_message(reader)
                await self.may_respond.wait()
                self.request_lines.append(head.split(b"\r\n")[0])
                if b"watch=1" in head and self.watches_to_drop:
                    self.watches_to_drop -= 1
                    writer.close()
                elif b"watch=1" in head:
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(line), line)
                    )
                    self.has_watch.set()
                else:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(line), line))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in self.connections:
            writer.transport.abort()
        self.connections.clear()


def unused_address() -> tuple[str, int]:
    """Return an address to listen on later.

    Outgoing connections use 127.0.0.1, so none takes this port of 127.0.0.2 in the meantime.
    """
    with socket.create_server(("127.0.0.2", 0)) as sock:
        ip, port = sock.getsockname()
        return ip, port


def host_entry(name: str, port: int, health: str = "Ready") -> dict[str, Any]:
    return {
        "host": name,
        "dial": f"127.0.0.1:{port}",
        "site": "a",
        "class": "m",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }


def configuration(hosts: list[dict[str, Any]], discovery: int, **overrides: Any) -> dict[str, Any]:
    settings = {
        "lanes": REQUEST_CLASSES,
        "zones": ["a"],
        "kinds": ["m"],
        "zone": 0,
        "discovery": "ask",
        "tick_ms": 1.0,
        "bounds": {"max_attempts": 6, "dial_timeout_ms": 250, "conn_idle_ms": 15000, "max_retry_after_ms": 2000},
        "rules": {"must_ask_in_ms": 10000, "stop_sending_within_ms": 1000},
    }
    return {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "7",
        "limits": {"memory_mb": 64, "sockets": 256},
        "known": {"seq": 1, "whole": True, "hosts": hosts},
        "settings": settings,
        **overrides,
    }


class RunningSidecar:
    """A running sidecar, and connections to it."""

    def __init__(self, sidecar: Sidecar) -> None:
        self.sidecar = sidecar

    async def connect(self) -> tuple[Reader, Writer]:
        return await asyncio.open_connection("127.0.0.1", self.sidecar.server.port)

    async def request(self, data: bytes) -> tuple[bytes, bytes]:
        """Send `data` on a new connection and return the first response."""
        reader, writer = await self.connect()
        writer.write(data)
        response = await asyncio.wait_for(read_message(reader), HANG_TIMEOUT_S)
        writer.close()
        return response


@asynccontextmanager
async def run_sidecar(
    *endpoints: Endpoint, discovery: Discovery | None = None, **overrides: Any
) -> AsyncIterator[RunningSidecar]:
    for endpoint in endpoints:
        await endpoint.start()
    hosts = [host_entry(f"e{i}", e.port) for i, e in enumerate(endpoints)]
    discovery = discovery or Discovery(hosts)
    await discovery.start()
    sidecar_config = config.parse(configuration(hosts, discovery.port, **overrides), {})
    sidecar = Sidecar(sidecar_config._replace(listen=("127.0.0.1", 0)))
    try:
        yield RunningSidecar(sidecar)
    finally:
        sidecar.close()
        for server in [discovery.server, *(e.server for e in endpoints)]:
            server.close()


def idempotent_request(rid: str = "a1", deadline: str = "1.5", extra_headers: bytes = b"") -> bytes:
    return (
        (
            f"GET /look HTTP/1.1\r\nHost: o\r\nX-Request-Id: {rid}\r\nX-Class: look\r\nX-Deadline: {deadline}\r\n"
        ).encode()
        + extra_headers
        + b"\r\n"
    )


def at_most_once_request(
    rid: str = "b1", deadline: str = "1.5", extra_headers: bytes = b"Content-Length: 0\r\n", body: bytes = b""
) -> bytes:
    return (
        (
            f"POST /pay HTTP/1.1\r\nHost: o\r\nX-Request-Id: {rid}\r\nX-Class: pay\r\nX-Deadline: {deadline}\r\n"
        ).encode()
        + extra_headers
        + b"\r\n"
        + body
    )
