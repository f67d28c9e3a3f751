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
def test_phases_keep_their_word(steps: list[tuple[str, float]]) -> None:
    lifecycle, now, began, wanted = Lifecycle(), 0.0, 0.0, SERVING
    for event, wait in steps:
        now += wait
        before = wanted
        asked = LAMEDUCK if event == ENTER_LAMEDUCK else SERVING
        wanted = DRAINING if event == DRAIN or before == DRAINING else asked
        assert lifecycle.apply(event, now) is (before != DRAINING or event == DRAIN)
        if wanted != before:
            began = now
        assert lifecycle.phase == wanted and lifecycle.is_closing_connections is (wanted != SERVING)
        assert lifecycle.elapsed_s(now) == now - began


@pytest.mark.parametrize(("how", "alone"), [((ENTER_LAMEDUCK,), 1.4), ((HAND_OVER,), 2.4), ((HAND_OVER, DRAIN), 2.4)])
def test_who_may_stay_idle_and_for_how_long(how: tuple[str, ...], alone: float) -> None:
    """Left alone for a while after the first word, whatever comes later; then those alone that have just come."""
    lifecycle = Lifecycle()
    for n, event in enumerate(how):
        assert lifecycle.apply(event, 100.0 + n)
    for after, at, used, stays in (
        (alone - 0.01, 0.0, True, True),
        (alone + 0.01, 0.0, True, False),
        (alone + 0.01, 0.0, False, False),
        (alone + 0.01, 100.0 + alone, False, True),
        (alone + 0.01, 100.0 + alone, True, False),
        (alone + 0.4, 100.0 + alone, False, False),
    ):
        assert lifecycle.may_stay_idle(100.0 + after, at, used) is stays, (after, at, used)


def test_health_is_the_successor_s_to_say() -> None:
    lifecycle = Lifecycle()
    seen = []
    for event in (HAND_OVER, RECLAIM, ENTER_LAMEDUCK, HAND_OVER, DRAIN):
        assert lifecycle.apply(event, 1.0)
        seen.append((lifecycle.is_healthy, lifecycle.is_closing_connections))
    assert seen == [(True, True), (True, False), (False, True), (True, True), (True, True)]
    lifecycle = Lifecycle()
    assert lifecycle.apply(DRAIN, 1.0) and not lifecycle.is_healthy
    assert not lifecycle.apply(HAND_OVER, 2.0) and not lifecycle.apply(RECLAIM, 2.0)
