"""The only caller of the decision module: events in, actions out, one final answer for each request.

A front end (a listener, the library) hands in a `ClientRequest` by `take` and is told its `FinalResponse`, once,
through the request's `client`.  Everything between the two is here: the deadline, the attempts, what a refusal may
promise, and when the request's bytes and id are given back.
"""

from __future__ import annotations

import traceback
from collections import deque
from enum import Enum
from math import inf
from typing import TYPE_CHECKING, NamedTuple

from ..base.clock import Clock
from ..base.diagnostics import Diagnostics, Rule
from ..base.limits import MemoryBudget
from ..base.log import log_event
from ..policy import Balancer
from ..policy.interface import (
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
    HealthCheckEnded,
    Outcome,
    Reject,
    Request,
    Send,
    SetTimer,
    Settings,
    SettingsChanged,
    TimerFired,
    UploadCompleted,
    WatchEndpointList,
)
from ..policy.permission import Denial, RequestFacts, denied, may_reject
from ..upstream.interface import MIN_ATTEMPT_MS, NEVER_EXECUTED, Attempt, EndpointResponse, Headers, OutgoingRequest
from .backlog import Backlog
from .states import ANSWERED, CONCLUDE, LEAVE, LEFT, MAKING, OPEN, REQUEST, REST, TAKE

if TYPE_CHECKING:  # types alone, which a start need not make
    from .ports import ClientCallbacks, EndpointListSource, Timer, Timers, UpstreamConnections

DEFAULT_RETRY_AFTER_MS = 250.0  # what a refusal advises where the module wishes nothing
OVERDUE_MS = 10.0  # how long after its deadline a request that the module still holds is failed
UPLOAD_MS = 3.6e6  # what the module is told that a body may still take; its listener bounds it by its rate
PROBE_MS = 500.0  # how long a probe may take once its connection is up
CLIENT_SEEN_MS = 50.0  # a client that was there so recently is not looked for again before something is sent for it
STALL_MS = 20.0  # between two requests: the process may have stood still, and what is read then has waited
BACKLOG_MS = 100.0  # and so may have what is read for so long after that
BEAT_MS = 100.0  # between two beats of the loop
LIST_SEEN_MS = 20.0  # what was told of endpoints is read before a send, unless that was looked at so lately
MAX_BODY_BYTES = 65536  # bytes of a request's body, whichever face it comes through


class RequestFault(Enum):
    """Why a request can't be taken: it has reached no endpoint and never will."""

    PATIENCE = "the deadline is not a number of seconds above 0"
    ID = "the request id is missing"
    METHOD = "the method contradicts what the class says of repeats"
    KEY = "an idempotency key goes with keyed classes, and only with these"
    BODY = "this method has no body"
    CONFLICT = "a request with this id is open, or an attempt of it still out"


class FinalOutcome(Enum):
    """The kinds of final answer."""

    SERVED = "served"
    REJECTED = "refused"  # a repeat is harmless
    FAILED = "failed"  # it may have run, or its class forbids to say otherwise
    TIMED_OUT = "timed out"  # the same, since time ran out


class FinalResponse(NamedTuple):
    """The one final answer to a request."""

    outcome: FinalOutcome
    response: EndpointResponse | None = None  # an endpoint's, where it was served
    retry_after_ms: float = 0.0  # when to come back, where it was refused
    may_have_run: bool = False  # whether an endpoint may have begun it, as far as is known


