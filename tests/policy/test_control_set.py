"""The random control set and its learning automaton."""

import pytest

from gateusher.policy.control_set import MAX_EXPECTED_SET, MIN_EXPECTED_SET, PENALTY_STEP, REWARD_STEP

from ..helpers import make_balancer


def test_draw_includes_endpoints_independently() -> None:
    balancer = make_balancer(60)
    rounds = 20000
    seen = dict.fromkeys(balancer.endpoint_list.endpoints, 0)
    pairs = 0
    likely = sorted(balancer.control_set.ready, key=lambda s: -s.inclusion_probability)[:2]
    for _ in range(rounds):
        drawn = balancer.control_set.draw()
        assert len(set(map(id, drawn))) == len(drawn)
        pairs += all(s in drawn for s in likely)
        for server in drawn:
            seen[server.endpoint_id] += 1
    for server in balancer.control_set.ready:
        sigma = (rounds * server.inclusion_probability * (1 - server.inclusion_probability)) ** 0.5
        assert abs(seen[server.endpoint_id] - rounds * server.inclusion_probability) < 4.5 * sigma
    both = likely[0].inclusion_probability * likely[1].inclusion_probability
    assert abs(pairs / rounds - both) < 0.02


@pytest.mark.parametrize("n", [3, 40, 2000])
def test_expected_control_set_size_is_bounded_for_any_fleet(n: int) -> None:
    balancer = make_balancer(n)
    total = sum(s.inclusion_probability for s in balancer.control_set.ready)
    assert total == pytest.approx(balancer.control_set.expected_size)
    assert min(MIN_EXPECTED_SET, n / 2) <= total <= MAX_EXPECTED_SET


def test_reward_and_penalty_move_by_their_steps() -> None:
    balancer = make_balancer(40)
    server = max(balancer.control_set.ready, key=lambda s: s.inclusion_probability)
    before = server.inclusion_probability
    balancer.control_set.reward(server)
    assert server.inclusion_probability == pytest.approx(before + REWARD_STEP * (1 - before))
    before = server.inclusion_probability
    balancer.control_set.penalize(server)
    assert server.inclusion_probability >= before * (1 - PENALTY_STEP) - 1e-12
    assert server.inclusion_probability < before


def test_slow_fleet_does_not_shrink_the_control_set() -> None:
    balancer = make_balancer(100)
    for _ in range(50):
        for server in list(balancer.control_set.ready):
            balancer.control_set.penalize(server)
    assert balancer.control_set.expected_size >= MIN_EXPECTED_SET
