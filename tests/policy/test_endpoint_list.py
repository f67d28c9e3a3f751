"""Updates of the endpoint list, and when it is polled or watched again."""

from gateusher.policy import Balancer
from gateusher.policy.interface import (
    EndpointListUpdate,
    EndpointState,
    Outcome,
    Request,
    Send,
    SetTimer,
    TimerFired,
    UpdateKind,
    WatchEndpointList,
)

from ..helpers import attempt_ended, make_balancer, make_endpoint, make_endpoint_list, make_settings


def test_draining_endpoints_get_no_request() -> None:
    balancer = make_balancer(4)
    entries = tuple(make_endpoint(i, EndpointState.DRAINING if i < 3 else EndpointState.REMOVED) for i in (1, 2, 3))
    balancer.handle(1.0, EndpointListUpdate(UpdateKind.CHANGES, 2, entries))
    for request_id in range(50):
        (send,) = balancer.handle(2.0 + request_id, Request(request_id, 0, 3000))
        assert isinstance(send, Send)
        assert send.endpoint == 4
        balancer.handle(2.5 + request_id, attempt_ended(request_id, 0, 4, Outcome.OK))


def test_request_without_an_endpoint_polls_the_list() -> None:
    balancer = Balancer(make_settings(polls_list=True, poll_within_ms=10000.0), 3)
    (timer,) = balancer.handle(0.0, EndpointListUpdate(UpdateKind.CACHED, 1, ()))
    assert isinstance(timer, SetTimer)
    actions = [action for n in range(5) for action in balancer.handle(1.0 + n, Request(n + 1, 0, 1000.0))]
    assert actions.count(WatchEndpointList(True)) == 1
    assert balancer.handle(timer.delay_ms, TimerFired(timer.token)) == []
    (retry_timer,) = balancer.handle(9000.0, EndpointListUpdate(UpdateKind.FAILED, 0, ()))
    assert isinstance(retry_timer, SetTimer)
    assert WatchEndpointList(True) not in balancer.handle(9001.0, Request(9, 0, 1000.0))
    assert balancer.handle(9000.0 + retry_timer.delay_ms, TimerFired(retry_timer.token)) == [WatchEndpointList(True)]


def test_request_without_an_endpoint_polls_before_the_longest_backoff_ends() -> None:
    balancer = Balancer(make_settings(polls_list=True, poll_within_ms=10000.0), 3)
    balancer.handle(0.0, EndpointListUpdate(UpdateKind.CACHED, 1, ()))
    for _ in range(8):
        (retry_timer,) = balancer.handle(9000.0, EndpointListUpdate(UpdateKind.FAILED, 0, ()))
    assert isinstance(retry_timer, SetTimer)
    assert retry_timer.delay_ms > 2000
    assert WatchEndpointList(True) not in balancer.handle(9100.0, Request(1, 0, 1000.0))
    assert WatchEndpointList(True) in balancer.handle(10001.0, Request(2, 0, 1000.0))
    assert WatchEndpointList(True) not in balancer.handle(10002.0, Request(3, 0, 1000.0))


def test_failed_watch_is_retried_with_exponential_backoff() -> None:
    balancer = Balancer(make_settings(polls_list=True, poll_within_ms=10000.0), 3)
    (timer,) = balancer.handle(0.0, make_endpoint_list(5))
    assert isinstance(timer, SetTimer)
    assert timer.delay_ms < 5000
    assert balancer.handle(timer.delay_ms, TimerFired(timer.token)) == [WatchEndpointList(True)]
    delays_ms = []
    for _ in range(8):
        (retry_timer,) = balancer.handle(9000.0, EndpointListUpdate(UpdateKind.FAILED, 0, ()))
        assert isinstance(retry_timer, SetTimer)
        delays_ms.append(retry_timer.delay_ms)
    assert delays_ms[0] <= 250
    assert min(delays_ms[3:]) > 2 * delays_ms[0]
    assert max(delays_ms) <= 5000


def test_outdated_poll_timer_does_nothing() -> None:
    """A second watch may fail before the first timer fires; otherwise each timer would poll once more."""
    balancer = Balancer(make_settings(polls_list=True, poll_within_ms=10000.0), 3)
    (start,) = balancer.handle(0.0, EndpointListUpdate(UpdateKind.CACHED, 1, ()))
    (first,) = balancer.handle(0.0, EndpointListUpdate(UpdateKind.FAILED, 0, ()))
    (second,) = balancer.handle(1.0, EndpointListUpdate(UpdateKind.FAILED, 0, ()))
    assert all(isinstance(timer, SetTimer) for timer in (start, first, second))
    assert balancer.handle(first.delay_ms, TimerFired(first.token)) == []  # type: ignore[union-attr]
    assert balancer.handle(1.0 + second.delay_ms, TimerFired(second.token)) == [WatchEndpointList(True)]  # type: ignore[union-attr]


def test_removed_endpoints_are_dropped_and_their_attempts_still_end() -> None:
    balancer = make_balancer(1)
    (send,) = balancer.handle(1.0, Request(5, 0, 3000))
    assert isinstance(send, Send)
    for endpoint_id in range(2, 200):
        entries = (make_endpoint(endpoint_id - 1, EndpointState.REMOVED), make_endpoint(endpoint_id))
        balancer.handle(float(endpoint_id), EndpointListUpdate(UpdateKind.CHANGES, endpoint_id, entries))
    assert set(balancer.endpoint_list.endpoints) == {199}
    (retry,) = balancer.handle(300.0, attempt_ended(5, 0, 1, Outcome.RESET))
    assert isinstance(retry, Send)
    assert retry.endpoint == 199
    balancer.handle(301.0, attempt_ended(5, 1, 199, Outcome.OK))
    assert not balancer.requests.pending
    balancer.handle(302.0, EndpointListUpdate(UpdateKind.COMPLETE, 300, (make_endpoint(500),)))
    assert set(balancer.endpoint_list.endpoints) == {500}
