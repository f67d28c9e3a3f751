"""A voter's actions: records to store, and messages held back until the records they depend on are on the disk.

`VoterOutput` owns the record numbers, the pending messages and the disk error.  After an error this process writes
nothing more and sends no pending message ("Can applications recover from fsync failures?", 2020).
"""

from __future__ import annotations

import msgspec

from .interface import Action, LogEvent, SendMessage, StoreRecord
from .wire import Message, encode


class VoterOutput:
    """Collects the actions of one call of `Voter.handle`.  If `durable` is False, records count as stored at once."""

    def __init__(self, durable: bool) -> None:
        self.durable = durable
        self.disk_error = ""
        self.last_number = 0  # of the latest record
        self.pending: dict[int, list[SendMessage]] = {}  # by number of the record to be stored first
        self._stored_number = 0
        self._logged: set[str] = set()
        self._actions: list[Action] = []

    def take(self) -> list[Action]:
        """Return the actions since the last call."""
        actions = self._actions
        self._actions = []
        return actions

    def is_stored(self, number: int) -> bool:
        """Return whether the record with this number is on the disk."""
        return self._stored_number >= number

    def store(self, *values: object) -> int:
        """Store a record and return its number, for messages that depend on it."""
        self.last_number += 1
        if not self.durable:
            self._stored_number = self.last_number
        elif not self.disk_error:
            self._actions.append(StoreRecord(self.last_number, msgspec.msgpack.encode(values)))
        return self.last_number

    def send(self, to: str, message: Message, after: int = 0) -> None:
        """Send a message once record number `after` is stored; drop it if the disk fails first."""
        action = SendMessage(to, encode(message))
        if self.is_stored(after):
            self._actions.append(action)
        elif not self.disk_error:
            self.pending.setdefault(after, []).append(action)

    def on_stored(self, number: int) -> None:
        """Send the pending messages that depend on records up to this number."""
        self._stored_number = max(self._stored_number, number)
        for record_number in sorted(n for n in self.pending if n <= self._stored_number):
            self._actions += self.pending.pop(record_number)

    def on_disk_failed(self, reason: str) -> None:
        """Store nothing more after a disk error, and drop pending messages."""
        self.disk_error = reason
        self.pending.clear()

    def log(self, kind: str, message: str) -> None:
        """Log a message, unless the same text was logged before."""
        if message not in self._logged:
            self._logged.add(message)
            self._actions.append(LogEvent(kind, message))
