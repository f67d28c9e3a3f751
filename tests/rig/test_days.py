"""Real processes through the days that come with the rig: each day holds, and a planted fault breaks its own."""

import asyncio
import json
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
import uvloop

from rig import days, judge
from rig.days import Day, DayError, Fault
from rig.history import History
from rig.judge import Verdict
from rig.world import play

from ..helpers import HANG_TIMEOUT_S

ROOT = Path(__file__).parents[2]
DAYS = sorted(p.stem for p in days.FOLDER.glob("*.toml") if not p.stem.startswith("duty-"))
TOGETHER = 9  # days that are played at once: they wait for most of their time


async def _all(names: list[str]) -> dict[str, Verdict]:
    gate = asyncio.Semaphore(TOGETHER)

    async def one(name: str) -> tuple[str, Verdict]:
        async with gate:
            return name, await play(days.load(days.find(name)), 1)

    return dict(await asyncio.gather(*(one(name) for name in names)))


@pytest.fixture(scope="module")
def verdicts() -> dict[str, Verdict]:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_all(DAYS))


def test_there_are_at_least_a_dozen_days() -> None:
    assert len(DAYS) >= 12


@pytest.mark.parametrize("name", DAYS)
def test_a_day_holds(verdicts: dict[str, Verdict], name: str) -> None:
    assert verdicts[name].broken == []
    assert verdicts[name].figures["requests"]["status 200"] > 20
    assert verdicts[name].figures["carried"] > 100


def test_a_day_that_is_drawn_holds_and_is_the_same_for_its_seed() -> None:
    assert days.drawn(5) == days.drawn(5) != days.drawn(6)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        verdict = runner.run(asyncio.wait_for(play(days.drawn(5, members=5, seconds=3.0), 5), 2 * HANG_TIMEOUT_S))
    assert verdict.broken == []


# -- a planted fault in every process, and the judge that sees it


@pytest.mark.parametrize(
    ("fault", "day", "what"),
    [
        ("a refutation keeps its incarnation", "long-stop", "views don't agree"),
        ("words of drains are not heeded", "drain", "requests go on coming to n2"),
    ],
)
def test_a_planted_fault_breaks_its_day(fault: str, day: str, what: str, tmp_path: Path) -> None:
    short = msgspec.structs.replace(days.load(days.find(day)), settle=6.0)  # what is broken never comes
    path = tmp_path / "day.toml"
    path.write_text(days.written(short))
    done = subprocess.run(
        [sys.executable, "-m", "rig", "play", str(path), "--fault", fault],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=3 * HANG_TIMEOUT_S,
        check=False,
    )
    assert done.returncode == 1, done.stderr
    assert f"BROKEN {what}" in done.stdout


# -- the judge by itself


def told(*events: dict[str, object]) -> History:
    history = History()
    for event in events:
        history.note(str(event["event"]), **{k: v for k, v in event.items() if k != "event"})
    return history


GOOD = [
    {"event": "asked", "rid": "s1-3-issue", "who": "s1"},
    {"event": "effect", "rid": "s1-3-issue", "node": "n1"},
    {"event": "answered", "rid": "s1-3-issue", "who": "s1", "status": 200, "right": True},
    {"event": "agreed"},
]


@pytest.mark.parametrize(
    ("more", "less", "said"),
    [
        ([], None, ""),
        ([{"event": "effect", "rid": "s1-3-issue", "node": "n2"}], None, "effect twice"),
        ([GOOD[2]], None, "2 final answers"),
        ([], 2, "0 final answers"),
        (
            [
                {"event": "asked", "rid": "s1-4-look", "who": "s1"},
                {"event": "lost", "rid": "s1-4-look", "who": "s1", "why": "no answer in time"},
            ],
            None,
            "no final answer",
        ),
        ([{"event": "ended", "who": "s2", "code": -11}], None, "s2 ended with -11"),
        ([], 3, "views don't agree"),
    ],
)
def test_the_judge_tells_each_broken_rule(more: list[dict[str, object]], less: int | None, said: str) -> None:
    events = [e for i, e in enumerate(GOOD) if i != less] + more
    verdict = judge.judge(Day("x"), told(*events), {"s1": ("", 30000)})
    assert (said in " ".join(verdict.broken)) if said else verdict.broken == []


