"""The two budgets that nothing may exceed: bytes held, and file descriptors."""

from __future__ import annotations

from collections.abc import Callable

SPARE_DESCRIPTORS = 64  # standard streams, poller, listener, discovery, and closes that are under way
CLIENT_SHARE = 0.6      # part of the rest that clients may hold: without endpoints none could be served
IDLE_PART = 8           # one part in so many may be clients' connections that stand idle


class Bytes:
    """Bodies and answers held in memory, over all connections."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0

    def take(self, n: int) -> bool:
        if self.held + n > self.most:
            return False
        self.held += n
        return True

    def give(self, n: int) -> None:
        self.held -= n


class Descriptors:
    """Sockets in use.  At the limit an idle one is given up for the new one."""

    def __init__(self, sockets: int) -> None:
        self.most = max(8, sockets - SPARE_DESCRIPTORS)
        self.most_clients = int(self.most * CLIENT_SHARE)
        self.most_idle = max(4, self.most // IDLE_PART)
        self.used = 0
        self.reclaimers: list[Callable[[], bool]] = []

    def take(self) -> bool:
        if self.used >= self.most and not self.reclaim():
            return False
        self.used += 1
        return True

    def give(self) -> None:
        self.used -= 1

    def reclaim(self) -> bool:
        """Close one idle connection, if there is any."""
        return any(reclaim() for reclaim in self.reclaimers)
