"""Simulated fleets in virtual time: holders after failures, and writes that the store rejected by their fence."""

import pytest

from checker.holders import Holders, Process, fail_over
from gateusher.leases.interface import Acquire, SaveCheckpoint, VotersChanged, Withdraw, Yield
from gateusher.leases.task_lease import State

LEASE_MS = 2000.0


def new_fleet(voters: int = 3, others: int = 2, seed: int = 1, act_ms: float = 0.0, **settings: object) -> Holders:
    fleet = Holders(voters, others, seed, act_ms, lease_ms=LEASE_MS, **settings)
    fleet.run(1.5 * LEASE_MS)
    return fleet


def acquire(fleet: Holders, *names: str, duty: str = "x") -> str:
    for name in names or [n for n in fleet.processes if n.startswith("s")]:
        fleet.processes[name].want(Acquire(duty))
    fleet.until_held(duty, 3 * LEASE_MS)
    return fleet.holders(duty)[0]


def assert_writes_in_fence_order(fleet: Holders, duty: str = "x") -> None:
    """Assert that fences rise, each belongs to one process, and writes were accepted in fence order."""
    fences = [f for _, d, f, _ in fleet.holds if d == duty]
    assert fences == sorted(set(fences))
    holder_by_fence = {f: who for _, d, f, who in fleet.holds if d == duty}
    writes = [(f, who) for _, d, f, who in fleet.store.taken if d == duty]
    assert writes == sorted(writes, key=lambda a: a[0]) and all(holder_by_fence[f] == who for f, who in writes)


@pytest.mark.parametrize("cause", ["killed", "stopped", "cut off"])
def test_a_failed_holder_is_replaced_within_a_lease_and_an_election(cause: str) -> None:
    durations = [fail_over(cause, seed) for seed in range(12)]
    assert min(durations) > 0.5 and max(durations) < 1.3  # the minimum is the rest of the lease


@pytest.mark.parametrize("cause", ["planned", "given"])
def test_a_released_lease_is_acquired_without_waiting_for_its_expiry(cause: str) -> None:
    assert max(fail_over(cause, seed) for seed in range(12)) < 0.05


def test_the_holder_keeps_the_lease_when_one_voter_fails() -> None:
    assert fail_over("voter gone", 1) == 0.0


def test_a_yielding_holder_waits_a_lease_and_then_reacquires_if_nobody_else_does() -> None:
    fleet = new_fleet()
    holder = acquire(fleet)
    fleet.processes[holder].want(Yield("x"))
    fleet.until_held("x", LEASE_MS, holder)
    fleet.run(LEASE_MS)
    assert holder not in fleet.holders("x")
    (alone,) = fleet.holders("x")
    for name in ("s1", "s2"):
        if name != alone:
            fleet.processes[name].want(Withdraw("x"))
    fleet.processes[alone].want(Yield("x"))
    fleet.run(0.9 * LEASE_MS)
    assert fleet.holders("x") == []
    assert fleet.until_held("x", LEASE_MS) > 0


def test_only_the_fence_rejects_a_holder_suspended_between_lease_check_and_write() -> None:
    refused = 0
    for seed in range(20):
        fleet = new_fleet(seed=seed, act_ms=10.0)
        holder = acquire(fleet)
        fleet.run(LEASE_MS + fleet.network.rng.random() * 50)
        fleet.processes[holder].stop()
        fleet.run(5 * LEASE_MS)
        fleet.processes[holder].resume()
        fleet.run(5 * LEASE_MS)
        assert_writes_in_fence_order(fleet)
        assert len(fleet.holders("x")) == 1
        refused += len(fleet.store.refused)
        assert all(who == holder for _, _, _, who in fleet.store.refused)
    assert refused >= 10  # writes that a lease without a fence would have accepted