class ClientRequest(OutgoingRequest):
    """One request of a client: from its last byte until it is answered and its attempts are over."""

    __slots__ = (
        "attempts",
        "client",
        "client_seen_ms",
        "class_index",
        "deadline_ms",
        "affinity_key",
        "has_idempotency_key",
        "last_outcome",
        "max_attempts",
        "request_id",
        "timeout_ms",
        "attempt_may_have_run",
        "read_at_once",
        "is_retry",
        "request_number",
        "served",
        "state",
        "tenant",
        "timer",
        "attempts_made",
        "unread_ms",
        "cost_hint_ms",
        "write_by_ms",
    )

    def __init__(
        self,
        client: ClientCallbacks,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes | bytearray,
        cls: int = 0,
        name: bytes = b"",
    ) -> None:
        super().__init__(method, target, headers, body)
        self.client, self.class_index, self.request_id = client, cls, name
        self.affinity_key = self.tenant = 0
        self.cost_hint_ms = 0.0
        self.has_idempotency_key = self.is_retry = False
        self.request_number, self.deadline_ms, self.timeout_ms = 0, 0.0, 0.0
        self.read_at_once = True  # it did not wait to be read, unless the process stood still
        self.unread_ms = 0.0  # how long it lay unread: its client's time began so much before it was taken
        self.client_seen_ms = -inf  # when its client was known to be there last
        self.attempts_made = self.max_attempts = 0  # attempts made, and allowed
        self.state: str = MAKING  # see core/states.py; the engine alone moves it
        self.attempt_may_have_run = False  # an attempt has ended that may have run
        self.served = False  # an attempt was answered, whoever still wanted it
        self.last_outcome = Outcome.NOT_SENT  # of the attempt that ended last
        self.write_by_ms = inf  # nothing of it may be written from then on: its key may be forgotten
        self.attempts: dict[int, RequestAttempt] = {}  # those without an outcome
        self.timer: Timer | None = None

    def move(self, event: str) -> None:
        self.state = REQUEST.next_state(self.state, event)

    @property
    def is_finished(self) -> bool:
        """Nothing is owed any more: answered, or the client has left."""
        return self.state not in (MAKING, OPEN)

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have begun it: an attempt that ended so, or one whose last byte is out."""
        return self.attempt_may_have_run or any(a.written for a in self.attempts.values())


class RequestAttempt(Attempt):
    """An attempt of a call."""

    __slots__ = ("call", "engine", "number")

    def __init__(
        self,
        engine: Engine,
        call: ClientRequest,
        number: int,
        eid: int,
        now: float,
        expires_ms: float,
        coming_ms: float,
    ) -> None:
        super().__init__(call, eid, now, expires_ms, call.write_by_ms, coming_ms)
        self.engine, self.call, self.number = engine, call, number

    def may_be_written(self) -> bool:
        return self.engine.may_write_attempt(self.call)

    def on_ended(
        self, outcome: Outcome, report: tuple[float, ...], elapsed_ms: float, reply: EndpointResponse
    ) -> None:
        self.engine.attempt_ended(self, outcome, report, elapsed_ms, reply)


class HealthCheckAttempt(Attempt):
    """A question how an endpoint is: nobody's request, so it has no final answer."""

    __slots__ = ("engine",)
    ignores_readiness = True

    def __init__(self, engine: Engine, message: OutgoingRequest, eid: int, now: float, expires_ms: float) -> None:
        super().__init__(message, eid, now, expires_ms)
        self.engine = engine

    def on_ended(
        self, outcome: Outcome, report: tuple[float, ...], elapsed_ms: float, reply: EndpointResponse
    ) -> None:
        self.engine.deliver(HealthCheckEnded(self.endpoint_id, elapsed_ms, outcome, report))


