"""A candidate's actions, and the messages that it sends to voters.

`CandidateOutput` owns the values that messages share: the process's instance, the epoch and the last closed epoch.
"""

from __future__ import annotations

from collections.abc import Iterable

from .interface import Action, LeaseSettings, SendMessage
from .task_lease import TaskLease
from .wire import DropSession, LeaseRequest, Message, PreVote, ReleaseLease, RenewSession, WriteCheckpoint, encode


class CandidateOutput:
    """Collects the actions of one call of `Candidate.handle`."""

    def __init__(self, settings: LeaseSettings, instance: int) -> None:
        self.settings = settings
        self.closed_epoch = settings.epoch - 1
        self._instance = instance
        self._actions: list[Action] = []

    def take(self) -> list[Action]:
        """Return the actions since the last call."""
        actions = self._actions
        self._actions = []
        return actions

    def add(self, action: Action) -> None:
        """Add an action other than a message."""
        self._actions.append(action)

    def _send(self, voter: str, message: Message) -> None:
        self._actions.append(SendMessage(voter, encode(message)))

    def send_pre_votes(self, lease: TaskLease) -> None:
        """Ask all voters whether they would grant the task."""
        for voter in self.settings.all_voters:
            self._send(voter, PreVote(lease.round, self.settings.epoch, lease.name))

    def send_request(self, voter: str, lease: TaskLease, round_number: int) -> None:
        """Request the task from one voter under its target fence."""
        request = LeaseRequest(
            round=round_number,
            epoch=self.settings.epoch,
            closed_epoch=self.closed_epoch,
            fence=lease.target_fence,
            instance=self._instance,
            lease_ms=self.settings.wire_lease_ms,
            task=lease.name,
        )
        self._send(voter, request)

    def send_renewal(self, voter: str, round_number: int) -> None:
        """Request the renewal of the session at one voter."""
        lease_ms = self.settings.wire_lease_ms
        renewal = RenewSession(round_number, self.settings.epoch, self.closed_epoch, self._instance, lease_ms)
        self._send(voter, renewal)

    def send_release(self, voter: str, fence: int, task: str) -> None:
        """Release the task's grants up to this fence at one voter."""
        self._send(voter, ReleaseLease(fence, self._instance, task))

    def send_checkpoint(self, lease: TaskLease, voters: Iterable[str]) -> None:
        """Send the task's checkpoint to voters, each under the fence that it has granted."""
        checkpoint = lease.checkpoint
        for voter in voters:
            fence = lease.grants[voter].fence
            message = WriteCheckpoint(fence, self._instance, checkpoint.number, lease.name, checkpoint.value)
            self._send(voter, message)

    def send_unsaved_checkpoint(self, lease: TaskLease) -> None:
        """Send the task's checkpoint to the granting voters that have not stored it."""
        saved_by = lease.checkpoint.saved_by
        self.send_checkpoint(lease, [voter for voter in lease.grants if voter not in saved_by])

    def send_drop_session(self, voter: str) -> None:
        """Request that the voter drop the session."""
        self._send(voter, DropSession(self._instance))
