"""The pause of reading from one client while its upload can't be forwarded.

`ReadPause` owns since when reading is paused, on the event loop's clock, and tells the connection's other times how
long it was: a pause counts neither towards the limits of receiving a request nor as time in which input was read.
"""

from __future__ import annotations

import asyncio

from .receive_timer import ReceiveTimer
from .unread_input import UnreadInput


class ReadPause:
    """The pause of one connection; `transport` is None once that is closed."""

    def __init__(self, receive_timer: ReceiveTimer, unread_input: UnreadInput) -> None:
        self._receive_timer = receive_timer
        self._unread_input = unread_input
        self._since_s: float | None = None

    @property
    def is_active(self) -> bool:
        """Whether reading is paused."""
        return self._since_s is not None

    def elapsed_s(self, now_s: float) -> float:
        """How long reading has been paused; 0 if it is not."""
        return 0.0 if self._since_s is None else now_s - self._since_s

    def begin(self, transport: asyncio.Transport | None, now_s: float) -> None:
        """Stop reading."""
        if transport and not transport.is_closing():
            self._since_s = now_s
            transport.pause_reading()

    def end(self, transport: asyncio.Transport | None, now_s: float) -> None:
        """Read again, if reading is paused."""
        if self._since_s is None:
            return
        pause_s = now_s - self._since_s
        self._since_s = None
        self._unread_input.reading_resumed(now_s, pause_s)
        self._receive_timer.reading_resumed(now_s, pause_s)
        if transport and not transport.is_closing():
            transport.resume_reading()
