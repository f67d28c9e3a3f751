"""The schedulers that choose the next event: by a prefix of choices, a seed, or a trace."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from itertools import combinations
from random import Random
from typing import TypeVar

S = TypeVar("S")


class Scheduler:
    """Follow a prefix of choices, take the first option of each later choice, and record the trace."""

    def __init__(self, prefix: list[int]) -> None:
        self.prefix = prefix
        self.choices: list[tuple[int, int]] = []  # index and number of options
        self.trace: list[str] = []
        self.quiescing = False  # nothing is explored any more

    def __call__(self, *options: str) -> int:
        """Return the index of the option that occurs."""
        if self.quiescing:
            return 0
        picked = self.pick(options)
        self.choices.append((picked, len(options)))
        self.trace.append(options[picked])
        return picked

    def pick(self, options: tuple[str, ...]) -> int:
        """Return the index of the option to take next."""
        at = len(self.choices)
        picked = self.prefix[at] if at < len(self.prefix) else 0
        assert picked < len(options), "the prefix does not fit: the execution is not deterministic"
        return picked


class ExhaustiveScheduler(Scheduler):
    """A scheduler that an exhaustive search reuses for one prefix after another."""

    def restart(self, prefix: list[int]) -> None:
        """Begin the execution of another prefix."""
        self.prefix, self.quiescing = prefix, False
        self.choices.clear()
        self.trace.clear()


class RandomScheduler(Scheduler):
    """Choose at random; the same seed makes the same choices."""

    def __init__(self, seed: int) -> None:
        super().__init__([])
        self._rng = Random(seed)

    def pick(self, options: tuple[str, ...]) -> int:
        """Return a random index."""
        return self._rng.randrange(len(options))


class TraceScheduler(Scheduler):
    """Follow a trace, and take the first option of each choice that the trace omits."""

    def __init__(self, trace: list[str]) -> None:
        super().__init__([])
        self.remaining = list(trace)

    def pick(self, options: tuple[str, ...]) -> int:
        """Return the index of the next event of the trace if it is an option, otherwise 0."""
        if self.remaining and self.remaining[0] in options:
            return options.index(self.remaining.pop(0))
        return 0


class ControlSetDraws:
    """A choice in place of the policy's random draw of the control set: any set with a nonzero probability.

    Random draws would reach the same few sets by many more paths, and only the sets that two random values allow.
    """

    def __init__(self, choose: Scheduler) -> None:
        self._choose = choose
        self._was_empty = False  # the previous draw for this policy event

    def on_policy_event(self) -> None:
        """Note that the policy handles another event."""
        self._was_empty = False

    def draw(
        self, levels: Sequence[Sequence[S]], name: Callable[[S], str], probability: Callable[[S], float]
    ) -> list[S]:
        """Return the drawn members of all levels; the first option draws all of them."""
        if self._was_empty:  # the policy draws once more after an empty draw, which adds no new outcome
            self._was_empty = False
            return []
        members = [s for level in levels for s in level if probability(s) > 0.0]
        uncertain = [s for s in members if probability(s) < 1.0]
        if not uncertain:
            return members
        sets = [
            [s for s in members if s not in excluded]
            for n in range(len(uncertain) + 1)
            for excluded in combinations(uncertain, n)
        ]
        drawn = sets[
            self._choose(*("the draw yields " + (" and ".join(sorted(map(name, s))) or "no endpoint") for s in sets))
        ]
        self._was_empty = not drawn
        return drawn
