"""Days: what breaks, between whom, when; from a TOML file or drawn from a seed."""

from __future__ import annotations

import random
import re
import tomllib
from difflib import get_close_matches
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

FOLDER = Path(__file__).parent / "days"
Seconds = Annotated[float, Meta(ge=0, le=3600)]
Share = Annotated[float, Meta(ge=0, le=1)]
LINK = ("cut", "one-way", "loss", "double", "reorder", "corrupt", "delay", "stall")
STREAM = ("stream-silent", "stream-stall", "stream-reset")
LIFE = ("stop", "kill", "end", "upgrade")
CLOCK = ("clock-step", "clock-rate", "clock-jump")
LIST = ("drain", "start")
DISK = ("disk-eio", "disk-enospc", "disk-slow", "disk-old", "disk-torn", "disk-flip", "disk-empty")
WORK = ("work-stop", "work-kill", "give")
KINDS = LINK + STREAM + LIFE + CLOCK + LIST


class DayError(ValueError):
    """A day can't be played; `faults` says each thing that is wrong."""

    def __init__(self, *faults: str) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class Fault(Struct, forbid_unknown_fields=True, frozen=True):
    """One thing that breaks, `at` seconds after all are up, `for` so long; it is mended after that.

    Links take `between` = [group, group], processes and clocks `who`, streams `who` and `to`: nodes, list or callers.
    A group is a name, a range "s2-s5", several with commas, "all", "half", "rest" (the other half), or, where there
    are voters, "voters" and "others"; of a worker also "holder", whoever acted last.

    Of disks, "eio", "enospc" and "slow" (`by` seconds an fsync) end with the fault; the others kill the process, and
    it starts again after `for` on an old copy, taken at the beginning, a log without its end or with a changed byte,
    or an empty folder.
    """

    what: Literal[
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
    ]
    at: Seconds
    lasts: Seconds = field(default=0.0, name="for")
    between: list[str] = field(default_factory=list)
    who: str = ""
    to: Literal["nodes", "list", "callers"] = "nodes"
    share: Share = 1.0  # of the datagrams
    by: float = 0.0  # seconds of a delay, a step or a jump; the factor of a rate
    every: Seconds = 0.0  # again and again so often, until the day's faults end
    node: str = ""  # whose line of the list changes
    told: str = "all"  # whose lists say so at once; the others' never do


class Day(Struct, forbid_unknown_fields=True, frozen=True):
    """A fleet and what happens to it."""

    name: str
    about: str = ""
    members: Annotated[int, Meta(ge=2, le=200)] = 7
    nodes: Annotated[int, Meta(ge=0, le=20)] = 3
    seconds: Seconds = 4.0  # of faults; after that everything is mended
    period: Annotated[float, Meta(ge=0.05, le=10)] = 0.2
    rate: Annotated[float, Meta(ge=0, le=1000)] = 15.0  # requests a second at each sidecar
    settle: Seconds = 60.0  # views have to agree within this in the end, however busy the machine is
    bytes_per_second: float = 32000.0
    drains: bool = True  # members tell each other of drains
    voters: Annotated[int, Meta(ge=0, le=7)] = 0  # the first members; with any, each has a worker on one duty
    lease: Annotated[float, Meta(ge=0.2, le=60)] = 1.0
    diskless: bool = False
    fault: list[Fault] = field(default_factory=list)


def group(text: str, members: int, voters: int = 0) -> list[str]:
    """The members that a group means.  Raises ValueError for one that means nobody."""
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
            raise ValueError(f'{part!r} is no member, range, "all", "half" or "rest"')
    if not found:
        raise ValueError(f"{text!r} means nobody")
    return list(dict.fromkeys(found))


def _check(day: Day) -> list[str]:
    faults = []
    for i, fault in enumerate(day.fault):
        groups = {f"fault[{i}].between[{k}]": g for k, g in enumerate(fault.between)}
        if fault.what in LINK and len(fault.between) != 2:
            faults.append(f"fault[{i}].between: two groups wanted, found {fault.between!r}")
        if fault.what in DISK + WORK and not day.voters:
            faults.append(f"fault[{i}].what: {fault.what} needs a day with voters")
        if fault.what not in LINK + LIST and not (fault.what in WORK and fault.who == "holder"):
            groups[f"fault[{i}].who"] = fault.who
        if fault.what in LIST and not (day.nodes and fault.node in [f"n{k + 1}" for k in range(day.nodes)]):
            faults.append(f"fault[{i}].node: one of n1 to n{day.nodes} wanted, found {fault.node!r}")
        if fault.what in LIST:
            groups[f"fault[{i}].told"] = fault.told
        for path, text in groups.items():
            try:
                names = group(text, day.members, day.voters)
                if fault.what in DISK and (
                    day.diskless or not set(names) <= set(group("voters", day.members, day.voters))
                ):
                    faults.append(f"{path}: only voters with disks have one to fail, found {text!r}")
            except ValueError as error:
                faults.append(f"{path}: {error}")
    if day.voters and (day.voters % 2 == 0 or day.voters > day.members):
        faults.append(f"voters: an odd number, no more than the members, found {day.voters}")
    for i, fault in enumerate(day.fault):
        if fault.what == "clock-rate" and not 0.1 <= fault.by <= 10:
            faults.append(f"fault[{i}].by: a rate of 0.1 to 10 wanted, found {fault.by:g}")
    return faults


