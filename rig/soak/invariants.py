"""Invariants of the soak test, checked on the records of a finished run.

A rule's limits are extended only by the lag that the test measured in its own event loop (`LoopLagMeter`) and by the
pauses and kills that the test caused.
"""

from __future__ import annotations

from collections import Counter
from math import inf
from typing import NamedTuple

from .records import Arrival, Effect, LoopLagMeter, ProcessRecord, Records, RequestRecord

RESPONSE_SLACK_S = 0.5  # from a request's deadline to the latest valid response
DISCONNECT_SLACK_S = 0.1  # from a client's disconnect to the latest valid start of an attempt
DEADLINE_SLACK_S = 0.15  # by which an endpoint's deadline may exceed the client's remaining time
SOCKET_SLACK_S = 0.05  # which the platform's protocol grants on each limit
STARTUP_LIMIT_S = 10.0
KILL_SLACK_S = 0.1  # before and after a SIGKILL
DELIVERY_DELAY_S = 0.02  # from the sidecar's write to the endpoint's record, on loopback
LAG_WINDOW_S = 0.3  # before an arrival, in which event loop lag may have delayed its record


class Violation(NamedTuple):
    """One violation of an invariant."""

    rule: str
    description: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.description}"


class InvariantChecker:
    """Checks the records of a finished run.  `grace_s` is the drain grace of the settings."""

    def __init__(self, records: Records, meter: LoopLagMeter, grace_s: float) -> None:
        self._records, self._meter, self._grace_s = records, meter, grace_s
        self._violations: list[Violation] = []

    def check(self) -> list[Violation]:
        """Return all violations: of requests first, then of drains, processes and partial requests."""
        for record in self._records.requests.values():
            self._check_response(record)
            self._check_executions(record)
            for arrival in self._records.arrivals.get(record.request_id, []):
                self._check_attempt(record, arrival)
        self._check_drains()
        for process in self._records.processes:
            self._check_process(process)
        for span in self._records.unanswered_partial_requests:
            if not self._paused_s(span.sidecar, span.since_s, span.until_s):
                held_s = span.until_s - span.since_s
                self._report("stalled", f"{span.sidecar} held a partial request for {held_s:.1f} s")
        return self._violations

    def summary(self) -> dict[str, object]:
        """Return the counts of requests, processes and faults that are printed with the result."""
        requests = self._records.requests.values()
        return {
            "requests": len(requests),
            "statuses": dict(Counter(r.status for r in requests if r.status)),
            "left": sum(r.closed_s < inf for r in requests),
            "excused": sum(bool(r.exemption) for r in requests),
            "arrivals": sum(map(len, self._records.arrivals.values())),
            "lives": len(self._records.processes),
            "lives_diagnosed": sum(bool(process.diagnostics_read) for process in self._records.processes),
            "faults": dict(Counter(line.split()[1] for line in self._records.schedule)),
        }

    def _report(self, rule: str, description: str) -> None:
        self._violations.append(Violation(rule, description))

    def _paused_s(self, sidecar: str, since_s: float, until_s: float) -> float:
        return sum(span.overlap_s(sidecar, since_s, until_s) for span in self._records.pauses)

    def _sent_s(self, arrival: Arrival) -> float:
        """Return the earliest time at which the sidecar can have sent the request of this arrival."""
        return arrival.at_s - DELIVERY_DELAY_S - self._meter.lag_s(arrival.at_s - LAG_WINDOW_S, arrival.at_s)

    def _was_killed(self, record: RequestRecord) -> bool:
        """Return whether the fault schedule killed the process while the response was still due.

        Time in which the process was paused does not count, because it could not respond.  A SIGKILL that follows an
        exceeded shutdown time is not a fault of the schedule.
        """
        for process in self._records.processes:
            if process.sidecar == record.sidecar and process.killed and not process.was_running_at_sigkill:
                elapsed_s = process.ended_s - record.sent_s
                paused_s = self._paused_s(record.sidecar, record.sent_s, process.ended_s)
                due_after_s = record.deadline_s + RESPONSE_SLACK_S + paused_s
                if -KILL_SLACK_S <= elapsed_s <= due_after_s + KILL_SLACK_S:
                    return True
        return False

    def _check_response(self, record: RequestRecord) -> None:
        if record.closed_s < inf or record.sent_s == inf or record.exemption:
            return
        due_s = record.sent_s + record.deadline_s
        if self._was_killed(record):
            return
        if record.loss_reason:
            self._report("lost", f"{record.request_id} {record.effect.name}: {record.loss_reason}")
            return
        late_s = record.answered_s - due_s - RESPONSE_SLACK_S - self._meter.lag_s(record.sent_s, record.answered_s)
        if late_s > self._paused_s(record.sidecar, record.sent_s, record.answered_s):
            self._report("late", f"{record.request_id} got its response {late_s:.3f} s too late")
        if not record.is_correct:
            self._report("wrong", f"{record.request_id} got the response of another request")

    def _check_executions(self, record: RequestRecord) -> None:
        executions = self._records.executions.get(record.request_id, 0)
        if record.effect is Effect.UNSAFE and executions > 1:
            self._report("duplicate", f"{record.request_id} was executed {executions} times")
        if record.effect is Effect.UNSAFE and executions and record.status in (429, 503):
            self._report("refused", f"{record.request_id} got status {record.status} although it was executed")

    def _check_attempt(self, record: RequestRecord, arrival: Arrival) -> None:
        sent_s = self._sent_s(arrival)
        if sent_s - record.closed_s > DISCONNECT_SLACK_S:
            self._report(
                "after its client left",
                f"{record.request_id} reached {arrival.endpoint} "
                f"{arrival.at_s - record.closed_s:.3f} s after its client disconnected",
            )
        remaining_s = max(0.0, record.sent_s + record.deadline_s - sent_s)
        if arrival.deadline_s > remaining_s + DEADLINE_SLACK_S:
            self._report(
                "deadline",
                f"{record.request_id} reached {arrival.endpoint} with a deadline of {arrival.deadline_s:.3f} s "
                f"and {remaining_s:.3f} s remaining",
            )

    def _check_drains(self) -> None:
        """Check that no request starts after the grace: its first byte counts, here sent with its last one."""
        grace_ends_s = {
            (change.sidecar, change.endpoint): change.notified_s + self._grace_s + SOCKET_SLACK_S
            for change in reversed(self._records.changes)
        }
        for arrivals in self._records.arrivals.values():
            for arrival in arrivals:
                sidecar = arrival.request_id.partition(".")[0]
                late_s = self._sent_s(arrival) - grace_ends_s.get((sidecar, arrival.endpoint), inf)
                if late_s > 0:
                    self._report(
                        "drain",
                        f"{arrival.request_id} reached {arrival.endpoint} {late_s:.3f} s after the drain grace",
                    )

    def _check_process(self, process: ProcessRecord) -> None:
        name = process.sidecar
        if process.ready_s - process.started_s > STARTUP_LIMIT_S and process.exit_code is None:
            self._report("start", f"{name} was not ready within {STARTUP_LIMIT_S:g} s")
        if process.ready_s == inf and process.exit_code is not None:
            self._report("start", f"{name} exited with {process.exit_code} during startup")
        elif process.exit_code not in (None, 0):
            self._report("crash", f"{name} exited with {process.exit_code}")
        elif process.ended_s < inf and not process.killed and process.terminated_s == inf:
            self._report("crash", f"{name} exited without a signal")
        if process.was_running_at_sigkill and not self._paused_s(name, process.terminated_s, process.ended_s):
            self._report("end", f"{name} was still running when the platform sends SIGKILL")
        if process.peak_mb > process.memory_limit_mb:
            self._report("memory", f"{name} had {process.peak_mb:.1f} MB of {process.memory_limit_mb:g} resident")
        for invariant, count in process.reported_violations.items():
            self._report(
                "diagnostics", f"{name} violated an invariant that it checks itself: {invariant}, {count} times"
            )
