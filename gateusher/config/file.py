"""Configuration outside the platform: one TOML file for the daemon and the library.

The models say what may stand in the file; `load` tells all faults at once, each with its path.  Times in the
file are seconds; inside, as everywhere, the settings are milliseconds.
"""

from __future__ import annotations

import random
import tomllib
import types
from difflib import get_close_matches
from typing import Annotated, Any, Literal, Union, get_args, get_origin

import msgspec
from msgspec import Meta, Struct, field

from ..base.errors import TRANSIENT_READ_ERRORS
from ..policy.interface import ClassSettings, DeduplicationScope, Effect, Settings
from . import duties, membership
from .membership import Seconds
from .model import APPLICATION, OK_ONLY, Config, ConfigError, Names, address, usual_methods

Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Share = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]
Method = Annotated[str, Meta(pattern="^[A-Z]{1,20}$")]

ALLOWED_METHODS = {
    "safe": {"GET", "OPTIONS"},
    "keyed": {"POST", "PUT", "PATCH", "DELETE"},
    "unsafe": {"POST", "PUT", "PATCH", "DELETE"},
}


class Class(Struct, forbid_unknown_fields=True, frozen=True):
    """A class of requests.  `effect`: what running one twice would do."""

    effect: Literal["safe", "keyed", "unsafe"]
    aim: Seconds  # an answer within this is what is wanted
    deadline: Seconds  # what a request gets that names no deadline of its own
    worth: Annotated[float, Meta(gt=0, le=1e6)] = 1.0
    late_worth: Annotated[float, Meta(ge=0, le=1e6)] | None = None  # after the aim; half the worth if left out
    group: Literal["all", "zone", "cell"] = "all"  # the nodes that drop the repeats of a keyed request
    window: Annotated[float, Meta(ge=0, le=86400)] = 0.0  # and for how long they do
    methods: list[Method] | None = None


class Node(Struct, forbid_unknown_fields=True, frozen=True):
    """An endpoint of a list that stands in the file."""

    name: Name
    address: str
    zone: str = ""
    kind: str = ""
    cell: Annotated[int, Meta(ge=0, le=65535)] = 0
    share: Annotated[float, Meta(gt=0, le=1e6)] = 1.0


class Discovery(Struct, forbid_unknown_fields=True, frozen=True):
    """Where the list of endpoints is asked for instead."""

    address: str
    ask_within: Seconds = 10.0  # it is asked, or watched, at least so often


class Limits(Struct, forbid_unknown_fields=True, frozen=True):
    """What the process may use, and its time limits in seconds."""

    memory_mb: Annotated[float, Meta(ge=1, le=1e6)] = 192.0
    sockets: Annotated[int, Meta(ge=80, le=1_000_000)] = 1024
    most_held: Count = 20000
    max_attempts: Annotated[int, Meta(ge=1, le=20)] = 4
    max_retry_after: Seconds = 2.0
    connect_timeout: Seconds = 0.25
    idle: Seconds = 15.0  # after this long a node closes an idle connection
    drain: Seconds = 3.4  # how long a planned end waits for what is open
    margin: Annotated[float, Meta(ge=0, le=60)] = 0.01  # what an inherited deadline is cut by


class Cold(Struct, forbid_unknown_fields=True, frozen=True):
    """What a node that has just started can do, and when it is warm."""

    share: Share = 1.0
    warm_within: Annotated[float, Meta(ge=0, le=86400)] = 0.0


class Log(Struct, forbid_unknown_fields=True, frozen=True):
    """How the daemon writes its lines on stderr."""

    format: Literal["text", "json"] = "text"


class Rehearsal(Struct, forbid_unknown_fields=True, frozen=True):
    """Every endpoint has to prove that it is a stand-in, and again so often."""

    every: Annotated[float, Meta(ge=0.05, le=60)] = 1.0


class Load(Struct, forbid_unknown_fields=True, frozen=True):
    """A source that a daemon in rehearsal plays through its own core, beside its traffic."""

    sources: Annotated[list[Name], Meta(min_length=1)]
    rules: Name
    speed: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    copies: Annotated[int, Meta(ge=1, le=1000)] = 1
    rate: Annotated[float, Meta(gt=0, le=1e6)] = 100.0  # requests a second at the most
    most_open: Count = 64  # and so many open at a time
    format: str | None = None
    zone: str | None = None
    report: str = ""  # where the counts go as JSON
    duty: Annotated[str, Meta(max_length=64)] | None = None  # of all daemons that name it, one plays


