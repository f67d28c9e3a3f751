"""The bundled scenarios on real processes: every invariant holds, and an injected fault violates its own."""

import asyncio
import json
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
import uvloop

from rig import scenarios
from rig.history import History
from rig.invariants import QUIET_S, Verdict, check, endpoint_is_quiet
from rig.run import run_scenario
from rig.scenarios import Fault, Scenario, ScenarioError

from ..helpers import HANG_TIMEOUT_S

ROOT = Path(__file__).parents[2]
SCENARIOS = sorted(p.stem for p in scenarios.SCENARIO_FOLDER.glob("*.toml") if not p.stem.startswith("duty-"))
CONCURRENT_RUNS = 4  # at once; more delay each other beyond the deadlines of their requests


async def _run_all(names: list[str]) -> dict[str, Verdict]:
    slots = asyncio.Semaphore(CONCURRENT_RUNS)

    async def run_one(name: str) -> tuple[str, Verdict]:
        async with slots:
            return name, await run_scenario(scenarios.load(scenarios.find_file(name)), 1)

    return dict(await asyncio.gather(*(run_one(name) for name in names)))


@pytest.fixture(scope="module")
def verdicts() -> dict[str, Verdict]:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_run_all(SCENARIOS))


def test_at_least_a_dozen_scenarios_are_bundled() -> None:
    assert len(SCENARIOS) >= 12


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario_violates_no_invariant(verdicts: dict[str, Verdict], name: str) -> None:
    assert verdicts[name].broken == []
    assert verdicts[name].figures["requests"]["status 200"] > 20
    assert verdicts[name].figures["carried"] > 100


def test_drawn_scenario_violates_no_invariant_and_is_the_same_for_its_seed() -> None:
    assert scenarios.draw(5) == scenarios.draw(5) != scenarios.draw(6)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        verdict = runner.run(
            asyncio.wait_for(run_scenario(scenarios.draw(5, members=5, seconds=3.0), 5), 2 * HANG_TIMEOUT_S)
        )
    assert verdict.broken == []


# -- a fault injected into every process, which the invariant checks detect


@pytest.mark.parametrize(
    ("fault", "scenario", "violation"),
    [
        ("a refutation keeps its incarnation", "long-stop", "views don't agree"),
        ("words of drains are not heeded", "drain", "requests still reach n2"),
    ],
)
def test_injected_fault_violates_its_invariant(fault: str, scenario: str, violation: str, tmp_path: Path) -> None:
    # With the fault the fleet never settles, however long the run waits.
    shortened = msgspec.structs.replace(scenarios.load(scenarios.find_file(scenario)), settle_s=6.0)
    path = tmp_path / "day.toml"
    path.write_text(scenarios.to_toml(shortened))
    done = subprocess.run(
        [sys.executable, "-m", "rig", "play", str(path), "--fault", fault],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=3 * HANG_TIMEOUT_S,
        check=False,
    )
    assert done.returncode == 1, done.stderr
    assert f"BROKEN {violation}" in done.stdout


# -- the invariant checks by themselves


def record(*events: dict[str, object]) -> History:
    history = History()
    for event in events:
        history.record(str(event["event"]), **{k: v for k, v in event.items() if k != "event"})
    return history


GOOD = [
    {"event": "asked", "rid": "s1-3-issue", "who": "s1"},
    {"event": "effect", "rid": "s1-3-issue", "node": "n1"},
    {"event": "answered", "rid": "s1-3-issue", "who": "s1", "status": 200, "right": True},
    {"event": "agreed"},
]


