"""The calls for the list under every order of answers, silence, refusals, ends and reloads, with time.

Between any two events time may pass to what is due, or half of the way there.  From each state that is chosen for it,
discovery can be reached from then on: calls that begin after that are answered when they have waited their turn, and
none that began before ever is.  By when the list must be in hand then is what the page says, not what the machine
says of itself.
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

TOLD_S, MOVED_S = 6.0, 4.0  # STANDING, DAYS
TICK_S = 0.1  # the sweep that drives the machine
ALONE_S = 3.0  # half of the 6 s: a service that refuses has done so by then
FOLLOW = ListWanted()
PLACES = ("the older call", "the newer call")


class Line(NamedTuple):
    """Discovery can be reached: how long a call waits for its answer, and how many are never answered before it."""

    wait_s: float
    lost: int = 0
    refuses: bool = False  # calls that are out as discovery comes back are refused when they have waited for ALONE_S


def longest() -> float:
    """The draw of whoever waits for the longest."""
    return 0.0


def sweep(due_s: float) -> float:
    """The first sweep at which this is due."""
    return max(due_s, math.ceil(due_s / TICK_S - 1e-5) * TICK_S)


class World:
    """One sidecar's machine, and a service that may do anything."""

    def __init__(self, start: Event = FOLLOW) -> None:
        self.calls = CallScheduler(POLLED_POLICY, longest)
        self.now = 0.0
        self.broken: list[str] = []
        self.open: list[int] = []  # calls that are open, in the order of their beginning
        self.began: dict[int, float] = {}
        self.sighup_at = -math.inf  # when SIGHUP came last
        self.refused_at = -math.inf  # when a call was refused last
        self.silent_at: float | None = None  # the last word of a watch that fell silent; no refusal came since
        self.hurried = False  # the last call began behind a silent watch; no refusal came since
        self.event: Event | None = None  # what happened last
        self._give(start)

    # -- what can happen

    def options(self) -> list[str]:
        found = [
            "time passes to what is due",
            "half of that time passes",
            "the module asks",
            "SIGHUP names another address",
            "SIGHUP names the same",
        ]
        for place, _ in zip(PLACES, self.calls.pending, strict=False):
            found += [f"{place} speaks", f"{place} brings the whole list", f"{place} ends"]
        if self.calls.watch:
            found += ["the watch speaks", "the watch ends"]
        return found

    def take(self, word: str) -> None:
        self.event = None
        match word:
            case "time passes to what is due":
                self._pass()
            case "half of that time passes":
                self.now += max(0.0, (self.calls.due_s - self.now) / 2)
            case "the module asks":
                self._give(ListWanted())
            case "SIGHUP names another address":
                self._give(ConfigReloaded(True))
            case "SIGHUP names the same":
                self._give(ConfigReloaded(False))
            case "the watch speaks":
                assert self.calls.watch
                self._give(WatchActive(self.calls.watch.call))
            case "the watch ends":
                assert self.calls.watch
                self._end(self.calls.watch.call)
            case _:
                at = next(i for i, place in enumerate(PLACES) if word.startswith(place))
                call, what = list(self.calls.pending)[at], word[len(PLACES[at]) + 1 :]
                if what == "speaks":
                    self._give(WatchActive(call))
                elif what == "ends":
                    self._end(call)
                else:
                    self._give(CompleteListReceived(call))

    def _pass(self) -> None:
        """Time passes to the first sweep at which something is due."""
        due = self.calls.due_s
        if due == math.inf:
            self.broken.append("nothing is due any more, and the list is wanted")
            return
        self.now = max(self.now, sweep(due))
        self._give(Tick())

    def _end(self, call: int) -> None:
        self.open.remove(call)
        self._give(CallEnded(call))

    def _give(self, event: Event) -> list[Action]:
        calls, self.event = self.calls, event
        if isinstance(event, ConfigReloaded):
            self.sighup_at = self.now
        before, watch = dict(calls.pending), calls.watch
        urgent = watch is not None or self.hurried or self.now - self.sighup_at < MOVED_S
        acts = calls.handle(self.now, event)
        if (
            isinstance(event, WatchActive | CompleteListReceived | ConfigReloaded)
            or isinstance(event, CallEnded)
            and event.call in before
        ):
            self.silent_at, self.hurried = None, False
            if isinstance(event, CallEnded):
                self.refused_at = self.now
        elif type(event) is Tick and watch and not before and calls.pending:
            self.hurried = True
            self.silent_at = watch.last_active_s if self.refused_at <= watch.last_active_s else None
        for act in acts:
            if isinstance(act, OpenCall):
                self.open.append(act.call)
                self.began[act.call] = self.now
                if (
                    type(event) is Tick
                    and not urgent
                    and before
                    and self.now - max(before.values()) < min(ALONE_S, POLLED_POLICY.hedge_delay_s) - 1e-6
                    and len(before) < 2
                ):
                    self.broken.append("another call beside one that the service may still refuse")
            elif isinstance(act, CloseCall):
                self.open.remove(act.call)
        if len(calls.pending) > 2 or len(self.open) > 3:
            self.broken.append(f"{len(self.open)} calls are open")
        known = set(calls.pending) | ({calls.watch.call} if calls.watch else set())
        if known != set(self.open):
            self.broken.append("the machine has lost count of what is open")
        return acts

    def form(self) -> object:
        calls, now = self.calls, self.now
        return (
            [round(now - began, 3) for began in calls.pending.values()],
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
            calls.watch is not None and self.refused_at <= calls.watch.last_active_s,
        )

    # -- discovery can be reached

    def settles(self) -> list[str]:
        """What holds from here on, each on a copy of its own.  Half a tick is left for rounding."""
        found = self._in_hand("whatever was before", Line(2.6), TOLD_S)
        found += self._in_hand("what was out is refused as it comes back", Line(1.2, refuses=True), TOLD_S)
        found += self._in_hand("a line in which nobody is refused", Line(4.4), 2 * TOLD_S)
        if not self.open:
            found += self._in_hand("refused until now, and the next call says nothing", Line(0.2, lost=1), TOLD_S)
        if isinstance(self.event, WatchActive) and not self.calls.pending:
            found += self._in_hand("the watch has fallen silent", Line(3.1), TOLD_S)
            found += self._in_hand("the watch has fallen silent, and so does the next call", Line(1.5, 1), TOLD_S)
        if self.silent_at is not None and not self.calls.watch and len(self.calls.pending) == 1:
            found += self._in_hand(
                "the watch has fallen silent and ended, and the call behind it says nothing",
                Line(1.5),
                self.silent_at + TOLD_S - self.now,
            )
        if isinstance(self.event, ConfigReloaded) and self.event.address_changed:
            found += self._in_hand("SIGHUP", Line(3.8), MOVED_S, also=True)
            found += self._in_hand("SIGHUP, and its first call says nothing", Line(1.9), MOVED_S)
        return found

    def _in_hand(self, what: str, line: Line, within_s: float, also: bool = False) -> list[str]:
        """Whether the list is in hand in time.  `also`: a call that begins at this very moment is answered too."""
        world: World = pickle.loads(pickle.dumps(self))
        began = {c for c in world.open if also and world.began[c] == world.now}
        start, lost, answers = world.now, line.lost, {c: world.now + line.wait_s for c in began}
        refused = sorted((max(world.now, world.began[c] + ALONE_S), c) for c in world.calls.pending if line.refuses)
        for _ in range(200):
            due = sweep(world.calls.due_s)
            first = min(answers.values(), default=math.inf)
            if refused and refused[0][0] <= min(first, due):
                world.now, call = refused.pop(0)
                if call in world.open:
                    world._end(call)
                continue
            if first <= max(due, world.now):
                took = first - start
                return [] if took <= within_s + TICK_S / 2 else [f"{what}: the list is in hand after {took:.2f} s"]
            if due - start > 30.0:
                break
            world.now = max(world.now, due)
            for act in world._give(Tick()):
                if isinstance(act, CloseCall):
                    answers.pop(act.call, None)
                elif isinstance(act, OpenCall) and lost:
                    lost -= 1
                elif isinstance(act, OpenCall):
                    answers[act.call] = world.now + line.wait_s
            if world.broken:
                return world.broken
        return [f"{what}: the list never comes"]


def walk(seed: int, steps: int, start: Event = FOLLOW) -> tuple[list[str], list[str]]:
    """A long story by a seed, settled at every step: the story, and what it breaks."""
    rng, world, story = Random(seed), World(start), list[str]()
    for _ in range(steps):
        word = rng.choice(world.options())
        story.append(word)
        world.take(word)
        broken = world.broken or world.settles()
        if broken:
            return story, broken
    return story, []


STARTS: dict[str, Event] = {"wanted": FOLLOW, "a start": ListWantedLater()}
