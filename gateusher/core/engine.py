"""The only caller of the policy: events in, actions out, one final response for each request.

A front end (a listener, or the library) hands over a `ClientRequest` by `Engine.submit` and receives its
`FinalResponse`, once, through the request's `client`.  The engine owns everything between the two: the requests,
their attempts and ids, what a rejection may promise, and when a request's bytes and id are released.
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
    Send,
    SetTimer,
    Settings,
    SettingsChanged,
    TimerFired,
    UploadCompleted,
    WatchEndpointList,
)
from ..policy.permission import Denial, RequestFacts, denied, may_reject
from ..upstream.interface import MIN_ATTEMPT_MS, Attempt, EndpointResponse
from .attempts import HealthCheckAttempt, RequestAttempt
from .backlog import Backlog
from .deadlines import RequestDeadlines
from .presence import ClientPresence
from .requests import ClientRequest, FinalOutcome, FinalResponse, RequestFault, find_fault, policy_event
from .states import ANSWERED, CONCLUDE, DISCONNECT, DISCONNECTED, OPEN, RELEASE, SUBMIT

if TYPE_CHECKING:  # the daemon starts without these
    from .ports import EndpointListSource, Timer, Timers, UpstreamConnections

__all__ = ["ClientRequest", "Engine", "FinalOutcome", "FinalResponse", "RequestFault"]

DEFAULT_RETRY_AFTER_MS: Final = 250.0  # where the policy advises nothing
HEALTH_CHECK_TIMEOUT_MS: Final = 500.0  # from when its connection is up
TICK_MS: Final = 100.0  # between two calls of `Backlog.tick`
LIST_READ_INTERVAL_MS: Final = 20.0  # shortest time between two reads of unread list updates before sends


class Engine:
    """All requests in hand.

    `methods` holds the methods that each class allows, in the order of the classes; `max_requests` bounds the
    requests that are open or have attempts in flight; `call_later` takes seconds.  `upstream` and `discovery` are set
    before the first event.
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
        self.requests: dict[int, ClientRequest] = {}  # by the number that the engine gave them
        self._balancer = Balancer(settings, seed)
        self._settings = settings
        self._methods = methods
        self._clock = clock
        self._call_later = call_later
        self._max_requests = max_requests
        self._memory = memory
        self._deadlines = RequestDeadlines(call_later, self._on_overdue)
        self._presence = ClientPresence()
        self._list_read_ms = -inf  # when the endpoint list's unread updates were last read before a send
        self._events: deque[Event] = deque()
        self._is_handling_events = False
        self._next_request_number = 1
        self._reserved_ids: set[bytes] = set()  # of the requests in hand, and of those still being prepared
        self._policy_timers: set[Timer] = set()
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
        """Give the policy an event and perform its actions; events that these cause are handled in order after it."""
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
        # A request on which the policy or an action fails must not affect the others; its deadline ends it.
        try:
            actions: list[Action] = self._balancer.handle(self._clock.now_ms(), event)
            for action in actions:
                self._perform[type(action)](action)  # type: ignore[operator]
        except Exception:
            log_event(f"{type(event).__name__} could not be handled", traceback.format_exc(limit=-3).strip())

    # -- called by front ends

    def reserve_request_id(self, request_id: bytes) -> bool:
        """Reserve the id of a request that is still being prepared; False where it is reserved already.

        An id stays reserved while a request with it is open or has an attempt in flight: endpoints could not tell
        another request with this id from a retry.
        """
        if not request_id or request_id in self._reserved_ids:
            return False
        self._reserved_ids.add(request_id)
        return True

    def release_request_id(self, request_id: bytes) -> None:
        """Release an id that was reserved and under which no request was submitted."""
        self._reserved_ids.discard(request_id)

    def retry_after_ms(self, advised_ms: float) -> float:
        """What a rejection advises: the policy's advice or DEFAULT_RETRY_AFTER_MS, within the settings' limit."""
        max_ms = self._settings.max_retry_after_ms
        retry_after_ms = advised_ms or DEFAULT_RETRY_AFTER_MS
        return min(retry_after_ms, max_ms) if max_ms > 0 else retry_after_ms

    def submit(self, request: ClientRequest, timeout_ms: float, reserved: bool = False) -> RequestFault | None:
        """Accept a request; it belongs to the engine from here on, with the bytes of its body.

        A request with a fault is not accepted: it stays the caller's, and its client is not called back.  `reserved`
        says that its id is reserved already.
        """
        class_index = request.class_index
        is_keyed = self._settings.classes[class_index].effect is Effect.KEYED
        fault = find_fault(request, timeout_ms, is_keyed, self._methods[class_index])
        if fault is None and not reserved and request.request_id in self._reserved_ids:
            fault = RequestFault.CONFLICT
        if fault is not None:
            return fault
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
        request.move(SUBMIT)
        request.request_number = self._next_request_number
        self._next_request_number += 1
        self._presence.on_submitted(request, now_ms)
        if request.upload is None:
            request.timeout_ms = timeout_ms - request.unread_ms
            self._deadlines.set(request, now_ms + request.timeout_ms)
        else:
            request.timeout_ms = timeout_ms
            self._deadlines.set(request, inf)
        request.max_attempts = self._settings.max_attempts
        self.requests[request.request_number] = request
        self._reserved_ids.add(request.request_id)

    def upload_completed(self, request: ClientRequest, unread_ms: float = 0.0) -> None:
        """The last byte of an upload has arrived: the request's time begins (PROTOCOL, Figures).

        It began `unread_ms` earlier where that byte was queued unread.
        """
        assert request.upload
        if request.state == OPEN:
            now_ms = self._clock.now_ms()
            self._deadlines.set(request, now_ms + request.timeout_ms - unread_ms)
            self._deadlines.start_timer(request, now_ms)
            self.deliver(UploadCompleted(request.request_number))
        request.upload.finish()

    def client_disconnected(self, request: ClientRequest) -> None:
        """The client has disconnected: no final response is due any more."""
        if request.state == OPEN:
            self._finish(request, DISCONNECT)
            self._abandon(request)

    def client_still_connected(self, request: ClientRequest) -> bool:
        """Whether the client is connected, looked up where it was not seen lately; see `presence.py`."""
        return self._presence.is_connected(request, self._clock.now_ms())

    # -- called by the daemon and the library

    def end_by(self, latest_ms: float) -> None:
        """The process ends then: no request's deadline is later."""
        self._deadlines.end_by(latest_ms, list(self.requests.values()), self._clock.now_ms())

    def expire(self) -> None:
        """End all open requests now, whichever timer would have come first."""
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
        """Use other settings for what comes from now on; for the classes see `SettingsChanged`."""
        self._settings, self._methods = settings, methods
        self.deliver(SettingsChanged(settings, replaced_classes, live_classes, never_repeat))

    def close(self) -> None:
        """End at once: open requests get their final response, attempts are aborted, no timer is left."""
        self.expire()
        for request in list(self.requests.values()):
            for attempt in list(request.attempts.values()):
                self._abort(attempt)
        for timer in self._policy_timers:
            timer.cancel()
        self._policy_timers.clear()

    # -- called by attempts

    def may_write_attempt(self, request: ClientRequest) -> bool:
        """Whether an attempt that was allowed may still be written, now that its connection is up."""
        self._read_endpoint_list(self._clock.now_ms())
        if request.state != OPEN:
            # Whatever finishes a request aborts its attempts that are not written.
            self.diagnostics.record_violation(Invariant.NO_ATTEMPT_FOR_NOBODY, request.request_id)
            self._note_denial(request, Denial.OVER)
            return False
        if not self.client_still_connected(request):
            self._note_denial(request, Denial.CLIENT_LEFT)
            return False
        return True

    def attempt_ended(
        self,
        attempt: RequestAttempt,
        outcome: Outcome,
        report: tuple[float, ...],
        elapsed_ms: float,
        reply: EndpointResponse,
    ) -> None:
        """The one outcome of an attempt; the first OK is the final response."""
        request = attempt.request
        del request.attempts[attempt.number]
        request.last_outcome = outcome
        if outcome not in NEVER_EXECUTED:
            request.attempt_may_have_run = True
            self._bound_retries_by_window(request, attempt)
        if outcome is Outcome.OK:
            request.served = True
            self._serve(request, reply)
        else:
            self.diagnostics.note("attempt", outcome.name.lower(), request.request_id)
        self._release_if_ended(request)
        finished = request.is_finished
        event = AttemptEnded(
            request.request_number, attempt.number, attempt.endpoint_id, elapsed_ms, outcome, finished, report
        )
        self.deliver(event)

    def _bound_retries_by_window(self, request: ClientRequest, attempt: RequestAttempt) -> None:
        """Write no retry of a keyed request after its deduplication window.

        The policy decides on a retry within the window, but its connection may come up after it.  The window counts
        from when the first attempt that may have run was made or, for an upload, from when its last byte was written:
        an endpoint begins to execute no earlier.  Limitation: assumes a clock no coarser than the settings' tick.
        """
        if request.has_idempotency_key and request.write_by_ms == inf:
            window_ms = self._settings.classes[request.class_index].window_ms
            request.write_by_ms = attempt.sent_ms + window_ms - self._settings.tick_ms

    def _serve(self, request: ClientRequest, reply: EndpointResponse) -> None:
        if request.state == OPEN:
            self._finish(request, CONCLUDE)
            request.client.on_final_response(request, FinalResponse(FinalOutcome.SERVED, reply, 0.0, True))
        elif reply.body_stream:
            reply.body_stream.cancel()  # no client is left to receive it

    # -- the end of a request

    def _finish(self, request: ClientRequest, event: str) -> None:
        request.move(event)
        self._deadlines.stop_timer(request)

    def _release_if_ended(self, request: ClientRequest) -> None:
        """Return the bytes and the id of a finished request without attempts in flight, and forget it."""
        if request.state not in (ANSWERED, DISCONNECTED) or request.attempts:
            return
        request.move(RELEASE)
        del self.requests[request.request_number]
        self._reserved_ids.discard(request.request_id)
        self._memory.release(len(request.body))
        request.body = b""
        if request.upload:
            request.upload.release()
        request.client.on_released(request)

    def _conclude(self, request: ClientRequest, final: FinalResponse) -> None:
        """Deliver a final response that no endpoint gave."""
        reason = f"after {request.last_outcome.name.lower()}" if request.attempts_made else "never sent"
        self.diagnostics.note(final.outcome.value, reason, request.request_id)
        self._finish(request, CONCLUDE)
        request.client.on_final_response(request, final)
        self._release_if_ended(request)

    def _on_overdue(self, request: ClientRequest) -> None:
        """The time of a request is over, or the process ends: it gets its final response, whatever the policy does.

        Only the policy rejects, where a retry is provably harmless; so this is a failure, which promises nothing.
        """
        if request.state == OPEN:
            self.diagnostics.note(FinalOutcome.TIMED_OUT.value, "overdue", request.request_id)
            self._finish(request, CONCLUDE)
            final = FinalResponse(FinalOutcome.TIMED_OUT, None, 0.0, request.may_have_run)
            request.client.on_final_response(request, final)
            self._abandon(request)

    def _abandon(self, request: ClientRequest) -> None:
        """No client waits for this request any more, and the policy doesn't know yet.

        Attempts that are not written completely are aborted, so that they never run.  The others continue to their
        end or their deadline, so that the policy learns from them and their connections can be reused.  Limitation:
        where clients disconnect and retry by habit while dials are slow, each retry costs a connection.
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
        arriving_until_ms = min(action.response_deadline_ms, request.deadline_ms)
        attempt = RequestAttempt(self, request, number, action.endpoint, now_ms, expires_ms, arriving_until_ms)
        self._start(attempt, left_ms)

    def _report_not_sent(self, action: Send, number: int, is_finished: bool) -> None:
        self.deliver(AttemptEnded(action.request, number, action.endpoint, 0.0, Outcome.NOT_SENT, is_finished))

    def _find_denial(self, request: ClientRequest, number: int, left_ms: float) -> Denial | None:
        """Why this attempt may not begin; None where it may.  Whether the client is connected is looked up last."""
        upload = request.upload
        facts = RequestFacts(
            request.state == OPEN,
            self._settings.classes[request.class_index].effect,
            request.may_have_run,
            number,
            min(request.max_attempts, self._settings.max_attempts),
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
        """Hand an attempt that may be sent to the connections."""
        request = attempt.request
        upload = request.upload
        request.attempts[attempt.number] = attempt
        if attempt.number:
            self.diagnostics.note("repeat", f"after {request.last_outcome.name.lower()}", request.request_id)
        if upload and not upload.is_complete:
            attempt.post_upload_ms = min(left_ms, request.timeout_ms)
            attempt.expires_ms = attempt.write_by_ms = attempt.response_deadline_ms = inf
        self.upstream.start_attempt(attempt)

    def _read_endpoint_list(self, now_ms: float) -> None:
        """Apply the endpoint list's unread updates, unless that was done within LIST_READ_INTERVAL_MS.

        A process that stood still finds requests, timers and a drain notice in one turn of the event loop, in any
        order, and the grace of that drain may be over.
        """
        if now_ms - self._list_read_ms > LIST_READ_INTERVAL_MS:
            self._list_read_ms = now_ms
            self.discovery.catch_up()

    def _reject(self, action: Reject) -> None:
        request = self.requests.get(action.request)
        if request is None or request.state != OPEN:
            return
        settings = self._settings.classes[request.class_index]
        if not may_reject(settings.effect, request.may_have_run, settings.scope is DeduplicationScope.ALL):
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
        """End an attempt with an outcome that says whether it can have run."""
        self.upstream.abort_attempt(attempt, Outcome.CANCELLED if attempt.written else Outcome.NOT_SENT)

    def _check_health(self, action: HealthCheck) -> None:
        """Send an active health check; its outcome follows from the response as that of an attempt does."""
        now_ms = self._clock.now_ms()
        expires_ms = now_ms + (HEALTH_CHECK_TIMEOUT_MS + self._settings.dial_timeout_ms)
        pulls_report = self.upstream.pulls_reports
        self.upstream.start_attempt(HealthCheckAttempt(self, pulls_report, action.endpoint, now_ms, expires_ms))

    def _set_timer(self, action: SetTimer) -> None:
        def fire() -> None:
            self._policy_timers.discard(timer)
            self.deliver(TimerFired(action.token))

        timer = self._call_later(action.delay_ms / 1000, fire)
        self._policy_timers.add(timer)

    def _watch_endpoint_list(self, action: WatchEndpointList) -> None:
        if action.enable:
            self.discovery.watch()
        else:
            self.discovery.stop()
