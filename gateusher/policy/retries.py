"""Retries: how long an attempt may take, how long to wait before the next, and when a rejected client may return.

Owns no state: each answer follows from the request and from the rates that admission control keeps.
"""

from __future__ import annotations

from .admission import AdmissionControl
from .context import DecisionContext
from .interface import Effect
from .load_estimates import LoadEstimates
from .records import PendingRequest

IMMEDIATE_ATTEMPTS = 4  # this many attempts follow each other without a backoff
MIN_RELATIVE_PRIORITY = 0.25  # the lowest priority weight that a backoff is computed with, against the highest
ATTEMPT_TIME_SHARE = 0.45  # part of the time left that one attempt may take
ATTEMPT_LATENCY_TARGETS = 3.0  # latency targets that an attempt may take in any case
FULL_FLEET_TIMEOUT_FACTOR = 4.0  # how much the timeout grows, as a multiple, per unit of rejection rate plus lateness
RETRY_AFTER_BASE = 0.25  # Retry-After in time units where nothing is full
MAX_RETRY_AFTER_DOUBLINGS = 3  # Retry-After doubles with each attempt made, this often at most
MIN_TIME_DIVISOR = 2  # another attempt needs at least this part of the mean service time


class RetryPolicy:
    """Times of attempts and of the waits between them."""

    def __init__(self, context: DecisionContext, estimates: LoadEstimates, admission: AdmissionControl) -> None:
        self._context = context
        self._estimates = estimates
        self._admission = admission

    def max_attempts(self, request: PendingRequest) -> int:
        """The fewer of the attempts allowed when the request came and those allowed now."""
        return min(request.max_attempts, self._context.settings.max_attempts)

    def min_time_ms(self, request: PendingRequest) -> float:
        """With less time left another attempt can't be served in time."""
        return self._estimates.service_time_ms[request.class_index] / MIN_TIME_DIVISOR

    def backoff_ms(self, request: PendingRequest) -> float:
        """The wait before the next attempt where most endpoints reject; 0 for the first few attempts.

        A backoff from the first attempt on would spend the time of the best priority, and one full endpoint says
        little of many.  Limitation: assumes that a rejection costs an endpoint much less than serving.
        """
        attempts = len(request.attempts)
        if attempts < IMMEDIATE_ATTEMPTS:
            return 0.0
        context, class_index = self._context, request.class_index
        priority = context.settings.classes[class_index].priority_weight / context.max_priority_weight
        priority = max(MIN_RELATIVE_PRIORITY, priority)
        wait_ms = self._admission.rejection_rate * self._estimates.service_time_ms[class_index]
        return float(wait_ms * 2.0 ** (attempts - IMMEDIATE_ATTEMPTS) / priority**0.5)

    def attempt_expires_ms(self, request: PendingRequest) -> float:
        """When the next attempt is given up: at the request's deadline where no further one may follow.

        Where endpoints are full or late an attempt waits longer: giving up there is to do the work twice.
        Limitation: where one endpoint hangs while others are full, its requests wait longer for another attempt.
        """
        context = self._context
        deadline_ms = request.deadline_ms
        if context.effect(request.class_index) is Effect.NOT_IDEMPOTENT:
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

    def retry_after_ms(self, request: PendingRequest) -> float:
        """When a rejected client may find capacity: later the fuller the endpoints are, and not all at once."""
        context = self._context
        fullness = RETRY_AFTER_BASE + self._admission.rejection_rate
        wait_ms = (0.5 + context.random()) * fullness * context.time_unit_ms
        wait_ms *= 2 ** min(MAX_RETRY_AFTER_DOUBLINGS, len(request.attempts))
        return float(min(wait_ms, context.settings.max_retry_after_ms))
