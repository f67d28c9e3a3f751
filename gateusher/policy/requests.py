"""The lifecycle of a request in the policy: admission, attempts, waits between them, and the final action.

Owns the pending requests and the attempts in flight.
"""

from __future__ import annotations

from .admission import AdmissionControl
from .context import DecisionContext
from .control_set import ControlSet
from .endpoint_list import EndpointList
from .endpoint_selection import EndpointSelector
from .feedback import OutcomeFeedback
from .interface import (
    HOLD_TIMER_OFFSET,
    NEVER_EXECUTED,
    AttemptEnded,
    ClientDisconnected,
    CloseIdleConnections,
    DeduplicationScope,
    Effect,
    Fail,
    HealthCheck,
    Reject,
    Request,
    ResponseStalled,
    ResponseStarted,
    Send,
    SetTimer,
    SettingsChanged,
    UploadCompleted,
)
from .load_estimates import LoadEstimates
from .outlier_detection import OutlierDetector
from .permission import may_reject
from .records import LONG_AGO_MS, EndpointRecord, PendingRequest, SentAttempt
from .retries import RetryPolicy
from .slow_start import SlowStart

DEADLINE_MARGIN_TICKS = 2
MIN_HOLD_TICKS = 2
MIN_EXPECTED_LOAD = 0.2
HEALTH_CHECK_SHARE = 0.2  # share of the attempts that also trigger a health check


