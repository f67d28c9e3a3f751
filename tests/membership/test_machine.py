"""Fleets of members in virtual time, under the faults that the protocol has to tolerate."""

from collections import Counter

import pytest

from checker.members import KEY, Fleet, address_of, member_id, settings
from gateusher.membership import wire
from gateusher.membership.anti_entropy import AntiEntropy
from gateusher.membership.failure_detector import FailureDetector
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


def converged_fleet(count: int, seed: int = 1, **overrides: object) -> Fleet:
    fleet = Fleet(count, seed=seed, **overrides)  # type: ignore[arg-type]
    fleet.run(1.0)
    assert fleet.agree(60) < 60
    return fleet


def changes_to(fleet: Fleet, state: MemberState, *excluded: str) -> list[tuple[float, int, MemberChanged]]:
    """Return the changes to a state, without those of the excluded members."""
    return [c for c in fleet.changes if c[2].new_state is state and c[2].name not in excluded]


@pytest.mark.parametrize(("count", "seeds", "learned"), [(2, None, False), (30, None, False), (40, 3, True)])
def test_members_that_start_within_a_second_discover_each_other(count: int, seeds: int | None, learned: bool) -> None:
    fleet = Fleet(count, seeds=seeds, learn_addresses=learned)
    fleet.run(1.0)
    assert fleet.agree(60) < 60
    assert not changes_to(fleet, FAILED)


def test_a_crashed_member_is_detected_by_all_and_can_return() -> None:
    fleet = converged_fleet(20)
    first_instance = fleet.member(7).machine.instance
    crashed_at_ms = fleet.clock.now
    fleet.member(7).kill()
    fleet.run(60)
    detected_s = fleet.detected("s7", FAILED, crashed_at_ms)
    assert len(detected_s) == 19 and detected_s[-1] < 40
    assert not changes_to(fleet, FAILED, "s7")
    fleet.restart(7)
    assert fleet.agree(60) < 60
    assert fleet.member(7).machine.instance != first_instance
    returns = [c for _, _, c in fleet.changes if c.name == "s7" and c.old_state is FAILED and c.new_state is ALIVE]
    assert len(returns) == 19 and all(c.restarted for c in returns)


def test_a_restart_before_its_detection_is_reported_as_a_restart() -> None:
    fleet = converged_fleet(10)
    fleet.restart(3)
    assert fleet.agree(60) < 60
    fleet.run(5)
    restarts = [i for _, i, c in fleet.changes if c.name == "s3" and c.restarted]
    assert len(set(restarts)) == 9
    assert not changes_to(fleet, FAILED)


def test_a_restart_after_the_wall_clock_was_set_back_exceeds_the_earlier_incarnation() -> None:
    fleet = converged_fleet(10)
    fleet.restart(3, wall=0)
    fleet.member(3).machine.table.set_own_incarnation(5)  # far below what the others know of it
    assert fleet.agree(120) < 120
    assert all(
        member.machine.members[member_id("s3")].instance == fleet.member(3).machine.instance
        for member in fleet.members
        if member.i != 3
    )


def test_a_member_that_leaves_is_not_suspected() -> None:
    fleet = converged_fleet(20)
    fleet.leave(4)
    fleet.run(1)
    assert fleet.agree(30) < 30
    assert all(member.machine.members[member_id("s4")].state is LEFT for member in fleet.live_members())
    assert not changes_to(fleet, SUSPECT) and not changes_to(fleet, FAILED)


def test_a_crash_of_half_the_fleet_marks_no_other_member_failed() -> None:
    fleet = converged_fleet(30)
    crashed = {f"s{i}" for i in range(15)}
    for i in range(15):
        fleet.member(i).kill()
    assert fleet.agree(120) < 120
    assert not changes_to(fleet, FAILED, *crashed)


@pytest.mark.parametrize("seconds", [4.0, 60.0])
def test_two_halves_rejoin_after_a_partition(seconds: float) -> None:
    fleet = converged_fleet(24)
    fleet.network.is_partitioned = lambda a, b: (a < 12) != (b < 12)  # type: ignore[operator]
    fleet.run(seconds)
    healed_at_ms = fleet.clock.now
    fleet.network.is_partitioned = lambda a, b: False
    assert fleet.agree(120) < 120
    # No member marks one of its own half failed because the other half reports it so.
    wrong_changes = [
        c
        for at_ms, i, c in fleet.changes
        if at_ms > healed_at_ms + 100 and c.new_state is FAILED and (i < 12) == (int(c.name[1:]) < 12)
    ]
    assert not wrong_changes
    limit_bytes_per_s = min(member.config.bytes_per_s for member in fleet.members)
    assert max(fleet.worst.values()) <= 2 * limit_bytes_per_s


