"""The results of a run in bounded memory: counts, histograms, and curves whose steps double when there are too many.

The results of several workers are merged to what one would have counted.  Times are seconds since the run began.
"""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from .plan import Planned
from .wire import NOT_SENT, Outcome

MAX_VALUE_US = 3_600_000_000  # an hour
HISTOGRAM_DIGITS = 3  # significant digits
MAX_CURVE_STEPS = 240
MAX_CLIENTS = 100_000  # clients that are counted one by one; the others are counted as one
MAX_LATENESS_P99_S = 0.005  # the sender fell behind where either is exceeded
MAX_LATENESS_S = 0.1
CLIENT_GROUPS = 10  # deciles
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
OTHERS = -1  # the key of the clients beyond MAX_CLIENTS


def histogram() -> HdrHistogram:
    """Return an empty histogram of 1 to MAX_VALUE_US."""
    return HdrHistogram(1, MAX_VALUE_US, HISTOGRAM_DIGITS)


def _merge_encoded(target: HdrHistogram, encoded: str) -> None:
    target.add(HdrHistogram.decode(encoded))


def _record(target: HdrHistogram, value: float) -> None:
    """Record a value, rounded down to an integer and limited to the histogram's range."""
    target.record_value(max(1, min(MAX_VALUE_US, int(value))))


