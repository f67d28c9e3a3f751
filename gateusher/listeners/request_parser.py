"""Parses a connection's input as HTTP/1.1 requests (RFC 9112) and bounds their size.

`RequestParser` owns the httptools parser and the request head being received.  It reports events to its connection
and raises `UnusableRequestError` for input after which nothing more can be read from the connection.
"""

from __future__ import annotations

from typing import Protocol

import httptools

from ..base.head_boundary import HeadBoundary
from ..upstream.interface import FIELD_OBJECT_BYTES, HOP_BY_HOP_HEADERS, Headers

MAX_HEAD_BYTES = 32768
MAX_HEAD_FIELDS = 128
MAX_ORDINARY_FRAMING_BYTES = 2048  # of a body, between two of its parts
MAX_REQUEST_BODY_BYTES = 33 << 20
FIELD_OVERHEAD_BYTES = len(b": \r\n")
LINE_END = b"\r\n"
REQUEST_WORK = 32  # of a request, in callbacks that take as long: it is classified, submitted and answered
REPORTED_BODY_BYTES = 16384  # parts of a body are collected up to this length

# Fields that the listener acts on.  A request that repeats one is rejected, since its meaning is ambiguous.
SINGLETON_FIELDS = frozenset(
    {
        b"x-request-id",
        b"x-class",
        b"x-deadline",
        b"x-tenant",
        b"idempotency-key",
        b"x-retry",
        b"x-cost-hint",
        b"content-length",
        b"transfer-encoding",
        b"host",
    }
)
# Fields of this connection only, or rewritten for the endpoint.
NOT_FORWARDED_FIELDS = HOP_BY_HOP_HEADERS | {b"expect", b"x-deadline"}


