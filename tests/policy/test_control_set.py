"""The drawing of control sets, and rewards and penalties of inclusion probabilities."""

from math import fsum
from random import Random

import pytest

from gateusher.policy.control_set import MAX_EXPECTED_SET, MIN_EXPECTED_SET, PENALTY_STEP, REWARD_STEP
from gateusher.policy.interface import EndpointListUpdate, EndpointState, Outcome, Request, Send, UpdateKind

from ..helpers import attempt_ended, make_balancer, make_endpoint, make_endpoint_list, make_settings


def test_draw_includes_endpoints_independently() -> None:
    balancer = make_balancer(60)
    rounds = 20000
    drawn_count = dict.fromkeys(balancer.endpoint_list.endpoints, 0)
    pairs = 0
    most_likely = sorted(balancer.control_set.ready, key=lambda endpoint: -endpoint.inclusion_probability)[:2]
    for _ in range(rounds):
        drawn = balancer.control_set.draw()
        assert len(set(map(id, drawn))) == len(drawn)
        pairs += all(endpoint in drawn for endpoint in most_likely)
        for endpoint in drawn:
            drawn_count[endpoint.endpoint_id] += 1
    for endpoint in balancer.control_set.ready:
        sigma = (rounds * endpoint.inclusion_probability * (1 - endpoint.inclusion_probability)) ** 0.5
        assert abs(drawn_count[endpoint.endpoint_id] - rounds * endpoint.inclusion_probability) < 4.5 * sigma
    both_probability = most_likely[0].inclusion_probability * most_likely[1].inclusion_probability
    assert abs(pairs / rounds - both_probability) < 0.02


@pytest.mark.parametrize("n", [3, 40, 2000])
def test_expected_control_set_size_is_bounded_for_any_fleet(n: int) -> None:
    balancer = make_balancer(n)
    total = sum(endpoint.inclusion_probability for endpoint in balancer.control_set.ready)
    assert total == pytest.approx(balancer.control_set.expected_size)
    assert min(MIN_EXPECTED_SET, n / 2) <= total <= MAX_EXPECTED_SET


def test_reward_and_penalty_move_by_their_steps() -> None:
    balancer = make_balancer(40)
    endpoint = max(balancer.control_set.ready, key=lambda each: each.inclusion_probability)
    before = endpoint.inclusion_probability
    balancer.control_set.reward(endpoint)
    assert endpoint.inclusion_probability == pytest.approx(before + REWARD_STEP * (1 - before))
    before = endpoint.inclusion_probability
    balancer.control_set.penalize(endpoint)
    assert endpoint.inclusion_probability >= before * (1 - PENALTY_STEP) - 1e-12
    assert endpoint.inclusion_probability < before


def test_slow_fleet_does_not_shrink_the_control_set() -> None:
    balancer = make_balancer(100)
    for _ in range(50):
        for endpoint in list(balancer.control_set.ready):
            balancer.control_set.penalize(endpoint)
    assert balancer.control_set.expected_size >= MIN_EXPECTED_SET


@pytest.mark.parametrize("seed", range(40))
def test_expected_size_does_not_drift(seed: int) -> None:
    """Sums of floats in another order than their parts were added differ by rounding, so a moved sum drifts."""
    balancer = make_balancer(12, seed=seed)
    control_set, random = balancer.control_set, Random(seed)
    for _ in range(2000):
        random.choice([control_set.reward, control_set.penalize])(random.choice(control_set.ready))
    for endpoint in list(control_set.ready):
        probabilities = [each.inclusion_probability for each in control_set.ready]
        assert control_set.expected_size == pytest.approx(fsum(probabilities), rel=1e-15)
        control_set.remove(endpoint)
    assert control_set.expected_size == 0.0


@pytest.mark.parametrize("caches_by_key", [False, True])
@pytest.mark.parametrize("seed", range(40))
def test_no_event_fails_when_the_last_ready_endpoint_leaves(seed: int, caches_by_key: bool) -> None:
    """An expected size below zero would make a refill draw from no endpoints."""
    balancer, random = make_balancer(12, make_settings(caches_by_key=caches_by_key), seed), Random(seed)
    now_ms = 0.0
    for request in range(200):
        now_ms += 10.0
        (send,) = balancer.handle(now_ms, Request(request, 0, 3000.0, affinity_key=request))
        assert isinstance(send, Send)
        ended = attempt_ended(request, 0, send.endpoint, Outcome.OK, random.uniform(1.0, 900.0))
        balancer.handle(now_ms, ended)
    drained = tuple(make_endpoint(i + 1, EndpointState.DRAINING) for i in range(12))
    balancer.handle(now_ms, EndpointListUpdate(UpdateKind.CHANGES, 2, drained))
    assert balancer.control_set.ready == []
    assert balancer.control_set.draw() == []
    balancer.handle(now_ms + 1.0, EndpointListUpdate(UpdateKind.COMPLETE, 3, make_endpoint_list(12).entries))
    assert len(balancer.control_set.ready) == 12
