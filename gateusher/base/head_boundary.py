"""Finds where the head of an HTTP/1.1 message ends, so that what follows it can be handled apart from it."""

from __future__ import annotations

from typing import Final

HEAD_END: Final = b"\r\n\r\n"
MAX_SPLIT_BYTES: Final = len(HEAD_END) - 1


class HeadBoundary:
    """The end of one head, which may be split between two reads.  It keeps the last bytes of the read before."""

    def __init__(self) -> None:
        self._tail = b""

    def find(self, data: bytes, start: int) -> int:
        """Return the index behind the head's end in `data` from `start` on, or `len(data)` if it is not there."""
        if self._tail:
            return self._find_split(data, start)
        found = data.find(HEAD_END, start)
        if found >= 0:
            return found + len(HEAD_END)
        self._tail = data[max(start, len(data) - MAX_SPLIT_BYTES) :]
        return len(data)

    def _find_split(self, data: bytes, start: int) -> int:
        tail, self._tail = self._tail, b""
        found = (tail + data[start : start + MAX_SPLIT_BYTES]).find(HEAD_END)
        if found >= 0:
            return start + found + len(HEAD_END) - len(tail)
        end = self.find(data, start)
        if self._tail and end - start < MAX_SPLIT_BYTES:
            self._tail = (tail + self._tail)[-MAX_SPLIT_BYTES:]
        return end
