"""Formats the head of a request to an endpoint (RFC 9112, 3 and 5); pure."""

from __future__ import annotations

from .interface import Attempt
from .upload import Upload


def format_request_head(attempt: Attempt, now_ms: float) -> bytes:
    """Return the request line and headers; `X-Deadline` is the time that the attempt has left, in seconds."""
    message = attempt.message
    upload = message.upload
    timeout_s = max(0.0, min(attempt.expires_ms, attempt.latest_ms) - now_ms) / 1000
    if upload is not None:
        framing = _upload_framing(upload)
        if not upload.is_complete:
            timeout_s = upload.timeout_ms / 1000
    elif message.method == b"GET":
        framing = b""
    else:
        framing = b"Content-Length: %d\r\n" % len(message.body)
    return b"%b %b HTTP/1.1\r\n%b%bX-Deadline: %.3f\r\n\r\n" % (
        message.method,
        message.target,
        b"".join([b"%b: %b\r\n" % header for header in message.headers]),
        framing,
        timeout_s,
    )


def _upload_framing(upload: Upload) -> bytes:
    if upload.has_unknown_length:
        return b"Transfer-Encoding: chunked\r\n"
    return b"Content-Length: %d\r\n" % upload.total_bytes
