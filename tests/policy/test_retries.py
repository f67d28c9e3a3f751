"""Times of attempts and the waits between them."""

from gateusher.policy.interface import (
    Outcome,
    Reject,
    Request,
    Send,
    SetTimer,
)
from gateusher.policy.retries import IMMEDIATE_ATTEMPTS

from ..helpers import attempt_ended, make_balancer, make_settings


def test_first_retries_are_immediate_and_later_ones_back_off() -> None:
    """Where most endpoints are full, backoffs from the first retry on would spend the whole time."""
    balancer = make_balancer(60)
    balancer.admission.rejection_rate, balancer.estimates.service_time_ms, sends = 0.6, [40.0], 0
    (act,) = balancer.handle(1.0, Request(1, 0, 900))
    while isinstance(act, Send):
        (act,) = [
            a
            for a in balancer.handle(2.0, attempt_ended(1, sends, act.endpoint, Outcome.REJECTED))
            if isinstance(a, Send | SetTimer | Reject)
        ]
        sends += 1
    assert sends == IMMEDIATE_ATTEMPTS and isinstance(act, SetTimer)


def test_one_late_endpoint_does_not_extend_attempt_timeouts() -> None:
    balancer = make_balancer(6, make_settings(max_attempts=3))
    stalled = balancer.control_set.ready[0]
    for rid in range(60):
        now = rid * 10.0
        for act in balancer.handle(now, Request(rid, 0, 3000)):
            if isinstance(act, Send):
                late = balancer.endpoint_list.endpoints[act.endpoint] is stalled
                balancer.handle(now + 5, attempt_ended(rid, 0, act.endpoint, Outcome.TIMEOUT if late else Outcome.OK))
    (act,) = [a for a in balancer.handle(1000.0, Request(1000, 0, 3000)) if isinstance(a, Send)]
    assert act.expires_ms - 1000.0 < 950.0 and balancer.admission.admitted_share > 1.0
