"""Load estimates: how long a request of a class is expected to take on an endpoint.

Owns the service time and the latency target of each class, the slowness of each kind of endpoint, the fleet's mean
load and this client's request rate.  The slowness of a kind is its service time relative to the mean of the class;
the slowness of an endpoint is its service time relative to the mean of its kind.
"""

from __future__ import annotations

from .context import DecisionContext
from .interface import SettingsChanged
from .records import EndpointRecord

LOAD_REPORT_FIELDS = ("waiting", "active")  # the first report field with one of these names is the load
INITIAL_TARGET_DIVISOR = 4  # without samples a latency is estimated as the objective divided by this
REQUEST_RATE_WINDOW_MS = 10000.0
SLOWNESS_FADE_MS = 10000.0  # an endpoint's slowness has half its weight after this time
REPORT_FADE_SERVICE_TIMES = 4.0  # a reported load has half its weight after this many service times
CROSS_ZONE_FACTOR = 20.0  # latency factor per unit of the cross-zone price
NEW_CONNECTION_FACTOR = 1.3  # latency factor of a new connection, which also costs the endpoint work
HANDSHAKE_FACTOR = 8.0  # latency factor per unit of the handshake price
MIN_MEAN_STEP = 0.03  # minimum step of the running means by class
MEAN_LOAD_STEP = 0.05
KIND_SLOWNESS_STEP = 0.03
SLOWNESS_STEP = 0.15
MIN_SLOWNESS = 0.2
MAX_SLOWNESS = 20.0
MAX_SAMPLE_RATIO = 10.0  # a sample is capped at this multiple of the mean
REJECTED_LOAD_MARGIN = 2.0  # a rejecting endpoint's load is assumed to be this much above the mean
SLOWNESS_PER_ERROR = 1.0


