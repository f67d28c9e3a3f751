"""Which requests of a load one holder plays, where several daemons take turns at it.  Pure.

`LoadPart` owns the progress of one turn.  Requests are numbered from 0 in the order of the load's plan.
"""

from __future__ import annotations

from collections.abc import Callable


class LoadPart:
    """One holder's part of a load.

    Requests below `first` are done.  Those from `first` up to `uncertain_until` may have been sent by the previous
    holder.  Those from `reserved_until` on may not be sent yet.  `fence` goes with each request; `is_held` checks
    just before each whether the load's lease is still held.
    """

    def __init__(self, first: int, uncertain_until: int, fence: int, is_held: Callable[[], bool]) -> None:
        self.first = first
        self.uncertain_until = uncertain_until
        self.reserved_until = first
        self.fence = fence
        self.is_held = is_held
        self.done_until = first  # all requests below have their final answer, or were skipped
        self.repeated = 0  # uncertain requests that were sent once more
        self.skipped = 0  # uncertain requests that were not, since a repeat would do harm
        self._done_beyond: set[int] = set()

    def complete(self, number: int) -> None:
        """A request has its final answer, or was skipped."""
        self._done_beyond.add(number)
        while self.done_until in self._done_beyond:
            self._done_beyond.discard(self.done_until)
            self.done_until += 1
