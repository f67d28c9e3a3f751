"""Drawn worlds: the policy behind the adapter, with random settings, endpoints, troubles and requests.

`world_plan.py` draws a world from a seed, `world_player.py` plays it, and `world_checks.py` checks every action.  To
play a failing seed alone: `play_world(draw_world(seed))`.  The planted faults show that each rule is checked.
"""

import json
from collections import Counter
from collections.abc import Callable
from enum import Enum
from functools import cache
from typing import Any, NamedTuple

import pytest

from gateusher.policy import endpoint_selection, requests
from gateusher.policy.context import DecisionContext
from gateusher.policy.control_set import ControlSet
from gateusher.policy.interface import (
    NEVER_EXECUTED,
    Effect,
    HealthCheck,
    Outcome,
    Reject,
    Request,
    Send,
    SetTimer,
)
from gateusher.policy.requests import RequestLifecycle
from gateusher.policy.retries import RetryPolicy
from gateusher.policy.sticky_endpoints import AffinityRing
from gateusher.simulator import wire

from .world_checks import End, Rule, Sight
from .world_plan import MAX_MEDIUM_SIZE, Trouble, draw_world
from .world_player import WorldViolationError, play_world

SEEDS = range(200)
CHUNK_SEEDS = 10
CHUNKS = [SEEDS[start : start + CHUNK_SEEDS] for start in range(0, len(SEEDS), CHUNK_SEEDS)]
MIN_SEEDS = 3  # each kind of trouble, sight, outcome and end must occur in at least this many worlds
FAULT_SEEDS = range(40)  # a planted fault must be detected in one of these worlds


class PlayedWorld(NamedTuple):
    """What happened in a world until it ended or the first violation."""

    sights: Counter[Enum]
    violation: WorldViolationError | None


def play(seed: int) -> PlayedWorld:
    try:
        return PlayedWorld(play_world(draw_world(seed)), None)
    except WorldViolationError as violation:
        return PlayedWorld(Counter(), violation)


play_once = cache(play)  # the chunks and the counts of what happened share the worlds; planted faults don't


@pytest.mark.parametrize("seeds", CHUNKS, ids=lambda seeds: f"{seeds[0]}-{seeds[-1]}")
def test_drawn_worlds_violate_no_rule(seeds: range) -> None:
    violations = [str(played.violation) for played in map(play_once, seeds) if played.violation]
    assert not violations, f"{len(violations)} of {len(seeds)} seeds:\n" + "\n\n".join(violations)


def test_the_worlds_show_every_trouble_sight_outcome_and_end() -> None:
    worlds: Counter[Enum] = Counter()
    for seed in SEEDS:
        worlds.update(set(play_once(seed).sights))
    rare = {kind: worlds[kind] for kind in (*Trouble, *Sight, *Outcome, *End) if worlds[kind] < MIN_SEEDS}
    assert not rare, f"in fewer than {MIN_SEEDS} worlds: {rare}"


def test_the_worlds_cover_the_sizes_and_settings() -> None:
    plans = [draw_world(seed) for seed in SEEDS]
    sizes = Counter(len(plan.endpoints) for plan in plans)
    assert min(sizes[size] for size in (1, 2, 3, 12)) >= MIN_SEEDS
    assert sum(count for size, count in sizes.items() if size > MAX_MEDIUM_SIZE) >= MIN_SEEDS
    assert {len(plan.sidecars) for plan in plans} == {1, 2, 3}
    assert {len({endpoint.zone for endpoint in plan.endpoints}) for plan in plans} == {1, 2, 3}
    assert any(endpoint.capacity_share == 0.0 for plan in plans for endpoint in plan.endpoints)
    settings = [json.loads(sidecar.settings) for plan in plans for sidecar in plan.sidecars]
    classes = Counter((each["effect"], each["group"]) for one in settings for each in one["lanes"])
    assert len(classes) == 9 and min(classes.values()) >= MIN_SEEDS
    for key, count in (("discovery", 2), ("weight_kind", 2), ("family_info", 2), ("telemetry", 15), ("tick_ms", 4)):
        assert len({json.dumps(one[key]) for one in settings}) == count, key


def test_the_same_seed_is_the_same_world() -> None:
    assert draw_world(7) == draw_world(7)
    assert play(7).sights == play(7).sights


# Planted faults: each makes the policy or the codec break one rule.

Plant = Callable[[pytest.MonkeyPatch], None]


class PlantedFault(NamedTuple):
    """A fault and the rule that it breaks."""

    name: str
    rule: Rule
    plant: Plant


def replace(owner: object, name: str, substitute: object) -> Plant:
    return lambda monkeypatch: monkeypatch.setattr(owner, name, substitute)


def change_action(kind: type, change: Callable[[Any], Any]) -> Plant:
    """Change the actions of a type when they are encoded."""
    encode: Callable[[Any], bytes] = wire.ACTIONS[kind]
    return lambda monkeypatch: monkeypatch.setitem(
        wire.ACTIONS,
        kind,
        lambda action: encode(change(action)),
    )


def choose_without_check(self: endpoint_selection.EndpointSelector, request: object) -> object:
    """Choose the first ready endpoint, without asking whether there is one."""
    return self._control_set.ready[0]


def end_twice(self: RequestLifecycle, request: Any) -> None:
    END_REQUEST(self, request)
    self._context.actions.append(Reject(request.request_id))


def hold_without_delay(self: RequestLifecycle, request: Any, wait_ms: float) -> None:
    self._context.actions.append(SetTimer(request.request_id + 1, 0.0))


