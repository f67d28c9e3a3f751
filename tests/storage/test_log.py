"""Recovery of a log after crashes, disk errors and changed bytes."""

import errno
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateusher.storage.errors import LockedError, StorageError
from gateusher.storage.log import DAMAGED_PREFIX, NEW_SNAPSHOT, SNAPSHOT, FolderState, Log, Recovered
from gateusher.storage.port import Folder
from gateusher.storage.record_format import HEADER_SIZE
from rig.disks import CrashError, Model

PAYLOADS = [b"one", b"two" * 20, b"", b"four", b"five" * 9, b"six", b"seven"]


def recovered_payloads(recovered: Recovered) -> list[bytes]:
    """Return all recovered payloads; a snapshot in these tests lists the payloads that it covers."""
    before = recovered.snapshot.split(b"|")[1:]
    return before + recovered.records


def workload(disk: Model, acknowledged: list[bytes]) -> None:
    """Append and compact in two starts; `acknowledged` collects the payloads of completed appends."""
    log = Log(disk, "s1")
    log.open()
    log.append(PAYLOADS[:1])
    acknowledged += PAYLOADS[:1]
    log.append(PAYLOADS[1:3])
    acknowledged += PAYLOADS[1:3]
    assert log.compact(b"".join(b"|" + p for p in acknowledged))
    log.append(PAYLOADS[3:4])
    acknowledged += PAYLOADS[3:4]
    log = Log(disk, "s1")
    assert recovered_payloads(log.open()) == PAYLOADS[:4]
    log.append(PAYLOADS[4:5])
    acknowledged += PAYLOADS[4:5]
    assert log.compact(b"".join(b"|" + p for p in acknowledged))
    log.append(PAYLOADS[5:])
    acknowledged += PAYLOADS[5:]


def crashes(make: Callable[[int], Model]) -> Iterator[tuple[int, dict[str, bytes], list[bytes]]]:
    complete_run = Model()
    workload(complete_run, [])
    for call in range(1, complete_run.calls + 1):
        disk, acknowledged = make(call), list[bytes]()
        with pytest.raises(CrashError):
            workload(disk, acknowledged)
        for state in disk.states():
            yield call, state, acknowledged


def test_no_crash_loses_an_acknowledged_record_whatever_part_of_unsynced_data_persists() -> None:
    count, folder_states = 0, set()
    for call, state, acknowledged in crashes(lambda call: Model(crash=call)):
        count += 1
        disk = Model(state)
        log = Log(disk, "s1")
        recovered = log.open()
        payloads = recovered_payloads(recovered)
        assert payloads == PAYLOADS[: len(payloads)] and len(payloads) >= len(acknowledged), (call, state.keys())
        assert recovered.folder_state is not FolderState.DAMAGED
        folder_states.add(recovered.folder_state)
        # A second crash, during or after the recovery, loses no acknowledged record.
        for second in disk.states():
            assert recovered_payloads(Log(Model(second), "s1").open())[: len(acknowledged)] == acknowledged
        log.append([b"after"])
        assert recovered_payloads(
            Log(Model(dict(zip(disk.names(), map(disk.read, disk.names()), strict=True))), "s1").open()
        ) == [
            *payloads,
            b"after",
        ]
    assert count > 150 and folder_states == {FolderState.EMPTY, FolderState.CLEAN, FolderState.TORN}


@pytest.mark.parametrize("error", [errno.EIO, errno.ENOSPC, errno.EROFS])
def test_a_disk_error_at_any_call_is_final_or_changes_nothing(error: int) -> None:
    complete_run = Model()
    workload(complete_run, [])
    final = 0
    for call in range(1, complete_run.calls + 1):
        disk, acknowledged = Model(fails=call, error=error), list[bytes]()
        log = Log(disk, "s1")
        try:
            log.open()
        except OSError:
            continue  # nothing was acknowledged
        for i, payload in enumerate(PAYLOADS):
            try:
                log.append([payload])
            except StorageError:
                break
            acknowledged.append(payload)
            if i % 3 == 2:
                snapshot = b"".join(b"|" + p for p in acknowledged)
                try:
                    log.compact(snapshot)
                except StorageError:
                    break
        if log.write_error:
            final += 1
            calls = disk.calls
            with pytest.raises(StorageError, match="rejected until the next start"):
                log.append([b"x"])
            with pytest.raises(StorageError, match="rejected until the next start"):
                log.compact(b"x")
            assert disk.calls == calls  # the disk isn't called again
        for state in disk.states():
            payloads = recovered_payloads(Log(Model(state), "s1").open())
            assert payloads[: len(acknowledged)] == acknowledged and payloads == PAYLOADS[: len(payloads)]
    assert final > 5


def test_a_full_disk_during_compaction_leaves_the_old_log_in_use() -> None:
    disk = Model()
    log = Log(disk, "s1")
    log.open()
    log.append(PAYLOADS[:2])
    disk.fails, disk.error = disk.calls + 2, errno.ENOSPC
    assert log.compact(b"|one") is False
    log.append(PAYLOADS[2:3])
    assert recovered_payloads(Log(disk, "s1").open()) == PAYLOADS[:3]


