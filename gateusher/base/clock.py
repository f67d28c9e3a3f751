"""Clocks, in milliseconds: one for requests and endpoints, one for leases."""

from __future__ import annotations

import time

MS_PER_S = 1000.0


class Clock:
    """Monotonic time on the wall clock's scale.

    The wall clock's offset is taken once, at construction, so that times can be compared with the start times in the
    endpoint list; later adjustments of the wall clock have no effect.
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def now_ms(self) -> float:
        """Return the milliseconds since the Unix epoch; the result never decreases."""
        return (time.monotonic() + self._offset_s) * MS_PER_S


class BootClock:
    """Time for leases: CLOCK_BOOTTIME (clock_gettime(2)), which advances while the machine is suspended.

    Where the platform has no such clock, a process on a machine that may be suspended must not hold a lease.
    """

    def now_ms(self) -> float:
        """Return the milliseconds since an arbitrary starting point."""
        if hasattr(time, "CLOCK_BOOTTIME"):
            return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S
        return time.monotonic() * MS_PER_S

    @staticmethod
    def wall_ms() -> int:
        """Return the wall clock's milliseconds since the Unix epoch."""
        return int(time.time() * MS_PER_S)
