"""Parses the responses that arrive on one HTTP/1.1 connection (RFC 9112).

A `ResponseParser` owns the `httptools` parser of its connection and the parsed parts of the response being read:
status, headers, framing, and the buffered part of the body with its reservation of memory.  It applies events to the
connection's state as the parts of a response arrive; the connection decides what to do in each state.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol

import httptools

from ..base.head_boundary import HeadBoundary
from ..base.limits import MemoryBudget, Reservation
from ..policy.interface import Outcome
from .duplicate_check import FIRST_FINAL_STATUS, NO_FIELDS, DuplicateCheck, Verdict, add_field
from .interface import (
    FIELD_OBJECT_BYTES,
    HOP_BY_HOP_HEADERS,
    STATUSES_WITHOUT_BODY,
    EndpointResponse,
    Headers,
)
from .states import (
    AWAITING_RESPONSE,
    BODY_END,
    CLOSED,
    COMPLETE,
    EXTRA_DATA,
    HEAD_END,
    INTERIM_END,
    INVALID,
    INVALIDATE,
    MESSAGE_BEGIN,
    READING_BODY,
    READING_HEAD,
    STREAMING,
)

MAX_BUFFERED_RESPONSE_BYTES: Final = 65536  # a longer body is streamed if the request allows it
MAX_STREAMED_BODY_BYTES: Final = 64 << 20
MAX_HEAD_BYTES: Final = 65536
MAX_HEAD_FIELDS: Final = 256
# In memory; no response is refused for lack of so little.
MAX_ORDINARY_HEAD_BYTES: Final = 8192
MAX_PARTIAL_HEAD_BYTES: Final = 2048  # most heads arrive whole

HTTP_VERSION_PREFIX: Final = b"HTTP/1."
CHUNKED_END: Final = b"\r\n\r\n"  # the end of the last chunk's line or of a trailer field, and an empty line
INTERIM_WORK: Final = 16  # of an interim response, in callbacks that take as long
CHUNKED_END_BYTES: Final = len(CHUNKED_END) + 1  # with the byte before it
SWITCHING_PROTOCOLS: Final = 101
REJECTION_STATUSES: Final = (503, 504)  # with `X-Not-Run: 1` they prove that the request was not executed


class ResponseReceiver(Protocol):
    """The connection, as its parser uses it."""

    state: str
    last_received_ms: float

    def transition(self, event: str) -> None:
        """Apply an event to the connection's state."""

    @property
    def request_is_written(self) -> bool:
        """Whether the kernel has the last byte of the request."""

    @property
    def accepts_streaming(self) -> bool:
        """Whether the request's sender accepts a response with an incomplete body."""

    def stream_body(self, data: bytes) -> None:
        """Deliver more of a streamed body once what follows in the same read is judged."""