def always_check_health(self: RequestLifecycle, event: Request) -> None:
    START_REQUEST(self, event)
    for endpoint in self._control_set.ready[:1]:
        self._context.actions.append(HealthCheck(endpoint.endpoint_id))


def treat_unsafe_as_keyed(self: DecisionContext, class_index: int) -> Effect:
    effect = EFFECT(self, class_index)
    return Effect.KEYED if effect is Effect.NOT_IDEMPOTENT else effect


def rebuild_once(self: AffinityRing, ready: list[Any]) -> None:
    if not self._points:
        REBUILD(self, ready)


END_REQUEST, START_REQUEST = RequestLifecycle._end, RequestLifecycle.start
EXPECTED_SIZE = ControlSet.expected_size.__get__
EFFECT, REBUILD = DecisionContext.effect, AffinityRing.rebuild
MAX_ATTEMPTS, EXPIRES = RetryPolicy.max_attempts, RetryPolicy.attempt_expires_ms

FAULTS = (
    PlantedFault(
        "selects from an empty list",
        Rule.NO_CRASH,
        replace(endpoint_selection.EndpointSelector, "select", choose_without_check),
    ),
    PlantedFault(
        "expected size a hair too small",
        Rule.NO_CRASH,
        replace(ControlSet, "expected_size", property(lambda self: EXPECTED_SIZE(self) - 1e-15)),
    ),
    PlantedFault("fails to encode", Rule.NO_CRASH, change_action(Send, lambda send: None)),
    PlantedFault(
        "unknown action code",
        Rule.VALID_REPLY,
        lambda monkeypatch: monkeypatch.setitem(wire.ACTIONS, Send, lambda _: bytes([99]) + bytes(23)),
    ),
    PlantedFault(
        "request id off by one",
        Rule.KNOWN_REQUEST,
        change_action(Reject, lambda action: action._replace(request=action.request + 1)),
    ),
    PlantedFault("answers twice", Rule.ANSWERED_ONCE, replace(RequestLifecycle, "_end", end_twice)),
    PlantedFault("forgets held requests", Rule.ANSWERED_IN_TIME, replace(RequestLifecycle, "_hold", lambda *_: None)),
    PlantedFault(
        "ignores disconnects",
        Rule.NOTHING_AFTER_THE_END,
        replace(RequestLifecycle, "client_disconnected", lambda *_: None),
    ),
    PlantedFault(
        "endpoint id off by one",
        Rule.LISTED_ENDPOINT,
        change_action(Send, lambda send: send._replace(endpoint=send.endpoint ^ 1)),
    ),
    PlantedFault(
        "keeps endpoints that are gone", Rule.NOTHING_AFTER_THE_GRACE, replace(ControlSet, "remove", lambda *_: None)
    ),
    PlantedFault(
        "keeps the first affinity ring", Rule.NOTHING_AFTER_THE_GRACE, replace(AffinityRing, "rebuild", rebuild_once)
    ),
    PlantedFault(
        "attempt outlives the deadline",
        Rule.EXPIRES_IN_TIME,
        replace(RetryPolicy, "attempt_expires_ms", lambda self, request: EXPIRES(self, request) + 1000.0),
    ),
    PlantedFault(
        "one attempt too many",
        Rule.MAX_ATTEMPTS,
        replace(RetryPolicy, "max_attempts", lambda self, request: MAX_ATTEMPTS(self, request) + 1),
    ),
    PlantedFault(
        "treats unsafe requests as keyed",
        Rule.UNSAFE_RUNS_ONCE,
        replace(DecisionContext, "effect", treat_unsafe_as_keyed),
    ),
    PlantedFault(
        "takes a reset for not executed",
        Rule.UNSAFE_RUNS_ONCE,
        replace(requests, "NEVER_EXECUTED", NEVER_EXECUTED | {Outcome.RESET}),
    ),
    PlantedFault(
        "takes a timeout for not executed",
        Rule.REJECTED_IF_HARMLESS,
        replace(requests, "NEVER_EXECUTED", NEVER_EXECUTED | {Outcome.TIMEOUT}),
    ),
    PlantedFault("rejects always", Rule.REJECTED_IF_HARMLESS, replace(requests, "may_reject", lambda *_: True)),
    PlantedFault(
        "repeats outside the group",
        Rule.KEYED_IN_SCOPE,
        replace(endpoint_selection, "in_deduplication_scope", lambda *_: True),
    ),
    PlantedFault(
        "repeats outside the window",
        Rule.KEYED_IN_WINDOW,
        replace(endpoint_selection, "deduplication_window_open", lambda *_: True),
    ),
    PlantedFault(
        "negative delay",
        Rule.VALID_TIMER,
        change_action(SetTimer, lambda timer: timer._replace(delay_ms=-timer.delay_ms)),
    ),
    PlantedFault("waits without a delay", Rule.TIME_ADVANCES, replace(RequestLifecycle, "_hold", hold_without_delay)),
    PlantedFault(
        "health checks always", Rule.HEALTH_CHECKS_ALLOWED, replace(RequestLifecycle, "start", always_check_health)
    ),
)


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_planted_fault_is_detected(fault: PlantedFault, monkeypatch: pytest.MonkeyPatch) -> None:
    fault.plant(monkeypatch)
    found = set()
    for seed in FAULT_SEEDS:
        violation = play(seed).violation
        if violation:
            assert f"seed {seed}, at " in str(violation)
            found.add(violation.rule)
        if fault.rule in found:
            return
    pytest.fail(f"not detected; found {found}")


def test_every_rule_has_a_planted_fault() -> None:
    assert {fault.rule for fault in FAULTS} == set(Rule)
