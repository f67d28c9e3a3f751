"""Slow start: how many requests an endpoint that is warming up may get from this client.

Owns the list of endpoints that are warming up and their credits.  A credit grows by this client's own request rate an
endpoint, on a ramp from the share that a just started endpoint can do, and each request costs one.
"""

from __future__ import annotations

from .context import DecisionContext
from .control_set import ControlSet
from .load_estimates import LoadEstimates
from .records import EndpointRecord

MAX_INSPECTED = 64  # endpoints that are looked at for one request
MAX_CREDIT = 1.0
RATE_SHARE = 0.5  # part of the mean request rate that an endpoint's credit grows by at the end of its ramp


class SlowStart:
    """The budgets of endpoints that are warming up."""

    def __init__(self, context: DecisionContext, control_set: ControlSet, estimates: LoadEstimates) -> None:
        self._context = context
        self._control_set = control_set
        self._estimates = estimates
        self.warming: list[EndpointRecord] = []  # some may be warm already; dropped when next looked at

    def begin(self, endpoint: EndpointRecord, started_ms: float) -> None:
        """The endpoint started at `started_ms` and is warming up since.

        The first credit is random, so that many clients with few requests add up to the right share.
        """
        context = self._context
        if endpoint not in self.warming:
            self.warming.append(endpoint)
        endpoint.slow_start_from_ms = started_ms
        endpoint.slow_start_until_ms = started_ms + context.settings.slow_start_ms
        endpoint.slow_start_credit = context.random() - 1.0
        endpoint.slow_start_credit_at_ms = context.now_ms

    def has_budget(self, endpoint: EndpointRecord) -> bool:
        """Accrue the credit earned since the last call; whether a warming endpoint may get a request now.

        Without a budget an empty endpoint would win every comparison of loads.  The slowness of its kind for class 0
        stands for that of all classes.
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
        """A served request frees its place, so the next may follow whatever the ramp says.

        What is rejected or times out gives nothing back.  Lags behind an endpoint whose capacity falls again.
        """
        if self._context.now_ms < endpoint.slow_start_until_ms:
            endpoint.slow_start_credit = max(endpoint.slow_start_credit, 0.0)

    def within_budget(self) -> list[EndpointRecord]:
        """A warming endpoint that the budget allows a request now, to join the control set; empty where none is.

        A control set alone would leave such budgets unspent, as a new endpoint has the least probability, while the
        warm rest of the fleet is overloaded.  Sends too much where the budgets are guessed too high.
        """
        warming = self.warming
        if not warming:
            return []
        context = self._context
        now_ms, stale = context.now_ms, False
        found: list[EndpointRecord] = []
        count = len(warming)
        first = int(context.random() * count)
        for i in range(min(count, MAX_INSPECTED)):
            endpoint = warming[(first + i) % count]
            if not endpoint.ready or endpoint.slow_start_until_ms <= now_ms:
                stale = True
            elif endpoint.ejected_until_ms <= now_ms and self.has_budget(endpoint):
                found.append(endpoint)
                break
        if stale:
            self.warming = [e for e in warming if e.ready and e.slow_start_until_ms > now_ms]
        return found
