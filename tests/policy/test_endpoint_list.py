"""Updates of the endpoint list, and when it is watched or polled again."""

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
    news = tuple(make_endpoint(i, EndpointState.DRAINING if i < 3 else EndpointState.REMOVED) for i in (1, 2, 3))
    balancer.handle(1.0, EndpointListUpdate(UpdateKind.CHANGES, 2, news))
    for rid in range(50):
        (send,) = balancer.handle(2.0 + rid, Request(rid, 0, 3000))
        assert isinstance(send, Send)
        assert send.endpoint == 4
        balancer.handle(2.5 + rid, attempt_ended(rid, 0, 4, Outcome.OK))


def test_request_without_an_endpoint_polls_the_list() -> None:
    balancer = Balancer(make_settings(polls_list=True, poll_within_ms=10000.0), 3)
    (timer,) = balancer.handle(0.0, EndpointListUpdate(UpdateKind.CACHED, 1, ()))
    assert isinstance(timer, SetTimer)
    seen = [a for n in range(5) for a in balancer.handle(1.0 + n, Request(n + 1, 0, 1000.0))]
    assert seen.count(WatchEndpointList(True)) == 1
    assert balancer.handle(timer.delay_ms, TimerFired(timer.token)) == []
    (again,) = balancer.handle(9000.0, EndpointListUpdate(UpdateKind.FAILED, 0, ()))
    assert isinstance(again, SetTimer)
    assert WatchEndpointList(True) not in balancer.handle(9001.0, Request(9, 0, 1000.0))
    assert balancer.handle(9000.0 + again.delay_ms, TimerFired(again.token)) == [WatchEndpointList(True)]


def test_request_without_an_endpoint_polls_before_the_longest_backoff_ends() -> None:
    balancer = Balancer(make_settings(polls_list=True, poll_within_ms=10000.0), 3)
    balancer.handle(0.0, EndpointListUpdate(UpdateKind.CACHED, 1, ()))
    for _ in range(8):
        (again,) = balancer.handle(9000.0, EndpointListUpdate(UpdateKind.FAILED, 0, ()))
    assert isinstance(again, SetTimer)
    assert again.delay_ms > 2000
    assert WatchEndpointList(True) not in balancer.handle(9100.0, Request(1, 0, 1000.0))
    assert WatchEndpointList(True) in balancer.handle(10001.0, Request(2, 0, 1000.0))
    assert WatchEndpointList(True) not in balancer.handle(10002.0, Request(3, 0, 1000.0))


def test_failed_watch_is_retried_with_exponential_backoff() -> None:
    balancer = Balancer(make_settings(polls_list=True, poll_within_ms=10000.0), 3)
    (timer,) = balancer.handle(0.0, make_endpoint_list(5))
    assert isinstance(timer, SetTimer)
    assert timer.delay_ms < 5000
    assert balancer.handle(timer.delay_ms, TimerFired(timer.token)) == [WatchEndpointList(True)]
    waits = []
    for _ in range(8):
        (again,) = balancer.handle(9000.0, EndpointListUpdate(UpdateKind.FAILED, 0, ()))
        assert isinstance(again, SetTimer)
        waits.append(again.delay_ms)
    assert waits[0] <= 250
    assert min(waits[3:]) > 2 * waits[0]
    assert max(waits) <= 5000


def test_outdated_poll_timer_does_nothing() -> None:
    """A second watch may fail before the first timer fires; each timer would poll once more."""
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
    for eid in range(2, 200):
        news = (make_endpoint(eid - 1, EndpointState.REMOVED), make_endpoint(eid))
        balancer.handle(float(eid), EndpointListUpdate(UpdateKind.CHANGES, eid, news))
    assert set(balancer.endpoint_list.endpoints) == {199}
    (again,) = balancer.handle(300.0, attempt_ended(5, 0, 1, Outcome.RESET))
    assert isinstance(again, Send)
    assert again.endpoint == 199
    balancer.handle(301.0, attempt_ended(5, 1, 199, Outcome.OK))
    assert not balancer.requests.pending
    balancer.handle(302.0, EndpointListUpdate(UpdateKind.COMPLETE, 300, (make_endpoint(500),)))
    assert set(balancer.endpoint_list.endpoints) == {500}
