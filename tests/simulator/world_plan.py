"""Draws a world from a seed: sidecars with their settings, endpoints, requests, and the troubles that happen.

A plan holds only data; `world_player.py` plays it.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Any, NamedTuple

from gateusher.policy.interface import Outcome, UpdateKind

MAX_LATENCY_MS = 900.0
SIZES = (1, 1, 2, 2, 3, 3, 12, 12, 12)  # numbers of endpoints that are drawn often
MAX_MEDIUM_SIZE, MAX_SIZE = 40, 300
LARGE_SHARE = 0.05  # share of the worlds with more than MAX_MEDIUM_SIZE endpoints
FAILURES = (
    Outcome.ERROR,
    Outcome.REJECTED,
    Outcome.REJECTED,
    Outcome.TIMEOUT,
    Outcome.CONNECT_FAILED,
    Outcome.RESET,
    Outcome.CANCELLED,
    Outcome.NOT_SENT,
)


class Trouble(Enum):
    """What happens to the whole fleet, or to the sidecars' view of it, for a while."""

    ALL_DRAINED = "all endpoints are draining"
    ALL_REMOVED = "all endpoints are removed by changes"
    EMPTY_LIST = "the complete list is empty"
    ONE_BY_ONE = "the endpoints leave one by one"
    ALL_RESTARTED = "all endpoints are restarted"
    ALL_REPLACED = "all endpoints are replaced by new ones"
    ALL_UNREACHABLE = "no endpoint accepts connections"
    ALL_SILENT = "no endpoint responds"
    ALL_REJECTING = "all endpoints reject"
    ALL_FAILING = "all endpoints respond with errors"
    SOME_CHANGED = "some endpoints drain, restart or appear"
    WATCH_LOST = "the watches of the list fail"
    SIDECARS_RESTARTED = "sidecars start anew with other settings"


# All kinds of trouble, those that empty the list more often.
DRAWN_TROUBLES = (*Trouble, Trouble.ALL_DRAINED, Trouble.ALL_REMOVED, Trouble.EMPTY_LIST, Trouble.ONE_BY_ONE)


class PlannedTrouble(NamedTuple):
    """A trouble, its time, and how sidecars are told of changes of the list."""

    kind: Trouble
    starts_ms: float
    lasts_ms: float
    told_by: UpdateKind


class PlannedRequest(NamedTuple):
    """A request and when its client disconnects, if it does."""

    at_ms: float
    instance: int
    request: int
    class_number: int  # modulo the number of classes that the sidecar then has
    timeout_share: float  # of the class's deadline
    affinity_key: int
    cost_hint_ms: float
    leaves_after_ms: float | None


class PlannedEndpoint(NamedTuple):
    """What doesn't change about an endpoint."""

    endpoint: int
    zone: int
    cell: int
    kind: int
    capacity_share: float
    mean_latency_ms: float


@dataclass(frozen=True)
class PlannedSidecar:
    """Seed and settings (JSON) of a sidecar, and the settings that it has after a restart."""

    seed: int
    settings: bytes
    settings_after_restart: bytes


@dataclass(frozen=True)
class WorldPlan:
    """Everything that is drawn before a world is played."""

    seed: int
    tick_ms: float
    duration_ms: float
    sidecars: tuple[PlannedSidecar, ...]
    endpoints: tuple[PlannedEndpoint, ...]
    failure_share: float  # share of the attempts that fail in normal operation
    max_list_delay_ms: float  # time until a sidecar is told of a change
    watch_failure_share: float
    troubles: tuple[PlannedTrouble, ...]
    requests: tuple[PlannedRequest, ...]


def _draw_class(rng: Random) -> dict[str, Any]:
    objective_ms = rng.choice([10.0, 100.0, 300.0, 800.0, 800.0])
    return {
        "effect": rng.choice(["idempotent", "deduplicated", "deduplicated", "at_most_once"]),
        "objective_ms": objective_ms,
        "give_up_ms": objective_ms * rng.choice([1.0, 2.0, 3.0]),
        "worth": rng.choice([0.0, 1.0, 2.0, 5.0]),
        "late_worth": rng.choice([0.0, 0.5]),
        "window_ms": rng.choice([0.0, 30.0, 250.0, 5000.0]),
        "group": rng.choice(["all", "zone", "cell"]),
        "stream": rng.random() < 0.2,
        "aim_stretch": rng.choice([0.0, 1.0]),
    }


