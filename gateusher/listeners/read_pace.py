"""How fast a client takes its responses while it is behind.

`ReadPace` owns the counts of one connection: the bytes written to it, and the time for which its client was behind.
What the kernel has got rid of may still wait in the client's own kernel, so a client that reads steadily is never
taken for slower than it is, however large its receive buffer.  Time in which nothing waits for the client, as its
endpoint is slow, doesn't count.
"""

from __future__ import annotations

from enum import Enum
from typing import Final

MIN_PACE_BYTES_PER_S: Final = 64_000  # a client that reads faster is not slow


class Behind(Enum):
    """What waits for the client."""

    WRITE_BUFFER = "bytes that the kernel has not taken"
    STREAM = "the rest of a response, as the kernel holds much of it"


class ReadPace:
    """The pace of one client; times are seconds of the event loop's clock."""

    def __init__(self) -> None:
        self._written_bytes = 0
        self._behind: set[Behind] = set()
        self._since_s = 0.0  # if it is behind
        self._behind_s = 0.0  # before that

    @property
    def is_behind(self) -> bool:
        """Whether something waits for the client."""
        return bool(self._behind)

    @property
    def has_been_behind(self) -> bool:
        """Whether it has been behind since `restart`."""
        return bool(self._behind) or self._behind_s > 0.0

    def restart(self) -> None:
        """A response begins, and all that was written before is taken."""
        self._written_bytes = 0
        self._behind_s = 0.0

    def written(self, size: int) -> None:
        """Count bytes that are written."""
        self._written_bytes += size

    def begin(self, what: Behind, now_s: float) -> None:
        """Something waits for the client."""
        if not self._behind:
            self._since_s = now_s
        self._behind.add(what)

    def end(self, what: Behind, now_s: float) -> None:
        """It waits no more."""
        if what in self._behind:
            self._behind.remove(what)
            if not self._behind:
                self._behind_s += now_s - self._since_s

    def slow_since_s(self, now_s: float, unsent_bytes: int) -> float | None:
        """Return since when the client has been behind, all such times together; None unless it is behind and slow.

        `unsent_bytes` of what was written are not taken yet.
        """
        if not self._behind:
            return None
        behind_s = self._behind_s + now_s - self._since_s
        is_slow = self._written_bytes - unsent_bytes < MIN_PACE_BYTES_PER_S * behind_s
        return now_s - behind_s if is_slow else None
