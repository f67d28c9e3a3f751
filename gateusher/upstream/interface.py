"""What passes between the core and the connections to endpoints, whatever protocol these speak.

The core makes an `Attempt` and hands it over; from then on it is the connections' until they call `ended`, once.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from math import inf
from typing import TYPE_CHECKING, NamedTuple, Protocol

from ..policy.interface import Outcome
from .states import ATTEMPT, CREATED, SENT

if TYPE_CHECKING:
    from .http import Connection, Host
    from .upload import Upload

Headers = list[tuple[bytes, bytes]]

# Headers of one connection only (RFC 9110, 7.6.1), or written anew on each: they are never passed on.
HOP_BY_HOP_HEADERS = frozenset(
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


class OutgoingRequest:
    """What is to be sent: a whole request, in the terms of HTTP's semantics (RFC 9110) and of no version."""

    __slots__ = ("body", "headers", "method", "target")
    upload: Upload | None = None  # what is still to come of the body, which is empty then
    accepts_streaming = False  # whoever asks can take an answer whose end is still to come

    def __init__(self, method: bytes, target: bytes, headers: Headers, body: bytes | bytearray) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body


class BodySink(Protocol):
    """Whoever takes the rest of an answer."""

    def feed(self, data: bytes) -> None:
        """More of the body."""

    def end(self, whole: bool) -> None:
        """Nothing more comes, once; where it isn't whole its reader must be able to tell."""


class ResponseBodyStream(ABC):
    """The part of an answer that is still to come.  Its connection makes it and ends it.

    It is paused when it is handed over, so that nothing comes before somebody has taken it.
    """

    sink: BodySink | None = None

    @abstractmethod
    def attach_sink(self, sink: BodySink) -> None:
        """Give all that comes to this one, from `resume` on."""

    @abstractmethod
    def pause(self) -> None:
        """Take nothing more from the endpoint: its reader is slower."""

    @abstractmethod
    def resume(self) -> None:
        """Go on."""

    @abstractmethod
    def cancel(self) -> None:
        """Nobody wants it any more; `end` isn't called."""


class EndpointResponse(NamedTuple):
    """An answer of an endpoint: the final status, the end-to-end headers as they came, the body.

    The body is whole where there is no `rest`.  Where there is, `length` is that of the whole body in bytes, or -1
    where the endpoint hasn't told it.
    """

    status: int
    headers: Headers
    body: bytes
    body_stream: ResponseBodyStream | None = None
    length: int = -1


MIN_ATTEMPT_MS = 1.0  # an attempt with less time than this isn't written: X-Deadline counts in these

NEVER_EXECUTED = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})  # outcomes that prove it

NO_RESPONSE = EndpointResponse(0, [], b"")


class Attempt(ABC):
    """One sending of a message to one endpoint, until `expires_ms` (the clock's milliseconds).

    `write_by_ms`, no later than that, bounds the writing: from then on no byte of it may be the last one.  What
    was decided at one instant is acted on at a later one, when a connection comes up or a peer reads again, and
    whatever the decision rested on may have run out by then.  `coming_ms` takes the place of `expires_ms` where the
    answer is coming then: patience is for silence.
    """

    __slots__ = (
        "response_deadline_ms",
        "connection",
        "endpoint_id",
        "expires_ms",
        "host",
        "message",
        "sent_ms",
        "post_upload_ms",
        "state",
        "timer",
        "write_by_ms",
    )
    ignores_readiness = False  # a probe, which may also go to an endpoint that takes no requests

    def __init__(
        self,
        message: OutgoingRequest,
        eid: int,
        sent_ms: float,
        expires_ms: float,
        write_by_ms: float = inf,
        coming_ms: float = 0.0,
    ) -> None:
        self.message, self.endpoint_id, self.sent_ms, self.expires_ms = message, eid, sent_ms, expires_ms
        self.response_deadline_ms = coming_ms if coming_ms > expires_ms else expires_ms
        self.post_upload_ms = 0.0  # where its body is still coming: its time from the last byte on
        self.write_by_ms = min(write_by_ms, expires_ms)
        self.state: str = CREATED  # see core/states.py; the connections' own, as all below
        self.host: Host | None = None
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None

    def move(self, event: str) -> None:
        self.state = ATTEMPT.next_state(self.state, event)

    @property
    def written(self) -> bool:
        """The last byte is in the kernel's hands: from here on it may have run."""
        return self.state == SENT

    def may_be_written(self) -> bool:
        """Whether it may still be sent for whoever asks, looked at now: asked just before something is written."""
        return True

    @abstractmethod
    def on_ended(
        self, outcome: Outcome, report: tuple[float, ...], elapsed_ms: float, reply: EndpointResponse
    ) -> None:
        """The one outcome; `reply` is whole where it is OK, and `NO_RESPONSE` otherwise."""
