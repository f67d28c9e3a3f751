"""Admission control: which share of the requests is admitted during overload, highest priority first.

Owns the admitted share, the rates at which attempts are rejected and time out, and the class mix.
"""

from __future__ import annotations

from .context import DecisionContext
from .control_set import ControlSet
from .interface import Outcome, SettingsChanged
from .load_estimates import LoadEstimates
from .records import LONG_AGO_MS, EndpointRecord

MIN_ADMITTED_SHARE = 0.1  # above 0, so that the end of an overload is noticed
MAX_ADMITTED_SHARE = 1.5  # above 1, so that a short overload rejects nothing
ADMISSION_STEP = 0.16
MIN_STEP_SHARE = 0.25  # a step is scaled by the admitted share, down to this
SHARE_DOUBLING_TIME_UNITS = 200.0  # in this time requests alone double the admitted share
ALLOWED_REJECTION_SHARE = 0.4  # tolerated share of rejected attempts while all requests are admitted
ALLOWED_REJECTION_SHARE_RISE = 0.5  # added to it as the admitted share approaches 0
TIMEOUT_WEIGHT = 2.0  # one timeout counts as this many rejections
OUTCOME_RATE_STEP = 0.05
CLASS_MIX_STEP = 0.02
LATE_FLEET_TIMEOUT_RATE = 1 / 3  # share of attempts above which the whole fleet may be late
TRIAL_INTERVAL_TIME_UNITS = 2.0  # if no new request was admitted for this time, one of any class is
SAMPLE_ENDPOINTS = 8  # the fleet is late if more than half of this many endpoints are
ANSWERED_OR_TIMED_OUT = (Outcome.OK, Outcome.REJECTED, Outcome.TIMEOUT)