class RequestLifecycle:
    """Manages pending requests from their arrival until they are answered and their last attempt has ended."""

    def __init__(
        self,
        context: DecisionContext,
        control_set: ControlSet,
        estimates: LoadEstimates,
        outliers: OutlierDetector,
        slow_start: SlowStart,
        admission: AdmissionControl,
        selector: EndpointSelector,
        endpoint_list: EndpointList,
    ) -> None:
        self._context = context
        self._control_set = control_set
        self._estimates = estimates
        self._outliers = outliers
        self._slow_start = slow_start
        self._admission = admission
        self._selector = selector
        self._endpoint_list = endpoint_list
        self._retries = RetryPolicy(context, estimates, admission)
        self._feedback = OutcomeFeedback(context, control_set, estimates, outliers, slow_start, admission)
        self.pending: dict[int, PendingRequest] = {}

    def start(self, event: Request) -> None:
        """Admit a new request and send its first attempt, or reject it."""
        class_index = event.class_index
        time_limit_ms, deadline_ms = self._deadline(event)
        request = self.pending[event.request] = PendingRequest(
            event.request,
            class_index,
            event.affinity_key,
            self._context.now_ms,
            deadline_ms,
            event.rules or self._context.retry_rules(class_index),
            time_limit_ms,
            event.upload_timeout_ms > 0,
        )
        self._admission.count_request(class_index)
        if not self._admission.admit_new(class_index):
            self._end(request)
            return
        self._estimates.count_request()
        self._next_attempt(request)

    def upload_completed(self, event: UploadCompleted) -> None:
        """Start the request's timeout at the last byte of its body."""
        request = self.pending.get(event.request)
        if request:
            request.started_at_ms = self._context.now_ms
            request.deadline_ms = self._context.now_ms + request.time_limit_ms

    def settings_changed(self, change: SettingsChanged) -> None:
        """Limit the attempts of pending requests to what the new settings allow."""
        for request in self.pending.values():
            request.rules = request.rules.limit_attempts(change.settings.max_attempts)

    def client_disconnected(self, event: ClientDisconnected) -> None:
        """Drop a request whose client has disconnected."""
        request = self.pending.get(event.request)
        if request:
            self._forget(request)

    def response_started(self, event: ResponseStarted) -> None:
        """Record that the endpoint has started to respond."""
        request = self.pending.get(event.request)
        if request and event.attempt < len(request.attempts):
            self._outliers.responded(request.attempts[event.attempt].endpoint)

    def response_stalled(self, event: ResponseStalled) -> None:
        """Send a second attempt beside one whose response has begun and stopped, if two may be in flight at once."""
        request = self.pending.get(event.request)
        if request is None or request.ended or request.in_flight != 1 or not self._retries.may_hedge(request):
            return
        endpoint = self._selector.select(request)
        if endpoint is not None and endpoint is not request.attempts[event.attempt].endpoint:
            self._send(request, endpoint)

    def hold_ended(self, request_id: int) -> None:
        """Send the next attempt of a held request whose timer fired."""
        request = self.pending.get(request_id)
        if request and not request.in_flight:
            self._next_attempt(request)

    def attempt_ended(self, event: AttemptEnded) -> None:
        """Learn from an ended attempt, then end the request, continue it, or wait for attempts in flight."""
        request = self.pending.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        request.in_flight -= 1
        self._release(attempt.endpoint)
        if request.is_upload:
            self._outliers.upload_attempt_ended(request, attempt)
        self._feedback.attempt_ended(request, attempt, event)
        if event.closed or request.ended:
            self._forget(request)
            return
        if event.outcome not in NEVER_EXECUTED:
            request.may_have_run = True
            effect = self._context.effect(request)
            if effect is Effect.NOT_IDEMPOTENT:
                self._end(request)
                return
            if effect is Effect.KEYED and request.first_execution is None:
                request.first_execution = attempt
        if not request.in_flight:
            self._next_attempt(request)

    def _deadline(self, event: Request) -> tuple[float, float]:
        """Return the time limit of a request from its last byte on, and its deadline.

        If a response after the latency objective has no weight, the deadline is no later than the objective.
        """
        now_ms, settings = self._context.now_ms, self._context.settings
        class_settings = settings.classes[event.class_index]
        deadline_ms = now_ms + event.timeout_ms - DEADLINE_MARGIN_TICKS * settings.tick_ms
        if class_settings.late_weight <= 0:
            objective_ms = (
                class_settings.latency_objective_ms + class_settings.latency_objective_stretch * event.cost_hint_ms
            )
            deadline_ms = min(deadline_ms, now_ms + objective_ms - settings.tick_ms)
        return deadline_ms - now_ms, deadline_ms + event.upload_timeout_ms

    def _next_attempt(self, request: PendingRequest) -> None:
        """Send the next attempt, hold the request, or end it."""
        attempts, retries = len(request.attempts), self._retries
        left_ms = request.deadline_ms - self._context.now_ms
        if left_ms <= 0 or attempts >= retries.max_attempts(request):
            self._end(request)
            return
        if attempts and left_ms < retries.min_time_ms(request):
            self._end(request)
            return
        if request.may_have_run and self._context.effect(request) is Effect.NOT_IDEMPOTENT:
            self._end(request)  # the settings changed while the request was held
            return
        if attempts > request.attempts_at_backoff:
            request.attempts_at_backoff = attempts
            backoff_ms = retries.backoff_ms(request)
            if backoff_ms > 0:
                self._hold(request, backoff_ms)
                return
        if attempts and not self._admission.admits(request.class_index):
            self._end(request)
            return
        endpoint = self._selector.select(request)
        if endpoint is not None:
            self._send(request, endpoint)
        elif request.first_execution:
            self._end(request)
        else:
            self._endpoint_list.poll_on_shortage()
            request.round_start = attempts  # after the wait the same endpoints may be used again
            self._hold(request, self._estimates.service_time_ms[request.class_index])

    def _hold(self, request: PendingRequest, wait_ms: float) -> None:
        """Hold the request before its next attempt; end it now if no time for one would be left after the wait."""
        context = self._context
        wait_ms = (0.5 + context.random()) * max(wait_ms, MIN_HOLD_TICKS * context.settings.tick_ms)
        needed_ms = self._retries.min_time_ms(request) if request.attempts else 0.0
        if wait_ms >= request.deadline_ms - context.now_ms - needed_ms:
            self._end(request)
            return
        context.actions.append(SetTimer(request.request_id + HOLD_TIMER_OFFSET, wait_ms))

    def _send(self, request: PendingRequest, endpoint: EndpointRecord) -> None:
        context, class_index = self._context, request.class_index
        now_ms = context.now_ms
        expires_ms = self._retries.attempt_expires_ms(request)
        expected_load = self._estimates.expected_load(endpoint, class_index)
        if not (endpoint.in_flight and endpoint.awaiting_response):
            endpoint.awaiting_response = True
            endpoint.silent_since_ms = now_ms
        endpoint.in_flight += 1
        self._outliers.sent(endpoint, class_index, expires_ms)
        if now_ms < endpoint.slow_start_until_ms:
            self._slow_start.spend(endpoint)
        expected_load = max(MIN_EXPECTED_LOAD, expected_load)
        request.attempts.append(SentAttempt(endpoint, endpoint.entry, now_ms, expires_ms, expected_load))
        request.in_flight += 1
        context.actions.append(Send(request.request_id, endpoint.endpoint_id, expires_ms, request.deadline_ms))
        settings = context.settings
        if settings.reports_pulled and settings.may_probe and context.random() < HEALTH_CHECK_SHARE:
            self._pull_load_report()

    def _pull_load_report(self) -> None:
        """Send a health check to the endpoint with the oldest load report in a random control set."""
        drawn = self._control_set.draw()
        if drawn:
            oldest = min(drawn, key=lambda endpoint: endpoint.reported_at_ms)
            self._context.actions.append(HealthCheck(oldest.endpoint_id))

    def _release(self, endpoint: EndpointRecord) -> None:
        """Count an ended attempt; close the endpoint's idle connections if they will probably expire unused."""
        endpoint.in_flight = max(0, endpoint.in_flight - 1)
        endpoint.connection_used_at_ms = self._context.now_ms
        if endpoint.in_flight:
            return
        requests_while_idle = self._estimates.request_rate_per_ms * self._context.settings.idle_ms
        if requests_while_idle * endpoint.inclusion_probability < 1.0:
            endpoint.connection_used_at_ms = LONG_AGO_MS
            self._context.actions.append(CloseIdleConnections(endpoint.endpoint_id))

    def _end(self, request: PendingRequest) -> None:
        """End the request: reject it if a retry by the client is safe, and fail it otherwise."""
        self._endpoint_list.poll_on_shortage()
        may_have_run = request.may_have_run or request.in_flight > 0
        dropped_everywhere = request.rules.scope is DeduplicationScope.ALL
        if may_reject(self._context.effect(request), may_have_run, dropped_everywhere):
            retry_after_ms = self._retries.retry_after_ms(request)
            self._context.actions.append(Reject(request.request_id, retry_after_ms))
        else:
            self._context.actions.append(Fail(request.request_id))
        self._forget(request)

    def _forget(self, request: PendingRequest) -> None:
        request.ended = True
        if not request.in_flight:
            self.pending.pop(request.request_id, None)
