"""What one holder plays of a load that several daemons take turns at.  Pure."""

from __future__ import annotations

from collections.abc import Callable


class Part:
    """Which of a plan's requests one holder of a duty plays.

    What is below `first` is done, what is below `unsure` may have been played by the holder before, and what is not
    below `reserved` has yet to be reserved.
    `holds` is a look at the clock; `fence` goes with each request.
    """

    def __init__(self, first: int, unsure: int, fence: int, holds: Callable[[], bool]) -> None:
        self.first, self.unsure, self.reserved = first, unsure, first
        self.fence, self.holds = fence, holds
        self.done = first  # all below have their final answer, or were left out
        self.again = self.left_out = 0  # of those that are unsure: played once more, not repeated
        self._after: set[int] = set()

    def ended(self, number: int) -> None:
        """A request is over."""
        self._after.add(number)
        while self.done in self._after:
            self._after.discard(self.done)
            self.done += 1
