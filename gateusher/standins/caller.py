"""An HTTP/1.1 client of the daemon, with persistent connections and one request at a time on each (no pipelining).

`HttpClient` owns the connections and reuses idle ones.
"""

from __future__ import annotations

import asyncio
from typing import Final, NamedTuple, cast

import httptools

FINAL_STATUS_MIN: Final = 200  # below are interim responses (RFC 9110, section 15.2)


class Response(NamedTuple):
    """A complete response."""

    status: int
    headers: dict[str, str]  # names in lower case
    body: bytes


class NoResponseError(Exception):
    """The connection ended, or the timeout expired, before a complete response."""


class _Connection(asyncio.Protocol):
    """A connection to the daemon; `response` is pending while a request is in flight."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.response: asyncio.Future[Response] | None = None
        self.response_started = False  # at least one byte of the response was read
        self.closed = asyncio.get_running_loop().create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._headers = dict[str, str]()
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.response and not self.response.done():
            self.response.set_exception(NoResponseError(f"connection ended: {exc or 'closed'}"))
        self.closed.set_result(None)
        del self._parser  # breaks the reference cycle

    def data_received(self, data: bytes) -> None:
        self.response_started = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self.response and not self.response.done():
                self.response.set_exception(NoResponseError(f"malformed response: {error}"))
            self.close()

    def on_message_begin(self) -> None:
        self._headers = {}
        self._body = bytearray()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status >= FINAL_STATUS_MIN and self.response and not self.response.done():
            self.response.set_result(Response(status, self._headers, bytes(self._body)))

    def close(self) -> None:
        """Abort the connection."""
        if self.transport:
            self.transport.abort()


class HttpClient:
    """Sends requests to one address and reads their responses."""

    def __init__(self, port: int, ip: str = "127.0.0.1") -> None:
        self._address = (ip, port)
        self._idle: list[_Connection] = []
        self._connections: set[_Connection] = set()

    async def request(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b"", timeout_s: float = 10.0
    ) -> Response:
        """Send one request and wait at most `timeout_s` for its response.  Raises NoResponseError.

        If a reused connection ends before the first byte of the response, the request is sent again on a new one: the
        server may have closed the old one as idle (RFC 9112, section 9.3.1).  A cancellation closes the connection.
        """
        data = self._encode_request(method, target, headers, body)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._send(data)
        except TimeoutError:
            raise NoResponseError(f"no response within {timeout_s:g} s") from None
        except OSError as error:
            raise NoResponseError(f"connection failed: {error}") from None

    async def _send(self, data: bytes) -> Response:
        idle = self._take_idle()
        if idle:
            try:
                return await self._exchange(idle, data)
            except NoResponseError:
                if idle.response_started:
                    raise
        return await self._exchange(await self._connect(), data)

    def _take_idle(self) -> _Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.transport and not connection.transport.is_closing():
                return connection
        return None

    @staticmethod
    def _encode_request(method: str, target: str, headers: dict[str, str], body: bytes) -> bytes:
        fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        content_length = f"Content-Length: {len(body)}\r\n" if method != "GET" or body else ""
        return f"{method} {target} HTTP/1.1\r\nHost: o\r\n{fields}{content_length}\r\n".encode("latin-1") + body

    async def _connect(self) -> _Connection:
        _, connection = await asyncio.get_running_loop().create_connection(_Connection, *self._address)
        self._connections.add(connection)
        connection.closed.add_done_callback(lambda _: self._connections.discard(connection))
        return connection

    async def _exchange(self, connection: _Connection, data: bytes) -> Response:
        """Write one request and read its response; the connection is idle or closed afterwards."""
        connection.response = asyncio.get_running_loop().create_future()
        connection.response_started = False
        is_reusable = False
        try:
            if connection.transport is None:
                raise NoResponseError("connection ended")
            connection.transport.write(data)
            response = await connection.response
            is_reusable = response.headers.get("connection", "").lower() != "close"
            return response
        finally:
            if is_reusable and connection.transport and not connection.transport.is_closing():
                self._idle.append(connection)
            else:
                connection.close()

    async def close(self) -> None:
        """Close all connections and wait until they are closed."""
        connections = list(self._connections)
        for connection in connections:
            connection.close()
        for connection in connections:
            await connection.closed
