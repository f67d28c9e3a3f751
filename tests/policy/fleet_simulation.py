"""A fleet simulation: many balancers and their endpoints in virtual time, so that sums over all can be checked.

An endpoint serves one request at a time and queues a few; beyond that it rejects at no cost.  It finishes what it has
begun, whoever still waits for it.  All times are milliseconds, all draws come from one seed.
"""

from __future__ import annotations

import heapq
from bisect import bisect_right
from collections import Counter, deque
from collections.abc import Callable, Iterator, Sequence
from random import Random
from typing import NamedTuple

from gateusher.policy import Balancer
from gateusher.policy.interface import (
    AttemptEnded,
    ClassSettings,
    Effect,
    Endpoint,
    EndpointListUpdate,
    EndpointState,
    Fail,
    Outcome,
    Reject,
    Request,
    Send,
    SetTimer,
    Settings,
    TimerFired,
    UpdateKind,
    WatchEndpointList,
)

COLLAPSE_WINDOW_MS = 1500.0  # an endpoint in slow start collapses where, in such a window,
COLLAPSE_MULTIPLE = 2.5  # more than so many times the work comes that it can do
ONE_WAY_MS = 0.5  # network latency between a client and an endpoint
DIAL_TIMEOUT_MS = 250.0  # until a dial to an endpoint that is down fails
CLASSES = (
    ClassSettings(Effect.IDEMPOTENT, latency_objective_ms=640, deadline_ms=1670, priority_weight=1),
    ClassSettings(Effect.IDEMPOTENT, latency_objective_ms=640, deadline_ms=2000, priority_weight=5),
    ClassSettings(Effect.NOT_IDEMPOTENT, latency_objective_ms=390, deadline_ms=840, priority_weight=2),
)
CLASS_MIX = (0.62, 0.2, 0.18)


class EndpointListService:
    """The service of the endpoint list: `rate` calls a second, one by one; a call fails after `timeout_ms`."""

    def __init__(self, fleet: FleetSimulation, rate: float, timeout_ms: float = 2000.0) -> None:
        self.fleet = fleet
        self.call_ms = 1000.0 / rate
        self.timeout_ms = timeout_ms
        self.free_at_ms = 0.0  # when the last queued call ends
        self.calls: list[float] = []  # when each began
        self.notified: dict[int, float] = {}  # by client: when it had its first list

    def call(self, i: int) -> None:
        fleet = self.fleet
        self.calls.append(fleet.now)
        begins = max(self.free_at_ms, fleet.now)
        if begins - fleet.now > self.timeout_ms:  # it leaves the queue, and cost the service nothing
            fleet.later(self.timeout_ms, lambda: fleet.update_list(i, UpdateKind.FAILED, []))
            return
        self.free_at_ms = begins + self.call_ms
        fleet.later(self.free_at_ms - fleet.now, lambda: self._answer(i))

    def _answer(self, i: int) -> None:
        self.notified.setdefault(i, self.fleet.now)
        self.fleet.update_list(
            i,
            UpdateKind.COMPLETE,
            [self.fleet.list_entry(e) for e, endpoint in self.fleet.endpoints.items() if endpoint.up],
        )

    def worst_second(self) -> int:
        """The most calls in any second."""
        return max((bisect_right(self.calls, t + 1000.0) - i for i, t in enumerate(self.calls)), default=0)


class Arrival(NamedTuple):
    """A request to an endpoint in slow start: when, its work in ms, and whether its sender knew of the start."""

    at: float
    work: float
    notified: bool


class Window(NamedTuple):
    """Arrivals in a window: requests, those of notified clients, work in ms; and the capacity at its start."""

    sent: int
    notified: int
    work: float
    capacity: float


class SimulatedEndpoint:
    """Serves one request at a time and queues up to `queue_length`; rejects the others.

    From `started_at_ms` on it does `share` of its usual work, rising to all of it within `slow_start_ms`.
    """

    def __init__(
        self,
        endpoint_id: int,
        mean: float,
        queue_length: int = 2,
        share: float = 0.3,
        slow_start_ms: float = 8800.0,
        kind: int = 0,
    ) -> None:
        self.endpoint_id = endpoint_id
        self.mean = mean
        self.queue_length = queue_length
        self.kind = kind
        self.share = share
        self.slow_start_ms = slow_start_ms
        self.started_at_ms = -1e12
        self.arrivals: list[Arrival] = []  # during its slow start
        self.waiting: deque[tuple[Callable[[], None], float]] = deque()
        self.busy = False
        self.up = True

    def capacity(self, now: float) -> float:
        """The part of its usual work that it can do now."""
        return min(1.0, self.share + (1.0 - self.share) * (now - self.started_at_ms) / self.slow_start_ms)

    def windows(self, length: float, since: float = 0.0) -> Iterator[Window]:
        """For each request to it during its slow start: the window of so many ms that ends there."""
        first, notified, work = 0, 0, 0.0
        arrivals = [each for each in self.arrivals if each.at >= since]
        for last, each in enumerate(arrivals):
            notified, work = notified + each.notified, work + each.work
            while arrivals[first].at < each.at - length:
                notified, work = notified - arrivals[first].notified, work - arrivals[first].work
                first += 1
            yield Window(last - first + 1, notified, work, self.capacity(max(self.started_at_ms, each.at - length)))

    def worst_window(self, length: float, since: float = 0.0) -> float:
        """The most work asked of it in a window of so many ms, over what it could do at the window's start."""
        return max((w.work / (w.capacity * length) for w in self.windows(length, since)), default=0.0)


