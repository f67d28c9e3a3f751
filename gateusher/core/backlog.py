"""How long what is read now may have lain unread, from what the process knows of itself.  Pure; milliseconds.

The event loop reads all that has come in every turn, so a request's time normally begins when it is read.  After the
process stood still, or a turn was long, that is not so: its client's time began when it sent.
"""

from __future__ import annotations

from typing import Final

LATE_MS: Final = 20.0  # a beat that comes so much too late found the process standing still
BACKLOG_MS: Final = 100.0  # what is read for so long after that may have waited
SHORT_MS: Final = 20.0  # a wait that is shorter than this counts as none


class Backlog:
    """Told at regular beats that the loop turns; `period_ms` lies between two of them."""

    def __init__(self, period_ms: float) -> None:
        self._period_ms = period_ms
        self._beat_ms: float | None = None
        self._since_ms = self._until_ms = 0.0

    def beat(self, now_ms: float) -> None:
        """The loop turns; what comes after this in the same turn is what it finds unread."""
        if self._beat_ms is not None and now_ms - self._beat_ms > self._period_ms + LATE_MS:
            self._since_ms, self._until_ms = self._beat_ms, now_ms + BACKLOG_MS
        self._beat_ms = now_ms

    def most_ms(self, now_ms: float) -> float:
        """What is read now came no longer ago than this; 0 where the loop has turned all the time.

        A beat that is overdue counts as one that came late: a process that goes on may read before its timers run.
        """
        if self._beat_ms is not None and now_ms - self._beat_ms > self._period_ms + LATE_MS:
            return now_ms - self._beat_ms
        return now_ms - self._since_ms if now_ms <= self._until_ms else 0.0


def waited(most_ms: float, told_ms: float | None, slack_ms: float) -> float:
    """How long a request lay unread, to be taken off its time.

    `most_ms` is the bound from what this process knows, `told_ms` what the kernel says, None where it can't tell.  In
    that case the bound counts but for `slack_ms`, which its cause alone can explain.
    """
    if most_ms <= 0.0:
        return 0.0
    age_ms = max(0.0, most_ms - slack_ms) if told_ms is None else min(most_ms, told_ms)
    return age_ms if age_ms >= SHORT_MS else 0.0
