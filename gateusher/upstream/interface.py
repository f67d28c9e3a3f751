"""What passes between the core and the connections to endpoints, whatever protocol these speak.

The core makes an `Attempt` and hands it over.  From then on it belongs to the connections, until they call its
`on_ended`, once.
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

# Headers of one connection only (RFC 9110, 7.6.1), or written anew on each: they are never forwarded.
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
    """A request to be sent, in the terms of HTTP semantics (RFC 9110), whatever the version of the protocol.

    `upload` is the body where it is still arriving; `body` is empty then.  `accepts_streaming` says that the sender
    accepts a response whose body is not complete.
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
    """Receives the remainder of a response body."""

    def feed(self, data: bytes, /) -> None:
        """More of the body."""

    def end(self, complete: bool, /) -> None:
        """Nothing more comes, called once; where the body is incomplete its reader must be able to detect it."""


class ResponseBodyStream(ABC):
    """The remainder of a response body.  Its connection makes it and ends it.

    It is paused when it is handed over, so that nothing arrives before a sink is attached.
    """

    sink: BodySink | None = None

    @abstractmethod
    def attach_sink(self, sink: BodySink) -> None:
        """Deliver to this sink, from `resume` on."""

    @abstractmethod
    def pause(self) -> None:
        """Read nothing more from the endpoint: the sink's reader is slower."""

    @abstractmethod
    def resume(self) -> None:
        """Read again."""

    @abstractmethod
    def cancel(self) -> None:
        """Stop: nobody wants the body any more; the sink's `end` isn't called."""


class EndpointResponse(NamedTuple):
    """An endpoint's response: the final status, the end-to-end headers as they came, and the body.

    The body is complete where there is no `body_stream`.  Where there is one, `length` is that of the complete body
    in bytes, or -1 where it is not known.
    """

    status: int
    headers: Headers
    body: bytes
    body_stream: ResponseBodyStream | None = None
    length: int = -1


NO_RESPONSE: Final = EndpointResponse(0, [], b"")


class EndpointActivity(Protocol):
    """What the owner of an attempt may ask of its endpoint."""

    last_received_ms: float


class AttemptConnection(Protocol):
    """What the owner of an attempt may ask of the connection that carries it."""

    @property
    def is_response_arriving(self) -> bool:
        """Whether parts of a response keep arriving."""

    def start_streaming_early(self) -> bool:
        """Stream a response of unknown length that takes its time; False where it can't be streamed."""

    def abort(self, outcome: Outcome) -> None:
        """End the attempt with this outcome, and close the connection."""


class Attempt(ABC):
    """One sending of a request to one endpoint.  All times are the clock's milliseconds.

    It ends at `expires_ms`, or at `response_deadline_ms` where its response is arriving then.  No byte of it is
    written from `write_by_ms` on, which is no later than `expires_ms`: what the attempt was decided on may no longer
    hold when its connection comes up or its peer reads again.
    """

    __slots__ = (
        "response_deadline_ms",
        "connection",
        "endpoint_id",
        "expires_ms",
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
        response_deadline_ms: float = 0.0,
    ) -> None:
        self.message = message
        self.endpoint_id = endpoint_id
        self.sent_ms = sent_ms
        self.expires_ms = expires_ms
        self.response_deadline_ms = response_deadline_ms if response_deadline_ms > expires_ms else expires_ms
        self.post_upload_ms = 0.0  # its time from the last byte of its upload on; 0 where it has none
        self.write_by_ms = min(write_by_ms, expires_ms)
        # Owned by the connections:
        self.state: str = CREATED
        self.endpoint_activity: EndpointActivity | None = None
        self.connection: AttemptConnection | None = None
        self.timer: asyncio.TimerHandle | None = None

    def transition(self, event: str) -> None:
        """Move the state; only the connections do.  Raises IllegalTransitionError."""
        self.state = ATTEMPT.next_state(self.state, event)

    @property
    def written(self) -> bool:
        """Whether the attempt is in flight and the kernel has its last byte.

        The endpoint may be executing the request.
        """
        return self.state == SENT

    def may_be_written(self) -> bool:
        """Whether its sender still wants it; asked just before something is written."""
        return True

    @abstractmethod
    def on_ended(
        self, outcome: Outcome, report: tuple[float, ...], elapsed_ms: float, response: EndpointResponse
    ) -> None:
        """The one outcome; `response` is a response where it is OK, and `NO_RESPONSE` otherwise.

        `report` holds the figures of the endpoint's load report, in the order of the settings; empty without one.
        """
