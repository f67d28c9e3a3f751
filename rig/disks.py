"""Disks that lie: one in memory whose every state after a crash is told, and the real one with faults.

The model keeps what POSIX allows and no more: what was not synced to a file may last in any part, in any order, and
half written; a name that was made, changed or removed lasts or doesn't until its folder is synced (ALICE, 2014).
"""

from __future__ import annotations

import errno
import itertools
import time
from collections.abc import Iterator
from typing import NamedTuple

from gateusher.storage.port import Folder


class CrashError(Exception):
    """The machine lost its power before this call."""


class Write(NamedTuple):
    at: int
    data: bytes


class Cut(NamedTuple):
    size: int


class _Inode:
    def __init__(self, data: bytes = b"") -> None:
        self.lasting = self.data = data
        self.pending: list[Write | Cut] = []

    def do(self, op: Write | Cut) -> None:
        self.data = _done(self.data, op)
        self.pending.append(op)


def _done(data: bytes, op: Write | Cut) -> bytes:
    if isinstance(op, Cut):
        return data[: op.size].ljust(op.size, b"\0")
    return data[: op.at].ljust(op.at, b"\0") + op.data + data[op.at + len(op.data) :]


class Model:
    """A folder in memory.  `crash`: before which call the power goes; `fails`: which one fails, and with what."""

    def __init__(
        self,
        files: dict[str, bytes] | None = None,
        crash: int = -1,
        fails: int = -1,
        error: int = errno.EIO,
        lies: bool = False,
    ) -> None:
        self.crash, self.fails, self.error, self.lies = crash, fails, error, lies
        self.calls = 0
        self._names = {name: _Inode(data) for name, data in (files or {}).items()}
        self._lasting = dict(self._names)
        self._moves: list[tuple[str, str, _Inode | None]] = []  # name, the name it had ("" for none), what it means

    def _call(self) -> None:
        self.calls += 1
        if self.calls == self.crash:
            raise CrashError
        if self.calls == self.fails:
            raise OSError(self.error, errno.errorcode[self.error])

    def lock(self) -> None:
        """Nobody else is here."""

    def names(self) -> list[str]:
        return sorted(self._names)

    def read(self, name: str) -> bytes:
        return self._names[name].data

    def create(self, name: str, data: bytes) -> None:
        self._call()
        if name in self._names:
            self._names[name].do(Cut(0))
        else:
            self._names[name] = _Inode()
            self._moves.append((name, "", self._names[name]))
        self._call()
        self._names[name].do(Write(0, data))

    def append(self, name: str, data: bytes) -> None:
        self._call()
        self._names[name].do(Write(len(self._names[name].data), data))

    def truncate(self, name: str, size: int) -> None:
        self._call()
        self._names[name].do(Cut(size))

    def sync(self, name: str) -> None:
        self._call()
        inode = self._names[name]
        if not self.lies:
            inode.lasting, inode.pending = inode.data, []

    def rename(self, name: str, to: str) -> None:
        self._call()
        inode = self._names.pop(name)
        self._names[to] = inode
        self._moves.append((to, name, inode))

    def remove(self, name: str) -> None:
        self._call()
        if self._names.pop(name, None):
            self._moves.append((name, "", None))

    def sync_folder(self) -> None:
        self._call()
        if not self.lies:
            self._lasting, self._moves = dict(self._names), []

    def close(self) -> None:
        """Nothing is held."""

    # -- after the power is back

    def states(self) -> Iterator[dict[str, bytes]]:
        """Every content that the folder may have if the power goes now, each once."""
        seen: set[tuple[tuple[str, bytes], ...]] = set()
        for kept in itertools.product((False, True), repeat=len(self._moves)):
            names = dict(self._lasting)
            for (name, was, inode), lasts in zip(self._moves, kept, strict=True):
                if lasts:
                    names.pop(was, None)
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
        if isinstance(op, Cut) or len(op.data) < 2
        else (
            None,
            op,
            Write(op.at, op.data[: len(op.data) // 2]),
            Write(op.at + len(op.data) // 2, op.data[len(op.data) // 2 :]),
        )
        for op in inode.pending
    ]
    for chosen in itertools.product(*choices):
        data = inode.lasting
        for op in chosen:
            if op is not None:
                data = _done(data, op)
        yield data


class Faulty(Folder):
    """The real folder, told by the rig how to fail: "eio", "enospc", "slow SECONDS" of an fsync, or "whole"."""

    fault = "whole"

    def _fail(self) -> None:
        kind = self.fault.split()[0]
        if kind in ("eio", "enospc"):
            number = errno.EIO if kind == "eio" else errno.ENOSPC
            raise OSError(number, errno.errorcode[number])

    def create(self, name: str, data: bytes) -> None:
        self._fail()
        super().create(name, data)

    def append(self, name: str, data: bytes) -> None:
        self._fail()
        super().append(name, data)

    def sync(self, name: str) -> None:
        if self.fault.startswith("slow"):
            time.sleep(float(self.fault.split()[1]))
        self._fail()
        super().sync(name)
