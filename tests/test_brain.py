"""The mechanism, one decision at a time."""

import os
import re
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from gateusher.policy import brain
from gateusher.policy.brain import Balancer
from gateusher.policy.interface import (
    AttemptEnded,
    ClientDisconnected,
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
    WatchEndpointList,
)

from .helpers import ended, entry, fleet, settings, started

ROOT = Path(__file__).parent.parent


def test_draw_is_independent_coins() -> None:
    balancer = started(60)
    rounds = 20000
    seen = dict.fromkeys(balancer.servers, 0)
    pairs = 0
    likely = sorted(balancer.ready, key=lambda s: -s.c)[:2]
    for _ in range(rounds):
        drawn = balancer._draw()
        assert len(set(map(id, drawn))) == len(drawn)
        pairs += all(s in drawn for s in likely)
        for server in drawn:
            seen[server.eid] += 1
    for server in balancer.ready:
        sigma = (rounds * server.c * (1 - server.c)) ** 0.5
        assert abs(seen[server.eid] - rounds * server.c) < 4.5 * sigma
    both = likely[0].c * likely[1].c
    assert abs(pairs / rounds - both) < 0.02


@pytest.mark.parametrize("n", [3, 40, 2000])
def test_expected_set_is_a_handful_at_any_size(n: int) -> None:
    balancer = started(n)
    total = sum(s.c for s in balancer.ready)
    assert total == pytest.approx(balancer.total)
    assert min(brain.SET_LEAST, n / 2) <= total <= brain.SET_MOST


def test_update_moves_by_a_and_b() -> None:
    balancer = started(40)
    server = max(balancer.ready, key=lambda s: s.c)
    before = server.c
    balancer._learn(server, True)
    assert server.c == pytest.approx(before + brain.RAISE * (1 - before))
    before = server.c
    balancer._learn(server, False)
    assert server.c >= before * (1 - brain.LOWER) - 1e-12
    assert server.c < before


def test_slow_answers_lower_and_quick_ones_raise() -> None:
    balancer = started(40)
    for rid, elapsed in enumerate((100.0, 100.0, 100.0, 400.0, 20.0)):
        send = balancer.handle(rid * 1000.0, Request(rid, 0, 3000))[0]
        assert isinstance(send, Send)
        server = balancer.servers[send.endpoint]
        before = server.c
        balancer.handle(rid * 1000.0 + elapsed, ended(rid, 0, send.endpoint, Outcome.OK, elapsed))
        if elapsed == 400.0:
            assert server.c < before
        if elapsed == 20.0:
            assert server.c > before


def test_a_slow_fleet_does_not_shrink_the_sets() -> None:
    balancer = started(100)
    for _ in range(50):
        for server in list(balancer.ready):
            balancer._learn(server, False)
    assert balancer.total >= brain.SET_LEAST


def test_least_load_over_speed_wins() -> None:
    balancer = started(2, settings(report_fields=("waiting",)))
    idle, busy = balancer.ready
    for server in balancer.ready:
        server.load_at = 0.0
    busy.load = 4.0
    assert balancer._score(idle, 0) < balancer._score(busy, 0)
    idle.slow = 9.0
    assert balancer._score(idle, 0) > balancer._score(busy, 0)


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
    balancer = started(10, settings(effect, scope, max_attempts=2))
    (send,) = balancer.handle(1.0, Request(5, 0, 3000))
    assert isinstance(send, Send)
    then = balancer.handle(2.0, ended(5, 0, send.endpoint, outcome))
    if not again:
        assert then == [last(5)]
        return
    assert isinstance(then[0], Send)
    end = balancer.handle(3.0, ended(5, 1, then[0].endpoint, outcome))
    assert end == [last(5)]


def test_drains_are_kept_at_once() -> None:
    balancer = started(4)
    news = tuple(entry(i, EndpointState.DRAINING if i < 3 else EndpointState.REMOVED) for i in (1, 2, 3))
    balancer.handle(1.0, EndpointListUpdate(UpdateKind.CHANGES, 2, news))
    for rid in range(50):
        (send,) = balancer.handle(2.0 + rid, Request(rid, 0, 3000))
        assert isinstance(send, Send)
        assert send.endpoint == 4
        balancer.handle(2.5 + rid, ended(rid, 0, 4, Outcome.OK))


