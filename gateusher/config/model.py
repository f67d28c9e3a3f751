"""What a running gateusher is made from, whatever it was read from."""

from __future__ import annotations

import socket
from hashlib import blake2b
from typing import TYPE_CHECKING, Any, NamedTuple

from ..policy.interface import Effect, Settings

if TYPE_CHECKING:
    from .duties import Duties
    from .membership import Membership

OK_ONLY = frozenset({200})
# Outside the platform a node's 4xx is an answer like another; 5xx are failures that may have run.
APPLICATION = frozenset(range(200, 500))


class ConfigError(ValueError):
    """The configuration can't be used; `faults` says each on a line, with the field's path and what is allowed.

    `passing`: it could not be read for a reason that passes, so that the same file may be read a moment later.
    """

    def __init__(self, *faults: str, passing: bool = False) -> None:
        super().__init__("; ".join(faults))
        self.faults, self.passing = faults, passing


class Names(NamedTuple):
    """Indexes of the settings' names; a zone or kind that they don't name takes the spare index."""

    classes: dict[bytes, int]
    tenants: dict[bytes, int]
    zones: dict[str, int]
    kinds: dict[str, int]


def usual_methods(effect: Effect) -> frozenset[bytes]:
    """The platform's: the method tells what a repeat would do."""
    return frozenset({b"GET"} if effect is Effect.IDEMPOTENT else {b"POST"})


class Config(NamedTuple):
    """All that holds from the start on."""

    name: str
    listen: tuple[str, int] | None  # None: no listener, as in the library
    discovery: tuple[str, int] | None  # None: the known list is all there is
    seed: int
    memory_mb: float
    sockets: int
    most_held: int
    known: dict[str, Any]  # the list at the start, in discovery's form
    settings: Settings
    names: Names
    methods: tuple[frozenset[bytes], ...]  # by class
    serves: frozenset[int] = OK_ONLY  # the statuses that are an endpoint's answer
    authority: str = "origin.svc"  # the Host of the library's requests that bring none, and of HTTP/1.0's
    margin_s: float = 0.01  # what an inherited deadline is cut by
    drain_s: float = 3.4  # how long a planned end waits for what is open
    shape: dict[str, Any] | None = None  # the platform's file: what a new one must hold too
    admin: tuple[str, int] | None = None  # the operators' own address; None: there is none
    log: str = "text"  # how its lines are written: "text" or "json"
    rehearsal_ms: float = 0.0  # nodes have to prove so often that they are stand-ins; 0: they needn't
    loads: tuple[Any, ...] = ()  # sources that it plays by itself (`config.file.Load`)
    control: str | None = None  # the operators' Unix socket; None: there is none
    membership: Membership | None = None  # who the other sidecars are; None: it knows of none
    duties: Duties | None = None  # who votes on what one sidecar alone may do; None: nobody


def address(text: object) -> tuple[str, int]:
    """IP and port of `ip:port`; ValueError for anything else, as there is no DNS."""
    if not isinstance(text, str):
        raise ValueError(f"not an address: {text!r}")
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
    except OSError:
        raise ValueError(f"not an IP address: {host!r}") from None
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"not a port: {port!r}")
    return host, int(port)


def key_of(query: bytes) -> int:
    """The number of what a request is about: a hash that every sidecar computes alike; 0 for none."""
    for part in query.split(b"&"):
        if part.startswith(b"obj="):
            return key_number(part[4:])
    return 0


def key_number(key: bytes) -> int:
    return int.from_bytes(blake2b(key, digest_size=8).digest(), "big") or 1
