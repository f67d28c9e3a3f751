"""Invariants of a run, checked on the rig's own records: bytes at relays, executions at endpoints, and responses."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Collection, Mapping
from itertools import takewhile
from typing import Any, NamedTuple

from .history import History
from .log_faults import find_log_faults
from .scenarios import Scenario, resolve_group

HANG_TIMEOUT_S = 120.0  # long enough that only a hang reaches it
DRAIN_GRACE_S = 2.05  # after the drain was announced (rule 3), with the 50 ms that the protocol allows on sockets
HINT_MIN_LIFETIME_S = 25.0  # drain hints are repeated for 30 s and last 10 s: younger ones must still be valid
QUIET_S = 5.0  # without a request to an endpoint: members that still use it may pick others for a second by chance
LIST_DELAY_S = 1.0  # from the relay of an endpoint list to the sidecar and back; two hops of the rig's event loop
KILL_FAULTS = ("kill", "disk-old", "disk-torn", "disk-flip", "disk-empty")
MAX_EXCERPT_CHARACTERS = 400  # of a log, from its first fault on
MAX_PROCESS_KB = 80 * 1024  # includes the interpreter and the libraries


class Verdict(NamedTuple):
    """The violations of a run, empty if every invariant held, and its figures.  Written out as `verdict.json`."""

    broken: list[str]
    figures: dict[str, Any]


def view_is_complete(view: Mapping[str, Any], names: list[str]) -> bool:
    """Return whether a member sees every member of the fleet alive and none displaced."""
    states = {m["name"]: m["state"] for m in view["members"]}
    return not view["displaced"] and all(states.get(name) == "alive" for name in names)


def drain_hint_is_valid(scenario: Scenario, history: History, notified: Mapping[str, Any]) -> bool:
    """Return whether the members' drain hints still exclude this endpoint when the fault phase is over."""
    faults_ended = history.select("whole")
    return scenario.drain_hints and (not faults_ended or faults_ended[0]["t"] - notified["t"] < HINT_MIN_LIFETIME_S)


def endpoint_is_quiet(history: History, node: str, members: Collection[str], since: float) -> bool:
    """Return whether no request reached the endpoint for the last `QUIET_S`, in which every member responded.

    `since`: when the wait began, in seconds of the history; what came earlier does not count.
    """
    begins_at = max(since, history.now() - QUIET_S)
    if history.now() - begins_at < QUIET_S:
        return False
    recent = list(takewhile(lambda event: event["t"] >= begins_at, reversed(history.events)))
    if any(event["event"] == "arrived" and event["node"] == node for event in recent):
        return False
    responded = {event["who"] for event in recent if event["event"] == "answered"}
    return responded >= set(members)


def _members_that_may_lose(scenario: Scenario) -> set[str]:
    """Return the members whose callers may lose requests: killed, or disconnected from their callers."""
    found: set[str] = set()
    for fault in scenario.faults:
        if fault.kind in KILL_FAULTS or (fault.kind.startswith("stream") and fault.stream_target == "callers"):
            found |= set(resolve_group(fault.targets, scenario.members, scenario.voters))
    return found


def _check_requests(scenario: Scenario, history: History, violations: list[str]) -> Counter[str]:
    counts: Counter[str] = Counter()
    executions = Counter(e["rid"] for e in history.select("effect") if e["rid"].endswith("-issue"))
    for request_id, times in executions.items():
        if times > 1:
            violations.append(f"executed more than once: {request_id} ran {times} times")
    outcomes: defaultdict[str, list[str]] = defaultdict(list)
    may_lose = _members_that_may_lose(scenario)
    for event in history.select("asked", "answered", "lost"):
        counts[event["event"]] += 1
        if event["event"] != "asked":
            outcomes[event["rid"]].append(event["event"])
        if event["event"] == "answered":
            counts[f"status {event['status']}"] += 1
            if not event["right"]:
                violations.append(f"response of another request: {event['rid']}")
            if event["status"] in (429, 503) and executions[event["rid"]]:
                violations.append(f"rejected but executed: {event['rid']}")
        if event["event"] == "lost" and event["who"] not in may_lose:
            violations.append(f"no final response: {event['rid']}, {event['why']}")
    for event in history.select("asked"):
        if len(outcomes[event["rid"]]) != 1:
            violations.append(f"{len(outcomes[event['rid']])} final responses: {event['rid']}")
    return counts


def _check_drains(scenario: Scenario, history: History, violations: list[str]) -> None:
    """Check rule 3 against each sidecar's own endpoint list.

    Gossiped drain hints bind only in the end, once they must have reached the members whose list did not change.
    """
    delayed = {
        n for f in scenario.faults if f.kind.startswith("stream") for n in resolve_group(f.targets, scenario.members)
    } | {
        n
        for f in scenario.faults
        if f.kind in ("stop", "kill", "end", "upgrade")
        for n in resolve_group(f.targets, scenario.members)
    }
    for notified in history.select("told"):
        if notified["what"] != "drain":
            continue
        limit = notified["t"] + DRAIN_GRACE_S + LIST_DELAY_S
        for event in history.select("arrived"):
            member = event["rid"].partition("-")[0]
            if (
                event["node"] == notified["node"]
                and event["t"] > limit
                and member in notified["who"]
                and member not in delayed
            ):
                violations.append(
                    f"request after drain: {event['rid']} reached {event['node']} {event['t'] - limit:.2f} s late"
                )
        quiet = any(e["node"] == notified["node"] for e in history.select("quiet"))
        if drain_hint_is_valid(scenario, history, notified) and not quiet:
            violations.append(f"requests still reach {notified['node']}, although members were notified of its drain")


