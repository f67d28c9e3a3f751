"""Calls for the list by two hundred sidecars in virtual time: who gives up, who calls beside, who waits how long.

`python -m bench.calls` plays each scenario with ten seeds on all cores and prints the table that
docs/design/calls.md holds.  The balancer and the machine of calls are the program's own; the service is a stand-in:
it works through calls in turn, one that has waited `PATIENCE_S` is answered 503, and one that its caller has given up
is worked through all the same.  A whole list and the watch behind it are two calls.
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

SIDECARS, SEEDS, TICK_S, PATIENCE_S = 200, range(1, 11), 0.1, 3.0
LIST = (Endpoint(1, EndpointState.READY, 0, 0, 0, 1.0, 0.0),)
SETTINGS = Settings(
    classes=(ClassSettings(Effect.IDEMPOTENT, latency_objective_ms=640, deadline_ms=1670, priority_weight=1),),
    polls_list=True,
)


class Caller(Protocol):
    due_s: float

    def handle(self, now_s: float, event: Event) -> list[Action]: ...


class GivesUp:
    """One call at a time, given up after `first_s`; after a move after `moved_s`, and made again for 6 s.

    With 4.5 and 1.5 it is the program as it was up to 9b6454f.
    """

    def __init__(self, first_s: float, moved_s: float) -> None:
        self.first_s, self.moved_s = first_s, moved_s
        self.due_s, self.move_by = inf, -inf
        self.out, self.spoken, self.calls = 0, False, 0

    def handle(self, now_s: float, event: Event) -> list[Action]:
        match event:
            case ListWanted() if not self.out:
                return self._open(now_s)
            case ConfigReloaded():
                self.move_by = now_s + 6.0
                closed: list[Action] = [CloseCall(self.out)] if self.out else []
                return closed + self._open(now_s)
            case WatchActive(call) if call == self.out:
                self.move_by, self.due_s = -inf, now_s + 4.5
            case CompleteListReceived(call) if call == self.out:
                self.move_by, self.due_s = -inf, now_s + self.first_s
            case CallEnded(call) if call == self.out:
                return self._failed(now_s)
            case Tick() if now_s >= self.due_s:
                if self.out:
                    return [CloseCall(self.out), *self._failed(now_s)]
                return self._open(now_s)
        return []

    def _open(self, now_s: float) -> list[Action]:
        self.calls += 1
        self.out = self.calls
        self.due_s = now_s + (self.moved_s if now_s < self.move_by else self.first_s)
        return [OpenCall(self.out)]

    def _failed(self, now_s: float) -> list[Action]:
        self.out, self.due_s = 0, inf
        if now_s < self.move_by:
            self.due_s = now_s + 0.2
            return []
        return [AllCallsFailed()]


class Service(NamedTuple):
    """`rate` calls a second in turn.  From `down` to `up` all are refused, or say nothing until 503.  Of those that
    come when it is up, the part `lost` is never answered."""

    rate: float
    down: float = inf
    up: float = inf
    held: bool = False
    lost: float = 0.0


class Fleet:
    """All sidecars and the one service."""

    def __init__(self, make: Callable[[Random], Caller], service: Service, seed: int) -> None:
        self.rng, self.now, self.service = Random(seed), 0.0, service
        self.todo: list[tuple[float, int, Callable[[], None]]] = []
        self.count, self.free = 0, 0.0
        self.came: list[float] = []  # calls at the service, when each came
        self.lists: list[list[float]] = [[] for _ in range(SIDECARS)]  # when each sidecar got one
        self.closed: set[tuple[int, int]] = set()
        self.fresh = [False] * SIDECARS
        self.watching: list[int] = [0] * SIDECARS
        self.callers = [make(Random(f"{seed}/{i}")) for i in range(SIDECARS)]
        self.balancers = [Balancer(SETTINGS, seed * 1000 + i) for i in range(SIDECARS)]
        for i in range(SIDECARS):
            self.tell(i, UpdateKind.CACHED)
            self.give(i, ListWantedLater())
            self.at(self.rng.random() * TICK_S, partial(self.tick, i))

    def at(self, when: float, what: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.todo, (when, self.count, what))

    def run(self, until: float) -> None:
        while self.todo and self.todo[0][0] <= until:
            self.now, _, what = heapq.heappop(self.todo)
            what()
        self.now = until

    def tick(self, i: int) -> None:
        self.at(self.now + TICK_S, partial(self.tick, i))
        if self.now >= self.callers[i].due_s:
            self.give(i, Tick())

    def give(self, i: int, event: Event) -> None:
        for act in self.callers[i].handle(self.now, event):
            match act:
                case OpenCall(call):
                    self.call(i, call, self.fresh[i])
                case CloseCall(call):
                    self.closed.add((i, call))
                    if self.watching[i] == call:
                        self.watching[i] = 0
                case AllCallsFailed():
                    self.tell(i, UpdateKind.FAILED)

    def tell(self, i: int, kind: UpdateKind) -> None:
        for act in self.balancers[i].handle(self.now * 1000, EndpointListUpdate(kind, 1, LIST)):
            self.act(i, act)

    def act(self, i: int, act: object) -> None:
        if isinstance(act, SetTimer):
            self.at(self.now + act.delay_ms / 1000, partial(self.fired, i, act.token))
        elif isinstance(act, WatchEndpointList):
            self.give(i, ListWanted())

    def fired(self, i: int, token: int) -> None:
        for act in self.balancers[i].handle(self.now * 1000, TimerFired(token)):
            self.act(i, act)

    # -- the service

    def call(self, i: int, call: int, fresh: bool) -> None:
        self.came.append(self.now)
        if self.service.down <= self.now < self.service.up:
            self.at(self.now + (PATIENCE_S if self.service.held else 0.002), partial(self.over, i, call))
            return
        if self.rng.random() < self.service.lost:
            return
        begins = max(self.free, self.now)
        if begins - self.now > PATIENCE_S:
            self.at(self.now + PATIENCE_S, partial(self.over, i, call))
            return
        self.free = begins + 1.0 / self.service.rate
        self.at(self.free, partial(self.answer, i, call, fresh))

    def over(self, i: int, call: int) -> None:
        if (i, call) not in self.closed:
            self.give(i, CallEnded(call))

    def answer(self, i: int, call: int, fresh: bool) -> None:
        if (i, call) in self.closed:
            return
        self.lists[i].append(self.now)
        self.tell(i, UpdateKind.COMPLETE)
        if fresh:
            self.fresh[i] = False
            self.give(i, CompleteListReceived(call))
            self.call(i, call, False)
            return
        self.watching[i] = call
        self.give(i, WatchActive(call))
        self.heartbeat(i, call)

    def heartbeat(self, i: int, call: int) -> None:
        if self.watching[i] == call:
            self.give(i, WatchActive(call))
            self.at(self.now + 2.0, partial(self.heartbeat, i, call))

    def end_watches(self) -> None:
        for i in range(SIDECARS):
            call, self.watching[i] = self.watching[i], 0
            if call:
                self.give(i, CallEnded(call))

    def silence(self) -> None:
        self.watching = [0] * SIDECARS

    def move(self, i: int) -> None:
        self.fresh[i], self.watching[i] = True, 0
        self.give(i, ConfigReloaded(True))


def figures(fleet: Fleet, since: float, from_each: list[float] | None = None) -> list[float]:
    """Calls in the worst second, in all, and the times until the list is in hand: median, 0.99 of all, the last."""
    came = [t for t in fleet.came if t >= since]
    worst = max((bisect_right(came, t + 1.0) - k for k, t in enumerate(came)), default=0)
    starts = from_each or [since] * SIDECARS
    took = sorted(
        min((t - start for t in got if t >= start), default=inf)
        for got, start in zip(fleet.lists, starts, strict=True)
    )
    return [worst, len(came), took[SIDECARS // 2], took[SIDECARS * 99 // 100 - 1], took[-1]]


def starts(make: Callable[[Random], Caller], rate: float, seed: int) -> list[float]:
    fleet = Fleet(make, Service(rate), seed)
    fleet.run(20.0)
    return figures(fleet, 0.0)


def outage(make: Callable[[Random], Caller], rate: float, held: bool, seed: int) -> list[float]:
    """All have a watch; discovery is down from 20 to 28 s.  Times count from its return, calls from the outage on."""
    fleet = Fleet(make, Service(rate, 20.0, 28.0, held), seed)
    fleet.run(20.0)
    fleet.end_watches()
    fleet.run(45.0)
    calls = figures(fleet, 20.0)[:2]
    return calls + figures(fleet, 28.0)[2:]


def moved(make: Callable[[Random], Caller], rate: float, lost: float, seed: int) -> list[float]:
    """SIGHUP for all within 2 s, to another address; times count from each one's own."""
    fleet = Fleet(make, Service(rate), seed)
    fleet.run(20.0)
    fleet.service, fleet.free = Service(rate, lost=lost), 0.0
    at = [20.0 + 2.0 * fleet.rng.random() for _ in range(SIDECARS)]
    for i, when in enumerate(at):
        fleet.at(when, partial(fleet.move, i))
    fleet.run(45.0)
    return figures(fleet, 20.0, at)


