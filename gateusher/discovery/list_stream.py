"""Cuts the body of a watch into complete lists: one a line, several lines where a list is indented.

`ListStream` owns the bytes that have arrived of a list that is not complete yet.  It knows brackets, not the lists'
content.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

from .lists import EndpointListError

MAX_LIST_BYTES = 8 << 20
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class ListInterrupted(EndpointListError):
    """A list ended before it was complete, so changes may be missing from here on."""


def bracket_depth(line: bytes) -> int:
    """Return how many brackets a line of JSON opens more than it closes, not counting those in strings (RFC 8259, 7).

    A line whose raw count balances is taken as balanced without looking for strings (the fast path).
    """
    depth = _bracket_balance(line)
    return _bracket_balance(_STRING.sub(b"", line)) if depth else 0


def _bracket_balance(line: bytes) -> int:
    return line.count(b"{") + line.count(b"[") - line.count(b"}") - line.count(b"]")


class ListStream:
    """Bytes in, complete lists out."""

    def __init__(self) -> None:
        self._received = bytearray()
        self._incomplete_list = bytearray()  # lines of an indented list
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
        """Return all that has arrived: the body of a poll."""
        body = bytes(self._received)
        self._received = bytearray()
        return body

    def complete_lists(self) -> Iterator[bytes]:
        """Yield each list that is complete, and b"" for each empty line, which is a heartbeat.

        Raises ListInterrupted where another list or a heartbeat begins inside one.
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
        """Return the list that the line completes, b"" for a heartbeat, None while a list is incomplete."""
        if not line.strip():
            if self._incomplete_list:
                raise ListInterrupted("a list broke off")
            return b""
        depth = bracket_depth(line)
        if self._incomplete_list and line[:1] == b"{" and depth == 0:
            raise ListInterrupted("a list broke off")  # a complete list inside another one
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
