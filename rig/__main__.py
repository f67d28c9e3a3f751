"""`python -m rig`: play days of faults on real processes, play one again, and find the few faults that matter."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path

import click
import msgspec
import uvloop

from . import days
from .days import Day, DayError
from .judge import Verdict
from .world import play as play_day


def _run(day: Day, seed: int, keep: Path | None, fault: str = "-") -> Verdict:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(play_day(day, seed, keep, fault))


def _say(verdict: Verdict) -> int:
    print(json.dumps(verdict.figures))
    for line in verdict.broken[:20]:
        print(f"BROKEN {line}")
    print("held" if not verdict.broken else f"{len(verdict.broken)} broken")
    return 1 if verdict.broken else 0


@click.group()
def rig() -> None:
    """Many processes, broken from outside."""


@rig.command("list")
def list_days() -> None:
    """The days that come with the rig."""
    for path in sorted(days.FOLDER.glob("*.toml")):
        day = days.load(path)
        print(f"{path.stem:24} {day.members:3} members  {day.about}")


KEEP = click.option("--keep", type=click.Path(path_type=Path), help="a folder for configurations, logs and history")


@rig.command()
@click.argument("name", required=False)
@click.option("--seed", type=int, default=1, show_default=True, help="of what links draw; alone, of a whole day")
@click.option("--members", type=click.IntRange(2, 200), help="another size of the fleet")
@click.option("--seconds", type=float, help="another length of a drawn day")
@click.option("--duties", is_flag=True, help="draw a day of five voters, three others and their disks")
@click.option("--fault", default="-", metavar="NAME", help="plant one of checker.faults into every process")
@KEEP
def play(
    name: str | None,
    seed: int,
    members: int | None,
    seconds: float | None,
    duties: bool,
    fault: str,
    keep: Path | None,
) -> int:
    """Play a day: a file, the name of one that comes with the rig, or without either one drawn from the seed."""
    if name:
        day = days.load(days.find(name))
    elif duties:
        day = days.drawn_duties(seed, seconds=seconds or 8.0)
    else:
        day = days.drawn(seed, members or 7, seconds or 6.0)
    if members and not duties:
        day = msgspec.structs.replace(day, members=members)
    return _say(_run(day, seed, keep, fault))


@rig.command()
@click.argument("folder", type=click.Path(path_type=Path, exists=True))
@KEEP
def again(folder: Path, keep: Path | None) -> int:
    """Play the schedule of faults that a kept folder holds once more."""
    return _say(_run(days.load(folder / "day.toml"), int((folder / "seed").read_text()), keep))


@rig.command()
@click.argument("folder", type=click.Path(path_type=Path, exists=True))
@click.option("--fault", default="-", metavar="NAME", help="the planted fault that the day was played with")
@click.option(
    "--tries",
    type=click.IntRange(1, 20),
    default=2,
    show_default=True,
    help="plays of a smaller day before it counts as whole",
)
def shrink(folder: Path, fault: str, tries: int) -> int:
    """Fewer faults that still break the same property; the day that is left is written beside the old one."""
    day, seed = days.load(folder / "day.toml"), int((folder / "seed").read_text())
    wanted = {line.partition(":")[0] for line in json.loads((folder / "verdict.json").read_text())["broken"]}
    if not wanted:
        raise DayError(f"{folder}: nothing broke on this day")
    i = 0
    while i < len(day.fault):
        less = msgspec.structs.replace(day, fault=day.fault[:i] + day.fault[i + 1 :])
        with tempfile.TemporaryDirectory(prefix="gr", dir="/tmp") as place:
            plays = (_run(less, seed, Path(place, str(n)), fault) for n in range(tries))
            broke = any({line.partition(":")[0] for line in verdict.broken} & wanted for verdict in plays)
        told = "still broken" if broke else "holds"
        print(f"without fault {i + 1} of {len(day.fault)}, {day.fault[i].what}: {told}")
        if broke:
            day = less
        else:
            i += 1
    path = folder / "shrunk.toml"
    path.write_text(days.written(day))
    print(f"{path}: {len(day.fault)} faults")
    return 0


def main() -> int:
    try:
        return int(rig.main(standalone_mode=False) or 0)
    except DayError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        return 2
    except click.ClickException as error:
        error.show(sys.stderr)
        return error.exit_code


if __name__ == "__main__":
    sys.exit(main())
