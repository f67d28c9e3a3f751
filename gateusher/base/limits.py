"""Resource budgets of a process: bytes of bodies in memory, and file descriptors."""

from __future__ import annotations

import threading
from collections.abc import Callable
from math import inf
from typing import Final

# Standard streams, poller, signals, listeners, handover and discovery use a dozen descriptors, admin connections 16;
# the others cover descriptors that are being closed.
SPARE_DESCRIPTORS = 40
MAX_CLOSING_DESCRIPTORS = 12  # of the spare ones
MIN_SERVING_DESCRIPTORS = 8  # non-spare descriptors without which no client can be served
MIN_DESCRIPTORS = SPARE_DESCRIPTORS + MIN_SERVING_DESCRIPTORS
CLIENT_SHARE = 0.6  # share of the non-spare descriptors for client connections; endpoints need the rest
IDLE_CLIENT_DIVISOR = 8  # idle client connections may use 1/8 of the non-spare descriptors
MIN_IDLE_CLIENTS = 4
BYTES_PER_MB: Final = 1048576
MEMORY_OVERCOMMIT_RATIO = 1.25  # of the limit, for responses of endpoints
MIN_MESSAGE_BYTES = 1 << 20  # without which nothing can be served, whatever the process takes otherwise
MIN_PRESSED_CONNECTIONS = 64  # which are allowed close to the memory limit too
CONNECTION_BYTES = 6144  # of one connection without messages: socket, transport, parser and their state
MEASURED_GROWTH_BYTES = 131072  # after which the process's memory is measured again
REQUEST_BYTES = 2048  # of a request without its message: its state, its attempts and their timers
SCARCE_MEMORY_DIVISOR = 2  # memory is scarce once more than half of the limit is in use


class SharedBudget:
    """A budget shared by several users, which may run on different event loops and threads.

    Each user also counts its own usage, and releases only what it has acquired itself.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self._lock = threading.Lock()

    def acquire(self, amount: int, may_exceed: bool = False) -> bool:
        """Reserve `amount`; return False and reserve nothing if that exceeds the limit, unless `may_exceed`."""
        with self._lock:
            if self.used + amount > self.limit and not may_exceed:
                return False
            self.used += amount
            return True

    def release(self, amount: int) -> None:
        """Release what `acquire` reserved."""
        with self._lock:
            self.used -= amount


class MemoryBudget:
    """Limits the bytes of messages in memory over all connections, within a shared budget if there is one.

    `limit` bounds what is read from clients; responses of endpoints may exceed it by MEMORY_OVERCOMMIT_RATIO, so that
    clients that hold much cost others no response.  It shrinks with the number of open connections where `total`, the
    bytes that messages and connections may take together, is small.
    """

    def __init__(self, limit: int, shared: SharedBudget | None = None, total: float = inf) -> None:
        self.in_use = 0
        self._shared = shared
        self.connection_count = 0
        self.is_pressed = False  # the process is close to its memory limit, as it was measured last
        self.on_growth: Callable[[], None] | None = None  # called when what was taken since the last call is much
        self._growth_bytes = 0
        self._measured_limit = inf
        self._connection_limit = inf
        self.resize(limit, total)

    def resize(self, limit: int, total: float = inf) -> None:
        """Apply other limits; nothing in use is taken away."""
        self._max_limit, self._total = limit, total
        self._apply_limits()

    def connection_opened(self) -> None:
        """Count a connection, of a client or to an endpoint."""
        self.connection_count += 1
        self._apply_limits()
        self.note_growth(CONNECTION_BYTES)

    def connection_closed(self) -> None:
        """Discount a connection."""
        self.connection_count -= 1
        self._apply_limits()

    def _apply_limits(self) -> None:
        left = (self._total - self.connection_count * CONNECTION_BYTES) / MEMORY_OVERCOMMIT_RATIO
        self.limit = int(min(self._max_limit, max(MIN_MESSAGE_BYTES, min(left, self._measured_limit))))

    def apply_headroom(self, headroom_bytes: float, is_pressed: bool, is_critical: bool = False) -> None:
        """Bound what is held to `headroom_bytes` more than now, as measured for the process as a whole.

        What is counted here may be less than what the process takes for it.  A process that holds little is not
        pressed: what it takes otherwise is free inside its allocator, or can't be freed.
        """
        holds_little = self.connection_count <= MIN_PRESSED_CONNECTIONS and self.in_use <= MIN_MESSAGE_BYTES
        self.is_pressed = is_pressed and not holds_little
        if not is_critical or holds_little:
            self._connection_limit = inf
        elif self._connection_limit == inf:
            self._connection_limit = max(MIN_PRESSED_CONNECTIONS, self.connection_count)
        self._measured_limit = (self.in_use + headroom_bytes) / MEMORY_OVERCOMMIT_RATIO
        self._apply_limits()

    def note_growth(self, size: int) -> None:
        """Record bytes that the process may have come to take since its memory was measured."""
        self._growth_bytes += size
        if self._growth_bytes >= MEASURED_GROWTH_BYTES and self.on_growth:
            self._growth_bytes = 0
            self.on_growth()

    @property
    def allows_connection(self) -> bool:
        """Whether there may be one more connection: at the memory limit no more than there were as it was reached."""
        return self.connection_count < self._connection_limit

    @property
    def is_critical(self) -> bool:
        """Whether the process is about to reach its memory limit, as it was measured last."""
        return self._connection_limit < inf

    @property
    def is_scarce(self) -> bool:
        """Whether memory should be left to requests that need it only briefly."""
        return self.is_pressed or self.in_use * SCARCE_MEMORY_DIVISOR > self.limit

    def acquire(self, size: int, may_exceed: bool = False) -> bool:
        """Reserve `size` bytes; return False if they exceed the limit.

        `may_exceed` is for bytes that are already in memory: they are counted even beyond the limit.
        """
        if self.in_use + size > self.limit and not may_exceed:
            return False
        if self._shared and not self._shared.acquire(size, may_exceed):
            return False
        self.in_use += size
        self.note_growth(size)
        return True

    def acquire_for_response(self, size: int) -> bool:
        """Reserve bytes of an endpoint's response, up to MEMORY_OVERCOMMIT_RATIO of the limit; False beyond that."""
        return self.acquire(size) or (
            self.in_use + size <= MEMORY_OVERCOMMIT_RATIO * self.limit and self.acquire(size, may_exceed=True)
        )

    def release(self, size: int) -> None:
        """Release what `acquire` reserved."""
        self.in_use -= size
        if self._shared:
            self._shared.release(size)