def test_a_one_way_link_failure_marks_nobody_failed() -> None:
    fleet = converged_fleet(12)
    fleet.network.link(2, 5).cut = True
    fleet.run(90)
    assert not changes_to(fleet, SUSPECT) and not fleet.incorrect_views()  # indirect probes succeed


def test_one_way_link_failures_around_a_ring_mark_nobody_failed() -> None:
    fleet = converged_fleet(12)
    for i in range(12):
        fleet.network.link(i, (i + 1) % 12).cut = True
    fleet.run(90)
    assert not changes_to(fleet, FAILED) and not fleet.incorrect_views()


def test_loss_of_30_percent_and_duplication_of_10_percent_mark_at_most_one_member_failed() -> None:
    fleet = converged_fleet(20)
    fleet.network.common.loss, fleet.network.common.duplication = 0.3, 0.1
    fleet.run(120)
    assert len({c.name for _, _, c in changes_to(fleet, FAILED)}) <= 1
    fleet.network.common.loss = 0.0
    assert fleet.agree(60) < 60


def test_a_member_that_is_paused_repeatedly_declares_nobody_failed() -> None:
    fleet = converged_fleet(12)
    paused = fleet.member(3)
    for _ in range(20):
        paused.stop()
        fleet.run(3)
        paused.resume()
        fleet.run(2)
    declared_failed = [c for _, i, c in changes_to(fleet, FAILED) if i == 3]
    assert not declared_failed
    assert not [c for _, _, c in fleet.changes if c.new_state is SUSPECT and c.suspected_by == "s3"]
    assert paused.machine.health_penalty > 0
    assert fleet.agree(60) < 60


def test_a_datagram_before_the_first_tick_after_a_pause_raises_no_suspicion() -> None:
    fleet = converged_fleet(6)
    paused = fleet.member(0)
    paused.stop()
    fleet.run(30)
    assert any(m.is_up for m in paused.machine.members.values())
    paused.stopped = False
    paused.give(DatagramReceived(address_of(1), b""))  # a datagram is read before the timer fires
    assert not [c for _, i, c in changes_to(fleet, FAILED) + changes_to(fleet, SUSPECT) if i == 0]


def test_clock_offsets_of_hours_and_different_clock_rates_mark_nobody_failed() -> None:
    fleet = converged_fleet(12)
    for member in fleet.members:
        member.offset += member.i * 3.6e6  # hours forward, as after a suspend of the machine
        member._armed_for_ms = 1e18
        member.arm()
    fleet.member(5).rate = 1.1
    fleet.member(6).rate = 0.9
    fleet.run(60)
    assert not changes_to(fleet, FAILED)
    fleet.member(2).kill()
    assert fleet.agree(120) < 120


def test_views_converge_after_churn_of_a_tenth_per_minute() -> None:
    fleet = converged_fleet(30)
    for minute in range(3):
        for k in range(3):
            i = (minute * 7 + k * 11) % 30
            fleet.restart(i) if k else fleet.leave(i)
            fleet.run(20)
            if not k:
                fleet.restart(i)
    assert fleet.agree(60) < 60
    assert not changes_to(fleet, FAILED)


# -- replayed, foreign and forged datagrams


def capture_datagrams(fleet: Fleet) -> list[tuple[int, bytes]]:
    """Capture all datagrams from now on, as pairs of receiver and bytes."""
    captured: list[tuple[int, bytes]] = []
    carry = fleet.carry

    def capture_and_carry(source: object, action: object) -> None:
        target = fleet.by_address.get(action.destination)  # type: ignore[attr-defined]
        if target:
            captured.append((target.i, action.data))  # type: ignore[attr-defined]
        carry(source, action)  # type: ignore[arg-type]

    fleet.carry = capture_and_carry  # type: ignore[method-assign,assignment]
    return captured