class UnusableRequestError(Exception):
    """The input can't be parsed, or exceeds a limit; the connection is closed after a response with this status."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


def _status_of(error: httptools.HttpParserCallbackError) -> int:
    """Return the status of the error that a callback raised.

    The frame that catches `error` must not refer to its cause, whose traceback refers back to that frame and so to
    the input: a reference cycle, which only the rare garbage collections would free.
    """
    cause = error.__context__
    return cause.status if isinstance(cause, UnusableRequestError) else 400


class RequestEvents(Protocol):
    """Callbacks of the parser.  Each may raise UnusableRequestError to stop it."""

    def on_request_begin(self) -> None:
        """The first byte of a request was read."""

    def on_request_line(self) -> None:
        """The request line is valid, so what was read since the last request is another request."""

    def on_expect_continue(self) -> None:
        """The client waits for 100 Continue before it sends the body (RFC 9110, section 10.1.1)."""

    def on_body_data(self, data: bytes) -> None:
        """Part of the request body."""

    def on_request_complete(self) -> None:
        """The last byte of a request was read."""


class RequestParser:
    """Parses the requests of one connection.  Methods with names from httptools are its callbacks."""

    def __init__(self, events: RequestEvents) -> None:
        self._events = events
        self._parser = httptools.HttpRequestParser(self)
        # Without it, data behind a request with `Connection: close` could not be told from another request.
        self._parser.set_dangerous_leniencies(lenient_keep_alive=True)
        self._head_boundary = HeadBoundary()
        self._line_ends: bytes | None = None  # read since a body of known length has ended
        self.has_known_length = False  # Content-Length gives that of the current body
        self._content_length = 0
        self.has_request_line = False  # that of the latest request, and nothing else was read since
        self.in_head = False
        self.in_request = False  # a request has begun and is not complete
        self.body_bytes = 0  # received of the current body
        self.request_count = 0  # requests that have begun
        self.work = 0  # callbacks
        self._body_parts: list[bytes] = []  # not reported yet
        self._unreported_bytes = 0
        self._framing_bytes = 0  # read since the last byte of a chunked body
        self._is_abandoned = False  # nothing more is reported
        self._unfinished_head_bytes = 0  # read since a read ended inside the current head
        self._reset_head()

    def _reset_head(self) -> None:
        self.target = b""
        self.headers: Headers = []  # those to forward, in their order
        self.fields: dict[bytes, bytes] = {}  # all, by lower-case name
        self.head_bytes = 0
        self._field_count = 0

    @property
    def unfinished_bytes(self) -> int:
        """The memory that an incomplete head takes, or a long part of the body's framing."""
        if self.in_head:
            return self.held_bytes
        return self._framing_bytes if self._framing_bytes > MAX_ORDINARY_FRAMING_BYTES else 0

    @property
    def held_bytes(self) -> int:
        """The memory that the current head takes."""
        text_bytes = len(self.target) + self.head_bytes + self._unfinished_head_bytes
        return text_bytes + FIELD_OBJECT_BYTES * self._field_count

    @property
    def remaining_body_bytes(self) -> int:
        """How much is to come of a body of known length; 0 outside of one."""
        if self.in_head or not self.in_request or not self.has_known_length:
            return 0
        return self._content_length - self.body_bytes

    @property
    def method(self) -> bytes:
        """The method of the current request."""
        return self._parser.get_method()

    @property
    def is_http_1_0(self) -> bool:
        """Whether the current request is of a version before 1.1."""
        return self._parser.get_http_version() != "1.1"

    @property
    def keep_alive(self) -> bool:
        """Whether the client wants the connection to persist; always False for HTTP/1.0 (RFC 9112, section 9.3)."""
        return bool(self._parser.should_keep_alive()) and not self.is_http_1_0

    def piece_end(self, data: bytes, start: int, max_bytes: int) -> int:
        """Return the end of the part of `data` from `start` on that `feed` may get next.

        Heads and bodies of known length are parsed apart from what follows them; the parts of a chunked body have
        `max_bytes` at most.  Raises UnusableRequestError.
        """
        if self.in_request and not self.in_head:
            return min(len(data), start + (self.remaining_body_bytes or max_bytes))
        if not self.in_request and self._line_ends is not None:
            self._check_line_ends(data, start)
        return self._head_boundary.find(data, start)

    def _check_line_ends(self, data: bytes, start: int) -> None:
        """Allow one empty line before a request line (RFC 9112, 2.2); more may be the rest of the body before it."""
        while data[start : start + 1] in (b"\r", b"\n"):
            self._line_ends = (self._line_ends or b"") + data[start : start + 1]
            if not LINE_END.startswith(self._line_ends):
                raise UnusableRequestError(400)
            start += 1

    def feed(self, data: bytes | memoryview) -> None:
        """Parse input.  Raises UnusableRequestError."""
        was_in_head, request_count, body_bytes = self.in_head, self.request_count, self.body_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            raise UnusableRequestError(_status_of(error)) from None
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            raise UnusableRequestError(400) from None
        if was_in_head and self.in_head and request_count == self.request_count:
            self._unfinished_head_bytes += len(data)
            if self._unfinished_head_bytes > MAX_HEAD_BYTES:
                raise UnusableRequestError(431)
        if self.in_request and not self.in_head:
            self._count_framing(len(data) if self.body_bytes == body_bytes else 0)

    def _count_framing(self, size: int) -> None:
        """Bound chunk extensions and trailer fields, as heads are.  Raises UnusableRequestError."""
        self._framing_bytes = self._framing_bytes + size if size else 0
        if self._framing_bytes > MAX_HEAD_BYTES:
            raise UnusableRequestError(431)

    @property
    def is_stopped(self) -> bool:
        """Whether the rest of the input is not parsed: never, since `feed` raises an error in that case."""
        return False

    def flush(self) -> None:
        """Report the parts of the body that are collected.  Raises UnusableRequestError."""
        if self._body_parts:
            parts = self._body_parts
            self._drop_body_parts()
            self._events.on_body_data(parts[0] if len(parts) == 1 else b"".join(parts))

    def _drop_body_parts(self) -> None:
        self._body_parts = []
        self._unreported_bytes = 0

    def abandon_request(self) -> None:
        """Give up the current request: neither its rest nor what follows it in the same input is reported.

        The connection may stay open for long, so what httptools holds of an incomplete field is freed too.
        """
        self._parser = httptools.HttpRequestParser(self)
        self._framing_bytes = self._unfinished_head_bytes = 0
        self.in_head = False
        self.in_request = False
        self._reset_head()
        self._drop_body_parts()
        self._is_abandoned = True

    def _stop_if_abandoned(self) -> None:
        """Stop the parser in the middle of its input.  Raises UnusableRequestError."""
        if self._is_abandoned:
            raise UnusableRequestError(400)

    def close(self) -> None:
        """Release the httptools parser and the connection: both refer back to this object."""
        del self._parser
        del self._events

    def on_message_begin(self) -> None:
        """A request begins."""
        self.work += 1
        self._stop_if_abandoned()
        self._events.on_request_begin()
        self._reset_head()
        self._line_ends = None
        self.in_head = True
        self.in_request = True
        self.request_count += 1
        self._unfinished_head_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Part of the request target."""
        self.target += url
        if len(self.target) > MAX_HEAD_BYTES:
            raise UnusableRequestError(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header field, or a trailer field, which is dropped."""
        self.work += 1
        if not self.in_head:
            return
        if not self.has_request_line:
            self._on_request_line()
        self.head_bytes += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        self._field_count += 1
        if self.head_bytes + len(self.target) > MAX_HEAD_BYTES or self._field_count > MAX_HEAD_FIELDS:
            raise UnusableRequestError(431)
        lower_name = name.lower()
        if lower_name in SINGLETON_FIELDS and lower_name in self.fields:
            raise UnusableRequestError(400)
        if lower_name not in NOT_FORWARDED_FIELDS:
            self.headers.append((name, value))
        self.fields[lower_name] = value.strip(b" \t")

    def _on_request_line(self) -> None:
        """The line is valid, as something that follows it was parsed: httptools has no callback for its end."""
        self.has_request_line = True
        self._events.on_request_line()

    def on_headers_complete(self) -> None:
        """The head is complete."""
        if not self.has_request_line:
            self._on_request_line()
        self.in_head = False
        self._unfinished_head_bytes = 0
        self.body_bytes = 0
        self._framing_bytes = 0
        fields = self.fields
        if self._parser.should_upgrade() or fields.get(b"transfer-encoding", b"chunked").lower() != b"chunked":
            raise UnusableRequestError(400)
        self.has_known_length = b"content-length" in fields
        self._content_length = int(fields.get(b"content-length", b"0"))
        if self._content_length > MAX_REQUEST_BODY_BYTES:
            raise UnusableRequestError(413)
        if b"expect" in fields:
            self._events.on_expect_continue()

    def on_body(self, data: bytes) -> None:
        """Part of the body."""
        self._stop_if_abandoned()
        self.body_bytes += len(data)
        if self.body_bytes > MAX_REQUEST_BODY_BYTES:
            raise UnusableRequestError(413)
        self.work += 1
        self._body_parts.append(data)
        self._unreported_bytes += len(data)
        if self.has_known_length or self._unreported_bytes > REPORTED_BODY_BYTES:
            self.flush()

    def on_message_complete(self) -> None:
        """A request is complete."""
        self._stop_if_abandoned()
        self.flush()
        self.work += REQUEST_WORK
        self.in_request = False
        self.has_request_line = False
        self._line_ends = b"" if self.has_known_length and self.body_bytes else None
        self._events.on_request_complete()
