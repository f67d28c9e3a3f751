"""Judges what an endpoint sends right behind a complete response.

An endpoint may send the same response twice.  Anything else means that the response can't be trusted: its length may
be too short, so that the rest of its body follows, or it belongs to another request and its own response follows.
"""

from __future__ import annotations

from enum import Enum
from typing import Final

FIRST_FINAL_STATUS: Final = 200  # lower statuses are interim responses (RFC 9110, 15.2)
NO_FIELDS: Final = 0


def add_field(digest: int, name: bytes, value: bytes) -> int:
    """Return the digest of a head's fields with one more."""
    return hash((digest, name, value))


class Verdict(Enum):
    """What follows the response."""

    UNDECIDED = "the beginning of a message that has not differed so far"
    DUPLICATE = "the same response again"
    DIFFERENT = "anything else"


class DuplicateCheck:
    """Compares what follows a response with that response, as the parser reports it.

    `body` is None if the response's body is not held: then the heads are compared.
    """

    def __init__(self, status: int, fields_digest: int, body: bytes | None) -> None:
        self.verdict = Verdict.UNDECIDED
        self._status = status
        self._fields_digest = fields_digest
        self._body = body
        self._restart()

    def _restart(self) -> None:
        self._is_interim = False
        self._seen_digest = NO_FIELDS
        self._seen_body_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header field of the message that follows."""
        self._seen_digest = add_field(self._seen_digest, name, value)

    def on_headers_complete(self, status: int) -> None:
        """Compare the heads; an interim response may precede a duplicate as it may precede any final response."""
        self._is_interim = status < FIRST_FINAL_STATUS
        if self._is_interim:
            return
        if (status, self._seen_digest) != (self._status, self._fields_digest):
            self._decide(Verdict.DIFFERENT)
        elif self._body is None:
            self._decide(Verdict.DUPLICATE)

    def on_body(self, data: bytes) -> None:
        """Compare a part of the body."""
        start = self._seen_body_bytes
        self._seen_body_bytes += len(data)
        if self._body is not None and self._body[start : self._seen_body_bytes] != data:
            self._decide(Verdict.DIFFERENT)

    def on_message_complete(self) -> None:
        """Handle the end of the message that follows."""
        if self._is_interim:
            self._restart()
        else:
            self._decide(Verdict.DUPLICATE if self._seen_body_bytes == len(self._body or b"") else Verdict.DIFFERENT)

    def on_invalid_data(self) -> None:
        """Handle data that is no HTTP message."""
        self._decide(Verdict.DIFFERENT)

    def _decide(self, verdict: Verdict) -> None:
        if self.verdict is Verdict.UNDECIDED:
            self.verdict = verdict
