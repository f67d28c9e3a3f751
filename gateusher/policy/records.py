"""What one client remembers: a record per endpoint and one per pending request.

The parts of the policy share these records; each group names the part that owns its fields; outlier detection also
writes `awaiting_response` and `silent_since_ms`, and feedback `connect_failed`.  All times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .interface import Endpoint

LONG_AGO_MS = -1e12


@dataclass(slots=True, eq=False)
class ClassHealth:
    """Failures of one class of requests on an endpoint that serves others."""

    consecutive_failures: int = 0
    last_failed_sent_at_ms: float = LONG_AGO_MS  # when the latest of the failed attempts was sent
    ejected_at_ms: float = LONG_AGO_MS
    ejected_until_ms: float = 0.0


@dataclass(slots=True, eq=False)
class EndpointRecord:
    """What one client knows of one endpoint."""

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
    slowness: float = 1.0  # service time against the mean of its kind
    slowness_at_ms: float = 0.0
    # requests.py
    in_flight: int = 0  # own attempts there
    awaiting_response: bool = False  # an attempt was sent since its last response
    silent_since_ms: float = 0.0  # since when it has not responded to that
    connection_used_at_ms: float = LONG_AGO_MS
    # outlier_detection.py
    last_served_sent_at_ms: float = LONG_AGO_MS  # when the latest of the served attempts was sent
    last_response_at_ms: float = LONG_AGO_MS
    consecutive_failures: int = 0
    last_failure_at_ms: float = LONG_AGO_MS
    first_failure_at_ms: float = LONG_AGO_MS  # the first of the consecutive ones
    class_health: dict[int, ClassHealth] = field(default_factory=dict)  # the classes that fail there
    connect_failed: bool = False  # the latest failure was a failed connection
    ejected_until_ms: float = 0.0
    # admission.py
    last_timed_out: bool = False  # the latest OK, REJECTED or TIMEOUT there was a TIMEOUT
    # slow_start.py
    slow_start_from_ms: float = 0.0
    slow_start_until_ms: float = LONG_AGO_MS
    slow_start_credit: float = 0.0  # requests that it may still be sent
    slow_start_credit_at_ms: float = 0.0


class SentAttempt(NamedTuple):
    """One attempt of a request."""

    endpoint: EndpointRecord
    sent_at_ms: float
    expected_load: float  # requests ahead of it plus itself, as estimated when it was sent


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request whose final answer, or whose last attempt's end, is outstanding."""

    request_id: int
    class_index: int
    affinity_key: int
    started_at_ms: float
    deadline_ms: float
    max_attempts: int = 1
    time_limit_ms: float = 0.0  # from the last byte of its body to its deadline
    attempts: list[SentAttempt] = field(default_factory=list)
    in_flight: int = 0  # attempts that have not ended
    may_have_run: bool = False
    ended: bool = False
    round_start: int = 0  # attempts before the present round, in which each endpoint is used once
    attempts_at_backoff: int = 0  # attempts that were made before its latest backoff
    first_execution_endpoint: EndpointRecord | None = None  # where a keyed request may first have run
    first_execution_sent_ms: float = 0.0  # when it was sent there
