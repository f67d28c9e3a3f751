"""A fleet of members in virtual time: membership machines that exchange datagrams over a virtual network."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from functools import partial

from gateusher.config.membership import Membership
from gateusher.membership.interface import (
    Action,
    Address,
    Broadcast,
    BroadcastReceived,
    DatagramReceived,
    Event,
    Leave,
    LogEvent,
    MemberChanged,
    MemberState,
    SendDatagram,
    Tick,
    member_id,
)
from gateusher.membership.machine import MembershipMachine
from gateusher.virtual.network import NO_TIMER_MS, Network, Node

KEY = bytes(range(32))
WALL = 10**12  # the wall clocks' time at the start, in ms


def address_of(i: int) -> Address:
    """Return the address of member `i`; no socket is opened."""
    return f"127.{1 + i // 62500}.{i // 250 % 250}.{1 + i % 250}", 7100


def settings(i: int, peers: Iterable[int], **more: object) -> Membership:
    """Return the settings of member `s{i}`, with these peers in its configuration."""
    named = tuple((f"s{k}", address_of(k)) for k in peers if k != i)
    return Membership(
        **{
            "name": f"s{i}",
            "listen": address_of(i),
            "advertise": address_of(i),
            "peers": named,  # type: ignore
            "keys": (KEY,),
            **more,
        }
    )


class MemberProcess(Node):
    """The process of one member, which can be restarted under the same name."""

    def __init__(self, fleet: Fleet, i: int, config: Membership) -> None:
        super().__init__(fleet.network)
        self.fleet, self.i, self.config = fleet, i, config
        self.start_count = 0
        self.received_broadcasts: list[BroadcastReceived] = []
        self.logged: list[LogEvent] = []
        self.begin(WALL + int(self.network.clock.now))

    def begin(self, wall: int) -> None:
        """Start a new process; `wall` is its wall clock, in ms."""
        self.start_count += 1
        self.dead = self.stopped = False
        fleet = self.fleet
        instance = fleet.network.rng.getrandbits(32) or 1
        self.machine = MembershipMachine(
            self.config, wall << 16, instance, fleet.network.rng.getrandbits(64), self.time()
        )
        self._armed_for_ms = NO_TIMER_MS
        self.arm()

    def due(self) -> float:
        """Return when the machine's next timer fires."""
        return self.machine.due_ms

    def tick(self) -> None:
        """Pass a tick to the machine."""
        self.give(Tick())

    def give(self, event: Event) -> None:
        """Pass an event to the machine and apply its actions."""
        self.act(self.machine.handle(self.time(), event))

    def act(self, actions: list[Action]) -> None:
        """Apply the machine's actions."""
        fleet = self.fleet
        for action in actions:
            if isinstance(action, SendDatagram):
                fleet.carry(self, action)
            elif isinstance(action, MemberChanged):
                fleet.changed(self, action)
            elif isinstance(action, BroadcastReceived):
                self.received_broadcasts.append(action)
            elif isinstance(action, LogEvent):
                self.logged.append(action)


class Fleet:
    """`count` members; each has `seeds` of the others in its configuration, or all of them."""

    def __init__(
        self,
        count: int,
        seed: int = 1,
        seeds: int | None = None,
        learn_addresses: bool = False,
        start_within: float = 1000.0,
        **more: object,
    ) -> None:
        self.network = Network(seed)
        self.clock = self.network.clock
        self.rng = self.network.rng
        self.by_address: dict[Address, MemberProcess] = {}
        self.members: list[MemberProcess] = []
        self.bytes: Counter[int] = Counter()  # bytes sent, by member
        self.worst: Counter[tuple[int, int]] = Counter()  # bytes sent, by member and second
        self.changes: list[tuple[float, int, MemberChanged]] = []
        self.watch = True  # whether changes are recorded
        for i in range(count):
            peers = range(count) if seeds is None else self.rng.sample(range(count), min(count, seeds + 1))
            config = settings(i, peers, learn_addresses=learn_addresses, **more)
            self.clock.at(self.rng.random() * start_within, partial(self.add, config, i))

    def add(self, config: Membership, i: int) -> None:
        """Start another member."""
        member = self.by_address[config.listen] = MemberProcess(self, i, config)
        self.members.append(member)

    def member(self, i: int) -> MemberProcess:
        """Return the first process of member `i`."""
        return next(o for o in self.members if o.i == i)

    def carry(self, source: MemberProcess, action: SendDatagram) -> None:
        """Count a datagram and send it over the network."""
        self.bytes[source.i] += len(action.data)
        self.worst[source.i, int(self.clock.now // 1000)] += len(action.data)
        target = self.by_address.get(action.destination)
        if target:
            event = DatagramReceived(source.config.listen, action.data)
            self.network.carry(source.i, target.i, lambda: target.arrive(lambda: target.give(event)))

    def changed(self, member: MemberProcess, change: MemberChanged) -> None:
        """Record a state change that a member reports."""
        if self.watch:
            self.changes.append((self.clock.now, member.i, change))

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.clock.run(self.clock.now + seconds * 1000)

    def say(self, i: int, kind: int, data: bytes) -> None:
        """Broadcast from member `i`."""
        member = self.member(i)
        member.arrive(lambda: member.give(Broadcast(kind, data)))

    def leave(self, i: int) -> None:
        """Have member `i` leave, and end its process 200 ms later."""
        member = self.member(i)
        member.give(Leave())
        self.clock.later(200, member.kill)

    def restart(self, i: int, wall: int | None = None) -> None:
        """Restart member `i`, optionally with another wall clock time in ms."""
        self.member(i).kill()
        self.member(i).begin(WALL + int(self.clock.now) if wall is None else wall)

    # -- the members' views against the actual state

    def live_members(self) -> list[MemberProcess]:
        """Return the running processes that were not displaced by another of their name."""
        return [m for m in self.members if not m.dead and not m.machine.displaced]

    def incorrect_views(self) -> list[tuple[str, str, MemberState | None]]:
        """Return the views that differ from the actual state: the observer, the member, and the state observed."""
        live_ids = {o.machine.id for o in self.live_members()}
        found: list[tuple[str, str, MemberState | None]] = []
        for observer in self.live_members():
            members = observer.machine.members
            for other in self.members:
                if other.machine.id == observer.machine.id:
                    continue
                record = members.get(other.machine.id)
                held = record.state if record else None
                if (held is MemberState.ALIVE) != (other.machine.id in live_ids):
                    found.append((observer.config.name, other.config.name, held))
        return found

    def agree(self, limit_s: float, step_s: float = 1.0) -> float:
        """Return the seconds until all views are correct; infinite if that exceeds the limit."""
        started_at = self.clock.now
        while self.clock.now - started_at < limit_s * 1000:
            if not self.incorrect_views():
                return (self.clock.now - started_at) / 1000
            self.run(step_s)
        return float("inf")

    def detected(self, name: str, state: MemberState, since: float) -> list[float]:
        """Return the sorted seconds from `since` until each member saw `name` in this state."""
        first: dict[int, float] = {}
        for at, i, change in self.changes:
            if at >= since and change.name == name and change.new_state is state:
                first.setdefault(i, (at - since) / 1000)
        return sorted(first.values())


__all__ = ["Fleet", "MemberProcess", "address_of", "member_id", "settings"]
