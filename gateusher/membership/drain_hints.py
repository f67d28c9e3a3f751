"""Hints about draining and restarted endpoints, for sidecars whose endpoint list lags behind the sender's.  Pure.

A DRAIN hint carries the endpoint's number (4 bytes) and the list's version (8); a START hint also carries the
endpoint's start time on the list's clock (8 bytes, IEEE 754).  A sidecar that reads a change of the list waits for a
random time before it broadcasts, and suppresses its own hint if it receives the same one meanwhile (as receivers do
in SRM: Floyd, Jacobson and others, 1997), so that few sidecars of a fleet broadcast.  Hints are best effort; each is
repeated until it expires, for sidecars that were disconnected.

`DrainHints` owns the last known entry of each endpoint, the pending hints and the rate limits.
"""

from __future__ import annotations

import struct
from math import isfinite
from random import Random
from typing import NamedTuple

from ..policy.interface import Endpoint, EndpointListUpdate, EndpointState, GossipHint, UpdateKind
from .interface import Broadcast, BroadcastReceived
from .token_bucket import TokenBucket

DRAIN = 1  # broadcast kinds
START = 2
MAX_HINTS_PER_S = 40.0  # broadcast by us, or accepted from one origin or relay
MAX_TRACKED = 4096  # endpoints, and also senders, that are tracked
REPEAT_INTERVAL_MS = 4000.0  # minimum; a random time of up to as much is added
HINT_LIFETIME_MS = 30000.0  # for which a hint is repeated
NEVER_DUE_MS = 1e18
VERSION_MODULUS = 1 << 64
_DRAIN = struct.Struct(">IQ")
_START = struct.Struct(">IQd")


class PendingHint(NamedTuple):
    """A hint that is broadcast at `due_ms`, and repeated until `expires_at_ms`."""

    due_ms: float
    expires_at_ms: float
    state: EndpointState
    version: int
    started_ms: float


