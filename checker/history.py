"""The history of an execution as its clients and nodes observe it.

The properties judge this history rather than the program's own records.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gateusher.client import Settled
    from gateusher.virtual.loop import Transport


@dataclass
class RequestRecord:
    """A request as its client sees it.

    Requests with a shared `request_id`, which is the id on the wire, differ in `name`.
    """

    name: str
    request_id: str
    effect: str
    timeout_s: float  # counted from the last byte of the request
    extra: bool = False  # not one of the requests that the exploration is configured with
    via_library: bool = False  # sent through the library, also where the interface under test is the daemon
    submitted_at: float | None = None  # when the last byte was sent
    unsent: bytes = b""  # the part that the client has not sent yet
    disconnected_at: float | None = None
    at_most_once: bool = False  # a stricter effect was configured for its class while it was open
    outcomes: list[tuple[float, str, bytes]] = field(default_factory=list)  # time, outcome, body

    @property
    def is_open(self) -> bool:
        """Whether the client has sent the request, is connected and has no final response yet."""
        return self.submitted_at is not None and self.disconnected_at is None and not self.outcomes


@dataclass(eq=False)
class AttemptRecord:
    """One write of a request or of a load report poll, as its node sees it."""

    request: RequestRecord | None  # None for a load report poll
    node: int
    sent_at: float
    transport: Transport
    fully_sent: bool = False  # the node has the last byte, so the request may be executed
    answered: bool = False
    rejected: bool = False
    served: bool = False  # the node has sent a complete response that may be served
    rest_of_response: bytes = b""  # the part of a started response that the node has not sent yet
    ends_at_close: bool = False  # the end of the stream delimits the response

    @property
    def request_name(self) -> str:
        """The name of the request, or "a poll"."""
        return self.request.name if self.request else "a poll"

    @property
    def may_have_run(self) -> bool:
        """Whether the node may have executed the request."""
        return self.fully_sent and not self.rejected


@dataclass
class History:
    """What the clients and nodes of an execution have observed so far, and the violations found in it."""

    attempts: list[AttemptRecord] = field(default_factory=list)
    requests: dict[str, RequestRecord] = field(default_factory=dict)
    draining_since: dict[int, float] = field(default_factory=dict)  # node -> when the endpoint list drained it
    slow_start: dict[int, tuple[float, float]] = field(default_factory=dict)  # node -> start and end
    policy_outcomes: dict[tuple[int, int], int] = field(default_factory=dict)  # (request, attempt) -> outcomes
    settled: dict[str, list[Settled]] = field(default_factory=dict)  # request id -> calls of `on_settled`
    violations: list[str] = field(default_factory=list)

    def attempts_of(self, request: RequestRecord) -> list[AttemptRecord]:
        """Return the attempts of a request, oldest first."""
        return [attempt for attempt in self.attempts if attempt.request is request]

    def attempts_under_id_of(self, request: RequestRecord) -> list[AttemptRecord]:
        """Return the attempts of all requests with the id of this one, oldest first."""
        return [a for a in self.attempts if a.request and a.request.request_id == request.request_id]
