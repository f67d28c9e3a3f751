"""Events that the membership state machine accepts and actions that it returns, as immutable records.

All times are milliseconds of one process's own monotonic clock; times of two processes are never compared.  A member
is identified by `member_id` of its name.  An incarnation is a serial number (RFC 1982) that only its owner raises; an
instance is a random number that distinguishes processes with the same name.
"""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b
from typing import NamedTuple

Address = tuple[str, int]  # IP address and UDP port
ID_BYTES = 6
SERIAL_MODULUS = 1 << 64


def member_id(name: str) -> bytes:
    """Return the six-byte identifier of a member on the wire.

    Among 5,000 names two collide in about one of 20 million fleets.
    """
    return blake2b(name.encode(), digest_size=ID_BYTES, person=b"gateusher-member").digest()


def is_newer(first: int, second: int) -> bool:
    """Return whether incarnation `first` comes after `second` (RFC 1982, 3.2, with 64 bits)."""
    return 0 < (first - second) % SERIAL_MODULUS < SERIAL_MODULUS // 2


class MemberState(IntEnum):
    """State of a member as this process sees it (SWIM, 4.2)."""

    ALIVE = 0
    SUSPECT = 1  # did not answer, and may still refute the suspicion
    FAILED = 2  # did not refute the suspicion in time; contacted again at intervals
    LEFT = 3  # announced its own shutdown
    UNSEEN = 4  # configured, but never heard from


class DatagramReceived(NamedTuple):
    """A datagram arrived, from any address."""

    source: Address
    data: bytes


class Tick(NamedTuple):
    """Time has passed; has to be handled at `MembershipMachine.due_ms`."""


class Leave(NamedTuple):
    """This process shuts down: announce it and stop probing."""


class Broadcast(NamedTuple):
    """Disseminate a message to all members once, best effort.

    Handling it raises ValueError for more than `wire.MAX_BROADCAST_BYTES` of data.
    """

    kind: int
    data: bytes


class SendDirect(NamedTuple):
    """Send a message to one member now, best effort; dropped unless the member has answered a probe of ours.

    Handling it raises ValueError for more than `wire.MAX_DIRECT_BYTES` of data.
    """

    name: str
    kind: int
    data: bytes


class KeysChanged(NamedTuple):
    """The configured keys have changed; the first one signs, all are accepted."""

    keys: tuple[bytes, ...]


class PeersChanged(NamedTuple):
    """The configured peers have changed."""

    peers: tuple[tuple[str, Address], ...]


Event = DatagramReceived | Tick | Leave | Broadcast | SendDirect | KeysChanged | PeersChanged


class SendDatagram(NamedTuple):
    """Send one datagram."""

    destination: Address
    data: bytes


class MemberChanged(NamedTuple):
    """A member's state changed.

    `old_state` is UNSEEN for a member that joins, FAILED or LEFT for one that returns.  `restarted` says that the
    name now belongs to another process, which has none of the earlier one's state.  `suspected_by` names the member
    that suspected it first; it is empty if there is none.
    """

    name: str
    old_state: MemberState
    new_state: MemberState
    incarnation: int
    restarted: bool
    suspected_by: str = ""


class BroadcastReceived(NamedTuple):
    """A broadcast of another member arrived; each is delivered once.

    `origin` is the claimed sender and `relay` the member that forwarded it to us.  The key is shared by the fleet, so
    a faulty relay can forge any origin: rate limits have to charge both.
    """

    origin: str
    relay: str
    kind: int
    data: bytes


class DirectMessage(NamedTuple):
    """A message to this process from the one that owns `name` now; each is delivered at most once."""

    name: str
    kind: int
    data: bytes


class LogEvent(NamedTuple):
    """A line for the log: what happened, and the details."""

    event: str
    details: str


Action = SendDatagram | MemberChanged | BroadcastReceived | DirectMessage | LogEvent
