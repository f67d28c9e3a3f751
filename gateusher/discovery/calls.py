"""Schedules calls to discovery: a pure state machine for polls, watches, backoff and hedged requests.

A call is one connection to discovery: a watch of the endpoint list, or a poll of the complete list that continues as
a watch.  `CallScheduler` decides which calls are open, which of them is the active watch, and when the next begins.

Bound.  A change of the list counts as notified `NOTIFICATION_BOUND_S` after discovery had it and could be reached,
regardless of earlier calls (STANDING), and `RELOAD_BOUND_S` after SIGHUP (DAYS).  The list must be received `SLACK_S`
before that, which covers the sweep interval, iterations of the event loop and the network.

- Backoff: if a call fails and no other call is open, the next one begins after `MAX_BACKOFF_S` at the latest, and
  after at most half of the time that was left when the failed call began: discovery may have recovered just then.
- Hedged requests: if a call stays silent, another one is opened beside it, and the silent call keeps its place in the
  service's queue.  A client that times out and calls again goes to the end of the queue, and lengthens it for all.
  The hedge begins after `HEDGE_DELAY_S`, or after half of the time left if a watch fell silent or SIGHUP arrived.

Of the 5.8 s (3.8 s after SIGHUP), this leaves the following time for a call to wait in the service's queue:

    refused until discovery could be reached        5.8 - MAX_BACKOFF_S                    3.5 s
    the same, and the next call is silent           5.8 - MAX_BACKOFF_S - HEDGE_DELAY_S    0.3 s
    refused Q after discovery could be reached      (5.8 - Q) / 2                          1.4 s for Q of 3 s
    calls that were silent until then               5.8 - HEDGE_DELAY_S                    2.6 s
    a watch that fell silent, ended or not          5.8 - heartbeat timeout                3.2 s
    the same, and the next call is silent           (5.8 - heartbeat timeout) / 2          1.6 s
    a watch that ended or can't be read             5.8 - the backoff, MAX_BACKOFF_S at most
    SIGHUP                                          3.8                                    3.8 s
    the same, and the first call is silent          3.8 / 2                                1.9 s

If the queue is longer than that, more calls would only lengthen it further.

Load.  At most `CallPolicy.max_pending` calls wait for their first response; a further call replaces the oldest one,
which has waited for at least 4.5 s ((5.8 - 2.6) / 2 + `NEXT_HEDGE_DELAY_S`).  A service that never responds thus
receives two calls at first, then one every `NEXT_HEDGE_DELAY_S`; a service that responds or refuses within half of
the bound receives one call at a time.  The balancer may request a call sooner, when it has a request and no endpoint;
it never delays one.

A watch is active once its head, an empty line or a list arrives, a poll only once its complete list has arrived.  The
first call to become active is kept, and all others are closed.

Limitation: if a service always takes longer than `HEDGE_DELAY_S` to respond, each sidecar has two calls in its queue.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Final, NamedTuple

NOTIFICATION_BOUND_S: Final = 6.0
RELOAD_BOUND_S: Final = 4.0
SLACK_S: Final = 0.2
HEDGE_DELAY_S: Final = NOTIFICATION_BOUND_S / 2 + SLACK_S  # a service that refuses calls has refused this one by then
NEXT_HEDGE_DELAY_S: Final = (
    NOTIFICATION_BOUND_S - SLACK_S
) / 2  # from a hedged request to the next call if neither gets a response
MIN_HEDGE_DELAY_S: Final = 1.0  # shortest delay of a hedged request; with less time left a new deadline is set
MAX_BACKOFF_S: Final = 2.3  # from a failed call to the next
FIRST_BACKOFF_S: Final = 0.2  # the same after SIGHUP; doubles with each failure
MAX_BACKOFF_DOUBLINGS: Final = 10


class CallPolicy(NamedTuple):
    """The timing of calls for one kind of discovery.  Times are seconds.

    `heartbeat_timeout_s` is the time without activity after which a watch counts as silent; heartbeats are sent
    every 2 s.  `hedge_delay_s` is the longest delay of a hedged request, `max_backoff_s` the longest backoff after a
    failed call.  `jitter` is the random fraction of the backoff, so that the processes of a fleet don't call at the
    same time.  `max_pending` limits the calls that wait for a response.
    """

    heartbeat_timeout_s: float
    hedge_delay_s: float = HEDGE_DELAY_S
    max_backoff_s: float = MAX_BACKOFF_S
    jitter: float = 0.0
    max_pending: int = 1


POLLED_POLICY: Final = CallPolicy(heartbeat_timeout_s=2.6, jitter=0.25, max_pending=2)


def pushed_policy(grace_s: float) -> CallPolicy:
    """Return the policy for pushed lists, where an agent on this machine responds at once.

    A change counts as notified as soon as the agent has it, so neither a lost call nor the backoff may take more
    than a quarter of the settings' grace.
    """
    return CallPolicy(heartbeat_timeout_s=3.0, hedge_delay_s=min(0.5, max(0.1, grace_s / 4)), max_backoff_s=0.05)


@dataclass(frozen=True, slots=True)
class ListWanted:
    """The list is needed now."""


@dataclass(frozen=True, slots=True)
class ListWantedLater:
    """The list is needed after the longest delay: at startup, where the balancer spreads the calls of a fleet."""


@dataclass(frozen=True, slots=True)
class ListUnwanted:
    """The list is not needed any more."""


@dataclass(frozen=True, slots=True)
class ConfigReloaded:
    """SIGHUP arrived; `address_changed` is set if discovery has another address now."""

    address_changed: bool


@dataclass(frozen=True, slots=True)
class WatchActive:
    """The watch of this call has sent a complete head, heartbeat or list."""

    call: int


@dataclass(frozen=True, slots=True)
class CompleteListReceived:
    """This call has received the complete list, and requests the watch on the same connection."""

    call: int


@dataclass(frozen=True, slots=True)
class CallEnded:
    """This call is over: refused, reset, ended by the service, answered with an error, or unreadable."""

    call: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; no open call has unread data."""


