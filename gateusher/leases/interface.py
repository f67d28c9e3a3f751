"""Events and actions of the lease machines: the voter (acceptor) and the candidate (proposer).

Both machines are pure: `handle(now, event)` returns actions.  This module owns no state.

Terms: a *task* is a named piece of work that one process may do at a time (a singleton task).  A *fence* is a number
that rises with each change of a task's holder; the recipient of the holder's writes rejects those with a lower fence
(a fencing token, Chubby's sequencer).  A *checkpoint* is a few bytes that a holder stores at the voters for the next
holder.  An *epoch* numbers the steps of a change to the set of voters.

Times are milliseconds of one process's own clock, which advances while the machine sleeps (CLOCK_BOOTTIME).  Times of
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

    `voters` is the current set.  During a change of the set `previous_voters` is the previous one, and a decision
    needs a majority of both (joint consensus, Raft's thesis, section 4.3).  `epoch` rises by one with each step of
    such a change.  `drift` is the largest relative error of a clock's rate.  `durable` says whether a voter stores
    its state on a disk; `max_remembered_tasks` bounds the tasks whose fences it stores individually.
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
        """Return the sets of voters; a decision needs a majority of each."""
        return (self.voters, self.previous_voters) if self.previous_voters else (self.voters,)

    @property
    def all_voters(self) -> tuple[str, ...]:
        """Return the voters of all sets without duplicates."""
        return tuple(dict.fromkeys((*self.voters, *self.previous_voters)))

    @property
    def wire_lease_ms(self) -> int:
        """Return the lease length that is requested from voters: messages carry whole milliseconds."""
        return int(self.lease_ms)

    @property
    def holder_lease_ms(self) -> float:
        """Return the lease length at the holder: on its slowest clock it ends before a voter's on the fastest."""
        return self.wire_lease_ms * (1 - self.drift) / (1 + self.drift)

    def is_majority(self, names: Iterable[str]) -> bool:
        """Return whether these voters are a majority of each set."""
        present = set(names)
        return all(2 * len(present.intersection(voters)) > len(voters) for voters in self.voter_sets)


class MessageReceived(NamedTuple):
    """A message arrived from the process named `origin`."""

    origin: str
    data: bytes


class Tick(NamedTuple):
    """Time has passed; expected at the machine's `due`."""


class RecordStored(NamedTuple):
    """The record that `StoreRecord` gave this number is on the disk, and so are all records before it."""

    number: int


class DiskFailed(NamedTuple):
    """Records may be lost.  Final for this process: a failed fsync(2) is not retried."""

    reason: str


class Acquire(NamedTuple):
    """Acquire this task's lease as soon as possible.  ValueError for a name over MAX_TASK_NAME_BYTES."""

    task: str


class Withdraw(NamedTuple):
    """Release the task and don't acquire it again."""

    task: str


class Yield(NamedTuple):
    """Let another process acquire the task first, and acquire it again later."""

    task: str


class SaveCheckpoint(NamedTuple):
    """Store a checkpoint for the next holder; `CheckpointSaved` follows.

    Ignored unless the task is held or its work is being stopped.  ValueError for a value over MAX_CHECKPOINT_BYTES.
    """

    task: str
    value: bytes


class WorkEnded(NamedTuple):
    """The work of a task has stopped after `StopWork` or `LeaseLost`."""

    task: str


class VotersChanged(NamedTuple):
    """The set of voters, or the step of its change, has changed."""

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
    """Send one message to the process of this name, possibly this process.  Delivery is best effort."""

    to: str
    data: bytes


class StoreRecord(NamedTuple):
    """Write a record to the disk, in the order of the actions, then report `RecordStored` with its number."""

    number: int
    record: bytes


class LeaseAcquired(NamedTuple):
    """The task is held until `Candidate.valid_lease` returns None.

    `checkpoint` is the last one that a majority stored, or one written after it.
    """

    task: str
    fence: int
    checkpoint: bytes = b""


class FenceRaised(NamedTuple):
    """The task is still held, under a higher fence; the previous fence is accepted until a higher one is seen."""

    task: str
    fence: int


class CheckpointSaved(NamedTuple):
    """A majority of voters has stored this checkpoint."""

    task: str
    value: bytes


class StopWork(NamedTuple):
    """End the work by `until_ms` and report `WorkEnded`; then another process may acquire the task."""

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
