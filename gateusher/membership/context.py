"""State shared by the parts of one membership machine: time, random numbers, timers, output and the own record."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Sequence
from enum import StrEnum
from random import Random

from ..config.membership import Membership
from .gossip_queue import GossipQueue
from .interface import Action, LogEvent
from .member import Member

MAX_LOGGED = 1000  # distinct log lines remembered, so that none is repeated


class TimerKind(StrEnum):
    """What to do when a timer expires."""

    PROBE = "probe"  # probe the next member
    GOSSIP = "gossip"
    SYNC = "sync"  # compare tables with one member
    RETRY = "retry"  # contact an absent member
    ACK_TIMEOUT = "ack timeout"  # of a probe: request indirect probes
    PROBE_DEADLINE = "probe deadline"  # of a probe and its indirect ones: suspect the target
    NACK = "nack"  # of a probe on behalf of another member: report that there is no answer yet
    SUSPICION = "suspicion"  # a suspicion may have reached its deadline


class TimerQueue:
    """Pending timers in order of expiry; timers with the same expiry keep the order in which they were set."""

    def __init__(self) -> None:
        self._timers: list[tuple[float, int, TimerKind, int | bytes | None]] = []
        self._count = 0

    def schedule(self, at_ms: float, kind: TimerKind, subject: int | bytes | None = None) -> None:
        """Add a timer; `subject` is the number of its probe or the id of its member."""
        self._count += 1
        heapq.heappush(self._timers, (at_ms, self._count, kind, subject))

    def postpone(self, by_ms: float) -> None:
        """Delay all timers by the same time, which keeps their order."""
        self._timers = [(at_ms + by_ms, count, kind, subject) for at_ms, count, kind, subject in self._timers]

    @property
    def next_at_ms(self) -> float:
        """When the first timer expires.  Raises IndexError if there is none."""
        return self._timers[0][0]

    def pop_due(self, now_ms: float) -> tuple[TimerKind, int | bytes | None] | None:
        """Remove the first timer and return its kind and subject, or None if it is not due."""
        if not self._timers or self._timers[0][0] > now_ms:
            return None
        _, _, kind, subject = heapq.heappop(self._timers)
        return kind, subject

    def pending(self) -> list[tuple[float, TimerKind, int | bytes | None]]:
        """Return time, kind and subject of all timers, in any order.  For the explorer (`checker/three.py`)."""
        return [(at_ms, kind, subject) for at_ms, _, kind, subject in self._timers]


class Context:
    """Shared state of one machine.

    `own` is our own record.  `health_penalty` is 0 while this process is healthy.
    """

    def __init__(self, settings: Membership, own: Member, seed: int, now_ms: float) -> None:
        self.settings = settings
        self.own = own
        self.keys = settings.keys  # the first one signs, all are accepted
        self.random = Random(seed)
        self.now_ms = now_ms
        self.actions: list[Action] = []
        self.timers = TimerQueue()
        self.gossip_queue = GossipQueue(settings.retransmit_factor)
        self.dropped: Counter[str] = Counter()  # dropped datagrams and frames, by reason
        self.health_penalty = 0
        self.displaced = False  # a newer process owns our name
        self.leaving = False
        self._logged: set[tuple[str, str]] = set()

    @property
    def stopped(self) -> bool:
        """Whether this process no longer participates."""
        return self.displaced or self.leaving

    def schedule(self, wait_ms: float, kind: TimerKind, subject: int | bytes | None = None) -> None:
        """Set a timer that expires in `wait_ms`."""
        self.timers.schedule(self.now_ms + wait_ms, kind, subject)

    def adjust_health_penalty(self, change: int) -> None:
        """Raise (worse) or lower the local health penalty within its bounds.

        It is Lifeguard's local health multiplier (IV-A) less one.
        """
        self.health_penalty = max(0, min(self.settings.max_health_penalty, self.health_penalty + change))

    def drop(self, reason: str) -> None:
        """Count a dropped datagram or frame."""
        self.dropped[reason] += 1

    def log_once(self, event: str, details: str) -> None:
        """Log a line unless the same one was logged before, so that a flapping link doesn't fill the log."""
        line = (event, details)
        if line in self._logged:
            return
        if len(self._logged) > MAX_LOGGED:
            self._logged.clear()
        self._logged.add(line)
        self.actions.append(LogEvent(event, details))

    def pick_one(self, members: Sequence[Member]) -> Member | None:
        """Return a random member, None if there is none."""
        if not members:
            return None
        return members[int(self.random.random() * len(members))]

    def pick(self, members: Sequence[Member], count: int) -> Sequence[Member]:
        """Return up to `count` random members."""
        return members if len(members) <= count else self.random.sample(members, count)