class File(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole configuration file."""

    classes: dict[str, Class]
    name: Name = "gateusher"
    listen: str | None = None  # the daemon's; the library needs none
    admin: str | None = None  # the operators' own address: ready, lameduck
    control: Annotated[str, Meta(min_length=1, max_length=4096)] | None = None  # the same on a Unix socket, mode 0600
    authority: Name = "origin.svc"  # Host where the library's caller or an HTTP/1.0 client brings none
    zone: str = ""  # where this process runs
    zones: list[str] = field(default_factory=list)
    tenants: list[str] = field(default_factory=list)
    answers: Literal["application", "ok"] = "application"
    reports: list[Literal["queue", "inflight", "util", "latency_ms", "qps", "eps"]] = field(default_factory=list)
    seed: Annotated[int, Meta(ge=0)] | None = None
    nodes: list[Node] = field(default_factory=list)
    discovery: Discovery | None = None
    limits: Limits = field(default_factory=Limits)
    cold: Cold = field(default_factory=Cold)
    log: Log = field(default_factory=Log)
    rehearsal: Rehearsal | None = None
    load: list[Load] = field(default_factory=list)
    membership: membership.Table | None = None
    duties: duties.Table | None = None


REPORT_NAMES = {
    "queue": "waiting",
    "inflight": "active",
    "util": "cpu",
    "latency_ms": "avg_ms",
    "qps": "rps",
    "eps": "err_rps",
}


# -- all faults at once


def _bare(kind: Any) -> Any:
    """A type without what may be left out: `X | None` is X."""
    if get_origin(kind) in (Union, types.UnionType):
        rest = [k for k in get_args(kind) if k is not type(None)]
        return rest[0] if len(rest) == 1 else kind
    return kind


def _check(value: Any, kind: Any, path: str, faults: list[str]) -> None:
    """Note each fault under `path`.  msgspec stops at the first, so each part is converted by itself."""
    kind = _bare(kind)
    origin = get_origin(kind)
    if isinstance(kind, type) and issubclass(kind, Struct) and isinstance(value, dict):
        known = {f.encode_name: f for f in msgspec.structs.fields(kind)}
        for key, item in value.items():
            where = f"{path}.{key}" if path else key
            if key in known:
                _check(item, known[key].type, where, faults)
            else:
                near = get_close_matches(key, known, 1)
                hint = f"did you mean {near[0]!r}?" if near else "allowed are " + ", ".join(known)
                faults.append(f"{where}: unknown; {hint}")
        for name, item in known.items():
            if item.required and name not in value:
                faults.append(f"{path}.{name}: missing" if path else f"{name}: missing")
    elif origin is list and isinstance(value, list):
        for i, item in enumerate(value):
            _check(item, get_args(kind)[0], f"{path}[{i}]", faults)
    elif origin is dict and isinstance(value, dict):
        for key, item in value.items():
            _check(item, get_args(kind)[1], f"{path}.{key}", faults)
    elif origin is Literal:
        if value not in get_args(kind):
            faults.append(f"{path}: one of {', '.join(get_args(kind))}, found {value!r}"[:300])
    else:
        try:
            msgspec.convert(value, kind)
        except msgspec.ValidationError as error:
            faults.append(f"{path}: {error}, found {value!r}"[:300])


def check_fields(data: dict[str, Any], kind: type[Struct], faults: list[str]) -> None:
    """Note every fault of a file's content against its model, each with its path."""
    _check(data, kind, "", faults)


def _address(value: Any, path: str, faults: list[str]) -> None:
    if isinstance(value, str):
        try:
            address(value)
        except ValueError as error:
            faults.append(f"{path}: an address ip:port, {error}")


def _table(value: Any) -> dict[str, Any]:
    return value if isinstance(value, dict) else {}


def _meaning(data: dict[str, Any], faults: list[str]) -> None:
    """What each field allows by itself and the whole doesn't.  What has the wrong type is passed over here."""
    classes = _table(data.get("classes"))
    if data.get("classes") == {}:
        faults.append("classes: at least one is wanted")
    for name, raw in classes.items():
        cls = _table(raw)
        if not name.isascii() or not name or any(c in "/? \t\r\n" for c in name):
            faults.append(f"classes.{name}: a name is ASCII without '/', '?' and spaces")
        aim, deadline, effect = cls.get("aim"), cls.get("deadline"), cls.get("effect")
        if isinstance(aim, int | float) and isinstance(deadline, int | float) and 0 < deadline < aim:
            faults.append(f"classes.{name}.deadline: no less than the aim, {aim:g}, found {deadline:g}")
        allowed = ALLOWED_METHODS.get(str(effect))
        methods = cls.get("methods")
        for i, method in enumerate(methods if allowed and isinstance(methods, list) else []):
            if allowed and str(method) not in allowed:
                faults.append(
                    f"classes.{name}.methods[{i}]: {' or '.join(sorted(allowed))} where the effect is "
                    f"{effect}, found {method!r}"
                )
        if effect == "keyed" and cls.get("window", 0) == 0:
            faults.append(f"classes.{name}.window: more than 0 where the effect is keyed, found 0")
    if bool(data.get("nodes")) is bool(data.get("discovery")):
        faults.append("nodes: either nodes or discovery is wanted, and not both")
    seen = set()
    nodes = data.get("nodes")
    for i, node in enumerate(map(_table, nodes if isinstance(nodes, list) else [])):
        _address(node.get("address"), f"nodes[{i}].address", faults)
        name = str(node.get("name", ""))
        if name in seen:
            faults.append(f"nodes[{i}].name: another node has this name, {name!r}")
        seen.add(name)
    _address(_table(data.get("discovery")).get("address"), "discovery.address", faults)
    if data.get("load") and "rehearsal" not in data:
        faults.append("load: only a daemon with a [rehearsal] table plays one, since its nodes are stand-ins then")
    loads = data.get("load")
    for i, load in enumerate(map(_table, loads if isinstance(loads, list) else [])):
        duty = load.get("duty")
        if duty is not None and "duties" not in data:
            faults.append(f"load[{i}].duty: wants a [duties] table, which says who votes on it")
        if isinstance(duty, str) and not duties.good_duty(f"load {duty}"):
            faults.append(f"load[{i}].duty: at most 59 bytes of printable text, found {duty!r}")
    if isinstance(table := data.get("membership"), dict):
        membership.faults_of(table, data.get("name", "gateusher"), faults, _address)
    if isinstance(table := data.get("duties"), dict):
        duties.faults_of(table, data, faults)
    _address(data.get("listen"), "listen", faults)
    _address(data.get("admin"), "admin", faults)


def _class(cls: Class) -> ClassSettings:
    late = cls.worth / 2 if cls.late_worth is None else cls.late_worth
    return ClassSettings(
        Effect(cls.effect),
        cls.aim * 1000,
        cls.deadline * 1000,
        cls.worth,
        late,
        DeduplicationScope(cls.group),
        cls.window * 1000,
    )


def parse(data: dict[str, Any]) -> Config:
    """A configuration from the file's content.  Raises ConfigError with every fault."""
    faults: list[str] = []
    check_fields(data, File, faults)
    _meaning(data, faults)
    if faults:
        raise ConfigError(*faults)
    file = msgspec.convert(data, File)
    limits, classes = file.limits, list(file.classes.values())
    zones = list(dict.fromkeys([*file.zones, file.zone, *(n.zone for n in file.nodes)]))
    kinds = list(dict.fromkeys([n.kind for n in file.nodes] or [""]))
    settings = Settings(
        classes=tuple(_class(c) for c in classes),
        zone=zones.index(file.zone),
        zones=len(zones),
        kinds=len(kinds),
        max_attempts=limits.max_attempts,
        retry_after=True,
        max_retry_after_ms=limits.max_retry_after * 1000,
        dial_timeout_ms=limits.connect_timeout * 1000,
        idle_ms=limits.idle * 1000,
        report_fields=tuple(REPORT_NAMES[f] for f in file.reports),
        capacity_shares_known=any(n.share != 1.0 for n in file.nodes),
        polls_list=file.discovery is not None,
        poll_within_ms=file.discovery.ask_within * 1000 if file.discovery else 10000.0,
        drain_grace_ms=2000.0,
        slow_start_share=file.cold.share,
        slow_start_ms=file.cold.warm_within * 1000,
        collapse_multiple=2.5,
        collapse_window_ms=1500.0,
    )
    members = membership.settings(file.membership, file.name) if file.membership else None
    if members and file.duties:
        members = members._replace(direct_messages=True)
    hosts = [
        {
            "host": n.name,
            "dial": n.address,
            "site": n.zone,
            "class": n.kind,
            "block": n.cell,
            "health": "Ready",
            "share": n.share,
            "born_ms": 0,
        }
        for n in file.nodes
    ]
    return Config(
        name=file.name,
        listen=address(file.listen) if file.listen else None,
        discovery=address(file.discovery.address) if file.discovery else None,
        seed=random.SystemRandom().getrandbits(64) if file.seed is None else file.seed,
        memory_mb=limits.memory_mb,
        sockets=limits.sockets,
        most_held=limits.most_held,
        known={"seq": 0, "whole": True, "hosts": hosts},
        settings=settings,
        names=Names(
            {n.encode(): i for i, n in enumerate(file.classes)},
            {n.encode(): i for i, n in enumerate(file.tenants)},
            {n: i for i, n in enumerate(zones)},
            {n: i for i, n in enumerate(kinds)},
        ),
        methods=tuple(
            frozenset(m.encode() for m in c.methods) if c.methods else usual_methods(Effect(c.effect))
            for c in classes
        ),
        serves=APPLICATION if file.answers == "application" else OK_ONLY,
        authority=file.authority,
        margin_s=limits.margin,
        drain_s=limits.drain,
        admin=address(file.admin) if file.admin else None,
        log=file.log.format,
        rehearsal_ms=file.rehearsal.every * 1000 if file.rehearsal else 0.0,
        loads=tuple(file.load),
        control=file.control,
        membership=members,
        duties=duties.settings(file.duties, members.name) if file.duties and members else None,
    )


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
