"""The rig's record of a run: one JSON object a line, timed by the rig's own clock."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any, TextIO


class History:
    """Events in the order they were recorded, in memory for the invariant checks and optionally in a file.

    Datagrams are only counted by sender and second: a run has up to a million of them.
    """

    def __init__(self, path: Path | None = None) -> None:
        self.started_at = time.monotonic()
        self.events: list[dict[str, Any]] = []
        self.bytes_by_sender: dict[str, dict[int, int]] = {}  # sender -> second of the run -> bytes
        self.datagram_count = self.lost_count = 0
        self._file: TextIO | None = path.open("w") if path else None

    def now(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self.started_at

    def record(self, event: str, **fields: Any) -> None:
        """Append an event with the current time."""
        entry = {"t": round(self.now(), 4), "event": event, **fields}
        self.events.append(entry)
        if self._file:
            self._file.write(json.dumps(entry) + "\n")

    def count_datagram(self, sender: str, size: int, lost: bool) -> None:
        """Count one datagram of `size` bytes, forwarded or lost on the link."""
        by_second = self.bytes_by_sender.setdefault(sender, {})
        second = int(self.now())
        by_second[second] = by_second.get(second, 0) + size
        self.datagram_count += 1
        self.lost_count += lost

    def select(self, *events: str) -> list[dict[str, Any]]:
        """Return the entries of these events, in order."""
        return [e for e in self.events if e["event"] in events]

    def close(self) -> None:
        """Close the file; later events are recorded in memory only."""
        if self._file:
            self._file.close()
            self._file = None
