"""The requests of a shared load that one lease holder plays.  Pure.

`LoadPart` owns one holder's progress.  Requests are numbered from 0 in the order of the load's plan.
"""

from __future__ import annotations

from collections.abc import Callable


class LoadPart:
    """One holder's part of a load.

    Requests below `first` are done.  Those from `first` up to `uncertain_until` may have been sent by the previous
    holder.  Those from `reserved_until` on must not be sent yet.  `fence` is sent with each request; `is_held` checks
    just before each request whether the load's lease is still held.
    """

    def __init__(self, first: int, uncertain_until: int, fence: int, is_held: Callable[[], bool]) -> None:
        self.first = first
        self.uncertain_until = uncertain_until
        self.reserved_until = first
        self.fence = fence
        self.is_held = is_held
        self.done_until = first  # all requests below have their final response, or were skipped
        self.repeated = 0  # uncertain requests that were sent again
        self.skipped = 0  # uncertain requests that were not sent again, since they are not idempotent
        self._completed_out_of_order: set[int] = set()

    def complete(self, number: int) -> None:
        """Record that a request has its final response, or was skipped."""
        self._completed_out_of_order.add(number)
        while self.done_until in self._completed_out_of_order:
            self._completed_out_of_order.discard(self.done_until)
            self.done_until += 1
