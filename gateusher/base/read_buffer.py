"""How much one read(2) of a connection may return.

All connections of an event loop read into one `ReadBuffer` and copy what they got, so that input of any size is in
memory once.  `ReadSize` adapts the size of a connection's reads to what its parser gets through in a turn of the
event loop: what waits for the next turn is at most one read, and short where the input is costly.
"""

from __future__ import annotations

from typing import Final

from .limits import MemoryBudget

MIN_READ_BYTES: Final = 4096
MAX_READ_BYTES: Final = 65536
PRESSED_READ_BYTES: Final = 1024  # while the process is close to its memory limit


class ReadBuffer:
    """The buffer of one event loop.  What was read must be copied before the next read."""

    def __init__(self, memory: MemoryBudget) -> None:
        self.memory = memory
        self._bytes = memoryview(bytearray(MAX_READ_BYTES))
        self._parts = {PRESSED_READ_BYTES: self._bytes[:PRESSED_READ_BYTES]}
        size = MIN_READ_BYTES
        while size <= MAX_READ_BYTES:
            self._parts[size] = self._bytes[:size]
            size *= 2

    def part(self, size: int) -> memoryview:
        """Return its first `size` bytes, a power of 2 within the limits above, or fewer if memory is short."""
        return self._parts[PRESSED_READ_BYTES if self.memory.is_pressed else size]

    def copy(self, size: int) -> bytes:
        """Return a copy of what was read."""
        self.memory.note_growth(size)
        return bytes(self._bytes[:size])


class ReadSize:
    """The size of one connection's reads."""

    __slots__ = ("_buffer", "_bytes")

    def __init__(self, buffer: ReadBuffer) -> None:
        self._buffer = buffer
        self._bytes = MIN_READ_BYTES

    def part(self) -> memoryview:
        """Return the buffer for the next read."""
        return self._buffer.part(self._bytes)

    def take(self, size: int) -> bytes:
        """Return the input that a read has put there, and let the next read be longer if it filled its part."""
        if size >= self._bytes and self._bytes < MAX_READ_BYTES:
            self._bytes *= 2
        return self._buffer.copy(size)

    def reset(self) -> None:
        """Begin with short reads again: a part of the input has to wait for its turn."""
        self._bytes = MIN_READ_BYTES