class Engine:
    """All requests in hand.  `methods` holds the methods that each class may use, in the order of the classes."""

    def __init__(
        self,
        settings: Settings,
        methods: tuple[frozenset[bytes], ...],
        seed: int,
        clock: Clock,
        timers: Timers,
        most_held: int,
        memory: MemoryBudget,
        diagnostics: Diagnostics | None = None,
    ) -> None:
        self._balancer = Balancer(settings, seed)
        self._settings, self._methods, self._memory = settings, methods, memory
        self._clock = clock
        self.backlog = Backlog(BEAT_MS)  # told each BEAT_MS, in the loop's own time
        self._call_later = timers
        self.diagnostics = diagnostics or Diagnostics()
        self._list_seen_ms = -inf  # when what was told of endpoints was last looked at before a send
        self._most_held = most_held
        self._events: deque[Event] = deque()
        self._busy = False
        self._next_id = 1
        self._took_ms = -inf  # when a request was taken last
        self._backlog_ms = -inf  # until then what is taken may have waited in the kernel
        self._latest = float("inf")  # no deadline is later than this: the process ends then
        self._timers: set[Timer] = set()  # the module's
        self.requests: dict[int, ClientRequest] = {}
        self._names: set[bytes] = set()  # the clients' own ids of these, and of those still being made
        self.upstream: UpstreamConnections
        self.discovery: EndpointListSource
        self._perform = {
            Send: self._send,
            Reject: self._refuse,
            Fail: self._fail,
            Cancel: self._cancel,
            SetTimer: self._set_timer,
            HealthCheck: self._probe,
            CloseIdleConnections: lambda a: self.upstream.close_idle_connections(a.endpoint),
            WatchEndpointList: self._watch,
        }

    # -- events

    def deliver(self, event: Event) -> None:
        """Give the module an event; the actions may cause more, which wait their turn."""
        events = self._events
        events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while events:
                self._step(events.popleft())
        finally:
            self._busy = False

    def _step(self, event: Event) -> None:
        # One request that trips the module or an action must not take the others along; its timer fails it.
        try:
            actions: list[Action] = self._balancer.handle(self._clock.now_ms(), event)
            for action in actions:
                self._perform[type(action)](action)  # type: ignore[operator]
        except Exception:
            log_event(f"{type(event).__name__} could not be handled", traceback.format_exc(limit=-3).strip())

    # -- what a face calls

    def reserve_request_id(self, name: bytes) -> bool:
        """Keep an id for a request that is still being made; False where it is taken.

        It is taken while a request with it is open, or an attempt of one still out: another under the same id
        could not be told from a second copy of it by any endpoint.
        """
        if not name or name in self._names:
            return False
        self._names.add(name)
        return True

    def release_request_id(self, name: bytes) -> None:
        """Give back an id that `reserve` kept and that no call was taken under."""
        self._names.discard(name)

    def retry_after_ms(self, wish_ms: float) -> float:
        """What a refusal advises: the module's wish, or a short wait, within what clients honour."""
        most = self._settings.max_retry_after_ms
        return min(wish_ms or DEFAULT_RETRY_AFTER_MS, most) if most > 0 else wish_ms or DEFAULT_RETRY_AFTER_MS

    def submit(self, call: ClientRequest, patience_ms: float, reserved: bool = False) -> RequestFault | None:
        """A whole request has come; it is the core's from here on, its body's bytes too.

        A request with a fault is not taken: it and its bytes stay the caller's, and it is told nothing.
        `reserved` says that `reserve` has kept its id already.
        """
        effect = self._settings.classes[call.class_index].effect
        if not patience_ms > 0:
            return RequestFault.PATIENCE
        if not call.request_id:
            return RequestFault.ID
        if call.method not in self._methods[call.class_index]:
            # The method says what a repeat would do.  Where it contradicts the class, neither may be trusted.
            return RequestFault.METHOD
        if call.has_idempotency_key is not (effect is Effect.KEYED):
            return RequestFault.KEY
        if (call.body or call.upload) and call.method == b"GET":
            return RequestFault.BODY
        if not reserved and call.request_id in self._names:
            return RequestFault.CONFLICT
        call.move(TAKE)
        call.request_number, self._next_id = self._next_id, self._next_id + 1
        now = self._clock.now_ms()
        if now - self._took_ms > STALL_MS:
            self._backlog_ms = now + BACKLOG_MS
        self._took_ms = now
        if call.read_at_once and now > self._backlog_ms:
            call.client_seen_ms = now
        upload = call.upload
        if upload is None:
            patience_ms -= call.unread_ms
        call.timeout_ms = patience_ms
        call.deadline_ms = min(now + patience_ms if upload is None else inf, self._latest)
        call.max_attempts = self._settings.max_attempts
        self.requests[call.request_number] = call
        self._names.add(call.request_id)
        if len(self.requests) > self._most_held or call.deadline_ms <= now:
            # No room, or its time was over when it was read: nothing is sent for it, so a repeat is harmless.
            self._conclude(call, FinalResponse(FinalOutcome.REJECTED, None, self.retry_after_ms(0.0)))
            return None
        if call.deadline_ms < inf:
            call.timer = self._call_later((call.deadline_ms - now + OVERDUE_MS) / 1000, self._overdue, call)
        self.deliver(
            Request(
                call.request_number,
                call.class_index,
                min(patience_ms, call.deadline_ms - now),
                call.affinity_key,
                call.tenant,
                call.cost_hint_ms,
                call.is_retry,
                False,
                UPLOAD_MS if upload else 0.0,
            )
        )
        return None

    def upload_completed(self, call: ClientRequest, waited_ms: float = 0.0) -> None:
        """The last byte of a body that was still coming is there: the request's time begins (PROTOCOL, Figures).

        It began `waited_ms` before where that byte lay unread.
        """
        assert call.upload
        if call.state == OPEN:
            now = self._clock.now_ms()
            call.deadline_ms = min(now + call.timeout_ms - waited_ms, self._latest)
            if call.timer:
                call.timer.cancel()
            call.timer = self._call_later((call.deadline_ms - now + OVERDUE_MS) / 1000, self._overdue, call)
            self.deliver(UploadCompleted(call.request_number))
        call.upload.finish()

    def client_disconnected(self, call: ClientRequest) -> None:
        """The client has left: nothing is owed any more."""
        if call.state == OPEN:
            self._finish(call, LEAVE)
            self._abandon(call)

    def client_still_connected(self, call: ClientRequest) -> bool:
        """Whether its client is still there, for just before the last point at which nothing has been sent.

        A client that closes has gone, and an attempt that begins 0.1 s later is one too many (STANDING).  Its end is
        read in its turn, unless this process stood still; and then what it left behind is read first.  So whoever was
        not seen within CLIENT_SEEN_MS is looked for: one system call, which the ordinary path does without.
        """
        now = self._clock.now_ms()
        if now - call.client_seen_ms > CLIENT_SEEN_MS:
            if call.client.is_disconnected(call):
                return False
            call.client_seen_ms = now
        return True

    def may_write_attempt(self, call: ClientRequest) -> bool:
        """Whether an attempt that was allowed may still be written, now that its connection is up."""
        self._read_list(self._clock.now_ms())
        if call.state != OPEN:
            # Whoever ended it gives up what is not written.
            self.diagnostics.violated(Rule.NO_ATTEMPT_FOR_NOBODY, call.request_id)
            self._deny(call, Denial.OVER)
            return False
        if not self.client_still_connected(call):
            self._deny(call, Denial.CLIENT_LEFT)
            return False
        return True

    def _deny(self, call: ClientRequest | None, why: Denial) -> None:
        self.diagnostics.note("not sent", why.name.lower(), call.request_id if call else b"")

    def _read_list(self, now: float) -> None:
        """Take up what was told of endpoints and is still unread.

        A process that stood still finds requests, timers and the news of a drain in one turn of the loop, in any
        order, and the grace of that drain may be over.  One look in LIST_SEEN_MS costs the ordinary path nothing.
        """
        if now - self._list_seen_ms > LIST_SEEN_MS:
            self._list_seen_ms = now
            self.discovery.catch_up()

    def _abandon(self, call: ClientRequest) -> None:
        """Nobody waits for this request any more, and the module doesn't know yet.

        An attempt whose last byte is not out is given up, so that it never runs: nobody wants it, and an unsafe
        one would take effect unseen.  One that may run is read to its end, or to its deadline, so that the
        module learns from it and its connection lives.  It could harm where clients leave and ask again by
        habit while dials are slow: each of them then costs a connection.
        """
        self.deliver(ClientDisconnected(call.request_number))
        for attempt in list(call.attempts.values()):
            if not attempt.written:
                self.upstream.abort_attempt(attempt, Outcome.NOT_SENT)
        self._release(call)

    def end_by(self, latest_ms: float) -> None:
        """The process ends then: what is open is failed a little before, and so is what comes later."""
        self._latest = latest_ms
        for call in list(self.requests.values()):
            if call.state == OPEN and call.deadline_ms > latest_ms:
                if call.timer:
                    call.timer.cancel()
                call.deadline_ms = latest_ms
                left = (latest_ms - self._clock.now_ms()) / 1000
                call.timer = self._call_later(left, self._overdue, call)

    def expire(self) -> None:
        """Time is up for all that is open: each gets its answer now, whichever timer would have come first."""
        for call in list(self.requests.values()):
            self._overdue(call)

    def apply_settings(
        self,
        settings: Settings,
        methods: tuple[frozenset[bytes], ...],
        fresh: tuple[tuple[int, int | None], ...],
        live: tuple[int, ...],
        once: frozenset[int] = frozenset(),
    ) -> None:
        """Other settings for what comes from now on; see `SettingsChanged`."""
        self._settings, self._methods = settings, methods
        self.deliver(SettingsChanged(settings, fresh, live, once))

    def close(self) -> None:
        """End at once: what is open gets its final answer, what is out is given up, no timer is left."""
        self.expire()
        for call in list(self.requests.values()):
            for attempt in list(call.attempts.values()):
                self._stop(attempt)
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()

    # -- outcomes

    def attempt_ended(
        self,
        attempt: RequestAttempt,
        outcome: Outcome,
        report: tuple[float, ...],
        elapsed_ms: float,
        reply: EndpointResponse,
    ) -> None:
        """The one outcome of an attempt; the first OK is the client's answer."""
        call = attempt.call
        del call.attempts[attempt.number]
        call.last_outcome = outcome
        if outcome not in NEVER_EXECUTED:
            call.attempt_may_have_run = True
            if call.has_idempotency_key and call.write_by_ms == inf:
                # The module decides on a repeat inside the window; its connection may take until after it to
                # come up.  The window counts from when the first that may have run was handed out, which is no
                # later than its first byte.  It could harm where clocks tick more coarsely than the settings say.
                window = self._settings.classes[call.class_index].window_ms
                call.write_by_ms = attempt.sent_ms + window - self._settings.tick_ms
        if outcome is not Outcome.OK:
            self.diagnostics.note("attempt", outcome.name.lower(), call.request_id)
        else:
            call.served = True
            if call.state == OPEN:
                self._finish(call, CONCLUDE)
                call.client.on_final_response(call, FinalResponse(FinalOutcome.SERVED, reply, 0.0, True))
            elif reply.body_stream:
                reply.body_stream.cancel()  # nobody is left to take it
        self._release(call)
        self.deliver(
            AttemptEnded(
                call.request_number,
                attempt.number,
                attempt.endpoint_id,
                elapsed_ms,
                outcome,
                call.is_finished,
                report,
            )
        )

    # -- the end of a request

    def _finish(self, call: ClientRequest, how: str) -> None:
        call.move(how)
        if call.timer:
            call.timer.cancel()
            call.timer = None

    def _release(self, call: ClientRequest) -> None:
        if call.state in (ANSWERED, LEFT) and not call.attempts:
            call.move(REST)
            del self.requests[call.request_number]
            self._names.discard(call.request_id)
            self._memory.release(len(call.body))
            call.body = b""
            if call.upload:
                call.upload.release()
            call.client.on_released(call)

    def _conclude(self, call: ClientRequest, final: FinalResponse) -> None:
        self.diagnostics.note(
            final.outcome.value,
            f"after {call.last_outcome.name.lower()}" if call.attempts_made else "never sent",
            call.request_id,
        )
        self._finish(call, CONCLUDE)
        call.client.on_final_response(call, final)
        self._release(call)

    def _overdue(self, call: ClientRequest) -> None:
        """Time ran out, or the process ends: exactly one answer is owed, whatever the module does.

        A refusal, where a repeat is provably harmless, is the module's to give; so this is a failure even then,
        which promises nothing.
        """
        if call.state == OPEN:
            self.diagnostics.note(FinalOutcome.TIMED_OUT.value, "overdue", call.request_id)
            self._finish(call, CONCLUDE)
            call.client.on_final_response(call, FinalResponse(FinalOutcome.TIMED_OUT, None, 0.0, call.may_have_run))
            self._abandon(call)

    # -- actions

    def _send(self, action: Send) -> None:
        rid, eid, expires, coming = action
        call = self.requests.get(rid)
        number = call.attempts_made if call else 0
        now = self._clock.now_ms()
        self._read_list(now)
        why = Denial.OVER
        if call:
            call.attempts_made += 1
            expires = min(expires, call.deadline_ms) if expires > 0 else call.deadline_ms
            left = min(expires, call.write_by_ms) - now
            allowed = self._denied(call, number, left)
            if allowed is None:
                self._start(
                    RequestAttempt(self, call, number, eid, now, expires, min(coming, call.deadline_ms)), left
                )
                return
            why = allowed
        self._deny(call, why)
        self.deliver(AttemptEnded(rid, number, eid, 0.0, Outcome.NOT_SENT, call is None or call.state != OPEN))

    def _denied(self, call: ClientRequest, number: int, left_ms: float) -> Denial | None:
        """Why this attempt of a call may not begin.  Whether its client is there is looked up last."""
        upload = call.upload
        facts = RequestFacts(
            call.state == OPEN,
            self._settings.classes[call.class_index].effect,
            call.may_have_run,
            number,
            min(call.max_attempts, self._settings.max_attempts),
            left_ms,
            MIN_ATTEMPT_MS,
            upload is not None and upload.is_discarded,
        )
        why = denied(facts)
        if why is Denial.MAY_HAVE_RUN:
            self.diagnostics.violated(Rule.NO_REPEAT_OF_WHAT_MAY_HAVE_RUN, call.request_id)
        if why is None and not self.client_still_connected(call):
            self.client_disconnected(call)
            return Denial.CLIENT_LEFT
        return why

    def _start(self, sent: RequestAttempt, left_ms: float) -> None:
        """Hand an attempt that may be sent to the connections."""
        call, upload = sent.call, sent.call.upload
        call.attempts[sent.number] = sent
        if sent.number:
            self.diagnostics.note("repeat", f"after {call.last_outcome.name.lower()}", call.request_id)
        if upload and not upload.is_complete:
            sent.post_upload_ms = min(left_ms, call.timeout_ms)
            sent.expires_ms = sent.write_by_ms = sent.response_deadline_ms = inf
        self.upstream.start_attempt(sent)

    def _refuse(self, action: Reject) -> None:
        call = self.requests.get(action.request)
        if call and call.state == OPEN:
            settings = self._settings.classes[call.class_index]
            if not may_reject(settings.effect, call.may_have_run, settings.scope is DeduplicationScope.ALL):
                self.diagnostics.violated(Rule.NO_REFUSAL_OF_WHAT_MAY_HAVE_RUN, call.request_id)
                self._conclude(call, FinalResponse(FinalOutcome.FAILED, None, 0.0, True))
                return
            self._conclude(
                call,
                FinalResponse(
                    FinalOutcome.REJECTED, None, self.retry_after_ms(action.retry_after_ms), call.may_have_run
                ),
            )

    def _fail(self, action: Fail) -> None:
        call = self.requests.get(action.request)
        if call and call.state == OPEN:
            late = call.last_outcome is Outcome.TIMEOUT
            self._conclude(
                call,
                FinalResponse(FinalOutcome.TIMED_OUT if late else FinalOutcome.FAILED, None, 0.0, call.may_have_run),
            )

    def _cancel(self, action: Cancel) -> None:
        call = self.requests.get(action.request)
        attempt = call.attempts.get(action.attempt) if call else None
        if call and attempt:
            self._stop(attempt)

    def _stop(self, attempt: RequestAttempt) -> None:
        """Give an attempt up, with an outcome that says whether it can have run."""
        self.upstream.abort_attempt(attempt, Outcome.CANCELLED if attempt.written else Outcome.NOT_SENT)

    def _probe(self, action: HealthCheck) -> None:
        """Ask an endpoint how it is.  The answer counts as the table of outcomes says."""
        target = b"/_load" if self.upstream.pulls_reports else b"/ping"
        now = self._clock.now_ms()
        wait = PROBE_MS + self._settings.dial_timeout_ms
        self.upstream.start_attempt(
            HealthCheckAttempt(
                self,
                OutgoingRequest(b"GET", target, [(b"Host", b"origin.svc")], b""),
                action.endpoint,
                now,
                now + wait,
            )
        )

    def _set_timer(self, action: SetTimer) -> None:
        def fire() -> None:
            self._timers.discard(timer)
            self.deliver(TimerFired(action.token))

        timer = self._call_later(action.delay_ms / 1000, fire)
        self._timers.add(timer)

    def _watch(self, action: WatchEndpointList) -> None:
        if action.enable:
            self.discovery.watch()
        else:
            self.discovery.stop()
