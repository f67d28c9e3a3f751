"""Read-only views of all members, for operators."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from .context import Context
from .interface import Address, MemberState
from .member import NEVER_MS, Member
from .member_table import MemberTable


class MemberView(NamedTuple):
    """State of one member; ages are in milliseconds."""

    name: str
    state: MemberState
    address: Address | None
    incarnation: int
    state_age_ms: float
    heard_age_ms: float | None  # of its last datagram, None if there was none
    suspected_by: tuple[str, ...]
    health_penalty: int
    verified: bool


def member_views(context: Context, table: MemberTable) -> Iterator[MemberView]:
    """Yield ourselves, then all other members by name."""
    yield _own_view(context)
    for member in sorted(table.members.values(), key=lambda member: member.name):
        yield _view(context, table, member)


def _own_view(context: Context) -> MemberView:
    own = context.own
    return MemberView(
        name=own.name,
        state=MemberState.LEFT if context.leaving else MemberState.ALIVE,
        address=context.settings.advertise or context.settings.listen,
        incarnation=own.incarnation,
        state_age_ms=context.now_ms - own.started_at_ms,
        heard_age_ms=0.0,
        suspected_by=(),
        health_penalty=context.health_penalty,
        verified=True,
    )


def _view(context: Context, table: MemberTable, member: Member) -> MemberView:
    suspected_by: tuple[str, ...] = ()
    if member.suspicion:
        suspected_by = tuple(table.name_of(identifier) for identifier in member.suspicion.suspected_by)
    return MemberView(
        name=member.name,
        state=member.state,
        address=member.address,
        incarnation=member.incarnation,
        state_age_ms=context.now_ms - member.state_since_ms,
        heard_age_ms=None if member.heard_at_ms == NEVER_MS else context.now_ms - member.heard_at_ms,
        suspected_by=suspected_by,
        health_penalty=member.health_penalty,
        verified=member.replay_window is not None,
    )
