"""A voter's folder and the lease messages keep the bytes of version ccd77f2.

`tests/data/voter-ccd77f2/README.md` says how that version wrote the folder.
"""

import shutil
from pathlib import Path
from types import SimpleNamespace

import msgspec
import pytest

from gateusher.leases import wire
from gateusher.leases.interface import LeaseSettings, MessageReceived, RecordStored, StoreRecord, Tick
from gateusher.leases.voter import Voter
from gateusher.leases.voter_state import Grant, RecoveredState
from gateusher.leases.wire import (
    CheckpointWritten,
    DropSession,
    LeaseRequest,
    PreVote,
    ReleaseAcknowledged,
    ReleaseLease,
    RenewSession,
    SessionRenewed,
    TaskReleased,
    Verdict,
    VoteReply,
    VoterStatus,
    WriteCheckpoint,
    YieldRequest,
)
from gateusher.storage import log as log_module
from gateusher.storage.log import FolderState, Log
from gateusher.storage.port import Folder

STORED = Path(__file__).parents[1] / "data" / "voter-ccd77f2"
SETTINGS = LeaseSettings("v1", ("v1", "v2", "v3"), lease_ms=1000.0, max_remembered_tasks=3)
INCARNATION = (1 << 20) | 1
PEER_STATUS = [10, 5, INCARNATION, True, 0, 1, 1, False]
# Time in ms, sender (None: a timer) and message, as in the script that wrote the folder.
Steps = list[tuple[float, str | None, list[object]]]
BEFORE_SNAPSHOT: Steps = [
    (0.0, None, []),
    (0.0, "v2", PEER_STATUS),
    (0.0, "v3", PEER_STATUS),
    (1001.0, None, []),
    (1001.0, "a", [2, 1, 1, 1, 7, 1, 1000, "x"]),
    (1002.0, "b", [2, 2, 1, 1, 9, 2, 1000, "y"]),
    (1003.0, "a", [12, 7, 1, 1, "x", b"first"]),
    (1004.0, "b", [4, 9, 2, "y"]),
]
AFTER_SNAPSHOT: Steps = [
    (1005.0, "c", [2, 3, 1, 1, 12, 3, 1000, "z"]),
    (1006.0, "d", [2, 4, 1, 1, 30, 4, 1000, "w"]),
    (1007.0, "a", [12, 7, 1, 2, "x", b"second"]),
    (1008.0, "c", [4, 12, 3, "z"]),
]


def recovered_voter(folder: Path) -> Voter:
    """A voter started from a copy of the stored folder: its second incarnation, before its first event."""
    shutil.copytree(STORED, folder, ignore=shutil.ignore_patterns("*.md", "*.txt"))
    log = Log(Folder(str(folder)), "v1")
    recovered = log.open()
    log.close()
    assert (recovered.folder_state, recovered.lost_bytes, len(recovered.records)) == (FolderState.CLEAN, 0, 4)
    return Voter(SETTINGS, RecoveredState(True, recovered.snapshot, tuple(recovered.records)), 1000, 2, 0.0)


def test_the_complete_state_in_a_folder_written_by_ccd77f2_is_recovered(tmp_path: Path) -> None:
    voter = recovered_voter(tmp_path / "voter")
    assert voter.state.grants == {"x": Grant(7, "a", 1), "z": Grant(12, "c", 3), "w": Grant(30, "d", 4)}
    assert voter.state.checkpoints == {"x": (7, 2, b"second")}
    assert (voter.state.fence_floor, voter.state.highest_fence) == (9, 30)
    assert (voter.state.min_epoch, voter.state.closed_epoch) == (1, 1)
    assert voter.state.seen_incarnations == {"v2": 5, "v3": 5}
    assert voter.state.trusted
    assert voter.state.incarnation == (2 << 20) | 2  # its second start


def test_a_snapshot_of_the_recovered_state_has_the_records_of_ccd77f2(tmp_path: Path) -> None:
    voter = recovered_voter(tmp_path / "voter")
    records = msgspec.msgpack.decode(voter.snapshot(), type=list[bytes])
    assert [msgspec.msgpack.decode(record) for record in records] == [
        ["life", (2 << 20) | 2],
        ["floor", "", 9],
        ["epoch", 1, 1],
        ["trust", True],
        ["seen", "v2", 5],
        ["seen", "v3", 5],
        ["grant", "x", 7, "a", 1, 0],
        ["grant", "z", 12, "c", 3, 0],
        ["grant", "w", 30, "d", 4, 0],
        ["mark", "x", 7, 2, b"second"],
    ]


def test_the_same_messages_write_the_same_files(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(log_module, "os", SimpleNamespace(urandom=lambda size: bytes(range(size))))
    folder = tmp_path / "voter"
    log = Log(Folder(str(folder)), "v1")
    log.open()
    voter = Voter(SETTINGS, RecoveredState(False), 1000, 1, 0.0)

    def handle(steps: Steps) -> None:
        for now, origin, message in steps:
            event = Tick() if origin is None else MessageReceived(origin, msgspec.msgpack.encode(message))
            pending = [a for a in voter.handle(now, event) if isinstance(a, StoreRecord)]
            while pending:
                action = pending.pop(0)
                log.append([action.record])
                actions = voter.handle(now, RecordStored(action.number))
                pending += [a for a in actions if isinstance(a, StoreRecord)]

    handle(BEFORE_SNAPSHOT)
    assert log.compact(voter.snapshot())
    handle(AFTER_SNAPSHOT)
    log.close()
    for name in ("snapshot", "log-2"):
        assert (folder / name).read_bytes() == (STORED / name).read_bytes()
    assert sorted(path.name for path in folder.iterdir()) == ["lock", "log-2", "snapshot"]


@pytest.mark.parametrize(
    ("message", "data"),
    [
        (PreVote(1, 2, "x"), "94010102a178"),
        (LeaseRequest(1, 2, 1, 7, 99, 1000, "x"), "98020102010763cd03e8a178"),
        (RenewSession(3, 2, 1, 99, 1000), "960303020163cd03e8"),
        (ReleaseLease(7, 99, "x"), "94040763a178"),
        (
            VoteReply(1, Verdict.GRANTED, 5, 7, 0, "x", "s1", 6, 2, b"mark"),
            "9b050101050700a178a273310602c4046d61726b",
        ),
        (VoteReply(1, Verdict.BUSY, 0, 7, 250, "x"), "9b0501020007ccfaa178a00000c400"),
        (SessionRenewed(3, 5, 2), "9406030502"),
        (ReleaseAcknowledged(7, "x"), "930707a178"),
        (TaskReleased(7, 1, "x"), "94080701a178"),
        (DropSession(99), "920963"),
        (VoterStatus(INCARNATION, 5, True, 30, 2, 1, False), "980ace0010000105c31e0201c2"),
        (YieldRequest("x"), "920ba178"),
        (WriteCheckpoint(7, 99, 2, "x", b"mark"), "960c076302a178c4046d61726b"),
        (CheckpointWritten(7, 2, "x"), "940d0702a178"),
    ],
)
def test_each_message_has_the_bytes_of_ccd77f2(message: wire.Message, data: str) -> None:
    assert wire.encode(message) == bytes.fromhex(data)
    assert wire.decode(bytes.fromhex(data)) == message
