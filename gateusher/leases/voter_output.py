"""A voter's actions: records to store, and messages that wait until the records they depend on are on the disk.

`VoterOutput` owns the numbers of records, the waiting messages and the disk's error.  After an error nothing is
written again by this process, and no waiting message is sent ("Can applications recover from fsync failures?", 2020).
"""

from __future__ import annotations

import msgspec

from .interface import Action, LogEvent, SendMessage, StoreRecord
from .wire import Message, encode


class VoterOutput:
    """The actions of one call of `Voter.handle`.  Without a disk (`durable` False) records count as stored."""

    def __init__(self, durable: bool) -> None:
        self.durable = durable
        self.disk_error = ""
        self.last_number = 0  # of the records so far
        self.pending: dict[int, list[SendMessage]] = {}  # by the number of the record that has to be stored first
        self._stored_number = 0
        self._logged: set[str] = set()
        self._actions: list[Action] = []

    def take(self) -> list[Action]:
        """The actions since the last call."""
        actions = self._actions
        self._actions = []
        return actions

    def is_stored(self, number: int) -> bool:
        """Whether the record with this number is on the disk."""
        return self._stored_number >= number

    def store(self, *values: object) -> int:
        """Store a record; returns its number, for messages that depend on it."""
        self.last_number += 1
        if not self.durable:
            self._stored_number = self.last_number
        elif not self.disk_error:
            self._actions.append(StoreRecord(self.last_number, msgspec.msgpack.encode(values)))
        return self.last_number

    def send(self, to: str, message: Message, after: int = 0) -> None:
        """Send a message once the record number `after` is stored; never, if the disk fails before that."""
        action = SendMessage(to, encode(message))
        if self.is_stored(after):
            self._actions.append(action)
        elif not self.disk_error:
            self.pending.setdefault(after, []).append(action)

    def on_stored(self, number: int) -> None:
        """The records up to this number are on the disk: send what waited for them."""
        self._stored_number = max(self._stored_number, number)
        for record_number in sorted(n for n in self.pending if n <= self._stored_number):
            self._actions += self.pending.pop(record_number)

    def on_disk_failed(self, reason: str) -> None:
        """The disk failed."""
        self.disk_error = reason
        self.pending.clear()

    def log(self, kind: str, message: str) -> None:
        """Write a log line, each text once."""
        if message not in self._logged:
            self._logged.add(message)
            self._actions.append(LogEvent(kind, message))
