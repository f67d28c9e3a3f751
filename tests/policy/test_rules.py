"""The rules of attempts and answers under generated event sequences."""

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

PROVED = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
GRACE = 20.0


class Watcher:
    """Plays generated events to a balancer and checks each action against the rules."""

    def __init__(self, effect: Effect, scope: DeduplicationScope, seed: int, **more: object) -> None:
        conf = make_settings(effect, scope, **more)
        self.effect, self.scope, self.window = effect, scope, conf.classes[0].window_ms
        self.balancer, self.now = Balancer(conf, seed), 0.0
        self.states: dict[int, EndpointState] = {}
        self.places = {i: (i % 2, i % 3) for i in range(1, 9)}
        self.timers: list[tuple[float, int]] = []
        self.tries: dict[int, list[list[object]]] = {}  # request: [endpoint, sent, expires, outcome or None]
        self.deadline: dict[int, float] = {}
        self.over: set[int] = set()
        self.give(
            EndpointListUpdate(UpdateKind.CACHED, 1, tuple(self.line(i, EndpointState.READY) for i in range(1, 9)))
        )

    def line(self, eid: int, state: EndpointState) -> object:
        self.states[eid] = state
        zone, cell = self.places[eid]
        return make_endpoint(eid, state, zone, cell)

    def give(self, event: object) -> None:
        for act in self.balancer.handle(self.now, event):  # type: ignore[arg-type]
            if isinstance(act, SetTimer):
                self.timers.append((self.now + act.delay_ms, act.token))
            elif isinstance(act, Send):
                self.sent(act)
            elif isinstance(act, Reject | Fail):
                self.answered(act)
            else:
                assert isinstance(act, WatchEndpointList | HealthCheck) or act.endpoint in self.states

    def sent(self, act: Send) -> None:
        assert act.request not in self.over
        assert self.states[act.endpoint] is EndpointState.READY
        tries = self.tries[act.request]
        maybe = [t for t in tries if t[3] not in PROVED]
        if self.effect is Effect.NOT_IDEMPOTENT:
            assert not maybe
        if self.effect is Effect.KEYED and maybe:
            assert self.now <= maybe[0][1] + self.window  # type: ignore[operator]
            zone, cell = self.places[maybe[0][0]]  # type: ignore[index]
            if self.scope is DeduplicationScope.ZONE:
                assert self.places[act.endpoint][0] == zone
            if self.scope is DeduplicationScope.CELL:
                assert self.places[act.endpoint] == (zone, cell)
        assert all(t[3] is not None for t in tries)
        assert self.now < act.expires_ms <= self.deadline[act.request]
        tries.append([act.endpoint, self.now, act.expires_ms, None])

    def answered(self, act: Reject | Fail) -> None:
        assert act.request not in self.over
        maybe = any(t[3] not in PROVED for t in self.tries[act.request])
        if isinstance(act, Reject) and maybe:
            assert self.effect is Effect.IDEMPOTENT or (
                self.effect is Effect.KEYED and self.scope is DeduplicationScope.ALL
            )
        assert self.now <= self.deadline[act.request] + GRACE
        self.over.add(act.request)

    def end(self, rid: int, outcome: Outcome) -> None:
        attempt = len(self.tries[rid]) - 1
        eid, sent_at, _, done = self.tries[rid][attempt]
        if done is not None:
            return
        self.tries[rid][attempt][3] = outcome
        closed = outcome is Outcome.OK or rid in self.over
        if closed:
            self.over.add(rid)
        self.give(AttemptEnded(rid, attempt, eid, self.now - sent_at, outcome, closed))  # type: ignore

    def pass_time(self, until: float) -> None:
        """Fire timers and expiries in order."""
        while True:
            due = [(t, 0, token) for t, token in self.timers]
            due += [
                (tries[-1][2], 1, rid)
                for rid, tries in self.tries.items()  # type: ignore[misc]
                if tries and tries[-1][3] is None
            ]
            if not due or min(due)[0] > until:
                self.now = until
                return
            at, what, which = min(due)
            self.now = max(self.now, at)
            if what:
                self.end(which, Outcome.TIMEOUT)
            else:
                self.timers.remove((at, which))
                self.give(TimerFired(which))


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["request", "end", "time", "list", "leave", "probe", "failed"]),
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
def test_rules_hold_under_generated_events(
    steps: list[tuple[str, int, int]], effect: Effect, scope: DeduplicationScope, seed: int, ask: bool, attempts: int
) -> None:
    watcher = Watcher(
        effect, scope, seed, polls_list=ask, max_attempts=attempts, may_probe=True, reports_pulled=True, tick_ms=5.0
    )
    for number, (what, a, b) in enumerate(steps):
        open_ones = [r for r, tries in watcher.tries.items() if tries and tries[-1][3] is None]
        if what == "request":
            patience = 400.0 * (a + 1)
            watcher.deadline[number], watcher.tries[number] = watcher.now + patience, []
            watcher.give(Request(number, 0, patience))
        elif what == "end" and open_ones:
            watcher.end(open_ones[a % len(open_ones)], Outcome(b))
        elif what == "time":
            watcher.pass_time(watcher.now + 10.0 * 3**a)
        elif what == "list":
            watcher.give(EndpointListUpdate(UpdateKind.CHANGES, number, (watcher.line(a + 1, EndpointState(b % 3)),)))  # type: ignore
        elif what == "leave" and open_ones:
            watcher.over.add(open_ones[0])
            watcher.give(ClientDisconnected(open_ones[0]))
        elif what == "probe":
            watcher.give(HealthCheckEnded(a + 1, 1.0, Outcome(b)))
        elif what == "failed" and ask:
            watcher.give(EndpointListUpdate(UpdateKind.FAILED, 0, ()))
    watcher.pass_time(watcher.now + 20000.0)
    assert watcher.over >= set(watcher.tries)
