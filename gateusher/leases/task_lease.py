"""The candidate's view of one task's lease: its states and data.

    state       ends when                                                  next
    WAITING     its timer is due and a pre-vote slot is free               PRE_VOTE
                a majority of voters reports that the task was released    REQUESTING
    PRE_VOTE    a majority would grant it                                  REQUESTING
                all voters have replied otherwise, or it timed out         WAITING
    REQUESTING  a majority has granted it                                  HELD
                no majority is possible any more, or it timed out          WAITING
    HELD        it is withdrawn or yielded, or the voters change           STOPPING, with the lease still valid
                no majority of sessions is left                            STOPPING, with the lease lost
    STOPPING    the work has ended, or every voter's grant has expired     WAITING

A withdrawn task is removed in WAITING and PRE_VOTE, or when it returns to WAITING.  Only `candidate` changes states.
This module owns no state apart from its objects.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from .candidate_checkpoints import HolderCheckpoint
from .wire import VoteReply

NEVER_MS = 1e18
GrantSet = frozenset[tuple[str, int]]  # voters that granted a task, each with the session of its grant


class State(Enum):
    """States of a task, see the table above; the values are shown to operators."""

    WAITING = "waiting"
    PRE_VOTE = "asking"
    REQUESTING = "trying"
    HELD = "held"
    STOPPING = "ending"


class ValidLease(NamedTuple):
    """A lease that is valid until `until_ms` on the clock whose time was passed in."""

    fence: int
    until_ms: float


class VoterGrant(NamedTuple):
    """One voter's grant: the fence, and the session that it is valid in."""

    fence: int
    session: int


NO_GRANT = VoterGrant(0, 0)


class TaskLease:
    """A candidate's state of one task."""

    __slots__ = (
        "attempts",
        "checkpoint",
        "fence",
        "grants",
        "held_since_ms",
        "highest_seen_fence",
        "last_known_holder",
        "name",
        "not_before_ms",
        "recent_losses",
        "released_by",
        "replies",
        "round",
        "stale_voters",
        "state",
        "target_fence",
        "timer_at_ms",
        "wanted",
        "work_ends_ms",
    )

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.state = State.WAITING
        self.wanted = True
        self.timer_at_ms = now
        self.not_before_ms = now  # earliest time of the next attempt
        self.fence = 0  # of the held lease
        self.target_fence = 0  # the requested fence; above `fence` while the fence is being raised
        self.highest_seen_fence = 0
        self.round = 0  # of the current pre-vote or request
        self.attempts = 0  # consecutive failed attempts
        self.recent_losses = 0
        self.replies: dict[str, VoteReply] = {}  # by voter, of the current round
        self.grants: dict[str, VoterGrant] = {}  # by voter
        self.stale_voters: set[str] = set()  # voters that have seen a higher fence than the target
        self.released_by: dict[str, int] = {}  # highest fence by voter that reported a release
        self.work_ends_ms = 0.0
        self.held_since_ms = 0.0
        self.last_known_holder = ""
        self.checkpoint = HolderCheckpoint()

    @property
    def grant_set(self) -> GrantSet:
        """Return the grants without their fences."""
        return frozenset((voter, grant.session) for voter, grant in self.grants.items())

    def voters_granting(self, fence: int) -> list[str]:
        """Return the voters that have granted this fence."""
        return [voter for voter, grant in self.grants.items() if grant.fence == fence]
