"""The rules on attempts and final actions under generated event sequences."""

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from gateusher.policy import Balancer
from gateusher.policy.interface import (
    AttemptEnded,
    ClientDisconnected,
    DeduplicationScope,
    Effect,
    EndpointListUpdate,
    EndpointState,
    Fail,
    HealthCheck,
    HealthCheckEnded,
    Outcome,
    Reject,
    Request,
    Send,
    SetTimer,
    TimerFired,
    UpdateKind,
    WatchEndpointList,
)

from ..helpers import make_endpoint, make_settings

NEVER_EXECUTED = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
MAX_LATE_MS = 20.0  # a final action may follow the deadline by this much


class RuleChecker:
    """Passes generated events to a balancer and checks each action against the rules."""

    def __init__(self, effect: Effect, scope: DeduplicationScope, seed: int, **overrides: object) -> None:
        configuration = make_settings(effect, scope, **overrides)
        self.effect, self.scope, self.window_ms = effect, scope, configuration.classes[0].window_ms
        self.balancer, self.now_ms = Balancer(configuration, seed), 0.0
        self.states: dict[int, EndpointState] = {}
        self.zones_and_cells = {i: (i % 2, i % 3) for i in range(1, 9)}
        self.timers: list[tuple[float, int]] = []
        self.attempts: dict[int, list[list[object]]] = {}  # by request: [endpoint, sent, expires, outcome or None]
        self.deadline_ms: dict[int, float] = {}
        self.ended: set[int] = set()
        self.handle(
            EndpointListUpdate(
                UpdateKind.CACHED, 1, tuple(self.change_entry(i, EndpointState.READY) for i in range(1, 9))
            )
        )

    def change_entry(self, endpoint_id: int, state: EndpointState) -> object:
        self.states[endpoint_id] = state
        zone, cell = self.zones_and_cells[endpoint_id]
        return make_endpoint(endpoint_id, state, zone, cell)

    def handle(self, event: object) -> None:
        for action in self.balancer.handle(self.now_ms, event):  # type: ignore[arg-type]
            if isinstance(action, SetTimer):
                self.timers.append((self.now_ms + action.delay_ms, action.token))
            elif isinstance(action, Send):
                self.check_send(action)
            elif isinstance(action, Reject | Fail):
                self.check_final_action(action)
            else:
                assert isinstance(action, WatchEndpointList | HealthCheck) or action.endpoint in self.states

    def check_send(self, action: Send) -> None:
        assert action.request not in self.ended
        assert self.states[action.endpoint] is EndpointState.READY
        attempts_made = self.attempts[action.request]
        may_have_run = [attempt for attempt in attempts_made if attempt[3] not in NEVER_EXECUTED]
        if self.effect is Effect.NOT_IDEMPOTENT:
            assert not may_have_run
        if self.effect is Effect.KEYED and may_have_run:
            assert self.now_ms <= may_have_run[0][1] + self.window_ms  # type: ignore[operator]
            zone, cell = self.zones_and_cells[may_have_run[0][0]]  # type: ignore[index]
            if self.scope is DeduplicationScope.ZONE:
                assert self.zones_and_cells[action.endpoint][0] == zone
            if self.scope is DeduplicationScope.CELL:
                assert self.zones_and_cells[action.endpoint] == (zone, cell)
        assert all(attempt[3] is not None for attempt in attempts_made)
        assert self.now_ms < action.expires_ms <= self.deadline_ms[action.request]
        attempts_made.append([action.endpoint, self.now_ms, action.expires_ms, None])

    def check_final_action(self, action: Reject | Fail) -> None:
        assert action.request not in self.ended
        may_have_run = any(attempt[3] not in NEVER_EXECUTED for attempt in self.attempts[action.request])
        if isinstance(action, Reject) and may_have_run:
            assert self.effect is Effect.IDEMPOTENT or (
                self.effect is Effect.KEYED and self.scope is DeduplicationScope.ALL
            )
        assert self.now_ms <= self.deadline_ms[action.request] + MAX_LATE_MS
        self.ended.add(action.request)

    def end_attempt(self, request_id: int, outcome: Outcome) -> None:
        attempt = len(self.attempts[request_id]) - 1
        endpoint_id, sent_at_ms, _, known_outcome = self.attempts[request_id][attempt]
        if known_outcome is not None:
            return
        self.attempts[request_id][attempt][3] = outcome
        closed = outcome is Outcome.OK or request_id in self.ended
        if closed:
            self.ended.add(request_id)
        self.handle(AttemptEnded(request_id, attempt, endpoint_id, self.now_ms - sent_at_ms, outcome, closed))  # type: ignore

    def advance(self, until_ms: float) -> None:
        """Fire timers and attempt timeouts in order of time until `until_ms`."""
        while True:
            due = [(t, 0, token) for t, token in self.timers]
            due += [
                (attempts_made[-1][2], 1, request_id)
                for request_id, attempts_made in self.attempts.items()  # type: ignore[misc]
                if attempts_made and attempts_made[-1][3] is None
            ]
            if not due or min(due)[0] > until_ms:
                self.now_ms = until_ms
                return
            at, what, which = min(due)
            self.now_ms = max(self.now_ms, at)
            if what:
                self.end_attempt(which, Outcome.TIMEOUT)
            else:
                self.timers.remove((at, which))
                self.handle(TimerFired(which))


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["request", "end", "time", "list", "disconnect", "health check", "watch failed"]),
        st.integers(0, 7),
        st.integers(0, 7),
    ),
    max_size=60,
)


@given(
    STEPS,
    st.sampled_from(list(Effect)),
    st.sampled_from(list(DeduplicationScope)),
    st.integers(0, 5),
    st.booleans(),
    st.sampled_from([1, 2, 6]),
)
@hypothesis_settings(derandomize=True, max_examples=300, deadline=None)
def test_rules_hold_for_generated_events(
    steps: list[tuple[str, int, int]],
    effect: Effect,
    scope: DeduplicationScope,
    seed: int,
    polls_list: bool,
    attempts: int,
) -> None:
    checker = RuleChecker(
        effect,
        scope,
        seed,
        polls_list=polls_list,
        max_attempts=attempts,
        may_probe=True,
        reports_pulled=True,
        tick_ms=5.0,
    )
    for number, (what, a, b) in enumerate(steps):
        in_flight = [
            r for r, attempts_made in checker.attempts.items() if attempts_made and attempts_made[-1][3] is None
        ]
        if what == "request":
            timeout_ms = 400.0 * (a + 1)
            checker.deadline_ms[number], checker.attempts[number] = checker.now_ms + timeout_ms, []
            checker.handle(Request(number, 0, timeout_ms))
        elif what == "end" and in_flight:
            checker.end_attempt(in_flight[a % len(in_flight)], Outcome(b))
        elif what == "time":
            checker.advance(checker.now_ms + 10.0 * 3**a)
        elif what == "list":
            checker.handle(
                EndpointListUpdate(UpdateKind.CHANGES, number, (checker.change_entry(a + 1, EndpointState(b % 3)),))
            )  # type: ignore
        elif what == "disconnect" and in_flight:
            checker.ended.add(in_flight[0])
            checker.handle(ClientDisconnected(in_flight[0]))
        elif what == "health check":
            checker.handle(HealthCheckEnded(a + 1, 1.0, Outcome(b)))
        elif what == "watch failed" and polls_list:
            checker.handle(EndpointListUpdate(UpdateKind.FAILED, 0, ()))
    checker.advance(checker.now_ms + 20000.0)
    assert checker.ended >= set(checker.attempts)
