"""Walks by seeds through all that can be chosen, and stories played again; see `levels` for every order."""

from __future__ import annotations

import re
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from gateusher.base import machine

from . import properties
from .scheduler import RandomScheduler, Scheduler, TraceScheduler
from .world import PLAIN, Setting, World

MAX_QUIESCENCE_STEPS = 400
RUN_LOOP, SAME_TURN = "the loop runs", "in the same turn:"


@dataclass
class Report:
    """What an exploration came to."""

    transitions: int = 0
    executions: int = 0
    violations: list[str] = field(default_factory=list)  # what was broken
    trace: list[str] = field(default_factory=list)  # and how, in words
    table_transitions: set[tuple[str, str, str]] = field(default_factory=set)
    seconds: float = 0.0


@contextmanager
def record_transitions(table_transitions: set[tuple[str, str, str]]) -> Iterator[None]:
    """Note which moves of the tables are made."""
    move = machine.TransitionTable.next_state

    def recorded(table: machine.TransitionTable, state: str, event: str) -> str:
        after = move(table, state, event)
        table_transitions.add((table.name, state, event))
        return after

    machine.TransitionTable.next_state = recorded  # type: ignore[method-assign, assignment]
    try:
        yield
    finally:
        machine.TransitionTable.next_state = move  # type: ignore[method-assign]


class Explorer:
    """One configuration: a face, the effects of its requests in the order of their coming, and a bound."""

    def __init__(
        self, interface: str, effects: tuple[str, ...], depth: int, nodes: int = 2, setting: Setting = PLAIN
    ) -> None:
        self._interface, self._effects, self._depth, self._nodes, self._setting = (
            interface,
            effects,
            depth,
            nodes,
            setting,
        )
        self.report = Report()

    def run_random(self, count: int, first: int = 0) -> Report:
        """So many executions, each by a seed of its own: deeper than every order can be followed."""
        began = time.monotonic()
        with record_transitions(self.report.table_transitions):
            for seed in range(first, first + count):
                self._run(RandomScheduler(seed))
                if self.report.violations:
                    break
        self.report.seconds += time.monotonic() - began
        return self.report

    def replay(self, trace: list[str]) -> Report:
        """One execution, told in words."""
        choose = TraceScheduler(trace)
        self._run(choose)
        # The last line of a counterexample is what a mend keeps from happening.
        assert len(choose.remaining) <= 1, f"this can't happen here: {choose.remaining[0]}"
        return self.report

    def _run(self, choose: Scheduler) -> None:
        self.report.executions += 1
        world = World(choose, self._interface, self._effects, self._nodes, True, self._setting)
        try:
            self._play(world, choose)
        finally:
            world.close()

    def _play(self, world: World, choose: Scheduler) -> None:
        for step in range(self._depth):
            events = world.events()
            if not events or isinstance(choose, TraceScheduler) and not choose.remaining:
                break
            events[choose(*(name for name, _ in events))][1]()
            # What else the same poll of the loop brings may come before anything that is ready runs.
            if world.loop.ready and step + 1 < self._depth and choose(RUN_LOOP, SAME_TURN):
                continue
            world.loop.settle()
            self.report.transitions += 1
            world.history.violations += properties.on_idle(world)
            if self._failed(world, choose):
                return
        self.quiesce(world, choose)
        self._failed(world, choose)

    @staticmethod
    def quiesce(world: World, choose: Scheduler) -> None:
        """Let time alone do the rest: dials fail, timers fire, and nothing may be left."""
        choose.quiescing = True
        world.quiesce()
        world.loop.settle()
        wrong, steps = world.history.violations, 0
        while not wrong and steps < MAX_QUIESCENCE_STEPS and world.has_pending_work():
            world.loop.fire()
            world.loop.settle()
            steps += 1
            wrong += properties.on_idle(world)
        if not wrong:
            wrong += properties.on_quiescence(world)

    def _failed(self, world: World, choose: Scheduler) -> bool:
        wrong = world.history.violations
        if wrong and not self.report.violations:
            self.report.violations = [f"BROKEN: {w}" for w in wrong]
            self.report.trace = list(choose.trace)
        return bool(wrong)


def _kind(violations: list[str]) -> set[str]:
    """What is broken, whichever request or figure it is told of."""
    return {re.sub(r"[a-z]+-\d+(_again)?|b'.*?'|\d+(\.\d+)?", "", line) for line in violations}


def minimize(
    interface: str, effects: tuple[str, ...], trace: list[str], nodes: int = 2, setting: Setting = PLAIN
) -> Report:
    """The same failure with every line left out that it does without; its story is whole again."""
    best = Explorer(interface, effects, len(trace) + 1, nodes, setting).replay(trace)
    kind = _kind(best.violations)
    shorter = True
    while shorter:
        shorter = False
        for at in reversed(range(len(trace))):
            less = trace[:at] + trace[at + 1 :]
            try:
                report = Explorer(interface, effects, len(trace) + 1, nodes, setting).replay(less)
            except AssertionError:
                continue  # without this line the rest can't happen
            if kind & _kind(report.violations) and len(report.trace) <= len(best.trace):
                trace, best, shorter = less, report, True
    return best


def replay(
    interface: str, effects: tuple[str, ...], *trace: str, nodes: int = 2, setting: Setting = PLAIN
) -> list[str]:
    """What a story breaks: for regression tests, into which a counterexample's lines are pasted."""
    return Explorer(interface, effects, len(trace) + 1, nodes, setting).replay(list(trace)).violations