class FleetSimulation:
    """`clients` balancers with `rate` requests a second each, and `endpoints` endpoints of `mean` ms of work each.

    `rate` may be a rate for each client.  `surge` multiplies all rates, at any time.  Where `slower` is not 1, every
    second endpoint is of another kind, which takes so many times as long.
    """

    def __init__(
        self,
        clients: int,
        endpoints: int,
        rate: float | Sequence[float],
        mean: float = 33.0,
        seed: int = 1,
        list_rate: float = 0.0,
        slower: float = 1.0,
        **more: object,
    ) -> None:
        self.rng, self.now = Random(seed), 0.0
        self.timeline: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        kinds = (0, 1) if slower != 1.0 else (0, 0)
        self.endpoints = {
            i: SimulatedEndpoint(i, mean * (slower if kinds[i % 2] else 1.0), kind=kinds[i % 2])
            for i in range(1, endpoints + 1)
        }
        self.rates = [rate] * clients if isinstance(rate, int | float) else list(rate)
        self.surge, self.last_request = 1.0, 0
        # (client, endpoint): the client was notified of the endpoint's last start
        self.notified_clients: set[tuple[int, int]] = set()
        conf = {
            "max_attempts": 6,
            "idle_ms": 15000.0,
            "report_fields": ("waiting",),
            "clients": clients,
            "slow_start_share": 0.3,
            "slow_start_ms": 8800.0,
            "collapse_multiple": COLLAPSE_MULTIPLE,
            "collapse_window_ms": COLLAPSE_WINDOW_MS,
            "polls_list": True,
            "kinds": 2,
            **more,
        }
        self.clients = [
            Balancer(Settings(classes=CLASSES, index=i, **conf), seed * 1000 + i)  # type: ignore[arg-type]
            for i in range(clients)
        ]
        self.open: dict[tuple[int, int], tuple[int, float]] = {}  # (client, request): class, when it came
        self.attempts: Counter[tuple[int, int]] = Counter()
        self.sums: Counter[str] = Counter()  # of all clients
        self.sent: Counter[int] = Counter()  # by endpoint
        self.list_service = EndpointListService(self, list_rate) if list_rate else None
        for i in range(clients):  # all start at once; with a list that must be polled from a cached one
            self.update_list(
                i,
                UpdateKind.CACHED if list_rate else UpdateKind.COMPLETE,
                [self.list_entry(e) for e in self.endpoints],
            )
            self.later(self.rng.expovariate(self.rates[i]) * 1000, lambda i=i: self.arrive(i))

    def list_entry(
        self, endpoint_id: int, state: EndpointState = EndpointState.READY, started_ms: float = 0.0
    ) -> Endpoint:
        return Endpoint(endpoint_id, state, 0, endpoint_id, self.endpoints[endpoint_id].kind, 1.0, started_ms)

    def later(self, wait: float, what: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.timeline, (self.now + wait, self.count, what))

    def run(self, until: float) -> None:
        while self.timeline and self.timeline[0][0] <= until:
            self.now, _, what = heapq.heappop(self.timeline)
            what()
        self.now = until

    def update_list(self, i: int, kind: UpdateKind, entries: list[Endpoint]) -> None:
        self.act(i, self.clients[i].handle(self.now, EndpointListUpdate(kind, 1, tuple(entries))))

    def arrive(self, i: int) -> None:
        self.later(self.rng.expovariate(self.rates[i] * self.surge) * 1000, lambda: self.arrive(i))
        self.last_request += 1
        class_index = self.rng.choices(range(len(CLASSES)), CLASS_MIX)[0]
        timeout_ms = CLASSES[class_index].deadline_ms * 0.6
        self.open[i, self.last_request] = class_index, self.now
        self.sums["requested"] += 1
        self.act(i, self.clients[i].handle(self.now, Request(self.last_request, class_index, timeout_ms)))

    def act(self, i: int, actions: list) -> None:  # type: ignore[type-arg]
        for act in actions:
            if isinstance(act, Send):
                self.send(i, act)
            elif isinstance(act, SetTimer):
                self.later(
                    act.delay_ms,
                    lambda token=act.token: self.act(i, self.clients[i].handle(self.now, TimerFired(token))),
                )
            elif isinstance(act, Reject | Fail):
                class_index, _ = self.open.pop((i, act.request))
                self.sums["refused" if isinstance(act, Reject) else "failed"] += 1
                self.sums[f"lost {class_index}"] += 1
            elif isinstance(act, WatchEndpointList) and self.list_service:
                self.list_service.call(i)

    def send(self, i: int, act: Send) -> None:
        number = self.attempts[i, act.request]
        self.attempts[i, act.request] += 1
        self.sums["sent"] += 1
        self.sent[act.endpoint] += 1
        endpoint, began, over = self.endpoints[act.endpoint], self.now, [False]
        capacity, sender_notified = endpoint.capacity(self.now), (i, act.endpoint) in self.notified_clients

        def end(outcome: Outcome, report: tuple[float, ...] = ()) -> None:
            if over[0]:
                return
            over[0] = True
            self.sums[outcome.name] += 1
            known = self.open.get((i, act.request))
            if outcome is Outcome.OK and known:
                class_index, came = self.open.pop((i, act.request))
                self.sums[f"served {class_index}"] += self.now - came <= CLASSES[class_index].latency_objective_ms
            self.act(
                i,
                self.clients[i].handle(
                    self.now,
                    AttemptEnded(
                        act.request,
                        number,
                        act.endpoint,
                        self.now - began,
                        outcome,
                        outcome is Outcome.OK or known is None,
                        report,
                    ),
                ),
            )

        def done(took: float) -> None:
            self.sums["work"] += int(took * 1000)
            if over[0]:
                self.sums["wasted"] += int(took * 1000)
            self.later(ONE_WAY_MS, lambda: end(Outcome.OK, (float(len(endpoint.waiting)),)))

        def come() -> None:
            if endpoint.up and capacity < 1.0:
                endpoint.arrivals.append(Arrival(self.now, endpoint.mean, sender_notified))
            if not endpoint.up:
                self.later(DIAL_TIMEOUT_MS - ONE_WAY_MS, lambda: end(Outcome.CONNECT_FAILED))
            elif endpoint.busy and len(endpoint.waiting) >= endpoint.queue_length:
                self.later(ONE_WAY_MS, lambda: end(Outcome.REJECTED, (float(len(endpoint.waiting)),)))
            else:
                took = self.rng.expovariate(1 / endpoint.mean) / capacity
                endpoint.waiting.append((lambda: done(took), took))
                self.work(endpoint)

        self.later(ONE_WAY_MS, come)
        self.later(act.expires_ms - self.now, lambda: end(Outcome.TIMEOUT))

    def fail_endpoints(self, endpoint_ids: list[int]) -> None:
        """These endpoints go down without notice; what they hold is lost."""
        for endpoint_id in endpoint_ids:
            self.endpoints[endpoint_id].up = False
            self.endpoints[endpoint_id].waiting.clear()

    def restart_endpoints(
        self, endpoint_ids: list[int], notified_after: float | None | Callable[[int], float | None]
    ) -> None:
        """They begin a slow start; the list notifies clients after 0.5 to 1.5 times `notified_after` ms, or never.

        Where `notified_after` is a function it gives the time for each client.
        """
        for endpoint_id in endpoint_ids:
            endpoint = self.endpoints[endpoint_id]
            endpoint.up, endpoint.started_at_ms = True, self.now
        self.notified_clients -= {(i, endpoint_id) for i in range(len(self.clients)) for endpoint_id in endpoint_ids}
        entries = [self.list_entry(endpoint_id, started_ms=self.now) for endpoint_id in endpoint_ids]

        def notified(i: int) -> None:
            self.notified_clients.update((i, endpoint_id) for endpoint_id in endpoint_ids)
            self.update_list(i, UpdateKind.CHANGES, entries)

        for i in range(len(self.clients)):
            if callable(notified_after):
                wait = notified_after(i)
            else:
                wait = None if notified_after is None else notified_after * (0.5 + self.rng.random())
            if wait is not None:
                self.later(wait, lambda i=i: notified(i))  # type: ignore[misc]

    def replace_endpoints(self, endpoint_ids: list[int], notified_after: Callable[[int], float | None]) -> None:
        """These endpoints are removed, and new ones, which no client knows, begin a slow start in their places."""
        self.fail_endpoints(endpoint_ids)
        new_ids = [max(self.endpoints) + 1 + n for n in range(len(endpoint_ids))]
        for new, old in zip(new_ids, endpoint_ids, strict=True):
            endpoint = self.endpoints[old]
            self.endpoints[new] = SimulatedEndpoint(
                new, endpoint.mean, endpoint.queue_length, endpoint.share, endpoint.slow_start_ms, endpoint.kind
            )
        removed = [self.list_entry(endpoint_id, EndpointState.REMOVED) for endpoint_id in endpoint_ids]
        for i in range(len(self.clients)):
            if (wait := notified_after(i)) is not None:
                self.later(wait, lambda i=i: self.update_list(i, UpdateKind.CHANGES, removed))  # type: ignore[misc]
        self.restart_endpoints(new_ids, notified_after)

    def work(self, endpoint: SimulatedEndpoint) -> None:
        if endpoint.busy or not endpoint.waiting:
            return
        endpoint.busy = True
        done, took = endpoint.waiting.popleft()

        def finish() -> None:
            endpoint.busy = False
            if endpoint.up:
                done()
            self.work(endpoint)

        self.later(took, finish)
