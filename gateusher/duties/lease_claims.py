"""Lease claims on this machine: first come, first served for each task that this sidecar holds.  Pure.

A claim waits, holds the task, is notified to stop, and ends; it is never reused.  A claim of another process, made
over the control socket, is kept alive by that process's calls.  Each reply contains the remaining lease time, which
the caller counts from before it made the call.  A caller that makes no call until the last lease time that it was
notified of has expired makes no more writes.

`LeaseClaims` owns all claims of one sidecar.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from ..leases.interface import Acquire, Event, FenceRaised, LeaseAcquired, LeaseLost, StopWork, Withdraw, WorkEnded

MAX_CLAIMS = 20000
SHUTTING_DOWN = "this sidecar is shutting down"


class ClaimState(Enum):
    """The states of a claim, in their order; the values are sent to callers."""

    WAITING = "waiting"
    HELD = "held"
    STOPPING = "ending"  # the work has to end by `stop_by_ms`
    ENDED = "over"


class ClaimStatus(NamedTuple):
    """Reply to a caller.  `remaining_ms` is the remaining lease while held, the time left to stop while stopping."""

    state: ClaimState
    fence: int
    remaining_ms: float
    reason: str

    def to_json(self) -> dict[str, str | int | float]:
        """Return the reply to a call over the control socket."""
        return {
            "state": self.state.value,
            "fence": self.fence,
            "left_ms": self.remaining_ms,
            "why": self.reason,
        }


class Claim:
    """One claim to a task.  `on_change` is called after each change of state.

    `token` is a remote caller's secret, "" for a claim of this process.
    """

    def __init__(self, task: str, token: str, on_change: Callable[[Claim], None] | None) -> None:
        self.task = task
        self.token = token
        self.on_change = on_change
        self.state = ClaimState.WAITING
        self.fence = 0
        self.checkpoint = b""  # of the previous holder
        self.stop_by_ms = 0.0
        self.reason = ""
        self.last_call_ms = 0.0  # time of the last call of a remote caller
        self.notified_until_ms = 0.0  # until when a remote caller may work, by the replies that it was sent

    def change_state(self, state: ClaimState, reason: str = "") -> None:
        """Change the state; without a new reason the previous one stays."""
        self.state = state
        self.reason = reason or self.reason
        if self.on_change:
            self.on_change(self)


class LeaseClaims:
    """All claims of one sidecar.  `valid_lease` returns a held task's fence and lease expiry (ms), or None."""

    def __init__(self, lease_ms: float, valid_lease: Callable[[str, float], tuple[int, float] | None]) -> None:
        self._lease_ms = lease_ms
        self._valid_lease = valid_lease
        self._queues: dict[str, list[Claim]] = {}  # by task
        self._remote: OrderedDict[str, Claim] = OrderedDict()  # by token, the least recent call first
        self.closed = False

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    # -- adding and ending claims

    def add(
        self, task: str, token: str = "", on_change: Callable[[Claim], None] | None = None
    ) -> tuple[Claim, list[Event]]:
        """Add a claim at the end of its task's queue.  Raises ValueError over MAX_CLAIMS."""
        if len(self) >= MAX_CLAIMS:
            raise ValueError(f"{MAX_CLAIMS} claims at most")
        claim = Claim(task, token, on_change)
        if self.closed:
            claim.state = ClaimState.ENDED
            claim.reason = SHUTTING_DOWN
            return claim, []
        queue = self._queues.setdefault(task, [])
        queue.append(claim)
        return claim, [Acquire(task)] if len(queue) == 1 else []

    def end(self, claim: Claim) -> list[Event]:
        """End a claim: its work has ended, or it doesn't want the task any more."""
        queue = self._queues.get(claim.task, [])
        if claim.state is ClaimState.ENDED or claim not in queue:
            return []
        had_lease = claim.state in (ClaimState.HELD, ClaimState.STOPPING)
        claim.change_state(ClaimState.ENDED)
        queue.remove(claim)
        self._remote.pop(claim.token, None)
        events: list[Event] = []
        if had_lease:
            # Released before the next claim here requests it, so that other processes can acquire it.
            events += [Withdraw(claim.task), WorkEnded(claim.task)]
            if queue:
                events.append(Acquire(claim.task))
        elif not queue:
            events.append(Withdraw(claim.task))
        if not queue:
            self._queues.pop(claim.task, None)
        return events

    def close(self) -> list[Event]:
        """Shut down: end waiting claims, withdraw held tasks, and reject new claims."""
        self.closed = True
        events: list[Event] = []
        for task in list(self._queues):
            events.append(Withdraw(task))
            queue = self._queues[task]
            for claim in [claim for claim in queue if claim.state is ClaimState.WAITING]:
                claim.change_state(ClaimState.ENDED, SHUTTING_DOWN)
                queue.remove(claim)
                self._remote.pop(claim.token, None)
            if not queue:
                del self._queues[task]
        return events

    def reopen(self) -> None:
        """Accept claims again after `close`."""
        self.closed = False

    # -- lease changes from the candidate

    def on_lease_change(self, now: float, action: LeaseAcquired | FenceRaised | StopWork | LeaseLost) -> list[Event]:
        """Apply a change of a task's lease to the first claim in its queue."""
        queue = self._queues.get(action.task)
        first = queue[0] if queue else None
        if isinstance(action, LeaseAcquired):
            if first is None or first.state is not ClaimState.WAITING:
                return [Withdraw(action.task), WorkEnded(action.task)]  # the claim has ended in the meantime
            first.fence = action.fence
            first.checkpoint = action.checkpoint
            first.change_state(ClaimState.HELD)
        elif first and first.state is ClaimState.HELD and isinstance(action, StopWork | LeaseLost):
            first.stop_by_ms = action.until_ms if isinstance(action, StopWork) else now
            first.change_state(ClaimState.STOPPING, action.reason)
            if isinstance(action, LeaseLost) and first.token and first.notified_until_ms <= now:
                return self.end(first)  # the lease time that its caller knows of has expired
        return []

    # -- calls from other processes

    def call(self, now: float, task: str, token: str) -> tuple[ClaimStatus, list[Event]]:
        """Handle a call of a remote caller; the first one adds the claim.  Raises ValueError over MAX_CLAIMS."""
        claim = self._remote.get(token)
        events: list[Event] = []
        if claim is None:
            claim, events = self.add(task, token)
            if claim.state is ClaimState.WAITING:
                self._remote[token] = claim
        claim.last_call_ms = now
        if token in self._remote:
            self._remote.move_to_end(token)
        return self.status(now, claim), events

    def status(self, now: float, claim: Claim) -> ClaimStatus:
        """Return the claim's status, which its caller relies on from then on."""
        if claim.state is ClaimState.HELD:
            lease = self._valid_lease(claim.task, now)
            if lease is None:
                return ClaimStatus(ClaimState.STOPPING, claim.fence, 0.0, "its lease can't be confirmed")
            until_ms = lease[1]
            claim.notified_until_ms = max(claim.notified_until_ms, until_ms)
            return ClaimStatus(ClaimState.HELD, claim.fence, until_ms - now, "")
        remaining_ms = max(0.0, claim.stop_by_ms - now) if claim.state is ClaimState.STOPPING else 0.0
        return ClaimStatus(claim.state, claim.fence, remaining_ms, claim.reason)

    def end_remote(self, token: str) -> list[Event]:
        """End a claim whose remote caller reports that its work has ended."""
        claim = self._remote.get(token)
        return self.end(claim) if claim else []

    def end_unresponsive(self, now: float) -> list[Event]:
        """End the claims of callers without a call for one lease, once the lease time they know of has expired."""
        events: list[Event] = []
        while self._remote:
            claim = next(iter(self._remote.values()))
            if now - claim.last_call_ms <= self._lease_ms:
                break
            if claim.state is not ClaimState.WAITING and now <= max(claim.notified_until_ms, claim.stop_by_ms):
                claim.last_call_ms = now  # it may still be working; check again one lease later
                self._remote.move_to_end(claim.token)
                continue
            claim.reason = claim.reason or "its caller is unresponsive"
            events += self.end(claim)
        return events
