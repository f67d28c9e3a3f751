"""Scenarios: which faults hit which processes and links, and when; from a TOML file or drawn from a seed."""

from __future__ import annotations

import random
import re
import tomllib
from difflib import get_close_matches
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

SCENARIO_FOLDER = Path(__file__).parent / "days"
Seconds = Annotated[float, Meta(ge=0, le=3600)]
Share = Annotated[float, Meta(ge=0, le=1)]
LINK_FAULTS = ("cut", "one-way", "loss", "double", "reorder", "corrupt", "delay", "stall")
STREAM_FAULTS = ("stream-silent", "stream-stall", "stream-reset")
PROCESS_FAULTS = ("stop", "kill", "end", "upgrade")
CLOCK_FAULTS = ("clock-step", "clock-rate", "clock-jump")
LIST_CHANGES = ("drain", "start")
DISK_FAULTS = ("disk-eio", "disk-enospc", "disk-slow", "disk-old", "disk-torn", "disk-flip", "disk-empty")
WORKER_FAULTS = ("work-stop", "work-kill", "give")


class ScenarioError(ValueError):
    """A scenario is invalid; `problems` lists every reason."""

    def __init__(self, *problems: str) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class Fault(Struct, forbid_unknown_fields=True, frozen=True):
    """One fault: it begins `at` seconds after all processes are up and ends `for` seconds later.

    Link faults take `between` = [group, group]; process and clock faults take `who`; stream faults take `who` and
    `to` (nodes, list or callers). A group is a member's name, a range "s2-s5", several of these with commas, "all",
    "half", "rest" (the other half), or, in a scenario with voters, "voters" and "others". For worker faults `who` may
    also be "holder", the worker of the last accepted write.

    The disk faults "eio", "enospc" and "slow" (an fsync takes `by` seconds) end with the fault. The others kill the
    process and restart it after `for` seconds on a damaged folder: an old copy taken when the fault began, a log
    without its last bytes or with a changed byte, or an empty folder.
    """

    kind: Literal[
        "cut",
        "one-way",
        "loss",
        "double",
        "reorder",
        "corrupt",
        "delay",
        "stall",
        "stream-silent",
        "stream-stall",
        "stream-reset",
        "stop",
        "kill",
        "end",
        "upgrade",
        "clock-step",
        "clock-rate",
        "clock-jump",
        "drain",
        "start",
        "disk-eio",
        "disk-enospc",
        "disk-slow",
        "disk-old",
        "disk-torn",
        "disk-flip",
        "disk-empty",
        "work-stop",
        "work-kill",
        "give",
    ] = field(name="what")
    at_s: Seconds = field(name="at")
    duration_s: Seconds = field(default=0.0, name="for")
    between: list[str] = field(default_factory=list)
    targets: str = field(default="", name="who")
    stream_target: Literal["nodes", "list", "callers"] = field(default="nodes", name="to")
    share: Share = 1.0  # of the datagrams
    amount: float = field(default=0.0, name="by")  # seconds of a delay, step or jump; the factor of a clock rate
    interval_s: Seconds = field(default=0.0, name="every")  # repeats the fault until the faults of the scenario end
    node: str = ""  # the endpoint whose entry in the endpoint list changes
    notified: str = field(default="all", name="told")  # members whose endpoint list changes; the others' never does


class Scenario(Struct, forbid_unknown_fields=True, frozen=True):
    """A fleet and the faults injected into it."""

    name: str
    description: str = field(default="", name="about")
    members: Annotated[int, Meta(ge=2, le=200)] = 7
    nodes: Annotated[int, Meta(ge=0, le=20)] = 3
    fault_s: Seconds = field(default=4.0, name="seconds")  # length of the fault phase; all faults end with it
    period_s: Annotated[float, Meta(ge=0.05, le=10)] = field(default=0.2, name="period")
    requests_per_second: Annotated[float, Meta(ge=0, le=1000)] = field(default=15.0, name="rate")  # at each sidecar
    settle_s: Seconds = field(default=60.0, name="settle")  # until all views agree, however busy the machine is
    bytes_per_second: float = 32000.0
    drain_hints: bool = field(default=True, name="drains")  # members gossip drains to each other
    voters: Annotated[int, Meta(ge=0, le=7)] = 0  # the first members; if any, each member has a worker on one task
    lease_s: Annotated[float, Meta(ge=0.2, le=60)] = field(default=1.0, name="lease")
    diskless: bool = False
    faults: list[Fault] = field(default_factory=list, name="fault")


