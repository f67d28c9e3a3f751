"""A rate limit with a burst of one second's worth, for bytes or messages."""

from __future__ import annotations


class TokenBucket:
    """Allows `rate_per_s` tokens a second, and as many at once.

    In any span of t seconds at most `rate_per_s` x (t + 1) tokens are taken.  Times are milliseconds.
    """

    def __init__(self, rate_per_s: float) -> None:
        self.rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._refilled_at_ms = -1e12

    def available(self, now_ms: float) -> float:
        """Return how many tokens can be taken now."""
        refill = max(0.0, now_ms - self._refilled_at_ms) * self.rate_per_s / 1000.0
        self._tokens = min(self.rate_per_s, self._tokens + refill)
        self._refilled_at_ms = max(self._refilled_at_ms, now_ms)
        return self._tokens

    def take(self, now_ms: float, count: int) -> bool:
        """Take `count` tokens and return True, or return False if there are not as many."""
        if self.available(now_ms) < count:
            return False
        self._tokens -= count
        return True
