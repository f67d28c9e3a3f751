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


class Pool:
    """A budget that several users share on purpose, on any loops and threads.

    Each keeps its own account beside it, so what one has taken is given back by that one alone.
    """

    def __init__(self, most: int) -> None:
        self.most, self.used = most, 0
        self._lock = threading.Lock()

    def take(self, n: int, beyond: bool = False) -> bool:
        with self._lock:
            if self.used + n > self.most and not beyond:
                return False
            self.used += n
            return True

    def give(self, n: int) -> None:
        with self._lock:
            self.used -= n


class Bytes:
    """Bodies and answers held in memory, over all connections; in a pool's part of them, where there is one."""

    def __init__(self, most: int, pool: Pool | None = None) -> None:
        self.most, self.held, self._pool = most, 0, pool

    def take(self, n: int, beyond: bool = False) -> bool:
        """Room for so many more; with `beyond` they are counted where there is none, since they are here already."""
        if not beyond and self.held + n > self.most or (self._pool and not self._pool.take(n, beyond)):
            return False
        self.held += n
        return True

    def give(self, n: int) -> None:
        self.held -= n
        if self._pool:
            self._pool.give(n)


class Descriptors:
    """Sockets in use.  At the limit an idle one is given up for the new one."""

    def __init__(self, sockets: int, pool: Pool | None = None) -> None:
        self.used, self._pool = 0, pool
        self.reclaimers: list[Callable[[], bool]] = []
        self.resize(sockets)

    def resize(self, sockets: int) -> None:
        """Another limit, spare ones included; what stands idle beyond it is closed."""
        self.most = max(LEAST_SERVING, sockets - SPARE_DESCRIPTORS)
        self.most_clients = int(self.most * CLIENT_SHARE)
        self.most_idle = max(4, self.most // IDLE_PART)
        for _ in range(self.used - self.most):  # each counts until its close is through, some turns later
            if not self.reclaim():
                break

    @property
    def held(self) -> int:
        """Of the process's limit, what is in use and what is kept spare."""
        return self.used + SPARE_DESCRIPTORS

    def take(self) -> bool:
        """One more; where all are in use an idle one is closed for it, and counts until it is gone."""
        if self.used >= self.most and not self.reclaim():
            return False
        if self._pool and not self._pool.take(1):
            if not self.reclaim():
                return False
            self._pool.take(1, beyond=True)
        self.used += 1
        return True

    def give(self) -> None:
        self.used -= 1
        if self._pool:
            self._pool.give(1)

    def reclaim(self) -> bool:
        """Close one idle connection, if there is any."""
        return any(reclaim() for reclaim in self.reclaimers)
