"""What is to be told to all, and how much may be said at all: the queue of news and the bound on bytes a second."""

from __future__ import annotations

from collections.abc import Hashable
from math import ceil, log10

MOST_NEWS = 16384  # kept at a time; beyond it the one that was told most often goes


class News:
    """Frames that are passed on a few times each, those told least often first (SWIM, 4.1).

    A frame replaces the one with its key: newer news of a member.  Kept by how often each was told, so that the next
    ones are found without looking at all, whose number after a heal is half the fleet.
    """

    def __init__(self, factor: int) -> None:
        self._factor = factor
        self._by_count: list[dict[Hashable, bytes]] = [{}]
        self._count: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._count)

    def times(self, members: int) -> int:
        """How often each is told in a fleet of so many: a multiple of its logarithm."""
        return self._factor * max(1, ceil(log10(members + 1)))

    def put(self, key: Hashable, frame: bytes) -> None:
        self.drop(key)
        if len(self._count) >= MOST_NEWS:
            oldest = next(level for level in reversed(self._by_count) if level)
            self.drop(next(iter(oldest)))
        self._by_count[0][key] = frame
        self._count[key] = 0

    def drop(self, key: Hashable) -> None:
        count = self._count.pop(key, None)
        if count is not None:
            del self._by_count[count][key]

    def take(self, room: int, members: int, skip: Hashable = None) -> bytes:
        """Frames of `room` bytes at most, each counted as told once more; `skip` is what the receiver knows."""
        most, chosen, size = self.times(members), list[tuple[Hashable, bytes, int]](), 0
        for count, level in enumerate(self._by_count):
            if size + 16 > room:
                break
            for key, frame in level.items():
                if key != skip and size + len(frame) <= room:
                    chosen.append((key, frame, count))
                    size += len(frame)
                elif size + 16 > room:
                    break
        for key, frame, count in chosen:
            del self._by_count[count][key]
            if count + 1 >= most:
                del self._count[key]
                continue
            while len(self._by_count) <= count + 1:
                self._by_count.append({})
            self._by_count[count + 1][key] = frame
            self._count[key] = count + 1
        return b"".join(frame for _, frame, _ in chosen)


class Allowance:
    """Bytes that may go out: `rate` a second, and one second's worth at once.

    In any span of t seconds no more than `rate` x (t + 1) bytes go out, whatever the fleet does.
    """

    def __init__(self, rate: float) -> None:
        self.rate, self._left, self._at = rate, rate, -1e12

    def left(self, now: float) -> float:
        self._left = min(self.rate, self._left + max(0.0, now - self._at) * self.rate / 1000.0)
        self._at = max(self._at, now)
        return self._left

    def take(self, now: float, size: int) -> bool:
        if self.left(now) < size:
            return False
        self._left -= size
        return True
