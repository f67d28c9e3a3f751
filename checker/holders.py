"""Voters and candidates in virtual time: real machines on links that fail and clocks that differ, and a store of
acts.

Each process has one clock for both of its machines, and a disk that takes `disk_ms` for a record.  A holder works: it
looks at its clock, and after `act_ms` its act comes to the store with its fence, whether or not it still holds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from functools import partial

from gateusher.leases import wire
from gateusher.leases.candidate import Candidate
from gateusher.leases.interface import (
    Acquire,
    Action,
    Event,
    FenceRaised,
    LeaseAcquired,
    LeaseLost,
    LeaseSettings,
    MessageReceived,
    RecordStored,
    SendMessage,
    StopWork,
    StoreRecord,
    Tick,
    Withdraw,
    WorkEnded,
    Yield,
)
from gateusher.leases.voter import Voter
from gateusher.leases.voter_state import RecoveredState
from gateusher.virtual.network import NO_TIMER_MS, Network, Node

WALL = 10**12


class Acts:
    """Takes acts with fences, and refuses lower ones than it has seen.

    Unlike the stand-in store it takes one fence from two: that two were given it is for the tests to see.
    """

    def __init__(self) -> None:
        self.highest: dict[str, int] = {}
        self.taken: list[tuple[float, str, int, str]] = []  # time, duty, fence, who
        self.refused: list[tuple[float, str, int, str]] = []

    def act(self, now: float, duty: str, fence: int, who: str) -> None:
        if fence < self.highest.get(duty, 0):
            self.refused.append((now, duty, fence, who))
        else:
            self.highest[duty] = fence
            self.taken.append((now, duty, fence, who))


class Process(Node):
    """One sidecar: a candidate, and a voter where it is one."""

    def __init__(self, fleet: Holders, name: str) -> None:
        super().__init__(fleet.network)
        self.fleet, self.name = fleet, name
        self.settings = fleet.settings._replace(name=name)
        self.records: list[bytes] = []  # that last
        self.voter: Voter | None = None
        self.life = 0
        self.works: dict[str, int] = {}  # duty: fence
        self._make(True)

    def begin(self, whole: bool = True) -> None:
        """A new process; `whole` is False for one whose disk is empty."""
        self._make(whole)
        self.up()

    def up(self) -> None:
        self.tick()
        self.arm()

    def _make(self, whole: bool) -> None:
        self.life += 1
        self.dead = self.stopped = False
        self.works.clear()
        if not whole:
            self.records = []
        rng, now = self.fleet.network.rng, self.time()
        wall = WALL + int(self.network.clock.now)
        if self.name in self.settings.all_voters:
            memory = RecoveredState(whole and bool(self.records), b"", tuple(self.records))
            self.voter = Voter(self.settings, memory, wall, rng.getrandbits(20), now)
        self.candidate = Candidate(
            self.settings, rng.getrandbits(60), rng.getrandbits(60), self.fleet.wall + wall - WALL, now
        )
        self._armed_for_ms = NO_TIMER_MS

    def due(self) -> float:
        # A little later than asked: at another rate a due time comes back rounded, and might never be reached.
        return max(self.time(), min(self.candidate.due, self.voter.due if self.voter else 1e18)) + 0.01

    def tick(self) -> None:
        if self.voter:
            self.act(self.voter.handle(self.time(), Tick()))
        self.act(self.candidate.handle(self.time(), Tick()))

    def want(self, *events: Event) -> None:
        for event in events:
            self.act(self.candidate.handle(self.time(), event))
        self.arm()

    def came(self, origin: str, data: bytes) -> None:
        if isinstance(wire.decode(data), wire.VOTER_MESSAGES):
            if self.voter:
                self.act(self.voter.handle(self.time(), MessageReceived(origin, data)))
        else:
            self.act(self.candidate.handle(self.time(), MessageReceived(origin, data)))

    def act(self, actions: list[Action]) -> None:
        fleet, clock = self.fleet, self.network.clock
        for action in actions:
            if isinstance(action, SendMessage):
                fleet.carry(self, action)
            elif isinstance(action, StoreRecord):
                clock.later(fleet.disk_ms, partial(self._lasts, self.life, action))
            elif isinstance(action, LeaseAcquired | FenceRaised):
                fleet.holds.append((clock.now, action.task, action.fence, self.name))
                begun = action.task in self.works
                self.works[action.task] = action.fence
                if not begun:
                    self._work(self.life, action.task)
            elif isinstance(action, StopWork | LeaseLost):
                self.works.pop(action.task, None)
                clock.later(fleet.end_ms, partial(self._ended, self.life, action.task))

    def _lasts(self, life: int, action: StoreRecord) -> None:
        if life == self.life and not self.dead:
            self.records.append(action.record)
            self.arrive(partial(self._stored, action.number))

    def _stored(self, number: int) -> None:
        if self.voter:
            self.act(self.voter.handle(self.time(), RecordStored(number)))

    def _ended(self, life: int, duty: str) -> None:
        if life == self.life and not self.dead:
            self.arrive(lambda: self.act(self.candidate.handle(self.time(), WorkEnded(duty))))

    def _work(self, life: int, duty: str) -> None:
        """Look, and act a moment later; again and again while the look says yes."""
        fleet, clock = self.fleet, self.network.clock
        if life != self.life or self.dead or duty not in self.works or not fleet.act_ms:
            return
        if not self.stopped and self.candidate.valid_lease(duty, self.time()):
            clock.later(fleet.act_ms, partial(self._does, life, duty, self.works[duty]))
        clock.later(5 * fleet.act_ms, partial(self._work, life, duty))

    def _does(self, life: int, duty: str, fence: int) -> None:
        if life != self.life or self.dead:
            return
        if self.stopped:  # between look and act: the act comes when it runs again
            self._receive_queue.append(partial(self.fleet.store.act, 0.0, duty, fence, self.name))
            return
        self.fleet.store.act(self.network.clock.now, duty, fence, self.name)

    def stop(self) -> None:
        super().stop()
        # Whoever is stopped just after its look acts as soon as it goes on, before anything else.
        for duty, fence in self.works.items():
            if self.candidate.valid_lease(duty, self.time()):
                self._receive_queue.append(partial(self._late, duty, fence))

    def _late(self, duty: str, fence: int) -> None:
        self.fleet.store.act(self.network.clock.now, duty, fence, self.name)


class Holders:
    """`voters` voters v1.. and `others` further sidecars s1.., all of one mind about the settings."""

    def __init__(
        self, voters: int = 3, others: int = 2, seed: int = 1, act_ms: float = 0.0, wall: int = WALL, **more: object
    ) -> None:
        self.wall = wall  # of the candidates, from which a fence may begin
        names = tuple(f"v{i + 1}" for i in range(voters))
        self.settings = LeaseSettings("", names, **more)  # type: ignore[arg-type]
        self.network = Network(seed)
        self.clock = self.network.clock
        self.disk_ms, self.end_ms, self.act_ms = 1.0, 1.0, act_ms
        self.sent: Counter[str] = Counter()
        self.holds: list[tuple[float, str, int, str]] = []
        self.store = Acts()
        self.processes = {name: Process(self, name) for name in (*names, *(f"s{i + 1}" for i in range(others)))}
        for process in self.processes.values():
            process.up()

    def carry(self, sender: Process, action: SendMessage) -> None:
        to = self.processes[action.to]
        if to is sender:
            self.clock.later(0.0, lambda: to.arrive(partial(to.came, sender.name, action.data)))
            return
        self.sent["messages"] += 1
        self.sent["bytes"] += len(action.data)
        self.network.carry(sender.name, action.to, lambda: to.arrive(partial(to.came, sender.name, action.data)))

    def run(self, ms: float) -> None:
        self.clock.run(self.clock.now + ms)

    def cut(self, names: Iterable[str]) -> None:
        """These hear nobody else, and nobody else hears them."""
        inside = set(names)
        self.network.is_partitioned = lambda a, b: (a in inside) != (b in inside)

    def heal(self) -> None:
        self.network.is_partitioned = lambda a, b: False

    def holders(self, duty: str) -> list[str]:
        """Who may begin an act on it now, each by its own clock."""
        return [
            n for n, p in self.processes.items() if not p.dead and p.candidate.valid_lease(duty, p.time()) is not None
        ]

    def until_held(self, duty: str, within: float, but: str = "") -> float:
        """Run until somebody (but this one) holds it; the ms that took.  Raises AssertionError for nobody in time."""
        began = self.clock.now
        while self.clock.now - began < within:
            if any(n != but for n in self.holders(duty)):
                return self.clock.now - began
            self.run(1.0)
        raise AssertionError(f"nobody holds {duty!r} after {within:.0f} ms")


def fail_over(cause: str, seed: int, lease_ms: float = 2000.0) -> float:
    """How long a duty that is wanted by three is held by nobody new after its holder fails, in lease lengths."""
    fleet = Holders(3, 3, seed, lease_ms=lease_ms)
    fleet.run(1.5 * lease_ms)
    for i in range(3):
        fleet.processes[f"s{i + 1}"].want(Acquire("x"))
    fleet.until_held("x", 4 * lease_ms)
    (first,) = fleet.holders("x")
    fleet.run(2 * lease_ms + fleet.network.rng.random() * lease_ms)
    holder = fleet.processes[first]
    if cause == "killed":
        holder.kill()
    elif cause == "stopped":
        holder.stop()
    elif cause == "cut off":
        fleet.cut([first])
    elif cause == "planned":
        holder.want(Withdraw("x"))
    elif cause == "given":
        holder.want(Yield("x"))
    elif cause == "voter gone":
        fleet.processes["v1"].kill()
        return fleet.until_held("x", 1.0) / lease_ms
    return fleet.until_held("x", 8 * lease_ms, first) / lease_ms