@pytest.mark.parametrize("inbound_cut", [True, False])
def test_a_holder_with_a_one_way_partition_is_replaced(inbound_cut: bool) -> None:
    fleet = new_fleet(act_ms=10.0)
    holder = acquire(fleet)
    for other in fleet.processes:
        if other != holder:
            fleet.network.link(*((other, holder) if inbound_cut else (holder, other))).cut = True
    fleet.run(6 * LEASE_MS)
    (new,) = fleet.holders("x")
    assert new != holder
    assert_writes_in_fence_order(fleet)
    for link in fleet.network.links.values():
        link.cut = False
    fleet.run(3 * LEASE_MS)
    assert fleet.holders("x") == [new]  # the recovered process does not replace the holder


def test_a_voter_that_reaches_a_candidate_but_not_the_holder_causes_no_change() -> None:
    fleet = new_fleet()
    holder = acquire(fleet, "s1")
    fleet.network.link("s1", "v1").cut = fleet.network.link("v1", "s1").cut = True
    fleet.processes["s2"].want(Acquire("x"))
    fleet.run(20 * LEASE_MS)
    assert fleet.holders("x") == [holder] and len(fleet.holds) == 1
    fleet.network.link("s1", "v1").cut = fleet.network.link("v1", "s1").cut = False
    fleet.run(3 * LEASE_MS)
    assert fleet.holders("x") == [holder] and len(fleet.holds) == 1
    # v1 granted the task again, under the same fence.
    assert "v1" in fleet.processes["s1"].candidate.tasks["x"].grants


def test_a_partitioned_minority_does_not_hold_past_its_lease() -> None:
    fleet = new_fleet(5, 3, act_ms=10.0)
    holder = acquire(fleet)
    fleet.cut([holder, "v1", "v2"])
    fleet.run(0.99 * LEASE_MS)
    fleet.run(3 * LEASE_MS)
    assert len(fleet.holders("x")) == 1 and holder not in fleet.holders("x")
    fleet.heal()
    fleet.run(3 * LEASE_MS)
    assert_writes_in_fence_order(fleet)
    assert len(fleet.holders("x")) == 1


def test_a_flapping_link_causes_few_changes_of_holder() -> None:
    fleet = new_fleet(act_ms=10.0)
    holder = acquire(fleet)
    for _ in range(40):
        for voter in ("v1", "v2"):
            fleet.network.link(holder, voter).cut ^= True
        fleet.run(0.6 * LEASE_MS)
    assert_writes_in_fence_order(fleet)
    assert len(fleet.holds) <= 6
    for link in fleet.network.links.values():
        link.cut = False
    fleet.run(6 * LEASE_MS)
    assert len(fleet.holders("x")) == 1


def test_the_holder_keeps_the_lease_when_a_majority_restarts_at_once() -> None:
    fleet = new_fleet(5, 2)
    holder = acquire(fleet)
    fleet.run(LEASE_MS)
    for voter in ("v1", "v2", "v3"):
        fleet.processes[voter].kill()
        fleet.processes[voter].begin()
    fleet.run(4 * LEASE_MS)
    assert fleet.holders("x") == [holder] and len(fleet.holds) == 1


def test_a_voter_in_a_restart_loop_with_and_without_its_state() -> None:
    for keeps_state in (True, False):
        fleet = new_fleet(3, 2, act_ms=10.0)
        acquire(fleet)
        for _ in range(25):
            fleet.processes["v3"].kill()
            fleet.processes["v3"].begin(keeps_state)
            fleet.run(0.3 * LEASE_MS)
        assert_writes_in_fence_order(fleet)
        fleet.run(3 * LEASE_MS)
        # Without its state the voter grants only fences above all reported ones, so the holder raises its fence.
        assert len(fleet.holders("x")) == 1 and len({who for _, _, _, who in fleet.holds}) == 1
        assert len(fleet.holds) == 1 if keeps_state else len(fleet.holds) <= 3
        voter = fleet.processes["v3"].voter
        assert voter is not None and voter.can_vote