class LoadEstimates:
    """Keeps running estimates of service times, slowness and load."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        settings = context.settings
        classes = settings.classes
        self.latency_target_ms = [
            c.latency_objective_ms / INITIAL_TARGET_DIVISOR for c in classes
        ]  # by class: mean latency
        self.service_time_ms = [
            c.latency_objective_ms / INITIAL_TARGET_DIVISOR for c in classes
        ]  # by class: mean latency at no load
        self.kind_slowness = [
            [1.0] * len(classes) for _ in range(settings.kinds + 1)
        ]  # by kind and class: service time relative to the class's mean
        self.samples = [0] * len(classes)
        self.mean_load = 0.0
        self.request_rate_per_ms = 0.0
        self.rate_updated_at_ms = 0.0
        self._mean_capacity_share = 1.0
        self._load_field = next(
            (i for i, name in enumerate(settings.report_fields) if name in LOAD_REPORT_FIELDS), -1
        )

    def change_classes(self, change: SettingsChanged) -> None:
        """Move the estimates of a replaced class to its new index; initialize those of a class with none."""
        classes = change.settings.classes
        for column in (self.latency_target_ms, self.service_time_ms, *self.kind_slowness):
            column.extend([1.0] * (len(classes) - len(column)))
        self.samples += [0] * (len(classes) - len(self.samples))
        for index, predecessor in change.replaced_classes:
            start_ms = classes[index].latency_objective_ms / INITIAL_TARGET_DIVISOR
            if predecessor is not None and self.samples[predecessor] > 0:
                self.latency_target_ms[index] = self.latency_target_ms[predecessor]
                self.service_time_ms[index] = self.service_time_ms[predecessor]
            else:
                self.latency_target_ms[index] = start_ms
                self.service_time_ms[index] = start_ms
            self.samples[index] = 0 if predecessor is None else self.samples[predecessor]
            for slowness in self.kind_slowness:
                slowness[index] = 1.0 if predecessor is None else slowness[predecessor]

    def set_capacity(self, ready: list[EndpointRecord]) -> None:
        """Update the mean capacity share of the ready endpoints."""
        total = sum(endpoint.entry.capacity_share for endpoint in ready)
        self._mean_capacity_share = total / len(ready) if ready else 1.0

    def count_request(self) -> None:
        """Count one admitted request into the request rate."""
        now_ms = self._context.now_ms
        elapsed = min(1.0, (now_ms - self.rate_updated_at_ms) / REQUEST_RATE_WINDOW_MS)
        self.request_rate_per_ms += (1.0 / REQUEST_RATE_WINDOW_MS) - self.request_rate_per_ms * elapsed
        self.rate_updated_at_ms = now_ms

    def expected_latency_ms(self, endpoint: EndpointRecord, class_index: int) -> float:
        """Return (aged reported load + own attempts in flight + 1) times the endpoint's service time."""
        context = self._context
        now_ms, settings = context.now_ms, context.settings
        mean_load, service_time_ms = self.mean_load, self.service_time_ms[class_index]
        report_age_ms = now_ms - endpoint.reported_at_ms
        load = mean_load + (endpoint.reported_load - mean_load) / (
            1.0 + report_age_ms / (REPORT_FADE_SERVICE_TIMES * service_time_ms)
        )
        fade = 1.0 / (1.0 + (now_ms - endpoint.slowness_at_ms) / SLOWNESS_FADE_MS)
        entry = endpoint.entry
        base_ms = (
            service_time_ms * self.kind_slowness[entry.kind][class_index] * (1.0 + (endpoint.slowness - 1.0) * fade)
        )
        if settings.capacity_shares_known and entry.capacity_share > 0:
            base_ms *= self._mean_capacity_share / entry.capacity_share
        if entry.zone != settings.zone:
            base_ms *= 1.0 + CROSS_ZONE_FACTOR * settings.prices.cross_zone
        if now_ms - endpoint.connection_used_at_ms > settings.idle_ms:
            base_ms *= NEW_CONNECTION_FACTOR + HANDSHAKE_FACTOR * settings.prices.handshake
        return (load + endpoint.in_flight + 1.0) * base_ms

    def expected_load(self, endpoint: EndpointRecord, class_index: int) -> float:
        """Return the expected latency in units of the service time of the endpoint's kind."""
        unloaded_ms = self.service_time_ms[class_index] * self.kind_slowness[endpoint.entry.kind][class_index]
        return self.expected_latency_ms(endpoint, class_index) / unloaded_ms

    def served(self, endpoint: EndpointRecord, class_index: int, elapsed_ms: float, expected_load: float) -> None:
        """Learn from an attempt that was served in `elapsed_ms` under `expected_load`."""
        sample_ms = elapsed_ms / expected_load
        self.samples[class_index] += 1
        step = max(MIN_MEAN_STEP, 1.0 / self.samples[class_index])
        self.latency_target_ms[class_index] += (elapsed_ms - self.latency_target_ms[class_index]) * step
        mean_ms = self.service_time_ms[class_index]
        mean_ms = max(1.0, mean_ms + (sample_ms - mean_ms) * step)
        self.service_time_ms[class_index] = mean_ms
        kind_slowness = self.kind_slowness[endpoint.entry.kind]
        ratio = min(MAX_SAMPLE_RATIO, sample_ms / mean_ms)
        kind_slowness[class_index] += (ratio - kind_slowness[class_index]) * KIND_SLOWNESS_STEP
        sample_slowness = min(MAX_SAMPLE_RATIO, ratio / kind_slowness[class_index])
        endpoint.slowness = max(
            MIN_SLOWNESS, endpoint.slowness + (sample_slowness - endpoint.slowness) * SLOWNESS_STEP
        )
        endpoint.slowness_at_ms = self._context.now_ms

    def rejected(self, endpoint: EndpointRecord) -> None:
        """Raise the load estimate of a rejecting endpoint above the mean load."""
        endpoint.reported_load = max(endpoint.reported_load, self.mean_load + REJECTED_LOAD_MARGIN)
        endpoint.reported_at_ms = self._context.now_ms

    def failed(self, endpoint: EndpointRecord) -> None:
        """Count an error as slowness: quick errors look like a light load and would attract more requests."""
        endpoint.slowness = min(MAX_SLOWNESS, endpoint.slowness + SLOWNESS_PER_ERROR)
        endpoint.slowness_at_ms = self._context.now_ms

    def load_report(self, endpoint: EndpointRecord, report: tuple[float, ...]) -> None:
        """Apply an endpoint's load report; ignore it if the settings name no field with the load."""
        if 0 <= self._load_field < len(report):
            endpoint.reported_load = report[self._load_field]
            endpoint.reported_at_ms = self._context.now_ms
            self.mean_load += (endpoint.reported_load - self.mean_load) * MEAN_LOAD_STEP
