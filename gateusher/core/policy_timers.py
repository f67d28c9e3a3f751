"""The timers that the policy has set."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..policy.interface import SetTimer, TimerFired

if TYPE_CHECKING:
    from .ports import Timer, Timers


class PolicyTimers:
    """Owns the policy's timers, and delivers a `TimerFired` for each that fires.

    A held request has one timer, which ends with the request: the timers are no more than the open requests, the
    endpoint list's and the drain hints'.
    """

    def __init__(self, call_later: Timers, deliver: Callable[[TimerFired], None]) -> None:
        self._call_later = call_later
        self._deliver = deliver
        self._holds: dict[int, Timer] = {}  # by request number
        self._others: set[Timer] = set()

    def __len__(self) -> int:
        return len(self._holds) + len(self._others)

    def start(self, action: SetTimer) -> None:
        """Start a timer that belongs to no request."""

        def fire() -> None:
            self._others.discard(timer)
            self._deliver(TimerFired(action.token))

        timer = self._call_later(action.delay_ms / 1000, fire)
        self._others.add(timer)

    def start_hold(self, request_number: int, action: SetTimer) -> None:
        """Start the timer of a held request, in place of an earlier one."""
        self.cancel_hold(request_number)
        self._holds[request_number] = self._call_later(
            action.delay_ms / 1000, self._end_hold, request_number, action.token
        )

    def cancel_hold(self, request_number: int) -> None:
        """Cancel the timer of a request that is finished; do nothing if it has none."""
        timer = self._holds.pop(request_number, None)
        if timer:
            timer.cancel()

    def cancel_all(self) -> None:
        """Cancel all timers."""
        for timer in (*self._holds.values(), *self._others):
            timer.cancel()
        self._holds.clear()
        self._others.clear()

    def _end_hold(self, request_number: int, token: int) -> None:
        del self._holds[request_number]
        self._deliver(TimerFired(token))
