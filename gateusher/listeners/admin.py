"""The HTTP/1.1 listener for operators (RFC 9112): one request per connection, answered at once.

Commands answer 2xx for success and 5xx for refusal.  Pages are read with GET and are JSON.  Forms take parameters in
the query and answer with JSON, or 400 for invalid parameters.  A Unix socket may serve the same.

A response must be sent within a second however busy the process is, so nothing here waits: a request is routed by its
request line and answered in the same turn of the event loop.  `Admin` owns the listening sockets and connections.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import NamedTuple, cast
from urllib.parse import parse_qsl

import httptools

MAX_CONNECTIONS = 16  # beyond it the oldest is closed
MAX_REQUEST_BYTES = 8192  # head and body
REQUEST_TIMEOUT_S = 5.0  # from accept to the complete request
ACCEPT_BACKLOG = 64  # connections, listen(2)
OWNER_ONLY_UMASK = 0o177

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    413: b"Content Too Large",
    503: b"Service Unavailable",
}

Route = tuple[bytes, bytes]  # method and path
Commands = Mapping[Route, Callable[[], bool]]
Pages = Mapping[bytes, Callable[[], bytes]]
Forms = Mapping[Route, Callable[[dict[str, str]], bytes | None]]


class AdminResponse(NamedTuple):
    """A response: `json` is the body of a page or form; others have a line of text."""

    status: int
    header_lines: bytes = b""
    json: bytes | None = None

    def encode(self) -> bytes:
        """The response as bytes; the connection is closed after it."""
        body, content_type = self.json, b"application/json"
        if body is None:
            body = b"yes\n" if self.status == 200 else b"no\n"
            content_type = b"text/plain"
        return b"HTTP/1.1 %d %b\r\n%bContent-Type: %b\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b" % (
            self.status,
            REASON_PHRASES[self.status],
            self.header_lines,
            content_type,
            len(body),
            body,
        )


class _AdminConnection(asyncio.Protocol):
    """One connection of an operator, for a single request."""

    def __init__(self, admin: Admin) -> None:
        self._admin = admin
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._timeout: asyncio.TimerHandle | None = None
        self._method = b""
        self._target = b""
        self._received_bytes = 0
        self._is_complete = False  # a request, and nothing but another one may follow it
        self._is_answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is attached."""
        self._transport = cast(asyncio.Transport, transport)
        self._timeout = self._admin.loop.call_later(REQUEST_TIMEOUT_S, self.abort)
        self._admin.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed."""
        self._transport = None
        if self._timeout:
            self._timeout.cancel()
        self._admin.connection_closed(self)
        del self._parser  # it refers back to this object

    def abort(self) -> None:
        """Close the connection without a response."""
        if self._transport:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse input up to the first complete request."""
        if self._is_answered:
            return
        self._received_bytes += len(data)
        if self._received_bytes > MAX_REQUEST_BYTES:
            self._respond(AdminResponse(413))
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._respond(AdminResponse(400))
            return
        if self._is_complete:
            self._respond(self._admin.handle(self._method, self._target))

    def on_url(self, url: bytes) -> None:
        """Part of the request target."""
        if not self._is_complete:
            self._target += url

    def on_message_complete(self) -> None:
        """The request is complete."""
        if not self._is_complete:
            self._is_complete = True
            self._method = self._parser.get_method()

    def _respond(self, response: AdminResponse) -> None:
        self._is_answered = True
        if self._transport:
            self._transport.write(response.encode())
            self._transport.close()


class Admin:
    """Serves operators on the running loop from `start` until `close`."""

    def __init__(self, commands: Commands, pages: Pages | None = None, forms: Forms | None = None) -> None:
        self.loop = asyncio.get_running_loop()
        self._commands = commands
        self._pages = pages or {}
        self._forms = forms or {}
        self._connections: dict[_AdminConnection, None] = {}  # a set in the order of insertion
        self._server: asyncio.Server | None = None
        self._unix_server: asyncio.Server | None = None
        self._unix_path: str | None = None
        self._unix_inode = 0

    async def start(self, address: tuple[str, int]) -> None:
        """Listen at a TCP address.  Raises OSError if it is not available."""
        host, port = address
        self._server = await self.loop.create_server(
            lambda: _AdminConnection(self), host, port, backlog=ACCEPT_BACKLOG
        )

    async def start_local(self, path: str) -> None:
        """Also listen on a Unix socket, for this user only, replacing an earlier socket at the path (rename(2)).

        Raises OSError.
        """
        own_path = f"{path}.{os.getpid()}"
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC | socket.SOCK_NONBLOCK)
        try:
            with suppress(FileNotFoundError):
                os.unlink(own_path)
            previous_umask = os.umask(OWNER_ONLY_UMASK)
            try:
                sock.bind(own_path)
            finally:
                os.umask(previous_umask)
            sock.listen(ACCEPT_BACKLOG)
            os.rename(own_path, path)
        except OSError:
            sock.close()
            raise
        self._unix_path = path
        self._unix_inode = os.stat(path).st_ino
        self._unix_server = await self.loop.create_unix_server(lambda: _AdminConnection(self), sock=sock)

    @property
    def port(self) -> int:
        """The TCP port; 0 if there is none."""
        return int(self._server.sockets[0].getsockname()[1]) if self._server else 0

    def handle(self, method: bytes, target: bytes) -> AdminResponse:
        """Execute a request."""
        path, _, query = target.partition(b"?")
        form = self._forms.get((method, path))
        if form:
            form_result = form(dict(parse_qsl(query.decode(errors="replace"))))
            return AdminResponse(400) if form_result is None else AdminResponse(200, json=form_result)
        page = self._pages.get(path) if method == b"GET" else None
        if page:
            return AdminResponse(200, json=page())
        command = self._commands.get((method, path))
        if command:
            return AdminResponse(200 if command() else 503)
        return self._not_found(path)

    def _not_found(self, path: bytes) -> AdminResponse:
        """405 with the allowed methods if the path exists, 404 otherwise."""
        allowed = [method for method, known_path in (*self._commands, *self._forms) if known_path == path]
        if path in self._pages:
            allowed.append(b"GET")
        if not allowed:
            return AdminResponse(404)
        return AdminResponse(405, b"Allow: %b\r\n" % b", ".join(allowed))

    def connection_opened(self, connection: _AdminConnection) -> None:
        """Add a connection; beyond MAX_CONNECTIONS close the oldest, so that unfinished requests block nobody."""
        self._connections[connection] = None
        if len(self._connections) > MAX_CONNECTIONS:
            next(iter(self._connections)).abort()

    def connection_closed(self, connection: _AdminConnection) -> None:
        """The connection is closed."""
        self._connections.pop(connection, None)

    def close(self) -> None:
        """Close all sockets, and remove the Unix socket's path unless a successor has replaced it."""
        if self._server:
            self._server.close()
            self._server = None
        if self._unix_server:
            self._unix_server.close()
            self._unix_server = None
        if self._unix_path:
            with suppress(OSError):
                if os.stat(self._unix_path).st_ino == self._unix_inode:
                    os.unlink(self._unix_path)
            self._unix_path = None
        for connection in list(self._connections):
            connection.abort()