class AdmissionControl:
    """Adjusts the admitted share of requests to the outcomes of attempts."""

    def __init__(self, context: DecisionContext, control_set: ControlSet, estimates: LoadEstimates) -> None:
        self._context = context
        self._control_set = control_set
        self._estimates = estimates
        classes = len(context.settings.classes)
        self.class_mix = [1.0 / classes] * classes  # share of the requests, by class
        self.admitted_share = MAX_ADMITTED_SHARE
        self.share_updated_at_ms = 0.0
        self._admitted_at_ms = LONG_AGO_MS  # when a new request was admitted last
        self.rejection_rate = 0.0  # share of the attempts that endpoints reject
        self.timeout_rate = 0.0  # share of the attempts that time out

    def change_classes(self, change: SettingsChanged) -> None:
        """Give a replaced class its predecessor's share of the mix, and classes that are no longer live none."""
        classes, mix = len(change.settings.classes), self.class_mix
        mix.extend([1.0] * (classes - len(mix)))
        for index, predecessor in change.replaced_classes:
            if predecessor is None:
                mix[index] = 1.0 / len(change.live_classes)
            else:
                mix[index] = mix[predecessor]
                mix[predecessor] = 0.0
        for index in range(classes):
            if index not in change.live_classes:
                mix[index] = 0.0

    def count_request(self, class_index: int) -> None:
        """Count a request into the class mix, and raise the admitted share by the time since the last one.

        If few requests are admitted, few outcomes could raise the share.
        """
        now_ms = self._context.now_ms
        doubling_ms = SHARE_DOUBLING_TIME_UNITS * self._context.time_unit_ms
        growth = 1.0 + min(1.0, (now_ms - self.share_updated_at_ms) / doubling_ms)
        self.admitted_share = min(MAX_ADMITTED_SHARE, self.admitted_share * growth)
        self.share_updated_at_ms = now_ms
        self.class_mix = [
            part + ((index == class_index) - part) * CLASS_MIX_STEP for index, part in enumerate(self.class_mix)
        ]

    def admit_new(self, class_index: int) -> bool:
        """Return whether to admit a new request; if none was admitted for a while, this one is, whatever its class.

        The class mix lags behind the requests that arrive.  If the classes with the highest priority stop arriving,
        the admitted share stays reserved for them, and without outcomes the end of an overload goes unnoticed.
        """
        now_ms = self._context.now_ms
        trial_interval_ms = TRIAL_INTERVAL_TIME_UNITS * self._context.time_unit_ms
        if not self.admits(class_index) and now_ms - self._admitted_at_ms < trial_interval_ms:
            return False
        self._admitted_at_ms = now_ms
        return True

    def admits(self, class_index: int) -> bool:
        """Return whether to admit a request.  Classes with the highest priority weight per service time go first."""
        if self.admitted_share >= 1.0:
            return True
        context, mix = self._context, self.class_mix
        service_time_ms = self._estimates.service_time_ms
        value_per_ms = [
            settings.priority_weight / max(1.0, service_time_ms[index])
            for index, settings in enumerate(context.settings.classes)
        ]
        own_value_per_ms = value_per_ms[class_index]
        higher_value_share = sum([part for index, part in enumerate(mix) if value_per_ms[index] > own_value_per_ms])
        return higher_value_share + context.random() * mix[class_index] < self.admitted_share

    def on_response(self, within_objective: bool) -> None:
        """Adjust the admitted share after a response within the latency objective, a late one, or a rejection.

        The admitted share is stable while the failing share of the attempts equals `allowed`, which grows as the
        admitted share falls: with a constant `allowed` the clients of a fleet would diverge, some rejecting the
        highest priority and some admitting the lowest.  Requests that this client rejected itself don't count, nor do
        attempts on endpoints that are down.  Limitation: assumes that a rejection costs an endpoint much less than
        serving.
        """
        allowed = ALLOWED_REJECTION_SHARE
        if self.admitted_share < 1.0:
            allowed += ALLOWED_REJECTION_SHARE_RISE * (1.0 - self.admitted_share)
        self._adjust_share(allowed if within_objective else allowed - 1.0)

    def on_timeout(self) -> None:
        """Lower the admitted share after a timeout.

        Endpoints with long queues reject nothing: attempts time out on all of them, and abandoned attempts still fill
        the queues.  Limitation: admits too little if a large part of a fleet becomes unresponsive at once while the
        other endpoints have spare capacity.
        """
        self._adjust_share(-TIMEOUT_WEIGHT)

    def count_outcome(self, endpoint: EndpointRecord, outcome: Outcome) -> None:
        """Count an ended attempt into the rejection rate and, if it was answered or timed out, the timeout rate."""
        self.rejection_rate += ((outcome is Outcome.REJECTED) - self.rejection_rate) * OUTCOME_RATE_STEP
        if outcome in ANSWERED_OR_TIMED_OUT:
            timed_out = outcome is Outcome.TIMEOUT
            self.timeout_rate += (timed_out - self.timeout_rate) * OUTCOME_RATE_STEP
            endpoint.last_timed_out = timed_out

    def fleet_lateness(self) -> float:
        """Return to what degree attempts time out on the whole fleet, from 0 to 1.

        A single hung endpoint could cause a high timeout rate, so several endpoints must be late as well.
        """
        if self.timeout_rate <= LATE_FLEET_TIMEOUT_RATE:
            return 0.0
        ready = self._control_set.ready
        if sum(endpoint.last_timed_out for endpoint in ready) * 2 <= min(SAMPLE_ENDPOINTS, len(ready)):
            return 0.0
        return (self.timeout_rate - LATE_FLEET_TIMEOUT_RATE) / (1.0 - LATE_FLEET_TIMEOUT_RATE)

    def _adjust_share(self, direction: float) -> None:
        step = ADMISSION_STEP * direction
        new_share = self.admitted_share + step * max(MIN_STEP_SHARE, self.admitted_share)
        self.admitted_share = min(MAX_ADMITTED_SHARE, max(MIN_ADMITTED_SHARE, new_share))
