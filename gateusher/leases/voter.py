"""A voter: grants each duty to one process at a time, and remembers what it must never grant again.

A grant of a duty under a fence is like a vote in a term (Raft): each fence is granted to one process at most, the
highest one is remembered on disk before it is told, and a majority makes a holder.  What runs out are sessions, one
for each process that holds anything (Chubby, 2006): one message prolongs all of its grants, so that 10,000 duties
cost no more than one while nothing changes.  A session that ran out is over for good; the next has a higher number,
by which the candidate knows that what was granted in the one before is void.

What this rests on:

* A session lasts from the moment the voter heard of it, its holder counts from before it spoke, and for less by the
  share that their clocks may differ (PaxosLease, 2012).  So the holder stops before any voter of its majority
  forgets.
* After its start a voter grants nothing new for one whole lease: what it may have granted and forgotten is over then.
  What it remembers, its holder may renew at once.
* A voter whose memory is gone, damaged, cut off at its end or older than what others saw of it, does not vote until
  more than half of the others that do, or all others whatever they remember, have told it the highest fence.
* Nothing that is remembered of a duty is forgotten but by raising the floor, under which no fence is granted.
* A disk that failed once is never written again by this process; it votes no more, and what it granted it keeps.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from .interface import (
    MAX_TASK_NAME_BYTES,
    Action,
    DiskFailed,
    Event,
    LeaseSettings,
    LogEvent,
    MessageReceived,
    RecordStored,
    SendMessage,
    StoreRecord,
    Tick,
    VotersChanged,
)
from .wire import (
    CheckpointWritten,
    DropSession,
    LeaseRequest,
    Message,
    PreVote,
    ReleaseAcknowledged,
    ReleaseLease,
    RenewSession,
    SessionRenewed,
    TaskReleased,
    Verdict,
    VoteReply,
    VoterStatus,
    WriteCheckpoint,
    decode,
    encode,
)

MOST_WAITING = 8  # of a duty that are told when it is free
MOST_WAITED = 4096  # duties for which anybody waits
NONCE_BITS = 20  # of a life, so that two of the same count differ
ASK_PART = 4  # of a lease, between two questions of one that remembers nothing


class Session:
    """What one process holds here: until when, and which duties."""

    __slots__ = ("duties", "number", "until")

    def __init__(self, number: int) -> None:
        self.number, self.until = number, 0.0
        self.duties: set[str] = set()


class Grant(NamedTuple):
    """The highest fence of a duty that was granted here, and to whom.  `session` 0: to nobody now."""

    fence: int
    holder: str
    instance: int
    session: int = 0
    released: bool = False


class Remembered(NamedTuple):
    """What the disk gave: `whole` is False for a memory that something may be missing from."""

    whole: bool
    state: bytes = b""
    records: tuple[bytes, ...] = ()


class Voter:
    """One voter.  Pure: the same events at the same times give the same actions.

    `life` is unlike any of this voter's before: without a disk the wall clock's milliseconds, with one its count of
    starts goes before it; `nonce` tells two lives of one count apart.
    """

    def __init__(self, settings: LeaseSettings, memory: Remembered, wall_ms: int, nonce: int, now: float) -> None:
        self.s, self.now = settings, now
        self.grants: dict[str, Grant] = {}
        self.marks: dict[str, tuple[int, int, bytes]] = {}  # by duty: fence, number, what its holder left
        self.floor = self.top = 0
        self.lowest = self.closed = 0
        self.life = 0
        self.seen: dict[str, int] = {}
        self.sessions: dict[tuple[str, int], Session] = {}
        self.waiting: dict[str, dict[str, None]] = {}
        self.broken = ""  # why its disk is not used any more
        self.trusted = False
        self.free_from = now + settings.lease_ms
        self.closed_at = now
        self.acts: list[Action] = []
        self.heard: dict[str, VoterStatus] = {}  # of other voters, in this life
        self._count = 0
        self._lasting = 0  # the last record that lasts
        self._unsaid: dict[int, list[SendMessage]] = {}  # until a record lasts
        self._ask_at = now
        self._told: set[str] = set()
        self._nonce = nonce % (1 << NONCE_BITS)
        for record in (*self._unpacked(memory.state), *memory.records):
            self._recall(record)
        # A folder in good order may be that of a voter which had yet to learn what it forgot.
        self.trusted = self.trusted and settings.durable and memory.whole
        before = self.life >> NONCE_BITS
        self.life = ((before + 1 if settings.durable else wall_ms) << NONCE_BITS) | self._nonce
        self._session = self.life  # numbers of sessions go up from here
        self._begun = 0  # the record that has to last before it may vote

    # -- memory

    @staticmethod
    def _unpacked(state: bytes) -> list[bytes]:
        return msgspec.msgpack.decode(state, type=list[bytes]) if state else []

    def _recall(self, record: bytes) -> None:
        what, *rest = msgspec.msgpack.decode(record)
        if what == "grant":
            duty, fence, holder, instance, lowest = rest[:5]
            self.grants[duty] = Grant(fence, holder, instance)
            self.top, self.lowest = max(self.top, fence), max(self.lowest, lowest)
        elif what == "floor":
            duty, floor = rest[:2]
            self.grants.pop(duty, None)
            self.marks.pop(duty, None)
            self.floor, self.top = max(self.floor, floor), max(self.top, floor)
        elif what == "mark":
            self.marks[rest[0]] = rest[1], rest[2], rest[3]
        elif what == "life":
            self.life = max(self.life, rest[0])
        elif what == "seen":
            self.seen[rest[0]] = rest[1]
        elif what == "trust":
            self.trusted = rest[0]
        elif what == "epoch":
            self.lowest, self.closed = max(self.lowest, rest[0]), max(self.closed, rest[1])

    def snapshot(self) -> bytes:
        """All that is remembered, as one record."""
        records: list[tuple[object, ...]] = [
            ("life", self.life),
            ("floor", "", self.floor),
            ("epoch", self.lowest, self.closed),
            ("trust", self.trusted),
        ]
        records += [("seen", name, life) for name, life in self.seen.items()]
        records += [("grant", d, g.fence, g.holder, g.instance, 0) for d, g in self.grants.items()]
        records += [("mark", d, *mark) for d, mark in self.marks.items()]
        return msgspec.msgpack.encode([msgspec.msgpack.encode(r) for r in records])

    def _store(self, *record: object) -> int:
        """Have it last; the number under which what depends on it waits."""
        self._count += 1
        if self.s.durable:
            if not self.broken:
                self.acts.append(StoreRecord(self._count, msgspec.msgpack.encode(record)))
        else:
            self._lasting = self._count
        return self._count

    def _say(self, to: str, message: Message, after: int = 0) -> None:
        send = SendMessage(to, encode(message))
        if after <= self._lasting:
            self.acts.append(send)
        elif not self.broken:
            self._unsaid.setdefault(after, []).append(send)

    def _tell(self, what: str, why: str) -> None:
        if why not in self._told:
            self._told.add(why)
            self.acts.append(LogEvent(what, why))

    # -- from outside

    @property
    def votes(self) -> bool:
        """Whether it may grant anything at all."""
        return self.trusted and not self.broken and self._begun > 0 and self._lasting >= self._begun

    @property
    def due(self) -> float:
        """When the next Tick is wanted."""
        if not self._begun:
            return self.now
        if self.trusted or self.broken:
            return self.now + self.s.lease_ms
        return min(self._ask_at, self.free_from) if self.now < self.free_from else self._ask_at

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event, give the actions that it calls for."""
        self.now, self.acts = max(self.now, now), []
        if not self._begun:
            self._begin()
        if type(event) is MessageReceived:
            if message := decode(event.data):
                self._take(event.origin, message)
        elif type(event) is RecordStored:
            self._lasts(event.number)
        elif type(event) is DiskFailed:
            self.broken = event.reason
            self._unsaid.clear()
            self._tell("vote", f"this voter votes no more until its next start: {event.reason}")
        elif type(event) is VotersChanged:
            self.s = event.settings
            self._tell(
                "voters",
                f"step {self.s.epoch}: {', '.join(self.s.voters)}"
                + (f", and before {', '.join(self.s.previous_voters)}" if self.s.previous_voters else ""),
            )
        elif type(event) is Tick:
            for key in [k for k, s in self.sessions.items() if s.until <= self.now]:
                self._over(key)
        if not self.trusted and not self.broken:
            if self.now >= self._ask_at:
                self._hello()
            self._consider()
        return self.acts

    def _lasts(self, number: int) -> None:
        self._lasting = max(self._lasting, number)
        for n in sorted(n for n in self._unsaid if n <= self._lasting):
            self.acts += self._unsaid.pop(n)

    # -- memory that can't be trusted

    def _begin(self) -> None:
        self._store("trust", self.trusted)
        self._begun = self._store("life", self.life)
        self._hello()

    def _hello(self) -> None:
        self._ask_at = self.now + self.s.lease_ms / ASK_PART
        for name in self.s.all_voters:
            if name != self.s.name:
                self._say(name, self._memory(name, wants_reply=True), self._begun)

    def _memory(self, to: str, wants_reply: bool) -> VoterStatus:
        return VoterStatus(
            self.life, self.seen.get(to, 0), self.votes, self.top, self.lowest, self.closed, wants_reply
        )

    def _remembers(self, origin: str, memory: VoterStatus) -> None:
        if origin not in self.s.all_voters or origin == self.s.name:
            return
        after = self._begun
        if memory.incarnation > self.seen.get(origin, 0):
            self.seen[origin] = memory.incarnation
            after = self._store("seen", origin, memory.incarnation)
        if memory.wants_reply:
            self._say(origin, self._memory(origin, wants_reply=False), after)
        if memory.seen_incarnation == self.life:
            self.heard[origin] = memory
            self._consider()
        elif memory.seen_incarnation >> NONCE_BITS >= self.life >> NONCE_BITS:
            # Our folder is a copy of an earlier day, or somebody votes beside us from another one.
            self._tell("vote", f"{origin} has seen a later life of this voter: its memory is old")
            self.trusted = False
            self.life = (((memory.seen_incarnation >> NONCE_BITS) + 1) << NONCE_BITS) | self._nonce
            self.heard.clear()
            self._begin()

    def _consider(self) -> None:
        """Whether enough is known of what this voter may have forgotten."""
        if self.trusted or self.now < self.free_from:
            return
        alone = True
        for voters in self.s.voter_sets:
            if self.s.name not in voters:
                continue
            others = [self.heard[n] for n in voters if n != self.s.name and n in self.heard]
            voting = sum(m.trusted for m in others)
            alone = alone and not voting
            if voting <= len(voters) // 2 and len(others) < len(voters) - 1:
                return
        heard = self.heard.values()
        self._raise(max([self.floor, self.top, *(m.highest_fence for m in heard)]))
        self.lowest = max([self.lowest, *(m.min_epoch for m in heard)])
        self._close(max([self.closed, *(m.closed_epoch for m in heard)]))
        if self.closed < self.s.epoch - 1:
            if self.s.epoch > 1 and not self.s.previous_voters:
                self._tell("voters", f"step {self.s.epoch} was never prepared by one that names `before`: no vote")
                return
            self._close(self.s.epoch - 1)
        self.trusted = True
        self._begun = self._store("trust", True)
        if alone and len(self.s.all_voters) > 1:
            self._tell("vote", "no voter remembers anything: fences rest on the wall clocks from here on")

    def _raise(self, floor: int) -> None:
        if floor > self.floor:
            self.floor, self.top = floor, max(self.top, floor)
            self._store("floor", "", floor)

    def _close(self, epoch: int) -> None:
        if epoch > self.closed:
            self.closed, self.closed_at = epoch, self.now
            self._store("epoch", self.lowest, self.closed)

    # -- questions and requests

    def _take(self, origin: str, message: Message) -> None:
        kind = type(message)
        if kind is VoterStatus:
            self._remembers(origin, message)  # type: ignore[arg-type]
        elif kind is PreVote:
            self._asked(origin, message)  # type: ignore[arg-type]
        elif kind is LeaseRequest:
            self._requested(origin, message)  # type: ignore[arg-type]
        elif kind is RenewSession:
            self._renewed(origin, message)  # type: ignore[arg-type]
        elif kind is ReleaseLease:
            self._released(origin, message)  # type: ignore[arg-type]
        elif kind is WriteCheckpoint:
            self._left(origin, message)  # type: ignore[arg-type]
        elif kind is DropSession:
            self._over((origin, message.instance))  # type: ignore[union-attr]

    def _highest(self, duty: str) -> int:
        grant = self.grants.get(duty)
        return max(self.floor, grant.fence) if grant else self.floor

    def _live(self, grant: Grant | None) -> Session | None:
        """The session in which a grant holds; None for one that is over."""
        if grant is None or not grant.session or grant.released:
            return None
        session = self.sessions.get((grant.holder, grant.instance))
        return session if session and session.number == grant.session and session.until > self.now else None

    def _step_allowed(self, epoch: int) -> bool:
        """A step follows one that is closed; whoever still goes by an earlier one is over a lease after that."""
        if epoch < self.lowest:
            return False
        return epoch <= self.closed or (epoch == self.closed + 1 and self.now >= self.closed_at + self.s.lease_ms)

    def _judge(self, origin: str, instance: int, epoch: int, duty: str) -> tuple[Verdict, float]:
        """Whether anybody's duty may become this process's, and if it is busy for how long."""
        if not self.votes or not 0 < len(duty.encode()) <= MAX_TASK_NAME_BYTES:
            return Verdict.ABSTAIN, 0.0
        if not self._step_allowed(epoch):
            return Verdict.WRONG_EPOCH, 0.0
        grant = self.grants.get(duty)
        own = grant is not None and (grant.holder, grant.instance) == (origin, instance)
        session = self._live(grant)
        if session and not own:
            return Verdict.BUSY, session.until - self.now
        if self.now < self.free_from and not (own and session):
            return Verdict.BUSY, self.free_from - self.now
        return Verdict.WOULD_GRANT, 0.0

    def _asked(self, origin: str, ask: PreVote) -> None:
        verdict, wait = self._judge(origin, -1, ask.epoch, ask.task)
        if verdict is Verdict.BUSY and (ask.task in self.waiting or len(self.waiting) < MOST_WAITED):
            queue = self.waiting.setdefault(ask.task, {})
            if len(queue) < MOST_WAITING:
                queue.setdefault(origin)
        self._say(
            origin,
            VoteReply(
                ask.round, verdict, 0, self._highest(ask.task), round(wait) + 1, ask.task, self.holder(ask.task)
            ),
        )

    def _requested(self, origin: str, request: LeaseRequest) -> None:
        duty, fence = request.task, request.fence
        grant, highest = self.grants.get(duty), self._highest(duty)
        own = grant is not None and (grant.holder, grant.instance) == (origin, request.instance)
        after, verdict, wait = 0, Verdict.GRANTED, 0.0
        if not self.votes or not duty or request.lease_ms > self.s.lease_ms:
            verdict = Verdict.ABSTAIN
            if request.lease_ms > self.s.lease_ms:
                self._tell("vote", f"{origin} asks for a longer lease than this voter grants")
        elif not self._step_allowed(request.epoch):
            verdict = Verdict.WRONG_EPOCH
        elif grant and fence == highest == grant.fence and own and not grant.released:
            after = self._count  # what was stored for it is among what was stored so far
            self._attach(origin, request, grant)
        elif fence <= highest:
            verdict = Verdict.STALE_FENCE
        else:
            verdict, wait = self._judge(origin, request.instance, request.epoch, duty)
            if verdict is Verdict.WOULD_GRANT:
                if grant is None and not self._room():
                    verdict = Verdict.ABSTAIN
                else:
                    verdict, after = Verdict.GRANTED, self._grant(origin, request)
        session = self.sessions.get((origin, request.instance))
        number = session.number if session and verdict is Verdict.GRANTED else 0
        told = fence if verdict is Verdict.GRANTED else highest
        mark = self.marks.get(duty, (0, 0, b"")) if verdict is Verdict.GRANTED else (0, 0, b"")
        self._say(origin, VoteReply(request.round, verdict, number, told, round(wait), duty, "", *mark), after)

    def _grant(self, origin: str, request: LeaseRequest) -> int:
        duty = request.task
        self._detach(duty)
        self.lowest = max(self.lowest, request.epoch)
        self.grants[duty] = grant = Grant(request.fence, origin, request.instance)
        self.top = max(self.top, request.fence)
        self._attach(origin, request, grant)
        self._wait_no_more(duty, origin)
        return self._store("grant", duty, request.fence, origin, request.instance, self.lowest)

    def _attach(self, origin: str, request: LeaseRequest, grant: Grant) -> None:
        """The grant goes on in the holder's session, which begins with it where there is none."""
        key = (origin, request.instance)
        session = self.sessions.get(key)
        if session is None or session.until <= self.now:
            self._over(key)
            self._session += 1
            session = self.sessions[key] = Session(self._session)
        session.until = max(session.until, self.now + request.lease_ms)
        session.duties.add(request.task)
        self.grants[request.task] = grant._replace(session=session.number)
        self._close_by(request.closed_epoch)

    def _detach(self, duty: str) -> None:
        if grant := self.grants.get(duty):
            if session := self.sessions.get((grant.holder, grant.instance)):
                session.duties.discard(duty)
            self.grants[duty] = grant._replace(session=0)

    def _over(self, key: tuple[str, int]) -> None:
        """A session ends, and with it what was granted in it."""
        if session := self.sessions.get(key):
            for duty in list(session.duties):
                self._detach(duty)
            del self.sessions[key]

    def _room(self) -> bool:
        """Room for one more duty: one that nobody holds is forgotten, and the floor rises above it."""
        if len(self.grants) < self.s.max_remembered_tasks:
            return True
        for duty, grant in self.grants.items():
            if not self._live(grant):
                self._detach(duty)
                del self.grants[duty]
                self.marks.pop(duty, None)
                self.floor = max(self.floor, grant.fence)
                self._store("floor", duty, self.floor)
                return True
        self._tell("vote", f"{self.s.max_remembered_tasks} duties are held: there is no room for more")
        return False

    def _close_by(self, epoch: int) -> None:
        if epoch <= self.s.epoch:
            self._close(epoch)

    def _renewed(self, origin: str, renew: RenewSession) -> None:
        key = (origin, renew.instance)
        session = self.sessions.get(key)
        if session is None or session.until <= self.now:
            self._over(key)
            self._say(origin, SessionRenewed(renew.round, 0, 0))
            return
        if not self.votes or renew.lease_ms > self.s.lease_ms or renew.epoch < self.lowest:
            return  # not prolonged; what was promised stands until its end
        session.until = max(session.until, self.now + renew.lease_ms)
        self._close_by(renew.closed_epoch)
        self._say(origin, SessionRenewed(renew.round, session.number, len(session.duties)))

    def _released(self, origin: str, release: ReleaseLease) -> None:
        """Its holder does nothing under this fence any more, and never will again: a late request must not bring it
        back."""
        duty, grant = release.task, self.grants.get(release.task)
        own = grant is not None and (grant.holder, grant.instance) == (origin, release.instance)
        if grant and own and release.fence >= grant.fence:
            free = self._live(grant) is not None
            self._detach(duty)
            self.grants[duty] = Grant(release.fence, origin, release.instance, 0, True)
            self.top = max(self.top, release.fence)
            if free:
                for place, name in enumerate(self.waiting.pop(duty, {})):
                    self._say(name, TaskReleased(self._highest(duty), place, duty))
        self._say(origin, ReleaseAcknowledged(release.fence, duty))

    def _left(self, origin: str, left: WriteCheckpoint) -> None:
        """Only whoever was granted the highest fence leaves marks; a late one of the holder before changes none."""
        duty, grant = left.task, self.grants.get(left.task)
        own = grant is not None and (grant.holder, grant.instance) == (origin, left.instance)
        if not self.votes or grant is None or not own or left.fence != grant.fence or grant.released:
            return
        after = self._count
        if (left.fence, left.number) > self.marks.get(duty, (0, 0, b""))[:2]:
            self.marks[duty] = left.fence, left.number, left.value
            after = self._store("mark", duty, left.fence, left.number, left.value)
        self._say(origin, CheckpointWritten(left.fence, left.number, duty), after)

    def _wait_no_more(self, duty: str, origin: str) -> None:
        if queue := self.waiting.get(duty):
            queue.pop(origin, None)
            if not queue:
                del self.waiting[duty]

    # -- for operators

    def holder(self, duty: str) -> str:
        """Who holds a duty by this voter's grants; "" for nobody."""
        grant = self.grants.get(duty)
        return grant.holder if grant and self._live(grant) else ""

    def held(self) -> Iterable[tuple[str, Grant, float]]:
        """The duties that are held by this voter's grants, by name: for how long at the most, in ms."""
        for duty in sorted(self.grants):
            grant = self.grants[duty]
            if session := self._live(grant):
                yield duty, grant, session.until - self.now
