"""Feedback: passes the outcome of each attempt to the components that learn from it.  Owns no state."""

from __future__ import annotations

from .admission import AdmissionControl
from .context import DecisionContext
from .control_set import ControlSet
from .interface import AttemptEnded, Outcome
from .load_estimates import LoadEstimates
from .outlier_detection import OutlierDetector
from .records import EndpointRecord, PendingRequest, SentAttempt
from .slow_start import SlowStart

CONNECTION_FAILURES = (Outcome.CONNECT_FAILED, Outcome.RESET)
ANSWERED = (Outcome.OK, Outcome.REJECTED)


class OutcomeFeedback:
    """Updates admission control, estimates, outlier detection, slow start and control set after each attempt."""

    def __init__(
        self,
        context: DecisionContext,
        control_set: ControlSet,
        estimates: LoadEstimates,
        outliers: OutlierDetector,
        slow_start: SlowStart,
        admission: AdmissionControl,
    ) -> None:
        self._context = context
        self._control_set = control_set
        self._estimates = estimates
        self._outliers = outliers
        self._slow_start = slow_start
        self._admission = admission

    def attempt_ended(self, request: PendingRequest, attempt: SentAttempt, event: AttemptEnded) -> None:
        """Learn from an ended attempt; if the process was paused meanwhile, only whether the endpoint responded."""
        endpoint, outcome = attempt.endpoint, event.outcome
        answered = outcome in ANSWERED
        if attempt.sent_at_ms < self._outliers.resumed_at_ms:
            if answered:
                self._outliers.responded(endpoint)
            return
        admission = self._admission
        if answered:
            settings = self._context.settings.classes[request.class_index]
            latency_ms = self._context.now_ms - request.started_at_ms
            admission.on_response(outcome is Outcome.OK and latency_ms <= settings.latency_objective_ms)
        timed_out_before = endpoint.last_timed_out
        admission.count_outcome(endpoint, outcome)
        if event.report:
            self._estimates.load_report(endpoint, event.report)
        if answered:
            self._outliers.responded(endpoint)
        if outcome is Outcome.OK:
            self._served(request, attempt, event.elapsed_ms)
        elif outcome is Outcome.REJECTED:
            self._rejected(endpoint)
        elif outcome is Outcome.ERROR:
            self._estimates.failed(endpoint)
            self._control_set.penalize(endpoint)
            self._outliers.class_failed(endpoint, request.class_index, attempt.sent_at_ms)
        elif outcome is Outcome.TIMEOUT:
            self._timed_out(request, attempt, timed_out_before)
        elif outcome in CONNECTION_FAILURES and not self._outliers.responded_recently(endpoint):
            endpoint.connect_failed = outcome is Outcome.CONNECT_FAILED
            self._outliers.no_response(endpoint, attempt.sent_at_ms)

    def _served(self, request: PendingRequest, attempt: SentAttempt, elapsed_ms: float) -> None:
        endpoint, class_index = attempt.endpoint, request.class_index
        self._outliers.served(endpoint, class_index, attempt.sent_at_ms)
        if elapsed_ms <= self._estimates.latency_target_ms[class_index]:
            self._control_set.reward(endpoint)
        else:
            self._control_set.penalize(endpoint)
        self._estimates.served(endpoint, class_index, elapsed_ms, attempt.expected_load)
        self._slow_start.served(endpoint)

    def _rejected(self, endpoint: EndpointRecord) -> None:
        """Learn from a rejection; the higher the rejection rate, the less likely the endpoint is penalized."""
        self._estimates.rejected(endpoint)
        if self._context.random() >= self._admission.rejection_rate:
            self._control_set.penalize(endpoint)

    def _timed_out(self, request: PendingRequest, attempt: SentAttempt, timed_out_before: bool) -> None:
        """Learn from a timeout.

        If the endpoint served an attempt that was sent later, only the class failed there.  Otherwise admission
        control counts a timeout if the endpoint was not late before or the whole fleet is late, and else a late
        response if the endpoint has responded since the attempt was sent; further timeouts of a silent endpoint don't
        count there.
        """
        endpoint, sent_at_ms = attempt.endpoint, attempt.sent_at_ms
        if endpoint.last_served_sent_at_ms > sent_at_ms:
            self._outliers.class_failed(endpoint, request.class_index, sent_at_ms)
            return
        endpoint.connect_failed = False
        if not timed_out_before or self._admission.fleet_lateness():
            self._admission.on_timeout()
        elif endpoint.last_response_at_ms >= sent_at_ms:
            self._admission.on_response(within_objective=False)  # overloaded, not stalled
        self._outliers.no_response(endpoint, sent_at_ms)
