"""The records that one client keeps: one per endpoint and one per pending request.

All components share these records.  A comment above each group of fields names the module that owns them; outlier
detection also writes `awaiting_response` and `silent_since_ms`, and feedback `connect_failed`.  All times are
milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .interface import NO_RETRY, Endpoint, RetryRules

LONG_AGO_MS = -1e12


@dataclass(slots=True, eq=False)
class ClassHealth:
    """Failures of one request class on an endpoint that serves other classes."""

    consecutive_failures: int = 0
    last_failed_sent_at_ms: float = LONG_AGO_MS  # send time of the failed attempt that was sent last
    ejected_at_ms: float = LONG_AGO_MS
    ejected_until_ms: float = 0.0


@dataclass(slots=True, eq=False)
class EndpointRecord:
    """The state that one client keeps of one endpoint."""

    endpoint_id: int
    entry: Endpoint  # its latest entry in the endpoint list
    # control_set.py
    ready: bool = False
    inclusion_probability: float = 0.0
    bucket: int = 0
    bucket_position: int = 0
    # load_estimates.py
    reported_load: float = 0.0
    reported_at_ms: float = LONG_AGO_MS
    slowness: float = 1.0  # service time relative to the mean of its kind
    slowness_at_ms: float = 0.0
    # requests.py
    in_flight: int = 0  # attempts of this client in flight there
    awaiting_response: bool = False  # an attempt was sent since its last response
    silent_since_ms: float = 0.0  # start of the time without a response to that attempt
    connection_used_at_ms: float = LONG_AGO_MS
    # outlier_detection.py
    last_served_sent_at_ms: float = LONG_AGO_MS  # send time of the served attempt that was sent last
    last_response_at_ms: float = LONG_AGO_MS
    consecutive_failures: int = 0
    last_failure_at_ms: float = LONG_AGO_MS
    first_failure_at_ms: float = LONG_AGO_MS  # time of the first of the consecutive failures
    class_health: dict[int, ClassHealth] = field(
        default_factory=dict
    )  # by class index, for the classes with failures there
    connect_failed: bool = False  # whether the latest failure was a failed connection
    ejected_until_ms: float = 0.0
    # admission.py
    last_timed_out: bool = False  # whether the latest of the outcomes OK, REJECTED and TIMEOUT was TIMEOUT
    # slow_start.py
    slow_start_from_ms: float = 0.0
    slow_start_until_ms: float = LONG_AGO_MS
    slow_start_credit: float = 0.0  # requests that may still be sent to it; negative: none
    slow_start_credit_at_ms: float = 0.0


class SentAttempt(NamedTuple):
    """One attempt of a request."""

    endpoint: EndpointRecord
    entry: Endpoint  # of the endpoint when it was sent; the list may move the endpoint later
    sent_at_ms: float
    expires_ms: float  # when it times out
    expected_load: float  # estimated requests ahead of it plus itself, when it was sent


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request without a final response, or with attempts in flight."""

    request_id: int
    class_index: int
    affinity_key: int
    started_at_ms: float
    deadline_ms: float
    rules: RetryRules = NO_RETRY
    time_limit_ms: float = 0.0  # time from the last byte of its body to its deadline
    is_upload: bool = False  # its body was still arriving when it was submitted
    attempts: list[SentAttempt] = field(default_factory=list)
    in_flight: int = 0  # number of attempts that have not ended
    may_have_run: bool = False
    ended: bool = False
    round_start: int = 0  # number of attempts before the current round, in which each endpoint is used once
    attempts_at_backoff: int = 0  # number of attempts made before its latest backoff
    first_execution: SentAttempt | None = None  # the first attempt of a keyed request that may have run
