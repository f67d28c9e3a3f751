"""One candidate: late and invalid replies, and replies of another session."""

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
    VotersChanged,
)
from gateusher.leases.task_lease import State
from gateusher.leases.voter import Voter
from gateusher.leases.voter_state import RecoveredState
from gateusher.leases.wire import (
    CheckpointWritten,
    SessionRenewed,
    Verdict,
    VoteReply,
    WriteCheckpoint,
)

SETTINGS = LeaseSettings("s", ("v1", "v2", "v3"), lease_ms=1000.0)


def new_candidate() -> Candidate:
    return Candidate(SETTINGS, 77, 1, 0, 0.0)


def receive(candidate: Candidate, now: float, voter: str, message: wire.Message) -> list[object]:
    return list(candidate.handle(now, MessageReceived(voter, wire.encode(message))))


def acquire(candidate: Candidate, task: str, now: float, **sessions: int) -> None:
    """Acquire a task through a pre-vote and a lease request, granted by these voters in these sessions."""
    candidate.handle(now, Acquire(task))
    lease = candidate.tasks[task]
    for voter in sessions:
        receive(candidate, now, voter, VoteReply(lease.round, Verdict.WOULD_GRANT, 0, 0, 0, task))
    round_number = lease.round
    for voter, session in sessions.items():
        receive(candidate, now, voter, VoteReply(round_number, Verdict.GRANTED, session, lease.target_fence, 0, task))
    assert lease.state is State.HELD


def test_a_new_session_does_not_extend_grants_of_the_previous_session() -> None:
    candidate = new_candidate()
    acquire(candidate, "x", 0.0, v1=5, v2=7)
    acquired = candidate.valid_lease("x", 0.0)
    assert acquired is not None and acquired.until_ms == pytest.approx(1000 * 0.99 / 1.01)
    candidate.handle(400.0, Tick())
    round_number = candidate.sessions.round
    receive(candidate, 400.0, "v2", SessionRenewed(round_number, 7, 1))
    receive(candidate, 400.0, "v1", SessionRenewed(round_number, 6, 0))  # v1 began a new session without grants
    renewed = candidate.valid_lease("x", 400.0)
    assert renewed is not None and renewed.until_ms == acquired.until_ms
    assert candidate.valid_lease("x", acquired.until_ms) is None


def test_a_reply_to_an_unknown_round_extends_no_session() -> None:
    candidate = new_candidate()
    acquire(candidate, "x", 0.0, v1=5, v2=7)
    before = candidate.valid_lease("x", 1.0)
    for voter, session in (("v1", 5), ("v2", 7)):
        receive(candidate, 500.0, voter, SessionRenewed(10**6, session, 1))
    assert candidate.valid_lease("x", 500.0) == before


def test_replies_from_non_voters_are_ignored() -> None:
    candidate = new_candidate()
    candidate.handle(0.0, Acquire("x"))
    for name in ("s9", "v4", ""):
        assert not [
            a
            for a in receive(candidate, 0.0, name, VoteReply(1, Verdict.WOULD_GRANT, 0, 0, 0, "x"))
            if isinstance(a, SendMessage)
        ]
    assert candidate.tasks["x"].replies == {}


@pytest.mark.parametrize("name", ["", "x" * (MAX_TASK_NAME_BYTES + 1), "ä" * MAX_TASK_NAME_BYTES])
def test_an_invalid_task_name_raises_value_error(name: str) -> None:
    with pytest.raises(ValueError, match="1 to 64 bytes"):
        new_candidate().handle(0.0, Acquire(name))


def test_exhausted_fences_are_logged_and_the_task_waits() -> None:
    candidate = new_candidate()
    candidate.handle(0.0, Acquire("x"))
    actions = []
    for voter in SETTINGS.voters:
        actions += receive(candidate, 0.0, voter, VoteReply(1, Verdict.WOULD_GRANT, 0, MAX_FENCE, 0, "x"))
    assert [a for a in actions if isinstance(a, LogEvent)] and candidate.tasks["x"].state is State.WAITING


