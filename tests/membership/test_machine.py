"""Fleets of members in virtual time, with the troubles that they are made for."""

from collections import Counter

import pytest

from checker.members import KEY, Fleet, member_id, place, settings
from gateusher.membership import wire
from gateusher.membership.interface import (
    DatagramReceived,
    KeysChanged,
    MemberChanged,
    MemberState,
    PeersChanged,
    Tick,
)
from gateusher.membership.machine import MembershipMachine
from gateusher.membership.wire import Header

ALIVE, SUSPECT, FAILED, LEFT = MemberState.ALIVE, MemberState.SUSPECT, MemberState.FAILED, MemberState.LEFT


def settled(count: int, seed: int = 1, **more: object) -> Fleet:
    fleet = Fleet(count, seed=seed, **more)  # type: ignore[arg-type]
    fleet.run(1.0)
    assert fleet.agree(60) < 60
    return fleet


def seen(fleet: Fleet, state: MemberState, *names: str) -> list[tuple[float, int, MemberChanged]]:
    """Changes to a state, of others than these."""
    return [c for c in fleet.changes if c[2].new_state is state and c[2].name not in names]


@pytest.mark.parametrize(("count", "seeds", "learnt"), [(2, None, False), (30, None, False), (40, 3, True)])
def test_all_that_start_in_one_second_know_each_other(count: int, seeds: int | None, learnt: bool) -> None:
    fleet = Fleet(count, seeds=seeds, learn_addresses=learnt)
    fleet.run(1.0)
    assert fleet.agree(60) < 60
    assert not seen(fleet, FAILED)


def test_one_that_dies_is_found_by_all_and_is_back_under_its_name() -> None:
    fleet = settled(20)
    before = fleet.one(7).machine.instance
    died = fleet.clock.now
    fleet.one(7).kill()
    fleet.run(60)
    found = fleet.detected("s7", FAILED, died)
    assert len(found) == 19 and found[-1] < 40
    assert not seen(fleet, FAILED, "s7")
    fleet.restart(7)
    assert fleet.agree(60) < 60
    assert fleet.one(7).machine.instance != before
    back = [c for _, _, c in fleet.changes if c.name == "s7" and c.old_state is FAILED and c.new_state is ALIVE]
    assert len(back) == 19 and all(c.restarted for c in back)


def test_a_restart_before_anybody_noticed_is_told_as_one() -> None:
    fleet = settled(10)
    fleet.restart(3)
    assert fleet.agree(60) < 60
    fleet.run(5)
    restarts = [i for _, i, c in fleet.changes if c.name == "s3" and c.restarted]
    assert len(set(restarts)) == 9
    assert not seen(fleet, FAILED)


def test_a_restart_whose_wall_clock_went_back_comes_above_its_earlier_life() -> None:
    fleet = settled(10)
    fleet.restart(3, wall=0)
    fleet.one(3).machine.table.set_own_incarnation(5)  # far below what the others know of it
    assert fleet.agree(120) < 120
    assert all(
        o.machine.members[member_id("s3")].instance == fleet.one(3).machine.instance for o in fleet.ones if o.i != 3
    )


def test_one_that_leaves_is_not_suspected() -> None:
    fleet = settled(20)
    fleet.leave(4)
    fleet.run(1)
    assert fleet.agree(30) < 30
    assert all(o.machine.members[member_id("s4")].state is LEFT for o in fleet.live())
    assert not seen(fleet, SUSPECT) and not seen(fleet, FAILED)


def test_half_that_vanish_are_found_and_nobody_else_is_barred() -> None:
    fleet = settled(30)
    gone = {f"s{i}" for i in range(15)}
    for i in range(15):
        fleet.one(i).kill()
    assert fleet.agree(120) < 120
    assert not seen(fleet, FAILED, *gone)


