"""A client's end is found before an attempt begins, whichever event of a turn of the loop is handled first."""

from collections.abc import Callable
from itertools import permutations
from math import inf

import pytest

from gateusher.base.clock import Clock
from gateusher.base.limits import MemoryBudget
from gateusher.core.engine import ClientRequest, Engine, FinalResponse
from gateusher.policy.interface import Action, AttemptEnded, Event, Outcome, Request, Send, SetTimer, TimerFired
from gateusher.upstream.interface import NO_RESPONSE, Attempt
from gateusher.upstream.states import ASSIGN, END_REJECTED, WRITE_ALL

from ..helpers import make_settings

TIMEOUT_MS = 1000.0
RETRIED, WAITING, DIALED, PIPELINED = b"retried", b"waiting", b"dialed", b"pipelined"


class Timer:
    """A timer that the test fires, if it is the policy's."""

    def cancel(self) -> None: ...


class Connections:
    """Connections to endpoints: they record each attempt that begins."""

    pulls_reports = False

    def __init__(self) -> None:
        self.attempts: dict[bytes, list[Attempt]] = {}

    def start_attempt(self, attempt: Attempt) -> None:
        self.attempts.setdefault(attempt.request.request_id, []).append(attempt)  # type: ignore[attr-defined]

    def abort_attempt(self, attempt: Attempt, outcome: Outcome) -> None: ...

    def close_idle_connections(self, endpoint_id: int) -> None: ...


class Discovery:
    """Discovery without news."""

    def watch(self) -> None: ...

    def stop(self) -> None: ...

    def catch_up(self) -> None: ...


class Client:
    """A client that may have closed its connection."""

    def __init__(self) -> None:
        self.has_closed = False

    def on_final_response(self, request: ClientRequest, final: FinalResponse) -> None: ...

    def is_disconnected(self, request: ClientRequest) -> bool:
        return self.has_closed

    def on_released(self, request: ClientRequest) -> None: ...


class Turn:
    """An engine with open requests of one client that closes, and the events that are then ready in one turn."""

    def __init__(self) -> None:
        self.client, self.connections = Client(), Connections()
        self.policy_timers: list[Callable[[], object]] = []
        self.engine = Engine(
            make_settings(), (frozenset({b"GET"}),), 1, Clock(), self._call_later, 10, MemoryBudget(1000)
        )
        self.engine.discovery = Discovery()
        self.engine.upstream = self.connections  # type: ignore[assignment]
        self.engine._balancer.handle = lambda now_ms, event: self._decide(event)  # type: ignore[method-assign]
        self.numbers: dict[bytes, int] = {}
        for name in (RETRIED, WAITING, DIALED):
            self._submit(name)
        self.client.has_closed = True
        self.events: dict[str, Callable[[], object]] = {
            "its end is read": self._read_end,
            "an endpoint rejects": self._read_rejection,
            "a timer fires": lambda: [fire() for fire in self.policy_timers],
            "a dial is up": self._dial_up,
            "another request is read": lambda: self._submit(PIPELINED),
        }
        self.written_after_dial = False

    def _call_later(self, delay: float, callback: Callable[..., object], *args: object) -> Timer:
        if not args:  # a deadline's timer has its request as argument
            self.policy_timers.append(callback)
        return Timer()

    def _decide(self, event: Event) -> list[Action]:
        if isinstance(event, Request) and event.request == self.numbers.get(WAITING):
            return [SetTimer(event.request, 0.0)]
        if isinstance(event, Request):
            return [Send(event.request, 1, inf)]
        if isinstance(event, TimerFired):
            return [Send(event.token, 1, inf)]
        if isinstance(event, AttemptEnded) and event.outcome is Outcome.REJECTED:
            return [Send(event.request, 2, inf)]
        return []

    def _submit(self, name: bytes) -> None:
        request = ClientRequest(self.client, b"GET", b"/", (), b"", request_id=name)
        self.numbers[name] = self.engine._next_request_number
        assert self.engine.submit(request, TIMEOUT_MS) is None

    def _read_end(self) -> None:
        for request in list(self.engine.requests.values()):
            self.engine.client_disconnected(request)

    def _read_rejection(self) -> None:
        attempt = self.connections.attempts[RETRIED][0]
        for event in (ASSIGN, WRITE_ALL, END_REJECTED):
            attempt.transition(event)
        attempt.on_ended(Outcome.REJECTED, (), 1.0, NO_RESPONSE)

    def _dial_up(self) -> None:
        (attempt,) = self.connections.attempts[DIALED]
        self.written_after_dial = attempt.may_be_written()


READ_END, READ_REQUEST, DIAL_UP = "its end is read", "another request is read", "a dial is up"
# Bytes are read before the end that follows them, and once that is read the dial is aborted.
ORDERS = [
    order
    for order in permutations(Turn().events)
    if max(order.index(READ_REQUEST), order.index(DIAL_UP)) < order.index(READ_END)
]


@pytest.mark.parametrize("order", ORDERS, ids=", ".join)
def test_no_attempt_begins_for_a_client_that_has_closed(order: tuple[str, ...]) -> None:
    turn = Turn()
    begun = {name: len(attempts) for name, attempts in turn.connections.attempts.items()}
    assert begun == {RETRIED: 1, DIALED: 1}
    for event in order:
        turn.events[event]()
    assert {name: len(attempts) for name, attempts in turn.connections.attempts.items()} == begun
    assert not turn.written_after_dial
