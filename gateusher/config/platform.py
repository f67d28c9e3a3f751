"""Reads the platform's JSON configuration and checks it completely before anything is opened.

This module and simulator/settings.py map the platform's field names to the terms of this code.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

from ..base.errors import TRANSIENT_READ_ERRORS
from ..base.limits import MIN_DESCRIPTORS
from ..base.numbers import is_finite_number
from ..policy.interface import ClassSettings, Effect, Settings
from ..simulator.settings import SettingsError, parse_settings
from .addresses import address
from .model import Config, ConfigError, Names, default_methods

if TYPE_CHECKING:
    from .membership import Membership

# SIGKILL follows SIGTERM after the longest deadline, but at most 3 s, and 0.7 s more (PROTOCOL, Figures).
MAX_DEADLINE_BEFORE_KILL_S = 3.0
DRAIN_MARGIN_S = 0.4  # part of the 0.7 s; DRAIN_OVERTIME_S and the exit take the rest
MEMBERSHIP_VARIABLE = "GATEUSHER_MEMBERS"  # "on" turns membership on; anything else leaves it off
MEMBERSHIP_BYTES_PER_S = 4000.0


class _Fields:
    """Reads the fields of an object and collects all faults, so that they are reported together."""

    def __init__(self) -> None:
        self.faults: list[str] = []

    def typed(self, value: object, name: str, kind: type, default: Any) -> Any:
        if isinstance(value, bool) or not isinstance(value, kind):
            self.faults.append(f"{name}: {kind.__name__} wanted, found {value!r}"[:200])
            return default
        return value

    def address(self, value: object, name: str) -> tuple[str, int]:
        try:
            return address(value)
        except ValueError as error:
            self.faults.append(f"{name}: ip:port wanted: {error}"[:200])
            return "", 0

    def amount(self, value: object, name: str, minimum: float) -> float:
        if not is_finite_number(value) or value < minimum:
            self.faults.append(f"{name}: a number of {minimum:g} or more wanted, found {value!r}"[:200])
            return minimum
        return float(value)

    def indexes(self, settings: dict[str, Any], key: str) -> dict[str, int]:
        """Return positions by name in a list of names or of objects with a `name`."""
        positions: dict[str, int] = {}
        for index, item in enumerate(self.typed(settings.get(key) or [], f"settings.{key}", list, [])):
            name = item.get("name") if isinstance(item, dict) else item
            name = self.typed(name, f"settings.{key}[{index}].name", str, "")
            if name in positions:
                self.faults.append(f"settings.{key}[{index}].name: {name!r} is a duplicate")
            positions[name] = index
        return positions


def read(path: str | None) -> dict[str, Any]:
    """Read the object in a JSON file.  Raises ConfigError if there is none."""
    if not path:
        raise ConfigError("BALANCER_CONFIG: not set")
    try:
        with open(path, "rb") as file:
            conf = json.load(file)
    except OSError as error:
        raise ConfigError(f"BALANCER_CONFIG: {error}", passing=error.errno in TRANSIENT_READ_ERRORS) from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"BALANCER_CONFIG: not JSON: {error}") from None
    if not isinstance(conf, dict):
        raise ConfigError(f"BALANCER_CONFIG: an object wanted, found {conf!r}"[:200])
    return conf


def load(env: Mapping[str, str], shape: Mapping[str, Any] | None = None) -> Config:
    """Read the configuration file named by BALANCER_CONFIG; the other environment variables override its values."""
    return parse(read(env.get("BALANCER_CONFIG")), env, shape)


def _missing_keys(new: Any, old: Any, path: str) -> list[str]:
    """Return the paths of keys of `old` that `new` lacks; for a list, of keys that every old object has."""
    faults = []
    if isinstance(old, Mapping) and isinstance(new, Mapping):
        for key, value in old.items():
            key_path = f"{path}.{key}" if path else key
            faults += _missing_keys(new[key], value, key_path) if key in new else [f"{key_path}: missing"]
    elif isinstance(old, list) and isinstance(new, list) and old and all(isinstance(o, Mapping) for o in old):
        common = {key: None for key in old[0] if all(key in o for o in old)}
        for i, item in enumerate(new):
            faults += _missing_keys(item, common, f"{path}[{i}]")
    return faults


def _membership(fields: _Fields, conf: dict[str, Any], index: int) -> Membership | None:
    """Return the membership settings of the tier, if `peer_listen` and `peers` are configured.

    Peers have no names in the file: each is identified by its index in `peers`.  There is no secret either: the key
    is derived from that list.  It rejects foreign and old datagrams, but not a sender who knows the list.
    """
    from .membership import Membership  # noqa: PLC0415 - the platform's daemon starts without it

    listen = conf.get("peer_listen")
    raw = fields.typed(conf.get("peers") or [], "peers", list, [])
    if listen is None or len(raw) < 2:
        return None
    peers = [fields.address(peer, f"peers[{i}]") for i, peer in enumerate(raw)]
    if not 0 <= index < len(peers):
        fields.faults.append(f"settings.me: the index of one of {len(peers)} peers wanted, found {index}")
    key = blake2b(json.dumps(raw).encode(), digest_size=32, person=b"gateusher-tier").digest()
    return Membership(
        f"p{index}",
        fields.address(listen, "peer_listen"),
        tuple((f"p{i}", peer) for i, peer in enumerate(peers) if i != index),
        (key,),
        max_members=len(peers) + 1,
        max_datagram_bytes=256,
        bytes_per_s=MEMBERSHIP_BYTES_PER_S,
    )


def parse(conf: dict[str, Any], env: Mapping[str, str], shape: Mapping[str, Any] | None = None) -> Config:
    """Build a configuration from the platform's JSON.  Raises ConfigError with all faults.

    `shape` is the file in use, if any; a key of it that is missing here is a fault.  At startup a missing key has its
    default.  On a reload a missing key means that the file was truncated, and a default would change a setting
    unintentionally.
    """
    fields = _Fields()
    fields.faults += _missing_keys(conf, shape, "") if shape else []
    limits = fields.typed(conf.get("limits", {}), "limits", dict, {})
    raw = fields.typed(conf.get("settings"), "settings", dict, {})
    try:
        settings = parse_settings(json.dumps(raw).encode())
    except SettingsError as error:
        settings = Settings((ClassSettings(Effect.IDEMPOTENT, 1.0, 1.0, 1.0),))
        fields.faults += [f"settings.{fault}" for fault in error.faults]
    classes, tenants, zones, kinds = (fields.indexes(raw, k) for k in ("lanes", "tenants", "zones", "kinds"))
    seed = fields.typed(conf.get("seed"), "seed", str, "0")
    try:
        seed_number = int(seed, 16)
    except ValueError:
        seed_number = 0
        fields.faults.append(f"seed: a hexadecimal number wanted, found {seed!r}"[:200])
    known = fields.typed(conf.get("known", {"seq": 0, "whole": True, "hosts": []}), "known", dict, {})
    fields.amount(known.get("seq"), "known.seq", 0)
    fields.typed(known.get("hosts"), "known.hosts", list, [])
    bounds = fields.typed(raw.get("bounds", {}), "settings.bounds", dict, {})
    membership_enabled = env.get(MEMBERSHIP_VARIABLE) == "on" and bounds.get("peers") is True
    admin = env.get("BALANCER_ADMIN_ADDR") or conf.get("admin_addr")
    config = Config(
        name=fields.typed(env.get("BALANCER_NAME") or conf.get("name"), "name", str, ""),
        listen=fields.address(env.get("BALANCER_LISTEN") or conf.get("listen"), "listen"),
        discovery=fields.address(env.get("BALANCER_DISCOVERY") or conf.get("discovery"), "discovery"),
        seed=seed_number,
        memory_mb=fields.amount(limits.get("memory_mb", 192), "limits.memory_mb", 1),
        sockets=int(fields.amount(limits.get("sockets", 1024), "limits.sockets", MIN_DESCRIPTORS)),
        most_held=int(fields.amount(bounds.get("most_held", 20000), "settings.bounds.most_held", 1)),
        known=known,
        settings=settings,
        names=Names(
            {k.encode(): v for k, v in classes.items()}, {k.encode(): v for k, v in tenants.items()}, zones, kinds
        ),
        methods=tuple(default_methods(c.effect) for c in settings.classes),
        admin=fields.address(admin, "admin_addr") if admin else None,
        drain_s=min(MAX_DEADLINE_BEFORE_KILL_S, max(c.deadline_ms / 1000 for c in settings.classes)) + DRAIN_MARGIN_S,
        shape={k: v for k, v in conf.items() if k not in ("known", "peers")},
        membership=_membership(fields, conf, settings.index) if membership_enabled else None,
    )
    if fields.faults:
        raise ConfigError(*fields.faults)
    return config
