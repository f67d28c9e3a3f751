"""What the balancer is told and what it answers: settings, events and actions.

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
    """What a piece of list news is."""

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
    kind: UpdateKind
    version: int
    entries: tuple[Endpoint, ...]


class Request(NamedTuple):
    request: int
    class_index: int
    timeout_ms: float
    affinity_key: int = 0
    tenant: int = 0
    cost_hint_ms: float = 0.0
    is_retry: bool = False
    is_write: bool = False
    upload_timeout_ms: float = 0.0  # its body may take so long yet; its patience counts from the last byte


class AttemptEnded(NamedTuple):
    request: int
    attempt: int
    endpoint: int
    elapsed_ms: float
    outcome: Outcome
    closed: bool
    report: tuple[float, ...] = ()


class ResponseStarted(NamedTuple):
    request: int
    attempt: int
    endpoint: int
    elapsed_ms: float


class ClientDisconnected(NamedTuple):
    request: int


class UploadCompleted(NamedTuple):
    """The last byte of a request's body has come: its time begins."""

    request: int


class TimerFired(NamedTuple):
    token: int


class HealthCheckEnded(NamedTuple):
    endpoint: int
    elapsed_ms: float
    outcome: Outcome
    report: tuple[float, ...] = ()


class ProcessResumed(NamedTuple):
    """The process stood still for so long: its machine was paused, or something else held its only thread."""

    gap_ms: float


class PeerMessage(NamedTuple):
    sender: int
    data: bytes


class SettingsChanged(NamedTuple):
    """Other settings from now on.  Requests in hand keep their class, which keeps its index and what it says."""

    settings: Settings  # all classes, also those that only open requests still have
    replaced_classes: tuple[
        tuple[int, int | None], ...
    ]  # indexes that mean another class now, and the one each follows
    live_classes: tuple[int, ...]  # those that requests still come with
    never_repeat: frozenset[int] = frozenset()  # those of which none may be repeated, as the new word is stricter


class GossipHint(NamedTuple):
    """Another sidecar's newer list says that a server drains or is gone, or (READY) when it was started anew."""

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


class HealthCheck(NamedTuple):
    endpoint: int


class CloseIdleConnections(NamedTuple):
    endpoint: int


class WatchEndpointList(NamedTuple):
    enable: bool = True


Action = Send | Reject | Fail | Cancel | SetTimer | HealthCheck | CloseIdleConnections | WatchEndpointList
