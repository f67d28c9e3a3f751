"""The interface through which a log uses a disk, and its implementation on a real folder.

`Folder` owns the file descriptors of its files and the lock.
"""

from __future__ import annotations

import fcntl
import os
from contextlib import suppress
from typing import Protocol

from .errors import LockedError


class Disk(Protocol):
    """One folder.  Every call may raise OSError; callers don't retry."""

    def lock(self) -> None:
        """Lock the folder against other processes until `close`.  Raises LockedError."""

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """Return the contents of a file."""

    def create(self, name: str, data: bytes) -> None:
        """Create a file, or replace the one of that name."""

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file."""

    def truncate(self, name: str, size: int) -> None:
        """Shorten a file to `size` bytes (ftruncate(2))."""

    def sync(self, name: str) -> None:
        """Return when all data written to the file is on the disk (fsync(2))."""

    def rename(self, name: str, to: str) -> None:
        """Rename a file; one named `to` is replaced (rename(2))."""

    def remove(self, name: str) -> None:
        """Remove a file if there is one."""

    def sync_folder(self) -> None:
        """Return when all created, renamed and removed names are on the disk (fsync(2) of the folder)."""

    def close(self) -> None:
        """Close all files and release the lock."""


class Folder:
    """A folder of the file system, created with mode 0700 if missing.  `Disk` documents the methods."""

    def __init__(self, path: str) -> None:
        self.path = path
        os.makedirs(path, mode=0o700, exist_ok=True)
        self._descriptors: dict[str, int] = {}
        self._lock_fd = -1

    def _path_of(self, name: str) -> str:
        return os.path.join(self.path, name)

    def _open(self, name: str) -> int:
        if name not in self._descriptors:
            self._descriptors[name] = os.open(self._path_of(name), os.O_RDWR | os.O_APPEND | os.O_CLOEXEC)
        return self._descriptors[name]

    def _close_file(self, name: str) -> None:
        if name in self._descriptors:
            os.close(self._descriptors.pop(name))

    @staticmethod
    def _write(fd: int, data: bytes) -> None:
        while data:
            written = os.write(fd, data)
            data = data[written:]

    def lock(self) -> None:
        """Lock the folder; raises LockedError if another process has locked it."""
        fd = os.open(self._path_of("lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(fd)
            raise LockedError(error.errno, f"{self.path}: another process has locked this folder") from None
        self._lock_fd = fd

    def names(self) -> list[str]:
        """Return the names of all files but the lock."""
        return sorted(name for name in os.listdir(self.path) if name != "lock")

    def read(self, name: str) -> bytes:
        """Return the contents of a file."""
        with open(self._path_of(name), "rb") as file:
            return file.read()

    def create(self, name: str, data: bytes) -> None:
        """Create or replace a file."""
        self._close_file(name)
        fd = os.open(self._path_of(name), os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        self._descriptors[name] = fd
        self._write(fd, data)

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file."""
        self._write(self._open(name), data)

    def truncate(self, name: str, size: int) -> None:
        """Shorten a file."""
        os.ftruncate(self._open(name), size)

    def sync(self, name: str) -> None:
        """Sync a file."""
        os.fsync(self._open(name))

    def rename(self, name: str, to: str) -> None:
        """Rename a file."""
        self._close_file(name)
        self._close_file(to)
        os.rename(self._path_of(name), self._path_of(to))

    def remove(self, name: str) -> None:
        """Remove a file if there is one."""
        self._close_file(name)
        with suppress(FileNotFoundError):
            os.unlink(self._path_of(name))

    def sync_folder(self) -> None:
        """Sync the folder."""
        fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def close(self) -> None:
        """Close all files and release the lock."""
        for name in list(self._descriptors):
            self._close_file(name)
        if self._lock_fd >= 0:
            os.close(self._lock_fd)
            self._lock_fd = -1
