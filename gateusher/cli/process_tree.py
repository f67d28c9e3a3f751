"""Signals and terminates a child process together with all its descendants.

Descendants are found through /proc, including those that left the child's process group: this process becomes their
reaper (PR_SET_CHILD_SUBREAPER, prctl(2)).
"""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
from contextlib import suppress
from pathlib import Path
from typing import Final

PR_SET_CHILD_SUBREAPER: Final = 36  # <linux/prctl.h>
POLL_INTERVAL_S: Final = 0.01


def become_subreaper() -> None:
    """Make orphaned descendants children of this process, where the system supports it."""
    with suppress(OSError, AttributeError):
        ctypes.CDLL(None).prctl(PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0)


def descendants(pid: int) -> list[int]:
    """Return the ids of all descendants of a process that /proc shows, zombies included."""
    found: list[int] = []
    with suppress(OSError):
        for task in Path(f"/proc/{pid}/task").iterdir():
            for child in (task / "children").read_text().split():
                found.append(int(child))
                found.extend(descendants(int(child)))
    return found


def has_exited(pid: int) -> bool:
    """Return whether a process is a zombie or doesn't exist; see proc_pid_stat(5)."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return True
    _, _, fields_after_name = stat.rpartition(")")
    return fields_after_name.split()[0] == "Z"


class ProcessTree:
    """A child that leads its own process group, and all its descendants."""

    def __init__(self, child: asyncio.subprocess.Process) -> None:
        self._child = child

    def send_signal(self, number: signal.Signals) -> None:
        """Signal the child's process group, and each descendant outside it."""
        with suppress(ProcessLookupError, PermissionError):
            os.killpg(self._child.pid, number)
        for pid in descendants(os.getpid()):
            with suppress(ProcessLookupError, PermissionError):
                if os.getpgid(pid) != self._child.pid:
                    os.kill(pid, number)

    @property
    def is_running(self) -> bool:
        """Whether any process of the tree still runs."""
        if any(not has_exited(pid) for pid in descendants(os.getpid())):
            return True
        try:
            os.killpg(self._child.pid, 0)
        except ProcessLookupError:
            return False
        except PermissionError:
            return True
        return not has_exited(self._child.pid)

    async def terminate(self, grace_s: float) -> None:
        """Send SIGTERM, then SIGKILL after `grace_s` at the latest, and reap the child."""
        loop = asyncio.get_running_loop()
        self.send_signal(signal.SIGTERM)
        deadline_s = loop.time() + max(0.0, grace_s)
        while self.is_running and loop.time() < deadline_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        self.send_signal(signal.SIGKILL)
        await self._child.wait()
