"""One voter: its replies, when they are sent, and the maximum size of its messages."""

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
from gateusher.leases.voter import NONCE_BITS, Voter
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


class VoterFixture:
    """A voter with complete state, past its first lease, and its replies."""

    def __init__(self, **changes: object) -> None:
        settings = SETTINGS._replace(name="v1", **changes)  # type: ignore[arg-type]
        self.voter = Voter(settings, RecoveredState(False), 1000, 1, 0.0)
        self.unsynced_records: list[StoreRecord] = []
        self.now = 0.0
        self.handle(Tick())
        self.sync()
        for name in ("v2", "v3"):
            self.receive(name, VoterStatus(5, self.voter.state.incarnation, True, 0, 1, 1, False))
        self.now = 1001.0
        self.handle(Tick())
        self.sync()
        assert self.voter.can_vote

    def handle(self, event: object) -> list[wire.Message]:
        actions = self.voter.handle(self.now, event)  # type: ignore[arg-type]
        self.unsynced_records += [a for a in actions if isinstance(a, StoreRecord)]
        return [m for a in actions if isinstance(a, SendMessage) and (m := wire.decode(a.data))]

    def receive(self, name: str, message: wire.Message) -> list[wire.Message]:
        return self.handle(MessageReceived(name, wire.encode(message)))

    def sync(self) -> list[wire.Message]:
        replies = []
        while self.unsynced_records:
            replies += self.handle(RecordStored(self.unsynced_records.pop(0).number))
        return replies


def request(fence: int, instance: int = 1, lease_ms: int = 1000, task: str = "x", epoch: int = 1) -> LeaseRequest:
    return LeaseRequest(1, epoch, 1, fence, instance, lease_ms, task)


def verdict(replies: list[wire.Message]) -> Verdict:
    (reply,) = [m for m in replies if isinstance(m, VoteReply)]
    return Verdict(reply.verdict)


def test_a_grant_is_sent_after_its_record_is_stored_and_a_pre_vote_changes_nothing() -> None:
    fixture = VoterFixture()
    assert verdict(fixture.receive("a", PreVote(1, 1, "x"))) is Verdict.WOULD_GRANT and fixture.unsynced_records == []
    assert fixture.receive("a", request(7)) == []
    assert verdict(fixture.receive("b", request(9))) is Verdict.BUSY  # although the record is not stored yet
    assert verdict(fixture.sync()) is Verdict.GRANTED


def test_a_fence_is_granted_to_one_process_and_not_again_after_its_release() -> None:
    fixture = VoterFixture()
    fixture.receive("a", request(7))
    fixture.sync()
    assert verdict(fixture.receive("a", request(7))) is Verdict.GRANTED
    fixture.receive("a", ReleaseLease(7, 1, "x"))
    for delayed in (request(7), request(6), request(7, instance=2)):
        assert verdict(fixture.receive("a", delayed)) is Verdict.STALE_FENCE
    assert fixture.receive("b", request(8)) == [] and verdict(fixture.sync()) is Verdict.GRANTED


def test_a_release_from_another_process_with_the_same_name_is_ignored() -> None:
    fixture = VoterFixture()
    fixture.receive("a", request(7))
    fixture.sync()
    fixture.receive("a", ReleaseLease(99, 2, "x"))
    fixture.receive("b", ReleaseLease(99, 1, "x"))
    assert verdict(fixture.receive("b", request(100))) is Verdict.BUSY


def test_a_disk_error_ends_voting_but_not_existing_grants() -> None:
    fixture = VoterFixture()
    fixture.receive("a", request(7))
    fixture.sync()
    fixture.receive("b", request(8, task="y"))
    assert fixture.handle(DiskFailed("EIO")) == []
    assert verdict(fixture.receive("a", PreVote(1, 1, "z"))) is Verdict.ABSTAIN
    assert fixture.receive("a", RenewSession(1, 1, 1, 1, 1000)) == []
    assert verdict(fixture.receive("c", request(9, task="y"))) is Verdict.ABSTAIN
    assert fixture.handle(RecordStored(10**6)) == [] and not fixture.voter.can_vote


def test_a_lease_longer_than_configured_is_not_granted() -> None:
    fixture = VoterFixture()
    assert verdict(fixture.receive("a", request(7, lease_ms=1001))) is Verdict.ABSTAIN


def test_invalid_messages_are_ignored() -> None:
    fixture = VoterFixture()
    for data in (b"", b"\xc1", b"\x93\x01", wire.encode(PreVote(1, 1, "x"))[:-1], b"\x92\x63\x01", bytes(200)):
        assert fixture.handle(MessageReceived("a", data)) == []
    assert wire.decode(wire.encode(PreVote(1, 1, "x"))[:1] + b"\x01" + b"\xff" * 40) is None


