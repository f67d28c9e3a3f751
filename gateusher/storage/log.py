"""A write-ahead log and a snapshot, both crash-safe at any point.

The file `snapshot` of generation g belongs with `log-g`.  Record numbers rise by one from the snapshot's, which is
the last number that it covers.  A compaction writes and syncs the next generation's files before it renames the
snapshot, and only then removes the old log.  `record_format` defines the bytes of both files.

After a failed write or fsync(2) the contents of the disk are unknown ("Can applications recover from fsync
failures?", 2020): the log rejects every call from then on, and the next start recovers from the files.

`Log` owns the folder's files, the current generation and the number of the last record.
"""

from __future__ import annotations

import os
from enum import Enum
from typing import Final, NamedTuple

from .errors import StorageError
from .port import Disk
from .record_format import (
    HEADER_SIZE,
    MAX_RECORD_BYTES,
    MAX_SNAPSHOT_BYTES,
    RECORD_HEADER_SIZE,
    FileHeader,
    Record,
    owner_id,
    parse_header,
    parse_record,
)

SNAPSHOT: Final = "snapshot"
NEW_SNAPSHOT: Final = "snapshot.new"
DAMAGED_PREFIX: Final = "kept."  # prefix of damaged files, which are kept unchanged and never read


class FolderState(Enum):
    """State of a folder at the start; the values appear in log lines."""

    EMPTY = "empty"  # new, or the first process ended before it acknowledged a record
    CLEAN = "clean"
    TORN = "torn"  # bytes after the last valid record were cut off: an unsynced write, or damage
    DAMAGED = "damaged"  # a file is missing, or bytes before valid records are invalid


class Recovered(NamedTuple):
    """The snapshot and the records after it that were read.  `lost_bytes` were cut off or are unreadable."""

    folder_state: FolderState
    snapshot: bytes
    records: list[bytes]
    lost_bytes: int = 0


Headers = dict[str, FileHeader | None]  # by file name; None for a file without a valid header


