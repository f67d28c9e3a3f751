"""One connection to discovery: a watch of the endpoint list, preceded by a poll of the complete list if needed.

`DiscoveryCall` owns the connection, its HTTP parser and the bytes of a list that is not complete yet.  Only complete
heads, heartbeats and lists count as activity: a connection that sends bytes without completing one is silent.
"""

from __future__ import annotations

import asyncio
import os
import select
from collections.abc import Callable
from math import inf
from typing import Protocol, cast

import httptools

from ..base.errors import connect
from ..base.input_turns import InputTurns
from ..base.log import log_event
from ..base.turn_queue import TurnQueue
from .list_stream import ListInterrupted, ListStream
from .lists import EndpointListError

READ_BYTES = 1 << 16
MAX_READS = 64  # per `read_now`
HTTP_OK = 200
LIST_WORK = 16  # of a list or heartbeat, in callbacks that take as long
LIST_PATH = "/catalog/members"


class CallOwner(Protocol):
    """Receives what a call reports, and provides its parameters."""

    list_version: int  # of the current list
    needs_complete_list: bool  # the next call polls the complete list first
    list_timeout_s: float  # from a list's first byte until it must be complete

    def receive_list(self, data: bytes, from_poll: bool) -> None:
        """Apply a list; `from_poll` is set for the response to a poll.  Raises EndpointListError."""

    def call_failed(self, call: DiscoveryCall, reason: object) -> None:
        """Handle the end of a call that was not closed by its owner."""

    def watch_active(self, call: DiscoveryCall) -> None:
        """Handle a complete head, heartbeat or list from the watch."""

    def complete_list_received(self, call: DiscoveryCall) -> None:
        """Handle the end of a poll whose list was applied."""


