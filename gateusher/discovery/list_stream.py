"""Splits the body of a watch into complete lists, one per line, or over several lines if a list is indented.

`ListStream` owns the received bytes of a list that is not complete yet.  It counts brackets and does not parse the
lists' content.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

from .lists import EndpointListError

MAX_LIST_BYTES = 8 << 20
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class ListInterrupted(EndpointListError):
    """A list ended before it was complete, so changes may be missing from then on."""


def bracket_depth(line: bytes) -> int:
    """Return the number of brackets that a line of JSON leaves open, ignoring brackets in strings (RFC 8259, 7).

    As a fast path, a line whose raw count balances is taken as balanced without searching for strings.
    """
    depth = _bracket_balance(line)
    return _bracket_balance(_STRING.sub(b"", line)) if depth else 0


def _bracket_balance(line: bytes) -> int:
    return line.count(b"{") + line.count(b"[") - line.count(b"}") - line.count(b"]")


class ListStream:
    """Collects received bytes and returns complete lists."""

    def __init__(self) -> None:
        self._received = bytearray()
        self._incomplete_list = bytearray()  # the received lines of an indented list
        self._open_brackets = 0  # in those lines

    @property
    def is_empty(self) -> bool:
        """Whether no part of an incomplete list is stored."""
        return not (self._received or self._incomplete_list)

    def feed(self, data: bytes) -> None:
        """Append bytes of the body."""
        self._received += data

    def check_size(self) -> None:
        """Raise EndpointListError if a list is longer than any can be."""
        if len(self._received) + len(self._incomplete_list) > MAX_LIST_BYTES:
            raise EndpointListError("line too long")

    def take_all(self) -> bytes:
        """Return everything received, which is the body of a poll."""
        body = bytes(self._received)
        self._received = bytearray()
        return body

    def complete_lists(self) -> Iterator[bytes]:
        """Yield each complete list, and b"" for each empty line, which is a heartbeat.

        Raises ListInterrupted if another list or a heartbeat begins inside an incomplete list.
        """
        if b"\n" not in self._received:
            return
        *lines, rest = bytes(self._received).split(b"\n")
        self._received = bytearray(rest)
        for line in lines:
            complete = self._take_line(line)
            if complete is not None:
                yield complete

    def _take_line(self, line: bytes) -> bytes | None:
        """Return the list that the line completes, b"" for a heartbeat, or None while a list is incomplete."""
        if not line.strip():
            if self._incomplete_list:
                raise ListInterrupted("a list ended before it was complete")
            return b""
        depth = bracket_depth(line)
        if self._incomplete_list and line[:1] == b"{" and depth == 0:
            raise ListInterrupted("a list ended before it was complete")  # another one follows on this line
        if not self._incomplete_list and depth <= 0:
            return line
        self._incomplete_list += line
        self._open_brackets += depth
        if self._open_brackets > 0:
            return None
        complete = bytes(self._incomplete_list)
        self._incomplete_list = bytearray()
        self._open_brackets = 0
        return complete
