"""Random executions by seed, and replays of traces; `levels` searches exhaustively."""

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

MAX_QUIESCENCE_STEPS = 400  # timers
RUN_LOOP, SAME_TURN = "the event loop runs", "in the same loop iteration:"


@dataclass
class Report:
    """The result of an exploration."""

    transitions: int = 0
    executions: int = 0
    violations: list[str] = field(default_factory=list)
    trace: list[str] = field(default_factory=list)  # of the violations
    table_transitions: set[tuple[str, str, str]] = field(default_factory=set)
    seconds: float = 0.0


@contextmanager
def record_transitions(table_transitions: set[tuple[str, str, str]]) -> Iterator[None]:
    """Add each transition of the state tables that is taken."""
    original = machine.TransitionTable.next_state

    def next_state(table: machine.TransitionTable, state: str, event: str) -> str:
        new_state = original(table, state, event)
        table_transitions.add((table.name, state, event))
        return new_state

    machine.TransitionTable.next_state = next_state  # type: ignore[method-assign, assignment]
    try:
        yield
    finally:
        machine.TransitionTable.next_state = original  # type: ignore[method-assign]


class Explorer:
    """Explore one configuration: an interface, the effects of its requests in order, and a bound on the events."""

    def __init__(
        self, interface: str, effects: tuple[str, ...], max_events: int, node_count: int = 2, setting: Setting = PLAIN
    ) -> None:
        self._interface, self._effects, self._max_events, self._node_count, self._setting = (
            interface,
            effects,
            max_events,
            node_count,
            setting,
        )
        self.report = Report()

    def run_random(self, count: int, first_seed: int = 0) -> Report:
        """Run executions with the seeds from `first_seed` on, which go deeper than an exhaustive search."""
        started_at = time.monotonic()
        with record_transitions(self.report.table_transitions):
            for seed in range(first_seed, first_seed + count):
                self._run(RandomScheduler(seed))
                if self.report.violations:
                    break
        self.report.seconds += time.monotonic() - started_at
        return self.report

    def replay(self, trace: list[str]) -> Report:
        """Run one execution that follows a trace."""
        choose = TraceScheduler(trace)
        self._run(choose)
        # The last event of a counterexample cannot occur any more once the fault is fixed.
        assert len(choose.remaining) <= 1, f"event cannot occur here: {choose.remaining[0]}"
        return self.report

    def _run(self, choose: Scheduler) -> None:
        self.report.executions += 1
        world = World(choose, self._interface, self._effects, self._node_count, True, self._setting)
        try:
            self._run_events(world, choose)
        finally:
            world.close()

    def _run_events(self, world: World, choose: Scheduler) -> None:
        for step in range(self._max_events):
            events = world.events()
            if not events or isinstance(choose, TraceScheduler) and not choose.remaining:
                break
            events[choose(*(name for name, _ in events))][1]()
            # Another event of the same poll of the loop may occur before anything that is ready runs.
            if world.loop.ready and step + 1 < self._max_events and choose(RUN_LOOP, SAME_TURN):
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
        """Stop all input, fire the remaining timers and check that nothing is retained."""
        choose.quiescing = True
        world.quiesce()
        world.loop.settle()
        violations, steps = world.history.violations, 0
        while not violations and steps < MAX_QUIESCENCE_STEPS and world.has_pending_work():
            world.loop.fire()
            world.loop.settle()
            steps += 1
            violations += properties.on_idle(world)
        if not violations:
            violations += properties.on_quiescence(world)

    def _failed(self, world: World, choose: Scheduler) -> bool:
        violations = world.history.violations
        if violations and not self.report.violations:
            self.report.violations = [f"BROKEN: {v}" for v in violations]
            self.report.trace = list(choose.trace)
        return bool(violations)


def _kinds(violations: list[str]) -> set[str]:
    """Return the violations without the names and numbers in them."""
    return {re.sub(r"[a-z]+-\d+(_duplicate)?|b'.*?'|\d+(\.\d+)?", "", line) for line in violations}


def minimize(
    interface: str, effects: tuple[str, ...], trace: list[str], node_count: int = 2, setting: Setting = PLAIN
) -> Report:
    """Remove the events that the failure does not need.  The trace of the returned report is complete again."""
    best = Explorer(interface, effects, len(trace) + 1, node_count, setting).replay(trace)
    kinds = _kinds(best.violations)
    shorter = True
    while shorter:
        shorter = False
        for index in reversed(range(len(trace))):
            candidate = trace[:index] + trace[index + 1 :]
            try:
                report = Explorer(interface, effects, len(trace) + 1, node_count, setting).replay(candidate)
            except AssertionError:
                continue  # the rest of the trace needs this event
            if kinds & _kinds(report.violations) and len(report.trace) <= len(best.trace):
                trace, best, shorter = candidate, report, True
    return best


def replay(
    interface: str, effects: tuple[str, ...], *trace: str, node_count: int = 2, setting: Setting = PLAIN
) -> list[str]:
    """Return the violations of a trace, for regression tests that contain the trace of a counterexample."""
    return Explorer(interface, effects, len(trace) + 1, node_count, setting).replay(list(trace)).violations
