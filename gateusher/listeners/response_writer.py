"""Formats HTTP/1.1 responses: status line, header fields, framing of the body (RFC 9112).  Pure functions."""

from __future__ import annotations

from ..core.engine import FinalOutcome
from ..upstream.interface import Headers

# Statuses that only endpoints send have no phrase here: it is optional (RFC 9112, section 4).
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
STATUS_BY_OUTCOME = {FinalOutcome.REJECTED: 503, FinalOutcome.FAILED: 502, FinalOutcome.TIMED_OUT: 504}
RETRY_AFTER_STATUSES = (429, 503)

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CHUNKED_FIELD = b"Transfer-Encoding: chunked\r\n"
LAST_CHUNK = b"0\r\n\r\n"
UNKNOWN_LENGTH = -1


def format_head(status: int, header_lines: bytes, content_length: int, keep_alive: bool) -> bytes:
    """The head of a response; without Content-Length if `content_length` is UNKNOWN_LENGTH."""
    framing = b"Content-Length: %d\r\n" % content_length if content_length >= 0 else b""
    return b"HTTP/1.1 %d %b\r\n%b%b%b\r\n" % (
        status,
        REASON_PHRASES.get(status, b""),
        header_lines,
        framing,
        b"" if keep_alive else b"Connection: close\r\n",
    )


def format_headers(headers: Headers) -> bytes:
    """Header fields as lines."""
    return b"".join([b"%b: %b\r\n" % header for header in headers])


def format_retry_after(delay_ms: float) -> bytes:
    """The field that tells a rejected client when to retry, in seconds."""
    return b"Retry-After: %.3f\r\n" % (delay_ms / 1000)


def format_chunk(data: bytes) -> bytes:
    """A chunk of a body (RFC 9112, section 7.1); nothing for no data, since an empty chunk would end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""
