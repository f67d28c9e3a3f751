"""Connects drain hints to the members' broadcasts, the endpoint list and the policy, on the running event loop.

`PeerHints` owns the timer of the next hint and makes no decisions.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..base.clock import Clock
from ..policy.interface import EndpointListUpdate, Event
from .drain_hints import DrainHints
from .interface import BroadcastReceived, DirectMessage, MemberChanged
from .udp import MembershipEndpoint


class PeerHints:
    """Broadcasts and receives hints from its construction until `close`.

    `deliver` passes an event to the policy.
    """

    def __init__(
        self, endpoint: MembershipEndpoint, clock: Clock, deliver: Callable[[Event], None], seed: int
    ) -> None:
        self._endpoint = endpoint
        self._clock = clock
        self._deliver = deliver
        self.drain_hints = DrainHints(endpoint.settings.gossip_interval_ms, seed)
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        endpoint.listeners.append(self._on_event)

    def on_endpoint_list(self, update: EndpointListUpdate) -> None:
        """Process an update of our own endpoint list."""
        self.drain_hints.on_endpoint_list(self._clock.now_ms(), update)
        self._schedule_tick()

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _schedule_tick(self) -> None:
        self.close()
        if not self.drain_hints.has_pending:
            return
        wait_s = max(0.0, self.drain_hints.due_ms - self._clock.now_ms()) / 1000
        self._timer = self._loop.call_later(wait_s, self._tick)

    def _tick(self) -> None:
        self._timer = None
        for message in self.drain_hints.tick(self._clock.now_ms()):
            self._endpoint.broadcast(message.kind, message.data)
        self._schedule_tick()

    def _on_event(self, event: MemberChanged | BroadcastReceived | DirectMessage) -> None:
        if not isinstance(event, BroadcastReceived):
            return
        hint = self.drain_hints.on_broadcast(self._clock.now_ms(), event)
        if hint:
            self._deliver(hint)
