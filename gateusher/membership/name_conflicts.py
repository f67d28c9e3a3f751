"""Resolves name conflicts: of two processes with one name, the newer one keeps it.

Which is newer is decided by the age that each reports, measured on its own clock.  A process that receives a record
of its own name refutes it with a higher incarnation.  Stale records of an earlier process can't respond to that; only
a process that still runs keeps raising its incarnation.
"""

from __future__ import annotations

from .context import Context
from .interface import MemberState, is_newer
from .state_changes import StateChanges
from .wire import Frame

SAME_AGE_MS = 1000.0  # processes that started within this are ordered by their instances
RIVAL_RECORDS = 3  # records of our name, each above our incarnation, that prove a running rival
MAX_RIVALS = 16  # instances of our name that are tracked


def is_older(started_at_ms: float, instance: int, other_started_at_ms: float, other_instance: int) -> bool:
    """Return whether the first of two processes with one name is the older one, which loses the name."""
    if abs(started_at_ms - other_started_at_ms) < SAME_AGE_MS:
        return instance < other_instance
    return started_at_ms < other_started_at_ms


class NameConflicts:
    """Tracks rivals for our own name; owns, by instance, the number of its records and its earliest start time."""

    def __init__(self, context: Context, changes: StateChanges) -> None:
        self._context = context
        self._changes = changes
        self._rivals: dict[int, tuple[int, float]] = {}

    def on_own_record(self, frame: Frame, started_at_ms: float) -> None:
        """Process a record of our own name: of an earlier process, of a rival, or an accusation of this process."""
        own = self._context.own
        if frame.instance == own.instance:
            if frame.state is not MemberState.ALIVE:
                self._changes.refute(frame.incarnation)
            return
        if is_newer(own.incarnation, frame.incarnation):
            return
        records, rival_started_at_ms = self._count(frame.instance, started_at_ms)
        if frame.state is MemberState.ALIVE and records >= RIVAL_RECORDS:
            if is_older(own.started_at_ms, own.instance, rival_started_at_ms, frame.instance):
                self._context.displaced = True
                self._context.log_once("name", f"a newer process uses {own.name!r}: this one no longer participates")
                return
            self._context.log_once("name", f"an older process uses {own.name!r} too")
        self._changes.refute(frame.incarnation)

    def _count(self, instance: int, started_at_ms: float) -> tuple[int, float]:
        """Count one record of a rival; return the number of its records and the earliest start time they report.

        Network delay makes a reported age too small, never too large.
        """
        records, earliest = self._rivals.get(instance, (0, started_at_ms))
        records += 1
        earliest = min(earliest, started_at_ms)
        if len(self._rivals) < MAX_RIVALS or instance in self._rivals:
            self._rivals[instance] = (records, earliest)
        return records, earliest
