"""`[membership]`: who the other sidecars are, and how this one speaks with them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Any, Literal, NamedTuple

from msgspec import Meta, Struct, field

from .model import address

MOST_NAME = 64  # bytes, as on the wire
LEAST_KEY = 16  # bytes
Seconds = Annotated[float, Meta(gt=0, le=86400)]


class Membership(NamedTuple):
    """What the machine of members goes by.  Times are milliseconds."""

    name: str
    listen: tuple[str, int]
    peers: tuple[tuple[str, tuple[str, int]], ...]
    keys: tuple[bytes, ...]
    learnt: bool = False  # whether addresses that others tell are spoken to
    advertise: tuple[str, int] | None = None  # what others are told that we listen on, where addresses are learnt
    period_ms: float = 1000.0  # one member is probed in each
    timeout_ms: float = 300.0  # for its answer, before others are asked to try
    indirect: int = 3  # and so many are
    alpha: float = 5.0  # least time of a suspicion, in periods and by the fleet's logarithm
    beta: float = 6.0  # and the longest, as a multiple of that
    confirmations: int = 3  # witnesses that bring it down to the least
    health_most: int = 8  # how much slower a member that mistrusts itself becomes
    gossip_ms: float = 200.0
    fanout: int = 3
    factor: int = 4  # news is told so many times the fleet's logarithm
    sync_ms: float = 10000.0  # whole tables are compared so often
    retry_ms: float = 10000.0  # one of those that are not there is tried so often
    forget_ms: float = 86400000.0  # one that failed or left is kept so long, where addresses are learnt
    most_members: int = 5000
    most_datagram: int = 1200
    bytes_per_s: float = 32000.0  # all that is sent
    drains: bool = True  # whether drains and starts of endpoints are told and heeded
    notes: bool = False  # whether another piece sends notes to single members


class Table(Struct, forbid_unknown_fields=True, frozen=True):
    """Other sidecars.  `peers` are name@ip:port; in "static" nothing is ever sent to another address."""

    listen: str
    keys: Annotated[list[str], Meta(min_length=1, max_length=2)]  # hexadecimal; the first signs, both are taken
    name: str | None = None  # the file's `name` without it
    peers: list[str] = field(default_factory=list)
    addresses: Literal["static", "learnt"] = "static"
    advertise: str | None = None  # where others reach us, with "learnt"; `listen` without it
    period: Annotated[float, Meta(ge=0.05, le=60)] = 1.0
    timeout: Annotated[float, Meta(ge=0.01, le=30)] | None = None  # three tenths of the period without it
    gossip: Annotated[float, Meta(ge=0.01, le=10)] | None = None  # a fifth of it
    sync: Seconds | None = None  # ten periods
    retry: Seconds | None = None  # ten periods
    forget: Seconds = 86400.0
    most_members: Annotated[int, Meta(ge=2, le=100_000)] = 5000
    most_datagram: Annotated[int, Meta(ge=256, le=1200)] = 1200
    bytes_per_second: Annotated[float, Meta(ge=2000, le=1e7)] = 32000.0
    drains: bool = True


def read_peer(text: str) -> tuple[str, tuple[str, int]]:
    """Name and address of name@ip:port.  Raises ValueError."""
    name, at, where = text.rpartition("@")
    if not at or not good_name(name):
        raise ValueError("name@ip:port")
    return name, address(where)


def good_name(name: str) -> bool:
    return bool(name) and len(name.encode()) <= MOST_NAME and name.isprintable() and "@" not in name


def _key(text: str) -> bytes:
    key = bytes.fromhex(text)
    if len(key) < LEAST_KEY:
        raise ValueError
    return key


def faults_of(
    table: dict[str, Any], name: object, faults: list[str], check_address: Callable[[Any, str, list[str]], None]
) -> None:
    """What each field allows by itself and the whole doesn't; what has the wrong type is passed over here."""
    check_address(table.get("listen"), "membership.listen", faults)
    check_address(table.get("advertise"), "membership.advertise", faults)
    own = table.get("name", name)
    if isinstance(own, str) and not good_name(own):
        faults.append(f"membership.name: 1 to {MOST_NAME} bytes of printable text without '@', found {own!r}"[:300])
    seen: set[str] = set()
    for i, peer in enumerate(_list(table.get("peers"))):
        try:
            peer_name, where = read_peer(str(peer))
        except ValueError as error:
            faults.append(f"membership.peers[{i}]: name@ip:port wanted, {error}, found {peer!r}"[:300])
            continue
        if peer_name in seen:
            faults.append(f"membership.peers[{i}]: another peer has this name, {peer_name!r}")
        if peer_name == own:
            faults.append(f"membership.peers[{i}]: {peer_name!r} is this sidecar's own name")
        elif table.get("listen") == "{}:{}".format(*where):
            faults.append(f"membership.peers[{i}]: this sidecar's own address, {peer!r}")
        seen.add(peer_name)
    for i, key in enumerate(_list(table.get("keys"))):
        try:
            _key(str(key))
        except ValueError:  # the key itself is not printed
            faults.append(f"membership.keys[{i}]: at least {2 * LEAST_KEY} hexadecimal digits wanted")
    period, timeout = table.get("period", 1.0), table.get("timeout")
    if isinstance(period, int | float) and isinstance(timeout, int | float) and timeout > period / 2:
        faults.append(f"membership.timeout: at most half of the period, {period / 2:g}, found {timeout:g}")
    most, rate = table.get("most_datagram", 1200), table.get("bytes_per_second", 32000.0)
    if isinstance(most, int) and isinstance(rate, int | float) and rate < 4 * most:
        faults.append(f"membership.bytes_per_second: at least four datagrams, {4 * most}, found {rate:g}")
    if "advertise" in table and table.get("addresses", "static") == "static":
        faults.append('membership.advertise: only with addresses = "learnt"')


def _list(value: Any) -> list[Any]:
    return value if isinstance(value, list) else []


def settings(table: Table, name: str) -> Membership:
    """The settings of a table without faults."""
    ms = table.period * 1000

    def of(seconds: float | None, periods: float) -> float:
        return seconds * 1000 if seconds is not None else periods * ms

    listen = address(table.listen)
    return Membership(
        name=table.name or name,
        listen=listen,
        peers=tuple(read_peer(p) for p in table.peers),
        keys=tuple(_key(k) for k in table.keys),
        learnt=table.addresses == "learnt",
        advertise=address(table.advertise) if table.advertise else listen if table.addresses == "learnt" else None,
        period_ms=ms,
        timeout_ms=of(table.timeout, 0.3),
        gossip_ms=of(table.gossip, 0.2),
        sync_ms=of(table.sync, 10),
        retry_ms=of(table.retry, 10),
        forget_ms=table.forget * 1000,
        most_members=table.most_members,
        most_datagram=table.most_datagram,
        bytes_per_s=table.bytes_per_second,
        drains=table.drains,
    )
