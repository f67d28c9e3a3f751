"""The balancer: wires the parts of the policy and hands each event of interface.py to the part that takes it.

Each client keeps an inclusion probability per endpoint (control_set.py), draws a control set, sends to its member
with the least expected latency (load_estimates.py), and learns from whether the latency met a running target.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from .admission import AdmissionControl
from .context import ENDPOINT_LIST_TIMER, HINT_EXPIRY_TIMER, HOLD_TIMER_OFFSET, DecisionContext
from .control_set import ControlSet
from .endpoint_list import EndpointList
from .endpoint_selection import EndpointSelector
from .interface import (
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
    """One client's decisions: the same events give the same actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """`seed` determines all random numbers."""
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
            HealthCheckEnded: self._health_check_ended,
            SettingsChanged: self._settings_changed,
            UploadCompleted: self.requests.upload_completed,
            ProcessResumed: self._process_resumed,
            GossipHint: self.endpoint_list.hint,
        }

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Take one event, return the actions it calls for.  Peer messages call for none."""
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
        """Apply other settings; see `SettingsChanged` for pending requests."""
        self.context.change_settings(change)
        self.estimates.change_classes(change)
        self.admission.change_classes(change)
        self.outliers.forget_classes(self.endpoint_list.endpoints.values(), change)
