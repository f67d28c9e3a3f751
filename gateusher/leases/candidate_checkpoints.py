"""The candidate's view of a task's checkpoint: the newest known value, and whether a majority has stored it.

`HolderCheckpoint` owns both.  Checkpoints are ordered by fence, then by number.
"""

from __future__ import annotations

from .interface import LeaseSettings


class HolderCheckpoint:
    """A task's newest checkpoint.  `unsaved_number` is its number until a majority has stored it, then 0."""

    __slots__ = ("fence", "number", "saved_by", "unsaved_number", "value")

    def __init__(self) -> None:
        self.fence = 0
        self.number = 0
        self.value = b""
        self.unsaved_number = 0
        self.saved_by: set[str] = set()  # voters that have stored it

    def merge(self, fence: int, number: int, value: bytes) -> None:
        """Adopt a checkpoint that a voter has stored, if it is newer."""
        newest = max((self.fence, self.number, self.value), (fence, number, value))
        self.fence, self.number, self.value = newest

    def write(self, fence: int, value: bytes) -> None:
        """Set the holder's next checkpoint."""
        self.fence = fence
        self.number += 1
        self.value = value
        self.unsaved_number = self.number
        self.saved_by.clear()

    def on_stored(self, voter: str, number: int, settings: LeaseSettings) -> bool:
        """Record that a voter has stored this checkpoint; return whether that completes a majority."""
        if not self.unsaved_number or number != self.unsaved_number:
            return False
        self.saved_by.add(voter)
        if not settings.is_majority(self.saved_by):
            return False
        self.unsaved_number = 0
        return True
