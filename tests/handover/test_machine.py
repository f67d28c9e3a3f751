"""The agreement between two processes, over every order of events that a machine thinks of."""

from hypothesis import given
from hypothesis import strategies as st

from gateusher.handover.machine import (
    ALONE,
    LEAST_LENT,
    PREPARING,
    RELIEVED,
    Action,
    Asked,
    Decline,
    Give,
    Hold,
    Leave,
    Lend,
    New,
    Old,
    Return,
)

SOCKETS, MEMORY = 384, 80.0
STEPS = st.lists(st.tuples(st.sampled_from([*Asked, "end"]), st.integers(64, SOCKETS)), max_size=40)


@given(STEPS)
def test_two_never_hold_more_than_one_may(steps: list[tuple[Asked | str, int]]) -> None:
    old, limit, lent, accepting, used = Old(SOCKETS, MEMORY), SOCKETS, 0, True, SOCKETS
    for event, wish in steps:
        if not isinstance(event, Asked):
            old.ending = True
            continue
        # What is in use never grows past the limit, and past a lower one it only shrinks.
        used = min(wish, max(used, limit)) if wish > limit else wish
        state, had = old.state, lent
        for action in old.handle(event, used):
            match action:
                case Hold(sockets, memory_mb):
                    limit = sockets
                    assert memory_mb in (MEMORY, MEMORY / 2)
                case Give(sockets, memory_mb):
                    assert (state, lent, old.ending) == (ALONE, 0, False) and memory_mb == MEMORY / 2
                    lent = sockets
                    assert lent <= max(LEAST_LENT, SOCKETS - used)
                case Lend(sockets):
                    assert sockets > lent
                    lent = sockets
                case Leave():
                    assert accepting and state == PREPARING
                    accepting = False
                case Return():
                    assert not accepting and not old.ending
                    accepting = True
                case Decline():
                    assert event is Asked.ASKED and (state != ALONE or old.ending)
        if event is Asked.LOST and state != ALONE:
            assert (old.state, limit) == (ALONE, SOCKETS)
            lent = 0
        else:
            assert lent >= had, "a loan was called back"
        assert limit + lent <= SOCKETS
        assert accepting or old.state == RELIEVED or old.ending


def test_the_ordinary_course() -> None:
    old = Old(SOCKETS, MEMORY)
    assert old.handle(Asked.ASKED, 200) == [Hold(256, 40.0), Give(128, 40.0)]
    assert old.handle(Asked.TICK, 100) == []
    first: list[Action] = [Leave(), Hold(200, 40.0), Lend(184)]
    assert old.handle(Asked.SERVING, 200) == first
    assert old.handle(Asked.TICK, 220) == []
    assert old.handle(Asked.TICK, 90) == [Hold(90, 40.0), Lend(294)]
    new = New(SOCKETS, MEMORY, 128, 40.0)
    assert new.lent(184) == [Hold(184, 40.0)]
    assert new.lent(100) == []
    assert new.alone() == [Hold(SOCKETS, MEMORY)]


def test_a_second_successor_is_declined() -> None:
    old = Old(SOCKETS, MEMORY)
    old.handle(Asked.ASKED, 100)
    assert old.handle(Asked.ASKED, 100) == [Decline()]
