"""The invariants that every action of a sidecar must keep, and a count of what happened, so that no check is vacuous.

The checker is told of each event before the sidecar handles it, and of each action after that.  It uses none of the
policy's own records or rules.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from gateusher.policy.interface import (
    Cancel,
    CloseIdleConnections,
    DeduplicationScope,
    Effect,
    Endpoint,
    EndpointListUpdate,
    EndpointState,
    Fail,
    HealthCheck,
    Outcome,
    Reject,
    Request,
    Send,
    SetTimer,
    Settings,
    UpdateKind,
)

from .world_frames import Crash, Decision

NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
ROUNDING_MS = 1e-6  # tolerance for sums of times


class Rule(Enum):
    """An invariant."""

    NO_CRASH = "a sidecar never crashes"
    VALID_REPLY = "a reply is a valid frame"
    KNOWN_REQUEST = "an action refers to a request of its sidecar"
    ANSWERED_ONCE = "a request gets exactly one final response"
    ANSWERED_IN_TIME = "the final response comes no later than a tick after the deadline"
    NOTHING_AFTER_THE_END = "nothing is sent or answered for a request that is over"
    LISTED_ENDPOINT = "an endpoint gets something only if the sidecar's list has named it"
    NOTHING_AFTER_THE_GRACE = "an endpoint gets nothing new later than the grace after its sidecar was told"
    EXPIRES_IN_TIME = "an attempt expires after it is sent, and no later than the deadline"
    MAX_ATTEMPTS = "a request gets no more attempts than the settings allow"
    UNSAFE_RUNS_ONCE = "a request that is not idempotent is resent only if no attempt can have run"
    REJECTED_IF_HARMLESS = "a request is rejected only if the client's retry is harmless"
    KEYED_IN_SCOPE = "a keyed request that may have run is repeated only in its group"
    KEYED_IN_WINDOW = "a keyed request that may have run is repeated only in its window"
    VALID_TIMER = "a timer has a finite delay of 0 or more"
    TIME_ADVANCES = "timers without a delay don't follow one another without end"
    HEALTH_CHECKS_ALLOWED = "health checks are sent only if the settings allow them"


class Sight(Enum):
    """Something that happened, which the seeds together must have shown."""

    ARRIVED_WITHOUT_LIST = "a request arrived before any list"
    ARRIVED_ALL_DRAINING = "a request arrived while all listed endpoints were draining"
    ARRIVED_LIST_EMPTY = "a request arrived while the list had become empty"
    ARRIVED_ALL_WARMING = "a request arrived while all ready endpoints were in slow start"
    LIST_EMPTIED = "the last ready endpoint left the list"
    LIST_FILLED_AGAIN = "the list had ready endpoints again"
    SERVED_AFTER_EMPTY_LIST = "a request was served after the list had been empty"
    RETRIED = "an attempt was followed by another one"
    UNSAFE_RESENT = "a not idempotent request was resent"
    KEYED_REPEATED = "a keyed request was repeated after it may have run"
    USED_ALL_ATTEMPTS = "a request used as many attempts as the settings allow"
    REJECTED_AFTER_RUN = "a request was rejected after it may have run"
    REJECTED_UNSENT = "a request was rejected without an attempt"
    GIVEN_UP_IN_FLIGHT = "a client disconnected with an attempt in flight"
    GIVEN_UP_HELD = "a client disconnected with no attempt in flight"
    LOST_WITH_SIDECAR = "a request was pending when its sidecar was restarted"
    HEALTH_CHECK = "a health check was sent"
    CLOSED_IDLE = "idle connections were closed"


class RuleViolationError(AssertionError):
    """An invariant does not hold."""

    def __init__(self, rule: Rule, detail: str) -> None:
        super().__init__(f"violated: {rule.value}\n{detail}")
        self.rule = rule


@dataclass(slots=True)
class ObservedAttempt:
    """An attempt; `entry` is its endpoint when it was sent, and `outcome` is None while it is in flight."""

    entry: Endpoint
    sent_at_ms: float
    expires_ms: float
    outcome: Outcome | None = None


class End(Enum):
    """How a request ended."""

    RESPONDED = "responded"
    REJECTED = "rejected"
    FAILED = "failed"
    GIVEN_UP = "given up by its client"


@dataclass(slots=True)
class ObservedRequest:
    """A request and all that was done for it."""

    event: Request
    arrived_at_ms: float
    deadline_ms: float
    effect: Effect
    scope: DeduplicationScope
    window_ms: float
    attempts: list[ObservedAttempt] = field(default_factory=list)
    end: End | None = None

    def first_that_may_have_run(self) -> ObservedAttempt | None:
        """Return the first attempt that is not known never to have run."""
        return next((attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN), None)


@dataclass(slots=True)
class ToldEndpoint:
    """What a sidecar's list says of an endpoint; `gone_at_ms` is since when it is not ready."""

    entry: Endpoint
    gone_at_ms: float | None = None


