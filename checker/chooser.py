"""Who says what comes next: a prefix of choices, a seed, or a story in words."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from itertools import combinations
from random import Random
from typing import TypeVar

S = TypeVar("S")


class Chooser:
    """Follows a prefix of choices and takes the first of each that comes after it; keeps the words of all."""

    def __init__(self, prefix: list[int]) -> None:
        self.prefix, self.made = prefix, list[tuple[int, int]]()
        self.words: list[str] = []
        self.resting = False  # the rest of a run, in which nothing is explored any more

    def __call__(self, *options: str) -> int:
        """Which of these happens, as its place among them."""
        if self.resting:
            return 0
        picked = self.pick(options)
        self.made.append((picked, len(options)))
        self.words.append(options[picked])
        return picked

    def pick(self, options: tuple[str, ...]) -> int:
        at = len(self.made)
        picked = self.prefix[at] if at < len(self.prefix) else 0
        assert picked < len(options), "the prefix does not fit: a run was not played alike twice"
        return picked


class Ordered(Chooser):
    """One of every order, in turn."""

    def begin(self, prefix: list[int]) -> None:
        """Another one."""
        self.prefix, self.resting = prefix, False
        self.made.clear()
        self.words.clear()


class Walk(Chooser):
    """Goes a way of its own, the same for the same seed."""

    def __init__(self, seed: int) -> None:
        super().__init__([])
        self._rng = Random(seed)

    def pick(self, options: tuple[str, ...]) -> int:
        return self._rng.randrange(len(options))


class Script(Chooser):
    """Follows a story in words.  What the story leaves out goes the first way."""

    def __init__(self, story: list[str]) -> None:
        super().__init__([])
        self.left = list(story)

    def pick(self, options: tuple[str, ...]) -> int:
        if self.left and self.left[0] in options:
            return options.index(self.left.pop(0))
        return 0


class Draws:
    """What the policy's draw gives: any set that its probabilities allow, whatever the coins would have said.

    Coins would come to the same few sets by many more ways, and only to those that their two values reach.
    """

    def __init__(self, choose: Chooser) -> None:
        self._choose = choose
        self._empty = False  # the last draw of this event gave nobody

    def begin(self) -> None:
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
