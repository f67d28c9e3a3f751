"""How predecessor and successor share one budget while both run.  A state machine: events in, actions out.

The **predecessor** listens, and owns the sidecar's budget of descriptors and memory.  A **successor** requests its
listening socket.  From then on two processes share one budget:

    no successor --REQUEST--> successor starting --SERVE--> successor serving
         ^                            |                            |
         +------------LOSE------------+------------LOSE------------+

While the successor starts, the predecessor accepts clients as before and lends a part of the budget.  Once the
successor serves, the predecessor stops accepting, ends each connection with its next response, and lends all that it
does not use, more with each connection that closes.  Both accept from one socket, so that no connection in its accept
queue is lost, whichever of the two ends.

A successor that is lost returns the listener: the predecessor accepts again, unless it is shutting down itself.  The
successor's side is simple: its limits are what it was lent, and the total budget once the predecessor has ended.
"""

from __future__ import annotations

from enum import Enum
from typing import Final, NamedTuple

from ..base.machine import TransitionTable

NO_SUCCESSOR: Final = "no successor"
SUCCESSOR_STARTING: Final = "successor starting"
SUCCESSOR_SERVING: Final = "successor serving"

REQUEST: Final = "request"
SERVE: Final = "serve"
LOSE: Final = "lose"

HANDOVER = TransitionTable(
    "handover",
    {
        NO_SUCCESSOR: {REQUEST: SUCCESSOR_STARTING},
        SUCCESSOR_STARTING: {SERVE: SUCCESSOR_SERVING, LOSE: NO_SUCCESSOR},
        SUCCESSOR_SERVING: {LOSE: NO_SUCCESSOR},
    },
)

LENT_DESCRIPTORS_DIVISOR = 3  # one part in this many at most is lent before the successor serves
MIN_LENT_DESCRIPTORS = 64  # a process with fewer can't serve


class PredecessorEvent(Enum):
    """Events of the process that listens."""

    LISTENER_REQUESTED = "a successor requests the listening socket"
    SUCCESSOR_SERVES = "the successor accepts clients"
    SUCCESSOR_LOST = "the successor has ended"
    TICK = "time has passed: what may be lent is computed anew"


class GrantListener(NamedTuple):
    """Send the listening socket, with the successor's limits."""

    descriptors: int
    memory_mb: float


class RaiseQuota(NamedTuple):
    """Raise the successor's limit to this many descriptors."""

    descriptors: int


class SetLimits(NamedTuple):
    """Limit this process from now on, and close idle connections beyond that."""

    descriptors: int
    memory_mb: float


class StopAccepting(NamedTuple):
    """Stop accepting, and end each connection with its next response."""


class ResumeAccepting(NamedTuple):
    """Accept again, as before."""


class DeclineSuccessor(NamedTuple):
    """Close the channel without an answer, as there is a successor already or this process is shutting down."""


Action = GrantListener | RaiseQuota | SetLimits | StopAccepting | ResumeAccepting | DeclineSuccessor


class Predecessor:
    """State of the process that listens, towards its successor."""

    def __init__(self, descriptors: int, memory_mb: float) -> None:
        """`descriptors` and `memory_mb` are the total budget that the two processes share."""
        self.descriptors = descriptors
        self.memory_mb = memory_mb
        self.state: str = NO_SUCCESSOR
        self.lent_descriptors = 0
        self.is_shutting_down = False

    def handle(self, event: PredecessorEvent, used_descriptors: int) -> list[Action]:
        """Apply an event.  `used_descriptors` counts those that this process uses now, spare ones included."""
        if event is PredecessorEvent.LISTENER_REQUESTED:
            return self._on_request(used_descriptors)
        if event is PredecessorEvent.SUCCESSOR_SERVES:
            return self._on_serving(used_descriptors)
        if event is PredecessorEvent.SUCCESSOR_LOST:
            return self._on_lost()
        return self._lend_more(used_descriptors) if self.state == SUCCESSOR_SERVING else []

    def _on_request(self, used_descriptors: int) -> list[Action]:
        if self.state != NO_SUCCESSOR or self.is_shutting_down:
            return [DeclineSuccessor()]
        self.state = HANDOVER.next_state(self.state, REQUEST)
        free_descriptors = self.descriptors - used_descriptors
        lent = min(self.descriptors // LENT_DESCRIPTORS_DIVISOR, free_descriptors)
        self.lent_descriptors = max(MIN_LENT_DESCRIPTORS, lent)
        half_mb = self.memory_mb / 2
        return [
            SetLimits(self.descriptors - self.lent_descriptors, half_mb),
            GrantListener(self.lent_descriptors, half_mb),
        ]

    def _on_serving(self, used_descriptors: int) -> list[Action]:
        if self.state != SUCCESSOR_STARTING:
            return []
        self.state = HANDOVER.next_state(self.state, SERVE)
        return [StopAccepting(), *self._lend_more(used_descriptors)]

    def _on_lost(self) -> list[Action]:
        if self.state == NO_SUCCESSOR:
            return []
        had_stopped_accepting = self.state == SUCCESSOR_SERVING
        self.state = HANDOVER.next_state(self.state, LOSE)
        self.lent_descriptors = 0
        actions: list[Action] = [SetLimits(self.descriptors, self.memory_mb)]
        if had_stopped_accepting and not self.is_shutting_down:
            actions.append(ResumeAccepting())
        return actions

    def _lend_more(self, used_descriptors: int) -> list[Action]:
        """Lend unused descriptors.  They are never taken back, so that both together never exceed the budget."""
        free_descriptors = self.descriptors - used_descriptors
        if free_descriptors <= self.lent_descriptors:
            return []
        self.lent_descriptors = free_descriptors
        return [SetLimits(used_descriptors, self.memory_mb / 2), RaiseQuota(free_descriptors)]


class Successor:
    """Limits of the process that inherits the listening socket."""

    def __init__(self, descriptors: int, memory_mb: float, lent_descriptors: int, lent_memory_mb: float) -> None:
        """`descriptors` and `memory_mb` are the total budget, the `lent_` ones the part that is lent."""
        self._budget = SetLimits(descriptors, memory_mb)
        self.limits = SetLimits(lent_descriptors, lent_memory_mb)

    def quota_raised(self, descriptors: int) -> list[Action]:
        """The predecessor lends more.  A smaller quota is ignored: descriptors in use can't be returned."""
        if descriptors <= self.limits.descriptors:
            return []
        self.limits = self.limits._replace(descriptors=min(descriptors, self._budget.descriptors))
        return [self.limits]

    def predecessor_lost(self) -> list[Action]:
        """The predecessor has ended: this process may use the total budget."""
        self.limits = self._budget
        return [self.limits]
