"""What one process has decided and why: counts of reasons, the latest events, and invariants found violated.

Only what is not the ordinary path is recorded: rejections, failures, retries, attempts that were not permitted or
failed, and closed connections.  Operators read it at `GET /_diagnostics`.
"""

from __future__ import annotations

import time
from collections import Counter, deque
from enum import Enum
from typing import Any, Final, NamedTuple

from .log import log_event

MAX_RECENT_EVENTS: Final = 256


class Rule(Enum):
    """Invariants that the program checks while it runs."""

    NO_REPEAT_OF_WHAT_MAY_HAVE_RUN = "an unsafe request that may have run was to be sent again"
    NO_REFUSAL_OF_WHAT_MAY_HAVE_RUN = "an unsafe request that may have run was to be refused"
    NO_ATTEMPT_FOR_NOBODY = "a connection came up with an attempt that nobody waits for any more"
    NO_CLOSE_WITH_ANSWERS_OWED = "a client's connection was closed with a request taken and not answered"


class RecentEvent(NamedTuple):
    """One event: `at_s` on the monotonic clock, and the client's request id, "" if it concerns none."""

    at_s: float
    what: str
    why: str
    request: str


class Diagnostics:
    """One process's counts and recent events; whoever decides or closes something records it here."""

    def __init__(self) -> None:
        self.reasons: Counter[tuple[str, str]] = Counter()
        self.violations: Counter[Rule] = Counter()
        self.recent: deque[RecentEvent] = deque(maxlen=MAX_RECENT_EVENTS)

    def note(self, what: str, why: str, request: bytes = b"") -> None:
        """Record that something happened for a reason; `request` is the client's request id."""
        self.reasons[what, why] += 1
        self.recent.append(RecentEvent(time.monotonic(), what, why, request.decode("latin-1")))

    def violated(self, rule: Rule, request: bytes = b"") -> None:
        """Record an invariant that was broken, or would have been; it is logged as well."""
        self.violations[rule] += 1
        self.note("violation", rule.name.lower(), request)
        log_event("invariant violated", f"{rule.value}: request {request.decode('latin-1')!r}")

    def report(self) -> dict[str, Any]:
        """Everything as plain objects for JSON."""
        counts: dict[str, dict[str, int]] = {}
        for (what, why), count in sorted(self.reasons.items()):
            counts.setdefault(what, {})[why] = count
        return {
            "counts": counts,
            "violations": {rule.name.lower(): n for rule, n in self.violations.items()},
            "recent": [noted._asdict() for noted in self.recent],
        }
