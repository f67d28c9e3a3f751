"""The handover state machines, over random orders of events."""

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

DESCRIPTORS, MEMORY_MB = 384, 80.0
STEPS = st.lists(st.tuples(st.sampled_from([*PredecessorEvent, "end"]), st.integers(64, DESCRIPTORS)), max_size=40)


@given(STEPS)
def test_both_processes_together_never_exceed_the_budget(steps: list[tuple[PredecessorEvent | str, int]]) -> None:
    predecessor, limit, lent, is_accepting, used_descriptors = (
        Predecessor(DESCRIPTORS, MEMORY_MB),
        DESCRIPTORS,
        0,
        True,
        DESCRIPTORS,
    )
    for event, wanted_descriptors in steps:
        if not isinstance(event, PredecessorEvent):
            predecessor.is_shutting_down = True
            continue
        # Usage never grows beyond the limit; where a lowered limit is below the usage, usage only shrinks.
        used_descriptors = (
            min(wanted_descriptors, max(used_descriptors, limit))
            if wanted_descriptors > limit
            else wanted_descriptors
        )
        state, lent_before = predecessor.state, lent
        for action in predecessor.handle(event, used_descriptors):
            match action:
                case SetLimits(descriptors, memory_mb):
                    limit = descriptors
                    assert memory_mb in (MEMORY_MB, MEMORY_MB / 2)
                case GrantListener(descriptors, memory_mb):
                    assert (state, lent, predecessor.is_shutting_down) == (
                        NO_SUCCESSOR,
                        0,
                        False,
                    ) and memory_mb == MEMORY_MB / 2
                    lent = descriptors
                    assert lent <= max(MIN_LENT_DESCRIPTORS, DESCRIPTORS - used_descriptors)
                case RaiseQuota(descriptors):
                    assert descriptors > lent
                    lent = descriptors
                case StopAccepting():
                    assert is_accepting and state == SUCCESSOR_STARTING
                    is_accepting = False
                case ResumeAccepting():
                    assert not is_accepting and not predecessor.is_shutting_down
                    is_accepting = True
                case DeclineSuccessor():
                    assert event is PredecessorEvent.LISTENER_REQUESTED and (
                        state != NO_SUCCESSOR or predecessor.is_shutting_down
                    )
        if event is PredecessorEvent.SUCCESSOR_LOST and state != NO_SUCCESSOR:
            assert (predecessor.state, limit) == (NO_SUCCESSOR, DESCRIPTORS)
            lent = 0
        else:
            assert lent >= lent_before, "a lent quota was reduced"
        assert limit + lent <= DESCRIPTORS
        assert is_accepting or predecessor.state == SUCCESSOR_SERVING or predecessor.is_shutting_down


def test_a_regular_handover() -> None:
    predecessor = Predecessor(DESCRIPTORS, MEMORY_MB)
    assert predecessor.handle(PredecessorEvent.LISTENER_REQUESTED, 200) == [
        SetLimits(256, 40.0),
        GrantListener(128, 40.0),
    ]
    assert predecessor.handle(PredecessorEvent.TICK, 100) == []
    serving_actions: list[Action] = [StopAccepting(), SetLimits(200, 40.0), RaiseQuota(184)]
    assert predecessor.handle(PredecessorEvent.SUCCESSOR_SERVES, 200) == serving_actions
    assert predecessor.handle(PredecessorEvent.TICK, 220) == []
    assert predecessor.handle(PredecessorEvent.TICK, 90) == [SetLimits(90, 40.0), RaiseQuota(294)]
    successor = Successor(DESCRIPTORS, MEMORY_MB, 128, 40.0)
    assert successor.quota_raised(184) == [SetLimits(184, 40.0)]
    assert successor.quota_raised(100) == []
    assert successor.predecessor_lost() == [SetLimits(DESCRIPTORS, MEMORY_MB)]


def test_a_second_successor_is_declined() -> None:
    predecessor = Predecessor(DESCRIPTORS, MEMORY_MB)
    predecessor.handle(PredecessorEvent.LISTENER_REQUESTED, 100)
    assert predecessor.handle(PredecessorEvent.LISTENER_REQUESTED, 100) == [DeclineSuccessor()]