def resolve_group(text: str, members: int, voters: int = 0) -> list[str]:
    """Return the names of the members in a group.  Raises ValueError if the group is unknown or empty."""
    names = [f"s{i + 1}" for i in range(members)]
    found: list[str] = []
    for part in (p.strip() for p in text.split(",")):
        span = re.fullmatch(r"s(\d+)-s(\d+)", part)
        if part == "all":
            found += names
        elif part == "half":
            found += names[: members // 2]
        elif part == "rest":
            found += names[members // 2 :]
        elif part == "voters":
            found += names[:voters]
        elif part == "others":
            found += names[voters:]
        elif span:
            found += [n for i, n in enumerate(names, 1) if int(span[1]) <= i <= int(span[2])]
        elif part in names:
            found.append(part)
        else:
            raise ValueError(f'{part!r} is not a member, a range, "all", "half" or "rest"')
    if not found:
        raise ValueError(f"{text!r} matches no member")
    return list(dict.fromkeys(found))


def _groups_of(scenario: Scenario, i: int) -> dict[str, str]:
    """Return the groups that fault `i` names, by their path in the file."""
    fault = scenario.faults[i]
    groups = {f"fault[{i}].between[{k}]": g for k, g in enumerate(fault.between)}
    if fault.kind not in LINK_FAULTS + LIST_CHANGES and not (
        fault.kind in WORKER_FAULTS and fault.targets == "holder"
    ):
        groups[f"fault[{i}].who"] = fault.targets
    if fault.kind in LIST_CHANGES:
        groups[f"fault[{i}].told"] = fault.notified
    return groups


def _validate(scenario: Scenario) -> list[str]:
    problems = []
    for i, fault in enumerate(scenario.faults):
        if fault.kind in LINK_FAULTS and len(fault.between) != 2:
            problems.append(f"fault[{i}].between: expected two groups, found {fault.between!r}")
        if fault.kind in DISK_FAULTS + WORKER_FAULTS and not scenario.voters:
            problems.append(f"fault[{i}].what: {fault.kind} needs a scenario with voters")
        nodes = [f"n{k + 1}" for k in range(scenario.nodes)]
        if fault.kind in LIST_CHANGES and fault.node not in nodes:
            problems.append(f"fault[{i}].node: expected one of n1 to n{scenario.nodes}, found {fault.node!r}")
        for path, text in _groups_of(scenario, i).items():
            try:
                names = resolve_group(text, scenario.members, scenario.voters)
                if fault.kind in DISK_FAULTS and (
                    scenario.diskless
                    or not set(names) <= set(resolve_group("voters", scenario.members, scenario.voters))
                ):
                    problems.append(f"{path}: disk faults need voters with disks, found {text!r}")
            except ValueError as error:
                problems.append(f"{path}: {error}")
    if scenario.voters and (scenario.voters % 2 == 0 or scenario.voters > scenario.members):
        problems.append(f"voters: expected an odd number, at most the number of members, found {scenario.voters}")
    for i, fault in enumerate(scenario.faults):
        if fault.kind == "clock-rate" and not 0.1 <= fault.amount <= 10:
            problems.append(f"fault[{i}].by: expected a rate of 0.1 to 10, found {fault.amount:g}")
    return problems


def parse(data: dict[str, Any]) -> Scenario:
    """Convert decoded TOML into a scenario and validate it.  Raises ScenarioError."""
    try:
        scenario = msgspec.convert(data, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(str(error)) from None
    if problems := _validate(scenario):
        raise ScenarioError(*problems)
    return scenario


def load(path: Path) -> Scenario:
    """Read a scenario file.  Raises ScenarioError."""
    try:
        return parse(tomllib.loads(path.read_text()))
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None


def find_file(name: str) -> Path:
    """Return a scenario's file, given its path or the name of a bundled scenario.  Raises ScenarioError."""
    path = Path(name)
    if path.suffix == ".toml":
        return path
    known = {p.stem: p for p in SCENARIO_FOLDER.glob("*.toml")}
    if name not in known:
        near = get_close_matches(name, known, 1)
        raise ScenarioError(f"unknown scenario {name!r}" + (f"; did you mean {near[0]!r}?" if near else ""))
    return known[name]


def draw(seed: int, members: int = 7, seconds: float = 6.0) -> Scenario:
    """Draw a scenario of four to nine faults of all kinds; the same seed gives the same scenario."""
    rng = random.Random(seed)
    faults: list[dict[str, Any]] = []
    names = [f"s{i + 1}" for i in range(members)]
    for _ in range(rng.randint(4, 9)):
        kind = rng.choice(LINK_FAULTS + STREAM_FAULTS + PROCESS_FAULTS + CLOCK_FAULTS)
        fault: dict[str, Any] = {
            "what": kind,
            "at": round(rng.uniform(0, seconds * 0.7), 2),
            "for": round(rng.uniform(0.3, seconds * 0.5), 2),
        }
        chosen = rng.sample(names, rng.randint(1, max(1, members // 2)))
        rest = [n for n in names if n not in chosen]
        if kind in LINK_FAULTS:
            fault["between"] = [",".join(chosen), ",".join(rest)]
            fault["share"] = round(rng.uniform(0.1, 0.6), 2) if kind not in ("cut", "one-way", "stall") else 1.0
            fault["by"] = round(rng.uniform(0.01, 0.3), 3) if kind == "delay" else 0.0
        elif kind in STREAM_FAULTS:
            fault |= {"who": ",".join(chosen), "to": rng.choice(["nodes", "list"])}
        elif kind in PROCESS_FAULTS:
            fault["who"] = rng.choice(names) if kind == "upgrade" else ",".join(chosen[:2])
        else:
            fault |= {
                "who": rng.choice(names),
                "by": round(
                    {
                        "clock-step": rng.uniform(-7200, 7200),
                        "clock-rate": rng.uniform(0.9, 1.1),
                        "clock-jump": rng.uniform(1, 600),
                    }[kind],
                    3,
                ),
            }
        faults.append(fault)
    faults.sort(key=lambda f: f["at"])
    return parse(
        {
            "name": f"seed-{seed}",
            "about": f"drawn from seed {seed}",
            "members": members,
            "seconds": seconds,
            "fault": faults,
        }
    )


def draw_with_voters(seed: int, voters: int = 5, others: int = 3, seconds: float = 8.0) -> Scenario:
    """Draw a scenario of four to ten faults on links, processes, workers and disks; the same seed gives the same one.

    At most a minority of the voters loses stored state: beyond that, mutual exclusion would depend on wall clocks
    alone, and these scenarios step wall clocks too.
    """
    rng = random.Random(seed)
    names = [f"s{i + 1}" for i in range(voters + others)]
    lossy_voters = rng.sample(names[:voters], voters // 2)  # only their disks fail
    faults: list[dict[str, Any]] = []
    for _ in range(rng.randint(4, 10)):
        kind = rng.choice(
            [*LINK_FAULTS, *PROCESS_FAULTS, "clock-step", *DISK_FAULTS, *DISK_FAULTS, *WORKER_FAULTS, *WORKER_FAULTS]
        )
        fault: dict[str, Any] = {
            "what": kind,
            "at": round(rng.uniform(0, seconds * 0.7), 2),
            "for": round(rng.uniform(0.3, seconds * 0.4), 2),
        }
        chosen = rng.sample(names, rng.randint(1, len(names) // 2))
        if kind in LINK_FAULTS:
            fault["between"] = [",".join(chosen), ",".join(n for n in names if n not in chosen)]
            fault["share"] = round(rng.uniform(0.1, 0.6), 2) if kind not in ("cut", "one-way", "stall") else 1.0
            fault["by"] = round(rng.uniform(0.01, 0.3), 3) if kind == "delay" else 0.0
        elif kind in DISK_FAULTS:
            fault |= {
                "who": rng.choice(lossy_voters),
                "by": round(rng.uniform(0.1, 3.0), 2) if kind == "disk-slow" else 0.0,
            }
        elif kind in WORKER_FAULTS:
            fault["who"] = rng.choice(["holder", "holder", *names])
        elif kind in PROCESS_FAULTS:
            fault["who"] = rng.choice(names) if kind == "upgrade" else ",".join(chosen[:2])
        else:
            fault |= {"who": rng.choice(names), "by": round(rng.uniform(-7200, 7200), 3)}
        faults.append(fault)
    faults.sort(key=lambda f: f["at"])
    return parse(
        {
            "name": f"duties-{seed}",
            "about": f"drawn from seed {seed}",
            "members": voters + others,
            "voters": voters,
            "nodes": 1,
            "rate": 3.0,
            "seconds": seconds,
            "fault": faults,
        }
    )


def to_toml(scenario: Scenario) -> str:
    """Return the scenario as TOML that `load` reads back unchanged."""

    def format_value(value: Any) -> str:
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, str):
            return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
        return "[" + ", ".join(map(format_value, value)) + "]" if isinstance(value, list) else repr(value)

    data = msgspec.to_builtins(scenario)
    faults = data.pop("fault")
    lines = [f"{key} = {format_value(item)}" for key, item in data.items()]
    for fault in faults:
        lines += ["", "[[fault]]", *(f"{key} = {format_value(item)}" for key, item in fault.items())]
    return "\n".join(lines) + "\n"