@dataclass(frozen=True, slots=True)
class OpenCall:
    """Begin a call with this number."""

    call: int


@dataclass(frozen=True, slots=True)
class CloseCall:
    """End a call, which then reports no `CallEnded`."""

    call: int


@dataclass(frozen=True, slots=True)
class AllCallsFailed:
    """No call is open any more; the balancer must be notified."""


Event = (
    ListWanted
    | ListWantedLater
    | ListUnwanted
    | ConfigReloaded
    | WatchActive
    | CompleteListReceived
    | CallEnded
    | Tick
)
Action = OpenCall | CloseCall | AllCallsFailed


@dataclass
class ActiveWatch:
    """The call whose watch is followed, and when it was last active."""

    call: int
    last_active_s: float


class CallScheduler:
    """Schedules the calls for one list.

    `random` returns random numbers in [0, 1).  Times are seconds of any monotonic clock.
    """

    def __init__(self, policy: CallPolicy, random: Callable[[], float]) -> None:
        self.policy = policy
        self._random = random
        self.pending: dict[int, float] = {}  # calls without a response, oldest first, and when each began
        self.watch: ActiveWatch | None = None
        self.due_s = inf  # when a `Tick` has an effect
        self._deadline_s = 0.0  # the list must be received by then
        self._consecutive_failures = 0
        self._urgent = False  # SIGHUP arrived, and no call has been active since
        self._call_count = 0

    def handle(self, now_s: float, event: Event) -> list[Action]:
        """Handle one event and return the resulting actions."""
        actions: list[Action] = []
        match event:
            case ListWanted():
                if not self._has_open_calls:
                    self._open(now_s, actions)
            case ListWantedLater():
                if not self._has_open_calls:
                    self.due_s = now_s + NEXT_HEDGE_DELAY_S
            case ListUnwanted():
                self._close_calls(actions)
                self.due_s = inf
            case ConfigReloaded(address_changed):
                self._config_reloaded(now_s, address_changed, actions)
            case WatchActive(call):
                self._watch_active(now_s, call, actions)
            case CompleteListReceived(call):
                self._complete_list_received(now_s, call, actions)
            case CallEnded(call):
                self._call_ended(now_s, call, actions)
            case Tick():
                if now_s >= self.due_s:
                    self._overdue(now_s, actions)
        return actions

    @property
    def _has_open_calls(self) -> bool:
        return bool(self.pending or self.watch)

    def _random_backoff_s(self) -> float:
        return self.policy.max_backoff_s * (1.0 - self.policy.jitter * self._random())

    def _close_calls(self, actions: list[Action], keep: int | None = None) -> None:
        """Close all calls but one."""
        actions += [CloseCall(call) for call in self.pending if call != keep]
        self.pending = {call: began_s for call, began_s in self.pending.items() if call == keep}
        if self.watch and self.watch.call != keep:
            actions.append(CloseCall(self.watch.call))
            self.watch = None

    def _open(self, now_s: float, actions: list[Action], urgent: bool = False) -> None:
        """Begin one more call, replacing the oldest pending one if there are too many."""
        if self._deadline_s - now_s < MIN_HEDGE_DELAY_S:
            self._deadline_s = now_s + NOTIFICATION_BOUND_S - SLACK_S
            self._urgent = False
            urgent = False
            if self.watch:  # it was silent until the old deadline
                actions.append(CloseCall(self.watch.call))
                self.watch = None
        while len(self.pending) >= self.policy.max_pending:
            oldest = next(iter(self.pending))
            del self.pending[oldest]
            actions.append(CloseCall(oldest))
        self._call_count += 1
        self.pending[self._call_count] = now_s
        actions.append(OpenCall(self._call_count))
        self._schedule_hedge(now_s, urgent or self._urgent)

    def _schedule_hedge(self, now_s: float, urgent: bool) -> None:
        """Set when the next call begins if the open calls stay silent."""
        left_s = self._deadline_s - now_s
        if len(self.pending) >= self.policy.max_pending:
            delay_s = NEXT_HEDGE_DELAY_S
        elif urgent:
            delay_s = max(MIN_HEDGE_DELAY_S, left_s / 2)
        else:
            delay_s = HEDGE_DELAY_S
        self.due_s = now_s + min(self.policy.hedge_delay_s, delay_s)

    def _overdue(self, now_s: float, actions: list[Action]) -> None:
        """Open a call: a backoff is over, a watch has fallen silent, or a hedged request is due."""
        fallen_silent = self.watch is not None and not self.pending
        if self.watch and fallen_silent:
            silent_deadline_s = self.watch.last_active_s + NOTIFICATION_BOUND_S - SLACK_S
            self._deadline_s = max(self._deadline_s, silent_deadline_s)
        self._open(now_s, actions, urgent=fallen_silent)

    def _config_reloaded(self, now_s: float, address_changed: bool, actions: list[Action]) -> None:
        if not address_changed and self.watch:
            silent_at_s = self.watch.last_active_s + self.policy.heartbeat_timeout_s
            if now_s < silent_at_s:
                return  # the watch is active
        self._deadline_s = now_s + RELOAD_BOUND_S - SLACK_S
        self._consecutive_failures = 0
        self._urgent = True
        if address_changed:
            self._close_calls(actions)
        if self.pending:  # pending calls keep their places in the service's queue
            self.due_s = min(self.due_s, now_s + (self._deadline_s - now_s) / 2)
        else:
            self._open(now_s, actions)

    def _watch_active(self, now_s: float, call: int, actions: list[Action]) -> None:
        if call in self.pending:
            self._close_calls(actions, keep=call)
            self.pending.clear()
            self.watch = ActiveWatch(call, now_s)
        elif self.watch and self.watch.call == call:
            self._close_calls(actions, keep=call)
            self.watch.last_active_s = now_s
        else:
            return  # closed already
        self._consecutive_failures = 0
        self._urgent = False
        self.due_s = now_s + self.policy.heartbeat_timeout_s

    def _complete_list_received(self, now_s: float, call: int, actions: list[Action]) -> None:
        if call not in self.pending:
            return
        self._close_calls(actions, keep=call)
        self._consecutive_failures = 0
        self._urgent = False
        self.pending[call] = now_s
        self._deadline_s = now_s + NOTIFICATION_BOUND_S - SLACK_S
        self._schedule_hedge(now_s, urgent=False)

    def _call_ended(self, now_s: float, call: int, actions: list[Action]) -> None:
        elapsed_s = 0.0
        refused = call in self.pending
        if refused:
            elapsed_s = now_s - self.pending.pop(call)
        elif self.watch and self.watch.call == call:
            self.watch = None
        else:
            return
        # A refusal shows that discovery could not be reached until now, and so does the end of an active watch.  The
        # end of a silent watch shows nothing new: its deadline counts from when it was last active.
        if not self._urgent and (refused or not self.pending):
            self._deadline_s = now_s + NOTIFICATION_BOUND_S - SLACK_S
        if refused and self.pending:
            # The service may refuse the other call as well.
            self.due_s = max(now_s + MIN_HEDGE_DELAY_S, max(self.pending.values()) + HEDGE_DELAY_S)
        if self._has_open_calls:
            return
        self._back_off(now_s, elapsed_s, actions)

    def _back_off(self, now_s: float, elapsed_s: float, actions: list[Action]) -> None:
        """Schedule the next call after one that failed in `elapsed_s` with no other call open."""
        backoff_s = min(
            self._random_backoff_s(), max(FIRST_BACKOFF_S, (NOTIFICATION_BOUND_S - SLACK_S - elapsed_s) / 2)
        )
        if self._urgent:
            doublings = min(self._consecutive_failures, MAX_BACKOFF_DOUBLINGS)
            backoff_s = min(backoff_s, FIRST_BACKOFF_S * 2**doublings)
        self._consecutive_failures += 1
        self.due_s = now_s + backoff_s
        actions.append(AllCallsFailed())
