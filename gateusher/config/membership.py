"""`[membership]`: the other sidecars of the fleet, and how this one exchanges datagrams with them.

Stateless: it checks the table of the configuration file and turns it into `Membership` settings.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Any, Literal, NamedTuple

from msgspec import Meta, Struct, field

from ..base.numbers import is_finite_number
from .addresses import address

MAX_NAME_BYTES = 64  # as on the wire
MIN_KEY_BYTES = 16
MIN_DATAGRAMS_PER_S = 4  # minimum that `bytes_per_second` must allow
DEFAULT_TIMEOUT_PERIODS = 0.3
DEFAULT_GOSSIP_PERIODS = 0.2
DEFAULT_SYNC_PERIODS = 10.0
DEFAULT_RETRY_PERIODS = 10.0
Seconds = Annotated[float, Meta(gt=0, le=86400)]


class Membership(NamedTuple):
    """Settings of the membership machine and its endpoint.  Times are milliseconds."""

    name: str
    listen: tuple[str, int]
    peers: tuple[tuple[str, tuple[str, int]], ...]
    keys: tuple[bytes, ...]  # the first one signs, all are accepted
    learn_addresses: bool = False  # whether datagrams go to addresses that other members report
    advertise: tuple[str, int] | None = None  # own address as reported to others, if addresses are learnt
    probe_period_ms: float = 1000.0  # one member is probed in each
    ack_timeout_ms: float = 300.0  # until other members are asked to probe
    indirect_probes: int = 3  # members asked to probe
    suspicion_alpha: float = (
        5.0  # Lifeguard, IV-B: shortest timeout, in periods, by the logarithm of the fleet's size
    )
    suspicion_beta: float = 6.0  # and the longest one, as a multiple of that
    suspicion_confirmations: int = 3  # confirmations that reduce the timeout to the shortest
    max_health_penalty: int = 8
    gossip_interval_ms: float = 200.0
    gossip_fanout: int = 3
    retransmit_factor: int = 4  # multiplied by the logarithm of the fleet's size: sends of one update
    sync_interval_ms: float = 10000.0  # between comparisons of complete tables
    retry_interval_ms: float = 10000.0  # between attempts to reach an absent member
    forget_after_ms: float = 86400000.0  # absence after which a member is removed, if addresses are learnt
    max_members: int = 5000
    max_datagram_bytes: int = 1200
    bytes_per_s: float = 32000.0  # of all that is sent
    drain_hints: bool = True  # whether hints of draining and starting endpoints are sent and used
    direct_messages: bool = False  # whether another module sends messages to single members


class Table(Struct, forbid_unknown_fields=True, frozen=True):
    """The table as written.  `peers` are name@ip:port; with "static" nothing is sent to any other address."""

    listen: str
    keys: Annotated[list[str], Meta(min_length=1, max_length=2)]  # hexadecimal; the first signs, both are accepted
    name: str | None = None  # default: the file's `name`
    peers: list[str] = field(default_factory=list)
    addresses: Literal["static", "learnt"] = "static"
    advertise: str | None = None  # address for other members, with "learnt"; default: `listen`
    period: Annotated[float, Meta(ge=0.05, le=60)] = 1.0
    timeout: Annotated[float, Meta(ge=0.01, le=30)] | None = None  # default: three tenths of the period
    gossip: Annotated[float, Meta(ge=0.01, le=10)] | None = None  # default: a fifth of the period
    sync: Seconds | None = None  # default: ten periods
    retry: Seconds | None = None  # default: ten periods
    forget: Seconds = 86400.0
    most_members: Annotated[int, Meta(ge=2, le=100_000)] = 5000
    most_datagram: Annotated[int, Meta(ge=256, le=1200)] = 1200
    bytes_per_second: Annotated[float, Meta(ge=2000, le=1e7)] = 32000.0
    drains: bool = True


def parse_peer(text: str) -> tuple[str, tuple[str, int]]:
    """Return name and address of name@ip:port.  Raises ValueError."""
    name, at_sign, location = text.rpartition("@")
    if not at_sign or not is_valid_name(name):
        raise ValueError("name@ip:port")
    return name, address(location)


def is_valid_name(name: str) -> bool:
    """Return whether a sidecar can have this name."""
    return bool(name) and len(name.encode()) <= MAX_NAME_BYTES and name.isprintable() and "@" not in name


def _parse_key(text: str) -> bytes:
    key = bytes.fromhex(text)
    if len(key) < MIN_KEY_BYTES:
        raise ValueError
    return key


def collect_faults(
    table: dict[str, Any], name: object, faults: list[str], check_address: Callable[[Any, str, list[str]], None]
) -> None:
    """Append faults that the fields' types allow; values of the wrong type are reported elsewhere."""
    check_address(table.get("listen"), "membership.listen", faults)
    check_address(table.get("advertise"), "membership.advertise", faults)
    own_name = table.get("name", name)
    if isinstance(own_name, str) and not is_valid_name(own_name):
        faults.append(
            f"membership.name: 1 to {MAX_NAME_BYTES} bytes of printable text without '@', found {own_name!r}"[:300]
        )
    _check_peers(table, own_name, faults)
    _check_keys(table, faults)
    _check_limits(table, faults)
    if "advertise" in table and table.get("addresses", "static") == "static":
        faults.append('membership.advertise: only with addresses = "learnt"')


