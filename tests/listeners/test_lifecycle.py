"""The listener's lifecycle as a state machine: phases, health, and how long idle connections stay."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateusher.listeners.lifecycle import (
    DRAIN,
    DRAINING,
    ENTER_LAMEDUCK,
    HAND_OVER,
    LAMEDUCK,
    LEAVE_LAMEDUCK,
    RECLAIM,
    SERVING,
    Lifecycle,
)


@given(st.lists(st.tuples(st.sampled_from([ENTER_LAMEDUCK, LEAVE_LAMEDUCK, DRAIN]), st.floats(0, 5)), max_size=30))
def test_transitions_match_the_expected_phases(steps: list[tuple[str, float]]) -> None:
    lifecycle, now_s, began_at_s, expected = Lifecycle(), 0.0, 0.0, SERVING
    for event, wait_s in steps:
        now_s += wait_s
        previous = expected
        requested = LAMEDUCK if event == ENTER_LAMEDUCK else SERVING
        expected = DRAINING if event == DRAIN or previous == DRAINING else requested
        assert lifecycle.apply(event, now_s) is (previous != DRAINING or event == DRAIN)
        if expected != previous:
            began_at_s = now_s
        assert lifecycle.phase == expected and lifecycle.is_closing_connections is (expected != SERVING)
        assert lifecycle.elapsed_s(now_s) == now_s - began_at_s


@pytest.mark.parametrize(
    ("events", "grace_s"), [((ENTER_LAMEDUCK,), 1.4), ((HAND_OVER,), 2.4), ((HAND_OVER, DRAIN), 2.4)]
)
def test_idle_connections_may_stay_for_the_grace_period(events: tuple[str, ...], grace_s: float) -> None:
    """All may stay for the grace period after the first event; then only unused connections that were just opened."""
    lifecycle = Lifecycle()
    for n, event in enumerate(events):
        assert lifecycle.apply(event, 100.0 + n)
    for elapsed_s, last_active_s, is_used, may_stay in (
        (grace_s - 0.01, 0.0, True, True),
        (grace_s + 0.01, 0.0, True, False),
        (grace_s + 0.01, 0.0, False, False),
        (grace_s + 0.01, 100.0 + grace_s, False, True),
        (grace_s + 0.01, 100.0 + grace_s, True, False),
        (grace_s + 0.4, 100.0 + grace_s, False, False),
    ):
        assert lifecycle.may_stay_idle(100.0 + elapsed_s, last_active_s, is_used) is may_stay, (
            elapsed_s,
            last_active_s,
            is_used,
        )


def test_the_health_check_passes_while_a_successor_serves() -> None:
    lifecycle = Lifecycle()
    states = []
    for event in (HAND_OVER, RECLAIM, ENTER_LAMEDUCK, HAND_OVER, DRAIN):
        assert lifecycle.apply(event, 1.0)
        states.append((lifecycle.is_healthy, lifecycle.is_closing_connections))
    assert states == [(True, True), (True, False), (False, True), (True, True), (True, True)]
    lifecycle = Lifecycle()
    assert lifecycle.apply(DRAIN, 1.0) and not lifecycle.is_healthy
    assert not lifecycle.apply(HAND_OVER, 2.0) and not lifecycle.apply(RECLAIM, 2.0)