class Reservation:
    """The bytes that one owner has in memory, counted in a budget even beyond its limit."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.size = 0

    def set(self, size: int) -> None:
        """Count this many bytes in place of those before."""
        if size > self.size:
            self._budget.acquire(size - self.size, may_exceed=True)
        elif size < self.size:
            self._budget.release(self.size - size)
        self.size = size

    def set_for_response(self, size: int) -> bool:
        """Count this many bytes of a response in place of those before; return False if they exceed the limit."""
        if size > self.size and (self._budget.is_critical or not self._budget.acquire_for_response(size - self.size)):
            return False
        if size < self.size:
            self._budget.release(self.size - size)
        self.size = size
        return True


class DescriptorBudget:
    """Limits the sockets in use.  At the limit an idle connection is closed in favor of a new one.

    `reclaimers` are called in order until one closes an idle connection and returns True.
    """

    def __init__(self, sockets: int, shared: SharedBudget | None = None) -> None:
        self.used = 0
        self._shared = shared
        self.reclaimers: list[Callable[[], bool]] = []
        self.resize(sockets)

    def resize(self, sockets: int) -> None:
        """Set the limit, which includes the spare descriptors, and close idle connections that exceed it."""
        self.limit = max(MIN_SERVING_DESCRIPTORS, sockets - SPARE_DESCRIPTORS)
        self.client_limit = int(self.limit * CLIENT_SHARE)
        self.idle_client_limit = max(MIN_IDLE_CLIENTS, self.limit // IDLE_CLIENT_DIVISOR)
        # A closed connection counts until its close completes, several event loop iterations later.
        for _ in range(self.used - self.limit):
            if not self.reclaim():
                break

    @property
    def in_use(self) -> int:
        """Descriptors that are in use or kept spare, to compare with the process's limit."""
        return self.used + SPARE_DESCRIPTORS

    def acquire(self) -> bool:
        """Reserve one descriptor; return False if none is available.

        At the limit an idle connection is closed for it, which still counts until its close completes.
        """
        if self.used >= self.limit and (self.used >= self.limit + MAX_CLOSING_DESCRIPTORS or not self.reclaim()):
            return False
        if self._shared and not self._shared.acquire(1):
            if not self.reclaim():
                return False
            self._shared.acquire(1, may_exceed=True)
        self.used += 1
        return True

    def release(self) -> None:
        """Release one descriptor."""
        self.used -= 1
        if self._shared:
            self._shared.release(1)

    def reclaim(self) -> bool:
        """Close one idle connection; return False if there is none."""
        return any(reclaim() for reclaim in self.reclaimers)