@pytest.mark.parametrize("seconds", [4.0, 60.0])
def test_two_halves_find_each_other_after_a_partition(seconds: float) -> None:
    fleet = settled(24)
    fleet.network.is_partitioned = lambda a, b: (a < 12) != (b < 12)  # type: ignore[operator]
    fleet.run(seconds)
    healed = fleet.clock.now
    fleet.network.is_partitioned = lambda a, b: False
    assert fleet.agree(120) < 120
    # Nobody buries its own half on the word of the other one.
    across = [
        c
        for at, i, c in fleet.changes
        if at > healed + 100 and c.new_state is FAILED and (i < 12) == (int(c.name[1:]) < 12)
    ]
    assert not across
    least = min(o.config.bytes_per_s for o in fleet.ones)
    assert max(fleet.worst.values()) <= 2 * least


def test_a_cut_one_way_between_two_bars_nobody() -> None:
    fleet = settled(12)
    fleet.network.link(2, 5).cut = True
    fleet.run(90)
    assert not seen(fleet, SUSPECT) and not fleet.wrong()  # others reach it, and say so


def test_cuts_one_way_all_round_a_ring_bar_nobody() -> None:
    fleet = settled(12)
    for i in range(12):
        fleet.network.link(i, (i + 1) % 12).cut = True
    fleet.run(90)
    assert not seen(fleet, FAILED) and not fleet.wrong()


def test_three_in_ten_lost_and_a_tenth_doubled_bars_nobody_for_long() -> None:
    fleet = settled(20)
    fleet.network.common.loss, fleet.network.common.duplication = 0.3, 0.1
    fleet.run(120)
    assert len({c.name for _, _, c in seen(fleet, FAILED)}) <= 1
    fleet.network.common.loss = 0.0
    assert fleet.agree(60) < 60


def test_one_that_is_stopped_again_and_again_declares_nobody_failed() -> None:
    fleet = settled(12)
    one = fleet.one(3)
    for _ in range(20):
        one.stop()
        fleet.run(3)
        one.resume()
        fleet.run(2)
    by = [c for at, i, c in seen(fleet, FAILED) if i == 3]
    assert not by
    assert not [c for _, _, c in fleet.changes if c.new_state is SUSPECT and c.suspected_by == "s3"]
    assert one.machine.health_penalty > 0
    assert fleet.agree(60) < 60


def test_what_comes_before_the_first_tick_after_a_pause_counts_after_it() -> None:
    fleet = settled(6)
    one = fleet.one(0)
    one.stop()
    fleet.run(30)
    assert any(m.is_up for m in one.machine.members.values())
    one.stopped = False
    one.give(DatagramReceived(place(1), b""))  # a datagram is read before the timer fires
    assert not [c for at, i, c in seen(fleet, FAILED) + seen(fleet, SUSPECT) if i == 0]


def test_clocks_that_are_hours_apart_and_run_at_other_rates_make_no_difference() -> None:
    fleet = settled(12)
    for one in fleet.ones:
        one.offset += one.i * 3.6e6  # hours, forward, as after a sleep
        one._armed_for_ms = 1e18
        one.arm()
    fleet.one(5).rate = 1.1
    fleet.one(6).rate = 0.9
    fleet.run(60)
    assert not seen(fleet, FAILED)
    fleet.one(2).kill()
    assert fleet.agree(120) < 120


def test_churn_of_a_tenth_a_minute_leaves_true_views() -> None:
    fleet = settled(30)
    for minute in range(3):
        for k in range(3):
            i = (minute * 7 + k * 11) % 30
            fleet.restart(i) if k else fleet.leave(i)
            fleet.run(20)
            if not k:
                fleet.restart(i)
    assert fleet.agree(60) < 60
    assert not seen(fleet, FAILED)


# -- what old, foreign and false datagrams do


