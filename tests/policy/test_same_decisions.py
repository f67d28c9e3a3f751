"""The balancer makes the same decisions as before its code was split and renamed.

Each case feeds thousands of random events to a balancer (settings changes, gossip hints, uploads, resumed processes,
health checks, timers, client disconnects, endpoint lists of all kinds) and computes a digest of all its actions.  The
digest covers only the position of an action's type and its field values, so a rename can't change it.

The expected digests were computed by this file's `digest`.  They are those of the balancer of commit ccd77f2, renewed
when admission control began to admit a trial request.
"""

import dataclasses
import hashlib
import heapq
from random import Random
from typing import Any

import pytest

from gateusher.policy import Balancer, interface

ACTIONS = tuple(
    getattr(interface, name)
    for name in (
        "Send",
        "Reject",
        "Fail",
        "Cancel",
        "SetTimer",
        "HealthCheck",
        "CloseIdleConnections",
        "WatchEndpointList",
    )
)
FAILED_OUTCOMES = (1, 2, 2, 2, 3, 3, 4, 5, 6, 7)
EVENTS_PER_CASE = 4000

EXPECTED: dict[tuple[int, int], str] = {
    (0, 1): "ba0b114c09c9818b",
    (0, 2): "553aab217f677a10",
    (1, 1): "13a0f02548a0b203",
    (1, 2): "afdc5bd452d0fc3d",
    (2, 1): "e27c7bcea500550b",
    (2, 2): "c8070cf8a4ff2b5b",
    (3, 1): "fb84e96e41ef5875",
    (3, 2): "7d2a85e3395933e3",
    (4, 1): "2ef44b7d5fc91e69",
    (4, 2): "51b51f213a3570f7",
    (5, 1): "9ccd8443e955b5bb",
    (5, 2): "6aec09717710e3d4",
}


def draw_class(rng: Random) -> interface.ClassSettings:
    """Draw the settings of a request class, with the fields in the order of their declaration."""
    objective_ms = rng.choice([100.0, 500.0, 1200.0])
    return interface.ClassSettings(
        interface.Effect(rng.choice(["safe", "keyed", "unsafe"])),
        objective_ms,
        objective_ms * rng.choice([2.0, 3.0]),
        rng.choice([1.0, 2.0, 5.0]),
        rng.choice([0.0, 0.0, 0.5]),
        interface.DeduplicationScope(rng.choice(["all", "zone", "cell"])),
        rng.choice([400.0, 5000.0]),
        rng.random() < 0.2,
        rng.choice([0.0, 1.0]),
    )


def draw_settings(rng: Random) -> interface.Settings:
    """Draw the settings of one case."""
    fields = [f.name for f in dataclasses.fields(interface.Settings)]
    values: list[Any] = [
        tuple(draw_class(rng) for _ in range(rng.choice([1, 3, 5]))),
        rng.randrange(3),
        rng.choice([1, 30]),
        rng.randrange(2),
        2,
        rng.choice([1, 2]),
        (),
        1.0,
        interface.Prices(rng.choice([0.0, 0.05]), 0.01, 0.02, 0.08, 0.08, 0.08),
        rng.choice([1.0, 5.0]),
        rng.choice([2, 3, 6]),
        rng.random() < 0.7,
        rng.random() < 0.7,
        rng.random() < 0.7,
        rng.random() < 0.7,
        rng.choice([0.0, 2000.0]),
        250.0,
        rng.choice([1000.0, 15000.0]),
        ("waiting",) if rng.random() < 0.7 else (),
        rng.random() < 0.5,
        rng.random() < 0.5,
        rng.random() < 0.5,
        rng.random() < 0.5,
        rng.random() < 0.6,
        10000.0,
        1000.0,
        0.3,
        rng.choice([2000.0, 8800.0]),
        2.5,
        1500.0,
    ]
    assert len(values) == len(fields)
    return interface.Settings(*values)


