"""The program's own command with a clock that lies or a fault planted, for the rig alone.

`python -m rig.entry FD FAULT ARGUMENTS...`: lines on the descriptor FD ("rate 1.05", "step 3600", "jump 60") change
what the daemon reads as its time from then on, and "disk eio 0", "disk slow 5", "disk whole 0" how a voter's disk
behaves; FAULT is a name of `checker.faults`, or "-".  The clock is wrapped where the daemon reads it,
`gateusher.base.clock`, the disk at its port, `gateusher.storage.port`; timers of the loop go on at their real pace.
"""

from __future__ import annotations

import os
import sys
import threading
import time


class Clocks:
    """A monotonic and a wall clock that can be moved."""

    def __init__(self) -> None:
        self._monotonic, self._wall, self._gettime = time.monotonic, time.time, time.clock_gettime
        self._rate, self._offset, self._step = 1.0, 0.0, 0.0
        self._lock = threading.Lock()

    def monotonic(self) -> float:
        with self._lock:
            return self._monotonic() * self._rate + self._offset

    def time(self) -> float:
        return self._wall() + self._step

    def clock_gettime(self, which: int) -> float:
        """Any clock that goes on by itself; they differ by where they begin alone."""
        with self._lock:
            return self._gettime(which) * self._rate + self._offset

    def obey(self, line: str) -> None:
        """One command; the monotonic clock never goes back."""
        what, _, amount = line.partition(" ")
        if what == "disk":
            from .disks import Faulty  # noqa: PLC0415

            Faulty.fault = amount
            return
        value = float(amount)
        with self._lock:
            if what == "rate":
                now = self._monotonic()
                self._offset += now * (self._rate - value)
                self._rate = value
            elif what == "jump":
                self._offset += max(0.0, value)
            elif what == "step":
                self._step += value


def _listen(fd: int, clocks: Clocks) -> None:
    with os.fdopen(fd, "r") as source:
        for line in source:
            clocks.obey(line.strip())


def main() -> int:
    fd, fault = int(sys.argv[1]), sys.argv[2]
    if fault != "-":
        from checker import faults  # noqa: PLC0415

        faults.plant(fault)
    clocks = Clocks()
    threading.Thread(target=_listen, args=(fd, clocks), daemon=True).start()
    from gateusher.base import clock  # noqa: PLC0415
    from gateusher.storage import port  # noqa: PLC0415

    from .disks import Faulty  # noqa: PLC0415

    port.Folder = Faulty  # type: ignore[misc]

    class Lying:
        """Stands for the module `time` where the daemon's clock reads it."""

        monotonic = staticmethod(clocks.monotonic)
        time = staticmethod(clocks.time)
        clock_gettime = staticmethod(clocks.clock_gettime)
        if hasattr(time, "CLOCK_BOOTTIME"):
            CLOCK_BOOTTIME = time.CLOCK_BOOTTIME

    clock.time = Lying  # type: ignore[assignment,attr-defined]
    from gateusher.membership import udp  # noqa: PLC0415

    udp.time = Lying  # type: ignore[assignment,attr-defined]
    sys.argv[1:] = sys.argv[3:]
    from gateusher.cli.commands import run_command  # noqa: PLC0415

    return run_command(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
