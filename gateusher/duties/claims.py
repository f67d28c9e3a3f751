"""Who on this machine is to have a duty that this sidecar holds, in the order of their asking.  Pure.

A claim waits, has the duty, is told to end, and is over; it is never used again.  One made by another process over
the control socket is kept up by its calls: each is told how long the proof still lasts, counted from before it was
made, so that its caller can count for itself; a caller that is silent until all that it was told is over does nothing
any more.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from ..leases.interface import Acquire, Event, FenceRaised, LeaseAcquired, LeaseLost, StopWork, Withdraw, WorkEnded

MOST_CLAIMS = 20000


class Stage(Enum):
    WAITING = "waiting"
    HELD = "held"
    ENDING = "ending"  # the work has to end until `until`
    OVER = "over"


class Said(NamedTuple):
    """What a caller is told: `left_ms` of proof, while held, or to end in."""

    state: str
    fence: int
    left_ms: float
    why: str


class Claim:
    """One wish for a duty.  `changed` is called after each change of its stage."""

    def __init__(self, duty: str, token: str, changed: Callable[[Claim], None] | None) -> None:
        self.duty, self.token, self.changed = duty, token, changed
        self.stage, self.fence, self.until, self.why = Stage.WAITING, 0, 0.0, ""
        self.mark = b""  # what the holder before has left
        self.called_at = 0.0
        self.told_until = 0.0  # what a remote caller was told of; it may work until then

    def _to(self, stage: Stage, why: str = "") -> None:
        self.stage, self.why = stage, why or self.why
        if self.changed:
            self.changed(self)


class Claims:
    """All claims of one sidecar.  `proof` says until when a duty is proven, or None."""

    def __init__(self, lease_ms: float, proof: Callable[[str, float], tuple[int, float] | None]) -> None:
        self._lease_ms, self._proof = lease_ms, proof
        self._queues: dict[str, list[Claim]] = {}
        self._remote: OrderedDict[str, Claim] = OrderedDict()
        self.closed = False

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    # -- made and ended

    def add(
        self, duty: str, token: str = "", changed: Callable[[Claim], None] | None = None
    ) -> tuple[Claim, list[Event]]:
        """A new claim, last in its duty's queue.  Raises ValueError where there are too many."""
        if len(self) >= MOST_CLAIMS:
            raise ValueError(f"{MOST_CLAIMS} claims at the most")
        claim = Claim(duty, token, changed)
        if self.closed:
            claim.stage, claim.why = Stage.OVER, "this sidecar ends"
            return claim, []
        queue = self._queues.setdefault(duty, [])
        queue.append(claim)
        return claim, [Acquire(duty)] if len(queue) == 1 else []

    def end(self, claim: Claim) -> list[Event]:
        """Its work has ended, or it doesn't want the duty any more."""
        queue = self._queues.get(claim.duty, [])
        if claim.stage is Stage.OVER or claim not in queue:
            return []
        had = claim.stage in (Stage.HELD, Stage.ENDING)
        claim._to(Stage.OVER)
        queue.remove(claim)
        self._remote.pop(claim.token, None)
        events: list[Event] = []
        if had:
            # Others here wait their turn among all: the duty is let go first, and asked for again.
            events += [Withdraw(claim.duty), WorkEnded(claim.duty)]
            if queue:
                events.append(Acquire(claim.duty))
        elif not queue:
            events.append(Withdraw(claim.duty))
        if not queue:
            self._queues.pop(claim.duty, None)
        return events

    def close(self) -> list[Event]:
        """This sidecar ends: nothing new, and what is held is to end.  What remains is over when it says so."""
        self.closed = True
        events: list[Event] = []
        for duty in list(self._queues):
            events.append(Withdraw(duty))
            for claim in [c for c in self._queues[duty] if c.stage is Stage.WAITING]:
                claim._to(Stage.OVER, "this sidecar ends")
                self._queues[duty].remove(claim)
                self._remote.pop(claim.token, None)
            if not self._queues[duty]:
                del self._queues[duty]
        return events

    # -- what the candidate says

    def told(self, now: float, action: LeaseAcquired | FenceRaised | StopWork | LeaseLost) -> list[Event]:
        queue = self._queues.get(action.task)
        first = queue[0] if queue else None
        if isinstance(action, LeaseAcquired):
            if first is None or first.stage is not Stage.WAITING:
                return [Withdraw(action.task), WorkEnded(action.task)]  # whoever wanted it has gone meanwhile
            first.fence, first.mark = action.fence, action.checkpoint
            first._to(Stage.HELD)
        elif first and first.stage is Stage.HELD and isinstance(action, StopWork | LeaseLost):
            first.until = action.until_ms if isinstance(action, StopWork) else now
            first._to(Stage.ENDING, action.reason)
            if isinstance(action, LeaseLost) and first.token and first.told_until <= now:
                return self.end(first)  # its caller knows that it may do nothing any more
        return []

    # -- callers from other processes

    def call(self, now: float, duty: str, token: str) -> tuple[Said, list[Event]]:
        """One call of a caller: how its claim stands.  The first makes it.  Raises ValueError for one too many."""
        claim, events = self._remote.get(token), list[Event]()
        if claim is None:
            claim, events = self.add(duty, token)
            if claim.stage is Stage.WAITING:
                self._remote[token] = claim
        claim.called_at = now
        if token in self._remote:
            self._remote.move_to_end(token)
        return self.said(now, claim), events

    def said(self, now: float, claim: Claim) -> Said:
        if claim.stage is Stage.HELD:
            proof = self._proof(claim.duty, now)
            if proof is None:
                return Said(Stage.ENDING.value, claim.fence, 0.0, "its lease can't be proven")
            claim.told_until = max(claim.told_until, proof[1])
            return Said(Stage.HELD.value, claim.fence, proof[1] - now, "")
        left = max(0.0, claim.until - now) if claim.stage is Stage.ENDING else 0.0
        return Said(claim.stage.value, claim.fence, left, claim.why)

    def done(self, token: str) -> list[Event]:
        """A caller says that its work has ended."""
        claim = self._remote.get(token)
        return self.end(claim) if claim else []

    def silent(self, now: float) -> list[Event]:
        """Claims whose callers are gone: those that wait after a lease of silence, the others when what they were
        told is over."""
        events: list[Event] = []
        while self._remote:
            claim = next(iter(self._remote.values()))
            if now - claim.called_at <= self._lease_ms:
                break
            if claim.stage is not Stage.WAITING and now <= max(claim.told_until, claim.until):
                claim.called_at = now  # it may still work; looked at again later
                self._remote.move_to_end(claim.token)
                continue
            claim.why = claim.why or "its caller is gone"
            events += self.end(claim)
        return events
