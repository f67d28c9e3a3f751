"""`python -m bench.members` still runs against the membership code and the fleet of the explorer that it uses."""

from bench.members import WARM_UP_S, measure_detection, measure_partition_heal, settled_fleet
from gateusher.membership.interface import MemberState

MEMBERS = 6


def test_every_member_of_a_settled_fleet_is_alive_and_verified_after_the_warm_up() -> None:
    fleet = settled_fleet(MEMBERS, seed=1)
    for process in fleet.members:
        assert len(process.machine.members) == MEMBERS - 1  # without its own record
    fleet.run(WARM_UP_S)
    for process in fleet.members:
        others = process.machine.members.values()
        assert all(m.state is MemberState.ALIVE and m.replay_window for m in others)


def test_a_failure_is_detected_and_no_live_member_is_declared_failed() -> None:
    size, loss, idle_bytes_per_s, suspicions, false_failures, first_s, all_s, _ = measure_detection(
        MEMBERS, 0.05, seed=1
    ).split()
    assert (size, loss, false_failures) == (str(MEMBERS), "5%", "0")
    assert float(idle_bytes_per_s) > 0 and float(suspicions) < 10
    assert 0 < float(first_s) <= float(all_s) < 45


def test_suspicions_are_counted_where_many_datagrams_are_lost() -> None:
    suspicions_per_min = float(measure_detection(MEMBERS, 0.3, seed=1).split()[3])
    assert suspicions_per_min > 0


def test_a_partition_heals() -> None:
    size, healed_s, max_bytes = measure_partition_heal(MEMBERS, seed=1).split()
    assert size == str(MEMBERS) and float(healed_s) < 300 and int(max_bytes) > 0