def test_lost_last_records_on_two_of_five_voters() -> None:
    for seed in range(15):
        fleet = new_fleet(5, 3, seed, act_ms=10.0)
        first = acquire(fleet)
        fleet.processes[first].want(Yield("x"))
        fleet.until_held("x", LEASE_MS, first)
        second = fleet.holders("x")[0]
        fleet.processes[second].stop()
        for voter in ("v1", "v2"):
            process = fleet.processes[voter]
            process.kill()
            # Records acknowledged since the first holder's lease are lost, and the log doesn't look torn.
            process.records = process.records[:-1]
            process.begin()
        fleet.until_held("x", 4 * LEASE_MS, second)
        fleet.processes[second].resume()
        fleet.run(4 * LEASE_MS)
        assert_writes_in_fence_order(fleet)
        assert len(fleet.holders("x")) == 1


def test_a_voter_without_state_votes_only_after_enough_reports_of_other_voters() -> None:
    fleet = new_fleet(5, 1)
    process = fleet.processes["v3"]
    fleet.cut(["v3", "v4"])
    process.kill()
    process.begin(whole=False)
    fleet.run(4 * LEASE_MS)
    assert process.voter is not None and not process.voter.can_vote  # the report of one of five is not enough
    process.kill()
    process.begin()  # its folder is clean, but still lacks the lost records
    fleet.run(4 * LEASE_MS)
    assert not process.voter.can_vote
    fleet.cut(["v3", "v4", "v5"])
    fleet.run(4 * LEASE_MS)
    assert not process.voter.can_vote
    fleet.heal()
    fleet.run(LEASE_MS)
    assert process.voter.can_vote


@pytest.mark.parametrize("durable", [True, False])
def test_fences_keep_rising_when_all_voters_lose_their_state_at_once(durable: bool) -> None:
    fleet = new_fleet(3, 2, durable=durable)
    acquire(fleet)
    before = fleet.holds[-1][2]
    for process in fleet.processes.values():
        process.kill()
    for process in fleet.processes.values():
        process.begin(whole=False)
    fleet.processes["s2"].want(Acquire("x"))
    fleet.run(4 * LEASE_MS)
    assert len(fleet.holders("x")) == 1 and fleet.holds[-1][2] > before
    assert_writes_in_fence_order(fleet)


def test_the_holder_raises_its_fence_when_diskless_voters_restart_in_turn() -> None:
    fleet = new_fleet(3, 2, durable=False, act_ms=10.0)
    holder = acquire(fleet)
    for voter in ("v1", "v2", "v3", "v1"):
        fleet.processes[voter].kill()
        fleet.processes[voter].begin()
        fleet.run(2.5 * LEASE_MS)
        assert fleet.holders("x") == [holder]
    assert len({f for _, _, f, who in fleet.holds if who == holder}) > 1
    assert_writes_in_fence_order(fleet)


@pytest.mark.parametrize(("drifting", "rate"), [("holder", 0.9), ("voters", 1.1), ("holder", 0.99), ("voters", 1.01)])
def test_clock_rates_within_and_beyond_the_assumed_drift(drifting: str, rate: float) -> None:
    """Beyond the assumed drift two may hold at once; the store still accepts writes in fence order only."""
    overlaps = 0
    for seed in range(10):
        fleet = new_fleet(3, 2, seed, act_ms=5.0)
        holder = acquire(fleet)
        fleet.run(LEASE_MS)
        for process in fleet.processes.values():
            if (process.name == holder) if drifting == "holder" else process.voter:
                process.offset += fleet.clock.now * (process.rate - rate)
                process.rate = rate
        fleet.run(2 * LEASE_MS)
        fleet.cut([holder])
        other = "s1" if holder == "s2" else "s2"
        for _ in range(600):
            fleet.processes[other].want(Withdraw("x"), Acquire("x"))  # requests the task as early as it can
            fleet.run(5.0)
            overlaps += len(fleet.holders("x")) > 1
        assert_writes_in_fence_order(fleet)
    assert (overlaps > 0) is (rate in (0.9, 1.1))


