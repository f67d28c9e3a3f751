"""When discovery is called: one pure machine for every wait of the list.  Events in, actions out, no clock.

Bound.  A change counts as told 6 s after discovery had it and could be reached, whatever became of the calls before
(STANDING); 4 s after SIGHUP (DAYS).  The settings' grace counts from then and is none of ours.  So the list must be
in hand by `SLACK_S` before that; the slack is for ticks, turns of the loop and the way.

- Backoff: after a call that failed with nothing else pending, the next one begins after `MAX_BACKOFF_S` at the
  latest, and after half of what is left since the failed one began: discovery may have come back just then.
- Hedging: a call that says nothing gets another beside it, and keeps its place in the service's queue meanwhile.  Who
  times out and calls again goes to the end of that queue, and makes it longer for all.  The hedge begins after
  `HEDGE_S`; after half of what is left where a watch has fallen silent or SIGHUP has come: less is left there.

Of the 5.8 s (3.8 s after SIGHUP) this leaves for the queue in which a call waits until it is answered:

    refused until discovery could be reached        5.8 - MAX_BACKOFF_S             3.5 s
    the same, and the next call says nothing        5.8 - MAX_BACKOFF_S - HEDGE_S   0.3 s
    refused Q after discovery could be reached      (5.8 - Q) / 2                   1.4 s for Q of 3 s
    calls that said nothing until then              5.8 - HEDGE_S                   2.6 s
    a watch that has fallen silent, ended or not    5.8 - heartbeat timeout         3.2 s
    the same, and the next call says nothing        (5.8 - heartbeat timeout) / 2   1.6 s
    a watch that ended, was cut or can't be read    5.8 - the module's backoff, MAX_BACKOFF_S at most
    SIGHUP                                          3.8                             3.8 s
    the same, and the first call says nothing       3.8 / 2                         1.9 s

A queue in which a call waits longer than that for its answer, or so long that the service refuses it, is beyond what
any caller could do: more calls make it longer.

Load.  At most `RetryPolicy.max_pending` calls wait for their first word, and who opens one more gives up the oldest,
which has waited for 4.5 s or more; so a service that never answers gets two at once, then one each `HEDGED_S`.  One
that answers or refuses within half of the 6 s gets a single call each time, as if there were no hedging.  The module
may ask for a call sooner (it has a request and no endpoint); it never puts one off.

What says something: a watch by its head, an empty line or a list; a call for the whole list only by the whole list.
The first of several that does is kept, and all others are closed.  It could do harm where a service takes more than
`HEDGE_S` to answer each call for good: then each sidecar has two calls in its queue in place of one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Final, NamedTuple

TOLD_S: Final = 6.0  # from when discovery had a change and could be reached until it counts as told
MOVED_S: Final = 4.0  # and from SIGHUP on
SLACK_S: Final = 0.2  # of it for ticks (0.1 s), turns of the loop and the way
HEDGE_S: Final = TOLD_S / 2 + SLACK_S  # a call is left alone for so long: who refuses has done so by then
HEDGED_S: Final = (TOLD_S - SLACK_S) / 2  # from a hedge to the next call where neither is answered
MIN_HEDGE_S: Final = 1.0  # no call is left alone for less; where less is left, time counts anew
MAX_BACKOFF_S: Final = 2.3  # from a call that failed to the next
FIRST_BACKOFF_S: Final = 0.2  # the same where SIGHUP has just come; it doubles


class RetryPolicy(NamedTuple):
    """How one kind of discovery is called.  Seconds.

    `heartbeat_timeout_s`: a watch that says nothing for so long has fallen silent; heartbeats come each 2 s.
    `hedge_s`: the longest a call is left alone.  `max_backoff_s`: the longest wait after a call that failed.
    `jitter`: the part of that wait that is left to the draw, so that a fleet doesn't call at once.  `max_pending`:
    calls without a word at any time.
    """

    heartbeat_timeout_s: float
    hedge_s: float = HEDGE_S
    max_backoff_s: float = MAX_BACKOFF_S
    jitter: float = 0.0
    max_pending: int = 1


ASKED: Final = RetryPolicy(heartbeat_timeout_s=2.6, jitter=0.25, max_pending=2)


def pushed(grace_s: float) -> RetryPolicy:
    """Where lists are pushed: an agent on this machine, which answers at once and for nothing.

    What it has counts as told from the first moment, so that neither a call that is lost while it is silent nor the
    wait after one may use up more than a quarter of the grace that the settings give.
    """
    return RetryPolicy(heartbeat_timeout_s=3.0, hedge_s=min(0.5, max(0.1, grace_s / 4)), max_backoff_s=0.05)


@dataclass(frozen=True, slots=True)
class Follow:
    """The list is wanted now."""


@dataclass(frozen=True, slots=True)
class Later:
    """The list is wanted, by the longest wait: a start, where the module spreads the calls of a fleet."""


@dataclass(frozen=True, slots=True)
class Stop:
    """Nobody wants the list any more."""


@dataclass(frozen=True, slots=True)
class Reloaded:
    """SIGHUP, with another address or with the same."""

    moved: bool


@dataclass(frozen=True, slots=True)
class Spoke:
    """The watch of this call has said something whole."""

    call: int


@dataclass(frozen=True, slots=True)
class Asked:
    """This call has brought the whole list, and asks for the watch on its connection."""

    call: int


@dataclass(frozen=True, slots=True)
class Ended:
    """This call is over: refused, reset, answered 503, at its end, or not to be read on."""

    call: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; nothing that any open call has sent is still unread."""


