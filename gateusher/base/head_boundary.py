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
        end = self._find_split(data, start)
        if not end:
            found = data.find(HEAD_END, start)
            end = found + len(HEAD_END) if found >= 0 else 0
        self._tail = b"" if end else (self._tail + data[start:][-MAX_SPLIT_BYTES:])[-MAX_SPLIT_BYTES:]
        return end or len(data)

    def _find_split(self, data: bytes, start: int) -> int:
        if not self._tail:
            return 0
        found = (self._tail + data[start : start + MAX_SPLIT_BYTES]).find(HEAD_END)
        return start + found + len(HEAD_END) - len(self._tail) if found >= 0 else 0
