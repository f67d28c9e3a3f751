"""The endpoint list: applies its updates, and decides when to poll or watch it again.

Owns the records of the listed endpoints and the state of the watch.
"""

from __future__ import annotations

from .context import ENDPOINT_LIST_TIMER, DecisionContext
from .control_set import ControlSet
from .gossip_hints import GossipHints
from .interface import (
    Endpoint,
    EndpointListUpdate,
    EndpointState,
    GossipHint,
    SetTimer,
    UpdateKind,
    WatchEndpointList,
)
from .load_estimates import LoadEstimates
from .outlier_detection import OutlierDetector
from .records import EndpointRecord
from .slow_start import SlowStart
from .sticky_endpoints import AffinityRing

FIRST_WATCH_BACKOFF_MS = 250.0
WATCH_BACKOFF_FACTOR = 4
MAX_WATCH_BACKOFF_STEPS = 20  # keeps the exponential finite
MAX_WATCH_BACKOFF_SHARE = 0.5  # maximum backoff, as a share of `poll_within_ms`
MAX_SHORTAGE_BACKOFF_MS = 1000.0  # maximum backoff for polls on behalf of requests without an endpoint
START_JITTER_SHARE = (
    0.3  # clients that start together distribute their first polls over this share of `poll_within_ms`
)


class EndpointList:
    """Keeps the endpoints of this client's own endpoint list."""

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
        self.hints = GossipHints(context, control_set, slow_start)
        self.endpoints: dict[int, EndpointRecord] = {}
        self._watching = False
        self._watch_failures = 0
        self._poll_allowed_at_ms = 0.0  # no poll for a request without an endpoint before this
        self._poll_due_at_ms = 0.0  # when the latest poll timer fires

    def update(self, update: EndpointListUpdate) -> None:
        """Apply an update of the list, or the failure of its watch."""
        if update.kind == UpdateKind.FAILED:
            self._watch_failed()
            return
        context, control_set = self._context, self._control_set
        self._watch_failures = 0
        self.hints.list_version = update.version
        if update.kind != UpdateKind.CHANGES:
            self._drop_unlisted({entry.endpoint for entry in update.entries})
        control_set.set_min_probability(max(len(control_set.ready), len(update.entries)))
        for entry in update.entries:
            self._apply(entry)
        ready = control_set.ready
        control_set.set_min_probability(len(ready))
        self._estimates.set_capacity(ready)
        if context.settings.caches_by_key:
            self._affinity.rebuild(ready)
        control_set.refill()
        if update.kind == UpdateKind.CACHED and context.settings.polls_list:
            self._poll_after(context.random() * context.settings.poll_within_ms * START_JITTER_SHARE)

    def apply_hint(self, hint: GossipHint) -> None:
        """Apply a peer's hint about an endpoint; ignore it if the own list doesn't contain the endpoint."""
        endpoint = self.endpoints.get(hint.endpoint)
        if endpoint is not None:
            self.hints.apply(endpoint, hint)

    def timer_fired(self) -> None:
        """Poll the list.  Only the latest timer counts, as the watch may have failed again since an earlier one."""
        if self._context.now_ms >= self._poll_due_at_ms - self._context.settings.tick_ms:
            self._watch()

    def poll_on_shortage(self) -> None:
        """Poll the list now for a request that is held or ended without an endpoint, unless a poll has just failed.

        The list may be outdated, or from the middle of a rollout.  Limitation: adds load to a list service that fails
        while endpoints are scarce, hence the backoff after each failure.
        """
        context = self._context
        if context.settings.polls_list and context.now_ms >= self._poll_allowed_at_ms:
            self._watch()

    def _watch(self) -> None:
        if not self._watching:
            self._watching = True
            self._context.actions.append(WatchEndpointList(True))

    def _watch_failed(self) -> None:
        context = self._context
        self._watching = False
        self._watch_failures += 1
        jitter = 0.5 + context.random() / 2
        steps = min(MAX_WATCH_BACKOFF_STEPS, self._watch_failures - 1)
        backoff_ms = min(
            FIRST_WATCH_BACKOFF_MS * WATCH_BACKOFF_FACTOR**steps,
            context.settings.poll_within_ms * MAX_WATCH_BACKOFF_SHARE,
        )
        self._poll_allowed_at_ms = context.now_ms + jitter * min(backoff_ms, MAX_SHORTAGE_BACKOFF_MS)
        self._poll_after(jitter * backoff_ms)

    def _poll_after(self, delay_ms: float) -> None:
        self._poll_due_at_ms = self._context.now_ms + delay_ms
        self._context.actions.append(SetTimer(ENDPOINT_LIST_TIMER, delay_ms))

    def _drop_unlisted(self, listed: set[int]) -> None:
        for endpoint in [e for e in self.endpoints.values() if e.endpoint_id not in listed]:
            self._control_set.remove(endpoint)
            del self.endpoints[endpoint.endpoint_id]

    def _apply(self, entry: Endpoint) -> None:
        """Apply one entry; a draining or removed endpoint leaves the control set immediately."""
        context = self._context
        endpoint = self.endpoints.get(entry.endpoint)
        if endpoint is None:
            endpoint = self.endpoints[entry.endpoint] = EndpointRecord(entry.endpoint, entry)
        restarted = entry.started_ms > endpoint.entry.started_ms
        endpoint.entry = entry
        if entry.state != EndpointState.READY:
            self._control_set.remove(endpoint)
            if entry.state == EndpointState.REMOVED:  # attempts in flight still refer to the record
                del self.endpoints[endpoint.endpoint_id]
            return
        if entry.started_ms > 0 and (restarted or not endpoint.ready):
            # A start time in the future means that the local wall clock is behind.
            started_ms = min(context.now_ms, max(entry.started_ms, endpoint.slow_start_from_ms))
            self._slow_start.begin(endpoint, started_ms)
            self._outliers.restarted(endpoint)
        if not endpoint.ready and self.hints.allows(endpoint):
            self._control_set.add(endpoint)
