"""The anti-replay window: each sequence number counts once, and its edges."""

from hypothesis import given
from hypothesis import strategies as st

from gateusher.membership.replay_window import REPLAY_WINDOW, ReplayWindow


@given(st.lists(st.integers(1, 2000), max_size=400))
def test_a_number_counts_once(numbers: list[int]) -> None:
    window, taken, top = ReplayWindow(0), set(), 0
    for number in numbers:
        fresh = window.accept(number)
        assert not (fresh and number in taken)
        if number > top - REPLAY_WINDOW and number not in taken and number > 0:
            assert fresh
        if fresh:
            taken.add(number)
            top = max(top, number)


def test_the_windows_edge() -> None:
    window = ReplayWindow(1000)
    assert not window.accept(1000) and not window.accept(999)  # before its proof nothing counts
    assert window.accept(1000 + REPLAY_WINDOW)
    assert not window.accept(1000)  # just fallen out
    assert window.accept(1001)  # the oldest that can still be told
    assert not window.accept(1001)