class Log:
    """The log of one owner's folder, from `open` until `close`.  All methods block on the disk.

    `path` is the folder's name in error messages.
    """

    def __init__(self, disk: Disk, owner: str, path: str = "") -> None:
        self._disk = disk
        self._owner_id = owner_id(owner)
        self._path = path or "storage"
        self._header = FileHeader(b"", b"", 0)
        self._last_number = 0
        self.write_error = ""  # the error after which the log rejects every call
        self.size_bytes = 0  # of the log file; the owner decides when to compact it

    @property
    def _log_name(self) -> str:
        return f"log-{self._header.generation}"

    # -- recovery

    def open(self) -> Recovered:
        """Read the folder and prepare to append.

        Raises LockedError for a folder in use, StorageError for the folder of another owner or of a newer format, and
        OSError for disk errors.  The folder is unchanged then.
        """
        self._disk.lock()
        names = [name for name in self._disk.names() if not name.startswith(DAMAGED_PREFIX)]
        headers = {name: parse_header(self._disk.read(name), f"{self._path}/{name}") for name in names}
        for name, header in headers.items():
            if header and header.owner_id != self._owner_id:
                raise StorageError(f"{self._path}/{name}: belongs to another member")
        header = headers.get(SNAPSHOT)
        if header is None:
            return self._recover_without_snapshot(names, headers)
        data = self._disk.read(SNAPSHOT)
        snapshot = self._parse_snapshot(header, data)
        if snapshot is None:
            return self._start_generation(FolderState.DAMAGED, len(data), self._next_generation(headers))
        self._header = header
        if headers.get(self._log_name) != header:
            return self._start_generation(
                FolderState.DAMAGED, 0, self._next_generation(headers), snapshot.payload, snapshot.number
            )
        return self._recover_log(names, snapshot)

    def _recover_log(self, names: list[str], snapshot: Record) -> Recovered:
        """Read the records that follow the snapshot, and cut off invalid bytes."""
        file_header = self._header.pack()
        data = self._disk.read(self._log_name)
        number = snapshot.number
        records: list[bytes] = []
        end = HEADER_SIZE
        record = parse_record(file_header, data, end, number + 1, MAX_RECORD_BYTES)
        while record:
            number = record.number
            records.append(record.payload)
            end += record.size
            record = parse_record(file_header, data, end, number + 1, MAX_RECORD_BYTES)
        self._last_number = number
        self.size_bytes = end
        lost_bytes = len(data) - end
        if not lost_bytes:
            self._remove_unused(names)
            return Recovered(FolderState.CLEAN, snapshot.payload, records)
        if self._has_later_batch(file_header, data, end, number + 1):
            folder_state = FolderState.DAMAGED
            self._disk.create(f"{DAMAGED_PREFIX}{self._log_name}", data)
        else:
            folder_state = FolderState.TORN
        self._disk.truncate(self._log_name, end)
        self._disk.sync(self._log_name)
        self._remove_unused(names)
        return Recovered(folder_state, snapshot.payload, records, lost_bytes)

    @staticmethod
    def _has_later_batch(file_header: bytes, data: bytes, end: int, next_number: int) -> bool:
        """Return whether a record of a later batch follows the invalid bytes at `end`.

        A crash tears only the last batch; a later batch shows that the disk lost or changed synced records.
        """
        for offset in range(end + 1, len(data) - RECORD_HEADER_SIZE + 1):
            record = parse_record(file_header, data, offset, None, MAX_RECORD_BYTES)
            if record and record.batch_start > next_number:
                return True
        return False

    @staticmethod
    def _parse_snapshot(header: FileHeader, data: bytes) -> Record | None:
        record = parse_record(header.pack(), data, HEADER_SIZE, None, MAX_SNAPSHOT_BYTES)
        if record is None or len(data) != HEADER_SIZE + record.size:
            return None
        return record

    @staticmethod
    def _next_generation(headers: Headers) -> int:
        return max((header.generation for header in headers.values() if header), default=0) + 1

    def _recover_without_snapshot(self, names: list[str], headers: Headers) -> Recovered:
        """Initialize a folder without a readable snapshot, which is new or damaged."""
        size = sum(len(self._disk.read(name)) for name in names)
        # An interrupted first start leaves at most an empty log and a snapshot that wasn't renamed yet.
        is_first_start = set(names) <= {"log-1", NEW_SNAPSHOT}
        log_bytes = len(self._disk.read("log-1")) if is_first_start and "log-1" in names else 0
        if is_first_start and log_bytes <= HEADER_SIZE:
            return self._start_generation(FolderState.EMPTY, 0, 1)
        return self._start_generation(FolderState.DAMAGED, size, self._next_generation(headers))

    def _start_generation(
        self,
        folder_state: FolderState,
        lost_bytes: int,
        generation: int,
        snapshot: bytes = b"",
        last_number: int = 0,
    ) -> Recovered:
        """Start a generation with a new folder identifier; damaged files are renamed first."""
        self._header = FileHeader(os.urandom(16), self._owner_id, generation - 1)
        self._last_number = last_number
        if folder_state is FolderState.DAMAGED:
            for name in self._disk.names():
                if not name.startswith(DAMAGED_PREFIX):
                    self._disk.rename(name, DAMAGED_PREFIX + name)
        self._write_generation(snapshot)
        self._remove_unused(self._disk.names())
        return Recovered(folder_state, snapshot, [], lost_bytes)

    def _remove_unused(self, names: list[str]) -> None:
        """Remove the files of an interrupted compaction."""
        for name in names:
            if name not in (SNAPSHOT, self._log_name) and not name.startswith(DAMAGED_PREFIX):
                self._disk.remove(name)

    # -- writing

    def append(self, payloads: list[bytes]) -> None:
        """Write records as one batch; they are on the disk when this returns.

        Raises StorageError on a disk error and every call after it, ValueError for a record over MAX_RECORD_BYTES.
        """
        self._check_usable()
        file_header = self._header.pack()
        data = b""
        for index, payload in enumerate(payloads):
            if len(payload) > MAX_RECORD_BYTES:
                raise ValueError(f"record of {len(payload)} bytes; {MAX_RECORD_BYTES} at most")
            data += Record(self._last_number + 1 + index, payload, index).pack(file_header)
        try:
            self._disk.append(self._log_name, data)
            self._disk.sync(self._log_name)
        except OSError as error:
            raise self._fail(error) from None
        self._last_number += len(payloads)
        self.size_bytes += len(data)

    def compact(self, snapshot: bytes) -> bool:
        """Start a new log after a snapshot that covers all records so far.

        Returns False if the new files could not be written; the old ones stay in use.  Raises StorageError if it is
        unknown which of them the next start will find, and ValueError for a snapshot over MAX_SNAPSHOT_BYTES.
        """
        self._check_usable()
        if len(snapshot) > MAX_SNAPSHOT_BYTES:
            raise ValueError(f"snapshot of {len(snapshot)} bytes; {MAX_SNAPSHOT_BYTES} at most")
        old_log_name = self._log_name
        try:
            self._write_generation(snapshot)
            self._disk.remove(old_log_name)
        except StorageError:
            raise
        except OSError:
            return False
        return True

    def _write_generation(self, snapshot: bytes) -> None:
        """Write the next generation's log and snapshot, and make them current."""
        previous = self._header
        self._header = previous._replace(generation=previous.generation + 1)
        file_header = self._header.pack()
        try:
            self._disk.create(self._log_name, file_header)
            self._disk.sync(self._log_name)
            self._disk.create(NEW_SNAPSHOT, file_header + Record(self._last_number, snapshot).pack(file_header))
            self._disk.sync(NEW_SNAPSHOT)
            self._disk.sync_folder()
        except OSError:
            self._header = previous
            raise
        try:
            self._disk.rename(NEW_SNAPSHOT, SNAPSHOT)
            self._disk.sync_folder()
        except OSError as error:
            raise self._fail(error) from None
        self.size_bytes = HEADER_SIZE

    def _check_usable(self) -> None:
        if self.write_error:
            raise StorageError(f"{self._path}: {self.write_error}; rejected until the next start")

    def _fail(self, error: OSError) -> StorageError:
        self.write_error = error.strerror or str(error)
        return StorageError(f"{self._path}: {self.write_error}")

    def close(self) -> None:
        """Close the files and unlock the folder."""
        self._disk.close()
