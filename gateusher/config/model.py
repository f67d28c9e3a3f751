"""The configuration of a running gateusher, whichever file format it was read from."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING, Any, NamedTuple

from ..policy.interface import Effect, Settings

if TYPE_CHECKING:
    from .duties import Duties
    from .membership import Membership

OK_ONLY = frozenset({200})
# Outside the platform an endpoint's 4xx is a response like another; a 5xx is a failure that may have executed.
APPLICATION = frozenset(range(200, 500))


class ConfigError(ValueError):
    """The configuration can't be used; `faults` holds one line each, with the field's path and what is allowed.

    `passing` says that it could not be read because of a transient error, so that reading it again may succeed.
    """

    def __init__(self, *faults: str, passing: bool = False) -> None:
        super().__init__("; ".join(faults))
        self.faults, self.passing = faults, passing


class Names(NamedTuple):
    """Indexes of the names in the settings; a zone or kind without a name there takes the next index after them."""

    classes: dict[bytes, int]
    tenants: dict[bytes, int]
    zones: dict[str, int]
    kinds: dict[str, int]


def usual_methods(effect: Effect) -> frozenset[bytes]:
    """The methods of the platform's protocol for a class, which say what a repeat would do."""
    return frozenset({b"GET"} if effect is Effect.IDEMPOTENT else {b"POST"})


class Config(NamedTuple):
    """All settings of one process."""

    name: str
    listen: tuple[str, int] | None  # None: no listener, as in the library
    discovery: tuple[str, int] | None  # None: the list in the file is the only one
    seed: int
    memory_mb: float
    sockets: int
    most_held: int
    known: dict[str, Any]  # the endpoint list at the start, in discovery's JSON form
    settings: Settings
    names: Names
    methods: tuple[frozenset[bytes], ...]  # by class index
    serves: frozenset[int] = OK_ONLY  # status codes that count as an endpoint's response
    authority: str = "origin.svc"  # the Host header where a library's or an HTTP/1.0 client's request has none
    margin_s: float = 0.01  # by how much an inherited deadline is shortened
    drain_s: float = 3.4  # how long a graceful shutdown waits for open requests
    shape: dict[str, Any] | None = None  # the platform's file; a new one must have its keys too
    admin: tuple[str, int] | None = None  # the operators' address; None: there is none
    log: str = "text"  # the form of log lines: "text" or "json"
    rehearsal_ms: float = 0.0  # how often endpoints must prove that they are stand-ins; 0: never
    loads: tuple[Any, ...] = ()  # load sources that the daemon replays by itself (`config.file.Load`)
    control: str | None = None  # path of the operators' Unix socket; None: there is none
    membership: Membership | None = None  # the other sidecars; None: membership is off
    duties: Duties | None = None  # the voters on singleton tasks; None: leases are off


def key_of(query: bytes) -> int:
    """The affinity key of a query string (its `obj` parameter), the same in every sidecar; 0 if it has none."""
    for part in query.split(b"&"):
        if part.startswith(b"obj="):
            return key_number(part[4:])
    return 0


def key_number(key: bytes) -> int:
    """A 64-bit hash of an affinity key, never 0 and the same in every process."""
    return int.from_bytes(blake2b(key, digest_size=8).digest(), "big") or 1
