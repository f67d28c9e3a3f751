"""Divides the input of one connection into turns of the event loop, so that others get theirs.

A read may hold thousands of small requests.  `InputTurns` passes a part of it to the parser in each turn, and owns
what waits for the next one, with its reservation of memory; reading is paused meanwhile.
"""

from __future__ import annotations

import asyncio
from typing import Final, Protocol

from ..base.limits import MemoryBudget
from .request_parser import RequestParser, UnusableRequestError

MAX_REQUESTS_PER_TURN: Final = 16
SLICE_BYTES: Final = 4096  # of input whose end is not known
BODY_SLICE_BYTES: Final = 65536


class TurnOwner(Protocol):
    """The connection, as its input's turns use it."""

    def pause_for_turn(self) -> None:
        """Stop reading until the next turn."""

    def resume_after_turn(self) -> None:
        """Read again: nothing waits any more."""

    def data_received(self, data: bytes) -> None:
        """Handle input that has waited as if it were read now."""


class InputTurns:
    """The turns of one connection."""

    def __init__(
        self, owner: TurnOwner, parser: RequestParser, loop: asyncio.AbstractEventLoop, memory: MemoryBudget
    ) -> None:
        self._owner: TurnOwner | None = owner
        self._parser = parser
        self._loop = loop
        self._memory = memory
        self._waiting = b""

    @property
    def is_waiting(self) -> bool:
        """Whether input waits for the next turn."""
        return bool(self._waiting)

    def parse(self, data: bytes) -> None:
        """Parse as much as the turn allows, and keep the rest.  Raises UnusableRequestError."""
        parser = self._parser
        last_request = parser.request_count + MAX_REQUESTS_PER_TURN
        start = 0
        while start < len(data):
            if parser.request_count >= last_request:
                self._wait(data[start:])
                return
            end = min(parser.piece_end(data, start, SLICE_BYTES), start + BODY_SLICE_BYTES)
            parser.feed(data if end - start == len(data) else memoryview(data)[start:end])
            start = end

    def _wait(self, rest: bytes) -> None:
        if not self._owner:
            return
        if not self._memory.acquire(len(rest)):
            raise UnusableRequestError(503)
        self._waiting = rest
        self._owner.pause_for_turn()
        self._loop.call_soon(self._continue)

    def _continue(self) -> None:
        data = self._take_waiting()
        if not data or not self._owner:
            return
        self._owner.data_received(data)
        if not self._waiting and self._owner:
            self._owner.resume_after_turn()

    def _take_waiting(self) -> bytes:
        data, self._waiting = self._waiting, b""
        self._memory.release(len(data))
        return data

    def close(self) -> None:
        """Drop what waits, and the connection, which refers back to this object."""
        self._take_waiting()
        self._owner = None