def test_no_server_ready_holds_then_answers_in_time() -> None:
    balancer = Balancer(settings(), 3)
    balancer.handle(0.0, EndpointListUpdate(UpdateKind.CACHED, 1, (entry(1, EndpointState.DRAINING),)))
    now, acts = 0.0, balancer.handle(0.0, Request(9, 0, 3000))
    while acts and isinstance(acts[0], SetTimer):
        now += acts[0].delay_ms
        acts = balancer.handle(now, TimerFired(acts[0].token))
    assert acts == [Reject(9)]
    assert 300 < now <= 3000


def test_a_wait_with_no_attempt_after_it_is_giving_up_at_once() -> None:
    """No server is ready and little time is left: the client hears now, and when to come back."""
    balancer = Balancer(settings(max_retry_after_ms=800.0), 3)
    balancer.handle(0.0, EndpointListUpdate(UpdateKind.CACHED, 1, (entry(1, EndpointState.DRAINING),)))
    for rid in range(20):
        (act,) = balancer.handle(float(rid), Request(rid, 0, 60))
        assert isinstance(act, Reject)
        assert 0 < act.retry_after_ms <= 800


def test_unknown_and_late_news_changes_nothing() -> None:
    balancer = started(3)
    assert balancer.handle(1.0, TimerFired(12345)) == []
    assert balancer.handle(1.0, ClientDisconnected(77)) == []
    assert balancer.handle(1.0, AttemptEnded(77, 0, 1, 5.0, Outcome.TIMEOUT, True)) == []


def test_a_request_without_a_server_asks_for_the_list() -> None:
    balancer = Balancer(settings(polls_list=True, poll_within_ms=10000.0), 3)
    (timer,) = balancer.handle(0.0, EndpointListUpdate(UpdateKind.CACHED, 1, ()))
    assert isinstance(timer, SetTimer)
    seen = [a for n in range(5) for a in balancer.handle(1.0 + n, Request(n + 1, 0, 1000.0))]
    assert seen.count(WatchEndpointList(True)) == 1
    assert balancer.handle(timer.delay_ms, TimerFired(timer.token)) == []
    (again,) = balancer.handle(9000.0, EndpointListUpdate(UpdateKind.FAILED, 0, ()))
    assert isinstance(again, SetTimer)
    assert WatchEndpointList(True) not in balancer.handle(9001.0, Request(9, 0, 1000.0))
    assert balancer.handle(9000.0 + again.delay_ms, TimerFired(again.token)) == [WatchEndpointList(True)]


def test_after_failed_watches_a_request_without_a_server_does_not_wait_for_the_longest() -> None:
    balancer = Balancer(settings(polls_list=True, poll_within_ms=10000.0), 3)
    balancer.handle(0.0, EndpointListUpdate(UpdateKind.CACHED, 1, ()))
    for _ in range(8):
        (again,) = balancer.handle(9000.0, EndpointListUpdate(UpdateKind.FAILED, 0, ()))
    assert isinstance(again, SetTimer)
    assert again.delay_ms > 2000
    assert WatchEndpointList(True) not in balancer.handle(9100.0, Request(1, 0, 1000.0))
    assert WatchEndpointList(True) in balancer.handle(10001.0, Request(2, 0, 1000.0))
    assert WatchEndpointList(True) not in balancer.handle(10002.0, Request(3, 0, 1000.0))


def test_a_failed_watch_is_asked_for_again_with_growing_waits() -> None:
    balancer = Balancer(settings(polls_list=True, poll_within_ms=10000.0), 3)
    (timer,) = balancer.handle(0.0, fleet(5))
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


