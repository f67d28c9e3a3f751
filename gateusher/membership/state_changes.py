"""Transitions of members' states, with the gossip and the timers of each (SWIM, 4.2; Lifeguard, IV-B)."""

from __future__ import annotations

from . import wire
from .context import Context, TimerKind
from .interface import SERIAL_MODULUS, MemberState, is_newer
from .member import Member
from .member_frames import record_frame
from .member_table import MemberTable
from .probe_order import ProbeOrder
from .suspicion import Suspicion, suspicion_bounds_ms

TIMER_TOLERANCE_MS = 0.001


class StateChanges:
    """Applies state changes that were detected or reported; it owns no state of its own."""

    def __init__(self, context: Context, table: MemberTable, probe_order: ProbeOrder) -> None:
        self._context = context
        self._table = table
        self._probe_order = probe_order

    def mark_alive(
        self, member: Member, incarnation: int, instance: int, verified: bool = False, restarted: bool = False
    ) -> None:
        """Mark a member alive; `verified` says that this instance has just answered a probe of ours."""
        known = member.instance == instance and member.state not in (MemberState.UNSEEN, MemberState.LEFT)
        joined = verified or not known
        member.instance = instance
        self._table.set_state(member, MemberState.ALIVE, incarnation, restarted)
        if not joined:
            self._context.gossip_queue.put(member.id, wire.alive(member.id, incarnation, instance))
            return
        self._context.gossip_queue.put(member.id, record_frame(self._context, member))
        self._probe_order.insert(member.id)

    def suspect(self, member: Member, incarnation: int, suspected_by: bytes) -> None:
        """Suspect a member, or record that one more member confirms its suspicion."""
        suspicion = member.suspicion
        if suspicion and not is_newer(incarnation, member.incarnation):
            enough = len(suspicion.suspected_by) > suspicion.expected_confirmations
            if suspected_by in suspicion.suspected_by or enough:
                return
            suspicion.suspected_by[suspected_by] = None
        else:
            suspicion = self._new_suspicion(suspected_by)
            member.suspicion = suspicion
            accuser = self._table.name_of(suspected_by)
            self._table.set_state(member, MemberState.SUSPECT, incarnation, suspected_by=accuser)
        self._context.gossip_queue.put(member.id, wire.suspect(member.id, incarnation, suspected_by))
        self._schedule_deadline(member.id, suspicion)

    def report_failed(self, member: Member, incarnation: int, suspected_by: bytes) -> None:
        """Process another member's report that a member has failed.

        It takes effect only after the shortest timeout of a suspicion of our own: after a partition each side
        considers the other failed, and every member gets that time to refute it.
        """
        if not member.is_up or is_newer(member.incarnation, incarnation):
            return
        if not member.suspicion or is_newer(incarnation, member.incarnation):
            self.suspect(member, incarnation, suspected_by)
        if member.suspicion and not member.suspicion.reported_failed:
            member.suspicion.reported_failed = True
            self._schedule_deadline(member.id, member.suspicion)

    def end_suspicion(self, identifier: bytes) -> None:
        """Mark a member failed if its suspicion has reached its deadline, when a suspicion timer expires.

        Each change of the deadline sets a timer of its own; timers of earlier deadlines have no effect.
        """
        member = self._table.get(identifier)
        if member is None or member.suspicion is None:
            return
        if self._context.now_ms + TIMER_TOLERANCE_MS >= member.suspicion.deadline_ms:
            self.mark_failed(member, member.suspicion.first_suspected_by)

    def mark_failed(self, member: Member, suspected_by: bytes) -> None:
        """Mark a member failed."""
        accuser = self._table.name_of(suspected_by)
        self._table.set_state(member, MemberState.FAILED, member.incarnation, suspected_by=accuser)
        self._context.gossip_queue.put(member.id, wire.failed(member.id, member.incarnation, suspected_by))

    def mark_left(self, member: Member, incarnation: int) -> None:
        """Mark a member left, unless a newer incarnation of it is known."""
        if member.state in (MemberState.UNSEEN, MemberState.LEFT) or is_newer(member.incarnation, incarnation):
            return
        self._table.set_state(member, MemberState.LEFT, incarnation)
        self._context.gossip_queue.put(member.id, wire.left(member.id, incarnation))

    def refute(self, incarnation: int) -> None:
        """Raise our own incarnation above the one that is reported suspected, failed or left (SWIM, 4.2).

        Other members learn it from the header of each datagram of ours.
        """
        own = self._context.own
        if not is_newer(own.incarnation, incarnation):
            self._table.set_own_incarnation((incarnation + 1) % SERIAL_MODULUS)
        self._context.gossip_queue.put(own.id, record_frame(self._context, own))

    def _new_suspicion(self, suspected_by: bytes) -> Suspicion:
        settings = self._context.settings
        count = self._table.fleet_size
        min_ms, max_ms = suspicion_bounds_ms(
            settings.suspicion_alpha, settings.suspicion_beta, count, settings.probe_period_ms
        )
        expected = min(settings.suspicion_confirmations, max(0, count - 2))
        return Suspicion(self._context.now_ms, min_ms, max_ms if expected else min_ms, expected, {suspected_by: None})

    def _schedule_deadline(self, identifier: bytes, suspicion: Suspicion) -> None:
        wait_ms = max(0.0, suspicion.deadline_ms - self._context.now_ms)
        self._context.schedule(wait_ms, TimerKind.SUSPICION, identifier)
