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
