"""Loads that run as singleton tasks (`[[load]] duty`): one daemon plays the load, and its successor resumes it.

A holder reserves requests before it sends them: a checkpoint says below which number all requests are done, and from
which number on none has been sent.  The next holder resends the idempotent requests in between and skips the others.

`LoadTask` owns one daemon's claim to a load, the player of its part and the timer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple, Protocol

from ..base.log import log_event
from ..config.file import Load
from .lease_claims import Claim, ClaimState
from .lease_manager import LeaseManager
from .load_part import LoadPart

CHECK_INTERVAL_S = 0.1  # interval of checks whether to reserve more requests
RESERVED_AHEAD_S = 1.0  # of the load's rate
MIN_RESERVED_REQUESTS = 64
FINISHED_TIMEOUT_LEASES = 2  # timeout of the last checkpoint, after which the claim ends without it


class Progress(NamedTuple):
    """Contents of a checkpoint: requests below `done` are complete, and none from `reserved` on was sent.

    `finished`: the source was played to its end.
    """

    done: int = 0
    reserved: int = 0
    finished: bool = False

    def encode(self) -> bytes:
        """Encode the checkpoint."""
        return f"{self.done:x}:{self.reserved:x}:{'over' if self.finished else ''}".encode()

    @classmethod
    def decode(cls, data: bytes) -> Progress:
        """Decode a checkpoint; an invalid or missing one means that the load hasn't begun."""
        try:
            done, reserved, finished = data.decode("ascii").split(":")
            return cls(int(done, 16), int(reserved, 16), finished == "over")
        except ValueError:
            return cls()


class Player(Protocol):
    """Plays one part of a load; implemented by `load.runner.LoadRunner`.

    `open` is the number of requests without a final response, `played` whether the source was played to its end, and
    `ended` is set when no more requests are sent.
    """

    part: LoadPart | None
    open: int
    played: bool
    ended: asyncio.Event

    def start(self) -> None:
        """Start sending requests."""

    def close(self) -> None:
        """Stop sending requests."""


class LoadTask:
    """Runs a load on one daemon while it holds the lease, from `start` until `close`.

    `make_player` returns the player of a part.
    """

    def __init__(self, leases: LeaseManager, load: Load, make_player: Callable[[Load, LoadPart], Player]) -> None:
        self._leases = leases
        self._load = load
        self._make_player = make_player
        self._loop = asyncio.get_running_loop()
        self._claim: Claim | None = None
        self._player: Player | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._requested_until = 0  # number below which a reservation was requested
        self._finished = False

    @property
    def task(self) -> str:
        """Return the name of the load's task."""
        return f"load {self._load.duty}"

    def start(self) -> None:
        """Claim the load's lease."""
        if not self._finished:
            self._claim = self._leases.claim(self.task, self._on_claim_change)

    def close(self) -> None:
        """Stop playing; called when the daemon ends."""
        self._cancel_timer()
        if self._player:
            self._player.close()
            self._player = None

    def _cancel_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _on_claim_change(self, claim: Claim) -> None:
        if claim.state is ClaimState.HELD:
            self._start_player(claim)
        elif claim.state is ClaimState.STOPPING:
            self._stop()
        elif claim.state is ClaimState.ENDED and claim is self._claim:
            self._claim = None

    def _start_player(self, claim: Claim) -> None:
        progress = Progress.decode(claim.checkpoint)
        if progress.finished:
            self._finished = True
            self._loop.call_soon(self._leases.end, claim)
            return
        part = LoadPart(
            progress.done, progress.reserved, claim.fence, lambda: self._leases.valid_lease(claim) is not None
        )
        if progress.reserved:
            log_event(
                "load",
                f"{self._load.duty}: resuming at request {progress.done}; those below {progress.reserved} may "
                "already have been sent",
            )
        self._player = self._make_player(self._load, part)
        self._requested_until = 0
        self._reserve(claim, part)
        self._player.start()
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check_progress)

    def _reserve(self, claim: Claim, part: LoadPart) -> None:
        """Reserve requests ahead of the completed ones; they may be sent once the checkpoint is saved."""
        ahead = max(MIN_RESERVED_REQUESTS, int(self._load.rate * RESERVED_AHEAD_S), self._load.most_open)
        wanted = max(part.uncertain_until, part.done_until + 2 * ahead)
        if wanted < self._requested_until + ahead // 2 and part.reserved_until >= self._requested_until:
            return
        self._requested_until = max(wanted, self._requested_until)
        reserved = self._requested_until

        def on_saved() -> None:
            part.reserved_until = max(part.reserved_until, reserved)

        self._leases.save_checkpoint(claim, Progress(part.done_until, reserved).encode(), on_saved)

    def _check_progress(self) -> None:
        self._timer = None
        player = self._player
        claim = self._claim
        if player is None or player.part is None or claim is None or claim.state is not ClaimState.HELD:
            return
        if not player.ended.is_set():
            self._reserve(claim, player.part)
            self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check_progress)
        elif player.played:
            self._finish(claim, player.part)

    def _finish(self, claim: Claim, part: LoadPart) -> None:
        """Save a checkpoint that tells later holders that the source was played to its end."""
        log_event(
            "load",
            f"{self._load.duty}: finished; of the requests that may already have been sent, "
            f"{part.repeated} were sent again and {part.skipped} skipped",
        )
        progress = Progress(part.done_until, part.done_until, True)
        self._leases.save_checkpoint(claim, progress.encode(), self._on_finished)
        # Without that checkpoint the next holder plays the last few requests and then finishes the load.
        timeout_s = FINISHED_TIMEOUT_LEASES * self._leases.config.lease_ms / 1000
        self._timer = self._loop.call_later(timeout_s, self._on_finished)

    def _on_finished(self) -> None:
        if not self._finished:
            self._finished = True
            self._end_claim()

    def _stop(self) -> None:
        """Stop sending requests, and release the lease when all open requests have their responses."""
        if self._timer:
            self._timer.cancel()
        if self._player:
            self._player.close()
        self._await_open_requests()

    def _await_open_requests(self) -> None:
        player = self._player
        claim = self._claim
        if claim is None:
            return
        part = player.part if player else None
        if player and part and player.open > 0 and self._leases.stop_remaining_s(claim) > CHECK_INTERVAL_S:
            self._timer = self._loop.call_later(CHECK_INTERVAL_S / 4, self._await_open_requests)
            return
        if part:
            reserved = max(part.reserved_until, self._requested_until)
            progress = Progress(part.done_until, reserved)
            self._leases.save_checkpoint(claim, progress.encode(), lambda: None)
        self._end_claim()
        if not self._leases.claims.closed:
            self.start()

    def _end_claim(self) -> None:
        self._cancel_timer()
        claim = self._claim
        self._claim = None
        self._player = None
        if claim:
            self._leases.end(claim)
