"""The table of other members, with its indexes.

`MemberTable` owns the records, the list of reachable members, the configured members that have never been heard from,
the count of members that are up, and the table's digest.  Every change of a member's state or address goes through
it.
"""

from __future__ import annotations

from collections.abc import Sequence

from .context import Context
from .interface import Address, MemberChanged, MemberState, member_id
from .member import Member
from .table_digest import TableDigest


class MemberTable:
    """Records of other members by id; the digest counts our own record too."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.members: dict[bytes, Member] = {}
        self.digest = TableDigest()
        self.digest.update(context.own)
        self.up_count = 0
        self._reachable: list[Member] = []
        self._unseen: dict[bytes, Member] = {}

    @property
    def reachable(self) -> Sequence[Member]:
        """Members that are up and whose address is known."""
        return self._reachable

    @property
    def unseen(self) -> list[Member]:
        """Configured members that have never been heard from."""
        return list(self._unseen.values())

    @property
    def fleet_size(self) -> int:
        """How many members are up, with ourselves."""
        return self.up_count + 1

    def get(self, identifier: bytes) -> Member | None:
        """Return a member's record, None for an unknown one and for ourselves."""
        return self.members.get(identifier)

    def name_of(self, identifier: bytes) -> str:
        """Return a member's name, or its id in hexadecimal if it is unknown."""
        if identifier == self._context.own.id:
            return self._context.own.name
        member = self.members.get(identifier)
        return member.name if member else identifier.hex()

    def add(self, identifier: bytes, name: str, address: Address | None, configured: bool = False) -> Member:
        """Add a member in state UNSEEN."""
        member = Member(identifier, name, address, configured, state_since_ms=self._context.now_ms)
        self.members[identifier] = member
        return member

    def set_address(self, member: Member, address: Address) -> None:
        """Send to the member at this address from now on."""
        member.address = address
        self._update_indexes(member)

    def set_own_incarnation(self, incarnation: int) -> None:
        """Change the incarnation of our own record."""
        self._context.own.incarnation = incarnation
        self.digest.update(self._context.own)

    def set_state(
        self, member: Member, state: MemberState, incarnation: int, restarted: bool = False, suspected_by: str = ""
    ) -> None:
        """Change a member's state and incarnation; emit MemberChanged if the state differs or it restarted."""
        old_state = member.state
        was_up = member.is_up
        member.state = state
        member.incarnation = incarnation
        if old_state != state:
            member.state_since_ms = self._context.now_ms
        self._update_indexes(member)
        self.up_count += member.is_up - was_up
        if state is not MemberState.SUSPECT:
            member.suspicion = None
        self.digest.update(member)
        if old_state != state or restarted:
            change = MemberChanged(member.name, old_state, state, incarnation, restarted, suspected_by)
            self._context.actions.append(change)

    def ensure_capacity(self, evict_unverified: bool) -> bool:
        """Return whether one more record fits, after removing the member that has been absent longest if necessary.

        With `evict_unverified`, for a member that contacts us itself, unverified members are removed too: a member
        that reports any number of others can fill the table, but can't keep out a member that is up.
        """
        if len(self.members) + 1 < self._context.settings.max_members:
            return True
        if not evict_unverified and len(self._reachable) == len(self.members):
            return False
        removable = [
            member
            for member in self.members.values()
            if not member.configured and (not member.is_up or (evict_unverified and member.replay_window is None))
        ]
        if not removable:
            return False
        self._remove(min(removable, key=lambda member: (member.is_up, member.state_since_ms)))
        return True

    def remove_expired(self) -> None:
        """Remove members that are not configured and have been absent for longer than the settings allow."""
        expired = [
            member
            for member in self.members.values()
            if not member.configured
            and not member.is_up
            and self._context.now_ms - member.state_since_ms > self._context.settings.forget_after_ms
        ]
        for member in expired:
            self._remove(member)

    def set_peers(self, peers: tuple[tuple[str, Address], ...]) -> None:
        """Apply the configured peers."""
        own_name = self._context.own.name
        configured = {member_id(name): (name, address) for name, address in peers if name != own_name}
        for member in list(self.members.values()):
            if member.configured and member.id not in configured:
                self._unconfigure(member)
        for identifier, (name, address) in configured.items():
            known = self.members.get(identifier)
            if known is None:
                known = self.add(identifier, name, address, configured=True)
            known.configured = True
            known.address = address
            known.configured_address = address
            self._update_indexes(known)

    def _unconfigure(self, member: Member) -> None:
        member.configured = False
        member.configured_address = None
        self._unseen.pop(member.id, None)
        if not self._context.settings.learn_addresses:
            self._remove(member)

    def _remove(self, member: Member) -> None:
        if member.is_up:
            self.up_count -= 1
            member.state = MemberState.FAILED
        member.configured = False
        self._update_indexes(member)
        self.digest.remove(member)
        self._context.gossip_queue.discard(member.id)
        del self.members[member.id]

    def _update_indexes(self, member: Member) -> None:
        """Add the member to the lists that match its state and address, and remove it from the others."""
        reachable = member.address is not None and member.is_up
        if reachable and member.reachable_index < 0:
            member.reachable_index = len(self._reachable)
            self._reachable.append(member)
        elif not reachable and member.reachable_index >= 0:
            last = self._reachable.pop()
            if last is not member:
                self._reachable[member.reachable_index] = last
                last.reachable_index = member.reachable_index
            member.reachable_index = -1
        if member.configured and member.state is MemberState.UNSEEN:
            self._unseen[member.id] = member
        else:
            self._unseen.pop(member.id, None)
