"""Shares each iteration of an event loop among the connections whose input waits for a turn.

Each of hundreds of connections may keep within its own part of a turn, and all together still delay every other
client.  `TurnQueue` lets a limited number of them proceed in one iteration, and owns the queue of the others.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Final

MAX_TURNS_PER_ITERATION: Final = 8

Turn = Callable[[], None]


class TurnQueue:
    """The turns of one event loop, first come, first served.  `call_soon` schedules for the next iteration."""

    def __init__(self, call_soon: Callable[[Turn], object]) -> None:
        self._call_soon = call_soon
        self._waiting = OrderedDict[Turn, None]()
        self._admitted = 0  # to the next iteration
        self._is_scheduled = False

    def try_admit(self) -> bool:
        """Return whether a turn may be taken in this iteration already, without a place in the queue."""
        if self._waiting or self._admitted >= MAX_TURNS_PER_ITERATION:
            return False
        self._admitted += 1
        self._await_next_iteration()
        return True

    def schedule(self, turn: Turn) -> None:
        """Run `turn` in the next iteration, or in a later one if many others wait."""
        if self.try_admit():
            self._call_soon(turn)
        else:
            self._waiting[turn] = None

    def cancel(self, turn: Turn) -> None:
        """Forget a turn that waits: its connection has ended."""
        self._waiting.pop(turn, None)

    def _await_next_iteration(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._begin_iteration)

    def _begin_iteration(self) -> None:
        self._is_scheduled = False
        self._admitted = 0
        while self._waiting and self._admitted < MAX_TURNS_PER_ITERATION:
            turn, _ = self._waiting.popitem(last=False)
            self._admitted += 1
            self._call_soon(turn)
        if self._admitted:
            self._await_next_iteration()
