"""Frames that describe a member as this process sees it."""

from __future__ import annotations

from . import wire
from .context import Context
from .interface import MemberState
from .member import Member


def age_units(context: Context, member: Member) -> int:
    """Return how long ago the member's process started, in the wire's units."""
    return int(max(0.0, context.now_ms - member.started_at_ms) / wire.AGE_UNIT_MS)


def record_frame(context: Context, member: Member) -> bytes:
    """Return the member's complete record; a suspicion is not part of it."""
    state = MemberState.ALIVE if member.is_up else member.state
    address = member.address if context.settings.learn_addresses else None
    return wire.record(member.name, state, member.incarnation, member.instance, age_units(context, member), address)


def own_ack_frame(context: Context, probe: int) -> bytes:
    """Return our answer to a probe."""
    return wire.ack(probe, context.own.id, age_units(context, context.own), context.health_penalty)


def accusation_frame(context: Context, member: Member) -> bytes:
    """Return the accusation of a member, for datagrams to it, or b"" (Lifeguard's buddy system, IV-C)."""
    if member.suspicion:
        return wire.suspect(member.id, member.incarnation, member.suspicion.first_suspected_by)
    if member.state is MemberState.FAILED:
        return wire.failed(member.id, member.incarnation, context.own.id)
    if member.state is MemberState.LEFT:
        return wire.left(member.id, member.incarnation)
    return b""
