"""The timers of a candidate's tasks.  Each task has one timer; setting it again replaces it.

`TaskTimers` owns the heap; a task's `timer_at_ms` says which of its heap entries is current.
"""

from __future__ import annotations

import heapq

from .task_lease import NEVER_MS, TaskLease


class TaskTimers:
    """A heap of times and task names.  Replaced timers stay in it until they are due, and are then ignored."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, str]] = []

    def set(self, lease: TaskLease, at_ms: float) -> None:
        """Set the task's timer."""
        lease.timer_at_ms = at_ms
        heapq.heappush(self._heap, (at_ms, lease.name))

    def next_ms(self) -> float:
        """Return the time of the first timer; NEVER_MS for none."""
        return self._heap[0][0] if self._heap else NEVER_MS

    def pop_due(self, now: float, tasks: dict[str, TaskLease]) -> TaskLease | None:
        """Remove a due timer and return its task; None when no timer is due."""
        while self._heap and self._heap[0][0] <= now:
            at_ms, name = heapq.heappop(self._heap)
            lease = tasks.get(name)
            if lease and lease.timer_at_ms == at_ms:
                return lease
        return None
