"""Scenarios of five voters, three other members and a worker beside each, with link, process and disk faults."""

import asyncio
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
import uvloop

from rig import scenarios
from rig.history import History
from rig.invariants import Verdict, check
from rig.run import run_scenario
from rig.scenarios import Scenario, ScenarioError

from ..helpers import HANG_TIMEOUT_S

ROOT = Path(__file__).parents[2]
SCENARIOS = sorted(p.stem for p in scenarios.SCENARIO_FOLDER.glob("duty-*.toml"))
CONCURRENT_RUNS = 4


@pytest.fixture(scope="module")
def verdicts() -> dict[str, Verdict]:
    slots = asyncio.Semaphore(CONCURRENT_RUNS)

    async def run_one(name: str) -> tuple[str, Verdict]:
        async with slots:
            return name, await run_scenario(scenarios.load(scenarios.find_file(name)), 1)

    async def run_all() -> dict[str, Verdict]:
        return dict(await asyncio.gather(*map(run_one, SCENARIOS)))

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run_all())


def test_at_least_a_dozen_scenarios_are_bundled() -> None:
    assert len(SCENARIOS) >= 12


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario_violates_no_invariant(verdicts: dict[str, Verdict], name: str) -> None:
    figures = verdicts[name].figures
    assert verdicts[name].broken == []
    assert figures["acts"] > 20 and figures["holds"] >= 2 and figures["requests"]["status 200"] > 20


def test_drawn_scenario_is_the_same_for_its_seed() -> None:
    assert scenarios.draw_with_voters(5) == scenarios.draw_with_voters(5) != scenarios.draw_with_voters(6)
    for seed in range(50):
        lossy = {f.targets for f in scenarios.draw_with_voters(seed).faults if f.kind in scenarios.DISK_FAULTS}
        assert len(lossy) <= 2


def test_injected_fault_violates_its_invariant(tmp_path: Path) -> None:
    """A voter grants a lease that is held, so that two workers write concurrently; the store records it."""
    shortened = msgspec.structs.replace(scenarios.load(scenarios.find_file("duty-calm")), settle_s=6.0, fault_s=3.0)
    path = tmp_path / "day.toml"
    path.write_text(scenarios.to_toml(shortened))
    done = subprocess.run(
        [sys.executable, "-m", "rig", "play", str(path), "--fault", "a duty that is held is granted to another"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=3 * HANG_TIMEOUT_S,
        check=False,
    )
    assert done.returncode == 1, done.stderr
    assert "BROKEN two lease holders" in done.stdout


# -- the invariant checks by themselves


def record(*events: dict[str, object]) -> History:
    history = History()
    for event in events:
        history.record(str(event["event"]), **{k: v for k, v in event.items() if k != "event"})
    return history


def write(writer: str, fence: int, taken: bool = True) -> dict[str, object]:
    return {"event": "act", "who": writer, "fence": fence, "taken": taken}


def lease(writer: str, fence: int, requested_at: float, granted_at: float) -> dict[str, object]:
    return {"event": "held", "who": writer, "fence": fence, "asked": requested_at, "got": granted_at}


GOOD = [
    lease("s1.4", 4, 0.0, 1.0),
    write("s1.4", 4),
    lease("s2.6", 6, 0.5, 2.0),
    write("s2.6", 6),
    {"event": "working"},
    {"event": "agreed"},
]


@pytest.mark.parametrize(
    ("added", "violation"),
    [
        ([], ""),
        ([write("s1.4", 4, taken=False)], ""),
        ([write("s1.4", 4, taken=False)] * 2, "two lease holders: s1.4"),
        ([write("s1.4", 4)], "writes out of order: s1.4 with fence 4 after 6"),
        ([write("s3.6", 6)], "writes out of order: s3.6 with fence 6"),
        ([lease("s3.5", 5, 2.5, 3.0)], "fences out of order: s2.6 was granted its fence before s3.5 requested"),
    ],
)
def test_check_reports_each_violation(added: list[dict[str, object]], violation: str) -> None:
    verdict = check(Scenario("x", voters=3), record(*GOOD, *added), {})
    assert (violation in " ".join(verdict.broken)) if violation else verdict.broken == []


def test_check_reports_that_no_lease_holder_is_left() -> None:
    assert "no lease holder" in check(Scenario("x", voters=3), record(*GOOD[:4], GOOD[5]), {}).broken[0]


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('name = "x"\nvoters = 2\n', "voters: expected an odd number"),
        ('name = "x"\n[[fault]]\nwhat = "disk-eio"\nat = 1.0\nwho = "s1"\n', "disk-eio needs a scenario with voters"),
        (
            'name = "x"\nvoters = 3\n[[fault]]\nwhat = "disk-eio"\nat = 1.0\nwho = "s7"\n',
            "disk faults need voters with disks",
        ),
        ('name = "x"\nvoters = 3\n[[fault]]\nwhat = "stop"\nat = 1.0\nwho = "holder"\n', "'holder' is not a member"),
    ],
)
def test_invalid_scenario_is_reported(text: str, message: str, tmp_path: Path) -> None:
    path = tmp_path / "day.toml"
    path.write_text(text)
    with pytest.raises(ScenarioError, match=message):
        scenarios.load(path)
