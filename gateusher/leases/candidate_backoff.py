"""How long a candidate waits before its next attempt at a task.

`Backoff` owns the random numbers; each wait has its jitter, so that candidates don't meet again.
"""

from __future__ import annotations

from random import Random

from .interface import LeaseSettings
from .task_lease import TaskLease
from .wire import Verdict

REPLY_TIMEOUTS_PER_LEASE = 8  # the wait for replies to a pre-vote is a lease divided by this
MAX_LOSS_DOUBLINGS = 3  # of the wait after a loss
STABLE_LEASES = 8  # a task held for longer begins anew with the shortest wait
MAX_FAILURE_DOUBLINGS = 8  # only keeps the power finite; MAX_FAILURE_REPLY_TIMEOUTS is reached after 3
MAX_FAILURE_REPLY_TIMEOUTS = 4.0


class Backoff:
    """Waits and times in ms, by what ended the last attempt."""

    def __init__(self, settings: LeaseSettings, rng: Random) -> None:
        self.settings = settings
        self.rng = rng

    @property
    def reply_timeout_ms(self) -> float:
        """How long the replies to a pre-vote are waited for."""
        return self.settings.lease_ms / REPLY_TIMEOUTS_PER_LEASE

    def after_failures_ms(self, lease: TaskLease) -> float:
        """After failed attempts in a row: exponential, bounded."""
        growth = 0.5 * 2.0 ** min(lease.attempts, MAX_FAILURE_DOUBLINGS)
        return self.reply_timeout_ms * min(MAX_FAILURE_REPLY_TIMEOUTS, growth) * (0.5 + self.rng.random())

    def next_pre_vote_at_ms(self, lease: TaskLease, now: float) -> float:
        """When to repeat a pre-vote without a majority: once enough voters may be free; within about a lease."""
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
        """After a lease expired: none for the first time, then longer with each loss that follows soon."""
        if now - lease.held_since_ms > STABLE_LEASES * self.settings.lease_ms:
            lease.recent_losses = 0
        wait_ms = 0.0
        if lease.recent_losses:
            wait_ms = self.settings.lease_ms * 0.5 * 2.0**lease.recent_losses * self.rng.random()
        lease.recent_losses = min(MAX_LOSS_DOUBLINGS, lease.recent_losses + 1)
        return wait_ms

    def after_stop_ms(self) -> float:
        """After the work of a task that was given up has ended: others go first."""
        return self.reply_timeout_ms * (0.5 + self.rng.random())
