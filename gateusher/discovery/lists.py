"""Lists of endpoints as discovery writes them (PROTOCOL, Discovery): from JSON to entries; no I/O but the log."""

from __future__ import annotations

from hashlib import blake2b
from math import isfinite
from typing import Any, NamedTuple

from ..base.log import log_event
from ..config.model import Names, address
from ..policy.interface import Endpoint, EndpointState

STATES = {"Ready": EndpointState.READY, "Terminating": EndpointState.DRAINING, "Gone": EndpointState.REMOVED}
MOST_CELL = 65535


class HostLine(NamedTuple):
    """One entry of a list: what the module is told, and where the endpoint listens."""

    endpoint: Endpoint
    name: str
    ip: str
    port: int


class LineError(ValueError):
    """A line can't be read, so the list can't be followed any further."""


def endpoint_id(host: str) -> int:
    """The number of an endpoint: the same at every sidecar and after every restart."""
    return int.from_bytes(blake2b(host.encode(), digest_size=4).digest(), "big")


def _amount(entry: dict[str, Any], key: str, default: float) -> float:
    value = entry.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value) or value < 0:
        raise ValueError(f"{key}: {value!r}")
    return float(value)


def read_entry(entry: Any, names: Names) -> HostLine:
    """ValueError if the entry can't be read.

    Of an endpoint that is draining or gone only its name must be readable: a drain counts as told once it is
    written, so no flaw elsewhere in the entry may hide it.
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
        cell = int(_amount(entry, "block", 0.0))
        if cell > MOST_CELL:
            raise ValueError(f"block: {cell}")
        share, born = _amount(entry, "share", 1.0), _amount(entry, "born_ms", 0.0)
    except ValueError as error:
        if state is EndpointState.READY:
            raise ValueError(f"{host}: {error}") from None
        ip, port, cell, share, born = "", 0, 0, 1.0, 0.0
    return HostLine(Endpoint(endpoint_id(host), state, zone, cell, kind, share, born), host, ip, port)


def read_list(data: Any, names: Names) -> tuple[int, bool, list[HostLine]]:
    """Version, wholeness and readable entries of a line."""
    if not isinstance(data, dict):
        raise LineError("not an object")
    seq, hosts, whole = data.get("seq"), data.get("hosts"), data.get("whole")
    if (
        isinstance(seq, bool)
        or not isinstance(seq, int)
        or seq < 0
        or not isinstance(hosts, list)
        or not isinstance(whole, bool)
    ):
        raise LineError("seq, whole or hosts is missing or of the wrong type")
    lines = []
    for entry in hosts:
        try:
            lines.append(read_entry(entry, names))
        except ValueError as error:
            log_event("entry skipped", error)
    return seq, whole, lines