def tap(fleet: Fleet) -> list[tuple[int, bytes]]:
    """All datagrams from now on: to whom, and their bytes."""
    taken: list[tuple[int, bytes]] = []
    carry = fleet.carry

    def both(source: object, action: object) -> None:
        target = fleet.by_place.get(action.destination)  # type: ignore[attr-defined]
        if target:
            taken.append((target.i, action.data))  # type: ignore[attr-defined]
        carry(source, action)  # type: ignore[arg-type]

    fleet.carry = both  # type: ignore[method-assign,assignment]
    return taken


def table(machine: MembershipMachine) -> dict[bytes, tuple[MemberState, int, int]]:
    return {m.id: (m.state, m.incarnation, m.instance) for m in machine.members.values()}


def test_old_datagrams_change_nothing_an_hour_later() -> None:
    fleet = settled(8)
    taken = tap(fleet)
    fleet.one(2).kill()
    fleet.run(30)
    fleet.restart(2)
    fleet.run(30)
    fleet.leave(5)
    fleet.run(3600)
    old = list(taken)
    held = {o.i: table(o.machine) for o in fleet.live()}
    changes = len(fleet.changes)
    for to, data in old[::3]:
        if to in held:
            fleet.by_place[place(to)].give(DatagramReceived(place(0), data))
            assert table(fleet.one(to).machine) == held[to]
    assert len(fleet.changes) == changes
    assert all(o.machine.dropped["replay"] > 0 for o in fleet.live())


def test_old_datagrams_bring_nobody_to_life_at_a_process_that_has_just_begun() -> None:
    fleet = settled(8)
    taken = tap(fleet)
    fleet.run(20)
    fleet.one(5).kill()
    fleet.run(60)
    fleet.restart(0)
    for to, data in taken:
        if to == 0:
            fleet.one(0).give(DatagramReceived(place(5), data))
    assert fleet.one(0).machine.members[member_id("s5")].state is not ALIVE
    fleet.run(60)
    assert not fleet.wrong()


def test_an_answer_to_somebody_elses_question_proves_nobody() -> None:
    fleet = settled(4)
    taken = tap(fleet)
    fleet.run(5)
    fleet.one(1).kill()
    fleet.restart(0)
    machine = fleet.one(0).machine
    for to, data in taken:
        if to == 0:
            machine.handle(machine.now_ms, DatagramReceived(place(1), data))
    assert machine.members[member_id("s1")].replay_window is None


def false(fleet: Fleet, name: str, frames: bytes, to: int, source: int = 0) -> None:
    """A datagram of a key-holder that lies, under the name and the numbers of a proven member."""
    sender = fleet.one(source).machine
    sender.sender.sequence += 1
    data = wire.seal(
        KEY, Header(member_id(name), sender.instance, sender.incarnation, sender.sender.sequence), frames
    )
    one = fleet.one(to)
    one.give(DatagramReceived(place(source), data))


def test_a_member_that_is_said_to_have_failed_or_left_objects() -> None:
    fleet = settled(8)
    victim = fleet.one(4).machine
    for n in range(20):
        for to in (1, 2, 3):
            by = member_id(f"s{5 + n % 3}")
            kind = (wire.suspect, wire.failed)[n % 2]
            false(fleet, "s0", kind(victim.id, victim.incarnation, by), to)
            if n == 7:
                false(fleet, "s0", wire.left(victim.id, victim.incarnation), to)
        fleet.run(1)
    assert fleet.agree(30) < 30
    assert not [c for _, _, c in seen(fleet, FAILED)]


def test_one_that_tells_of_members_without_end_fills_no_more_than_the_table() -> None:
    fleet = settled(6, learn_addresses=True, max_members=50)
    for n in range(400):
        frames = b"".join(wire.record(f"x{n}-{k}", ALIVE, 1, 1, 0, ("127.9.9.9", 1 + k)) for k in range(20))
        false(fleet, "s0", frames, 1)
        assert len(fleet.one(1).machine.members) < 50
    assert fleet.one(1).machine.dropped["no room"] > 1000
    for i in (10, 11, 12):  # who speaks for itself still gets in
        fleet.add(settings(i, [1], learn_addresses=True, max_members=50), i)
    fleet.run(20)
    held = fleet.one(1).machine.members
    assert all(held[member_id(f"s{i}")].is_up for i in (0, 2, 3, 4, 5, 10, 11, 12))


