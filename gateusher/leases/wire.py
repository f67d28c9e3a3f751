"""Messages between candidates and voters: MessagePack arrays whose first element is a numeric tag.

Each message that this program sends fits `membership.wire.MAX_DIRECT_BYTES` (254).  Elements that a newer version
appends to an array are ignored; a message with an unknown tag is ignored.  Durations are whole milliseconds; no
message contains wall-clock time.  This module owns no state.

Terms: a *round* numbers a candidate's requests, so that a reply is matched with the time at which its request was
sent.  A *session* is a voter's lease for one candidate process: renewing it renews all its grants.  An *instance* is
a random number of one candidate process, an *incarnation* the number of one voter process.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, Final

import msgspec
from msgspec import Meta, Struct

from .interface import MAX_CHECKPOINT_BYTES, MAX_FENCE, MAX_TASK_NAME_BYTES

Number = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Fence = Annotated[int, Meta(ge=0, le=MAX_FENCE)]
Epoch = Annotated[int, Meta(ge=0, le=1_000_000)]
# Counts characters, so a name may exceed the limit in bytes; voter and candidate check the bytes.
Name = Annotated[str, Meta(max_length=MAX_TASK_NAME_BYTES)]
Value = Annotated[bytes, Meta(max_length=MAX_CHECKPOINT_BYTES)]
DurationMs = Annotated[int, Meta(ge=0, le=86_400_000)]


class Verdict(IntEnum):
    """A voter's decision on a pre-vote or a lease request."""

    WOULD_GRANT = 0  # to a pre-vote: the voter would grant the task now
    GRANTED = 1  # the grant is on the voter's disk
    BUSY = 2  # another process holds, or may hold, the task for `wait_ms`
    STALE_FENCE = 3  # the voter has seen this fence or a higher one
    ABSTAIN = 4  # the voter doesn't vote now
    WRONG_EPOCH = 5  # the voter doesn't vote in this epoch


class PreVote(Struct, array_like=True, tag=1, frozen=True):
    """Ask whether the voter would grant a task, without changing its state (pre-vote, Raft's thesis, section 9.6)."""

    round: Number
    epoch: Epoch
    task: Name


class LeaseRequest(Struct, array_like=True, tag=2, frozen=True):
    """Request a task under a fence; a grant extends the session to `lease_ms`."""

    round: Number
    epoch: Epoch
    closed_epoch: Epoch
    fence: Fence
    instance: Number
    lease_ms: DurationMs
    task: Name


class RenewSession(Struct, array_like=True, tag=3, frozen=True):
    """Renew the session and all its grants for `lease_ms` from receipt."""

    round: Number
    epoch: Epoch
    closed_epoch: Epoch
    instance: Number
    lease_ms: DurationMs


class ReleaseLease(Struct, array_like=True, tag=4, frozen=True):
    """Release a task: the sender makes no more writes under this fence or a lower one."""

    fence: Fence
    instance: Number
    task: Name


class VoteReply(Struct, array_like=True, tag=5, frozen=True):
    """Reply to a PreVote or a LeaseRequest.

    `fence` is that of the grant, otherwise the highest that the voter has seen.  A grant includes the voter's last
    stored checkpoint, with the fence and number under which it was written.
    """

    round: Number
    verdict: Verdict
    session: Number
    fence: Fence
    wait_ms: DurationMs
    task: Name
    holder: Name = ""
    checkpoint_fence: Fence = 0
    checkpoint_number: Number = 0
    checkpoint: Value = b""


class SessionRenewed(Struct, array_like=True, tag=6, frozen=True):
    """Reply to a RenewSession.  Session 0: there is no session, and all its grants are void."""

    round: Number
    session: Number
    grant_count: Number


class ReleaseAcknowledged(Struct, array_like=True, tag=7, frozen=True):
    """Reply to a ReleaseLease."""

    fence: Fence
    task: Name


class TaskReleased(Struct, array_like=True, tag=8, frozen=True):
    """Notify a waiting candidate that a task is free; `queue_position` candidates were notified before it."""

    fence: Fence
    queue_position: Number
    task: Name


class DropSession(Struct, array_like=True, tag=9, frozen=True):
    """Request to drop the session, since the voter's grants in it differ from those that the sender knows of."""

    instance: Number


class VoterStatus(Struct, array_like=True, tag=10, frozen=True):
    """Report the sender's durable state to another voter.

    `seen_incarnation` is the latest incarnation of the receiver that the sender knows, 0 for none.  `votes` says
    whether the sender votes.
    """

    incarnation: Number
    seen_incarnation: Number
    votes: bool
    highest_fence: Fence
    min_epoch: Epoch
    closed_epoch: Epoch
    wants_reply: bool


class YieldRequest(Struct, array_like=True, tag=11, frozen=True):
    """Request that the receiver yield this task if it holds it."""

    task: Name


class WriteCheckpoint(Struct, array_like=True, tag=12, frozen=True):
    """Request to store a checkpoint for the next holder; `number` rises with each checkpoint of a task."""

    fence: Fence
    instance: Number
    number: Number
    task: Name
    value: Value


class CheckpointWritten(Struct, array_like=True, tag=13, frozen=True):
    """Reply to a WriteCheckpoint: the checkpoint is on the voter's disk."""

    fence: Fence
    number: Number
    task: Name


Message = (
    PreVote
    | LeaseRequest
    | RenewSession
    | ReleaseLease
    | VoteReply
    | SessionRenewed
    | ReleaseAcknowledged
    | TaskReleased
    | DropSession
    | VoterStatus
    | YieldRequest
    | WriteCheckpoint
    | CheckpointWritten
)
VOTER_MESSAGES: Final = (
    PreVote,
    LeaseRequest,
    RenewSession,
    ReleaseLease,
    DropSession,
    VoterStatus,
    WriteCheckpoint,
)  # the messages that go to a voter; all others go to a candidate
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode one message."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message | None:
    """Decode one message; return None if the bytes are not a valid message."""
    try:
        message: Message = _decoder.decode(data)
    except (msgspec.DecodeError, ValueError):
        return None
    return message
