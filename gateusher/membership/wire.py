"""Datagrams between members: a signed header, then frames that each carry their length.

    "Gm" | version 1 | key 1 | sender 6 | instance 4 | incarnation 8 | sequence 8 | frames ... | tag 16
    frame: type 1 | length 1 | payload

All numbers are big-endian.  The tag is HMAC-SHA-256 over everything before it, truncated to its first half
(RFC 2104, 5).  A reader skips a frame of unknown type by its length, and ignores what a newer version appends to a
known payload; a datagram of a newer version is read for the frames that are known.

This module is stateless.
"""

from __future__ import annotations

import hmac
import socket
import struct
from enum import IntEnum
from typing import Final, NamedTuple

from ..config.membership import MAX_NAME_BYTES
from .interface import ID_BYTES, Address, MemberState

MAGIC: Final = b"Gm"
VERSION: Final = 1
HEADER = struct.Struct(">2sBB6sIQQ")
TAG_BYTES: Final = 16
OVERHEAD_BYTES: Final = HEADER.size + TAG_BYTES
MAX_BROADCAST_BYTES: Final = 64  # data of one broadcast
MAX_DIRECT_BYTES: Final = 254  # data of one direct message
MAX_DATAGRAM_BYTES: Final = 1200
MIN_DATAGRAM_BYTES: Final = 256  # every frame fits into a datagram of this size
DIGEST_BUCKETS: Final = 32
AGE_UNIT_MS: Final = 100.0  # ages are sent in tenths of a second
MAX_AGE_UNITS: Final = 0xFFFFFFFF


class FrameKind(IntEnum):
    """Type byte of a frame."""

    PING = 1  # asks the target whether it is alive
    ACK = 2  # answers a PING, or relays the answer to a PING_REQ
    PING_REQ = 3  # asks the receiver to probe a third member (SWIM, 3.1)
    NACK = 4  # an indirect probe has had no answer so far (Lifeguard, IV-A)
    RECORD = 5  # the complete record of one member
    ALIVE = 6
    SUSPECT = 7
    FAILED = 8
    LEFT = 9
    DIGEST = 10  # hashes of the sender's member table
    BROADCAST = 11
    DIRECT = 12


_PROBE = struct.Struct(">Q6s")
_ACK = struct.Struct(">Q6sIB")
_ALIVE = struct.Struct(">6sQI")
_SUSPICION = struct.Struct(">6sQ6s")
_LEFT = struct.Struct(">6sQ")
_RECORD = struct.Struct(">BQIIBH")
_DIGEST = struct.Struct(f">B{DIGEST_BUCKETS}I")
_BROADCAST = struct.Struct(">6sIIB")
_IPV4_BYTES, _IPV6_BYTES = 4, 16


class WireError(ValueError):
    """The bytes are not a valid datagram; the message names the check that failed."""


class Header(NamedTuple):
    """The signed header: which process sent the datagram, its incarnation and the datagram's sequence number."""

    sender: bytes
    instance: int
    incarnation: int
    sequence: int


class Frame(NamedTuple):
    """A frame with its payload's fields; fields that a type doesn't carry keep their defaults."""

    kind: int
    subject: bytes = b""  # id of the member that it is about
    probe: int = 0
    incarnation: int = 0
    instance: int = 0
    suspected_by: bytes = b""
    age_units: int = 0  # how long ago the subject's process started, in units of AGE_UNIT_MS
    health: int = 0
    state: MemberState = MemberState.ALIVE
    name: str = ""
    address: Address | None = None
    hashes: tuple[int, ...] = ()
    wants_reply: bool = False  # of a digest: the sender wants ours
    sequence: int = 0  # of a broadcast, counted by its origin's instance
    message_kind: int = 0  # of a broadcast or direct message
    data: bytes = b""


# -- writing


def _pack_ip(host: str) -> bytes:
    return socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)


def _frame(kind: FrameKind, payload: bytes) -> bytes:
    return bytes((kind, len(payload))) + payload


def ping(probe: int, target: bytes) -> bytes:
    """Return a PING, padded to the length of its ACK so that answers amplify nothing."""
    return _frame(FrameKind.PING, _PROBE.pack(probe, target) + bytes(_ACK.size - _PROBE.size))


