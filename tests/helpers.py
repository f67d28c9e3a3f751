"""Builders of settings, endpoint lists and events for the tests, and a wait for a condition."""

import asyncio
from collections.abc import Callable

from gateusher.policy import Balancer
from gateusher.policy.interface import (
    AttemptEnded,
    ClassSettings,
    DeduplicationScope,
    Effect,
    Endpoint,
    EndpointListUpdate,
    EndpointState,
    Outcome,
    Settings,
    UpdateKind,
)

HANG_S = 120  # longer than anything takes on a busy machine


async def until(true: Callable[[], object]) -> None:
    async with asyncio.timeout(HANG_S):
        while not true():
            await asyncio.sleep(0.001)


def settings(
    effect: Effect = Effect.IDEMPOTENT, scope: DeduplicationScope = DeduplicationScope.ALL, **more: object
) -> Settings:
    cls = ClassSettings(
        effect, latency_objective_ms=1000, deadline_ms=3000, priority_weight=1, scope=scope, window_ms=400
    )
    return Settings(
        **{
            "classes": (cls,),
            "max_attempts": 6,
            "slow_start_share": 0.3,
            "slow_start_ms": 8000.0,
            "collapse_multiple": 2.5,
            "idle_ms": 1e9,
            "collapse_window_ms": 1500.0,
            "drain_grace_ms": 1000.0,
            **more,
        }
    )  # type: ignore


def entry(
    eid: int,
    state: EndpointState = EndpointState.READY,
    zone: int = 0,
    cell: int = 0,
    kind: int = 0,
    booted: float = 0.0,
) -> Endpoint:
    return Endpoint(eid, state, zone, cell, kind, 1.0, booted)


def fleet(n: int, **more: int) -> EndpointListUpdate:
    return EndpointListUpdate(UpdateKind.CACHED, 1, tuple(entry(i + 1, **more) for i in range(n)))


def started(n: int, conf: Settings | None = None, seed: int = 1) -> Balancer:
    balancer = Balancer(conf or settings(), seed)
    balancer.handle(0.0, fleet(n))
    return balancer


def ended(
    request: int, attempt: int, endpoint: int, outcome: Outcome, elapsed: float = 20.0, report: tuple[float, ...] = ()
) -> AttemptEnded:
    return AttemptEnded(request, attempt, endpoint, elapsed, outcome, outcome is Outcome.OK, report)
