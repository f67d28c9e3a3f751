"""What a run was like, in fixed memory: counts, histograms, and curves whose steps double when there are too many.

Results of several workers add up to what one would have counted.
"""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from .plan import Planned
from .wire import NOT_SENT, Outcome

MOST_US = 3_600_000_000  # an hour
DIGITS = 3  # significant figures of a histogram
MOST_STEPS = 240  # of the curve of latency
MOST_CLIENTS = 100_000  # counted apart; those beyond are counted as one
LATE_P99_S, LATE_S = 0.005, 0.1  # beyond these the sender fell behind
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
OTHERS = -1


def histogram() -> HdrHistogram:
    return HdrHistogram(1, MOST_US, DIGITS)


def _add(into: HdrHistogram, encoded: str) -> None:
    into.add(HdrHistogram.decode(encoded))


class Curve:
    """Latency over time, a histogram a step.  Steps begin at one second and double where there are too many."""

    def __init__(self, step_s: int = 1) -> None:
        self.step_s = step_s
        self.steps: dict[int, HdrHistogram] = {}

    def add(self, at_s: float, value_us: int) -> None:
        step = int(at_s) // self.step_s
        found = self.steps.get(step)
        if found is None:
            if len(self.steps) >= MOST_STEPS:
                self._double()
                return self.add(at_s, value_us)
            found = self.steps[step] = histogram()
        found.record_value(value_us)
        return None

    def _double(self) -> None:
        old, self.steps = self.steps, {}
        self.step_s *= 2
        for step, found in old.items():
            into = self.steps.get(step // 2)
            if into is None:
                self.steps[step // 2] = found
            else:
                into.add(found)

    def dump(self) -> dict[str, Any]:
        return {"step_s": self.step_s, "steps": {str(k): v.encode().decode() for k, v in self.steps.items()}}

    def merge(self, data: dict[str, Any]) -> None:
        other = Curve(data["step_s"])
        other.steps = {int(k): HdrHistogram.decode(v) for k, v in data["steps"].items()}
        while other.step_s < self.step_s:
            other._double()
        while self.step_s < other.step_s:
            self._double()
        for step, found in other.steps.items():
            if step in self.steps:
                self.steps[step].add(found)
            else:
                self.steps[step] = found
        while len(self.steps) > MOST_STEPS:
            self._double()


class Recorder:
    """Counts one player's run.  Times are seconds from the start of the run."""

    def __init__(self, classes: int) -> None:
        self.outcomes = [Counter[int]() for _ in range(classes)]
        self.in_aim = [0] * classes
        self.latency = [histogram() for _ in range(classes)]
        self.lateness = histogram()
        self.connecting = histogram()  # from the dial, where there is one, to the first byte
        self.held_ms = histogram()  # how long a request waited for its own client
        self.most_late_s = 0.0
        self.curve = Curve()
        self.planned_at = Counter[int]()  # by second
        self.sent_at = Counter[int]()
        self.clients: dict[int, list[int]] = {}  # requests, served, refused, others
        self.bytes_out = 0

    def planned(self, planned: Planned) -> None:
        self.planned_at[int(planned.at)] += 1

    def sent(self, planned: Planned, at: float, due: float, size: int, waited: float = 0.0) -> None:
        """It has been written.  `due` is when it should have been, by the plan and by its client's own pace.

        What it `waited` for its connection to come up is the target's doing, and counted apart.
        """
        late = max(0.0, at - due - waited)
        self.connecting.record_value(max(1, min(MOST_US, int(waited * 1e6))))
        self.most_late_s = max(self.most_late_s, late)
        self.lateness.record_value(max(1, min(MOST_US, int(late * 1e6))))
        if due > planned.at:
            self.held_ms.record_value(max(1, min(MOST_US, int((due - planned.at) * 1e3))))
        self.sent_at[int(at)] += 1
        self.bytes_out += size

    def ended(self, planned: Planned, outcome: Outcome, at: float, took: float, aim: float) -> None:
        """It is over, `took` seconds after it was written; below 0 where it was not sent."""
        cls = planned.cls
        self.outcomes[cls][outcome] += 1
        row = self.clients.get(planned.client)
        if row is None:
            who = planned.client if len(self.clients) < MOST_CLIENTS else OTHERS
            row = self.clients.setdefault(who, [0, 0, 0, 0])
        row[0] += 1
        row[1 if outcome is Outcome.SERVED else 2 if outcome is Outcome.REFUSED else 3] += 1
        if took >= 0 and outcome not in NOT_SENT:
            value = max(1, min(MOST_US, int(took * 1e6)))
            self.latency[cls].record_value(value)
            self.curve.add(at, value)
            self.in_aim[cls] += outcome is Outcome.SERVED and took <= aim

    def dump(self) -> dict[str, Any]:
        """All of it, for another process."""
        return {
            "outcomes": [{str(int(k)): v for k, v in c.items()} for c in self.outcomes],
            "in_aim": self.in_aim,
            "latency": [h.encode().decode() for h in self.latency],
            "lateness": self.lateness.encode().decode(),
            "connecting": self.connecting.encode().decode(),
            "held": self.held_ms.encode().decode(),
            "most_late_s": self.most_late_s,
            "curve": self.curve.dump(),
            "planned_at": {str(k): v for k, v in self.planned_at.items()},
            "sent_at": {str(k): v for k, v in self.sent_at.items()},
            "clients": {str(k): v for k, v in self.clients.items()},
            "bytes_out": self.bytes_out,
        }

    def merge(self, data: dict[str, Any]) -> None:
        """Add what another has counted."""
        for cls, counts in enumerate(data["outcomes"]):
            self.outcomes[cls].update({int(k): v for k, v in counts.items()})
            self.in_aim[cls] += data["in_aim"][cls]
            _add(self.latency[cls], data["latency"][cls])
        _add(self.lateness, data["lateness"])
        _add(self.connecting, data["connecting"])
        _add(self.held_ms, data["held"])
        self.most_late_s = max(self.most_late_s, data["most_late_s"])
        self.curve.merge(data["curve"])
        self.planned_at.update({int(k): v for k, v in data["planned_at"].items()})
        self.sent_at.update({int(k): v for k, v in data["sent_at"].items()})
        for who, row in data["clients"].items():
            mine = self.clients.setdefault(int(who), [0, 0, 0, 0])
            for i, count in enumerate(row):
                mine[i] += count
        self.bytes_out += data["bytes_out"]

    # -- what the report says

    @property
    def requests(self) -> int:
        return sum(sum(c.values()) for c in self.outcomes)

    @property
    def sends(self) -> int:
        return sum(self.sent_at.values())

    def fell_behind(self) -> str:
        """Why the run does not show what the plan asked for, "" where the sender kept up."""
        p99 = self.lateness.get_value_at_percentile(99.0) / 1e6 if self.sends else 0.0
        if p99 > LATE_P99_S or self.most_late_s > LATE_S:
            return (
                f"the sender fell behind: 99% of the requests went at most {p99 * 1000:.1f} ms late, the latest "
                f"{self.most_late_s * 1000:.0f} ms (limits {LATE_P99_S * 1000:g} and {LATE_S * 1000:g} ms)"
            )
        return ""

    def deciles(self) -> list[dict[str, Any]]:
        """Clients in ten groups of equal number, the busiest first, and what became of their requests."""
        # Clients of one size in the order of their hashes: by outcome, luck would look like a tenth of its own.
        rows = [row for who, row in sorted(self.clients.items(), key=lambda c: (-c[1][0], c[0])) if who != OTHERS]
        out = []
        for i in range(10):
            part = rows[len(rows) * i // 10 : len(rows) * (i + 1) // 10]
            sums = [sum(row[j] for row in part) for j in range(4)]
            out.append(
                {"clients": len(part), "requests": sums[0], "served": sums[1], "refused": sums[2], "others": sums[3]}
            )
        return out


def percentiles(found: HdrHistogram, unit: float = 1e3) -> dict[str, float]:
    """Percentiles in milliseconds, empty where nothing was counted."""
    if not found.total_count:
        return {}
    values = {f"p{p:g}": found.get_value_at_percentile(p) / unit for p in PERCENTILES}
    return {**values, "max": found.get_max_value() / unit}


def summary(recorder: Recorder, names: list[str]) -> dict[str, Any]:
    """The run as the JSON report has it; latency in ms, by class, all sends that had an end."""
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
    return [counts[i] for i in range(max(counts, default=-1) + 1)]


def to_json(data: dict[str, Any]) -> str:
    return json.dumps(data, indent=2, ensure_ascii=False)
