"""Lines on stderr in one voice, so few that a bad day can't fill a disk or eat the CPU."""

from __future__ import annotations

import sys
import time
from contextlib import suppress

BURST, PER_S = 20.0, 1.0


class _Log:
    """A token bucket; what it drops is counted and told with the next line."""

    def __init__(self) -> None:
        self._tokens, self._at, self._dropped = BURST, 0.0, 0

    def say(self, what: str, why: object) -> None:
        now = time.monotonic()
        self._tokens = min(BURST, self._tokens + (now - self._at) * PER_S)
        self._at = now
        if self._tokens < 1.0:
            self._dropped += 1
            return
        self._tokens -= 1.0
        dropped = f" ({self._dropped} lines left out)" if self._dropped else ""
        self._dropped = 0
        with suppress(OSError, ValueError):  # where nobody reads the log any more, serving goes on
            print(f"gateusher: {what}: {why}{dropped}", file=sys.stderr, flush=True)


say = _Log().say
