"""What membership costs and how soon it is right: in virtual time by size and loss, and on the idle process.

`python -m bench.members [--sizes 10,100,400] [--idle]`.  Detection is in periods of the protocol, so that it compares
with what SWIM and Lifeguard publish; bytes a second are a member's, of the default settings.
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


def acquaint(fleet: Fleet) -> None:
    """Have all know and have proven all, as after a long time together: what follows measures that, not the join."""
    machines = [o.machine for o in fleet.members]
    for one in fleet.members:
        for other in machines:
            if other is not one.machine and other.id not in one.machine.members:
                member = Member(other.id, other.settings.name, other.settings.listen, False, started_at=0.0)
                one.machine.members[other.id] = member
                member.instance, member.replay_window = other.instance, ReplayWindow(0)
                one.machine.table.set_state(member, MemberState.ALIVE, other.incarnation)
        one.machine.context.gossip_queue = GossipQueue(one.machine.settings.retransmit_factor)
        one.machine.context.actions.clear()


def by_size(count: int, loss: float, seed: int) -> str:
    """Of a settled fleet: idle bytes, false suspicions in a minute, when a death is found first and by all."""
    fleet = Fleet(count, seed=seed, seeds=3, learn_addresses=True, start_within=10.0)
    fleet.run(0.02)
    acquaint(fleet)
    fleet.network.common.loss = loss
    fleet.run(5)
    fleet.changes.clear()
    before, since = sum(fleet.bytes.values()), fleet.clock.now
    fleet.run(30)
    idle = (sum(fleet.bytes.values()) - before) / count / 30
    doubts = sum(c.after is MemberState.SUSPECT for _, i, c in fleet.changes if c.suspected_by == f"s{i}")
    false = len({c.name for _, _, c in fleet.changes if c.after is MemberState.FAILED})
    first, every = [], []
    for i in range(1, 4):
        died = fleet.clock.now
        fleet.member(i).kill()
        fleet.run(45)
        found = fleet.detected(f"s{i}", MemberState.FAILED, died)
        suspected = fleet.detected(f"s{i}", MemberState.SUSPECT, died)
        first.append(suspected[0] if suspected else float("nan"))
        every.append(found[-1] if len(found) >= count - i - 1 else float("inf"))
    worst = max(v for (_, s), v in fleet.worst.items() if s > since // 1000)
    return (
        f"{count:5}  {loss:4.0%}  {idle:7.0f}  {doubts / count / 0.5:8.3f}  {false:6}  "
        f"{statistics.median(first):7.1f}  {statistics.median(every):7.1f}  {worst:7}"
    )


def heal(count: int, seed: int, apart_s: float = 60.0) -> str:
    """Halves that were apart: seconds until all views are true again, and the most bytes one sent in a second."""
    fleet = Fleet(count, seed=seed, seeds=3, learn_addresses=True, start_within=10.0)
    fleet.run(0.02)
    acquaint(fleet)
    fleet.watch = False
    fleet.network.is_partitioned = lambda a, b: (a < count // 2) != (b < count // 2)  # type: ignore[operator]
    fleet.run(apart_s)
    fleet.network.is_partitioned = lambda a, b: False
    fleet.worst.clear()
    took = fleet.agree(300)
    return f"{count:5}  {took:6.0f}  {max(fleet.worst.values()):7}"


def idle(count: int) -> str:
    """One process among so many, for a minute of its own time: CPU as a share of a core, memory of its table."""
    fleet = Fleet(0)
    fleet.add(settings(0, [], learn_addresses=True), 0)
    one: MemberProcess = fleet.members[0]
    machine = one.machine
    for i in range(1, count):
        key = member_id(f"s{i}")
        member = machine.members[key] = Member(key, f"s{i}", address_of(i), False, instance=i)
        machine.table.set_state(member, MemberState.ALIVE, 1)
    machine.context.gossip_queue = GossipQueue(4)
    pings = 0
    began = time.process_time()
    now = machine.now_ms
    while now < 60000.0 and count > 1:
        now = max(now, machine.due_ms)
        acts = machine.handle(now, Tick())
        pings += len(acts)
        for member in machine.members.values():  # nobody answers here: each counts as heard, so that none is doubted
            if member.suspicion:
                machine.table.set_state(member, MemberState.ALIVE, member.incarnation)
        machine.context.health_penalty = 0
        machine.handle(now, DatagramReceived(address_of(1), b"x" * 80))
    took = time.process_time() - began
    return f"{count:5}  {took / 60:8.4%}  {machine.sent['bytes'] / 60:7.0f}  {pings / 60:6.2f}"


def queue(count: int = 2500, rounds: int = 300) -> str:
    """The queue of news by levels beside a plain list that is sorted at each take, at a heal's size."""
    frames = {i: bytes(20) for i in range(count)}
    news = GossipQueue(4)
    for key, frame in frames.items():
        news.put(key, frame)
    began = time.process_time()
    for _ in range(rounds):
        news.take(1150, 5000)
    ours = time.process_time() - began
    counts = dict.fromkeys(frames, 0)
    began = time.process_time()
    for _ in range(rounds):
        for key in sorted(counts, key=counts.__getitem__)[:57]:
            counts[key] += 1
            if counts[key] >= 16:
                del counts[key]
    plain = time.process_time() - began
    return f"queue of {count}: by levels {ours / rounds * 1e6:.0f} us a take, sorted {plain / ours:.1f} times that"


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="10,100,400")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    sizes = [int(size) for size in args.sizes.split(",")]
    print(queue())
    print("members  of one core  bytes/s  datagrams/s (idle)")
    for size in (2, 10, 200, 5000):
        print(idle(size), flush=True)
    print(" size  loss  bytes/s  doubts/min  failed  first s  all s  worst second")
    for size in sizes:
        for loss in (0.0, 0.05, 0.3):
            print(by_size(size, loss, args.seed), flush=True)
    print(" size  heal s  worst second")
    for size in sizes:
        print(heal(size, args.seed), flush=True)


if __name__ == "__main__":
    main()