class DiscoveryCall(asyncio.Protocol):
    """One call, which its owner identifies by its number."""

    def __init__(self, owner: CallOwner, number: int) -> None:
        self._owner = owner
        self.number = number
        self._parser = httptools.HttpResponseParser(self)
        self._turns = InputTurns(self, self, TurnQueue(self._call_soon))
        self.work = 0  # callbacks of the parser
        self._loop: asyncio.AbstractEventLoop  # from `connect` on
        self._host = ""
        self._transport: asyncio.Transport | None = None
        self._poller: select.poll | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._polling = False  # the current response is the complete list, not the watch
        self._stream = ListStream()
        self._status = 0
        self._response_complete = False
        self._closed = False
        self._active = False  # the data being read completed a head, heartbeat or list
        self._local_error_logged = False
        self.list_due_s = inf  # the list being received must be complete by then

    def connect(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int]) -> None:
        """Start connecting."""
        self._loop = loop
        self._host = f"{address[0]}:{address[1]}"
        self._connect_task = loop.create_task(self._connect(address))

    async def _connect(self, address: tuple[str, int]) -> None:
        def log_local_error(error: OSError) -> None:
            if not self._local_error_logged:
                log_event("no connection to discovery", error)
            self._local_error_logged = True

        try:
            # An error of this machine (no socket, no port) says nothing about discovery: retried until `close`.
            await connect(self._loop, lambda: self, address, log_local_error)
        except OSError as error:
            self._owner.call_failed(self, error)

    def close(self) -> None:
        """End the call; nothing is reported after this."""
        self._closed = True
        if self._connect_task:
            self._connect_task.cancel()
        if self._transport:
            self._transport.abort()

    @property
    def has_unread_data(self) -> bool:
        """Whether data has arrived that the event loop has not delivered yet."""
        if not self._transport or self._transport.is_closing():
            return False
        return self._turns.is_waiting or bool(self._poller and self._poller.poll(0))

    def read_now(self) -> None:
        """Read the data that has arrived, without waiting for the event loop, as far as a turn allows."""
        self._turns.proceed()
        for _ in range(MAX_READS):
            if self._transport is None or self._turns.is_waiting or not self.has_unread_data:
                return
            try:
                data = os.read(self._transport.get_extra_info("socket").fileno(), READ_BYTES)
            except OSError:
                return  # no data, or an error that the event loop will report too
            if not data:
                return
            self.data_received(data)

    # -- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request (asyncio.Protocol)."""
        self._transport = cast(asyncio.Transport, transport)
        self._connect_task = None
        if self._closed:
            self._transport.abort()  # a request whose response is not needed would still cost the service
            return
        self._poller = select.poll()
        self._poller.register(self._transport.get_extra_info("socket").fileno(), select.POLLIN)
        self._polling = self._owner.needs_complete_list
        self._send_request()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection (asyncio.Protocol)."""
        self._transport = None
        self._turns.close()
        self._owner.call_failed(self, exc or "connection closed")
        del self._parser  # breaks the reference cycle

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response (asyncio.Protocol)."""
        self._turns.parse(data)

    # -- turns of the event loop, for the input

    def _call_soon(self, callback: Callable[[], None]) -> object:
        return self._loop.call_soon(callback)

    def pause_for_turn(self) -> None:
        """Stop reading until the next turn."""
        if self._transport and not self._transport.is_closing():
            self._transport.pause_reading()

    def shorten_reads(self) -> None:
        """Nothing: a list is read whole."""

    def abort_after_error(self) -> None:
        """Close the connection: its input could not be handled."""
        if self._transport:
            self._transport.abort()

    def resume_after_turn(self) -> None:
        """Read again: no input waits any more."""
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

    @property
    def is_stopped(self) -> bool:
        """Whether the rest of the input is not parsed."""
        return self._closed

    def piece_end(self, data: bytes, start: int, max_bytes: int) -> int:
        """Return the end of the part of `data` from `start` on that `feed` gets next."""
        return min(len(data), start + max_bytes)

    def flush(self) -> None:
        """Do nothing: `feed` delivers all lists that are complete."""

    def feed(self, data: bytes | memoryview) -> None:
        """Parse a part of the input, and deliver the lists that are complete."""
        self._active = False
        try:
            self._parser.feed_data(data)
            self._stream.check_size()
            self._deliver_lists()
        except ListInterrupted as error:
            self._owner.needs_complete_list = True
            self._owner.call_failed(self, error)
        except (EndpointListError, httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._owner.call_failed(self, error)
        if self._active:
            self._owner.watch_active(self)
        if self._polling or self._stream.is_empty:
            self.list_due_s = inf
        elif self._active or self.list_due_s == inf:
            self.list_due_s = self._loop.time() + self._owner.list_timeout_s

    # -- callbacks of the HTTP parser

    def on_headers_complete(self) -> None:
        """Record the status (httptools)."""
        self.work += 1
        self._status = self._parser.get_status_code()
        self._active = self._status == HTTP_OK and not self._polling

    def on_body(self, data: bytes) -> None:
        """Store a part of the body (httptools)."""
        self.work += 1
        if self._status == HTTP_OK:
            self._stream.feed(data)

    def on_message_complete(self) -> None:
        """Record the end of the response, unless it is an interim one (httptools)."""
        self._response_complete = self._status >= HTTP_OK

    # -- requests and lists

    def _send_request(self) -> None:
        query = "" if self._polling else f"?watch=1&from={self._owner.list_version}"
        if self._transport:
            head = f"GET {LIST_PATH}{query} HTTP/1.1\r\nHost: {self._host}\r\n\r\n"
            self._transport.write(head.encode())

    def _deliver_lists(self) -> None:
        """Deliver all complete lists.  Raises EndpointListError."""
        if self._polling:
            if self._response_complete and self._status == HTTP_OK:
                self._response_complete = False
                self._owner.receive_list(self._stream.take_all(), True)
                self._polling = False
                self._owner.complete_list_received(self)
                self._send_request()
        else:
            for complete in self._stream.complete_lists():
                self.work += LIST_WORK
                if complete:
                    self._owner.receive_list(complete, False)
                self._active = True
        if self._response_complete:
            raise EndpointListError(f"ended with status {self._status}")
