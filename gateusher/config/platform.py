"""What the platform tells a sidecar at its start, checked before anything is opened."""

from __future__ import annotations

import ipaddress
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ..simulator.adapter import SettingsError, parse_settings
from ..policy.interface import Settings


class ConfigError(ValueError):
    """The configuration can't be used; the message names the field."""


@dataclass(frozen=True, slots=True)
class Names:
    """Indexes of the settings' names; a zone or kind that they don't name takes the spare index."""

    classes: dict[bytes, int]
    tenants: dict[bytes, int]
    zones: dict[str, int]
    kinds: dict[str, int]


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    memory_mb: float
    sockets: int
    most_held: int
    known: dict[str, Any]
    settings: Settings
    names: Names


def address(text: object) -> tuple[str, int]:
    """IP and port of `ip:port`; ValueError for anything else, as there is no DNS."""
    if not isinstance(text, str):
        raise ValueError(f"not an address: {text!r}")
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(host)
    if not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"not a port: {port!r}")
    return host, int(port)


def _field(value: object, name: str, kind: type | tuple[type, ...]) -> Any:
    if isinstance(value, bool) or not isinstance(value, kind):
        raise ConfigError(f"{name}: missing or of the wrong type: {value!r}"[:200])
    return value


def _address(value: object, name: str) -> tuple[str, int]:
    try:
        return address(value)
    except ValueError as error:
        raise ConfigError(f"{name}: {error}") from None


def _amount(value: object, name: str, least: float) -> float:
    number = float(_field(value, name, (int, float)))
    if not least <= number < float("inf"):
        raise ConfigError(f"{name}: not a number of {least:g} or more: {value!r}")
    return number


def _indexes(settings: dict[str, Any], key: str) -> dict[str, int]:
    """Positions by name, of a list of names or of objects that hold one."""
    found: dict[str, int] = {}
    for index, item in enumerate(settings.get(key) or []):
        name = item.get("name") if isinstance(item, dict) else item
        found[_field(name, f"settings.{key}", str)] = index
    return found


def load(env: Mapping[str, str]) -> Config:
    """The configuration file that BALANCER_CONFIG names, with what the other variables say first."""
    path = env.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG: not set")
    try:
        with open(path, "rb") as file:
            conf = json.load(file)
    except OSError as error:
        raise ConfigError(f"BALANCER_CONFIG: {error}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"BALANCER_CONFIG: not JSON: {error}") from None
    return parse(_field(conf, "BALANCER_CONFIG", dict), env)


def parse(conf: dict[str, Any], env: Mapping[str, str]) -> Config:
    limits = _field(conf.get("limits", {}), "limits", dict)
    raw = _field(conf.get("settings"), "settings", dict)
    try:
        settings = parse_settings(json.dumps(raw).encode())
    except SettingsError as error:
        raise ConfigError(f"settings: {error}") from None
    classes, tenants, zones, kinds = (_indexes(raw, k) for k in ("lanes", "tenants", "zones", "kinds"))
    seed = _field(conf.get("seed"), "seed", str)
    try:
        number = int(seed, 16)
    except ValueError:
        raise ConfigError(f"seed: not a hexadecimal number: {seed!r}") from None
    known = _field(conf.get("known", {"seq": 0, "whole": True, "hosts": []}), "known", dict)
    _amount(known.get("seq"), "known.seq", 0)
    _field(known.get("hosts"), "known.hosts", list)
    bounds = _field(raw.get("bounds", {}), "settings.bounds", dict)
    return Config(
        name=_field(env.get("BALANCER_NAME") or conf.get("name"), "name", str),
        listen=_address(env.get("BALANCER_LISTEN") or conf.get("listen"), "listen"),
        discovery=_address(env.get("BALANCER_DISCOVERY") or conf.get("discovery"), "discovery"),
        seed=number,
        memory_mb=_amount(limits.get("memory_mb", 192), "limits.memory_mb", 1),
        sockets=int(_amount(limits.get("sockets", 1024), "limits.sockets", 1)),
        most_held=int(_amount(bounds.get("most_held", 20000), "settings.bounds.most_held", 1)),
        known=known, settings=settings,
        names=Names({k.encode(): v for k, v in classes.items()}, {k.encode(): v for k, v in tenants.items()},
                    zones, kinds))
