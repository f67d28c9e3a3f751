"""A candidate's periodic messages: session renewals, and retransmission of unacknowledged requests.

`Renewals` owns the time of the next renewal, the unacknowledged releases, and each voter's missing grants.
"""

from __future__ import annotations

from collections import OrderedDict, defaultdict

from .candidate_output import CandidateOutput
from .candidate_sessions import SessionViews
from .interface import LeaseSettings
from .task_lease import NEVER_MS, State, TaskLease, VoterGrant

RENEWALS_PER_LEASE = 4
MAX_EXTRA_MESSAGES = 32  # lease requests, or releases, to one voter per renewal
IDLE_LEASES = 2  # all sessions of a candidate without leases have expired after this time


class Renewals:
    """Renews all sessions.  `tasks` and `active` (the tasks that are not WAITING) belong to the candidate."""

    def __init__(
        self,
        settings: LeaseSettings,
        tasks: dict[str, TaskLease],
        active: set[str],
        sessions: SessionViews,
        output: CandidateOutput,
    ) -> None:
        self._settings = settings
        self._tasks = tasks
        self._active = active
        self._sessions = sessions
        self._output = output
        self.next_ms = NEVER_MS
        self.unacknowledged_releases: dict[tuple[str, str], int] = {}  # fence by voter and task
        self._last_active_ms = 0.0
        # Held tasks by voter that it has not granted, or not under the current fence and session.
        self._missing_grants: defaultdict[str, OrderedDict[str, None]] = defaultdict(OrderedDict)

    def change_voters(self, settings: LeaseSettings) -> None:
        """Drop unacknowledged releases to voters that were removed."""
        self._settings = settings
        voters = self._sessions.by_voter
        self.unacknowledged_releases = {
            key: fence for key, fence in self.unacknowledged_releases.items() if key[0] in voters
        }

    def schedule(self, now: float) -> None:
        """Schedule a renewal within one interval."""
        self.next_ms = min(self.next_ms, now + self._settings.lease_ms / RENEWALS_PER_LEASE)

    # -- releases

    def release(self, lease: TaskLease, now: float) -> None:
        """Send the release of a task to all voters."""
        for voter in self._settings.all_voters:
            self.unacknowledged_releases[voter, lease.name] = lease.target_fence
            self._output.send_release(voter, lease.target_fence, lease.name)
            self._missing_grants[voter].pop(lease.name, None)
        lease.grants = {}
        lease.highest_seen_fence = max(lease.highest_seen_fence, lease.target_fence)
        self.schedule(now)

    def release_unused_grant(self, voter: str, fence: int, task: str, now: float) -> None:
        """Release one voter's grant that no held lease uses."""
        key = (voter, task)
        self.unacknowledged_releases[key] = max(fence, self.unacknowledged_releases.get(key, 0))
        self._output.send_release(voter, fence, task)
        self.schedule(now)

    def acknowledge_release(self, voter: str, fence: int, task: str) -> None:
        """Record that the voter has released the task up to this fence."""
        key = (voter, task)
        if self.unacknowledged_releases.get(key, -1) <= fence:
            self.unacknowledged_releases.pop(key, None)

    # -- missing grants

    def add_missing_voters(self, lease: TaskLease) -> None:
        """Schedule requests for a newly held task to the voters that have not granted it."""
        for voter in self._settings.all_voters:
            if voter not in lease.grants:
                self._missing_grants[voter][lease.name] = None

    def begin_session(self, voter: str, session: int) -> None:
        """Start another session with a voter, in which no task is granted yet."""
        self._sessions.begin(voter, session)
        for name in self._active:
            if self._tasks[name].state is State.HELD:
                self._missing_grants[voter][name] = None

    # -- periodic renewal

    def renew(self, now: float) -> None:
        """Renew the sessions if any task needs them, and retransmit unacknowledged messages."""
        renewing_states = (State.REQUESTING, State.HELD, State.STOPPING)
        needs_sessions = any(self._tasks[name].state in renewing_states for name in self._active)
        if needs_sessions:
            self._last_active_ms = now
        elif now - self._last_active_ms > IDLE_LEASES * self._settings.lease_ms:
            self.unacknowledged_releases.clear()
        if not needs_sessions and not self.unacknowledged_releases:
            self.next_ms = NEVER_MS
            return
        self.next_ms = now + self._settings.lease_ms / RENEWALS_PER_LEASE
        for name in self._active:
            if self._tasks[name].checkpoint.unsaved_number:
                self._output.send_unsaved_checkpoint(self._tasks[name])
        if needs_sessions:
            round_number = self._sessions.begin_round(now)
            for voter in self._settings.all_voters:
                self._output.send_renewal(voter, round_number)
                self._request_missing_grants(voter, round_number)
        max_releases = MAX_EXTRA_MESSAGES * len(self._sessions.by_voter)
        for (voter, task), fence in list(self.unacknowledged_releases.items())[:max_releases]:
            self._output.send_release(voter, fence, task)

    def _request_missing_grants(self, voter: str, round_number: int) -> None:
        """Request tasks that this voter has not granted, or granted under another fence or session."""
        missing = self._missing_grants[voter]
        session = self._sessions.by_voter[voter].session
        for name in list(missing)[:MAX_EXTRA_MESSAGES]:
            lease = self._tasks.get(name)
            if lease is None or lease.state is not State.HELD:
                del missing[name]
                continue
            if lease.grants.get(voter) == VoterGrant(lease.target_fence, session):
                del missing[name]
                continue
            is_stale = voter in lease.stale_voters
            if is_stale and lease.fence == lease.target_fence and self._is_majority_at_risk(lease):
                self._raise_target_fence(lease)
            if voter not in lease.stale_voters:
                missing.move_to_end(name)
                self._output.send_request(voter, lease, round_number)

    def _raise_target_fence(self, lease: TaskLease) -> None:
        """Request the task again from all voters, under a fence that none of them has seen."""
        lease.target_fence = max(lease.highest_seen_fence, lease.target_fence) + 1
        lease.stale_voters.clear()
        for voter in self._settings.all_voters:
            self._missing_grants[voter][lease.name] = None

    def _is_majority_at_risk(self, lease: TaskLease) -> bool:
        """Return whether losing one more voter would lose the lease."""
        views = self._sessions.by_voter
        current = {voter for voter, grant in lease.grants.items() if grant.session == views[voter].session}
        return not current or any(not self._settings.is_majority(current - {voter}) for voter in current)
