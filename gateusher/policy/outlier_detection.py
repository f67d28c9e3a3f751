"""Outlier detection: decides whether an endpoint may be used now.

Owns the consecutive failures and ejections of endpoints, and of request classes on an endpoint.  An ejection lasts a
random time that doubles with each failure; afterwards the endpoint gets one attempt at a time.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from .context import DecisionContext
from .control_set import ControlSet
from .interface import SettingsChanged
from .load_estimates import LoadEstimates
from .records import LONG_AGO_MS, ClassHealth, EndpointRecord, PendingRequest, SentAttempt
from .slow_start import SlowStart

SILENCE_LATENCY_TARGETS = 3.0  # an endpoint counts as silent after this many latency targets
SILENCE_TIME_UNITS = 1.0  # plus this many time units without a response
RESTART_AFTER_FAILURES = 2  # an endpoint that responds after more failures may have restarted
RESTART_AFTER_TIME_UNITS = 8.0  # as may one that was failing for longer than this
RECENT_RESPONSE_TIME_UNITS = 1 / 3  # a connection error this soon after a response is not counted
MAX_DOUBLINGS = 4  # maximum number of times that an ejection doubles
MIN_EJECTION_JITTER = 0.5  # an ejection is multiplied by a random factor between this
MAX_EJECTION_JITTER = 1.5  # and this


class OutlierDetector:
    """Ejects endpoints that don't respond, and request classes that fail on an endpoint that serves others."""

    def __init__(
        self, context: DecisionContext, control_set: ControlSet, estimates: LoadEstimates, slow_start: SlowStart
    ) -> None:
        self._context = context
        self._control_set = control_set
        self._estimates = estimates
        self._slow_start = slow_start
        self.resumed_at_ms = LONG_AGO_MS  # latencies of attempts sent before this are meaningless

    def check_usable(self, endpoint: EndpointRecord, class_index: int) -> bool:
        """Return whether the endpoint may get a request of this class now; eject it if it is silent for too long."""
        now_ms = self._context.now_ms
        if endpoint.ejected_until_ms > now_ms:
            return False
        if endpoint.class_health:
            health = endpoint.class_health.get(class_index)
            if health and health.ejected_until_ms > now_ms:
                return False
        # A hung endpoint accepts requests but doesn't respond: eject it before its attempts time out.
        if endpoint.in_flight and endpoint.awaiting_response:
            limit_ms = SILENCE_LATENCY_TARGETS * self._estimates.latency_target_ms[class_index]
            limit_ms += SILENCE_TIME_UNITS * self._context.time_unit_ms
            if now_ms - endpoint.silent_since_ms > limit_ms:
                self.no_response(endpoint, now_ms)
                return False
        return now_ms >= endpoint.slow_start_until_ms or self._slow_start.has_budget(endpoint)

    def sent(self, endpoint: EndpointRecord, class_index: int, expires_ms: float) -> None:
        """Limit an endpoint with failures, or a failed class there, to one attempt at a time until one is served."""
        if endpoint.consecutive_failures:
            endpoint.ejected_until_ms = max(endpoint.ejected_until_ms, expires_ms)
        if endpoint.class_health:
            health = endpoint.class_health.get(class_index)
            if health and health.consecutive_failures > 1:
                health.ejected_until_ms = max(health.ejected_until_ms, expires_ms)

    def upload_attempt_ended(self, request: PendingRequest, attempt: SentAttempt) -> None:
        """Bound the ejection that `sent` began by the longest other one, counted from the request's time limit.

        The attempt's expiry includes the time allowed for the upload, an hour, and its outcome may be no verdict.
        """
        endpoint, expires_ms = attempt.endpoint, attempt.expires_ms
        longest_ms = self._context.time_unit_ms * 2**MAX_DOUBLINGS * MAX_EJECTION_JITTER
        latest_ms = self._context.now_ms + request.time_limit_ms + longest_ms
        if endpoint.ejected_until_ms == expires_ms:
            endpoint.ejected_until_ms = min(expires_ms, latest_ms)
        health = endpoint.class_health.get(request.class_index)
        if health and health.ejected_until_ms == expires_ms:
            health.ejected_until_ms = min(expires_ms, latest_ms)

    def responded(self, endpoint: EndpointRecord) -> None:
        """Reset the endpoint's failures after a response.

        An endpoint whose connections failed may have restarted before the list says so, and begins a slow start.  A
        client with few requests makes only one or two attempts in that time, so a long outage counts like many
        failures.
        """
        context = self._context
        endpoint.awaiting_response = False
        endpoint.last_response_at_ms = context.now_ms
        if (
            endpoint.consecutive_failures
            and endpoint.connect_failed
            and context.now_ms >= endpoint.slow_start_until_ms
            and (
                endpoint.consecutive_failures > RESTART_AFTER_FAILURES
                or context.now_ms - endpoint.first_failure_at_ms > RESTART_AFTER_TIME_UNITS * context.time_unit_ms
            )
        ):
            self._slow_start.begin(endpoint, context.now_ms)
        self.reset(endpoint)

    def reset(self, endpoint: EndpointRecord) -> None:
        """Clear the failures of the endpoint, but not those of classes on it."""
        endpoint.consecutive_failures = 0
        endpoint.connect_failed = False
        endpoint.ejected_until_ms = 0.0

    def restarted(self, endpoint: EndpointRecord) -> None:
        """Clear all failures, which belong to the previous incarnation."""
        self.reset(endpoint)
        endpoint.class_health.clear()

    def served(self, endpoint: EndpointRecord, class_index: int, sent_at_ms: float) -> None:
        """Clear the class's failures after a served attempt, unless an attempt that was sent later has failed."""
        endpoint.last_served_sent_at_ms = max(endpoint.last_served_sent_at_ms, sent_at_ms)
        health = endpoint.class_health.get(class_index)
        if health and sent_at_ms >= health.last_failed_sent_at_ms:
            del endpoint.class_health[class_index]

    def no_response(self, endpoint: EndpointRecord, sent_at_ms: float) -> None:
        """Eject an endpoint that doesn't respond.

        Attempts that were sent before the last failure belong to the same outage and don't count again.  Otherwise an
        endpoint that paused under full load would be ejected for as long as one that is down.
        """
        context = self._context
        endpoint.silent_since_ms = context.now_ms
        if sent_at_ms < endpoint.last_failure_at_ms:
            return
        if not endpoint.consecutive_failures:
            endpoint.first_failure_at_ms = context.now_ms
        endpoint.consecutive_failures += 1
        endpoint.last_failure_at_ms = context.now_ms
        endpoint.ejected_until_ms = context.now_ms + self._ejection_ms(endpoint.consecutive_failures)
        self._control_set.penalize(endpoint)

    def class_failed(self, endpoint: EndpointRecord, class_index: int, sent_at_ms: float) -> None:
        """Count a failure of a class on an endpoint that works: it served a later attempt or responded with an error.

        The second consecutive failure of a class ejects only that class from the endpoint.  Limitation: if a few
        requests of a class fail on every endpoint, they briefly eject the class from each endpoint that they reach.
        """
        health = endpoint.class_health.setdefault(class_index, ClassHealth())
        if sent_at_ms < health.ejected_at_ms:
            return
        health.consecutive_failures += 1
        health.last_failed_sent_at_ms = max(health.last_failed_sent_at_ms, sent_at_ms)
        if health.consecutive_failures > 1:
            health.ejected_at_ms = self._context.now_ms
            health.ejected_until_ms = self._context.now_ms + self._ejection_ms(health.consecutive_failures - 1)

    def responded_recently(self, endpoint: EndpointRecord) -> bool:
        """Return whether the endpoint has just responded on another connection, so a connection error is not counted.

        If the endpoint has in fact failed, a few more attempts may be lost until its silence is detected.
        """
        context = self._context
        since_ms = context.now_ms - endpoint.last_response_at_ms
        return since_ms < RECENT_RESPONSE_TIME_UNITS * context.time_unit_ms

    def process_resumed(self, endpoints: Iterable[EndpointRecord]) -> None:
        """Reset how long each endpoint has been silent, as a paused process could receive no response.

        Limitation: an endpoint that became silent during the pause is not ejected before its next request is overdue.
        """
        self.resumed_at_ms = self._context.now_ms
        for endpoint in endpoints:
            endpoint.silent_since_ms = self.resumed_at_ms

    def forget_classes(self, endpoints: Collection[EndpointRecord], change: SettingsChanged) -> None:
        """Clear the failures of replaced classes."""
        for index, _ in change.replaced_classes:
            for endpoint in endpoints:
                endpoint.class_health.pop(index, None)

    def _ejection_ms(self, failures: int) -> float:
        factor = self._context.time_unit_ms * 2 ** min(MAX_DOUBLINGS, failures)
        return float(factor * (MIN_EJECTION_JITTER + self._context.random()))
