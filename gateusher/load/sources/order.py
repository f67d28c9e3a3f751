"""Entries of one or many files in the order of their times, in bounded memory.

Whole seconds are spread by a stated rule, lines that are a little late find their place, clocks that step are
counted and followed, and rotated files are read one after the other or beside each other, as their times say.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

from ..entry import Entry

WINDOW_S = 10.0  # a server writes a line when its answer is through: so much later than others at the most
MOST_HELD = 20_000  # entries that wait for earlier ones
MOST_SECOND = 100_000  # entries of one second that are spread together
IN_A_ROW = 8  # so many lines that are far too early, one after the other, are a clock that was set back


@dataclass
class Steps:
    """What was odd about the times."""

    spread: int = 0  # entries that stood on a whole second
    late: int = 0  # came after their place was gone, and are played at the place reached
    back: int = 0  # times that the clock was set back
    most_back_s: float = 0.0


def seeded(*parts: object) -> Random:
    """A generator from a seed and names, the same on every machine and under every hash seed."""
    digest = blake2b("\0".join(map(str, parts)).encode(), digest_size=16).digest()
    return Random(int.from_bytes(digest, "big"))


def spread(entries: Iterable[Entry], seed: int, at_end: bool, steps: Steps) -> Iterator[Entry]:
    """Whole seconds spread inside the second: n entries that follow each other in one second get n uniform draws of
    that second, in rising order, so that they keep their order and come as a Poisson process of that rate would.

    :param at_end: the second is that of the answer's end, which the duration was taken off.
    """
    held: list[Entry] = []
    second = 0

    def flush() -> Iterator[Entry]:
        draw = seeded(seed, second, steps.spread).random
        draws = sorted(draw() for _ in held)
        steps.spread += len(held)
        for entry, part in zip(held, draws, strict=True):
            yield entry._replace(at=entry.at + part, coarse=False)

    for entry in entries:
        if not entry.coarse:
            if held:
                yield from flush()
                held = []
            yield entry
            continue
        own = round(entry.at + max(0.0, entry.took)) if at_end else int(entry.at)
        if held and (own != second or len(held) >= MOST_SECOND):
            yield from flush()
            held = []
        second = own
        held.append(entry)
    if held:
        yield from flush()


class Order:
    """Puts one file's entries in order: `push` each, take what it gives; `end` gives the rest.

    An entry that is earlier than what has been given already has come too late for its place.  One alone is given
    the place reached; IN_A_ROW of them mean that the clock was set back, and from then on its times are moved so
    that they go on from there.
    """

    def __init__(self, steps: Steps, window_s: float = WINDOW_S, most: int = MOST_HELD) -> None:
        self.steps, self._window, self._most = steps, window_s, most
        self._heap: list[tuple[float, int, Entry]] = []
        self._count = 0
        self._given = float("-inf")  # the time of the last that was given
        self._newest = float("-inf")
        self._ahead = 0.0  # added to the times of a clock that was set back
        self._early: list[Entry] = []

    def push(self, entry: Entry) -> list[Entry]:
        at = entry.at + self._ahead
        if at < self._newest - self._window:
            self._early.append(entry)
            if len(self._early) < IN_A_ROW:
                return []
            step = self._newest - min(e.at for e in self._early) - self._ahead
            self._ahead += step
            self.steps.back += 1
            self.steps.most_back_s = max(self.steps.most_back_s, step)
            early, self._early = self._early, []
            out: list[Entry] = []
            for each in early:
                out += self._put(each, each.at + self._ahead)
            return out
        if self._early:
            return self._late() + self._put(entry, at)
        return self._put(entry, at)

    def _late(self) -> list[Entry]:
        """Those that were no step: each is as late as it is."""
        early, self._early = self._early, []
        out: list[Entry] = []
        for each in early:
            out += self._put(each, each.at + self._ahead)
        return out

    def _put(self, entry: Entry, at: float) -> list[Entry]:
        heap = self._heap
        self._count += 1
        self._newest = max(self._newest, at)
        heapq.heappush(heap, (at, self._count, entry))
        due = self._newest - self._window
        if heap[0][0] > due and len(heap) <= self._most:
            return []
        out = []
        while heap and (heap[0][0] <= due or len(heap) > self._most):
            out.append(self._give(heapq.heappop(heap)))
        return out

    def _give(self, item: tuple[float, int, Entry]) -> Entry:
        at, _, entry = item
        if at < self._given:
            self.steps.late += 1
            at = self._given
        self._given = at
        return entry if at == entry.at else entry._replace(at=at)

    def end(self) -> list[Entry]:
        out = self._late()
        while self._heap:
            out.append(self._give(heapq.heappop(self._heap)))
        return out


def ordered(
    entries: Iterable[Entry], steps: Steps, window_s: float = WINDOW_S, most: int = MOST_HELD
) -> Iterator[Entry]:
    order = Order(steps, window_s, most)
    for entry in entries:
        yield from order.push(entry)
    yield from order.end()


def merged(files: list[tuple[float, Callable[[], Iterator[Entry]]]]) -> Iterator[tuple[int, Entry]]:
    """All files by time, each with its index.  A file is opened once the others have come to its first time, so a
    month of rotated files takes no more memory than two of them.

    :param files: for each the time of its first entry (-inf to open it at once), and what opens it.
    """
    waiting = sorted(range(len(files)), key=lambda i: files[i][0], reverse=True)
    active: list[tuple[float, int, Entry, Iterator[Entry]]] = []

    def opened(i: int) -> None:
        entries = files[i][1]()
        if (first := next(entries, None)) is not None:
            heapq.heappush(active, (first.at, i, first, entries))

    while active or waiting:
        while waiting and (not active or files[waiting[-1]][0] <= active[0][0] + WINDOW_S):
            opened(waiting.pop())
        if not active:
            continue
        _, i, entry, entries = active[0]
        yield i, entry
        if (following := next(entries, None)) is not None:
            heapq.heapreplace(active, (following.at, i, following, entries))
        else:
            heapq.heappop(active)