def test_the_judge_tells_a_refusal_of_what_ran_another_answer_bytes_memory_and_tracebacks() -> None:
    refused = [GOOD[0], GOOD[1], {**GOOD[2], "status": 503}, GOOD[3]]
    assert "refused though it ran" in judge.judge(Day("x"), told(*refused), {}).broken[0]
    wrong = [GOOD[0], GOOD[1], {**GOOD[2], "right": False}, GOOD[3]]
    assert "another request's answer" in judge.judge(Day("x"), told(*wrong), {}).broken[0]
    history = told(*GOOD)
    history.datagram("s1", 10**6, False)
    assert "s1 sent 1000000 bytes" in judge.judge(Day("x"), history, {}).broken[0]
    assert "took" in judge.judge(Day("x"), told(*GOOD), {"s1": ("", 10**6)}).broken[0]
    assert "traceback" in judge.judge(Day("x"), told(*GOOD), {"s1": ("Traceback (most", 1)}).broken[0]


def test_words_of_a_drain_are_held_to_what_they_promise_and_to_no_more() -> None:
    day = Day("x", fault=[Fault("drain", 0.0, node="n1", told="s1")])
    history = told({"event": "told", "what": "drain", "node": "n1", "who": ["s1"]}, *GOOD, {"event": "whole"})
    assert "requests go on coming to n1" in judge.judge(day, history, {}).broken[0]
    history.events[-1]["t"] = 60.0  # the words faded long before the day was over
    assert judge.judge(day, history, {}).broken == []


def test_the_judge_tells_requests_past_a_drain() -> None:
    day = Day("x", fault=[Fault("drain", 0.0, node="n1", told="s1")])
    history = told(
        {"event": "told", "what": "drain", "node": "n1", "who": ["s1"]},
        *GOOD,
        {"event": "quiet", "node": "n1"},
        {"event": "arrived", "rid": "s1-9-look", "node": "n1"},
    )
    assert judge.judge(day, history, {}).broken == []
    history.events[-1]["t"] = 60.0
    assert "past its drain" in judge.judge(day, history, {}).broken[0]


# -- days as files


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ('name = "x"\n[[fault]]\nwhat = "cut"\nat = 1.0\nbetween = ["half"]\n', "two groups wanted"),
        ('name = "x"\n[[fault]]\nwhat = "stop"\nat = 1.0\nwho = "s9"\n', "'s9' is no member"),
        ('name = "x"\n[[fault]]\nwhat = "drain"\nat = 1.0\nnode = "n7"\n', "one of n1 to n3 wanted"),
        ('name = "x"\n[[fault]]\nwhat = "burn"\nat = 1.0\n', "burn"),
        ('name = "x"\nmember = 3\n', "member"),
        ("name = ", "Invalid value"),
    ],
)
def test_a_day_that_makes_no_sense_is_told(text: str, said: str, tmp_path: Path) -> None:
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
    assert done.returncode == 2 and said in done.stderr and "Traceback" not in done.stderr


def test_a_day_is_written_as_it_was_read(tmp_path: Path) -> None:
    for name in DAYS:
        day = days.load(days.find(name))
        path = tmp_path / "day.toml"
        path.write_text(days.written(day))
        assert days.load(path) == day
    with pytest.raises(DayError, match="did you mean 'killed'"):
        days.find("kiled")


def test_half_of_a_fleet_silent_for_a_minute_is_one_line(tmp_path: Path) -> None:
    path = tmp_path / "day.toml"
    path.write_text('name = "silent"\nfault = [{what = "cut", at = 1.0, for = 60.0, between = ["half", "rest"]}]\n')
    (fault,) = days.load(path).fault
    assert days.group(fault.between[0], 7) == ["s1", "s2", "s3"] and fault.lasts == 60.0


def test_a_kept_day_is_played_again_and_shrinks_to_the_faults_that_matter(tmp_path: Path) -> None:
    day = days.parse(
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
    path.write_text(days.written(day))
    words = [sys.executable, "-m", "rig"]
    fault = ["--fault", "a refutation keeps its incarnation"]

    def rig(*more: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [*words, *more], cwd=ROOT, capture_output=True, text=True, timeout=3 * HANG_TIMEOUT_S, check=False
        )

    kept = tmp_path / "kept"
    assert rig("play", str(path), "--keep", str(kept), *fault).returncode == 1
    assert json.loads((kept / "verdict.json").read_text())["broken"]
    assert rig("again", str(kept)).returncode == 0  # without the fault it holds
    done = rig("shrink", str(kept), *fault, "--tries", "1")
    assert done.returncode == 0, done.stdout + done.stderr
    (left,) = days.load(kept / "shrunk.toml").fault
    assert left.what == "stop"
