"""Breadth-first exploration of the event orders of several state machines, which a `World` defines.

A world is copied by pickling, so its machines must not refer to resources of the process.  The event texts that lead
to a state form its trace; a counterexample is such a trace.
"""

from __future__ import annotations

import pickle
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Protocol


class World(Protocol):
    """State machines and the messages in flight between them."""

    broken: list[str]

    def options(self) -> Sequence[str]:
        """Return the texts of the possible events; equal states have equal texts."""

    def take(self, event: str) -> None:
        """Execute the event of this text and append violated properties to `broken`."""

    def form(self) -> object:
        """Return the canonical state: all that determines future events, with an equal `repr` for equal states."""

    def settles(self) -> list[str]:
        """Return the violations after a fair run from this state, without further faults.  Called on a copy."""


@dataclass
class SearchResult:
    """The result of a search.  `closed`: no state was left to expand."""

    levels: list[int] = field(default_factory=list)
    transitions: int = 0
    fair_runs: int = 0  # states from which a fair run was executed
    closed: bool = False
    trace: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    seconds: float = 0.0

    @property
    def states(self) -> int:
        """The number of distinct states."""
        return sum(self.levels)

    def __str__(self) -> str:
        return (
            f"{self.states} states, {self.transitions} transitions to depth {len(self.levels) - 1}, "
            f"{'closed' if self.closed else 'not closed'}, {self.fair_runs} fair runs, {self.seconds:.0f} s"
        )


def _digest(form: object) -> bytes:
    return blake2b(repr(form).encode(), digest_size=8).digest()


def search(make: Callable[[], World], max_states: int, max_depth: int = 1000, settle_every: int = 50) -> SearchResult:
    """Expand level by level until a violation, until no state is left, or up to a limit.

    A fair run is executed from about one state in `settle_every`, selected by the digest of the state.
    """
    started_at, result = time.monotonic(), SearchResult()
    first = make()
    seen = {_digest(first.form())}
    level: list[tuple[bytes, tuple[str, ...]]] = [(pickle.dumps(first), ())]
    result.levels.append(1)
    while level and len(result.levels) <= max_depth and result.states < max_states and not result.broken:
        next_level: list[tuple[bytes, tuple[str, ...]]] = []
        for pickled, trace in level:
            for event in pickle.loads(pickled).options():
                world: World = pickle.loads(pickled)
                world.take(event)
                result.transitions += 1
                digest = _digest(world.form())
                broken = list(world.broken)
                new = digest not in seen
                if not broken and new and int.from_bytes(digest[:4], "big") % settle_every == 0:
                    result.fair_runs += 1
                    broken = pickle.loads(pickle.dumps(world)).settles()
                if broken:
                    result.trace, result.broken = [*trace, event], broken
                    result.seconds = time.monotonic() - started_at
                    return result
                if new:
                    seen.add(digest)
                    next_level.append((pickle.dumps(world), (*trace, event)))
            if result.states + len(next_level) >= max_states:
                break
        else:
            result.closed = not next_level
        level = next_level
        if next_level:
            result.levels.append(len(next_level))
    result.seconds = time.monotonic() - started_at
    return result


def replay(make: Callable[[], World], trace: Sequence[str], settle: bool = False) -> list[str]:
    """Return the violations of a trace.  Raises ValueError for an event that can't happen at its place."""
    world = make()
    for event in trace:
        if event not in world.options():
            raise ValueError(f"{event!r} can't happen there; what can: {', '.join(world.options())}")
        world.take(event)
        if world.broken:
            return world.broken
    return world.settles() if settle else []
