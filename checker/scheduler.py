"""Who says what comes next: a prefix of choices, a seed, or a story in words."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from itertools import combinations
from random import Random
from typing import TypeVar

S = TypeVar("S")


class Scheduler:
    """Follows a prefix of choices and takes the first of each that comes after it; keeps the words of all."""

    def __init__(self, prefix: list[int]) -> None:
        self.prefix, self.choices = prefix, list[tuple[int, int]]()
        self.trace: list[str] = []
        self.quiescing = False  # the rest of a run, in which nothing is explored any more

    def __call__(self, *options: str) -> int:
        """Which of these happens, as its place among them."""
        if self.quiescing:
            return 0
        picked = self.pick(options)
        self.choices.append((picked, len(options)))
        self.trace.append(options[picked])
        return picked

    def pick(self, options: tuple[str, ...]) -> int:
        at = len(self.choices)
        picked = self.prefix[at] if at < len(self.prefix) else 0
        assert picked < len(options), "the prefix does not fit: a run was not played alike twice"
        return picked


class ExhaustiveScheduler(Scheduler):
    """One of every order, in turn."""

    def restart(self, prefix: list[int]) -> None:
        """Another one."""
        self.prefix, self.quiescing = prefix, False
        self.choices.clear()
        self.trace.clear()


class RandomScheduler(Scheduler):
    """Goes a way of its own, the same for the same seed."""

    def __init__(self, seed: int) -> None:
        super().__init__([])
        self._rng = Random(seed)

    def pick(self, options: tuple[str, ...]) -> int:
        return self._rng.randrange(len(options))


class TraceScheduler(Scheduler):
    """Follows a story in words.  What the story leaves out goes the first way."""

    def __init__(self, trace: list[str]) -> None:
        super().__init__([])
        self.remaining = list(trace)

    def pick(self, options: tuple[str, ...]) -> int:
        if self.remaining and self.remaining[0] in options:
            return options.index(self.remaining.pop(0))
        return 0


class ControlSetDraws:
    """What the policy's draw gives: any set that its probabilities allow, whatever the coins would have said.

    Coins would come to the same few sets by many more ways, and only to those that their two values reach.
    """

    def __init__(self, choose: Scheduler) -> None:
        self._choose = choose
        self._empty = False  # the last draw of this event gave nobody

    def on_policy_event(self) -> None:
        """The module takes another event."""
        self._empty = False

    def draw(self, levels: Sequence[Sequence[S]], name: Callable[[S], str], chance: Callable[[S], float]) -> list[S]:
        """The members of all levels that are drawn, all of them by the first choice."""
        if self._empty:  # the module draws again after an empty draw, which comes to what the first might have
            self._empty = False
            return []
        members = [s for level in levels for s in level if chance(s) > 0.0]
        unsure = [s for s in members if chance(s) < 1.0]
        if not unsure:
            return members
        sets = [
            [s for s in members if s not in out] for n in range(len(unsure) + 1) for out in combinations(unsure, n)
        ]
        drawn = sets[
            self._choose(*("the draw gives " + (" and ".join(sorted(map(name, s))) or "nobody") for s in sets))
        ]
        self._empty = not drawn
        return drawn
