"""Voters and candidates for the search of every order, and for long walks: two must never work on one duty."""

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

from .three import Plain

LEASE_MS = 8000.0
MOST_IN_FLIGHT = 8  # beyond that the oldest is lost
FAIR_MS = 12 * LEASE_MS


class Quorum:
    """`voters` voters and candidates "a" and "b", who want the same duties.

    `may`: how often each failure may happen on the way to a state.  `start`: "idle" or "held", by a.
    Beside the machines it keeps what only it can know: the real time, who works, and each fence that was ever held.
    """

    def __init__(self, start: str = "idle", voters: int = 3, duties: tuple[str, ...] = ("x",), **may: int) -> None:
        self.wanted = duties
        self.may = {
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
        self.lives = dict.fromkeys(self.settings, 0)
        self.lasting: dict[str, list[bytes]] = {n: [] for n in names}  # what the disk has
        self.unsynced: dict[str, list[tuple[int, bytes]]] = {n: [] for n in names}
        self.flight: list[tuple[str, str, bytes]] = []
        self.working: dict[tuple[str, str], int] = {}  # candidate and duty: the fence that it works under
        self.until: dict[tuple[str, str], float] = {}  # and until when, once it is told to stop
        self.highest = dict.fromkeys(duties, 0)  # fence ever held
        self.marked = dict.fromkeys(duties, 0)  # the last mark that was said to last; they are counted
        self.marks = 0
        self.holds = 0
        self.broken: list[str] = []
        for name in names:
            self._begin_voter(name, whole=False)
        for name in ("a", "b"):
            self._begin_candidate(name)
        self._fair(3 * LEASE_MS)
        assert all(v.can_vote for v in self.voters.values()), "the voters never began"

        self._want("a")
        if start == "held":
            self._fair(LEASE_MS / 2)
            assert self.working, "a never held it"
        self._want("b")

    def _want(self, name: str) -> None:
        for duty in self.wanted:
            self._give(name, Acquire(duty))

    def _begin_voter(self, name: str, whole: bool) -> None:
        self.lives[name] += 1
        records = tuple(self.lasting[name])
        self.unsynced[name] = []
        self.voters[name] = Voter(
            self.settings[name], RecoveredState(whole, b"", records), 0, self.lives[name], self.now
        )
        self._give(name, Tick())

    def _begin_candidate(self, name: str) -> None:
        self.lives[name] += 1
        for duty in self.wanted:
            self._rest(name, duty)
        instance = 1000 * (1 + list("ab").index(name)) + self.lives[name]
        machine = self.candidates[name] = Candidate(self.settings[name], instance, 1, -(10**12), self.now)
        machine.backoff.rng = Plain(1)

    # -- what can happen

    def options(self) -> list[str]:
        words = [f"{n} timer" for n in self.candidates]
        words += [f"{n} timer" for n, v in self.voters.items() if not v.state.trusted]
        for i, (sender, to, _) in enumerate(self.flight):
            words.append(f"{i} {sender}>{to} comes")
            if self.may["lose"]:
                words.append(f"{i} {sender}>{to} is lost")
            if self.may["double"]:
                words.append(f"{i} {sender}>{to} comes and stays")
        for name in self.voters:
            if self.unsynced[name]:
                words.append(f"{name} disk")
                if self.may["disk"]:
                    words.append(f"{name} disk fails")
            if self.may["restart"]:
                words.append(f"{name} restarts")
            if self.may["forget"]:
                words.append(f"{name} forgets")
        words += [f"{name} ends {duty}" for name, duty in self.until]
        if self.may["anew"]:
            words.append("a anew")
        for name, machine in self.candidates.items():
            for duty, d in machine.tasks.items():
                if self.may["give"] and d.state is State.HELD:
                    words.append(f"{name} gives {duty}")
                if self.may["mark"] and d.state is State.HELD:
                    words.append(f"{name} marks {duty}")
        return words

    def _rest(self, name: str, duty: str) -> None:
        self.working.pop((name, duty), None)
        self.until.pop((name, duty), None)

    def take(self, word: str) -> None:
        name, _, what = word.partition(" ")
        if what == "timer":
            machine = self._machine(name)
            self.now = max(self.now, machine.due)
            self._give(name, Tick())
        elif what == "disk":
            self._sync(name)
        elif what == "disk fails":
            self.may["disk"] -= 1
            self._give(name, DiskFailed("EIO"))
        elif what in ("restarts", "forgets"):
            self.may["restart" if what == "restarts" else "forget"] -= 1
            if what == "forgets":
                self.lasting[name] = []
            self._begin_voter(name, whole=what == "restarts")
        elif what.startswith("ends"):
            self._rest(name, what[5:])
            self._give(name, WorkEnded(what[5:]))
        elif what == "anew":
            self.may["anew"] -= 1
            self._begin_candidate(name)
            self._want(name)
        elif what.startswith("marks"):
            self.may["mark"] -= 1
            self.marks += 1
            self._give(name, SaveCheckpoint(what[6:], b"%d" % self.marks))
        elif what.startswith("gives"):
            self.may["give"] -= 1
            self._give(name, Yield(what[6:]))
        else:
            index = int(name)
            sender, to, data = self.flight[index]
            if what.endswith("and stays"):
                self.may["double"] -= 1
            else:
                del self.flight[index]
            if what.endswith("lost"):
                self.may["lose"] -= 1
            else:
                self._give(to, MessageReceived(sender, data))
        self._look()

    def _machine(self, name: str) -> Any:
        return self.voters.get(name) or self.candidates[name]

    def _sync(self, name: str) -> None:
        number, record = self.unsynced[name].pop(0)
        self.lasting[name].append(record)
        self._give(name, RecordStored(number))

    def _give(self, name: str, event: Event) -> None:
        for action in self._machine(name).handle(self.now, event):
            if isinstance(action, SendMessage):
                if action.to != name:
                    self.flight.append((name, action.to, action.data))
            elif isinstance(action, StoreRecord):
                self.unsynced[name].append((action.number, action.record))
            elif isinstance(action, LeaseAcquired | FenceRaised):
                self._holds(name, action)
            elif isinstance(action, CheckpointSaved):
                self.marked[action.task] = max(self.marked[action.task], int(action.value))
            elif isinstance(action, LeaseLost):
                self._rest(name, action.task)  # whoever works looks at the clock before each act
            elif isinstance(action, StopWork):
                self.until[name, action.task] = action.until_ms
        del self.flight[:-MOST_IN_FLIGHT]
        self._look()

    def _holds(self, name: str, action: LeaseAcquired | FenceRaised) -> None:
        duty, highest = action.task, self.highest[action.task]
        if action.fence <= highest:
            self.broken.append(f"{name} holds {duty} under fence {action.fence}, and {highest} was held before")
        self.highest[duty] = max(highest, action.fence)
        if isinstance(action, LeaseAcquired):
            self.holds += 1
            self.working[name, duty] = action.fence
            if int(action.checkpoint or 0) < self.marked[duty]:
                self.broken.append(
                    f"{name} is told mark {action.checkpoint!r} of {duty}, and {self.marked[duty]} lasts"
                )
            self.until.pop((name, duty), None)

    def _look(self) -> None:
        able = [duty for name, duty in self.working if self._may_work(name, duty)]
        if len(set(able)) < len(able):
            self.broken.append("a and b both may work")

    def _may_work(self, name: str, duty: str) -> bool:
        """Until it is told to stop by what it can prove, after that until the time that it was told or its end."""
        if (name, duty) in self.until:
            return self.now < self.until[name, duty]
        return self.candidates[name].valid_lease(duty, self.now) is not None

    # -- the form

    def form(self) -> object:
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
                    self.working.get((name, duty)),
                    left(self.until.get((name, duty), -1e18)),
                )
                for duty, d in c.tasks.items()
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
                len(self.lasting[name]),
                sorted(v.output.pending),
            )
            for name, v in self.voters.items()
        ]
        flying = sorted((s, t, self._read(d)) for s, t, d in self.flight)
        return candidates, voters, flying, sorted(self.may.items()), self.highest

    @staticmethod
    def _read(data: bytes) -> str:
        message = decode(data)
        if isinstance(message, VoteReply):
            return f"{message.verdict} {message.round} {message.fence} {message.session} {message.wait_ms // 500}"
        return repr(message)

    # -- a fair end

    def settles(self) -> list[str]:
        self._fair(FAIR_MS)
        held = {duty for name, duty in self.working if self._may_work(name, duty)}
        return self.broken or [f"nobody holds {duty} in the end" for duty in self.wanted if duty not in held]

    def _fair(self, length: float) -> None:
        """All that is sent comes at once, disks write at once, work ends when it is told to, timers are in time."""
        end = self.now + length
        while not self.broken:
            if any(self.unsynced.values()):
                for name in self.voters:
                    while self.unsynced[name]:
                        self._sync(name)
            elif self.flight:
                sender, to, data = self.flight.pop(0)
                self._give(to, MessageReceived(sender, data))
            elif self.until:
                name, duty = next(iter(self.until))
                self.take(f"{name} ends {duty}")
            else:
                due, name = min((self._machine(n).due, n) for n in (*self.voters, *self.candidates))
                if due > end:
                    self.now = end
                    return
                self.now = max(self.now, due)
                self._give(name, Tick())


def walk(make: Callable[[], Quorum], seed: int, steps: int, settle: bool = True) -> tuple[list[str], list[str], int]:
    """One long story drawn from a seed: its words, what it breaks, and how often the duty was held."""
    world, rng = make(), Random(seed)
    story: list[str] = []
    for _ in range(steps):
        words = world.options()
        # Most of what is sent comes, and timers don't run away from what is in flight.
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
            for w in words
        ]
        word = rng.choices(words, weights)[0]
        story.append(word)
        world.take(word)
        if world.broken:
            return story, world.broken, world.holds
    return story, world.settles() if settle else [], world.holds
