"""Budgets of endpoints that are warming up."""

import pytest

from gateusher.policy.interface import (
    EndpointListUpdate,
    Outcome,
    Request,
    Send,
    UpdateKind,
)

from ..helpers import ended, entry, started


def test_quiet_clients_budgets_for_a_cold_server_add_up() -> None:
    """Sixty clients that each know a little keep their sum under the cold server's capacity."""
    clients, n, sent, window = 60, 30, 0, 2000.0
    warm_rate = 1.0  # requests each client sends a second
    for seed in range(clients):
        balancer = started(n, seed=seed)
        rng, now, rid, booted = balancer.random_source, 0.0, 0, 20000.0
        told = False
        while now < booted + window:
            if now >= booted and not told:
                balancer.handle(now, EndpointListUpdate(UpdateKind.CHANGES, 2, (entry(1, booted=booted),)))
                told = True
            for act in balancer.handle(now, Request(rid, 0, 3000)):
                if isinstance(act, Send):
                    sent += act.endpoint == 1 and told
                    balancer.handle(now + 1, ended(rid, 0, act.endpoint, Outcome.OK))
            rid, now = rid + 1, now + rng.expovariate(warm_rate / 1000)
    fair = clients * warm_rate / n * window / 1000
    assert sent <= fair


def test_only_a_server_back_from_the_dead_is_taken_for_cold() -> None:
    """A fleet back from a hang is warm: a budget for all of it would shut the client off."""
    for outcome, cold in ((Outcome.TIMEOUT, False), (Outcome.CONNECT_FAILED, True)):
        balancer = started(1)
        for rid in range(4):
            balancer.context.now_ms = rid * 20000.0
            (send,) = balancer.handle(rid * 20000.0, Request(rid, 0, 3000))
            balancer.handle(rid * 20000.0 + 5, ended(rid, 0, 1, outcome if rid < 3 else Outcome.OK))
        assert (balancer.endpoint_list.endpoints[1].slow_start_until_ms > balancer.context.now_ms) is cold


def test_a_quiet_client_takes_a_server_for_cold_after_one_failure_long_ago() -> None:
    """With a request a second it has tried it once while it was down, and does not yet know of the new start."""
    for wait, cold in ((900.0, False), (9000.0, True)):
        balancer = started(1)
        for rid, now in enumerate((0.0, wait)):
            balancer.context.now_ms = now
            (send,) = balancer.handle(now, Request(rid, 0, 3000))
            balancer.handle(now + 5, ended(rid, 0, 1, Outcome.OK if rid else Outcome.CONNECT_FAILED))
        assert (balancer.endpoint_list.endpoints[1].slow_start_until_ms > balancer.context.now_ms) is cold


@pytest.mark.parametrize("soon", [True, False])
def test_a_server_that_is_back_is_cold_once(soon: bool) -> None:
    """Its failure is over with its answer, or with the list's word: no later answer makes it cold again."""
    balancer = started(1)
    (send,) = balancer.handle(0.0, Request(0, 0, 3000))
    balancer.handle(5.0, ended(0, 0, 1, Outcome.CONNECT_FAILED))
    if not soon:
        balancer.handle(800.0, EndpointListUpdate(UpdateKind.CHANGES, 2, (entry(1, booted=700.0),)))
    for rid, now in enumerate((900.0, 30000.0, 60000.0), 1):
        balancer.context.now_ms = now
        for act in balancer.handle(now, Request(rid, 0, 3000)):
            if isinstance(act, Send):
                balancer.handle(now + 5, ended(rid, 0, 1, Outcome.OK))
    assert balancer.endpoint_list.endpoints[1].last_response_at_ms > 60000.0
    assert balancer.endpoint_list.endpoints[1].slow_start_until_ms < 10000.0
