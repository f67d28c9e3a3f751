"""Every order of events of several pure machines, breadth first; what the machines are is a world's to say.

A world is copied by pickling, so its machines must hold nothing of the process.  A story in words leads to each
state, and is what a counterexample is told as.
"""

from __future__ import annotations

import pickle
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Protocol


class World(Protocol):
    """Machines and what is between them."""

    broken: list[str]

    def options(self) -> Sequence[str]:
        """What can happen next, in words that mean the same for the same state."""

    def take(self, word: str) -> None:
        """Have it happen; what must never be goes into `broken`."""

    def form(self) -> object:
        """All that decides what can happen from here on, as a value whose `repr` is the same for the same state."""

    def settles(self) -> list[str]:
        """What is wrong after a fair run from here on, in which nothing fails any more.  Called on a copy."""


@dataclass
class Found:
    """What a search came to.  `closed`: nothing was left to expand."""

    levels: list[int] = field(default_factory=list)
    transitions: int = 0
    settled: int = 0  # states from which a fair run was played
    closed: bool = False
    story: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    seconds: float = 0.0

    @property
    def states(self) -> int:
        return sum(self.levels)

    def __str__(self) -> str:
        return (
            f"{self.states} states, {self.transitions} transitions to depth {len(self.levels) - 1}, "
            f"{'closed' if self.closed else 'not closed'}, {self.settled} fair runs, {self.seconds:.0f} s"
        )


def _digest(form: object) -> bytes:
    return blake2b(repr(form).encode(), digest_size=8).digest()


def search(make: Callable[[], World], most_states: int, most_depth: int = 1000, settle_every: int = 50) -> Found:
    """Expand level by level until something breaks, nothing is left, or there are so many states.

    A fair run is played from one state in `settle_every`, chosen by its form.
    """
    began, found = time.monotonic(), Found()
    first = make()
    seen = {_digest(first.form())}
    level: list[tuple[bytes, tuple[str, ...]]] = [(pickle.dumps(first), ())]
    found.levels.append(1)
    while level and len(found.levels) <= most_depth and found.states < most_states and not found.broken:
        after: list[tuple[bytes, tuple[str, ...]]] = []
        for packed, story in level:
            for word in pickle.loads(packed).options():
                world: World = pickle.loads(packed)
                world.take(word)
                found.transitions += 1
                form = _digest(world.form())
                broken = list(world.broken)
                new = form not in seen
                if not broken and new and int.from_bytes(form[:4], "big") % settle_every == 0:
                    found.settled += 1
                    broken = pickle.loads(pickle.dumps(world)).settles()
                if broken:
                    found.story, found.broken = [*story, word], broken
                    found.seconds = time.monotonic() - began
                    return found
                if new:
                    seen.add(form)
                    after.append((pickle.dumps(world), (*story, word)))
            if found.states + len(after) >= most_states:
                break
        else:
            found.closed = not after
        level = after
        if after:
            found.levels.append(len(after))
    found.seconds = time.monotonic() - began
    return found


def replay(make: Callable[[], World], story: Sequence[str], settle: bool = False) -> list[str]:
    """What a story breaks.  Raises ValueError for a word that can't happen there."""
    world = make()
    for word in story:
        if word not in world.options():
            raise ValueError(f"{word!r} can't happen there; what can: {', '.join(world.options())}")
        world.take(word)
        if world.broken:
            return world.broken
    return world.settles() if settle else []
