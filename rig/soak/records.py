"""What the soak test saw: one record for each request, arrival at an endpoint, change of the list and process.

All times are seconds of the test's own monotonic clock.
"""

from __future__ import annotations

import asyncio
import time
from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from math import inf

import msgspec

METER_S = 0.005  # how often the test's own loop is timed
NOTABLE_LAG_S = 0.003  # less than that is within every rule's slack


class Effect(Enum):
    """What a repeat of a request would do, as the settings of the sidecars word it."""

    SAFE = "idempotent"
    KEYED = "deduplicated"
    UNSAFE = "at_most_once"


@dataclass
class RequestRecord:
    """One request of a client."""

    request_id: str
    sidecar: str
    effect: Effect
    deadline_s: float
    sent_s: float = inf  # when its last byte was written
    closed_s: float = inf  # when its client gave up by closing the connection
    answered_s: float = inf
    status: int = 0  # of its final answer; 0 for none
    right: bool = True  # a 200 whose body is an endpoint's for this request
    lost: str = ""  # why there is no answer, where the client had waited for one
    lost_s: float = inf
    excused: str = ""  # what frees the sidecar of an answer: it was killed, or refused the connection
    fresh: bool = True  # the first on its connection


@dataclass(frozen=True)
class Arrival:
    """A whole request at an endpoint."""

    request_id: str
    endpoint: str
    at_s: float
    told_s: float  # X-Deadline: how long the sidecar will wait


@dataclass(frozen=True)
class Change:
    """An endpoint drains or leaves, as one sidecar was or should have been told."""

    sidecar: str
    endpoint: str
    told_s: float  # written to a watch, or due by the rule of six seconds


@dataclass
class ProcessRecord:
    """One life of a sidecar."""

    sidecar: str
    started_s: float
    ready_s: float = inf
    terminated_s: float = inf  # SIGTERM
    ended_s: float = inf
    exit_code: int | None = None
    killed: bool = False  # by the schedule, or since it outlived its time
    outlived: bool = False  # it was still there when the platform's SIGKILL comes


@dataclass(frozen=True)
class Span:
    """Something about one sidecar that lasted: it was stopped, or kept a client without error or close."""

    sidecar: str
    since_s: float
    until_s: float

    def meets(self, sidecar: str, since_s: float, until_s: float) -> float:
        """How long it overlaps with the same sidecar's time between two moments."""
        if sidecar != self.sidecar:
            return 0.0
        return max(0.0, min(until_s, self.until_s) - max(since_s, self.since_s))


@dataclass
class Records:
    """All of a run."""

    requests: dict[str, RequestRecord] = field(default_factory=dict)
    arrivals: defaultdict[str, list[Arrival]] = field(default_factory=lambda: defaultdict(list))
    ran: defaultdict[str, int] = field(default_factory=lambda: defaultdict(int))
    changes: list[Change] = field(default_factory=list)
    processes: list[ProcessRecord] = field(default_factory=list)
    stalled: list[Span] = field(default_factory=list)  # clients that stopped half-way and got neither error nor close
    stops: list[Span] = field(default_factory=list)  # SIGSTOP to SIGCONT
    schedule: list[str] = field(default_factory=list)  # the faults as they began, for whoever reads a failure

    def as_json(self) -> str:
        """All of it, for whoever traces one request by its id."""
        return msgspec.json.encode(self).decode()


class LoopMeter:
    """How late the test's own loop was, so that the judge can allow for what it measured itself too late."""

    def __init__(self) -> None:
        self._late: list[tuple[float, float]] = []  # when it was late, and by how much
        self._task = asyncio.get_running_loop().create_task(self._measure())

    async def _measure(self) -> None:
        while True:
            began = time.monotonic()
            await asyncio.sleep(METER_S)
            late = time.monotonic() - began - METER_S
            if late > NOTABLE_LAG_S:
                self._late.append((time.monotonic(), late))

    def allowance(self, since_s: float, until_s: float) -> float:
        """All lateness between the two moments and just around them."""
        first = bisect_left(self._late, (since_s - METER_S, 0.0))
        return sum(late for at, late in self._late[first:] if at - late <= until_s + METER_S)

    def close(self) -> None:
        self._task.cancel()
