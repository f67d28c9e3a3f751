"""`python -m rig`: run fault scenarios on real processes, repeat a run, and shrink one to the faults that matter."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path

import click
import msgspec
import uvloop

from . import scenarios
from .invariants import Verdict
from .run import run_scenario
from .scenarios import Scenario, ScenarioError

MAX_PRINTED_VIOLATIONS = 20


def _run(scenario: Scenario, seed: int, keep: Path | None, injected_fault: str = "-") -> Verdict:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run_scenario(scenario, seed, keep, injected_fault))


def _print_verdict(verdict: Verdict) -> int:
    """Print a verdict; return the exit status."""
    print(json.dumps(verdict.figures))
    for line in verdict.broken[:MAX_PRINTED_VIOLATIONS]:
        print(f"BROKEN {line}")
    print("all invariants held" if not verdict.broken else f"violations: {len(verdict.broken)}")
    return 1 if verdict.broken else 0


def _violated_rules(lines: list[str]) -> set[str]:
    """Return the rules of violations, the text before the colon."""
    return {line.partition(":")[0] for line in lines}


@click.group()
def rig() -> None:
    """Run fleets of real sidecar processes with faults injected from outside."""


@rig.command("list")
def list_scenarios() -> None:
    """List the bundled scenarios."""
    for path in sorted(scenarios.SCENARIO_FOLDER.glob("*.toml")):
        scenario = scenarios.load(path)
        print(f"{path.stem:24} {scenario.members:3} members  {scenario.description}")


KEEP_OPTION = click.option(
    "--keep", type=click.Path(path_type=Path), help="folder for the configurations, logs and history of the run"
)


@rig.command("play")
@click.argument("name", required=False)
@click.option("--seed", type=int, default=1, show_default=True, help="seed of the links, and of a drawn scenario")
@click.option("--members", type=click.IntRange(2, 200), help="number of sidecars, in place of the scenario's")
@click.option("--seconds", type=float, help="length of the faults in a drawn scenario")
@click.option(
    "--duties", "with_voters", is_flag=True, help="draw a scenario of five voters with disks and three others"
)
@click.option("--fault", "injected_fault", default="-", metavar="NAME", help="inject this fault of checker.faults")
@KEEP_OPTION
def play(
    name: str | None,
    seed: int,
    members: int | None,
    seconds: float | None,
    with_voters: bool,
    injected_fault: str,
    keep: Path | None,
) -> int:
    """Run a scenario: a file, the name of a bundled one, or without a name one drawn from the seed."""
    if name:
        scenario = scenarios.load(scenarios.find_file(name))
    elif with_voters:
        scenario = scenarios.draw_with_voters(seed, seconds=seconds or 8.0)
    else:
        scenario = scenarios.draw(seed, members or 7, seconds or 6.0)
    if members and not with_voters:
        scenario = msgspec.structs.replace(scenario, members=members)
    return _print_verdict(_run(scenario, seed, keep, injected_fault))


@rig.command("again")
@click.argument("folder", type=click.Path(path_type=Path, exists=True))
@KEEP_OPTION
def repeat(folder: Path, keep: Path | None) -> int:
    """Repeat the run of a kept folder, with the same scenario and seed and without an injected fault."""
    return _print_verdict(_run(scenarios.load(folder / "day.toml"), int((folder / "seed").read_text()), keep))


@rig.command("shrink")
@click.argument("folder", type=click.Path(path_type=Path, exists=True))
@click.option("--fault", "injected_fault", default="-", metavar="NAME", help="the fault injected into the kept run")
@click.option(
    "--tries",
    type=click.IntRange(1, 20),
    default=2,
    show_default=True,
    help="runs of a smaller scenario without the violation before its fault is kept",
)
def shrink(folder: Path, injected_fault: str, tries: int) -> int:
    """Remove each fault without which the same invariant is still violated; write the rest to shrunk.toml."""
    scenario, seed = scenarios.load(folder / "day.toml"), int((folder / "seed").read_text())
    wanted = _violated_rules(json.loads((folder / "verdict.json").read_text())["broken"])
    if not wanted:
        raise ScenarioError(f"{folder}: this run violated no invariant")
    i = 0
    while i < len(scenario.faults):
        smaller = msgspec.structs.replace(scenario, faults=scenario.faults[:i] + scenario.faults[i + 1 :])
        with tempfile.TemporaryDirectory(prefix="gr", dir="/tmp") as parent:
            verdicts = (_run(smaller, seed, Path(parent, str(n)), injected_fault) for n in range(tries))
            still_violated = any(_violated_rules(verdict.broken) & wanted for verdict in verdicts)
        outcome = "still violated" if still_violated else "no longer violated"
        print(f"without fault {i + 1} of {len(scenario.faults)}, {scenario.faults[i].kind}: {outcome}")
        if still_violated:
            scenario = smaller
        else:
            i += 1
    path = folder / "shrunk.toml"
    path.write_text(scenarios.to_toml(scenario))
    print(f"{path}: {len(scenario.faults)} faults")
    return 0


def main() -> int:
    """Run the command line; return the exit status: 1 for violations, 2 for an invalid scenario."""
    try:
        return int(rig.main(standalone_mode=False) or 0)
    except ScenarioError as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        return 2
    except click.ClickException as error:
        error.show(sys.stderr)
        return error.exit_code


if __name__ == "__main__":
    sys.exit(main())
