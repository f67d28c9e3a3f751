"""Three members for the breadth-first exploration: datagrams are lost, delayed or duplicated, members restart."""

from __future__ import annotations

from random import Random
from typing import Any

from gateusher.config.membership import Membership
from gateusher.membership import wire
from gateusher.membership.interface import (
    DatagramReceived,
    Leave,
    MemberChanged,
    MemberState,
    SendDatagram,
    Tick,
    is_newer,
    member_id,
)
from gateusher.membership.machine import MembershipMachine
from gateusher.membership.suspicion import suspicion_bounds_ms

KEY = bytes(16)
NAMES = ("a", "b", "c")
ADDRESSES = {name: ("127.0.0.1", 7001 + i) for i, name in enumerate(NAMES)}
MAX_IN_FLIGHT = 5  # beyond it the oldest datagram is lost
FAIR_MS = 60000.0


class ConstantRandom(Random):
    """A random source with constant draws, so that only event orders differ; `getrandbits` counts up."""

    def __init__(self, first: int) -> None:
        super().__init__(0)
        self.next = first

    def __reduce__(self) -> Any:
        return ConstantRandom, (self.next,)

    def random(self) -> float:
        """Return 0.5."""
        return 0.5

    def getrandbits(self, k: int) -> int:
        """Return the next number of a sequence."""
        self.next += 1
        return self.next

    def sample(self, population: Any, k: int, **_: Any) -> Any:
        """Return the first `k` items."""
        return list(population)[:k]

    def shuffle(self, x: Any) -> None:
        """Keep the order."""


def settings(name: str) -> Membership:
    """Return the settings of a member, with small fan-out and short timeouts."""
    peers = tuple((n, p) for n, p in ADDRESSES.items() if n != name)
    return Membership(
        name=name,
        listen=ADDRESSES[name],
        peers=peers,
        keys=(KEY,),
        indirect_probes=1,
        gossip_fanout=1,
        retransmit_factor=1,
        suspicion_alpha=2.0,
        suspicion_beta=2.0,
        suspicion_confirmations=1,
        sync_interval_ms=5000.0,
        retry_interval_ms=3000.0,
    )


