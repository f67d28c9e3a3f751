"""The record of one member, this process's own included: its state, and what is needed to communicate with it."""

from __future__ import annotations

from dataclasses import dataclass

from .interface import Address, MemberState
from .replay_window import ReplayWindow
from .suspicion import Suspicion

NEVER_MS = -1e12  # a time before all others
MAX_UNVERIFIED_PINGS = 4.0  # pings of an unverified process that are answered at once


@dataclass(slots=True, eq=False)
class Member:
    """One member.  Times are milliseconds of this process's clock.

    `address` is where datagrams to it are sent; None for a member that is known only from others' reports and is not
    configured.
    """

    id: bytes
    name: str
    address: Address | None
    configured: bool  # named in our own configuration
    state: MemberState = MemberState.UNSEEN
    incarnation: int = 0
    instance: int = 0  # random number of the process that owns the name, 0 for unknown
    started_at_ms: float = 0.0
    state_since_ms: float = 0.0
    health_penalty: int = 0  # as it last reported itself, 0 is healthy
    replay_window: ReplayWindow | None = None  # of the verified instance; None until it has answered a probe of ours
    heard_at_ms: float = NEVER_MS  # its last accepted datagram
    contacted_at_ms: float = NEVER_MS  # our last probe while it was not up, or not verified
    contact_attempts: int = 0
    suspicion: Suspicion | None = None
    digest_value: int = 0  # its contribution to the table digest
    configured_address: Address | None = None
    reachable_index: int = -1  # in the table's list of reachable members, -1 for none
    unverified_pings_left: float = MAX_UNVERIFIED_PINGS  # pings that may be answered before it is verified
    unverified_pings_at_ms: float = NEVER_MS  # when the field above was last updated

    @property
    def is_up(self) -> bool:
        """Whether it is alive or only suspected."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)
