"""When a client can have sent the last byte of a body that is read more slowly than it is sent.

A request's time counts from its last byte (PROTOCOL, Figures), which may wait in the kernel while reading is paused.
`UploadClock` bounds from below when that byte was sent.  While reading is paused, the client can have sent no more
than what was read, what waits unread in this end's kernel, and what its own send buffer holds.
"""

from __future__ import annotations

from collections import deque
from typing import Final, NamedTuple

PEER_SEND_BUFFER_BYTES: Final = 4 << 20  # tcp(7): the default maximum of tcp_wmem
MIN_SAMPLE_DISTANCE_BYTES: Final = 64 << 10
DRAINED_AFTER_S: Final = 0.1  # after so long without a pause, everything that was sent is read


class _Sample(NamedTuple):
    at_s: float
    sent_bytes: int  # of the body, at most


class UploadClock:
    """The clock of one body.  All times are seconds of the event loop's clock, all positions bytes of the body."""

    def __init__(self) -> None:
        self._samples: deque[_Sample] = deque()

    def reading_paused(self, now_s: float, read_bytes: int, unread_bytes: int) -> None:
        """Record how much can have been sent by now; called as a pause begins, and from time to time during it."""
        sent_bytes = read_bytes + unread_bytes + PEER_SEND_BUFFER_BYTES
        if not self._samples or sent_bytes >= self._samples[-1].sent_bytes + MIN_SAMPLE_DISTANCE_BYTES:
            self._samples.append(_Sample(now_s, sent_bytes))
        elif sent_bytes > self._samples[-1].sent_bytes:
            self._samples[-1] = self._samples[-1]._replace(sent_bytes=sent_bytes)

    def reading_drained(self) -> None:
        """Record that everything that was sent so far is read."""
        self._samples.clear()

    def last_byte_sent_s(self, known_bytes: int) -> float | None:
        """Return the earliest time at which byte `known_bytes` can have been sent; None if it is not known to wait.

        `known_bytes` is the length of the body, or what is known to have been sent if the length is unknown.
        """
        while self._samples and self._samples[0].sent_bytes < known_bytes:
            if len(self._samples) == 1:
                return None  # sent later than the latest sample
            self._samples.popleft()
        return self._samples[0].at_s if self._samples else None
