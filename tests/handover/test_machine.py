"""The agreement between two processes, over every order of events that a machine thinks of."""

from hypothesis import given
from hypothesis import strategies as st

from gateusher.handover.machine import (
    MIN_LENT_DESCRIPTORS,
    NO_SUCCESSOR,
    SUCCESSOR_SERVING,
    SUCCESSOR_STARTING,
    Action,
    DeclineSuccessor,
    GrantListener,
    Predecessor,
    PredecessorEvent,
    RaiseQuota,
    ResumeAccepting,
    SetLimits,
    StopAccepting,
    Successor,
)

SOCKETS, MEMORY = 384, 80.0
STEPS = st.lists(st.tuples(st.sampled_from([*PredecessorEvent, "end"]), st.integers(64, SOCKETS)), max_size=40)


@given(STEPS)
def test_two_never_hold_more_than_one_may(steps: list[tuple[PredecessorEvent | str, int]]) -> None:
    old, limit, lent, accepting, used = Predecessor(SOCKETS, MEMORY), SOCKETS, 0, True, SOCKETS
    for event, wish in steps:
        if not isinstance(event, PredecessorEvent):
            old.is_shutting_down = True
            continue
        # What is in use never grows past the limit, and past a lower one it only shrinks.
        used = min(wish, max(used, limit)) if wish > limit else wish
        state, had = old.state, lent
        for action in old.handle(event, used):
            match action:
                case SetLimits(sockets, memory_mb):
                    limit = sockets
                    assert memory_mb in (MEMORY, MEMORY / 2)
                case GrantListener(sockets, memory_mb):
                    assert (state, lent, old.is_shutting_down) == (NO_SUCCESSOR, 0, False) and memory_mb == MEMORY / 2
                    lent = sockets
                    assert lent <= max(MIN_LENT_DESCRIPTORS, SOCKETS - used)
                case RaiseQuota(sockets):
                    assert sockets > lent
                    lent = sockets
                case StopAccepting():
                    assert accepting and state == SUCCESSOR_STARTING
                    accepting = False
                case ResumeAccepting():
                    assert not accepting and not old.is_shutting_down
                    accepting = True
                case DeclineSuccessor():
                    assert event is PredecessorEvent.LISTENER_REQUESTED and (
                        state != NO_SUCCESSOR or old.is_shutting_down
                    )
        if event is PredecessorEvent.SUCCESSOR_LOST and state != NO_SUCCESSOR:
            assert (old.state, limit) == (NO_SUCCESSOR, SOCKETS)
            lent = 0
        else:
            assert lent >= had, "a loan was called back"
        assert limit + lent <= SOCKETS
        assert accepting or old.state == SUCCESSOR_SERVING or old.is_shutting_down


def test_the_ordinary_course() -> None:
    old = Predecessor(SOCKETS, MEMORY)
    assert old.handle(PredecessorEvent.LISTENER_REQUESTED, 200) == [SetLimits(256, 40.0), GrantListener(128, 40.0)]
    assert old.handle(PredecessorEvent.TICK, 100) == []
    first: list[Action] = [StopAccepting(), SetLimits(200, 40.0), RaiseQuota(184)]
    assert old.handle(PredecessorEvent.SUCCESSOR_SERVES, 200) == first
    assert old.handle(PredecessorEvent.TICK, 220) == []
    assert old.handle(PredecessorEvent.TICK, 90) == [SetLimits(90, 40.0), RaiseQuota(294)]
    new = Successor(SOCKETS, MEMORY, 128, 40.0)
    assert new.quota_raised(184) == [SetLimits(184, 40.0)]
    assert new.quota_raised(100) == []
    assert new.predecessor_lost() == [SetLimits(SOCKETS, MEMORY)]


def test_a_second_successor_is_declined() -> None:
    old = Predecessor(SOCKETS, MEMORY)
    old.handle(PredecessorEvent.LISTENER_REQUESTED, 100)
    assert old.handle(PredecessorEvent.LISTENER_REQUESTED, 100) == [DeclineSuccessor()]