@pytest.mark.parametrize(
    ("added", "removed", "violation"),
    [
        ([], None, ""),
        ([{"event": "effect", "rid": "s1-3-issue", "node": "n2"}], None, "executed more than once"),
        ([GOOD[2]], None, "2 final responses"),
        ([], 2, "0 final responses"),
        (
            [
                {"event": "asked", "rid": "s1-4-look", "who": "s1"},
                {"event": "lost", "rid": "s1-4-look", "who": "s1", "why": "no answer in time"},
            ],
            None,
            "no final response",
        ),
        ([{"event": "ended", "who": "s2", "code": -11}], None, "s2 exited with status -11"),
        ([], 3, "views don't agree"),
    ],
)
def test_check_reports_each_violation(added: list[dict[str, object]], removed: int | None, violation: str) -> None:
    events = [e for i, e in enumerate(GOOD) if i != removed] + added
    verdict = check(Scenario("x"), record(*events), {"s1": ("", 30000)})
    assert (violation in " ".join(verdict.broken)) if violation else verdict.broken == []


def test_check_reports_executed_rejection_wrong_response_bytes_memory_and_traceback() -> None:
    rejected = [GOOD[0], GOOD[1], {**GOOD[2], "status": 503}, GOOD[3]]
    assert "rejected but executed" in check(Scenario("x"), record(*rejected), {}).broken[0]
    wrong = [GOOD[0], GOOD[1], {**GOOD[2], "right": False}, GOOD[3]]
    assert "response of another request" in check(Scenario("x"), record(*wrong), {}).broken[0]
    history = record(*GOOD)
    history.count_datagram("s1", 10**6, False)
    assert "s1 sent 1000000 bytes" in check(Scenario("x"), history, {}).broken[0]
    assert "s1 used 1000000 kB" in check(Scenario("x"), record(*GOOD), {"s1": ("", 10**6)}).broken[0]
    assert "traceback" in check(Scenario("x"), record(*GOOD), {"s1": ("Traceback (most", 1)}).broken[0]


def test_drain_hints_bind_for_their_lifetime_only() -> None:
    scenario = Scenario("x", faults=[Fault("drain", 0.0, node="n1", notified="s1")])
    history = record({"event": "told", "what": "drain", "node": "n1", "who": ["s1"]}, *GOOD, {"event": "whole"})
    assert "requests still reach n1" in check(scenario, history, {}).broken[0]
    history.events[-1]["t"] = 60.0  # the hints expired long before the faults ended
    assert check(scenario, history, {}).broken == []


@pytest.mark.parametrize(
    ("last_arrival_ago_s", "responding", "since_ago_s", "quiet"),
    [
        (QUIET_S + 1.0, ["s1", "s2"], QUIET_S + 1.0, True),
        (1.4, ["s1", "s2"], QUIET_S + 1.0, False),  # members that still use the endpoint may pick others for so long
        (QUIET_S + 1.0, ["s1"], QUIET_S + 1.0, False),
        (QUIET_S + 1.0, ["s1", "s2"], QUIET_S - 1.0, False),
    ],
)
def test_an_endpoint_is_quiet_after_a_long_time_without_requests(
    last_arrival_ago_s: float, responding: list[str], since_ago_s: float, quiet: bool
) -> None:
    history = record({"event": "arrived", "rid": "s1-9-look", "node": "n1"})
    history.started_at -= 60.0
    history.events[0]["t"] = history.now() - last_arrival_ago_s
    for member in responding:
        history.record("answered", rid=f"{member}-10-look", who=member, status=200, right=True)
    assert endpoint_is_quiet(history, "n1", ["s1", "s2"], history.now() - since_ago_s) is quiet


def test_check_reports_requests_after_a_drain() -> None:
    scenario = Scenario("x", faults=[Fault("drain", 0.0, node="n1", notified="s1")])
    history = record(
        {"event": "told", "what": "drain", "node": "n1", "who": ["s1"]},
        *GOOD,
        {"event": "quiet", "node": "n1"},
        {"event": "arrived", "rid": "s1-9-look", "node": "n1"},
    )
    assert check(scenario, history, {}).broken == []
    history.events[-1]["t"] = 60.0
    assert "request after drain" in check(scenario, history, {}).broken[0]


