"""Drain and restart hints: which sidecars broadcast them, how they affect decisions, and limits on faulty senders."""

from random import Random

import pytest

from gateusher.membership.drain_hints import DRAIN, MAX_HINTS_PER_S, REPEAT_INTERVAL_MS, START, DrainHints
from gateusher.membership.interface import Broadcast, BroadcastReceived
from gateusher.policy import Balancer
from gateusher.policy.context import HINT_EXPIRY_TIMER
from gateusher.policy.gossip_hints import HINT_LIFETIME_MS
from gateusher.policy.interface import (
    Action,
    EndpointListUpdate,
    EndpointState,
    Event,
    GossipHint,
    Outcome,
    Request,
    Send,
    SetTimer,
    TimerFired,
    UpdateKind,
)

from ..helpers import attempt_ended, make_balancer, make_endpoint, make_settings

DRAINING, READY, REMOVED = EndpointState.DRAINING, EndpointState.READY, EndpointState.REMOVED


def list_update(version: int, *entries: object, kind: UpdateKind = UpdateKind.CHANGES) -> EndpointListUpdate:
    return EndpointListUpdate(kind, version, tuple(entries))  # type: ignore[arg-type]


def received(broadcast: Broadcast, origin: str = "s2", relay: str = "s3") -> BroadcastReceived:
    return BroadcastReceived(origin, relay, broadcast.kind, broadcast.data)


def make_drain_hints(seed: int = 1, endpoint_count: int = 4) -> DrainHints:
    drain_hints = DrainHints(200.0, seed)
    drain_hints.on_endpoint_list(
        0.0,
        list_update(1, *(make_endpoint(i) for i in range(1, endpoint_count + 1)), kind=UpdateKind.COMPLETE),
    )
    return drain_hints


def eligible_endpoints(balancer: Balancer, first_request: int = 0) -> set[int]:
    """Return the endpoints in the control set, after checking that 200 requests reach no other endpoint."""
    ready = {endpoint.endpoint_id for endpoint in balancer.control_set.ready}
    for request_id in range(first_request, first_request + 200):
        for action in balancer.handle(balancer.context.now_ms + 1.0, Request(request_id, 0, 3000)):
            if isinstance(action, Send):
                assert action.endpoint in ready
                balancer.handle(
                    balancer.context.now_ms + 1.0, attempt_ended(request_id, 0, action.endpoint, Outcome.OK)
                )
    return ready


# -- what is broadcast


def test_drains_restarts_and_removals_are_broadcast_but_not_the_cached_list() -> None:
    drain_hints = DrainHints(200.0, 1)
    drain_hints.on_endpoint_list(
        0.0,
        list_update(
            1,
            make_endpoint(1),
            make_endpoint(2, DRAINING),
            make_endpoint(3),
            make_endpoint(4),
            kind=UpdateKind.CACHED,
        ),
    )
    assert drain_hints.due_ms == 1e18
    drain_hints.on_endpoint_list(
        5.0,
        list_update(2, make_endpoint(1, DRAINING), make_endpoint(3, started_at_ms=9.0), make_endpoint(4, REMOVED)),
    )
    broadcasts = drain_hints.tick(300.0)
    hints = [DrainHints(200.0, 2).on_broadcast(0.0, received(broadcast)) for broadcast in broadcasts]
    assert hints == [GossipHint(1, DRAINING, 2), GossipHint(3, READY, 2, 9.0), GossipHint(4, DRAINING, 2)]


def test_an_endpoint_missing_from_a_complete_list_is_broadcast_as_draining() -> None:
    drain_hints = make_drain_hints(endpoint_count=2)
    drain_hints.on_endpoint_list(5.0, list_update(2, make_endpoint(1), kind=UpdateKind.COMPLETE))
    (broadcast,) = drain_hints.tick(300.0)
    hint = DrainHints(1.0, 1).on_broadcast(0.0, received(broadcast))
    assert broadcast.kind == DRAIN and hint == GossipHint(2, DRAINING, 2)


