"""`[[load]] duty`: of all daemons that have it one plays a source, and the next goes on where it came to.

What a holder may send it reserves first: a mark that a majority of voters remembers says up to where all is done, and
up to where anything may have been sent.  The next holder plays what lies between once more where a repeat does
nothing, and leaves the rest out; what it has not reserved it doesn't send.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple, Protocol

from ..base.log import log_event
from ..config.file import Load
from .lease_claims import Claim, ClaimState
from .lease_manager import LeaseManager
from .parts import Part

STEP_S = 0.1  # between two looks whether more is to be reserved
BLOCK_S = 1.0  # so much of the rate is reserved ahead
LEAST = 64  # requests of a reservation, at the least


class Progress(NamedTuple):
    """A mark: all requests below `done` are over, none from `reserved` on was sent."""

    done: int = 0
    reserved: int = 0
    over: bool = False

    def write(self) -> bytes:
        return f"{self.done:x}:{self.reserved:x}:{'over' if self.over else ''}".encode()

    @classmethod
    def read(cls, data: bytes) -> Progress:
        """What nobody has left, or what is no mark of ours, is a beginning."""
        try:
            done, reserved, over = data.decode("ascii").split(":")
            return cls(int(done, 16), int(reserved, 16), over == "over")
        except ValueError:
            return cls()


class Player(Protocol):
    """What plays a part, as `load.inside.Inside` does."""

    part: Part | None
    open: int  # requests that have no final answer yet
    played: bool  # to the source's end
    ended: asyncio.Event

    def start(self) -> None: ...

    def close(self) -> None: ...


class Turn:
    """This daemon's turn at one load, from `start` until `close`; `make` gives the player of a part."""

    def __init__(self, office: LeaseManager, load: Load, make: Callable[[Load, Part], Player]) -> None:
        self._office, self._load, self._make = office, load, make
        self._loop = asyncio.get_running_loop()
        self._claim: Claim | None = None
        self.inside: Player | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._asked = 0  # up to where was last asked to be reserved
        self.over = False

    @property
    def duty(self) -> str:
        return f"load {self._load.duty}"

    def start(self) -> None:
        """Wait for the duty."""
        if not self.over:
            self._claim = self._office.claim(self.duty, self._changed)

    def _changed(self, claim: Claim) -> None:
        if claim.state is ClaimState.HELD:
            self._begin(claim)
        elif claim.state is ClaimState.STOPPING:
            self._stop()
        elif claim.state is ClaimState.ENDED and claim is self._claim:
            self._claim = None

    def _begin(self, claim: Claim) -> None:
        progress = Progress.read(claim.checkpoint)
        if progress.over:
            self.over = True
            self._loop.call_soon(self._office.end, claim)
            return
        part = Part(progress.done, progress.reserved, claim.fence, lambda: self._office.proof(claim) is not None)
        if progress.reserved:
            log_event(
                "load",
                f"{self._load.duty}: goes on at request {progress.done}; those up to {progress.reserved} may "
                "have been played before",
            )
        self.inside = self._make(self._load, part)
        self._asked = 0
        self._reserve(claim, part)
        self.inside.start()
        self._timer = self._loop.call_later(STEP_S, self._step)

    def _reserve(self, claim: Claim, part: Part) -> None:
        """Ask for more ahead of what is done; it may be sent when that lasts."""
        ahead = max(LEAST, int(self._load.rate * BLOCK_S), self._load.most_open)
        wanted = max(part.unsure, part.done + 2 * ahead)
        if wanted >= self._asked + ahead // 2 or part.reserved < self._asked:
            self._asked = max(wanted, self._asked)
            reserved = self._asked

            def lasts() -> None:
                part.reserved = max(part.reserved, reserved)

            self._office.save_checkpoint(claim, Progress(part.done, reserved).write(), lasts)

    def _step(self) -> None:
        self._timer = None
        inside, claim = self.inside, self._claim
        if inside is None or inside.part is None or claim is None or claim.state is not ClaimState.HELD:
            return
        if inside.ended.is_set():
            if inside.played:
                part = inside.part
                log_event(
                    "load",
                    f"{self._load.duty}: played to its end; of those that may have been played before "
                    f"{part.again} were played again, {part.left_out} left out",
                )
                self._office.save_checkpoint(claim, Progress(part.done, part.done, True).write(), self._played)
                # Should that mark never last, the next holder finds a few requests and says the same.
                self._timer = self._loop.call_later(2 * self._office.config.lease_ms / 1000, self._played)
            return
        self._reserve(claim, inside.part)
        self._timer = self._loop.call_later(STEP_S, self._step)

    def _played(self) -> None:
        if not self.over:
            self.over = True
            self._end()

    def _stop(self) -> None:
        """Nothing more is sent; the duty is let go when what is out has its answers, so that the mark is true."""
        if self._timer:
            self._timer.cancel()
        if self.inside:
            self.inside.close()
        self._wait_for_open()

    def _wait_for_open(self) -> None:
        inside, claim = self.inside, self._claim
        if claim is None:
            return
        if inside and inside.part and inside.open > 0 and self._office.stop_remaining_s(claim) > STEP_S:
            self._timer = self._loop.call_later(STEP_S / 4, self._wait_for_open)
            return
        if inside and inside.part:
            self._office.save_checkpoint(
                claim, Progress(inside.part.done, max(inside.part.reserved, self._asked)).write(), lambda: None
            )
        self._end()
        if not self._office.claims.closed:
            self.start()

    def _end(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        claim, self._claim, self.inside = self._claim, None, None
        if claim:
            self._office.end(claim)

    def close(self) -> None:
        """End it with the daemon."""
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self.inside:
            self.inside.close()
            self.inside = None
