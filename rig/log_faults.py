"""Faults of the program that a sidecar's log shows: an exception, an illegal transition or a violated invariant."""

from __future__ import annotations

from typing import Final

LOG_FAULT_MARKERS: Final = ("Traceback", "illegal transition", "invariant violated", "could not be handled")


def find_log_faults(log: str) -> list[str]:
    """Return the lines of a log that show a fault of the program."""
    return [line for line in log.splitlines() if any(marker in line for marker in LOG_FAULT_MARKERS)]