@dataclass(frozen=True, slots=True)
class Open:
    """Begin a call under this number."""

    call: int


@dataclass(frozen=True, slots=True)
class Close:
    """End a call; its `Ended` is not wanted."""

    call: int


@dataclass(frozen=True, slots=True)
class Failed:
    """Nothing is out any more: the module is told."""


Event = Follow | Later | Stop | Reloaded | Spoke | Asked | Ended | Tick
Action = Open | Close | Failed


@dataclass
class _Watch:
    call: int
    heard_s: float  # when it last said something whole


class Calls:
    """The calls for one list.  `draw` gives numbers in [0, 1).  Times are seconds of any clock that goes evenly."""

    def __init__(self, policy: RetryPolicy, draw: Callable[[], float]) -> None:
        self.policy, self._draw = policy, draw
        self.pending: dict[int, float] = {}  # calls without a word, oldest first, and when each began
        self.watch: _Watch | None = None  # the call that has spoken
        self.due_s = inf  # when a tick has something to do
        self._by_s = 0.0  # the list must be in hand by then
        self._failed = 0  # calls that failed in a row, with nothing else out
        self._urgent = False  # SIGHUP has come, and nothing has spoken since
        self._calls = 0

    def handle(self, now_s: float, event: Event) -> list[Action]:
        """Take one event, give what is to be done."""
        acts: list[Action] = []
        match event:
            case Follow():
                if not self._out:
                    self._open(now_s, acts)
            case Later():
                if not self._out:
                    self.due_s = now_s + HEDGED_S
            case Stop():
                self._drop(acts)
                self.due_s = inf
            case Reloaded(moved):
                self._reloaded(now_s, moved, acts)
            case Spoke(call):
                self._spoke(now_s, call, acts)
            case Asked(call):
                self._asked(now_s, call, acts)
            case Ended(call):
                self._ended(now_s, call, acts)
            case Tick():
                if now_s >= self.due_s:
                    self._overdue(now_s, acts)
        return acts

    @property
    def _out(self) -> bool:
        return bool(self.pending or self.watch)

    def _backoff(self) -> float:
        return self.policy.max_backoff_s * (1.0 - self.policy.jitter * self._draw())

    def _drop(self, acts: list[Action], keep: int | None = None) -> None:
        """Close all calls but one."""
        acts += [Close(call) for call in self.pending if call != keep]
        self.pending = {call: began for call, began in self.pending.items() if call == keep}
        if self.watch and self.watch.call != keep:
            acts.append(Close(self.watch.call))
            self.watch = None

    def _open(self, now_s: float, acts: list[Action], urgent: bool = False) -> None:
        """One call more; who opens one too many gives up the oldest."""
        if self._by_s - now_s < MIN_HEDGE_S:
            self._by_s, self._urgent, urgent = now_s + TOLD_S - SLACK_S, False, False
            if self.watch:  # it has said nothing all the time
                acts.append(Close(self.watch.call))
                self.watch = None
        while len(self.pending) >= self.policy.max_pending:
            oldest = next(iter(self.pending))
            del self.pending[oldest]
            acts.append(Close(oldest))
        self._calls += 1
        self.pending[self._calls] = now_s
        acts.append(Open(self._calls))
        self._schedule_hedge(now_s, urgent or self._urgent)

    def _schedule_hedge(self, now_s: float, urgent: bool) -> None:
        """When the next call begins if those that are out say nothing."""
        left_s = self._by_s - now_s
        if len(self.pending) >= self.policy.max_pending:
            step_s = HEDGED_S
        elif urgent:
            step_s = max(MIN_HEDGE_S, left_s / 2)
        else:
            step_s = HEDGE_S
        self.due_s = now_s + min(self.policy.hedge_s, step_s)

    def _overdue(self, now_s: float, acts: list[Action]) -> None:
        """A wait is over, a watch has fallen silent, or a call has been left alone for long enough."""
        fallen_silent = self.watch is not None and not self.pending
        if self.watch and fallen_silent:
            self._by_s = max(self._by_s, self.watch.heard_s + TOLD_S - SLACK_S)
        self._open(now_s, acts, urgent=fallen_silent)

    def _reloaded(self, now_s: float, moved: bool, acts: list[Action]) -> None:
        if not moved and self.watch and now_s < self.watch.heard_s + self.policy.heartbeat_timeout_s:
            return  # it is followed
        self._by_s, self._failed = now_s + MOVED_S - SLACK_S, 0
        self._urgent = True
        if moved:
            self._drop(acts)
        if self.pending:  # they keep their places
            self.due_s = min(self.due_s, now_s + (self._by_s - now_s) / 2)
        else:
            self._open(now_s, acts)

    def _spoke(self, now_s: float, call: int, acts: list[Action]) -> None:
        if call in self.pending:
            self._drop(acts, keep=call)
            self.pending.clear()
            self.watch = _Watch(call, now_s)
        elif self.watch and self.watch.call == call:
            self._drop(acts, keep=call)
            self.watch.heard_s = now_s
        else:
            return  # closed meanwhile
        self._failed, self._urgent = 0, False
        self.due_s = now_s + self.policy.heartbeat_timeout_s

    def _asked(self, now_s: float, call: int, acts: list[Action]) -> None:
        if call not in self.pending:
            return
        self._drop(acts, keep=call)
        self._failed, self._urgent = 0, False
        self.pending[call] = now_s
        self._by_s = now_s + TOLD_S - SLACK_S
        self._schedule_hedge(now_s, urgent=False)

    def _ended(self, now_s: float, call: int, acts: list[Action]) -> None:
        took_s, refused = 0.0, call in self.pending
        if refused:
            took_s = now_s - self.pending.pop(call)
        elif self.watch and self.watch.call == call:
            self.watch = None
        else:
            return
        # A refusal says that discovery could not be reached until now, and so does the end of a watch that was
        # followed.  The end of one that had fallen silent says nothing new: time counts from its last word.
        if not self._urgent and (refused or not self.pending):
            self._by_s = now_s + TOLD_S - SLACK_S
        if refused and self.pending:
            # It may refuse that one as well.
            self.due_s = max(now_s + MIN_HEDGE_S, max(self.pending.values()) + HEDGE_S)
        if self._out:
            return  # what is out has its own time
        wait_s = min(self._backoff(), max(FIRST_BACKOFF_S, (TOLD_S - SLACK_S - took_s) / 2))
        if self._urgent:
            wait_s = min(wait_s, FIRST_BACKOFF_S * 2 ** min(self._failed, 10))
        self._failed += 1
        self.due_s = now_s + wait_s
        acts.append(Failed())
