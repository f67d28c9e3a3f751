"""Parses endpoint lists from discovery's JSON format (PROTOCOL, Discovery).

Stateless; entries that can't be parsed are logged and skipped.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Any, NamedTuple

from ..base.log import log_event
from ..base.numbers import is_finite_number
from ..config.addresses import address
from ..config.model import Names
from ..policy.interface import Endpoint, EndpointState

STATES = {"Ready": EndpointState.READY, "Terminating": EndpointState.DRAINING, "Gone": EndpointState.REMOVED}
MAX_CELL = 65535
UNNAMED_ZONE_BYTES = 8  # of the hash that numbers a zone without a name in the settings


class ListedEndpoint(NamedTuple):
    """An entry of a list: the endpoint as the balancer sees it, and its name and address."""

    endpoint: Endpoint
    name: str
    ip: str
    port: int


class EndpointListError(ValueError):
    """A list can't be parsed or used, so the call that sent it has to end."""


def endpoint_id(host: str) -> int:
    """Return the id of an endpoint, the same at every sidecar and after every restart."""
    return int.from_bytes(blake2b(host.encode(), digest_size=4).digest(), "big")


def _non_negative(entry: dict[str, Any], key: str, default: float) -> float:
    value = entry.get(key, default)
    if not is_finite_number(value) or value < 0:
        raise ValueError(f"{key}: {value!r}"[:200])
    return float(value)


def _zone(name: str, names: Names) -> int:
    """Return the number of a zone.

    Zones that the settings do not name differ from each other, or a keyed request whose retries are deduplicated per
    zone could be retried in another one.  Without named zones all endpoints are in the zone of this process.
    """
    if name in names.zones or not names.zones:
        return names.zones.get(name, 0)
    digest = blake2b(name.encode(errors="surrogatepass"), digest_size=UNNAMED_ZONE_BYTES).digest()
    return len(names.zones) + int.from_bytes(digest, "big")


def read_entry(entry: Any, names: Names) -> ListedEndpoint:
    """Parse one entry.  Raises ValueError if it is invalid.

    For an endpoint that is draining or removed only the name must be valid: a drain counts as notified once it is
    written, so no error elsewhere in the entry may hide it.
    """
    if not isinstance(entry, dict) or not isinstance(entry.get("host"), str) or not entry["host"]:
        raise ValueError(f"no host: {entry!r}"[:200])
    host: str = entry["host"]
    state = STATES.get(str(entry.get("health")))
    if state is None:
        raise ValueError(f"{host}: health: {entry.get('health')!r}")
    zone = _zone(str(entry.get("site")), names)
    kind = names.kinds.get(str(entry.get("class")), len(names.kinds))
    try:
        ip, port = address(entry.get("dial"))
        cell = int(_non_negative(entry, "block", 0.0))
        if cell > MAX_CELL:
            raise ValueError(f"block: {cell}")
        share = _non_negative(entry, "share", 1.0)
        started_ms = _non_negative(entry, "born_ms", 0.0)
    except ValueError as error:
        if state is EndpointState.READY:
            raise ValueError(f"{host}: {error}") from None
        ip, port = "", 0
        cell, share, started_ms = 0, 1.0, 0.0
    return ListedEndpoint(Endpoint(endpoint_id(host), state, zone, cell, kind, share, started_ms), host, ip, port)


def read_list(data: Any, names: Names) -> tuple[int, bool, list[ListedEndpoint]]:
    """Return a list's version, whether it is complete, and its valid entries.  Raises EndpointListError."""
    if not isinstance(data, dict):
        raise EndpointListError("not an object")
    version = data.get("seq")
    hosts = data.get("hosts")
    complete = data.get("whole")
    if isinstance(version, bool) or not isinstance(version, int) or version < 0:
        raise EndpointListError("seq, whole or hosts is missing or of the wrong type")
    if not isinstance(hosts, list) or not isinstance(complete, bool):
        raise EndpointListError("seq, whole or hosts is missing or of the wrong type")
    entries = []
    for host in hosts:
        try:
            entries.append(read_entry(host, names))
        except ValueError as error:
            log_event("entry skipped", error)
    return version, complete, entries
