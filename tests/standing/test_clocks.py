"""Clock steps: of the wall clock at any time, of the monotonic clock by a pause, and offsets to other machines."""

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

HOUR_MS = 3.6e6


@pytest.mark.parametrize("step_s", [-7200.0, -5.0, 5.0, 7200.0])
def test_a_step_of_the_wall_clock_does_not_change_the_clock(step_s: float, monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    before_ms, wall_clock = clock.now_ms(), time.time
    monkeypatch.setattr(time, "time", lambda: wall_clock() + step_s)
    stopped_s = time.monotonic()
    monkeypatch.setattr(time, "monotonic", lambda: stopped_s)
    assert 0.0 <= clock.now_ms() - before_ms < 1000.0


class BalancerDriver:
    """Drives a balancer and tracks its attempts in flight, its timers and the number of responses to each request."""

    def __init__(self, balancer: Balancer, now: float = 0.0) -> None:
        self.balancer, self.now = balancer, now
        # Request: number of the attempt, endpoint, send time.
        self.in_flight: dict[int, tuple[int, int, float]] = {}
        self.attempt_counts, self.response_counts = Counter[int](), Counter[int]()
        self.timers: list[int] = []
        self.request_count = 0

    def execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.in_flight[action.request] = self.attempt_counts[action.request], action.endpoint, self.now
                self.attempt_counts[action.request] += 1
            elif isinstance(action, Reject | Fail):
                self.response_counts[action.request] += 1
            elif isinstance(action, SetTimer) and action.token:
                self.timers.append(action.token)

    def request(self) -> int:
        self.request_count += 1
        self.execute(self.balancer.handle(self.now, Request(self.request_count, 0, 1500.0)))
        return self.request_count

    def end_attempt(self, request: int, outcome: Outcome) -> None:
        number, endpoint, sent = self.in_flight.pop(request)
        self.response_counts[request] += outcome is Outcome.OK
        self.execute(
            self.balancer.handle(
                self.now, attempt_ended(request, number, endpoint, outcome, max(0.0, self.now - sent), (1.0,))
            )
        )

    def finish(self) -> None:
        """Advance time until no attempt or timer is left; a request without a response by then was lost."""
        while self.in_flight or self.timers:
            self.now += 50.0
            for token in self.timers[:]:
                self.timers.remove(token)
                self.execute(self.balancer.handle(self.now, TimerFired(token)))
            for request in list(self.in_flight):
                self.end_attempt(request, Outcome.TIMEOUT)


def test_after_a_pause_of_five_seconds_the_next_requests_are_sent_at_once() -> None:
    """After a pause every attempt is overdue at once.  No endpoint is at fault, so none stays ejected."""
    driver = BalancerDriver(make_balancer(10, make_settings(report_fields=("waiting",))))
    for _ in range(50):  # responses from every endpoint
        driver.now += 20.0
        driver.end_attempt(driver.request(), Outcome.OK)
    open_requests = [driver.request() for _ in range(20)]
    driver.now += 5000.0
    driver.execute(driver.balancer.handle(driver.now, ProcessResumed(4900.0)))
    for request in open_requests:
        if request in driver.in_flight:
            driver.end_attempt(request, Outcome.TIMEOUT)
    assert all(driver.response_counts[request] == 1 for request in open_requests)
    for _ in range(10):
        assert driver.request() in driver.in_flight
    driver.finish()


def test_the_balancer_gets_a_pause_of_the_loop_before_the_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        received = asyncio.Event()

        async def record_request(_: bytes, writer: Writer) -> None:
            received.set()

        async with run_sidecar(Endpoint(record_request)) as r:
            order: list[str] = []
            handle = Balancer.handle

            def record(balancer: Balancer, now: float, event: Event) -> list[Action]:
                order.append(type(event).__name__)
                return handle(balancer, now, event)

            monkeypatch.setattr(Balancer, "handle", record)
            request = asyncio.create_task(r.request(idempotent_request(deadline="0.6")))
            await received.wait()
            monkeypatch.setattr(node, "STALL_THRESHOLD_S", 0.5)
            time.sleep(1.0)  # blocks the event loop, and so the sidecar
            head, _ = await request
            assert status(head) in (503, 504)
            assert "ProcessResumed" in order and order.index("ProcessResumed") < order.index("AttemptEnded")
            endpoint = next(iter(r.sidecar.engine._balancer.endpoint_list.endpoints.values()))
            assert not endpoint.consecutive_failures

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
def test_each_request_gets_one_response_despite_clock_steps(
    seed: int, steps: list[tuple[str, Outcome, float]]
) -> None:
    driver = BalancerDriver(make_balancer(5, make_settings(report_fields=("waiting",)), seed), 1e6)
    disconnected = set()
    for kind, outcome, step_ms in steps:
        driver.now += step_ms
        if kind == "ask":
            driver.request()
        elif kind == "list":
            driver.execute(
                driver.balancer.handle(
                    driver.now,
                    EndpointListUpdate(UpdateKind.CHANGES, 2, (make_endpoint(1, started_at_ms=driver.now),)),
                )
            )
        elif kind == "timer" and driver.timers:
            driver.execute(driver.balancer.handle(driver.now, TimerFired(driver.timers.pop(0))))
        elif kind == "end" and driver.in_flight:
            driver.end_attempt(min(driver.in_flight), outcome)
        elif kind == "leave" and driver.in_flight:
            request = min(driver.in_flight)
            disconnected.add(request)
            driver.execute(driver.balancer.handle(driver.now, ClientDisconnected(request)))
    driver.finish()
    assert all(
        driver.response_counts[request] == 1
        for request in range(1, driver.request_count + 1)
        if request not in disconnected
    )
    assert not driver.balancer.requests.pending


def test_an_endpoint_started_in_the_future_is_in_slow_start_for_its_usual_time() -> None:
    """The local wall clock is an hour behind the one of the list; a start time in the future counts as now."""
    conf = make_settings()
    driver = BalancerDriver(make_balancer(1, conf))
    driver.balancer.handle(0.0, make_endpoint_list(1))
    driver.execute(
        driver.balancer.handle(
            0.0, EndpointListUpdate(UpdateKind.CHANGES, 2, (make_endpoint(1, started_at_ms=HOUR_MS),))
        )
    )
    endpoint = driver.balancer.endpoint_list.endpoints[1]
    assert endpoint.slow_start_from_ms == 0.0
    assert endpoint.slow_start_until_ms == conf.slow_start_ms
