"""Settings, events that the balancer handles, and actions that it returns.

Times are milliseconds.  Endpoint ids, request ids and affinity keys are opaque numbers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Final, NamedTuple


class Effect(Enum):
    """The effect of running a request twice."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """The endpoints that deduplicate the retries of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 0  # the response is delivered
    ERROR = 1  # an error status or an invalid response; may have run
    REJECTED = 2  # the endpoint says that it did not run the request
    TIMEOUT = 3  # no response in time after the last byte was written; may have run
    CONNECT_FAILED = 4  # failed before the last byte was written: never ran
    RESET = 5  # connection lost after the last byte was written; may have run
    CANCELLED = 6  # canceled by this process after the last byte was written; may have run
    NOT_SENT = 7  # canceled by this process before the last byte was written: never ran


# Outcomes after which the endpoint is known not to have executed the request.
NEVER_EXECUTED: Final = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


class EndpointState(IntEnum):
    """An endpoint's state in the list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    """The kind of an endpoint list update."""

    CACHED = 0  # the complete list cached from before discovery responded
    CHANGES = 1  # a delta
    FAILED = 2  # the watch has ended
    COMPLETE = 3  # a snapshot


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """Settings of one request class."""

    effect: Effect
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    late_weight: float = 0.0
    scope: DeduplicationScope = DeduplicationScope.ALL
    window_ms: float = 0.0  # how long endpoints deduplicate the retries of a keyed request
    stream: bool = False  # not used in decisions
    latency_objective_stretch: float = 0.0  # ms added to the objective per ms of a request's cost hint


class RetryRules(NamedTuple):
    """The rules that bind the retries of one request."""

    effect: Effect
    scope: DeduplicationScope  # where a keyed request that may have run may be retried
    window_ms: float  # how long endpoints deduplicate the retries of a keyed request
    max_attempts: int  # attempts including the first

    @classmethod
    def of_class(cls, settings: ClassSettings, max_attempts: int) -> RetryRules:
        """Return the rules of a class where requests have at most `max_attempts` attempts."""
        return cls(settings.effect, settings.scope, settings.window_ms, max_attempts)

    def limit_attempts(self, max_attempts: int) -> RetryRules:
        """Return these rules with at most `max_attempts`."""
        return self._replace(max_attempts=min(self.max_attempts, max_attempts))


NO_RETRY: Final = RetryRules(Effect.NOT_IDEMPOTENT, DeduplicationScope.CELL, window_ms=0.0, max_attempts=1)


@dataclass(slots=True, frozen=True)
class Prices:
    """The simulator's price of each kind of cost, in points of its score.

    `probe`, `waste`, `connection` and `late_fail` are part of the simulator's protocol and not used in decisions.
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

    Part of the simulator's protocol or used by other layers, but not used in decisions: `index`, `clients`, `zones`,
    `quotas_per_s`, `over_quota_weight`, `may_cancel`, `may_duplicate`, `retry_after`, `weight_by_work`,
    `drain_grace_ms`, `collapse_multiple`, `collapse_window_ms`.
    """

    classes: tuple[ClassSettings, ...]
    index: int = 0
    clients: int = 1
    zone: int = 0  # the zone of this client
    zones: int = 1
    kinds: int = 1
    quotas_per_s: tuple[float, ...] = ()
    over_quota_weight: float = 1.0
    prices: Prices = Prices()
    tick_ms: float = 1.0  # resolution of the clock that drives the policy
    max_attempts: int = 3  # attempts of one request, including the first
    may_probe: bool = False  # whether health checks are allowed
    may_cancel: bool = False
    may_duplicate: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0  # maximum Retry-After of a rejection
    dial_timeout_ms: float = 250.0
    idle_ms: float = 15000.0  # endpoints close a connection that has been idle for this long
    report_fields: tuple[str, ...] = ()  # names of the fields of a load report, in order
    reports_pulled: bool = False  # whether load reports are pulled by health checks
    capacity_shares_known: bool = False  # whether the endpoint list contains capacity shares
    caches_by_key: bool = False  # whether endpoints cache by affinity key
    weight_by_work: bool = False
    polls_list: bool = False  # whether the policy polls the endpoint list
    poll_within_ms: float = 10000.0  # maximum time until the list is polled again
    drain_grace_ms: float = 0.0
    slow_start_share: float = 1.0  # share of its full capacity that an endpoint has at its start
    slow_start_ms: float = 0.0  # time from the start of an endpoint until it has its full capacity
    collapse_multiple: float = 1.0
    collapse_window_ms: float = 0.0


class Endpoint(NamedTuple):
    """An entry of the endpoint list."""

    endpoint: int
    state: EndpointState
    zone: int
    cell: int
    kind: int
    capacity_share: float
    started_ms: float


class EndpointListUpdate(NamedTuple):
    """The complete endpoint list, its changed entries, or the failure of its watch."""

    kind: UpdateKind
    version: int
    entries: tuple[Endpoint, ...]


class Request(NamedTuple):
    """A new request."""

    request: int
    class_index: int
    timeout_ms: float
    affinity_key: int = 0
    tenant: int = 0  # not used in decisions
    cost_hint_ms: float = 0.0
    is_retry: bool = False  # not used in decisions
    is_write: bool = False  # not used in decisions
    upload_timeout_ms: float = 0.0  # time allowed for the body upload; `timeout_ms` counts from its last byte
    rules: RetryRules | None = None  # None: those of its class, and the settings' attempt limit


class AttemptEnded(NamedTuple):
    """An attempt ended.  `closed`: the request has its final response.  `report`: the endpoint's load report."""

    request: int
    attempt: int
    endpoint: int
    elapsed_ms: float
    outcome: Outcome
    closed: bool
    report: tuple[float, ...] = ()


