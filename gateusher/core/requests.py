"""A client's request as the core knows it, its one final response, and what the core calls back on the front end.

A `ClientRequest` is made by a front end and owned by the engine from `Engine.submit` on; see `states.py` for its
states.
"""

from __future__ import annotations

from enum import Enum
from math import inf
from typing import TYPE_CHECKING, Final, NamedTuple, Protocol

from ..policy.interface import Outcome, Request
from ..upstream.interface import Attempt, EndpointResponse, Headers, OutgoingRequest
from .states import OPEN, PREPARING, REQUEST

if TYPE_CHECKING:
    from .ports import Timer

MAX_LIBRARY_BODY_BYTES: Final = 65536  # of a request's body, where it is buffered
UPLOAD_TIMEOUT_MS: Final = 3.6e6  # what the policy allows an upload to take; the listener bounds its rate


class RequestFault(Enum):
    """Why a request is not accepted: no endpoint has received it, and none will."""

    DEADLINE = "the deadline is not a number of seconds above 0"
    ID = "the request id is missing"
    METHOD = "the method contradicts what the class says of repeats"
    KEY = "an idempotency key goes with keyed classes, and only with these"
    BODY = "this method has no body"
    CONFLICT = "a request with this id is open, or an attempt of it still out"


class FinalOutcome(Enum):
    """The kinds of final response.  Their values are the kinds of event in the diagnostics."""

    SERVED = "served"
    REJECTED = "refused"  # a retry by the client is harmless
    FAILED = "failed"  # it may have run, or nothing better may be said of its class
    TIMED_OUT = "timed out"  # as FAILED, at its deadline


class FinalResponse(NamedTuple):
    """The one final response to a request."""

    outcome: FinalOutcome
    response: EndpointResponse | None = None  # the endpoint's, where it was served
    retry_after_ms: float = 0.0  # where it was rejected
    may_have_run: bool = False  # whether an endpoint may have begun to execute it, as far as is known


class ClientCallbacks(Protocol):
    """The front end of a request, as the core sees it."""

    def on_final_response(self, request: ClientRequest, final: FinalResponse, /) -> None:
        """The final response; called once, unless the client disconnected first."""

    def is_disconnected(self, request: ClientRequest, /) -> bool:
        """Whether the client has closed or cancelled, looked up now: the core may not have been notified yet."""

    def on_released(self, request: ClientRequest, /) -> None:
        """No attempt of the request is in flight any more; called once for each request that was accepted."""


class ClientRequest(OutgoingRequest):
    """One request of a client, from when it is submitted until it is answered and its attempts have ended.

    It is submitted with its head, or with its last byte where the body is buffered.

    `class_index` is the index of its class in the settings, `request_id` the client's id of it.
    """

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
        self.read_at_once = True  # it was not queued unread, unless the process stood still
        self.unread_ms = 0.0  # how long it was queued unread: its deadline counts from before that
        # Set by the engine:
        self.state: str = PREPARING
        self.request_number = 0  # the engine's id of it
        self.timeout_ms = 0.0
        self.deadline_ms = 0.0
        self.client_seen_ms = -inf  # when its client was last known to be connected
        self.attempts_made = 0
        self.max_attempts = 0
        self.attempts: dict[int, Attempt] = {}  # in flight, by their numbers
        self.attempt_may_have_run = False  # an attempt has ended that may have run
        self.served = False  # an attempt was answered, whether the client received it or not
        self.last_outcome = Outcome.NOT_SENT  # of the attempt that ended last
        self.write_by_ms = inf  # no byte of it is written from then on: endpoints may have forgotten its key
        self.timer: Timer | None = None  # of its deadline

    def transition(self, event: str) -> None:
        """Move the state; only the engine does.  Raises IllegalTransitionError."""
        self.state = REQUEST.next_state(self.state, event)

    @property
    def is_finished(self) -> bool:
        """Whether no final response is outstanding: it was delivered, or the client disconnected."""
        return self.state not in (PREPARING, OPEN)

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have begun to execute it."""
        return self.attempt_may_have_run or any(attempt.written for attempt in self.attempts.values())


def find_fault(
    request: ClientRequest, timeout_ms: float, is_keyed: bool, methods: frozenset[bytes]
) -> RequestFault | None:
    """What is wrong with a request of a class that allows these methods; None where it is valid.

    A method says whether a retry is harmless: where it contradicts the class, neither can be trusted.
    """
    if not timeout_ms > 0:  # also where it is not a number
        return RequestFault.DEADLINE
    if not request.request_id:
        return RequestFault.ID
    if request.method not in methods:
        return RequestFault.METHOD
    if request.has_idempotency_key is not is_keyed:
        return RequestFault.KEY
    if (request.body or request.upload) and request.method == b"GET":
        return RequestFault.BODY
    return None


def policy_event(request: ClientRequest, now_ms: float) -> Request:
    """The event by which the policy learns of a request that the engine has accepted."""
    return Request(
        request.request_number,
        request.class_index,
        min(request.timeout_ms, request.deadline_ms - now_ms),
        request.affinity_key,
        request.tenant,
        request.cost_hint_ms,
        request.is_retry,
        upload_timeout_ms=UPLOAD_TIMEOUT_MS if request.upload else 0.0,
    )
