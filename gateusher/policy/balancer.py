"""The balancer: connects the components of the policy and dispatches each event of interface.py to its handler.

Each client keeps an inclusion probability per endpoint (control_set.py), draws a control set, sends to its member
with the lowest expected latency (load_estimates.py), and learns from whether the latency met a running target.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from .admission import AdmissionControl
from .context import ENDPOINT_LIST_TIMER, HINT_EXPIRY_TIMER, DecisionContext
from .control_set import ControlSet
from .endpoint_list import EndpointList
from .endpoint_selection import EndpointSelector
from .interface import (
    HOLD_TIMER_OFFSET,
    Action,
    AttemptEnded,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    GossipHint,
    HealthCheckEnded,
    Outcome,
    ProcessResumed,
    Request,
    ResponseStalled,
    ResponseStarted,
    Settings,
    SettingsChanged,
    TimerFired,
    UploadCompleted,
)
from .load_estimates import LoadEstimates
from .outlier_detection import OutlierDetector
from .requests import RequestLifecycle
from .slow_start import SlowStart
from .sticky_endpoints import AffinityRing


class Balancer:
    """Makes the decisions of one client.  The same seed and events give the same actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create a balancer whose random numbers are all determined by `seed`."""
        self.random_source = Random(seed)
        context = DecisionContext(settings, self.random_source.random)
        self.context = context
        self.control_set = ControlSet(context)
        self.estimates = LoadEstimates(context)
        self.slow_start = SlowStart(context, self.control_set, self.estimates)
        self.outliers = OutlierDetector(context, self.control_set, self.estimates, self.slow_start)
        self.admission = AdmissionControl(context, self.control_set, self.estimates)
        self.affinity = AffinityRing()
        parts = (context, self.control_set, self.estimates, self.outliers, self.slow_start)
        self.selector = EndpointSelector(*parts, self.affinity)
        self.endpoint_list = EndpointList(*parts, self.affinity)
        self.requests = RequestLifecycle(*parts, self.admission, self.selector, self.endpoint_list)
        self._handlers: dict[type, Callable[[Any], None]] = {
            EndpointListUpdate: self.endpoint_list.update,
            Request: self.requests.start,
            AttemptEnded: self.requests.attempt_ended,
            TimerFired: self._timer_fired,
            ClientDisconnected: self.requests.client_disconnected,
            ResponseStarted: self.requests.response_started,
            ResponseStalled: self.requests.response_stalled,
            HealthCheckEnded: self._health_check_ended,
            SettingsChanged: self._settings_changed,
            UploadCompleted: self.requests.upload_completed,
            ProcessResumed: self._process_resumed,
            GossipHint: self.endpoint_list.apply_hint,
        }

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle one event and return the resulting actions; a peer message has none."""
        actions: list[Action] = []
        self.context.now_ms = now_ms
        self.context.actions = actions
        handler = self._handlers.get(type(event))
        if handler:
            handler(event)
        return actions

    def _timer_fired(self, event: TimerFired) -> None:
        if event.token == ENDPOINT_LIST_TIMER:
            self.endpoint_list.timer_fired()
        elif event.token == HINT_EXPIRY_TIMER:
            self.endpoint_list.hints.expire(self.endpoint_list.endpoints)
        else:
            self.requests.hold_ended(event.token - HOLD_TIMER_OFFSET)

    def _health_check_ended(self, event: HealthCheckEnded) -> None:
        endpoint = self.endpoint_list.endpoints.get(event.endpoint)
        if endpoint is not None and event.outcome is Outcome.OK and event.report:
            self.estimates.load_report(endpoint, event.report)

    def _process_resumed(self, _: ProcessResumed) -> None:
        self.outliers.process_resumed(self.endpoint_list.endpoints.values())

    def _settings_changed(self, change: SettingsChanged) -> None:
        """Apply new settings; `SettingsChanged` says which of them apply to pending requests."""
        self.context.change_settings(change)
        self.requests.settings_changed(change)
        self.estimates.change_classes(change)
        self.admission.change_classes(change)
        self.outliers.forget_classes(self.endpoint_list.endpoints.values(), change)