class Three:
    """Members "a", "b" and "c" and the datagrams in flight.

    `lose`, `double`, `restart`, `leave`: the maximum number of each event on the path to a state.
    `start`: "met", all members know each other; "apart", c was partitioned until each side marked the other failed,
    and the partition has just healed; "doubted", it healed while c is only suspected.
    """

    def __init__(self, lose: int = 2, double: int = 1, restart: int = 1, leave: int = 0, start: str = "met") -> None:
        self.remaining = {"lose": lose, "double": double, "restart": restart, "leave": leave}
        self.start_counts = dict.fromkeys(NAMES, 0)
        self.machines: dict[str, MembershipMachine] = {}
        self.instances: dict[str, list[int]] = {name: [] for name in NAMES}
        self.highest: dict[str, int] = {}
        self.left: set[str] = set()
        self.in_flight: list[tuple[str, str, bytes]] = []  # sender, receiver, datagram
        self.broken: list[str] = []
        for name in NAMES:
            self._start(name, 0.0)
        self._run_fairly(8000.0)
        assert not self.broken and not self.settles_now(), "the members never discovered each other"
        if start != "met":
            wanted = MemberState.FAILED if start == "apart" else MemberState.SUSPECT
            for _ in range(200):
                self._run_fairly(100.0, "c")
                if all(
                    m.state is wanted for n in ("a", "b") for m in self.machines[n].members.values() if m.name == "c"
                ):
                    break
            else:
                raise AssertionError("the partition was never detected")
        self.in_flight.clear()

    def _start(self, name: str, now: float) -> None:
        self.start_counts[name] += 1
        instance = 1000 * (NAMES.index(name) + 1) + self.start_counts[name]
        self.instances[name].append(instance)
        wall = 10**6 + self.start_counts[name] * 10**6
        machine = self.machines[name] = MembershipMachine(settings(name), wall << 16, instance, 1, now)
        machine.context.random = ConstantRandom(instance << 32)
        self.highest[name] = machine.incarnation

    # -- events

    def options(self) -> list[str]:
        """Return the texts of the possible events."""
        events = [f"{name}'s next timer" for name in NAMES if name not in self.left]
        for i, (sender, to, _) in enumerate(self.in_flight):
            events.append(f"{i} from {sender} comes to {to}")
            if self.remaining["lose"]:
                events.append(f"{i} is lost")
            if self.remaining["double"]:
                events.append(f"{i} from {sender} comes to {to} twice")
        if self.remaining["restart"]:
            events.append("c starts anew")
        if self.remaining["leave"] and "b" not in self.left:
            events.append("b leaves")
        return events

    def take(self, event: str) -> None:
        """Execute the event of this text."""
        if event.endswith("timer"):
            name = event[0]
            self._handle(name, Tick(), self.machines[name].due_ms)
        elif event == "c starts anew":
            self.remaining["restart"] -= 1
            self._start("c", self.machines["c"].now_ms)
        elif event == "b leaves":
            self.remaining["leave"] -= 1
            self._handle("b", Leave(), self.machines["b"].now_ms)
            self.left.add("b")
        else:
            sender, to, data = self.in_flight.pop(int(event.partition(" ")[0]))
            if event.endswith("lost"):
                self.remaining["lose"] -= 1
                return
            self._deliver(sender, to, data)
            if event.endswith("twice"):
                self.remaining["double"] -= 1
                before, flying = self._view(to), len(self.in_flight)
                self._deliver(sender, to, data)
                # An unverified sender may be challenged and answered twice, but none of its updates is applied.
                member, (header, _) = self.machines[to].members[member_id(sender)], wire.unseal((KEY,), data)
                proven = member.replay_window is not None and member.instance == header.instance
                if self._view(to) != before or (proven and len(self.in_flight) > flying):
                    self.broken.append(f"a datagram from {sender} counted twice at {to}")

    def _deliver(self, sender: str, to: str, data: bytes) -> None:
        self._handle(to, DatagramReceived(ADDRESSES[sender], data), self.machines[to].now_ms)

    def _handle(self, name: str, event: Any, now: float) -> None:
        machine = self.machines[name]
        began = {k: m.suspicion.started_at_ms for k, m in machine.members.items() if m.suspicion}
        for action in machine.handle(now, event):
            if isinstance(action, SendDatagram):
                to = next((n for n, place in ADDRESSES.items() if place == action.destination), None)
                if to is None or to == name:
                    self.broken.append(f"{name} sent to {action.destination}")
                else:
                    self.in_flight.append((name, to, action.data))
            elif isinstance(action, MemberChanged):
                self._on_change(name, action, began)
        del self.in_flight[:-MAX_IN_FLIGHT]
        if is_newer(machine.incarnation, self.highest[name]):
            self.highest[name] = machine.incarnation
        self._check(name)

    def _on_change(self, name: str, change: MemberChanged, began: dict[bytes, float]) -> None:
        machine = self.machines[name]
        if change.new_state is MemberState.FAILED:
            min_timeout_ms, _ = suspicion_bounds_ms(
                machine.settings.suspicion_alpha,
                machine.settings.suspicion_beta,
                machine.up_count + 1,
                machine.settings.probe_period_ms,
            )
            since = began.get(member_id(change.name))
            if since is None or machine.now_ms - since < min_timeout_ms - 1.0:
                self.broken.append(f"{name} declares {change.name} failed without the least time to object")
        if change.new_state is MemberState.LEFT and change.name not in self.left:
            self.broken.append(f"{name} holds that {change.name} left")

    def _check(self, name: str) -> None:
        for member in self.machines[name].members.values():
            if is_newer(member.incarnation, self.highest[member.name]):
                self.broken.append(f"{name} holds an incarnation of {member.name} that it never had")
            if member.replay_window is not None and member.instance not in self.instances[member.name]:
                self.broken.append(f"{name} takes {member.instance} for {member.name}")
        if self.machines[name].displaced:
            self.broken.append(f"{name} is displaced, and there is no other of its name")

    def _view(self, name: str) -> object:
        machine = self.machines[name]
        return [
            (m.name, m.state, m.incarnation, m.instance, m.suspicion and sorted(m.suspicion.suspected_by))
            for m in machine.members.values()
        ], machine.incarnation

    # -- canonical state

    def form(self) -> object:
        """Return the canonical state, with times relative to each member's clock."""
        machines = []
        for name in NAMES:
            m = self.machines[name]
            machines.append(
                (
                    self._view(name),
                    m.health_penalty,
                    m.displaced,
                    name in self.left,
                    sorted(
                        (round(at - m.now_ms), kind, self._about(about))
                        for at, kind, about in m.context.timers.pending()
                    ),
                    sorted(
                        (p.target, p.requested_by or b"", p.suspects_on_timeout) for p in m.detector.outstanding()
                    ),
                    sorted(m.detector.missing_helpers()),
                    m.probe_order.remaining(),
                    m.table.digest.hashes,
                    [sorted(map(repr, level.items())) for level in m.context.gossip_queue._by_times_sent],
                    [
                        (
                            x.name,
                            x.replay_window is not None,
                            x.contact_attempts,
                            max(-3000, round(x.contacted_at_ms - m.now_ms)),
                        )
                        for x in m.members.values()
                    ],
                )
            )
        return machines, [(s, t, self._read(d)) for s, t, d in self.in_flight], self.remaining, self.start_counts

    def _about(self, about: object) -> str:
        return "" if about is None else repr(about) if isinstance(about, bytes) else "probe"

    def _read(self, data: bytes) -> object:
        header, body = wire.unseal((KEY,), data)
        frames, _ = wire.parse_frames(body)
        return header.instance, header.incarnation, [f._replace(probe=0, age_units=0) for f in frames]

    # -- fair runs

    def settles_now(self) -> list[str]:
        """Return the members' views that differ from the actual state."""
        found = []
        for name in NAMES:
            if name in self.left:
                continue
            for member in self.machines[name].members.values():
                right = member.state is MemberState.ALIVE and member.instance == self.instances[member.name][-1]
                if member.name in self.left:
                    right = member.state in (MemberState.LEFT, MemberState.FAILED)
                if not right:
                    found.append(f"{name} holds {member.name} for {member.state.name.lower()} in the end")
        return found

    def settles(self) -> list[str]:
        """Execute a fair run and return the violations after it."""
        self._run_fairly(FAIR_MS)
        return self.broken or self.settles_now()

    def _run_fairly(self, length: float, cut: str = "") -> None:
        """Run all clocks at one rate and deliver datagrams at once and in order, except those to and from `cut`."""
        started_at = {name: machine.now_ms for name, machine in self.machines.items()}
        now = 0.0
        while now < length:
            while self.in_flight:
                sender, to, data = self.in_flight.pop(0)
                if cut not in (sender, to):
                    self._handle(to, DatagramReceived(ADDRESSES[sender], data), started_at[to] + now)
            due = min(self.machines[n].due_ms - started_at[n] for n in NAMES if n not in self.left)
            now = max(now, due)
            for name in NAMES:
                if name not in self.left and self.machines[name].due_ms - started_at[name] <= now:
                    self._handle(name, Tick(), max(started_at[name] + now, self.machines[name].due_ms))
        for name, machine in self.machines.items():
            machine.context.now_ms = max(machine.now_ms, started_at[name] + now)
