"""Keeps the process below its memory limit by what it really takes.

The budgets of `limits.py` count what messages and connections take as far as it is known.  `MemoryMonitor` compares
the resident memory with the limit: above the high watermark the process takes on less (short reads, nothing retained,
one request of a connection at a time), above the critical watermark it opens no further connection and sheds the
slowest ones.  It owns the state that results from the latest measurement.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from typing import Final, NamedTuple, Protocol

from .diagnostics import Diagnostics
from .limits import BYTES_PER_MB, MemoryBudget
from .log import log_event

HIGH_WATERMARK_SHARE: Final = 13 / 16  # of the limit
CRITICAL_WATERMARK_SHARE: Final = 7 / 8
# Above what a process takes before it serves, where the limit leaves less.
MIN_HIGH_WATERMARK_MB: Final = 3.0
MIN_CRITICAL_WATERMARK_MB: Final = 4.0
MIN_COLLECTION_INTERVAL_S: Final = 1.0  # between two collections of garbage, which stop the process


class MemoryPressure(IntEnum):
    """How close the process is to its memory limit."""

    NORMAL = 0
    HIGH = 1
    CRITICAL = 2


class MemoryProbe(Protocol):
    """The process's memory, as the system reports it (`resident_memory.py`)."""

    def resident_bytes(self) -> int:
        """Return the size of the resident set.  Raises OSError if the system does not report it."""

    def return_free_memory(self) -> None:
        """Return free pages to the system."""

    def collect_garbage(self) -> None:
        """Free objects in reference cycles, and return their pages."""


class Watermarks(NamedTuple):
    """From how many resident bytes on pressure is high or critical."""

    high_bytes: float
    critical_bytes: float

    @classmethod
    def of_limit(cls, memory_mb: float, resident_mb: float) -> Watermarks:
        """Return those of a process with this limit that takes `resident_mb` before it serves."""
        return cls(
            max(HIGH_WATERMARK_SHARE * memory_mb, resident_mb + MIN_HIGH_WATERMARK_MB) * BYTES_PER_MB,
            max(CRITICAL_WATERMARK_SHARE * memory_mb, resident_mb + MIN_CRITICAL_WATERMARK_MB) * BYTES_PER_MB,
        )

    def pressure(self, resident_bytes: int) -> MemoryPressure:
        """Return the pressure at this size of the resident set."""
        if resident_bytes < self.high_bytes:
            return MemoryPressure.NORMAL
        return MemoryPressure.HIGH if resident_bytes < self.critical_bytes else MemoryPressure.CRITICAL


class MemoryMonitor:
    """Measures the process's memory and acts on it.

    `check` is called at regular intervals, and `measure` also whenever `budget` has grown by much; `shed` closes
    connections that hold about as many bytes as it is told.
    """

    def __init__(
        self,
        budget: MemoryBudget,
        probe: MemoryProbe,
        watermarks: Watermarks,
        now_s: Callable[[], float],
        shed: Callable[[int], None],
        diagnostics: Diagnostics,
    ) -> None:
        self._budget, self._probe, self._watermarks = budget, probe, watermarks
        self._now_s = now_s
        self._shed = shed
        self._diagnostics = diagnostics
        self._collected_s = -MIN_COLLECTION_INTERVAL_S
        self.pressure = MemoryPressure.NORMAL
        self.resident_bytes = 0
        self.peak_bytes = 0
        budget.on_growth = self.measure

    def resize(self, watermarks: Watermarks) -> None:
        """Use other watermarks."""
        self._watermarks = watermarks
        self.measure()

    def check(self) -> None:
        """Measure, and free memory or shed connections if the pressure is critical; called at regular intervals."""
        self.measure()
        if self.pressure is not MemoryPressure.NORMAL:
            self._probe.return_free_memory()
            self.measure()
        if self.pressure is MemoryPressure.CRITICAL:
            self._collect_garbage()
        if self.pressure is MemoryPressure.CRITICAL:
            self._shed(int(self.resident_bytes - self._watermarks.high_bytes))

    def measure(self) -> None:
        """Measure the memory, and adapt the budget to it."""
        try:
            self.resident_bytes = self._probe.resident_bytes()
        except (OSError, ValueError):
            return  # the budget's own limit holds
        self.peak_bytes = max(self.peak_bytes, self.resident_bytes)
        self._enter(self._watermarks.pressure(self.resident_bytes))
        headroom_bytes = self._watermarks.high_bytes - self.resident_bytes
        self._budget.apply_headroom(
            headroom_bytes,
            is_pressed=self.pressure is not MemoryPressure.NORMAL,
            is_critical=self.pressure is MemoryPressure.CRITICAL,
        )

    def _enter(self, pressure: MemoryPressure) -> None:
        if pressure is self.pressure:
            return
        if pressure is MemoryPressure.CRITICAL or self.pressure is MemoryPressure.CRITICAL:
            log_event("memory pressure", f"{pressure.name.lower()} at {self.resident_bytes / BYTES_PER_MB:.1f} MB")
        self._diagnostics.note("memory pressure", pressure.name.lower())
        self.pressure = pressure

    def _collect_garbage(self) -> None:
        now_s = self._now_s()
        if now_s - self._collected_s >= MIN_COLLECTION_INTERVAL_S:
            self._collected_s = now_s
            self._probe.collect_garbage()
            self.measure()
