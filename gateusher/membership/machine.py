"""Who is there: SWIM (Das, Gupta, Motivala, 2002) with Lifeguard's refinements (Dadgar, Phillips, Currey, 2018).

Once a period one member is asked whether it is there; without an answer others are asked to try; without any answer
it is *suspected*, which all are told, and has some time to object before it has *failed*.  It objects by raising its
incarnation, which only itself may do.

Four rules keep a part of the fleet that is in trouble from doing harm:

* Who stood still, judges nobody.  An event that comes late by more than a probe may take is taken for a pause of this
  process: all that was due moves on by as much, probes that were out are void, and the own health counts down.  (It
  guards against a process that is stopped or starved; it could harm where a process is late all the time: it then
  declares nobody failed, and leaves that to the others.)
* A word that somebody failed is obeyed only after the least time of a suspicion of our own, so that after a partition
  the two halves don't bury each other: everyone gets that time to object.
* Nothing counts from a process that has not answered a probe of ours since it began: old datagrams, however well
  signed, come from one that can't.  After that each of its numbers counts once.
* What is sent is bounded in bytes a second, whatever comes in; one half is for probes and their answers, so that
  news can't crowd them out.  Where another piece sends notes, each has a third.

A name that two processes use at once belongs to the newer one, by the age of each, as told on and counted by each
process's own clock; the older one falls silent and says so.  Whoever reads a record of its own name first comes above
it, which what is left of an earlier life can't answer; only one that does so again and again is a living rival.
"""

from __future__ import annotations

import heapq
from collections import Counter, OrderedDict
from collections.abc import Iterator
from random import Random
from typing import NamedTuple

from ..config.membership import Membership
from . import wire
from .interface import (
    SERIAL_MODULUS,
    Action,
    Address,
    Broadcast,
    BroadcastReceived,
    DatagramReceived,
    DirectMessage,
    Event,
    KeysChanged,
    Leave,
    LogEvent,
    MemberChanged,
    MemberState,
    PeersChanged,
    SendDatagram,
    SendDirect,
    is_newer,
    member_id,
)
from .records import Digest, Member, Suspicion, Window, patience
from .spread import Allowance, News
from .wire import Frame, FrameKind, Header, WireError

MOST_WORDS = 4096  # remembered, so that each is heard once
MOST_ASKED = 64  # probes for others that are out at a time
MOST_SYNC = 4  # datagrams with which one digest is answered
WITNESS_PART = 0.8  # of the time-out after which a go-between says that it heard nothing (Lifeguard, IV-A)
SAME_AGE_MS = 1000.0  # two processes that began within this are told apart by their instances
RIVAL = 3  # records of a name, each above the one before, that only a living process can have made
JOIN_FIRST = 3  # strangers that are tried in each gossip period while nobody is known
TRIES_FAST = 5  # tries of an unseen member before it is tried only rarely


class Probe(NamedTuple):
    """A question that is out.  `origin` is who had us ask, None for ourselves."""

    target: bytes
    origin: bytes | None
    number: int  # the origin's
    judged: bool  # whether no answer is held against the target


class View(NamedTuple):
    """What is held of one member, for operators.  Times are ms ago."""

    name: str
    state: MemberState
    address: Address | None
    incarnation: int
    since_ms: float
    heard_ms: float | None
    by: tuple[str, ...]
    health: int
    proven: bool


