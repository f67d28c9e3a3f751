"""Clocks that step: the wall clock at any time, the monotonic one by a pause, and both against those of others."""

import asyncio
import time
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from gateusher import node
from gateusher.base.clock import Clock
from gateusher.policy import Balancer
from gateusher.policy.interface import (
    Action,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    Fail,
    Outcome,
    ProcessResumed,
    Reject,
    Request,
    Send,
    SetTimer,
    TimerFired,
    UpdateKind,
)

from ..helpers import attempt_ended, make_balancer, make_endpoint, make_endpoint_list, make_settings
from ..net import Endpoint, Writer, idempotent_request, run, run_sidecar, status

HOUR = 3.6e6


@pytest.mark.parametrize("step_s", [-7200.0, -5.0, 5.0, 7200.0])
def test_a_step_of_the_wall_clock_moves_no_time_of_ours(step_s: float, monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    before, wall = clock.now_ms(), time.time
    monkeypatch.setattr(time, "time", lambda: wall() + step_s)
    held = time.monotonic()
    monkeypatch.setattr(time, "monotonic", lambda: held)
    assert 0.0 <= clock.now_ms() - before < 1000.0


class Hand:
    """Plays a balancer and keeps what is owed: which attempts are out, which requests have had their answer."""

    def __init__(self, balancer: Balancer, now: float = 0.0) -> None:
        self.balancer, self.now = balancer, now
        self.out: dict[int, tuple[int, int, float]] = {}  # request: number of the attempt, endpoint, when
        self.tries, self.answers = Counter[int](), Counter[int]()
        self.timers: list[int] = []
        self.asked = 0

    def act(self, actions: list[Action]) -> None:
        for act in actions:
            if isinstance(act, Send):
                self.out[act.request] = self.tries[act.request], act.endpoint, self.now
                self.tries[act.request] += 1
            elif isinstance(act, Reject | Fail):
                self.answers[act.request] += 1
            elif isinstance(act, SetTimer) and act.token:
                self.timers.append(act.token)

    def ask(self) -> int:
        self.asked += 1
        self.act(self.balancer.handle(self.now, Request(self.asked, 0, 1500.0)))
        return self.asked

    def end(self, request: int, outcome: Outcome) -> None:
        number, endpoint, sent = self.out.pop(request)
        self.answers[request] += outcome is Outcome.OK
        self.act(
            self.balancer.handle(
                self.now, attempt_ended(request, number, endpoint, outcome, max(0.0, self.now - sent), (1.0,))
            )
        )

    def finish(self) -> None:
        """Time passes until nothing is out: what is left unanswered then has been forgotten."""
        while self.out or self.timers:
            self.now += 50.0
            for token in self.timers[:]:
                self.timers.remove(token)
                self.act(self.balancer.handle(self.now, TimerFired(token)))
            for request in list(self.out):
                self.end(request, Outcome.TIMEOUT)


def test_after_a_pause_of_five_seconds_the_next_requests_are_sent_at_once() -> None:
    """A machine that stood still finds every attempt overdue at once.  No server is at fault, so none stays out."""
    hand = Hand(make_balancer(10, make_settings(report_fields=("waiting",))))
    for _ in range(50):  # a warm client, with answers from all
        hand.now += 20.0
        hand.end(hand.ask(), Outcome.OK)
    open_then = [hand.ask() for _ in range(20)]
    hand.now += 5000.0
    hand.act(hand.balancer.handle(hand.now, ProcessResumed(4900.0)))
    for request in open_then:
        if request in hand.out:
            hand.end(request, Outcome.TIMEOUT)
    assert all(hand.answers[request] == 1 for request in open_then)
    for _ in range(10):
        assert hand.ask() in hand.out
    hand.finish()


def test_a_loop_that_stood_still_is_told_to_the_module_before_its_time_outs(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        go = asyncio.Event()

        async def wait(_: bytes, writer: Writer) -> None:
            go.set()

        async with run_sidecar(Endpoint(wait)) as r:
            order: list[str] = []
            handle = Balancer.handle

            def record(balancer: Balancer, now: float, event: Event) -> list[Action]:
                order.append(type(event).__name__)
                return handle(balancer, now, event)

            monkeypatch.setattr(Balancer, "handle", record)
            asking = asyncio.create_task(r.request(idempotent_request(deadline="0.6")))
            await go.wait()
            monkeypatch.setattr(node, "STALL_THRESHOLD_S", 0.5)
            time.sleep(1.0)  # the loop's own thread: nothing of the sidecar runs meanwhile
            head, _ = await asking
            assert status(head) in (503, 504)
            assert "ProcessResumed" in order and order.index("ProcessResumed") < order.index("AttemptEnded")
            server = next(iter(r.sidecar.engine._balancer.endpoint_list.endpoints.values()))
            assert not server.consecutive_failures

    run(test())


@examples(max_examples=200, deadline=None)
@given(
    st.integers(0, 1000),
    st.lists(
        st.tuples(
            st.sampled_from(["ask", "end", "timer", "leave", "list"]),
            st.sampled_from(list(Outcome)[:6]),
            st.floats(-6000.0, 6000.0),
        ),
        max_size=60,
    ),
)
def test_whatever_the_clock_does_each_request_has_one_answer(
    seed: int, steps: list[tuple[str, Outcome, float]]
) -> None:
    hand = Hand(make_balancer(5, make_settings(report_fields=("waiting",)), seed), 1e6)
    left = set()
    for what, outcome, step in steps:
        hand.now += step
        if what == "ask":
            hand.ask()
        elif what == "list":
            hand.act(
                hand.balancer.handle(
                    hand.now, EndpointListUpdate(UpdateKind.CHANGES, 2, (make_endpoint(1, started_at_ms=hand.now),))
                )
            )
        elif what == "timer" and hand.timers:
            hand.act(hand.balancer.handle(hand.now, TimerFired(hand.timers.pop(0))))
        elif what == "end" and hand.out:
            hand.end(min(hand.out), outcome)
        elif what == "leave" and hand.out:
            request = min(hand.out)
            left.add(request)
            hand.act(hand.balancer.handle(hand.now, ClientDisconnected(request)))
    hand.finish()
    assert all(hand.answers[request] == 1 for request in range(1, hand.asked + 1) if request not in left)
    assert not hand.balancer.requests.pending


def test_a_server_born_in_our_future_is_cold_for_its_warm_up_and_no_longer() -> None:
    """Our wall clock is an hour behind the list's: a start that we hear of now can't be later than now."""
    conf = make_settings()
    hand = Hand(make_balancer(1, conf))
    hand.balancer.handle(0.0, make_endpoint_list(1))
    hand.act(
        hand.balancer.handle(0.0, EndpointListUpdate(UpdateKind.CHANGES, 2, (make_endpoint(1, started_at_ms=HOUR),)))
    )
    server = hand.balancer.endpoint_list.endpoints[1]
    assert server.slow_start_from_ms == 0.0
    assert server.slow_start_until_ms == conf.slow_start_ms
