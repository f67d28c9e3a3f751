"""The module's time: milliseconds that never go backwards and that compare with `born_ms`."""

from __future__ import annotations

import time


class Clock:
    """Monotonic time plus the wall clock's offset at the start; a later step of the wall clock is ignored."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now_ms(self) -> float:
        return (time.monotonic() + self._offset) * 1000.0


class BootClock:
    """Time for leases: it goes on while the machine sleeps (CLOCK_BOOTTIME, clock_gettime(2)), where there is such a
    clock; elsewhere a machine that may sleep must not hold a duty."""

    def now_ms(self) -> float:
        """Milliseconds from an arbitrary moment."""
        if hasattr(time, "CLOCK_BOOTTIME"):
            return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
        return time.monotonic() * 1000.0

    @staticmethod
    def wall_ms() -> int:
        """The wall clock's milliseconds since 1970."""
        return int(time.time() * 1000)
