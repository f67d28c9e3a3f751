"""Which connections are shed first."""

from dataclasses import dataclass

from gateusher.base.limits import CONNECTION_BYTES
from gateusher.listeners.load_shedding import MIN_SLOW_S, largest_slow_connections, slowest_connections

NOW_S = 100.0


@dataclass(frozen=True)
class Held:
    """A connection that has held this much for this long; `slow_since_s` is None for one that is not slow."""

    held_bytes: int
    slow_since_s: float | None
    is_reading: bool = False  # a response, and slowly

    @property
    def sending_since_s(self) -> float | None:
        return None if self.is_reading else self.slow_since_s


SMALL_AND_NEW = Held(200, NOW_S - 0.01)
LARGE_AND_NEW = Held(1 << 20, NOW_S - 0.6)
LARGE_AND_OLD = Held(1 << 20, NOW_S - 5.0)
SMALL_AND_OLD = Held(200, NOW_S - 2.0)
NOT_SLOW = Held(1 << 20, None)
ALL = [SMALL_AND_NEW, LARGE_AND_NEW, NOT_SLOW, LARGE_AND_OLD, SMALL_AND_OLD]


def test_the_largest_and_oldest_go_first() -> None:
    assert slowest_connections(ALL, 2, NOW_S) == [LARGE_AND_OLD, LARGE_AND_NEW]


def test_for_new_connections_only_slow_ones_are_closed() -> None:
    assert slowest_connections(ALL, 10, NOW_S) == [LARGE_AND_OLD, LARGE_AND_NEW, SMALL_AND_OLD]
    assert slowest_connections([Held(1 << 20, NOW_S - MIN_SLOW_S / 2)], 10, NOW_S) == []


def test_a_client_that_reads_slowly_is_closed_for_memory_alone() -> None:
    reader = Held(1 << 20, NOW_S - 5.0, is_reading=True)
    assert slowest_connections([reader] * 8, 10, NOW_S) == []
    assert largest_slow_connections([reader] * 8, 1, NOW_S) == [reader]


def test_no_more_are_shed_than_the_memory_that_is_needed() -> None:
    crowd = [Held(10_000, NOW_S - 1.0 - i) for i in range(100)]
    assert len(largest_slow_connections(crowd, 3 * (10_000 + CONNECTION_BYTES), NOW_S)) == 3


def test_a_part_of_the_slow_ones_is_shed_at_once() -> None:
    crowd = [Held(0, NOW_S - 1.0) for _ in range(100)]
    assert len(largest_slow_connections(crowd, 1 << 30, NOW_S)) == 25


def test_connections_that_are_not_slow_are_never_shed() -> None:
    assert largest_slow_connections([NOT_SLOW] * 8, 1 << 30, NOW_S) == []
