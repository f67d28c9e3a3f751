"""HTTP/1.1 (RFC 9112) server connections for stand-ins, and a discovery server.

`ServerConnection` owns one connection and parses its requests.  `DiscoveryServer` owns the endpoint list and its
watches.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from typing import Any, Final, NamedTuple, cast

import httptools

STATUSES_WITHOUT_CONTENT: Final = (204, 304)  # RFC 9110, section 6.4.1
LINGER_AND_RESET: Final = struct.pack("ii", 1, 0)  # struct linger of socket(7): closing sends a TCP reset
KEEPALIVE_CHUNK: Final = b"1\r\n\n\r\n"  # an empty line


class ReceivedRequest(NamedTuple):
    """A complete request."""

    method: str
    target: str
    headers: dict[str, str]  # names in lower case
    body: bytes


class ServerConnection(asyncio.Protocol):
    """One connection to a stand-in; `on_request` is called for each complete request, in order."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.request_bytes = 0  # bytes of the current request
        self._reset_request()

    def _reset_request(self) -> None:
        self._target = b""
        self._headers = dict[str, str]()
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (asyncio.Protocol)."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the parser (asyncio.Protocol)."""
        self.transport = None
        del self._parser  # breaks the reference cycle

    def data_received(self, data: bytes) -> None:
        """Parse bytes that were read (asyncio.Protocol)."""
        self.request_bytes += len(data)
        if self.intercept(data):
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()

    def on_message_begin(self) -> None:
        """Begin a message (httptools callback)."""
        self._reset_request()

    def on_url(self, url: bytes) -> None:
        """Collect the request target (httptools callback)."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field (httptools callback)."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Collect content (httptools callback)."""
        self._body += data

    def on_message_complete(self) -> None:
        """Hand over a complete message (httptools callback)."""
        self.request_bytes = 0
        method = self._parser.get_method().decode()
        request = ReceivedRequest(method, self._target.decode("latin-1"), self._headers, bytes(self._body))
        self._reset_request()
        self.on_request(request)

    def intercept(self, data: bytes) -> bool:
        """Inspect bytes before they are parsed; return True to drop them."""
        return False

    def on_request(self, request: ReceivedRequest) -> None:
        """Handle a complete request."""
        raise NotImplementedError

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection is closed."""
        if self.transport and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        """Close the connection after sending all written bytes."""
        if self.transport:
            self.transport.close()

    def reset(self) -> None:
        """Abort the connection with a TCP reset, as a crashed process does."""
        if self.transport:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_AND_RESET)
            self.transport.abort()


def encode_response(
    status: int, body: bytes = b"", headers: tuple[tuple[str, str], ...] = (), reason: str = "X"
) -> bytes:
    """Return the bytes of a complete response."""
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers)
    framing = "" if status in STATUSES_WITHOUT_CONTENT else f"Content-Length: {len(body)}\r\n"
    return f"HTTP/1.1 {status} {reason}\r\n{fields}{framing}\r\n".encode("latin-1") + body


class DiscoveryServer:
    """A discovery server: it serves the complete endpoint list and notifies its watches of each change.

    A watch gets one JSON object per line, and an empty line every HEARTBEAT_S.
    """

    HEARTBEAT_S = 2.0

    def __init__(self) -> None:
        self.seq = 1  # version of the endpoint list
        self._hosts = dict[str, dict[str, Any]]()
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._watchers: set[_DiscoveryConnection] = set()
        self._server: asyncio.Server | None = None
        self._heartbeat_timer: asyncio.TimerHandle | None = None
        self.has_watch = asyncio.Event()  # set while at least one watch is open
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listen on `port` of the loopback address, or on a free one for 0.  Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _DiscoveryConnection(self), "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._heartbeat_timer = loop.call_later(self.HEARTBEAT_S, self._send_heartbeat)

    def close(self) -> None:
        """Stop accepting connections and end all watches."""
        if self._server:
            self._server.close()
        if self._heartbeat_timer:
            self._heartbeat_timer.cancel()
        self.break_watches()

    def break_watches(self) -> None:
        """End all watches, as in an outage of discovery."""
        for watcher in list(self._watchers):
            watcher.close()

    @property
    def snapshot(self) -> dict[str, Any]:
        """The complete endpoint list, as served to a poll."""
        return {"seq": self.seq, "whole": True, "hosts": list(self._hosts.values())}

    def update(self, *hosts: dict[str, Any]) -> None:
        """Add or update entries and notify the watches; an entry with the health `Gone` is removed."""
        self.seq += 1
        for host in hosts:
            self._changes.append((self.seq, host))
            if host["health"] == "Gone":
                self._hosts.pop(host["host"], None)
            else:
                self._hosts[host["host"]] = host
        chunk = self._encode_chunk({"seq": self.seq, "whole": False, "hosts": list(hosts)})
        for watcher in self._watchers:
            watcher.write(chunk)

    @staticmethod
    def _encode_chunk(update: dict[str, Any]) -> bytes:
        """Return a line of JSON as an HTTP chunk (RFC 9112, section 7.1)."""
        line = json.dumps(update).encode() + b"\n"
        return b"%x\r\n%b\r\n" % (len(line), line)

    def _send_heartbeat(self) -> None:
        for watcher in self._watchers:
            watcher.write(KEEPALIVE_CHUNK)
        self._heartbeat_timer = asyncio.get_running_loop().call_later(self.HEARTBEAT_S, self._send_heartbeat)

    def serve(self, connection: _DiscoveryConnection, request: ReceivedRequest) -> None:
        """Respond with the endpoint list, or open a watch that starts with the changes after the version `from`."""
        path, _, query = request.target.partition("?")
        if path != "/catalog/members":
            connection.write(encode_response(404))
            return
        parameters = dict(part.partition("=")[::2] for part in query.split("&"))
        if parameters.get("watch") != "1":
            connection.write(encode_response(200, json.dumps(self.snapshot).encode()))
            return
        since = int(parameters.get("from", "0"))
        missed = [host for seq, host in self._changes if seq > since]
        connection.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + self._encode_chunk({"seq": self.seq, "whole": False, "hosts": missed})
        )
        self._watchers.add(connection)
        self.has_watch.set()

    def remove_watch(self, connection: _DiscoveryConnection) -> None:
        """Remove the watch of a closed connection."""
        self._watchers.discard(connection)
        if not self._watchers:
            self.has_watch.clear()


class _DiscoveryConnection(ServerConnection):
    """A connection to discovery."""

    def __init__(self, discovery: DiscoveryServer) -> None:
        super().__init__()
        self._discovery = discovery

    def on_request(self, request: ReceivedRequest) -> None:
        self._discovery.serve(self, request)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._discovery.remove_watch(self)
