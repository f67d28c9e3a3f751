"""A fleet simulation: many balancers and their endpoints in virtual time, to check totals over the whole fleet.

An endpoint serves one request at a time and queues a few; it rejects all others at no cost.  It finishes a request
that it has started even if the attempt has timed out.  All random numbers are drawn from one seed.
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
    Action,
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

# An endpoint in slow start collapses if the work that arrives within a window exceeds this multiple of its capacity.
COLLAPSE_WINDOW_MS = 1500.0
COLLAPSE_MULTIPLE = 2.5
ONE_WAY_MS = 0.5  # network latency between a client and an endpoint
DIAL_TIMEOUT_MS = 250.0  # time until a dial to an endpoint that is down fails
CLASSES = (
    ClassSettings(Effect.IDEMPOTENT, latency_objective_ms=640, deadline_ms=1670, priority_weight=1),
    ClassSettings(Effect.IDEMPOTENT, latency_objective_ms=640, deadline_ms=2000, priority_weight=5),
    ClassSettings(Effect.NOT_IDEMPOTENT, latency_objective_ms=390, deadline_ms=840, priority_weight=2),
)
CLASS_MIX = (0.62, 0.2, 0.18)
CLIENT_TIMEOUT_SHARE = 0.6  # a client's timeout, as a share of its class's deadline


class EndpointListService:
    """Serves the endpoint list: `rate_per_s` calls one after the other; a call fails after `timeout_ms`."""

    def __init__(self, fleet: FleetSimulation, rate_per_s: float, timeout_ms: float = 2000.0) -> None:
        self.fleet = fleet
        self.call_ms = 1000.0 / rate_per_s
        self.timeout_ms = timeout_ms
        self.idle_at_ms = 0.0  # when the last queued call ends
        self.calls: list[float] = []  # start time of each call
        self.notified: dict[int, float] = {}  # by client: when it received its first list

    def call(self, client: int) -> None:
        fleet = self.fleet
        self.calls.append(fleet.now_ms)
        begins_at_ms = max(self.idle_at_ms, fleet.now_ms)
        if begins_at_ms - fleet.now_ms > self.timeout_ms:  # the call times out in the queue and costs no service time
            fleet.schedule(self.timeout_ms, lambda: fleet.update_list(client, UpdateKind.FAILED, []))
            return
        self.idle_at_ms = begins_at_ms + self.call_ms
        fleet.schedule(self.idle_at_ms - fleet.now_ms, lambda: self._respond(client))

    def _respond(self, client: int) -> None:
        self.notified.setdefault(client, self.fleet.now_ms)
        self.fleet.update_list(
            client,
            UpdateKind.COMPLETE,
            [self.fleet.list_entry(e) for e, endpoint in self.fleet.endpoints.items() if endpoint.is_running],
        )

    def max_calls_per_second(self) -> int:
        """The maximum number of calls within any second."""
        return max((bisect_right(self.calls, t + 1000.0) - i for i, t in enumerate(self.calls)), default=0)


class Arrival(NamedTuple):
    """A request that arrived at an endpoint in slow start; `notified`: its sender had been notified of the start."""

    at_ms: float
    work_ms: float
    notified: bool


class Window(NamedTuple):
    """The arrivals within a window: all requests, those of notified clients, the work; `capacity` at its start."""

    requests: int
    notified: int
    work_ms: float
    capacity: float


class SimulatedEndpoint:
    """Serves one request at a time, queues up to `queue_length` and rejects the others.

    From `started_at_ms` on its capacity rises linearly from `initial_share` to 1 within `slow_start_ms`.
    """

    def __init__(
        self,
        endpoint_id: int,
        mean_ms: float,
        queue_length: int = 2,
        initial_share: float = 0.3,
        slow_start_ms: float = 8800.0,
        kind: int = 0,
    ) -> None:
        self.endpoint_id = endpoint_id
        self.mean_ms = mean_ms
        self.queue_length = queue_length
        self.kind = kind
        self.initial_share = initial_share
        self.slow_start_ms = slow_start_ms
        self.started_at_ms = -1e12
        self.arrivals: list[Arrival] = []  # during its slow start
        self.queue: deque[tuple[Callable[[], None], float]] = deque()  # callback and service time
        self.is_busy = False
        self.is_running = True

    def capacity(self, now_ms: float) -> float:
        """The share of its full capacity that it has now."""
        return min(
            1.0, self.initial_share + (1.0 - self.initial_share) * (now_ms - self.started_at_ms) / self.slow_start_ms
        )

    def windows(self, length_ms: float, since_ms: float = 0.0) -> Iterator[Window]:
        """For each arrival during its slow start, the window of `length_ms` that ends at the arrival."""
        first, notified, work_ms = 0, 0, 0.0
        arrivals = [arrival for arrival in self.arrivals if arrival.at_ms >= since_ms]
        for last, arrival in enumerate(arrivals):
            notified, work_ms = notified + arrival.notified, work_ms + arrival.work_ms
            while arrivals[first].at_ms < arrival.at_ms - length_ms:
                notified, work_ms = notified - arrivals[first].notified, work_ms - arrivals[first].work_ms
                first += 1
            capacity = self.capacity(max(self.started_at_ms, arrival.at_ms - length_ms))
            yield Window(last - first + 1, notified, work_ms, capacity)

    def worst_window(self, length_ms: float, since_ms: float = 0.0) -> float:
        """The maximum over all windows of the requested work divided by the capacity at the window's start."""
        return max((w.work_ms / (w.capacity * length_ms) for w in self.windows(length_ms, since_ms)), default=0.0)


