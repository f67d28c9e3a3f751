"""Slow start: limits the requests that this client sends to an endpoint that is warming up.

Owns the list of endpoints that are warming up and their credits.  A credit grows at this client's own request rate
per endpoint, times a ramp that begins at the capacity share of an endpoint at its start.  Each request costs one
credit.
"""

from __future__ import annotations

from .context import DecisionContext
from .control_set import ControlSet
from .load_estimates import LoadEstimates
from .records import EndpointRecord

MAX_INSPECTED_ENDPOINTS = 64  # maximum number of endpoints examined per request
MAX_CREDIT = 1.0
RATE_SHARE = 0.5  # credit growth at the end of the ramp, as a share of the mean request rate


class SlowStart:
    """Keeps the budgets of endpoints that are warming up."""

    def __init__(self, context: DecisionContext, control_set: ControlSet, estimates: LoadEstimates) -> None:
        self._context = context
        self._control_set = control_set
        self._estimates = estimates
        self.warming: list[EndpointRecord] = []  # may contain warm endpoints until they are next examined

    def begin(self, endpoint: EndpointRecord, started_ms: float) -> None:
        """Begin the slow start of an endpoint that started at `started_ms`.

        The initial credit is random, so that many clients with few requests add up to the right share.
        """
        context = self._context
        if endpoint not in self.warming:
            self.warming.append(endpoint)
        endpoint.slow_start_from_ms = started_ms
        endpoint.slow_start_until_ms = started_ms + context.settings.slow_start_ms
        endpoint.slow_start_credit = context.random() - 1.0
        endpoint.slow_start_credit_at_ms = context.now_ms

    def has_budget(self, endpoint: EndpointRecord) -> bool:
        """Add the credit earned since the last call; return whether a warming endpoint may get a request now.

        Without a budget an idle endpoint would win every comparison of loads.  The slowness of its kind for class 0
        is used for all classes.
        """
        settings, now_ms = self._context.settings, self._context.now_ms
        share = settings.slow_start_share
        elapsed_ms = max(0.0, now_ms - endpoint.slow_start_from_ms)
        ramp = share + (1 - share) * elapsed_ms / max(1.0, settings.slow_start_ms)
        estimates = self._estimates
        rate = estimates.request_rate_per_ms / max(1, len(self._control_set.ready))
        rate = rate / max(1.0, estimates.kind_slowness[endpoint.entry.kind][0])
        earned = RATE_SHARE * ramp * rate * (now_ms - endpoint.slow_start_credit_at_ms)
        endpoint.slow_start_credit = min(MAX_CREDIT, endpoint.slow_start_credit + earned)
        endpoint.slow_start_credit_at_ms = now_ms
        return endpoint.slow_start_credit >= 0.0

    def spend(self, endpoint: EndpointRecord) -> None:
        """Count a request that is sent to a warming endpoint."""
        endpoint.slow_start_credit -= 1.0

    def served(self, endpoint: EndpointRecord) -> None:
        """Allow the next request after a served one, independently of the ramp.

        Rejections and timeouts restore no credit.  Limitation: reacts late if the endpoint's capacity falls again.
        """
        if self._context.now_ms < endpoint.slow_start_until_ms:
            endpoint.slow_start_credit = max(endpoint.slow_start_credit, 0.0)

    def find_within_budget(self) -> list[EndpointRecord]:
        """Return at most one warming endpoint that has budget for a request now, to add to the control set.

        The control set alone would rarely include a new endpoint, which has the minimum probability, and leave its
        budget unused while the warm endpoints are overloaded.  Limitation: sends too much if a budget is too high.
        """
        warming = self.warming
        if not warming:
            return []
        context = self._context
        now_ms, stale = context.now_ms, False
        found: list[EndpointRecord] = []
        count = len(warming)
        first = int(context.random() * count)
        for i in range(min(count, MAX_INSPECTED_ENDPOINTS)):
            endpoint = warming[(first + i) % count]
            if not endpoint.ready or endpoint.slow_start_until_ms <= now_ms:
                stale = True
            elif endpoint.ejected_until_ms <= now_ms and self.has_budget(endpoint):
                found.append(endpoint)
                break
        if stale:
            self.warming = [e for e in warming if e.ready and e.slow_start_until_ms > now_ms]
        return found
