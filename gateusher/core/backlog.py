"""How long what is read now may have been queued unread, from what the process knows of itself.  Pure; milliseconds.

The event loop reads all that has arrived in every turn, so a request's time normally begins when it is read.  After
the process stood still, or after a long turn, that is not so: the request's time began when its client sent it.
"""

from __future__ import annotations

from typing import Final

LATE_TICK_MS: Final = 20.0  # a tick that is so late found the process standing still
BACKLOG_MS: Final = 100.0  # what is read within this time after a stall may have been queued unread
MIN_UNREAD_MS: Final = 20.0  # a shorter wait counts as none


class Backlog:
    """Owns the time of the latest stall; `tick` is called every `period_ms` by the event loop."""

    def __init__(self, period_ms: float) -> None:
        self._period_ms = period_ms
        self._last_tick_ms: float | None = None
        self._stalled_since_ms = 0.0
        self._backlog_until_ms = 0.0

    def tick(self, now_ms: float) -> None:
        """The event loop turns; what is read after this in the same turn arrived before it."""
        if self._last_tick_ms is not None and now_ms - self._last_tick_ms > self._period_ms + LATE_TICK_MS:
            self._stalled_since_ms = self._last_tick_ms
            self._backlog_until_ms = now_ms + BACKLOG_MS
        self._last_tick_ms = now_ms

    def max_queued_ms(self, now_ms: float) -> float:
        """The longest that what is read now can have been queued; 0 where the event loop has not stalled.

        An overdue tick counts as a late one: a process that resumes may read before its timers run.
        """
        if self._last_tick_ms is not None and now_ms - self._last_tick_ms > self._period_ms + LATE_TICK_MS:
            return now_ms - self._last_tick_ms
        return now_ms - self._stalled_since_ms if now_ms <= self._backlog_until_ms else 0.0


def queued_ms(max_queued_ms: float, kernel_ms: float | None, slack_ms: float) -> float:
    """How long a request was queued unread, to be taken off its time.

    `max_queued_ms` is the bound from what this process knows, `kernel_ms` what the kernel measured, None where it
    can't measure it.  In that case the bound counts except for `slack_ms`, which its cause alone can explain.
    """
    if max_queued_ms <= 0.0:
        return 0.0
    unread_ms = max(0.0, max_queued_ms - slack_ms) if kernel_ms is None else min(max_queued_ms, kernel_ms)
    return unread_ms if unread_ms >= MIN_UNREAD_MS else 0.0
