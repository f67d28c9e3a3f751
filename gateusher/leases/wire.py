"""Messages between candidates and voters, each well under 255 bytes: MessagePack arrays whose first element is a tag.

What a newer version appends to an array is passed over, and a tag that this version doesn't know is no message.
Times are whole milliseconds, durations only.
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
Name = Annotated[str, Meta(max_length=MAX_TASK_NAME_BYTES)]
Value = Annotated[bytes, Meta(max_length=MAX_CHECKPOINT_BYTES)]
Wait = Annotated[int, Meta(ge=0, le=86_400_000)]


class Verdict(IntEnum):
    """What a voter says to a question or a request."""

    WOULD = 0  # it would grant this duty now
    GRANTED = 1  # and has; it lasts
    BUSY = 2  # somebody else's, or might be, for `wait`
    STALE = 3  # it has seen this fence or a higher one
    ABSTAIN = 4  # it doesn't vote now
    EPOCH = 5  # not with this set of voters


class Ask(Struct, array_like=True, tag=1, frozen=True):
    """Would you grant me this duty?  Changes nothing, so that who can't win disturbs nobody (Raft's pre-vote)."""

    round: Number
    epoch: Epoch
    duty: Name


class Request(Struct, array_like=True, tag=2, frozen=True):
    """Grant me this duty under this fence, and keep my session for `lease`."""

    round: Number
    epoch: Epoch
    closed: Epoch
    fence: Fence
    instance: Number
    lease: Wait
    duty: Name


class Renew(Struct, array_like=True, tag=3, frozen=True):
    """Keep my session, with all that was granted in it, for `lease` from now."""

    round: Number
    epoch: Epoch
    closed: Epoch
    instance: Number
    lease: Wait


class Release(Struct, array_like=True, tag=4, frozen=True):
    """I do nothing under this fence or a lower one any more."""

    fence: Fence
    instance: Number
    duty: Name


class Answer(Struct, array_like=True, tag=5, frozen=True):
    """To an Ask or a Request.  `fence`: of a grant its own, otherwise the highest that this voter has seen.

    `mark`, with a grant: the last that this voter remembers, by the fence and number under which it was left.
    """

    round: Number
    verdict: Verdict
    session: Number
    fence: Fence
    wait: Wait
    duty: Name
    holder: Name = ""
    mark_fence: Fence = 0
    mark_number: Number = 0
    mark: Value = b""


class Renewed(Struct, array_like=True, tag=6, frozen=True):
    """To a Renew.  Session 0: there is none, all that was granted in it is void."""

    round: Number
    session: Number
    count: Number


class Released(Struct, array_like=True, tag=7, frozen=True):
    fence: Fence
    duty: Name


class Free(Struct, array_like=True, tag=8, frozen=True):
    """To one that asked and found the duty busy: it is released.  `place`: how many have asked before."""

    fence: Fence
    place: Number
    duty: Name


class Forget(Struct, array_like=True, tag=9, frozen=True):
    """Drop my session: what you hold of it is not what I hold of it."""

    instance: Number


class Memory(Struct, array_like=True, tag=10, frozen=True):
    """Between voters: what is remembered.  `seen`: the latest life of yours that I know of; 0 for none."""

    life: Number
    seen: Number
    trusted: bool
    fence: Fence
    lowest: Epoch
    closed: Epoch
    wants: bool


class Plead(Struct, array_like=True, tag=11, frozen=True):
    """Give this duty, if you hold it."""

    duty: Name


class Leave(Struct, array_like=True, tag=12, frozen=True):
    """Remember this for the next holder."""

    fence: Fence
    instance: Number
    number: Number
    duty: Name
    value: Value


class Left(Struct, array_like=True, tag=13, frozen=True):
    """It is remembered, and lasts."""

    fence: Fence
    number: Number
    duty: Name


Message = (
    Ask | Request | Renew | Release | Answer | Renewed | Released | Free | Forget | Memory | Plead | Leave | Left
)
TO_VOTER: Final = (Ask, Request, Renew, Release, Forget, Memory, Leave)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def write(message: Message) -> bytes:
    return _encoder.encode(message)


def read(data: bytes) -> Message | None:
    """None for what is no message of ours."""
    try:
        message: Message = _decoder.decode(data)
    except (msgspec.DecodeError, ValueError):
        return None
    return message
