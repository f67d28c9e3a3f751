"""Calls of 200 sidecars for the endpoint list, in virtual time: their number, and the wait for the list.

    python -m bench.calls

Runs each scenario with ten seeds on all cores and prints the table that docs/design/calls.md holds.  The balancer and
the call scheduler are the program's own; `EndpointListService` stands in for the service.  A complete list and the
watch that follows it are two calls.
"""

from __future__ import annotations

import heapq
import statistics
from bisect import bisect_right
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from math import inf
from random import Random
from typing import NamedTuple, Protocol

from gateusher.discovery.calls import (
    POLLED_POLICY,
    Action,
    AllCallsFailed,
    CallEnded,
    CallScheduler,
    CloseCall,
    CompleteListReceived,
    ConfigReloaded,
    Event,
    ListWanted,
    ListWantedLater,
    OpenCall,
    Tick,
    WatchActive,
)
from gateusher.policy import Balancer
from gateusher.policy.interface import (
    ClassSettings,
    Effect,
    Endpoint,
    EndpointListUpdate,
    EndpointState,
    SetTimer,
    Settings,
    TimerFired,
    UpdateKind,
    WatchEndpointList,
)

SIDECARS = 200
SEEDS = range(1, 11)
TICK_S = 0.1
QUEUE_TIMEOUT_S = 3.0  # the service responds with 503 to a call that has waited this long
REFUSAL_S = 0.002  # until a refused call has ended
HEARTBEAT_S = 2.0  # between the heartbeats of a watch
TIMEOUT_S = 4.5  # of a call of `TimeoutCaller`
WATCH_TIMEOUT_S = 4.5  # after which its watch is closed if no heartbeat arrives
RELOAD_TIMEOUT_S = 1.5  # of its calls after a reload, in the first of its policies
RELOAD_RETRY_S = 6.0  # for how long after a reload it retries at once
RETRY_DELAY_S = 0.2
ENDPOINT_LIST = (Endpoint(1, EndpointState.READY, 0, 0, 0, 1.0, 0.0),)
SETTINGS = Settings(
    classes=(ClassSettings(Effect.IDEMPOTENT, latency_objective_ms=640, deadline_ms=1670, priority_weight=1),),
    polls_list=True,
)

# When the scenarios begin and end, in virtual time.
EVENT_S = 20.0
OUTAGE_S = 8.0
STARTS_END_S = 20.0
END_S = 45.0
RELOAD_SPREAD_S = 2.0  # within which all sidecars reload


class Caller(Protocol):
    """What decides when a sidecar calls the service: `CallScheduler` or `TimeoutCaller`."""

    due_s: float

    def handle(self, now_s: float, event: Event) -> list[Action]:
        """Return the actions that an event causes."""


MakeCaller = Callable[[Random], Caller]


class TimeoutCaller:
    """Makes one call at a time and closes it after a timeout, without another call beside it.

    The timeout is `timeout_s`, or `reload_timeout_s` within 6 s of a reload; a call that fails then is retried.
    With 4.5 and 1.5 it behaves as the program did up to commit 9b6454f.
    """

    def __init__(self, timeout_s: float, reload_timeout_s: float) -> None:
        self.timeout_s, self.reload_timeout_s = timeout_s, reload_timeout_s
        self.due_s, self.reload_until_s = inf, -inf
        self.open_call, self.calls = 0, 0  # 0: no call is open

    def handle(self, now_s: float, event: Event) -> list[Action]:
        """Return the actions that an event causes."""
        match event:
            case ListWanted() if not self.open_call:
                return self._open(now_s)
            case ConfigReloaded():
                self.reload_until_s = now_s + RELOAD_RETRY_S
                closed: list[Action] = [CloseCall(self.open_call)] if self.open_call else []
                return closed + self._open(now_s)
            case WatchActive(call) if call == self.open_call:
                self.reload_until_s, self.due_s = -inf, now_s + WATCH_TIMEOUT_S
            case CompleteListReceived(call) if call == self.open_call:
                self.reload_until_s, self.due_s = -inf, now_s + self.timeout_s
            case CallEnded(call) if call == self.open_call:
                return self._failed(now_s)
            case Tick() if now_s >= self.due_s:
                if self.open_call:
                    return [CloseCall(self.open_call), *self._failed(now_s)]
                return self._open(now_s)
        return []

    def _open(self, now_s: float) -> list[Action]:
        self.calls += 1
        self.open_call = self.calls
        self.due_s = now_s + (self.reload_timeout_s if now_s < self.reload_until_s else self.timeout_s)
        return [OpenCall(self.open_call)]

    def _failed(self, now_s: float) -> list[Action]:
        self.open_call, self.due_s = 0, inf
        if now_s < self.reload_until_s:
            self.due_s = now_s + RETRY_DELAY_S
            return []
        return [AllCallsFailed()]


