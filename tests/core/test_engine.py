"""The engine when the policy or an action fails: the fault is recorded, and nothing else is lost by it."""

import logging
from collections.abc import Callable
from math import inf
from typing import Any

import pytest

from gateusher.base.clock import Clock
from gateusher.base.diagnostics import Invariant
from gateusher.base.limits import MemoryBudget
from gateusher.base.log import LOGGER
from gateusher.core.engine import ClientRequest, Engine, FinalOutcome, FinalResponse
from gateusher.policy.context import ENDPOINT_LIST_TIMER
from gateusher.policy.interface import (
    HOLD_TIMER_OFFSET,
    Action,
    CloseIdleConnections,
    Event,
    Fail,
    Outcome,
    ProcessResumed,
    Request,
    Send,
    SetTimer,
)
from gateusher.upstream.interface import Attempt

from ..helpers import make_settings

TIMEOUT_MS = 1000.0


class _Timer:
    def __init__(self) -> None:
        self.is_cancelled = False

    def cancel(self) -> None:
        self.is_cancelled = True


class _FailingConnections:
    """Connections to endpoints of which no attempt can be started and none can be closed."""

    pulls_reports = False

    def start_attempt(self, attempt: Attempt) -> None:
        raise OSError(f"attempt at endpoint {attempt.endpoint_id} can't be started")

    def abort_attempt(self, attempt: Attempt, outcome: Outcome) -> None: ...

    def close_idle_connections(self, endpoint_id: int) -> None:
        raise OSError(f"endpoint {endpoint_id} can't be closed")


class _NoDiscovery:
    def watch(self) -> None: ...

    def stop(self) -> None: ...

    def catch_up(self) -> None: ...


class _Client:
    def __init__(self) -> None:
        self.outcomes: list[FinalOutcome] = []

    def on_final_response(self, request: ClientRequest, final: FinalResponse) -> None:
        self.outcomes.append(final.outcome)

    def is_disconnected(self, request: ClientRequest) -> bool:
        return False

    def on_released(self, request: ClientRequest) -> None: ...


class _Setup:
    """An engine whose policy is the function `decide`, and the delays of the timers that it set."""

    def __init__(self, decide: Callable[[Event], list[Action]]) -> None:
        self.delays_s: list[float] = []
        self.timers: list[_Timer] = []
        self.client = _Client()
        self.engine = Engine(
            make_settings(), (frozenset({b"GET"}),), 1, Clock(), self._call_later, 10, MemoryBudget(1000)
        )
        self.engine.discovery = _NoDiscovery()
        self.engine.upstream = _FailingConnections()  # type: ignore[assignment]
        self.engine._balancer.handle = lambda now_ms, event: decide(event)  # type: ignore[method-assign]

    def _call_later(self, delay: float, callback: Callable[..., object], *args: object) -> _Timer:
        self.delays_s.append(delay)
        self.timers.append(_Timer())
        return self.timers[-1]

    def submit(self, name: bytes) -> ClientRequest:
        request = ClientRequest(self.client, b"GET", b"/", (), b"", request_id=name)
        assert self.engine.submit(request, TIMEOUT_MS) is None
        return request

    def pending_timers(self) -> int:
        return sum(not timer.is_cancelled for timer in self.timers)


def raise_error(event: Event) -> list[Action]:
    raise ValueError("policy fault")


@pytest.mark.expects_violation(Invariant.NO_EVENT_UNHANDLED)
def test_an_event_that_the_policy_cannot_handle_is_a_violation(caplog: pytest.LogCaptureFixture) -> None:
    setup = _Setup(raise_error)
    setup.submit(b"r1")
    diagnostics = setup.engine.diagnostics
    assert diagnostics.report()["violations"] == {"no_event_unhandled": 1}
    assert diagnostics.recent[-1].request == "r1"
    assert "Request could not be handled: Traceback" in caplog.text and "policy fault" in caplog.text
    setup.engine.deliver(ProcessResumed(1.0))
    assert diagnostics.violations == {Invariant.NO_EVENT_UNHANDLED: 2}
    assert diagnostics.recent[-1].request == ""


