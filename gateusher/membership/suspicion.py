"""How long a suspected member has to refute the suspicion (Lifeguard, IV-B).

A `Suspicion` owns its start time, its timeout bounds and the ids of the members that share it.  Times are
milliseconds of this process's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log, log10


@dataclass(slots=True)
class Suspicion:
    """A running suspicion, whose timeout falls from `max_ms` to `min_ms` as further members confirm it."""

    started_at_ms: float
    min_ms: float
    max_ms: float
    expected_confirmations: int  # members beyond the first that bring the timeout down to `min_ms`
    suspected_by: dict[bytes, None] = field(default_factory=dict)  # ids in the order in which they reported it
    reported_failed: bool = False  # reported failed by another member, which sets the timeout to `min_ms`, never less

    @property
    def first_suspected_by(self) -> bytes:
        """Id of the member that suspected it first."""
        return next(iter(self.suspected_by))

    @property
    def deadline_ms(self) -> float:
        """When the member counts as failed."""
        if self.expected_confirmations <= 0 or self.reported_failed:
            return self.started_at_ms + self.min_ms
        confirmations = min(len(self.suspected_by) - 1, self.expected_confirmations)
        fraction = log(confirmations + 1) / log(self.expected_confirmations + 1)
        return self.started_at_ms + max(self.min_ms, self.max_ms - (self.max_ms - self.min_ms) * fraction)


def suspicion_bounds_ms(alpha: float, beta: float, member_count: int, period_ms: float) -> tuple[float, float]:
    """Return the shortest and longest timeout of a suspicion in a fleet of this size (Lifeguard, IV-B)."""
    min_ms = alpha * max(1.0, log10(max(1, member_count))) * period_ms
    return min_ms, beta * min_ms
