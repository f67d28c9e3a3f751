"""Estimates how long input was queued unread, from stalls of this process.  Pure; times are in milliseconds.

The event loop normally reads everything that has arrived in each iteration, so a request's deadline counts from when
it is read.  After a pause of the machine, or after a long iteration, the deadline counts from when the client sent
the request.
"""

from __future__ import annotations

from math import inf
from typing import Final

LATE_TICK_MS: Final = 20.0  # a tick later than this shows that the process was stalled
BACKLOG_MS: Final = 100.0  # input read within this time after a stall may have been queued unread
MIN_UNREAD_MS: Final = 20.0  # a shorter queueing time counts as 0


class Backlog:
    """Records the latest stall of the event loop, which calls `tick` every `period_ms`."""

    def __init__(self, period_ms: float) -> None:
        self._period_ms = period_ms
        self._last_tick_ms = inf  # before the first tick nothing is late
        self._stalled_since_ms = 0.0
        self._unread_since_ms = 0.0  # when the first of the stalls began that have followed each other since
        self._backlog_until_ms = 0.0

    def tick(self, now_ms: float) -> None:
        """Record an iteration of the event loop; input read later in the same iteration arrived before it."""
        if self._is_stalled(now_ms):
            if self._last_tick_ms > self._backlog_until_ms:
                self._unread_since_ms = self._last_tick_ms
            self._stalled_since_ms = self._last_tick_ms
            self._backlog_until_ms = now_ms + BACKLOG_MS
        self._last_tick_ms = now_ms

    def _is_stalled(self, now_ms: float) -> bool:
        """Return whether the next tick is late; an overdue one counts, as input may be read before timers run."""
        return now_ms - self._last_tick_ms > self._period_ms + LATE_TICK_MS

    def max_queued_ms(self, now_ms: float) -> float:
        """Return the longest time that input read now can have been queued; 0 if the event loop has not stalled."""
        if self._is_stalled(now_ms):
            return now_ms - self._last_tick_ms
        return now_ms - self._stalled_since_ms if now_ms <= self._backlog_until_ms else 0.0

    def longest_queued_ms(self, now_ms: float) -> float:
        """Return a time for which no input read now has been queued longer; 0 if the event loop has not stalled.

        A stall may follow another before all that arrived during that one is read.  `max_queued_ms` is closer to what
        input has usually waited.
        """
        is_stalled = self._is_stalled(now_ms)
        if is_stalled and self._last_tick_ms > self._backlog_until_ms:
            return now_ms - self._last_tick_ms
        return now_ms - self._unread_since_ms if is_stalled or now_ms <= self._backlog_until_ms else 0.0


def queued_ms(max_queued_ms: float, kernel_ms: float | None, slack_ms: float) -> float:
    """Return how long a request was queued unread, to be subtracted from its timeout.

    `max_queued_ms` is the upper bound that this process can derive, `kernel_ms` the kernel's measurement, or None if
    the kernel has none.  Without a measurement the result is the bound less `slack_ms`, the part of the bound that
    needs no queueing to explain it.
    """
    if max_queued_ms <= 0.0:
        return 0.0
    unread_ms = max(0.0, max_queued_ms - slack_ms) if kernel_ms is None else min(max_queued_ms, kernel_ms)
    return unread_ms if unread_ms >= MIN_UNREAD_MS else 0.0