def _check_singleton_task(history: History, violations: list[str]) -> dict[str, Any]:
    """Check mutual exclusion by the store's writes: fences never go back, and each belongs to one lease.

    Leases must also be linearizable as a counter that only increases: a lease granted before another was requested
    has the lower fence (Herlihy and Wing, 1990; as each value is given out once, comparing pairs is enough).
    """
    last_fence, writers = 0, dict[int, str]()
    writes = history.select("act")
    for write in writes:
        if not write["taken"]:
            continue
        if write["fence"] < last_fence or writers.setdefault(write["fence"], write["who"]) != write["who"]:
            violations.append(f"writes out of order: {write['who']} with fence {write['fence']} after {last_fence}")
        last_fence = max(last_fence, write["fence"])
    # One rejected write is allowed: the worker was stopped between its check of the lease and its write. Before a
    # second one it has checked again, and was told that it still holds the lease.
    for writer, count in Counter(write["who"] for write in writes if not write["taken"]).items():
        if count > 1:
            violations.append(f"two lease holders: {writer} wrote {count} times with an outdated fence")
    leases = history.select("held")
    for a in leases:
        for b in leases:
            if a["got"] < b["asked"] and a["fence"] >= b["fence"]:
                violations.append(
                    f"fences out of order: {a['who']} was granted its fence before {b['who']} requested"
                )
    if not history.select("working"):
        violations.append("no lease holder writes in the end")
    gaps = [b["t"] - a["t"] for a, b in zip(writes, writes[1:], strict=False)]
    return {
        "acts": sum(write["taken"] for write in writes),
        "refused_by_fence": sum(not write["taken"] for write in writes),
        "holds": len(leases),
        "longest_without_s": round(max(gaps, default=0.0), 2),
    }


def _check_bytes(scenario: Scenario, history: History, violations: list[str]) -> float:
    """Check the bandwidth bound, rate x (t + 1), over the whole run; each process start allows one second more."""
    worst = 0.0
    clock_rates = {f.amount for f in scenario.faults if f.kind == "clock-rate"} | {1.0}
    jumps_s = sum(f.amount for f in scenario.faults if f.kind == "clock-jump")
    starts = Counter(e["who"] for e in history.select("started"))
    span_s = history.now() + jumps_s
    for sender, by_second in history.bytes_by_sender.items():
        total = sum(by_second.values())
        worst = max(worst, total / max(1.0, history.now()))
        limit = scenario.bytes_per_second * (span_s * max(clock_rates) + 1 + starts[sender])
        if total > limit:
            violations.append(f"{sender} sent {total} bytes in {span_s:.1f} s, the limit is {limit:.0f}")
    return worst


def _check_views(history: History, violations: list[str]) -> None:
    if history.select("agreed"):
        return
    last = {e["who"]: e for e in history.select("view")}
    wrong = [
        f"{member} sees " + ", ".join(f"{n} {s}" for n, s in e["states"].items() if s != "alive")
        for member, e in last.items()
        if e["displaced"] or any(s != "alive" for s in e["states"].values())
    ]
    violations.append("views don't agree in the end: " + ("; ".join(wrong) or "some members returned none"))


def check(scenario: Scenario, history: History, processes: Mapping[str, tuple[str, int]]) -> Verdict:
    """Check every invariant of a finished run.  `processes`: the log of each process and its peak memory in kB."""
    violations: list[str] = []
    _check_views(history, violations)
    counts = _check_requests(scenario, history, violations)
    _check_drains(scenario, history, violations)
    worst_rate = _check_bytes(scenario, history, violations)
    task_figures = _check_singleton_task(history, violations) if scenario.voters else {}
    for event in history.select("ended"):
        if event["code"] != 0:
            violations.append(f"{event['who']} exited with status {event['code']}")
    for name, (log, peak_kb) in processes.items():
        if faults := find_log_faults(log):
            what = "traceback" if "Traceback" in log else "fault"
            excerpt = log[log.index(faults[0]) :][:MAX_EXCERPT_CHARACTERS]
            violations.append(f"{name} logged a {what}: {excerpt}")
        if peak_kb > MAX_PROCESS_KB:
            violations.append(f"{name} used {peak_kb} kB of memory")
    agreed = history.select("agreed")
    faults_ended = history.select("whole")
    return Verdict(
        violations,
        {
            "day": scenario.name,
            "members": scenario.members,
            "requests": dict(counts),
            "carried": history.datagram_count,
            "lost_on_links": history.lost_count,
            "settled_s": round(agreed[0]["t"] - faults_ended[0]["t"], 2) if agreed and faults_ended else None,
            **task_figures,
            "bytes_per_s_worst": round(worst_rate, 1),
            "peak_kb": max((p for _, p in processes.values()), default=0),
        },
    )
