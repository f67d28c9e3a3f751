"""Learning from the outcome of an attempt."""

from gateusher.policy.interface import (
    Outcome,
    Request,
    Send,
)

from ..helpers import attempt_ended, make_balancer


def test_slow_responses_penalize_and_fast_ones_reward() -> None:
    balancer = make_balancer(40)
    for rid, elapsed in enumerate((100.0, 100.0, 100.0, 400.0, 20.0)):
        send = balancer.handle(rid * 1000.0, Request(rid, 0, 3000))[0]
        assert isinstance(send, Send)
        server = balancer.endpoint_list.endpoints[send.endpoint]
        before = server.inclusion_probability
        balancer.handle(rid * 1000.0 + elapsed, attempt_ended(rid, 0, send.endpoint, Outcome.OK, elapsed))
        if elapsed == 400.0:
            assert server.inclusion_probability < before
        if elapsed == 20.0:
            assert server.inclusion_probability > before
