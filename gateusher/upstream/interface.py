"""The types shared by the core and the connections to endpoints, independent of the connections' protocol.

The core creates an `Attempt` and passes it to the connections, which own it until they call its `on_ended`, once.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from math import inf
from typing import Final, NamedTuple, Protocol

from ..policy.interface import Outcome
from .states import ATTEMPT, CREATED, SENT
from .upload import Upload

Headers = list[tuple[bytes, bytes]]
FIELD_OBJECT_BYTES: Final = 320  # of the objects that hold one field, beside its characters

# Complete with their head (RFC 9112, 6.3), which carries no Content-Length either (RFC 9110, 8.6).
STATUSES_WITHOUT_BODY: Final = (204, 304)

# Headers that are never forwarded: hop-by-hop (RFC 9110, 7.6.1), or generated for each connection.
HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"proxy-authenticate",
        b"proxy-authorization",
    }
)

MIN_ATTEMPT_MS: Final = 1.0  # an attempt with less time left is not written: X-Deadline has this resolution


class OutgoingRequest:
    """A request to be sent, in terms of HTTP semantics (RFC 9110), independent of the protocol version.

    `upload` is set if the body is still arriving; `body` is empty then.  `accepts_streaming` says that the sender
    accepts a response with an incomplete body.
    """

    __slots__ = ("body", "headers", "method", "target")
    upload: Upload | None = None
    accepts_streaming = False

    def __init__(self, method: bytes, target: bytes, headers: Headers, body: bytes | bytearray) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


class BodySink(Protocol):
    """Receives the remainder of a streamed response body."""

    def feed(self, data: bytes, /) -> None:
        """Take more of the body."""

    def end(self, complete: bool, /) -> None:
        """End the body, called once; the reader of an incomplete body must be able to detect that."""


class ResponseBodyStream(ABC):
    """The remainder of a streamed response body, created and ended by its connection.

    It is paused at first, so that nothing arrives before a sink is attached.
    """

    sink: BodySink | None = None

    @abstractmethod
    def attach_sink(self, sink: BodySink) -> None:
        """Deliver to this sink, from `resume` on."""

    @abstractmethod
    def pause(self) -> None:
        """Stop reading from the endpoint, as the sink's reader is slower."""

    @abstractmethod
    def resume(self) -> None:
        """Resume reading from the endpoint."""

    @abstractmethod
    def cancel(self) -> None:
        """Stop, as the body is not needed any more; the sink's `end` isn't called."""


class EndpointResponse(NamedTuple):
    """An endpoint's response: the final status, the end-to-end headers as received, and the body.

    Without a `body_stream` the body is complete.  With one, `length` is the length of the complete body in bytes, or
    -1 if unknown.
    """

    status: int
    headers: Headers
    body: bytes
    body_stream: ResponseBodyStream | None = None
    length: int = -1


NO_RESPONSE: Final = EndpointResponse(0, [], b"")


class EndpointActivity(Protocol):
    """What the owner of an attempt may read about its endpoint."""

    last_received_ms: float


class AttemptConnection(Protocol):
    """The connection that carries an attempt, as the attempt's owner uses it."""

    @property
    def is_response_arriving(self) -> bool:
        """Whether a final response has begun and is not complete."""

    @property
    def is_response_progressing(self) -> bool:
        """Whether parts of an incomplete response have arrived lately."""

    def start_streaming_early(self) -> bool:
        """Stream a slow response of unknown length; return False if it can't be streamed."""

    def abort(self, outcome: Outcome) -> None:
        """End the attempt with this outcome, and close the connection."""


class Attempt(ABC):
    """One attempt to send a request to one endpoint.  All times are the clock's milliseconds.

    It ends at `expires_ms`, or later if its response has begun by then.  Nothing of it is written from `write_by_ms`
    on, which is no later than `expires_ms`: the decision to send it may be outdated by the time its connection is up
    or its peer reads again.
    """

    __slots__ = (
        "connection",
        "endpoint_id",
        "expires_ms",
        "latest_ms",
        "write_stall_ms",
        "endpoint_activity",
        "message",
        "sent_ms",
        "post_upload_ms",
        "state",
        "timer",
        "write_by_ms",
    )
    ignores_readiness = False  # a health check, which may also go to an endpoint that accepts no requests

    def __init__(
        self,
        message: OutgoingRequest,
        endpoint_id: int,
        sent_ms: float,
        expires_ms: float,
        write_by_ms: float = inf,
    ) -> None:
        self.message = message
        self.endpoint_id = endpoint_id
        self.sent_ms = sent_ms
        self.expires_ms = expires_ms
        self.latest_ms = inf  # of an upload: the request's deadline, once it is known
        self.write_stall_ms = inf  # of an upload: how long its endpoint may accept nothing
        self.post_upload_ms = 0.0  # its timeout from the last byte of its upload on; 0 without an upload
        self.write_by_ms = min(write_by_ms, expires_ms)
        # Owned by the connections:
        self.state: str = CREATED
        self.endpoint_activity: EndpointActivity | None = None
        self.connection: AttemptConnection | None = None
        self.timer: asyncio.TimerHandle | None = None

    def transition(self, event: str) -> None:
        """Apply an event to the state; called by the connections only.  Raises IllegalTransitionError."""
        self.state = ATTEMPT.next_state(self.state, event)

    @property
    def written(self) -> bool:
        """Whether the attempt is in flight and the kernel has its last byte.

        If so, the endpoint may be executing the request.
        """
        return self.state == SENT

    def may_be_written(self) -> bool:
        """Return whether its sender still needs it; called just before anything is written."""
        return True

    def response_awaited_until_ms(self, is_progressing: bool) -> float:
        """Return until when an incomplete response is waited for, now that the attempt's time is over."""
        return self.expires_ms

    @abstractmethod
    def on_ended(
        self, outcome: Outcome, report: tuple[float, ...], elapsed_ms: float, response: EndpointResponse
    ) -> None:
        """Handle the outcome, called once; `response` is `NO_RESPONSE` unless the outcome is OK.

        `report` holds the values of the endpoint's load report in the settings' order; empty without a report.
        """
