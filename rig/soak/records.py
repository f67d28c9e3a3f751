"""Observations of a soak run: one record per request, arrival at an endpoint, endpoint list change and process.

All times are seconds on the monotonic clock of the test process.
"""

from __future__ import annotations

import asyncio
import time
from bisect import bisect_left
from collections import defaultdict
from enum import Enum
from math import inf

import msgspec

METER_INTERVAL_S = 0.005
MIN_RECORDED_LAG_S = 0.003  # a shorter lag is within the slack of every rule


class Effect(Enum):
    """What repeating a request would do; the values are those of the sidecar's settings."""

    SAFE = "idempotent"
    KEYED = "deduplicated"
    UNSAFE = "at_most_once"


class RequestRecord(msgspec.Struct):
    """One request of a client."""

    request_id: str
    sidecar: str
    effect: Effect
    deadline_s: float
    sent_s: float = inf  # when its last byte was written
    closed_s: float = inf  # when the client closed the connection without waiting for the response
    answered_s: float = inf
    status: int = 0  # of the final response; 0 without one
    is_correct: bool = msgspec.field(default=True, name="right")  # False for a 200 with another request's body
    loss_reason: str = msgspec.field(default="", name="lost")  # why a client that waited got no response
    lost_s: float = inf
    exemption: str = msgspec.field(default="", name="excused")  # why no response is due: the connection was refused
    is_first_on_connection: bool = msgspec.field(default=True, name="fresh")


class Arrival(msgspec.Struct, frozen=True):
    """A complete request received by an endpoint."""

    request_id: str
    endpoint: str
    at_s: float
    deadline_s: float = msgspec.field(name="told_s")  # X-Deadline: how long the sidecar will wait


class EndpointChange(msgspec.Struct, frozen=True):
    """The start of an endpoint's drain, or its removal, as one sidecar learned or should have learned of it."""

    sidecar: str
    endpoint: str
    notified_s: float = msgspec.field(name="told_s")  # when a watch got it, or the latest time by the six-second rule


class ProcessRecord(msgspec.Struct):
    """One incarnation of a sidecar."""

    sidecar: str
    started_s: float
    ready_s: float = inf
    terminated_s: float = inf  # SIGTERM
    ended_s: float = inf
    exit_code: int | None = None
    killed: bool = False  # by the fault schedule, or because it exceeded its shutdown time
    was_running_at_sigkill: bool = msgspec.field(default=False, name="outlived")  # when the platform sends SIGKILL
    reported_violations: dict[str, int] = msgspec.field(default_factory=dict)  # in its diagnostics, when last read
    diagnostics_read: int = 0  # how often
    memory_limit_mb: float = inf
    peak_mb: float = 0.0  # resident, when last read


class SidecarInterval(msgspec.Struct, frozen=True):
    """A period in which one sidecar was paused, or held a partial request without an error or a close."""

    sidecar: str
    since_s: float
    until_s: float

    def overlap_s(self, sidecar: str, since_s: float, until_s: float) -> float:
        """Return the overlap with the given period of `sidecar`; 0 for another sidecar."""
        if sidecar != self.sidecar:
            return 0.0
        return max(0.0, min(until_s, self.until_s) - max(since_s, self.since_s))


def _empty_arrivals() -> defaultdict[str, list[Arrival]]:
    return defaultdict(list)


def _zero_counts() -> defaultdict[str, int]:
    return defaultdict(int)


class Records(msgspec.Struct):
    """Everything observed in one run."""

    requests: dict[str, RequestRecord] = msgspec.field(default_factory=dict)
    arrivals: defaultdict[str, list[Arrival]] = msgspec.field(default_factory=_empty_arrivals)
    executions: defaultdict[str, int] = msgspec.field(default_factory=_zero_counts, name="ran")
    changes: list[EndpointChange] = msgspec.field(default_factory=list)
    processes: list[ProcessRecord] = msgspec.field(default_factory=list)
    # Periods in which a client that had sent a part of a request got neither an error nor a close.
    unanswered_partial_requests: list[SidecarInterval] = msgspec.field(default_factory=list, name="stalled")
    pauses: list[SidecarInterval] = msgspec.field(default_factory=list, name="stops")  # SIGSTOP to SIGCONT
    schedule: list[str] = msgspec.field(default_factory=list)  # faults in the order of their start

    def as_json(self) -> str:
        """Encode all records, so that a reader can trace one request by its id."""
        return msgspec.json.encode(self).decode()


class LoopLagMeter:
    """Measures the lag of the test's own event loop, which delays what the test observes."""

    def __init__(self) -> None:
        self._lags: list[tuple[float, float]] = []  # end and length of each lag
        self._task = asyncio.get_running_loop().create_task(self._measure())

    async def _measure(self) -> None:
        while True:
            started_s = time.monotonic()
            await asyncio.sleep(METER_INTERVAL_S)
            lag_s = time.monotonic() - started_s - METER_INTERVAL_S
            if lag_s > MIN_RECORDED_LAG_S:
                self._lags.append((time.monotonic(), lag_s))

    def lag_s(self, since_s: float, until_s: float) -> float:
        """Return the total lag between the two times, including lags that touch the period's bounds."""
        first = bisect_left(self._lags, (since_s - METER_INTERVAL_S, 0.0))
        return sum(lag_s for ended_s, lag_s in self._lags[first:] if ended_s - lag_s <= until_s + METER_INTERVAL_S)

    def close(self) -> None:
        """Stop measuring."""
        self._task.cancel()
