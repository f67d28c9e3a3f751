"""System calls that fail on purpose: a preloaded library, and the page through which its shares are set.

The library (syscalls.c) is compiled where a C compiler is at hand; `build` returns None elsewhere.
"""

from __future__ import annotations

import mmap
import os
import shutil
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("syscalls.c")
PAGE_BYTES = 64
ALL = 1000  # a share: each call fails


class SystemCall(IntEnum):
    """What can fail, in the order of the library's page.  Shares are per mille of the invocations."""

    ACCEPT = 0
    CONNECT = 1
    SOCKET = 2
    READ = 3  # EINTR and EAGAIN on TCP sockets
    WRITE = 4  # the same
    SHORT = 5  # reads and writes that transfer a part
    OPEN = 6  # of configurations, to be read
    SYNC = 7
    WALL_CLOCK_S = 8  # no share: seconds that the wall clock is ahead
    SEED = 9  # no share: of the library's draws


def build(folder: Path) -> Path | None:
    """The compiled library in this folder; None where there is no compiler.  Raises CalledProcessError."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        return None
    library = folder / "syscalls.so"
    if not library.exists():
        building = folder / f"syscalls.{os.getpid()}.so"
        subprocess.run(
            [compiler, "-O2", "-shared", "-fPIC", "-o", str(building), str(SOURCE), "-ldl", "-lpthread"],
            check=True,
            capture_output=True,
        )
        building.rename(library)  # whole at once: several tests may build it
    return library


class FaultPage:
    """The shares of one process's system calls, which it sees as they are set."""

    def __init__(self, library: Path, path: Path, seed: int) -> None:
        self._library, self._path = library, path
        path.write_bytes(bytes(PAGE_BYTES))
        with path.open("r+b") as file:
            self._page = mmap.mmap(file.fileno(), PAGE_BYTES)
        self.set(SystemCall.SEED, seed & 0x7FFFFFFF)

    def set(self, call: SystemCall, value: int) -> None:
        """This many of a thousand invocations fail from now on; for the clock, seconds."""
        struct.pack_into("=i", self._page, 4 * call, value)

    def clear(self) -> None:
        """No call fails any more; the clock stays as it is."""
        for call in SystemCall:
            if call not in (SystemCall.SEED, SystemCall.WALL_CLOCK_S):
                self.set(call, 0)

    @property
    def environment(self) -> dict[str, str]:
        """What a process must be started with."""
        return {"LD_PRELOAD": str(self._library), "GATEUSHER_FAULTS": str(self._path)}

    def close(self) -> None:
        self._page.close()
