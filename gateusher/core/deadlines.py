"""The deadlines of open requests, and the timers that enforce them.

The policy normally gives up on a request before its deadline.  Where it does not, the timer ends the request: a final
response is delivered in any case.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from math import inf
from typing import TYPE_CHECKING, Final

from .requests import ClientRequest
from .states import OPEN

if TYPE_CHECKING:
    from .ports import Timers

DEADLINE_GRACE_MS: Final = 10.0  # how long after its deadline a request is ended that the policy still has


class RequestDeadlines:
    """Owns the deadline timers of requests.  Times are the clock's milliseconds.

    `on_overdue` is called with a request whose time is over.  `latest_ms` bounds all deadlines: the process ends
    then.
    """

    def __init__(self, call_later: Timers, on_overdue: Callable[[ClientRequest], None]) -> None:
        self._call_later = call_later
        self._on_overdue = on_overdue
        self.latest_ms = inf

    def set(self, request: ClientRequest, deadline_ms: float) -> None:
        """Set the request's deadline, no later than `latest_ms`."""
        request.deadline_ms = min(deadline_ms, self.latest_ms)

    def start_timer(self, request: ClientRequest, now_ms: float) -> None:
        """Enforce the request's deadline; inf is none."""
        self.stop_timer(request)
        if request.deadline_ms < inf:
            self._start(request, request.deadline_ms - now_ms + DEADLINE_GRACE_MS)

    def stop_timer(self, request: ClientRequest) -> None:
        """The request is finished."""
        if request.timer:
            request.timer.cancel()
            request.timer = None

    def end_by(self, latest_ms: float, requests: Iterable[ClientRequest], now_ms: float) -> None:
        """Bound the deadlines of these requests and of all that follow; there is no grace at that moment."""
        self.latest_ms = latest_ms
        for request in requests:
            if request.state == OPEN and request.deadline_ms > latest_ms:
                self.stop_timer(request)
                request.deadline_ms = latest_ms
                self._start(request, latest_ms - now_ms)

    def _start(self, request: ClientRequest, delay_ms: float) -> None:
        request.timer = self._call_later(delay_ms / 1000, self._on_overdue, request)
