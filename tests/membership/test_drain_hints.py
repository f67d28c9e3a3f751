"""Words of drains and starts: who says them, what they move in the decisions, and how little a liar can."""

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

DRAINING, READY, GONE = EndpointState.DRAINING, EndpointState.READY, EndpointState.REMOVED


def news(version: int, *entries: object, kind: UpdateKind = UpdateKind.CHANGES) -> EndpointListUpdate:
    return EndpointListUpdate(kind, version, tuple(entries))  # type: ignore[arg-type]


def heard(word: Broadcast, origin: str = "s2", relay: str = "s3") -> BroadcastReceived:
    return BroadcastReceived(origin, relay, word.kind, word.data)


def reader(seed: int = 1, servers: int = 4) -> DrainHints:
    drains = DrainHints(200.0, seed)
    drains.on_endpoint_list(
        0.0, news(1, *(make_endpoint(i) for i in range(1, servers + 1)), kind=UpdateKind.COMPLETE)
    )
    return drains


def sendable(balancer: Balancer, since: int = 0) -> set[int]:
    """Servers in the draws; requests come to no other one."""
    ready = {server.endpoint_id for server in balancer.control_set.ready}
    for n in range(since, since + 200):
        for act in balancer.handle(balancer.context.now_ms + 1.0, Request(n, 0, 3000)):
            if isinstance(act, Send):
                assert act.endpoint in ready
                balancer.handle(balancer.context.now_ms + 1.0, attempt_ended(n, 0, act.endpoint, Outcome.OK))
    return ready


# -- who says what


def test_a_drain_a_start_and_an_end_are_said_and_what_was_known_at_the_start_is_not() -> None:
    drains = DrainHints(200.0, 1)
    drains.on_endpoint_list(
        0.0,
        news(
            1,
            make_endpoint(1),
            make_endpoint(2, DRAINING),
            make_endpoint(3),
            make_endpoint(4),
            kind=UpdateKind.CACHED,
        ),
    )
    assert drains.due == 1e18
    drains.on_endpoint_list(
        5.0, news(2, make_endpoint(1, DRAINING), make_endpoint(3, started_at_ms=9.0), make_endpoint(4, GONE))
    )
    words = drains.tick(300.0)
    warnings = [DrainHints(200.0, 2).on_broadcast(0.0, heard(w)) for w in words]
    assert warnings == [GossipHint(1, DRAINING, 2), GossipHint(3, READY, 2, 9.0), GossipHint(4, DRAINING, 2)]


def test_one_that_a_whole_list_no_longer_names_is_gone() -> None:
    drains = reader(servers=2)
    drains.on_endpoint_list(5.0, news(2, make_endpoint(1), kind=UpdateKind.COMPLETE))
    (word,) = drains.tick(300.0)
    assert word.kind == DRAIN and DrainHints(1.0, 1).on_broadcast(0.0, heard(word)) == GossipHint(2, DRAINING, 2)


def test_of_many_that_read_the_same_change_few_speak() -> None:
    fleet = [reader(seed) for seed in range(200)]
    for drains in fleet:
        drains.on_endpoint_list(1000.0, news(2, make_endpoint(1, DRAINING)))
    said, now = 0, 1000.0
    for _ in range(300):
        now += 1.0
        words = [(i, w) for i, d in enumerate(fleet) for w in d.tick(now)]
        said += len(words)
        for i, word in words:
            for k, drains in enumerate(fleet):
                if k != i:
                    drains.on_broadcast(now, heard(word, f"s{i}", f"s{i}"))
    assert 1 <= said <= 5


def test_it_is_said_again_while_it_is_fresh_and_no_longer() -> None:
    drains = reader()
    drains.on_endpoint_list(0.0, news(2, make_endpoint(1, DRAINING)))
    said = [t for t in range(0, 120000, 100) for _ in drains.tick(float(t))]
    assert 4 <= len(said) <= 8 and said[-1] <= 30000
    assert all(b - a >= REPEAT_INTERVAL_MS for a, b in zip(said, said[1:], strict=False))
    assert drains.due == 1e18


def test_no_sender_has_more_words_than_its_bound_whatever_it_calls_itself() -> None:
    drains = reader()
    word = Broadcast(DRAIN, (7).to_bytes(4, "big") + (9).to_bytes(8, "big"))
    taken = sum(drains.on_broadcast(0.0, heard(word, f"s{n}", "liar")) is not None for n in range(1000))
    assert taken == MAX_HINTS_PER_S
    assert drains.rate_limited == 1000 - taken


@pytest.mark.parametrize("data", [b"", b"short", bytes(64), b"\xff" * 64])
@pytest.mark.parametrize("kind", [0, DRAIN, START, 9])
def test_a_word_that_makes_no_sense_moves_nothing(kind: int, data: bytes) -> None:
    warning = reader().on_broadcast(0.0, BroadcastReceived("s2", "s2", kind, data))
    assert warning is None or warning.started_ms == 0.0


