"""Recovery of a voter that can't trust its stored state (protocol-aware recovery, 2018).

Such a voter is quarantined: it grants nothing until other voters have reported the highest fence and epoch that they
know.  `PeerStatuses` owns the reports to the current incarnation.
"""

from __future__ import annotations

from .interface import LeaseSettings
from .wire import VoterStatus


class PeerStatuses:
    """Status reports of the other voters."""

    def __init__(self) -> None:
        self.by_voter: dict[str, VoterStatus] = {}

    def _others(self, settings: LeaseSettings, voters: tuple[str, ...]) -> list[VoterStatus]:
        return [self.by_voter[name] for name in voters if name != settings.name and name in self.by_voter]

    def are_sufficient(self, settings: LeaseSettings) -> bool:
        """Return whether, in each set with this voter, a voting majority or all other voters have reported."""
        for voters in settings.voter_sets:
            if settings.name not in voters:
                continue
            others = self._others(settings, voters)
            voting = sum(status.votes for status in others)
            if voting <= len(voters) // 2 and len(others) < len(voters) - 1:
                return False
        return True

    def include_voting_peer(self, settings: LeaseSettings) -> bool:
        """Return whether any other voter in a set with this voter can vote."""
        return any(
            status.votes
            for voters in settings.voter_sets
            if settings.name in voters
            for status in self._others(settings, voters)
        )

    def highest_fence(self) -> int:
        """Return the highest fence that any voter reported; 0 for none."""
        return max((status.highest_fence for status in self.by_voter.values()), default=0)

    def min_epoch(self) -> int:
        """Return the highest `min_epoch` that any voter reported; 0 for none."""
        return max((status.min_epoch for status in self.by_voter.values()), default=0)

    def closed_epoch(self) -> int:
        """Return the highest closed epoch that any voter reported; 0 for none."""
        return max((status.closed_epoch for status in self.by_voter.values()), default=0)