def test_an_outdated_folder_is_detected_by_the_status_of_other_voters() -> None:
    voter = Voter(SETTINGS._replace(name="v1"), RecoveredState(True), 0, 9, 0.0)
    voter.handle(0.0, Tick())
    records = [b for b in (a.record for a in voter.handle(0.0, Tick()) if isinstance(a, StoreRecord))]
    assert records == []
    fixture = VoterFixture()
    incarnation = fixture.voter.state.incarnation
    replies = fixture.receive("v2", VoterStatus(6, ((incarnation >> 20) + 1) << 20, True, 50, 1, 1, False))
    assert not fixture.voter.can_vote and replies == [] and fixture.voter.state.incarnation > incarnation
    fixture.sync()
    for name in ("v2", "v3"):
        fixture.receive(name, VoterStatus(6, fixture.voter.state.incarnation, True, 50, 1, 1, False))
    fixture.sync()
    assert fixture.voter.can_vote and fixture.voter.state.fence_floor == 50


def test_every_message_fits_a_direct_message() -> None:
    max_number, name = (1 << 63) - 1, "x" * MAX_TASK_NAME_BYTES
    for message in (
        LeaseRequest(max_number, 10**6, 10**6, MAX_FENCE, max_number, 86_400_000, name),
        VoteReply(
            max_number,
            Verdict.WRONG_EPOCH,
            max_number,
            MAX_FENCE,
            86_400_000,
            name,
            name,
            MAX_FENCE,
            max_number,
            b"m" * MAX_CHECKPOINT_BYTES,
        ),
        WriteCheckpoint(MAX_FENCE, max_number, max_number, name, b"m" * MAX_CHECKPOINT_BYTES),
        VoterStatus(max_number, max_number, True, MAX_FENCE, 10**6, 10**6, True),
    ):
        assert len(wire.encode(message)) <= 253 and wire.decode(wire.encode(message)) == message


def test_a_checkpoint_is_stored_before_its_reply_and_a_previous_holders_is_ignored() -> None:
    fixture = VoterFixture()
    fixture.receive("a", request(7))
    fixture.sync()
    assert fixture.receive("a", WriteCheckpoint(7, 1, 1, "x", b"here")) == []
    assert fixture.sync() == [CheckpointWritten(7, 1, "x")]
    assert (
        fixture.receive("a", WriteCheckpoint(7, 2, 9, "x", b"another process")) == []
        and fixture.unsynced_records == []
    )
    fixture.receive("a", ReleaseLease(7, 1, "x"))
    fixture.receive("b", request(8))
    (granted,) = [m for m in fixture.sync() if isinstance(m, VoteReply)]
    assert (granted.checkpoint_fence, granted.checkpoint_number, granted.checkpoint) == (7, 1, b"here")
    assert fixture.receive("a", WriteCheckpoint(7, 1, 5, "x", b"late")) == [] and fixture.unsynced_records == []
    fixture.receive("b", WriteCheckpoint(8, 1, 1, "x", b"there"))
    fixture.sync()
    restarted = Voter(fixture.voter.settings, RecoveredState(True, fixture.voter.snapshot()), 0, 2, 0.0)
    assert restarted.state.checkpoints == {"x": (8, 1, b"there")}


def test_sessions_are_numbered_above_the_incarnation_also_after_it_was_raised() -> None:
    fixture = VoterFixture()
    fixture.receive("a", request(7))
    (first,) = fixture.sync()
    assert isinstance(first, VoteReply)
    # v2 knows a later incarnation of this voter, whose wall clock was set back or whose folder is an older copy.
    later = fixture.voter.state.incarnation + (5 << NONCE_BITS)
    fixture.receive("v2", VoterStatus(5, later, True, 0, 1, 1, False))
    fixture.sync()
    for name in ("v2", "v3"):
        fixture.receive(name, VoterStatus(5, fixture.voter.state.incarnation, True, 0, 1, 1, False))
    fixture.sync()
    assert fixture.voter.can_vote and fixture.voter.state.incarnation > later
    fixture.receive("b", request(8, task="y"))
    (granted,) = fixture.sync()
    assert isinstance(granted, VoteReply) and granted.session > later
    (renewed,) = fixture.receive("a", RenewSession(2, 1, 1, 1, 1000))  # of the session begun before
    assert isinstance(renewed, SessionRenewed) and renewed.session > later and renewed.grant_count == 1
    assert fixture.voter.holder("x") == "a"
