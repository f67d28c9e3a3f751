"""Faulty disks: a folder in memory that enumerates its possible states after a crash, and a real one with faults.

The model allows what POSIX allows and no more: any subset of the unsynced writes to a file may be durable, each also
half written; a name that was created, renamed or removed may be durable or not until its folder is synced (ALICE,
2014).
"""

from __future__ import annotations

import errno
import itertools
import time
from collections.abc import Iterator
from typing import NamedTuple

from gateusher.storage.port import Folder


class CrashError(Exception):
    """The simulated machine lost power before this call."""


class Write(NamedTuple):
    """A write of `data` at a byte offset of a file."""

    offset: int
    data: bytes


class Truncation(NamedTuple):
    """A change of a file's size."""

    size: int


class _Inode:
    def __init__(self, data: bytes = b"") -> None:
        self.durable = self.data = data
        self.pending: list[Write | Truncation] = []

    def apply(self, op: Write | Truncation) -> None:
        self.data = _apply(self.data, op)
        self.pending.append(op)


def _apply(data: bytes, op: Write | Truncation) -> bytes:
    if isinstance(op, Truncation):
        return data[: op.size].ljust(op.size, b"\0")
    return data[: op.offset].ljust(op.offset, b"\0") + op.data + data[op.offset + len(op.data) :]


class ModelFolder:
    """A folder in memory that can crash or fail at a chosen call.

    `crash_at`: the number of the call, from 1, before which the power fails. `fail_at`: the number of the call that
    raises `error`. `ignore_sync`: whether syncs report success but make nothing durable.
    """

    def __init__(
        self,
        files: dict[str, bytes] | None = None,
        crash_at: int = -1,
        fail_at: int = -1,
        error: int = errno.EIO,
        ignore_sync: bool = False,
    ) -> None:
        self.crash_at, self.fail_at, self.error, self.ignore_sync = crash_at, fail_at, error, ignore_sync
        self.calls = 0
        self._names = {name: _Inode(data) for name, data in (files or {}).items()}
        self._durable_names = dict(self._names)
        # Unsynced changes of names: new name, old name ("" for none), and the file (None if it was removed).
        self._renames: list[tuple[str, str, _Inode | None]] = []

    def _count_call(self) -> None:
        self.calls += 1
        if self.calls == self.crash_at:
            raise CrashError
        if self.calls == self.fail_at:
            raise OSError(self.error, errno.errorcode[self.error])

    def lock(self) -> None:
        """Do nothing: the folder belongs to this object alone."""

    def names(self) -> list[str]:
        """Return the names of the files, sorted."""
        return sorted(self._names)

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return self._names[name].data

    def create(self, name: str, data: bytes) -> None:
        """Create a file, or replace the content of an existing one."""
        self._count_call()
        if name in self._names:
            self._names[name].apply(Truncation(0))
        else:
            self._names[name] = _Inode()
            self._renames.append((name, "", self._names[name]))
        self._count_call()
        self._names[name].apply(Write(0, data))

    def append(self, name: str, data: bytes) -> None:
        """Append to a file."""
        self._count_call()
        self._names[name].apply(Write(len(self._names[name].data), data))

    def truncate(self, name: str, size: int) -> None:
        """Cut or extend a file to `size` bytes."""
        self._count_call()
        self._names[name].apply(Truncation(size))

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        self._count_call()
        inode = self._names[name]
        if not self.ignore_sync:
            inode.durable, inode.pending = inode.data, []

    def rename(self, name: str, to: str) -> None:
        """Rename a file, replacing any file of the new name."""
        self._count_call()
        inode = self._names.pop(name)
        self._names[to] = inode
        self._renames.append((to, name, inode))

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        self._count_call()
        if self._names.pop(name, None):
            self._renames.append((name, "", None))

    def sync_folder(self) -> None:
        """Make the names of the files durable."""
        self._count_call()
        if not self.ignore_sync:
            self._durable_names, self._renames = dict(self._names), []

    def close(self) -> None:
        """Do nothing: the folder holds no resources."""

    # -- after a crash

    def crash_states(self) -> Iterator[dict[str, bytes]]:
        """Yield each content that the folder may have after a power failure at this point, without duplicates."""
        seen: set[tuple[tuple[str, bytes], ...]] = set()
        for durable in itertools.product((False, True), repeat=len(self._renames)):
            names = dict(self._durable_names)
            for (name, old_name, inode), is_durable in zip(self._renames, durable, strict=True):
                if is_durable:
                    names.pop(old_name, None)
                    if inode is None:
                        names.pop(name, None)
                    else:
                        names[name] = inode
            for contents in itertools.product(*(list(_contents(i)) for i in names.values())):
                state = tuple(zip(names, contents, strict=True))
                if state not in seen:
                    seen.add(state)
                    yield dict(state)


def _contents(inode: _Inode) -> Iterator[bytes]:
    choices = [
        (None, op)
        if isinstance(op, Truncation) or len(op.data) < 2
        else (
            None,
            op,
            Write(op.offset, op.data[: len(op.data) // 2]),
            Write(op.offset + len(op.data) // 2, op.data[len(op.data) // 2 :]),
        )
        for op in inode.pending
    ]
    for chosen in itertools.product(*choices):
        data = inode.durable
        for op in chosen:
            if op is not None:
                data = _apply(data, op)
        yield data


class FaultyFolder(Folder):
    """A real folder with the fault that the rig chose: "eio", "enospc", "slow SECONDS" for an fsync, or "whole"."""

    fault = "whole"

    def _raise_if_faulty(self) -> None:
        kind = self.fault.split()[0]
        if kind in ("eio", "enospc"):
            number = errno.EIO if kind == "eio" else errno.ENOSPC
            raise OSError(number, errno.errorcode[number])

    def create(self, name: str, data: bytes) -> None:
        """Create a file, unless the disk fails."""
        self._raise_if_faulty()
        super().create(name, data)

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, unless the disk fails."""
        self._raise_if_faulty()
        super().append(name, data)

    def sync(self, name: str) -> None:
        """Sync a file, slowly or not at all if the disk is faulty."""
        if self.fault.startswith("slow"):
            time.sleep(float(self.fault.split()[1]))
        self._raise_if_faulty()
        super().sync(name)
