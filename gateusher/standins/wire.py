"""HTTP/1.1 for stand-ins: whole requests in, bytes out; on the public part of RFC 9112 only."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from typing import Any, NamedTuple, cast

import httptools


class Asked(NamedTuple):
    """A whole request."""

    method: str
    target: str
    headers: dict[str, str]  # names in lower case
    body: bytes


class Peer(asyncio.Protocol):
    """One connection to a stand-in; `asked` is called for each whole request, in order."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.read = 0  # bytes of the present request so far
        self._fresh()

    def _fresh(self) -> None:
        self._target, self._headers, self._body = b"", dict[str, str](), bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        del self._parser  # it holds this object too

    def data_received(self, data: bytes) -> None:
        self.read += len(data)
        if self.peeked(data):
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()

    def on_message_begin(self) -> None:
        self._fresh()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        self.read = 0
        asked = Asked(
            self._parser.get_method().decode(), self._target.decode("latin-1"), self._headers, bytes(self._body)
        )
        self._fresh()
        self.asked(asked)

    def peeked(self, data: bytes) -> bool:
        """Called with what was read before it is parsed; True keeps it from the parser."""
        return False

    def asked(self, asked: Asked) -> None:
        raise NotImplementedError

    # -- what a stand-in does with its end of the connection

    def write(self, data: bytes) -> None:
        if self.transport and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        """An orderly end, after what is written."""
        if self.transport:
            self.transport.close()

    def reset(self) -> None:
        """An end as of a process that dies: the peer gets a reset, not an end of the stream."""
        if self.transport:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()


def answer(status: int, body: bytes = b"", headers: tuple[tuple[str, str], ...] = (), reason: str = "X") -> bytes:
    """The bytes of a whole answer."""
    lines = "".join(f"{n}: {v}\r\n" for n, v in headers)
    framing = "" if status in (204, 304) else f"Content-Length: {len(body)}\r\n"
    return f"HTTP/1.1 {status} {reason}\r\n{lines}{framing}\r\n".encode("latin-1") + body


class Catalog:
    """Discovery: the whole list, and watches that are told of each change as it is made.

    As the platform's protocol says: one JSON object a line, an empty line while nothing changes.
    """

    HEARTBEAT_S = 2.0

    def __init__(self) -> None:
        self.seq, self._hosts = 1, dict[str, dict[str, Any]]()
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._watchers: set[_CatalogPeer] = set()
        self._server: asyncio.Server | None = None
        self._beat: asyncio.TimerHandle | None = None
        self.watched = asyncio.Event()  # whether anybody watches
        self.port = 0

    async def start(self, port: int = 0) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _CatalogPeer(self), "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beat = loop.call_later(self.HEARTBEAT_S, self._heartbeat)

    def close(self) -> None:
        if self._server:
            self._server.close()
        if self._beat:
            self._beat.cancel()
        self.break_watches()

    def break_watches(self) -> None:
        """End all watches, as when discovery goes down."""
        for watcher in list(self._watchers):
            watcher.close()

    @property
    def known(self) -> dict[str, Any]:
        """The whole list, as a sidecar is told it at its start."""
        return {"seq": self.seq, "whole": True, "hosts": list(self._hosts.values())}

    def tell(self, *hosts: dict[str, Any]) -> None:
        """Entries that are new or have changed; one whose health is `Gone` leaves the list."""
        self.seq += 1
        for host in hosts:
            self._changes.append((self.seq, host))
            if host["health"] == "Gone":
                self._hosts.pop(host["host"], None)
            else:
                self._hosts[host["host"]] = host
        line = self._line({"seq": self.seq, "whole": False, "hosts": list(hosts)})
        for watcher in self._watchers:
            watcher.write(line)

    def _line(self, data: dict[str, Any]) -> bytes:
        text = json.dumps(data).encode() + b"\n"
        return b"%x\r\n%b\r\n" % (len(text), text)

    def _heartbeat(self) -> None:
        for watcher in self._watchers:
            watcher.write(b"1\r\n\n\r\n")
        self._beat = asyncio.get_running_loop().call_later(self.HEARTBEAT_S, self._heartbeat)

    def serve(self, peer: _CatalogPeer, asked: Asked) -> None:
        path, _, query = asked.target.partition("?")
        if path != "/catalog/members":
            peer.write(answer(404))
            return
        terms = dict(part.partition("=")[::2] for part in query.split("&"))
        if terms.get("watch") != "1":
            peer.write(answer(200, json.dumps(self.known).encode()))
            return
        since = int(terms.get("from", "0"))
        missed = [host for seq, host in self._changes if seq > since]
        peer.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + self._line({"seq": self.seq, "whole": False, "hosts": missed})
        )
        self._watchers.add(peer)
        self.watched.set()

    def left(self, peer: _CatalogPeer) -> None:
        self._watchers.discard(peer)
        if not self._watchers:
            self.watched.clear()


class _CatalogPeer(Peer):
    def __init__(self, catalog: Catalog) -> None:
        super().__init__()
        self._catalog = catalog

    def asked(self, asked: Asked) -> None:
        self._catalog.serve(self, asked)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._catalog.left(self)
