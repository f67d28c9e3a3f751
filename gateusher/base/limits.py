"""Two budgets that a process never exceeds: bytes of bodies kept in memory, and file descriptors."""

from __future__ import annotations

import threading
from collections.abc import Callable

# Standard streams, poller, signals, listeners, hand-over and discovery take a dozen, operators' connections 16; the
# rest covers descriptors whose close is under way.
SPARE_DESCRIPTORS = 40
MIN_SERVING_DESCRIPTORS = 8  # with fewer beside the spare ones nobody can be served
MIN_DESCRIPTORS = SPARE_DESCRIPTORS + MIN_SERVING_DESCRIPTORS
CLIENT_SHARE = 0.6  # of the others, for clients' connections; endpoints need the rest
IDLE_CLIENT_FRACTION = 8  # one in so many may be an idle connection of a client
MIN_IDLE_CLIENTS = 4
SCARCE_MEMORY_PART = 2  # memory is scarce from one part in so many on


class SharedBudget:
    """A budget that several users on any event loops and threads share.

    Each user keeps its own account beside it, so that each releases only what it has acquired itself.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self._lock = threading.Lock()

    def acquire(self, amount: int, beyond: bool = False) -> bool:
        """Count `amount` as used; False, with nothing counted, if it exceeds the limit unless `beyond` is set."""
        with self._lock:
            if self.used + amount > self.limit and not beyond:
                return False
            self.used += amount
            return True

    def release(self, amount: int) -> None:
        """Give back what `acquire` counted."""
        with self._lock:
            self.used -= amount


class MemoryBudget:
    """Bytes of request and response bodies in memory over all connections, within a shared budget if there is one."""

    def __init__(self, limit: int, shared: SharedBudget | None = None) -> None:
        self.limit = limit
        self.in_use = 0
        self._shared = shared

    @property
    def is_scarce(self) -> bool:
        """Whether memory is better left to requests that need it for a moment only."""
        return self.in_use * SCARCE_MEMORY_PART > self.limit

    def acquire(self, size: int, beyond: bool = False) -> bool:
        """Reserve `size` bytes; False if there is no capacity.

        With `beyond` they are counted beyond the limit as well, since they are in memory already.
        """
        if self.in_use + size > self.limit and not beyond:
            return False
        if self._shared and not self._shared.acquire(size, beyond):
            return False
        self.in_use += size
        return True

    def release(self, size: int) -> None:
        """Give back what `acquire` reserved."""
        self.in_use -= size
        if self._shared:
            self._shared.release(size)


class DescriptorBudget:
    """Sockets in use.  At the limit an idle connection is closed in favour of a new one.

    `reclaimers` are called in their order until one has closed an idle connection and returns True.
    """

    def __init__(self, sockets: int, shared: SharedBudget | None = None) -> None:
        self.used = 0
        self._shared = shared
        self.reclaimers: list[Callable[[], bool]] = []
        self.resize(sockets)

    def resize(self, sockets: int) -> None:
        """Set the limit, spare descriptors included; idle connections beyond it are closed."""
        self.limit = max(MIN_SERVING_DESCRIPTORS, sockets - SPARE_DESCRIPTORS)
        self.client_limit = int(self.limit * CLIENT_SHARE)
        self.idle_client_limit = max(MIN_IDLE_CLIENTS, self.limit // IDLE_CLIENT_FRACTION)
        # Each one counts until its close is complete, some turns of the loop later.
        for _ in range(self.used - self.limit):
            if not self.reclaim():
                break

    @property
    def in_use(self) -> int:
        """Descriptors of the process's limit that are in use or kept spare."""
        return self.used + SPARE_DESCRIPTORS

    def acquire(self) -> bool:
        """Reserve one descriptor; False if there is none.

        At the limit an idle connection is closed for it, which counts until its close is complete.
        """
        if self.used >= self.limit and not self.reclaim():
            return False
        if self._shared and not self._shared.acquire(1):
            if not self.reclaim():
                return False
            self._shared.acquire(1, beyond=True)
        self.used += 1
        return True

    def release(self) -> None:
        """Give back one descriptor."""
        self.used -= 1
        if self._shared:
            self._shared.release(1)

    def reclaim(self) -> bool:
        """Close one idle connection; False if there is none."""
        return any(reclaim() for reclaim in self.reclaimers)