class FleetSimulation:
    """`clients` balancers with `rate_per_s` requests each, and `endpoints` endpoints of `mean_ms` of work a request.

    `rate_per_s` may be a sequence with the rate of each client.  `surge` multiplies all rates and may be changed at
    any time.  If `slow_kind_factor` is not 1, every second endpoint is of another kind that takes this much longer.
    """

    def __init__(
        self,
        clients: int,
        endpoints: int,
        rate_per_s: float | Sequence[float],
        mean_ms: float = 33.0,
        seed: int = 1,
        list_rate_per_s: float = 0.0,
        slow_kind_factor: float = 1.0,
        **overrides: object,
    ) -> None:
        self.rng, self.now_ms = Random(seed), 0.0
        self.timeline: list[tuple[float, int, Callable[[], None]]] = []
        self.scheduled = 0  # number of callbacks scheduled so far, which breaks ties in time
        kinds = (0, 1) if slow_kind_factor != 1.0 else (0, 0)
        self.endpoints = {
            i: SimulatedEndpoint(i, mean_ms * (slow_kind_factor if kinds[i % 2] else 1.0), kind=kinds[i % 2])
            for i in range(1, endpoints + 1)
        }
        self.rates_per_s = [rate_per_s] * clients if isinstance(rate_per_s, int | float) else list(rate_per_s)
        self.surge, self.last_request = 1.0, 0
        # (client, endpoint): the client was notified of the endpoint's last start
        self.notified_clients: set[tuple[int, int]] = set()
        settings = {
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
            **overrides,
        }
        self.clients = [
            Balancer(Settings(classes=CLASSES, index=i, **settings), seed * 1000 + i)  # type: ignore[arg-type]
            for i in range(clients)
        ]
        self.open_requests: dict[tuple[int, int], tuple[int, float]] = {}  # (client, request): class, arrival time
        self.attempts: Counter[tuple[int, int]] = Counter()
        self.totals: Counter[str] = Counter()  # over all clients
        self.sent: Counter[int] = Counter()  # by endpoint
        self.list_service = EndpointListService(self, list_rate_per_s) if list_rate_per_s else None
        for client in range(clients):  # all start at once; if the list must be polled, with a cached one
            self.update_list(
                client,
                UpdateKind.CACHED if list_rate_per_s else UpdateKind.COMPLETE,
                [self.list_entry(e) for e in self.endpoints],
            )
            delay_ms = self.rng.expovariate(self.rates_per_s[client]) * 1000
            self.schedule(delay_ms, lambda client=client: self.send_request(client))  # type: ignore[misc]

    def list_entry(
        self, endpoint_id: int, state: EndpointState = EndpointState.READY, started_ms: float = 0.0
    ) -> Endpoint:
        return Endpoint(endpoint_id, state, 0, endpoint_id, self.endpoints[endpoint_id].kind, 1.0, started_ms)

    def schedule(self, delay_ms: float, callback: Callable[[], None]) -> None:
        self.scheduled += 1
        heapq.heappush(self.timeline, (self.now_ms + delay_ms, self.scheduled, callback))

    def run(self, until_ms: float) -> None:
        while self.timeline and self.timeline[0][0] <= until_ms:
            self.now_ms, _, callback = heapq.heappop(self.timeline)
            callback()
        self.now_ms = until_ms

    def update_list(self, client: int, kind: UpdateKind, entries: list[Endpoint]) -> None:
        self.perform(client, self.clients[client].handle(self.now_ms, EndpointListUpdate(kind, 1, tuple(entries))))

    def send_request(self, client: int) -> None:
        """Give the client a new request, and schedule its next one."""
        delay_ms = self.rng.expovariate(self.rates_per_s[client] * self.surge) * 1000
        self.schedule(delay_ms, lambda: self.send_request(client))
        self.last_request += 1
        class_index = self.rng.choices(range(len(CLASSES)), CLASS_MIX)[0]
        timeout_ms = CLASSES[class_index].deadline_ms * CLIENT_TIMEOUT_SHARE
        self.open_requests[client, self.last_request] = class_index, self.now_ms
        self.totals["requested"] += 1
        self.perform(
            client, self.clients[client].handle(self.now_ms, Request(self.last_request, class_index, timeout_ms))
        )

    def perform(self, client: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.send_attempt(client, action)
            elif isinstance(action, SetTimer):
                self.schedule(action.delay_ms, lambda token=action.token: self.fire_timer(client, token))  # type: ignore[misc]
            elif isinstance(action, Reject | Fail):
                class_index, _ = self.open_requests.pop((client, action.request))
                self.totals["rejected" if isinstance(action, Reject) else "failed"] += 1
                self.totals[f"lost {class_index}"] += 1
            elif isinstance(action, WatchEndpointList) and self.list_service:
                self.list_service.call(client)

    def fire_timer(self, client: int, token: int) -> None:
        self.perform(client, self.clients[client].handle(self.now_ms, TimerFired(token)))

    def send_attempt(self, client: int, action: Send) -> None:
        number = self.attempts[client, action.request]
        self.attempts[client, action.request] += 1
        self.totals["sent"] += 1
        self.sent[action.endpoint] += 1
        endpoint, sent_at_ms, ended = self.endpoints[action.endpoint], self.now_ms, [False]
        capacity = endpoint.capacity(self.now_ms)
        sender_notified = (client, action.endpoint) in self.notified_clients

        def end(outcome: Outcome, report: tuple[float, ...] = ()) -> None:
            if ended[0]:
                return
            ended[0] = True
            self.totals[outcome.name] += 1
            open_request = self.open_requests.get((client, action.request))
            if outcome is Outcome.OK and open_request:
                class_index, arrived_at_ms = self.open_requests.pop((client, action.request))
                elapsed_ms = self.now_ms - arrived_at_ms
                self.totals[f"served {class_index}"] += elapsed_ms <= CLASSES[class_index].latency_objective_ms
            self.perform(
                client,
                self.clients[client].handle(
                    self.now_ms,
                    AttemptEnded(
                        action.request,
                        number,
                        action.endpoint,
                        self.now_ms - sent_at_ms,
                        outcome,
                        outcome is Outcome.OK or open_request is None,
                        report,
                    ),
                ),
            )

        def on_served(service_ms: float) -> None:
            self.totals["work"] += int(service_ms * 1000)
            if ended[0]:
                self.totals["wasted"] += int(service_ms * 1000)
            self.schedule(ONE_WAY_MS, lambda: end(Outcome.OK, (float(len(endpoint.queue)),)))

        def on_arrival() -> None:
            if endpoint.is_running and capacity < 1.0:
                endpoint.arrivals.append(Arrival(self.now_ms, endpoint.mean_ms, sender_notified))
            if not endpoint.is_running:
                self.schedule(DIAL_TIMEOUT_MS - ONE_WAY_MS, lambda: end(Outcome.CONNECT_FAILED))
            elif endpoint.is_busy and len(endpoint.queue) >= endpoint.queue_length:
                self.schedule(ONE_WAY_MS, lambda: end(Outcome.REJECTED, (float(len(endpoint.queue)),)))
            else:
                service_ms = self.rng.expovariate(1 / endpoint.mean_ms) / capacity
                endpoint.queue.append((lambda: on_served(service_ms), service_ms))
                self.serve_next(endpoint)

        self.schedule(ONE_WAY_MS, on_arrival)
        self.schedule(action.expires_ms - self.now_ms, lambda: end(Outcome.TIMEOUT))

    def fail_endpoints(self, endpoint_ids: list[int]) -> None:
        """Stop these endpoints without notice; their queued requests are lost."""
        for endpoint_id in endpoint_ids:
            self.endpoints[endpoint_id].is_running = False
            self.endpoints[endpoint_id].queue.clear()

    def restart_endpoints(
        self, endpoint_ids: list[int], notified_after_ms: float | None | Callable[[int], float | None]
    ) -> None:
        """Start these endpoints, which begin a slow start.

        The list notifies each client after 0.5 to 1.5 times `notified_after_ms`, or never if it is None.  If it is a
        function, that returns the delay for each client.
        """
        for endpoint_id in endpoint_ids:
            endpoint = self.endpoints[endpoint_id]
            endpoint.is_running, endpoint.started_at_ms = True, self.now_ms
        self.notified_clients -= {(i, endpoint_id) for i in range(len(self.clients)) for endpoint_id in endpoint_ids}
        entries = [self.list_entry(endpoint_id, started_ms=self.now_ms) for endpoint_id in endpoint_ids]

        def notify(client: int) -> None:
            self.notified_clients.update((client, endpoint_id) for endpoint_id in endpoint_ids)
            self.update_list(client, UpdateKind.CHANGES, entries)

        for client in range(len(self.clients)):
            if callable(notified_after_ms):
                delay_ms = notified_after_ms(client)
            else:
                delay_ms = None if notified_after_ms is None else notified_after_ms * (0.5 + self.rng.random())
            if delay_ms is not None:
                self.schedule(delay_ms, lambda client=client: notify(client))  # type: ignore[misc]

    def replace_endpoints(self, endpoint_ids: list[int], notified_after_ms: Callable[[int], float | None]) -> None:
        """Remove these endpoints and add as many new ones, which no client knows and which begin a slow start."""
        self.fail_endpoints(endpoint_ids)
        new_ids = [max(self.endpoints) + 1 + n for n in range(len(endpoint_ids))]
        for new_id, old_id in zip(new_ids, endpoint_ids, strict=True):
            old = self.endpoints[old_id]
            self.endpoints[new_id] = SimulatedEndpoint(
                new_id, old.mean_ms, old.queue_length, old.initial_share, old.slow_start_ms, old.kind
            )
        removed = [self.list_entry(endpoint_id, EndpointState.REMOVED) for endpoint_id in endpoint_ids]
        for client in range(len(self.clients)):
            if (delay_ms := notified_after_ms(client)) is not None:
                self.schedule(delay_ms, lambda client=client: self.update_list(client, UpdateKind.CHANGES, removed))  # type: ignore[misc]
        self.restart_endpoints(new_ids, notified_after_ms)

    def serve_next(self, endpoint: SimulatedEndpoint) -> None:
        if endpoint.is_busy or not endpoint.queue:
            return
        endpoint.is_busy = True
        on_served, service_ms = endpoint.queue.popleft()

        def finish() -> None:
            endpoint.is_busy = False
            if endpoint.is_running:
                on_served()
            self.serve_next(endpoint)

        self.schedule(service_ms, finish)
