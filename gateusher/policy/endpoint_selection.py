"""Endpoint selection: chooses the endpoint for the next attempt of a request.  Owns no state.

An endpoint that a gossip hint excludes stays on the affinity ring until the next update of the own list, so a sticky
request may still be sent to it.
"""

from __future__ import annotations

from .context import DecisionContext
from .control_set import ControlSet
from .load_estimates import LoadEstimates
from .outlier_detection import OutlierDetector
from .records import EndpointRecord, PendingRequest, SentAttempt
from .slow_start import SlowStart
from .sticky_endpoints import AffinityRing, deduplication_window_open, in_deduplication_scope

AFFINITY_FACTOR = 0.7  # expected latency is scaled by this where the affinity key may be cached
TIE_BREAK_FACTOR = 1e-6  # random share of a score that breaks ties
FALLBACK_DRAWS = 6  # random ready endpoints that are tried if the control set has no usable one


class EndpointSelector:
    """Chooses the usable endpoint with the lowest expected latency from a random control set."""

    def __init__(
        self,
        context: DecisionContext,
        control_set: ControlSet,
        estimates: LoadEstimates,
        outliers: OutlierDetector,
        slow_start: SlowStart,
        affinity: AffinityRing,
    ) -> None:
        self._context = context
        self._control_set = control_set
        self._estimates = estimates
        self._outliers = outliers
        self._slow_start = slow_start
        self._affinity = affinity

    def select(self, request: PendingRequest) -> EndpointRecord | None:
        """Return the endpoint for the next attempt, or None if no usable endpoint is left in this round."""
        if request.first_execution:
            return self._select_in_deduplication_scope(request, request.first_execution)
        context, class_index = self._context, request.class_index
        used = [attempt.endpoint for attempt in request.attempts[request.round_start :]]
        check_usable, expected_latency_ms = self._outliers.check_usable, self._estimates.expected_latency_ms
        sticky = self._affinity.endpoints_for(request.affinity_key)
        candidates = sticky + self._slow_start.find_within_budget()
        candidates += self._control_set.draw() or self._control_set.draw()
        best: EndpointRecord | None = None
        min_score_ms = 1e18
        for endpoint in candidates:
            if endpoint in used or not check_usable(endpoint, class_index):
                continue
            score_ms = expected_latency_ms(endpoint, class_index)
            score_ms *= AFFINITY_FACTOR if endpoint in sticky else 1.0
            score_ms *= 1.0 + TIE_BREAK_FACTOR * context.random()
            if endpoint.in_flight and endpoint.awaiting_response:
                # The time without a response reveals a stall that began after the last load report.
                silent_ms = context.now_ms - endpoint.silent_since_ms
                score_ms = max(score_ms, (endpoint.in_flight + 1.0) * silent_ms)
            if score_ms < min_score_ms:
                best, min_score_ms = endpoint, score_ms
        if best is None and self._control_set.ready:
            return self._select_fallback(class_index, used)
        return best

    def _select_fallback(self, class_index: int, used: list[EndpointRecord]) -> EndpointRecord | None:
        """Return a random ready endpoint or None; an unusable one only for the first attempt of a round."""
        context, ready = self._context, self._control_set.ready
        for _ in range(FALLBACK_DRAWS):
            endpoint = ready[int(context.random() * len(ready))]
            if self._outliers.check_usable(endpoint, class_index) and endpoint not in used:
                return endpoint
        if not used and endpoint.slow_start_until_ms <= context.now_ms:
            return endpoint
        return None

    def _select_in_deduplication_scope(self, request: PendingRequest, first: SentAttempt) -> EndpointRecord | None:
        """Select an endpoint for a keyed request that may have run: only where and while a retry is deduplicated."""
        context, class_index, rules = self._context, request.class_index, request.rules
        if not deduplication_window_open(first, rules, context.now_ms, context.settings.tick_ms):
            return None
        candidates = [
            endpoint
            for endpoint in self._control_set.draw()
            if self._outliers.check_usable(endpoint, class_index)
            and in_deduplication_scope(endpoint.entry, first.entry, rules.scope)
        ]
        if candidates:
            return min(candidates, key=lambda endpoint: self._estimates.expected_latency_ms(endpoint, class_index))
        endpoint = first.endpoint
        if endpoint.ready and in_deduplication_scope(endpoint.entry, first.entry, rules.scope):
            return endpoint if endpoint.slow_start_until_ms <= context.now_ms else None
        return None