class Members:
    """One process's part.  Pure: the same events at the same times give the same actions.

    `born` is the first incarnation, best taken from a wall clock so that it comes after those of an earlier life;
    `instance` tells this process from any other of the name, a random number above 0.
    """

    def __init__(self, settings: Membership, born: int, instance: int, seed: int, now: float) -> None:
        self.s, self.rng = settings, Random(seed)
        self.key, self.keys = member_id(settings.name), settings.keys
        self.instance, self.began = instance, now
        self.health = 0  # 0 is well (Lifeguard's local health multiplier less one)
        self.members: dict[bytes, Member] = {}
        self.digest = Digest()
        self._own = Member(
            self.key,
            settings.name,
            settings.advertise,
            True,
            MemberState.ALIVE,
            born % SERIAL_MODULUS,
            instance,
            now,
            now,
        )
        self.digest.put(self._own)
        self.news = News(settings.factor)
        self.drops: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()  # bytes, datagrams and those that the bound held back
        self.displaced = self.leaving = False
        self.there = 0  # members that are there, without ourselves
        self.acts: list[Action] = []
        self.now = now
        self._number = 0
        part = settings.bytes_per_s / (3 if settings.notes else 2)
        self._urgent, self._bulk = Allowance(part), Allowance(part)
        self._notes = Allowance(part if settings.notes else 0.0)
        self._timers: list[tuple[float, int, str, object]] = []
        self._count = 0
        self._probes: dict[int, Probe] = {}
        self._witnesses: dict[int, int] = {}  # of a probe of ours: go-betweens that have not answered
        self._round: list[bytes] = []  # who is still to be probed in this round
        self._words: OrderedDict[tuple[bytes, int, int], None] = OrderedDict()
        self._word = 0
        self._part = 0
        self._up: list[Member] = []  # those that are there and that we may send to
        self._unseen: dict[bytes, Member] = {}  # those of the own file that nobody has heard of yet
        self._rivals: dict[int, tuple[int, float]] = {}  # of our name: records above ours, and when it began
        self._told: set[tuple[str, str]] = set()
        self._repeer(settings.peers)
        spread = self.rng.random
        for kind, wait in (
            ("probe", settings.period_ms),
            ("gossip", settings.gossip_ms),
            ("sync", settings.period_ms),
            ("retry", settings.retry_ms),
        ):
            self._at(wait * spread(), kind)

    # -- from outside

    @property
    def incarnation(self) -> int:
        """Our own, which nobody else may raise."""
        return self._own.incarnation

    @incarnation.setter
    def incarnation(self, incarnation: int) -> None:
        self._own.incarnation = incarnation
        self.digest.put(self._own)

    @property
    def due(self) -> float:
        """When the next Tick is wanted."""
        return 1e18 if self.displaced or self.leaving else self._timers[0][0]

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event, give the actions that it calls for.  Raises ValueError for a word that is too long."""
        self.now, self.acts = max(self.now, now), []
        late = self.now - self.due
        if late > max(100.0, self.s.timeout_ms):
            self._stood_still(late)
        if type(event) is DatagramReceived:
            self._received(event)
        elif type(event) is Broadcast:
            self._say(event)
        elif type(event) is SendDirect:
            self._note(event)
        elif type(event) is Leave:
            self._leave()
        elif type(event) is KeysChanged:
            self.keys = event.keys
        elif type(event) is PeersChanged:
            self._repeer(event.peers)
        while not self.displaced and not self.leaving and self._timers and self._timers[0][0] <= self.now:
            _, _, kind, about = heapq.heappop(self._timers)
            self._timer(kind, about)
        return self.acts

    def views(self) -> Iterator[View]:
        """All members, ourselves first."""
        yield View(
            self.s.name,
            MemberState.LEFT if self.leaving else MemberState.ALIVE,
            self.s.advertise or self.s.listen,
            self.incarnation,
            self.now - self.began,
            0.0,
            (),
            self.health,
            True,
        )
        for m in sorted(self.members.values(), key=lambda m: m.name):
            by = tuple(self._name(k) for k in m.suspicion.by) if m.suspicion else ()
            heard = self.now - m.heard_at if m.heard_at > -1e11 else None
            yield View(
                m.name,
                m.state,
                m.address,
                m.incarnation,
                self.now - m.since,
                heard,
                by,
                m.health,
                m.window is not None,
            )

    def _name(self, key: bytes) -> str:
        if key == self.key:
            return self.s.name
        member = self.members.get(key)
        return member.name if member else key.hex()

    def _tell(self, what: str, why: str) -> None:
        """Each thing once until it changes, so that a flapping link fills no log."""
        if (what, why) not in self._told:
            if len(self._told) > 1000:
                self._told.clear()
            self._told.add((what, why))
            self.acts.append(LogEvent(what, why))

    # -- time

    def _at(self, wait: float, kind: str, about: object = None) -> None:
        self._count += 1
        heapq.heappush(self._timers, (self.now + wait, self._count, kind, about))

    def _stood_still(self, late: float) -> None:
        """We were paused: nobody's silence meanwhile counts, and nobody's time to object runs on."""
        self._timers = [(at + late, n, kind, about) for at, n, kind, about in self._timers]  # the order stays
        self._probes.clear()
        self._witnesses.clear()
        for member in self.members.values():
            if member.suspicion:
                member.suspicion.began += late
        self._unwell(1)

    def _unwell(self, by: int) -> None:
        self.health = max(0, min(self.s.health_most, self.health + by))

    def _timer(self, kind: str, about: object) -> None:
        settings = self.s
        if kind == "probe":
            self._at(settings.period_ms * (1 + self.health), "probe")
            self._probe_next()
        elif kind == "gossip":
            self._at(settings.gossip_ms, "gossip")
            self._gossip()
        elif kind == "sync":
            known = self.there > 0
            self._at(settings.sync_ms * (0.5 + self.rng.random()) if known else settings.period_ms, "sync")
            if member := self._any(self._up):
                self._send(member, wire.digest(self.digest.sums, True), bulk=True)
        elif kind == "retry":
            self._at(settings.retry_ms * (0.5 + self.rng.random()), "retry")
            self._retry()
        elif kind == "silent":
            self._silent(about)  # type: ignore[arg-type]
        elif kind == "verdict":
            self._verdict(about)  # type: ignore[arg-type]
        elif kind == "witness":
            self._witness(about)  # type: ignore[arg-type]
        elif kind == "doubt":
            self._doubt_over(about)  # type: ignore[arg-type]

    # -- whom to speak to

    def _enlist(self, member: Member) -> None:
        """Keep the lists of whom to speak to, after any change of a member's state or address."""
        wanted = member.address is not None and member.there
        if wanted and member.place < 0:
            member.place = len(self._up)
            self._up.append(member)
        elif not wanted and member.place >= 0:
            last = self._up.pop()
            if last is not member:
                self._up[member.place], last.place = last, member.place
            member.place = -1
        if member.fixed and member.state is MemberState.UNSEEN:
            self._unseen[member.key] = member
        else:
            self._unseen.pop(member.key, None)

    def _any(self, members: list[Member]) -> Member | None:
        return members[int(self.rng.random() * len(members))] if members else None

    def _some(self, members: list[Member], count: int) -> list[Member]:
        return members if len(members) <= count else self.rng.sample(members, count)

    def _retry(self) -> None:
        """One of those that are not there may be back, behind a partition that has healed or under its old name."""
        gone = [m for m in self.members.values() if m.address and not m.there]
        if not self.s.learnt:
            gone = [m for m in gone if m.fixed]
        if member := self._any(gone):
            self._try(member, member.home if self.rng.random() < 0.5 else None)
        for m in [
            m for m in self.members.values() if not m.fixed and not m.there and self.now - m.since > self.s.forget_ms
        ]:
            self._forget(m)

    def _try(self, member: Member, to: Address | None = None) -> None:
        """Ask one that we don't hold for there, or that has yet to prove itself; silence says nothing new."""
        member.tried_at, member.tries = self.now, member.tries + 1
        probe = self._ask(member, judged=False, to=to)
        self._at(2 * self.s.period_ms, "silent", probe)

    # -- probes

    def _ask(self, member: Member, judged: bool, to: Address | None = None) -> int:
        probe = self.rng.getrandbits(64)
        self._probes[probe] = Probe(member.key, None, probe, judged)
        self._send(member, wire.ping(probe, member.key) + self._doubt(member), to)
        return probe

    def _doubt(self, member: Member) -> bytes:
        """What is held against a member: it hears that from whoever speaks to it next (Lifeguard's buddy system)."""
        if member.suspicion:
            return wire.suspect(member.key, member.incarnation, next(iter(member.suspicion.by)))
        if member.state is MemberState.FAILED:
            return wire.failed(member.key, member.incarnation, self.key)
        return wire.left(member.key, member.incarnation) if member.state is MemberState.LEFT else b""

    def _probe_next(self) -> None:
        while self._round:
            member = self.members.get(self._round.pop())
            if member and member.address and member.there:
                probe = self._ask(member, judged=True)
                scale = 1 + self.health
                self._at(self.s.timeout_ms * scale, "silent", probe)
                self._at(self.s.period_ms * scale * 0.95, "verdict", probe)
                return
        self._round = [m.key for m in self._up]
        self.rng.shuffle(self._round)

    def _silent(self, number: int) -> None:
        """No answer in time: others try, over their own links."""
        probe = self._probes.get(number)
        if probe is None:
            return
        if not probe.judged:
            del self._probes[number]
            return
        helpers = [m for m in self._some(self._up, self.s.indirect + 1) if m.key != probe.target][: self.s.indirect]
        if helpers:
            self._witnesses[number] = len(helpers)
        for helper in helpers:
            self._send(helper, wire.ping_req(number, probe.target))

    def _verdict(self, number: int) -> None:
        probe, lacking = self._probes.pop(number, None), self._witnesses.pop(number, None)
        if probe is None:
            return
        # Go-betweens that said nothing at all say something of our own link.
        self._unwell(1 if lacking is None else lacking)
        member = self.members.get(probe.target)
        if member and member.there:
            self._suspect(member, member.incarnation, self.key)

    def _witness(self, number: int) -> None:
        probe = self._probes.get(number)
        origin = self.members.get(probe.origin) if probe and probe.origin else None
        if probe and origin:
            self._send(origin, wire.nack(probe.number, probe.target))

    # -- what comes in

    def _drop(self, why: str) -> None:
        self.drops[why] += 1

    def _received(self, event: DatagramReceived) -> None:
        if self.displaced or self.leaving:
            return self._drop("over")
        try:
            header, body = wire.unseal(self.keys, event.data, wire.MAX_DATAGRAM_BYTES)
        except WireError as error:
            return self._drop(str(error))
        if header.sender == self.key:
            return self._namesake(header, event.source)
        member = self.members.get(header.sender)
        try:
            frames, unknown = wire.parse_frames(body)
        except WireError as error:
            return self._drop(str(error))
        if unknown:
            self.drops["newer frames"] += unknown
        if member is None or not member.address:
            member = self._stranger(member, header, frames, event.source)
            if member is None:
                return self._drop("stranger")
        if member.window is None or member.instance != header.instance:
            return self._unproven(member, header, frames, event.source)
        if not member.window.take(header.sequence):
            return self._drop("replay")
        self._trusted(member, header, frames, event.source)
        return None

    def _trusted(self, member: Member, header: Header, frames: list[Frame], source: Address) -> None:
        if self.s.learnt and member.address != source:
            member.address = source
            self._enlist(member)
        if member.state is MemberState.UNSEEN or is_newer(header.incarnation, member.incarnation):
            self._alive(member, header.incarnation, header.instance)
        member.heard_at = self.now
        for frame in frames:
            self._take(member, frame)

    def _namesake(self, header: Header, source: Address) -> None:
        if header.instance == self.instance:
            self._drop("self")
            self._tell("own address", f"{source[0]}:{source[1]} leads back to this process")
        else:
            # Whose name it is, ages decide, and these come with records that proven members tell on.
            self._drop("namesake")
            self._tell("name", f"another process speaks as {self.s.name!r} from {source[0]}:{source[1]}")

    def _stranger(self, member: Member | None, header: Header, frames: list[Frame], source: Address) -> Member | None:
        """A sender that we can't answer yet; where addresses are learnt, it is at its source."""
        if not self.s.learnt:
            return None
        if member is None:
            name = next(
                (f.name for f in frames if f.kind == FrameKind.RECORD and member_id(f.name) == header.sender), ""
            )
            if not name or not self._room(direct=True):
                return None
            member = self.members[header.sender] = Member(header.sender, name, source, False, since=self.now)
        member.address = source
        self._enlist(member)
        return member

    def _room(self, direct: bool) -> bool:
        """Room for one more record: whoever is gone for longest makes it.

        For one that speaks to us itself hearsay gives way too, so that who tells of members without end fills the
        table with them, and still bars nobody that is there.
        """
        if len(self.members) + 1 < self.s.most_members:
            return True
        if not direct and len(self._up) == len(self.members):
            return False
        spare = [m for m in self.members.values() if not m.fixed and (not m.there or (direct and m.window is None))]
        if not spare:
            return False
        self._forget(min(spare, key=lambda m: (m.there, m.since)))
        return True

    def _forget(self, member: Member) -> None:
        if member.there:
            self.there -= 1
            member.state = MemberState.FAILED
        member.fixed = False
        self._enlist(member)
        self.digest.drop(member)
        self.news.drop(member.key)
        del self.members[member.key]

    def _unproven(self, member: Member, header: Header, frames: list[Frame], source: Address) -> None:
        """Not a word counts but the answer to a probe of ours; that one proves the sender, and the rest with it.

        A question is answered with no more bytes than it had, and says only that we are there; a few at once, and ten
        in a period after that.  Beside it we ask for a proof ourselves, once in a time-out at the most.
        """
        for frame in frames:
            if frame.kind == FrameKind.ACK and frame.subject == member.key and self._answers(member, frame):
                if self._prove(member, header, frame, source):
                    self._trusted(member, header, frames, source)
                return
        self._drop("unproven")
        member.asks = min(4.0, member.asks + 10.0 * (self.now - member.asked_at) / self.s.period_ms)
        member.asked_at = self.now
        if member.asks < 1.0:
            return
        for frame in frames:
            if frame.kind == FrameKind.PING and frame.subject == self.key:
                member.asks -= 1.0
                self._send(member, self._answer(frame.probe), source, plain=True)
                break
        wait = min(self.s.timeout_ms, self.s.gossip_ms)
        if self.now - member.tried_at >= wait and self._urgent.left(self.now) > self._urgent.rate / 2:
            self._try(member, source)

    def _answers(self, member: Member, frame: Frame) -> bool:
        probe = self._probes.get(frame.probe)
        return probe is not None and probe.target == member.key

    def _prove(self, member: Member, header: Header, answer: Frame, source: Address) -> bool:
        """The process that answered is there now; False where another of that name is the newer one."""
        born = self.now - answer.age_units * wire.AGE_UNIT_MS
        known, other = member.window is not None, member.instance not in (0, header.instance)
        if known and other and self.now - member.heard_at < 3 * self.s.period_ms and member.there:
            self._tell("name", f"two processes speak as {member.name!r}; the newer one has it")
            if self._older(born, header.instance, member.born, member.instance):
                self._send(member, self._record(member), source, plain=True)
                return False
        if other and not is_newer(header.incarnation, member.incarnation):
            # Its wall clock went back since its last life.  It is told, and comes above what is known of that.
            # Until then it can't be told on, since all others would take the old one's word for the newer.
            self._send(member, self._record(member), source, plain=True)
            return False
        member.window, member.born, member.asks = Window(header.sequence), born, 4.0
        if self.s.learnt:
            member.address = source
            self._enlist(member)
        self._alive(member, header.incarnation, header.instance, fresh=True, restarted=other)
        return True

    @staticmethod
    def _older(born: float, instance: int, other_born: float, other: int) -> bool:
        """Whether the first of two processes of a name has to give way."""
        if abs(born - other_born) < SAME_AGE_MS:
            return instance < other
        return born < other_born

    def _age(self, member: Member) -> int:
        return int(max(0.0, self.now - member.born) / wire.AGE_UNIT_MS)

    def _answer(self, probe: int) -> bytes:
        return wire.ack(probe, self.key, self._age(self._own), self.health)

    def _take(self, relay: Member, frame: Frame) -> None:
        kind = frame.kind
        if kind == FrameKind.PING:
            if frame.subject == self.key:
                self._send(relay, self._answer(frame.probe) + self._doubt(relay))
            else:
                self._drop("not for us")
        elif kind == FrameKind.ACK:
            self._acked(relay, frame)
        elif kind == FrameKind.PING_REQ:
            self._asked_for(relay, frame)
        elif kind == FrameKind.NACK:
            if frame.probe in self._witnesses and self._witnesses[frame.probe] > 0:
                self._witnesses[frame.probe] -= 1
        elif kind == FrameKind.RECORD:
            self._joined(relay, frame)
        elif kind == FrameKind.ALIVE:
            member = self.members.get(frame.subject)
            if (
                frame.subject != self.key
                and member
                and member.instance == frame.instance
                and is_newer(frame.incarnation, member.incarnation)
            ):
                self._alive(member, frame.incarnation, frame.instance)
        elif kind in (FrameKind.SUSPECT, FrameKind.FAILED):
            self._doubted(frame)
        elif kind == FrameKind.LEFT:
            self._gone(frame)
        elif kind == FrameKind.DIGEST:
            self._compare(relay, frame)
        elif kind == FrameKind.BROADCAST:
            self._word_came(relay, frame)
        elif kind == FrameKind.DIRECT:
            self.acts.append(DirectMessage(relay.name, frame.message_kind, frame.data))

    def _acked(self, relay: Member, frame: Frame) -> None:
        probe = self._probes.get(frame.probe)
        if probe is None or probe.target != frame.subject:
            return self._drop("late answer")
        del self._probes[frame.probe]
        self._witnesses.pop(frame.probe, None)
        if frame.subject == relay.key:
            relay.health, relay.tries = frame.health, 0
        if probe.origin is not None:
            origin = self.members.get(probe.origin)
            if origin and frame.subject == relay.key:
                self._send(origin, wire.ack(probe.number, probe.target, frame.age_units, frame.health))
        elif probe.judged:
            self._unwell(-1)
        return None

    def _asked_for(self, relay: Member, frame: Frame) -> None:
        target = self.members.get(frame.subject)
        asked = sum(p.origin is not None for p in self._probes.values())
        if target is None or not target.address or asked >= MOST_ASKED:
            return self._drop("can't try")
        probe = self.rng.getrandbits(64)
        self._probes[probe] = Probe(target.key, relay.key, frame.probe, False)
        self._send(target, wire.ping(probe, target.key))
        self._at(self.s.timeout_ms * WITNESS_PART, "witness", probe)
        self._at(2 * self.s.period_ms, "silent", probe)
        return None

    # -- what is held of others

    def _record(self, m: Member) -> bytes:
        state = MemberState.ALIVE if m.there else m.state
        return wire.record(
            m.name, state, m.incarnation, m.instance, self._age(m), m.address if self.s.learnt else None
        )

    def _to(
        self, member: Member, state: MemberState, incarnation: int, restarted: bool = False, by: str = ""
    ) -> None:
        before, was = member.state, member.there
        member.state, member.incarnation = state, incarnation
        if before != state:
            member.since = self.now
        self._enlist(member)
        self.there += member.there - was
        if state is not MemberState.SUSPECT:
            member.suspicion = None
        self.digest.put(member)
        if before != state or restarted:
            self.acts.append(MemberChanged(member.name, before, state, incarnation, restarted, by))

    def _alive(
        self, member: Member, incarnation: int, instance: int, fresh: bool = False, restarted: bool = False
    ) -> None:
        known = member.instance == instance and member.state not in (MemberState.UNSEEN, MemberState.LEFT)
        joined = fresh or not known
        member.instance = instance
        self._to(member, MemberState.ALIVE, incarnation, restarted)
        self.news.put(member.key, self._record(member) if joined else wire.alive(member.key, incarnation, instance))
        if joined and member.key not in self._round:
            self._round.insert(int(self.rng.random() * (len(self._round) + 1)), member.key)

    def _joined(self, relay: Member, frame: Frame) -> None:
        """A whole record: of one that joined, or from a table that was compared."""
        key = member_id(frame.name)
        born = self.now - frame.age_units * wire.AGE_UNIT_MS
        if key == self.key:
            return self._spoken_of(frame, born)
        member = self.members.get(key)
        if member is None:
            if frame.state is not MemberState.ALIVE:
                return None  # or nobody could ever be forgotten: one would tell it to the other again
            if not self._room(direct=False):
                return self._drop("no room")
            member = self.members[key] = Member(
                key, frame.name, frame.address if self.s.learnt else None, False, since=self.now
            )
        fresh = member.state is MemberState.UNSEEN or is_newer(frame.incarnation, member.incarnation)
        if frame.state is MemberState.ALIVE:
            if not fresh:
                return None
            if member.instance != frame.instance:
                member.window, member.born = None, born  # it has yet to prove itself to us
            if self.s.learnt and frame.address:
                member.address = frame.address
            restarted = member.instance not in (0, frame.instance)
            return self._alive(member, frame.incarnation, frame.instance, restarted=restarted)
        if member.state is MemberState.UNSEEN:
            member.instance, member.born = frame.instance, born
            self._to(member, frame.state, frame.incarnation)
        elif frame.state is MemberState.FAILED:
            self._failed_word(member, frame.incarnation, relay.key)
        else:
            self._left_word(member, frame.incarnation)
        return None

    def _spoken_of(self, frame: Frame, born: float) -> None:
        """A record of our own name: an earlier life of ours, another process of that name, or a doubt."""
        if frame.instance == self.instance:
            if frame.state is not MemberState.ALIVE:
                self._object(frame.incarnation)
            return
        if is_newer(self.incarnation, frame.incarnation):
            return
        count, began = self._rivals.get(frame.instance, (0, born))
        began = min(began, born)  # an age that waited on the way is told too small, never too large
        if len(self._rivals) < 16 or frame.instance in self._rivals:
            self._rivals[frame.instance] = count + 1, began
        if frame.state is MemberState.ALIVE and count + 1 >= RIVAL:
            if self._older(self.began, self.instance, began, frame.instance):
                self.displaced = True
                self._tell("name", f"{self.s.name!r} is used by a newer process: this one takes no part any more")
                return
            self._tell("name", f"{self.s.name!r} is used by an older process too")
        self._object(frame.incarnation)

    def _object(self, incarnation: int) -> None:
        """Come above what is said of us; others learn it from every datagram of ours."""
        if not is_newer(self.incarnation, incarnation):
            self.incarnation = (incarnation + 1) % SERIAL_MODULUS
        self.news.put(self.key, self._record(self._own))

    def _doubted(self, frame: Frame) -> None:
        if frame.subject == self.key:
            if not is_newer(self.incarnation, frame.incarnation):
                self._unwell(1)
                self._object(frame.incarnation)
            return
        member = self.members.get(frame.subject)
        if member is None or member.state is MemberState.UNSEEN or is_newer(member.incarnation, frame.incarnation):
            return
        if frame.kind == FrameKind.SUSPECT:
            if member.there:
                self._suspect(member, frame.incarnation, frame.suspected_by)
        else:
            self._failed_word(member, frame.incarnation, frame.suspected_by)

    def _failed_word(self, member: Member, incarnation: int, by: bytes) -> None:
        if not member.there or is_newer(member.incarnation, incarnation):
            return
        if not member.suspicion or is_newer(incarnation, member.incarnation):
            self._suspect(member, incarnation, by)
        if member.suspicion and not member.suspicion.judged:
            member.suspicion.judged = True
            self._at(max(0.0, member.suspicion.until - self.now), "doubt", member.key)

    def _suspect(self, member: Member, incarnation: int, by: bytes) -> None:
        doubt = member.suspicion
        if doubt and not is_newer(incarnation, member.incarnation):
            if by in doubt.by or len(doubt.by) > doubt.wanted:
                return
            doubt.by[by] = None
        else:
            count = self.there + 1
            least, most = patience(self.s.alpha, self.s.beta, count, self.s.period_ms)
            wanted = min(self.s.confirmations, max(0, count - 2))
            member.suspicion = doubt = Suspicion(self.now, least, most if wanted else least, wanted, {by: None})
            self._to(member, MemberState.SUSPECT, incarnation, by=self._name(by))
        self.news.put(member.key, wire.suspect(member.key, incarnation, by))
        self._at(max(0.0, doubt.until - self.now), "doubt", member.key)

    def _doubt_over(self, key: bytes) -> None:
        member = self.members.get(key)
        # Each change of its end has set a timer of its own; one of those before comes too early and means nothing.
        if member and member.suspicion and self.now + 0.001 >= member.suspicion.until:
            self._fail(member, next(iter(member.suspicion.by)))

    def _fail(self, member: Member, by: bytes) -> None:
        self._to(member, MemberState.FAILED, member.incarnation, by=self._name(by))
        self.news.put(member.key, wire.failed(member.key, member.incarnation, by))

    def _gone(self, frame: Frame) -> None:
        if frame.subject == self.key:
            return self._object(frame.incarnation)
        if member := self.members.get(frame.subject):
            self._left_word(member, frame.incarnation)
        return None

    def _left_word(self, member: Member, incarnation: int) -> None:
        if member.state not in (MemberState.UNSEEN, MemberState.LEFT) and not is_newer(
            member.incarnation, incarnation
        ):
            self._to(member, MemberState.LEFT, incarnation)
            self.news.put(member.key, wire.left(member.key, incarnation))

    def _repeer(self, peers: tuple[tuple[str, Address], ...]) -> None:
        named = {member_id(name): (name, where) for name, where in peers if name != self.s.name}
        for member in list(self.members.values()):
            if member.fixed and member.key not in named:
                member.fixed, member.home = False, None
                self._unseen.pop(member.key, None)
                if not self.s.learnt:
                    self._forget(member)
        for key, (name, where) in named.items():
            known = self.members.get(key)
            if known:
                known.fixed, known.address = True, where
            else:
                known = self.members[key] = Member(key, name, where, True, since=self.now)
            known.home = where
            self._enlist(known)

    # -- comparing tables

    def _compare(self, relay: Member, frame: Frame) -> None:
        parts = [i for i, value in enumerate(frame.hashes) if value != self.digest.sums[i]]
        if not parts:
            return
        if frame.wants_reply:
            self._send(relay, wire.digest(self.digest.sums, False), bulk=True)
        # From another part each time, since the bound may cut any of them short.
        self._part += 1
        room = self.s.most_datagram - wire.OVERHEAD_BYTES
        frames, sent = b"", 0
        for i in range(len(parts)):
            part = parts[(self._part + i) % len(parts)]
            records = list(self.digest.members(part))
            self.rng.shuffle(records)
            for member in records:
                record = self._record(member)
                if len(frames) + len(record) > room:
                    if sent + 1 >= MOST_SYNC or not self._send(relay, frames, bulk=True):
                        return
                    frames, sent = b"", sent + 1
                frames += record
        if frames:
            self._send(relay, frames, bulk=True)

    # -- words of other pieces

    def _say(self, event: Broadcast) -> None:
        if self.displaced or self.leaving:
            return
        self._word += 1
        frame = wire.broadcast(self.key, self.instance, self._word, event.kind, event.data)
        self._remember((self.key, self.instance, self._word))
        self.news.put((self.key, self.instance, self._word), frame)

    def _remember(self, word: tuple[bytes, int, int]) -> bool:
        """Whether it is the first time; of MOST_WORDS words each counts once, an older one might count again."""
        if word in self._words:
            return False
        self._words[word] = None
        if len(self._words) > MOST_WORDS:
            self._words.popitem(last=False)
        return True

    def _word_came(self, relay: Member, frame: Frame) -> None:
        key = (frame.subject, frame.instance, frame.sequence)
        origin = self.members.get(frame.subject)
        if frame.subject == self.key or origin is None or origin.instance != frame.instance:
            return self._drop("word of nobody")  # an earlier life's, or of one that we don't know yet
        if self._remember(key):
            self.news.put(
                key, wire.broadcast(frame.subject, frame.instance, frame.sequence, frame.message_kind, frame.data)
            )
            self.acts.append(BroadcastReceived(origin.name, relay.name, frame.message_kind, frame.data))
        return None

    def _note(self, event: SendDirect) -> None:
        frame = wire.direct(event.kind, event.data)
        member = self.members.get(member_id(event.name))
        if member is None or member.window is None or self.displaced or self.leaving:
            self.sent["notes not sent"] += 1
        else:
            self._send(member, frame, plain=True, allowance=self._notes)

    # -- what goes out

    def _gossip(self) -> None:
        # While nobody is known several are tried at once; after that one at a time of those that were never heard of.
        wait = self.s.period_ms if self.there else self.s.timeout_ms
        unseen = [m for m in self._unseen.values() if m.tries < TRIES_FAST and self.now - m.tried_at >= wait]
        for member in self._some(unseen, 1 if self.there else JOIN_FIRST):
            self._try(member)
        if not len(self.news):
            return
        room = self.s.most_datagram - wire.OVERHEAD_BYTES
        for member in self._some(self._up, self.s.fanout):
            if self._bulk.left(self.now) < self.s.most_datagram:
                self.sent["held back"] += 1
                return
            if frames := self.news.take(room, self.there + 1, member.key):
                self._send(member, frames, bulk=True)

    def _send(
        self,
        member: Member,
        frames: bytes,
        to: Address | None = None,
        bulk: bool = False,
        plain: bool = False,
        allowance: Allowance | None = None,
    ) -> bool:
        """Sign and send, with as much news as fits beside; False where the bound on bytes holds it back."""
        where = to if to and self.s.learnt else member.address
        if where is None:
            return False
        allowance = allowance or (self._bulk if bulk else self._urgent)
        room = min(
            self.s.most_datagram - wire.OVERHEAD_BYTES - len(frames),
            int(allowance.left(self.now)) - wire.OVERHEAD_BYTES - len(frames),
        )
        if room < 0:
            self.sent["held back"] += 1
            return False
        if (
            not plain
            and member.window is None
            and self.s.learnt
            and not frames.startswith(bytes((FrameKind.RECORD,)))
        ):
            own = self._record(self._own)  # a stranger has to learn our name before it can answer
            if len(own) <= room:
                frames, room = frames + own, room - len(own)
        if not plain and len(self.news) and member.window is not None and not bulk:
            frames += self.news.take(min(room, self.s.most_datagram // 4), self.there + 1, member.key)
        self._number += 1
        data = wire.seal(self.keys[0], Header(self.key, self.instance, self.incarnation, self._number), frames)
        allowance.take(self.now, len(data))
        self.sent["bytes"] += len(data)
        self.sent["datagrams"] += 1
        self.acts.append(SendDatagram(where, data))
        return True

    def _leave(self) -> None:
        """Say that we go, to as many as news is told to at a time; they tell the others."""
        if self.leaving or self.displaced:
            return
        frame = wire.left(self.key, self.incarnation)
        for member in self._some(self._up, 2 * self.s.fanout):
            self._send(member, frame, plain=True)
        self.leaving = True