class SidecarChecker:
    """Checks the actions of one sidecar, from its start to its restart."""

    def __init__(self, settings: Settings, sights: Counter[Enum]) -> None:
        self.settings = settings
        self.requests: dict[int, ObservedRequest] = {}
        self._sights = sights  # counted over all sidecars of a world
        self._told: dict[int, ToldEndpoint] = {}
        self._was_told = False
        self._was_emptied = False

    def request_arrives(self, now_ms: float, event: Request) -> ObservedRequest:
        """Note a new request."""
        class_settings = self.settings.classes[event.class_index]
        request = self.requests[event.request] = ObservedRequest(
            event,
            now_ms,
            now_ms + event.timeout_ms,
            class_settings.effect,
            class_settings.scope,
            class_settings.window_ms,
        )
        self._note_arrival(now_ms)
        return request

    def attempt_ends(self, request_id: int, number: int, outcome: Outcome) -> bool:
        """Note how an attempt ended; return whether the request is over, as an OK is passed on to the client."""
        request = self.requests[request_id]
        request.attempts[number].outcome = outcome
        self._sights[outcome] += 1
        if outcome is Outcome.OK and request.end is None:
            self._end(request, End.RESPONDED)
            if self._was_emptied:
                self._sights[Sight.SERVED_AFTER_EMPTY_LIST] += 1
        return request.end is not None

    def client_disconnects(self, request_id: int) -> None:
        """Note that the client of a pending request has disconnected."""
        request = self.requests[request_id]
        in_flight = any(attempt.outcome is None for attempt in request.attempts)
        self._sights[Sight.GIVEN_UP_IN_FLIGHT if in_flight else Sight.GIVEN_UP_HELD] += 1
        self._end(request, End.GIVEN_UP)

    def list_arrives(self, now_ms: float, update: EndpointListUpdate) -> None:
        """Note what the sidecar is told of the endpoints."""
        if update.kind is UpdateKind.FAILED:
            return
        had_ready = bool(self._ready())
        listed = {entry.endpoint for entry in update.entries}
        if update.kind is not UpdateKind.CHANGES:
            for endpoint in self._told.keys() - listed:
                told = self._told[endpoint]
                told.entry = told.entry._replace(state=EndpointState.REMOVED)
                self._gone(now_ms, told)
        for entry in update.entries:
            told = self._told.setdefault(entry.endpoint, ToldEndpoint(entry))
            told.entry = entry
            if entry.state is EndpointState.READY:
                told.gone_at_ms = None
            else:
                self._gone(now_ms, told)
        has_ready = bool(self._ready())
        if had_ready and not has_ready:
            self._sights[Sight.LIST_EMPTIED] += 1
            self._was_emptied = True
        if self._was_emptied and has_ready and not had_ready:
            self._sights[Sight.LIST_FILLED_AGAIN] += 1
        self._was_told = True

    def restarts(self) -> None:
        """Note that the sidecar is replaced: its pending requests are lost."""
        for request in self.requests.values():
            if request.end is None:
                self._sights[Sight.LOST_WITH_SIDECAR] += 1
                self._end(request, End.GIVEN_UP)

    def check_deadline(self, now_ms: float, request: ObservedRequest) -> None:
        """Check a request one tick after its deadline."""
        if request.end is None:
            raise RuleViolationError(Rule.ANSWERED_IN_TIME, f"pending at {now_ms:.3f} ms: {request}")

    def check(self, now_ms: float, decision: Decision) -> None:
        """Check one action.  Raises RuleViolationError."""
        action = decision.action
        if isinstance(action, Crash):
            raise RuleViolationError(Rule.NO_CRASH, action.traceback)
        if isinstance(action, Send):
            self._check_send(now_ms, action)
        elif isinstance(action, Reject | Fail):
            self._check_final_action(now_ms, action)
        elif isinstance(action, SetTimer):
            _require(0.0 <= action.delay_ms < math.inf, Rule.VALID_TIMER, action)
        elif isinstance(action, HealthCheck):
            _require(self.settings.may_probe, Rule.HEALTH_CHECKS_ALLOWED, action)
            self._check_endpoint(now_ms, action.endpoint)
            self._sights[Sight.HEALTH_CHECK] += 1
        elif isinstance(action, Cancel):
            request = self._request(action.request)
            _require(action.attempt < len(request.attempts), Rule.KNOWN_REQUEST, action)
        elif isinstance(action, CloseIdleConnections):
            _require(action.endpoint in self._told, Rule.LISTED_ENDPOINT, action)
            self._sights[Sight.CLOSED_IDLE] += 1

    def _check_send(self, now_ms: float, send: Send) -> None:
        request = self._request(send.request)
        context = f"{send}\nfor {request}"
        _require(request.end is None, Rule.NOTHING_AFTER_THE_END, context)
        self._check_endpoint(now_ms, send.endpoint)
        limit = self.settings.max_attempts
        _require(len(request.attempts) < limit, Rule.MAX_ATTEMPTS, context)
        in_time = now_ms < send.expires_ms <= request.deadline_ms + ROUNDING_MS
        _require(in_time, Rule.EXPIRES_IN_TIME, context)
        first = request.first_that_may_have_run()
        if first and request.effect is Effect.NOT_IDEMPOTENT:
            raise RuleViolationError(Rule.UNSAFE_RUNS_ONCE, context)
        if first and request.effect is Effect.KEYED:
            self._check_repeat(now_ms, request, first, send)
        self._note_send(request)
        request.attempts.append(ObservedAttempt(self._told[send.endpoint].entry, now_ms, send.expires_ms))
        if len(request.attempts) == limit > 1:
            self._sights[Sight.USED_ALL_ATTEMPTS] += 1

    def _check_repeat(self, now_ms: float, request: ObservedRequest, first: ObservedAttempt, send: Send) -> None:
        """Check a keyed request's repeat, which must reach the endpoint within a tick, in the group and window."""
        context = f"{send}\nfor {request}"
        latest_ms = first.sent_at_ms + request.window_ms - self.settings.tick_ms
        _require(now_ms <= latest_ms + ROUNDING_MS, Rule.KEYED_IN_WINDOW, context)
        before, after = first.entry, self._told[send.endpoint].entry
        if request.scope is not DeduplicationScope.ALL:
            _require(before.zone == after.zone, Rule.KEYED_IN_SCOPE, context)
        if request.scope is DeduplicationScope.CELL:
            _require(before.cell == after.cell, Rule.KEYED_IN_SCOPE, context)
        self._sights[Sight.KEYED_REPEATED] += 1

    def _check_endpoint(self, now_ms: float, endpoint: int) -> None:
        """Check that an endpoint may get something new."""
        told = self._told.get(endpoint)
        if told is None:
            raise RuleViolationError(Rule.LISTED_ENDPOINT, f"endpoint {endpoint}")
        if told.gone_at_ms is not None:
            latest_ms = told.gone_at_ms + self.settings.drain_grace_ms
            _require(now_ms <= latest_ms + ROUNDING_MS, Rule.NOTHING_AFTER_THE_GRACE, told)

    def _check_final_action(self, now_ms: float, action: Reject | Fail) -> None:
        request = self._request(action.request)
        context = f"{action}\nfor {request}"
        _require(request.end is not End.GIVEN_UP, Rule.NOTHING_AFTER_THE_END, context)
        _require(request.end is None, Rule.ANSWERED_ONCE, context)
        latest_ms = request.deadline_ms + self.settings.tick_ms
        _require(now_ms <= latest_ms + ROUNDING_MS, Rule.ANSWERED_IN_TIME, context)
        if isinstance(action, Fail):
            self._end(request, End.FAILED)
            return
        if request.first_that_may_have_run():
            harmless = request.effect is Effect.IDEMPOTENT or (
                request.effect is Effect.KEYED and request.scope is DeduplicationScope.ALL
            )
            _require(harmless, Rule.REJECTED_IF_HARMLESS, context)
            self._sights[Sight.REJECTED_AFTER_RUN] += 1
        if not request.attempts:
            self._sights[Sight.REJECTED_UNSENT] += 1
        self._end(request, End.REJECTED)

    def _request(self, request_id: int) -> ObservedRequest:
        request = self.requests.get(request_id)
        if request is None:
            raise RuleViolationError(Rule.KNOWN_REQUEST, f"request {request_id}")
        return request

    def _end(self, request: ObservedRequest, end: End) -> None:
        request.end = end
        self._sights[end] += 1

    def _gone(self, now_ms: float, told: ToldEndpoint) -> None:
        if told.gone_at_ms is None:
            told.gone_at_ms = now_ms

    def _ready(self) -> list[Endpoint]:
        return [told.entry for told in self._told.values() if told.gone_at_ms is None]

    def _note_arrival(self, now_ms: float) -> None:
        ready = self._ready()
        if ready:
            cold_after_ms = max(0.0, now_ms - self.settings.slow_start_ms)
            if all(entry.started_ms > cold_after_ms for entry in ready):
                self._sights[Sight.ARRIVED_ALL_WARMING] += 1
        elif not self._was_told:
            self._sights[Sight.ARRIVED_WITHOUT_LIST] += 1
        elif any(told.entry.state is EndpointState.DRAINING for told in self._told.values()):
            self._sights[Sight.ARRIVED_ALL_DRAINING] += 1
        else:
            self._sights[Sight.ARRIVED_LIST_EMPTY] += 1

    def _note_send(self, request: ObservedRequest) -> None:
        if request.attempts:
            self._sights[Sight.RETRIED] += 1
            if request.effect is Effect.NOT_IDEMPOTENT:
                self._sights[Sight.UNSAFE_RESENT] += 1


def _require(holds: bool, rule: Rule, detail: object) -> None:
    if not holds:
        raise RuleViolationError(rule, str(detail))
