"""Admission control: the admitted share under rejections, timeouts and stalls."""

from gateusher.policy import Balancer
from gateusher.policy.admission import MIN_ADMITTED_SHARE
from gateusher.policy.interface import (
    ClassSettings,
    DeduplicationScope,
    Effect,
    Outcome,
    Reject,
    Request,
    Send,
)
from gateusher.policy.records import SentAttempt

from ..helpers import attempt_ended, make_balancer, make_settings

TRIAL_INTERVAL_MS = 500.0  # half of the longest latency objective


def test_requests_are_admitted_again_after_all_attempts_failed() -> None:
    """With an admitted share of 0 the end of the fault would never be noticed."""
    balancer = make_balancer(10)
    for request_id in range(400):
        for action in balancer.handle(request_id * 10.0, Request(request_id, 0, 3000)):
            if isinstance(action, Send):
                balancer.handle(request_id * 10.0, attempt_ended(request_id, 0, action.endpoint, Outcome.TIMEOUT))
    sent = 0
    for request_id in range(1000, 1400):
        for action in balancer.handle(100000.0 + request_id * 10.0, Request(request_id, 0, 3000)):
            if isinstance(action, Send):
                sent += 1
                balancer.handle(
                    100000.0 + request_id * 10.0 + 1, attempt_ended(request_id, 0, action.endpoint, Outcome.OK, 1.0)
                )
    assert sent > 100


def test_stall_of_one_endpoint_does_not_reject_requests() -> None:
    """Two in three attempts time out on one endpoint; the others serve all their requests."""
    balancer, rejected = make_balancer(6, make_settings(max_attempts=1)), 0
    stalled, others = balancer.control_set.ready[0], balancer.control_set.ready[1:]
    for request_id in range(300):
        balancer.context.now_ms = now = request_id * 10.0
        for action in balancer.handle(now, Request(request_id, 0, 3000)):
            rejected += isinstance(action, Reject)
            if isinstance(action, Send):
                endpoint = stalled if request_id % 3 else others[0]
                balancer.requests.pending[request_id].attempts[0] = SentAttempt(
                    endpoint, endpoint.entry, now, action.expires_ms, 1.0
                )
                balancer.handle(
                    now + 5, attempt_ended(request_id, 0, 1, Outcome.TIMEOUT if request_id % 3 else Outcome.OK)
                )
    assert rejected < 30


def test_timeouts_on_all_endpoints_lower_the_admitted_share_and_extend_attempts() -> None:
    """Endpoints with long queues reject nothing, and execute an attempt that timed out early as well as its retry."""
    balancer, rejected, sent = make_balancer(6, make_settings(max_attempts=3)), 0, list[tuple[float, Send]]()
    answered = 0
    for request_id in range(400):
        now = request_id * 10.0
        for action in balancer.handle(now, Request(request_id, 0, 3000)):
            rejected += isinstance(action, Reject)
            if isinstance(action, Send):
                sent.append((action.expires_ms - now, action))
        while sent and len(sent) > 20:  # eleven in twelve attempts time out
            timeout_ms, action = sent.pop(0)
            outcome = Outcome.OK if answered % 12 == 11 else Outcome.TIMEOUT
            answered += 1
            attempts, elapsed_ms = (
                len(balancer.requests.pending[action.request].attempts),
                120.0 if outcome is Outcome.OK else timeout_ms,
            )
            for retry in balancer.handle(
                now, attempt_ended(action.request, attempts - 1, action.endpoint, outcome, elapsed_ms)
            ):
                if isinstance(retry, Send):
                    sent.append((retry.expires_ms - now, retry))
    assert rejected > 200 and balancer.admission.admitted_share < 0.4
    balancer.admission.admitted_share = 1.5
    (action,) = [a for a in balancer.handle(4000.0, Request(1000, 0, 3000)) if isinstance(a, Send)]
    assert action.expires_ms - 4000.0 > 950.0  # almost all of its time, as the other endpoints are as late


def test_requests_rejected_by_the_client_do_not_lower_the_admitted_share() -> None:
    """Only the outcomes of attempts say something about the endpoints."""
    balancer = make_balancer(4, make_settings(max_attempts=1))
    balancer.admission.admitted_share = 0.3
    sent = sum(
        isinstance(a, Send) for request_id in range(500) for a in balancer.handle(1.0, Request(request_id, 0, 3000))
    )
    assert 100 < sent < 200
    assert balancer.admission.admitted_share >= 0.3


def test_admitted_share_settles_while_a_share_of_the_attempts_is_rejected() -> None:
    """The endpoints serve four of ten requests per round: too few would leave them idle, all would overload them."""
    balancer, served, sent = make_balancer(4, make_settings(max_attempts=1)), 0, 0
    for round_number in range(400):
        now, free_slots = round_number * 10.0, 4
        for request_id in range(round_number * 10, round_number * 10 + 10):
            for action in balancer.handle(now, Request(request_id, 0, 3000)):
                if isinstance(action, Send):
                    outcome = Outcome.OK if free_slots > 0 else Outcome.REJECTED
                    free_slots -= 1
                    sent, served = (
                        sent + (round_number >= 100),
                        served + (round_number >= 100 and outcome is Outcome.OK),
                    )
                    balancer.handle(now, attempt_ended(request_id, 0, action.endpoint, outcome))
    assert served > 0.95 * 4 * 300
    assert sent < 9.9 * 300


def make_overloaded_balancer() -> Balancer:
    """A balancer that admits only the class with the higher priority, 1, which has been a third of the requests."""
    classes = tuple(
        ClassSettings(Effect.IDEMPOTENT, 1000.0, 3000.0, weight, scope=DeduplicationScope.ALL)
        for weight in (1.0, 9.0)
    )
    balancer = make_balancer(10, make_settings(classes=classes))
    balancer.admission.admitted_share = MIN_ADMITTED_SHARE
    balancer.admission.class_mix = [2 / 3, 1 / 3]
    return balancer


def test_requests_are_tried_though_the_share_is_reserved_for_a_class_that_does_not_arrive() -> None:
    """Otherwise all requests are rejected until the class mix has changed, and no outcome can raise the share."""
    balancer = make_overloaded_balancer()
    balancer.handle(0.0, Request(0, 1, 3000))
    sent_ms = [
        now_ms
        for now_ms in range(100, 2100, 100)
        for action in balancer.handle(float(now_ms), Request(now_ms, 0, 3000))
        if isinstance(action, Send)
    ]
    assert sent_ms == [500, 1000, 1500, 2000]


def test_no_other_class_is_tried_while_the_highest_priority_is_admitted() -> None:
    balancer = make_overloaded_balancer()
    low_priority_sent = 0
    for now_ms in range(0, 5000, 100):
        balancer.admission.class_mix = [2 / 3, 1 / 3]
        balancer.admission.admitted_share = 1 / 3
        priority = 1 if now_ms % TRIAL_INTERVAL_MS == 0 else 0
        actions = balancer.handle(float(now_ms), Request(now_ms, priority, 3000))
        low_priority_sent += priority == 0 and any(isinstance(action, Send) for action in actions)
    assert low_priority_sent == 0