def test_foreign_keys_are_counted_and_not_answered() -> None:
    fleet = settled(3)
    one = fleet.one(1)
    header = Header(member_id("s0"), 1, 1, 10**6)
    foreign = wire.seal(b"another key of sixteen", header, wire.ping(1, one.machine.id))
    for data in (foreign, b"", b"Gm", bytes(5000)):
        assert one.machine.handle(one.machine.now_ms, DatagramReceived(place(0), data)) == []
    assert (one.machine.dropped["key"], one.machine.dropped["length"]) == (1, 3)


def test_who_is_unproven_gets_no_more_than_it_sent() -> None:
    fleet = settled(3)
    one = fleet.one(1).machine
    one.members[member_id("s0")].contacted_at_ms = one.now_ms  # a proof was asked for just now
    sent = got = 0
    for n in range(200):
        header = Header(member_id("s0"), 77, 1, n)
        data = wire.seal(KEY, header, wire.ping(n, one.id))
        sent += len(data)
        got += sum(len(a.data) for a in one.handle(one.now_ms, DatagramReceived(place(0), data)))  # type: ignore[union-attr]
    assert 0 < got <= sent / 10


def test_a_peer_whose_address_is_our_own_is_told_once() -> None:
    fleet = Fleet(0)
    fleet.add(settings(1, [2]), 1)
    config = fleet.one(1).config
    fleet.one(1).give(PeersChanged((("s2", config.listen),)))
    fleet.run(30)
    one = fleet.one(1)
    assert [t.event for t in one.told] == ["own address"]
    assert one.machine.dropped["self"] > 3 and one.machine.up_count == 0


def test_keys_are_rotated_while_a_part_hears_nothing() -> None:
    fleet, new = settled(9), b"the key that comes next"
    fleet.network.is_partitioned = lambda a, b: (a < 3) != (b < 3)  # type: ignore[operator]
    for keys in ((KEY, new), (new, KEY)):
        for i in range(3, 9):
            fleet.one(i).give(KeysChanged(keys))
        fleet.run(20)
    fleet.network.is_partitioned = lambda a, b: False
    for i in range(3):
        fleet.one(i).give(KeysChanged((KEY, new)))  # one step behind the others
    assert fleet.agree(120) < 120
    for keys in ((new, KEY), (new,)):
        for one in fleet.ones:
            one.give(KeysChanged(keys))
    mark = len(fleet.changes)
    fleet.run(60)
    assert not fleet.wrong() and not [c for _, _, c in fleet.changes[mark:] if c.new_state is FAILED]


# -- a name for two


@pytest.mark.parametrize("learnt", [True, False])
def test_of_two_processes_with_a_name_the_newer_one_has_it(learnt: bool) -> None:
    fleet = settled(8, learn_addresses=learnt)
    old = fleet.one(3)
    fleet.run(10)
    twin = settings(3, range(8), learn_addresses=learnt)._replace(
        listen=place(30), advertise=place(30) if learnt else None
    )
    fleet.add(twin, 30)
    new = fleet.ones[-1]
    if not learnt:  # the files of some name the other one
        for i in (0, 1, 2):
            peers = tuple((n, place(30) if n == "s3" else a) for n, a in fleet.one(i).config.peers)
            fleet.one(i).give(PeersChanged(peers))
    fleet.run(60)
    assert old.machine.displaced and not new.machine.displaced
    assert "name" in {t.event for t in old.told}
    assert any("two processes" in t.details or "older" in t.details for o in fleet.live() for t in o.told)
    # Who sends to the newer one's address has it; in static files the others' address leads nowhere any more.
    held = [o.machine.members[member_id("s3")] for o in fleet.live() if o is not new and (learnt or o.i in (0, 1, 2))]
    assert all(m.state is ALIVE and m.instance == new.machine.instance for m in held)


