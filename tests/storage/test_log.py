"""What a log gives back after each crash, each fault of the disk, and each change of a byte."""

import errno
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateusher.storage.errors import LockedError, StorageError
from gateusher.storage.log import KEPT_PREFIX, NEW_SNAPSHOT, SNAPSHOT, FolderState, Log, Recovered
from gateusher.storage.port import Folder
from gateusher.storage.record_format import HEADER_SIZE
from rig.disks import CrashError, ModelFolder

SAID = [b"one", b"two" * 20, b"", b"four", b"five" * 9, b"six", b"seven"]


def told(recovered: Recovered) -> list[bytes]:
    """All that was ever given to the log, as far as it came back: a snapshot lists what it stands for."""
    before = recovered.snapshot.split(b"|")[1:]
    return before + recovered.records


def workload(disk: ModelFolder, promised: list[bytes]) -> None:
    """A first start, records, a snapshot, a second start, more; `promised` is what the log said would last."""
    log = Log(disk, "s1")
    log.open()
    log.append(SAID[:1])
    promised += SAID[:1]
    log.append(SAID[1:3])
    promised += SAID[1:3]
    assert log.compact(b"".join(b"|" + p for p in promised))
    log.append(SAID[3:4])
    promised += SAID[3:4]
    log = Log(disk, "s1")
    assert told(log.open()) == SAID[:4]
    log.append(SAID[4:5])
    promised += SAID[4:5]
    assert log.compact(b"".join(b"|" + p for p in promised))
    log.append(SAID[5:])
    promised += SAID[5:]


def crashes(make: Callable[[int], ModelFolder]) -> Iterator[tuple[int, dict[str, bytes], list[bytes]]]:
    whole = ModelFolder()
    workload(whole, [])
    for call in range(1, whole.calls + 1):
        disk, promised = make(call), list[bytes]()
        with pytest.raises(CrashError):
            workload(disk, promised)
        for state in disk.crash_states():
            yield call, state, promised


def test_every_crash_and_every_part_of_what_was_not_synced_gives_back_what_was_promised() -> None:
    count, founds = 0, set()
    for call, state, promised in crashes(lambda call: ModelFolder(crash_at=call)):
        count += 1
        disk = ModelFolder(state)
        log = Log(disk, "s1")
        recovered = log.open()
        back = told(recovered)
        assert back == SAID[: len(back)] and len(back) >= len(promised), (call, state.keys())
        assert recovered.folder_state is not FolderState.DAMAGED
        founds.add(recovered.folder_state)
        # A second crash, in the recovery or after it, changes nothing of that.
        for second in disk.crash_states():
            assert told(Log(ModelFolder(second), "s1").open())[: len(promised)] == promised
        log.append([b"after"])
        assert told(
            Log(ModelFolder(dict(zip(disk.names(), map(disk.read, disk.names()), strict=True))), "s1").open()
        ) == [
            *back,
            b"after",
        ]
    assert count > 150 and founds == {FolderState.EMPTY, FolderState.CLEAN, FolderState.TORN}


@pytest.mark.parametrize("error", [errno.EIO, errno.ENOSPC, errno.EROFS])
def test_a_failure_at_any_call_is_final_or_changes_nothing(error: int) -> None:
    whole = ModelFolder()
    workload(whole, [])
    final = 0
    for call in range(1, whole.calls + 1):
        disk, promised = ModelFolder(fail_at=call, error=error), list[bytes]()
        log = Log(disk, "s1")
        try:
            log.open()
        except OSError:
            continue  # nothing was promised
        for i, payload in enumerate(SAID):
            try:
                log.append([payload])
            except StorageError:
                break
            promised.append(payload)
            if i % 3 == 2:
                with_state = b"".join(b"|" + p for p in promised)
                try:
                    log.compact(with_state)
                except StorageError:
                    break
        if log.write_error:
            final += 1
            calls = disk.calls
            with pytest.raises(StorageError, match="refused until the next start"):
                log.append([b"x"])
            with pytest.raises(StorageError, match="refused until the next start"):
                log.compact(b"x")
            assert disk.calls == calls  # the disk isn't even asked
        for state in disk.crash_states():
            back = told(Log(ModelFolder(state), "s1").open())
            assert back[: len(promised)] == promised and back == SAID[: len(back)]
    assert final > 5


def test_a_disk_that_is_full_in_a_compaction_leaves_the_old_log_in_use() -> None:
    disk = ModelFolder()
    log = Log(disk, "s1")
    log.open()
    log.append(SAID[:2])
    disk.fail_at, disk.error = disk.calls + 2, errno.ENOSPC
    assert log.compact(b"|one") is False
    log.append(SAID[2:3])
    assert told(Log(disk, "s1").open()) == SAID[:3]


