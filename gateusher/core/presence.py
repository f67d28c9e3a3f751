"""Whether a client is still connected, looked up as rarely as is safe.

An attempt for a client that has disconnected is wasted work, and a side effect that nobody sees.  The event loop
notifies the core of a disconnect in its turn, but after the process stood still it may read requests before the ends
of their connections.  So a client that was not seen lately is looked up before something is sent for it, which costs
one system call; the ordinary path does without.
"""

from __future__ import annotations

from math import inf
from typing import Final

from .backlog import BACKLOG_MS
from .requests import ClientRequest

CLIENT_SEEN_MS: Final = 50.0  # a client that was seen so recently is not looked up again
MIN_SUBMIT_GAP_MS: Final = 20.0  # a longer gap between requests may be a stall


class ClientPresence:
    """Keeps when clients were last known to be connected.  Times are the clock's milliseconds."""

    def __init__(self) -> None:
        self._last_submit_ms = -inf
        self._backlog_until_ms = -inf

    def on_submitted(self, request: ClientRequest, now_ms: float) -> None:
        """A request was submitted: its client is connected, unless the request may have been queued unread."""
        if now_ms - self._last_submit_ms > MIN_SUBMIT_GAP_MS:
            self._backlog_until_ms = now_ms + BACKLOG_MS
        self._last_submit_ms = now_ms
        if request.read_at_once and now_ms > self._backlog_until_ms:
            request.client_seen_ms = now_ms

    def is_connected(self, request: ClientRequest, now_ms: float) -> bool:
        """Whether its client is connected, by a look-up where it was not seen within CLIENT_SEEN_MS."""
        if now_ms - request.client_seen_ms > CLIENT_SEEN_MS:
            if request.client.is_disconnected(request):
                return False
            request.client_seen_ms = now_ms
        return True
