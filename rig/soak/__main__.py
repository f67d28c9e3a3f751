"""`python -m rig.soak`: soak the daemon with the faults of one seed, or of many, and print what was violated."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from collections import Counter
from pathlib import Path

import click
import uvloop

from .faults import build
from .world import Outcome, Size, Soak

MOST_TOLD = 4  # of each rule


def soak(seed: int, size: Size, folder: Path) -> Outcome:
    """One run in this folder, which must be empty."""
    folder.mkdir(parents=True, exist_ok=True)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(Soak(seed, size, folder, build(folder)).run())


@click.command()
@click.option("--seed", type=int, default=1, show_default=True, help="the first one")
@click.option("--count", type=click.IntRange(1, 1000), default=1, show_default=True, help="how many seeds")
@click.option("--sidecars", type=click.IntRange(1, 100), default=12, show_default=True)
@click.option("--seconds", type=float, default=20.0, show_default=True)
@click.option("--rate", type=float, default=12.0, show_default=True, help="requests a second of each client")
@click.option("--troubles", type=click.IntRange(1, 20), default=4, show_default=True, help="faults at a time")
@click.option("--keep", type=click.Path(path_type=Path), help="a new folder for configurations and logs")
def command(
    seed: int, count: int, sidecars: int, seconds: float, rate: float, troubles: int, keep: Path | None
) -> int:
    """Exit status 1 where any seed broke a rule."""
    size, broken = Size(sidecars=sidecars, seconds=seconds, rate=rate, troubles=troubles), 0
    for number in range(seed, seed + count):
        with tempfile.TemporaryDirectory(prefix="gs") as place:
            outcome = soak(number, size, keep / str(number) if keep else Path(place))
        print(f"seed {number}: {'BROKEN' if outcome.violations else 'held'} {json.dumps(outcome.figures)}")
        told = Counter[str]()
        for violation in outcome.violations:
            told[violation.rule] += 1
            if told[violation.rule] <= MOST_TOLD:
                print(f"  {violation}")
        for rule, found in told.items():
            print(f"  {rule}: {found} in all")
        broken += bool(outcome.violations)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(command(standalone_mode=False))