def table(machine: MembershipMachine) -> dict[bytes, tuple[MemberState, int, int]]:
    return {m.id: (m.state, m.incarnation, m.instance) for m in machine.members.values()}


def test_datagrams_replayed_an_hour_later_change_nothing() -> None:
    fleet = converged_fleet(8)
    captured = capture_datagrams(fleet)
    fleet.member(2).kill()
    fleet.run(30)
    fleet.restart(2)
    fleet.run(30)
    fleet.leave(5)
    fleet.run(3600)
    replayed = list(captured)
    tables = {member.i: table(member.machine) for member in fleet.live_members()}
    change_count = len(fleet.changes)
    for receiver, data in replayed[::3]:
        if receiver in tables:
            fleet.by_address[address_of(receiver)].give(DatagramReceived(address_of(0), data))
            assert table(fleet.member(receiver).machine) == tables[receiver]
    assert len(fleet.changes) == change_count
    assert all(member.machine.dropped["replay"] > 0 for member in fleet.live_members())


def test_replayed_datagrams_revive_nobody_at_a_new_process() -> None:
    fleet = converged_fleet(8)
    captured = capture_datagrams(fleet)
    fleet.run(20)
    fleet.member(5).kill()
    fleet.run(60)
    fleet.restart(0)
    for receiver, data in captured:
        if receiver == 0:
            fleet.member(0).give(DatagramReceived(address_of(5), data))
    assert fleet.member(0).machine.members[member_id("s5")].state is not ALIVE
    fleet.run(60)
    assert not fleet.incorrect_views()


def test_an_ack_of_another_process_s_probe_verifies_nobody() -> None:
    fleet = converged_fleet(4)
    captured = capture_datagrams(fleet)
    fleet.run(5)
    fleet.member(1).kill()
    fleet.restart(0)
    machine = fleet.member(0).machine
    for receiver, data in captured:
        if receiver == 0:
            machine.handle(machine.now_ms, DatagramReceived(address_of(1), data))
    assert machine.members[member_id("s1")].replay_window is None


def send_forged(fleet: Fleet, name: str, frames: bytes, receiver: int, source: int = 0) -> None:
    """Send a forged datagram, signed and numbered by the verified member `source`, under any name."""
    forger = fleet.member(source).machine
    forger.sender.sequence += 1
    data = wire.seal(
        KEY, Header(member_id(name), forger.instance, forger.incarnation, forger.sender.sequence), frames
    )
    fleet.member(receiver).give(DatagramReceived(address_of(source), data))


def test_a_member_that_is_reported_failed_or_left_refutes_it() -> None:
    fleet = converged_fleet(8)
    accused = fleet.member(4).machine
    for n in range(20):
        for receiver in (1, 2, 3):
            suspected_by = member_id(f"s{5 + n % 3}")
            accusation = (wire.suspect, wire.failed)[n % 2]
            send_forged(fleet, "s0", accusation(accused.id, accused.incarnation, suspected_by), receiver)
            if n == 7:
                send_forged(fleet, "s0", wire.left(accused.id, accused.incarnation), receiver)
        fleet.run(1)
    assert fleet.agree(30) < 30
    assert not [c for _, _, c in changes_to(fleet, FAILED)]


def test_a_member_that_reports_unlimited_members_fills_only_the_table() -> None:
    fleet = converged_fleet(6, learn_addresses=True, max_members=50)
    for n in range(400):
        frames = b"".join(wire.record(f"x{n}-{k}", ALIVE, 1, 1, 0, ("127.9.9.9", 1 + k)) for k in range(20))
        send_forged(fleet, "s0", frames, 1)
        assert len(fleet.member(1).machine.members) < 50
    assert fleet.member(1).machine.dropped["no room"] > 1000
    for i in (10, 11, 12):  # members that send datagrams themselves are still added
        fleet.add(settings(i, [1], learn_addresses=True, max_members=50), i)
    fleet.run(20)
    members = fleet.member(1).machine.members
    assert all(members[member_id(f"s{i}")].is_up for i in (0, 2, 3, 4, 5, 10, 11, 12))


