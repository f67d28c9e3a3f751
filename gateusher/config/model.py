"""The configuration of a running gateusher, independent of the file format."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING, Any, NamedTuple

from ..policy.interface import Effect, Settings

if TYPE_CHECKING:
    from .duties import Duties
    from .membership import Membership

OK_ONLY = frozenset({200})
# Outside the platform a 4xx of an endpoint is a normal response; a 5xx is a failure of a request that may have run.
APPLICATION = frozenset(range(200, 500))


class ConfigError(ValueError):
    """The configuration can't be used; `faults` holds one line each, with the field's path and what is allowed.

    `passing`: it could not be read because of a transient error, and reading it again may succeed.
    """

    def __init__(self, *faults: str, passing: bool = False) -> None:
        super().__init__("; ".join(faults))
        self.faults, self.passing = faults, passing


class Names(NamedTuple):
    """Indexes of the names in the settings.

    A kind without a name there takes the next index after them, a zone one of its own (`discovery.lists`).
    """

    classes: dict[bytes, int]
    tenants: dict[bytes, int]
    zones: dict[str, int]
    kinds: dict[str, int]


def default_methods(effect: Effect) -> frozenset[bytes]:
    """Return the methods that the platform's protocol assigns to a class with this effect."""
    return frozenset({b"GET"} if effect is Effect.IDEMPOTENT else {b"POST"})


class Config(NamedTuple):
    """All settings of one process."""

    name: str
    listen: tuple[str, int] | None  # None: no listener, as in the library
    discovery: tuple[str, int] | None  # None: the endpoint list is static
    seed: int
    memory_mb: float
    sockets: int
    most_held: int
    known: dict[str, Any]  # the endpoint list at the start, in discovery's JSON form
    settings: Settings
    names: Names
    methods: tuple[frozenset[bytes], ...]  # by class index
    serves: frozenset[int] = OK_ONLY  # status codes that count as an endpoint's response
    authority: str = "origin.svc"  # the Host header of library and HTTP/1.0 requests without one
    margin_s: float = 0.01  # by how much an inherited deadline is shortened
    drain_s: float = 3.4  # how long a graceful shutdown waits for open requests
    shape: dict[str, Any] | None = None  # the platform's file in use; a reloaded file must have all of its keys
    admin: tuple[str, int] | None = None  # address of the operators' interface; None: disabled
    log: str = "text"  # log format: "text" or "json"
    rehearsal_ms: float = 0.0  # how often endpoints must prove that they are stand-ins; 0: never
    loads: tuple[Any, ...] = ()  # load sources that the daemon replays by itself (`config.file.Load`)
    control: str | None = None  # path of the operators' Unix socket; None: disabled
    membership: Membership | None = None  # the other sidecars; None: membership is off
    resident_mb: float = 0.0  # memory that the process has in use before it serves; 0: not known
    duties: Duties | None = None  # the voters on singleton tasks; None: leases are off


def query_affinity_key(query: bytes) -> int:
    """Return the affinity key of a query string (its `obj` parameter), the same in every sidecar; 0 if absent."""
    for part in query.split(b"&"):
        if part.startswith(b"obj="):
            return affinity_key_hash(part[4:])
    return 0


def affinity_key_hash(key: bytes) -> int:
    """Return a 64-bit hash of an affinity key, never 0 and the same in every process."""
    return int.from_bytes(blake2b(key, digest_size=8).digest(), "big") or 1
