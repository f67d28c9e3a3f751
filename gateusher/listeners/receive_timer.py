"""The time limits of receiving one request: its head, the rate of its body, and stalls.

`ReceiveTimer` owns a connection's read deadline and the moment of its last input, both on the event loop's clock.
"""

from __future__ import annotations

from .request_parser import RequestParser

REQUEST_READ_TIMEOUT_S = 2.2  # for the complete head, from its first byte or from the connection's accept
MIN_BODY_RATE_BYTES_PER_S = 32768  # a body may take longer than REQUEST_READ_TIMEOUT_S at this rate or above
BODY_STALL_TIMEOUT_S = 1.5  # without a byte of a body that is past its read deadline
PARTIAL_REQUEST_GRACE_S = 0.5  # without input, before a partial request may be closed in favor of another connection


class ReceiveTimer:
    """The read deadline of the request that is being received."""

    def __init__(self, now_s: float) -> None:
        self.began_s = now_s  # when the request began, or the connection was accepted
        self._deadline_s = now_s + REQUEST_READ_TIMEOUT_S
        self._last_input_s = now_s

    def restart(self, now_s: float) -> None:
        """Start the deadline of another request."""
        self.began_s = now_s
        self._deadline_s = now_s + REQUEST_READ_TIMEOUT_S

    def input_received(self, now_s: float) -> None:
        """Part of the request was received."""
        self._last_input_s = now_s

    def reading_resumed(self, now_s: float, pause_s: float) -> None:
        """Reading resumes after a pause, which does not count towards the deadline."""
        self._deadline_s += pause_s
        self._last_input_s = now_s

    def is_reclaimable(self, now_s: float) -> bool:
        """Whether the request has stalled long enough to be closed when connections are scarce."""
        return now_s - self._last_input_s > PARTIAL_REQUEST_GRACE_S

    def is_overdue(self, now_s: float, parser: RequestParser) -> bool:
        """Whether the head is late, or the body has stalled or is received below the minimum rate."""
        if now_s <= self._deadline_s:
            return False
        if parser.in_head or now_s - self._last_input_s > BODY_STALL_TIMEOUT_S:
            return True
        return now_s > self._deadline_s + parser.body_bytes / MIN_BODY_RATE_BYTES_PER_S
