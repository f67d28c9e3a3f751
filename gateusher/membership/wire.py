"""Datagrams between members: a sealed header, then frames that each say their length.

    "Gm" | version 1 | key 1 | sender 6 | instance 4 | incarnation 8 | number 8 | frames ... | tag 16
    frame: type 1 | length 1 | payload

All numbers are big-endian.  The tag is HMAC-SHA-256 over everything before it, cut to its first half (RFC 2104, 5).
A frame of a type that this version doesn't know is skipped by its length, and so is what a newer version appends to a
payload that it does know; a datagram of a newer version is read for the frames that are known.
"""

from __future__ import annotations

import hmac
import socket
import struct
from typing import Final, NamedTuple

from ..config.membership import MOST_NAME
from .interface import ID_BYTES, Address, MemberState

MAGIC: Final = b"Gm"
VERSION: Final = 1
HEADER = struct.Struct(">2sBB6sIQQ")
TAG: Final = 16
OVERHEAD: Final = HEADER.size + TAG
MOST_WORD: Final = 64  # bytes of another piece's word
MOST_NOTE: Final = 254  # and of its note to one member
MOST_DATAGRAM: Final = 1200
LEAST_DATAGRAM: Final = 256
BUCKETS: Final = 32  # parts of a digest
AGE_MS: Final = 100.0  # ages are told in tenths of a second

PING, ACK, REQ, NACK, JOIN, ALIVE, SUSPECT, FAILED, LEFT, DIGEST, WORD, NOTE = range(1, 13)

_PROBE = struct.Struct(">Q6s")
_ACK = struct.Struct(">Q6sIB")
_ALIVE = struct.Struct(">6sQI")
_DOUBT = struct.Struct(">6sQ6s")
_LEFT = struct.Struct(">6sQ")
_JOIN = struct.Struct(">BQIIBH")
_DIGEST = struct.Struct(f">B{BUCKETS}I")
_WORD = struct.Struct(">6sIIB")


class WireError(ValueError):
    """These bytes are no datagram of ours; the word says which check they failed."""


class Header(NamedTuple):
    sender: bytes
    instance: int
    incarnation: int
    number: int


class Frame(NamedTuple):
    """A frame with its payload's fields; what a type has no use for is left at its default."""

    kind: int
    subject: bytes = b""  # whom it is about, by id
    probe: int = 0
    incarnation: int = 0
    instance: int = 0
    by: bytes = b""  # who suspects
    age: int = 0  # how long ago the subject's process began, in units of AGE_MS
    health: int = 0
    state: MemberState = MemberState.ALIVE
    name: str = ""
    address: Address | None = None
    hashes: tuple[int, ...] = ()
    wants: bool = False  # of a digest: send yours
    number: int = 0  # of a word, by its origin and that one's instance
    word: int = 0  # kind of a word or note
    data: bytes = b""


# -- writing


def _packed(host: str) -> bytes:
    return socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)


def _frame(kind: int, payload: bytes) -> bytes:
    return bytes((kind, len(payload))) + payload


def ping(probe: int, target: bytes) -> bytes:
    return _frame(PING, _PROBE.pack(probe, target) + bytes(_ACK.size - _PROBE.size))  # as long as its answer


def req(probe: int, target: bytes) -> bytes:
    return _frame(REQ, _PROBE.pack(probe, target))


def nack(probe: int, subject: bytes) -> bytes:
    return _frame(NACK, _PROBE.pack(probe, subject))


def ack(probe: int, subject: bytes, age: int, health: int) -> bytes:
    return _frame(ACK, _ACK.pack(probe, subject, min(age, 0xFFFFFFFF), health))


def alive(subject: bytes, incarnation: int, instance: int) -> bytes:
    return _frame(ALIVE, _ALIVE.pack(subject, incarnation, instance))


def suspect(subject: bytes, incarnation: int, by: bytes) -> bytes:
    return _frame(SUSPECT, _DOUBT.pack(subject, incarnation, by))


def failed(subject: bytes, incarnation: int, by: bytes) -> bytes:
    return _frame(FAILED, _DOUBT.pack(subject, incarnation, by))


def left(subject: bytes, incarnation: int) -> bytes:
    return _frame(LEFT, _LEFT.pack(subject, incarnation))


def join(name: str, state: MemberState, incarnation: int, instance: int, age: int, address: Address | None) -> bytes:
    """All of a member's record; a record without an address says nothing of where it is."""
    packed = _packed(address[0]) if address else b""
    head = _JOIN.pack(state, incarnation, instance, min(age, 0xFFFFFFFF), len(packed), address[1] if address else 0)
    return _frame(JOIN, head + packed + name.encode())


def digest(hashes: list[int], wants: bool) -> bytes:
    return _frame(DIGEST, _DIGEST.pack(wants, *hashes))