def test_lease_acquired_is_reported_once() -> None:
    candidate = new_candidate()
    acquire(candidate, "x", 0.0, v1=5, v2=7)
    actions = receive(
        candidate, 1.0, "v3", VoteReply(2, Verdict.GRANTED, 3, candidate.tasks["x"].target_fence, 0, "x")
    )
    assert not [a for a in actions if isinstance(a, LeaseAcquired)]


def test_a_checkpoint_is_resent_until_a_majority_has_stored_it() -> None:
    candidate = new_candidate()
    acquire(candidate, "x", 0.0, v1=5, v2=7, v3=9)
    fence = candidate.tasks["x"].fence
    sent_to = [
        action.to for action in candidate.handle(1.0, SaveCheckpoint("x", b"here")) if isinstance(action, SendMessage)
    ]
    assert sent_to == ["v1", "v2", "v3"]
    assert receive(candidate, 2.0, "v1", CheckpointWritten(fence, 1, "x")) == []
    resent_to = [
        a.to
        for a in candidate.handle(260.0, Tick())
        if isinstance(a, SendMessage) and isinstance(wire.decode(a.data), WriteCheckpoint)
    ]
    assert resent_to == ["v2", "v3"]
    assert receive(candidate, 261.0, "v2", CheckpointWritten(fence, 1, "x")) == [CheckpointSaved("x", b"here")]
    with pytest.raises(ValueError, match="32 at most"):
        candidate.handle(262.0, SaveCheckpoint("x", b"m" * 33))
    assert candidate.handle(263.0, SaveCheckpoint("other", b"m")) == []


def change_voters(candidate: Candidate, now: float, voters: tuple[str, ...], epoch: int) -> None:
    candidate.handle(now, VotersChanged(SETTINGS._replace(voters=voters, epoch=epoch)))


def test_a_grant_of_a_voter_that_was_removed_during_the_request_does_not_count() -> None:
    candidate = new_candidate()
    candidate.handle(0.0, Acquire("x"))
    lease = candidate.tasks["x"]
    for voter in ("v1", "v2"):
        receive(candidate, 0.0, voter, VoteReply(lease.round, Verdict.WOULD_GRANT, 0, 0, 0, "x"))
    receive(candidate, 1.0, "v3", VoteReply(lease.round, Verdict.GRANTED, 9, lease.target_fence, 0, "x"))
    change_voters(candidate, 2.0, ("v1", "v2", "v4"), epoch=2)
    for voter, session in (("v1", 5), ("v2", 7)):
        receive(candidate, 3.0, voter, VoteReply(lease.round, Verdict.GRANTED, session, lease.target_fence, 0, "x"))
    assert lease.state is State.HELD
    # v4 has seen a higher fence: the candidate considers whether the loss of one more voter would lose the lease.
    receive(candidate, 4.0, "v4", SessionRenewed(lease.round, 3, 1))  # a session begun by another task
    receive(candidate, 4.0, "v4", VoteReply(lease.round, Verdict.STALE_FENCE, 0, lease.target_fence + 1, 0, "x"))
    candidate.handle(260.0, Tick())
    assert sorted(lease.grants) == ["v1", "v2"] and lease.target_fence == lease.fence + 2


@pytest.mark.parametrize(("lease_ms", "drift"), [(200.9, 0.0), (200.9, 0.001), (1.001 * 1000, 0.0), (1000.0, 0.01)])
def test_the_lease_expires_at_the_holder_before_it_does_at_a_voter(lease_ms: float, drift: float) -> None:
    settings = SETTINGS._replace(name="v1", voters=("v1",), lease_ms=lease_ms, drift=drift)
    candidate = Candidate(settings, 77, 1, 0, 0.0)
    voter = Voter(settings._replace(durable=False), RecoveredState(False), 1000, 1, 0.0)
    now = 2 * lease_ms
    voter.handle(now, Tick())
    messages = candidate.handle(now, Acquire("x"))
    while messages:  # without any delay
        message = messages.pop(0)
        if isinstance(message, SendMessage):
            machine = voter if isinstance(wire.decode(message.data), wire.VOTER_MESSAGES) else candidate
            messages += machine.handle(now, MessageReceived("v1", message.data))
    lease = candidate.valid_lease("x", now)
    (held,) = voter.held_grants()
    assert lease is not None and lease.until_ms <= now + held.remaining_ms
