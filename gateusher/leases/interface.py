"""What voters and candidates are told and what they answer: events and actions, as small records.

Times are milliseconds of one process's own clock, which goes on while the machine sleeps (CLOCK_BOOTTIME); no two
processes' times are ever compared.  A fence is a number that goes up with every change of hands of its duty.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

MAX_TASK_NAME_BYTES = 64  # bytes of a duty's name
MAX_FENCE = 1 << 62
MAX_CHECKPOINT_BYTES = 32  # bytes of what a holder leaves for the next


class LeaseSettings(NamedTuple):
    """What both machines go by; the same in every process, but for `name`.

    `voters` count; in a change from one set to another `before` is the set that counted, and an answer needs the
    majority of both.  `epoch` goes up by one with each step of such a change.
    """

    name: str
    voters: tuple[str, ...]
    before: tuple[str, ...] = ()
    epoch: int = 1
    lease_ms: float = 10000.0
    drift: float = 0.01  # by which share of its rate a clock may be wrong
    durable: bool = True  # whether a voter has a disk
    most_duties: int = 20000  # that a voter remembers one by one

    @property
    def sets(self) -> tuple[tuple[str, ...], ...]:
        """The sets of voters each of whose majorities is needed."""
        return (self.voters, self.before) if self.before else (self.voters,)

    @property
    def all_voters(self) -> tuple[str, ...]:
        return tuple(dict.fromkeys((*self.voters, *self.before)))

    @property
    def own_ms(self) -> float:
        """What a holder takes a lease for: it ends by its slowest clock before any voter's fastest says so."""
        return self.lease_ms * (1 - self.drift) / (1 + self.drift)

    def majority(self, names: Iterable[str]) -> bool:
        """Whether these are a majority of each set."""
        held = set(names)
        return all(2 * len(held.intersection(s)) > len(s) for s in self.sets)


class MessageReceived(NamedTuple):
    """A datagram's message from the process that goes by this name."""

    origin: str
    data: bytes


class Tick(NamedTuple):
    """Time has passed; due at `due`."""


class RecordStored(NamedTuple):
    """A record lasts, by the number of its `StoreRecord`."""

    number: int


class DiskFailed(NamedTuple):
    """What was to be stored may be lost.  Final for this process."""

    why: str


class Acquire(NamedTuple):
    """Hold this duty as soon as it may be held.  A name over MOST_DUTY bytes is a ValueError."""

    duty: str


class Withdraw(NamedTuple):
    """Give it up, and don't take it again."""

    duty: str


class Yield(NamedTuple):
    """Let somebody else have it, and want it again later."""

    duty: str


class SaveCheckpoint(NamedTuple):
    """Have the next holder be told this; it lasts when `CheckpointSaved` says so.  One not held is passed over.

    A ValueError over MOST_MARK bytes.
    """

    duty: str
    value: bytes


class WorkEnded(NamedTuple):
    """The work that `StopWork` or `LeaseLost` ended does nothing any more."""

    duty: str


class VotersChanged(NamedTuple):
    """Another set of voters, or step of its change."""

    settings: LeaseSettings


Event = (
    MessageReceived
    | Tick
    | RecordStored
    | DiskFailed
    | Acquire
    | Withdraw
    | Yield
    | SaveCheckpoint
    | WorkEnded
    | VotersChanged
)


class SendMessage(NamedTuple):
    """One message to the process of this name, best effort; to the own name too."""

    to: str
    data: bytes


class StoreRecord(NamedTuple):
    """Make a record last, then say `RecordStored` with its number; in this order."""

    number: int
    record: bytes


class LeaseAcquired(NamedTuple):
    """The duty is ours until `Candidate.proof` says no more.  `mark` is the last that lasts, or one after it."""

    duty: str
    fence: int
    mark: bytes = b""


class FenceRaised(NamedTuple):
    """Still ours, under a higher fence; the one before is good as long as nobody has shown a higher one."""

    duty: str
    fence: int


class CheckpointSaved(NamedTuple):
    """A majority of voters remembers this mark."""

    duty: str
    value: bytes


class StopWork(NamedTuple):
    """End the work by `until`, and say `WorkEnded`: somebody else is to have the duty."""

    duty: str
    until: float
    why: str


class LeaseLost(NamedTuple):
    """The duty is not ours any more, whether or not its work has ended."""

    duty: str
    why: str


class LogEvent(NamedTuple):
    """Something that on-call staff should read."""

    what: str
    why: str


Action = SendMessage | StoreRecord | LeaseAcquired | FenceRaised | CheckpointSaved | StopWork | LeaseLost | LogEvent
