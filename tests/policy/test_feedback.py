"""Rewards and penalties after the outcome of an attempt."""

from gateusher.policy.interface import (
    Outcome,
    Request,
    Send,
)

from ..helpers import attempt_ended, make_balancer


def test_slow_responses_penalize_and_fast_ones_reward() -> None:
    balancer = make_balancer(40)
    for request_id, elapsed_ms in enumerate((100.0, 100.0, 100.0, 400.0, 20.0)):
        send = balancer.handle(request_id * 1000.0, Request(request_id, 0, 3000))[0]
        assert isinstance(send, Send)
        endpoint = balancer.endpoint_list.endpoints[send.endpoint]
        before = endpoint.inclusion_probability
        balancer.handle(
            request_id * 1000.0 + elapsed_ms, attempt_ended(request_id, 0, send.endpoint, Outcome.OK, elapsed_ms)
        )
        if elapsed_ms == 400.0:
            assert endpoint.inclusion_probability < before
        if elapsed_ms == 20.0:
            assert endpoint.inclusion_probability > before