def ping_req(probe: int, target: bytes) -> bytes:
    """Return a request to probe `target` on behalf of the sender."""
    return _frame(FrameKind.PING_REQ, _PROBE.pack(probe, target))


def nack(probe: int, subject: bytes) -> bytes:
    """Return the notice that an indirect probe of `subject` has had no answer yet."""
    return _frame(FrameKind.NACK, _PROBE.pack(probe, subject))


def ack(probe: int, subject: bytes, age_units: int, health: int) -> bytes:
    """Return the answer to a probe of `subject`, with its process's age and local health score."""
    return _frame(FrameKind.ACK, _ACK.pack(probe, subject, min(age_units, MAX_AGE_UNITS), health))


def alive(subject: bytes, incarnation: int, instance: int) -> bytes:
    """Return the update that `subject` is alive."""
    return _frame(FrameKind.ALIVE, _ALIVE.pack(subject, incarnation, instance))


def suspect(subject: bytes, incarnation: int, suspected_by: bytes) -> bytes:
    """Return the update that `suspected_by` suspects `subject`."""
    return _frame(FrameKind.SUSPECT, _SUSPICION.pack(subject, incarnation, suspected_by))


def failed(subject: bytes, incarnation: int, suspected_by: bytes) -> bytes:
    """Return the update that `subject` has failed; `suspected_by` suspected it first."""
    return _frame(FrameKind.FAILED, _SUSPICION.pack(subject, incarnation, suspected_by))


def left(subject: bytes, incarnation: int) -> bytes:
    """Return the update that `subject` has left."""
    return _frame(FrameKind.LEFT, _LEFT.pack(subject, incarnation))


def record(
    name: str, state: MemberState, incarnation: int, instance: int, age_units: int, address: Address | None
) -> bytes:
    """Return a member's complete record, without an address if `address` is None."""
    packed_ip = _pack_ip(address[0]) if address else b""
    port = address[1] if address else 0
    fixed = _RECORD.pack(state, incarnation, instance, min(age_units, MAX_AGE_UNITS), len(packed_ip), port)
    return _frame(FrameKind.RECORD, fixed + packed_ip + name.encode())


def digest(hashes: list[int], wants_reply: bool) -> bytes:
    """Return the bucket hashes of a member table (see `table_digest`)."""
    return _frame(FrameKind.DIGEST, _DIGEST.pack(wants_reply, *hashes))


def broadcast(origin: bytes, instance: int, sequence: int, kind: int, data: bytes) -> bytes:
    """Return a broadcast.  Raises ValueError for more than MAX_BROADCAST_BYTES of data."""
    if len(data) > MAX_BROADCAST_BYTES:
        raise ValueError(f"a broadcast of {len(data)} bytes; {MAX_BROADCAST_BYTES} at most")
    return _frame(FrameKind.BROADCAST, _BROADCAST.pack(origin, instance, sequence, kind) + data)


def direct(kind: int, data: bytes) -> bytes:
    """Return a message to one member.  Raises ValueError for more than MAX_DIRECT_BYTES of data."""
    if len(data) > MAX_DIRECT_BYTES:
        raise ValueError(f"a direct message of {len(data)} bytes; {MAX_DIRECT_BYTES} at most")
    return _frame(FrameKind.DIRECT, bytes((kind,)) + data)


def seal(key: bytes, header: Header, frames: bytes) -> bytes:
    """Return the complete datagram, signed with `key`."""
    packed = HEADER.pack(MAGIC, VERSION, 0, header.sender, header.instance, header.incarnation, header.sequence)
    return packed + frames + hmac.digest(key, packed + frames, "sha256")[:TAG_BYTES]


# -- reading


def unseal(keys: tuple[bytes, ...], data: bytes, max_bytes: int = MAX_DATAGRAM_BYTES) -> tuple[Header, bytes]:
    """Return header and frames of a datagram that one of the keys has signed.  Raises WireError."""
    if not OVERHEAD_BYTES <= len(data) <= max_bytes:
        raise WireError("length")
    if data[:2] != MAGIC:
        raise WireError("malformed")
    signed, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
    if not any(hmac.compare_digest(hmac.digest(key, signed, "sha256")[:TAG_BYTES], tag) for key in keys):
        raise WireError("key")
    _, version, _, sender, instance, incarnation, sequence = HEADER.unpack_from(data)
    if version < 1:
        raise WireError("malformed")
    return Header(sender, instance, incarnation, sequence), signed[HEADER.size :]