def test_a_timer_of_before_a_later_failure_asks_for_nothing() -> None:
    """Somebody else may call in between and fail, too: each failure's timer would ask once more."""
    balancer = Balancer(settings(polls_list=True, poll_within_ms=10000.0), 3)
    (start,) = balancer.handle(0.0, EndpointListUpdate(UpdateKind.CACHED, 1, ()))
    (first,) = balancer.handle(0.0, EndpointListUpdate(UpdateKind.FAILED, 0, ()))
    (second,) = balancer.handle(1.0, EndpointListUpdate(UpdateKind.FAILED, 0, ()))
    assert all(isinstance(timer, SetTimer) for timer in (start, first, second))
    assert balancer.handle(first.delay_ms, TimerFired(first.token)) == []  # type: ignore[union-attr]
    assert balancer.handle(1.0 + second.delay_ms, TimerFired(second.token)) == [WatchEndpointList(True)]  # type: ignore[union-attr]


def test_a_silent_server_leaves_the_draws_before_its_time_out() -> None:
    balancer = started(10)
    (send,) = balancer.handle(0.0, Request(1, 0, 3000))
    assert isinstance(send, Send)
    hung = balancer.servers[send.endpoint]
    hung.c = 0.98
    limit = 3 * balancer.target[0] + 2 * balancer.s.dial_timeout_ms
    assert balancer._usable(hung, 0)
    balancer.now = limit + 1
    assert not balancer._usable(hung, 0)


def test_quiet_clients_budgets_for_a_cold_server_add_up() -> None:
    """Sixty clients that each know a little keep their sum under the cold server's capacity."""
    clients, n, sent, window = 60, 30, 0, 2000.0
    warm_rate = 1.0  # requests each client sends a second
    for seed in range(clients):
        balancer = started(n, seed=seed)
        rng, now, rid, booted = balancer.rng, 0.0, 0, 20000.0
        told = False
        while now < booted + window:
            if now >= booted and not told:
                balancer.handle(now, EndpointListUpdate(UpdateKind.CHANGES, 2, (entry(1, booted=booted),)))
                told = True
            for act in balancer.handle(now, Request(rid, 0, 3000)):
                if isinstance(act, Send):
                    sent += act.endpoint == 1 and told
                    balancer.handle(now + 1, ended(rid, 0, act.endpoint, Outcome.OK))
            rid, now = rid + 1, now + rng.expovariate(warm_rate / 1000)
    fair = clients * warm_rate / n * window / 1000
    assert sent <= fair


def test_a_client_whose_answers_all_failed_sends_again() -> None:
    """A room of nothing would never hear that the trouble is over."""
    balancer = started(10)
    for rid in range(400):
        for act in balancer.handle(rid * 10.0, Request(rid, 0, 3000)):
            if isinstance(act, Send):
                balancer.handle(rid * 10.0, ended(rid, 0, act.endpoint, Outcome.TIMEOUT))
    sent = 0
    for rid in range(1000, 1400):
        for act in balancer.handle(100000.0 + rid * 10.0, Request(rid, 0, 3000)):
            if isinstance(act, Send):
                sent += 1
                balancer.handle(100000.0 + rid * 10.0 + 1, ended(rid, 0, act.endpoint, Outcome.OK, 1.0))
    assert sent > 100


def test_only_a_server_back_from_the_dead_is_taken_for_cold() -> None:
    """A fleet back from a hang is warm: a budget for all of it would shut the client off."""
    for outcome, cold in ((Outcome.TIMEOUT, False), (Outcome.CONNECT_FAILED, True)):
        balancer = started(1)
        for rid in range(4):
            balancer.now = rid * 20000.0
            (send,) = balancer.handle(rid * 20000.0, Request(rid, 0, 3000))
            balancer.handle(rid * 20000.0 + 5, ended(rid, 0, 1, outcome if rid < 3 else Outcome.OK))
        assert (balancer.servers[1].warm_at > balancer.now) is cold


def test_a_quiet_client_takes_a_server_for_cold_after_one_failure_long_ago() -> None:
    """With a request a second it has tried it once while it was down, and does not yet know of the new start."""
    for wait, cold in ((900.0, False), (9000.0, True)):
        balancer = started(1)
        for rid, now in enumerate((0.0, wait)):
            balancer.now = now
            (send,) = balancer.handle(now, Request(rid, 0, 3000))
            balancer.handle(now + 5, ended(rid, 0, 1, Outcome.OK if rid else Outcome.CONNECT_FAILED))
        assert (balancer.servers[1].warm_at > balancer.now) is cold


