"""The platform's JSON configuration, checked as a whole before anything is opened.

This module and simulator/settings.py map the platform's field names to the terms of this code.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

from ..base.errors import TRANSIENT_READ_ERRORS
from ..base.limits import MIN_DESCRIPTORS
from ..policy.interface import ClassSettings, Effect, Settings
from ..simulator.settings import SettingsError, parse_settings
from .addresses import address
from .model import Config, ConfigError, Names, usual_methods

if TYPE_CHECKING:
    from .membership import Membership

# SIGKILL follows SIGTERM after the longest deadline, but at most 3 s, and 0.7 s more (PROTOCOL, Figures).
MAX_DEADLINE_BEFORE_KILL_S = 3.0
DRAIN_MARGIN_S = 0.4  # of the 0.7 s; the rest is DRAIN_OVERTIME_S and exit
MEMBERSHIP_VARIABLE = "GATEUSHER_MEMBERS"  # "on" turns membership on; anything else leaves it off
MEMBERSHIP_BYTES_PER_S = 4000.0


class _Fields:
    """Reads the fields of an object and collects all faults, so that they are reported at once."""

    def __init__(self) -> None:
        self.faults: list[str] = []

    def of(self, value: object, name: str, kind: type, default: Any) -> Any:
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

    def amount(self, value: object, name: str, least: float) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < float("inf"):
            self.faults.append(f"{name}: a number of {least:g} or more wanted, found {value!r}"[:200])
            return least
        return float(value)

    def indexes(self, settings: dict[str, Any], key: str) -> dict[str, int]:
        """Positions by name, of a list of names or of objects that hold one."""
        found: dict[str, int] = {}
        for index, item in enumerate(self.of(settings.get(key) or [], f"settings.{key}", list, [])):
            name = item.get("name") if isinstance(item, dict) else item
            name = self.of(name, f"settings.{key}[{index}].name", str, "")
            if name in found:
                self.faults.append(f"settings.{key}[{index}].name: {name!r} is there twice")
            found[name] = index
        return found


def read(path: str | None) -> dict[str, Any]:
    """The object in a JSON file; ConfigError where there is none."""
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
    """The configuration file that BALANCER_CONFIG names, with what the other variables say first."""
    return parse(read(env.get("BALANCER_CONFIG")), env, shape)


def _missing_keys(new: Any, old: Any, path: str) -> list[str]:
    """Keys of `old` that `new` is without, by their paths; in a list, keys that every old object has."""
    faults = []
    if isinstance(old, Mapping) and isinstance(new, Mapping):
        for key, value in old.items():
            where = f"{path}.{key}" if path else key
            faults += _missing_keys(new[key], value, where) if key in new else [f"{where}: missing"]
    elif isinstance(old, list) and isinstance(new, list) and old and all(isinstance(o, Mapping) for o in old):
        common = {key: None for key in old[0] if all(key in o for o in old)}
        for i, item in enumerate(new):
            faults += _missing_keys(item, common, f"{path}[{i}]")
    return faults


def _members(fields: _Fields, conf: dict[str, Any], index: int) -> Membership | None:
    """The other sidecars of the tier, if `peer_listen` and `peers` are configured.

    They have no names there: each is known by its index in `peers`.  Nor is there a secret: the key is derived from
    that list and rejects foreign and old datagrams, but not a sender who knows the list.
    """
    from .membership import Membership  # noqa: PLC0415 - the platform's daemon starts without it

    listen = conf.get("peer_listen")
    raw = fields.of(conf.get("peers") or [], "peers", list, [])
    if listen is None or len(raw) < 2:
        return None
    peers = [fields.address(peer, f"peers[{i}]") for i, peer in enumerate(raw)]
    if not 0 <= index < len(peers):
        fields.faults.append(f"settings.me: the place of one of {len(peers)} peers wanted, found {index}")
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
    """A configuration from the platform's JSON.  Raises ConfigError with all faults.

    `shape` is the file in force, if there is one; a key that it has and this one lacks is a fault.  At the start a
    missing key has its default, but in service a file that lost one was truncated, and a default would change a
    setting that nobody asked to change.
    """
    fields = _Fields()
    fields.faults += _missing_keys(conf, shape, "") if shape else []
    limits = fields.of(conf.get("limits", {}), "limits", dict, {})
    raw = fields.of(conf.get("settings"), "settings", dict, {})
    try:
        settings = parse_settings(json.dumps(raw).encode())
    except SettingsError as error:
        settings = Settings((ClassSettings(Effect.IDEMPOTENT, 1.0, 1.0, 1.0),))
        fields.faults += [f"settings.{fault}" for fault in error.faults]
    classes, tenants, zones, kinds = (fields.indexes(raw, k) for k in ("lanes", "tenants", "zones", "kinds"))
    seed = fields.of(conf.get("seed"), "seed", str, "0")
    try:
        number = int(seed, 16)
    except ValueError:
        number = 0
        fields.faults.append(f"seed: a hexadecimal number wanted, found {seed!r}"[:200])
    known = fields.of(conf.get("known", {"seq": 0, "whole": True, "hosts": []}), "known", dict, {})
    fields.amount(known.get("seq"), "known.seq", 0)
    fields.of(known.get("hosts"), "known.hosts", list, [])
    bounds = fields.of(raw.get("bounds", {}), "settings.bounds", dict, {})
    on = env.get(MEMBERSHIP_VARIABLE) == "on" and bounds.get("peers") is True
    admin = env.get("BALANCER_ADMIN_ADDR") or conf.get("admin_addr")
    config = Config(
        name=fields.of(env.get("BALANCER_NAME") or conf.get("name"), "name", str, ""),
        listen=fields.address(env.get("BALANCER_LISTEN") or conf.get("listen"), "listen"),
        discovery=fields.address(env.get("BALANCER_DISCOVERY") or conf.get("discovery"), "discovery"),
        seed=number,
        memory_mb=fields.amount(limits.get("memory_mb", 192), "limits.memory_mb", 1),
        sockets=int(fields.amount(limits.get("sockets", 1024), "limits.sockets", MIN_DESCRIPTORS)),
        most_held=int(fields.amount(bounds.get("most_held", 20000), "settings.bounds.most_held", 1)),
        known=known,
        settings=settings,
        names=Names(
            {k.encode(): v for k, v in classes.items()}, {k.encode(): v for k, v in tenants.items()}, zones, kinds
        ),
        methods=tuple(usual_methods(c.effect) for c in settings.classes),
        admin=fields.address(admin, "admin_addr") if admin else None,
        drain_s=min(MAX_DEADLINE_BEFORE_KILL_S, max(c.deadline_ms / 1000 for c in settings.classes)) + DRAIN_MARGIN_S,
        shape={k: v for k, v in conf.items() if k not in ("known", "peers")},
        membership=_members(fields, conf, settings.index) if on else None,
    )
    if fields.faults:
        raise ConfigError(*fields.faults)
    return config