class EndpointListService(NamedTuple):
    """The service, which processes `rate_per_s` calls one after the other.

    A call that has waited `QUEUE_TIMEOUT_S` gets 503.  One that its caller has closed is processed all the same.
    From `down_from_s` to `up_from_s` all calls are refused at once or, with `delays_refusal`, after that timeout.  At
    other times the share `lost_share` of the calls never gets a response.
    """

    rate_per_s: float
    down_from_s: float = inf
    up_from_s: float = inf
    delays_refusal: bool = False
    lost_share: float = 0.0


class Fleet:
    """All sidecars and the service; times are seconds of virtual time, and a call is numbered by its sidecar."""

    def __init__(self, make_caller: MakeCaller, service: EndpointListService, seed: int) -> None:
        self.rng, self.now_s, self.service = Random(seed), 0.0, service
        self.scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self.scheduled_count = 0
        self.service_free_at_s = 0.0
        self.calls_at_s: list[float] = []  # when each call reached the service
        self.lists_at_s: list[list[float]] = [[] for _ in range(SIDECARS)]  # when each sidecar received a list
        self.closed: set[tuple[int, int]] = set()
        self.wants_complete_list = [False] * SIDECARS
        self.watching: list[int] = [0] * SIDECARS  # the call of each sidecar's watch, 0 for none
        self.callers = [make_caller(Random(f"{seed}/{i}")) for i in range(SIDECARS)]
        self.balancers = [Balancer(SETTINGS, seed * 1000 + i) for i in range(SIDECARS)]
        for i in range(SIDECARS):
            self.update_list(i, UpdateKind.CACHED)
            self.pass_event(i, ListWantedLater())
            self.schedule(self.rng.random() * TICK_S, partial(self.tick, i))

    def schedule(self, at_s: float, action: Callable[[], None]) -> None:
        """Call `action` at this time; actions of one time are called in the order in which they were scheduled."""
        self.scheduled_count += 1
        heapq.heappush(self.scheduled, (at_s, self.scheduled_count, action))

    def run(self, until_s: float) -> None:
        """Advance the virtual time."""
        while self.scheduled and self.scheduled[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self.scheduled)
            action()
        self.now_s = until_s

    # -- the sidecars

    def tick(self, i: int) -> None:
        """Pass a tick to a caller that is due."""
        self.schedule(self.now_s + TICK_S, partial(self.tick, i))
        if self.now_s >= self.callers[i].due_s:
            self.pass_event(i, Tick())

    def pass_event(self, i: int, event: Event) -> None:
        """Pass an event to a caller and perform its actions."""
        for action in self.callers[i].handle(self.now_s, event):
            match action:
                case OpenCall(call):
                    self.receive_call(i, call, self.wants_complete_list[i])
                case CloseCall(call):
                    self.closed.add((i, call))
                    if self.watching[i] == call:
                        self.watching[i] = 0
                case AllCallsFailed():
                    self.update_list(i, UpdateKind.FAILED)

    def update_list(self, i: int, kind: UpdateKind) -> None:
        """Pass the endpoint list to a balancer."""
        for action in self.balancers[i].handle(self.now_s * 1000, EndpointListUpdate(kind, 1, ENDPOINT_LIST)):
            self.perform(i, action)

    def perform(self, i: int, action: object) -> None:
        """Perform an action of a balancer."""
        if isinstance(action, SetTimer):
            self.schedule(self.now_s + action.delay_ms / 1000, partial(self.fire_timer, i, action.token))
        elif isinstance(action, WatchEndpointList):
            self.pass_event(i, ListWanted())

    def fire_timer(self, i: int, token: int) -> None:
        """Pass an expired timer to a balancer."""
        for action in self.balancers[i].handle(self.now_s * 1000, TimerFired(token)):
            self.perform(i, action)

    # -- the service

    def receive_call(self, i: int, call: int, is_complete_list: bool) -> None:
        """Queue a call at the service, or let it fail."""
        service = self.service
        self.calls_at_s.append(self.now_s)
        if service.down_from_s <= self.now_s < service.up_from_s:
            delay_s = QUEUE_TIMEOUT_S if service.delays_refusal else REFUSAL_S
            self.schedule(self.now_s + delay_s, partial(self.end_call, i, call))
            return
        if self.rng.random() < service.lost_share:
            return
        begins_at_s = max(self.service_free_at_s, self.now_s)
        if begins_at_s - self.now_s > QUEUE_TIMEOUT_S:
            self.schedule(self.now_s + QUEUE_TIMEOUT_S, partial(self.end_call, i, call))
            return
        self.service_free_at_s = begins_at_s + 1.0 / service.rate_per_s
        self.schedule(self.service_free_at_s, partial(self.respond, i, call, is_complete_list))

    def end_call(self, i: int, call: int) -> None:
        """End a call without a list."""
        if (i, call) not in self.closed:
            self.pass_event(i, CallEnded(call))

    def respond(self, i: int, call: int, is_complete_list: bool) -> None:
        """Send the list; a call for a complete list is followed by one for a watch."""
        if (i, call) in self.closed:
            return
        self.lists_at_s[i].append(self.now_s)
        self.update_list(i, UpdateKind.COMPLETE)
        if is_complete_list:
            self.wants_complete_list[i] = False
            self.pass_event(i, CompleteListReceived(call))
            self.receive_call(i, call, False)
            return
        self.watching[i] = call
        self.pass_event(i, WatchActive(call))
        self.heartbeat(i, call)

    def heartbeat(self, i: int, call: int) -> None:
        """Send the heartbeats of a watch until it ends."""
        if self.watching[i] == call:
            self.pass_event(i, WatchActive(call))
            self.schedule(self.now_s + HEARTBEAT_S, partial(self.heartbeat, i, call))

    # -- what the scenarios cause

    def end_watches(self) -> None:
        """End all watches."""
        for i in range(SIDECARS):
            call, self.watching[i] = self.watching[i], 0
            if call:
                self.pass_event(i, CallEnded(call))

    def silence_watches(self) -> None:
        """Leave all watches open without further heartbeats."""
        self.watching = [0] * SIDECARS

    def reload(self, i: int) -> None:
        """Reload the configuration of a sidecar, with another address of the service."""
        self.wants_complete_list[i], self.watching[i] = True, 0
        self.pass_event(i, ConfigReloaded(True))