def _draw_settings(rng: Random, index: int, sidecars: int, zones: int, kinds: int, tick_ms: float) -> bytes:
    settings = {
        "lanes": [_draw_class(rng) for _ in range(rng.choice([1, 2, 3, 5]))],
        "me": index,
        "balancers": sidecars,
        "zone": rng.randrange(zones),
        "zones": [f"z{n}" for n in range(zones)],
        "kinds": [f"k{n}" for n in range(kinds)],
        "tenants": [{"quota_per_s": 5.0}] * rng.randrange(3),
        "prices": {
            "cross_zone": rng.choice([0.0, 0.05, 1.0]),
            "handshake": rng.choice([0.0, 0.08]),
            "probe": 0.01,
        },
        "tick_ms": tick_ms,
        "bounds": {
            "max_attempts": rng.choice([1, 2, 3, 6, 8]),
            "probes": rng.random() < 0.7,
            "may_cancel": rng.random() < 0.5,
            "may_duplicate": rng.random() < 0.5,
            "retry_after": rng.random() < 0.5,
            "max_retry_after_ms": rng.choice([0.0, 2000.0]),
            "dial_timeout_ms": rng.choice([50.0, 250.0]),
            "conn_idle_ms": rng.choice([0.0, 500.0, 15000.0]),
        },
        "telemetry": {
            "fields": rng.choice(
                [[], ["waiting"], ["active", "waiting"], ["age", "free", "waiting", "lag"], ["age"]]
            ),
            "source": rng.choice(["pull", "piggyback", "silent"]),
        },
        "weight_kind": rng.choice(["silent", "listed"]),
        "family_info": {"warm_keys": rng.random() < 0.5},
        "worth_by": rng.choice(["request", "work"]),
        "discovery": rng.choice(["ask", "push"]),
        "rules": {
            "must_ask_in_ms": rng.choice([400.0, 3000.0, 10000.0]),
            "stop_sending_within_ms": rng.choice([0.0, 0.0, 100.0]),
            "cold_share": rng.choice([0.0, 0.3, 1.0]),
            "warm_within_ms": rng.choice([0.0, 500.0, 4000.0]),
            "fall_multiple": 2.5,
            "tip_after_ms": 1500.0,
        },
    }
    return json.dumps(settings).encode()


def _draw_size(rng: Random) -> int:
    if rng.random() < LARGE_SHARE:
        return rng.randint(MAX_MEDIUM_SIZE + 1, MAX_SIZE)
    return rng.choice([*SIZES, rng.randint(1, MAX_MEDIUM_SIZE)])


def draw_endpoint(rng: Random, zones: int, kinds: int, mean_latency_ms: float) -> PlannedEndpoint:
    """Draw an endpoint with a random id."""
    return PlannedEndpoint(
        endpoint=rng.getrandbits(32),
        zone=rng.randrange(zones),
        cell=rng.randrange(3),
        kind=rng.randrange(kinds),
        capacity_share=rng.choice([0.0, 0.5, 1.0, 1.0, 2.0]),
        mean_latency_ms=mean_latency_ms * rng.choice([0.5, 1.0, 2.0]),
    )


def _draw_troubles(rng: Random, duration_ms: float) -> tuple[PlannedTrouble, ...]:
    """Draw troubles that follow one another, each with time to recover from it."""
    count = rng.choice([2, 3, 4])
    slot_ms = duration_ms / count
    return tuple(
        PlannedTrouble(
            rng.choice(DRAWN_TROUBLES),
            starts_ms=(number + rng.uniform(0.1, 0.4)) * slot_ms,
            lasts_ms=rng.uniform(0.05, 0.45) * slot_ms,
            told_by=rng.choice([UpdateKind.CHANGES, UpdateKind.CHANGES, UpdateKind.COMPLETE, UpdateKind.CACHED]),
        )
        for number in range(count)
    )


def _draw_requests(
    rng: Random, sidecars: int, duration_ms: float, troubles: tuple[PlannedTrouble, ...]
) -> tuple[PlannedRequest, ...]:
    """Draw requests over the whole time, with a burst during each trouble."""
    times_ms = [rng.uniform(0.0, duration_ms) for _ in range(rng.randint(50, 100))]
    for trouble in troubles:
        times_ms += [trouble.starts_ms + rng.uniform(-0.2, 1.2) * trouble.lasts_ms for _ in range(rng.randint(5, 20))]
    keys = [0, *(rng.getrandbits(64) for _ in range(5))]
    return tuple(
        PlannedRequest(
            at_ms,
            rng.randrange(sidecars),
            rng.getrandbits(62),
            rng.randrange(60),
            timeout_share=rng.choice([0.01, 0.3, *[1.0] * 8]),
            affinity_key=rng.choice(keys),
            cost_hint_ms=rng.choice([0.0, 30.0]),
            leaves_after_ms=rng.uniform(0.0, 600.0) if rng.random() < 0.08 else None,
        )
        for at_ms in sorted(times_ms)
    )


def draw_world(seed: int) -> WorldPlan:
    """Draw the world of a seed."""
    rng = Random(seed)
    zones, kinds, sidecars = rng.choice([1, 2, 3]), rng.choice([1, 2]), rng.choice([1, 1, 2, 3])
    tick_ms, duration_ms = rng.choice([0.0, 1.0, 5.0, 20.0]), rng.uniform(4000.0, 12000.0)
    mean_latency_ms = rng.choice([10.0, 30.0, 100.0, 400.0])
    endpoints = [draw_endpoint(rng, zones, kinds, mean_latency_ms) for _ in range(_draw_size(rng))]
    troubles = _draw_troubles(rng, duration_ms)
    return WorldPlan(
        seed=seed,
        tick_ms=tick_ms,
        duration_ms=duration_ms,
        sidecars=tuple(
            PlannedSidecar(
                rng.getrandbits(64),
                _draw_settings(rng, index, sidecars, zones, kinds, tick_ms),
                _draw_settings(rng, index, sidecars, zones, kinds, tick_ms),
            )
            for index in range(sidecars)
        ),
        endpoints=tuple({endpoint.endpoint: endpoint for endpoint in endpoints}.values()),
        failure_share=rng.choice([0.0, 0.05, 0.2, 0.5]),
        max_list_delay_ms=rng.choice([0.0, 50.0, 400.0]),
        watch_failure_share=rng.choice([0.0, 0.3]),
        troubles=troubles,
        requests=_draw_requests(rng, sidecars, duration_ms, troubles),
    )
