"""Cost of membership and time until its views are correct, in virtual time by size and loss, and of an idle process.

    python -m bench.members [--sizes 10,100,400] [--seed N]

All figures are with the default settings.  Their probe period is one second, so that detection times in seconds
compare with those in periods that SWIM and Lifeguard publish.  Bytes per second are those that one member sends.
"""

from __future__ import annotations

import argparse
import statistics
import time

from checker.members import Fleet, MemberProcess, address_of, settings
from gateusher.membership.gossip_queue import GossipQueue
from gateusher.membership.interface import DatagramReceived, MemberState, Tick, member_id
from gateusher.membership.member import Member
from gateusher.membership.replay_window import ReplayWindow

WARM_UP_S = 5.0
IDLE_S = 30.0  # over which the traffic and the false suspicions of a settled fleet are counted
DETECTION_S = 45.0  # of virtual time after each failure
PARTITION_S = 60.0
MAX_HEAL_S = 300.0
IDLE_PROCESS_MS = 60_000.0

# The gossip queue at the size that it has when a partition heals.
QUEUED_UPDATES = 2500
UPDATE_BYTES = 20
QUEUE_ROUNDS = 300
DATAGRAM_BYTES = 1150
UPDATES_PER_DATAGRAM = 57
MAX_TRANSMISSIONS = 16


def introduce_all(fleet: Fleet) -> None:
    """Make every member known to all others, as alive and verified, so that joining is not part of what is measured.

    Members that are known already, such as configured peers, keep their state: they are verified during the warm-up.
    """
    machines = [o.machine for o in fleet.members]
    for one in fleet.members:
        for other in machines:
            if other is not one.machine and other.id not in one.machine.members:
                member = Member(other.id, other.settings.name, other.settings.listen, configured=False)
                one.machine.members[other.id] = member
                member.instance, member.replay_window = other.instance, ReplayWindow(0)
                one.machine.table.set_state(member, MemberState.ALIVE, other.incarnation)
        one.machine.context.gossip_queue = GossipQueue(one.machine.settings.retransmit_factor)
        one.machine.context.actions.clear()


def settled_fleet(count: int, seed: int) -> Fleet:
    """Start a fleet whose members all know each other."""
    fleet = Fleet(count, seed=seed, seeds=3, learn_addresses=True, start_within=10.0)
    fleet.run(0.02)
    introduce_all(fleet)
    return fleet


