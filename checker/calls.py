"""Explore the discovery calls for the endpoint list: responses, silence, rejections, ends, reloads and time.

Between two events time may pass to the next timer, or half of the way there.  In a fair run discovery is reachable
from the selected state on: calls that start after it are answered after a fixed wait, and calls that started before
never are.  The deadlines for the complete list come from the documentation, not from the machine under test.
"""

from __future__ import annotations

import math
import pickle
from random import Random
from typing import NamedTuple

from gateusher.discovery.calls import (
    POLLED_POLICY,
    Action,
    CallEnded,
    CallScheduler,
    CloseCall,
    CompleteListReceived,
    ConfigReloaded,
    Event,
    ListWanted,
    ListWantedLater,
    OpenCall,
    Tick,
    WatchActive,
)

MAX_STALENESS_S, MAX_MIGRATION_S = 6.0, 4.0  # the documented limits (STANDING, DAYS)
TICK_S = 0.1  # the period of the sweep that drives the machine
REJECTION_TIMEOUT_S = 3.0  # half of the 6 s: a service that rejects a call has done so by then
INITIAL_EVENT = ListWanted()
PENDING_CALL_NAMES = ("the older call", "the newer call")


class ReachableService(NamedTuple):
    """The behavior of a reachable discovery service: calls are answered `wait_s` after they start."""

    wait_s: float
    lost: int = 0  # the number of first calls that are never answered
    rejects_pending: bool = False  # earlier calls are rejected REJECTION_TIMEOUT_S after they started


def longest() -> float:
    """Return the random draw that gives the longest wait."""
    return 0.0


def next_sweep_s(due_s: float) -> float:
    """Return the time of the first sweep at or after `due_s`."""
    return max(due_s, math.ceil(due_s / TICK_S - 1e-5) * TICK_S)


