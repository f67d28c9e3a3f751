"""Anti-replay window over the sequence numbers of one sending process (RFC 4303, 3.4.3).

It owns the highest sequence number accepted so far and which of the numbers just below it have been accepted.
"""

from __future__ import annotations

REPLAY_WINDOW = 256  # sequence numbers below the highest that may still arrive late


class ReplayWindow:
    """Accepts each sequence number once.

    `first` counts as accepted, and so do all numbers before it: their sender was not verified then.
    """

    __slots__ = ("_accepted_bits", "_highest")

    def __init__(self, first: int) -> None:
        self._highest = first
        self._accepted_bits = (1 << REPLAY_WINDOW) - 1

    def accept(self, sequence: int) -> bool:
        """Return whether `sequence` is new; a number below the window counts as accepted before."""
        ahead = sequence - self._highest
        if ahead > 0:
            self._accepted_bits = (self._accepted_bits << min(ahead, REPLAY_WINDOW) | 1) & ((1 << REPLAY_WINDOW) - 1)
            self._highest = sequence
            return True
        if ahead <= -REPLAY_WINDOW or self._accepted_bits >> -ahead & 1:
            return False
        self._accepted_bits |= 1 << -ahead
        return True
