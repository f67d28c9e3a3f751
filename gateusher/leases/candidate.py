"""A candidate: gets duties from a majority of voters, knows until when it has them, and gives them up in order.

A duty that is wanted is first asked for, which changes nothing at the voters; only where a majority would grant it a
request follows, under a fence above all that they have seen and not below the wall clock's milliseconds.  (The wall
clock is a second line alone: where every voter has lost its memory at once, fences still go up unless the clocks have
gone back.)  A majority of grants makes a holder; its lease ends by the session that is the first to leave it without
a majority, each counted from before the question went out that its voter answered.

All proof is `proof`: it looks at the clock that it is handed, so that whoever stood still for a while learns it
there. Whoever has to let go of a duty says so to the voters only when the work has ended, or its lease anyway, and
doesn't take the duty back at once; one that loses it again and again waits longer each time, up to four leases.
"""

from __future__ import annotations

import heapq
from collections import Counter, OrderedDict, defaultdict, deque
from collections.abc import Iterable
from enum import Enum
from random import Random
from typing import NamedTuple

from .interface import (
    MAX_CHECKPOINT_BYTES,
    MAX_FENCE,
    MAX_TASK_NAME_BYTES,
    Acquire,
    Action,
    CheckpointSaved,
    Event,
    FenceRaised,
    LeaseAcquired,
    LeaseLost,
    LeaseSettings,
    LogEvent,
    MessageReceived,
    SaveCheckpoint,
    SendMessage,
    StopWork,
    VotersChanged,
    Withdraw,
    WorkEnded,
    Yield,
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
    WriteCheckpoint,
    YieldRequest,
    decode,
    encode,
)

RENEW_PART = 4  # of a lease, between two renewals of the session
ANSWER_PART = 8  # of a lease, for the answers to a question
MOST_ROUNDS = 4096  # whose time of sending is remembered
MOST_TRYING = 64  # duties that are asked for at a time; the others wait for their turn
AT_A_TIME = 32  # requests or releases to one voter beside one renewal
WRONG_COUNTS = 3  # times, a lease apart, that a voter has more of us than we know, until we begin anew
MOST_FLAPS = 3  # doublings of the wait after a loss


class State(Enum):
    WAITING = "waiting"  # until `at`
    ASKING = "asking"
    TRYING = "trying"
    HELD = "held"
    ENDING = "ending"  # it was held; its work may still run, until `until` at the longest


class View(NamedTuple):
    """What a voter's answers say of our session there, and of the one before.

    A promise stands until its end though the voter has begun anew: it grants nothing to others for a lease then.
    """

    session: int = 0
    end: float = -1e18
    heard: int = 0  # the last round that it answered
    past: int = 0
    past_end: float = -1e18

    def until(self, session: int) -> float:
        """Until when what was granted in this session holds."""
        return self.end if session == self.session else self.past_end if session == self.past else -1e18


Support = frozenset[tuple[str, int]]  # voters, and in which of their sessions they have granted


class Proof(NamedTuple):
    """That a duty is held now; `until` is on the clock that was handed in."""

    fence: int
    until: float


class _Duty:
    __slots__ = (
        "answers",
        "at",
        "fence",
        "flaps",
        "freed",
        "granted",
        "held_at",
        "highest",
        "holder",
        "left",
        "left_at",
        "mark",
        "name",
        "not_before",
        "round",
        "stale",
        "state",
        "target",
        "tries",
        "until",
        "wanted",
    )

    def __init__(self, name: str, now: float) -> None:
        self.name, self.state, self.wanted = name, State.WAITING, True
        self.at = self.not_before = now
        self.fence = self.target = self.highest = 0
        self.round = self.tries = self.flaps = 0
        self.answers: dict[str, VoteReply] = {}  # to the question or request of this round
        self.granted: dict[str, tuple[int, int]] = {}  # by voter: under which fence, in which session
        self.stale: set[str] = set()  # voters that have seen a higher fence than ours
        self.freed: dict[str, int] = {}
        self.until = self.held_at = 0.0
        self.holder = ""
        self.mark: tuple[int, int, bytes] = (0, 0, b"")  # the newest that is known: fence, number, value
        self.left = 0  # number of a mark of ours that not enough remember yet; 0 for none
        self.left_at: set[str] = set()  # voters that do

    @property
    def support(self) -> Support:
        return frozenset((voter, session) for voter, (_, session) in self.granted.items())