class DrainHints:
    """Decides which hints are broadcast and which received ones are passed on to the policy.

    `max_wait_ms` bounds the random time that a sidecar waits before it broadcasts a change.
    """

    def __init__(self, max_wait_ms: float, seed: int) -> None:
        self._max_wait_ms = max_wait_ms
        self._random = Random(seed)
        self._known: dict[int, Endpoint] = {}
        self._pending: dict[int, PendingHint] = {}
        # By endpoint: the list version in its latest hint, whichever sidecar sent it.
        self._broadcast_versions: dict[int, int] = {}
        self._own_limit = TokenBucket(MAX_HINTS_PER_S)
        self._sender_limits: dict[str, TokenBucket] = {}
        self.rate_limited = 0  # hints that a rate limit kept from being sent or accepted

    @property
    def due_ms(self) -> float:
        """When `tick` has to be called."""
        return min((hint.due_ms for hint in self._pending.values()), default=NEVER_DUE_MS)

    @property
    def has_pending(self) -> bool:
        """Whether a hint is still to be broadcast."""
        return bool(self._pending)

    def on_endpoint_list(self, now_ms: float, update: EndpointListUpdate) -> None:
        """Process an update of our endpoint list; plan a hint for each endpoint that is draining or restarted."""
        if update.kind is UpdateKind.FAILED:
            return
        plans_hints = update.kind is not UpdateKind.CACHED
        for entry in update.entries:
            known = self._known.get(entry.endpoint)
            if known and plans_hints and _needs_hint(known, entry):
                self._plan(now_ms, entry.endpoint, entry.state, update.version, entry.started_ms)
            if entry.state is EndpointState.REMOVED:
                self._known.pop(entry.endpoint, None)
            else:
                self._known[entry.endpoint] = entry
        if update.kind is not UpdateKind.CHANGES:
            self._remove_unlisted(now_ms, update, plans_hints)

    def tick(self, now_ms: float) -> list[Broadcast]:
        """Return the hints that are due, as broadcasts."""
        broadcasts = []
        for endpoint in [endpoint for endpoint, hint in self._pending.items() if hint.due_ms <= now_ms]:
            hint = self._pending[endpoint]
            self._postpone(now_ms, endpoint, hint)
            if not self._own_limit.take(now_ms, 1):
                self.rate_limited += 1
                continue
            self._record_version(endpoint, hint.version)
            broadcasts.append(_encode(endpoint, hint))
        return broadcasts

    def on_broadcast(self, now_ms: float, message: BroadcastReceived) -> GossipHint | None:
        """Return a received hint as an event for the policy.

        Return None if the message is not a hint or exceeds its sender's rate limit.
        """
        hint = _decode(message)
        if hint is None or not isfinite(hint.started_ms) or not self._is_within_limits(now_ms, message):
            return None
        pending = self._pending.get(hint.endpoint)
        if pending and _covers(hint, pending):
            self._postpone(now_ms, hint.endpoint, pending)
        self._record_version(hint.endpoint, hint.version)
        return hint

    def _remove_unlisted(self, now_ms: float, update: EndpointListUpdate, plans_hints: bool) -> None:
        """Remove the endpoints that a complete list no longer contains."""
        listed = {entry.endpoint for entry in update.entries}
        for endpoint in [endpoint for endpoint in self._known if endpoint not in listed]:
            if plans_hints and self._known[endpoint].state is EndpointState.READY:
                self._plan(now_ms, endpoint, EndpointState.REMOVED, update.version, 0.0)
            del self._known[endpoint]

    def _plan(self, now_ms: float, endpoint: int, state: EndpointState, version: int, started_ms: float) -> None:
        if self._broadcast_versions.get(endpoint, -1) < version:
            due_ms = now_ms + self._random.random() * self._max_wait_ms
            self._pending[endpoint] = PendingHint(due_ms, now_ms + HINT_LIFETIME_MS, state, version, started_ms)

    def _postpone(self, now_ms: float, endpoint: int, hint: PendingHint) -> None:
        """Repeat a hint later that this or another sidecar has just broadcast, or drop it if it expires before."""
        due_ms = now_ms + REPEAT_INTERVAL_MS * (1.0 + self._random.random())
        if due_ms < hint.expires_at_ms:
            self._pending[endpoint] = hint._replace(due_ms=due_ms)
        else:
            self._pending.pop(endpoint, None)

    def _record_version(self, endpoint: int, version: int) -> None:
        self._broadcast_versions[endpoint] = version
        if len(self._broadcast_versions) > MAX_TRACKED:  # a faulty member can send any number of endpoints
            del self._broadcast_versions[next(iter(self._broadcast_versions))]

    def _is_within_limits(self, now_ms: float, message: BroadcastReceived) -> bool:
        for sender in (f"origin {message.origin}", f"relay {message.relay}"):
            if len(self._sender_limits) >= MAX_TRACKED:
                self._sender_limits.clear()
            if not self._sender_limits.setdefault(sender, TokenBucket(MAX_HINTS_PER_S)).take(now_ms, 1):
                self.rate_limited += 1
                return False
        return True


def _needs_hint(known: Endpoint, entry: Endpoint) -> bool:
    if entry.state is EndpointState.READY:
        return entry.started_ms > known.started_ms
    return known.state is EndpointState.READY


def _covers(hint: GossipHint, pending: PendingHint) -> bool:
    """Return whether a received hint makes the pending one redundant."""
    same_kind = (pending.state is EndpointState.READY) == (hint.state is EndpointState.READY)
    return same_kind and pending.version <= hint.version


def _encode(endpoint: int, hint: PendingHint) -> Broadcast:
    version = hint.version % VERSION_MODULUS
    if hint.state is EndpointState.READY:
        return Broadcast(START, _START.pack(endpoint, version, hint.started_ms))
    return Broadcast(DRAIN, _DRAIN.pack(endpoint, version))


def _decode(message: BroadcastReceived) -> GossipHint | None:
    try:
        if message.kind == DRAIN:
            endpoint, version = _DRAIN.unpack_from(message.data)
            return GossipHint(endpoint, EndpointState.DRAINING, version, 0.0)
        if message.kind == START:
            endpoint, version, started_ms = _START.unpack_from(message.data)
            return GossipHint(endpoint, EndpointState.READY, version, started_ms)
    except struct.error:
        return None
    return None
