"""Breadth-first search over event orders.  Every reachable state is expanded once, from one of its shortest paths.

A path is the list of the choices that lead to a state.  It is replayed from a world in its initial state, since
neither the parser nor a coroutine can be copied.  The counts do not depend on the number of processes: within a level
the first path in the order of the choices represents its state.

A state in the middle of an iteration of the event loop counts as a state: another event of the same poll is an event
like any other, and the callbacks that are ready belong to the state.
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

STATES_PER_CHUNK = 64  # a process returns its results chunk by chunk
EXECUTIONS_PER_COLLECTION = 200  # each World leaves reference cycles behind
ITEMS_PER_BATCH = 64  # chunks or audits
AUDIT_MODULUS = 61  # one in this many states that are reached again is expanded from both paths


class Case(NamedTuple):
    """What is explored: the interface under test, the effects of the requests in order, and the setting."""

    interface: str
    effects: tuple[str, ...]
    setting: Setting = Setting()

    def __str__(self) -> str:
        setting = [f"{n} {v}" for n, v in self.setting._asdict().items() if v != PLAIN._asdict()[n]]
        return ", ".join([self.interface, " and ".join(self.effects), *setting])


class Expansion(NamedTuple):
    """The result of expanding some states."""

    successors: list[list[tuple[int, bytes]]]  # of each state: the successors and the choices that lead to them
    executions: int
    table_transitions: set[tuple[str, str, str]]
    trace: list[str]  # of the violations
    violations: list[str]


@dataclass
class SearchResult:
    """The result of a search.  `closed`: every reachable state has been expanded."""

    case: Case
    levels: list[int] = field(default_factory=list)  # number of states by depth
    transitions: int = 0
    executions: int = 0
    closed: bool = False
    audited: int = 0
    table_transitions: set[tuple[str, str, str]] = field(default_factory=set)
    trace: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    audit_failed: bool = False  # two paths to one canonical state have different successors: a fault of `state`
    seconds: float = 0.0
    megabytes: int = 0

    @property
    def states(self) -> int:
        """The number of states reached."""
        return sum(self.levels)

    def as_counterexample(self) -> dict[str, Any]:
        """Return the violations in the form of a counterexample file."""
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
    """Return the successors of the states at these paths, and check that each state quiesces by timers alone."""
    expansion = Expansion([], 0, set(), [], [])
    executions = 0
    choose = ExhaustiveScheduler([])
    world = World(choose, case.interface, case.effects, 2, False, case.setting)
    snapshot = WorldSnapshot(world)
    try:
        with record_transitions(expansion.table_transitions):
            for path in paths:
                successors: dict[int, bytes] = {}
                todo: list[list[int] | None] = [list(path)]
                check_quiescence = True
                while todo and (prefix := todo.pop()) is not None:
                    executions += 1
                    if executions % EXECUTIONS_PER_COLLECTION == 0:
                        gc.collect()
                    snapshot.restore()
                    choose.restart(prefix)
                    _replay(world, choose, len(path))
                    if check_quiescence and prefix == list(path) and not world.loop.ready:
                        # In the middle of a loop iteration the check is left to the state at its end.
                        check_quiescence = False
                        Explorer.quiesce(world, choose)
                        todo.append(prefix)
                    elif (state := _explore_event(world, choose)) is not None:
                        successors.setdefault(state, bytes(c for c, _ in choose.choices[len(path) :]))
                        todo.append(_next_prefix(choose.choices, len(path)))
                    if violations := world.history.violations:
                        return expansion._replace(
                            executions=executions, trace=choose.trace, violations=[f"BROKEN: {b}" for b in violations]
                        )
                expansion.successors.append(list(successors.items()))
    finally:
        snapshot.restore()
        world.close()
    return expansion._replace(executions=executions)


def _replay(world: World, choose: ExhaustiveScheduler, choice_count: int) -> None:
    """Replay a path without checking the properties, which were checked when its states were first reached."""
    while len(choose.choices) < choice_count:
        _apply_event(world, choose)


def _explore_event(world: World, choose: ExhaustiveScheduler) -> int | None:
    """Apply one more event and return the canonical state that it leads to, or None if no event can occur."""
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


def _next_prefix(choices: list[tuple[int, int]], path_length: int) -> list[int] | None:
    """Return the next prefix in depth-first order that keeps the first `path_length` choices, or None."""
    choices = list(choices)
    while len(choices) > path_length:
        picked, options = choices.pop()
        if picked + 1 < options:
            return [c for c, _ in choices] + [picked + 1]
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
    on_level: Callable[[SearchResult], None] = lambda result: None,
    with_audits: bool = True,
) -> SearchResult:
    """Search until every state is expanded, to a depth, or for a time, which is checked between chunks.

    The search stops at the first violation.  The time limit stops it in the middle of a level, so that the counts
    differ from run to run; the depth limit stops it at the end of one.  `on_level` is called after each level.
    Without `with_audits` no state is expanded from two paths.
    """
    result, started_at = SearchResult(case), time.monotonic()
    seen: dict[int, bytes] = {}
    level = [b""]
    seen[-1] = b""  # the initial state; no event leads back to it
    result.levels.append(1)
    with _processes(workers) as parallel_map:
        while level and len(result.levels) <= depth:
            chunks = iter([level[at : at + STATES_PER_CHUNK] for at in range(0, len(level), STATES_PER_CHUNK)])
            next_level: list[bytes] = []
            audits: list[tuple[bytes, bytes]] = []
            result.levels.append(0)
            for chunk, expansion in _map_in_order(parallel_map, partial(expand, case), chunks):
                result.executions += expansion.executions
                result.table_transitions |= expansion.table_transitions
                if expansion.violations:
                    result.trace, result.violations = expansion.trace, expansion.violations
                    return _finish(result, started_at)
                for path, successors in zip(chunk, expansion.successors, strict=True):
                    result.transitions += len(successors)
                    for state, last in successors:
                        first = seen.get(state)
                        if first is None:
                            seen[state] = path + last
                            next_level.append(path + last)
                            result.levels[-1] += 1
                        elif with_audits and state % AUDIT_MODULUS == 0:
                            audits.append((first, path + last))
                if time.monotonic() - started_at > seconds:
                    return _finish(result, started_at)
            for pair, difference in _map_in_order(parallel_map, partial(audit, case), audits):
                result.audited += 1
                if difference:
                    result.violations = [f"BROKEN: two paths to one state have different successors: {difference}"]
                    result.trace, result.audit_failed = [str(list(path)) for path in pair], True
                    return _finish(result, started_at)
            level = next_level
            if not level:
                result.levels.pop()
                result.closed = True
            on_level(_finish(result, started_at))
    return _finish(result, started_at)


def _map_in_order(parallel_map: Any, function: Any, items: Any) -> Iterator[tuple[Any, Any]]:
    """Yield each item with its result, in order.

    Items are submitted in small batches, so that the search stops soon after a violation.
    """
    items = iter(items)
    while batch := list(islice(items, ITEMS_PER_BATCH)):
        yield from zip(batch, parallel_map(function, batch), strict=True)


def _finish(result: SearchResult, started_at: float) -> SearchResult:
    result.seconds = time.monotonic() - started_at
    result.megabytes = (
        max(resource.getrusage(who).ru_maxrss for who in (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN)) // 1024
    )
    return result


def audit(case: Case, pair: tuple[bytes, bytes]) -> str:
    """Expand one canonical state from two paths and return how the successors differ, or "" if they are the same.

    Violations of the second path count as a difference.
    """
    result = expand(case, list(pair))
    if result.violations:  # of the second path: the first was expanded before
        return "; ".join([*result.violations, *result.trace])
    first, second = result.successors
    ours, theirs = {state for state, _ in first}, {state for state, _ in second}
    if ours == theirs:
        return ""
    return f"{len(ours - theirs)} and {len(theirs - ours)} of {len(ours | theirs)} states"