def test_a_resumed_process_detects_its_expired_lease_before_any_event() -> None:
    fleet = new_fleet()
    holder = acquire(fleet)
    process = fleet.processes[holder]
    process.stop()
    fleet.run(1.2 * LEASE_MS)
    process.stopped = False  # running again, and no event was handled yet
    assert process.candidate.valid_lease("x", process.time()) is None


def test_delayed_and_duplicated_messages_of_an_earlier_lease_are_ignored() -> None:
    fleet = new_fleet(act_ms=10.0)
    delayed: list[tuple[str, str, bytes]] = []
    carry = fleet.carry

    def record(sender, action):  # type: ignore[no-untyped-def]
        delayed.append((sender.name, action.to, action.data))
        carry(sender, action)

    fleet.carry = record  # type: ignore[method-assign]
    holder = acquire(fleet)
    fleet.run(LEASE_MS)
    fleet.carry = carry  # type: ignore[method-assign]
    fleet.processes[holder].kill()
    fleet.until_held("x", 3 * LEASE_MS, holder)
    fleet.run(30 * LEASE_MS)
    holds = len(fleet.holds)
    for sender, to, data in delayed * 2:
        process = fleet.processes[to]
        process.arrive(lambda p=process, s=sender, d=data: p.came(s, d))  # type: ignore[misc]
    fleet.run(10 * LEASE_MS)
    assert len(fleet.holds) == holds and len(fleet.holders("x")) == 1
    assert_writes_in_fence_order(fleet)


def test_a_voter_distinguishes_two_processes_of_the_same_name() -> None:
    fleet = new_fleet()
    holder = acquire(fleet, "s1")
    duplicate = Process(fleet, "s1")  # from now on messages to s1 arrive here; the first process is not notified
    fleet.processes["s1"] = duplicate
    duplicate.up()
    duplicate.want(Acquire("x"))
    first = fleet.holds[0][2]
    fleet.run(0.5 * LEASE_MS)
    assert fleet.holders("x") == []  # sharing the name gives the second process no lease
    fleet.run(3 * LEASE_MS)
    assert fleet.holders("x") == [holder] and fleet.holds[-1][2] > first


def test_ten_thousand_idle_tasks_send_no_more_messages_than_one() -> None:
    def idle(count: int) -> int:
        fleet = new_fleet(3, 1)
        process = fleet.processes["s1"]
        for i in range(count):
            process.want(Acquire(f"duty-{i}"))
        fleet.run(2 * LEASE_MS)
        assert sum(d.state is State.HELD for d in process.candidate.tasks.values()) == count
        before = fleet.sent["messages"]
        fleet.run(10 * LEASE_MS)
        return fleet.sent["messages"] - before

    assert idle(10_000) == idle(1) > 0


def test_a_voter_limited_to_ten_tasks_discards_those_not_held() -> None:
    fleet = new_fleet(3, 1, max_remembered_tasks=10, wall=-(10**15))  # so that fences depend on stored state alone
    process = fleet.processes["s1"]
    for i in range(40):
        process.want(Acquire(f"duty-{i}"))
        fleet.until_held(f"duty-{i}", LEASE_MS)
        if i >= 5:
            process.want(Withdraw(f"duty-{i - 5}"))
            fleet.run(50.0)
    voter = fleet.processes["v1"].voter
    assert voter is not None and len(voter.state.grants) <= 10
    process.begin()  # a new candidate, without state from the first lease
    process.want(Acquire("duty-0"))
    fleet.until_held("duty-0", 2 * LEASE_MS)
    assert_writes_in_fence_order(fleet, "duty-0")
    assert len([h for h in fleet.holds if h[1] == "duty-0"]) == 2


