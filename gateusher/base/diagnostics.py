"""Diagnostics of one process: counts of events by reason, the latest events, and violated invariants.

Only exceptional events are recorded: rejections, failures, retries, attempts that were not permitted or failed, and
closed connections.  Operators read them at `GET /_diagnostics`.
"""

from __future__ import annotations

import time
from collections import Counter, deque
from enum import Enum
from typing import Any, Final, NamedTuple

from .log import log_event

MAX_RECENT_EVENTS: Final = 256


class Invariant(Enum):
    """Invariants that the program checks while it runs."""

    NO_REPEAT_OF_WHAT_MAY_HAVE_RUN = "an unsafe request that may have run was to be sent again"
    NO_REFUSAL_OF_WHAT_MAY_HAVE_RUN = "an unsafe request that may have run was to be refused"
    NO_ATTEMPT_FOR_NOBODY = "a connection came up with an attempt that nobody waits for any more"
    NO_CLOSE_WITH_ANSWERS_OWED = "a client's connection was closed with a request taken and not answered"
    NO_PAUSE_WITHOUT_UPLOAD = "reading from a client stayed paused with no upload in progress"
    NO_EVENT_UNHANDLED = "an event could not be handled by the policy, or an action could not be performed"


class RecentEvent(NamedTuple):
    """A recorded event: `at_s` is monotonic time, `request` the client's request id or "" if it concerns none."""

    at_s: float
    what: str
    why: str
    request: str


class Diagnostics:
    """Counts and recent events of one process, recorded by the code that makes a decision or closes a connection."""

    def __init__(self) -> None:
        self.reasons: Counter[tuple[str, str]] = Counter()
        self.violations: Counter[Invariant] = Counter()
        self.recent: deque[RecentEvent] = deque(maxlen=MAX_RECENT_EVENTS)

    def note(self, what: str, why: str, request: bytes = b"") -> None:
        """Count an event under its reason and add it to the recent events; `request` is the client's request id."""
        self.reasons[what, why] += 1
        self.recent.append(RecentEvent(time.monotonic(), what, why, request.decode("latin-1")))

    def record_violation(self, invariant: Invariant, request: bytes = b"") -> None:
        """Record and log an invariant that was violated, or that a prevented action would have violated."""
        self.violations[invariant] += 1
        self.note("violation", invariant.name.lower(), request)
        log_event("invariant violated", f"{invariant.value}: request {request.decode('latin-1')!r}")

    def report(self) -> dict[str, Any]:
        """Return the counts and recent events as JSON-serializable objects."""
        counts: dict[str, dict[str, int]] = {}
        for (what, why), count in sorted(self.reasons.items()):
            counts.setdefault(what, {})[why] = count
        return {
            "counts": counts,
            "violations": {invariant.name.lower(): n for invariant, n in self.violations.items()},
            "recent": [event._asdict() for event in self.recent],
        }