def test_few_of_many_sidecars_broadcast_the_same_change() -> None:
    sidecars = [make_drain_hints(seed) for seed in range(200)]
    for drain_hints in sidecars:
        drain_hints.on_endpoint_list(1000.0, list_update(2, make_endpoint(1, DRAINING)))
    broadcast_count, now_ms = 0, 1000.0
    for _ in range(300):
        now_ms += 1.0
        broadcasts = [(i, broadcast) for i, sidecar in enumerate(sidecars) for broadcast in sidecar.tick(now_ms)]
        broadcast_count += len(broadcasts)
        for i, broadcast in broadcasts:
            for k, drain_hints in enumerate(sidecars):
                if k != i:
                    drain_hints.on_broadcast(now_ms, received(broadcast, f"s{i}", f"s{i}"))
    assert 1 <= broadcast_count <= 5


def test_a_hint_is_repeated_until_it_expires() -> None:
    drain_hints = make_drain_hints()
    drain_hints.on_endpoint_list(0.0, list_update(2, make_endpoint(1, DRAINING)))
    sent_at_ms = [t for t in range(0, 120000, 100) for _ in drain_hints.tick(float(t))]
    assert 4 <= len(sent_at_ms) <= 8 and sent_at_ms[-1] <= 30000
    assert all(b - a >= REPEAT_INTERVAL_MS for a, b in zip(sent_at_ms, sent_at_ms[1:], strict=False))
    assert drain_hints.due_ms == 1e18


def test_a_relay_cannot_exceed_its_rate_limit_by_varying_the_origin() -> None:
    drain_hints = make_drain_hints()
    broadcast = Broadcast(DRAIN, (7).to_bytes(4, "big") + (9).to_bytes(8, "big"))
    accepted = sum(
        drain_hints.on_broadcast(0.0, received(broadcast, f"s{n}", "faulty")) is not None for n in range(1000)
    )
    assert accepted == MAX_HINTS_PER_S
    assert drain_hints.rate_limited == 1000 - accepted


@pytest.mark.parametrize("data", [b"", b"short", bytes(64), b"\xff" * 64])
@pytest.mark.parametrize("kind", [0, DRAIN, START, 9])
def test_a_malformed_hint_has_no_start_time(kind: int, data: bytes) -> None:
    hint = make_drain_hints().on_broadcast(0.0, BroadcastReceived("s2", "s2", kind, data))
    assert hint is None or hint.started_ms == 0.0


# -- how received hints affect decisions


def test_a_drain_hint_from_a_newer_list_excludes_the_endpoint() -> None:
    balancer = make_balancer(4)
    balancer.handle(1.0, list_update(5, kind=UpdateKind.CHANGES))
    assert eligible_endpoints(balancer) == {1, 2, 3, 4}
    balancer.handle(balancer.context.now_ms, GossipHint(2, DRAINING, 6))
    assert eligible_endpoints(balancer, first_request=1000) == {1, 3, 4}
    assert balancer.endpoint_list.endpoints[2].entry.state is READY


def test_a_hint_no_newer_than_the_own_list_is_ignored() -> None:
    balancer = make_balancer(4)
    balancer.handle(1.0, list_update(6))
    for version in (1, 5, 6):
        assert balancer.handle(2.0, GossipHint(2, DRAINING, version)) == []
    assert eligible_endpoints(balancer) == {1, 2, 3, 4}


def test_a_hint_ends_once_the_own_list_is_as_new() -> None:
    balancer = make_balancer(4)
    balancer.handle(1.0, GossipHint(2, DRAINING, 6))
    balancer.handle(2.0, list_update(5, make_endpoint(2)))
    assert eligible_endpoints(balancer) == {1, 3, 4}
    balancer.handle(balancer.context.now_ms, list_update(6, make_endpoint(2)))
    assert eligible_endpoints(balancer, first_request=1000) == {1, 2, 3, 4}


def test_an_unconfirmed_hint_expires() -> None:
    balancer = make_balancer(4)
    (timer,) = balancer.handle(1.0, GossipHint(2, DRAINING, 6))
    assert timer == SetTimer(HINT_EXPIRY_TIMER, HINT_LIFETIME_MS)
    balancer.handle(5000.0, GossipHint(2, DRAINING, 7))  # a repeated hint extends the expiry
    balancer.handle(HINT_LIFETIME_MS + 1.0, TimerFired(HINT_EXPIRY_TIMER))
    assert not balancer.endpoint_list.endpoints[2].ready
    balancer.handle(HINT_LIFETIME_MS + 5000.0, TimerFired(HINT_EXPIRY_TIMER))
    assert balancer.endpoint_list.endpoints[2].ready and 2 in eligible_endpoints(balancer, 2000)
    assert not balancer.endpoint_list.hints.draining