def create_folder(path: Path, *batches: list[bytes], owner: str = "s1") -> Path:
    log = Log(Folder(str(path)), owner, str(path))
    log.open()
    for batch in batches:
        log.append(batch)
    log.close()
    return path


def open_folder(path: Path, owner: str = "s1") -> Recovered:
    log = Log(Folder(str(path)), owner, str(path))
    try:
        return log.open()
    finally:
        log.close()


def test_a_folder_is_recovered_and_locked_against_a_second_process(tmp_path: Path) -> None:
    path = create_folder(tmp_path / "x", PAYLOADS[:2], PAYLOADS[2:4])
    assert open_folder(path) == Recovered(FolderState.CLEAN, b"", PAYLOADS[:4])
    assert (path.stat().st_mode & 0o777, (path / "log-1").stat().st_mode & 0o777) == (0o700, 0o600)
    log = Log(Folder(str(path)), "s1")
    log.open()
    with pytest.raises(LockedError, match="another process"):
        open_folder(path)
    log.close()


def test_torn_and_damaged_folders_are_distinguished(tmp_path: Path) -> None:
    path = create_folder(tmp_path / "torn", PAYLOADS[:2])
    log = path / "log-1"
    log.write_bytes(log.read_bytes()[:-3])
    assert open_folder(path) == Recovered(FolderState.TORN, b"", PAYLOADS[:1], 20 + len(PAYLOADS[1]) - 3)
    assert open_folder(path).folder_state is FolderState.CLEAN

    path = create_folder(tmp_path / "middle", PAYLOADS[:1], PAYLOADS[1:2], PAYLOADS[3:4])
    log = path / "log-1"
    data = bytearray(log.read_bytes())
    data[HEADER_SIZE + 20 + 3 + 22] ^= 1
    log.write_bytes(data)
    recovered = open_folder(path)
    assert (recovered.folder_state, recovered.records) == (FolderState.DAMAGED, PAYLOADS[:1])
    assert (path / f"{DAMAGED_PREFIX}log-1").read_bytes() == data

    path = create_folder(tmp_path / "gone", PAYLOADS[:1])
    (path / SNAPSHOT).unlink()
    recovered = open_folder(path)
    assert (recovered.folder_state, recovered.records) == (FolderState.DAMAGED, [])
    assert (path / f"{DAMAGED_PREFIX}log-1").exists()
    path = create_folder(tmp_path / "no log", PAYLOADS[:1])
    (path / "log-1").unlink()
    assert open_folder(path).folder_state is FolderState.DAMAGED


def test_another_members_folder_and_a_newer_format_are_rejected_unchanged(tmp_path: Path) -> None:
    path = create_folder(tmp_path / "x", PAYLOADS[:2])
    before = {p.name: p.read_bytes() for p in path.iterdir()}
    with pytest.raises(StorageError, match="belongs to another member"):
        open_folder(path, "s2")
    log = path / "log-1"
    log.write_bytes(log.read_bytes()[:4] + b"\x00\x07" + log.read_bytes()[6:])
    with pytest.raises(StorageError, match="written by a newer version"):
        open_folder(path)
    log.write_bytes(before["log-1"])
    assert {p.name: p.read_bytes() for p in path.iterdir()} == before and NEW_SNAPSHOT not in before


def test_records_of_an_older_generation_are_invalid(tmp_path: Path) -> None:
    path = create_folder(tmp_path / "x", PAYLOADS[:1])
    log = Log(Folder(str(path)), "s1")
    log.open()
    old = (path / "log-1").read_bytes()
    log.compact(b"|one")
    log.close()
    (path / "log-2").write_bytes((path / "log-2").read_bytes() + old[HEADER_SIZE:])
    recovered = open_folder(path)
    assert (recovered_payloads(recovered), recovered.folder_state) == (PAYLOADS[:1], FolderState.TORN)


@settings(max_examples=300, deadline=None)
@given(
    name=st.sampled_from([SNAPSHOT, "log-2"]),
    offset=st.integers(0, 400),
    inserted=st.binary(max_size=30),
    deleted=st.integers(0, 30),
)
def test_a_changed_file_yields_no_wrong_record_and_no_unexpected_exception(
    name: str, offset: int, inserted: bytes, deleted: int
) -> None:
    disk = Model()
    log = Log(disk, "s1")
    log.open()
    log.append(PAYLOADS[:2])
    log.compact(b"".join(b"|" + p for p in PAYLOADS[:2]))
    log.append(PAYLOADS[2:4])
    log.append(PAYLOADS[4:])
    files = {n: disk.read(n) for n in disk.names()}
    data = files[name]
    offset %= len(data) + 1
    files[name] = data[:offset] + inserted + data[offset + deleted :]
    try:
        recovered = Log(Model(files), "s1").open()
    except StorageError:
        return
    payloads = recovered_payloads(recovered)
    assert payloads == PAYLOADS[: len(payloads)]
    if recovered.folder_state is FolderState.CLEAN and files[name] != data:
        # Only a log cut off at the end of a record looks clean: its length is not stored.
        assert name == "log-2" and data.startswith(files[name])
