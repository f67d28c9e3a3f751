"""What the rig saw, one JSON object a line, all on the rig's own clock."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any, TextIO


class History:
    """Events in the order they were seen; kept in memory for the judge, and in a file where one is wanted.

    Datagrams are counted by sender and second, not kept each: a day has a million of them.
    """

    def __init__(self, path: Path | None = None) -> None:
        self.began = time.monotonic()
        self.events: list[dict[str, Any]] = []
        self.bytes: dict[str, dict[int, int]] = {}  # by sender, by second
        self.carried = self.lost = 0
        self._file: TextIO | None = path.open("w") if path else None

    def now(self) -> float:
        """Seconds since the day began."""
        return time.monotonic() - self.began

    def note(self, event: str, **what: Any) -> None:
        told = {"t": round(self.now(), 4), "event": event, **what}
        self.events.append(told)
        if self._file:
            self._file.write(json.dumps(told) + "\n")

    def datagram(self, sender: str, size: int, lost: bool) -> None:
        seconds = self.bytes.setdefault(sender, {})
        second = int(self.now())
        seconds[second] = seconds.get(second, 0) + size
        self.carried += 1
        self.lost += lost

    def of(self, *events: str) -> list[dict[str, Any]]:
        return [e for e in self.events if e["event"] in events]

    def close(self) -> None:
        if self._file:
            self._file.close()
            self._file = None
