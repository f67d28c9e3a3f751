"""Depth-first through every order of events, each execution played anew from its choices.

A state that was met before with at least as many steps to go is not entered again.  Its canonical form holds
all that decides what can happen: the core's, the connections' and the module's records with times relative to
now, and nodes in the order that makes it smallest, so that mirrored states are one.
"""

from __future__ import annotations

import re
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from gateusher.base import machine

from . import properties
from .chooser import Chooser, Ordered, Script, Walk
from .world import PLAIN, Setting, World

REST_STEPS = 400
RUNS, SAME = "the loop runs", "in the same turn:"


@dataclass
class Report:
    """What an exploration came to."""

    states: int = 0
    transitions: int = 0
    executions: int = 0
    closed: bool = False       # nothing was left unexplored within the depth
    failure: list[str] = field(default_factory=list)   # what was broken
    story: list[str] = field(default_factory=list)     # and how, in words
    moves: set[tuple[str, str, str]] = field(default_factory=set)
    seconds: float = 0.0


class _Known(Exception):
    """This state was met before."""


def canonical(world: World) -> int:
    """The state as a number; worlds with the same number behave alike from here on."""
    return min(hash(_form(world, order)) for order in _orders(world.count))


def _orders(count: int) -> list[list[int]]:
    return [list(range(count)), list(range(count))[::-1]] if count > 1 else [[0]]


def _form(world: World, order: list[int]) -> Any:
    now_s = world.loop.now
    now = now_s * 1000
    engine, upstream = world.node.engine, world.node.upstream
    balancer = engine._balancer
    place = {n: i for i, n in enumerate(order)}
    hosts = {h.eid: place.get(h.port - 1, -1) for h in upstream._hosts.values()}

    def since(t: float) -> float:
        return round(max(-1e6, min(1e6, t - now)), 1)

    def server(s: Any) -> Any:
        return (hosts.get(s.eid, -2), s.ready, round(s.c, 3), s.out, s.owes, s.strikes, s.dead, since(s.out_until),
                since(s.quiet_at) if s.owes else 0, since(s.heard_at), round(s.load, 2), round(s.slow, 3),
                since(s.struck_at), since(s.served_sent), tuple(sorted((k, v.misses, since(v.out_until))
                                                                       for k, v in s.lanes.items())))

    def conn(t: Any) -> Any:
        out = world.out(t)
        c = t.protocol
        return (place[t.port - 1], t.closing, c.state, c._blocked, len(t.held), t.unread, t.coming, t.tainted,
                out and (out.rid, out.whole, bool(out.half)), since(c.idle_since) if c.state == "quiet" else 0)

    calls = tuple(sorted((c.name, c.state, c.tries, c.ran, c.last, since(c.deadline), tuple(
        (n, hosts.get(a.eid, -2), a.state, since(a.expires_ms)) for n, a in sorted(c.attempts.items())))
        for c in engine.calls.values()))
    works = tuple(sorted((w.rid, w.out, w.maybe_ran, w.ended, w.round, w.held, len(w.sent), since(w.home_at) if w.home
                          else None) for w in balancer.work.values()))
    story = (tuple((a.name, bool(a.told), a.left is not None) for a in world.story.asks.values()),
             tuple(sorted((s.rid, s.may_have_run) for s in world.story.sent if s.ask and world.call(s.ask))),
             tuple(sorted((place[n], since(t * 1000)) for n, t in world.story.drained.items())))
    return (calls, works, story, tuple(sorted(map(server, balancer.servers.values()))),
            tuple(sorted(map(conn, world.transports), key=repr)),
            tuple(sorted(place[d.port - 1] for d in world.loop.dials)),
            tuple(sorted(round((t - now_s) * 1000, 1) for t, _, _ in world.loop.timers)),
            round(balancer.full, 3), round(balancer.room, 3), world.turned, world.ended, world.scarce)