class World:
    """One sidecar's call scheduler, and a discovery service with arbitrary behavior."""

    def __init__(self, start: Event = INITIAL_EVENT) -> None:
        self.calls = CallScheduler(POLLED_POLICY, longest)
        self.now = 0.0
        self.broken: list[str] = []
        self.open: list[int] = []  # open calls, in the order of their start
        self.started_at: dict[int, float] = {}
        self.sighup_at = -math.inf  # time of the last SIGHUP
        self.rejected_at = -math.inf  # time of the last rejected call
        self.silent_at: float | None = None  # last activity of a watch that fell silent; None after a rejection
        self.hurried = False  # the last call started after a silent watch, with no rejection since
        self.event: Event | None = None  # the last event
        self._handle(start)

    # -- events

    def options(self) -> list[str]:
        """Return the texts of the possible events."""
        found = [
            "time passes to what is due",
            "half of that time passes",
            "the module asks",
            "SIGHUP names another address",
            "SIGHUP names the same",
        ]
        for name, _ in zip(PENDING_CALL_NAMES, self.calls.pending, strict=False):
            found += [f"{name} speaks", f"{name} brings the whole list", f"{name} ends"]
        if self.calls.watch:
            found += ["the watch speaks", "the watch ends"]
        return found

    def take(self, event: str) -> None:
        """Execute the event of this text."""
        self.event = None
        match event:
            case "time passes to what is due":
                self._advance_to_timer()
            case "half of that time passes":
                self.now += max(0.0, (self.calls.due_s - self.now) / 2)
            case "the module asks":
                self._handle(ListWanted())
            case "SIGHUP names another address":
                self._handle(ConfigReloaded(True))
            case "SIGHUP names the same":
                self._handle(ConfigReloaded(False))
            case "the watch speaks":
                assert self.calls.watch
                self._handle(WatchActive(self.calls.watch.call))
            case "the watch ends":
                assert self.calls.watch
                self._end(self.calls.watch.call)
            case _:
                index = next(i for i, name in enumerate(PENDING_CALL_NAMES) if event.startswith(name))
                call, what = list(self.calls.pending)[index], event[len(PENDING_CALL_NAMES[index]) + 1 :]
                if what == "speaks":
                    self._handle(WatchActive(call))
                elif what == "ends":
                    self._end(call)
                else:
                    self._handle(CompleteListReceived(call))

    def _advance_to_timer(self) -> None:
        """Advance the time to the first sweep at which the machine is due, and tick."""
        due = self.calls.due_s
        if due == math.inf:
            self.broken.append("no timer is set although the list is wanted")
            return
        self.now = max(self.now, next_sweep_s(due))
        self._handle(Tick())

    def _end(self, call: int) -> None:
        self.open.remove(call)
        self._handle(CallEnded(call))

    def _handle(self, event: Event) -> list[Action]:
        calls, self.event = self.calls, event
        if isinstance(event, ConfigReloaded):
            self.sighup_at = self.now
        before, watch = dict(calls.pending), calls.watch
        urgent = watch is not None or self.hurried or self.now - self.sighup_at < MAX_MIGRATION_S
        actions = calls.handle(self.now, event)
        if (
            isinstance(event, WatchActive | CompleteListReceived | ConfigReloaded)
            or isinstance(event, CallEnded)
            and event.call in before
        ):
            self.silent_at, self.hurried = None, False
            if isinstance(event, CallEnded):
                self.rejected_at = self.now
        elif type(event) is Tick and watch and not before and calls.pending:
            self.hurried = True
            self.silent_at = watch.last_active_s if self.rejected_at <= watch.last_active_s else None
        for action in actions:
            if isinstance(action, OpenCall):
                self.open.append(action.call)
                self.started_at[action.call] = self.now
                if (
                    type(event) is Tick
                    and not urgent
                    and before
                    and self.now - max(before.values()) < min(REJECTION_TIMEOUT_S, POLLED_POLICY.hedge_delay_s) - 1e-6
                    and len(before) < 2
                ):
                    self.broken.append("another call beside one that the service may still refuse")
            elif isinstance(action, CloseCall):
                self.open.remove(action.call)
        if len(calls.pending) > 2 or len(self.open) > 3:
            self.broken.append(f"{len(self.open)} calls are open")
        known = set(calls.pending) | ({calls.watch.call} if calls.watch else set())
        if known != set(self.open):
            self.broken.append("the machine's calls differ from the open calls")
        return actions

    def form(self) -> object:
        """Return the canonical state, with times relative to now."""
        calls, now = self.calls, self.now
        return (
            [round(now - started_at, 3) for started_at in calls.pending.values()],
            calls.watch and round(now - calls.watch.last_active_s, 3),
            round(calls.due_s - now, 3),
            round(calls._deadline_s - now, 3),
            min(calls._consecutive_failures, 5),
            calls._urgent,
            self.broken,
            type(self.event).__name__,
            round(min(now - self.sighup_at, 9.0), 3),
            self.silent_at is not None and round(now - self.silent_at, 3),
            self.hurried,
            calls.watch is not None and self.rejected_at <= calls.watch.last_active_s,
        )

    # -- fair runs

    def settles(self) -> list[str]:
        """Return the violations of each fair run, on copies, with half a tick of tolerance for rounding."""
        found = self._check_recovery("whatever was before", ReachableService(2.6), MAX_STALENESS_S)
        found += self._check_recovery(
            "what was out is refused as it comes back", ReachableService(1.2, rejects_pending=True), MAX_STALENESS_S
        )
        found += self._check_recovery("a line in which nobody is refused", ReachableService(4.4), 2 * MAX_STALENESS_S)
        if not self.open:
            found += self._check_recovery(
                "refused until now, and the next call says nothing", ReachableService(0.2, lost=1), MAX_STALENESS_S
            )
        if isinstance(self.event, WatchActive) and not self.calls.pending:
            found += self._check_recovery("the watch has fallen silent", ReachableService(3.1), MAX_STALENESS_S)
            found += self._check_recovery(
                "the watch has fallen silent, and so does the next call", ReachableService(1.5, 1), MAX_STALENESS_S
            )
        if self.silent_at is not None and not self.calls.watch and len(self.calls.pending) == 1:
            found += self._check_recovery(
                "the watch has fallen silent and ended, and the call behind it says nothing",
                ReachableService(1.5),
                self.silent_at + MAX_STALENESS_S - self.now,
            )
        if isinstance(self.event, ConfigReloaded) and self.event.address_changed:
            found += self._check_recovery("SIGHUP", ReachableService(3.8), MAX_MIGRATION_S, answers_current=True)
            found += self._check_recovery(
                "SIGHUP, and its first call says nothing", ReachableService(1.9), MAX_MIGRATION_S
            )
        return found

    def _check_recovery(
        self, what: str, service: ReachableService, within_s: float, answers_current: bool = False
    ) -> list[str]:
        """Return a violation if the complete list does not arrive in time.

        `answers_current`: a call that starts at this moment is answered too.
        """
        world: World = pickle.loads(pickle.dumps(self))
        current = {c for c in world.open if answers_current and world.started_at[c] == world.now}
        start, lost, answers = world.now, service.lost, {c: world.now + service.wait_s for c in current}
        rejections = sorted(
            (max(world.now, world.started_at[c] + REJECTION_TIMEOUT_S), c)
            for c in world.calls.pending
            if service.rejects_pending
        )
        for _ in range(200):
            due = next_sweep_s(world.calls.due_s)
            first = min(answers.values(), default=math.inf)
            if rejections and rejections[0][0] <= min(first, due):
                world.now, call = rejections.pop(0)
                if call in world.open:
                    world._end(call)
                continue
            if first <= max(due, world.now):
                duration_s = first - start
                on_time = duration_s <= within_s + TICK_S / 2
                return [] if on_time else [f"{what}: the complete list arrives after {duration_s:.2f} s"]
            if due - start > 30.0:
                break
            world.now = max(world.now, due)
            for action in world._handle(Tick()):
                if isinstance(action, CloseCall):
                    answers.pop(action.call, None)
                elif isinstance(action, OpenCall) and lost:
                    lost -= 1
                elif isinstance(action, OpenCall):
                    answers[action.call] = world.now + service.wait_s
            if world.broken:
                return world.broken
        return [f"{what}: the complete list never arrives"]


def walk(seed: int, steps: int, start: Event = INITIAL_EVENT) -> tuple[list[str], list[str]]:
    """Run a random execution, with fair runs after every event; return its trace and the violations."""
    rng, world, trace = Random(seed), World(start), list[str]()
    for _ in range(steps):
        event = rng.choice(world.options())
        trace.append(event)
        world.take(event)
        broken = world.broken or world.settles()
        if broken:
            return trace, broken
    return trace, []


STARTS: dict[str, Event] = {"wanted": INITIAL_EVENT, "a start": ListWantedLater()}
