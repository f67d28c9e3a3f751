"""Retries: how long an attempt may take, the backoff before the next one, and the Retry-After of a rejection.

Owns no state: the results depend on the request and on the rates that admission control keeps.
"""

from __future__ import annotations

from .admission import AdmissionControl
from .context import DecisionContext
from .interface import Effect
from .load_estimates import LoadEstimates
from .records import PendingRequest

IMMEDIATE_ATTEMPTS = 4  # this many attempts are made without a backoff
MIN_RELATIVE_PRIORITY = 0.25  # minimum of a priority weight relative to the highest, in a backoff
ATTEMPT_TIME_SHARE = 0.45  # share of the remaining time that one attempt may take
RETRY_TIME_SHARE = 0.3  # share of a request's time that is left to a retry after a response that stopped
ATTEMPT_LATENCY_TARGETS = 3.0  # latency targets that an attempt may take at least
FULL_FLEET_TIMEOUT_FACTOR = 4.0  # timeout increase per unit of rejection rate plus fleet lateness
RETRY_AFTER_BASE = 0.25  # Retry-After in time units while no endpoint rejects
MAX_BACKOFF_DOUBLINGS = 1023  # the largest exponent of a float
MAX_RETRY_AFTER_DOUBLINGS = 3  # Retry-After doubles with each attempt, at most this many times
MIN_TIME_DIVISOR = 2  # another attempt needs at least the mean service time divided by this


def await_response_until_ms(effect: Effect, is_alone: bool, deadline_ms: float, timeout_ms: float) -> float:
    """Return until when a response that has begun and stopped is waited for.

    `is_alone`: the request has no other attempt in flight.  Cutting a response that is only slow loses its request:
    an attempt that can be replaced gives way no earlier than a retry needs, and one that can't never does.
    """
    if effect is Effect.NOT_IDEMPOTENT or not is_alone:
        return deadline_ms
    return deadline_ms - RETRY_TIME_SHARE * timeout_ms


def write_stall_timeout_ms(timeout_ms: float) -> float:
    """Return how long an endpoint may accept nothing of a body before another endpoint gets it.

    `timeout_ms` is the request's time from its last byte on.
    """
    return ATTEMPT_TIME_SHARE * timeout_ms


class RetryPolicy:
    """Computes attempt timeouts, backoffs and Retry-After."""

    def __init__(self, context: DecisionContext, estimates: LoadEstimates, admission: AdmissionControl) -> None:
        self._context = context
        self._estimates = estimates
        self._admission = admission

    def max_attempts(self, request: PendingRequest) -> int:
        """Return the smallest of the attempt limits since the request's arrival."""
        return request.rules.max_attempts

    def min_time_ms(self, request: PendingRequest) -> float:
        """Return the remaining time below which another attempt can't be served in time."""
        return self._estimates.service_time_ms[request.class_index] / MIN_TIME_DIVISOR

    def backoff_ms(self, request: PendingRequest) -> float:
        """Return the wait before the next attempt, which grows with the rejection rate; 0 for the first few attempts.

        A backoff from the first attempt on would use up the time of the highest priority, and one full endpoint says
        little about the others.  Limitation: assumes that a rejection costs an endpoint much less than serving.
        """
        attempts = len(request.attempts)
        if attempts < IMMEDIATE_ATTEMPTS:
            return 0.0
        context, class_index = self._context, request.class_index
        priority = context.settings.classes[class_index].priority_weight / context.max_priority_weight
        priority = max(MIN_RELATIVE_PRIORITY, priority)
        wait_ms = self._admission.rejection_rate * self._estimates.service_time_ms[class_index]
        doublings = min(MAX_BACKOFF_DOUBLINGS, attempts - IMMEDIATE_ATTEMPTS)
        return float(wait_ms * 2.0**doublings / priority**0.5)

    def attempt_expires_ms(self, request: PendingRequest) -> float:
        """Return when the next attempt times out: at the request's deadline if no further attempt may follow.

        The timeout is longer while endpoints are full or late, as a retry would then only do the work twice.
        Limitation: if one endpoint hangs while others are full, its requests wait longer for another attempt.
        """
        context = self._context
        deadline_ms = request.deadline_ms
        if context.effect(request) is Effect.NOT_IDEMPOTENT:
            return deadline_ms
        if len(request.attempts) + 1 >= self.max_attempts(request):
            return deadline_ms
        now_ms, admission = context.now_ms, self._admission
        timeout_ms = max(
            ATTEMPT_TIME_SHARE * (deadline_ms - now_ms),
            ATTEMPT_LATENCY_TARGETS * self._estimates.latency_target_ms[request.class_index],
        )
        overload = admission.rejection_rate + admission.fleet_lateness()
        return min(deadline_ms, now_ms + timeout_ms * (1.0 + FULL_FLEET_TIMEOUT_FACTOR * overload))

    def may_hedge(self, request: PendingRequest) -> bool:
        """Return whether a second attempt may be sent while the first is in flight."""
        context = self._context
        if not context.settings.may_duplicate or context.effect(request) is not Effect.IDEMPOTENT:
            return False
        left_ms = request.deadline_ms - context.now_ms
        return len(request.attempts) < self.max_attempts(request) and left_ms >= self.min_time_ms(request)

    def retry_after_ms(self, request: PendingRequest) -> float:
        """Return a random Retry-After that grows with the rejection rate and with the attempts made."""
        context = self._context
        fullness = RETRY_AFTER_BASE + self._admission.rejection_rate
        wait_ms = (0.5 + context.random()) * fullness * context.time_unit_ms
        wait_ms *= 2 ** min(MAX_RETRY_AFTER_DOUBLINGS, len(request.attempts))
        return float(min(wait_ms, context.settings.max_retry_after_ms))
