"""Which failures eject an endpoint, and which do not."""

import pytest

from gateusher.policy.interface import (
    ClientDisconnected,
    Outcome,
    Request,
    Send,
)
from gateusher.policy.records import PendingRequest

from ..helpers import attempt_ended, make_balancer, make_settings


def test_silent_endpoint_is_ejected_before_its_attempt_times_out() -> None:
    balancer = make_balancer(10)
    (send,) = balancer.handle(0.0, Request(1, 0, 3000))
    assert isinstance(send, Send)
    hung = balancer.endpoint_list.endpoints[send.endpoint]
    hung.inclusion_probability = 0.98
    limit_ms = 3 * balancer.estimates.latency_target_ms[0] + 2 * balancer.context.settings.dial_timeout_ms
    assert balancer.outliers.check_usable(hung, 0)
    balancer.context.now_ms = limit_ms + 1
    assert not balancer.outliers.check_usable(hung, 0)


def test_concurrent_timeouts_count_as_one_failure() -> None:
    """Attempts that time out together are caused by a single pause of the endpoint."""
    balancer = make_balancer(1, make_settings(max_attempts=1))
    sent = [balancer.handle(0.0, Request(request_id, 0, 3000))[0] for request_id in range(5)]
    assert all(isinstance(send, Send) for send in sent)
    for request_id in range(5):
        balancer.handle(400.0 + request_id, attempt_ended(request_id, 0, 1, Outcome.TIMEOUT))
    endpoint = balancer.endpoint_list.endpoints[1]
    assert endpoint.consecutive_failures == 1
    assert endpoint.ejected_until_ms - 400.0 <= 2 * balancer.context.time_unit_ms * 1.5
    balancer.requests._send(
        balancer.requests.pending.setdefault(99, PendingRequest(99, 0, 0, 5000.0, 9000.0)), endpoint
    )
    balancer.handle(6000.0, attempt_ended(99, 0, 1, Outcome.TIMEOUT))
    assert endpoint.consecutive_failures == 2


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.CONNECT_FAILED])
def test_connection_error_does_not_eject_an_endpoint_that_responds(outcome: Outcome) -> None:
    balancer = make_balancer(1, make_settings(max_attempts=1))
    for request_id in range(3):
        assert isinstance(balancer.handle(float(request_id), Request(request_id, 0, 3000))[0], Send)
    balancer.handle(20.0, attempt_ended(0, 0, 1, Outcome.OK))
    balancer.handle(30.0, attempt_ended(1, 0, 1, outcome))
    endpoint = balancer.endpoint_list.endpoints[1]
    assert endpoint.consecutive_failures == 0
    balancer.handle(20.0 + balancer.context.time_unit_ms, attempt_ended(2, 0, 1, outcome))
    assert endpoint.consecutive_failures == 1


def test_lost_response_does_not_eject_an_endpoint_that_served_a_later_attempt() -> None:
    balancer = make_balancer(1, make_settings(max_attempts=1))
    for request_id in range(3):
        assert isinstance(balancer.handle(float(request_id), Request(request_id, 0, 3000))[0], Send)
    balancer.handle(30.0, attempt_ended(1, 0, 1, Outcome.OK))
    balancer.handle(400.0, attempt_ended(0, 0, 1, Outcome.TIMEOUT))
    endpoint = balancer.endpoint_list.endpoints[1]
    assert endpoint.consecutive_failures == 0
    balancer.handle(401.0, attempt_ended(2, 0, 1, Outcome.TIMEOUT))
    assert endpoint.consecutive_failures == 1
    # An endpoint is not silent either if an old attempt is in flight but none was sent since its last response.
    balancer = make_balancer(1, make_settings(max_attempts=1))
    for request_id in range(2):
        balancer.handle(float(request_id), Request(request_id, 0, 3000))
    balancer.handle(30.0, attempt_ended(1, 0, 1, Outcome.OK))
    balancer.context.now_ms = 2000.0
    assert balancer.outliers.check_usable(balancer.endpoint_list.endpoints[1], 0)


UPLOAD_TIMEOUT_MS = 3.6e6


@pytest.mark.parametrize("outcome", [Outcome.NOT_SENT, Outcome.CANCELLED, Outcome.ERROR])
def test_an_abandoned_upload_does_not_eject_an_endpoint_for_the_time_of_the_upload(outcome: Outcome) -> None:
    """After a failure an endpoint gets one attempt at a time; one without a verdict must not hold it for an hour."""
    balancer = make_balancer(2, make_settings(max_attempts=1))
    (send,) = balancer.handle(0.0, Request(1, 0, 3000))
    assert isinstance(send, Send)
    failed = send.endpoint
    balancer.handle(400.0, attempt_ended(1, 0, failed, Outcome.TIMEOUT))

    def requests_until_sent_there(first_request: int, now_ms: float) -> int:
        """Send uploads until one goes to the failed endpoint; return its number."""
        for request in range(first_request, first_request + 500):
            (sent,) = balancer.handle(
                now_ms + request, Request(request, 0, 3000, upload_timeout_ms=UPLOAD_TIMEOUT_MS)
            )
            assert isinstance(sent, Send)
            if sent.endpoint == failed:
                return request
            balancer.handle(now_ms + request, attempt_ended(request, 0, sent.endpoint, Outcome.OK))
        raise AssertionError("no request was sent to the endpoint")

    upload = requests_until_sent_there(2, 20_000.0)
    balancer.handle(21_000.0, ClientDisconnected(upload))
    balancer.handle(21_000.0, attempt_ended(upload, 0, failed, outcome))
    requests_until_sent_there(1000, 30_000.0)
