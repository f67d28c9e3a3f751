"""A fleet of members in virtual time: real machines and real datagrams on a virtual network, with figures taken."""

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
WALL = 10**12  # what wall clocks say at the start, in ms


def place(i: int) -> Address:
    """Where member i listens; no socket is opened there."""
    return f"127.{1 + i // 62500}.{i // 250 % 250}.{1 + i % 250}", 7100


def settings(i: int, peers: Iterable[int], **more: object) -> Membership:
    """Of member `s{i}`."""
    named = tuple((f"s{k}", place(k)) for k in peers if k != i)
    return Membership(
        **{
            "name": f"s{i}",
            "listen": place(i),
            "advertise": place(i),
            "peers": named,  # type: ignore
            "keys": (KEY,),
            **more,
        }
    )


class One(Node):
    """One process, which may be started anew under its name."""

    def __init__(self, fleet: Fleet, i: int, config: Membership) -> None:
        super().__init__(fleet.network)
        self.fleet, self.i, self.config = fleet, i, config
        self.life = 0
        self.heard: list[BroadcastReceived] = []
        self.told: list[LogEvent] = []
        self.begin(WALL + int(self.network.clock.now))

    def begin(self, wall: int) -> None:
        """A new process; `wall` is what its wall clock says, in ms."""
        self.life += 1
        self.dead = self.stopped = False
        fleet = self.fleet
        instance = fleet.network.rng.getrandbits(32) or 1
        self.machine = MembershipMachine(
            self.config, wall << 16, instance, fleet.network.rng.getrandbits(64), self.time()
        )
        self._armed_for_ms = NO_TIMER_MS
        self.arm()

    def due(self) -> float:
        return self.machine.due_ms

    def tick(self) -> None:
        self.give(Tick())

    def give(self, event: Event) -> None:
        self.act(self.machine.handle(self.time(), event))

    def act(self, actions: list[Action]) -> None:
        fleet = self.fleet
        for action in actions:
            if isinstance(action, SendDatagram):
                fleet.carry(self, action)
            elif isinstance(action, MemberChanged):
                fleet.changed(self, action)
            elif isinstance(action, BroadcastReceived):
                self.heard.append(action)
            elif isinstance(action, LogEvent):
                self.told.append(action)


class Fleet:
    """`count` members; each names `seeds` of the others in its own file, or all of them."""

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
        self.by_place: dict[Address, One] = {}
        self.ones: list[One] = []
        self.bytes: Counter[int] = Counter()  # sent, by member
        self.worst: Counter[tuple[int, int]] = Counter()  # and by second
        self.changes: list[tuple[float, int, MemberChanged]] = []
        self.watch = True  # whether changes are kept
        for i in range(count):
            peers = range(count) if seeds is None else self.rng.sample(range(count), min(count, seeds + 1))
            config = settings(i, peers, learn_addresses=learn_addresses, **more)
            self.clock.at(self.rng.random() * start_within, partial(self.add, config, i))

    def add(self, config: Membership, i: int) -> None:
        """Start one more."""
        one = self.by_place[config.listen] = One(self, i, config)
        self.ones.append(one)

    def one(self, i: int) -> One:
        return next(o for o in self.ones if o.i == i)

    def carry(self, source: One, action: SendDatagram) -> None:
        self.bytes[source.i] += len(action.data)
        self.worst[source.i, int(self.clock.now // 1000)] += len(action.data)
        target = self.by_place.get(action.destination)
        if target:
            event = DatagramReceived(source.config.listen, action.data)
            self.network.carry(source.i, target.i, lambda: target.arrive(lambda: target.give(event)))

    def changed(self, one: One, change: MemberChanged) -> None:
        if self.watch:
            self.changes.append((self.clock.now, one.i, change))

    def run(self, seconds: float) -> None:
        self.clock.run(self.clock.now + seconds * 1000)

    def say(self, i: int, kind: int, data: bytes) -> None:
        one = self.one(i)
        one.arrive(lambda: one.give(Broadcast(kind, data)))

    def leave(self, i: int) -> None:
        one = self.one(i)
        one.give(Leave())
        self.clock.later(200, one.kill)

    def restart(self, i: int, wall: int | None = None) -> None:
        self.one(i).kill()
        self.one(i).begin(WALL + int(self.clock.now) if wall is None else wall)

    # -- what is true, against what is held

    def live(self) -> list[One]:
        return [o for o in self.ones if not o.dead and not o.machine.displaced]

    def wrong(self) -> list[tuple[str, str, MemberState | None]]:
        """Views that differ from the truth: who holds it, of whom, and what is held."""
        there = {o.machine.id for o in self.live()}
        found: list[tuple[str, str, MemberState | None]] = []
        for one in self.live():
            members = one.machine.members
            for other in self.ones:
                if other.machine.id == one.machine.id:
                    continue
                member = members.get(other.machine.id)
                held = member.state if member else None
                if (held is MemberState.ALIVE) != (other.machine.id in there):
                    found.append((one.config.name, other.config.name, held))
        return found

    def agree(self, limit_s: float, step_s: float = 1.0) -> float:
        """Seconds until all views are true; infinite where they are not within the limit."""
        began = self.clock.now
        while self.clock.now - began < limit_s * 1000:
            if not self.wrong():
                return (self.clock.now - began) / 1000
            self.run(step_s)
        return float("inf")

    def detected(self, name: str, state: MemberState, since: float) -> list[float]:
        """Seconds from then until each member held this of that one, in order."""
        first: dict[int, float] = {}
        for at, i, change in self.changes:
            if at >= since and change.name == name and change.new_state is state:
                first.setdefault(i, (at - since) / 1000)
        return sorted(first.values())


__all__ = ["Fleet", "One", "member_id", "place", "settings"]
