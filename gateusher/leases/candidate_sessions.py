"""A candidate's view of its sessions at the voters, and the expiry of a set of grants.

`SessionViews` owns one view for each voter and the send times of recent rounds.  A reply extends the session from the
time at which its round was sent, never from the reply's arrival.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import NamedTuple

from .interface import LeaseSettings
from .task_lease import GrantSet

MAX_REMEMBERED_ROUNDS = 4096
MAX_COUNT_MISMATCHES = 3  # in successive checks, one a lease, before the session is dropped
LONG_AGO_MS = -1e18


class SessionView(NamedTuple):
    """One voter's session for this candidate, and the one before it.

    Grants of the previous session stay valid until that session's expiry: a voter that began a new session grants
    nothing to other candidates for one lease.
    """

    session: int = 0
    end_ms: float = LONG_AGO_MS
    last_round: int = 0  # the last round that the voter replied to
    previous_session: int = 0
    previous_end_ms: float = LONG_AGO_MS

    @property
    def is_confirmed(self) -> bool:
        """Return whether the voter has confirmed the current session."""
        return self.end_ms > LONG_AGO_MS

    def expiry_ms(self, session: int) -> float:
        """Return when grants of this session expire."""
        if session == self.session:
            return self.end_ms
        if session == self.previous_session:
            return self.previous_end_ms
        return LONG_AGO_MS


class SessionViews:
    """Session views of all voters, and the rounds that were sent."""

    def __init__(self, settings: LeaseSettings) -> None:
        self._settings = settings
        self.by_voter: dict[str, SessionView] = dict.fromkeys(settings.all_voters, SessionView())
        self.round = 0  # the last round that was begun
        self._sent_ms: OrderedDict[int, float] = OrderedDict()  # by round
        self._count_mismatches: Counter[str] = Counter()
        self._next_count_check_ms: dict[str, float] = {}

    def change_voters(self, settings: LeaseSettings) -> None:
        """Keep the views of the voters that remain."""
        self._settings = settings
        self.by_voter = {voter: self.by_voter.get(voter, SessionView()) for voter in settings.all_voters}

    def begin_round(self, now: float) -> int:
        """Begin a round that is sent now, and return its number."""
        self.round += 1
        self._sent_ms[self.round] = now
        if len(self._sent_ms) > MAX_REMEMBERED_ROUNDS:
            self._sent_ms.popitem(last=False)
        return self.round

    def sent_ms(self, round_number: int) -> float | None:
        """Return when a round was sent; None for one that is unknown or too old."""
        return self._sent_ms.get(round_number)

    def extend(self, voter: str, round_number: int, end_ms: float) -> None:
        """Extend the voter's current session to `end_ms` on a reply to this round."""
        view = self.by_voter[voter]
        self.by_voter[voter] = view._replace(
            end_ms=max(view.end_ms, end_ms), last_round=max(view.last_round, round_number)
        )

    def begin(self, voter: str, session: int) -> None:
        """Switch to another session, begun or expected; earlier grants are no longer extended."""
        view = self.by_voter[voter]
        if view.is_confirmed:
            previous_session = view.session
            previous_end_ms = view.end_ms
        else:
            previous_session = view.previous_session
            previous_end_ms = view.previous_end_ms
        self.by_voter[voter] = SessionView(session, LONG_AGO_MS, view.last_round, previous_session, previous_end_ms)
        self._count_mismatches.pop(voter, None)

    def discard_previous(self, voter: str) -> None:
        """Stop counting grants of the previous session."""
        self.by_voter[voter] = self.by_voter[voter]._replace(previous_session=0)

    def expiry_ms(self, grant_set: GrantSet) -> float:
        """Return when these grants cease to be a majority of some set of voters; LONG_AGO_MS if they are none."""
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
        """Return whether to compare the voter's count of grants now; true at most once a lease."""
        if now < self._next_count_check_ms.get(voter, 0.0):
            return False
        self._next_count_check_ms[voter] = now + self._settings.lease_ms
        return True

    def has_unknown_grants(self, voter: str, reported_count: int, known_count: int) -> bool:
        """Return whether a voter has repeatedly reported more grants than this candidate knows of."""
        mismatches = self._count_mismatches[voter] + 1 if reported_count > known_count else 0
        self._count_mismatches[voter] = mismatches
        return mismatches >= MAX_COUNT_MISMATCHES
