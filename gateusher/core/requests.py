"""A client's request, its final response, and the callbacks of its front end.

A front end creates a `ClientRequest`; the engine owns it from `Engine.submit` on.  `states.py` describes its states.
"""

from __future__ import annotations

from enum import Enum
from math import inf
from typing import TYPE_CHECKING, Final, NamedTuple, Protocol

from ..policy.interface import NO_RETRY, Effect, Outcome, Request, RetryRules, Settings
from ..upstream.interface import Attempt, EndpointResponse, Headers, OutgoingRequest
from .states import OPEN, PREPARING, REQUEST

if TYPE_CHECKING:
    from .ports import Timer

MAX_LIBRARY_BODY_BYTES: Final = 65536  # of a request body that is buffered completely
UPLOAD_TIMEOUT_MS: Final = 3.6e6  # the policy's limit for an upload; the listener enforces a minimum rate


class RequestFault(Enum):
    """Why a request is not accepted.  No endpoint has received it, and none will."""

    DEADLINE = "the deadline is not a number of seconds above 0"
    ID = "the request id is missing"
    METHOD = "the method contradicts what the class says of repeats"
    KEY = "an idempotency key goes with keyed classes, and only with these"
    BODY = "this method has no body"
    CONFLICT = "a request with this id is open, has an attempt still out, or may have run and must not run again"


class FinalOutcome(Enum):
    """The kinds of final response.  Their values are event kinds in the diagnostics."""

    SERVED = "served"
    REJECTED = "refused"  # a retry by the client is harmless
    FAILED = "failed"  # it may have run, or its class does not allow a rejection here
    TIMED_OUT = "timed out"  # like FAILED, at its deadline


class FinalResponse(NamedTuple):
    """The one final response to a request."""

    outcome: FinalOutcome
    response: EndpointResponse | None = None  # the endpoint's response if the outcome is SERVED
    retry_after_ms: float = 0.0  # if it was rejected
    may_have_run: bool = False  # whether an endpoint may have begun to execute it


class ClientCallbacks(Protocol):
    """The callbacks of a request's front end."""

    def on_final_response(self, request: ClientRequest, final: FinalResponse, /) -> None:
        """Deliver the final response; called once, unless the client disconnected first."""

    def is_disconnected(self, request: ClientRequest, /) -> bool:
        """Check now whether the client has closed or cancelled; the core may not have been notified yet."""

    def on_released(self, request: ClientRequest, /) -> None:
        """Note that no attempt of the request is in flight any more; called once per accepted request."""


class ClientRequest(OutgoingRequest):
    """A client's request, from when it is submitted until it is answered and its attempts have ended.

    It is submitted once its head has arrived, or its last byte if the body is buffered.

    `class_index` is the index of its class in the settings, `request_id` the id that the client gave it.
    """

    __slots__ = (
        "attempts",
        "client",
        "class_index",
        "deadline_ms",
        "affinity_key",
        "has_idempotency_key",
        "last_outcome",
        "request_id",
        "timeout_ms",
        "attempt_may_have_run",
        "is_retry",
        "request_number",
        "former_rules",
        "rules",
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
        class_index: int = 0,
        request_id: bytes = b"",
    ) -> None:
        super().__init__(method, target, headers, body)
        # Set by the front end:
        self.client = client
        self.class_index = class_index
        self.request_id = request_id
        self.affinity_key = 0
        self.tenant = 0
        self.cost_hint_ms = 0.0
        self.has_idempotency_key = False
        self.is_retry = False
        self.former_rules: RetryRules | None = None  # if it may mean, and fits, classes from before a reload
        self.unread_ms = 0.0  # how long it was queued unread: its timeout includes this time
        # Set by the engine:
        self.state: str = PREPARING
        self.request_number = 0  # the engine's id of the request
        self.rules = NO_RETRY
        self.timeout_ms = 0.0
        self.deadline_ms = 0.0
        self.attempts_made = 0
        self.attempts: dict[int, Attempt] = {}  # in flight, by number
        self.attempt_may_have_run = False  # an attempt that may have run has ended
        self.served = False  # an attempt succeeded, whether or not the client received the response
        self.last_outcome = Outcome.NOT_SENT  # of the attempt that ended most recently
        self.write_by_ms = inf  # nothing is written from then on: endpoints may have forgotten its idempotency key
        self.timer: Timer | None = None  # enforces the deadline

    def transition(self, event: str) -> None:
        """Apply an event to the state; called by the engine only.  Raises IllegalTransitionError."""
        self.state = REQUEST.next_state(self.state, event)

    @property
    def is_finished(self) -> bool:
        """Whether no final response is outstanding, because it was delivered or the client disconnected."""
        return self.state not in (PREPARING, OPEN)

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have begun to execute it."""
        return self.attempt_may_have_run or any(attempt.written for attempt in self.attempts.values())

    @property
    def is_idempotent(self) -> bool:
        """Whether running it twice does no harm."""
        return self.rules.effect is Effect.IDEMPOTENT

    def bound_retries_by_window(self, sent_ms: float, tick_ms: float) -> None:
        """Write no retry of a keyed request after its deduplication window.

        The policy decides on a retry within the window, but the retry's connection may come up after it.  The window
        counts from `sent_ms`, when the first attempt that may have run was made or, for an upload, when its last byte
        was written, since an endpoint does not begin to execute earlier.  Limitation: assumes a clock no coarser than
        the settings' tick.
        """
        if self.has_idempotency_key and self.write_by_ms == inf:
            self.write_by_ms = sent_ms + self.rules.window_ms - tick_ms


def find_fault(
    request: ClientRequest, timeout_ms: float, is_keyed: bool, methods: frozenset[bytes]
) -> RequestFault | None:
    """Return what is wrong with a request of a class that allows these methods, or None if it is valid.

    One with rules from before a reload fits the configurations that it has them from.
    """
    if not timeout_ms > 0:  # also true for NaN
        return RequestFault.DEADLINE
    if not request.request_id:
        return RequestFault.ID
    if request.former_rules is None:
        mismatch = _find_mismatch(request, is_keyed, methods)
        if mismatch is not None:
            return mismatch
    if (request.body or request.upload) and request.method == b"GET":
        return RequestFault.BODY
    return None


def _find_mismatch(request: ClientRequest, is_keyed: bool, methods: frozenset[bytes]) -> RequestFault | None:
    """Return how the request contradicts its class, or None if it doesn't.

    A method implies whether a retry is harmless.  If it contradicts the class, neither can be trusted.
    """
    if request.method not in methods:
        return RequestFault.METHOD
    return RequestFault.KEY if request.has_idempotency_key is not is_keyed else None


def class_rules(settings: Settings) -> tuple[RetryRules, ...]:
    """Return the rules for new requests of each class, by class index."""
    return tuple(RetryRules.of_class(class_settings, settings.max_attempts) for class_settings in settings.classes)


def policy_event(request: ClientRequest, now_ms: float) -> Request:
    """Return the event that announces an accepted request to the policy."""
    return Request(
        request.request_number,
        request.class_index,
        min(request.timeout_ms, request.deadline_ms - now_ms),
        request.affinity_key,
        request.tenant,
        request.cost_hint_ms,
        request.is_retry,
        upload_timeout_ms=UPLOAD_TIMEOUT_MS if request.upload else 0.0,
        rules=request.rules,
    )
