"""Start the daemon with an adjustable clock, a faulty disk or an injected fault, for the rig.

`python -m rig.entry FD FAULT ARGUMENTS...`: each line read from the descriptor FD changes the time that the daemon
reads from then on ("rate 1.05", "step 3600", "jump 60"), or the fault of a voter's disk ("disk eio 0", "disk slow 5",
"disk whole 0"). FAULT is a name of `checker.faults`, or "-". The clock is replaced where the daemon reads it, in
`gateusher.base.clock`, and the disk in `gateusher.storage.port`; timers of the event loop keep their real pace.
"""

from __future__ import annotations

import os
import sys
import threading
import time


class AdjustableClocks:
    """A monotonic clock and a wall clock that can be adjusted."""

    def __init__(self) -> None:
        self._monotonic, self._wall, self._gettime = time.monotonic, time.time, time.clock_gettime
        self._rate, self._offset, self._step = 1.0, 0.0, 0.0
        self._lock = threading.Lock()

    def monotonic(self) -> float:
        """Return the adjusted monotonic time."""
        with self._lock:
            return self._monotonic() * self._rate + self._offset

    def time(self) -> float:
        """Return the adjusted wall clock time."""
        return self._wall() + self._step

    def clock_gettime(self, which: int) -> float:
        """Return the adjusted time of any monotonic clock; these clocks differ only in their origin."""
        with self._lock:
            return self._gettime(which) * self._rate + self._offset

    def apply(self, line: str) -> None:
        """Apply one command; the monotonic clock never goes back."""
        command, _, amount = line.partition(" ")
        if command == "disk":
            from .disks import FaultyFolder  # noqa: PLC0415

            FaultyFolder.fault = amount
            return
        value = float(amount)
        with self._lock:
            if command == "rate":
                now = self._monotonic()
                self._offset += now * (self._rate - value)
                self._rate = value
            elif command == "jump":
                self._offset += max(0.0, value)
            elif command == "step":
                self._step += value


def _read_commands(fd: int, clocks: AdjustableClocks) -> None:
    with os.fdopen(fd, "r") as source:
        for line in source:
            clocks.apply(line.strip())


def main() -> int:
    """Replace the clocks and the disk, start reading commands, and run the daemon."""
    fd, fault = int(sys.argv[1]), sys.argv[2]
    if fault != "-":
        from checker import faults  # noqa: PLC0415

        faults.plant(fault)
    clocks = AdjustableClocks()
    threading.Thread(target=_read_commands, args=(fd, clocks), daemon=True).start()
    from gateusher.base import clock  # noqa: PLC0415
    from gateusher.storage import port  # noqa: PLC0415

    from .disks import FaultyFolder  # noqa: PLC0415

    port.Folder = FaultyFolder  # type: ignore[misc]

    class AdjustableTime:
        """Replaces the module `time` in the modules that read the daemon's clock."""

        monotonic = staticmethod(clocks.monotonic)
        time = staticmethod(clocks.time)
        clock_gettime = staticmethod(clocks.clock_gettime)
        if hasattr(time, "CLOCK_BOOTTIME"):
            CLOCK_BOOTTIME = time.CLOCK_BOOTTIME

    clock.time = AdjustableTime  # type: ignore[assignment,attr-defined]
    from gateusher.membership import udp  # noqa: PLC0415

    udp.time = AdjustableTime  # type: ignore[assignment,attr-defined]
    sys.argv[1:] = sys.argv[3:]
    from gateusher.cli.commands import run_command  # noqa: PLC0415

    return run_command(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