class Curve:
    """Latency over time: a histogram for each step of `step_s` seconds, doubled beyond MAX_CURVE_STEPS steps."""

    def __init__(self, step_s: int = 1) -> None:
        self.step_s = step_s
        self.steps: dict[int, HdrHistogram] = {}

    def add(self, at_s: float, value_us: int) -> None:
        """Record a latency in microseconds."""
        step = int(at_s) // self.step_s
        while step not in self.steps and len(self.steps) >= MAX_CURVE_STEPS:
            self._double()
            step = int(at_s) // self.step_s
        found = self.steps.get(step)
        if found is None:
            found = self.steps[step] = histogram()
        found.record_value(value_us)

    def _double(self) -> None:
        old = self.steps
        self.steps = {}
        self.step_s *= 2
        for step, found in old.items():
            self._merge_step(step // 2, found)

    def _merge_step(self, step: int, found: HdrHistogram) -> None:
        if step in self.steps:
            self.steps[step].add(found)
        else:
            self.steps[step] = found

    def dump(self) -> dict[str, Any]:
        """Return the curve as plain data, for `merge` in another process."""
        steps = {str(step): found.encode().decode() for step, found in self.steps.items()}
        return {"step_s": self.step_s, "steps": steps}

    def merge(self, data: dict[str, Any]) -> None:
        """Add a curve that was returned by `dump`."""
        other = Curve(data["step_s"])
        other.steps = {int(step): HdrHistogram.decode(encoded) for step, encoded in data["steps"].items()}
        while other.step_s < self.step_s:
            other._double()
        while self.step_s < other.step_s:
            self._double()
        for step, found in other.steps.items():
            self._merge_step(step, found)
        while len(self.steps) > MAX_CURVE_STEPS:
            self._double()


class Recorder:
    """Counts one player's run."""

    def __init__(self, classes: int) -> None:
        self.outcomes = [Counter[int]() for _ in range(classes)]
        self.in_aim = [0] * classes  # served within the latency objective
        self.latency = [histogram() for _ in range(classes)]
        self.lateness = histogram()
        self.connecting = histogram()  # how long a request waited for its connection to be established
        self.held_ms = histogram()  # how long a request waited for earlier ones of its client, in milliseconds
        self.max_lateness_s = 0.0
        self.curve = Curve()
        self.planned_at = Counter[int]()  # by second
        self.sent_at = Counter[int]()  # by second
        self.clients: dict[int, list[int]] = {}  # by client: requests, served, refused, others
        self.bytes_out = 0

    def planned(self, planned: Planned) -> None:
        """Count a request whose time has come."""
        self.planned_at[int(planned.at)] += 1

    def sent(self, planned: Planned, at: float, due: float, size_bytes: int, connecting_s: float = 0.0) -> None:
        """Count a request that was written at `at`.

        :param due: when it should have been, by the plan and by its client's own pace.
        :param connecting_s: until its connection was established; depends on the target, so not part of the lateness.
        """
        lateness_s = max(0.0, at - due - connecting_s)
        _record(self.connecting, connecting_s * 1e6)
        self.max_lateness_s = max(self.max_lateness_s, lateness_s)
        _record(self.lateness, lateness_s * 1e6)
        if due > planned.at:
            _record(self.held_ms, (due - planned.at) * 1e3)
        self.sent_at[int(at)] += 1
        self.bytes_out += size_bytes

    def ended(
        self, planned: Planned, outcome: Outcome, at: float, response_time_s: float, latency_objective_s: float
    ) -> None:
        """Count an outcome; `response_time_s` is below 0 where the request was not sent."""
        cls = planned.cls
        self.outcomes[cls][outcome] += 1
        row = self.clients.get(planned.client)
        if row is None:
            client = planned.client if len(self.clients) < MAX_CLIENTS else OTHERS
            row = self.clients.setdefault(client, [0, 0, 0, 0])
        row[0] += 1
        row[_column_of(outcome)] += 1
        if response_time_s >= 0 and outcome not in NOT_SENT:
            latency_us = max(1, min(MAX_VALUE_US, int(response_time_s * 1e6)))
            self.latency[cls].record_value(latency_us)
            self.curve.add(at, latency_us)
            self.in_aim[cls] += outcome is Outcome.SERVED and response_time_s <= latency_objective_s

    def dump(self) -> dict[str, Any]:
        """Return all counts as plain data, for `merge` in another process."""
        return {
            "outcomes": [{str(int(k)): v for k, v in c.items()} for c in self.outcomes],
            "in_aim": self.in_aim,
            "latency": [h.encode().decode() for h in self.latency],
            "lateness": self.lateness.encode().decode(),
            "connecting": self.connecting.encode().decode(),
            "held": self.held_ms.encode().decode(),
            "most_late_s": self.max_lateness_s,
            "curve": self.curve.dump(),
            "planned_at": {str(k): v for k, v in self.planned_at.items()},
            "sent_at": {str(k): v for k, v in self.sent_at.items()},
            "clients": {str(k): v for k, v in self.clients.items()},
            "bytes_out": self.bytes_out,
        }

    def merge(self, data: dict[str, Any]) -> None:
        """Add the counts that another recorder's `dump` returned."""
        for cls, counts in enumerate(data["outcomes"]):
            self.outcomes[cls].update({int(k): v for k, v in counts.items()})
            self.in_aim[cls] += data["in_aim"][cls]
            _merge_encoded(self.latency[cls], data["latency"][cls])
        _merge_encoded(self.lateness, data["lateness"])
        _merge_encoded(self.connecting, data["connecting"])
        _merge_encoded(self.held_ms, data["held"])
        self.max_lateness_s = max(self.max_lateness_s, data["most_late_s"])
        self.curve.merge(data["curve"])
        self.planned_at.update({int(k): v for k, v in data["planned_at"].items()})
        self.sent_at.update({int(k): v for k, v in data["sent_at"].items()})
        for client, row in data["clients"].items():
            merged = self.clients.setdefault(int(client), [0, 0, 0, 0])
            for column, count in enumerate(row):
                merged[column] += count
        self.bytes_out += data["bytes_out"]

    # -- values of the report

    @property
    def requests(self) -> int:
        """How many requests have an outcome."""
        return sum(sum(c.values()) for c in self.outcomes)

    @property
    def sends(self) -> int:
        """How many requests were written."""
        return sum(self.sent_at.values())

    def fell_behind(self) -> str:
        """Return why the run was not as planned, "" where the sender kept up."""
        p99 = self.lateness.get_value_at_percentile(99.0) / 1e6 if self.sends else 0.0
        if p99 > MAX_LATENESS_P99_S or self.max_lateness_s > MAX_LATENESS_S:
            return (
                f"the sender fell behind: 99% of the requests went at most {p99 * 1000:.1f} ms late, the latest "
                f"{self.max_lateness_s * 1000:.0f} ms "
                f"(limits {MAX_LATENESS_P99_S * 1000:g} and {MAX_LATENESS_S * 1000:g} ms)"
            )
        return ""

    def deciles(self) -> list[dict[str, Any]]:
        """Return the outcomes of ten groups of clients of equal number, the busiest first."""
        # Clients with the same number of requests are sorted by hash, so that a group doesn't collect one outcome.
        by_size = sorted(self.clients.items(), key=lambda item: (-item[1][0], item[0]))
        rows = [row for client, row in by_size if client != OTHERS]
        groups = []
        for number in range(CLIENT_GROUPS):
            group = rows[len(rows) * number // CLIENT_GROUPS : len(rows) * (number + 1) // CLIENT_GROUPS]
            sums = [sum(row[column] for row in group) for column in range(4)]
            groups.append(
                {"clients": len(group), "requests": sums[0], "served": sums[1], "refused": sums[2], "others": sums[3]}
            )
        return groups


def _column_of(outcome: Outcome) -> int:
    """Return where an outcome is counted in a client's row."""
    if outcome is Outcome.SERVED:
        return 1
    return 2 if outcome is Outcome.REFUSED else 3


def percentiles(found: HdrHistogram, unit: float = 1e3) -> dict[str, float]:
    """Return percentiles in milliseconds, none for an empty histogram.

    :param unit: how many of the histogram's units are a millisecond.
    """
    if not found.total_count:
        return {}
    values = {f"p{p:g}": found.get_value_at_percentile(p) / unit for p in PERCENTILES}
    return {**values, "max": found.get_max_value() / unit}


def summary(recorder: Recorder, names: list[str]) -> dict[str, Any]:
    """Return the results in the form of the JSON report; `names` has the class names by index."""
    return {
        "requests": recorder.requests,
        "sent": recorder.sends,
        "fell_behind": recorder.fell_behind(),
        "outcomes": {o.name.lower(): sum(c[o] for c in recorder.outcomes) for o in Outcome},
        "classes": {
            name: {
                "requests": sum(recorder.outcomes[i].values()),
                "in_aim": recorder.in_aim[i],
                **{o.name.lower(): recorder.outcomes[i][o] for o in Outcome if recorder.outcomes[i][o]},
                "latency_ms": percentiles(recorder.latency[i]),
            }
            for i, name in enumerate(names)
        },
        "lateness_ms": percentiles(recorder.lateness),
        "connecting_ms": percentiles(recorder.connecting),
        "held_by_own_client_ms": percentiles(recorder.held_ms, 1.0),
        "clients": len(recorder.clients),
        "client_deciles": recorder.deciles(),
        "planned_by_second": _by_second(recorder.planned_at),
        "sent_by_second": _by_second(recorder.sent_at),
        "latency_over_time_ms": {
            "step_s": recorder.curve.step_s,
            "steps": {
                str(k * recorder.curve.step_s): percentiles(v) for k, v in sorted(recorder.curve.steps.items())
            },
        },
        "bytes_sent": recorder.bytes_out,
    }


def _by_second(counts: Counter[int]) -> list[int]:
    return [counts[second] for second in range(max(counts, default=-1) + 1)]


def to_json(data: dict[str, Any]) -> str:
    """Return a report as indented JSON."""
    return json.dumps(data, indent=2, ensure_ascii=False)