def _check_peers(table: dict[str, Any], own_name: object, faults: list[str]) -> None:
    seen: set[str] = set()
    for i, peer in enumerate(_list(table.get("peers"))):
        try:
            peer_name, location = parse_peer(str(peer))
        except ValueError as error:
            faults.append(f"membership.peers[{i}]: name@ip:port wanted, {error}, found {peer!r}"[:300])
            continue
        if peer_name in seen:
            faults.append(f"membership.peers[{i}]: another peer has this name, {peer_name!r}")
        if peer_name == own_name:
            faults.append(f"membership.peers[{i}]: {peer_name!r} is this sidecar's own name")
        elif table.get("listen") == "{}:{}".format(*location):
            faults.append(f"membership.peers[{i}]: this sidecar's own address, {peer!r}")
        seen.add(peer_name)


def _check_keys(table: dict[str, Any], faults: list[str]) -> None:
    for i, key in enumerate(_list(table.get("keys"))):
        try:
            _parse_key(str(key))
        except ValueError:  # the key is secret and must not be printed
            faults.append(f"membership.keys[{i}]: at least {2 * MIN_KEY_BYTES} hexadecimal digits wanted")


def _check_limits(table: dict[str, Any], faults: list[str]) -> None:
    period_s = table.get("period", 1.0)
    timeout_s = table.get("timeout")
    if is_finite_number(period_s) and is_finite_number(timeout_s) and timeout_s > period_s / 2:
        faults.append(f"membership.timeout: at most half of the period, {period_s / 2:g}, found {timeout_s:g}")
    datagram_bytes = table.get("most_datagram", 1200)
    bytes_per_s = table.get("bytes_per_second", 32000.0)
    if not isinstance(datagram_bytes, int) or not is_finite_number(bytes_per_s):
        return
    min_bytes_per_s = MIN_DATAGRAMS_PER_S * datagram_bytes
    if bytes_per_s < min_bytes_per_s:
        faults.append(
            f"membership.bytes_per_second: at least four datagrams, {min_bytes_per_s}, found {bytes_per_s:g}"
        )


def _list(value: Any) -> list[Any]:
    return value if isinstance(value, list) else []


def settings(table: Table, name: str) -> Membership:
    """Return the settings of a table without faults; `name` is the file's."""
    period_ms = table.period * 1000

    def in_ms(seconds: float | None, default_periods: float) -> float:
        return seconds * 1000 if seconds is not None else default_periods * period_ms

    listen = address(table.listen)
    learn_addresses = table.addresses == "learnt"
    advertise = listen if learn_addresses else None
    if table.advertise:
        advertise = address(table.advertise)
    return Membership(
        name=table.name or name,
        listen=listen,
        peers=tuple(parse_peer(peer) for peer in table.peers),
        keys=tuple(_parse_key(key) for key in table.keys),
        learn_addresses=learn_addresses,
        advertise=advertise,
        probe_period_ms=period_ms,
        ack_timeout_ms=in_ms(table.timeout, DEFAULT_TIMEOUT_PERIODS),
        gossip_interval_ms=in_ms(table.gossip, DEFAULT_GOSSIP_PERIODS),
        sync_interval_ms=in_ms(table.sync, DEFAULT_SYNC_PERIODS),
        retry_interval_ms=in_ms(table.retry, DEFAULT_RETRY_PERIODS),
        forget_after_ms=table.forget * 1000,
        max_members=table.most_members,
        max_datagram_bytes=table.most_datagram,
        bytes_per_s=table.bytes_per_second,
        drain_hints=table.drains,
    )
