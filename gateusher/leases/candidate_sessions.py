"""What the voters' replies say about this candidate's sessions, and until when a set of grants holds.

`SessionViews` owns one view for each voter and the times at which recent rounds were sent.  A reply extends the
session from the time at which its round was sent, never from the reply's arrival.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import NamedTuple

from .interface import LeaseSettings
from .task_lease import GrantSet

MAX_REMEMBERED_ROUNDS = 4096
MAX_COUNT_MISMATCHES = 3  # a lease apart, until the session is dropped
LONG_AGO_MS = -1e18


class SessionView(NamedTuple):
    """One voter's session for this candidate, and the one before it.

    The previous session's grants hold until its own end: a voter that began a new session grants nothing to others
    for one lease.
    """

    session: int = 0
    end_ms: float = LONG_AGO_MS
    last_round: int = 0  # the last one that the voter replied to
    previous_session: int = 0
    previous_end_ms: float = LONG_AGO_MS

    @property
    def is_confirmed(self) -> bool:
        """Whether the voter has confirmed the current session."""
        return self.end_ms > LONG_AGO_MS

    def expiry_ms(self, session: int) -> float:
        """Until when grants of this session hold."""
        if session == self.session:
            return self.end_ms
        if session == self.previous_session:
            return self.previous_end_ms
        return LONG_AGO_MS


class SessionViews:
    """The views of all voters."""

    def __init__(self, settings: LeaseSettings) -> None:
        self._settings = settings
        self.by_voter: dict[str, SessionView] = dict.fromkeys(settings.all_voters, SessionView())
        self.round = 0  # the last that was begun
        self._sent_ms: OrderedDict[int, float] = OrderedDict()  # by round
        self._count_mismatches: Counter[str] = Counter()
        self._next_count_check_ms: dict[str, float] = {}

    def change_voters(self, settings: LeaseSettings) -> None:
        """Keep the views of the voters that remain."""
        self._settings = settings
        self.by_voter = {voter: self.by_voter.get(voter, SessionView()) for voter in settings.all_voters}

    def begin_round(self, now: float) -> int:
        """The number of a new round, which is sent now."""
        self.round += 1
        self._sent_ms[self.round] = now
        if len(self._sent_ms) > MAX_REMEMBERED_ROUNDS:
            self._sent_ms.popitem(last=False)
        return self.round

    def sent_ms(self, round_number: int) -> float | None:
        """When a round was sent; None for one that is unknown or too old."""
        return self._sent_ms.get(round_number)

    def extend(self, voter: str, round_number: int, end_ms: float) -> None:
        """A reply to this round confirms the voter's current session until `end_ms`."""
        view = self.by_voter[voter]
        self.by_voter[voter] = view._replace(
            end_ms=max(view.end_ms, end_ms), last_round=max(view.last_round, round_number)
        )

    def begin(self, voter: str, session: int) -> None:
        """The voter has begun another session, or will: earlier grants hold only until the end they had."""
        view = self.by_voter[voter]
        if view.is_confirmed:
            previous_session = view.session
            previous_end_ms = view.end_ms
        else:
            previous_session = view.previous_session
            previous_end_ms = view.previous_end_ms
        self.by_voter[voter] = SessionView(session, LONG_AGO_MS, view.last_round, previous_session, previous_end_ms)
        self._count_mismatches.pop(voter, None)

    def forget_previous(self, voter: str) -> None:
        """Let grants of the previous session count no more."""
        self.by_voter[voter] = self.by_voter[voter]._replace(previous_session=0)

    def expiry_ms(self, grant_set: GrantSet) -> float:
        """Until when these grants are a majority of each set of voters; long ago for too few."""
        earliest = 1e18
        for voters in self._settings.voter_sets:
            ends = sorted(
                (self.by_voter[voter].expiry_ms(session) for voter, session in grant_set if voter in voters),
                reverse=True,
            )
            majority_index = len(voters) // 2
            end_ms = ends[majority_index] if len(ends) > majority_index else LONG_AGO_MS
            earliest = min(earliest, end_ms)
        return earliest

    def is_count_check_due(self, voter: str, now: float) -> bool:
        """Whether the voter's count of grants is to be compared now; at most once a lease."""
        if now < self._next_count_check_ms.get(voter, 0.0):
            return False
        self._next_count_check_ms[voter] = now + self._settings.lease_ms
        return True

    def has_unknown_grants(self, voter: str, reported_count: int, known_count: int) -> bool:
        """Whether a voter's session has repeatedly held more grants than are known here."""
        mismatches = self._count_mismatches[voter] + 1 if reported_count > known_count else 0
        self._count_mismatches[voter] = mismatches
        return mismatches >= MAX_COUNT_MISMATCHES
