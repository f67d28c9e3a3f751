"""Gossip hints: applies hints from peers, which affect only few endpoints and expire soon.

Owns which endpoints are excluded, or were put into slow start, because of a hint.  A peer's list may be newer than
ours: in that case its hint that an endpoint is draining or has restarted is applied.  A hint never adds an endpoint:
only endpoints of the own list get requests.  An endpoint that a hint excludes stays on the affinity ring until the
next update of the own list, so a sticky request may still be sent to it.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from .context import HINT_EXPIRY_TIMER, DecisionContext
from .control_set import ControlSet
from .interface import EndpointState, GossipHint, SetTimer
from .records import EndpointRecord
from .slow_start import SlowStart

HINT_LIFETIME_MS = 10000.0  # longer than a list update takes to arrive
EARLY_TIMER_MS = 5.0  # a timer may fire this much early: uvloop counts whole milliseconds
MAX_HINTED_SHARE_DIVISOR = 4  # hints may affect at most a quarter of the endpoints, but always one


class DrainHint(NamedTuple):
    """A hint that an endpoint is draining or removed in a peer's list."""

    expires_at_ms: float
    list_version: int  # of the peer's list


class GossipHints:
    """Keeps the hints that are in effect."""

    def __init__(self, context: DecisionContext, control_set: ControlSet, slow_start: SlowStart) -> None:
        self._context = context
        self._control_set = control_set
        self._slow_start = slow_start
        self.list_version = 0  # of the own list
        self.draining: dict[int, DrainHint] = {}  # by endpoint id
        self._restarted: dict[int, float] = {}  # by endpoint id: when the restart hint expires

    def allows(self, endpoint: EndpointRecord) -> bool:
        """Return whether no hint excludes an endpoint that is ready in the own list; drop an outdated hint."""
        hint = self.draining.get(endpoint.endpoint_id)
        if hint and hint.list_version > self.list_version:
            return False
        self.draining.pop(endpoint.endpoint_id, None)
        return True

    def apply(self, endpoint: EndpointRecord, hint: GossipHint) -> None:
        """Apply a hint about an endpoint of the own list.

        A peer that sends false hints or follows another list can exclude at most a quarter of the endpoints, each for
        the lifetime of a hint, and none that a newer version of the own list contains.
        """
        if hint.version <= self.list_version:
            return
        if endpoint.endpoint_id in self.draining and hint.state is not EndpointState.READY:
            self._hold_back(endpoint, hint)
        if not endpoint.ready:
            return
        ready = len(self._control_set.ready)
        max_hinted = max(1, (ready + len(self.draining)) // MAX_HINTED_SHARE_DIVISOR)
        if hint.state is not EndpointState.READY:
            if len(self.draining) >= max_hinted or ready < 2:
                return
            self._control_set.remove(endpoint)
            self._hold_back(endpoint, hint)
        elif hint.started_ms > max(endpoint.entry.started_ms, endpoint.slow_start_from_ms):
            self._begin_slow_start(endpoint, hint, max_hinted)

    def expire(self, endpoints: Mapping[int, EndpointRecord]) -> None:
        """Drop expired drain hints, which the own list has not confirmed; their endpoints may be used again.

        Each hint has one timer, so a timer that fires a little early must drop its hint too.
        """
        latest_expiry_ms = self._context.now_ms + EARLY_TIMER_MS
        for endpoint_id in [n for n, hint in self.draining.items() if hint.expires_at_ms <= latest_expiry_ms]:
            del self.draining[endpoint_id]
            endpoint = endpoints.get(endpoint_id)
            if endpoint and not endpoint.ready and endpoint.entry.state is EndpointState.READY:
                self._control_set.add(endpoint)

    def _hold_back(self, endpoint: EndpointRecord, hint: GossipHint) -> None:
        context = self._context
        self.draining[endpoint.endpoint_id] = DrainHint(context.now_ms + HINT_LIFETIME_MS, hint.version)
        context.actions.append(SetTimer(HINT_EXPIRY_TIMER, HINT_LIFETIME_MS))

    def _begin_slow_start(self, endpoint: EndpointRecord, hint: GossipHint, max_hinted: int) -> None:
        now_ms = self._context.now_ms
        self._restarted = {n: expires_ms for n, expires_ms in self._restarted.items() if expires_ms > now_ms}
        if len(self._restarted) < max_hinted:
            self._restarted[endpoint.endpoint_id] = now_ms + HINT_LIFETIME_MS
            self._slow_start.begin(endpoint, min(now_ms, hint.started_ms))
