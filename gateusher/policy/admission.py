"""Admission control: what share of the requests is admitted in overload, best priority first.

Owns the admitted share, the rates at which attempts are rejected and time out, and the mix of classes.
"""

from __future__ import annotations

from .context import DecisionContext
from .control_set import ControlSet
from .interface import Outcome, SettingsChanged
from .load_estimates import LoadEstimates
from .records import EndpointRecord

MIN_ADMITTED_SHARE = 0.1  # never 0, so that the end of an overload is noticed
MAX_ADMITTED_SHARE = 1.5  # above 1, so that a short overload admits all
ADMISSION_STEP = 0.16
MIN_STEP_SHARE = 0.25  # a step is scaled by the admitted share, down to this
SHARE_DOUBLING_TIME_UNITS = 200.0  # in this time, in time units, requests alone double the admitted share
REJECTED_SHARE = 0.4  # part of the attempts that may be rejected while all requests are admitted ...
REJECTED_SHARE_RISE = 0.5  # ... and how much more as the admitted share goes to 0
TIMEOUT_WEIGHT = 2.0  # one timeout counts like this many rejections
OUTCOME_RATE_STEP = 0.05
CLASS_MIX_STEP = 0.02
MAX_TIMEOUT_RATE = 1 / 3  # part of the attempts beyond which all endpoints are taken for late
SAMPLE_ENDPOINTS = 8  # with more than half of this many endpoints late, all count as late
ANSWERED_OR_TIMED_OUT = (Outcome.OK, Outcome.REJECTED, Outcome.TIMEOUT)


class AdmissionControl:
    """Admits a share of the requests that follows the outcomes of attempts."""

    def __init__(self, context: DecisionContext, control_set: ControlSet, estimates: LoadEstimates) -> None:
        self._context = context
        self._control_set = control_set
        self._estimates = estimates
        classes = len(context.settings.classes)
        self.class_mix = [1.0 / classes] * classes  # part of the requests that is of each class
        self.admitted_share = MAX_ADMITTED_SHARE
        self.share_updated_at_ms = 0.0
        self.rejection_rate = 0.0  # part of the attempts that endpoints reject
        self.timeout_rate = 0.0  # part of the attempts that time out

    def change_classes(self, change: SettingsChanged) -> None:
        """A replaced class takes over its predecessor's part of the mix; classes that are not live have none."""
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
        """Count a request into the class mix, and let time raise the admitted share: few admitted, few outcomes."""
        now_ms = self._context.now_ms
        reopen_ms = SHARE_DOUBLING_TIME_UNITS * self._context.time_unit_ms
        growth = 1.0 + min(1.0, (now_ms - self.share_updated_at_ms) / reopen_ms)
        self.admitted_share = min(MAX_ADMITTED_SHARE, self.admitted_share * growth)
        self.share_updated_at_ms = now_ms
        self.class_mix = [
            part + ((index == class_index) - part) * CLASS_MIX_STEP for index, part in enumerate(self.class_mix)
        ]

    def admits(self, class_index: int) -> bool:
        """Whether to admit a request: classes with the most priority weight for their service time go first."""
        if self.admitted_share >= 1.0:
            return True
        context, mix = self._context, self.class_mix
        service_time_ms = self._estimates.service_time_ms
        value = [
            settings.priority_weight / max(1.0, service_time_ms[index])
            for index, settings in enumerate(context.settings.classes)
        ]
        own_value = value[class_index]
        better = sum([part for index, part in enumerate(mix) if value[index] > own_value])
        return better + context.random() * mix[class_index] < self.admitted_share

    def on_response(self, in_time: bool) -> None:
        """An endpoint responded: within the objective (`in_time`), late, or with a rejection.

        The share rests where `allowed` is the part of the attempts that fail.  It grows as the share falls: with one
        part at any share the clients of a fleet would drift apart, some rejecting the best priority and some
        admitting the least.  Requests that this client rejected itself don't count, nor do attempts on endpoints
        that are down.  Limitation: assumes that a rejection costs an endpoint much less than serving.
        """
        allowed = REJECTED_SHARE
        if self.admitted_share < 1.0:
            allowed += REJECTED_SHARE_RISE * (1.0 - self.admitted_share)
        self._move(allowed if in_time else allowed - 1.0)

    def timed_out(self) -> None:
        """An attempt timed out.

        Where queues are long nothing is rejected and time runs out everywhere, and what was given up still fills the
        queues.  Limitation: admits too little where much of a fleet falls silent at once while others have capacity.
        """
        self._move(-TIMEOUT_WEIGHT)

    def count_outcome(self, endpoint: EndpointRecord, outcome: Outcome) -> None:
        """Count an ended attempt into the rejection rate, and into the timeout rate where the endpoint decided."""
        self.rejection_rate += ((outcome is Outcome.REJECTED) - self.rejection_rate) * OUTCOME_RATE_STEP
        if outcome in ANSWERED_OR_TIMED_OUT:
            timed_out = outcome is Outcome.TIMEOUT
            self.timeout_rate += (timed_out - self.timeout_rate) * OUTCOME_RATE_STEP
            endpoint.last_timed_out = timed_out

    def fleet_lateness(self) -> float:
        """How far attempts time out on all endpoints, 0 to 1.

        The timeout rate alone could come from one endpoint that hangs, so several must be late as well.
        """
        if self.timeout_rate <= MAX_TIMEOUT_RATE:
            return 0.0
        ready = self._control_set.ready
        if sum(endpoint.last_timed_out for endpoint in ready) * 2 <= min(SAMPLE_ENDPOINTS, len(ready)):
            return 0.0
        return (self.timeout_rate - MAX_TIMEOUT_RATE) / (1.0 - MAX_TIMEOUT_RATE)

    def _move(self, direction: float) -> None:
        step = ADMISSION_STEP * direction
        moved = self.admitted_share + step * max(MIN_STEP_SHARE, self.admitted_share)
        self.admitted_share = min(MAX_ADMITTED_SHARE, max(MIN_ADMITTED_SHARE, moved))
