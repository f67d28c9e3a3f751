"""Order of entries: times in whole seconds, late lines, clock steps and rotated files."""

from collections.abc import Iterator
from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from gateusher.load.entry import Entry
from gateusher.load.sources.order import CLOCK_STEP_ENTRIES, Steps, merged, ordered, spread


def entry(at: float, line: int = 0, took: float = -1.0, coarse: bool = False) -> Entry:
    return Entry(at, "GET", "/", took=took, line=line, coarse=coarse)


def times(*at: float) -> list[Entry]:
    return [entry(t, i) for i, t in enumerate(at)]


def test_times_in_whole_seconds_are_spread_in_order_and_reproducibly() -> None:
    source = [entry(100.0 + i // 50, i, coarse=True) for i in range(500)]
    steps = Steps()
    first = list(spread(source, 7, False, steps))
    assert first == list(spread(source, 7, False, Steps()))
    assert first != list(spread(source, 8, False, Steps()))
    assert [e.line for e in first] == list(range(500))
    assert all(int(new.at) == old.at for new, old in zip(first, source, strict=True))
    assert all(a.at <= b.at for a, b in pairwise(first))
    assert steps.spread == 500
    # the distribution within a second is uniform: 100 of 500 are expected in each fifth
    fifths = [sum(int(e.at % 1 * 5) == i for e in first) for i in range(5)]
    assert all(70 < n < 130 for n in fifths)


def test_times_of_the_end_of_a_response_are_spread_after_the_duration_is_subtracted() -> None:
    source = [entry(100.0 - took, i, took, True) for i, took in enumerate((0.25, 0.5, 3.75))]
    for new, took in zip(spread(source, 1, True, Steps()), (0.25, 0.5, 3.75), strict=True):
        assert 100.0 <= new.at + took < 101.0


def test_times_with_fractions_are_unchanged() -> None:
    source = times(1.25, 1.5, 2.0)
    assert list(spread(source, 1, False, Steps())) == source


def test_slightly_late_lines_are_sorted() -> None:
    steps = Steps()
    assert [e.at for e in ordered(times(1, 5, 3, 9, 8, 20), steps)] == [1, 3, 5, 8, 9, 20]
    assert (steps.late, steps.back) == (0, 0)


def test_single_line_that_is_far_too_late_is_moved_to_the_time_of_its_neighbors() -> None:
    steps = Steps()
    entries = list(ordered(times(*range(100, 140), 50, *range(140, 180)), steps))
    assert len(entries) == 81
    assert all(a.at <= b.at for a, b in pairwise(entries))
    assert (steps.late, steps.back) == (1, 0)


def test_entries_after_a_clock_step_back_continue_from_the_time_before_it() -> None:
    """The clock steps back by an hour: no entry is lost or delayed, and the step is counted with its size."""
    steps = Steps()
    entries = list(ordered(times(*range(5000, 5100), *range(1500, 1600)), steps))
    assert len(entries) == 200
    assert all(0 <= b.at - a.at <= CLOCK_STEP_ENTRIES for a, b in pairwise(entries))
    assert (steps.back, steps.late) == (1, 0)
    assert 3500 < steps.max_back_s < 3700


@settings(max_examples=200, deadline=None)
@given(st.lists(st.floats(0, 1e5), max_size=80), st.integers(1, 20))
def test_any_times_are_ordered_without_loss(at: list[float], max_waiting: int) -> None:
    entries = list(ordered(times(*at), Steps(), max_waiting=max_waiting))
    assert sorted(e.line for e in entries) == list(range(len(at)))
    assert all(a.at <= b.at for a, b in pairwise(entries))


def test_rotated_files_are_opened_when_their_first_time_is_reached() -> None:
    opened: list[int] = []
    ended: list[int] = []

    def source(i: int) -> Iterator[Entry]:
        opened.append(i)
        for t in range(100):
            assert len(opened) - len(ended) <= 2  # at most two are open at the same time
            yield entry(i * 100.0 + t, t)
        ended.append(i)

    files = [(i * 100.0, lambda i=i: source(i)) for i in (3, 1, 0, 2)]  # type: ignore[misc]
    entries = list(merged(files))
    assert [e.at for _, e in entries] == [float(t) for t in range(400)]
    assert opened == [0, 1, 2, 3]


def test_files_with_overlapping_times_are_merged() -> None:
    a, b = times(1, 3, 5), times(2, 4, 6)
    assert [i for i, _ in merged([(1, lambda: iter(a)), (2, lambda: iter(b))])] == [0, 1, 0, 1, 0, 1]
    assert list(merged([(0, lambda: iter([]))])) == []
