"""Delays before a candidate's next attempt to acquire a task.

`Backoff` owns the random number generator.  Delays are jittered so that competing candidates don't collide again.
"""

from __future__ import annotations

from random import Random

from .interface import LeaseSettings
from .task_lease import TaskLease
from .wire import Verdict

REPLY_TIMEOUTS_PER_LEASE = 8  # lease length / reply timeout of a pre-vote
MAX_LOSS_DOUBLINGS = 3  # of the delay after a loss
STABLE_LEASES = 8  # holding a task for longer resets its delay after a loss
MAX_FAILURE_DOUBLINGS = 8  # keeps the power finite; MAX_FAILURE_REPLY_TIMEOUTS is reached after 3
MAX_FAILURE_REPLY_TIMEOUTS = 4.0


class Backoff:
    """Delays and times in ms, by the way the last attempt ended."""

    def __init__(self, settings: LeaseSettings, rng: Random) -> None:
        self.settings = settings
        self.rng = rng

    @property
    def reply_timeout_ms(self) -> float:
        """Return the time to wait for replies to a pre-vote."""
        return self.settings.lease_ms / REPLY_TIMEOUTS_PER_LEASE

    def after_failures_ms(self, lease: TaskLease) -> float:
        """Return the delay after consecutive failed attempts: exponential, bounded."""
        growth = 0.5 * 2.0 ** min(lease.attempts, MAX_FAILURE_DOUBLINGS)
        return self.reply_timeout_ms * min(MAX_FAILURE_REPLY_TIMEOUTS, growth) * (0.5 + self.rng.random())

    def next_pre_vote_at_ms(self, lease: TaskLease, now: float) -> float:
        """Return when to retry a failed pre-vote: once a majority may be free, within about one lease."""
        waits_ms: dict[str, float] = {}
        for voter, reply in lease.replies.items():
            if reply.verdict is Verdict.BUSY:
                waits_ms[voter] = float(reply.wait_ms)
            elif reply.verdict is Verdict.WOULD_GRANT:
                waits_ms[voter] = 0.0
        longest_ms = 0.0
        for voters in self.settings.voter_sets:
            known_ms = sorted(waits_ms[voter] for voter in voters if voter in waits_ms)
            majority_index = len(voters) // 2
            if len(known_ms) > majority_index:
                longest_ms = max(longest_ms, known_ms[majority_index])
            else:
                longest_ms = max(longest_ms, self.after_failures_ms(lease))
        jitter_ms = self.rng.random() * self.reply_timeout_ms / 2
        return now + min(longest_ms, self.settings.lease_ms) + jitter_ms

    def after_loss_ms(self, lease: TaskLease, now: float) -> float:
        """Return the delay after a lost lease: none for the first loss, then random and longer with each loss."""
        if now - lease.held_since_ms > STABLE_LEASES * self.settings.lease_ms:
            lease.recent_losses = 0
        wait_ms = 0.0
        if lease.recent_losses:
            wait_ms = self.settings.lease_ms * 0.5 * 2.0**lease.recent_losses * self.rng.random()
        lease.recent_losses = min(MAX_LOSS_DOUBLINGS, lease.recent_losses + 1)
        return wait_ms

    def after_stop_ms(self) -> float:
        """Return the delay after a task was released, which lets other candidates go first."""
        return self.reply_timeout_ms * (0.5 + self.rng.random())