class ResponseParser:
    """Parses one response at a time on one connection; `reset` begins the next.

    `is_served_status` returns whether responses with a status are delivered to clients; other bodies are discarded.
    """

    status: int
    content_length: int
    load_report: bytes
    is_delimited: bool  # by Content-Length or chunked; otherwise the end of the connection ends the body
    is_chunked: bool
    keep_alive: bool  # the response is complete and allows another request on this connection
    closes_connection: bool  # `Connection: close`
    exceeds_buffer: bool  # the body must be streamed
    body_bytes: int  # of the buffered part, reserved in the memory budget
    head_bytes: int
    started_ms: float  # when the response's first byte arrived

    def __init__(
        self, connection: ResponseReceiver, memory: MemoryBudget, is_served_status: Callable[[int], bool]
    ) -> None:
        self._connection = connection
        self._memory = memory
        self._is_served_status = is_served_status
        self._http_parser = httptools.HttpResponseParser(self)
        # Without it, data behind a response with `Connection: close` could not be told from a duplicate.
        self._http_parser.set_dangerous_leniencies(lenient_keep_alive=True)
        self._head_boundary = HeadBoundary()
        self._head_memory = Reservation(memory)
        self.started_ms = 0.0
        self.work = 0  # callbacks
        self._is_closed = False
        self.reset()

    def reset(self) -> None:
        """Discard the response; the next byte begins another one."""
        self._head_memory.set(0)
        self._field_count = 0
        self.status = 0
        self.content_length = 0
        self.head_bytes = 0
        self.body_bytes = 0
        self._headers: Headers = []
        self._body = bytearray()
        self._framing_bytes = 0  # read since the last byte of a chunked body
        self._connection_header = b""
        self.load_report = b""
        self.is_delimited = False
        self.is_chunked = False
        self.keep_alive = False
        self.closes_connection = False
        self.exceeds_buffer = False
        self._not_executed = False  # `X-Not-Run: 1`
        self._fields_digest = NO_FIELDS
        self._received_body_bytes = 0
        self._max_wire_bytes = 0
        self._wire_bytes = 0  # of the response and what follows it
        self._chunked_tail = b""
        self._duplicate: DuplicateCheck | None = None  # judges what follows the response
        self._began_early = False  # its first byte arrived before the last byte of the request was written

    def close(self) -> None:
        """Break the reference cycles with httptools and the connection; `feed` must not be called afterwards."""
        self._head_memory.set(0)
        if not self._is_closed:
            self._is_closed = True
            del self._http_parser
            del self._connection

    @property
    def is_stopped(self) -> bool:
        """Whether the rest of the input is not parsed, as the response is invalid or its connection closed."""
        return self._connection.state in (INVALID, CLOSED)

    def piece_end(self, data: bytes, start: int, max_bytes: int) -> int:
        """Return the end of the part of `data` from `start` on that `feed` may get next.

        Heads and bodies of known length are parsed apart from what follows them, so that no byte behind a response
        remains unnoticed.  Other input has `max_bytes` at most.
        """
        state = self._connection.state
        if state in (AWAITING_RESPONSE, READING_HEAD):
            return self._head_boundary.find(data, start)
        end = start + max_bytes
        if state in (READING_BODY, STREAMING) and self.has_known_length:
            end = start + max(1, self.content_length - self._received_body_bytes)
        return min(len(data), end)

    def feed(self, data: bytes | memoryview) -> None:
        """Parse a part of the data that was read, and apply the resulting events to the connection's state."""
        connection = self._connection
        if connection.state == COMPLETE:
            self._begin_duplicate_check(bytes(data[: len(HTTP_VERSION_PREFIX)]))
        self._wire_bytes += len(data)
        body_bytes = self._received_body_bytes
        try:
            self._http_parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._on_invalid_data()
        if connection.state in (AWAITING_RESPONSE, READING_HEAD):
            self.head_bytes += len(data)
        if self.is_chunked:
            self._check_chunked_end(bytes(data[-CHUNKED_END_BYTES:]))
            self._count_framing(len(data) if body_bytes == self._received_body_bytes else 0)
        if connection.state in (READING_HEAD, READING_BODY, STREAMING) and not self._reserve_head():
            connection.transition(INVALIDATE)
        if self._duplicate:
            self._judge_duplicate(self._duplicate)

    def flush(self) -> None:
        """Do nothing: all that was parsed is reported."""

    def _reserve_head(self) -> bool:
        """Reserve memory for the head and for a part of the body's framing, such as an incomplete trailer field.

        Returns False if they are long and exceed the limit.
        """
        state = self._connection.state
        held_bytes = self._framing_bytes
        if state != STREAMING:  # then the head has been delivered
            held_bytes += self.head_bytes + FIELD_OBJECT_BYTES * self._field_count
        is_partial = state == READING_HEAD or self._framing_bytes > MAX_PARTIAL_HEAD_BYTES
        if held_bytes > (MAX_PARTIAL_HEAD_BYTES if is_partial else MAX_ORDINARY_HEAD_BYTES):
            return self._head_memory.set_for_response(held_bytes)
        self._head_memory.set(held_bytes)
        return True

    def _count_framing(self, size: int) -> None:
        """Bound chunk extensions and trailer fields, as heads are."""
        self._framing_bytes = self._framing_bytes + size if size else 0
        if self._framing_bytes > MAX_HEAD_BYTES and self._connection.state in (READING_BODY, STREAMING):
            self._connection.transition(INVALIDATE)

    def _judge_duplicate(self, duplicate: DuplicateCheck) -> None:
        if self._wire_bytes > self._max_wire_bytes:
            duplicate.on_invalid_data()  # longer than the response, so no duplicate
        if duplicate.verdict is Verdict.DIFFERENT and self._connection.state != INVALID:
            self._connection.transition(INVALIDATE)

    def _on_invalid_data(self) -> None:
        connection = self._connection
        self.keep_alive = False
        if connection.state == COMPLETE:
            self._begin_duplicate_check(b"")
        if self._duplicate:
            self._duplicate.on_invalid_data()
        elif connection.state != INVALID:
            connection.transition(INVALIDATE)

    def _check_chunked_end(self, last_bytes: bytes) -> None:
        """Notice empty lines behind a chunked body, which httptools skips without a callback."""
        self._chunked_tail = (self._chunked_tail + last_bytes)[-CHUNKED_END_BYTES:]
        if self._connection.state == COMPLETE:
            tail = self._chunked_tail
            if not tail.endswith(CHUNKED_END) or tail[:1] == b"\n":
                self._begin_duplicate_check(b"")

    def _begin_duplicate_check(self, data: bytes) -> None:
        """Judge what follows the response; `data` is its beginning, empty if it is no message."""
        self._connection.transition(EXTRA_DATA)
        is_held = not self.exceeds_buffer and self._is_served_status(self.status)
        body = bytes(self._body) if is_held else None
        self._max_wire_bytes = 2 * self._wire_bytes + MAX_HEAD_BYTES  # with interim responses before the duplicate
        self._duplicate = DuplicateCheck(self.status, self._fields_digest, body)
        if not data or not HTTP_VERSION_PREFIX.startswith(data):
            self._duplicate.on_invalid_data()

    @property
    def is_repeated(self) -> bool:
        """Whether the same response follows the response."""
        return self._duplicate is not None and self._duplicate.verdict is Verdict.DUPLICATE

    # -- the parsed response

    @property
    def outcome(self) -> Outcome:
        """The outcome of an attempt that received this response."""
        if self._is_served_status(self.status):
            return Outcome.OK
        return Outcome.REJECTED if self._is_rejection else Outcome.ERROR

    @property
    def _is_rejection(self) -> bool:
        return self.status in REJECTION_STATUSES and self._not_executed

    @property
    def may_be_streamed(self) -> bool:
        """Whether the response may be delivered before it is complete."""
        return self._connection.accepts_streaming and self._is_served_status(self.status)

    @property
    def has_known_length(self) -> bool:
        """Whether `content_length` is the length of the body."""
        return self.is_delimited and not self.is_chunked

    @property
    def is_delimited_by_close(self) -> bool:
        """Whether the end of the connection ends the body, as the endpoint announced with `Connection: close`.

        Without that announcement the end can't be told from an incomplete response (RFC 9112, 6.3 and 8).
        """
        return self.closes_connection and not self.is_delimited

    def response(self) -> EndpointResponse:
        """Return the response with the buffered part of its body."""
        headers = self._headers
        option = self._connection_header
        if option and not self.closes_connection and option != b"keep-alive":
            # The header may name further hop-by-hop headers (RFC 9110, 7.6.1).
            named = {part.strip() for part in option.split(b",")}
            headers = [header for header in headers if header[0] not in named]
        return EndpointResponse(self.status, headers, bytes(self._body))

    def release_body(self) -> None:
        """Drop the buffered part of the body and release its memory, and that of the head."""
        self._head_memory.set(0)
        self._memory.release(self.body_bytes)
        self._body = bytearray()
        self.body_bytes = 0

    # -- callbacks of httptools

    def on_message_begin(self) -> None:
        """Handle the first byte of a message."""
        self.work += 1
        connection = self._connection
        if connection.state == COMPLETE:
            self._begin_duplicate_check(HTTP_VERSION_PREFIX)  # httptools compares it
        elif connection.state == AWAITING_RESPONSE:
            connection.transition(MESSAGE_BEGIN)
            self.started_ms = connection.last_received_ms
            self._began_early = not connection.request_is_written

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header field; trailers are ignored."""
        self.work += 1
        if self._duplicate:
            self._duplicate.on_header(name, value)
        if self._connection.state != READING_HEAD:
            return
        self._fields_digest = add_field(self._fields_digest, name, value)
        self.head_bytes += len(name) + len(value)
        self._field_count += 1
        if self._field_count > MAX_HEAD_FIELDS:
            self._connection.transition(INVALIDATE)
            return
        name = name.lower()
        if name == b"content-length":
            self.is_delimited, self.content_length = True, int(value)
        elif name == b"x-load":
            self.load_report = value
        elif name == b"connection":
            self._connection_header = value.strip().lower()
            self.closes_connection = self._connection_header == b"close"
        elif name == b"x-not-run":
            self._not_executed = value == b"1"
        elif name == b"transfer-encoding":
            self.is_delimited = self.is_chunked = True
            if value.strip().lower() != b"chunked":
                self._connection.transition(INVALIDATE)
        elif name not in HOP_BY_HOP_HEADERS:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Handle the end of a head, of an interim or of the final response."""
        if self._duplicate:
            self._duplicate.on_headers_complete(self._http_parser.get_status_code())
        if self._connection.state != READING_HEAD:
            return
        self.status = self._http_parser.get_status_code()
        if self.status < FIRST_FINAL_STATUS:
            return
        self._connection.transition(HEAD_END)
        is_long = self.content_length > MAX_BUFFERED_RESPONSE_BYTES
        may_stream = self.may_be_streamed and self.content_length <= MAX_STREAMED_BODY_BYTES
        # An endpoint begins to execute when it has the last byte of the request, so a response that began before that
        # belongs to another message, or the endpoint has given up on the request.
        is_too_early = self._began_early and not self._is_rejection
        # Without a length, chunks or an announced close the end of the body can't be told from a break.
        is_endless = not self.is_delimited and not self.closes_connection and self.status not in STATUSES_WITHOUT_BODY
        if is_long and not may_stream or is_too_early or is_endless:
            self._connection.transition(INVALIDATE)
        elif is_long:
            self.exceeds_buffer = True

    def on_body(self, data: bytes) -> None:
        """Handle a part of the body."""
        self.work += 1
        connection = self._connection
        if self._duplicate:
            self._duplicate.on_body(data)
            return
        self._received_body_bytes += len(data)
        if connection.state == STREAMING:
            connection.stream_body(data)
            return
        if connection.state != READING_BODY or not self._is_served_status(self.status):
            return
        if not self.exceeds_buffer and self.body_bytes + len(data) > MAX_BUFFERED_RESPONSE_BYTES:
            self.exceeds_buffer = self.may_be_streamed
            if not self.exceeds_buffer:
                connection.transition(INVALIDATE)
                return
        if not self._memory.acquire_for_response(len(data)):
            connection.transition(INVALIDATE)
            return
        self.body_bytes += len(data)
        self._body += data

    def on_message_complete(self) -> None:
        """Handle the end of a message, an interim or the final response."""
        connection = self._connection
        if self._duplicate:
            self._duplicate.on_message_complete()
        elif connection.state == READING_HEAD:
            self.work += INTERIM_WORK
            connection.transition(INVALIDATE if self.status == SWITCHING_PROTOCOLS else INTERIM_END)
            head_bytes = self.head_bytes
            self.reset()
            self.head_bytes = head_bytes  # MAX_HEAD_BYTES limits the heads of a response together
        elif connection.state in (READING_BODY, STREAMING):
            connection.transition(BODY_END)
            self.keep_alive = self._http_parser.should_keep_alive()
