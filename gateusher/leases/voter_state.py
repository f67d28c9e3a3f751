"""A voter's durable state, and the records and snapshot that store it.

`VoterState` owns the grants, checkpoints and counters.  A record is a MessagePack array: a tag, then its values.
Values that a newer version appends to a record are ignored, and so is a record with an unknown tag.

Terms: the *fence floor* is the highest fence of the discarded tasks; no fence up to it is granted.  An *incarnation*
is the number of one run of a voter; later runs have higher ones.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

RecordValues = tuple[object, ...]


class Grant(NamedTuple):
    """The highest granted fence of a task, and the process that it was granted to.

    `session` 0: the grant is in no session and doesn't make its process the holder.
    """

    fence: int
    holder: str
    instance: int
    session: int = 0
    released: bool = False


class StoredCheckpoint(NamedTuple):
    """A holder's last checkpoint; one with a higher fence, or the same fence and a higher number, replaces it."""

    fence: int
    number: int
    value: bytes


NO_CHECKPOINT = StoredCheckpoint(0, 0, b"")


class RecoveredState(NamedTuple):
    """The state read from the disk at the start; `complete` is False if records may be missing."""

    complete: bool
    snapshot: bytes = b""
    records: tuple[bytes, ...] = ()


class VoterState:
    """A voter's durable state; `apply` restores it from stored records."""

    def __init__(self) -> None:
        self.grants: dict[str, Grant] = {}
        self.checkpoints: dict[str, StoredCheckpoint] = {}
        self.fence_floor = 0
        self.highest_fence = 0
        self.min_epoch = 0  # requests of lower epochs are rejected
        self.closed_epoch = 0  # the last epoch in which a majority granted a task
        self.incarnation = 0
        self.seen_incarnations: dict[str, int] = {}  # by voter
        self.trusted = False  # whether no acknowledged record can be missing

    @classmethod
    def recover(cls, stored: RecoveredState) -> VoterState:
        """Return the state after the snapshot and the records that follow it."""
        state = cls()
        if stored.snapshot:
            for record in msgspec.msgpack.decode(stored.snapshot, type=list[bytes]):
                state.apply(record)
        for record in stored.records:
            state.apply(record)
        return state

    def apply(self, record: bytes) -> None:
        """Apply one stored record."""
        tag, *values = msgspec.msgpack.decode(record)
        if tag == "grant":
            task, fence, holder, instance, min_epoch = values[:5]
            self.grants[task] = Grant(fence, holder, instance)
            self.highest_fence = max(self.highest_fence, fence)
            self.min_epoch = max(self.min_epoch, min_epoch)
        elif tag == "floor":
            task, fence_floor = values[:2]
            self.grants.pop(task, None)
            self.checkpoints.pop(task, None)
            self.raise_floor(fence_floor)
        elif tag == "mark":
            task, fence, number, value = values[:4]
            self.checkpoints[task] = StoredCheckpoint(fence, number, value)
        elif tag == "life":
            self.incarnation = max(self.incarnation, values[0])
        elif tag == "seen":
            voter, incarnation = values[:2]
            self.seen_incarnations[voter] = incarnation
        elif tag == "trust":
            self.trusted = values[0]
        elif tag == "epoch":
            min_epoch, closed_epoch = values[:2]
            self.min_epoch = max(self.min_epoch, min_epoch)
            self.closed_epoch = max(self.closed_epoch, closed_epoch)

    def snapshot(self) -> bytes:
        """Return the whole state as one record."""
        records: list[RecordValues] = [
            ("life", self.incarnation),
            ("floor", "", self.fence_floor),
            ("epoch", self.min_epoch, self.closed_epoch),
            ("trust", self.trusted),
        ]
        records += [("seen", voter, incarnation) for voter, incarnation in self.seen_incarnations.items()]
        records += [("grant", task, g.fence, g.holder, g.instance, 0) for task, g in self.grants.items()]
        records += [("mark", task, *checkpoint) for task, checkpoint in self.checkpoints.items()]
        return msgspec.msgpack.encode([msgspec.msgpack.encode(values) for values in records])

    def raise_floor(self, fence: int) -> None:
        """Raise the fence floor to this fence."""
        self.fence_floor = max(self.fence_floor, fence)
        self.highest_fence = max(self.highest_fence, fence)

    def highest_fence_of(self, task: str) -> int:
        """Return the highest fence that may have been granted for a task."""
        grant = self.grants.get(task)
        return max(self.fence_floor, grant.fence) if grant else self.fence_floor

    def is_granted_to(self, task: str, holder: str, instance: int) -> bool:
        """Return whether the task's highest fence was granted to this process."""
        grant = self.grants.get(task)
        return grant is not None and (grant.holder, grant.instance) == (holder, instance)