def silent(make: Callable[[Random], Caller], rate: float, lost: float, seed: int) -> list[float]:
    """All watches fall silent at once; of the calls behind them the part `lost` is never answered."""
    fleet = Fleet(make, Service(rate), seed)
    fleet.run(20.0)
    fleet.silence()
    fleet.service = Service(rate, lost=lost)
    fleet.run(45.0)
    return figures(fleet, 20.0)


def now_as_it_is(rng: Random) -> Caller:
    return CallScheduler(POLLED_POLICY, rng.random)


def beside_at(step_s: float) -> Callable[[Random], Caller]:
    return partial(_beside, step_s)


def _beside(step_s: float, rng: Random) -> Caller:
    return CallScheduler(POLLED_POLICY._replace(hedge_delay_s=step_s), rng.random)


def gives_up(first_s: float, moved_s: float) -> Callable[[Random], Caller]:
    return partial(_gives_up, first_s, moved_s)


def _gives_up(first_s: float, moved_s: float, rng: Random) -> Caller:
    return GivesUp(first_s, moved_s)


POLICIES: dict[str, Callable[[Random], Caller]] = {
    "gives up after 4.5 s, 1.5 s after SIGHUP (before)": gives_up(4.5, 1.5),
    "gives up after 4.5 s": gives_up(4.5, 4.5),
    "another beside after 1.5 s": beside_at(1.5),
    "as built": now_as_it_is,
}
SCENARIOS: dict[str, tuple[Callable[..., list[float]], tuple[object, ...]]] = {
    "200 starts at once, 50 calls a second": (starts, (50.0,)),
    "200 starts at once, 400": (starts, (400.0,)),
    "outage of 8 s, refused at once, 50": (outage, (50.0, False)),
    "outage of 8 s, refused at once, 400": (outage, (400.0, False)),
    "outage of 8 s, 503 after 3 s, 50": (outage, (50.0, True)),
    "SIGHUP, 50": (moved, (50.0, 0.0)),
    "SIGHUP, 100": (moved, (100.0, 0.0)),
    "SIGHUP, 400": (moved, (400.0, 0.0)),
    "SIGHUP, 400, one call in ten lost": (moved, (400.0, 0.1)),
    "watches fall silent, 100": (silent, (100.0, 0.0)),
    "watches fall silent, 400, one call in ten lost": (silent, (400.0, 0.1)),
}


def main() -> None:
    print(
        "| scenario | policy | calls in the worst second | calls | list in hand: median, s | 0.99, s | last, s |\n"
        "|---|---|---|---|---|---|---|"
    )
    with ProcessPoolExecutor() as pool:
        for name, (play, args) in SCENARIOS.items():
            for policy, make in POLICIES.items():
                rows = list(pool.map(partial(play, make, *args), SEEDS))
                columns = [statistics.median(column) for column in zip(*rows, strict=True)]
                columns[4] = max(row[4] for row in rows)
                cells = [f"{v:.0f}" for v in columns[:2]] + [f"{v:.1f}" for v in columns[2:]]
                print(f"| {name} | {policy} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
