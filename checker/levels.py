"""Every order of events, breadth first: each state is met by one of the shortest ways to it and left by every event.

A state is expanded once, by whichever process is free.  Its way is played anew from a new world, since neither the
parser nor a coroutine can be copied; what is kept of it is the choices.  The counts are the same for any number of
processes: within a level the first way in the order of the choices stands for its state.

In the middle of a turn of the loop a state is a state too: what else the same poll brings is an event like any other,
and what is ready then belongs to its form.
"""

from __future__ import annotations

import gc
import multiprocessing
import resource
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from itertools import islice
from typing import Any, NamedTuple

from . import properties
from .explore import RUN_LOOP, SAME_TURN, Explorer, record_transitions
from .scheduler import ExhaustiveScheduler
from .snapshot import WorldSnapshot
from .state import canonical
from .world import PLAIN, Setting, World

STATES_PER_CHUNK = 64  # states that a process expands before it tells of them
EXECUTIONS_PER_COLLECTION = 200  # executions between two collections: a world is full of circles
AUDIT_MODULUS = 61  # of the states met a second time, one in so many is expanded both ways


class Case(NamedTuple):
    """What is explored: a face, the effects of its requests in the order of their coming, a world."""

    interface: str
    effects: tuple[str, ...]
    setting: Setting = Setting()

    def __str__(self) -> str:
        world = [f"{n} {v}" for n, v in self.setting._asdict().items() if v != PLAIN._asdict()[n]]
        return ", ".join([self.interface, " and ".join(self.effects), *world])


class Expansion(NamedTuple):
    """What came of some states."""

    successors: list[list[tuple[int, bytes]]]  # of each: the forms it leads to, with the choices that do
    executions: int
    table_transitions: set[tuple[str, str, str]]
    trace: list[str]  # where something broke
    violations: list[str]


@dataclass
class SearchResult:
    """What an exploration came to.  `closed`: no state was left to expand, so nothing else can ever happen."""

    case: Case
    levels: list[int] = field(default_factory=list)  # the states that are first met after so many events
    transitions: int = 0
    executions: int = 0
    closed: bool = False
    audited: int = 0
    table_transitions: set[tuple[str, str, str]] = field(default_factory=set)
    trace: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    audit_failed: bool = False  # what broke is this explorer: two ways to one form go on differently
    seconds: float = 0.0
    megabytes: int = 0

    @property
    def states(self) -> int:
        return sum(self.levels)

    def as_counterexample(self) -> dict[str, Any]:
        """What broke, as `__main__.say` tells it."""
        return {
            "interface": self.case.interface,
            "effects": self.case.effects,
            "trace": self.trace,
            "broken": self.violations,
        }

    def __str__(self) -> str:
        ending = "closed" if self.closed else "not closed"
        return (
            f"{self.case}: {self.states} states, {self.transitions} transitions to depth {len(self.levels) - 1}, "
            f"{ending}; {self.audited} audited, {self.seconds:.0f} s, {self.megabytes} MB"
        )


def expand(case: Case, paths: list[bytes]) -> Expansion:
    """All that can follow each of these states, and whether time alone brings each of them to rest."""
    found = Expansion([], 0, set(), [], [])
    executions = 0
    choose = ExhaustiveScheduler([])
    world = World(choose, case.interface, case.effects, 2, False, case.setting)
    snapshot = WorldSnapshot(world)
    try:
        with record_transitions(found.table_transitions):
            for path in paths:
                follow: dict[int, bytes] = {}
                todo: list[list[int] | None] = [list(path)]
                rests = True
                while todo and (prefix := todo.pop()) is not None:
                    executions += 1
                    if executions % EXECUTIONS_PER_COLLECTION == 0:
                        gc.collect()
                    snapshot.restore()
                    choose.restart(prefix)
                    _replay(world, choose, len(path))
                    if rests and prefix == list(path) and not world.loop.ready:
                        # In the middle of a turn the state that the turn ends in is looked at for this.
                        rests = False
                        Explorer.quiesce(world, choose)
                        todo.append(prefix)
                    elif (form := _explore_event(world, choose)) is not None:
                        follow.setdefault(form, bytes(c for c, _ in choose.choices[len(path) :]))
                        todo.append(_next_prefix(choose.choices, len(path)))
                    if violations := world.history.violations:
                        return found._replace(
                            executions=executions, trace=choose.trace, violations=[f"BROKEN: {b}" for b in violations]
                        )
                found.successors.append(list(follow.items()))
    finally:
        snapshot.restore()
        world.close()
    return found._replace(executions=executions)


