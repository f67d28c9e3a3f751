"""The load of `gateusher try`, the counts of its outcomes, and the rules that are checked on them.

`Tally` owns the counts by request class; the stand-in nodes' `Fleet` counts executions.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from ..standins.nodes import Fleet


class RequestClass(NamedTuple):
    """How requests of one class are sent."""

    method: str
    share: float  # of all requests
    latency_objective_s: float
    deadline_s: float


UNSAFE_CLASS: Final = "consign-issue"
CLASSES: Final = {
    "pallet-lookup": RequestClass("GET", 0.64, 0.5, 1.0),
    "booking-update": RequestClass("GET", 0.18, 0.5, 1.2),
    UNSAFE_CLASS: RequestClass("POST", 0.18, 0.3, 0.6),
}
OUTCOME_KEYS: Final = ("requests", "served", "in_aim", "refused", "failed", "lost")  # keys of the printed JSON


def _counts_by_class() -> dict[str, Counter[str]]:
    return {name: Counter() for name in CLASSES}


@dataclass
class Tally:
    """Counts of request outcomes by class and OUTCOME_KEYS, and the counts that the rules limit."""

    by_class: dict[str, Counter[str]] = field(default_factory=_counts_by_class)
    misdelivered: int = 0  # responses that belong to another request
    after_drain: int = 0  # requests that reached a draining node after its grace period
    exit_code: int | None = None  # of the daemon
    # By invariant, in the daemon's diagnostics after the load; None if they could not be read.
    recorded_violations: dict[str, int] | None = field(default_factory=dict)

    def total(self, key: str) -> int:
        """Return the sum of one outcome over all classes."""
        return sum(counts[key] for counts in self.by_class.values())

    def violations(self, fleet: Fleet) -> list[str]:
        """Describe each rule that was broken."""
        return list(self._find_violations(fleet))

    def _find_violations(self, fleet: Fleet) -> Iterator[str]:
        lost = self.total("lost")
        if lost:
            yield f"{lost} requests got no final answer in time"
        if self.misdelivered:
            yield f"{self.misdelivered} responses belong to another request"
        repeated_ids = [request_id for request_id in fleet.repeated_effects if UNSAFE_CLASS in request_id]
        if repeated_ids:
            yield f"{len(repeated_ids)} effects were issued twice"
        if self.after_drain:
            yield f"{self.after_drain} requests reached a node past its drain's grace period"
        if self.exit_code not in (None, 0):
            yield f"the daemon ended with {self.exit_code}"
        if self.recorded_violations is None:
            yield "the daemon's diagnostics could not be read"
        for invariant, count in (self.recorded_violations or {}).items():
            yield f"the daemon recorded violations of {invariant}: {count}"