def test_what_is_left_of_an_earlier_life_displaces_nobody() -> None:
    fleet = settled(8)
    fleet.network.hold(0, 1)
    fleet.restart(3)
    fleet.run(3)  # the record of that short life waits in the link
    fleet.restart(3)
    fleet.run(60)
    fleet.network.release(0, 1)
    assert fleet.agree(60) < 60
    assert not fleet.one(3).machine.displaced


def test_a_record_of_our_name_displaces_only_where_it_comes_above_ours_again_and_again() -> None:
    fleet = settled(5)
    fleet.run(20)
    one = fleet.one(1).machine
    for n in range(3):  # each above what we have said by then, as only a living process can, and all younger
        before = one.incarnation
        false(fleet, "s0", wire.record("s1", ALIVE, before + 1, 4242, 0, None), 1)
        assert one.displaced == (n == 2)
        assert one.displaced or one.incarnation == before + 2


def test_an_older_process_of_our_name_never_displaces_us() -> None:
    fleet = settled(5)
    fleet.run(20)
    one = fleet.one(1).machine
    for _ in range(10):
        false(fleet, "s0", wire.record("s1", ALIVE, one.incarnation + 1, 4242, 10**6, None), 1)
    assert not one.displaced


# -- words and bounds


def test_a_word_comes_to_all_once() -> None:
    fleet = settled(20)
    fleet.network.common.duplication = 0.3
    for n in range(10):
        fleet.say(n, 5, b"drain %d" % n)
        fleet.run(0.2)
    fleet.run(10)
    for one in fleet.ones:
        words = Counter((h.origin, h.data) for h in one.heard)
        assert set(words.values()) == {1}
        assert len(words) == 10 - (one.i < 10)


def test_a_word_of_an_earlier_life_is_nobodys() -> None:
    fleet = settled(4)
    frames = wire.broadcast(member_id("s2"), 12345, 1, 5, b"old") + wire.broadcast(
        member_id("nobody"), 1, 1, 5, b"who"
    )
    false(fleet, "s0", frames, 1)
    assert fleet.one(1).machine.dropped["word of nobody"] == 2 and not fleet.one(1).heard


def test_no_more_bytes_go_out_than_are_allowed() -> None:
    fleet = Fleet(30, learn_addresses=True, seeds=3, bytes_per_s=6000.0)
    fleet.run(20)
    for n in range(200):
        fleet.say(n % 30, 1, bytes(60))
    fleet.network.is_partitioned = lambda a, b: (a < 15) != (b < 15)  # type: ignore[operator]
    fleet.run(30)
    fleet.network.is_partitioned = lambda a, b: False
    fleet.run(30)
    assert max(fleet.worst.values()) <= 2 * 6000.0
    for one in fleet.ones:
        seconds = [fleet.worst[one.i, s] for s in range(80)]
        assert max(sum(seconds[a : a + 10]) for a in range(70)) <= 11 * 6000.0


def test_at_256_bytes_a_fleet_works_too() -> None:
    fleet = Fleet(20, learn_addresses=True, seeds=3, max_datagram_bytes=256)
    taken = tap(fleet)
    fleet.run(5)
    assert fleet.agree(120) < 120
    fleet.one(3).kill()
    assert fleet.agree(120) < 120
    assert max(len(data) for _, data in taken) <= 256


def test_the_same_events_give_the_same_actions() -> None:
    def play() -> list[object]:
        machine = MembershipMachine(settings(0, range(5)), 1 << 16, 9, 4, 0.0)
        acts: list[object] = []
        for n in range(400):
            acts += machine.handle(n * 50.0, Tick())
        return acts

    assert play() == play() and len(play()) > 20
