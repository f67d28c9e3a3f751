"""Messages between candidates and voters: MessagePack arrays whose first element is a numeric tag.

Each that this program sends fits `membership.wire.MAX_DIRECT_BYTES` (254).  Elements that a newer version appends to
an array are ignored; an unknown tag is no message.  Durations are whole milliseconds; no message carries a time of
day.  This module owns no state.

Terms: a *round* numbers a candidate's questions, so that a reply is matched with the time at which its question was
sent.  A *session* is what a voter keeps for one candidate process: renewing it renews all its grants.  An *instance*
is a random number of one candidate process, an *incarnation* the number of one voter process.
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
# In characters, so that a longer name in bytes can still arrive; voter and candidate check the bytes.
Name = Annotated[str, Meta(max_length=MAX_TASK_NAME_BYTES)]
Value = Annotated[bytes, Meta(max_length=MAX_CHECKPOINT_BYTES)]
DurationMs = Annotated[int, Meta(ge=0, le=86_400_000)]


class Verdict(IntEnum):
    """A voter's decision on a pre-vote or a lease request."""

    WOULD_GRANT = 0  # to a pre-vote: it would grant the task now
    GRANTED = 1  # the grant is on the voter's disk
    BUSY = 2  # another process holds it, or may hold it, for `wait_ms`
    STALE_FENCE = 3  # it has seen this fence or a higher one
    ABSTAIN = 4  # it doesn't vote now
    WRONG_EPOCH = 5  # it doesn't vote with this set of voters


class PreVote(Struct, array_like=True, tag=1, frozen=True):
    """Would you grant me this task?  Changes nothing at the voter (pre-vote, Raft's thesis, section 9.6)."""

    round: Number
    epoch: Epoch
    task: Name


class LeaseRequest(Struct, array_like=True, tag=2, frozen=True):
    """Grant me this task under this fence, and keep my session for `lease_ms`."""

    round: Number
    epoch: Epoch
    closed_epoch: Epoch
    fence: Fence
    instance: Number
    lease_ms: DurationMs
    task: Name


class RenewSession(Struct, array_like=True, tag=3, frozen=True):
    """Keep my session and all its grants for `lease_ms` from now."""

    round: Number
    epoch: Epoch
    closed_epoch: Epoch
    instance: Number
    lease_ms: DurationMs


class ReleaseLease(Struct, array_like=True, tag=4, frozen=True):
    """I do nothing any more under this fence or a lower one."""

    fence: Fence
    instance: Number
    task: Name


class VoteReply(Struct, array_like=True, tag=5, frozen=True):
    """Reply to a PreVote or a LeaseRequest.

    `fence` is that of the grant, otherwise the highest that the voter has seen.  With a grant the checkpoint is the
    last that the voter has stored, with the fence and number under which it was written.
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
    """Reply to a RenewSession.  Session 0: there is none, and all that was granted in it is void."""

    round: Number
    session: Number
    grant_count: Number


class ReleaseAcknowledged(Struct, array_like=True, tag=7, frozen=True):
    """Reply to a ReleaseLease."""

    fence: Fence
    task: Name


class TaskReleased(Struct, array_like=True, tag=8, frozen=True):
    """To a candidate that found the task busy: it is free.  `queue_position` candidates were told before this one."""

    fence: Fence
    queue_position: Number
    task: Name


class DropSession(Struct, array_like=True, tag=9, frozen=True):
    """Drop my session: your grants in it differ from those that I know of."""

    instance: Number


class VoterStatus(Struct, array_like=True, tag=10, frozen=True):
    """Between voters: what the sender remembers.

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
    """Yield this task if you hold it."""

    task: Name


class WriteCheckpoint(Struct, array_like=True, tag=12, frozen=True):
    """Store this checkpoint for the next holder; `number` rises with each of a task's checkpoints."""

    fence: Fence
    instance: Number
    number: Number
    task: Name
    value: Value


class CheckpointWritten(Struct, array_like=True, tag=13, frozen=True):
    """Reply to a WriteCheckpoint: it is on the voter's disk."""

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
    """The bytes of one message."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message | None:
    """The message in these bytes, or None where they are none."""
    try:
        message: Message = _decoder.decode(data)
    except (msgspec.DecodeError, ValueError):
        return None
    return message
