"""Detects clients that have disconnected, with as few system calls as is safe.

An attempt for a client that has disconnected is wasted work, and a side effect whose result reaches nobody.  The
event loop notifies the core of a disconnect, but after the process was stalled it may read requests before it reads
the ends of their connections.  So if a client was not known to be connected recently, its connection is checked
before something is sent for it, which costs one system call; the common path needs none.
"""

from __future__ import annotations

from math import inf
from typing import Final

from .backlog import BACKLOG_MS
from .requests import ClientRequest

CLIENT_SEEN_MS: Final = 50.0  # a client known to be connected this recently is not checked again
MIN_SUBMIT_GAP_MS: Final = 20.0  # a longer gap between requests may be a stall of the process


class ClientPresence:
    """Records when clients were last known to be connected.  Times are the clock's milliseconds."""

    def __init__(self) -> None:
        self._last_submit_ms = -inf
        self._backlog_until_ms = -inf

    def on_submitted(self, request: ClientRequest, now_ms: float) -> None:
        """Record that the client of a new request is connected, unless the request may have been queued unread."""
        if now_ms - self._last_submit_ms > MIN_SUBMIT_GAP_MS:
            self._backlog_until_ms = now_ms + BACKLOG_MS
        self._last_submit_ms = now_ms
        if request.read_at_once and now_ms > self._backlog_until_ms:
            request.client_seen_ms = now_ms

    def is_connected(self, request: ClientRequest, now_ms: float) -> bool:
        """Return whether the request's client is connected; checked unless that was known within CLIENT_SEEN_MS."""
        if now_ms - request.client_seen_ms > CLIENT_SEEN_MS:
            if request.client.is_disconnected(request):
                return False
            request.client_seen_ms = now_ms
        return True
