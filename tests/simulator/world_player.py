"""Plays a drawn world in virtual time against the adapter: whole frames in, whole frames out, each action checked.

All events that are due at a tick go to the adapter in batches.  A batch has at most one event of a request, and lists
and disconnects come first in it, so that the checker's state after the batch applies to all actions of the reply.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import NamedTuple

from gateusher.policy.interface import (
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    Endpoint,
    EndpointListUpdate,
    HealthCheck,
    HealthCheckEnded,
    Outcome,
    PeerMessage,
    Request,
    ResponseStarted,
    Send,
    SetTimer,
    TimerFired,
    UpdateKind,
    WatchEndpointList,
)
from gateusher.simulator.adapter import BalancerHost
from gateusher.simulator.settings import parse_settings

from .world_checks import ROUNDING_MS, ObservedRequest, Rule, RuleViolationError, SidecarChecker
from .world_endpoints import UNSENT, draw_report
from .world_fleet import Change, Fleet
from .world_frames import BatchEncoder, Decision, Delivery, ReplyError, StartInstance, StopInstance, decode_reply
from .world_plan import PlannedRequest, PlannedTrouble, Trouble, WorldPlan

MAX_BATCHES_AT_A_TIME = 1000  # more of them mean that timers without a delay follow one another without end
TRACE_BATCHES = 12  # latest batches that are printed with a violation
CANCEL_DELAY_MS = 2.0  # until an attempt of a request that is over is canceled
MAX_WATCH_DELAY_MS = 300.0
MAX_HEALTH_CHECK_MS = 100.0
NO_REPORT: tuple[float, ...] = ()
PEER_MESSAGE_SHARE = 0.03  # per request
FIRST_LIST_SHARE = 0.9  # share of the sidecars that get a list at their start
STOPPED_SHARE = 0.5  # share of the restarted sidecars that are stopped before
CANCELED_SHARE = 0.7  # share of the disconnects after which the attempt in flight is canceled
RESPONSE_STARTED_SHARE = 0.2  # share of the attempts whose response starts before it ends
# The order of events in a batch; those of other types come last.
ORDER = (StopInstance, StartInstance, EndpointListUpdate, ClientDisconnected)


class WorldViolationError(AssertionError):
    """An invariant does not hold in the world of a seed."""

    def __init__(self, seed: int, now_ms: float, violation: RuleViolationError, trace: str) -> None:
        super().__init__(f"seed {seed}, at {now_ms:.3f} ms: {violation}\nlatest batches:\n{trace}")
        self.rule = violation.rule


class PlannedCall(NamedTuple):
    """A callback and its time; `number` breaks ties."""

    at_ms: float
    number: int
    call: Callable[[], None]


@dataclass(frozen=True)
class AnsweredBatch:
    """The events of a batch and the actions of its reply, up to the one that is being checked."""

    at_ms: float
    deliveries: list[Delivery]
    decisions: list[Decision]

    def __str__(self) -> str:
        events = "; ".join(_line(delivery) for delivery in self.deliveries)
        return "\n    -> ".join([f"{self.at_ms:.3f} ms: {events}", *map(_line, self.decisions)])


class Sidecar:
    """What the world knows of one sidecar."""

    def __init__(self, settings: bytes, sights: Counter[Enum]) -> None:
        self.checker = SidecarChecker(parse_settings(settings), sights)
        self.polls_list = self.checker.settings.polls_list
        self.watching = not self.polls_list
        self.list_due_ms = 0.0  # when the latest update arrives; updates arrive in order


class WorldPlayer:
    """Plays one world."""

    def __init__(self, plan: WorldPlan) -> None:
        self.plan = plan
        self.now_ms = 0.0
        self.sights: Counter[Enum] = Counter()
        self._rng = Random(f"play {plan.seed}")
        self._host = BalancerHost()
        self._encoder = BatchEncoder()
        self._calls: list[PlannedCall] = []
        self._planned = 0
        self._batches_now = 0  # delivered at the current time
        self._outbox: list[Delivery] = []
        self._trace: deque[AnsweredBatch] = deque(maxlen=TRACE_BATCHES)
        self._fleet = Fleet(plan.endpoints, self._rng)
        self._active: set[Trouble] = set()
        self._sidecars: list[Sidecar] = []

    def play(self) -> Counter[Enum]:
        """Play the world until every request is over; return what happened.  Raises WorldViolationError."""
        try:
            self._plan_calls()
            while self._calls:
                self._run_tick()
        except RuleViolationError as violation:
            raise WorldViolationError(
                self.plan.seed, self.now_ms, violation, "\n".join(map(str, self._trace))
            ) from None
        return self.sights

    def _plan_calls(self) -> None:
        for instance in range(len(self.plan.sidecars)):
            self._at(0.0, lambda instance=instance: self._start_sidecar(instance))  # type: ignore[misc]
        for trouble in self.plan.troubles:
            self._at(trouble.starts_ms, lambda trouble=trouble: self._begin(trouble))  # type: ignore[misc]
            ends_ms = trouble.starts_ms + trouble.lasts_ms
            self._at(ends_ms, lambda trouble=trouble: self._recover(trouble))  # type: ignore[misc]
        for request in self.plan.requests:
            self._at(request.at_ms, lambda request=request: self._request(request))  # type: ignore[misc]

    # Time and batches.

    def _at(self, at_ms: float, call: Callable[[], None]) -> None:
        self._planned += 1
        heapq.heappush(self._calls, PlannedCall(max(at_ms, self.now_ms), self._planned, call))

    def _after(self, delay_ms: float, call: Callable[[], None]) -> None:
        self._at(self.now_ms + delay_ms, call)

    def _run_tick(self) -> None:
        """Run all calls that are due at the next tick, and deliver their events."""
        tick_ms = self.plan.tick_ms
        due_ms = self._calls[0].at_ms
        if tick_ms:
            due_ms = math.ceil(round(due_ms / tick_ms, 9)) * tick_ms
        self._batches_now = 0 if due_ms > self.now_ms else self._batches_now
        self.now_ms = max(self.now_ms, due_ms)
        while self._calls and self._calls[0].at_ms <= self.now_ms:
            heapq.heappop(self._calls).call()
        while self._outbox:
            self._batches_now += 1
            if self._batches_now > MAX_BATCHES_AT_A_TIME:
                raise RuleViolationError(Rule.TIME_ADVANCES, f"more than {MAX_BATCHES_AT_A_TIME} batches at once")
            self._deliver_batch()

    def _send_event(self, instance: int, event: object) -> None:
        self._outbox.append(Delivery(instance, event))  # type: ignore[arg-type]

    def _deliver_batch(self) -> None:
        batch: list[Delivery] = []
        kept: list[Delivery] = []
        requests: set[int] = set()
        for delivery in self._outbox:
            request_id = getattr(delivery.event, "request", None)
            if request_id is not None and request_id in requests:
                kept.append(delivery)
                continue
            if request_id is not None:
                requests.add(request_id)
            batch.append(delivery)
        self._outbox = kept
        batch.sort(key=lambda each: ORDER.index(type(each.event)) if type(each.event) in ORDER else len(ORDER))
        batch = [self._observe(delivery) for delivery in batch]
        answered = AnsweredBatch(self.now_ms, batch, [])
        self._trace.append(answered)
        for decision in self._answer(batch):
            answered.decisions.append(decision)
            self._sidecars[decision.instance].checker.check(self.now_ms, decision)
            self._perform(decision)

    def _answer(self, batch: list[Delivery]) -> list[Decision]:
        frame = self._encoder.encode(self.now_ms, batch)
        try:
            reply = self._host.answer(frame)
        except Exception as error:
            raise RuleViolationError(Rule.NO_CRASH, f"the adapter raised {error!r}") from error
        try:
            return decode_reply(reply, self._encoder.number, range(len(self._sidecars)))
        except ReplyError as error:
            raise RuleViolationError(Rule.VALID_REPLY, str(error)) from error

    def _observe(self, delivery: Delivery) -> Delivery:
        """Tell the checker of an event; an ended attempt is completed with whether its request is over."""
        event, checker = delivery.event, self._sidecars[delivery.instance].checker
        if isinstance(event, AttemptEnded):
            closed = checker.attempt_ends(event.request, event.attempt, event.outcome)
            return Delivery(delivery.instance, event._replace(closed=closed))
        if isinstance(event, Request):
            request = checker.request_arrives(self.now_ms, event)
            late_ms = request.deadline_ms + self.plan.tick_ms + ROUNDING_MS
            self._at(late_ms, lambda: checker.check_deadline(self.now_ms, request))
            self.sights.update(self._active)
        elif isinstance(event, ClientDisconnected):
            checker.client_disconnects(event.request)
        elif isinstance(event, EndpointListUpdate):
            checker.list_arrives(self.now_ms, event)
        return delivery

    # Sidecars and their actions.

    def _start_sidecar(self, instance: int) -> None:
        planned = self.plan.sidecars[instance]
        self._sidecars.append(Sidecar(planned.settings, self.sights))
        self._send_event(instance, StartInstance(planned.seed, planned.settings))
        self._tell_first_list(instance)

    def _tell_first_list(self, instance: int) -> None:
        kind = UpdateKind.CACHED if self._sidecars[instance].polls_list else UpdateKind.COMPLETE
        if self._rng.random() < FIRST_LIST_SHARE:
            self._tell(instance, kind, self._fleet.listed())

    def _restart_sidecar(self, instance: int) -> None:
        """Replace a sidecar, with or without stopping it first; events for the old one are dropped."""
        planned, rng = self.plan.sidecars[instance], self._rng
        self._sidecars[instance].checker.restarts()
        self._outbox = [delivery for delivery in self._outbox if delivery.instance != instance]
        self._sidecars[instance] = Sidecar(planned.settings_after_restart, self.sights)
        if rng.random() < STOPPED_SHARE:
            self._send_event(instance, StopInstance())
        self._send_event(instance, StartInstance((planned.seed + 1) % 2**64, planned.settings_after_restart))
        self._tell_first_list(instance)

    def _for_sidecar(self, instance: int, event: object) -> Callable[[], None]:
        """Return a call that delivers an event to the sidecar unless it is replaced until then."""
        sidecar = self._sidecars[instance]

        def deliver() -> None:
            if self._sidecars[instance] is sidecar:
                self._send_event(instance, event)

        return deliver

    def _perform(self, decision: Decision) -> None:
        instance, action = decision
        if isinstance(action, Send):
            self._attempt(instance, action)
        elif isinstance(action, SetTimer):
            self._after(action.delay_ms, self._for_sidecar(instance, TimerFired(action.token)))
        elif isinstance(action, HealthCheck):
            self._check_health(instance, action.endpoint)
        elif isinstance(action, WatchEndpointList):
            self._watch(instance)
        elif isinstance(action, Cancel):
            checker = self._sidecars[instance].checker
            self._cancel(instance, checker.requests[action.request], action.attempt)

    def _check_health(self, instance: int, endpoint_id: int) -> None:
        endpoint, rng = self._fleet.endpoints[endpoint_id], self._rng
        settings = self._sidecars[instance].checker.settings
        time_limit_ms = rng.uniform(1.0, MAX_HEALTH_CHECK_MS)
        outcome, elapsed_ms = endpoint.answer(rng, self.plan.failure_share, settings.dial_timeout_ms, time_limit_ms)
        report = draw_report(rng, len(settings.report_fields)) if outcome is Outcome.OK else ()
        event = HealthCheckEnded(endpoint_id, elapsed_ms, outcome, report)
        self._after(elapsed_ms, self._for_sidecar(instance, event))

    def _watch(self, instance: int) -> None:
        sidecar, rng = self._sidecars[instance], self._rng

        def respond() -> None:
            if self._sidecars[instance] is not sidecar:
                return
            if rng.random() < self.plan.watch_failure_share or Trouble.WATCH_LOST in self._active:
                self._tell(instance, UpdateKind.FAILED, ())
                return
            sidecar.watching = True
            self._tell(instance, UpdateKind.COMPLETE, self._fleet.listed())

        self._after(rng.uniform(1.0, MAX_WATCH_DELAY_MS), respond)

    # Requests and attempts.

    def _request(self, planned: PlannedRequest) -> None:
        instance, rng = planned.instance, self._rng
        classes = self._sidecars[instance].checker.settings.classes
        class_index = planned.class_number % len(classes)
        event = Request(
            planned.request,
            class_index,
            classes[class_index].deadline_ms * planned.timeout_share,
            planned.affinity_key,
            rng.randrange(3),
            planned.cost_hint_ms,
            rng.random() < 0.1,
            rng.random() < 0.3,
        )
        self._send_event(instance, event)
        if rng.random() < PEER_MESSAGE_SHARE:
            self._send_event(instance, PeerMessage(rng.randrange(4), rng.randbytes(rng.randrange(40))))
        if planned.leaves_after_ms is not None:
            sidecar = self._sidecars[instance]
            self._after(planned.leaves_after_ms, lambda: self._disconnect(instance, sidecar, planned.request))

    def _disconnect(self, instance: int, sidecar: Sidecar, request_id: int) -> None:
        """Disconnect the client of a request that is not over, and cancel the attempt in flight now or let it end."""
        request = sidecar.checker.requests.get(request_id)
        if request is None or request.end is not None or self._sidecars[instance] is not sidecar:
            return
        if any(_request_of(each) == request_id for each in self._outbox):  # its response is on the way
            return
        self._send_event(instance, ClientDisconnected(request_id))
        if self._rng.random() < CANCELED_SHARE:
            for number, attempt in enumerate(request.attempts):
                if attempt.outcome is None:
                    self._cancel(instance, request, number)

    def _attempt(self, instance: int, send: Send) -> None:
        rng, sidecar = self._rng, self._sidecars[instance]
        settings = sidecar.checker.settings
        request = sidecar.checker.requests[send.request]
        number, endpoint = len(request.attempts) - 1, self._fleet.endpoints[send.endpoint]
        outcome, elapsed_ms = endpoint.answer(
            rng, self.plan.failure_share, settings.dial_timeout_ms, send.expires_ms - self.now_ms
        )
        if outcome not in UNSENT and rng.random() < RESPONSE_STARTED_SHARE:
            started = ResponseStarted(send.request, number, send.endpoint, elapsed_ms / 2)
            self._after(elapsed_ms / 2, lambda: self._start_response(instance, sidecar, request, started))
        self._after(elapsed_ms, lambda: self._end_attempt(instance, sidecar, request, number, outcome))

    def _start_response(
        self, instance: int, sidecar: Sidecar, request: ObservedRequest, event: ResponseStarted
    ) -> None:
        if self._sidecars[instance] is sidecar and request.attempts[event.attempt].outcome is None:
            self._send_event(instance, event)

    def _end_attempt(
        self, instance: int, sidecar: Sidecar, request: ObservedRequest, number: int, outcome: Outcome
    ) -> None:
        """Deliver the end of an attempt that has not ended otherwise."""
        attempt = request.attempts[number]
        if self._sidecars[instance] is not sidecar or attempt.outcome is not None:
            return
        attempt.outcome = outcome
        settings, report = sidecar.checker.settings, NO_REPORT
        if outcome in (Outcome.OK, Outcome.REJECTED, Outcome.ERROR) and not settings.reports_pulled:
            report = draw_report(self._rng, len(settings.report_fields))
        elapsed_ms = self.now_ms - attempt.sent_at_ms
        event = AttemptEnded(
            request.event.request, number, attempt.entry.endpoint, elapsed_ms, outcome, closed=False, report=report
        )
        self._send_event(instance, event)

    def _cancel(self, instance: int, request: ObservedRequest, number: int) -> None:
        sidecar = self._sidecars[instance]
        outcome = self._rng.choice([Outcome.CANCELLED, Outcome.NOT_SENT])
        delay_ms = self._rng.uniform(0.0, CANCEL_DELAY_MS)
        self._after(delay_ms, lambda: self._end_attempt(instance, sidecar, request, number, outcome))

    # The endpoint list and troubles.

    def _tell(self, instance: int, kind: UpdateKind, entries: tuple[Endpoint, ...]) -> None:
        """Send an update of the list to one sidecar, after those that are under way."""
        sidecar = self._sidecars[instance]
        update = EndpointListUpdate(kind, 0 if kind is UpdateKind.FAILED else self._fleet.version, entries)
        due_ms = self.now_ms + self._rng.uniform(0.0, self.plan.max_list_delay_ms)
        sidecar.list_due_ms = max(sidecar.list_due_ms, due_ms)
        self._at(sidecar.list_due_ms, self._for_sidecar(instance, update))

    def _announce(self, changed: Sequence[Endpoint], kind: UpdateKind) -> None:
        """Tell the sidecars that watch the list of changed endpoints."""
        for instance, sidecar in enumerate(self._sidecars):
            if sidecar.watching:
                self._tell(instance, kind, tuple(changed) if kind is UpdateKind.CHANGES else self._fleet.listed())

    def _begin(self, trouble: PlannedTrouble) -> None:
        self._active.add(trouble.kind)
        if trouble.kind is Trouble.WATCH_LOST:
            self._lose_watches()
        elif trouble.kind is Trouble.SIDECARS_RESTARTED:
            for instance in range(len(self._sidecars)):
                self._restart_sidecar(instance)
        else:
            for delay_ms, change in self._fleet.trouble(trouble):
                self._after(delay_ms, lambda change=change: self._change(change))  # type: ignore[misc]

    def _recover(self, trouble: PlannedTrouble) -> None:
        self._active.discard(trouble.kind)
        self._change(self._fleet.recovery(trouble))

    def _change(self, change: Change) -> None:
        """Change the fleet, and tell the sidecars if its list has changed."""
        announcement = change(self.now_ms)
        if announcement:
            self._announce(announcement.changed, announcement.told_by)

    def _lose_watches(self) -> None:
        for instance, sidecar in enumerate(self._sidecars):
            if sidecar.watching:
                sidecar.watching = False
                self._tell(instance, UpdateKind.FAILED, ())


def _request_of(delivery: Delivery) -> int | None:
    return getattr(delivery.event, "request", None)


def _line(item: Delivery | Decision) -> str:
    """Return an event or an action as a line of the trace."""
    return f"[{item.instance}] {item[1]!r}"[:200]


def play_world(plan: WorldPlan) -> Counter[Enum]:
    """Play a world and return what happened.  Raises WorldViolationError."""
    return WorldPlayer(plan).play()
