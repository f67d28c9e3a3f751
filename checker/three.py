"""Three members for the search of every order: what may be lost, late, doubled, restarted, and what must hold."""

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
PLACES = {name: ("127.0.0.1", 7001 + i) for i, name in enumerate(NAMES)}
MOST_IN_FLIGHT = 5  # beyond that the oldest is lost
FAIR_MS = 60000.0


class Plain(Random):
    """Draws that are always the same, so that orders alone differ; numbers of probes go up."""

    def __init__(self, first: int) -> None:
        super().__init__(0)
        self.next = first

    def __reduce__(self) -> Any:
        return Plain, (self.next,)

    def random(self) -> float:
        return 0.5

    def getrandbits(self, k: int) -> int:
        self.next += 1
        return self.next

    def sample(self, population: Any, k: int, **_: Any) -> Any:
        return list(population)[:k]

    def shuffle(self, x: Any) -> None:
        """In the order that it has."""


def settings(name: str) -> Membership:
    peers = tuple((n, p) for n, p in PLACES.items() if n != name)
    return Membership(
        name=name,
        listen=PLACES[name],
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
    """`lose`, `double`, `restart`, `leave`: how often each may happen on the way to a state.

    `start`: "met", all know each other; "apart", c has been cut off until each side held the other for failed, and
    the cut has just healed; "doubted", the cut healed while c is only suspected.
    """

    def __init__(self, lose: int = 2, double: int = 1, restart: int = 1, leave: int = 0, start: str = "met") -> None:
        self.may = {"lose": lose, "double": double, "restart": restart, "leave": leave}
        self.lives = dict.fromkeys(NAMES, 0)
        self.machines: dict[str, MembershipMachine] = {}
        self.instances: dict[str, list[int]] = {name: [] for name in NAMES}
        self.highest: dict[str, int] = {}
        self.left: set[str] = set()
        self.flight: list[tuple[str, str, bytes]] = []  # from, to, datagram
        self.broken: list[str] = []
        for name in NAMES:
            self._begin(name, 0.0)
        self._fair(8000.0)
        assert not self.broken and not self.settles_now(), "the three never met"
        if start != "met":
            wanted = MemberState.FAILED if start == "apart" else MemberState.SUSPECT
            for _ in range(200):
                self._fair(100.0, "c")
                if all(
                    m.state is wanted for n in ("a", "b") for m in self.machines[n].members.values() if m.name == "c"
                ):
                    break
            else:
                raise AssertionError("the cut was never noticed")
        self.flight.clear()

    def _begin(self, name: str, now: float) -> None:
        self.lives[name] += 1
        instance = 1000 * (NAMES.index(name) + 1) + self.lives[name]
        self.instances[name].append(instance)
        wall = 10**6 + self.lives[name] * 10**6
        machine = self.machines[name] = MembershipMachine(settings(name), wall << 16, instance, 1, now)
        machine.context.random = Plain(instance << 32)
        self.highest[name] = machine.incarnation

    # -- what can happen

    def options(self) -> list[str]:
        words = [f"{name}'s next timer" for name in NAMES if name not in self.left]
        for i, (sender, to, _) in enumerate(self.flight):
            words.append(f"{i} from {sender} comes to {to}")
            if self.may["lose"]:
                words.append(f"{i} is lost")
            if self.may["double"]:
                words.append(f"{i} from {sender} comes to {to} twice")
        if self.may["restart"]:
            words.append("c starts anew")
        if self.may["leave"] and "b" not in self.left:
            words.append("b leaves")
        return words

    def take(self, word: str) -> None:
        if word.endswith("timer"):
            name = word[0]
            self._give(name, Tick(), self.machines[name].due_ms)
        elif word == "c starts anew":
            self.may["restart"] -= 1
            self._begin("c", self.machines["c"].now_ms)
        elif word == "b leaves":
            self.may["leave"] -= 1
            self._give("b", Leave(), self.machines["b"].now_ms)
            self.left.add("b")
        else:
            sender, to, data = self.flight.pop(int(word.partition(" ")[0]))
            if word.endswith("lost"):
                self.may["lose"] -= 1
                return
            self._arrive(sender, to, data)
            if word.endswith("twice"):
                self.may["double"] -= 1
                before, flying = self._held(to), len(self.flight)
                self._arrive(sender, to, data)
                # One that has yet to prove itself may ask twice and is answered twice; no word of it counts.
                member, (header, _) = self.machines[to].members[member_id(sender)], wire.unseal((KEY,), data)
                proven = member.replay_window is not None and member.instance == header.instance
                if self._held(to) != before or (proven and len(self.flight) > flying):
                    self.broken.append(f"a datagram from {sender} counted twice at {to}")

    def _arrive(self, sender: str, to: str, data: bytes) -> None:
        self._give(to, DatagramReceived(PLACES[sender], data), self.machines[to].now_ms)

    def _give(self, name: str, event: Any, now: float) -> None:
        machine = self.machines[name]
        began = {k: m.suspicion.started_at_ms for k, m in machine.members.items() if m.suspicion}
        for action in machine.handle(now, event):
            if isinstance(action, SendDatagram):
                to = next((n for n, place in PLACES.items() if place == action.destination), None)
                if to is None or to == name:
                    self.broken.append(f"{name} sent to {action.destination}")
                else:
                    self.flight.append((name, to, action.data))
            elif isinstance(action, MemberChanged):
                self._changed(name, action, began)
        del self.flight[:-MOST_IN_FLIGHT]
        if is_newer(machine.incarnation, self.highest[name]):
            self.highest[name] = machine.incarnation
        self._look(name)

    def _changed(self, name: str, change: MemberChanged, began: dict[bytes, float]) -> None:
        machine = self.machines[name]
        if change.new_state is MemberState.FAILED:
            least, _ = suspicion_bounds_ms(
                machine.settings.suspicion_alpha,
                machine.settings.suspicion_beta,
                machine.up_count + 1,
                machine.settings.probe_period_ms,
            )
            since = began.get(member_id(change.name))
            if since is None or machine.now_ms - since < least - 1.0:
                self.broken.append(f"{name} declares {change.name} failed without the least time to object")
        if change.new_state is MemberState.LEFT and change.name not in self.left:
            self.broken.append(f"{name} holds that {change.name} left")

    def _look(self, name: str) -> None:
        for member in self.machines[name].members.values():
            if is_newer(member.incarnation, self.highest[member.name]):
                self.broken.append(f"{name} holds an incarnation of {member.name} that it never had")
            if member.replay_window is not None and member.instance not in self.instances[member.name]:
                self.broken.append(f"{name} takes {member.instance} for {member.name}")
        if self.machines[name].displaced:
            self.broken.append(f"{name} is displaced, and there is no other of its name")

    def _held(self, name: str) -> object:
        machine = self.machines[name]
        return [
            (m.name, m.state, m.incarnation, m.instance, m.suspicion and sorted(m.suspicion.suspected_by))
            for m in machine.members.values()
        ], machine.incarnation

    # -- the form

    def form(self) -> object:
        machines = []
        for name in NAMES:
            m = self.machines[name]
            machines.append(
                (
                    self._held(name),
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
        return machines, [(s, t, self._read(d)) for s, t, d in self.flight], self.may, self.lives

    def _about(self, about: object) -> str:
        return "" if about is None else repr(about) if isinstance(about, bytes) else "probe"

    def _read(self, data: bytes) -> object:
        header, body = wire.unseal((KEY,), data)
        frames, _ = wire.parse_frames(body)
        return header.instance, header.incarnation, [f._replace(probe=0, age_units=0) for f in frames]

    # -- a fair end

    def settles_now(self) -> list[str]:
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
        self._fair(FAIR_MS)
        return self.broken or self.settles_now()

    def _fair(self, length: float, cut: str = "") -> None:
        """All run at one pace, and all that is sent comes at once, in its order, but to and from `cut`."""
        zero = {name: machine.now_ms for name, machine in self.machines.items()}
        now = 0.0
        while now < length:
            while self.flight:
                sender, to, data = self.flight.pop(0)
                if cut not in (sender, to):
                    self._give(to, DatagramReceived(PLACES[sender], data), zero[to] + now)
            due = min(self.machines[n].due_ms - zero[n] for n in NAMES if n not in self.left)
            now = max(now, due)
            for name in NAMES:
                if name not in self.left and self.machines[name].due_ms - zero[name] <= now:
                    self._give(name, Tick(), max(zero[name] + now, self.machines[name].due_ms))
        for name, machine in self.machines.items():
            machine.context.now_ms = max(machine.now_ms, zero[name] + now)
