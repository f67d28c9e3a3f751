"""The operators' own address: HTTP/1.1 (RFC 9112), one call to a connection, 2xx for yes and 5xx for no.

Further addresses, such as a Unix socket, take the same calls.  Pages are read with GET and are JSON; forms take words
in the query and answer with JSON, or 400 for words that make no sense.

It must answer within a second however busy the rest is, so nothing here waits for anything: a call is known by
its first line and answered in the same turn of the loop.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import cast
from urllib.parse import parse_qsl

import httptools

MOST_OPEN = 16  # callers at once; beyond that the one that has waited for the longest goes
MOST_CALL = 8192  # bytes of a call, head and body
UNFINISHED_S = 5.0  # a call that isn't whole by then is given up

PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    413: b"Content Too Large",
    503: b"Service Unavailable",
}

Calls = Mapping[tuple[bytes, bytes], Callable[[], bool]]
Pages = Mapping[bytes, Callable[[], bytes]]
Forms = Mapping[tuple[bytes, bytes], Callable[[dict[str, str]], bytes | None]]


class _Caller(asyncio.Protocol):
    def __init__(self, owner: Admin) -> None:
        self._owner = owner
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._target, self._size, self._answered = b"", 0, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._timer = self._owner.loop.call_later(UNFINISHED_S, self.end)
        self._owner.came(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        if self._timer:
            self._timer.cancel()
        self._owner.left(self)
        del self._parser  # it holds this object too

    def end(self) -> None:
        if self._transport:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        if self._answered:
            return
        self._size += len(data)
        if self._size > MOST_CALL:
            self._answer(413)
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._answer(400)

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_message_complete(self) -> None:
        if not self._answered:
            method = self._parser.get_method()
            path, _, query = self._target.partition(b"?")
            page = self._owner.pages.get(path) if method == b"GET" else None
            if form := self._owner.forms.get((method, path)):
                said = form(dict(parse_qsl(query.decode(errors="replace"))))
                self._answer(400) if said is None else self._answer(200, page=said)
            elif page:
                self._answer(200, page=page())
            else:
                self._answer(*self._owner.call(method, path))

    def _answer(self, status: int, extra: bytes = b"", page: bytes | None = None) -> None:
        self._answered = True
        if self._transport:
            body = page if page is not None else b"yes\n" if status == 200 else b"no\n"
            kind = b"text/plain" if page is None else b"application/json"
            self._transport.write(
                b"HTTP/1.1 %d %b\r\n%bContent-Type: %b\r\nContent-Length: %d\r\n"
                b"Connection: close\r\n\r\n%b" % (status, PHRASES[status], extra, kind, len(body), body)
            )
            self._transport.close()


class Admin:
    """Listens on the running loop from `start` until `close`."""

    def __init__(self, calls: Calls, pages: Pages | None = None, forms: Forms | None = None) -> None:
        self.loop = asyncio.get_running_loop()
        self._calls = calls
        self._callers: dict[_Caller, None] = {}  # in the order of their coming
        self.pages, self.forms = pages or {}, forms or {}
        self._server: asyncio.Server | None = None
        self._local: asyncio.Server | None = None
        self._path: tuple[str, int] | None = None  # of the Unix socket, and its inode

    async def start(self, where: tuple[str, int]) -> None:
        """Raises OSError where it can't listen."""
        self._server = await self.loop.create_server(lambda: _Caller(self), *where, backlog=64)

    async def start_local(self, path: str) -> None:
        """Listen on a Unix socket too, for this user alone; it takes the path over from whoever had it (rename(2)).

        Raises OSError where it can't.
        """
        own = f"{path}.{os.getpid()}"
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC | socket.SOCK_NONBLOCK)
        try:
            with suppress(FileNotFoundError):
                os.unlink(own)
            mask = os.umask(0o177)
            try:
                sock.bind(own)
            finally:
                os.umask(mask)
            sock.listen(64)
            os.rename(own, path)
        except OSError:
            sock.close()
            raise
        self._path = path, os.stat(path).st_ino
        self._local = await self.loop.create_unix_server(lambda: _Caller(self), sock=sock)

    @property
    def port(self) -> int:
        return int(self._server.sockets[0].getsockname()[1]) if self._server else 0

    def call(self, method: bytes, path: bytes) -> tuple[int, bytes]:
        """Do what is asked; the status and further header lines of its answer."""
        act = self._calls.get((method, path))
        if act:
            return (200 if act() else 503), b""
        allowed = [known for known, at in (*self._calls, *self.forms) if at == path] + [b"GET"] * (path in self.pages)
        return (405, b"Allow: %b\r\n" % b", ".join(allowed)) if allowed else (404, b"")

    def came(self, caller: _Caller) -> None:
        self._callers[caller] = None
        if len(self._callers) > MOST_OPEN:
            next(iter(self._callers)).end()

    def left(self, caller: _Caller) -> None:
        self._callers.pop(caller, None)

    def close(self) -> None:
        if self._server:
            self._server.close()
            self._server = None
        if self._local:
            self._local.close()
            self._local = None
        if self._path:
            with suppress(OSError):  # a successor's socket at this path stays
                if os.stat(self._path[0]).st_ino == self._path[1]:
                    os.unlink(self._path[0])
            self._path = None
        for caller in list(self._callers):
            caller.end()
