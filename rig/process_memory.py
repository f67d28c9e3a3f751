"""How much memory a process has had resident at most, as the kernel tells it (proc(5), VmHWM)."""

from __future__ import annotations

from pathlib import Path

KB_PER_MB = 1024


def peak_resident_kb(pid: int) -> int:
    """Return the peak in kB.  Raises OSError if there is no such process, and IndexError if it has just ended."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0])