def word(origin: bytes, instance: int, number: int, kind: int, data: bytes) -> bytes:
    if len(data) > MOST_WORD:
        raise ValueError(f"a word of {len(data)} bytes; {MOST_WORD} at most")
    return _frame(WORD, _WORD.pack(origin, instance, number, kind) + data)


def note(kind: int, data: bytes) -> bytes:
    if len(data) > MOST_NOTE:
        raise ValueError(f"a note of {len(data)} bytes; {MOST_NOTE} at most")
    return _frame(NOTE, bytes((kind,)) + data)


def seal(key: bytes, header: Header, frames: bytes) -> bytes:
    """The whole datagram."""
    head = HEADER.pack(MAGIC, VERSION, 0, header.sender, header.instance, header.incarnation, header.number)
    return head + frames + hmac.digest(key, head + frames, "sha256")[:TAG]


# -- reading


def unseal(keys: tuple[bytes, ...], data: bytes, most: int = MOST_DATAGRAM) -> tuple[Header, bytes]:
    """Header and frames of a datagram whose tag one of the keys makes.  Raises WireError."""
    if not OVERHEAD <= len(data) <= most:
        raise WireError("length")
    if data[:2] != MAGIC:
        raise WireError("malformed")
    signed, tag = data[:-TAG], data[-TAG:]
    if not any(hmac.compare_digest(hmac.digest(key, signed, "sha256")[:TAG], tag) for key in keys):
        raise WireError("key")
    _, version, _, sender, instance, incarnation, number = HEADER.unpack_from(data)
    if version < 1:
        raise WireError("malformed")
    return Header(sender, instance, incarnation, number), signed[HEADER.size :]


def _join(data: bytes) -> Frame:
    state, incarnation, instance, age, size, port = _JOIN.unpack_from(data)
    if size not in (0, 4, 16) or state not in (MemberState.ALIVE, MemberState.FAILED, MemberState.LEFT):
        raise WireError("malformed")
    packed, name = data[_JOIN.size : _JOIN.size + size], data[_JOIN.size + size :]
    if len(packed) != size or not 1 <= len(name) <= MOST_NAME or (size and not port):
        raise WireError("malformed")
    try:
        text = name.decode()
    except UnicodeDecodeError:
        raise WireError("malformed") from None
    if not text.isprintable():
        raise WireError("malformed")
    where = (socket.inet_ntop(socket.AF_INET if size == 4 else socket.AF_INET6, packed), port) if size else None
    return Frame(
        JOIN, incarnation=incarnation, instance=instance, age=age, state=MemberState(state), name=text, address=where
    )


def _read(kind: int, data: bytes) -> Frame:
    if kind in (PING, REQ, NACK):
        probe, subject = _PROBE.unpack_from(data)
        return Frame(kind, subject, probe)
    if kind == ACK:
        probe, subject, age, health = _ACK.unpack_from(data)
        return Frame(kind, subject, probe, age=age, health=health)
    if kind == ALIVE:
        subject, incarnation, instance = _ALIVE.unpack_from(data)
        return Frame(kind, subject, incarnation=incarnation, instance=instance)
    if kind in (SUSPECT, FAILED):
        subject, incarnation, by = _DOUBT.unpack_from(data)
        return Frame(kind, subject, incarnation=incarnation, by=by)
    if kind == LEFT:
        subject, incarnation = _LEFT.unpack_from(data)
        return Frame(kind, subject, incarnation=incarnation)
    if kind == DIGEST:
        wants, *hashes = _DIGEST.unpack_from(data)
        return Frame(kind, hashes=tuple(hashes), wants=bool(wants & 1))
    if kind == WORD:
        origin, instance, number, what = _WORD.unpack_from(data)
        rest = data[_WORD.size :]
        if len(rest) > MOST_WORD:
            raise WireError("malformed")
        return Frame(kind, origin, instance=instance, number=number, word=what, data=rest)
    if kind == NOTE:
        if not data:
            raise WireError("malformed")
        return Frame(kind, word=data[0], data=data[1:])
    return _join(data)


def frames(data: bytes) -> tuple[list[Frame], int]:
    """The frames, and how many were of a kind that this version doesn't know.  Raises WireError."""
    found, unknown, at = [], 0, 0
    while at < len(data):
        if at + 2 > len(data):
            raise WireError("malformed")
        kind, size = data[at], data[at + 1]
        payload = data[at + 2 : at + 2 + size]
        if len(payload) != size:
            raise WireError("malformed")
        at += 2 + size
        if not PING <= kind <= NOTE:
            unknown += 1
            continue
        try:
            found.append(_read(kind, payload))
        except struct.error:
            raise WireError("malformed") from None
    return found, unknown


assert ID_BYTES == 6  # the layouts above
