"""One machine at a time: what it answers to messages that are late, wrong, or of another session."""

import pytest

from gateusher.leases import wire
from gateusher.leases.candidate import Candidate
from gateusher.leases.interface import (
    MAX_CHECKPOINT_BYTES,
    MAX_FENCE,
    MAX_TASK_NAME_BYTES,
    Acquire,
    CheckpointSaved,
    DiskFailed,
    LeaseAcquired,
    LeaseSettings,
    LogEvent,
    MessageReceived,
    RecordStored,
    SaveCheckpoint,
    SendMessage,
    StoreRecord,
    Tick,
)
from gateusher.leases.task_lease import State
from gateusher.leases.voter import Voter
from gateusher.leases.voter_state import RecoveredState
from gateusher.leases.wire import (
    CheckpointWritten,
    LeaseRequest,
    PreVote,
    ReleaseLease,
    RenewSession,
    SessionRenewed,
    Verdict,
    VoteReply,
    VoterStatus,
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
    first = machine.proof("x", 0.0)
    assert first is not None and first.until == pytest.approx(1000 * 0.99 / 1.01)
    machine.handle(400.0, Tick())
    number = machine.sessions.round
    answer(machine, 400.0, "v2", SessionRenewed(number, 7, 1))
    answer(machine, 400.0, "v1", SessionRenewed(number, 6, 0))  # v1 has begun anew, and has granted nothing in it
    proof = machine.proof("x", 400.0)
    assert proof is not None and proof.until == first.until
    assert machine.proof("x", first.until) is None


def test_an_answer_to_a_question_that_was_never_asked_prolongs_nothing() -> None:
    machine = candidate()
    holds(machine, "x", 0.0, v1=5, v2=7)
    before = machine.proof("x", 1.0)
    for voter, session in (("v1", 5), ("v2", 7)):
        answer(machine, 500.0, voter, SessionRenewed(10**6, session, 1))
    assert machine.proof("x", 500.0) == before


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


# -- a voter


class One:
    """A voter that remembers all, past its first lease, with what it says."""

    def __init__(self, **more: object) -> None:
        settings = SETTINGS._replace(name="v1", **more)  # type: ignore[arg-type]
        self.voter = Voter(settings, RecoveredState(False), 1000, 1, 0.0)
        self.stores: list[StoreRecord] = []
        self.now = 0.0
        self.give(Tick())
        self.sync()
        for name in ("v2", "v3"):
            self.say(name, VoterStatus(5, self.voter.state.incarnation, True, 0, 1, 1, False))
        self.now = 1001.0
        self.give(Tick())
        self.sync()
        assert self.voter.can_vote

    def give(self, event: object) -> list[wire.Message]:
        acts = self.voter.handle(self.now, event)  # type: ignore[arg-type]
        self.stores += [a for a in acts if isinstance(a, StoreRecord)]
        return [m for a in acts if isinstance(a, SendMessage) and (m := wire.decode(a.data))]

    def say(self, name: str, message: wire.Message) -> list[wire.Message]:
        return self.give(MessageReceived(name, wire.encode(message)))

    def sync(self) -> list[wire.Message]:
        said = []
        while self.stores:
            said += self.give(RecordStored(self.stores.pop(0).number))
        return said


def request(fence: int, instance: int = 1, lease: int = 1000, duty: str = "x", epoch: int = 1) -> LeaseRequest:
    return LeaseRequest(1, epoch, 1, fence, instance, lease, duty)


def verdict(said: list[wire.Message]) -> Verdict:
    (answer,) = [m for m in said if isinstance(m, VoteReply)]
    return Verdict(answer.verdict)


def test_a_grant_is_told_only_when_it_lasts_and_a_question_changes_nothing() -> None:
    one = One()
    assert verdict(one.say("a", PreVote(1, 1, "x"))) is Verdict.WOULD_GRANT and one.stores == []
    assert one.say("a", request(7)) == []
    assert verdict(one.say("b", request(9))) is Verdict.BUSY  # though it doesn't last yet
    assert verdict(one.sync()) is Verdict.GRANTED


def test_a_fence_is_granted_to_one_process_and_never_again_after_its_release() -> None:
    one = One()
    one.say("a", request(7))
    one.sync()
    assert verdict(one.say("a", request(7))) is Verdict.GRANTED
    one.say("a", ReleaseLease(7, 1, "x"))
    for late in (request(7), request(6), request(7, instance=2)):
        assert verdict(one.say("a", late)) is Verdict.STALE_FENCE
    assert one.say("b", request(8)) == [] and verdict(one.sync()) is Verdict.GRANTED


def test_a_release_by_another_process_of_the_name_frees_nothing() -> None:
    one = One()
    one.say("a", request(7))
    one.sync()
    one.say("a", ReleaseLease(99, 2, "x"))
    one.say("b", ReleaseLease(99, 1, "x"))
    assert verdict(one.say("b", request(100))) is Verdict.BUSY


def test_a_disk_that_fails_ends_the_vote_and_not_the_promise() -> None:
    one = One()
    one.say("a", request(7))
    one.sync()
    one.say("b", request(8, duty="y"))
    assert one.give(DiskFailed("EIO")) == []
    assert verdict(one.say("a", PreVote(1, 1, "z"))) is Verdict.ABSTAIN
    assert one.say("a", RenewSession(1, 1, 1, 1, 1000)) == []
    assert verdict(one.say("c", request(9, duty="y"))) is Verdict.ABSTAIN
    assert one.give(RecordStored(10**6)) == [] and not one.voter.can_vote


def test_a_longer_lease_than_its_own_is_never_granted() -> None:
    one = One()
    assert verdict(one.say("a", request(7, lease=1001))) is Verdict.ABSTAIN


def test_what_is_no_message_changes_nothing() -> None:
    one = One()
    for data in (b"", b"\xc1", b"\x93\x01", wire.encode(PreVote(1, 1, "x"))[:-1], b"\x92\x63\x01", bytes(200)):
        assert one.give(MessageReceived("a", data)) == []
    assert wire.decode(wire.encode(PreVote(1, 1, "x"))[:1] + b"\x01" + b"\xff" * 40) is None


def test_a_folder_that_is_a_copy_of_an_earlier_day_is_seen_by_what_others_remember() -> None:
    voter = Voter(SETTINGS._replace(name="v1"), RecoveredState(True), 0, 9, 0.0)
    voter.handle(0.0, Tick())
    records = [b for b in (a.record for a in voter.handle(0.0, Tick()) if isinstance(a, StoreRecord))]
    assert records == []
    one = One()
    life = one.voter.state.incarnation
    said = one.say("v2", VoterStatus(6, ((life >> 20) + 1) << 20, True, 50, 1, 1, False))
    assert not one.voter.can_vote and said == [] and one.voter.state.incarnation > life
    one.sync()
    for name in ("v2", "v3"):
        one.say(name, VoterStatus(6, one.voter.state.incarnation, True, 50, 1, 1, False))
    one.sync()
    assert one.voter.can_vote and one.voter.state.fence_floor == 50


def test_no_message_is_longer_than_a_note_may_be() -> None:
    most, name = (1 << 63) - 1, "x" * MAX_TASK_NAME_BYTES
    for message in (
        LeaseRequest(most, 10**6, 10**6, MAX_FENCE, most, 86_400_000, name),
        VoteReply(
            most,
            Verdict.WRONG_EPOCH,
            most,
            MAX_FENCE,
            86_400_000,
            name,
            name,
            MAX_FENCE,
            most,
            b"m" * MAX_CHECKPOINT_BYTES,
        ),
        WriteCheckpoint(MAX_FENCE, most, most, name, b"m" * MAX_CHECKPOINT_BYTES),
        VoterStatus(most, most, True, MAX_FENCE, 10**6, 10**6, True),
    ):
        assert len(wire.encode(message)) <= 253 and wire.decode(wire.encode(message)) == message


def test_held_is_told_once() -> None:
    machine = candidate()
    holds(machine, "x", 0.0, v1=5, v2=7)
    again = answer(machine, 1.0, "v3", VoteReply(2, Verdict.GRANTED, 3, machine.tasks["x"].target_fence, 0, "x"))
    assert not [a for a in again if isinstance(a, LeaseAcquired)]


# -- marks


def test_a_mark_is_remembered_before_it_is_told_and_a_late_one_of_the_holder_before_is_none() -> None:
    one = One()
    one.say("a", request(7))
    one.sync()
    assert one.say("a", WriteCheckpoint(7, 1, 1, "x", b"here")) == []
    assert one.sync() == [CheckpointWritten(7, 1, "x")]
    assert one.say("a", WriteCheckpoint(7, 2, 9, "x", b"another process")) == [] and one.stores == []
    one.say("a", ReleaseLease(7, 1, "x"))
    one.say("b", request(8))
    (granted,) = [m for m in one.sync() if isinstance(m, VoteReply)]
    assert (granted.checkpoint_fence, granted.checkpoint_number, granted.checkpoint) == (7, 1, b"here")
    assert one.say("a", WriteCheckpoint(7, 1, 5, "x", b"late")) == [] and one.stores == []
    one.say("b", WriteCheckpoint(8, 1, 1, "x", b"there"))
    one.sync()
    again = Voter(one.voter.settings, RecoveredState(True, one.voter.snapshot()), 0, 2, 0.0)
    assert again.state.checkpoints == {"x": (8, 1, b"there")}


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
