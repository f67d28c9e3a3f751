"""Settings, events that the balancer takes and actions that it returns.

Times are milliseconds.  Endpoint ids, request ids and keys are opaque numbers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Final, NamedTuple


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

    OK = 0  # a response that is delivered
    ERROR = 1  # another status, or no valid response; may have run
    REJECTED = 2  # the endpoint says that it did not run it
    TIMEOUT = 3  # no response in time after the last byte; may have run
    CONNECT_FAILED = 4  # failed before the last byte was written: never ran
    RESET = 5  # connection lost after the last byte; may have run
    CANCELLED = 6  # given up by this process after the last byte; may have run
    NOT_SENT = 7  # given up by this process before the last byte: never ran


# Outcomes that prove that the endpoint did not execute the request.
NEVER_EXECUTED: Final = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


class EndpointState(IntEnum):
    """An endpoint's state in the list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    """The kind of an endpoint list update."""

    CACHED = 0  # the list known before discovery answered; complete
    CHANGES = 1  # a delta
    FAILED = 2  # no call is open any more
    COMPLETE = 3  # a snapshot


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """One class of requests."""

    effect: Effect
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    late_weight: float = 0.0
    scope: DeduplicationScope = DeduplicationScope.ALL
    window_ms: float = 0.0  # how long a keyed request's repeats are dropped
    stream: bool = False  # no decision rests on it
    latency_objective_stretch: float = 0.0  # ms added to the objective for each unit of a request's cost hint


@dataclass(slots=True, frozen=True)
class Prices:
    """Cost of each unit, in points of the result.

    `probe`, `waste`, `connection` and `late_fail` are in the simulator's protocol; no decision rests on these.
    """

    cross_zone: float = 0.0
    probe: float = 0.0
    waste: float = 0.0
    handshake: float = 0.0
    connection: float = 0.0
    late_fail: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of a balancer.

    In the simulator's protocol or used by other layers; no decision rests on these: `index`, `clients`, `zones`,
    `quotas_per_s`, `over_quota_weight`, `may_cancel`, `may_duplicate`, `retry_after`, `weight_by_work`,
    `drain_grace_ms`, `collapse_multiple`, `collapse_window_ms`.
    """

    classes: tuple[ClassSettings, ...]
    index: int = 0
    clients: int = 1
    zone: int = 0  # this client's own
    zones: int = 1
    kinds: int = 1
    quotas_per_s: tuple[float, ...] = ()
    over_quota_weight: float = 1.0
    prices: Prices = Prices()
    tick_ms: float = 1.0  # resolution of the clock that drives the policy
    max_attempts: int = 3  # of one request, the first included
    may_probe: bool = False  # health checks are allowed
    may_cancel: bool = False
    may_duplicate: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0  # the longest Retry-After of a rejection
    dial_timeout_ms: float = 250.0
    idle_ms: float = 15000.0  # after this an endpoint closes an idle connection
    report_fields: tuple[str, ...] = ()  # names of a load report's fields, in its order
    reports_pulled: bool = False  # load reports come with health checks
    capacity_shares_known: bool = False  # the endpoint list tells them
    caches_by_key: bool = False  # endpoints cache by affinity key
    weight_by_work: bool = False
    polls_list: bool = False  # the policy asks for the endpoint list
    poll_within_ms: float = 10000.0  # the list must be polled again within this time
    drain_grace_ms: float = 0.0
    slow_start_share: float = 1.0  # part of its capacity that a just started endpoint has
    slow_start_ms: float = 0.0  # from its start until its full capacity
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
    tenant: int = 0  # no decision rests on it
    cost_hint_ms: float = 0.0
    is_retry: bool = False  # no decision rests on it
    is_write: bool = False  # no decision rests on it
    upload_timeout_ms: float = 0.0  # time allowed for its body; `timeout_ms` counts from the last byte


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
    """The first bytes of an attempt's response have come.  Only the simulator sends it."""

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
    """New settings.

    A pending request keeps its class index, whose slot is not reused while it is pending; `never_repeat` and the
    smaller `max_attempts` apply to it too.
    """

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
    """The final answer where the request may have run and a repeat may do harm."""

    request: int


class Cancel(NamedTuple):
    """Give up an attempt.  Part of the simulator's protocol; this policy never returns it."""

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

    enable: bool = True  # False is part of the simulator's protocol; this policy never returns it


Action = Send | Reject | Fail | Cancel | SetTimer | HealthCheck | CloseIdleConnections | WatchEndpointList