@pytest.mark.expects_violation(Invariant.NO_EVENT_UNHANDLED)
def test_an_action_that_fails_does_not_prevent_the_others_of_its_event(caplog: pytest.LogCaptureFixture) -> None:
    def decide(event: Event) -> list[Action]:
        if isinstance(event, Request):
            return []
        return [CloseIdleConnections(7), Fail(1), SetTimer(ENDPOINT_LIST_TIMER, 250.0)]

    setup = _Setup(decide)
    setup.submit(b"r1")
    setup.delays_s.clear()
    setup.engine.deliver(ProcessResumed(1.0))
    assert setup.client.outcomes == [FinalOutcome.FAILED]
    assert setup.delays_s == [0.25]
    assert setup.engine.diagnostics.violations == {Invariant.NO_EVENT_UNHANDLED: 1}
    assert "ProcessResumed could not be handled: Traceback" in caplog.text and "endpoint 7" in caplog.text


@pytest.mark.expects_violation(Invariant.NO_EVENT_UNHANDLED)
def test_a_request_whose_attempt_could_not_be_started_gets_one_response_at_its_deadline() -> None:
    setup = _Setup(lambda event: [Send(event.request, 7, inf)] if isinstance(event, Request) else [])
    setup.submit(b"r1")
    assert setup.client.outcomes == []
    setup.engine.expire()
    setup.engine.expire()
    assert setup.client.outcomes == [FinalOutcome.TIMED_OUT]
    assert setup.engine.diagnostics.violations == {Invariant.NO_EVENT_UNHANDLED: 1}


@pytest.mark.expects_violation(Invariant.NO_EVENT_UNHANDLED)
def test_an_action_of_an_unknown_type_is_a_violation() -> None:
    unknown: Any = object()
    setup = _Setup(lambda event: [unknown])
    setup.engine.deliver(ProcessResumed(1.0))
    assert setup.engine.diagnostics.violations == {Invariant.NO_EVENT_UNHANDLED: 1}


@pytest.mark.expects_violation(Invariant.NO_EVENT_UNHANDLED)
def test_a_log_handler_that_raises_does_not_prevent_the_record() -> None:
    class RaisingHandler(logging.Handler):
        def emit(self, record: logging.LogRecord) -> None:
            raise RuntimeError("the application's handler fails")

    setup = _Setup(raise_error)
    handler = RaisingHandler()
    LOGGER.addHandler(handler)
    try:
        setup.engine.deliver(ProcessResumed(1.0))
        setup.engine.deliver(ProcessResumed(1.0))
    finally:
        LOGGER.removeHandler(handler)
    assert setup.engine.diagnostics.violations == {Invariant.NO_EVENT_UNHANDLED: 2}


@pytest.mark.parametrize("ending", ["disconnected", "overdue", "failed"])
def test_the_timer_of_a_held_request_ends_with_the_request(ending: str) -> None:
    def decide(event: Event) -> list[Action]:
        if isinstance(event, Request):
            return [SetTimer(event.request + HOLD_TIMER_OFFSET, 60_000.0)]
        return [Fail(1)] if isinstance(event, ProcessResumed) else []

    setup = _Setup(decide)
    request = setup.submit(b"r1")
    assert setup.pending_timers() == 2  # the deadline's and the hold's
    if ending == "disconnected":
        setup.engine.client_disconnected(request)
    elif ending == "overdue":
        setup.engine.expire()
    else:
        setup.engine.deliver(ProcessResumed(1.0))
    assert setup.pending_timers() == 0


def test_a_request_that_is_finished_is_not_held() -> None:
    """An event that was queued before its end may make the policy hold it."""

    def decide(event: Event) -> list[Action]:
        hold = SetTimer(1 + HOLD_TIMER_OFFSET, 60_000.0)
        return [Fail(1), hold] if isinstance(event, Request) else []

    setup = _Setup(decide)
    setup.submit(b"r1")
    assert setup.client.outcomes == [FinalOutcome.FAILED]
    assert setup.pending_timers() == 0