def _read_record(data: bytes) -> Frame:
    state, incarnation, instance, age_units, ip_bytes, port = _RECORD.unpack_from(data)
    if ip_bytes not in (0, _IPV4_BYTES, _IPV6_BYTES):
        raise WireError("malformed")
    if state not in (MemberState.ALIVE, MemberState.FAILED, MemberState.LEFT):
        raise WireError("malformed")
    packed_ip = data[_RECORD.size : _RECORD.size + ip_bytes]
    packed_name = data[_RECORD.size + ip_bytes :]
    if len(packed_ip) != ip_bytes or not 1 <= len(packed_name) <= MAX_NAME_BYTES or (ip_bytes and not port):
        raise WireError("malformed")
    try:
        name = packed_name.decode()
    except UnicodeDecodeError:
        raise WireError("malformed") from None
    if not name.isprintable():
        raise WireError("malformed")
    address = None
    if ip_bytes:
        family = socket.AF_INET if ip_bytes == _IPV4_BYTES else socket.AF_INET6
        address = (socket.inet_ntop(family, packed_ip), port)
    return Frame(
        FrameKind.RECORD,
        incarnation=incarnation,
        instance=instance,
        age_units=age_units,
        state=MemberState(state),
        name=name,
        address=address,
    )


def _read_broadcast(data: bytes) -> Frame:
    origin, instance, sequence, message_kind = _BROADCAST.unpack_from(data)
    body = data[_BROADCAST.size :]
    if len(body) > MAX_BROADCAST_BYTES:
        raise WireError("malformed")
    return Frame(
        FrameKind.BROADCAST, origin, instance=instance, sequence=sequence, message_kind=message_kind, data=body
    )


def _read_direct(data: bytes) -> Frame:
    if not data:
        raise WireError("malformed")
    return Frame(FrameKind.DIRECT, message_kind=data[0], data=data[1:])


def _read_frame(kind: FrameKind, data: bytes) -> Frame:
    match kind:
        case FrameKind.PING | FrameKind.PING_REQ | FrameKind.NACK:
            probe, subject = _PROBE.unpack_from(data)
            return Frame(kind, subject, probe)
        case FrameKind.ACK:
            probe, subject, age_units, health = _ACK.unpack_from(data)
            return Frame(kind, subject, probe, age_units=age_units, health=health)
        case FrameKind.ALIVE:
            subject, incarnation, instance = _ALIVE.unpack_from(data)
            return Frame(kind, subject, incarnation=incarnation, instance=instance)
        case FrameKind.SUSPECT | FrameKind.FAILED:
            subject, incarnation, suspected_by = _SUSPICION.unpack_from(data)
            return Frame(kind, subject, incarnation=incarnation, suspected_by=suspected_by)
        case FrameKind.LEFT:
            subject, incarnation = _LEFT.unpack_from(data)
            return Frame(kind, subject, incarnation=incarnation)
        case FrameKind.DIGEST:
            flags, *hashes = _DIGEST.unpack_from(data)
            return Frame(kind, hashes=tuple(hashes), wants_reply=bool(flags & 1))
        case FrameKind.BROADCAST:
            return _read_broadcast(data)
        case FrameKind.DIRECT:
            return _read_direct(data)
        case FrameKind.RECORD:
            return _read_record(data)


def parse_frames(data: bytes) -> tuple[list[Frame], int]:
    """Return the frames, and how many more were of a type that this version doesn't know.  Raises WireError."""
    found: list[Frame] = []
    unknown = 0
    offset = 0
    while offset < len(data):
        if offset + 2 > len(data):
            raise WireError("malformed")
        kind, size = data[offset], data[offset + 1]
        payload = data[offset + 2 : offset + 2 + size]
        if len(payload) != size:
            raise WireError("malformed")
        offset += 2 + size
        if not FrameKind.PING <= kind <= FrameKind.DIRECT:
            unknown += 1
            continue
        try:
            found.append(_read_frame(FrameKind(kind), payload))
        except struct.error:
            raise WireError("malformed") from None
    return found, unknown


assert ID_BYTES == 6  # the "6s" fields of the layouts above
