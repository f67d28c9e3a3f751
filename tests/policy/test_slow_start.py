"""The budgets of endpoints that are warming up, and when a slow start begins."""

import pytest

from gateusher.policy.interface import (
    EndpointListUpdate,
    Outcome,
    Request,
    Send,
    UpdateKind,
)

from ..helpers import attempt_ended, make_balancer, make_endpoint


def test_slow_start_budgets_of_idle_clients_add_up() -> None:
    """The requests of sixty clients with low request rates stay within the capacity of the warming endpoint."""
    clients, n, sent, window_ms = 60, 30, 0, 2000.0
    rate_per_s = 1.0  # requests of each client
    for seed in range(clients):
        balancer = make_balancer(n, seed=seed)
        rng, now_ms, request_id, started_at_ms = balancer.random_source, 0.0, 0, 20000.0
        notified = False
        while now_ms < started_at_ms + window_ms:
            if now_ms >= started_at_ms and not notified:
                balancer.handle(
                    now_ms,
                    EndpointListUpdate(UpdateKind.CHANGES, 2, (make_endpoint(1, started_at_ms=started_at_ms),)),
                )
                notified = True
            for action in balancer.handle(now_ms, Request(request_id, 0, 3000)):
                if isinstance(action, Send):
                    sent += action.endpoint == 1 and notified
                    balancer.handle(now_ms + 1, attempt_ended(request_id, 0, action.endpoint, Outcome.OK))
            request_id, now_ms = request_id + 1, now_ms + rng.expovariate(rate_per_s / 1000)
    fair_share = clients * rate_per_s / n * window_ms / 1000
    assert sent <= fair_share


def test_slow_start_begins_after_connect_failures_only() -> None:
    """Endpoints that recover from a hang are warm: slow-start budgets for all of them would reject most requests."""
    for outcome, begins in ((Outcome.TIMEOUT, False), (Outcome.CONNECT_FAILED, True)):
        balancer = make_balancer(1)
        for request_id in range(4):
            balancer.context.now_ms = request_id * 20000.0
            (send,) = balancer.handle(request_id * 20000.0, Request(request_id, 0, 3000))
            balancer.handle(
                request_id * 20000.0 + 5, attempt_ended(request_id, 0, 1, outcome if request_id < 3 else Outcome.OK)
            )
        assert (balancer.endpoint_list.endpoints[1].slow_start_until_ms > balancer.context.now_ms) is begins


def test_one_connect_failure_long_ago_begins_slow_start() -> None:
    """A client with one request per second has only one failed attempt there before its list is updated."""
    for gap_ms, begins in ((900.0, False), (9000.0, True)):
        balancer = make_balancer(1)
        for request_id, now_ms in enumerate((0.0, gap_ms)):
            balancer.context.now_ms = now_ms
            (send,) = balancer.handle(now_ms, Request(request_id, 0, 3000))
            balancer.handle(
                now_ms + 5, attempt_ended(request_id, 0, 1, Outcome.OK if request_id else Outcome.CONNECT_FAILED)
            )
        assert (balancer.endpoint_list.endpoints[1].slow_start_until_ms > balancer.context.now_ms) is begins


@pytest.mark.parametrize("responds_before_update", [True, False])
def test_recovered_endpoint_begins_slow_start_once(responds_before_update: bool) -> None:
    """A response or a list update clears the failure, so a later response doesn't begin another slow start."""
    balancer = make_balancer(1)
    (send,) = balancer.handle(0.0, Request(0, 0, 3000))
    balancer.handle(5.0, attempt_ended(0, 0, 1, Outcome.CONNECT_FAILED))
    if not responds_before_update:
        balancer.handle(800.0, EndpointListUpdate(UpdateKind.CHANGES, 2, (make_endpoint(1, started_at_ms=700.0),)))
    for request_id, now_ms in enumerate((900.0, 30000.0, 60000.0), 1):
        balancer.context.now_ms = now_ms
        for action in balancer.handle(now_ms, Request(request_id, 0, 3000)):
            if isinstance(action, Send):
                balancer.handle(now_ms + 5, attempt_ended(request_id, 0, 1, Outcome.OK))
    assert balancer.endpoint_list.endpoints[1].last_response_at_ms > 60000.0
    assert balancer.endpoint_list.endpoints[1].slow_start_until_ms < 10000.0