@pytest.mark.parametrize("soon", [True, False])
def test_a_server_that_is_back_is_cold_once(soon: bool) -> None:
    """Its failure is over with its answer, or with the list's word: no later answer makes it cold again."""
    balancer = started(1)
    (send,) = balancer.handle(0.0, Request(0, 0, 3000))
    balancer.handle(5.0, ended(0, 0, 1, Outcome.CONNECT_FAILED))
    if not soon:
        balancer.handle(800.0, EndpointListUpdate(UpdateKind.CHANGES, 2, (entry(1, booted=700.0),)))
    for rid, now in enumerate((900.0, 30000.0, 60000.0), 1):
        balancer.now = now
        for act in balancer.handle(now, Request(rid, 0, 3000)):
            if isinstance(act, Send):
                balancer.handle(now + 5, ended(rid, 0, 1, Outcome.OK))
    assert balancer.servers[1].heard_at > 60000.0
    assert balancer.servers[1].warm_at < 10000.0


def test_the_first_retries_follow_at_once_and_the_last_wait() -> None:
    """Full servers are many and places few: waits from the first retry on would spend the whole time in them."""
    balancer = started(60)
    balancer.full, balancer.service, sends = 0.6, [40.0], 0
    (act,) = balancer.handle(1.0, Request(1, 0, 900))
    while isinstance(act, Send):
        (act,) = [
            a
            for a in balancer.handle(2.0, ended(1, sends, act.endpoint, Outcome.REJECTED))
            if isinstance(a, Send | SetTimer | Reject)
        ]
        sends += 1
    assert sends == brain.AT_ONCE and isinstance(act, SetTimer)


def test_a_key_meets_the_same_servers_at_every_client() -> None:
    """Warm keys pay only where all clients agree on the servers, and keys must spread evenly."""
    conf = settings(caches_by_key=True)
    one, two = started(40, conf, seed=1), started(40, conf, seed=2)
    load = dict.fromkeys(one.servers, 0)
    for key in range(1, 2001):
        homes = [s.eid for s in one._homes(key)]
        assert homes == [s.eid for s in two._homes(key)]
        load[homes[0]] += 1
    assert max(load.values()) < 2.5 * 50
    assert one._homes(0) == []


def _story(seed: int) -> list[object]:
    balancer = started(50, seed=seed)
    acts: list[object] = []
    for rid in range(200):
        for act in balancer.handle(rid * 10.0, Request(rid, 0, 3000)):
            acts.append(act)
            if isinstance(act, Send):
                acts += balancer.handle(rid * 10.0 + 5, ended(rid, 0, act.endpoint, Outcome(rid % 7)))
    return acts


def test_same_events_same_actions_whatever_the_hash_order() -> None:
    code = "from tests.test_brain import _story; print(_story(4))"
    outs = [
        subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT,
            capture_output=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("1", "2")
    ]
    assert outs[0] == outs[1] != b""
    assert _story(4) != _story(5)


def test_the_module_stays_small_and_names_no_deployment() -> None:
    files = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    texts = {name: (ROOT / name).read_text().splitlines() for name in files}
    lines = [line for text in texts.values() for line in text]
    assert sum(bool(line.strip()) for line in lines) <= 1200
    assert max(map(len, lines)) <= 118
    assert "interface.py" in texts["gateusher/policy/brain.py"][0]
    names = r"consignment|rastro|album|hanoi|pallet|hengda|sen h|-box|c2-|std-|palermo|taoyuan"
    assert not re.search(names, "\n".join(lines), re.I)


