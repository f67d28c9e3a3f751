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
from .again import Again
from .chooser import Ordered
from .explore import RUNS, SAME, Explorer, recording
from .state import canonical
from .world import PLAIN, Setting, World

CHUNK = 64  # states that a process expands before it tells of them
GARBAGE = 200  # executions between two collections: a world is full of circles
AUDITED = 61  # of the states met a second time, one in so many is expanded both ways


class Case(NamedTuple):
    """What is explored: a face, the effects of its requests in the order of their coming, a world."""

    face: str
    effects: tuple[str, ...]
    setting: Setting = Setting()

    def __str__(self) -> str:
        world = [f"{n} {v}" for n, v in self.setting._asdict().items() if v != PLAIN._asdict()[n]]
        return ", ".join([self.face, " and ".join(self.effects), *world])


class Expanded(NamedTuple):
    """What came of some states."""

    next: list[list[tuple[int, bytes]]]  # of each: the forms it leads to, with the choices that do
    executions: int
    moves: set[tuple[str, str, str]]
    story: list[str]  # where something broke
    broken: list[str]


@dataclass
class Found:
    """What an exploration came to.  `closed`: no state was left to expand, so nothing else can ever happen."""

    case: Case
    levels: list[int] = field(default_factory=list)  # the states that are first met after so many events
    transitions: int = 0
    executions: int = 0
    closed: bool = False
    audited: int = 0
    moves: set[tuple[str, str, str]] = field(default_factory=set)
    story: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    differs: bool = False  # what broke is this explorer: two ways to one form go on differently
    seconds: float = 0.0
    megabytes: int = 0

    @property
    def states(self) -> int:
        return sum(self.levels)

    def told(self) -> dict[str, Any]:
        """What broke, as `__main__.say` tells it."""
        return {"face": self.case.face, "effects": self.case.effects, "story": self.story, "broken": self.broken}

    def __str__(self) -> str:
        ends = "closed" if self.closed else "not closed"
        return (
            f"{self.case}: {self.states} states, {self.transitions} transitions to depth {len(self.levels) - 1}, "
            f"{ends}; {self.audited} audited, {self.seconds:.0f} s, {self.megabytes} MB"
        )


def expand(case: Case, ways: list[bytes]) -> Expanded:
    """All that can follow each of these states, and whether time alone brings each of them to rest."""
    found = Expanded([], 0, set(), [], [])
    executions = 0
    choose = Ordered([])
    world = World(choose, case.face, case.effects, 2, False, case.setting)
    again = Again(world)
    try:
        with recording(found.moves):
            for way in ways:
                follow: dict[int, bytes] = {}
                todo: list[list[int] | None] = [list(way)]
                rests = True
                while todo and (prefix := todo.pop()) is not None:
                    executions += 1
                    if executions % GARBAGE == 0:
                        gc.collect()
                    again.begin()
                    choose.begin(prefix)
                    _replay(world, choose, len(way))
                    if rests and prefix == list(way) and not world.loop.ready:
                        # In the middle of a turn the state that the turn ends in is looked at for this.
                        rests = False
                        Explorer.rest(world, choose)
                        todo.append(prefix)
                    elif (form := _step(world, choose)) is not None:
                        follow.setdefault(form, bytes(c for c, _ in choose.made[len(way) :]))
                        todo.append(_next(choose.made, len(way)))
                    if broken := world.story.wrong:
                        return found._replace(
                            executions=executions, story=choose.words, broken=[f"BROKEN: {b}" for b in broken]
                        )
                found.next.append(list(follow.items()))
    finally:
        again.begin()
        world.close()
    return found._replace(executions=executions)


def _replay(world: World, choose: Ordered, known: int) -> None:
    """Play the way again.  What a property says of it was heard when its states were first met."""
    while len(choose.made) < known:
        _event(world, choose)


def _step(world: World, choose: Ordered) -> int | None:
    """One event more, and the form of what it leads to; None where none can follow."""
    if not _event(world, choose):
        return None
    if not world.loop.ready:
        world.story.wrong += properties.always(world)
    return canonical(world)


def _event(world: World, choose: Ordered) -> bool:
    events = world.events()
    if not events:
        return False
    events[choose(*(name for name, _ in events))][1]()
    if world.loop.ready and choose(RUNS, SAME):
        return True
    world.loop.settle()
    return True


def _next(made: list[tuple[int, int]], least: int) -> list[int] | None:
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
    tell: Callable[[Found], None] = lambda found: None,
    audits: bool = True,
) -> Found:
    """Go on until nothing is left, or to a depth, or for so long (looked at between chunks).

    Stops at the first thing that breaks.  The bound on time ends it in the middle of a level, so that its counts then
    differ from run to run; the depth ends it behind one.  `tell` hears of each level that is done.
    Without `audits` no state is expanded by two ways.
    """
    found, began = Found(case), time.monotonic()
    seen: dict[int, bytes] = {}
    level = [b""]
    seen[-1] = b""  # where everything begins; its own form is met again by no event
    found.levels.append(1)
    with _processes(workers) as spread:
        while level and len(found.levels) <= depth:
            chunks = iter([level[at : at + CHUNK] for at in range(0, len(level), CHUNK)])
            behind: list[bytes] = []
            again: list[tuple[bytes, bytes]] = []
            found.levels.append(0)
            for chunk, result in _told(spread, partial(expand, case), chunks):
                found.executions += result.executions
                found.moves |= result.moves
                if result.broken:
                    found.story, found.broken = result.story, result.broken
                    return _over(found, began)
                for way, follow in zip(chunk, result.next, strict=True):
                    found.transitions += len(follow)
                    for form, last in follow:
                        first = seen.get(form)
                        if first is None:
                            seen[form] = way + last
                            behind.append(way + last)
                            found.levels[-1] += 1
                        elif audits and form % AUDITED == 0:
                            again.append((first, way + last))
                if time.monotonic() - began > seconds:
                    return _over(found, began)
            for pair, result in _told(spread, partial(audit, case), again):
                found.audited += 1
                if result:
                    found.broken = [f"BROKEN: two ways to one form go on differently: {result}"]
                    found.story, found.differs = [str(list(way)) for way in pair], True
                    return _over(found, began)
            level = behind
            if not level:
                found.levels.pop()
                found.closed = True
            tell(_over(found, began))
    return _over(found, began)


def _told(spread: Any, one: Any, work: Any) -> Iterator[tuple[Any, Any]]:
    """Each piece of work with what came of it, in their order; few are handed out ahead, so that an end is soon."""
    work = iter(work)
    while batch := list(islice(work, 64)):
        yield from zip(batch, spread(one, batch), strict=True)


def _over(found: Found, began: float) -> Found:
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
    if result.broken:  # by the second way alone: the first was expanded before
        return "; ".join([*result.broken, *result.story])
    first, second = result.next
    ours, theirs = {form for form, _ in first}, {form for form, _ in second}
    return f"{len(ours - theirs)} and {len(theirs - ours)} of {len(ours | theirs)} forms" if ours != theirs else ""
