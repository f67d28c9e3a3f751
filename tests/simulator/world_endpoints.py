"""The endpoints of a world: how each answers an attempt, and its entry in the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import NamedTuple

from gateusher.policy.interface import Endpoint, EndpointState, Outcome

from .world_plan import FAILURES, MAX_LATENCY_MS, PlannedEndpoint

QUICK_MS = 4.0  # mean time of a rejection, an error or a failed connection
MAX_REPORTED_LOAD = 9
UNSENT = frozenset({Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


class Condition(Enum):
    """How an endpoint works now."""

    NORMAL = "normal"
    UNREACHABLE = "accepts no connection"
    SILENT = "accepts requests and does not respond"
    REJECTING = "rejects all requests"
    FAILING = "responds with errors"


FAILURE_OF = {
    Condition.UNREACHABLE: Outcome.CONNECT_FAILED,
    Condition.SILENT: Outcome.TIMEOUT,
    Condition.REJECTING: Outcome.REJECTED,
    Condition.FAILING: Outcome.ERROR,
}


class AttemptResult(NamedTuple):
    """How an attempt ends unless it is canceled before."""

    outcome: Outcome
    elapsed_ms: float


@dataclass(slots=True)
class SimulatedEndpoint:
    """An endpoint and its state."""

    plan: PlannedEndpoint
    state: EndpointState = EndpointState.READY
    started_ms: float = 0.0
    condition: Condition = Condition.NORMAL

    def entry(self) -> Endpoint:
        """Return its entry in the list."""
        plan = self.plan
        return Endpoint(
            plan.endpoint, self.state, plan.zone, plan.cell, plan.kind, plan.capacity_share, self.started_ms
        )

    def answer(self, rng: Random, failure_share: float, dial_timeout_ms: float, time_left_ms: float) -> AttemptResult:
        """Draw how an attempt ends that expires after `time_left_ms`."""
        outcome = self._draw_outcome(rng, failure_share)
        if outcome is Outcome.TIMEOUT:
            return AttemptResult(Outcome.TIMEOUT, time_left_ms)
        if outcome is Outcome.OK:
            elapsed_ms = min(MAX_LATENCY_MS, rng.expovariate(1 / self.plan.mean_latency_ms))
        elif outcome is Outcome.CONNECT_FAILED and rng.random() < 0.5:
            elapsed_ms = dial_timeout_ms
        else:
            elapsed_ms = rng.expovariate(1 / QUICK_MS)
        if elapsed_ms < time_left_ms:
            return AttemptResult(outcome, elapsed_ms)
        return AttemptResult(outcome if outcome in UNSENT else Outcome.TIMEOUT, time_left_ms)

    def _draw_outcome(self, rng: Random, failure_share: float) -> Outcome:
        if self.state is EndpointState.REMOVED:
            return Outcome.CONNECT_FAILED
        if self.condition is not Condition.NORMAL:
            return FAILURE_OF[self.condition]
        return rng.choice(FAILURES) if rng.random() < failure_share else Outcome.OK


def draw_report(rng: Random, fields: int) -> tuple[float, ...]:
    """Draw a load report with up to this many fields."""
    return tuple(float(rng.randrange(MAX_REPORTED_LOAD)) for _ in range(fields)) if rng.random() < 0.8 else ()
