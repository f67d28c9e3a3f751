"""Sticky endpoints: the preferred endpoints of an affinity key, and where a keyed request may be retried.

Owns a consistent hash ring of the ready endpoints, which is the same at every client that has the same list.
"""

from __future__ import annotations

from bisect import bisect

from .interface import DeduplicationScope, Endpoint, RetryRules
from .records import EndpointRecord, SentAttempt

RING_POINTS = 8  # points of each endpoint on the ring
ENDPOINTS_PER_KEY = 2


def hash_mix(n: int) -> int:
    """Return a 64-bit hash of `n` that is the same in every process."""
    n = (n ^ n >> 31) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
    n = (n ^ n >> 29) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    return n ^ n >> 32


class AffinityRing:
    """Maps affinity keys to the endpoints whose caches hold them."""

    def __init__(self) -> None:
        self._points: list[int] = []  # ascending
        self._endpoints: list[EndpointRecord] = []  # the endpoint at each point

    def rebuild(self, ready: list[EndpointRecord]) -> None:
        """Rebuild the ring from these endpoints."""
        # An endpoint id has 32 bits; the point number is added above them.
        pairs = (
            (hash_mix(endpoint.endpoint_id + (n << 33)), endpoint) for endpoint in ready for n in range(RING_POINTS)
        )
        ring = sorted(pairs, key=lambda pair: pair[0])
        self._points = [point for point, _ in ring]
        self._endpoints = [endpoint for _, endpoint in ring]

    def endpoints_for(self, affinity_key: int) -> list[EndpointRecord]:
        """Return the endpoints that every client prefers for this key; empty for key 0."""
        points, endpoints = self._points, self._endpoints
        if not affinity_key or not points:
            return []
        positions = [bisect(points, hash_mix(affinity_key + n)) for n in range(ENDPOINTS_PER_KEY)]
        return [endpoints[position % len(points)] for position in positions]


def in_deduplication_scope(endpoint: Endpoint, first: Endpoint, scope: DeduplicationScope) -> bool:
    """Return whether `endpoint` deduplicates a retry of a request that may have run on `first`.

    `first` is the entry when the request was sent there: the list may have moved the endpoint since, and the entry of
    a draining endpoint may lack its cell.
    """
    if scope is DeduplicationScope.ALL:
        return True
    if endpoint.zone != first.zone:
        return False
    return scope is DeduplicationScope.ZONE or endpoint.cell == first.cell


def deduplication_window_open(first: SentAttempt, rules: RetryRules, now_ms: float, tick_ms: float) -> bool:
    """Return whether retries of a keyed request that may have run first by `first` are still deduplicated.

    A tick is left for sending them.
    """
    return now_ms < first.sent_at_ms + rules.window_ms - tick_ms
