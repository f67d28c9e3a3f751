"""Events and actions of the lease machines: the voter (acceptor) and the candidate (proposer).

Both machines are pure: `handle(now, event)` returns actions.  This module owns no state.

Terms: a *task* is a named piece of work that one process may do at a time (a singleton task).  A *fence* is a number
that rises with each change of a task's holder; whoever takes the holder's acts refuses a lower one (a fencing token,
Chubby's sequencer).  A *checkpoint* is a few bytes that a holder stores at the voters for the next holder.  An
*epoch* numbers the steps of a change of the set of voters.

Times are milliseconds of one process's own clock, which goes on while the machine sleeps (CLOCK_BOOTTIME).  Times of
two processes are never compared.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

MAX_TASK_NAME_BYTES = 64
MAX_FENCE = 1 << 62
MAX_CHECKPOINT_BYTES = 32


class LeaseSettings(NamedTuple):
    """Settings of both machines; the same in every process except for `name`.

    `voters` is the current set.  During a change of the set `previous_voters` is the one before it, and a decision
    needs a majority of both (joint consensus, Raft's thesis, section 4.3).  `epoch` rises by one with each step of
    such a change.  `drift` is the largest relative error of a clock's rate.  `durable` says whether a voter stores
    its state on a disk; `max_remembered_tasks` bounds the tasks that it remembers one by one.
    """

    name: str
    voters: tuple[str, ...]
    previous_voters: tuple[str, ...] = ()
    epoch: int = 1
    lease_ms: float = 10000.0
    drift: float = 0.01
    durable: bool = True
    max_remembered_tasks: int = 20000

    @property
    def voter_sets(self) -> tuple[tuple[str, ...], ...]:
        """The sets of voters of which a majority each is needed."""
        return (self.voters, self.previous_voters) if self.previous_voters else (self.voters,)

    @property
    def all_voters(self) -> tuple[str, ...]:
        """The voters of all sets, each once."""
        return tuple(dict.fromkeys((*self.voters, *self.previous_voters)))

    @property
    def holder_lease_ms(self) -> float:
        """How long a holder relies on a lease: by its slowest clock it ends before it does on any voter's fastest."""
        return self.lease_ms * (1 - self.drift) / (1 + self.drift)

    def is_majority(self, names: Iterable[str]) -> bool:
        """Whether these voters are a majority of each set."""
        present = set(names)
        return all(2 * len(present.intersection(voters)) > len(voters) for voters in self.voter_sets)


class MessageReceived(NamedTuple):
    """A message came from the process named `origin`."""

    origin: str
    data: bytes


class Tick(NamedTuple):
    """Time has passed; wanted at the machine's `due`."""


class RecordStored(NamedTuple):
    """The record with the number of its `StoreRecord` is on the disk, and so are those before it."""

    number: int


class DiskFailed(NamedTuple):
    """Records may be lost.  Final for this process: a failed fsync(2) is not repeated."""

    reason: str


class Acquire(NamedTuple):
    """Acquire this task's lease as soon as possible.  ValueError for a name over MAX_TASK_NAME_BYTES."""

    task: str


class Withdraw(NamedTuple):
    """Give the task up and don't acquire it again."""

    task: str


class Yield(NamedTuple):
    """Let another process acquire the task first, and acquire it again later."""

    task: str


class SaveCheckpoint(NamedTuple):
    """Store a checkpoint for the next holder; `CheckpointSaved` follows.

    Ignored unless the task is held or its work is being stopped.

    ValueError for a value over MAX_CHECKPOINT_BYTES.
    """

    task: str
    value: bytes


class WorkEnded(NamedTuple):
    """The work that `StopWork` or `LeaseLost` ended has stopped."""

    task: str


class VotersChanged(NamedTuple):
    """The set of voters, or the step of its change, is another."""

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
    """Send one message to the process of this name, which may be the own one.  Delivery is best effort."""

    to: str
    data: bytes


class StoreRecord(NamedTuple):
    """Write a record to the disk, in the order of the actions, then answer `RecordStored` with its number."""

    number: int
    record: bytes


class LeaseAcquired(NamedTuple):
    """The task is held until `Candidate.proof` returns None.

    `checkpoint` is the last that a majority stored, or one written after it.
    """

    task: str
    fence: int
    checkpoint: bytes = b""


class FenceRaised(NamedTuple):
    """The task is still held, under a higher fence; the previous one works until another holder's is seen."""

    task: str
    fence: int


class CheckpointSaved(NamedTuple):
    """A majority of voters has stored this checkpoint."""

    task: str
    value: bytes


class StopWork(NamedTuple):
    """End the work by `until_ms` and answer `WorkEnded`: another process may get the task."""

    task: str
    until_ms: float
    reason: str


class LeaseLost(NamedTuple):
    """The task is no longer held, whether or not its work has ended."""

    task: str
    reason: str


class LogEvent(NamedTuple):
    """A log line for operators; `kind` is its first word."""

    kind: str
    message: str


Action = SendMessage | StoreRecord | LeaseAcquired | FenceRaised | CheckpointSaved | StopWork | LeaseLost | LogEvent
