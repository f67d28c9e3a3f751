"""System-call faults of a process: the preloaded library, and the shared page that sets its failure rates.

The library (syscalls.c) is compiled where a C compiler is available; `build_library` returns None elsewhere.
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
EVERY_CALL_PER_MILLE = 1000


class SystemCall(IntEnum):
    """Slots of the shared page, in the library's order.  A slot is a failure rate per mille unless noted."""

    ACCEPT = 0
    CONNECT = 1
    SOCKET = 2
    READ = 3  # EINTR and EAGAIN on TCP sockets
    WRITE = 4  # EINTR and EAGAIN on TCP sockets
    SHORT = 5  # reads and writes that transfer only a part
    OPEN = 6  # configuration files, opened for reading
    SYNC = 7
    WALL_CLOCK_S = 8  # not a rate: offset of the wall clock in seconds
    SEED = 9  # not a rate: seed of the library's random draws


def build_library(folder: Path) -> Path | None:
    """Compile the library into `folder`, or return None without a compiler.

    Raises CalledProcessError if the compiler fails.
    """
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        return None
    library = folder / "syscalls.so"
    if not library.exists():
        partial = folder / f"syscalls.{os.getpid()}.so"
        subprocess.run(
            [compiler, "-O2", "-shared", "-fPIC", "-o", str(partial), str(SOURCE), "-ldl", "-lpthread"],
            check=True,
            capture_output=True,
        )
        partial.rename(library)  # atomic, because several tests may build it at once
    return library


class FaultPage:
    """Failure rates of one process's system calls; a change takes effect in the running process."""

    def __init__(self, library: Path, path: Path, seed: int) -> None:
        self._library, self._path = library, path
        path.write_bytes(bytes(PAGE_BYTES))
        with path.open("r+b") as file:
            self._page = mmap.mmap(file.fileno(), PAGE_BYTES)
        self.set(SystemCall.SEED, seed & 0x7FFFFFFF)

    def set(self, call: SystemCall, value: int) -> None:
        """Set the failure rate of `call` per mille, or the value of a slot that is not a rate."""
        struct.pack_into("=i", self._page, 4 * call, value)

    def clear(self) -> None:
        """Set every failure rate to 0; the clock offset stays."""
        for call in SystemCall:
            if call not in (SystemCall.SEED, SystemCall.WALL_CLOCK_S):
                self.set(call, 0)

    @property
    def environment(self) -> dict[str, str]:
        """Environment variables that load the library into a process."""
        return {"LD_PRELOAD": str(self._library), "GATEUSHER_FAULTS": str(self._path)}

    def close(self) -> None:
        """Unmap the page."""
        self._page.close()
