"""Attempt timeouts and backoffs."""

from gateusher.policy.interface import (
    Outcome,
    Reject,
    Request,
    Send,
    SetTimer,
    TimerFired,
)
from gateusher.policy.retries import IMMEDIATE_ATTEMPTS

from ..helpers import attempt_ended, make_balancer, make_settings


def test_first_retries_are_immediate_and_later_ones_back_off() -> None:
    """While most endpoints are full, backoffs from the first retry on would use up the whole time."""
    balancer = make_balancer(60)
    balancer.admission.rejection_rate, balancer.estimates.service_time_ms, attempts = 0.6, [40.0], 0
    (action,) = balancer.handle(1.0, Request(1, 0, 900))
    while isinstance(action, Send):
        (action,) = [
            a
            for a in balancer.handle(2.0, attempt_ended(1, attempts, action.endpoint, Outcome.REJECTED))
            if isinstance(a, Send | SetTimer | Reject)
        ]
        attempts += 1
    assert attempts == IMMEDIATE_ATTEMPTS and isinstance(action, SetTimer)


def test_one_late_endpoint_does_not_extend_attempt_timeouts() -> None:
    balancer = make_balancer(6, make_settings(max_attempts=3))
    stalled = balancer.control_set.ready[0]
    for request_id in range(60):
        now_ms = request_id * 10.0
        for action in balancer.handle(now_ms, Request(request_id, 0, 3000)):
            if isinstance(action, Send):
                late = balancer.endpoint_list.endpoints[action.endpoint] is stalled
                balancer.handle(
                    now_ms + 5, attempt_ended(request_id, 0, action.endpoint, Outcome.TIMEOUT if late else Outcome.OK)
                )
    (action,) = [a for a in balancer.handle(1000.0, Request(1000, 0, 3000)) if isinstance(a, Send)]
    assert action.expires_ms - 1000.0 < 950.0 and balancer.admission.admitted_share > 1.0


def test_any_number_of_attempts_backs_off_without_overflow() -> None:
    """Attempts that never leave this process, for example without descriptors, are not rejections: no backoff."""
    attempts = 1100
    balancer = make_balancer(attempts, make_settings(max_attempts=attempts))
    (action,) = balancer.handle(0.0, Request(1, 0, 3000))
    for number in range(attempts - 1):
        assert isinstance(action, Send)
        (action,) = balancer.handle(1.0, attempt_ended(1, number, action.endpoint, Outcome.NOT_SENT))
        if isinstance(action, SetTimer):
            (action,) = balancer.handle(1.0, TimerFired(action.token))
    (last,) = balancer.handle(1.0, attempt_ended(1, attempts - 1, action.endpoint, Outcome.NOT_SENT))
    assert isinstance(last, Reject)
