"""Plans when each request of a source is sent, for which client and on which of its connections.

A generator without clock and sockets: the same source, rules and settings give the same plan, number by number, in
every worker and after a resume.  The think time of a request is its client's pause after the response before it.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple

from .rules import Mapped

TIMESTAMP_ROUNDING_S = 0.002  # sources have times in milliseconds: a shorter overlap of two requests is rounding
MAX_CLIENTS = 200_000  # clients with remembered connections; beyond it the least recently active are forgotten
HASH_BYTES = 8


class Planned(NamedTuple):
    """One request to be sent."""

    number: int  # its position in the plan, from 0
    at: float  # seconds from the start of the run
    client: int  # a hash of the client and the number of its copy
    connection_index: int  # which of the client's connections; -1 for any that is free
    think_time_s: float  # from the end of the request before it on its connection; below 0 where that isn't known
    cls: int  # index of its class
    key: str  # salted hash, "" for none
    tenant: str
    body: bytes | int  # itself, or how many bytes of filler


@dataclass(frozen=True, slots=True)
class Pace:
    """How a source's time becomes the run's.

    :param speed: seconds of the source in one second of the run.
    :param copies: how many clients are made of each; a copy has an identity and a time shift of its own.
    :param shift_s: the upper bound of a copy's shift, in seconds of the source.
    :param seed: of the shifts.
    :param begin: the Unix time with which the run begins; None for that of the first request.
    """

    speed: float = 1.0
    copies: int = 1
    shift_s: float = 5.0
    seed: int = 1
    begin: float | None = None


class ConnectionAssigner:
    """Assigns each request to a connection of its client: to the lowest index that was free at its time.

    As many connections are busy at a time as requests of the client overlapped in the source.  `forgotten` counts the
    clients forgotten because there were more than `max_clients`.
    """

    def __init__(self, max_clients: int = MAX_CLIENTS) -> None:
        self._busy_until: OrderedDict[int, list[float]] = OrderedDict()  # by client, for each of its connections
        self._max_clients = max_clients
        self.forgotten = 0

    def assign(self, client: int, at: float, duration_s: float) -> tuple[int, float]:
        """Return the connection's index, and the seconds it had been free.

        The seconds are -1 for a new connection; both are -1 where the source tells no duration (`duration_s` < 0).
        """
        if duration_s < 0:
            return -1, -1.0
        busy_until = self._busy_until.get(client)
        if busy_until is None:
            busy_until = self._busy_until[client] = []
            if len(self._busy_until) > self._max_clients:
                self._busy_until.popitem(last=False)
                self.forgotten += 1
        else:
            self._busy_until.move_to_end(client)
        for index, end in enumerate(busy_until):
            if end <= at + TIMESTAMP_ROUNDING_S:
                busy_until[index] = max(end, at + duration_s)
                return index, max(0.0, at - end)
        busy_until.append(at + duration_s)
        return len(busy_until) - 1, -1.0


def copy_of(client: int, copy: int) -> int:
    """Return the client that is copy number `copy` of `client`; number 0 is the client itself."""
    if not copy:
        return client
    return int.from_bytes(blake2b(f"{client:x}/{copy}".encode(), digest_size=HASH_BYTES).digest(), "big")


def shift_of(seed: int, client: int, copy: int, max_shift_s: float) -> float:
    """Return the shift of all requests of a copy, from 0 to `max_shift_s`; copy number 0 has none."""
    if not copy or max_shift_s <= 0:
        return 0.0
    digest = blake2b(f"{seed}/{client:x}/{copy}".encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big") / 2.0**64 * max_shift_s


class _Copies:
    """The identities and shifts of the copies of each client, with a cache."""

    def __init__(self, pace: Pace) -> None:
        self._pace = pace
        self._cache: dict[tuple[int, int], tuple[int, float]] = {}

    def get(self, client: int, copy: int) -> tuple[int, float]:
        """Return the copy's hash, and its shift in seconds of the run."""
        found = self._cache.get((client, copy))
        if found is None:
            if len(self._cache) > MAX_CLIENTS:
                self._cache.clear()
            pace = self._pace
            shift_s = shift_of(pace.seed, client, copy, pace.shift_s) / pace.speed
            found = self._cache[client, copy] = copy_of(client, copy), shift_s
        return found


def plan(requests: Iterable[Mapped], pace: Pace) -> Iterator[Planned]:
    """Yield the requests of all copies in the order of their times.

    Time starts with the first request, or with `pace.begin`.  Requests that a copy's shift takes past the end of
    the source are sent too.
    """
    for number, planned in enumerate(_in_order(requests, pace)):
        yield planned._replace(number=number)


def _in_order(requests: Iterable[Mapped], pace: Pace) -> Iterator[Planned]:
    """Yield the requests of all copies in the order of their times, without their numbers."""
    assigner = ConnectionAssigner()
    copies = _Copies(pace)
    shifted: list[tuple[float, int, Planned]] = []  # heap of (time, tie breaker, request)
    count = 0
    start = pace.begin
    for request in requests:
        entry = request.entry
        if start is None:
            start = entry.at
        index, think_time_s = assigner.assign(request.client, entry.at, entry.took)
        if think_time_s > 0:
            think_time_s /= pace.speed
        at = (entry.at - start) / pace.speed
        while shifted and shifted[0][0] <= at:
            yield heapq.heappop(shifted)[2]
        for copy in range(pace.copies):
            client, shift_s = copies.get(request.client, copy)
            count += 1
            planned = Planned(
                0,
                at + shift_s,
                client,
                index,
                think_time_s,
                request.cls,
                request.key,
                request.tenant,
                request.body,
            )
            if copy or (shifted and shifted[0][0] <= at):
                heapq.heappush(shifted, (planned.at, count, planned))
            else:
                yield planned
    while shifted:
        yield heapq.heappop(shifted)[2]


def worker_of(planned: Planned, workers: int) -> int:
    """Return the worker that sends a request: one for all of a client's, which keeps their order."""
    return planned.client % workers
