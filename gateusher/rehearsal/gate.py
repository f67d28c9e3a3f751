"""The I/O beside `proofs`: stands between the list and the module, asks endpoints, decides nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..base.clock import Clock
from ..base.log import log_event
from ..discovery.lists import HostLine
from ..policy.interface import EndpointListUpdate, UpdateKind
from .ask import NoStandInError, ask
from .proofs import Ask, List, Proofs, Proved, Tell, Tick

MOST_ASKED = 64  # challenges under way at a time: a list of thousands must not open thousands of connections


class Gate:
    """Takes what a list would tell the module and the connections, and tells them what has proven."""

    def __init__(
        self,
        every_ms: float,
        clock: Clock,
        news: Callable[[EndpointListUpdate], None],
        update: Callable[[list[HostLine], bool], None],
    ) -> None:
        self._proofs, self._clock = Proofs(every_ms), clock
        self._news, self._update = news, update
        self._lines: list[HostLine] = []
        self._asking: set[asyncio.Task[None]] = set()
        self._room = asyncio.Semaphore(MOST_ASKED)

    @property
    def ready(self) -> int:
        return self._proofs.ready

    def update(self, lines: list[HostLine], whole: bool) -> None:
        """In place of the connections' own: what comes with the news that follows."""
        self._lines = lines

    def news(self, news: EndpointListUpdate) -> None:
        """In place of the module's."""
        lines, self._lines = tuple(self._lines), []
        self._perform(List(news.kind, news.version, lines))

    def tick(self) -> None:
        self._perform(Tick())

    def _perform(self, event: List | Proved | Tick) -> None:
        for action in self._proofs.handle(self._clock.now_ms(), event):
            if isinstance(action, Tell):
                if action.kind is not UpdateKind.FAILED:
                    self._update(list(action.lines), action.kind is not UpdateKind.CHANGES)
                self._news(EndpointListUpdate(action.kind, action.seq, tuple(line.endpoint for line in action.lines)))
            else:
                task = asyncio.get_running_loop().create_task(self._ask(action))
                self._asking.add(task)
                task.add_done_callback(self._asking.discard)

    async def _ask(self, action: Ask) -> None:
        ok = False
        try:
            async with self._room:
                await ask(action.where)
            ok = True
        except NoStandInError as error:
            log_event("rehearsal", error)
        self._perform(Proved(action.eid, action.where, ok))

    def close(self) -> None:
        for task in list(self._asking):
            task.cancel()
