"""Divides the input of one connection into turns of the event loop, so that others get theirs.

A read may hold thousands of small requests, chunks, trailer fields or interim responses.  `InputTurns` passes a part
of it to the parser in each turn, by the work that it causes and not by its length, and owns what waits for the next
one, with its reservation of memory; reading is paused meanwhile.
"""

from __future__ import annotations

from typing import Final, Protocol

from .limits import MemoryBudget, Reservation
from .turn_queue import TurnQueue

MAX_WORK_PER_TURN: Final = 128  # in callbacks of a parser, or what takes as long
# Of input whose framing is not known: a slice may cause a callback for every few bytes, so it begins short.
MIN_SLICE_BYTES: Final = 1024
MAX_SLICE_BYTES: Final = 8192
BYTES_PER_WORK: Final = 256  # which take about as long to pass on as a callback
COSTLY_WORK: Final = 64  # of one part of the input; an ordinary request causes less
FEW_CALLBACKS: Final = 4  # after a slice with so few the next one may be longer


class TurnParser(Protocol):
    """The parser, as its input's turns use it."""

    work: int  # done since the connection was made

    @property
    def is_stopped(self) -> bool:
        """Whether the rest of the input is not parsed."""

    def piece_end(self, data: bytes, start: int, max_bytes: int) -> int:
        """Return the end of the part of `data` from `start` on that `feed` may get next.

        It has at most `max_bytes` unless it is known to cause little work.
        """

    def feed(self, data: bytes | memoryview) -> None:
        """Parse a part of the input."""

    def flush(self) -> None:
        """Report what was parsed and is not reported yet: the turn ends."""


class TurnOwner(Protocol):
    """The connection, as its input's turns use it."""

    def pause_for_turn(self) -> None:
        """Stop reading until the next turn."""

    def shorten_reads(self) -> None:
        """Read less at once: one turn does not suffice for what was read."""

    def resume_after_turn(self) -> None:
        """Read again: nothing waits any more."""

    def data_received(self, data: bytes) -> None:
        """Handle input that has waited as if it were read now."""

    def abort_after_error(self) -> None:
        """Close the connection: its input could not be handled, as there is no memory, for instance."""


class InputTurns:
    """The turns of one connection, of which `queue` decides when they begin."""

    def __init__(
        self,
        owner: TurnOwner,
        parser: TurnParser,
        queue: TurnQueue,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._owner: TurnOwner | None = owner
        self._parser = parser
        self._queue = queue
        self._memory = Reservation(memory) if memory else None
        self._waiting = b""
        self._is_suspended = False
        self._is_costly = False  # the latest input was, so that the next one waits for a turn from its first byte on
        self._is_proceeding = False
        self._slice_bytes = MIN_SLICE_BYTES

    @property
    def is_waiting(self) -> bool:
        """Whether input waits for the next turn."""
        return bool(self._waiting)

    @property
    def is_proceeding(self) -> bool:
        """Whether the input that is handled now has waited for its turn."""
        return self._is_proceeding

    @property
    def waiting_bytes(self) -> int:
        """The length of the input that waits."""
        return len(self._waiting)

    def parse(self, data: bytes) -> None:
        """Parse as much as the turn allows, and keep the rest.  Raises what the parser raises."""
        if self._is_costly and not self._is_proceeding and not self._queue.try_admit():
            self._wait(data)
            return
        parser = self._parser
        first_work = parser.work
        last_work = first_work + MAX_WORK_PER_TURN
        start = 0
        while start < len(data) and not parser.is_stopped:
            if parser.work >= last_work:
                self._wait(data[start:])
                if self._owner:
                    self._owner.shorten_reads()
                break
            work = parser.work
            end = parser.piece_end(data, start, self._slice_bytes)
            parser.feed(data if end - start == len(data) else memoryview(data)[start:end])
            self._adapt_slice(parser.work - work)
            start = end
        self._is_costly = parser.work - first_work + start // BYTES_PER_WORK > COSTLY_WORK
        parser.flush()

    def _adapt_slice(self, work: int) -> None:
        if work > FEW_CALLBACKS:
            self._slice_bytes = MIN_SLICE_BYTES
        elif self._slice_bytes < MAX_SLICE_BYTES:
            self._slice_bytes *= 2

    def suspend(self) -> None:
        """Begin no further turn until `resume`: nobody takes what is parsed."""
        self._is_suspended = True

    def resume(self) -> None:
        """Begin turns again."""
        if self._is_suspended:
            self._is_suspended = False
            if self._waiting:
                self._queue.schedule(self.proceed)

    def _wait(self, rest: bytes) -> None:
        if not self._owner:
            return
        self._keep(rest)
        self._owner.pause_for_turn()
        self._queue.schedule(self.proceed)

    def proceed(self) -> None:
        """Begin the next turn of what waits."""
        data = self._waiting
        if not data or not self._owner or self._is_suspended:
            return
        self._keep(b"")
        self._is_proceeding = True
        try:
            self._owner.data_received(data)
        except Exception:  # as the event loop does for a read: nobody would end the pause
            self._owner.abort_after_error()
            raise
        finally:
            self._is_proceeding = False
        if not self._waiting and self._owner:
            self._owner.resume_after_turn()

    def _keep(self, data: bytes) -> None:
        self._waiting = data
        if self._memory:
            self._memory.set(len(data))

    def close(self) -> None:
        """Drop what waits, the connection and its parser, which refer back to this object."""
        self._keep(b"")
        self._queue.cancel(self.proceed)
        if self._owner:
            self._owner = None
            del self._parser
