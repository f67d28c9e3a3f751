"""The order in which members are probed: each once a round, in a new random order (SWIM, 4.3)."""

from __future__ import annotations

from collections.abc import Iterable

from .context import Context
from .member import Member


class ProbeOrder:
    """Ids of the members that are still to be probed in this round, the next one last."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._remaining: list[bytes] = []

    def insert(self, identifier: bytes) -> None:
        """Insert a member that has joined at a random position, so that members don't all probe it at once."""
        if identifier not in self._remaining:
            index = int(self._context.random.random() * (len(self._remaining) + 1))
            self._remaining.insert(index, identifier)

    def take_next(self) -> bytes | None:
        """Remove and return the next member's id, None at the end of the round."""
        return self._remaining.pop() if self._remaining else None

    def start_round(self, members: Iterable[Member]) -> None:
        """Begin the next round with these members."""
        self._remaining = [member.id for member in members]
        self._context.random.shuffle(self._remaining)

    def remaining(self) -> list[bytes]:
        """Return the ids that are still to be probed.  For the explorer (`checker/three.py`)."""
        return list(self._remaining)
