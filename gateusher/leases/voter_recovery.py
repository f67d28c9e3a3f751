"""When a voter that can't trust its memory knows enough to vote again (protocol-aware recovery, 2018).

Such a voter is quarantined: it grants nothing until other voters have reported the highest fence and epoch that they
know.  `PeerStatuses` owns those reports of the current incarnation.
"""

from __future__ import annotations

from .interface import LeaseSettings
from .wire import VoterStatus


class PeerStatuses:
    """The other voters' reports of what they remember."""

    def __init__(self) -> None:
        self.by_voter: dict[str, VoterStatus] = {}

    def _others(self, settings: LeaseSettings, voters: tuple[str, ...]) -> list[VoterStatus]:
        return [self.by_voter[name] for name in voters if name != settings.name and name in self.by_voter]

    def are_sufficient(self, settings: LeaseSettings) -> bool:
        """Whether, in each set with this voter, a majority that votes has reported, or all other voters have."""
        for voters in settings.voter_sets:
            if settings.name not in voters:
                continue
            others = self._others(settings, voters)
            voting = sum(status.votes for status in others)
            if voting <= len(voters) // 2 and len(others) < len(voters) - 1:
                return False
        return True

    def include_voting_peer(self, settings: LeaseSettings) -> bool:
        """Whether any other voter in a set with this voter votes."""
        return any(
            status.votes
            for voters in settings.voter_sets
            if settings.name in voters
            for status in self._others(settings, voters)
        )

    def highest_fence(self) -> int:
        """The highest fence that any voter reported; 0 for none."""
        return max((status.highest_fence for status in self.by_voter.values()), default=0)

    def min_epoch(self) -> int:
        """The highest `min_epoch` that any voter reported; 0 for none."""
        return max((status.min_epoch for status in self.by_voter.values()), default=0)

    def closed_epoch(self) -> int:
        """The highest closed epoch that any voter reported; 0 for none."""
        return max((status.closed_epoch for status in self.by_voter.values()), default=0)
