"""Builders of settings, endpoint lists and events for the tests, and a wait for a condition."""

import asyncio
from collections.abc import Callable
from pathlib import Path

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

ROOT = Path(__file__).parent.parent  # of the repository
HANG_TIMEOUT_S = 120  # longer than any step takes on a busy machine


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(HANG_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)


def make_settings(
    effect: Effect = Effect.IDEMPOTENT, scope: DeduplicationScope = DeduplicationScope.ALL, **overrides: object
) -> Settings:
    request_class = ClassSettings(
        effect, latency_objective_ms=1000, deadline_ms=3000, priority_weight=1, scope=scope, window_ms=400
    )
    return Settings(
        **{
            "classes": (request_class,),
            "max_attempts": 6,
            "slow_start_share": 0.3,
            "slow_start_ms": 8000.0,
            "collapse_multiple": 2.5,
            "idle_ms": 1e9,
            "collapse_window_ms": 1500.0,
            "drain_grace_ms": 1000.0,
            **overrides,
        }
    )  # type: ignore


def make_endpoint(
    endpoint_id: int,
    state: EndpointState = EndpointState.READY,
    zone: int = 0,
    cell: int = 0,
    kind: int = 0,
    started_at_ms: float = 0.0,
) -> Endpoint:
    return Endpoint(endpoint_id, state, zone, cell, kind, 1.0, started_at_ms)


def make_endpoint_list(count: int, **overrides: int) -> EndpointListUpdate:
    return EndpointListUpdate(UpdateKind.CACHED, 1, tuple(make_endpoint(i + 1, **overrides) for i in range(count)))


def make_balancer(endpoint_count: int, settings: Settings | None = None, seed: int = 1) -> Balancer:
    balancer = Balancer(settings or make_settings(), seed)
    balancer.handle(0.0, make_endpoint_list(endpoint_count))
    return balancer


def attempt_ended(
    request: int,
    attempt: int,
    endpoint: int,
    outcome: Outcome,
    elapsed_ms: float = 20.0,
    load_report: tuple[float, ...] = (),
) -> AttemptEnded:
    return AttemptEnded(request, attempt, endpoint, elapsed_ms, outcome, outcome is Outcome.OK, load_report)
