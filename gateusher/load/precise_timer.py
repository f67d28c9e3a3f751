"""A timer of the event loop with microsecond resolution: timerfd_create(2) in the loop's own poller.

uvloop's timers have a resolution of a millisecond, which at 1,600 requests a second exceeds most intervals between
two requests.  Owns one file descriptor.
"""

from __future__ import annotations

import asyncio
import ctypes
import os
import time
from collections.abc import Callable
from contextlib import suppress

CLOCK_MONOTONIC = 1  # <time.h>
TFD_TIMER_ABSTIME = 1  # <sys/timerfd.h>
TFD_FLAGS = os.O_NONBLOCK | os.O_CLOEXEC  # TFD_NONBLOCK and TFD_CLOEXEC have these values
EARLIEST_S = 1e-6  # a time of 0 would disarm the timer
EXPIRATIONS_BYTES = 8  # read(2) of a timer gives a count of 64 bits
NANOSECONDS_PER_S = 1e9


class _Timespec(ctypes.Structure):
    """struct timespec."""

    _fields_ = [("seconds", ctypes.c_long), ("nanoseconds", ctypes.c_long)]


class _TimerSetting(ctypes.Structure):
    """struct itimerspec."""

    _fields_ = [("interval", _Timespec), ("value", _Timespec)]


_libc = ctypes.CDLL(None, use_errno=True)


class PreciseTimer:
    """Calls back once for each `set`, on the running loop.

    Raises OSError where the system gives no timer.  `fires_at` is a time of time.monotonic(), 0 while it is not set.
    """

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback = callback
        self._loop = asyncio.get_running_loop()
        self._fd = _libc.timerfd_create(CLOCK_MONOTONIC, TFD_FLAGS)
        if self._fd < 0:
            raise OSError(ctypes.get_errno(), "timerfd_create")
        self._setting = _TimerSetting()
        self._loop.add_reader(self._fd, self._on_readable)
        self.fires_at = 0.0

    def set(self, fires_at: float) -> None:
        """Fire at this time of time.monotonic(), at once where it has passed; replaces an earlier `set`.

        Raises OSError.
        """
        fires_at = max(fires_at, EARLIEST_S)
        self.fires_at = fires_at
        whole_seconds = int(fires_at)
        value = self._setting.value
        value.seconds = whole_seconds
        value.nanoseconds = int((fires_at - whole_seconds) * NANOSECONDS_PER_S)
        if _libc.timerfd_settime(self._fd, TFD_TIMER_ABSTIME, ctypes.byref(self._setting), None):
            raise OSError(ctypes.get_errno(), "timerfd_settime")

    def stop(self) -> None:
        """Don't fire until it is set again."""
        if self.fires_at:
            self.fires_at = 0.0
            self._setting.value.seconds = 0
            self._setting.value.nanoseconds = 0
            _libc.timerfd_settime(self._fd, TFD_TIMER_ABSTIME, ctypes.byref(self._setting), None)

    def close(self) -> None:
        """Give the descriptor back; the timer can't be used again."""
        if self._fd >= 0:
            self._loop.remove_reader(self._fd)
            os.close(self._fd)
            self._fd = -1

    def _on_readable(self) -> None:
        with suppress(BlockingIOError):
            os.read(self._fd, EXPIRATIONS_BYTES)
            if self.fires_at and time.monotonic() >= self.fires_at:
                self.fires_at = 0.0
                self._callback()
