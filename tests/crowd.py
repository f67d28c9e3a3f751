"""Many balancers beside one fleet of small servers in virtual time, so that sums over all of them can be held.

A server works on one request at a time and has a few places to wait; beyond that it turns away at no cost.  What was
begun is finished, whoever still waits for it.  All times are milliseconds, all draws come from one seed.
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

FALL_MS, FALL_MULTIPLE = 1500.0, 2.5  # a cold server falls beyond so many times what it can do, for so long
WAY = 0.5  # one way between a client and a server
DIAL = 250.0  # until a dial to a server that is not there fails
CLASSES = (
    ClassSettings(Effect.IDEMPOTENT, latency_objective_ms=640, deadline_ms=1670, priority_weight=1),
    ClassSettings(Effect.IDEMPOTENT, latency_objective_ms=640, deadline_ms=2000, priority_weight=5),
    ClassSettings(Effect.NOT_IDEMPOTENT, latency_objective_ms=390, deadline_ms=840, priority_weight=2),
)
MIX = (0.62, 0.2, 0.18)


class Listing:
    """The service of the list: `rate` calls a second in turn, and one that waited `patience` ms has failed."""

    def __init__(self, crowd: Crowd, rate: float, patience: float = 2000.0) -> None:
        self.crowd, self.each, self.patience = crowd, 1000.0 / rate, patience
        self.free = 0.0  # when the last call in line will be through
        self.calls: list[float] = []  # when each came
        self.told: dict[int, float] = {}  # client: when it had its first list

    def call(self, i: int) -> None:
        crowd = self.crowd
        self.calls.append(crowd.now)
        begins = max(self.free, crowd.now)
        if begins - crowd.now > self.patience:  # it leaves the line, and cost the service nothing
            crowd.later(self.patience, lambda: crowd.tell(i, UpdateKind.FAILED, []))
            return
        self.free = begins + self.each
        crowd.later(self.free - crowd.now, lambda: self._answer(i))

    def _answer(self, i: int) -> None:
        self.told.setdefault(i, self.crowd.now)
        self.crowd.tell(i, UpdateKind.COMPLETE, [self.crowd.line(e) for e, box in self.crowd.boxes.items() if box.up])

    def worst_second(self) -> int:
        """The most calls in any second."""
        return max((bisect_right(self.calls, t + 1000.0) - i for i, t in enumerate(self.calls)), default=0)


class Arrival(NamedTuple):
    """A request that has come to a cold server: when, its work in ms, and whether its sender knew of the start."""

    at: float
    work: float
    told: bool


class Window(NamedTuple):
    """What came within some time: requests, those of the told, work in ms; and what could be done at its start."""

    sent: int
    told: int
    work: float
    able: float


class Box:
    """A server: one request at a time, `places` that wait.

    From `cold_from` on it does `share` of its usual work, rising to all of it within `warm_within` ms.
    """

    def __init__(
        self, eid: int, mean: float, places: int = 2, share: float = 0.3, warm_within: float = 8800.0, kind: int = 0
    ) -> None:
        self.eid, self.mean, self.places, self.kind = eid, mean, places, kind
        self.share, self.warm_within, self.cold_from = share, warm_within, -1e12
        self.asked: list[Arrival] = []  # while cold
        self.waiting: deque[tuple[Callable[[], None], float]] = deque()
        self.busy = False
        self.up = True

    def able(self, now: float) -> float:
        """The part of its usual work that it can do now."""
        return min(1.0, self.share + (1.0 - self.share) * (now - self.cold_from) / self.warm_within)

    def windows(self, length: float, since: float = 0.0) -> Iterator[Window]:
        """For each request to it while cold: the window of so many ms that ends there."""
        first, told, work = 0, 0, 0.0
        asked = [each for each in self.asked if each.at >= since]
        for last, each in enumerate(asked):
            told, work = told + each.told, work + each.work
            while asked[first].at < each.at - length:
                told, work = told - asked[first].told, work - asked[first].work
                first += 1
            yield Window(last - first + 1, told, work, self.able(max(self.cold_from, each.at - length)))

    def worst_window(self, length: float, since: float = 0.0) -> float:
        """The most work asked of it in a window of so many ms, over what it could do at the window's start."""
        return max((w.work / (w.able * length) for w in self.windows(length, since)), default=0.0)


