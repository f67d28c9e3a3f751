"""Walks by seeds through all that can be chosen, and stories played again; see `levels` for every order."""

from __future__ import annotations

import re
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from gateusher.base import machine

from . import properties
from .chooser import Chooser, Script, Walk
from .world import PLAIN, Setting, World

REST_STEPS = 400
RUNS, SAME = "the loop runs", "in the same turn:"


@dataclass
class Report:
    """What an exploration came to."""

    transitions: int = 0
    executions: int = 0
    failure: list[str] = field(default_factory=list)  # what was broken
    story: list[str] = field(default_factory=list)  # and how, in words
    moves: set[tuple[str, str, str]] = field(default_factory=set)
    seconds: float = 0.0


@contextmanager
def recording(moves: set[tuple[str, str, str]]) -> Iterator[None]:
    """Note which moves of the tables are made."""
    move = machine.TransitionTable.next_state

    def recorded(table: machine.TransitionTable, state: str, event: str) -> str:
        after = move(table, state, event)
        moves.add((table.name, state, event))
        return after

    machine.TransitionTable.next_state = recorded  # type: ignore[method-assign, assignment]
    try:
        yield
    finally:
        machine.TransitionTable.next_state = move  # type: ignore[method-assign]


class Explorer:
    """One configuration: a face, the effects of its requests in the order of their coming, and a bound."""

    def __init__(
        self, face: str, effects: tuple[str, ...], depth: int, nodes: int = 2, setting: Setting = PLAIN
    ) -> None:
        self._face, self._effects, self._depth, self._nodes, self._setting = face, effects, depth, nodes, setting
        self.report = Report()

    def walk(self, count: int, first: int = 0) -> Report:
        """So many executions, each by a seed of its own: deeper than every order can be followed."""
        began = time.monotonic()
        with recording(self.report.moves):
            for seed in range(first, first + count):
                self._run(Walk(seed))
                if self.report.failure:
                    break
        self.report.seconds += time.monotonic() - began
        return self.report

    def play(self, story: list[str]) -> Report:
        """One execution, told in words."""
        choose = Script(story)
        self._run(choose)
        # The last line of a counterexample is what a mend keeps from happening.
        assert len(choose.left) <= 1, f"this can't happen here: {choose.left[0]}"
        return self.report

    def _run(self, choose: Chooser) -> None:
        self.report.executions += 1
        world = World(choose, self._face, self._effects, self._nodes, True, self._setting)
        try:
            self._play(world, choose)
        finally:
            world.close()

    def _play(self, world: World, choose: Chooser) -> None:
        for step in range(self._depth):
            events = world.events()
            if not events or isinstance(choose, Script) and not choose.left:
                break
            events[choose(*(name for name, _ in events))][1]()
            # What else the same poll of the loop brings may come before anything that is ready runs.
            if world.loop.ready and step + 1 < self._depth and choose(RUNS, SAME):
                continue
            world.loop.settle()
            self.report.transitions += 1
            world.story.wrong += properties.always(world)
            if self._failed(world, choose):
                return
        self.rest(world, choose)
        self._failed(world, choose)

    @staticmethod
    def rest(world: World, choose: Chooser) -> None:
        """Let time alone do the rest: dials fail, timers fire, and nothing may be left."""
        choose.resting = True
        world.rest()
        world.loop.settle()
        wrong, steps = world.story.wrong, 0
        while not wrong and steps < REST_STEPS and world.at_work():
            world.loop.fire()
            world.loop.settle()
            steps += 1
            wrong += properties.always(world)
        if not wrong:
            wrong += properties.at_rest(world)

    def _failed(self, world: World, choose: Chooser) -> bool:
        wrong = world.story.wrong
        if wrong and not self.report.failure:
            self.report.failure = [f"BROKEN: {w}" for w in wrong]
            self.report.story = list(choose.words)
        return bool(wrong)


def _kind(failure: list[str]) -> set[str]:
    """What is broken, whichever request or figure it is told of."""
    return {re.sub(r"[a-z]+-\d+(_again)?|b'.*?'|\d+(\.\d+)?", "", line) for line in failure}


def shorten(
    face: str, effects: tuple[str, ...], story: list[str], nodes: int = 2, setting: Setting = PLAIN
) -> Report:
    """The same failure with every line left out that it does without; its story is whole again."""
    best = Explorer(face, effects, len(story) + 1, nodes, setting).play(story)
    kind = _kind(best.failure)
    shorter = True
    while shorter:
        shorter = False
        for at in reversed(range(len(story))):
            less = story[:at] + story[at + 1 :]
            try:
                report = Explorer(face, effects, len(story) + 1, nodes, setting).play(less)
            except AssertionError:
                continue  # without this line the rest can't happen
            if kind & _kind(report.failure) and len(report.story) <= len(best.story):
                story, best, shorter = less, report, True
    return best


def play(face: str, effects: tuple[str, ...], *story: str, nodes: int = 2, setting: Setting = PLAIN) -> list[str]:
    """What a story breaks: for regression tests, into which a counterexample's lines are pasted."""
    return Explorer(face, effects, len(story) + 1, nodes, setting).play(list(story)).failure
