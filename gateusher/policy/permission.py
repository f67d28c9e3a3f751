"""The rules on whether an attempt may be sent and whether a request may be rejected.

`denied` is asked by the engine when an attempt begins, `endpoint_denied` by the connection just before the first
byte, `may_reject` by policy and engine.  The policy applies the conditions of `denied` to its own records first
(`RequestLifecycle._next_attempt`).  Owns no state.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from .interface import Effect


class Denial(Enum):
    """Why an attempt is not sent."""

    OVER = "the request is answered, or its client has disconnected"
    CLIENT_LEFT = "the client is found to have disconnected"
    NO_ATTEMPT_LEFT = "all attempts that the settings allow are used"
    NO_TIME_LEFT = "the deadline or the window for repeats is over"
    BODY_NOT_RETAINED = "a part of the body was forwarded and is not retained"
    MAY_HAVE_RUN = "an earlier attempt may have executed, and the request is not idempotent"
    ENDPOINT_DRAINING = "the endpoint is draining or removed"
    ENDPOINT_CHANGED = "the endpoint was started anew or has moved"


class RequestFacts(NamedTuple):
    """The facts about a request that decide on its next attempt."""

    open: bool  # its final answer is outstanding
    effect: Effect  # of a repeat
    may_have_run: bool  # one of the attempts before this one
    attempts: int  # made before this one
    max_attempts: int
    time_left_ms: float  # until nothing of it may be written any more
    min_time_ms: float  # with less time left nothing is written
    body_discarded: bool  # a part of the body was forwarded and is not retained


def denied(facts: RequestFacts) -> Denial | None:
    """Why no further attempt of this request may be sent; None where one may.

    Whether the client is connected is left to the caller, last, as the answer costs a system call.
    """
    if not facts.open:
        return Denial.OVER
    if facts.attempts >= facts.max_attempts:
        return Denial.NO_ATTEMPT_LEFT
    if facts.may_have_run and facts.effect is Effect.NOT_IDEMPOTENT:
        return Denial.MAY_HAVE_RUN
    if facts.body_discarded:
        return Denial.BODY_NOT_RETAINED
    if facts.time_left_ms < facts.min_time_ms:
        return Denial.NO_TIME_LEFT
    return None


def endpoint_denied(ready: bool, unchanged: bool) -> Denial | None:
    """Why an established connection may not carry the attempt it was dialled for; None where it may.

    `unchanged`: the endpoint is still the process at the address that was dialled, so that one in slow start gets no
    request that was counted for the process before it.  Limitation: where a list flaps faster than connections come
    up, no attempt is sent.
    """
    if not ready:
        return Denial.ENDPOINT_DRAINING
    return None if unchanged else Denial.ENDPOINT_CHANGED


def may_reject(effect: Effect, may_have_run: bool, dropped_everywhere: bool) -> bool:
    """Whether a request may be rejected, which promises the client that a repeat does no harm.

    `dropped_everywhere`: all endpoints deduplicate a keyed request, so that a repeat may go to any of them.
    """
    return not may_have_run or effect is Effect.IDEMPOTENT or (effect is Effect.KEYED and dropped_everywhere)
