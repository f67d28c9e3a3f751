"""Voters and candidates for exploration: two candidates must never execute one singleton task at a time."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from gateusher.leases.candidate import Candidate
from gateusher.leases.interface import (
    Acquire,
    CheckpointSaved,
    DiskFailed,
    Event,
    FenceRaised,
    LeaseAcquired,
    LeaseLost,
    LeaseSettings,
    MessageReceived,
    RecordStored,
    SaveCheckpoint,
    SendMessage,
    StopWork,
    StoreRecord,
    Tick,
    WorkEnded,
    Yield,
)
from gateusher.leases.task_lease import State
from gateusher.leases.voter import Voter
from gateusher.leases.voter_state import RecoveredState
from gateusher.leases.wire import VoteReply, decode

from .three import ConstantRandom

LEASE_MS = 8000.0
MAX_IN_FLIGHT = 8  # beyond it the oldest message is lost
FAIR_MS = 12 * LEASE_MS


class Quorum:
    """`voters` voters and the candidates "a" and "b", which request the leases of the same singleton tasks.

    `may`: the maximum number of each fault on the path to a state.  `start`: "idle", or "held" by a.
    Beside the machines it records the global facts: the real time, the running tasks, and the highest fence held.
    """

    def __init__(self, start: str = "idle", voters: int = 3, duties: tuple[str, ...] = ("x",), **may: int) -> None:
        self.wanted = duties
        self.remaining = {
            "lose": 1,
            "double": 0,
            "restart": 1,
            "forget": 0,
            "anew": 0,
            "give": 0,
            "disk": 0,
            "mark": 0,
        } | may
        names = tuple(f"v{i + 1}" for i in range(voters))
        self.settings = {n: LeaseSettings(n, names, lease_ms=LEASE_MS, durable=True) for n in (*names, "a", "b")}
        self.now = 0.0
        self.voters: dict[str, Voter] = {}
        self.candidates: dict[str, Candidate] = {}
        self.start_counts = dict.fromkeys(self.settings, 0)
        self.synced: dict[str, list[bytes]] = {n: [] for n in names}  # synced records
        self.unsynced: dict[str, list[tuple[int, bytes]]] = {n: [] for n in names}
        self.in_flight: list[tuple[str, str, bytes]] = []
        self.working: dict[tuple[str, str], int] = {}  # by candidate and task: the fence of the running task
        self.until: dict[tuple[str, str], float] = {}  # its latest end, once it has to stop
        self.highest = dict.fromkeys(duties, 0)  # highest fence ever held
        self.saved = dict.fromkeys(duties, 0)  # the last checkpoint acknowledged as durable; checkpoints are numbered
        self.marks = 0
        self.holds = 0
        self.broken: list[str] = []
        for name in names:
            self._start_voter(name, whole=False)
        for name in ("a", "b"):
            self._start_candidate(name)
        self._run_fairly(3 * LEASE_MS)
        assert all(v.can_vote for v in self.voters.values()), "the voters never became able to vote"

        self._want("a")
        if start == "held":
            self._run_fairly(LEASE_MS / 2)
            assert self.working, "a never acquired the lease"
        self._want("b")

    def _want(self, name: str) -> None:
        for task in self.wanted:
            self._handle(name, Acquire(task))

    def _start_voter(self, name: str, whole: bool) -> None:
        self.start_counts[name] += 1
        records = tuple(self.synced[name])
        self.unsynced[name] = []
        self.voters[name] = Voter(
            self.settings[name], RecoveredState(whole, b"", records), 0, self.start_counts[name], self.now
        )
        self._handle(name, Tick())

    def _start_candidate(self, name: str) -> None:
        self.start_counts[name] += 1
        for task in self.wanted:
            self._end_task(name, task)
        instance = 1000 * (1 + list("ab").index(name)) + self.start_counts[name]
        machine = self.candidates[name] = Candidate(self.settings[name], instance, 1, -(10**12), self.now)
        machine.backoff.rng = ConstantRandom(1)

    # -- events

    def options(self) -> list[str]:
        """Return the texts of the possible events."""
        events = [f"{n} timer" for n in self.candidates]
        events += [f"{n} timer" for n, v in self.voters.items() if not v.state.trusted]
        for i, (sender, to, _) in enumerate(self.in_flight):
            events.append(f"{i} {sender}>{to} comes")
            if self.remaining["lose"]:
                events.append(f"{i} {sender}>{to} is lost")
            if self.remaining["double"]:
                events.append(f"{i} {sender}>{to} comes and stays")
        for name in self.voters:
            if self.unsynced[name]:
                events.append(f"{name} disk")
                if self.remaining["disk"]:
                    events.append(f"{name} disk fails")
            if self.remaining["restart"]:
                events.append(f"{name} restarts")
            if self.remaining["forget"]:
                events.append(f"{name} forgets")
        events += [f"{name} ends {task}" for name, task in self.until]
        if self.remaining["anew"]:
            events.append("a anew")
        for name, machine in self.candidates.items():
            for task, d in machine.tasks.items():
                if self.remaining["give"] and d.state is State.HELD:
                    events.append(f"{name} gives {task}")
                if self.remaining["mark"] and d.state is State.HELD:
                    events.append(f"{name} marks {task}")
        return events

    def _end_task(self, name: str, task: str) -> None:
        self.working.pop((name, task), None)
        self.until.pop((name, task), None)

    def take(self, event: str) -> None:
        """Execute the event of this text."""
        name, _, what = event.partition(" ")
        if what == "timer":
            machine = self._machine(name)
            self.now = max(self.now, machine.due)
            self._handle(name, Tick())
        elif what == "disk":
            self._sync(name)
        elif what == "disk fails":
            self.remaining["disk"] -= 1
            self._handle(name, DiskFailed("EIO"))
        elif what in ("restarts", "forgets"):
            self.remaining["restart" if what == "restarts" else "forget"] -= 1
            if what == "forgets":
                self.synced[name] = []
            self._start_voter(name, whole=what == "restarts")
        elif what.startswith("ends"):
            self._end_task(name, what[5:])
            self._handle(name, WorkEnded(what[5:]))
        elif what == "anew":
            self.remaining["anew"] -= 1
            self._start_candidate(name)
            self._want(name)
        elif what.startswith("marks"):
            self.remaining["mark"] -= 1
            self.marks += 1
            self._handle(name, SaveCheckpoint(what[6:], b"%d" % self.marks))
        elif what.startswith("gives"):
            self.remaining["give"] -= 1
            self._handle(name, Yield(what[6:]))
        else:
            index = int(name)
            sender, to, data = self.in_flight[index]
            if what.endswith("and stays"):
                self.remaining["double"] -= 1
            else:
                del self.in_flight[index]
            if what.endswith("lost"):
                self.remaining["lose"] -= 1
            else:
                self._handle(to, MessageReceived(sender, data))
        self._check()

    def _machine(self, name: str) -> Any:
        return self.voters.get(name) or self.candidates[name]

    def _sync(self, name: str) -> None:
        number, record = self.unsynced[name].pop(0)
        self.synced[name].append(record)
        self._handle(name, RecordStored(number))

    def _handle(self, name: str, event: Event) -> None:
        for action in self._machine(name).handle(self.now, event):
            if isinstance(action, SendMessage):
                if action.to != name:
                    self.in_flight.append((name, action.to, action.data))
            elif isinstance(action, StoreRecord):
                self.unsynced[name].append((action.number, action.record))
            elif isinstance(action, LeaseAcquired | FenceRaised):
                self._on_acquired(name, action)
            elif isinstance(action, CheckpointSaved):
                self.saved[action.task] = max(self.saved[action.task], int(action.value))
            elif isinstance(action, LeaseLost):
                self._end_task(name, action.task)  # a running task checks the clock before each write
            elif isinstance(action, StopWork):
                self.until[name, action.task] = action.until_ms
        del self.in_flight[:-MAX_IN_FLIGHT]
        self._check()

    def _on_acquired(self, name: str, action: LeaseAcquired | FenceRaised) -> None:
        task, highest = action.task, self.highest[action.task]
        if action.fence <= highest:
            self.broken.append(f"{name} holds {task} under fence {action.fence}, and {highest} was held before")
        self.highest[task] = max(highest, action.fence)
        if isinstance(action, LeaseAcquired):
            self.holds += 1
            self.working[name, task] = action.fence
            if int(action.checkpoint or 0) < self.saved[task]:
                self.broken.append(
                    f"{name} receives checkpoint {action.checkpoint!r} of {task}, but {self.saved[task]} is durable"
                )
            self.until.pop((name, task), None)

    def _check(self) -> None:
        able = [task for name, task in self.working if self._may_work(name, task)]
        if len(set(able)) < len(able):
            self.broken.append("a and b both may work")

    def _may_work(self, name: str, task: str) -> bool:
        """Return whether the task may write: while its lease is valid or, after a stop, until the given time."""
        if (name, task) in self.until:
            return self.now < self.until[name, task]
        return self.candidates[name].valid_lease(task, self.now) is not None

    # -- canonical state

    def form(self) -> object:
        """Return the canonical state, with times relative to now in steps of 500 ms."""
        now = self.now

        def left(at: float) -> int:
            return round(max(-1.0, min(at, 1e12) - now) / 500)

        candidates = []
        for name, c in self.candidates.items():
            duties = [
                (
                    d.state.value,
                    d.fence,
                    d.target_fence,
                    d.round,
                    sorted(d.grants.items()),
                    sorted(d.stale_voters),
                    sorted((v, a.verdict, a.fence, a.wait_ms // 500) for v, a in d.replies.items()),
                    sorted(d.released_by.items()),
                    d.highest_seen_fence,
                    (d.checkpoint.fence, d.checkpoint.number, d.checkpoint.value),
                    d.checkpoint.unsaved_number,
                    sorted(d.checkpoint.saved_by),
                    left(d.timer_at_ms),
                    left(d.work_ends_ms),
                    left(d.not_before_ms),
                    d.recent_losses,
                    min(d.attempts, 3),
                    self.working.get((name, task)),
                    left(self.until.get((name, task), -1e18)),
                )
                for task, d in c.tasks.items()
            ]
            views = sorted(
                (v, w.session, left(w.end_ms), w.previous_session, left(w.previous_end_ms))
                for v, w in c.sessions.by_voter.items()
            )
            candidates.append(
                (duties, views, sorted(c.renewals.unacknowledged_releases.items()), left(c.renewals.next_ms))
            )
        voters = [
            (
                sorted(v.state.grants.items()),
                sorted(v.state.checkpoints.items()),
                v.state.fence_floor,
                v.state.trusted,
                v.disk_error,
                v.can_vote,
                sorted(map(repr, v.waiters.items())),
                sorted((k, s.number, left(s.expires_ms), sorted(s.tasks)) for k, s in v.sessions.sessions.items()),
                left(v.grants_from_ms),
                len(self.unsynced[name]),
                len(self.synced[name]),
                sorted(v.output.pending),
            )
            for name, v in self.voters.items()
        ]
        flying = sorted((s, t, self._read(d)) for s, t, d in self.in_flight)
        return candidates, voters, flying, sorted(self.remaining.items()), self.highest

    @staticmethod
    def _read(data: bytes) -> str:
        message = decode(data)
        if isinstance(message, VoteReply):
            return f"{message.verdict} {message.round} {message.fence} {message.session} {message.wait_ms // 500}"
        return repr(message)

    # -- fair runs

    def settles(self) -> list[str]:
        """Execute a fair run and return the violations after it."""
        self._run_fairly(FAIR_MS)
        held = {task for name, task in self.working if self._may_work(name, task)}
        return self.broken or [f"nobody holds {task} in the end" for task in self.wanted if task not in held]

    def _run_fairly(self, length: float) -> None:
        """Run without faults: messages, disk writes and task ends are immediate, and timers fire on time."""
        end = self.now + length
        while not self.broken:
            if any(self.unsynced.values()):
                for name in self.voters:
                    while self.unsynced[name]:
                        self._sync(name)
            elif self.in_flight:
                sender, to, data = self.in_flight.pop(0)
                self._handle(to, MessageReceived(sender, data))
            elif self.until:
                name, task = next(iter(self.until))
                self.take(f"{name} ends {task}")
            else:
                due, name = min((self._machine(n).due, n) for n in (*self.voters, *self.candidates))
                if due > end:
                    self.now = end
                    return
                self.now = max(self.now, due)
                self._handle(name, Tick())


def walk(make: Callable[[], Quorum], seed: int, steps: int, settle: bool = True) -> tuple[list[str], list[str], int]:
    """Run a random execution; return its trace, its violations, and how often a lease was acquired."""
    world, rng = make(), Random(seed)
    trace: list[str] = []
    for _ in range(steps):
        events = world.options()
        # Most messages arrive, and timers rarely fire before the messages in flight.
        weights = [
            4.0
            if w.endswith(("comes", "disk"))
            else 1.0
            if w.split()[1] in ("ends", "gives", "marks")
            else 0.3
            if w.endswith("timer")
            else 0.25
            if w.endswith("lost")
            else 0.15
            for w in events
        ]
        event = rng.choices(events, weights)[0]
        trace.append(event)
        world.take(event)
        if world.broken:
            return trace, world.broken, world.holds
    return trace, world.settles() if settle else [], world.holds
