"""Budgets of endpoints that are warming up."""

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
    """The sum over sixty clients with few requests stays under the capacity of the warming endpoint."""
    clients, n, sent, window = 60, 30, 0, 2000.0
    warm_rate = 1.0  # requests each client sends a second
    for seed in range(clients):
        balancer = make_balancer(n, seed=seed)
        rng, now, rid, booted = balancer.random_source, 0.0, 0, 20000.0
        told = False
        while now < booted + window:
            if now >= booted and not told:
                balancer.handle(
                    now, EndpointListUpdate(UpdateKind.CHANGES, 2, (make_endpoint(1, started_at_ms=booted),))
                )
                told = True
            for act in balancer.handle(now, Request(rid, 0, 3000)):
                if isinstance(act, Send):
                    sent += act.endpoint == 1 and told
                    balancer.handle(now + 1, attempt_ended(rid, 0, act.endpoint, Outcome.OK))
            rid, now = rid + 1, now + rng.expovariate(warm_rate / 1000)
    fair = clients * warm_rate / n * window / 1000
    assert sent <= fair


def test_slow_start_begins_after_connect_failures_only() -> None:
    """A fleet back from a hang is warm: slow-start budgets for all of it would reject most requests."""
    for outcome, cold in ((Outcome.TIMEOUT, False), (Outcome.CONNECT_FAILED, True)):
        balancer = make_balancer(1)
        for rid in range(4):
            balancer.context.now_ms = rid * 20000.0
            (send,) = balancer.handle(rid * 20000.0, Request(rid, 0, 3000))
            balancer.handle(rid * 20000.0 + 5, attempt_ended(rid, 0, 1, outcome if rid < 3 else Outcome.OK))
        assert (balancer.endpoint_list.endpoints[1].slow_start_until_ms > balancer.context.now_ms) is cold


def test_one_connect_failure_long_ago_begins_slow_start() -> None:
    """A client with a request a second has one failed attempt there, and its list is not updated yet."""
    for wait, cold in ((900.0, False), (9000.0, True)):
        balancer = make_balancer(1)
        for rid, now in enumerate((0.0, wait)):
            balancer.context.now_ms = now
            (send,) = balancer.handle(now, Request(rid, 0, 3000))
            balancer.handle(now + 5, attempt_ended(rid, 0, 1, Outcome.OK if rid else Outcome.CONNECT_FAILED))
        assert (balancer.endpoint_list.endpoints[1].slow_start_until_ms > balancer.context.now_ms) is cold


@pytest.mark.parametrize("soon", [True, False])
def test_endpoint_that_is_back_begins_slow_start_once(soon: bool) -> None:
    """The failure ends with a response or a list update: no later response begins a slow start again."""
    balancer = make_balancer(1)
    (send,) = balancer.handle(0.0, Request(0, 0, 3000))
    balancer.handle(5.0, attempt_ended(0, 0, 1, Outcome.CONNECT_FAILED))
    if not soon:
        balancer.handle(800.0, EndpointListUpdate(UpdateKind.CHANGES, 2, (make_endpoint(1, started_at_ms=700.0),)))
    for rid, now in enumerate((900.0, 30000.0, 60000.0), 1):
        balancer.context.now_ms = now
        for act in balancer.handle(now, Request(rid, 0, 3000)):
            if isinstance(act, Send):
                balancer.handle(now + 5, attempt_ended(rid, 0, 1, Outcome.OK))
    assert balancer.endpoint_list.endpoints[1].last_response_at_ms > 60000.0
    assert balancer.endpoint_list.endpoints[1].slow_start_until_ms < 10000.0
