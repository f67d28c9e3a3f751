"""Puts the entries of one or many files in the order of their times, in bounded memory.

Times of whole seconds are spread within their second, lines written late are sorted into their place, clock steps are
counted and removed, and rotated files are merged.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

from ..entry import Entry

WINDOW_S = 10.0  # how late a line may be: servers write it when the response is complete
MAX_WAITING_ENTRIES = 20_000  # entries that wait for earlier ones
MAX_SPREAD_ENTRIES = 100_000  # entries of one second that are spread together
CLOCK_STEP_ENTRIES = 8  # so many successive entries from before the window mean a clock that was set back


@dataclass
class Steps:
    """Counts of corrections to the times of a file."""

    spread: int = 0  # entries with a time in whole seconds
    late: int = 0  # entries that came after a later one was returned, and got its time
    back: int = 0  # how often the clock was set back
    max_back_s: float = 0.0


def seeded(*parts: object) -> Random:
    """Return a generator that depends on `parts` only, not on the machine or PYTHONHASHSEED."""
    digest = blake2b("\0".join(map(str, parts)).encode(), digest_size=16).digest()
    return Random(int.from_bytes(digest, "big"))


def spread(entries: Iterable[Entry], seed: int, at_end: bool, steps: Steps) -> Iterator[Entry]:
    """Yield the entries with times in whole seconds spread within their second.

    Successive entries of one second get as many uniform draws in ascending order, which keeps their order and gives
    the arrivals of a Poisson process of that rate.

    :param at_end: the source has the time of a response's end, from which the duration was subtracted.
    """
    waiting: list[Entry] = []
    second = 0

    def flush() -> Iterator[Entry]:
        draw = seeded(seed, second, steps.spread).random
        draws = sorted(draw() for _ in waiting)
        steps.spread += len(waiting)
        for entry, fraction in zip(waiting, draws, strict=True):
            yield entry._replace(at=entry.at + fraction, coarse=False)

    for entry in entries:
        if not entry.coarse:
            if waiting:
                yield from flush()
                waiting = []
            yield entry
            continue
        entry_second = round(entry.at + max(0.0, entry.took)) if at_end else int(entry.at)
        if waiting and (entry_second != second or len(waiting) >= MAX_SPREAD_ENTRIES):
            yield from flush()
            waiting = []
        second = entry_second
        waiting.append(entry)
    if waiting:
        yield from flush()


class Sorter:
    """Sorts one file's entries by time within a window: `push` each, take what it returns; `end` returns the rest.

    An entry earlier than one that was already returned is late, and gets the time of that one.  CLOCK_STEP_ENTRIES
    in a row that are further back than the window mean that the clock was set back; from then on its times are
    shifted so that they continue.

    :param max_waiting: beyond so many entries the earliest is returned whatever the window.
    """

    def __init__(self, steps: Steps, window_s: float = WINDOW_S, max_waiting: int = MAX_WAITING_ENTRIES) -> None:
        self.steps = steps
        self._window_s = window_s
        self._max_waiting = max_waiting
        self._heap: list[tuple[float, int, Entry]] = []  # (time, tie breaker, entry)
        self._count = 0
        self._returned_at = float("-inf")  # the time of the last entry that was returned
        self._newest_at = float("-inf")
        self._shift_s = 0.0  # added to the times of a clock that was set back
        self._far_back: list[Entry] = []  # in a row, further back than the window

    def push(self, entry: Entry) -> list[Entry]:
        """Add an entry, and return those whose place is certain."""
        at = entry.at + self._shift_s
        if at >= self._newest_at - self._window_s:
            return self._release_far_back() + self._put(entry, at)
        self._far_back.append(entry)
        if len(self._far_back) < CLOCK_STEP_ENTRIES:
            return []
        step_s = self._newest_at - min(far_back.at for far_back in self._far_back) - self._shift_s
        self._shift_s += step_s
        self.steps.back += 1
        self.steps.max_back_s = max(self.steps.max_back_s, step_s)
        return self._release_far_back()

    def end(self) -> list[Entry]:
        """Return the entries that are left."""
        entries = self._release_far_back()
        while self._heap:
            entries.append(self._take_first())
        return entries

    def _release_far_back(self) -> list[Entry]:
        """Sort the entries that were far back by their times, shifted as the clock is now."""
        if not self._far_back:
            return []
        far_back = self._far_back
        self._far_back = []
        entries: list[Entry] = []
        for entry in far_back:
            entries += self._put(entry, entry.at + self._shift_s)
        return entries

    def _put(self, entry: Entry, at: float) -> list[Entry]:
        heap = self._heap
        self._count += 1
        self._newest_at = max(self._newest_at, at)
        heapq.heappush(heap, (at, self._count, entry))
        certain_until = self._newest_at - self._window_s
        entries = []
        while heap and (heap[0][0] <= certain_until or len(heap) > self._max_waiting):
            entries.append(self._take_first())
        return entries

    def _take_first(self) -> Entry:
        at, _, entry = heapq.heappop(self._heap)
        if at < self._returned_at:
            self.steps.late += 1
            at = self._returned_at
        self._returned_at = at
        return entry if at == entry.at else entry._replace(at=at)


def ordered(
    entries: Iterable[Entry], steps: Steps, window_s: float = WINDOW_S, max_waiting: int = MAX_WAITING_ENTRIES
) -> Iterator[Entry]:
    """Yield one file's entries in the order of time, as `Sorter` sorts them."""
    sorter = Sorter(steps, window_s, max_waiting)
    for entry in entries:
        yield from sorter.push(entry)
    yield from sorter.end()


def merged(files: list[tuple[float, Callable[[], Iterator[Entry]]]]) -> Iterator[tuple[int, Entry]]:
    """Yield the entries of all files in the order of time, each with its file's index.

    A file is opened when the others have come to its first time, so that rotated files are not all open at once.

    :param files: for each the time of its first entry (-inf to open it at once), and what opens it.
    """
    unopened = sorted(range(len(files)), key=lambda index: files[index][0], reverse=True)
    active: list[tuple[float, int, Entry, Iterator[Entry]]] = []  # heap by the time of each file's next entry
    while active or unopened:
        while unopened and (not active or files[unopened[-1]][0] <= active[0][0] + WINDOW_S):
            index = unopened.pop()
            entries = files[index][1]()
            first = next(entries, None)
            if first is not None:
                heapq.heappush(active, (first.at, index, first, entries))
        if not active:
            continue
        _, index, entry, entries = active[0]
        yield index, entry
        following = next(entries, None)
        if following is not None:
            heapq.heapreplace(active, (following.at, index, following, entries))
        else:
            heapq.heappop(active)
