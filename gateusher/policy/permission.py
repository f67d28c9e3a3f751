"""The rules on whether an attempt may be sent and whether a request may be rejected.

The engine calls `denied` when an attempt begins, the connection calls `endpoint_denied` just before the first byte,
and policy and engine call `may_reject`.  The policy first applies the conditions of `denied` to its own records
(`RequestLifecycle._next_attempt`).  Owns no state.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from .interface import Effect


class Denial(Enum):
    """The reason that an attempt is not sent."""

    OVER = "the request is answered, or its client has disconnected"
    CLIENT_LEFT = "the client is found to have disconnected"
    NO_ATTEMPT_LEFT = "all attempts that the settings allow are used"
    NO_TIME_LEFT = "the deadline or the window for repeats is over"
    BODY_NOT_RETAINED = "a part of the body was forwarded and is not retained"
    MAY_HAVE_RUN = "an earlier attempt may have executed, and the request is not idempotent"
    ENDPOINT_DRAINING = "the endpoint is draining or removed"
    ENDPOINT_CHANGED = "the endpoint was started anew or has moved"


class RequestFacts(NamedTuple):
    """The facts that determine whether a request may get another attempt."""

    open: bool  # it has no final response yet
    effect: Effect  # of running it twice
    may_have_run: bool  # an earlier attempt may have run
    attempts: int  # number of earlier attempts
    max_attempts: int
    time_left_ms: float  # until no more bytes of the attempt may be written
    min_time_ms: float  # with less time left no attempt is sent
    body_discarded: bool  # a part of the body was forwarded and is not retained


def denied(facts: RequestFacts) -> Denial | None:
    """Return why no further attempt of this request may be sent, or None if one may.

    The caller checks last whether the client is still connected, as that costs a system call.
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
    """Return why a new connection may not carry the attempt that it was opened for, or None if it may.

    `unchanged`: the endpoint is still the same process at the dialed address; a restarted endpoint in slow start must
    get no request that was counted for the previous process.  Limitation: if the list changes faster than connections
    are established, no attempt is sent.
    """
    if not ready:
        return Denial.ENDPOINT_DRAINING
    return None if unchanged else Denial.ENDPOINT_CHANGED


def may_reject(effect: Effect, may_have_run: bool, dropped_everywhere: bool) -> bool:
    """Return whether a request may be rejected, which promises the client that a retry is safe.

    `dropped_everywhere`: all endpoints deduplicate a keyed request, so its retry may go to any of them.
    """
    return not may_have_run or effect is Effect.IDEMPOTENT or (effect is Effect.KEYED and dropped_everywhere)