class Crowd:
    """`clients` balancers with `rate` requests a second each, and `boxes` servers of `mean` ms of work each.

    `rate` may name each client's own.  `surge` multiplies what all are asked for, at any time.  Where `slower` is not
    1 every second server is of another kind, which takes so many times as long.
    """

    def __init__(
        self,
        clients: int,
        boxes: int,
        rate: float | Sequence[float],
        mean: float = 33.0,
        seed: int = 1,
        list_rate: float = 0.0,
        slower: float = 1.0,
        **more: object,
    ) -> None:
        self.rng, self.now = Random(seed), 0.0
        self.todo: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        kinds = (0, 1) if slower != 1.0 else (0, 0)
        self.boxes = {
            i: Box(i, mean * (slower if kinds[i % 2] else 1.0), kind=kinds[i % 2]) for i in range(1, boxes + 1)
        }
        self.rates = [rate] * clients if isinstance(rate, int | float) else list(rate)
        self.surge, self.rid = 1.0, 0
        self.knows: set[tuple[int, int]] = set()  # (client, server): it was told of the server's last start
        conf = {
            "max_attempts": 6,
            "idle_ms": 15000.0,
            "report_fields": ("waiting",),
            "clients": clients,
            "slow_start_share": 0.3,
            "slow_start_ms": 8800.0,
            "collapse_multiple": FALL_MULTIPLE,
            "collapse_window_ms": FALL_MS,
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
        self.sums: Counter[str] = Counter()  # what all have done together
        self.sent: Counter[int] = Counter()  # by server
        self.listing = Listing(self, list_rate) if list_rate else None
        for i in range(clients):  # all start at once; with a list that must be asked they know an old one
            self.tell(i, UpdateKind.CACHED if list_rate else UpdateKind.COMPLETE, [self.line(e) for e in self.boxes])
            self.later(self.rng.expovariate(self.rates[i]) * 1000, lambda i=i: self.arrive(i))

    def line(self, eid: int, state: EndpointState = EndpointState.READY, booted: float = 0.0) -> Endpoint:
        return Endpoint(eid, state, 0, eid, self.boxes[eid].kind, 1.0, booted)

    def later(self, wait: float, what: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.todo, (self.now + wait, self.count, what))

    def run(self, until: float) -> None:
        while self.todo and self.todo[0][0] <= until:
            self.now, _, what = heapq.heappop(self.todo)
            what()
        self.now = until

    def tell(self, i: int, kind: UpdateKind, lines: list[Endpoint]) -> None:
        self.act(i, self.clients[i].handle(self.now, EndpointListUpdate(kind, 1, tuple(lines))))

    def arrive(self, i: int) -> None:
        self.later(self.rng.expovariate(self.rates[i] * self.surge) * 1000, lambda: self.arrive(i))
        self.rid += 1
        cls = self.rng.choices(range(len(CLASSES)), MIX)[0]
        patience = CLASSES[cls].deadline_ms * 0.6
        self.open[i, self.rid] = cls, self.now
        self.sums["asked"] += 1
        self.act(i, self.clients[i].handle(self.now, Request(self.rid, cls, patience)))

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
                cls, _ = self.open.pop((i, act.request))
                self.sums["refused" if isinstance(act, Reject) else "failed"] += 1
                self.sums[f"lost {cls}"] += 1
            elif isinstance(act, WatchEndpointList) and self.listing:
                self.listing.call(i)

    def send(self, i: int, act: Send) -> None:
        number = self.attempts[i, act.request]
        self.attempts[i, act.request] += 1
        self.sums["sent"] += 1
        self.sent[act.endpoint] += 1
        box, began, over = self.boxes[act.endpoint], self.now, [False]
        able, known_cold = box.able(self.now), (i, act.endpoint) in self.knows

        def end(outcome: Outcome, report: tuple[float, ...] = ()) -> None:
            if over[0]:
                return
            over[0] = True
            self.sums[outcome.name] += 1
            known = self.open.get((i, act.request))
            if outcome is Outcome.OK and known:
                cls, came = self.open.pop((i, act.request))
                self.sums[f"served {cls}"] += self.now - came <= CLASSES[cls].latency_objective_ms
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
            self.later(WAY, lambda: end(Outcome.OK, (float(len(box.waiting)),)))

        def come() -> None:
            if box.up and able < 1.0:
                box.asked.append(Arrival(self.now, box.mean, known_cold))
            if not box.up:
                self.later(DIAL - WAY, lambda: end(Outcome.CONNECT_FAILED))
            elif box.busy and len(box.waiting) >= box.places:
                self.later(WAY, lambda: end(Outcome.REJECTED, (float(len(box.waiting)),)))
            else:
                took = self.rng.expovariate(1 / box.mean) / able
                box.waiting.append((lambda: done(took), took))
                self.work(box)

        self.later(WAY, come)
        self.later(act.expires_ms - self.now, lambda: end(Outcome.TIMEOUT))

    def lose(self, eids: list[int]) -> None:
        """These servers are gone without a word; what they had is lost with them."""
        for eid in eids:
            self.boxes[eid].up = False
            self.boxes[eid].waiting.clear()

    def bring_back(self, eids: list[int], told_after: float | None | Callable[[int], float | None]) -> None:
        """They return cold, and the list says so after a while (0.5 to 1.5 times as long), or never.

        As a function `told_after` says for each client when exactly.
        """
        for eid in eids:
            box = self.boxes[eid]
            box.up, box.cold_from = True, self.now
        self.knows -= {(i, eid) for i in range(len(self.clients)) for eid in eids}
        lines = [self.line(eid, booted=self.now) for eid in eids]

        def told(i: int) -> None:
            self.knows.update((i, eid) for eid in eids)
            self.tell(i, UpdateKind.CHANGES, lines)

        for i in range(len(self.clients)):
            if callable(told_after):
                wait = told_after(i)
            else:
                wait = None if told_after is None else told_after * (0.5 + self.rng.random())
            if wait is not None:
                self.later(wait, lambda i=i: told(i))  # type: ignore[misc]

    def replace(self, eids: list[int], told_after: Callable[[int], float | None]) -> None:
        """These servers are gone for good, and new ones, which no client knows, begin cold in their places."""
        self.lose(eids)
        fresh = [max(self.boxes) + 1 + n for n in range(len(eids))]
        for new, old in zip(fresh, eids, strict=True):
            box = self.boxes[old]
            self.boxes[new] = Box(new, box.mean, box.places, box.share, box.warm_within, box.kind)
        gone = [self.line(eid, EndpointState.REMOVED) for eid in eids]
        for i in range(len(self.clients)):
            if (wait := told_after(i)) is not None:
                self.later(wait, lambda i=i: self.tell(i, UpdateKind.CHANGES, gone))  # type: ignore[misc]
        self.bring_back(fresh, told_after)

    def work(self, box: Box) -> None:
        if box.busy or not box.waiting:
            return
        box.busy = True
        done, took = box.waiting.popleft()

        def finish() -> None:
            box.busy = False
            if box.up:
                done()
            self.work(box)

        self.later(took, finish)
