"""A candidate alone: what it makes of replies that are late, wrong, or of another session."""

import pytest

from gateusher.leases import wire
from gateusher.leases.candidate import Candidate
from gateusher.leases.interface import (
    MAX_FENCE,
    MAX_TASK_NAME_BYTES,
    Acquire,
    CheckpointSaved,
    LeaseAcquired,
    LeaseSettings,
    LogEvent,
    MessageReceived,
    SaveCheckpoint,
    SendMessage,
    Tick,
)
from gateusher.leases.task_lease import State
from gateusher.leases.wire import (
    CheckpointWritten,
    SessionRenewed,
    Verdict,
    VoteReply,
    WriteCheckpoint,
)

SETTINGS = LeaseSettings("s", ("v1", "v2", "v3"), lease_ms=1000.0)


def candidate() -> Candidate:
    return Candidate(SETTINGS, 77, 1, 0, 0.0)


def answer(machine: Candidate, now: float, voter: str, message: wire.Message) -> list[object]:
    return list(machine.handle(now, MessageReceived(voter, wire.encode(message))))


def holds(machine: Candidate, duty: str, now: float, **sessions: int) -> None:
    """Take it through a question and a request, granted by these voters in these sessions."""
    machine.handle(now, Acquire(duty))
    d = machine.tasks[duty]
    for voter in sessions:
        answer(machine, now, voter, VoteReply(d.round, Verdict.WOULD_GRANT, 0, 0, 0, duty))
    number = d.round
    for voter, session in sessions.items():
        answer(machine, now, voter, VoteReply(number, Verdict.GRANTED, session, d.target_fence, 0, duty))
    assert d.state is State.HELD


def test_a_grant_of_an_earlier_session_is_not_prolonged_by_the_next() -> None:
    machine = candidate()
    holds(machine, "x", 0.0, v1=5, v2=7)
    first = machine.valid_lease("x", 0.0)
    assert first is not None and first.until_ms == pytest.approx(1000 * 0.99 / 1.01)
    machine.handle(400.0, Tick())
    number = machine.sessions.round
    answer(machine, 400.0, "v2", SessionRenewed(number, 7, 1))
    answer(machine, 400.0, "v1", SessionRenewed(number, 6, 0))  # v1 has begun anew, and has granted nothing in it
    renewed = machine.valid_lease("x", 400.0)
    assert renewed is not None and renewed.until_ms == first.until_ms
    assert machine.valid_lease("x", first.until_ms) is None


def test_an_answer_to_a_question_that_was_never_asked_prolongs_nothing() -> None:
    machine = candidate()
    holds(machine, "x", 0.0, v1=5, v2=7)
    before = machine.valid_lease("x", 1.0)
    for voter, session in (("v1", 5), ("v2", 7)):
        answer(machine, 500.0, voter, SessionRenewed(10**6, session, 1))
    assert machine.valid_lease("x", 500.0) == before


def test_what_comes_from_one_that_is_no_voter_counts_for_nothing() -> None:
    machine = candidate()
    machine.handle(0.0, Acquire("x"))
    for name in ("s9", "v4", ""):
        assert not [
            a
            for a in answer(machine, 0.0, name, VoteReply(1, Verdict.WOULD_GRANT, 0, 0, 0, "x"))
            if isinstance(a, SendMessage)
        ]
    assert machine.tasks["x"].replies == {}


@pytest.mark.parametrize("name", ["", "x" * (MAX_TASK_NAME_BYTES + 1), "ä" * MAX_TASK_NAME_BYTES])
def test_a_name_that_is_none_is_told(name: str) -> None:
    with pytest.raises(ValueError, match="1 to 64 bytes"):
        candidate().handle(0.0, Acquire(name))


def test_where_no_fence_is_left_it_is_told_and_nothing_breaks() -> None:
    machine = candidate()
    machine.handle(0.0, Acquire("x"))
    told = []
    for voter in SETTINGS.voters:
        told += answer(machine, 0.0, voter, VoteReply(1, Verdict.WOULD_GRANT, 0, MAX_FENCE, 0, "x"))
    assert [a for a in told if isinstance(a, LogEvent)] and machine.tasks["x"].state is State.WAITING


def test_held_is_told_once() -> None:
    machine = candidate()
    holds(machine, "x", 0.0, v1=5, v2=7)
    again = answer(machine, 1.0, "v3", VoteReply(2, Verdict.GRANTED, 3, machine.tasks["x"].target_fence, 0, "x"))
    assert not [a for a in again if isinstance(a, LeaseAcquired)]


def test_a_mark_lasts_when_a_majority_remembers_it_and_is_sent_again_until_then() -> None:
    machine = candidate()
    holds(machine, "x", 0.0, v1=5, v2=7, v3=9)
    fence = machine.tasks["x"].fence
    sent = [a.to for a in machine.handle(1.0, SaveCheckpoint("x", b"here")) if isinstance(a, SendMessage)]
    assert sent == ["v1", "v2", "v3"]
    assert answer(machine, 2.0, "v1", CheckpointWritten(fence, 1, "x")) == []
    again = [
        a.to
        for a in machine.handle(260.0, Tick())
        if isinstance(a, SendMessage) and isinstance(wire.decode(a.data), WriteCheckpoint)
    ]
    assert again == ["v2", "v3"]
    assert answer(machine, 261.0, "v2", CheckpointWritten(fence, 1, "x")) == [CheckpointSaved("x", b"here")]
    with pytest.raises(ValueError, match="32 at most"):
        machine.handle(262.0, SaveCheckpoint("x", b"m" * 33))
    assert machine.handle(263.0, SaveCheckpoint("nobody's", b"m")) == []