class SimulatedEnvironment:
    """Simulates the clients, endpoints and endpoint list of one balancer, with random numbers from one seed."""

    def __init__(self, case: int, seed: int) -> None:
        self.rng = Random(f"{case}/{seed}")
        self.settings = draw_settings(self.rng)
        self.balancer = Balancer(self.settings, seed)
        self.digest = hashlib.sha256()
        self.now_ms = 0.0
        size = self.rng.choice([2, 5, 12, 60])
        self.next_id = size + 1
        self.endpoints: dict[int, list[Any]] = {n: self.draw_entry(n) for n in range(1, self.next_id)}
        self.queue: list[tuple[float, int, Any]] = []
        self.scheduled = 0
        self.version = 1
        self.requests = 0
        self.attempts: dict[int, int] = {}
        self.live_classes = tuple(range(len(self.settings.classes)))
        self.mean_gap_ms = self.rng.choice([2.0, 10.0, 60.0])
        self.failure_share = self.rng.choice([0.01, 0.05, 0.2, 0.6])
        self.mean_elapsed_ms = self.rng.choice([5.0, 20.0, 80.0])

    def draw_entry(self, number: int, started_ms: float = 0.0) -> list[Any]:
        rng = self.rng
        return [
            number,
            interface.EndpointState(1),
            rng.randrange(2),
            rng.randrange(3),
            rng.randrange(2) % self.settings.kinds,
            rng.choice([0.5, 1.0, 2.0]),
            started_ms,
        ]

    def schedule(self, delay_ms: float, event: Any) -> None:
        self.scheduled += 1
        heapq.heappush(self.queue, (self.now_ms + max(0.0, delay_ms), self.scheduled, event))

    def handle(self, event: Any) -> None:
        """Pass one event to the balancer, add the resulting actions to the digest and perform them."""
        try:
            actions = self.balancer.handle(self.now_ms, event)
        except IndexError as error:
            self.digest.update(type(error).__name__.encode())
            return
        for action in actions:
            row = (ACTIONS.index(type(action)), *(float(value) for value in action))
            self.digest.update(repr(row).encode())
            self.perform(action)
        self.digest.update(b";")

    def perform(self, action: Any) -> None:
        kind, rng = ACTIONS.index(type(action)), self.rng
        if kind == 0:
            self.send_attempt(action)
        elif kind == 4:
            self.schedule(action[1], interface.TimerFired(action[0]))
        elif kind == 5:
            report = (float(rng.randrange(6)),) if rng.random() < 0.8 else ()
            self.schedule(5.0, interface.HealthCheckEnded(action[0], 5.0, interface.Outcome(0), report))
        elif kind == 7 and rng.random() < 0.5:
            self.schedule(rng.random() * 300, self.complete_list(interface.UpdateKind(3)))
        elif kind == 7:
            self.schedule(rng.random() * 300, interface.EndpointListUpdate(interface.UpdateKind(2), 0, ()))

    def send_attempt(self, action: Any) -> None:
        rng, request = self.rng, action[0]
        attempt = self.attempts.get(request, 0)
        self.attempts[request] = attempt + 1
        if rng.random() < 0.02:
            self.schedule(rng.random() * 100, interface.ClientDisconnected(request))
        outcome = rng.choice(FAILED_OUTCOMES) if rng.random() < self.failure_share else 0
        elapsed_ms = 2.0 + rng.expovariate(1 / self.mean_elapsed_ms)
        if outcome == 3 or elapsed_ms > action[2] - self.now_ms:
            outcome, elapsed_ms = 3, action[2] - self.now_ms
        if outcome == 0 and rng.random() < 0.2:
            self.schedule(elapsed_ms / 2, interface.ResponseStarted(request, attempt, action[1], elapsed_ms / 2))
        report = (float(rng.randrange(8)),) if outcome in (0, 2) and rng.random() < 0.7 else ()
        closed = outcome == 0 or rng.random() < 0.02
        self.schedule(
            elapsed_ms,
            interface.AttemptEnded(
                request, attempt, action[1], elapsed_ms, interface.Outcome(outcome), closed, report
            ),
        )

    def complete_list(self, kind: Any) -> Any:
        self.version += 1
        return interface.EndpointListUpdate(
            kind, self.version, tuple(interface.Endpoint(*e) for e in self.endpoints.values())
        )

    def change_list(self) -> None:
        """Drain, remove, restart or add an endpoint; at least one stays ready."""
        rng = self.rng
        number = rng.choice(list(self.endpoints))
        entry = self.endpoints[number]
        what = rng.randrange(4)
        ready = [n for n, e in self.endpoints.items() if e[1] == 1 and n != number]
        if what == 0 and len(ready) > 1:
            entry[1] = interface.EndpointState(2)
        elif what == 1 and len(ready) > 1:
            entry[1] = interface.EndpointState(0)
            del self.endpoints[number]
        elif what == 2:
            entry[1], entry[6] = interface.EndpointState(1), self.now_ms - rng.choice([0.0, 500.0, -100.0])
        else:
            number, self.next_id = self.next_id, self.next_id + 1
            entry = self.endpoints[number] = self.draw_entry(number, self.now_ms)
        self.version += 1
        self.handle(
            interface.EndpointListUpdate(interface.UpdateKind(1), self.version, (interface.Endpoint(*entry),))
        )

    def change_settings(self) -> None:
        """Change the settings: replace and retire some classes, and forbid retries of some."""
        rng = self.rng
        old = self.settings.classes
        classes = list(old)
        replaced: list[tuple[int, int | None]] = []
        live = set(self.live_classes)
        if len(classes) < 12:
            predecessor = rng.choice(sorted(live))
            classes.append(draw_class(rng))
            replaced.append((len(classes) - 1, predecessor if rng.random() < 0.6 else None))
            live.add(len(classes) - 1)
            if len(live) > 1:
                live.discard(predecessor)
        never = frozenset(n for n in range(len(classes)) if rng.random() < 0.2)
        attempts_field = dataclasses.fields(interface.Settings)[10].name
        changed: Any = {"classes": tuple(classes), attempts_field: rng.choice([1, 3, 6])}
        self.settings = dataclasses.replace(self.settings, **changed)
        self.live_classes = tuple(sorted(live))
        self.handle(interface.SettingsChanged(self.settings, tuple(replaced), self.live_classes, never))

    def hint(self) -> None:
        rng = self.rng
        state = interface.EndpointState(rng.choice([0, 1, 2, 2]))
        number = rng.choice([*self.endpoints, 9999])
        started_ms = self.now_ms - rng.choice([0.0, 800.0])
        self.handle(interface.GossipHint(number, state, self.version + rng.choice([-1, 0, 1, 2]), started_ms))

    def request(self) -> None:
        rng = self.rng
        self.requests += 1
        upload_ms = rng.choice([0.0, 0.0, 0.0, 400.0])
        event = interface.Request(
            self.requests,
            rng.choice(self.live_classes),
            rng.choice([40.0, 400.0, 3000.0, 3000.0]),
            rng.randrange(20),
            0,
            rng.choice([0.0, 30.0]),
            rng.random() < 0.1,
            rng.random() < 0.3,
            upload_ms,
        )
        self.handle(event)
        if upload_ms:
            self.schedule(rng.random() * upload_ms, interface.UploadCompleted(self.requests))

    def spontaneous_event(self) -> None:
        """Cause a random event: list, hint, settings, resumed process, unrequested health check or unknown timer."""
        rng = self.rng
        what = rng.randrange(12)
        if what < 4:
            self.change_list()
        elif what < 6:
            self.hint()
        elif what == 6:
            self.change_settings()
        elif what == 7:
            gap_ms = rng.choice([100.0, 3000.0])
            self.now_ms += gap_ms
            self.handle(interface.ProcessResumed(gap_ms))
        elif what == 8:
            self.handle(self.complete_list(interface.UpdateKind(rng.choice([0, 3]))))
        elif what == 9:
            self.handle(interface.EndpointListUpdate(interface.UpdateKind(2), 0, ()))
        elif what == 10:
            number = rng.choice(list(self.endpoints))
            self.handle(interface.HealthCheckEnded(number, 9.0, interface.Outcome(rng.choice([0, 3])), (3.0,)))
        else:
            self.handle(interface.TimerFired(rng.choice([-1, 0, 10**6])))

    def run(self, events: int) -> str:
        """Simulate this many requests and spontaneous events, and return the digest of all actions."""
        rng = self.rng
        self.handle(self.complete_list(interface.UpdateKind(0)))
        for _ in range(events):
            until_ms = self.now_ms + rng.expovariate(1 / self.mean_gap_ms)
            while self.queue and self.queue[0][0] <= until_ms:
                self.now_ms, _, event = heapq.heappop(self.queue)
                self.handle(event)
            self.now_ms = max(self.now_ms, until_ms)
            if rng.random() < 0.05:
                self.spontaneous_event()
            else:
                self.request()
        return self.digest.hexdigest()[:16]


def digest(case: int, seed: int) -> str:
    return SimulatedEnvironment(case, seed).run(EVENTS_PER_CASE)


@pytest.mark.parametrize(("case", "seed"), list(EXPECTED))
def test_decisions_are_unchanged(case: int, seed: int) -> None:
    assert digest(case, seed) == EXPECTED[case, seed]
