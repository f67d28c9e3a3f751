"""Settings, events that the balancer takes and actions that it returns.

Times are milliseconds.  Endpoint ids, request ids and keys are opaque numbers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import NamedTuple


class Effect(Enum):
    """What running a request twice would do."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Which endpoints drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 0
    ERROR = 1
    REJECTED = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


class EndpointState(IntEnum):
    """An endpoint's state in the list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    """The kind of an endpoint list update."""

    CACHED = 0
    CHANGES = 1
    FAILED = 2
    COMPLETE = 3


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """One class of requests."""

    effect: Effect
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    late_weight: float = 0.0
    scope: DeduplicationScope = DeduplicationScope.ALL
    window_ms: float = 0.0
    stream: bool = False
    latency_objective_stretch: float = 0.0


@dataclass(slots=True, frozen=True)
class Prices:
    """Cost of each unit, in points of the result."""

    cross_zone: float = 0.0
    probe: float = 0.0
    waste: float = 0.0
    handshake: float = 0.0
    connection: float = 0.0
    late_fail: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of a balancer."""

    classes: tuple[ClassSettings, ...]
    index: int = 0
    clients: int = 1
    zone: int = 0
    zones: int = 1
    kinds: int = 1
    quotas_per_s: tuple[float, ...] = ()
    over_quota_weight: float = 1.0
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
    capacity_shares_known: bool = False
    caches_by_key: bool = False
    weight_by_work: bool = False
    polls_list: bool = False
    poll_within_ms: float = 10000.0
    drain_grace_ms: float = 0.0
    slow_start_share: float = 1.0
    slow_start_ms: float = 0.0
    collapse_multiple: float = 1.0
    collapse_window_ms: float = 0.0


class Endpoint(NamedTuple):
    """A line of the list."""

    endpoint: int
    state: EndpointState
    zone: int
    cell: int
    kind: int
    capacity_share: float
    started_ms: float


class EndpointListUpdate(NamedTuple):
    """The endpoint list as a whole, its changed entries, or the failure of its watch."""

    kind: UpdateKind
    version: int
    entries: tuple[Endpoint, ...]


class Request(NamedTuple):
    """A new request."""

    request: int
    class_index: int
    timeout_ms: float
    affinity_key: int = 0
    tenant: int = 0
    cost_hint_ms: float = 0.0
    is_retry: bool = False
    is_write: bool = False
    upload_timeout_ms: float = 0.0  # its body may take so long; `timeout_ms` counts from the last byte


class AttemptEnded(NamedTuple):
    """An attempt ended; `closed` where the request has its final answer, `report` is the endpoint's load report."""

    request: int
    attempt: int
    endpoint: int
    elapsed_ms: float
    outcome: Outcome
    closed: bool
    report: tuple[float, ...] = ()


class ResponseStarted(NamedTuple):
    """The first bytes of an attempt's response have come."""

    request: int
    attempt: int
    endpoint: int
    elapsed_ms: float


class ClientDisconnected(NamedTuple):
    """The client of a request doesn't wait for its answer any more."""

    request: int


class UploadCompleted(NamedTuple):
    """The last byte of a request's body has come: its time begins."""

    request: int


class TimerFired(NamedTuple):
    """The timer of a `SetTimer` action fired."""

    token: int


class HealthCheckEnded(NamedTuple):
    """A health check ended, with the endpoint's load report where it has one."""

    endpoint: int
    elapsed_ms: float
    outcome: Outcome
    report: tuple[float, ...] = ()


class ProcessResumed(NamedTuple):
    """The process stood still for `gap_ms`: its machine was paused, or its event loop was blocked."""

    gap_ms: float


class PeerMessage(NamedTuple):
    """Bytes from another balancer; no decision rests on them."""

    sender: int
    data: bytes


class SettingsChanged(NamedTuple):
    """Other settings from now on.  Pending requests keep their class index and that class's settings."""

    settings: Settings  # all classes, also those that only pending requests have
    # Indexes that mean another class now, each with the index of its predecessor.
    replaced_classes: tuple[tuple[int, int | None], ...]
    live_classes: tuple[int, ...]  # classes of requests that still come
    never_repeat: frozenset[int] = frozenset()  # classes that the new settings forbid to repeat


class GossipHint(NamedTuple):
    """By a peer's newer list an endpoint is draining or removed, or (READY) was started anew at `started_ms`."""

    endpoint: int
    state: EndpointState
    version: int  # of that list
    started_ms: float = 0.0


Event = (
    EndpointListUpdate
    | Request
    | AttemptEnded
    | ResponseStarted
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | PeerMessage
    | SettingsChanged
    | UploadCompleted
    | ProcessResumed
    | GossipHint
)


class Send(NamedTuple):
    """The next attempt.  It is given up at `expires_ms`, or at `response_deadline_ms` while its answer is coming."""

    request: int
    endpoint: int
    expires_ms: float
    response_deadline_ms: float = 0.0  # 0: no later than `expires_ms`; the simulator's wire doesn't know it


class Reject(NamedTuple):
    """The final answer: a repeat does no harm, and may succeed after `retry_after_ms`."""

    request: int
    retry_after_ms: float = 0.0


class Fail(NamedTuple):
    """The final answer where the request may have executed and a repeat may do harm."""

    request: int


class Cancel(NamedTuple):
    """Give up an attempt."""

    request: int
    attempt: int


class SetTimer(NamedTuple):
    """Ask for a `TimerFired` with this token after `delay_ms`."""

    token: int
    delay_ms: float


class HealthCheck(NamedTuple):
    """Check an endpoint's health and pull its load report."""

    endpoint: int


class CloseIdleConnections(NamedTuple):
    """Close the idle connections to an endpoint."""

    endpoint: int


class WatchEndpointList(NamedTuple):
    """Poll the endpoint list and watch it."""

    enable: bool = True


Action = Send | Reject | Fail | Cancel | SetTimer | HealthCheck | CloseIdleConnections | WatchEndpointList
