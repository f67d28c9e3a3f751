"""One connection of a replayed client to the target (HTTP/1.1): one request at a time, each written once.

Owns the transport, the response's parser and the timer of the request that is in flight.
"""

from __future__ import annotations

import asyncio
import time
from typing import Protocol, cast

import httptools

from .pacing import SendRequest
from .plan import Planned
from .wire import Outcome, outcome_of

CONNECT_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 64 << 20  # a longer response ends its connection
FIRST_FINAL_STATUS = 200  # lower ones are interim responses (RFC 9110, section 15.2)
NOT_SENT_S = -1.0  # the response time of a request that was not written


class ConnectionOwner(Protocol):
    """The player, as its connections use it."""

    @property
    def target(self) -> tuple[str, int]:
        """The target's address and port."""

    def deadline(self, planned: Planned) -> float:
        """Return the seconds that a request waits for its response."""

    def request(self, planned: Planned) -> bytes:
        """Return a request's bytes."""

    def on_sent(self, action: SendRequest, size_bytes: int, connecting_s: float) -> None:
        """A request was written, `connecting_s` after `PlayerConnection.send`."""

    def on_request_ended(
        self,
        connection: PlayerConnection,
        action: SendRequest,
        outcome: Outcome,
        response_time_s: float,
        reusable: bool,
    ) -> None:
        """A request has its outcome; `reusable` says whether the connection can take another."""

    def on_connection_lost(self, connection: PlayerConnection) -> None:
        """The target closed an idle connection."""


class PlayerConnection(asyncio.Protocol):
    """A connection that is opened with its first request, and closed after its first failed one."""

    def __init__(self, owner: ConnectionOwner, client: int, connection_index: int) -> None:
        self._owner = owner
        self.client = client
        self.connection_index = connection_index
        self.closed = False
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._action: SendRequest | None = None  # the request in flight
        self._send_called_at = -1.0
        self._sent_at = -1.0  # below 0 until the request is written
        self._timer: asyncio.TimerHandle | None = None
        self._response_bytes = 0

    def send(self, action: SendRequest) -> None:
        """Write a request, as soon as the connection is up; none other may be in flight."""
        self._action = action
        self._sent_at = -1.0
        self._send_called_at = time.monotonic()
        if self._transport is not None:
            self._write()
        else:
            self._timer = self._loop.call_later(CONNECT_TIMEOUT_S, self._on_timeout)
            self._connect_task = self._loop.create_task(self._connect())

    def close(self) -> None:
        """Close at once; nothing is reported."""
        self.closed = True
        if self._connect_task:
            self._connect_task.cancel()
        if self._transport:
            self._transport.abort()

    async def _connect(self) -> None:
        try:
            await self._loop.create_connection(lambda: self, *self._owner.target)
        except OSError:
            self._end(Outcome.UNREACHABLE)

    def _write(self) -> None:
        action = self._action
        assert action and self._transport
        if self._timer:
            self._timer.cancel()
        data = self._owner.request(action.planned)
        self._parser = httptools.HttpResponseParser(self)
        self._response_bytes = 0
        self._sent_at = time.monotonic()
        self._timer = self._loop.call_later(self._owner.deadline(action.planned), self._on_timeout)
        self._transport.write(data)
        self._owner.on_sent(action, len(data), self._sent_at - self._send_called_at)

    def _on_timeout(self) -> None:
        self._end(Outcome.NO_ANSWER if self._sent_at >= 0 else Outcome.UNREACHABLE)

    def _end(self, outcome: Outcome, reusable: bool = False) -> None:
        """Report the end of the request in flight, if there is one."""
        action = self._action
        self._action = None
        if action is None:
            return
        if self._timer:
            self._timer.cancel()
            self._timer = None
        response_time_s = time.monotonic() - self._sent_at if self._sent_at >= 0 else NOT_SENT_S
        reusable = reusable and self._transport is not None and not self._transport.is_closing()
        if not reusable:
            self.close()
        self._owner.on_request_ended(self, action, outcome, response_time_s, reusable)

    # -- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the request that the connection was opened for."""
        self._transport = cast(asyncio.Transport, transport)
        self._connect_task = None
        if self.closed:
            self._transport.abort()
        elif self._action:
            self._write()

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response; bytes without a request end the connection."""
        if self._action is None:
            self.close()
            self._owner.on_connection_lost(self)
            return
        self._response_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._end(Outcome.BROKEN)
            return
        if self._response_bytes > MAX_RESPONSE_BYTES and self._action:
            self._end(Outcome.BROKEN)

    def eof_received(self) -> None:
        """Let the transport close."""
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the request in flight as broken, or an idle connection as lost."""
        self._transport = None
        if self._action:
            self._end(Outcome.BROKEN)
        elif not self.closed:
            self.closed = True
            self._owner.on_connection_lost(self)

    # -- httptools.HttpResponseParser

    def on_message_complete(self) -> None:
        """End the request with its final response."""
        status = self._parser.get_status_code()
        if status >= FIRST_FINAL_STATUS:
            self._end(outcome_of(status), self._parser.should_keep_alive())
