"""Performs the I/O for `proofs`: runs the challenges and passes list updates from discovery to the policy.

All decisions are made in `proofs`.  `Gate` owns the challenges in progress.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..base.clock import Clock
from ..base.log import log_event
from ..discovery.lists import ListedEndpoint
from ..policy.interface import EndpointListUpdate, UpdateKind
from .challenge import NoStandInError, challenge
from .proofs import Challenge, ChallengeEnded, EndpointProofs, Event, ListUpdate, Publish, Tick

MAX_CHALLENGES = 64  # concurrent ones: a list of thousands must not open thousands of connections


class Gate:
    """Publishes as ready only the endpoints of a list that have proven to be stand-ins.

    `on_update` receives updates for the policy, `on_entries` the entries of each update and whether it is complete.
    """

    def __init__(
        self,
        interval_ms: float,
        clock: Clock,
        on_update: Callable[[EndpointListUpdate], None],
        on_entries: Callable[[list[ListedEndpoint], bool], None],
    ) -> None:
        self._proofs = EndpointProofs(interval_ms)
        self._clock = clock
        self._on_update = on_update
        self._on_entries = on_entries
        self._lines: list[ListedEndpoint] = []
        self._challenges: set[asyncio.Task[None]] = set()
        self._limit = asyncio.Semaphore(MAX_CHALLENGES)

    @property
    def ready(self) -> int:
        """Number of endpoints that have proven to be stand-ins and are published as ready."""
        return self._proofs.ready

    def take_entries(self, lines: list[ListedEndpoint], complete: bool) -> None:
        """Store the entries of the next update; replaces the connections' callback."""
        self._lines = lines

    def take_update(self, update: EndpointListUpdate) -> None:
        """Handle an update of the list; replaces the policy's callback."""
        lines = tuple(self._lines)
        self._lines = []
        self._handle(ListUpdate(update.kind, update.version, lines))

    def tick(self) -> None:
        """Start the challenges that are due; called at short intervals."""
        self._handle(Tick())

    def close(self) -> None:
        """Cancel all challenges."""
        for task in list(self._challenges):
            task.cancel()

    def _handle(self, event: Event) -> None:
        for action in self._proofs.handle(self._clock.now_ms(), event):
            match action:
                case Publish():
                    self._publish(action)
                case Challenge():
                    task = asyncio.get_running_loop().create_task(self._challenge(action))
                    self._challenges.add(task)
                    task.add_done_callback(self._challenges.discard)

    def _publish(self, action: Publish) -> None:
        if action.kind is not UpdateKind.FAILED:
            self._on_entries(list(action.lines), action.kind is not UpdateKind.CHANGES)
        endpoints = tuple(line.endpoint for line in action.lines)
        self._on_update(EndpointListUpdate(action.kind, action.version, endpoints))

    async def _challenge(self, action: Challenge) -> None:
        passed = False
        try:
            async with self._limit:
                await challenge(action.address)
            passed = True
        except NoStandInError as error:
            log_event("rehearsal", error)
        self._handle(ChallengeEnded(action.endpoint, action.address, passed))
