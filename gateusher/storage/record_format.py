"""Binary format of the files in a storage folder: a header, then records.

    header of a file: "GuLg" | version 2 | folder 16 | owner 16 | generation 8 | crc32c 4
    record:           length 4 | crc32c 4 | number 8 | index in its batch 4 | payload

Numbers are big-endian; sizes are in bytes.  A record's checksum covers the header of its file and the record without
the checksum, so that no record is valid in another file.  A *batch* is the records written by one append.

This module owns no state.
"""

from __future__ import annotations

import struct
from hashlib import blake2b
from typing import Final, NamedTuple

from google_crc32c import value as crc32c

from .errors import StorageError

MAGIC: Final = b"GuLg"
VERSION: Final = 1
_HEADER = struct.Struct(">4sH16s16sQ")
_CHECKSUM = struct.Struct(">I")
_RECORD_HEADER = struct.Struct(">IIQI")
HEADER_SIZE: Final = _HEADER.size + _CHECKSUM.size
RECORD_HEADER_SIZE: Final = _RECORD_HEADER.size
MAX_RECORD_BYTES: Final = 1 << 16
MAX_SNAPSHOT_BYTES: Final = 1 << 26


class FileHeader(NamedTuple):
    """A file's header: the folder and owner that it belongs to, and its generation."""

    folder_id: bytes
    owner_id: bytes
    generation: int

    def pack(self) -> bytes:
        """Return the header's bytes."""
        fields = _HEADER.pack(MAGIC, VERSION, self.folder_id, self.owner_id, self.generation)
        return fields + _CHECKSUM.pack(crc32c(fields))


class Record(NamedTuple):
    """One record.  The records of a batch have indexes from 0 and consecutive numbers."""

    number: int
    payload: bytes
    batch_index: int = 0

    @property
    def size(self) -> int:
        """Return the record's length in the file, in bytes."""
        return RECORD_HEADER_SIZE + len(self.payload)

    @property
    def batch_start(self) -> int:
        """Return the number of the first record of its batch."""
        return self.number - self.batch_index

    def pack(self, file_header: bytes) -> bytes:
        """Return the record's bytes in the file with this header."""
        length = len(self.payload)
        header_without_checksum = _RECORD_HEADER.pack(length, 0, self.number, self.batch_index)
        checksum = crc32c(file_header + header_without_checksum + self.payload)
        return _RECORD_HEADER.pack(length, checksum, self.number, self.batch_index) + self.payload


def owner_id(name: str) -> bytes:
    """Return the identifier of an owner's name in file headers."""
    return blake2b(name.encode(), digest_size=16, person=b"gateusher-store").digest()


def parse_header(data: bytes, path: str) -> FileHeader | None:
    """Parse the header at the start of a file's bytes; return None if it is invalid.

    Raises StorageError for a newer format.
    """
    if len(data) < HEADER_SIZE or data[:4] != MAGIC:
        return None
    _, version, folder_id, file_owner_id, generation = _HEADER.unpack_from(data)
    # Checked before the checksum, which may be elsewhere in a newer format.
    if version > VERSION:
        raise StorageError(f"{path}: written by a newer version (format {version}, this one reads {VERSION})")
    (checksum,) = _CHECKSUM.unpack_from(data, _HEADER.size)
    if crc32c(data[: _HEADER.size]) != checksum:
        return None
    return FileHeader(folder_id, file_owner_id, generation)


def parse_record(
    file_header: bytes, data: bytes, offset: int, expected_number: int | None, max_payload_bytes: int
) -> Record | None:
    """Parse the record at an offset; return None if it is invalid or its number is not the expected one."""
    payload_offset = offset + RECORD_HEADER_SIZE
    if payload_offset > len(data):
        return None
    length, checksum, number, batch_index = _RECORD_HEADER.unpack_from(data, offset)
    if length > max_payload_bytes or payload_offset + length > len(data):
        return None
    if expected_number is not None and number != expected_number:
        return None
    payload = data[payload_offset : payload_offset + length]
    if crc32c(file_header + _RECORD_HEADER.pack(length, 0, number, batch_index) + payload) != checksum:
        return None
    return Record(number, payload, batch_index)