class Candidate:
    """One process's part.  Pure: the same events at the same times give the same actions.

    `instance` tells this process from any other of its name, a random number; `wall_ms` is the wall clock at `now`.
    """

    def __init__(self, settings: LeaseSettings, instance: int, seed: int, wall_ms: int, now: float) -> None:
        self.s, self.instance, self.rng = settings, instance, Random(seed)
        self.now, self._began, self._wall = now, now, wall_ms
        self.duties: dict[str, _Duty] = {}
        self.views: dict[str, View] = dict.fromkeys(settings.all_voters, View())
        self.closed = settings.epoch - 1
        self.acts: list[Action] = []
        self._round = 0
        self._sent: OrderedDict[int, float] = OrderedDict()
        self._timers: list[tuple[float, str]] = []
        self._turn: deque[str] = deque()  # duties whose time to ask has come
        self._trying: set[str] = set()  # and those that are asked for
        self._renew_at = 1e18
        self._unsaid: dict[tuple[str, str], int] = {}  # releases that a voter has not acknowledged
        self._idle_since = 0.0
        self._wrong: Counter[str] = Counter()
        self._count_at: dict[str, float] = {}
        # By voter: held duties that it has not granted.
        self._lacking: defaultdict[str, OrderedDict[str, None]] = defaultdict(OrderedDict)
        self._busy: set[str] = set()  # names of duties that are not WAITING
        self._ends: Counter[Support] = Counter()  # what holds the duties that are held, and how many

    # -- from outside

    def proof(self, duty: str, now: float) -> Proof | None:
        """Whether the duty is held at `now`, which is the clock just before an act; None where it can't be proven."""
        d = self.duties.get(duty)
        if d is None or d.state is not State.HELD:
            return None
        until = self._end(d.support)
        return Proof(d.fence, until) if now < until else None

    @property
    def idle(self) -> bool:
        """Whether nothing is held and nothing is to be said any more."""
        return not self._busy and not self._unsaid

    @property
    def due(self) -> float:
        """When the next Tick is wanted."""
        first = self._timers[0][0] if self._timers else 1e18
        ends = min((self._end(support) for support in self._ends), default=1e18)
        return min(first, self._renew_at, ends)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event, give the actions that it calls for.  Raises ValueError for a name that is none."""
        self.now, self.acts = max(self.now, now), []
        self._look()  # before anything else: we may have stood still
        if type(event) is MessageReceived:
            message = decode(event.data)
            if type(message) is YieldRequest:  # anybody may ask for that; the rest counts from voters alone
                self._give(message.task)
            elif message and event.origin in self.views:
                self._take(event.origin, message)
        elif type(event) is Acquire:
            self._want(event.task)
        elif type(event) is Withdraw:
            self._unwant(event.task)
        elif type(event) is Yield:
            self._give(event.task)
        elif type(event) is SaveCheckpoint:
            self._mark(event)
        elif type(event) is WorkEnded:
            self._ended(event.task)
        elif type(event) is VotersChanged:
            self._follow(event.settings)
        self._timers_due()
        while self._turn and len(self._trying) < MOST_TRYING:
            d = self.duties.get(self._turn.popleft())
            if d and d.state is State.WAITING and d.wanted:
                self._ask(d)
        if self.now >= self._renew_at:
            self._renew()
        return self.acts

    # -- time

    def _timer(self, d: _Duty, at: float) -> None:
        d.at = at
        heapq.heappush(self._timers, (at, d.name))

    def _timers_due(self) -> None:
        while self._timers and self._timers[0][0] <= self.now:
            at, name = heapq.heappop(self._timers)
            d = self.duties.get(name)
            if d is None or d.at != at:
                continue  # it has another timer by now
            if d.state is State.WAITING and d.wanted:
                self._turn.append(name)
            elif d.state is State.ASKING:
                self._asked_enough(d)
            elif d.state is State.TRYING:
                self._give_up_try(d)
            elif d.state is State.ENDING:
                self._let_go(d)

    def _end(self, support: Support) -> float:
        """Until when these grants are a majority of each set; long ago for none."""
        end = 1e18
        for voters in self.s.voter_sets:
            ends = sorted((self.views[v].until(session) for v, session in support if v in voters), reverse=True)
            need = len(voters) // 2
            end = min(end, ends[need] if len(ends) > need else -1e18)
        return end

    def _look(self) -> None:
        """Which of the duties that are held can't be proven any more."""
        over = {support for support in self._ends if self._end(support) <= self.now}
        if over:
            for d in [self.duties[n] for n in self._busy]:
                if d.state is State.HELD and d.support in over:
                    self._lose(d)

    # -- wanting

    def _want(self, name: str) -> None:
        if not 0 < len(name.encode()) <= MAX_TASK_NAME_BYTES:
            raise ValueError(f"a duty's name has 1 to {MAX_TASK_NAME_BYTES} bytes, found {name!r}"[:200])
        d = self.duties.get(name)
        if d is None:
            d = self.duties[name] = _Duty(name, self.now)
            self._timer(d, self.now)
        elif not d.wanted:
            d.wanted = True
            if d.state is State.WAITING:
                self._timer(d, max(self.now, d.not_before))

    def _unwant(self, name: str) -> None:
        d = self.duties.get(name)
        if d is None:
            return
        d.wanted = False
        if d.state is State.HELD:
            self._stop(d, "not wanted any more")
        elif d.state is State.TRYING:
            self._give_up_try(d)
        if d.state in (State.WAITING, State.ASKING):
            self._drop(d)

    def _drop(self, d: _Duty) -> None:
        self._busy.discard(d.name)
        self._trying.discard(d.name)
        self.duties.pop(d.name, None)

    def _give(self, name: str) -> None:
        d = self.duties.get(name)
        if d and d.state is State.HELD:
            d.not_before = self.now + self.s.lease_ms
            self._stop(d, "given")

    def _wait(self, d: _Duty, at: float) -> None:
        d.state = State.WAITING
        self._busy.discard(d.name)
        self._trying.discard(d.name)
        d.freed.clear()
        if d.wanted:
            self._timer(d, max(at, d.not_before))
        else:
            self._drop(d)

    def _answer_ms(self) -> float:
        return self.s.lease_ms / ANSWER_PART

    # -- asking

    def _next_round(self) -> int:
        self._round += 1
        self._sent[self._round] = self.now
        if len(self._sent) > MOST_ROUNDS:
            self._sent.popitem(last=False)
        return self._round

    def _say(self, to: str, message: Message) -> None:
        self.acts.append(SendMessage(to, encode(message)))

    def _ask(self, d: _Duty) -> None:
        d.state, d.round, d.answers = State.ASKING, self._next_round(), {}
        d.freed.clear()
        self._busy.add(d.name)
        self._trying.add(d.name)
        for voter in self.s.all_voters:
            self._say(voter, PreVote(d.round, self.s.epoch, d.name))
        self._timer(d, self.now + self._answer_ms())

    def _asked(self, d: _Duty) -> None:
        would = [v for v, a in d.answers.items() if a.verdict is Verdict.WOULD_GRANT]
        if self.s.is_majority(would):
            self._try(d)
        elif len(d.answers) == len(self.s.all_voters):
            self._asked_enough(d)

    def _asked_enough(self, d: _Duty) -> None:
        """Not now; again when enough voters may be free."""
        d.tries += 1
        waits = {
            v: float(a.wait_ms) if a.verdict is Verdict.BUSY else 0.0
            for v, a in d.answers.items()
            if a.verdict in (Verdict.BUSY, Verdict.WOULD_GRANT)
        }
        longest = 0.0
        for voters in self.s.voter_sets:
            known = sorted(waits[v] for v in voters if v in waits)
            need = len(voters) // 2
            longest = max(longest, known[need] if len(known) > need else self._back_off(d))
        self._wait(d, self.now + min(longest, self.s.lease_ms) + self.rng.random() * self._answer_ms() / 2)

    def _back_off(self, d: _Duty) -> float:
        return self._answer_ms() * min(4.0, 0.5 * 2.0 ** min(d.tries, 8)) * (0.5 + self.rng.random())

    def _try(self, d: _Duty) -> None:
        highest = max([d.highest, *(a.fence for a in d.answers.values()), *d.freed.values()])
        wall = int(self._wall + (self.now - self._began))
        d.fence = d.target = max(highest + 1, wall)
        if d.fence > MAX_FENCE:
            self.acts.append(LogEvent("duty", f"{d.name}: no fence is left above {highest}"))
            self._wait(d, self.now + self.s.lease_ms)
            return
        d.state, d.round, d.answers, d.granted = State.TRYING, self._next_round(), {}, {}
        d.stale.clear()
        self._busy.add(d.name)
        self._trying.add(d.name)
        for voter in self.s.all_voters:
            self._request(voter, d, d.round)
        self._timer(d, self.now + 2 * self._answer_ms())
        self._arm()

    def _request(self, voter: str, d: _Duty, number: int) -> None:
        self._say(
            voter,
            LeaseRequest(number, self.s.epoch, self.closed, d.target, self.instance, int(self.s.lease_ms), d.name),
        )

    def _give_up_try(self, d: _Duty) -> None:
        d.tries += 1
        self._release(d)
        self._wait(d, self.now + self._back_off(d))

    # -- holding

    def _support(self, d: _Duty, change: int) -> None:
        if d.state is State.HELD:
            support = d.support
            self._ends[support] += change
            if not self._ends[support]:
                del self._ends[support]

    def _granted(self, d: _Duty, voter: str, fence: int) -> None:
        session = self.views[voter].session
        before, was = d.granted.get(voter, (0, 0))
        self._support(d, -1)
        d.granted[voter] = max(fence, before) if was == session else fence, session
        self._support(d, +1)
        d.stale.discard(voter)
        enough = self.s.is_majority([v for v, (f, _) in d.granted.items() if f == d.target])
        if d.state is State.TRYING and enough and self._end(d.support) > self.now:
            d.state, d.tries, d.held_at = State.HELD, 0, self.now
            self._trying.discard(d.name)
            self.closed = max(self.closed, self.s.epoch)
            self._support(d, +1)
            for other in self.s.all_voters:
                if other not in d.granted:
                    self._lacking[other][d.name] = None
            d.at = 1e18
            d.left = 0
            self.acts.append(LeaseAcquired(d.name, d.fence, d.mark[2]))
            self._keep_mark(d, d.granted)
        elif d.state is State.HELD and enough and d.fence != d.target:
            d.fence = d.target
            self.acts.append(FenceRaised(d.name, d.fence))
        elif d.state is State.HELD and was != session:
            self._keep_mark(d, (voter,))

    def _stop(self, d: _Duty, why: str) -> None:
        """Its work is to end in what is left of the lease, which is not prolonged for it any more."""
        d.until = self._end(d.support)
        self._support(d, -1)
        d.state = State.ENDING
        self.acts.append(StopWork(d.name, d.until, why))
        self._timer(d, d.until + self._slack())

    def _lose(self, d: _Duty) -> None:
        if self.now - d.held_at > 8 * self.s.lease_ms:
            d.flaps = 0
        wait = self.s.lease_ms * 0.5 * 2.0**d.flaps * self.rng.random() if d.flaps else 0.0
        d.flaps = min(MOST_FLAPS, d.flaps + 1)
        d.not_before = self.now + wait
        self._support(d, -1)
        d.until = self.now
        d.state = State.ENDING
        self.acts.append(LeaseLost(d.name, "no majority of voters has prolonged it"))
        self._timer(d, self.now + self._slack())

    def _slack(self) -> float:
        """What a voter may grant longer than we hold."""
        return self.s.lease_ms - self.s.holder_lease_ms

    def _ended(self, name: str) -> None:
        d = self.duties.get(name)
        if d and d.state is State.ENDING:
            self._let_go(d)

    def _let_go(self, d: _Duty) -> None:
        """Its work has ended, or what was granted for it."""
        self._release(d)
        self._wait(d, self.now + self._answer_ms() * (0.5 + self.rng.random()))

    def _release(self, d: _Duty) -> None:
        for voter in self.s.all_voters:
            self._unsaid[voter, d.name] = d.target
            self._say(voter, ReleaseLease(d.target, self.instance, d.name))
            self._lacking[voter].pop(d.name, None)
        d.granted = {}
        d.highest = max(d.highest, d.target)
        self._arm()

    # -- what a holder leaves for the next

    def _mark(self, event: SaveCheckpoint) -> None:
        if len(event.value) > MAX_CHECKPOINT_BYTES:
            raise ValueError(f"a mark of {len(event.value)} bytes; {MAX_CHECKPOINT_BYTES} at most")
        d = self.duties.get(event.task)
        if d and d.state in (State.HELD, State.ENDING):
            number = d.mark[1] + 1
            d.mark, d.left = (d.fence, number, event.value), number
            d.left_at.clear()
            self._leave(d)

    def _leave(self, d: _Duty) -> None:
        """Tell it to those that may still take it, each under the fence that it has granted us."""
        for voter, (fence, _) in d.granted.items():
            if voter not in d.left_at:
                self._say(voter, WriteCheckpoint(fence, self.instance, d.left, d.name, d.mark[2]))

    def _keep_mark(self, d: _Duty, voters: Iterable[str]) -> None:
        """Those that grant it again, or for the first time, may have lost the mark, or never had it."""
        fence, number, value = d.mark
        if value:
            d.mark = max(fence, d.fence), number, value
            for voter in voters:
                self._say(voter, WriteCheckpoint(d.granted[voter][0], self.instance, number, d.name, value))

    def _was_left(self, voter: str, left: CheckpointWritten) -> None:
        d = self.duties.get(left.task)
        if d and d.left and left.number == d.left and voter in d.granted:
            d.left_at.add(voter)
            if self.s.is_majority(d.left_at):
                d.left = 0
                self.acts.append(CheckpointSaved(d.name, d.mark[2]))

    # -- the session

    def _arm(self) -> None:
        self._renew_at = min(self._renew_at, self.now + self.s.lease_ms / RENEW_PART)

    def _renew(self) -> None:
        held = any(self.duties[n].state in (State.TRYING, State.HELD, State.ENDING) for n in self._busy)
        if held:
            self._idle_since = self.now
        elif self.now - self._idle_since > 2 * self.s.lease_ms:
            self._unsaid.clear()  # all sessions are over
        if not held and not self._unsaid:
            self._renew_at = 1e18
            return
        self._renew_at = self.now + self.s.lease_ms / RENEW_PART
        for name in self._busy:
            if self.duties[name].left:
                self._leave(self.duties[name])
        if held:
            number = self._next_round()
            for voter in self.s.all_voters:
                self._say(voter, RenewSession(number, self.s.epoch, self.closed, self.instance, int(self.s.lease_ms)))
                self._ask_more(voter, number)
        for (voter, duty), fence in list(self._unsaid.items())[: AT_A_TIME * len(self.views)]:
            self._say(voter, ReleaseLease(fence, self.instance, duty))

    def _ask_more(self, voter: str, number: int) -> None:
        """Grants that this voter lacks, or has under another fence: it was away, or has forgotten."""
        lacking, session = self._lacking[voter], self.views[voter].session
        for name in list(lacking)[:AT_A_TIME]:
            d = self.duties.get(name)
            if d is None or d.state is not State.HELD or d.granted.get(voter) == (d.target, session):
                del lacking[name]
                continue
            if voter in d.stale and d.fence == d.target and self._must_rise(d):
                d.target = max(d.highest, d.target) + 1
                d.stale.clear()
                for other in self.s.all_voters:
                    self._lacking[other][name] = None
            if voter not in d.stale:
                lacking.move_to_end(name)
                self._request(voter, d, number)

    def _must_rise(self, d: _Duty) -> bool:
        """Whether the loss of one more voter would lose the duty, where others would grant it under a new fence."""
        good = {v for v, (_, session) in d.granted.items() if session == self.views[v].session}
        return any(not self.s.is_majority(good - {v}) for v in good) or not good

    # -- what comes in

    def _take(self, voter: str, message: Message) -> None:
        kind = type(message)
        if kind is VoteReply:
            self._answered(voter, message)  # type: ignore[arg-type]
        elif kind is SessionRenewed:
            self._renewed(voter, message)  # type: ignore[arg-type]
        elif kind is ReleaseAcknowledged:
            key = voter, message.task  # type: ignore[union-attr]
            if self._unsaid.get(key, -1) <= message.fence:  # type: ignore[union-attr]
                self._unsaid.pop(key, None)
        elif kind is TaskReleased:
            self._freed(voter, message)  # type: ignore[arg-type]
        elif kind is CheckpointWritten:
            self._was_left(voter, message)  # type: ignore[arg-type]

    def _seen(self, voter: str, session: int, number: int) -> bool:
        """An answer in a session prolongs it; False for one that is over."""
        view, sent = self.views[voter], self._sent.get(number)
        if session < view.session or sent is None:
            return False
        if session > view.session:
            self._void(voter, session)
            view = self.views[voter]
        self.views[voter] = view._replace(
            end=max(view.end, sent + self.s.holder_lease_ms), heard=max(view.heard, number)
        )
        return True

    def _void(self, voter: str, session: int) -> None:
        """This voter has begun another session, or will: what it granted goes on only to the end that it had."""
        view = self.views[voter]
        past = (view.session, view.end) if view.end > -1e17 else (view.past, view.past_end)
        self.views[voter] = View(session, -1e18, view.heard, *past)
        for name in self._busy:
            if self.duties[name].state is State.HELD:
                self._lacking[voter][name] = None
        self._wrong.pop(voter, None)

    def _answered(self, voter: str, answer: VoteReply) -> None:
        d = self.duties.get(answer.task)
        if answer.verdict is Verdict.GRANTED:
            mine = d is not None and d.state in (State.TRYING, State.HELD) and answer.fence in (d.fence, d.target)
            if not self._seen(voter, answer.session, answer.round):
                return
            if d is not None and mine:
                if d.state is State.TRYING:
                    d.mark = max(d.mark, (answer.checkpoint_fence, answer.checkpoint_number, answer.checkpoint))
                self._granted(d, voter, answer.fence)
                self._look()
            elif d is None or d.state is not State.ENDING:
                # A request that came late: nobody is to wait for what we don't hold.
                self._unsaid[voter, answer.task] = max(answer.fence, self._unsaid.get((voter, answer.task), 0))
                self._say(voter, ReleaseLease(answer.fence, self.instance, answer.task))
                self._arm()
            return
        if d is None:
            return
        d.highest = max(d.highest, answer.fence)
        if answer.holder:
            d.holder = answer.holder
        if d.state is State.ASKING and answer.round == d.round:
            d.answers[voter] = answer
            self._asked(d)
        elif d.state is State.TRYING and answer.round == d.round:
            d.answers[voter] = answer
            rest = [v for v in self.s.all_voters if v not in d.answers]
            if not self.s.is_majority(rest):
                self._give_up_try(d)
        elif (
            d.state is State.HELD
            and answer.verdict is Verdict.STALE_FENCE
            and answer.fence >= d.target
            and d.granted.get(voter, (0, 0))[1] != self.views[voter].session
        ):
            d.stale.add(voter)

    def _renewed(self, voter: str, answer: SessionRenewed) -> None:
        view = self.views[voter]
        if not answer.session:
            if answer.round > view.heard and view.end > -1e17:
                self._void(voter, view.session + 1)
            return
        if not self._seen(voter, answer.session, answer.round):
            return
        if self.now < self._count_at.get(voter, 0.0):
            return
        self._count_at[voter] = self.now + self.s.lease_ms
        held = sum(self.duties[n].granted.get(voter, (0, 0))[1] == answer.session for n in self._busy)
        held += sum(v == voter for v, _ in self._unsaid)
        self._wrong[voter] = self._wrong[voter] + 1 if answer.grant_count > held else 0
        if self._wrong[voter] >= WRONG_COUNTS:
            # It holds something for us of which we know nothing, so that nobody else can have it.
            self._void(voter, view.session + 1)
            self.views[voter] = self.views[voter]._replace(past=0)
            self._say(voter, DropSession(self.instance))
            self._look()

    def _freed(self, voter: str, free: TaskReleased) -> None:
        d = self.duties.get(free.task)
        if d is None or d.state is not State.WAITING or not d.wanted or self.now < d.not_before:
            return
        d.freed[voter] = free.fence
        d.highest = max(d.highest, free.fence)
        if free.queue_position:
            self._timer(d, min(d.at, self.now + free.queue_position * self._answer_ms() / 4))
        elif self.s.is_majority(d.freed):
            self._try(d)

    # -- another set of voters

    def _follow(self, settings: LeaseSettings) -> None:
        """What is held goes on only if the new majorities hold it too: it is asked for at the next renewal."""
        if settings.epoch == self.s.epoch:
            return
        held = [self.duties[n] for n in self._busy if self.duties[n].state is State.HELD]
        for d in held:
            self._support(d, -1)
        self.s = settings
        self.views = {v: self.views.get(v, View()) for v in settings.all_voters}
        self._unsaid = {k: f for k, f in self._unsaid.items() if k[0] in self.views}
        for d in held:
            d.granted = {v: f for v, f in d.granted.items() if v in self.views}
            self._support(d, +1)
        for d in held:
            self._stop(d, "the voters change")