# -- what it moves


def test_a_drain_that_a_newer_list_told_a_fellow_takes_the_server_out_of_every_draw() -> None:
    balancer = make_balancer(4)
    balancer.handle(1.0, news(5, kind=UpdateKind.CHANGES))
    assert sendable(balancer) == {1, 2, 3, 4}
    balancer.handle(balancer.context.now_ms, GossipHint(2, DRAINING, 6))
    assert sendable(balancer, since=1000) == {1, 3, 4}
    assert balancer.endpoint_list.endpoints[2].entry.state is READY


def test_the_own_list_is_right_where_it_is_as_new() -> None:
    balancer = make_balancer(4)
    balancer.handle(1.0, news(6))
    for version in (1, 5, 6):
        assert balancer.handle(2.0, GossipHint(2, DRAINING, version)) == []
    assert sendable(balancer) == {1, 2, 3, 4}


def test_the_own_list_ends_a_word_when_it_is_as_new_and_not_before() -> None:
    balancer = make_balancer(4)
    balancer.handle(1.0, GossipHint(2, DRAINING, 6))
    balancer.handle(2.0, news(5, make_endpoint(2)))
    assert sendable(balancer) == {1, 3, 4}
    balancer.handle(balancer.context.now_ms, news(6, make_endpoint(2)))
    assert sendable(balancer, since=1000) == {1, 2, 3, 4}


def test_a_word_that_nothing_bears_out_fades() -> None:
    balancer = make_balancer(4)
    (timer,) = balancer.handle(1.0, GossipHint(2, DRAINING, 6))
    assert timer == SetTimer(HINT_EXPIRY_TIMER, HINT_LIFETIME_MS)
    balancer.handle(5000.0, GossipHint(2, DRAINING, 7))  # said again: it holds from then
    balancer.handle(HINT_LIFETIME_MS + 1.0, TimerFired(HINT_EXPIRY_TIMER))
    assert not balancer.endpoint_list.endpoints[2].ready
    balancer.handle(HINT_LIFETIME_MS + 5000.0, TimerFired(HINT_EXPIRY_TIMER))
    assert balancer.endpoint_list.endpoints[2].ready and 2 in sendable(balancer, 2000)
    assert not balancer.endpoint_list.hints.draining


def test_a_server_that_our_list_calls_draining_is_not_brought_back_by_a_fading_word() -> None:
    balancer = make_balancer(4)
    balancer.handle(1.0, GossipHint(2, DRAINING, 6))
    balancer.handle(2.0, news(5, make_endpoint(2, DRAINING)))
    balancer.handle(HINT_LIFETIME_MS + 1.0, TimerFired(HINT_EXPIRY_TIMER))
    assert not balancer.endpoint_list.endpoints[2].ready and sendable(balancer) == {1, 3, 4}


def test_words_hold_back_a_quarter_at_most_and_never_the_last() -> None:
    balancer = make_balancer(20)
    for eid in range(1, 21):
        balancer.handle(1.0, GossipHint(eid, DRAINING, 99))
    assert len(balancer.endpoint_list.hints.draining) == 5 and len(balancer.control_set.ready) == 15
    alone = make_balancer(1)
    alone.handle(1.0, GossipHint(1, DRAINING, 99))
    assert sendable(alone) == {1}


def test_a_start_makes_cold_and_brings_nobody() -> None:
    balancer = make_balancer(4)
    balancer.handle(1.0, GossipHint(9, READY, 99, 5.0))
    assert 9 not in balancer.endpoint_list.endpoints
    balancer.handle(1000.0, GossipHint(2, READY, 99, 900.0))
    assert (
        balancer.endpoint_list.endpoints[2].slow_start_until_ms == 900.0 + 8000.0
        and balancer.endpoint_list.endpoints[2].ready
    )
    cold = [s.endpoint_id for s in balancer.slow_start.warming]
    for eid in (1, 3, 4):
        balancer.handle(1001.0, GossipHint(eid, READY, 99, 900.0))
    assert [s.endpoint_id for s in balancer.slow_start.warming] == cold  # of four servers one on words alone


def _decisions(words: bool) -> list[Action]:
    balancer, rng, acts = Balancer(make_settings(), 3), Random(5), list[Action]()
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
        if words and n % 3 == 0:  # all of them no newer than the own list
            events.append(GossipHint(1 + n % 8, DRAINING if n % 2 else READY, 50, 1e6))
    now = 0.0
    for event in events:
        now += 0.0 if isinstance(event, GossipHint) else rng.random() * 10
        for act in balancer.handle(now, event):
            acts.append(act)
            if isinstance(act, Send):
                acts += balancer.handle(now, attempt_ended(act.request, 0, act.endpoint, Outcome.OK))
    return acts


def test_words_that_are_no_newer_than_the_list_change_no_decision() -> None:
    assert _decisions(True) == _decisions(False) and len(_decisions(False)) >= 400
