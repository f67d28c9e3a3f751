"""The invariants of the soak test, judged from its records alone.

Each rule allows for what the test itself measured late (`LoopMeter`), and for nothing else that it did not order.
"""

from __future__ import annotations

from collections import Counter
from math import inf
from typing import NamedTuple

from .records import Arrival, Effect, LoopMeter, ProcessRecord, Records, RequestRecord

LATE_S = 0.5  # an answer so long after its time is lost
GONE_S = 0.1  # an attempt that begins so long after its client left is one too many
DEADLINE_SLACK_S = 0.15  # what an endpoint is told beyond what its client has left
SOCKET_SLACK_S = 0.05  # the protocol's, on each limit
READY_S = 10.0
KILL_SLACK_S = 0.1  # around a SIGKILL
WAY_S = 0.02  # from the sidecar's send to the endpoint's record, on loopback


class Violation(NamedTuple):
    """One broken rule."""

    rule: str
    what: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.what}"


class Judge:
    """Reads the records of a run that is over.  `grace_s`: the settings' grace of a drain."""

    def __init__(self, records: Records, meter: LoopMeter, grace_s: float) -> None:
        self._records, self._meter, self._grace_s = records, meter, grace_s
        self._found: list[Violation] = []

    def verdict(self) -> list[Violation]:
        """All violations, in the order of the rules."""
        for record in self._records.requests.values():
            self._answered(record)
            self._effects(record)
            for arrival in self._records.arrivals.get(record.request_id, []):
                self._attempt(record, arrival)
        self._drains()
        for process in self._records.processes:
            self._process(process)
        for span in self._records.stalled:
            if not self._stopped(span.sidecar, span.since_s, span.until_s):
                self._say("stalled", f"{span.sidecar} kept half a request for {span.until_s - span.since_s:.1f} s")
        return self._found

    def figures(self) -> dict[str, object]:
        """What happened, for whoever reads the verdict."""
        requests = self._records.requests.values()
        return {
            "requests": len(requests),
            "statuses": dict(Counter(r.status for r in requests if r.status)),
            "left": sum(r.closed_s < inf for r in requests),
            "excused": sum(bool(r.excused) for r in requests),
            "arrivals": sum(map(len, self._records.arrivals.values())),
            "lives": len(self._records.processes),
            "faults": dict(Counter(line.split()[1] for line in self._records.schedule)),
        }

    def _say(self, rule: str, what: str) -> None:
        self._found.append(Violation(rule, what))

    def _stopped(self, sidecar: str, since_s: float, until_s: float) -> float:
        return sum(span.meets(sidecar, since_s, until_s) for span in self._records.stops)

    def _killed(self, record: RequestRecord) -> bool:
        """Whether the schedule killed the process while the request was still owed its answer.

        A process that is stopped can answer nothing, so that time does not count; nor does a SIGKILL that came since
        the process outlived its planned end.
        """
        for process in self._records.processes:
            if process.sidecar == record.sidecar and process.killed and not process.outlived:
                after_s = process.ended_s - record.sent_s
                owed_s = record.deadline_s + LATE_S + self._stopped(record.sidecar, record.sent_s, process.ended_s)
                if -KILL_SLACK_S <= after_s <= owed_s + KILL_SLACK_S:
                    return True
        return False

    def _answered(self, record: RequestRecord) -> None:
        if record.closed_s < inf or record.sent_s == inf or record.excused:
            return
        due_s = record.sent_s + record.deadline_s
        if self._killed(record):
            return
        if record.lost:
            self._say("lost", f"{record.request_id} {record.effect.name}: {record.lost}")
            return
        late_s = record.answered_s - due_s - LATE_S - self._meter.allowance(record.sent_s, record.answered_s)
        if late_s > self._stopped(record.sidecar, record.sent_s, record.answered_s):
            self._say("late", f"{record.request_id} was answered {late_s:.3f} s too late")
        if not record.right:
            self._say("wrong", f"{record.request_id} got another answer than its own")

    def _effects(self, record: RequestRecord) -> None:
        ran = self._records.ran.get(record.request_id, 0)
        if record.effect is Effect.UNSAFE and ran > 1:
            self._say("duplicate", f"{record.request_id} ran {ran} times")
        if record.effect is Effect.UNSAFE and ran and record.status in (429, 503):
            self._say("refused", f"{record.request_id} was refused though it ran")

    def _attempt(self, record: RequestRecord, arrival: Arrival) -> None:
        at_s = arrival.at_s - WAY_S - self._meter.allowance(arrival.at_s - 0.3, arrival.at_s)
        if at_s - record.closed_s > GONE_S:
            self._say(
                "after its client left",
                f"{record.request_id} began at {arrival.endpoint} "
                f"{arrival.at_s - record.closed_s:.3f} s after the close",
            )
        left_s = max(0.0, record.sent_s + record.deadline_s - at_s)
        if arrival.told_s > left_s + DEADLINE_SLACK_S:
            self._say(
                "deadline",
                f"{record.request_id} told {arrival.endpoint} {arrival.told_s:.3f} s with {left_s:.3f} s left",
            )

    def _drains(self) -> None:
        """Nothing new past the grace.  A request counts from its first byte, which is sent with its last here."""
        until = {
            (change.sidecar, change.endpoint): change.told_s + self._grace_s + SOCKET_SLACK_S
            for change in reversed(self._records.changes)
        }
        for arrivals in self._records.arrivals.values():
            for arrival in arrivals:
                sidecar = arrival.request_id.partition(".")[0]
                limit_s = until.get((sidecar, arrival.endpoint), inf)
                late_s = arrival.at_s - WAY_S - self._meter.allowance(arrival.at_s - 0.3, arrival.at_s) - limit_s
                if late_s > 0:
                    where = f"{arrival.request_id} came to {arrival.endpoint}"
                    self._say("drain", f"{where} {late_s:.3f} s past its grace")

    def _process(self, process: ProcessRecord) -> None:
        name = process.sidecar
        if process.ready_s - process.started_s > READY_S and process.exit_code is None:
            self._say("start", f"{name} was not ready within {READY_S:g} s")
        if process.ready_s == inf and process.exit_code is not None:
            self._say("start", f"{name} ended with {process.exit_code} at its start")
        elif process.exit_code not in (None, 0):
            self._say("crash", f"{name} ended with {process.exit_code}")
        elif process.ended_s < inf and not process.killed and process.terminated_s == inf:
            self._say("crash", f"{name} ended by itself")
        if process.outlived and not self._stopped(name, process.terminated_s, process.ended_s):
            self._say("end", f"{name} was still there when SIGKILL comes")
