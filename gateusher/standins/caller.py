"""A client of the daemon, as the platform's protocol describes one: keeps connections, one request at a time."""

from __future__ import annotations

import asyncio
from typing import NamedTuple, cast

import httptools


class Got(NamedTuple):
    """A whole answer."""

    status: int
    headers: dict[str, str]  # names in lower case
    body: bytes


class LostError(Exception):
    """The connection ended, or the time was up, with no whole answer."""


class _Line(asyncio.Protocol):
    """A connection to the daemon."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.got: asyncio.Future[Got] | None = None
        self.begun = False  # bytes of an answer have come
        self.closed = asyncio.get_running_loop().create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._headers, self._body = dict[str, str](), bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.got and not self.got.done():
            self.got.set_exception(LostError(f"connection ended: {exc or 'closed'}"))
        self.closed.set_result(None)
        del self._parser  # it holds this object too

    def data_received(self, data: bytes) -> None:
        self.begun = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self.got and not self.got.done():
                self.got.set_exception(LostError(f"answer can't be read: {error}"))
            self.close()

    def on_message_begin(self) -> None:
        self._headers, self._body = {}, bytearray()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status >= 200 and self.got and not self.got.done():
            self.got.set_result(Got(status, self._headers, bytes(self._body)))

    def close(self) -> None:
        if self.transport:
            self.transport.abort()


class Caller:
    """Sends requests to one address and reads their answers."""

    def __init__(self, port: int, ip: str = "127.0.0.1") -> None:
        self._where = ip, port
        self._idle: list[_Line] = []
        self._lines: set[_Line] = set()

    async def ask(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b"", within: float = 10.0
    ) -> Got:
        """Send one request and wait for its answer.  Raises LostError where none comes in time.

        A kept connection that ends before a byte of the answer has come had crossed the request; it is sent
        once more on a new one.  A cancel closes the connection, as a client that leaves.
        """
        data = self._message(method, target, headers, body)
        try:
            async with asyncio.timeout(within):
                while self._idle:
                    line = self._idle.pop()
                    if line.transport is None or line.transport.is_closing():
                        continue
                    try:
                        return await self._on(line, data)
                    except LostError:
                        if line.begun:
                            raise
                        break
                return await self._on(await self._dial(), data)
        except TimeoutError:
            raise LostError("no answer in time") from None
        except OSError as error:
            raise LostError(f"no connection: {error}") from None

    @staticmethod
    def _message(method: str, target: str, headers: dict[str, str], body: bytes) -> bytes:
        lines = "".join(f"{n}: {v}\r\n" for n, v in headers.items())
        length = f"Content-Length: {len(body)}\r\n" if method != "GET" or body else ""
        return f"{method} {target} HTTP/1.1\r\nHost: o\r\n{lines}{length}\r\n".encode("latin-1") + body

    async def _dial(self) -> _Line:
        _, line = await asyncio.get_running_loop().create_connection(_Line, *self._where)
        self._lines.add(line)
        line.closed.add_done_callback(lambda _: self._lines.discard(line))
        return line

    async def _on(self, line: _Line, data: bytes) -> Got:
        line.got, line.begun = asyncio.get_running_loop().create_future(), False
        keep = False
        try:
            if line.transport is None:
                raise LostError("connection ended")
            line.transport.write(data)
            got = await line.got
            keep = got.headers.get("connection", "").lower() != "close"
            return got
        finally:
            if keep and line.transport and not line.transport.is_closing():
                self._idle.append(line)
            else:
                line.close()

    async def close(self) -> None:
        lines = list(self._lines)
        for line in lines:
            line.close()
        for line in lines:
            await line.closed
