"""Drains and starts between the members' channel, the list and the core, on the running loop; decides nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..base.clock import Clock
from ..policy.interface import EndpointListUpdate, Event
from .drains import Drains
from .interface import BroadcastReceived, DirectMessage, MemberChanged
from .udp import Endpoint


class Fellows:
    """From the moment it is made until `close`; `deliver` is the core's."""

    def __init__(self, endpoint: Endpoint, clock: Clock, deliver: Callable[[Event], None], seed: int) -> None:
        self._endpoint, self._clock, self._deliver = endpoint, clock, deliver
        self.drains = Drains(endpoint.settings.gossip_ms, seed)
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        endpoint.listeners.append(self._heard)

    def listed(self, news: EndpointListUpdate) -> None:
        """The own list has spoken."""
        self.drains.listed(self._clock.now_ms(), news)
        self._arm()

    def _arm(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self.drains.due < 1e17:
            self._timer = self._loop.call_later(max(0.0, self.drains.due - self._clock.now_ms()) / 1000, self._tick)

    def _tick(self) -> None:
        self._timer = None
        for word in self.drains.tick(self._clock.now_ms()):
            self._endpoint.say(word.kind, word.data)
        self._arm()

    def _heard(self, event: MemberChanged | BroadcastReceived | DirectMessage) -> None:
        if isinstance(event, BroadcastReceived) and (warning := self.drains.heard(self._clock.now_ms(), event)):
            self._deliver(warning)

    def close(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