def test_the_next_holder_gets_the_last_saved_checkpoint_after_any_failure() -> None:
    for seed in range(15):
        fleet = new_fleet(5, 3, seed)
        saved: list[bytes] = []
        for turn in range(6):
            holder = acquire(fleet)
            process = fleet.processes[holder]
            assert process.candidate.tasks["x"].checkpoint.value == (saved[-1] if saved else b"")
            value = b"turn %d" % turn
            process.want(SaveCheckpoint("x", value))
            fleet.run(50.0)
            saved.append(value)
            fleet.processes[f"v{1 + (seed + turn) % 5}"].kill()
            process.kill()
            fleet.until_held("x", 4 * LEASE_MS, holder)
            for other in fleet.processes.values():
                if other.dead:
                    other.begin()
            fleet.run(LEASE_MS)


def test_a_checkpoint_survives_the_loss_of_each_voters_state_in_turn() -> None:
    fleet = new_fleet(3, 2)
    holder = acquire(fleet)
    fleet.processes[holder].want(SaveCheckpoint("x", b"kept"))
    fleet.run(LEASE_MS)
    for voter in ("v1", "v2", "v3"):
        fleet.processes[voter].kill()
        fleet.processes[voter].begin(whole=False)
        fleet.run(3 * LEASE_MS)
    assert fleet.holders("x") == [holder]
    fleet.processes[holder].kill()
    fleet.until_held("x", 3 * LEASE_MS, holder)
    assert fleet.processes[fleet.holders("x")[0]].candidate.tasks["x"].checkpoint.value == b"kept"


# -- changes to the set of voters


def change_voters(fleet: Holders, names: list[str], **changes: object) -> None:
    for name in names:
        process = fleet.processes[name]
        settings = process.settings._replace(**changes)  # type: ignore[arg-type]
        process.settings = settings
        if process.voter is None and name in settings.all_voters:
            process.begin()  # a voter from now on, without stored state
        elif process.voter:
            process.act(process.voter.handle(process.time(), VotersChanged(settings)))
        process.want(VotersChanged(settings))


def test_the_set_of_voters_is_replaced_in_two_steps() -> None:
    fleet = new_fleet(3, 8, act_ms=10.0)
    all_names = list(fleet.processes)
    acquire(fleet, "s7", "s8")
    old, new = ("v1", "v2", "v3"), ("s1", "s2", "s3")
    for name in all_names:
        fleet.processes[name].want(Acquire("~voters"))
    fleet.run(2 * LEASE_MS)
    change_voters(fleet, all_names, voters=new, previous_voters=old, epoch=2)
    fleet.processes["s7"].want(Acquire("x"))
    fleet.run(6 * LEASE_MS)
    assert len(fleet.holders("x")) == 1
    change_voters(fleet, all_names, voters=new, previous_voters=(), epoch=3)
    fleet.run(6 * LEASE_MS)
    for name in old:
        fleet.processes[name].kill()
    fleet.run(3 * LEASE_MS)
    assert len(fleet.holders("x")) == 1
    assert_writes_in_fence_order(fleet)


def test_a_partition_that_missed_the_joint_step_does_not_hold_beside_the_new_voters() -> None:
    fleet = new_fleet(3, 8, act_ms=10.0)
    old, new = ("v1", "v2", "v3"), ("s1", "s2", "s3")
    holder = acquire(fleet, "s8")
    behind = [*old, "s8"]
    ahead = [n for n in fleet.processes if n not in behind]
    fleet.cut(behind)
    # No old voter took part in the joint step, so the last step must get no lease, however long it tries.
    change_voters(fleet, ahead, voters=new, previous_voters=old, epoch=2)
    fleet.run(2 * LEASE_MS)
    change_voters(fleet, ahead, voters=new, previous_voters=(), epoch=3)
    fleet.processes["s7"].want(Acquire("x"))
    fleet.run(10 * LEASE_MS)
    assert fleet.holders("x") == [holder]
    fleet.heal()
    change_voters(fleet, behind, voters=new, previous_voters=old, epoch=2)
    fleet.run(8 * LEASE_MS)
    assert_writes_in_fence_order(fleet)
    change_voters(fleet, behind, voters=new, previous_voters=(), epoch=3)
    fleet.run(8 * LEASE_MS)
    assert_writes_in_fence_order(fleet)
    assert len(fleet.holders("x")) == 1