def measure_detection(count: int, loss: float, seed: int) -> str:
    """Measure a settled fleet and return a row of the table.

    The row holds the bytes per second of an idle member, false suspicions per member and minute, the members that
    were falsely declared failed, when a real failure was first suspected and when all others had detected it (s),
    and the most bytes that a member sent in a second.
    """
    fleet = settled_fleet(count, seed)
    fleet.network.common.loss = loss
    fleet.run(WARM_UP_S)
    fleet.changes.clear()
    bytes_before, started_at_ms = sum(fleet.bytes.values()), fleet.clock.now
    fleet.run(IDLE_S)
    idle_bytes_per_s = (sum(fleet.bytes.values()) - bytes_before) / count / IDLE_S
    suspicions = sum(c.new_state is MemberState.SUSPECT for _, i, c in fleet.changes if c.suspected_by == f"s{i}")
    false_failures = len({c.name for _, _, c in fleet.changes if c.new_state is MemberState.FAILED})
    first_suspected_s, all_detected_s = [], []
    for i in range(1, 4):
        failed_at_ms = fleet.clock.now
        fleet.member(i).kill()
        fleet.run(DETECTION_S)
        detected = fleet.detected(f"s{i}", MemberState.FAILED, failed_at_ms)
        suspected = fleet.detected(f"s{i}", MemberState.SUSPECT, failed_at_ms)
        first_suspected_s.append(suspected[0] if suspected else float("nan"))
        all_detected_s.append(detected[-1] if len(detected) >= count - i - 1 else float("inf"))
    max_bytes_in_s = max(size for (_, second), size in fleet.worst.items() if second > started_at_ms // 1000)
    return (
        f"{count:5}  {loss:4.0%}  {idle_bytes_per_s:7.0f}  {suspicions / count / (IDLE_S / 60):8.3f}  "
        f"{false_failures:6}  {statistics.median(first_suspected_s):7.1f}  {statistics.median(all_detected_s):7.1f}  "
        f"{max_bytes_in_s:7}"
    )


def measure_partition_heal(count: int, seed: int) -> str:
    """Partition a fleet into halves, heal the partition, and return a row of the table.

    The row holds the seconds until all views are correct again, and the most bytes that a member sent in a second.
    """
    fleet = settled_fleet(count, seed)
    fleet.watch = False
    fleet.network.is_partitioned = lambda a, b: (a < count // 2) != (b < count // 2)  # type: ignore[operator]
    fleet.run(PARTITION_S)
    fleet.network.is_partitioned = lambda a, b: False
    fleet.worst.clear()
    healed_s = fleet.agree(MAX_HEAL_S)
    return f"{count:5}  {healed_s:6.0f}  {max(fleet.worst.values()):7}"


def measure_idle_process(count: int) -> str:
    """Run one process that knows `count` members for a minute of virtual time, and return a row of the table.

    The row holds its CPU time as a share of one core, and the bytes and the datagrams that it sends per second.
    """
    fleet = Fleet(0)
    fleet.add(settings(0, [], learn_addresses=True), 0)
    process: MemberProcess = fleet.members[0]
    machine = process.machine
    for i in range(1, count):
        key = member_id(f"s{i}")
        member = machine.members[key] = Member(key, f"s{i}", address_of(i), False, instance=i)
        machine.table.set_state(member, MemberState.ALIVE, 1)
    machine.context.gossip_queue = GossipQueue(4)
    actions = 0
    began = time.process_time()
    now = machine.now_ms
    while now < IDLE_PROCESS_MS and count > 1:
        now = max(now, machine.due_ms)
        actions += len(machine.handle(now, Tick()))
        # No member answers here.  Each is set back to alive, so that none is suspected.
        for member in machine.members.values():
            if member.suspicion:
                machine.table.set_state(member, MemberState.ALIVE, member.incarnation)
        machine.context.health_penalty = 0
        machine.handle(now, DatagramReceived(address_of(1), b"x" * 80))
    cpu_s = time.process_time() - began
    seconds = IDLE_PROCESS_MS / 1000
    sent = machine.sent["bytes"]
    return f"{count:5}  {cpu_s / seconds:8.4%}  {sent / seconds:7.0f}  {actions / seconds:6.2f}"


def measure_gossip_queue() -> str:
    """Compare the gossip queue, which keeps levels, with a list that is sorted for each datagram."""
    updates = {i: bytes(UPDATE_BYTES) for i in range(QUEUED_UPDATES)}
    gossip_queue = GossipQueue(4)
    for key, update in updates.items():
        gossip_queue.put(key, update)
    began = time.process_time()
    for _ in range(QUEUE_ROUNDS):
        gossip_queue.take(DATAGRAM_BYTES, 5000)
    queue_s = time.process_time() - began
    transmissions = dict.fromkeys(updates, 0)
    began = time.process_time()
    for _ in range(QUEUE_ROUNDS):
        for key in sorted(transmissions, key=transmissions.__getitem__)[:UPDATES_PER_DATAGRAM]:
            transmissions[key] += 1
            if transmissions[key] >= MAX_TRANSMISSIONS:
                del transmissions[key]
    sorted_s = time.process_time() - began
    return (
        f"queue of {QUEUED_UPDATES}: by levels {queue_s / QUEUE_ROUNDS * 1e6:.0f} us a take, "
        f"sorted {sorted_s / queue_s:.1f} times that"
    )


def main() -> None:
    """Print all tables."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="10,100,400")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    sizes = [int(size) for size in args.sizes.split(",")]
    print(measure_gossip_queue())
    print("members  of one core  bytes/s  datagrams/s (idle)")
    for size in (2, 10, 200, 5000):
        print(measure_idle_process(size), flush=True)
    print(" size  loss  bytes/s  doubts/min  failed  first s  all s  worst second")
    for size in sizes:
        for loss in (0.0, 0.05, 0.3):
            print(measure_detection(size, loss, args.seed), flush=True)
    print(" size  heal s  worst second")
    for size in sizes:
        print(measure_partition_heal(size, args.seed), flush=True)


if __name__ == "__main__":
    main()