@pytest.mark.parametrize("early_ms", [0.5, 1.0, 2.0])
def test_a_hint_expires_though_its_only_timer_fires_early(early_ms: float) -> None:
    """uvloop counts whole milliseconds: a timer may fire earlier than the exact clock says."""
    balancer = make_balancer(4)
    (timer,) = balancer.handle(1.0, GossipHint(2, DRAINING, 6))
    assert isinstance(timer, SetTimer)
    balancer.handle(1.0 + timer.delay_ms - early_ms, TimerFired(timer.token))
    assert balancer.endpoint_list.endpoints[2].ready and not balancer.endpoint_list.hints.draining


def test_an_expiring_hint_does_not_readmit_an_endpoint_that_the_list_reports_draining() -> None:
    balancer = make_balancer(4)
    balancer.handle(1.0, GossipHint(2, DRAINING, 6))
    balancer.handle(2.0, list_update(5, make_endpoint(2, DRAINING)))
    balancer.handle(HINT_LIFETIME_MS + 1.0, TimerFired(HINT_EXPIRY_TIMER))
    assert not balancer.endpoint_list.endpoints[2].ready and eligible_endpoints(balancer) == {1, 3, 4}


def test_hints_exclude_at_most_a_quarter_and_never_the_last_endpoint() -> None:
    balancer = make_balancer(20)
    for endpoint in range(1, 21):
        balancer.handle(1.0, GossipHint(endpoint, DRAINING, 99))
    assert len(balancer.endpoint_list.hints.draining) == 5 and len(balancer.control_set.ready) == 15
    single_endpoint = make_balancer(1)
    single_endpoint.handle(1.0, GossipHint(1, DRAINING, 99))
    assert eligible_endpoints(single_endpoint) == {1}


def test_a_restart_hint_begins_slow_start_and_adds_no_endpoint() -> None:
    balancer = make_balancer(4)
    balancer.handle(1.0, GossipHint(9, READY, 99, 5.0))
    assert 9 not in balancer.endpoint_list.endpoints
    balancer.handle(1000.0, GossipHint(2, READY, 99, 900.0))
    assert (
        balancer.endpoint_list.endpoints[2].slow_start_until_ms == 900.0 + 8000.0
        and balancer.endpoint_list.endpoints[2].ready
    )
    warming = [endpoint.endpoint_id for endpoint in balancer.slow_start.warming]
    for endpoint_id in (1, 3, 4):
        balancer.handle(1001.0, GossipHint(endpoint_id, READY, 99, 900.0))
    # Of four endpoints, hints alone put at most one into slow start.
    assert [endpoint.endpoint_id for endpoint in balancer.slow_start.warming] == warming


def _decisions(with_hints: bool) -> list[Action]:
    balancer, random, actions = Balancer(make_settings(), 3), Random(5), list[Action]()
    events: list[Event] = [EndpointListUpdate(UpdateKind.COMPLETE, 50, tuple(make_endpoint(i) for i in range(1, 9)))]
    for n in range(400):
        events.append(Request(n, 0, 3000))
        if n % 40 == 7:
            state = DRAINING if n % 80 == 7 else READY
            events.append(
                EndpointListUpdate(
                    UpdateKind.CHANGES, 50 + n, (make_endpoint(1 + n % 8, state, started_at_ms=float(n)),)
                )
            )
        if with_hints and n % 3 == 0:  # none of them newer than the own list
            events.append(GossipHint(1 + n % 8, DRAINING if n % 2 else READY, 50, 1e6))
    now_ms = 0.0
    for event in events:
        now_ms += 0.0 if isinstance(event, GossipHint) else random.random() * 10
        for action in balancer.handle(now_ms, event):
            actions.append(action)
            if isinstance(action, Send):
                actions += balancer.handle(now_ms, attempt_ended(action.request, 0, action.endpoint, Outcome.OK))
    return actions


def test_hints_no_newer_than_the_list_change_no_decision() -> None:
    assert _decisions(True) == _decisions(False) and len(_decisions(False)) >= 400
