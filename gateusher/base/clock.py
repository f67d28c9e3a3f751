"""The module's time: milliseconds that never go backwards and that compare with `born_ms`."""

from __future__ import annotations

import time


class Clock:
    """Monotonic time plus the wall clock's offset at the start; a later step of the wall clock is ignored."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        return (time.monotonic() + self._offset) * 1000.0
