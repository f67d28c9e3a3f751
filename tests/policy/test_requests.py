"""A request's life: attempts, holds and final answers."""

import pytest

from gateusher.policy import Balancer
from gateusher.policy.interface import (
    DeduplicationScope,
    Effect,
    EndpointListUpdate,
    EndpointState,
    Fail,
    Outcome,
    Reject,
    Request,
    Send,
    SetTimer,
    TimerFired,
    UpdateKind,
)

from ..helpers import attempt_ended, make_balancer, make_endpoint, make_settings

PROVED = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


MAYBE = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


@pytest.mark.parametrize(
    "effect,scope,outcome,again,last",
    [
        *[(e, s, o, True, Reject) for e in Effect for s in DeduplicationScope for o in PROVED],
        *[(Effect.IDEMPOTENT, DeduplicationScope.ALL, o, True, Reject) for o in MAYBE],
        *[(Effect.NOT_IDEMPOTENT, DeduplicationScope.ALL, o, False, Fail) for o in MAYBE],
        *[(Effect.KEYED, DeduplicationScope.ALL, o, True, Reject) for o in MAYBE],
        *[
            (Effect.KEYED, s, o, True, Fail)
            for s in (DeduplicationScope.ZONE, DeduplicationScope.CELL)
            for o in MAYBE
        ],
    ],
)
def test_effect_and_outcome_decide(
    effect: Effect, scope: DeduplicationScope, outcome: Outcome, again: bool, last: type
) -> None:
    balancer = make_balancer(10, make_settings(effect, scope, max_attempts=2))
    (send,) = balancer.handle(1.0, Request(5, 0, 3000))
    assert isinstance(send, Send)
    then = balancer.handle(2.0, attempt_ended(5, 0, send.endpoint, outcome))
    if not again:
        assert then == [last(5)]
        return
    assert isinstance(then[0], Send)
    end = balancer.handle(3.0, attempt_ended(5, 1, then[0].endpoint, outcome))
    assert end == [last(5)]


def test_request_without_a_ready_endpoint_is_held_and_answered_in_time() -> None:
    balancer = Balancer(make_settings(), 3)
    balancer.handle(0.0, EndpointListUpdate(UpdateKind.CACHED, 1, (make_endpoint(1, EndpointState.DRAINING),)))
    now, acts = 0.0, balancer.handle(0.0, Request(9, 0, 3000))
    while acts and isinstance(acts[0], SetTimer):
        now += acts[0].delay_ms
        acts = balancer.handle(now, TimerFired(acts[0].token))
    assert acts == [Reject(9)]
    assert 300 < now <= 3000


def test_request_without_time_for_an_attempt_after_the_wait_is_rejected_at_once() -> None:
    """No endpoint is ready and little time is left: the client is rejected now, with a Retry-After."""
    balancer = Balancer(make_settings(max_retry_after_ms=800.0), 3)
    balancer.handle(0.0, EndpointListUpdate(UpdateKind.CACHED, 1, (make_endpoint(1, EndpointState.DRAINING),)))
    for rid in range(20):
        (act,) = balancer.handle(float(rid), Request(rid, 0, 60))
        assert isinstance(act, Reject)
        assert 0 < act.retry_after_ms <= 800