def parse(data: dict[str, Any]) -> Day:
    """Raises DayError."""
    try:
        day = msgspec.convert(data, Day)
    except msgspec.ValidationError as error:
        raise DayError(str(error)) from None
    if faults := _check(day):
        raise DayError(*faults)
    return day


def load(path: Path) -> Day:
    """Raises DayError."""
    try:
        return parse(tomllib.loads(path.read_text()))
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise DayError(f"{path}: {error}") from None


def find(name: str) -> Path:
    """A day's file, by its path or by the name of one that comes with the rig.  Raises DayError."""
    path = Path(name)
    if path.suffix == ".toml":
        return path
    known = {p.stem: p for p in FOLDER.glob("*.toml")}
    if name not in known:
        near = get_close_matches(name, known, 1)
        raise DayError(f"no day {name!r}" + (f"; did you mean {near[0]!r}?" if near else ""))
    return known[name]


def drawn(seed: int, members: int = 7, seconds: float = 6.0) -> Day:
    """A day of four to nine faults of all kinds, the same for the same seed."""
    rng = random.Random(seed)
    faults: list[dict[str, Any]] = []
    names = [f"s{i + 1}" for i in range(members)]
    for _ in range(rng.randint(4, 9)):
        what = rng.choice([k for k in KINDS if k not in LIST])
        fault: dict[str, Any] = {
            "what": what,
            "at": round(rng.uniform(0, seconds * 0.7), 2),
            "for": round(rng.uniform(0.3, seconds * 0.5), 2),
        }
        some = rng.sample(names, rng.randint(1, max(1, members // 2)))
        rest = [n for n in names if n not in some]
        if what in LINK:
            fault["between"] = [",".join(some), ",".join(rest)]
            fault["share"] = round(rng.uniform(0.1, 0.6), 2) if what not in ("cut", "one-way", "stall") else 1.0
            fault["by"] = round(rng.uniform(0.01, 0.3), 3) if what == "delay" else 0.0
        elif what in STREAM:
            fault |= {"who": ",".join(some), "to": rng.choice(["nodes", "list"])}
        elif what in LIFE:
            fault["who"] = rng.choice(names) if what == "upgrade" else ",".join(some[:2])
        else:
            fault |= {
                "who": rng.choice(names),
                "by": round(
                    {
                        "clock-step": rng.uniform(-7200, 7200),
                        "clock-rate": rng.uniform(0.9, 1.1),
                        "clock-jump": rng.uniform(1, 600),
                    }[what],
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


def drawn_duties(seed: int, voters: int = 5, others: int = 3, seconds: float = 8.0) -> Day:
    """A day of four to ten faults on links, processes, workers and disks, the same for the same seed.

    No more than a minority of the voters ever loses memory: what holds beyond that rests on wall clocks alone, which
    these days set wrong too.
    """
    rng = random.Random(seed)
    names = [f"s{i + 1}" for i in range(voters + others)]
    lossy = rng.sample(names[:voters], voters // 2)  # whose disks lie
    faults: list[dict[str, Any]] = []
    for _ in range(rng.randint(4, 10)):
        what = rng.choice([*LINK, *LIFE, "clock-step", *DISK, *DISK, *WORK, *WORK])
        fault: dict[str, Any] = {
            "what": what,
            "at": round(rng.uniform(0, seconds * 0.7), 2),
            "for": round(rng.uniform(0.3, seconds * 0.4), 2),
        }
        some = rng.sample(names, rng.randint(1, len(names) // 2))
        if what in LINK:
            fault["between"] = [",".join(some), ",".join(n for n in names if n not in some)]
            fault["share"] = round(rng.uniform(0.1, 0.6), 2) if what not in ("cut", "one-way", "stall") else 1.0
            fault["by"] = round(rng.uniform(0.01, 0.3), 3) if what == "delay" else 0.0
        elif what in DISK:
            fault |= {"who": rng.choice(lossy), "by": round(rng.uniform(0.1, 3.0), 2) if what == "disk-slow" else 0.0}
        elif what in WORK:
            fault["who"] = rng.choice(["holder", "holder", *names])
        elif what in LIFE:
            fault["who"] = rng.choice(names) if what == "upgrade" else ",".join(some[:2])
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


def written(day: Day) -> str:
    """The day as TOML, to be played again."""

    def value(x: Any) -> str:
        if isinstance(x, bool):
            return "true" if x else "false"
        if isinstance(x, str):
            return '"' + x.replace("\\", "\\\\").replace('"', '\\"') + '"'
        return "[" + ", ".join(map(value, x)) + "]" if isinstance(x, list) else repr(x)

    data = msgspec.to_builtins(day)
    faults = data.pop("fault")
    lines = [f"{k} = {value(v)}" for k, v in data.items()]
    for fault in faults:
        lines += ["", "[[fault]]", *(f"{k} = {value(v)}" for k, v in fault.items())]
    return "\n".join(lines) + "\n"
