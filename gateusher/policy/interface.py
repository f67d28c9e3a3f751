"""What the balancer is told and what it answers: settings, events and actions.

Times are milliseconds.  Endpoint ids, request ids and keys are opaque numbers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import NamedTuple


class Effect(Enum):
    """What running a request twice would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which endpoints drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


class State(IntEnum):
    """An endpoint's state in the list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """What a piece of list news is."""

    CACHED = 0
    CHANGES = 1
    FAILED = 2
    FULL = 3


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """One class of requests."""

    effect: Effect
    aim_ms: float
    deadline_ms: float
    worth: float
    late_worth: float = 0.0
    scope: Scope = Scope.ALL
    window_ms: float = 0.0
    stream: bool = False
    aim_stretch: float = 0.0


@dataclass(slots=True, frozen=True)
class Prices:
    """Points taken off the result for each unit."""

    cross_zone: float = 0.0
    probe: float = 0.0
    waste: float = 0.0
    handshake: float = 0.0
    connection: float = 0.0
    late_fail: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """All that a balancer is told at its start."""

    classes: tuple[ClassSettings, ...]
    index: int = 0
    clients: int = 1
    zone: int = 0
    zones: int = 1
    kinds: int = 1
    quotas_per_s: tuple[float, ...] = ()
    over_share_worth: float = 1.0
    prices: Prices = Prices()
    tick_ms: float = 1.0
    max_attempts: int = 3
    may_probe: bool = False
    may_cancel: bool = False
    may_duplicate: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    dial_timeout_ms: float = 250.0
    idle_ms: float = 15000.0
    report_fields: tuple[str, ...] = ()
    reports_pulled: bool = False
    share_known: bool = False
    warm_keys: bool = False
    by_work: bool = False
    must_ask: bool = False
    must_ask_in_ms: float = 10000.0
    drain_grace_ms: float = 0.0
    cold_share: float = 1.0
    warm_within_ms: float = 0.0
    fall_multiple: float = 1.0
    fall_ms: float = 0.0


class Endpoint(NamedTuple):
    """A line of the list."""

    endpoint: int
    state: State
    zone: int
    cell: int
    kind: int
    share: float
    booted_ms: float


class ListNews(NamedTuple):
    kind: ListKind
    version: int
    entries: tuple[Endpoint, ...]


class Request(NamedTuple):
    request: int
    cls: int
    patience_ms: float
    key: int = 0
    tenant: int = 0
    work_ms: float = 0.0
    repeat: bool = False
    write: bool = False
    upload_ms: float = 0.0  # its body may take so long yet; its patience counts from the last byte


class AttemptEnded(NamedTuple):
    request: int
    attempt: int
    endpoint: int
    elapsed_ms: float
    outcome: Outcome
    closed: bool
    report: tuple[float, ...] = ()


class StreamBegan(NamedTuple):
    request: int
    attempt: int
    endpoint: int
    elapsed_ms: float


class Departed(NamedTuple):
    request: int


class Uploaded(NamedTuple):
    """The last byte of a request's body has come: its time begins."""

    request: int


class TimerFired(NamedTuple):
    token: int


class Probed(NamedTuple):
    endpoint: int
    elapsed_ms: float
    outcome: Outcome
    report: tuple[float, ...] = ()


class Woke(NamedTuple):
    """The process stood still for so long: its machine was paused, or something else held its only thread."""

    gap_ms: float


class Heard(NamedTuple):
    sender: int
    data: bytes


class Retuned(NamedTuple):
    """Other settings from now on.  Requests in hand keep their class, which keeps its index and what it says."""

    settings: Settings  # all classes, also those that only open requests still have
    fresh: tuple[tuple[int, int | None], ...]  # indexes that mean another class now, and the one each follows
    live: tuple[int, ...]  # those that requests still come with
    once: frozenset[int] = frozenset()  # those of which none may be repeated, as the new word is stricter


class Warned(NamedTuple):
    """Another sidecar's newer list says that a server drains or is gone, or (READY) when it was started anew."""

    endpoint: int
    state: State
    version: int  # of that list
    booted_ms: float = 0.0


Event = (
    ListNews
    | Request
    | AttemptEnded
    | StreamBegan
    | Departed
    | TimerFired
    | Probed
    | Heard
    | Retuned
    | Uploaded
    | Woke
    | Warned
)


class Send(NamedTuple):
    """The next attempt.  It is given up at `expires_ms`, but while its answer is coming only at `coming_ms`."""

    request: int
    endpoint: int
    expires_ms: float
    coming_ms: float = 0.0  # 0: no later than `expires_ms`; the simulator's wire doesn't know it


class Refuse(NamedTuple):
    request: int
    retry_after_ms: float = 0.0


class Fail(NamedTuple):
    request: int


class Cancel(NamedTuple):
    request: int
    attempt: int


class SetTimer(NamedTuple):
    token: int
    delay_ms: float


class Probe(NamedTuple):
    endpoint: int


class CloseIdle(NamedTuple):
    endpoint: int


class Watch(NamedTuple):
    enable: bool = True


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | CloseIdle | Watch
