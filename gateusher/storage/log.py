"""A log and a snapshot that a crash at any moment leaves readable.

    header of a file: "GuLg" | version 2 | folder 16 | owner 16 | generation 8 | crc32c 4
    record:           length 4 | crc32c 4 | number 8 | place in what was written with it 4 | payload

All numbers are big-endian.  A record's checksum is over the header of its file and all of its own but the checksum:
what is left of another file, or of another place in this one, is no record.  Numbers go up by one from the
snapshot's, which is the last that it covers.  `snapshot` of generation g goes with `log-g`; the next pair is written
whole and made to last before the snapshot takes its name, and only then the old log goes.

What a failed write or fsync leaves behind nobody knows ("Can applications recover from fsync failures?", 2020): from
then on this object refuses, and only the next start, which reads what is there, goes on.
"""

from __future__ import annotations

import os
import struct
from enum import Enum
from hashlib import blake2b
from typing import Final, NamedTuple

from google_crc32c import value as crc32c

from .port import Disk

MAGIC: Final = b"GuLg"
VERSION: Final = 1
_HEADER = struct.Struct(">4sH16s16sQ")
_SUM = struct.Struct(">I")
HEADER_SIZE: Final = _HEADER.size + _SUM.size
_RECORD = struct.Struct(">IIQI")
MOST_RECORD: Final = 1 << 16
MOST_SNAPSHOT: Final = 1 << 26
SNAPSHOT, NEW = "snapshot", "snapshot.new"
KEPT: Final = "kept."  # what was damaged, as it was found


class StorageError(OSError):
    """This folder can't be used, or not any more; the text says why.  Nothing in it was changed by the refusal."""


class Found(Enum):
    """What a folder was like."""

    EMPTY = "empty"  # nobody's, or its first process ended before anything was promised
    CLEAN = "clean"
    TORN = "torn"  # what follows the last whole record was cut off: unsynced, or damaged since
    DAMAGED = "damaged"  # what comes before whole records can't be read, or a file is gone


class Recovered(NamedTuple):
    """What could be read: a state, and the records after it.  `lost` bytes were cut off or are unreadable."""

    found: Found
    state: bytes
    records: list[bytes]
    lost: int = 0


def _owner(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=16, person=b"gateusher-store").digest()


class _Header(NamedTuple):
    folder: bytes
    owner: bytes
    generation: int

    def bytes(self) -> bytes:
        head = _HEADER.pack(MAGIC, VERSION, self.folder, self.owner, self.generation)
        return head + _SUM.pack(crc32c(head))


def _record(head: bytes, number: int, payload: bytes, place: int = 0) -> bytes:
    sum_ = crc32c(head + _RECORD.pack(len(payload), 0, number, place) + payload)
    return _RECORD.pack(len(payload), sum_, number, place) + payload


def _header(data: bytes, path: str) -> _Header | None:
    """None for what is no whole header.  Raises StorageError for one of a newer format."""
    if len(data) < HEADER_SIZE or data[:4] != MAGIC:
        return None
    _, version, folder, owner, generation = _HEADER.unpack_from(data)
    if version > VERSION:  # its checksum may be elsewhere; a changed bit here is refused too, which changes nothing
        raise StorageError(f"{path}: written by a newer version (format {version}, this one reads {VERSION})")
    (found,) = _SUM.unpack_from(data, _HEADER.size)
    return _Header(folder, owner, generation) if crc32c(data[: _HEADER.size]) == found else None


def _whole(head: bytes, data: bytes, at: int, number: int | None, most: int) -> tuple[int, bytes, int] | None:
    """Number, payload and place of the record at `at`; None where there is none that is whole and has this number."""
    if at + _RECORD.size > len(data):
        return None
    size, sum_, found, place = _RECORD.unpack_from(data, at)
    if size > most or at + _RECORD.size + size > len(data) or (number is not None and found != number):
        return None
    payload = data[at + _RECORD.size : at + _RECORD.size + size]
    if crc32c(head + _RECORD.pack(size, 0, found, place) + payload) != sum_:
        return None
    return found, payload, place


