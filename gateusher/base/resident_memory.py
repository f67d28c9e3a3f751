"""How much memory this process has resident, and what it can give back to the system.

`ResidentMemory` owns a descriptor of /proc/self/statm (proc(5)), which is opened at once: none may be free later.
"""

from __future__ import annotations

import ctypes
import gc
import os
import resource
from contextlib import suppress
from typing import Final

STATM_PATH: Final = "/proc/self/statm"
STATM_BYTES: Final = 128  # more than its seven numbers take
RESIDENT_FIELD: Final = 1


class ResidentMemory:
    """The resident set of this process."""

    def __init__(self) -> None:
        self._page_bytes = resource.getpagesize()
        self._descriptor: int | None = None
        with suppress(OSError):
            self._open()

    def _open(self) -> int:
        self._descriptor = os.open(STATM_PATH, os.O_RDONLY | os.O_CLOEXEC)
        return self._descriptor

    def resident_bytes(self) -> int:
        """Return the size of the resident set.  Raises OSError if the system does not report it now."""
        descriptor = self._open() if self._descriptor is None else self._descriptor
        fields = os.pread(descriptor, STATM_BYTES, 0).split()
        if len(fields) <= RESIDENT_FIELD:
            raise OSError(f"{STATM_PATH} is not as proc(5) says")
        return int(fields[RESIDENT_FIELD]) * self._page_bytes

    def return_free_memory(self) -> None:
        """Return free pages of the C library's allocator to the system, where it can (malloc_trim(3))."""
        with suppress(OSError, AttributeError):
            ctypes.CDLL(None).malloc_trim(0)

    def collect_garbage(self) -> None:
        """Free objects in reference cycles, and return their pages."""
        gc.collect()
        self.return_free_memory()

    def close(self) -> None:
        """Close the descriptor."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None
