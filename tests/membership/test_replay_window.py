"""The anti-replay window: each sequence number is accepted once, down to the window's lower edge."""

from hypothesis import given
from hypothesis import strategies as st

from gateusher.membership.replay_window import REPLAY_WINDOW, ReplayWindow


@given(st.lists(st.integers(1, 2000), max_size=400))
def test_each_sequence_number_is_accepted_once(numbers: list[int]) -> None:
    window, accepted, highest = ReplayWindow(0), set(), 0
    for number in numbers:
        is_new = window.accept(number)
        assert not (is_new and number in accepted)
        if number > highest - REPLAY_WINDOW and number not in accepted and number > 0:
            assert is_new
        if is_new:
            accepted.add(number)
            highest = max(highest, number)


def test_numbers_below_the_window_are_rejected() -> None:
    window = ReplayWindow(1000)
    assert not window.accept(1000) and not window.accept(999)  # numbers up to the first one count as accepted
    assert window.accept(1000 + REPLAY_WINDOW)
    assert not window.accept(1000)  # one below the window
    assert window.accept(1001)  # the oldest in the window
    assert not window.accept(1001)
