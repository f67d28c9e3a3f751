"""Processes what other members report of third parties: records and state updates (SWIM, 4.1 and 4.2).

`UpdateHandler` owns no state; it decides which reports are newer than what the member table holds.
"""

from __future__ import annotations

from . import wire
from .context import Context
from .interface import MemberState, is_newer, member_id
from .member import Member
from .member_table import MemberTable
from .name_conflicts import NameConflicts
from .state_changes import StateChanges
from .wire import Frame, FrameKind


class UpdateHandler:
    """Applies reports of verified members."""

    def __init__(
        self, context: Context, table: MemberTable, changes: StateChanges, name_conflicts: NameConflicts
    ) -> None:
        self._context = context
        self._table = table
        self._changes = changes
        self._name_conflicts = name_conflicts

    def on_record(self, relay: Member, frame: Frame) -> None:
        """Process a complete record, of a member that joined or from anti-entropy."""
        identifier = member_id(frame.name)
        started_at_ms = self._context.now_ms - frame.age_units * wire.AGE_UNIT_MS
        if identifier == self._context.own.id:
            self._name_conflicts.on_own_record(frame, started_at_ms)
            return
        member = self._table.get(identifier) or self._add_member(identifier, frame)
        if member is None:
            return
        if frame.state is MemberState.ALIVE:
            self._on_alive_record(member, frame, started_at_ms)
        elif member.state is MemberState.UNSEEN:
            member.instance = frame.instance
            member.started_at_ms = started_at_ms
            self._table.set_state(member, frame.state, frame.incarnation)
        elif frame.state is MemberState.FAILED:
            self._changes.report_failed(member, frame.incarnation, relay.id)
        else:
            self._changes.mark_left(member, frame.incarnation)

    def on_alive(self, frame: Frame) -> None:
        """Process the update that a member is alive with a newer incarnation."""
        member = self._table.get(frame.subject)
        if member is None or member.instance != frame.instance:
            return
        if is_newer(frame.incarnation, member.incarnation):
            self._changes.mark_alive(member, frame.incarnation, frame.instance)

    def on_accusation(self, frame: Frame) -> None:
        """Process the update that a member is suspected or has failed; refute it if it is about this process."""
        own = self._context.own
        if frame.subject == own.id:
            if not is_newer(own.incarnation, frame.incarnation):
                self._context.adjust_health_penalty(1)
                self._changes.refute(frame.incarnation)
            return
        member = self._table.get(frame.subject)
        if member is None or member.state is MemberState.UNSEEN:
            return
        if is_newer(member.incarnation, frame.incarnation):
            return
        if frame.kind == FrameKind.FAILED:
            self._changes.report_failed(member, frame.incarnation, frame.suspected_by)
        elif member.is_up:
            self._changes.suspect(member, frame.incarnation, frame.suspected_by)

    def on_left(self, frame: Frame) -> None:
        """Process the update that a member has left; refute it if it is about this process."""
        if frame.subject == self._context.own.id:
            self._changes.refute(frame.incarnation)
            return
        member = self._table.get(frame.subject)
        if member:
            self._changes.mark_left(member, frame.incarnation)

    def _add_member(self, identifier: bytes, frame: Frame) -> Member | None:
        """Add an unknown member unless it is absent: two members would send each other its record forever."""
        if frame.state is not MemberState.ALIVE:
            return None
        if not self._table.ensure_capacity(evict_unverified=False):
            self._context.drop("no room")
            return None
        address = frame.address if self._context.settings.learn_addresses else None
        return self._table.add(identifier, frame.name, address)

    def _on_alive_record(self, member: Member, frame: Frame, started_at_ms: float) -> None:
        if member.state is not MemberState.UNSEEN and not is_newer(frame.incarnation, member.incarnation):
            return
        if member.instance != frame.instance:
            member.replay_window = None  # this process has yet to be verified by us
            member.started_at_ms = started_at_ms
        if self._context.settings.learn_addresses and frame.address:
            member.address = frame.address
        restarted = member.instance not in (0, frame.instance)
        self._changes.mark_alive(member, frame.incarnation, frame.instance, restarted=restarted)
