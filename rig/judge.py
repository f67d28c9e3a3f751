"""What must hold of a day, told from the rig's own history: bytes at relays, effects at nodes, answers."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping
from typing import Any, NamedTuple

from .days import Day, group
from .history import History

HANG_S = 120.0  # only what never comes takes so long
GRACE_S = 2.05  # after its drain was told (rule 3), and the slack that the protocol gives on sockets
WORD_S = 25.0  # a word is said again for 30 s and holds for 10: before so long is over it must still hold
WRITE_S = 1.0  # from the relay of a list to the sidecar and back; no rule, but two hops of the rig's own loop
KILLED = ("kill", "disk-old", "disk-torn", "disk-flip", "disk-empty")
MOST_KB = 80 * 1024  # of one process, interpreter and libraries included


class Verdict(NamedTuple):
    """What broke, empty where all held, and the day's figures."""

    broken: list[str]
    figures: dict[str, Any]


def agrees(view: Mapping[str, Any], names: list[str]) -> bool:
    """Whether a member holds for alive just those that are there."""
    held = {m["name"]: m["state"] for m in view["members"]}
    return not view["displaced"] and all(held.get(name) == "alive" for name in names)


def words_hold(day: Day, history: History, told: Mapping[str, Any]) -> bool:
    """Whether members' words of this drain must still keep requests away when the day's faults are over."""
    whole = history.of("whole")
    return day.drains and (not whole or whole[0]["t"] - told["t"] < WORD_S)


def _excused(day: Day) -> set[str]:
    """Members whose callers may lose requests: killed, or cut from their callers."""
    found: set[str] = set()
    for fault in day.fault:
        if fault.what in KILLED or (fault.what.startswith("stream") and fault.to == "callers"):
            found |= set(group(fault.who, day.members, day.voters))
    return found


def _requests(day: Day, history: History, broken: list[str]) -> Counter[str]:
    count: Counter[str] = Counter()
    effects = Counter(e["rid"] for e in history.of("effect") if e["rid"].endswith("-issue"))
    for rid, n in effects.items():
        if n > 1:
            broken.append(f"effect twice: {rid} ran {n} times")
    finals: defaultdict[str, list[str]] = defaultdict(list)
    excused = _excused(day)
    for event in history.of("asked", "answered", "lost"):
        count[event["event"]] += 1
        if event["event"] != "asked":
            finals[event["rid"]].append(event["event"])
        if event["event"] == "answered":
            count[f"status {event['status']}"] += 1
            if not event["right"]:
                broken.append(f"another request's answer: {event['rid']}")
            if event["status"] in (429, 503) and effects[event["rid"]]:
                broken.append(f"refused though it ran: {event['rid']}")
        if event["event"] == "lost" and event["who"] not in excused:
            broken.append(f"no final answer: {event['rid']}, {event['why']}")
    for event in history.of("asked"):
        if len(finals[event["rid"]]) != 1:
            broken.append(f"{len(finals[event['rid']])} final answers: {event['rid']}")
    return count


def _drains(day: Day, history: History, broken: list[str]) -> None:
    """Rule 3 by each sidecar's own list; what fellows say is the end of it only for those who were not told."""
    held = {n for f in day.fault if f.what.startswith("stream") for n in group(f.who, day.members)} | {
        n for f in day.fault if f.what in ("stop", "kill", "end", "upgrade") for n in group(f.who, day.members)
    }
    for told in history.of("told"):
        if told["what"] != "drain":
            continue
        by = told["t"] + GRACE_S + WRITE_S
        for event in history.of("arrived"):
            who = event["rid"].partition("-")[0]
            if event["node"] == told["node"] and event["t"] > by and who in told["who"] and who not in held:
                broken.append(f"past its drain: {event['rid']} came to {event['node']} {event['t'] - by:.2f} s late")
        if words_hold(day, history, told) and not any(e["node"] == told["node"] for e in history.of("quiet")):
            broken.append(f"requests go on coming to {told['node']}, of whose drain members were told")


