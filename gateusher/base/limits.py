"""The two budgets that nothing may exceed: bytes held, and file descriptors."""

from __future__ import annotations

import threading
from collections.abc import Callable

# A dozen for standard streams, poller, signals, listeners, handover and discovery, 16 for operators, and the rest for
# closes that are under way.
SPARE_DESCRIPTORS = 40
LEAST_SERVING = 8  # and fewer than so many beside them serve nobody
LEAST_DESCRIPTORS = SPARE_DESCRIPTORS + LEAST_SERVING
CLIENT_SHARE = 0.6  # part of the rest that clients may hold: without endpoints none could be served
IDLE_PART = 8  # one part in so many may be clients' connections that stand idle


class SharedBudget:
    """A budget that several users share on purpose, on any loops and threads.

    Each keeps its own account beside it, so what one has taken is given back by that one alone.
    """

    def __init__(self, most: int) -> None:
        self.limit, self.used = most, 0
        self._lock = threading.Lock()

    def acquire(self, n: int, beyond: bool = False) -> bool:
        with self._lock:
            if self.used + n > self.limit and not beyond:
                return False
            self.used += n
            return True

    def release(self, n: int) -> None:
        with self._lock:
            self.used -= n


class MemoryBudget:
    """Bodies and answers held in memory, over all connections; in a pool's part of them, where there is one."""

    def __init__(self, most: int, pool: SharedBudget | None = None) -> None:
        self.limit, self.in_use, self._pool = most, 0, pool

    def acquire(self, n: int, beyond: bool = False) -> bool:
        """Room for so many more; with `beyond` they are counted where there is none, since they are here already."""
        if not beyond and self.in_use + n > self.limit or (self._pool and not self._pool.acquire(n, beyond)):
            return False
        self.in_use += n
        return True

    def release(self, n: int) -> None:
        self.in_use -= n
        if self._pool:
            self._pool.release(n)


class DescriptorBudget:
    """Sockets in use.  At the limit an idle one is given up for the new one."""

    def __init__(self, sockets: int, pool: SharedBudget | None = None) -> None:
        self.used, self._pool = 0, pool
        self.reclaimers: list[Callable[[], bool]] = []
        self.resize(sockets)

    def resize(self, sockets: int) -> None:
        """Another limit, spare ones included; what stands idle beyond it is closed."""
        self.limit = max(LEAST_SERVING, sockets - SPARE_DESCRIPTORS)
        self.client_limit = int(self.limit * CLIENT_SHARE)
        self.idle_client_limit = max(4, self.limit // IDLE_PART)
        for _ in range(self.used - self.limit):  # each counts until its close is through, some turns later
            if not self.reclaim():
                break

    @property
    def in_use(self) -> int:
        """Of the process's limit, what is in use and what is kept spare."""
        return self.used + SPARE_DESCRIPTORS

    def acquire(self) -> bool:
        """One more; where all are in use an idle one is closed for it, and counts until it is gone."""
        if self.used >= self.limit and not self.reclaim():
            return False
        if self._pool and not self._pool.acquire(1):
            if not self.reclaim():
                return False
            self._pool.acquire(1, beyond=True)
        self.used += 1
        return True

    def release(self) -> None:
        self.used -= 1
        if self._pool:
            self._pool.release(1)

    def reclaim(self) -> bool:
        """Close one idle connection, if there is any."""
        return any(reclaim() for reclaim in self.reclaimers)
