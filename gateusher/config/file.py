"""The TOML configuration file of installations outside the platform, for the daemon and the library.

All faults are reported at once, each with its path.  Times in the file are seconds; `Settings` holds milliseconds.
"""

from __future__ import annotations

import random
import tomllib
from typing import Any

import msgspec

from ..base.errors import TRANSIENT_READ_ERRORS
from ..policy.interface import ClassSettings, DeduplicationScope, Effect, Settings
from . import duties, membership
from .addresses import address
from .file_checks import check_fields, check_meaning
from .file_schema import Class, File, Load, Node
from .model import APPLICATION, OK_ONLY, Config, ConfigError, Names, usual_methods

__all__ = ["Load", "load", "parse"]

MS_PER_S = 1000
DEFAULT_POLL_WITHIN_MS = 10000.0
DRAIN_GRACE_MS = 2000.0
COLLAPSE_MULTIPLE = 2.5
COLLAPSE_WINDOW_MS = 1500.0

# The inverse of `upstream.reports.REPORT_KEYS`, which this layer may not import.
REPORT_NAMES = {
    "queue": "waiting",
    "inflight": "active",
    "util": "cpu",
    "latency_ms": "avg_ms",
    "qps": "rps",
    "eps": "err_rps",
}


def parse(data: dict[str, Any]) -> Config:
    """A configuration from the file's content.  Raises ConfigError with every fault."""
    faults: list[str] = []
    check_fields(data, File, faults)
    check_meaning(data, faults)
    if faults:
        raise ConfigError(*faults)
    file = msgspec.convert(data, File)
    zones = list(dict.fromkeys([*file.zones, file.zone, *(node.zone for node in file.nodes)]))
    kinds = list(dict.fromkeys([node.kind for node in file.nodes] or [""]))
    members = membership.settings(file.membership, file.name) if file.membership else None
    if members and file.duties:
        members = members._replace(direct_messages=True)
    return Config(
        name=file.name,
        listen=address(file.listen) if file.listen else None,
        discovery=address(file.discovery.address) if file.discovery else None,
        seed=random.SystemRandom().getrandbits(64) if file.seed is None else file.seed,
        memory_mb=file.limits.memory_mb,
        sockets=file.limits.sockets,
        most_held=file.limits.most_held,
        known={"seq": 0, "whole": True, "hosts": [_discovery_entry(node) for node in file.nodes]},
        settings=_settings(file, zones, kinds),
        names=_names(file, zones, kinds),
        methods=tuple(_methods(cls) for cls in file.classes.values()),
        serves=APPLICATION if file.answers == "application" else OK_ONLY,
        authority=file.authority,
        margin_s=file.limits.margin,
        drain_s=file.limits.drain,
        admin=address(file.admin) if file.admin else None,
        log=file.log.format,
        rehearsal_ms=file.rehearsal.every * MS_PER_S if file.rehearsal else 0.0,
        loads=tuple(file.load),
        control=file.control,
        membership=members,
        duties=duties.settings(file.duties, members.name) if file.duties and members else None,
    )


def _settings(file: File, zones: list[str], kinds: list[str]) -> Settings:
    """What the policy goes by."""
    limits = file.limits
    return Settings(
        classes=tuple(_class(cls) for cls in file.classes.values()),
        zone=zones.index(file.zone),
        zones=len(zones),
        kinds=len(kinds),
        max_attempts=limits.max_attempts,
        retry_after=True,
        max_retry_after_ms=limits.max_retry_after * MS_PER_S,
        dial_timeout_ms=limits.connect_timeout * MS_PER_S,
        idle_ms=limits.idle * MS_PER_S,
        report_fields=tuple(REPORT_NAMES[field] for field in file.reports),
        capacity_shares_known=any(node.share != 1.0 for node in file.nodes),
        polls_list=file.discovery is not None,
        poll_within_ms=file.discovery.ask_within * MS_PER_S if file.discovery else DEFAULT_POLL_WITHIN_MS,
        drain_grace_ms=DRAIN_GRACE_MS,
        slow_start_share=file.cold.share,
        slow_start_ms=file.cold.warm_within * MS_PER_S,
        collapse_multiple=COLLAPSE_MULTIPLE,
        collapse_window_ms=COLLAPSE_WINDOW_MS,
    )


def _class(cls: Class) -> ClassSettings:
    late_weight = cls.worth / 2 if cls.late_worth is None else cls.late_worth
    return ClassSettings(
        Effect(cls.effect),
        cls.aim * MS_PER_S,
        cls.deadline * MS_PER_S,
        cls.worth,
        late_weight,
        DeduplicationScope(cls.group),
        cls.window * MS_PER_S,
    )


def _methods(cls: Class) -> frozenset[bytes]:
    if cls.methods:
        return frozenset(method.encode() for method in cls.methods)
    return usual_methods(Effect(cls.effect))


def _names(file: File, zones: list[str], kinds: list[str]) -> Names:
    return Names(
        {name.encode(): i for i, name in enumerate(file.classes)},
        {name.encode(): i for i, name in enumerate(file.tenants)},
        {name: i for i, name in enumerate(zones)},
        {name: i for i, name in enumerate(kinds)},
    )


def _discovery_entry(node: Node) -> dict[str, Any]:
    """A node of the file in the form of discovery's JSON."""
    return {
        "host": node.name,
        "dial": node.address,
        "site": node.zone,
        "class": node.kind,
        "block": node.cell,
        "health": "Ready",
        "share": node.share,
        "born_ms": 0,
    }


def load(path: str) -> Config:
    """The configuration in a TOML file.  Raises ConfigError, also where the file can't be read."""
    try:
        with open(path, "rb") as source:
            data = tomllib.load(source)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}", passing=error.errno in TRANSIENT_READ_ERRORS) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: not TOML: {error}") from None
    return parse(data)