class Result(NamedTuple):
    """Calls that the service received, and seconds until the sidecars received the list; infinite without one."""

    max_calls_in_second: float
    calls: float
    median_wait_s: float
    p99_wait_s: float
    max_wait_s: float


def summarize(fleet: Fleet, since_s: float, from_each_s: list[float] | None = None) -> Result:
    """Return the results from `since_s` on; each sidecar's wait counts from its time in `from_each_s` if given."""
    calls = [at_s for at_s in fleet.calls_at_s if at_s >= since_s]
    max_calls = max((bisect_right(calls, at_s + 1.0) - k for k, at_s in enumerate(calls)), default=0)
    from_each_s = from_each_s or [since_s] * SIDECARS
    waits_s = sorted(
        min((at_s - from_s for at_s in lists if at_s >= from_s), default=inf)
        for lists, from_s in zip(fleet.lists_at_s, from_each_s, strict=True)
    )
    return Result(max_calls, len(calls), waits_s[SIDECARS // 2], waits_s[SIDECARS * 99 // 100 - 1], waits_s[-1])


def simulate_starts(make_caller: MakeCaller, rate_per_s: float, seed: int) -> Result:
    """Start all sidecars at once."""
    fleet = Fleet(make_caller, EndpointListService(rate_per_s), seed)
    fleet.run(STARTS_END_S)
    return summarize(fleet, 0.0)


def simulate_outage(make_caller: MakeCaller, rate_per_s: float, delays_refusal: bool, seed: int) -> Result:
    """Interrupt the service for 8 s while all watch; calls count from the outage on, waits from its end."""
    service = EndpointListService(rate_per_s, EVENT_S, EVENT_S + OUTAGE_S, delays_refusal)
    fleet = Fleet(make_caller, service, seed)
    fleet.run(EVENT_S)
    fleet.end_watches()
    fleet.run(END_S)
    from_outage = summarize(fleet, EVENT_S)
    from_recovery = summarize(fleet, EVENT_S + OUTAGE_S)
    return from_recovery._replace(
        max_calls_in_second=from_outage.max_calls_in_second,
        calls=from_outage.calls,
    )


def simulate_reload(make_caller: MakeCaller, rate_per_s: float, lost_share: float, seed: int) -> Result:
    """Reload all sidecars within 2 s, with another address; waits count from each one's reload."""
    fleet = Fleet(make_caller, EndpointListService(rate_per_s), seed)
    fleet.run(EVENT_S)
    fleet.service, fleet.service_free_at_s = EndpointListService(rate_per_s, lost_share=lost_share), 0.0
    reloads_at_s = [EVENT_S + RELOAD_SPREAD_S * fleet.rng.random() for _ in range(SIDECARS)]
    for i, at_s in enumerate(reloads_at_s):
        fleet.schedule(at_s, partial(fleet.reload, i))
    fleet.run(END_S)
    return summarize(fleet, EVENT_S, reloads_at_s)


def simulate_silent_watches(make_caller: MakeCaller, rate_per_s: float, lost_share: float, seed: int) -> Result:
    """Silence all watches at once; of the calls that follow, the share `lost_share` never gets a response."""
    fleet = Fleet(make_caller, EndpointListService(rate_per_s), seed)
    fleet.run(EVENT_S)
    fleet.silence_watches()
    fleet.service = EndpointListService(rate_per_s, lost_share=lost_share)
    fleet.run(END_S)
    return summarize(fleet, EVENT_S)


def make_scheduler(rng: Random) -> Caller:
    """Return the program's call scheduler."""
    return CallScheduler(POLLED_POLICY, rng.random)


def make_hedging_scheduler(hedge_delay_s: float, rng: Random) -> Caller:
    """Return a call scheduler that opens a second call after another delay."""
    return CallScheduler(POLLED_POLICY._replace(hedge_delay_s=hedge_delay_s), rng.random)


def make_timeout_caller(timeout_s: float, reload_timeout_s: float, rng: Random) -> Caller:
    """Return a caller without a second call."""
    return TimeoutCaller(timeout_s, reload_timeout_s)


POLICIES: dict[str, MakeCaller] = {
    "gives up after 4.5 s, 1.5 s after SIGHUP (before)": partial(make_timeout_caller, TIMEOUT_S, RELOAD_TIMEOUT_S),
    "gives up after 4.5 s": partial(make_timeout_caller, TIMEOUT_S, TIMEOUT_S),
    "another beside after 1.5 s": partial(make_hedging_scheduler, 1.5),
    "as built": make_scheduler,
}
SCENARIOS: dict[str, tuple[Callable[..., Result], tuple[object, ...]]] = {  # each with its arguments
    "200 starts at once, 50 calls a second": (simulate_starts, (50.0,)),
    "200 starts at once, 400": (simulate_starts, (400.0,)),
    "outage of 8 s, refused at once, 50": (simulate_outage, (50.0, False)),
    "outage of 8 s, refused at once, 400": (simulate_outage, (400.0, False)),
    "outage of 8 s, 503 after 3 s, 50": (simulate_outage, (50.0, True)),
    "SIGHUP, 50": (simulate_reload, (50.0, 0.0)),
    "SIGHUP, 100": (simulate_reload, (100.0, 0.0)),
    "SIGHUP, 400": (simulate_reload, (400.0, 0.0)),
    "SIGHUP, 400, one call in ten lost": (simulate_reload, (400.0, 0.1)),
    "watches fall silent, 100": (simulate_silent_watches, (100.0, 0.0)),
    "watches fall silent, 400, one call in ten lost": (simulate_silent_watches, (400.0, 0.1)),
}


def main() -> None:
    """Print the table."""
    print(
        "| scenario | policy | calls in the worst second | calls | list in hand: median, s | 0.99, s | last, s |\n"
        "|---|---|---|---|---|---|---|"
    )
    with ProcessPoolExecutor() as pool:
        for name, (simulate, args) in SCENARIOS.items():
            for policy, make_caller in POLICIES.items():
                results = list(pool.map(partial(simulate, make_caller, *args), SEEDS))
                medians = Result(*(statistics.median(column) for column in zip(*results, strict=True)))
                row = medians._replace(max_wait_s=max(result.max_wait_s for result in results))
                cells = [f"{calls:.0f}" for calls in row[:2]] + [f"{wait_s:.1f}" for wait_s in row[2:]]
                print(f"| {name} | {policy} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
