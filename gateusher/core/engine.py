"""Drives the policy: passes it events, performs its actions, and delivers one final response per request.

A front end (a listener, or the library) passes a `ClientRequest` to `Engine.submit` and receives its `FinalResponse`,
once, through the request's `client`.  The engine owns everything in between: the requests, their attempts and ids,
whether a rejection is safe, and when a request's bytes and id are released.  Nothing else calls the policy.
"""

from __future__ import annotations

import traceback
from collections import deque
from math import inf
from typing import TYPE_CHECKING, Final

from ..base.clock import Clock
from ..base.diagnostics import Diagnostics, Invariant
from ..base.limits import MemoryBudget
from ..base.log import log_event
from ..policy import Balancer
from ..policy.interface import (
    NEVER_EXECUTED,
    Action,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    CloseIdleConnections,
    DeduplicationScope,
    Effect,
    Event,
    Fail,
    HealthCheck,
    Outcome,
    Reject,
    ResponseStalled,
    Send,
    SetTimer,
    Settings,
    SettingsChanged,
    UploadCompleted,
    WatchEndpointList,
)
from ..policy.permission import Denial, RequestFacts, denied, may_reject
from ..policy.retries import await_response_until_ms, write_stall_timeout_ms
from ..upstream.interface import MIN_ATTEMPT_MS, Attempt, EndpointResponse
from .attempts import HealthCheckAttempt, RequestAttempt
from .backlog import Backlog
from .deadlines import RequestDeadlines
from .policy_timers import PolicyTimers
from .request_ids import RequestIds
from .requests import ClientRequest, FinalOutcome, FinalResponse, RequestFault, class_rules, find_fault, policy_event
from .states import ANSWERED, CONCLUDE, DISCONNECT, DISCONNECTED, OPEN, RELEASE, SUBMIT

if TYPE_CHECKING:  # not imported at run time, to keep the daemon's start short
    from .ports import EndpointListSource, Timers, UpstreamConnections

__all__ = ["ClientRequest", "Engine", "FinalOutcome", "FinalResponse", "RequestFault"]

DEFAULT_RETRY_AFTER_MS: Final = 250.0  # if the policy suggests none
HEALTH_CHECK_TIMEOUT_MS: Final = 500.0  # counted from when its connection is up
TICK_MS: Final = 100.0  # interval between calls of `Backlog.tick`
# Minimum interval between reads of pending list updates before a send.  Shorter than the delay between reading the
# clock and writing, which a drain's grace period covers in any case.
LIST_READ_INTERVAL_MS: Final = 20.0