class ResponseStarted(NamedTuple):
    """The first bytes of an attempt's response arrived.  Only the simulator sends this event."""

    request: int
    attempt: int
    endpoint: int
    elapsed_ms: float


class ResponseStalled(NamedTuple):
    """An attempt's time is over, and its response has begun and stopped.  The attempt stays in flight.

    Only the engine sends this event.
    """

    request: int
    attempt: int


class ClientDisconnected(NamedTuple):
    """The client of a request disconnected and no longer waits for the response."""

    request: int


class UploadCompleted(NamedTuple):
    """The last byte of a request's body arrived: its timeout starts."""

    request: int


class TimerFired(NamedTuple):
    """The timer of a `SetTimer` action fired."""

    token: int


class HealthCheckEnded(NamedTuple):
    """A health check ended.  `report`: the endpoint's load report, if any."""

    endpoint: int
    elapsed_ms: float
    outcome: Outcome
    report: tuple[float, ...] = ()


class ProcessResumed(NamedTuple):
    """The process resumed after `gap_ms` in which its machine was paused or its event loop blocked."""

    gap_ms: float


class PeerMessage(NamedTuple):
    """Bytes from another balancer; not used in decisions."""

    sender: int
    data: bytes


class SettingsChanged(NamedTuple):
    """New settings.

    A pending request keeps its class index, which is not reused while the request is pending.  `never_repeat` and the
    smallest `max_attempts` since its arrival apply to it too.
    """

    settings: Settings  # includes the classes that only pending requests still have
    # Indexes that now refer to another class, each with the index of the predecessor, if any.
    replaced_classes: tuple[tuple[int, int | None], ...]
    live_classes: tuple[int, ...]  # classes that new requests may have
    never_repeat: frozenset[int] = frozenset()  # classes whose requests the new settings forbid to retry


class GossipHint(NamedTuple):
    """In a peer's list an endpoint is draining or removed or, if READY, was restarted at `started_ms`."""

    endpoint: int
    state: EndpointState
    version: int  # of the peer's list
    started_ms: float = 0.0


Event = (
    EndpointListUpdate
    | Request
    | AttemptEnded
    | ResponseStarted
    | ResponseStalled
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
    """Send the next attempt.  It times out at `expires_ms` unless its response has begun by then.

    `response_deadline_ms`: when the policy gives the request up; the engine goes by the client's deadline.  It
    is not part of the simulator's protocol.
    """

    request: int
    endpoint: int
    expires_ms: float
    response_deadline_ms: float = 0.0


class Reject(NamedTuple):
    """Reject the request: a retry by the client is safe, and may succeed after `retry_after_ms`."""

    request: int
    retry_after_ms: float = 0.0


class Fail(NamedTuple):
    """Fail a request that may have run, where a retry by the client may be unsafe."""

    request: int


class Cancel(NamedTuple):
    """Cancel an attempt.  Part of the simulator's protocol; this policy never returns it."""

    request: int
    attempt: int


HOLD_TIMER_OFFSET = 1  # the timer token of a held request is its id plus this; other tokens are lower


class SetTimer(NamedTuple):
    """Request a `TimerFired` event with this token after `delay_ms`.

    A held request has one timer, of no use once the request has ended.
    """

    token: int
    delay_ms: float

    @property
    def held_request(self) -> int | None:
        """The request that waits for this timer, if one does."""
        return self.token - HOLD_TIMER_OFFSET if self.token >= HOLD_TIMER_OFFSET else None


class HealthCheck(NamedTuple):
    """Send a health check to an endpoint, whose response may contain a load report."""

    endpoint: int


class CloseIdleConnections(NamedTuple):
    """Close the idle connections to an endpoint."""

    endpoint: int


class WatchEndpointList(NamedTuple):
    """Poll the endpoint list and watch it."""

    enable: bool = True  # False is part of the simulator's protocol; this policy never returns it


Action = Send | Reject | Fail | Cancel | SetTimer | HealthCheck | CloseIdleConnections | WatchEndpointList
