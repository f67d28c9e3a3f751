"""Endpoint lists in the format of discovery (PROTOCOL, Discovery): from JSON to entries.

Stateless; entries that can't be read are logged and left out.
"""

from __future__ import annotations

from hashlib import blake2b
from math import isfinite
from typing import Any, NamedTuple

from ..base.log import log_event
from ..config.addresses import address
from ..config.model import Names
from ..policy.interface import Endpoint, EndpointState

STATES = {"Ready": EndpointState.READY, "Terminating": EndpointState.DRAINING, "Gone": EndpointState.REMOVED}
MAX_CELL = 65535


class ListedEndpoint(NamedTuple):
    """One entry of a list: what the balancer is given, and where the endpoint listens."""

    endpoint: Endpoint
    name: str
    ip: str
    port: int


class EndpointListError(ValueError):
    """A list can't be read or used, so the call that sent it can't be followed any further."""


def endpoint_id(host: str) -> int:
    """Return the number of an endpoint: the same at every sidecar and after every restart."""
    return int.from_bytes(blake2b(host.encode(), digest_size=4).digest(), "big")


def _non_negative(entry: dict[str, Any], key: str, default: float) -> float:
    value = entry.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value) or value < 0:
        raise ValueError(f"{key}: {value!r}")
    return float(value)


def read_entry(entry: Any, names: Names) -> ListedEndpoint:
    """Return one entry.  Raises ValueError if it can't be read.

    Of an endpoint that is draining or removed only the name must be readable: a drain counts as notified once it is
    written, so no fault elsewhere in the entry may hide it.
    """
    if not isinstance(entry, dict) or not isinstance(entry.get("host"), str) or not entry["host"]:
        raise ValueError(f"no host: {entry!r}"[:200])
    host: str = entry["host"]
    state = STATES.get(str(entry.get("health")))
    if state is None:
        raise ValueError(f"{host}: health: {entry.get('health')!r}")
    zone = names.zones.get(str(entry.get("site")), len(names.zones))
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
    """Return a list's version, whether it is complete, and its readable entries.  Raises EndpointListError."""
    if not isinstance(data, dict):
        raise EndpointListError("not an object")
    version = data.get("seq")
    hosts = data.get("hosts")
    complete = data.get("whole")
    if isinstance(version, bool) or not isinstance(version, int) or version < 0:
        raise EndpointListError("seq, whole or hosts is missing or of the wrong type")
    if not isinstance(hosts, list) or not isinstance(complete, bool):
        raise EndpointListError("seq, whole or hosts is missing or of the wrong type")
    lines = []
    for entry in hosts:
        try:
            lines.append(read_entry(entry, names))
        except ValueError as error:
            log_event("entry skipped", error)
    return version, complete, lines
