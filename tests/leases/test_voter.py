"""A voter alone: what it answers, and when; its messages' greatest length."""

from gateusher.leases import wire
from gateusher.leases.interface import (
    MAX_CHECKPOINT_BYTES,
    MAX_FENCE,
    MAX_TASK_NAME_BYTES,
    DiskFailed,
    LeaseSettings,
    MessageReceived,
    RecordStored,
    SendMessage,
    StoreRecord,
    Tick,
)
from gateusher.leases.voter import Voter
from gateusher.leases.voter_state import RecoveredState
from gateusher.leases.wire import (
    CheckpointWritten,
    LeaseRequest,
    PreVote,
    ReleaseLease,
    RenewSession,
    Verdict,
    VoteReply,
    VoterStatus,
    WriteCheckpoint,
)

SETTINGS = LeaseSettings("s", ("v1", "v2", "v3"), lease_ms=1000.0)


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
