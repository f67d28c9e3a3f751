"""Gossip hints: what other sidecars' hints may change, which is little, of few endpoints and for a short time.

Owns which endpoints are held back, or were put into slow start, on a hint.  A peer's list may be ahead of ours: that
an endpoint drains, or was started anew, is believed where the peer's list is newer.  That an endpoint is there never
is: only the own list names endpoints to send to.  An endpoint held back by a hint stays on the affinity ring until
the next update of the own list, so that a sticky request may still be sent to it.
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
MAX_HINTED_SHARE_DIVISOR = 4  # at most a quarter of the endpoints, and at least one, may be subject to hints


class DrainHint(NamedTuple):
    """An endpoint that drains by a peer's list."""

    expires_at_ms: float
    list_version: int  # of the peer's list


class GossipHints:
    """The hints in force."""

    def __init__(self, context: DecisionContext, control_set: ControlSet, slow_start: SlowStart) -> None:
        self._context = context
        self._control_set = control_set
        self._slow_start = slow_start
        self.list_version = 0  # of the own list
        self.draining: dict[int, DrainHint] = {}  # by endpoint id
        self._restarted: dict[int, float] = {}  # by endpoint id: when the hint expires

    def allows(self, endpoint: EndpointRecord) -> bool:
        """Whether an endpoint that the own list has as ready may be used; drops a hint that the list outdates."""
        hint = self.draining.get(endpoint.endpoint_id)
        if hint and hint.list_version > self.list_version:
            return False
        self.draining.pop(endpoint.endpoint_id, None)
        return True

    def apply(self, endpoint: EndpointRecord, hint: GossipHint) -> None:
        """Take a hint about an endpoint of the own list.

        A peer that lies, or follows another list, can hold back a quarter of the endpoints for the lifetime of a
        hint, and none that the own list has named since.
        """
        if hint.version <= self.list_version:
            return
        if endpoint.endpoint_id in self.draining and hint.state is not EndpointState.READY:
            self._hold_back(endpoint, hint)
        if not endpoint.ready:
            return
        ready = len(self._control_set.ready)
        most = max(1, (ready + len(self.draining)) // MAX_HINTED_SHARE_DIVISOR)
        if hint.state is not EndpointState.READY:
            if len(self.draining) >= most or ready < 2:
                return
            self._control_set.remove(endpoint)
            self._hold_back(endpoint, hint)
        elif hint.started_ms > max(endpoint.entry.started_ms, endpoint.slow_start_from_ms):
            self._restart(endpoint, hint, most)

    def expire(self, endpoints: Mapping[int, EndpointRecord]) -> None:
        """Drop drain hints that the own list has not confirmed in time; their endpoints may be used again."""
        now_ms = self._context.now_ms
        for endpoint_id in [n for n, hint in self.draining.items() if hint.expires_at_ms <= now_ms]:
            del self.draining[endpoint_id]
            endpoint = endpoints.get(endpoint_id)
            if endpoint and not endpoint.ready and endpoint.entry.state is EndpointState.READY:
                self._control_set.add(endpoint)

    def _hold_back(self, endpoint: EndpointRecord, hint: GossipHint) -> None:
        context = self._context
        self.draining[endpoint.endpoint_id] = DrainHint(context.now_ms + HINT_LIFETIME_MS, hint.version)
        context.actions.append(SetTimer(HINT_EXPIRY_TIMER, HINT_LIFETIME_MS))

    def _restart(self, endpoint: EndpointRecord, hint: GossipHint, most: int) -> None:
        now_ms = self._context.now_ms
        self._restarted = {n: expires_ms for n, expires_ms in self._restarted.items() if expires_ms > now_ms}
        if len(self._restarted) < most:
            self._restarted[endpoint.endpoint_id] = now_ms + HINT_LIFETIME_MS
            self._slow_start.begin(endpoint, min(now_ms, hint.started_ms))