def test_endpoints_that_are_gone_are_forgotten_and_their_attempts_still_count_off() -> None:
    balancer = started(1)
    (send,) = balancer.handle(1.0, Request(5, 0, 3000))
    assert isinstance(send, Send)
    for eid in range(2, 200):
        news = (entry(eid - 1, EndpointState.REMOVED), entry(eid))
        balancer.handle(float(eid), EndpointListUpdate(UpdateKind.CHANGES, eid, news))
    assert set(balancer.servers) == {199}
    (again,) = balancer.handle(300.0, ended(5, 0, 1, Outcome.RESET))
    assert isinstance(again, Send)
    assert again.endpoint == 199
    balancer.handle(301.0, ended(5, 1, 199, Outcome.OK))
    assert not balancer.work
    balancer.handle(302.0, EndpointListUpdate(UpdateKind.COMPLETE, 300, (entry(500),)))
    assert set(balancer.servers) == {500}


def test_a_silence_strikes_once_however_much_was_out() -> None:
    """Attempts that time out together are one pause of the server, not many."""
    balancer = started(1, settings(max_attempts=1))
    sent = [balancer.handle(0.0, Request(rid, 0, 3000))[0] for rid in range(5)]
    assert all(isinstance(s, Send) for s in sent)
    for rid in range(5):
        balancer.handle(400.0 + rid, ended(rid, 0, 1, Outcome.TIMEOUT))
    server = balancer.servers[1]
    assert server.strikes == 1
    assert server.out_until - 400.0 <= 2 * balancer.unit * 1.5
    balancer._send(balancer.work.setdefault(99, brain.Work(99, 0, 0, 5000.0, 9000.0)), server)
    balancer.handle(6000.0, ended(99, 0, 1, Outcome.TIMEOUT))
    assert server.strikes == 2


def test_a_stalled_server_is_passed_by_before_its_time_out() -> None:
    """Its last report says idle, so it would win every draw until the first attempt times out."""
    balancer = started(2, settings(report_fields=("waiting",)))
    stalled, busy = balancer.ready
    for server in balancer.ready:
        server.c = 0.98
        server.load_at, server.load = 100.0, 0.0
    busy.load = 6.0
    stalled.out, stalled.owes, stalled.quiet_at = 3, True, 100.0
    balancer.handle(101.0, Request(1, 0, 3000))
    assert balancer.work[1].sent[0][0] is stalled
    balancer.now = 600.0
    for server in balancer.ready:
        server.load_at = 600.0
    stalled.owes, stalled.quiet_at = True, 101.0
    balancer.handle(600.0, Request(2, 0, 3000))
    assert balancer.work[2].sent[0][0] is busy


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.CONNECT_FAILED])
def test_a_connection_that_breaks_is_no_silence_of_a_server_that_answers(outcome: Outcome) -> None:
    balancer = started(1, settings(max_attempts=1))
    for rid in range(3):
        assert isinstance(balancer.handle(float(rid), Request(rid, 0, 3000))[0], Send)
    balancer.handle(20.0, ended(0, 0, 1, Outcome.OK))
    balancer.handle(30.0, ended(1, 0, 1, outcome))
    server = balancer.servers[1]
    assert server.strikes == 0
    balancer.handle(20.0 + balancer.unit, ended(2, 0, 1, outcome))
    assert server.strikes == 1


def test_a_stall_of_one_server_does_not_shut_out_work() -> None:
    """Two attempts in three fail on a server that says nothing; the others answer all that they get."""
    balancer, refused = started(6, settings(max_attempts=1)), 0
    stalled, others = balancer.ready[0], balancer.ready[1:]
    for rid in range(300):
        balancer.now = now = rid * 10.0
        for act in balancer.handle(now, Request(rid, 0, 3000)):
            refused += isinstance(act, Reject)
            if isinstance(act, Send):
                balancer.work[rid].sent[0] = (stalled if rid % 3 else others[0], now, 1.0)
                balancer.handle(now + 5, ended(rid, 0, 1, Outcome.TIMEOUT if rid % 3 else Outcome.OK))
    assert refused < 30


