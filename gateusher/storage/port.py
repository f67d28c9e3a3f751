"""What `storage` asks of a disk, so small that one that lies can be put in its place, and the real one."""

from __future__ import annotations

import fcntl
import os
from contextlib import suppress
from typing import Protocol


class LockedError(OSError):
    """Another process has this folder."""


class Disk(Protocol):
    """One folder.  Every call may raise OSError; none is tried again by whoever calls."""

    def lock(self) -> None:
        """Bar every other process from this folder until `close`.  Raises LockedError."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def create(self, name: str, data: bytes) -> None:
        """Write a file anew; one of that name is gone."""

    def append(self, name: str, data: bytes) -> None: ...

    def cut(self, name: str, size: int) -> None:
        """Drop what a file holds beyond `size` bytes."""

    def sync(self, name: str) -> None:
        """Return when all that was written to the file is on the disk (fsync(2))."""

    def rename(self, name: str, to: str) -> None: ...

    def remove(self, name: str) -> None: ...

    def sync_folder(self) -> None:
        """Return when names that were made, changed or removed are on the disk."""

    def close(self) -> None: ...


class Folder:
    """A real folder, made with mode 0700 where there is none.  Raises OSError."""

    def __init__(self, path: str) -> None:
        self.path = path
        os.makedirs(path, mode=0o700, exist_ok=True)
        self._files: dict[str, int] = {}
        self._lock = -1

    def _at(self, name: str) -> str:
        return os.path.join(self.path, name)

    def _open(self, name: str) -> int:
        if name not in self._files:
            self._files[name] = os.open(self._at(name), os.O_RDWR | os.O_APPEND | os.O_CLOEXEC)
        return self._files[name]

    def _forget(self, name: str) -> None:
        if name in self._files:
            os.close(self._files.pop(name))

    @staticmethod
    def _write(fd: int, data: bytes) -> None:
        while data:
            data = data[os.write(fd, data) :]

    def lock(self) -> None:
        fd = os.open(self._at("lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(fd)
            raise LockedError(error.errno, f"{self.path}: another process has this folder") from None
        self._lock = fd

    def names(self) -> list[str]:
        return sorted(n for n in os.listdir(self.path) if n != "lock")

    def read(self, name: str) -> bytes:
        with open(self._at(name), "rb") as file:
            return file.read()

    def create(self, name: str, data: bytes) -> None:
        self._forget(name)
        fd = os.open(self._at(name), os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        self._files[name] = fd
        self._write(fd, data)

    def append(self, name: str, data: bytes) -> None:
        self._write(self._open(name), data)

    def cut(self, name: str, size: int) -> None:
        os.ftruncate(self._open(name), size)

    def sync(self, name: str) -> None:
        os.fsync(self._open(name))

    def rename(self, name: str, to: str) -> None:
        self._forget(name)
        self._forget(to)
        os.rename(self._at(name), self._at(to))

    def remove(self, name: str) -> None:
        self._forget(name)
        with suppress(FileNotFoundError):
            os.unlink(self._at(name))

    def sync_folder(self) -> None:
        fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def close(self) -> None:
        for name in list(self._files):
            self._forget(name)
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1