def test_datagrams_with_foreign_keys_are_counted_and_not_answered() -> None:
    fleet = converged_fleet(3)
    machine = fleet.member(1).machine
    header = Header(member_id("s0"), 1, 1, 10**6)
    foreign = wire.seal(b"another key of sixteen", header, wire.ping(1, machine.id))
    for data in (foreign, b"", b"Gm", bytes(5000)):
        assert machine.handle(machine.now_ms, DatagramReceived(address_of(0), data)) == []
    assert (machine.dropped["key"], machine.dropped["length"]) == (1, 3)


def test_an_unverified_sender_gets_at_most_a_tenth_of_its_bytes_back() -> None:
    fleet = converged_fleet(3)
    machine = fleet.member(1).machine
    machine.members[member_id("s0")].contacted_at_ms = machine.now_ms  # as if it had just been probed
    received_bytes = answered_bytes = 0
    for n in range(200):
        header = Header(member_id("s0"), 77, 1, n)
        data = wire.seal(KEY, header, wire.ping(n, machine.id))
        received_bytes += len(data)
        actions = machine.handle(machine.now_ms, DatagramReceived(address_of(0), data))
        answered_bytes += sum(len(action.data) for action in actions)  # type: ignore[union-attr]
    assert 0 < answered_bytes <= received_bytes / 10


def test_a_peer_with_our_own_address_is_logged_once() -> None:
    fleet = Fleet(0)
    fleet.add(settings(1, [2]), 1)
    config = fleet.member(1).config
    fleet.member(1).give(PeersChanged((("s2", config.listen),)))
    fleet.run(30)
    member = fleet.member(1)
    assert [line.event for line in member.logged] == ["own address"]
    assert member.machine.dropped["self"] > 3 and member.machine.up_count == 0


def test_keys_are_rotated_during_a_partition() -> None:
    fleet, new_key = converged_fleet(9), b"the key that comes next"
    fleet.network.is_partitioned = lambda a, b: (a < 3) != (b < 3)  # type: ignore[operator]
    for keys in ((KEY, new_key), (new_key, KEY)):
        for i in range(3, 9):
            fleet.member(i).give(KeysChanged(keys))
        fleet.run(20)
    fleet.network.is_partitioned = lambda a, b: False
    for i in range(3):
        fleet.member(i).give(KeysChanged((KEY, new_key)))  # one step behind the others
    assert fleet.agree(120) < 120
    for keys in ((new_key, KEY), (new_key,)):
        for member in fleet.members:
            member.give(KeysChanged(keys))
    change_count = len(fleet.changes)
    fleet.run(60)
    assert not fleet.incorrect_views() and not [
        c for _, _, c in fleet.changes[change_count:] if c.new_state is FAILED
    ]


# -- name conflicts


@pytest.mark.parametrize("learned", [True, False])
def test_of_two_processes_with_one_name_the_newer_one_keeps_it(learned: bool) -> None:
    fleet = converged_fleet(8, learn_addresses=learned)
    older = fleet.member(3)
    fleet.run(10)
    duplicate = settings(3, range(8), learn_addresses=learned)._replace(
        listen=address_of(30), advertise=address_of(30) if learned else None
    )
    fleet.add(duplicate, 30)
    newer = fleet.members[-1]
    if not learned:  # some members are configured with the newer process's address
        for i in (0, 1, 2):
            peers = tuple(
                (name, address_of(30) if name == "s3" else address) for name, address in fleet.member(i).config.peers
            )
            fleet.member(i).give(PeersChanged(peers))
    fleet.run(60)
    assert older.machine.displaced and not newer.machine.displaced
    assert "name" in {line.event for line in older.logged}
    assert any(
        "two processes" in line.details or "older" in line.details for m in fleet.live_members() for line in m.logged
    )
    # Members that send to the newer process's address know it; the other static addresses are not served any more.
    records = [
        member.machine.members[member_id("s3")]
        for member in fleet.live_members()
        if member is not newer and (learned or member.i in (0, 1, 2))
    ]
    assert all(record.state is ALIVE and record.instance == newer.machine.instance for record in records)


def test_stale_records_of_an_earlier_process_displace_nobody() -> None:
    fleet = converged_fleet(8)
    fleet.network.hold(0, 1)
    fleet.restart(3)
    fleet.run(3)  # the record of this short-lived process is queued in the held link
    fleet.restart(3)
    fleet.run(60)
    fleet.network.release(0, 1)
    assert fleet.agree(60) < 60
    assert not fleet.member(3).machine.displaced