def test_time_that_runs_out_everywhere_shuts_the_door_and_is_waited_out() -> None:
    """Servers with long queues turn nothing away; what is given up early is done all the same, and done again."""
    balancer, refused, sent = started(6, settings(max_attempts=3)), 0, list[tuple[float, Send]]()
    answered = 0
    for rid in range(400):
        now = rid * 10.0
        for act in balancer.handle(now, Request(rid, 0, 3000)):
            refused += isinstance(act, Reject)
            if isinstance(act, Send):
                sent.append((act.expires_ms - now, act))
        while sent and len(sent) > 20:  # each waits its whole time and hears nothing; one in twelve is answered
            wait, act = sent.pop(0)
            outcome = Outcome.OK if answered % 12 == 11 else Outcome.TIMEOUT
            answered += 1
            tries, took = len(balancer.work[act.request].sent), 120.0 if outcome is Outcome.OK else wait
            for more in balancer.handle(now, ended(act.request, tries - 1, act.endpoint, outcome, took)):
                if isinstance(more, Send):
                    sent.append((more.expires_ms - now, more))
    assert refused > 200 and balancer.room < 0.4
    balancer.room = 1.5
    (act,) = [a for a in balancer.handle(4000.0, Request(1000, 0, 3000)) if isinstance(a, Send)]
    assert act.expires_ms - 4000.0 > 950.0  # all of its time: to ask elsewhere would find the same there


def test_one_server_that_is_late_leaves_the_others_their_patience() -> None:
    balancer = started(6, settings(max_attempts=3))
    stalled = balancer.ready[0]
    for rid in range(60):
        now = rid * 10.0
        for act in balancer.handle(now, Request(rid, 0, 3000)):
            if isinstance(act, Send):
                late = balancer.servers[act.endpoint] is stalled
                balancer.handle(now + 5, ended(rid, 0, act.endpoint, Outcome.TIMEOUT if late else Outcome.OK))
    (act,) = [a for a in balancer.handle(1000.0, Request(1000, 0, 3000)) if isinstance(a, Send)]
    assert act.expires_ms - 1000.0 < 950.0 and balancer.room > 1.0


def test_what_clients_ask_again_does_not_shut_the_door() -> None:
    """Refusals and the repeats that follow say nothing of the servers; only attempts do."""
    balancer = started(4, settings(max_attempts=1))
    balancer.room = 0.3
    sent = sum(isinstance(a, Send) for rid in range(500) for a in balancer.handle(1.0, Request(rid, 0, 3000)))
    assert 100 < sent < 200
    assert balancer.room >= 0.3


def test_the_share_let_in_settles_where_a_part_of_the_attempts_finds_no_place() -> None:
    """Servers that do four requests a round, asked for ten: too few let in leave them idle, all jams them."""
    balancer, served, tried = started(4, settings(max_attempts=1)), 0, 0
    for step in range(400):
        now, places = step * 10.0, 4
        for rid in range(step * 10, step * 10 + 10):
            for act in balancer.handle(now, Request(rid, 0, 3000)):
                if isinstance(act, Send):
                    outcome = Outcome.OK if places > 0 else Outcome.REJECTED
                    places -= 1
                    tried, served = tried + (step >= 100), served + (step >= 100 and outcome is Outcome.OK)
                    balancer.handle(now, ended(rid, 0, act.endpoint, outcome))
    assert served > 0.95 * 4 * 300
    assert tried < 9.9 * 300


def test_a_lost_answer_is_no_silence_of_a_server_that_serves_what_came_later() -> None:
    balancer = started(1, settings(max_attempts=1))
    for rid in range(3):
        assert isinstance(balancer.handle(float(rid), Request(rid, 0, 3000))[0], Send)
    balancer.handle(30.0, ended(1, 0, 1, Outcome.OK))
    balancer.handle(400.0, ended(0, 0, 1, Outcome.TIMEOUT))
    server = balancer.servers[1]
    assert server.strikes == 0
    balancer.handle(401.0, ended(2, 0, 1, Outcome.TIMEOUT))
    assert server.strikes == 1
    # One that is out for long while the server is asked nothing else makes no silence either.
    balancer = started(1, settings(max_attempts=1))
    for rid in range(2):
        balancer.handle(float(rid), Request(rid, 0, 3000))
    balancer.handle(30.0, ended(1, 0, 1, Outcome.OK))
    balancer.now = 2000.0
    assert balancer._usable(balancer.servers[1], 0)
