"""Times: spread inside their second, late lines in their place, clocks that step, rotated files."""

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


def test_whole_seconds_are_spread_in_their_order_and_the_same_each_time() -> None:
    source = [entry(100.0 + i // 50, i, coarse=True) for i in range(500)]
    steps = Steps()
    first = list(spread(source, 7, False, steps))
    assert first == list(spread(source, 7, False, Steps()))
    assert first != list(spread(source, 8, False, Steps()))
    assert [e.line for e in first] == list(range(500))
    assert all(int(new.at) == old.at for new, old in zip(first, source, strict=True))
    assert all(a.at <= b.at for a, b in pairwise(first))
    assert steps.spread == 500
    # uniform in the second: each fifth of it has about a fifth of them
    fifths = [sum(int(e.at % 1 * 5) == i for e in first) for i in range(5)]
    assert all(70 < n < 130 for n in fifths)


def test_a_second_of_the_answer_s_end_is_spread_with_its_duration_off() -> None:
    source = [entry(100.0 - took, i, took, True) for i, took in enumerate((0.25, 0.5, 3.75))]
    for new, took in zip(spread(source, 1, True, Steps()), (0.25, 0.5, 3.75), strict=True):
        assert 100.0 <= new.at + took < 101.0


def test_fine_times_are_left_as_they_are() -> None:
    source = times(1.25, 1.5, 2.0)
    assert list(spread(source, 1, False, Steps())) == source


def test_lines_that_are_a_little_late_find_their_place() -> None:
    steps = Steps()
    assert [e.at for e in ordered(times(1, 5, 3, 9, 8, 20), steps)] == [1, 3, 5, 8, 9, 20]
    assert (steps.late, steps.back) == (0, 0)


def test_one_line_far_too_late_is_played_where_the_others_are() -> None:
    steps = Steps()
    found = list(ordered(times(*range(100, 140), 50, *range(140, 180)), steps))
    assert len(found) == 81
    assert all(a.at <= b.at for a, b in pairwise(found))
    assert (steps.late, steps.back) == (1, 0)


def test_a_clock_that_is_set_back_goes_on_from_where_it_was() -> None:
    """An hour back in mid-file: nothing is lost, nothing piles up, and it is counted with its size."""
    steps = Steps()
    found = list(ordered(times(*range(5000, 5100), *range(1500, 1600)), steps))
    assert len(found) == 200
    assert all(0 <= b.at - a.at <= CLOCK_STEP_ENTRIES for a, b in pairwise(found))
    assert (steps.back, steps.late) == (1, 0)
    assert 3500 < steps.max_back_s < 3700


@settings(max_examples=200, deadline=None)
@given(st.lists(st.floats(0, 1e5), max_size=80), st.integers(1, 20))
def test_any_times_come_out_in_order_and_whole(at: list[float], most: int) -> None:
    found = list(ordered(times(*at), Steps(), max_waiting=most))
    assert sorted(e.line for e in found) == list(range(len(at)))
    assert all(a.at <= b.at for a, b in pairwise(found))


def test_rotated_files_are_opened_when_their_time_has_come() -> None:
    opened: list[int] = []
    ended: list[int] = []

    def source(i: int) -> Iterator[Entry]:
        opened.append(i)
        for t in range(100):
            assert len(opened) - len(ended) <= 2  # never more than two at a time
            yield entry(i * 100.0 + t, t)
        ended.append(i)

    files = [(i * 100.0, lambda i=i: source(i)) for i in (3, 1, 0, 2)]  # type: ignore[misc]
    found = list(merged(files))
    assert [e.at for _, e in found] == [float(t) for t in range(400)]
    assert opened == [0, 1, 2, 3]


def test_files_of_the_same_time_are_put_beside_each_other() -> None:
    a, b = times(1, 3, 5), times(2, 4, 6)
    assert [i for i, _ in merged([(1, lambda: iter(a)), (2, lambda: iter(b))])] == [0, 1, 0, 1, 0, 1]
    assert list(merged([(0, lambda: iter([]))])) == []
