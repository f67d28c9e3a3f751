"""The data model of the TOML configuration file.  Times in the file are seconds."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from . import duties, membership
from .membership import Seconds

Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Share = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]
Method = Annotated[str, Meta(pattern="^[A-Z]{1,20}$")]


class Class(Struct, forbid_unknown_fields=True, frozen=True):
    """A request class.  `effect`: safe is idempotent, keyed is deduplicated by key, unsafe must not run twice."""

    effect: Literal["safe", "keyed", "unsafe"]
    aim: Seconds  # latency objective
    deadline: Seconds  # default for a request without its own deadline
    worth: Annotated[float, Meta(gt=0, le=1e6)] = 1.0
    late_worth: Annotated[float, Meta(ge=0, le=1e6)] | None = None  # weight after the aim; default: half of `worth`
    group: Literal["all", "zone", "cell"] = "all"  # the nodes that share deduplication of keyed requests
    window: Annotated[float, Meta(ge=0, le=86400)] = 0.0  # how long nodes deduplicate a keyed request
    methods: list[Method] | None = None


class Node(Struct, forbid_unknown_fields=True, frozen=True):
    """An endpoint of a static list in the file."""

    name: Name
    address: str
    zone: str = ""
    kind: str = ""
    cell: Annotated[int, Meta(ge=0, le=65535)] = 0
    share: Annotated[float, Meta(gt=0, le=1e6)] = 1.0


class Discovery(Struct, forbid_unknown_fields=True, frozen=True):
    """The discovery service to get the endpoint list from, instead of `nodes`."""

    address: str
    ask_within: Seconds = 10.0  # longest interval between two polls or watches


class Limits(Struct, forbid_unknown_fields=True, frozen=True):
    """Resource limits of the process, and its time limits in seconds."""

    memory_mb: Annotated[float, Meta(ge=1, le=1e6)] = 192.0
    sockets: Annotated[int, Meta(ge=80, le=1_000_000)] = 1024
    most_held: Count = 20000
    max_attempts: Annotated[int, Meta(ge=1, le=20)] = 4
    max_retry_after: Seconds = 2.0
    connect_timeout: Seconds = 0.25
    idle: Seconds = 15.0  # after which a node closes an idle connection
    drain: Seconds = 3.4  # how long a graceful shutdown waits for open requests
    margin: Annotated[float, Meta(ge=0, le=60)] = 0.01  # by how much an inherited deadline is shortened


class Cold(Struct, forbid_unknown_fields=True, frozen=True):
    """Slow start: the capacity share of a node that has just started, and the time until it has warmed up."""

    share: Share = 1.0
    warm_within: Annotated[float, Meta(ge=0, le=86400)] = 0.0


class Log(Struct, forbid_unknown_fields=True, frozen=True):
    """The format of the daemon's log on stderr."""

    format: Literal["text", "json"] = "text"


class Rehearsal(Struct, forbid_unknown_fields=True, frozen=True):
    """Rehearsal mode: every endpoint must prove that it is a stand-in, once per interval of `every` seconds."""

    every: Annotated[float, Meta(ge=0.05, le=60)] = 1.0


class Load(Struct, forbid_unknown_fields=True, frozen=True):
    """A load source that a daemon in rehearsal mode replays through its own core, in addition to its traffic."""

    sources: Annotated[list[Name], Meta(min_length=1)]
    rules: Name
    speed: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    copies: Annotated[int, Meta(ge=1, le=1000)] = 1
    rate: Annotated[float, Meta(gt=0, le=1e6)] = 100.0  # maximum requests per second
    most_open: Count = 64  # maximum concurrent requests
    format: str | None = None
    zone: str | None = None
    report: str = ""  # path of the JSON file for the counts
    duty: Annotated[str, Meta(max_length=64)] | None = None  # singleton task: its lease holder replays the load


class File(Struct, forbid_unknown_fields=True, frozen=True):
    """The complete configuration file."""

    classes: dict[str, Class]
    name: Name = "gateusher"
    listen: str | None = None  # address of the daemon's listener; unused in the library
    admin: str | None = None  # address of the operators' interface: ready, lameduck
    control: Annotated[str, Meta(min_length=1, max_length=4096)] | None = None  # Unix socket for it, mode 0600
    authority: Name = "origin.svc"  # Host header for library and HTTP/1.0 requests without one
    zone: str = ""  # zone of this process
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