def made(path: Path, *batches: list[bytes], owner: str = "s1") -> Path:
    log = Log(Folder(str(path)), owner, str(path))
    log.open()
    for batch in batches:
        log.append(batch)
    log.close()
    return path


def opened(path: Path, owner: str = "s1") -> Recovered:
    log = Log(Folder(str(path)), owner, str(path))
    try:
        return log.open()
    finally:
        log.close()


def test_a_real_folder_comes_back_and_is_barred_to_a_second_process(tmp_path: Path) -> None:
    path = made(tmp_path / "x", SAID[:2], SAID[2:4])
    assert opened(path) == Recovered(FolderState.CLEAN, b"", SAID[:4])
    assert (path.stat().st_mode & 0o777, (path / "log-1").stat().st_mode & 0o777) == (0o700, 0o600)
    log = Log(Folder(str(path)), "s1")
    log.open()
    with pytest.raises(LockedError, match="another process"):
        opened(path)
    log.close()


def test_what_is_wrong_is_told_apart(tmp_path: Path) -> None:
    path = made(tmp_path / "torn", SAID[:2])
    log = path / "log-1"
    log.write_bytes(log.read_bytes()[:-3])
    assert opened(path) == Recovered(FolderState.TORN, b"", SAID[:1], 20 + len(SAID[1]) - 3)
    assert opened(path).folder_state is FolderState.CLEAN

    path = made(tmp_path / "middle", SAID[:1], SAID[1:2], SAID[3:4])
    log = path / "log-1"
    data = bytearray(log.read_bytes())
    data[HEADER_SIZE + 20 + 3 + 22] ^= 1
    log.write_bytes(data)
    found = opened(path)
    assert (found.folder_state, found.records) == (FolderState.DAMAGED, SAID[:1])
    assert (path / f"{KEPT_PREFIX}log-1").read_bytes() == data

    path = made(tmp_path / "gone", SAID[:1])
    (path / SNAPSHOT).unlink()
    found = opened(path)
    assert (found.folder_state, found.records) == (FolderState.DAMAGED, [])
    assert (path / f"{KEPT_PREFIX}log-1").exists()
    path = made(tmp_path / "no log", SAID[:1])
    (path / "log-1").unlink()
    assert opened(path).folder_state is FolderState.DAMAGED


def test_another_members_folder_and_a_newer_format_are_refused_and_nothing_changes(tmp_path: Path) -> None:
    path = made(tmp_path / "x", SAID[:2])
    before = {p.name: p.read_bytes() for p in path.iterdir()}
    with pytest.raises(StorageError, match="belongs to another member"):
        opened(path, "s2")
    log = path / "log-1"
    log.write_bytes(log.read_bytes()[:4] + b"\x00\x07" + log.read_bytes()[6:])
    with pytest.raises(StorageError, match="written by a newer version"):
        opened(path)
    log.write_bytes(before["log-1"])
    assert {p.name: p.read_bytes() for p in path.iterdir()} == before and NEW_SNAPSHOT not in before


def test_records_of_an_older_file_in_the_same_place_are_none(tmp_path: Path) -> None:
    path = made(tmp_path / "x", SAID[:1])
    log = Log(Folder(str(path)), "s1")
    log.open()
    old = (path / "log-1").read_bytes()
    log.compact(b"|one")
    log.close()
    (path / "log-2").write_bytes((path / "log-2").read_bytes() + old[HEADER_SIZE:])
    found = opened(path)
    assert (told(found), found.folder_state) == (SAID[:1], FolderState.TORN)


@settings(max_examples=300, deadline=None)
@given(
    name=st.sampled_from([SNAPSHOT, "log-2"]),
    at=st.integers(0, 400),
    with_=st.binary(max_size=30),
    drop=st.integers(0, 30),
)
def test_no_change_of_a_file_gives_a_wrong_record_or_a_traceback(name: str, at: int, with_: bytes, drop: int) -> None:
    disk = ModelFolder()
    log = Log(disk, "s1")
    log.open()
    log.append(SAID[:2])
    log.compact(b"".join(b"|" + p for p in SAID[:2]))
    log.append(SAID[2:4])
    log.append(SAID[4:])
    files = {n: disk.read(n) for n in disk.names()}
    data = files[name]
    at %= len(data) + 1
    files[name] = data[:at] + with_ + data[at + drop :]
    try:
        found = Log(ModelFolder(files), "s1").open()
    except StorageError:
        return
    back = told(found)
    assert back == SAID[: len(back)]
    if found.folder_state is FolderState.CLEAN and files[name] != data:
        # Only a log that ends where a record ends can look whole: nothing says how long it was.
        assert name == "log-2" and data.startswith(files[name])