class Engine:
    """Owns all requests, from their submission until their last attempt has ended.

    `methods` holds the methods that each class allows, in the order of the classes.  `max_requests` bounds the
    requests that are open or have attempts in flight.  `call_later` takes seconds.  `upstream` and `discovery` must
    be set before the first event.
    """

    upstream: UpstreamConnections
    discovery: EndpointListSource

    def __init__(
        self,
        settings: Settings,
        methods: tuple[frozenset[bytes], ...],
        seed: int,
        clock: Clock,
        call_later: Timers,
        max_requests: int,
        memory: MemoryBudget,
        diagnostics: Diagnostics | None = None,
    ) -> None:
        self.diagnostics = diagnostics or Diagnostics()
        self.backlog = Backlog(TICK_MS)
        self.requests: dict[int, ClientRequest] = {}  # by request number
        self._balancer = Balancer(settings, seed)
        self._settings = settings
        self._rules = class_rules(settings)
        self._methods = methods
        self._clock = clock
        self._max_requests = max_requests
        self._memory = memory
        self._deadlines = RequestDeadlines(call_later, self._on_overdue)
        self._list_read_ms = -inf  # when pending list updates were last read before a send
        self._events: deque[Event] = deque()
        self._is_handling_events = False
        self._next_request_number = 1
        self.ids = RequestIds()
        self._policy_timers = PolicyTimers(call_later, self.deliver)
        self._perform = {
            Send: self._send,
            Reject: self._reject,
            Fail: self._fail,
            Cancel: self._cancel,
            SetTimer: self._set_timer,
            HealthCheck: self._check_health,
            CloseIdleConnections: lambda action: self.upstream.close_idle_connections(action.endpoint),
            WatchEndpointList: self._watch_endpoint_list,
        }

    # -- events

    def deliver(self, event: Event) -> None:
        """Pass an event to the policy and perform its actions; events that they cause are queued behind it."""
        events = self._events
        events.append(event)
        if self._is_handling_events:
            return
        self._is_handling_events = True
        try:
            while events:
                self._handle(events.popleft())
        finally:
            self._is_handling_events = False

    def _handle(self, event: Event) -> None:
        # If the policy or an action fails on a request, the others must not be affected; its deadline ends it.
        try:
            actions: list[Action] = self._balancer.handle(self._clock.now_ms(), event)
        except Exception:
            self._record_unhandled(event)
            return
        for action in actions:
            try:
                self._perform[type(action)](action)  # type: ignore[operator]
            except Exception:
                self._record_unhandled(event)

    def _record_unhandled(self, event: Event) -> None:
        """Log the exception being handled and record that the policy, or an action for this event, raised it."""
        log_event(f"{type(event).__name__} could not be handled", traceback.format_exc(limit=-3).strip())
        request = self.requests.get(getattr(event, "request", 0))  # not every event concerns a request
        self.diagnostics.record_violation(Invariant.NO_EVENT_UNHANDLED, request.request_id if request else b"")

    # -- called by front ends

    def retry_after_ms(self, advised_ms: float) -> float:
        """Return the retry delay to send with a rejection: `advised_ms` or the default, up to the settings' limit."""
        max_ms = self._settings.max_retry_after_ms
        retry_after_ms = advised_ms or DEFAULT_RETRY_AFTER_MS
        return min(retry_after_ms, max_ms) if max_ms > 0 else retry_after_ms

    def submit(self, request: ClientRequest, timeout_ms: float, reserved: bool = False) -> RequestFault | None:
        """Accept a request.  The engine owns it from here on, including the bytes of its body.

        A request with a fault is not accepted: the caller keeps it, and none of its callbacks is called.  `reserved`
        says that its id is already reserved.
        """
        class_index = request.class_index
        rules = request.former_rules or self._rules[class_index]
        fault = find_fault(request, timeout_ms, rules.effect is Effect.KEYED, self._methods[class_index])
        if fault is None and not reserved and self.ids.is_in_flight(request.request_id):
            fault = RequestFault.CONFLICT
        if fault is None and rules.effect is not Effect.IDEMPOTENT and self.ids.has_executed(request.request_id):
            self.diagnostics.note("not accepted", "its id has run", request.request_id)
            fault = RequestFault.CONFLICT
        if fault is not None:
            return fault
        request.rules = rules
        now_ms = self._clock.now_ms()
        self._register(request, timeout_ms, now_ms)
        if len(self.requests) > self._max_requests or request.deadline_ms <= now_ms:
            # Nothing was sent, so a retry is harmless.
            self._conclude(request, FinalResponse(FinalOutcome.REJECTED, None, self.retry_after_ms(0.0)))
            return None
        self._deadlines.start_timer(request, now_ms)
        self.deliver(policy_event(request, now_ms))
        return None

    def _register(self, request: ClientRequest, timeout_ms: float, now_ms: float) -> None:
        request.transition(SUBMIT)
        request.request_number = self._next_request_number
        self._next_request_number += 1
        if request.upload is None:
            request.timeout_ms = timeout_ms - request.unread_ms
            self._deadlines.set(request, now_ms + request.timeout_ms)
        else:
            request.timeout_ms = timeout_ms
            self._deadlines.set(request, inf)
        self.requests[request.request_number] = request
        self.ids.take(request.request_id, request.is_idempotent)

    def upload_completed(self, request: ClientRequest, unread_ms: float = 0.0) -> None:
        """Start the request's timeout: the last byte of its upload has arrived (PROTOCOL, Figures).

        If that byte was queued unread for `unread_ms`, the timeout began that much earlier.
        """
        assert request.upload
        if request.state == OPEN:
            now_ms = self._clock.now_ms()
            self._deadlines.set(request, now_ms + request.timeout_ms - unread_ms)
            self._deadlines.start_timer(request, now_ms)
            for attempt in request.attempts.values():
                attempt.latest_ms = request.deadline_ms
            self.deliver(UploadCompleted(request.request_number))
        request.upload.finish()

    def client_disconnected(self, request: ClientRequest) -> None:
        """Finish the request without a final response, as its client has disconnected."""
        if request.state == OPEN:
            self._finish(request, DISCONNECT)
            self._abandon(request)

    def client_still_connected(self, request: ClientRequest) -> bool:
        """Return whether the client is connected, checked now: its end may be unread behind what is handled first."""
        return not request.client.is_disconnected(request)

    # -- called by the daemon and the library

    def end_by(self, latest_ms: float) -> None:
        """Bound all deadlines by `latest_ms`, when the process ends."""
        self._deadlines.end_by(latest_ms, list(self.requests.values()), self._clock.now_ms())

    def expire(self) -> None:
        """End all open requests now, without waiting for their timers."""
        for request in list(self.requests.values()):
            self._on_overdue(request)

    def apply_settings(
        self,
        settings: Settings,
        methods: tuple[frozenset[bytes], ...],
        replaced_classes: tuple[tuple[int, int | None], ...],
        live_classes: tuple[int, ...],
        never_repeat: frozenset[int] = frozenset(),
    ) -> None:
        """Use these settings from now on; for the class parameters see `SettingsChanged`."""
        self._settings, self._methods, self._rules = settings, methods, class_rules(settings)
        for request in self.requests.values():
            request.rules = request.rules.limit_attempts(settings.max_attempts)
        self.deliver(SettingsChanged(settings, replaced_classes, live_classes, never_repeat))

    def close(self) -> None:
        """Shut down at once: deliver the final responses of open requests, abort attempts, cancel timers."""
        self.expire()
        for request in list(self.requests.values()):
            for attempt in list(request.attempts.values()):
                self._abort(attempt)
        self._policy_timers.cancel_all()

    # -- called by attempts

    def may_write_attempt(self, request: ClientRequest) -> bool:
        """Return whether an attempt that was allowed may still be written, now that its connection is up."""
        self._read_endpoint_list(self._clock.now_ms())
        if request.state != OPEN:
            # Not expected: finishing a request aborts its attempts that are not yet written.
            self.diagnostics.record_violation(Invariant.NO_ATTEMPT_FOR_NOBODY, request.request_id)
            self._note_denial(request, Denial.OVER)
            return False
        if not self.client_still_connected(request):
            self._note_denial(request, Denial.CLIENT_LEFT)
            return False
        return True

    def response_awaited_until_ms(self, attempt: RequestAttempt, is_progressing: bool) -> float:
        """Return until when an incomplete response is waited for, now that its attempt's time is over.

        If it makes no progress, the policy may send another attempt beside it.
        """
        request = attempt.request
        if request.state != OPEN or is_progressing:
            return request.deadline_ms
        self.deliver(ResponseStalled(request.request_number, attempt.number))
        is_alone = len(request.attempts) == 1
        return await_response_until_ms(request.rules.effect, is_alone, request.deadline_ms, request.timeout_ms)

    def attempt_ended(
        self,
        attempt: RequestAttempt,
        outcome: Outcome,
        report: tuple[float, ...],
        elapsed_ms: float,
        response: EndpointResponse,
    ) -> None:
        """Handle the outcome of an attempt, called once per attempt; the first OK is the final response."""
        request = attempt.request
        del request.attempts[attempt.number]
        request.last_outcome = outcome
        if outcome not in NEVER_EXECUTED:
            request.attempt_may_have_run = True
            request.bound_retries_by_window(attempt.sent_ms, self._settings.tick_ms)
        if outcome is Outcome.OK:
            request.served = True
            self._serve(request, response)
        else:
            self.diagnostics.note("attempt", outcome.name.lower(), request.request_id)
        self._release_if_ended(request)
        finished = request.is_finished
        event = AttemptEnded(
            request.request_number, attempt.number, attempt.endpoint_id, elapsed_ms, outcome, finished, report
        )
        self.deliver(event)

    def _serve(self, request: ClientRequest, response: EndpointResponse) -> None:
        if request.state == OPEN:
            self._finish(request, CONCLUDE)
            request.client.on_final_response(request, FinalResponse(FinalOutcome.SERVED, response, 0.0, True))
        elif response.body_stream:
            response.body_stream.cancel()  # no client is left to receive it

    # -- the end of a request

    def _finish(self, request: ClientRequest, event: str) -> None:
        request.transition(event)
        self._deadlines.stop_timer(request)
        self._policy_timers.cancel_hold(request.request_number)

    def _release_if_ended(self, request: ClientRequest) -> None:
        """Release the bytes and the id of a finished request without attempts in flight, and remove it."""
        if request.state not in (ANSWERED, DISCONNECTED) or request.attempts:
            return
        request.transition(RELEASE)
        del self.requests[request.request_number]
        if request.may_have_run and not request.is_idempotent:
            self.ids.record_executed(request.request_id)
        self.ids.release(request.request_id)
        self._memory.release(len(request.body))
        request.body = b""
        if request.upload:
            request.upload.release()
        request.client.on_released(request)

    def _conclude(self, request: ClientRequest, final: FinalResponse) -> None:
        """Deliver a final response that does not come from an endpoint."""
        reason = f"after {request.last_outcome.name.lower()}" if request.attempts_made else "never sent"
        self.diagnostics.note(final.outcome.value, reason, request.request_id)
        self._finish(request, CONCLUDE)
        request.client.on_final_response(request, final)
        self._release_if_ended(request)

    def _on_overdue(self, request: ClientRequest) -> None:
        """Deliver the final response of a request whose deadline has passed, or that is open when the process ends.

        This is independent of the policy.  Only the policy rejects, and only if a retry is provably harmless, so
        the outcome here is a failure, after which the request may have run.
        """
        if request.state == OPEN:
            self.diagnostics.note(FinalOutcome.TIMED_OUT.value, "overdue", request.request_id)
            self._finish(request, CONCLUDE)
            final = FinalResponse(FinalOutcome.TIMED_OUT, None, 0.0, request.may_have_run)
            request.client.on_final_response(request, final)
            self._abandon(request)

    def _abandon(self, request: ClientRequest) -> None:
        """Notify the policy that no client waits for this request any more, and abort its unwritten attempts.

        An attempt that is not written completely never runs once it is aborted.  The others continue to their end or
        their deadline, so that the policy learns from them and their connections can be reused.  Limitation: if
        clients routinely disconnect and retry while dials are slow, each retry costs a connection.
        """
        self.deliver(ClientDisconnected(request.request_number))
        for attempt in list(request.attempts.values()):
            if not attempt.written:
                self.upstream.abort_attempt(attempt, Outcome.NOT_SENT)
        self._release_if_ended(request)

    # -- actions

    def _send(self, action: Send) -> None:
        request = self.requests.get(action.request)
        now_ms = self._clock.now_ms()
        self._read_endpoint_list(now_ms)
        if request is None:
            self._note_denial(None, Denial.OVER)
            self._report_not_sent(action, 0, is_finished=True)
            return
        number = request.attempts_made
        request.attempts_made += 1
        expires_ms = request.deadline_ms
        if action.expires_ms > 0:
            expires_ms = min(action.expires_ms, request.deadline_ms)
        left_ms = min(expires_ms, request.write_by_ms) - now_ms
        denial = self._find_denial(request, number, left_ms)
        if denial is not None:
            self._note_denial(request, denial)
            self._report_not_sent(action, number, is_finished=request.state != OPEN)
            return
        attempt = RequestAttempt(self, request, number, action.endpoint, now_ms, expires_ms)
        self._start(attempt, left_ms)

    def _report_not_sent(self, action: Send, number: int, is_finished: bool) -> None:
        self.deliver(AttemptEnded(action.request, number, action.endpoint, 0.0, Outcome.NOT_SENT, is_finished))

    def _find_denial(self, request: ClientRequest, number: int, left_ms: float) -> Denial | None:
        """Return why this attempt may not begin, or None if it may.  The client's connection is checked last."""
        upload = request.upload
        facts = RequestFacts(
            request.state == OPEN,
            request.rules.effect,
            request.may_have_run,
            number,
            request.rules.max_attempts,
            left_ms,
            MIN_ATTEMPT_MS,
            upload is not None and upload.is_discarded,
        )
        denial = denied(facts)
        if denial is Denial.MAY_HAVE_RUN:
            self.diagnostics.record_violation(Invariant.NO_REPEAT_OF_WHAT_MAY_HAVE_RUN, request.request_id)
        if denial is None and not self.client_still_connected(request):
            self.client_disconnected(request)
            return Denial.CLIENT_LEFT
        return denial

    def _note_denial(self, request: ClientRequest | None, denial: Denial) -> None:
        self.diagnostics.note("not sent", denial.name.lower(), request.request_id if request else b"")

    def _start(self, attempt: RequestAttempt, left_ms: float) -> None:
        """Pass an attempt that may be sent to the connection pool."""
        request = attempt.request
        upload = request.upload
        request.attempts[attempt.number] = attempt
        if attempt.number:
            self.diagnostics.note("repeat", f"after {request.last_outcome.name.lower()}", request.request_id)
        if upload:
            attempt.write_stall_ms = write_stall_timeout_ms(request.timeout_ms)
        if upload and not upload.is_complete:
            attempt.post_upload_ms = min(left_ms, request.timeout_ms)
            attempt.expires_ms = attempt.write_by_ms = inf
        self.upstream.start_attempt(attempt)

    def _read_endpoint_list(self, now_ms: float) -> None:
        """Read and apply pending updates of the endpoint list, unless that was done within LIST_READ_INTERVAL_MS.

        After a pause of the machine, requests, timers and a drain update are ready in the same iteration of the event
        loop, in any order, and the grace period of that drain may already be over.
        """
        if now_ms - self._list_read_ms > LIST_READ_INTERVAL_MS:
            self._list_read_ms = now_ms
            self.discovery.catch_up()

    def _reject(self, action: Reject) -> None:
        request = self.requests.get(action.request)
        if request is None or request.state != OPEN:
            return
        rules = request.rules
        if not may_reject(rules.effect, request.may_have_run, rules.scope is DeduplicationScope.ALL):
            self.diagnostics.record_violation(Invariant.NO_REFUSAL_OF_WHAT_MAY_HAVE_RUN, request.request_id)
            self._conclude(request, FinalResponse(FinalOutcome.FAILED, None, 0.0, True))
            return
        retry_after_ms = self.retry_after_ms(action.retry_after_ms)
        final = FinalResponse(FinalOutcome.REJECTED, None, retry_after_ms, request.may_have_run)
        self._conclude(request, final)

    def _fail(self, action: Fail) -> None:
        request = self.requests.get(action.request)
        if request is None or request.state != OPEN:
            return
        timed_out = request.last_outcome is Outcome.TIMEOUT
        outcome = FinalOutcome.TIMED_OUT if timed_out else FinalOutcome.FAILED
        self._conclude(request, FinalResponse(outcome, None, 0.0, request.may_have_run))

    def _cancel(self, action: Cancel) -> None:
        request = self.requests.get(action.request)
        attempt = request.attempts.get(action.attempt) if request else None
        if attempt:
            self._abort(attempt)

    def _abort(self, attempt: Attempt) -> None:
        """Abort an attempt; the outcome says whether it can have run."""
        self.upstream.abort_attempt(attempt, Outcome.CANCELLED if attempt.written else Outcome.NOT_SENT)

    def _check_health(self, action: HealthCheck) -> None:
        """Send an active health check; its outcome is derived from the response in the same way as an attempt's."""
        now_ms = self._clock.now_ms()
        expires_ms = now_ms + (HEALTH_CHECK_TIMEOUT_MS + self._settings.dial_timeout_ms)
        pulls_report = self.upstream.pulls_reports
        self.upstream.start_attempt(HealthCheckAttempt(self, pulls_report, action.endpoint, now_ms, expires_ms))

    def _set_timer(self, action: SetTimer) -> None:
        if action.held_request is None:
            self._policy_timers.start(action)
            return
        request = self.requests.get(action.held_request)
        if request and request.state == OPEN:
            self._policy_timers.start_hold(request.request_number, action)

    def _watch_endpoint_list(self, action: WatchEndpointList) -> None:
        if action.enable:
            self.discovery.watch()
        else:
            self.discovery.stop()
