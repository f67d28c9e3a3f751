"""The admitted share."""

from gateusher.policy.interface import (
    Outcome,
    Reject,
    Request,
    Send,
)
from gateusher.policy.records import SentAttempt

from ..helpers import attempt_ended, make_balancer, make_settings


def test_requests_are_admitted_again_after_all_attempts_failed() -> None:
    """An admitted share of 0 would never notice that the fault is over."""
    balancer = make_balancer(10)
    for rid in range(400):
        for act in balancer.handle(rid * 10.0, Request(rid, 0, 3000)):
            if isinstance(act, Send):
                balancer.handle(rid * 10.0, attempt_ended(rid, 0, act.endpoint, Outcome.TIMEOUT))
    sent = 0
    for rid in range(1000, 1400):
        for act in balancer.handle(100000.0 + rid * 10.0, Request(rid, 0, 3000)):
            if isinstance(act, Send):
                sent += 1
                balancer.handle(100000.0 + rid * 10.0 + 1, attempt_ended(rid, 0, act.endpoint, Outcome.OK, 1.0))
    assert sent > 100


def test_stall_of_one_endpoint_does_not_reject_requests() -> None:
    """Two attempts in three time out on one endpoint; the others serve all that they get."""
    balancer, refused = make_balancer(6, make_settings(max_attempts=1)), 0
    stalled, others = balancer.control_set.ready[0], balancer.control_set.ready[1:]
    for rid in range(300):
        balancer.context.now_ms = now = rid * 10.0
        for act in balancer.handle(now, Request(rid, 0, 3000)):
            refused += isinstance(act, Reject)
            if isinstance(act, Send):
                balancer.requests.pending[rid].attempts[0] = SentAttempt(stalled if rid % 3 else others[0], now, 1.0)
                balancer.handle(now + 5, attempt_ended(rid, 0, 1, Outcome.TIMEOUT if rid % 3 else Outcome.OK))
    assert refused < 30


def test_timeouts_on_all_endpoints_lower_the_admitted_share_and_extend_attempts() -> None:
    """Endpoints with long queues reject nothing; what times out early is executed all the same, and again."""
    balancer, refused, sent = make_balancer(6, make_settings(max_attempts=3)), 0, list[tuple[float, Send]]()
    answered = 0
    for rid in range(400):
        now = rid * 10.0
        for act in balancer.handle(now, Request(rid, 0, 3000)):
            refused += isinstance(act, Reject)
            if isinstance(act, Send):
                sent.append((act.expires_ms - now, act))
        while sent and len(sent) > 20:  # each attempt but one in twelve times out
            wait, act = sent.pop(0)
            outcome = Outcome.OK if answered % 12 == 11 else Outcome.TIMEOUT
            answered += 1
            tries, took = (
                len(balancer.requests.pending[act.request].attempts),
                120.0 if outcome is Outcome.OK else wait,
            )
            for more in balancer.handle(now, attempt_ended(act.request, tries - 1, act.endpoint, outcome, took)):
                if isinstance(more, Send):
                    sent.append((more.expires_ms - now, more))
    assert refused > 200 and balancer.admission.admitted_share < 0.4
    balancer.admission.admitted_share = 1.5
    (act,) = [a for a in balancer.handle(4000.0, Request(1000, 0, 3000)) if isinstance(a, Send)]
    assert act.expires_ms - 4000.0 > 950.0  # all of its time, as other endpoints are as late


def test_rejected_requests_and_their_repeats_do_not_lower_the_admitted_share() -> None:
    """Only outcomes of attempts tell about the endpoints."""
    balancer = make_balancer(4, make_settings(max_attempts=1))
    balancer.admission.admitted_share = 0.3
    sent = sum(isinstance(a, Send) for rid in range(500) for a in balancer.handle(1.0, Request(rid, 0, 3000)))
    assert 100 < sent < 200
    assert balancer.admission.admitted_share >= 0.3


def test_admitted_share_settles_where_a_part_of_the_attempts_is_rejected() -> None:
    """Endpoints that serve four requests a round, of ten: admitting too few leaves them idle, all overloads them."""
    balancer, served, tried = make_balancer(4, make_settings(max_attempts=1)), 0, 0
    for step in range(400):
        now, places = step * 10.0, 4
        for rid in range(step * 10, step * 10 + 10):
            for act in balancer.handle(now, Request(rid, 0, 3000)):
                if isinstance(act, Send):
                    outcome = Outcome.OK if places > 0 else Outcome.REJECTED
                    places -= 1
                    tried, served = tried + (step >= 100), served + (step >= 100 and outcome is Outcome.OK)
                    balancer.handle(now, attempt_ended(rid, 0, act.endpoint, outcome))
    assert served > 0.95 * 4 * 300
    assert tried < 9.9 * 300