# -- scenario files


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('name = "x"\n[[fault]]\nwhat = "cut"\nat = 1.0\nbetween = ["half"]\n', "expected two groups"),
        ('name = "x"\n[[fault]]\nwhat = "stop"\nat = 1.0\nwho = "s9"\n', "'s9' is not a member"),
        ('name = "x"\n[[fault]]\nwhat = "drain"\nat = 1.0\nnode = "n7"\n', "expected one of n1 to n3"),
        ('name = "x"\n[[fault]]\nwhat = "burn"\nat = 1.0\n', "burn"),
        ('name = "x"\nmember = 3\n', "member"),
        ("name = ", "Invalid value"),
    ],
)
def test_invalid_scenario_is_reported(text: str, message: str, tmp_path: Path) -> None:
    path = tmp_path / "day.toml"
    path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "rig", "play", str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=HANG_TIMEOUT_S,
        check=False,
    )
    assert done.returncode == 2 and message in done.stderr and "Traceback" not in done.stderr


def test_scenario_survives_a_round_trip(tmp_path: Path) -> None:
    for name in SCENARIOS:
        scenario = scenarios.load(scenarios.find_file(name))
        path = tmp_path / "day.toml"
        path.write_text(scenarios.to_toml(scenario))
        assert scenarios.load(path) == scenario
    with pytest.raises(ScenarioError, match="did you mean 'killed'"):
        scenarios.find_file("kiled")


def test_cut_between_halves_for_a_minute_is_one_line(tmp_path: Path) -> None:
    path = tmp_path / "day.toml"
    path.write_text('name = "silent"\nfault = [{what = "cut", at = 1.0, for = 60.0, between = ["half", "rest"]}]\n')
    (fault,) = scenarios.load(path).faults
    assert scenarios.resolve_group(fault.between[0], 7) == ["s1", "s2", "s3"] and fault.duration_s == 60.0


def test_kept_run_is_repeated_and_shrinks_to_the_faults_that_matter(tmp_path: Path) -> None:
    scenario = scenarios.parse(
        {
            "name": "both",
            "members": 3,
            "nodes": 1,
            "rate": 5.0,
            "seconds": 5.0,
            "settle": 4.0,
            "fault": [
                {"what": "loss", "at": 0.1, "for": 0.2, "share": 0.1, "between": ["s1", "s2"]},
                {"what": "stop", "at": 0.1, "for": 4.5, "who": "s2"},
            ],
        }
    )
    path = tmp_path / "day.toml"
    path.write_text(scenarios.to_toml(scenario))
    command = [sys.executable, "-m", "rig"]
    fault = ["--fault", "a refutation keeps its incarnation"]

    def rig(*arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [*command, *arguments], cwd=ROOT, capture_output=True, text=True, timeout=3 * HANG_TIMEOUT_S, check=False
        )

    kept = tmp_path / "kept"
    assert rig("play", str(path), "--keep", str(kept), *fault).returncode == 1
    assert json.loads((kept / "verdict.json").read_text())["broken"]
    assert rig("again", str(kept)).returncode == 0  # no violation without the injected fault
    done = rig("shrink", str(kept), *fault, "--tries", "1")
    assert done.returncode == 0, done.stdout + done.stderr
    (left,) = scenarios.load(kept / "shrunk.toml").faults
    assert left.kind == "stop"


@pytest.mark.parametrize(
    "line",
    [
        "gateusher: invariant violated: an unsafe request that may have run was to be sent again: request 'x1'",
        "gateusher: illegal transition: request: 'CONCLUDE' in state 'ANSWERED'",
        "gateusher: TimerFired could not be handled: ValueError",
    ],
)
def test_check_reports_a_fault_logged_without_a_traceback(line: str) -> None:
    log = f"gateusher: ready\n{line}\n" + "gateusher: list: a line that is no fault\n" * 50
    (violation,) = check(Scenario("x"), record(*GOOD), {"s1": (log, 1)}).broken
    assert violation.startswith("s1 logged a fault: ") and line in violation
    assert check(Scenario("x"), record(*GOOD), {"s1": (log.replace(line, "gateusher: stopped"), 1)}).broken == []
