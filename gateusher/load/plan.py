"""When each request is to be sent, by whom and on which of its client's connections: pure, a stream, seeded.

The same source, rules and settings give the same plan, number by number, in every worker and after a resume.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple

from .rules import Mapped

ROUNDING_S = 0.002  # times are written in milliseconds: so much overlap is none (seen with Chromium's)
MOST_CLIENTS = 200_000  # whose connections are remembered; of more, the longest silent are forgotten


class Planned(NamedTuple):
    """One request to be sent."""

    number: int  # its place in the plan, from 0
    at: float  # seconds from the start of the run
    client: int  # a hash, with its copy
    lane: int  # which of the client's connections; -1 for any that is free
    think: float  # seconds after the end of the one before it on its lane; below 0 where that isn't known
    cls: int
    key: str
    tenant: str
    body: bytes | int


@dataclass(frozen=True, slots=True)
class Pace:
    """How a source's time becomes the run's.

    :param speed: so many seconds of the source in one of the run.
    :param copies: each client so many times, each copy with other ids and a shift of its own.
    :param shift_s: a copy's shift is drawn from 0 to this, in seconds of the source.
    :param begin: the Unix time with which the run begins; None for that of the first request.
    """

    speed: float = 1.0
    copies: int = 1
    shift_s: float = 5.0
    seed: int = 1
    begin: float | None = None


class Lanes:
    """Which connection of its client a request had, as far as the source tells: the lowest that was free.

    So many are busy at a time as requests of the client overlapped, so its parallelism is the source's.
    """

    def __init__(self, most: int = MOST_CLIENTS) -> None:
        self._ends: OrderedDict[int, list[float]] = OrderedDict()
        self._most = most
        self.forgotten = 0

    def place(self, client: int, at: float, took: float) -> tuple[int, float]:
        """Its lane, and how long that had been free; -1 for both where the source doesn't tell durations."""
        if took < 0:
            return -1, -1.0
        ends = self._ends.get(client)
        if ends is None:
            ends = self._ends[client] = []
            if len(self._ends) > self._most:
                self._ends.popitem(last=False)
                self.forgotten += 1
        else:
            self._ends.move_to_end(client)
        for lane, end in enumerate(ends):
            if end <= at + ROUNDING_S:
                ends[lane] = max(end, at + took)
                return lane, max(0.0, at - end)
        ends.append(at + took)
        return len(ends) - 1, -1.0


def copy_of(client: int, copy: int) -> int:
    """Another client for each copy; the first is itself."""
    if not copy:
        return client
    return int.from_bytes(blake2b(f"{client:x}/{copy}".encode(), digest_size=8).digest(), "big")


def shift_of(seed: int, client: int, copy: int, most: float) -> float:
    """A copy's shift, the same for all of its requests, from 0 to `most`; the first copy has none."""
    if not copy or most <= 0:
        return 0.0
    digest = blake2b(f"{seed}/{client:x}/{copy}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2.0**64 * most


def plan(requests: Iterable[Mapped], pace: Pace) -> Iterator[Planned]:
    """Requests in the order of their times, as they are to be sent.

    Time starts with the first request, or with `begin` where that is given: an empty hour ahead of the first one is
    not waited for.  What a copy's shift takes past the end is still played.
    """
    lanes = Lanes()
    heap: list[tuple[float, int, Planned]] = []
    start, count, number = pace.begin, 0, 0
    clients: dict[tuple[int, int], tuple[int, float]] = {}

    def given(item: Planned) -> Planned:
        nonlocal number
        number += 1
        return item._replace(number=number - 1)

    for request in requests:
        entry = request.entry
        if start is None:
            start = entry.at
        lane, think = lanes.place(request.client, entry.at, entry.took)
        if think > 0:
            think /= pace.speed
        at = (entry.at - start) / pace.speed
        while heap and heap[0][0] <= at:
            yield given(heapq.heappop(heap)[2])
        for copy in range(pace.copies):
            who = clients.get((request.client, copy))
            if who is None:
                if len(clients) > MOST_CLIENTS:
                    clients.clear()  # only a cache
                who = clients[request.client, copy] = (
                    copy_of(request.client, copy),
                    shift_of(pace.seed, request.client, copy, pace.shift_s) / pace.speed,
                )
            count += 1
            key = request.key
            item = Planned(0, at + who[1], who[0], lane, think, request.cls, key, request.tenant, request.body)
            if copy or (heap and heap[0][0] <= at):
                heapq.heappush(heap, (item.at, count, item))
            else:
                yield given(item)
    while heap:
        yield given(heapq.heappop(heap)[2])


def worker_of(planned: Planned, workers: int) -> int:
    """Which worker plays it: whole clients, so that the order within each is one worker's doing."""
    return planned.client % workers
