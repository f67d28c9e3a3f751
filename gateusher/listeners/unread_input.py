"""How long a request waited unread before the process read it.

Its deadline counts from when its last byte arrived, and it may mean the settings from when its first byte was sent.
`UnreadInput` owns the times of one connection that bound both: its wait in the accept queue, and pauses in reading.
"""

from __future__ import annotations

import asyncio
from math import inf

from ..core.backlog import Backlog, queued_ms
from .sockets import ms_since_last_data

# To which delays by a failing accept(2) or a paused machine are known: `node.SWEEP_INTERVAL_S`.
ACCURACY_MS = 100.0


class UnreadInput:
    """The times of one connection that bound how long its input may have waited."""

    def __init__(self, accepted_after_s: float, accept_was_late: bool) -> None:
        """The connection entered the accept queue after `accepted_after_s` (the event loop's clock)."""
        self.has_received_request = False  # a later request did not wait in the accept queue
        self._accepted_after_s = accepted_after_s
        self._accept_was_late = accept_was_late
        self._last_pause_s = 0.0
        self._resumed_s = -inf
        self._paused_since_s = -inf  # when the first of the pauses began that have followed each other since
        self._input_sent_s = accepted_after_s
        self.request_sent_s = accepted_after_s  # the first byte of the latest request was sent then or later

    def reading_resumed(self, now_s: float, pause_s: float) -> None:
        """Reading resumes after a pause of `pause_s`; no input waited if that ends in the read in which it began."""
        if pause_s <= 0.0:
            return
        if now_s - pause_s - self._resumed_s > ACCURACY_MS / 1000:
            self._paused_since_s = now_s - pause_s
        self._resumed_s = now_s
        self._last_pause_s = pause_s

    def input_read(self, now_s: float, backlog: Backlog) -> None:
        """Input is read; what waits for a turn afterwards is not read again."""
        sent_s = now_s - backlog.longest_queued_ms(now_s * 1000) / 1000
        if now_s - self._resumed_s < ACCURACY_MS / 1000:
            sent_s = min(sent_s, self._paused_since_s)
        if self._accept_was_late and not self.has_received_request:
            sent_s = min(sent_s, self._accepted_after_s)
        self._input_sent_s = sent_s

    def request_began(self) -> None:
        """The first byte of a request is in the input that was read last."""
        self.request_sent_s = self._input_sent_s

    def unread_ms(self, now_s: float, backlog: Backlog, transport: asyncio.Transport | None) -> float:
        """How long the input read now waited unread, in milliseconds; `transport` is None once it is closed."""
        limit_ms = backlog.max_queued_ms(now_s * 1000)
        if self.has_received_request and limit_ms <= 0.0 and not self._last_pause_s:
            return 0.0
        accuracy_ms = ACCURACY_MS
        since_resumed_s = now_s - self._resumed_s
        if since_resumed_s < ACCURACY_MS / 1000:
            limit_ms = max(limit_ms, (since_resumed_s + self._last_pause_s) * 1000)
        if not self.has_received_request:
            limit_ms = max(limit_ms, (now_s - self._accepted_after_s) * 1000)
            accuracy_ms = accuracy_ms if self._accept_was_late else inf
        if transport is None:
            return 0.0
        return queued_ms(limit_ms, ms_since_last_data(transport.get_extra_info("socket")), accuracy_ms)