class Log:
    """One owner's folder, from `open` until `close`.  Every method but these may take as long as the disk does."""

    def __init__(self, disk: Disk, owner: str, path: str = "") -> None:
        self._disk, self._owner, self._path = disk, _owner(owner), path or "storage"
        self._header = _Header(b"", b"", 0)
        self._number = 0
        self.broken = ""  # why it refuses
        self.size = 0  # bytes of the log; the owner says when it is long enough for a snapshot

    @property
    def _log(self) -> str:
        return f"log-{self._header.generation}"

    # -- the start

    def open(self) -> Recovered:
        """Read what is there and be ready to append.

        Raises LockedError for a folder in use, StorageError for another owner's or a newer format's, OSError for what
        the disk says; nothing is changed then.
        """
        self._disk.lock()
        names = [n for n in self._disk.names() if not n.startswith(KEPT)]
        heads = {name: _header(self._disk.read(name), f"{self._path}/{name}") for name in names}
        for name, header in heads.items():
            if header and header.owner != self._owner:
                raise StorageError(f"{self._path}/{name}: belongs to another member")
        snapshot = heads.get(SNAPSHOT)
        if snapshot is None:
            return self._without(names, heads)
        data = self._disk.read(SNAPSHOT)
        held = self._state(snapshot, data)
        if held is None:
            return self._anew(Found.DAMAGED, len(data), self._next(heads))
        self._header = snapshot
        number, state = held
        head = snapshot.bytes()
        log = heads.get(self._log)
        if log is None or log != snapshot:
            return self._anew(Found.DAMAGED, 0, self._next(heads), state, number)
        data = self._disk.read(self._log)
        records, at = [], HEADER_SIZE
        while whole := _whole(head, data, at, number + 1, MOST_RECORD):
            number, payload, _ = whole
            records.append(payload)
            at += _RECORD.size + len(payload)
        self._number, self.size = number, at
        lost = len(data) - at
        if not lost:
            self._sweep(names)
            return Recovered(Found.CLEAN, state, records)
        # What a crash cut short is what was written last; a whole record that was written after that says that the
        # disk lost or changed one that it had said would last.
        beyond = (_whole(head, data, i, None, MOST_RECORD) for i in range(at + 1, len(data) - _RECORD.size + 1))
        if any(whole and whole[0] - whole[2] > number + 1 for whole in beyond):
            found = Found.DAMAGED
            self._disk.create(f"{KEPT}{self._log}", data)  # for whoever wants to look; nothing rests on it
        else:
            found = Found.TORN
        self._disk.cut(self._log, at)
        self._disk.sync(self._log)
        self._sweep(names)
        return Recovered(found, state, records, lost)

    @staticmethod
    def _state(header: _Header, data: bytes) -> tuple[int, bytes] | None:
        whole = _whole(header.bytes(), data, HEADER_SIZE, None, MOST_SNAPSHOT)
        return whole[:2] if whole and len(data) == HEADER_SIZE + _RECORD.size + len(whole[1]) else None

    @staticmethod
    def _next(heads: dict[str, _Header | None]) -> int:
        return max((h.generation for h in heads.values() if h), default=0) + 1

    def _without(self, names: list[str], heads: dict[str, _Header | None]) -> Recovered:
        """No snapshot that can be read: the folder is new, or it was damaged."""
        size = sum(len(self._disk.read(n)) for n in names)
        # A first start that ended early has made no more than the empty log and the snapshot's new name.
        if set(names) <= {"log-1", NEW} and len(self._disk.read("log-1") if "log-1" in names else b"") <= HEADER_SIZE:
            return self._anew(Found.EMPTY, 0, 1)
        return self._anew(Found.DAMAGED, size, self._next(heads))

    def _anew(self, found: Found, lost: int, generation: int, state: bytes = b"", number: int = 0) -> Recovered:
        self._header = _Header(os.urandom(16), self._owner, generation - 1)
        self._number = number
        if found is Found.DAMAGED:
            for name in self._disk.names():
                if not name.startswith(KEPT):
                    self._disk.rename(name, KEPT + name)
        self._pair(state)
        self._sweep(self._disk.names())
        return Recovered(found, state, [], lost)

    def _sweep(self, names: list[str]) -> None:
        """What an earlier compaction left; nobody misses it."""
        for name in names:
            if name not in (SNAPSHOT, self._log) and not name.startswith(KEPT):
                self._disk.remove(name)

    # -- what is written

    def append(self, payloads: list[bytes]) -> None:
        """Write records; when it returns they are on the disk.  Raises StorageError, at once after a failure."""
        self._whole_still()
        head, data = self._header.bytes(), b""
        for i, payload in enumerate(payloads):
            if len(payload) > MOST_RECORD:
                raise ValueError(f"a record of {len(payload)} bytes; {MOST_RECORD} at most")
            data += _record(head, self._number + 1 + i, payload, i)
        try:
            self._disk.append(self._log, data)
            self._disk.sync(self._log)
        except OSError as error:
            raise self._fail(error) from None
        self._number += len(payloads)
        self.size += len(data)

    def compact(self, state: bytes) -> bool:
        """Begin a new log after `state`, which stands for all that was appended.

        False where there was no room for the new files: the old ones go on.  Raises StorageError where it can't be
        known which of them will be found, and ValueError for a state over MOST_SNAPSHOT bytes.
        """
        self._whole_still()
        if len(state) > MOST_SNAPSHOT:
            raise ValueError(f"a state of {len(state)} bytes; {MOST_SNAPSHOT} at most")
        old = self._log
        try:
            self._pair(state)
            self._disk.remove(old)
        except StorageError:
            raise
        except OSError:
            return False
        return True

    def _pair(self, state: bytes) -> None:
        """Snapshot and log of the next generation."""
        before = self._header
        self._header = before._replace(generation=before.generation + 1)
        head = self._header.bytes()
        try:
            self._disk.create(self._log, head)
            self._disk.sync(self._log)
            self._disk.create(NEW, head + _record(head, self._number, state))
            self._disk.sync(NEW)
            self._disk.sync_folder()
        except OSError:
            self._header = before
            raise
        try:
            self._disk.rename(NEW, SNAPSHOT)
            self._disk.sync_folder()
        except OSError as error:
            raise self._fail(error) from None
        self.size = HEADER_SIZE

    def _whole_still(self) -> None:
        if self.broken:
            raise StorageError(f"{self._path}: {self.broken}; refused until the next start")

    def _fail(self, error: OSError) -> StorageError:
        self.broken = error.strerror or str(error)
        return StorageError(f"{self._path}: {self.broken}")

    def close(self) -> None:
        self._disk.close()
