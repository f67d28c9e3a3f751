"""Whether an attempt may be sent now, and whether a request may be refused: the one place that answers either.

Asked twice for each attempt: when the policy has decided on it, and again just before its first byte is written, as
what the decision rested on may have run out while a connection came up.  Pure: it looks nothing up.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from .interface import Effect


class Denial(Enum):
    """Why an attempt is not sent."""

    OVER = "the request is answered, or its client has left"
    CLIENT_LEFT = "the client is found to have left"
    NO_ATTEMPT_LEFT = "all attempts that the settings allow are used"
    NO_TIME_LEFT = "the deadline or the window for repeats is over"
    BODY_GONE = "a part of the body went through and is not kept"
    MAY_HAVE_RUN = "an earlier attempt may have run, and a repeat does harm"
    ENDPOINT_LEAVES = "the endpoint drains or is gone"
    ENDPOINT_CHANGED = "the endpoint was started anew or has moved"


class RequestFacts(NamedTuple):
    """What is known of the request."""

    open: bool  # it is owed its answer
    effect: Effect  # of a repeat
    may_have_run: bool  # one of the attempts before this one
    attempts: int  # made before this one
    most_attempts: int
    left_ms: float  # until nothing of it may be written any more
    least_ms: float  # with less than that nothing is written
    body_gone: bool


def denied(facts: RequestFacts) -> Denial | None:
    """Why no further attempt of this request may be sent; None where one may.  Whether its client is there is asked
    by the caller, last, as the answer costs a system call."""
    if not facts.open:
        return Denial.OVER
    if facts.attempts >= facts.most_attempts:
        return Denial.NO_ATTEMPT_LEFT
    if facts.may_have_run and facts.effect is Effect.NOT_IDEMPOTENT:
        return Denial.MAY_HAVE_RUN
    if facts.body_gone:
        return Denial.BODY_GONE
    if facts.left_ms < facts.least_ms:
        return Denial.NO_TIME_LEFT
    return None


def endpoint_denied(ready: bool, unchanged: bool) -> Denial | None:
    """Why the connection that has come up may not carry what was meant for its endpoint; None where it may.

    `unchanged`: the endpoint is the process at the address that was dialled, so that a cold one gets nothing that was
    counted for the one before it.  It could harm where a list flaps faster than connections come up.
    """
    if not ready:
        return Denial.ENDPOINT_LEAVES
    return None if unchanged else Denial.ENDPOINT_CHANGED


def may_refuse(effect: Effect, may_have_run: bool, dropped_everywhere: bool) -> bool:
    """Whether a refusal is true, which promises that a repeat is harmless.

    `dropped_everywhere`: all endpoints drop the repeats of a keyed request, so that it may go to any of them.
    """
    return not may_have_run or effect is Effect.IDEMPOTENT or (effect is Effect.KEYED and dropped_everywhere)
