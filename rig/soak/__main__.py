"""`python -m rig.soak`: run the soak with the faults of one seed, or of several, and print the violations."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from collections import Counter
from pathlib import Path

import click
import uvloop

from .faults import build_library
from .runner import Outcome, Size, SoakRun

MAX_PRINTED_PER_RULE = 4


def run_soak(seed: int, size: Size, folder: Path) -> Outcome:
    """Run one soak in `folder`, which must be empty or absent."""
    folder.mkdir(parents=True, exist_ok=True)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(SoakRun(seed, size, folder, build_library(folder)).run())


@click.command()
@click.option("--seed", type=int, default=1, show_default=True, help="first seed")
@click.option("--count", type=click.IntRange(1, 1000), default=1, show_default=True, help="number of seeds")
@click.option("--sidecars", type=click.IntRange(1, 100), default=12, show_default=True)
@click.option("--seconds", type=float, default=20.0, show_default=True, help="duration of fault injection")
@click.option("--rate", type=float, default=12.0, show_default=True, help="requests per second and client")
@click.option("--troubles", type=click.IntRange(1, 20), default=4, show_default=True, help="concurrent faults")
@click.option("--keep", type=click.Path(path_type=Path), help="a new folder for configurations and logs")
def command(
    seed: int, count: int, sidecars: int, seconds: float, rate: float, troubles: int, keep: Path | None
) -> int:
    """Soak the daemon.  The exit status is 1 if any seed violated an invariant."""
    size = Size(sidecars=sidecars, duration_s=seconds, client_rate_per_s=rate, concurrent_faults=troubles)
    failed_seeds = 0
    for current_seed in range(seed, seed + count):
        with tempfile.TemporaryDirectory(prefix="gs") as temporary:
            outcome = run_soak(current_seed, size, keep / str(current_seed) if keep else Path(temporary))
        print(f"seed {current_seed}: {'BROKEN' if outcome.violations else 'held'} {json.dumps(outcome.summary)}")
        violation_counts = Counter[str]()
        for violation in outcome.violations:
            violation_counts[violation.rule] += 1
            if violation_counts[violation.rule] <= MAX_PRINTED_PER_RULE:
                print(f"  {violation}")
        for rule, violation_count in violation_counts.items():
            print(f"  {rule}: {violation_count} in total")
        failed_seeds += bool(outcome.violations)
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(command(standalone_mode=False))