def test_only_repeated_newer_records_of_our_name_displace_us() -> None:
    fleet = converged_fleet(5)
    fleet.run(20)
    machine = fleet.member(1).machine
    for n in range(3):  # each above our incarnation at that time, as only a running process can, and younger than us
        incarnation = machine.incarnation
        send_forged(fleet, "s0", wire.record("s1", ALIVE, incarnation + 1, 4242, 0, None), 1)
        assert machine.displaced == (n == 2)
        assert machine.displaced or machine.incarnation == incarnation + 2


def test_an_older_process_of_our_name_never_displaces_us() -> None:
    fleet = converged_fleet(5)
    fleet.run(20)
    machine = fleet.member(1).machine
    for _ in range(10):
        send_forged(fleet, "s0", wire.record("s1", ALIVE, machine.incarnation + 1, 4242, 10**6, None), 1)
    assert not machine.displaced


# -- broadcasts and limits


def test_a_broadcast_is_delivered_once_to_every_member() -> None:
    fleet = converged_fleet(20)
    fleet.network.common.duplication = 0.3
    for n in range(10):
        fleet.say(n, 5, b"drain %d" % n)
        fleet.run(0.2)
    fleet.run(10)
    for member in fleet.members:
        deliveries = Counter((broadcast.origin, broadcast.data) for broadcast in member.received_broadcasts)
        assert set(deliveries.values()) == {1}
        assert len(deliveries) == 10 - (member.i < 10)


def test_a_broadcast_of_an_unknown_instance_is_dropped() -> None:
    fleet = converged_fleet(4)
    frames = wire.broadcast(member_id("s2"), 12345, 1, 5, b"old") + wire.broadcast(
        member_id("nobody"), 1, 1, 5, b"who"
    )
    send_forged(fleet, "s0", frames, 1)
    assert fleet.member(1).machine.dropped["word of nobody"] == 2 and not fleet.member(1).received_broadcasts


def test_sent_bytes_stay_within_the_rate_limit() -> None:
    fleet = Fleet(30, learn_addresses=True, seeds=3, bytes_per_s=6000.0)
    fleet.run(20)
    for n in range(200):
        fleet.say(n % 30, 1, bytes(60))
    fleet.network.is_partitioned = lambda a, b: (a < 15) != (b < 15)  # type: ignore[operator]
    fleet.run(30)
    fleet.network.is_partitioned = lambda a, b: False
    fleet.run(30)
    assert max(fleet.worst.values()) <= 2 * 6000.0
    for member in fleet.members:
        bytes_by_second = [fleet.worst[member.i, second] for second in range(80)]
        assert max(sum(bytes_by_second[start : start + 10]) for start in range(70)) <= 11 * 6000.0


def test_a_fleet_works_with_datagrams_of_256_bytes() -> None:
    fleet = Fleet(20, learn_addresses=True, seeds=3, max_datagram_bytes=256)
    captured = capture_datagrams(fleet)
    fleet.run(5)
    assert fleet.agree(120) < 120
    fleet.member(3).kill()
    assert fleet.agree(120) < 120
    assert max(len(data) for _, data in captured) <= 256


def test_the_same_events_give_the_same_actions() -> None:
    def run_machine() -> list[object]:
        machine = MembershipMachine(settings(0, range(5)), 1 << 16, 9, 4, 0.0)
        actions: list[object] = []
        for n in range(400):
            actions += machine.handle(n * 50.0, Tick())
        return actions

    assert run_machine() == run_machine() and len(run_machine()) > 20


@pytest.mark.parametrize(
    ("setting", "owner", "action"),
    [("sync_interval_ms", AntiEntropy, "sync"), ("retry_interval_ms", FailureDetector, "retry_absent")],
)
def test_the_least_interval_does_not_repeat_a_timer_at_once(
    monkeypatch: pytest.MonkeyPatch, setting: str, owner: type, action: str
) -> None:
    expired = 0
    perform = getattr(owner, action)

    def count(self: object) -> None:
        nonlocal expired
        expired += 1
        assert expired <= 5000  # of two members in two seconds
        perform(self)

    monkeypatch.setattr(owner, action, count)
    fleet = Fleet(2, **{setting: 1e-9})  # type: ignore[arg-type] # `sync` and `retry` need only be above 0
    fleet.run(2.0)
    assert expired > 1000