class Explorer:
    """One configuration: a face, the effects of its requests in the order of their coming, and a bound."""

    def __init__(self, face: str, effects: tuple[str, ...], depth: int, nodes: int = 2,
                 setting: Setting = PLAIN) -> None:
        self._face, self._effects, self._depth, self._nodes, self._setting = face, effects, depth, nodes, setting
        self._seen: dict[int, int] = {}
        self.report = Report()

    def run(self, most_executions: int | None = None, most_seconds: float | None = None) -> Report:
        """Explore; stops at the first failure, or at a bound."""
        report, began = self.report, time.monotonic()
        with self._recording():
            prefix: list[int] | None = []
            while prefix is not None:
                if (most_executions and report.executions >= most_executions) \
                        or (most_seconds and time.monotonic() - began > most_seconds):
                    return report
                made = self._execute(prefix)
                if report.failure:
                    return report
                prefix = _next(made)
            report.closed = True
            return report

    @contextmanager
    def _recording(self) -> Iterator[None]:
        """Note which moves of the tables are made."""
        report, began, move = self.report, time.monotonic(), machine.Table.move

        def recorded(table: machine.Table, state: str, event: str) -> str:
            after = move(table, state, event)
            report.moves.add((table.name, state, event))
            return after

        machine.Table.move = recorded  # type: ignore[method-assign, assignment]
        try:
            yield
        finally:
            machine.Table.move = move  # type: ignore[method-assign]
            report.seconds += time.monotonic() - began

    def walk(self, count: int, first: int = 0) -> Report:
        """So many executions, each by a seed of its own: deeper than every order can be followed."""
        with self._recording():
            for seed in range(first, first + count):
                self._run(Walk(seed), 10**9)
                if self.report.failure:
                    break
        return self.report

    def _execute(self, prefix: list[int]) -> list[tuple[int, int]]:
        choose = Ordered(prefix)
        self._run(choose, len(prefix))
        return choose.made

    def play(self, story: list[str]) -> Report:
        """One execution, told in words."""
        choose = Script(story)
        self._run(choose, 10**9)
        # The last line of a counterexample is what a mend keeps from happening.
        assert len(choose.left) <= 1, f"this can't happen here: {choose.left[0]}"
        return self.report

    def _run(self, choose: Chooser, fresh_from: int) -> None:
        self.report.executions += 1
        world = World(choose, self._face, self._effects, self._nodes, not isinstance(choose, Ordered), self._setting)
        try:
            self._play(world, choose, fresh_from)
        except _Known:
            pass
        finally:
            world.close()

    def _play(self, world: World, choose: Chooser, fresh_from: int) -> None:
        for step in range(self._depth):
            if len(choose.made) >= fresh_from:
                self._meet(world, self._depth - step)
            events = world.events()
            if not events or isinstance(choose, Script) and not choose.left:
                break
            events[choose(*(name for name, _ in events))][1]()
            # What else the same poll of the loop brings may come before anything that is ready runs.
            if world.loop.ready and step + 1 < self._depth and choose(RUNS, SAME):
                continue
            world.loop.settle()
            self.report.transitions += len(choose.made) >= fresh_from
            if self._failed(world, choose, properties.always(world)):
                return
        self._rest(world, choose)

    def _meet(self, world: World, left: int) -> None:
        if world.loop.ready:
            return
        form = canonical(world)
        if self._seen.get(form, -1) >= left:
            raise _Known
        if form not in self._seen:
            self.report.states += 1
        self._seen[form] = left

    def _rest(self, world: World, choose: Chooser) -> None:
        """Let time alone do the rest: dials fail, timers fire, and nothing may be left."""
        choose.resting = True
        world.rest()
        world.loop.settle()
        steps = 0
        while steps < REST_STEPS and world.at_work():
            world.loop.fire()
            world.loop.settle()
            steps += 1
            if self._failed(world, choose, properties.always(world)):
                return
        self._failed(world, choose, properties.at_rest(world))

    def _failed(self, world: World, choose: Chooser, found: list[str]) -> bool:
        wrong = [*world.story.wrong, *found]
        if wrong and not self.report.failure:
            self.report.failure = [f"BROKEN: {w}" for w in wrong]
            self.report.story = list(choose.words)
        return bool(wrong)


def _next(made: list[tuple[int, int]]) -> list[int] | None:
    """The next prefix, depth first; None where all are done."""
    while made:
        picked, options = made.pop()
        if picked + 1 < options:
            return [c for c, _ in made] + [picked + 1]
    return None


def _kind(failure: list[str]) -> set[str]:
    """What is broken, whichever request or figure it is told of."""
    return {re.sub(r"[a-z]+-\d+(_again)?|b'.*?'|\d+(\.\d+)?", "", line) for line in failure}


def shorten(face: str, effects: tuple[str, ...], story: list[str], nodes: int = 2,
            setting: Setting = PLAIN) -> Report:
    """The same failure with every line left out that it does without; its story is whole again."""
    best = Explorer(face, effects, len(story) + 1, nodes, setting).play(story)
    kind = _kind(best.failure)
    shorter = True
    while shorter:
        shorter = False
        for at in reversed(range(len(story))):
            less = story[:at] + story[at + 1:]
            try:
                report = Explorer(face, effects, len(story) + 1, nodes, setting).play(less)
            except AssertionError:
                continue  # without this line the rest can't happen
            if kind & _kind(report.failure) and len(report.story) <= len(best.story):
                story, best, shorter = less, report, True
    return best


def play(face: str, effects: tuple[str, ...], *story: str, nodes: int = 2,
         setting: Setting = PLAIN) -> list[str]:
    """What a story breaks: for regression tests, into which a counterexample's lines are pasted."""
    return Explorer(face, effects, len(story) + 1, nodes, setting).play(list(story)).failure
