"""The deadlines of open requests, and the timers that enforce them.

The policy normally ends a request before its deadline.  If it does not, the timer does, so that a final response is
delivered in any case.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from math import inf
from typing import TYPE_CHECKING, Final

from .requests import ClientRequest
from .states import OPEN

if TYPE_CHECKING:
    from .ports import Timers

DEADLINE_GRACE_MS: Final = 10.0  # how long after its deadline the timer ends a request that the policy has not ended


class RequestDeadlines:
    """Owns the deadline timers of requests.  Times are the clock's milliseconds.

    `on_overdue` is called with a request whose deadline has passed.  `latest_ms` is when the process ends, and bounds
    all deadlines.
    """

    def __init__(self, call_later: Timers, on_overdue: Callable[[ClientRequest], None]) -> None:
        self._call_later = call_later
        self._on_overdue = on_overdue
        self.latest_ms = inf

    def set(self, request: ClientRequest, deadline_ms: float) -> None:
        """Set the request's deadline, no later than `latest_ms`."""
        request.deadline_ms = min(deadline_ms, self.latest_ms)

    def start_timer(self, request: ClientRequest, now_ms: float) -> None:
        """Start the timer that enforces the request's deadline, unless the deadline is inf."""
        self.stop_timer(request)
        if request.deadline_ms < inf:
            self._start(request, request.deadline_ms - now_ms + DEADLINE_GRACE_MS)

    def stop_timer(self, request: ClientRequest) -> None:
        """Stop the timer of a request that is finished."""
        if request.timer:
            request.timer.cancel()
            request.timer = None

    def end_by(self, latest_ms: float, requests: Iterable[ClientRequest], now_ms: float) -> None:
        """Bound the deadlines of these requests and of all later ones, without DEADLINE_GRACE_MS."""
        self.latest_ms = latest_ms
        for request in requests:
            if request.state == OPEN and request.deadline_ms > latest_ms:
                self.stop_timer(request)
                request.deadline_ms = latest_ms
                self._start(request, latest_ms - now_ms)

    def _start(self, request: ClientRequest, delay_ms: float) -> None:
        request.timer = self._call_later(delay_ms / 1000, self._on_overdue, request)
