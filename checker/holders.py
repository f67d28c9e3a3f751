"""Voters and candidates in virtual time, with failing links and differing clocks, and a store that checks fences.

A process has one clock for both of its machines, and a disk that takes `disk_ms` for a record.  A lease holder checks
its lease by its clock; `act_ms` later its write reaches the store with its fence, even if the lease has ended.
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
    """A store that accepts writes with fences and rejects fences below the highest that it has seen.

    Unlike the stand-in store it accepts one fence from two processes; detecting that is left to the tests.
    """

    def __init__(self) -> None:
        self.highest: dict[str, int] = {}
        self.taken: list[tuple[float, str, int, str]] = []  # time, task, fence, process
        self.refused: list[tuple[float, str, int, str]] = []

    def act(self, now: float, duty: str, fence: int, who: str) -> None:
        """Accept or reject a write."""
        if fence < self.highest.get(duty, 0):
            self.refused.append((now, duty, fence, who))
        else:
            self.highest[duty] = fence
            self.taken.append((now, duty, fence, who))


class Process(Node):
    """One sidecar: a candidate, and a voter if its name is among the voters."""

    def __init__(self, fleet: Holders, name: str) -> None:
        super().__init__(fleet.network)
        self.fleet, self.name = fleet, name
        self.settings = fleet.settings._replace(name=name)
        self.records: list[bytes] = []  # durable records
        self.voter: Voter | None = None
        self.incarnation = 0
        self.works: dict[str, int] = {}  # fence by task
        self._make(True)

    def begin(self, whole: bool = True) -> None:
        """Start a new process; `whole` is False if its disk is empty."""
        self._make(whole)
        self.up()

    def up(self) -> None:
        """Run the first timers of the machines."""
        self.tick()
        self.arm()

    def _make(self, whole: bool) -> None:
        self.incarnation += 1
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
        """Return when the next timer of either machine fires."""
        # 0.01 ms late: converted to another clock rate, a due time is rounded and might never be reached.
        return max(self.time(), min(self.candidate.due, self.voter.due if self.voter else 1e18)) + 0.01

    def tick(self) -> None:
        """Pass a tick to both machines."""
        if self.voter:
            self.act(self.voter.handle(self.time(), Tick()))
        self.act(self.candidate.handle(self.time(), Tick()))

    def want(self, *events: Event) -> None:
        """Pass events to the candidate."""
        for event in events:
            self.act(self.candidate.handle(self.time(), event))
        self.arm()

    def came(self, origin: str, data: bytes) -> None:
        """Pass a received message to the machine that it is for."""
        if isinstance(wire.decode(data), wire.VOTER_MESSAGES):
            if self.voter:
                self.act(self.voter.handle(self.time(), MessageReceived(origin, data)))
        else:
            self.act(self.candidate.handle(self.time(), MessageReceived(origin, data)))

    def act(self, actions: list[Action]) -> None:
        """Apply a machine's actions."""
        fleet, clock = self.fleet, self.network.clock
        for action in actions:
            if isinstance(action, SendMessage):
                fleet.carry(self, action)
            elif isinstance(action, StoreRecord):
                clock.later(fleet.disk_ms, partial(self._synced, self.incarnation, action))
            elif isinstance(action, LeaseAcquired | FenceRaised):
                fleet.holds.append((clock.now, action.task, action.fence, self.name))
                begun = action.task in self.works
                self.works[action.task] = action.fence
                if not begun:
                    self._work(self.incarnation, action.task)
            elif isinstance(action, StopWork | LeaseLost):
                self.works.pop(action.task, None)
                clock.later(fleet.end_ms, partial(self._ended, self.incarnation, action.task))

    def _synced(self, incarnation: int, action: StoreRecord) -> None:
        if incarnation == self.incarnation and not self.dead:
            self.records.append(action.record)
            self.arrive(partial(self._stored, action.number))

    def _stored(self, number: int) -> None:
        if self.voter:
            self.act(self.voter.handle(self.time(), RecordStored(number)))

    def _ended(self, incarnation: int, duty: str) -> None:
        if incarnation == self.incarnation and not self.dead:
            self.arrive(lambda: self.act(self.candidate.handle(self.time(), WorkEnded(duty))))

    def _work(self, incarnation: int, duty: str) -> None:
        """Check the lease, write `act_ms` later, and repeat until the task stops."""
        fleet, clock = self.fleet, self.network.clock
        if incarnation != self.incarnation or self.dead or duty not in self.works or not fleet.act_ms:
            return
        if not self.stopped and self.candidate.valid_lease(duty, self.time()):
            clock.later(fleet.act_ms, partial(self._write, incarnation, duty, self.works[duty]))
        clock.later(5 * fleet.act_ms, partial(self._work, incarnation, duty))

    def _write(self, incarnation: int, duty: str, fence: int) -> None:
        if incarnation != self.incarnation or self.dead:
            return
        if self.stopped:  # stopped between check and write: it writes once it is resumed
            self._receive_queue.append(partial(self.fleet.store.act, 0.0, duty, fence, self.name))
            return
        self.fleet.store.act(self.network.clock.now, duty, fence, self.name)

    def stop(self) -> None:
        """Stop the process as by SIGSTOP, just after it checked its leases."""
        super().stop()
        # A process that is stopped between check and write writes first when it is resumed.
        for duty, fence in self.works.items():
            if self.candidate.valid_lease(duty, self.time()):
                self._receive_queue.append(partial(self._write_on_resume, duty, fence))

    def _write_on_resume(self, duty: str, fence: int) -> None:
        self.fleet.store.act(self.network.clock.now, duty, fence, self.name)