def _replay(world: World, choose: ExhaustiveScheduler, known: int) -> None:
    """Play the way again.  What a property says of it was heard when its states were first met."""
    while len(choose.choices) < known:
        _apply_event(world, choose)


def _explore_event(world: World, choose: ExhaustiveScheduler) -> int | None:
    """One event more, and the form of what it leads to; None where none can follow."""
    if not _apply_event(world, choose):
        return None
    if not world.loop.ready:
        world.history.violations += properties.on_idle(world)
    return canonical(world)


def _apply_event(world: World, choose: ExhaustiveScheduler) -> bool:
    events = world.events()
    if not events:
        return False
    events[choose(*(name for name, _ in events))][1]()
    if world.loop.ready and choose(RUN_LOOP, SAME_TURN):
        return True
    world.loop.settle()
    return True


def _next_prefix(made: list[tuple[int, int]], least: int) -> list[int] | None:
    """The next way behind the first `least` choices, depth first; None where all are done."""
    made = list(made)
    while len(made) > least:
        picked, options = made.pop()
        if picked + 1 < options:
            return [c for c, _ in made] + [picked + 1]
    return None


@contextmanager
def _processes(workers: int) -> Iterator[Any]:
    if workers == 1:
        yield map
        return
    with multiprocessing.get_context("fork").Pool(workers, initializer=gc.disable) as pool:
        yield pool.imap


def search(
    case: Case,
    depth: int = 10**9,
    workers: int = 1,
    seconds: float = 1e9,
    on_level: Callable[[SearchResult], None] = lambda found: None,
    with_audits: bool = True,
) -> SearchResult:
    """Go on until nothing is left, or to a depth, or for so long (looked at between chunks).

    Stops at the first thing that breaks.  The bound on time ends it in the middle of a level, so that its counts then
    differ from run to run; the depth ends it behind one.  `tell` hears of each level that is done.
    Without `audits` no state is expanded by two ways.
    """
    found, began = SearchResult(case), time.monotonic()
    seen: dict[int, bytes] = {}
    level = [b""]
    seen[-1] = b""  # where everything begins; its own form is met again by no event
    found.levels.append(1)
    with _processes(workers) as spread:
        while level and len(found.levels) <= depth:
            chunks = iter([level[at : at + STATES_PER_CHUNK] for at in range(0, len(level), STATES_PER_CHUNK)])
            behind: list[bytes] = []
            again: list[tuple[bytes, bytes]] = []
            found.levels.append(0)
            for chunk, result in _map_in_order(spread, partial(expand, case), chunks):
                found.executions += result.executions
                found.table_transitions |= result.table_transitions
                if result.violations:
                    found.trace, found.violations = result.trace, result.violations
                    return _finish(found, began)
                for path, follow in zip(chunk, result.successors, strict=True):
                    found.transitions += len(follow)
                    for form, last in follow:
                        first = seen.get(form)
                        if first is None:
                            seen[form] = path + last
                            behind.append(path + last)
                            found.levels[-1] += 1
                        elif with_audits and form % AUDIT_MODULUS == 0:
                            again.append((first, path + last))
                if time.monotonic() - began > seconds:
                    return _finish(found, began)
            for pair, result in _map_in_order(spread, partial(audit, case), again):
                found.audited += 1
                if result:
                    found.violations = [f"BROKEN: two ways to one form go on differently: {result}"]
                    found.trace, found.audit_failed = [str(list(path)) for path in pair], True
                    return _finish(found, began)
            level = behind
            if not level:
                found.levels.pop()
                found.closed = True
            on_level(_finish(found, began))
    return _finish(found, began)


def _map_in_order(spread: Any, one: Any, work: Any) -> Iterator[tuple[Any, Any]]:
    """Each piece of work with what came of it, in their order; few are handed out ahead, so that an end is soon."""
    work = iter(work)
    while batch := list(islice(work, 64)):
        yield from zip(batch, spread(one, batch), strict=True)


def _finish(found: SearchResult, began: float) -> SearchResult:
    found.seconds = time.monotonic() - began
    found.megabytes = (
        max(resource.getrusage(who).ru_maxrss for who in (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN)) // 1024
    )
    return found


def audit(case: Case, pair: tuple[bytes, bytes]) -> str:
    """Whether two ways to one form go on alike: the forms that can follow must be the same, and nothing may break.

    Empty where they do.
    """
    result = expand(case, list(pair))
    if result.violations:  # by the second way alone: the first was expanded before
        return "; ".join([*result.violations, *result.trace])
    first, second = result.successors
    ours, theirs = {form for form, _ in first}, {form for form, _ in second}
    return f"{len(ours - theirs)} and {len(theirs - ours)} of {len(ours | theirs)} forms" if ours != theirs else ""
