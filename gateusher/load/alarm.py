"""A timer of the loop's that keeps microseconds: timerfd(2) in the loop's own poller.

uvloop's timers tick by a millisecond, which at 1,600 requests a second is longer than most pauses between two.
"""

from __future__ import annotations

import asyncio
import ctypes
import os
import time
from collections.abc import Callable
from contextlib import suppress

CLOCK_MONOTONIC, ABSOLUTE = 1, 1
FLAGS = os.O_NONBLOCK | os.O_CLOEXEC  # TFD_NONBLOCK and TFD_CLOEXEC are these
LEAST_S = 1e-6


class _Time(ctypes.Structure):
    _fields_ = [("s", ctypes.c_long), ("ns", ctypes.c_long)]


class _Setting(ctypes.Structure):
    _fields_ = [("interval", _Time), ("value", _Time)]


_libc = ctypes.CDLL(None, use_errno=True)


class Alarm:
    """Calls back once for each `set`, on the running loop.  Raises OSError where the system gives no timer."""

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback = callback
        self._loop = asyncio.get_running_loop()
        self._fd = _libc.timerfd_create(CLOCK_MONOTONIC, FLAGS)
        if self._fd < 0:
            raise OSError(ctypes.get_errno(), "timerfd_create")
        self._setting = _Setting()
        self._loop.add_reader(self._fd, self._rang)
        self.at = 0.0  # of time.monotonic(); 0 while it is not set

    def set(self, at: float) -> None:
        """Ring at this time of time.monotonic(), at once where it has passed; another `set` moves it."""
        self.at = at = max(at, LEAST_S)  # 0 would stop it
        value = self._setting.value
        value.s = int(at)
        value.ns = int((at - int(at)) * 1e9)
        if _libc.timerfd_settime(self._fd, ABSOLUTE, ctypes.byref(self._setting), None):
            raise OSError(ctypes.get_errno(), "timerfd_settime")

    def _rang(self) -> None:
        with suppress(BlockingIOError):
            os.read(self._fd, 8)
            if self.at and time.monotonic() >= self.at:
                self.at = 0.0
                self._callback()

    def stop(self) -> None:
        """Not to ring any more, until it is set again."""
        if self.at:
            self.at = 0.0
            self._setting.value.s = self._setting.value.ns = 0
            _libc.timerfd_settime(self._fd, ABSOLUTE, ctypes.byref(self._setting), None)

    def close(self) -> None:
        if self._fd >= 0:
            self._loop.remove_reader(self._fd)
            os.close(self._fd)
            self._fd = -1