class Holders:
    """`voters` voters v1.. and `others` further sidecars s1.., all with the same settings."""

    def __init__(
        self, voters: int = 3, others: int = 2, seed: int = 1, act_ms: float = 0.0, wall: int = WALL, **more: object
    ) -> None:
        self.wall = wall  # the candidates' wall clock, the lower bound of new fences
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
        """Send a message over the network; a process's messages to itself are neither counted nor lost."""
        to = self.processes[action.to]
        if to is sender:
            self.clock.later(0.0, lambda: to.arrive(partial(to.came, sender.name, action.data)))
            return
        self.sent["messages"] += 1
        self.sent["bytes"] += len(action.data)
        self.network.carry(sender.name, action.to, lambda: to.arrive(partial(to.came, sender.name, action.data)))

    def run(self, ms: float) -> None:
        """Advance the virtual time."""
        self.clock.run(self.clock.now + ms)

    def cut(self, names: Iterable[str]) -> None:
        """Partition these processes from all others."""
        inside = set(names)
        self.network.is_partitioned = lambda a, b: (a in inside) != (b in inside)

    def heal(self) -> None:
        """End a partition."""
        self.network.is_partitioned = lambda a, b: False

    def holders(self, duty: str) -> list[str]:
        """Return the processes whose lease of the task is valid, each by its own clock."""
        return [
            n for n, p in self.processes.items() if not p.dead and p.candidate.valid_lease(duty, p.time()) is not None
        ]

    def until_held(self, duty: str, within: float, but: str = "") -> float:
        """Run until a process other than `but` holds the task and return the elapsed ms.

        Raises AssertionError if there is none within the limit.
        """
        started_at = self.clock.now
        while self.clock.now - started_at < within:
            if any(n != but for n in self.holders(duty)):
                return self.clock.now - started_at
            self.run(1.0)
        raise AssertionError(f"nobody holds {duty!r} after {within:.0f} ms")


def fail_over(cause: str, seed: int, lease_ms: float = 2000.0) -> float:
    """Return the time from the holder's failure to the next holder, with three candidates, in lease lengths."""
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
