"""The attempts that the engine starts: attempts of requests, and health checks."""

from __future__ import annotations

from typing import Protocol

from ..policy.interface import HealthCheckEnded, Outcome
from ..upstream.interface import Attempt, EndpointResponse, OutgoingRequest
from .requests import ClientRequest


class AttemptOwner(Protocol):
    """Receives the outcomes of attempts; implemented by the engine."""

    def may_write_attempt(self, request: ClientRequest, /) -> bool:
        """Return whether an attempt of this request may still be written, now that its connection is up."""

    def attempt_ended(
        self,
        attempt: RequestAttempt,
        outcome: Outcome,
        report: tuple[float, ...],
        elapsed_ms: float,
        response: EndpointResponse,
        /,
    ) -> None:
        """Handle the outcome of an attempt of a request; called once per attempt."""

    def response_awaited_until_ms(self, attempt: RequestAttempt, is_progressing: bool, /) -> float:
        """Return until when an incomplete response is waited for, now that its attempt's time is over."""

    def deliver(self, event: HealthCheckEnded, /) -> None:
        """Handle the outcome of a health check; called once per check."""


class RequestAttempt(Attempt):
    """An attempt of a request; `number` counts from 0."""

    __slots__ = ("engine", "number", "request")

    def __init__(
        self,
        engine: AttemptOwner,
        request: ClientRequest,
        number: int,
        endpoint_id: int,
        now_ms: float,
        expires_ms: float,
    ) -> None:
        super().__init__(request, endpoint_id, now_ms, expires_ms, request.write_by_ms)
        self.engine, self.request, self.number = engine, request, number

    def may_be_written(self) -> bool:
        """Return whether the request is still open and its client connected."""
        return self.engine.may_write_attempt(self.request)

    def response_awaited_until_ms(self, is_progressing: bool) -> float:
        """Return until when an incomplete response is waited for, which the request's class decides."""
        return self.engine.response_awaited_until_ms(self, is_progressing)

    def on_ended(
        self, outcome: Outcome, report: tuple[float, ...], elapsed_ms: float, response: EndpointResponse
    ) -> None:
        """Report the outcome to the engine."""
        self.engine.attempt_ended(self, outcome, report, elapsed_ms, response)


class HealthCheckAttempt(Attempt):
    """An active health check.  It belongs to no request, so it has no final response.

    If `pulls_report` is set, the body of its response is a load report.
    """

    __slots__ = ("engine",)
    ignores_readiness = True

    def __init__(
        self, engine: AttemptOwner, pulls_report: bool, endpoint_id: int, now_ms: float, expires_ms: float
    ) -> None:
        target = b"/_load" if pulls_report else b"/ping"
        message = OutgoingRequest(b"GET", target, [(b"Host", b"origin.svc")], b"")
        super().__init__(message, endpoint_id, now_ms, expires_ms)
        self.engine = engine

    def on_ended(
        self, outcome: Outcome, report: tuple[float, ...], elapsed_ms: float, response: EndpointResponse
    ) -> None:
        """Report the outcome to the policy."""
        self.engine.deliver(HealthCheckEnded(self.endpoint_id, elapsed_ms, outcome, report))
