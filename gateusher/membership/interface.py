"""What the machine of members is told and what it answers: events and actions, as small records.

Times are milliseconds of one process's own monotonic clock; no two processes' times are ever compared.  A member is
known by `member_id` of its name; an incarnation is a serial number (RFC 1982) that only its owner raises.
"""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b
from typing import NamedTuple

Address = tuple[str, int]
ID_BYTES = 6
SERIAL_MODULUS = 1 << 64


def member_id(name: str) -> bytes:
    """The six bytes that a member is known by on the wire: of 5,000 names two are alike once in 20 million fleets."""
    return blake2b(name.encode(), digest_size=ID_BYTES, person=b"gateusher-member").digest()


def newer(a: int, b: int) -> bool:
    """Whether incarnation `a` comes after `b` (RFC 1982, 3.2, with 64 bits): there is always one that comes after."""
    return 0 < (a - b) % SERIAL_MODULUS < SERIAL_MODULUS // 2


class MemberState(IntEnum):
    """What is held of a member."""

    ALIVE = 0
    SUSPECT = 1  # did not answer, and may still say that it is there
    FAILED = 2  # did not answer, and did not object in time; it is tried again now and then
    LEFT = 3  # said so itself
    UNSEEN = 4  # named in the own file, and never heard of


class DatagramReceived(NamedTuple):
    """A datagram, from whatever address it came."""

    source: Address
    data: bytes


class Tick(NamedTuple):
    """Time has passed; due at `Members.due`."""


class Leave(NamedTuple):
    """This process ends as planned: say so.  Nothing is probed any more."""


class Broadcast(NamedTuple):
    """Spread a word of another piece to all members, best effort, once; over MOST_WORD bytes it is a ValueError."""

    kind: int
    data: bytes


class SendDirect(NamedTuple):
    """Send a note of another piece to one member, best effort, now.

    A ValueError over MOST_NOTE bytes.  One that has not answered a probe of ours gets nothing.
    """

    name: str
    kind: int
    data: bytes


class KeysChanged(NamedTuple):
    """Other keys; the first signs, all are taken."""

    keys: tuple[bytes, ...]


class PeersChanged(NamedTuple):
    """The own file names other peers now."""

    peers: tuple[tuple[str, Address], ...]


Event = DatagramReceived | Tick | Leave | Broadcast | SendDirect | KeysChanged | PeersChanged


class SendDatagram(NamedTuple):
    """Send one datagram."""

    to: Address
    data: bytes


class MemberChanged(NamedTuple):
    """A member's state is another one: what later pieces live on.

    `before` is UNSEEN for one that joins, FAILED or LEFT for one that is back; `restarted` says that it is another
    process than before, which remembers nothing.  `by` names who suspected it first, "" for ourselves or nobody.
    """

    name: str
    before: MemberState
    after: MemberState
    incarnation: int
    restarted: bool
    by: str = ""


class BroadcastReceived(NamedTuple):
    """Another piece's word.  `origin` is who is said to have spoken, `relay` who handed it to us: the key is the
    fleet's, so a relay that lies can put words into anybody's mouth.  Charge what a word moves to both."""

    origin: str
    relay: str
    kind: int
    data: bytes


class DirectMessage(NamedTuple):
    """Another piece's note to us, from the process that has this name now; each comes once at the most."""

    name: str
    kind: int
    data: bytes


class LogEvent(NamedTuple):
    """Something that on-call staff should read."""

    what: str
    why: str


Action = SendDatagram | MemberChanged | BroadcastReceived | DirectMessage | LogEvent
