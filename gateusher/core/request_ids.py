"""The ids of requests: those in flight, and those of requests that must not run again.

`RequestIds` owns both.  An endpoint can't tell a request that comes again under its id from a retry of the process,
so an id in flight is not accepted a second time.  The id of a request whose class is not idempotent, and that may
have run, is not accepted afterwards either: a client that left before its answer, or that lost it, may send it again.
Only a digest of such an id is kept, and of the newest MAX_EXECUTED_IDS alone.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import Final

from ..base.id_digest import digest

MAX_EXECUTED_IDS: Final = 8192  # some 1 MB


class RequestIds:
    """The ids that are not accepted.  `on_taken` is called with the digest of each id that may run from now on."""

    def __init__(self) -> None:
        self.on_taken: Callable[[bytes], None] | None = None
        self._reserved: dict[bytes, bool] = {}  # in flight; whether its request must not run twice
        self._executed: set[bytes] = set()
        self._executed_by_age: deque[bytes] = deque()

    @property
    def in_flight_count(self) -> int:
        """How many ids are in flight or belong to a request that is still being prepared."""
        return len(self._reserved)

    def reserve(self, request_id: bytes) -> bool:
        """Reserve the id of a request that is still being prepared; return False if it is in flight already."""
        if not request_id or request_id in self._reserved:
            return False
        self._reserved[request_id] = False
        return True

    def release(self, request_id: bytes) -> None:
        """Release the id of a request that has no attempt in flight."""
        self._reserved.pop(request_id, None)

    def is_in_flight(self, request_id: bytes) -> bool:
        """Return whether a request with this id is open or has an attempt in flight."""
        return request_id in self._reserved

    def take(self, request_id: bytes, is_idempotent: bool) -> None:
        """Reserve the id of an accepted request."""
        self._reserved[request_id] = not is_idempotent
        if self.on_taken and not is_idempotent:
            self.on_taken(digest(request_id))

    def has_executed(self, request_id: bytes) -> bool:
        """Return whether a request with this id may have run, and must not run again."""
        return bool(self._executed) and digest(request_id) in self._executed

    def record_executed(self, request_id: bytes) -> None:
        """Record that a request with this id may have run, and must not run again."""
        self.add_digests([digest(request_id)])

    # -- between the two processes of an upgrade

    def digests(self) -> list[bytes]:
        """Return the digests of all ids that must not run at another process, the oldest first."""
        in_flight = [digest(request_id) for request_id, once in self._reserved.items() if once]
        return [*self._executed_by_age, *in_flight]

    def add_digests(self, digests: Iterable[bytes]) -> None:
        """Record ids that must not run here, of this process or of the other one."""
        for new_digest in digests:
            if new_digest in self._executed:
                continue
            self._executed.add(new_digest)
            self._executed_by_age.append(new_digest)
            if len(self._executed_by_age) > MAX_EXECUTED_IDS:
                self._executed.discard(self._executed_by_age.popleft())
