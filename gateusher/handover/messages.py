"""The messages between predecessor and successor, and their JSON form.

Keys and values are fixed: the two processes may be of different releases.  Keys that are not known are skipped.

    successor to predecessor    {"take": 1}                             the protocol's version
                                {"serving": true}
    both ways, while both run   {"ids": "2vQ..."}                       digests of request ids, base64
    predecessor to successor    {"sockets": 85, "memory_mb": 32.0}      with the listening socket (SCM_RIGHTS)
                                {"sockets": 156}                        descriptors, spare ones included
"""

from __future__ import annotations

import json
from base64 import b64decode, b64encode
from collections.abc import Mapping
from typing import Any, NamedTuple

from ..base.id_digest import DIGEST_BYTES

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 4096
MAX_IDS_PER_MESSAGE = 360

JsonObject = Mapping[str, Any]


class ListenerRequest(NamedTuple):
    """A successor requests the listening socket."""

    def encode(self) -> bytes:
        """As a packet."""
        return _encode({"take": PROTOCOL_VERSION})


class SuccessorServes(NamedTuple):
    """The successor accepts clients."""

    def encode(self) -> bytes:
        """As a packet."""
        return _encode({"serving": True})


class ListenerGrant(NamedTuple):
    """Carries the listening socket and the successor's limits."""

    descriptors: int
    memory_mb: float

    def encode(self) -> bytes:
        """As a packet."""
        return _encode({"sockets": self.descriptors, "memory_mb": self.memory_mb})


class QuotaRaised(NamedTuple):
    """The successor may use this many descriptors from now on."""

    descriptors: int

    def encode(self) -> bytes:
        """As a packet."""
        return _encode({"sockets": self.descriptors})


class IdsTaken(NamedTuple):
    """Requests with these ids must not run at the other process; each is DIGEST_BYTES long."""

    digests: tuple[bytes, ...]

    def encode(self) -> bytes:
        """As a packet; it holds MAX_IDS_PER_MESSAGE at most."""
        return _encode({"ids": b64encode(b"".join(self.digests)).decode()})


Message = ListenerRequest | SuccessorServes | ListenerGrant | QuotaRaised | IdsTaken


def _encode(message: JsonObject) -> bytes:
    return json.dumps(message).encode()


def decode(packet: bytes) -> JsonObject:
    """The JSON object of a packet.  Raises ValueError if it is not one."""
    message = json.loads(packet)
    if not isinstance(message, dict):
        raise ValueError("not an object")
    return message


def parse_grant(message: JsonObject) -> ListenerGrant:
    """The answer to a request.  Raises KeyError, TypeError or ValueError if the message is not one."""
    return ListenerGrant(int(message["sockets"]), float(message["memory_mb"]))


def parse_ids(message: JsonObject) -> IdsTaken | None:
    """The ids of either side's message; None if it is another one or can't be read."""
    text = message.get("ids")
    if not isinstance(text, str):
        return None
    try:
        data = b64decode(text, validate=True)
    except ValueError:
        return None
    return IdsTaken(tuple(data[at : at + DIGEST_BYTES] for at in range(0, len(data), DIGEST_BYTES)))


def parse_from_successor(message: JsonObject) -> ListenerRequest | SuccessorServes | IdsTaken | None:
    """A successor's message; None if it is unknown or of another protocol version."""
    if message.get("take") == PROTOCOL_VERSION:
        return ListenerRequest()
    if message.get("serving") is True:
        return SuccessorServes()
    return parse_ids(message)


def parse_from_predecessor(message: JsonObject) -> QuotaRaised | IdsTaken | None:
    """A predecessor's message after its grant; None if it is unknown."""
    descriptors = message.get("sockets")
    if isinstance(descriptors, int) and not isinstance(descriptors, bool):
        return QuotaRaised(descriptors)
    return parse_ids(message)
