"""The pauses of reading from one client, by reason.

`ReadPause` owns the reasons for which reading is paused, and since when, on the event loop's clock.  It tells the
connection's other times how long a pause was: a pause counts neither towards the limits of receiving a request nor as
time in which input was read.
"""

from __future__ import annotations

import asyncio
from enum import Enum
from math import inf

from .receive_timer import ReceiveTimer
from .unread_input import UnreadInput


class PauseReason(Enum):
    """Why reading is paused."""

    UPLOAD = "the endpoint accepts no more of the body for now"
    TURN = "the connection has had its part of this turn of the event loop"


class ReadPause:
    """The pauses of one connection; `transport` is None once that is closed."""

    def __init__(self, receive_timer: ReceiveTimer, unread_input: UnreadInput) -> None:
        self._receive_timer = receive_timer
        self._unread_input = unread_input
        self._reasons: set[PauseReason] = set()
        self._since_s = 0.0
        self.ended_s = -inf  # of the latest pause

    @property
    def is_active(self) -> bool:
        """Whether reading is paused."""
        return bool(self._reasons)

    def has(self, reason: PauseReason) -> bool:
        """Whether reading is paused for this reason."""
        return reason in self._reasons

    def elapsed_s(self, now_s: float) -> float:
        """How long reading has been paused; 0 if it is not."""
        return now_s - self._since_s if self._reasons else 0.0

    def begin(self, reason: PauseReason, transport: asyncio.Transport | None, now_s: float) -> None:
        """Stop reading."""
        if not transport or transport.is_closing():
            return
        if not self._reasons:
            self._since_s = now_s
            transport.pause_reading()
        self._reasons.add(reason)

    def end(self, reason: PauseReason, transport: asyncio.Transport | None, now_s: float) -> None:
        """Read again, unless reading is paused for another reason too."""
        if reason not in self._reasons:
            return
        self._reasons.remove(reason)
        if self._reasons:
            return
        pause_s = now_s - self._since_s
        self.ended_s = now_s
        self._unread_input.reading_resumed(now_s, pause_s)
        self._receive_timer.reading_resumed(now_s, pause_s)
        if transport and not transport.is_closing():
            transport.resume_reading()