def _duties(day: Day, history: History, broken: list[str]) -> dict[str, Any]:
    """One at a time, by what the store saw: acts in the order of fences, each fence one hold's, holds in real time.

    The last is linearizability of a counter that only goes up: a hold that was got before another was asked for has
    the lower fence (Herlihy and Wing, 1990; for a counter whose every answer differs, comparing pairs is enough).
    """
    last, owner = 0, dict[int, str]()
    acts = history.of("act")
    for act in acts:
        if not act["taken"]:
            continue
        if act["fence"] < last or owner.setdefault(act["fence"], act["who"]) != act["who"]:
            broken.append(f"acts out of order: {act['who']} under {act['fence']} after {last}")
        last = max(last, act["fence"])
    # Who was refused once was stopped between its look and its act; a second time it has looked, and was told yes.
    for who, count in Counter(act["who"] for act in acts if not act["taken"]).items():
        if count > 1:
            broken.append(f"two at work: {who} went on {count} times under a fence that was no good any more")
    holds = history.of("held")
    for a in holds:
        for b in holds:
            if a["got"] < b["asked"] and a["fence"] >= b["fence"]:
                broken.append(f"fences out of order: {a['who']} had its own before {b['who']} asked")
    if not history.of("working"):
        broken.append("nobody holds the duty in the end")
    gaps = [b["t"] - a["t"] for a, b in zip(acts, acts[1:], strict=False)]
    return {
        "acts": sum(a["taken"] for a in acts),
        "refused_by_fence": sum(not a["taken"] for a in acts),
        "holds": len(holds),
        "longest_without_s": round(max(gaps, default=0.0), 2),
    }


def _bytes(day: Day, history: History, broken: list[str]) -> float:
    """By the bound's own words: rate x (t + 1) over the whole day, and once more for each life of the process."""
    worst = 0.0
    rates = {f.by for f in day.fault if f.what == "clock-rate"} | {1.0}
    jumps = sum(f.by for f in day.fault if f.what == "clock-jump")
    lives = Counter(e["who"] for e in history.of("started"))
    span = history.now() + jumps
    for sender, seconds in history.bytes.items():
        total = sum(seconds.values())
        worst = max(worst, total / max(1.0, history.now()))
        most = day.bytes_per_second * (span * max(rates) + 1 + lives[sender])
        if total > most:
            broken.append(f"{sender} sent {total} bytes in {span:.1f} s, {most:.0f} are allowed")
    return worst


def judge(day: Day, history: History, processes: Mapping[str, tuple[str, int]]) -> Verdict:
    """The verdict on a day that is over.  `processes`: what each wrote, and its peak in kB."""
    broken: list[str] = []
    if not history.of("agreed"):
        last = {e["who"]: e for e in history.of("view")}
        wrong = [
            f"{who} holds " + ", ".join(f"{n} {s}" for n, s in e["states"].items() if s != "alive")
            for who, e in last.items()
            if e["displaced"] or any(s != "alive" for s in e["states"].values())
        ]
        broken.append("views don't agree in the end: " + ("; ".join(wrong) or "some gave none"))
    count = _requests(day, history, broken)
    _drains(day, history, broken)
    worst = _bytes(day, history, broken)
    duties = _duties(day, history, broken) if day.voters else {}
    for event in history.of("ended"):
        if event["code"] != 0:
            broken.append(f"{event['who']} ended with {event['code']}")
    for name, (log, peak) in processes.items():
        if "Traceback" in log or "illegal transition" in log:
            broken.append(f"{name} wrote a traceback: {log[-400:]}")
        if peak > MOST_KB:
            broken.append(f"{name} took {peak} kB")
    agreed = history.of("agreed")
    whole = history.of("whole")
    return Verdict(
        broken,
        {
            "day": day.name,
            "members": day.members,
            "requests": dict(count),
            "carried": history.carried,
            "lost_on_links": history.lost,
            "settled_s": round(agreed[0]["t"] - whole[0]["t"], 2) if agreed and whole else None,
            **duties,
            "bytes_per_s_worst": round(worst, 1),
            "peak_kb": max((p for _, p in processes.values()), default=0),
        },
    )
