"""Five voters, three others and a worker beside each, through days of faults of links, processes and disks."""

import asyncio
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
import uvloop

from rig import days, judge
from rig.days import Day, DayError
from rig.history import History
from rig.judge import Verdict
from rig.world import play

from ..helpers import HANG_TIMEOUT_S

ROOT = Path(__file__).parents[2]
DAYS = sorted(p.stem for p in days.FOLDER.glob("duty-*.toml"))
TOGETHER = 4


@pytest.fixture(scope="module")
def verdicts() -> dict[str, Verdict]:
    gate = asyncio.Semaphore(TOGETHER)

    async def one(name: str) -> tuple[str, Verdict]:
        async with gate:
            return name, await play(days.load(days.find(name)), 1)

    async def every() -> dict[str, Verdict]:
        return dict(await asyncio.gather(*map(one, DAYS)))

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(every())


def test_there_are_at_least_a_dozen_days() -> None:
    assert len(DAYS) >= 12


@pytest.mark.parametrize("name", DAYS)
def test_a_day_holds(verdicts: dict[str, Verdict], name: str) -> None:
    figures = verdicts[name].figures
    assert verdicts[name].broken == []
    assert figures["acts"] > 20 and figures["holds"] >= 2 and figures["requests"]["status 200"] > 20


def test_a_day_that_is_drawn_is_the_same_for_its_seed() -> None:
    assert days.drawn_duties(5) == days.drawn_duties(5) != days.drawn_duties(6)
    for seed in range(50):
        lossy = {f.who for f in days.drawn_duties(seed).fault if f.what in days.DISK}
        assert len(lossy) <= 2


def test_a_planted_fault_breaks_its_day(tmp_path: Path) -> None:
    """A voter that grants what is held: two act beside each other, and the store sees it."""
    short = msgspec.structs.replace(days.load(days.find("duty-calm")), settle=6.0, seconds=3.0)
    path = tmp_path / "day.toml"
    path.write_text(days.written(short))
    done = subprocess.run(
        [sys.executable, "-m", "rig", "play", str(path), "--fault", "a duty that is held is granted to another"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=3 * HANG_TIMEOUT_S,
        check=False,
    )
    assert done.returncode == 1, done.stderr
    assert "BROKEN two at work" in done.stdout


# -- the judge by itself


def told(*events: dict[str, object]) -> History:
    history = History()
    for event in events:
        history.note(str(event["event"]), **{k: v for k, v in event.items() if k != "event"})
    return history


def act(who: str, fence: int, taken: bool = True) -> dict[str, object]:
    return {"event": "act", "who": who, "fence": fence, "taken": taken}


def held(who: str, fence: int, asked: float, got: float) -> dict[str, object]:
    return {"event": "held", "who": who, "fence": fence, "asked": asked, "got": got}


GOOD = [
    held("s1.4", 4, 0.0, 1.0),
    act("s1.4", 4),
    held("s2.6", 6, 0.5, 2.0),
    act("s2.6", 6),
    {"event": "working"},
    {"event": "agreed"},
]


@pytest.mark.parametrize(
    ("more", "said"),
    [
        ([], ""),
        ([act("s1.4", 4, taken=False)], ""),
        ([act("s1.4", 4, taken=False)] * 2, "two at work: s1.4"),
        ([act("s1.4", 4)], "acts out of order: s1.4 under 4 after 6"),
        ([act("s3.6", 6)], "acts out of order: s3.6 under 6"),
        ([held("s3.5", 5, 2.5, 3.0)], "fences out of order: s2.6 had its own before s3.5 asked"),
    ],
)
def test_the_judge_tells_each_broken_rule(more: list[dict[str, object]], said: str) -> None:
    verdict = judge.judge(Day("x", voters=3), told(*GOOD, *more), {})
    assert (said in " ".join(verdict.broken)) if said else verdict.broken == []


def test_the_judge_tells_that_nobody_holds_it_in_the_end() -> None:
    assert "nobody holds" in judge.judge(Day("x", voters=3), told(*GOOD[:4], GOOD[5]), {}).broken[0]


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ('name = "x"\nvoters = 2\n', "voters: an odd number"),
        ('name = "x"\n[[fault]]\nwhat = "disk-eio"\nat = 1.0\nwho = "s1"\n', "disk-eio needs a day with voters"),
        ('name = "x"\nvoters = 3\n[[fault]]\nwhat = "disk-eio"\nat = 1.0\nwho = "s7"\n', "only voters with disks"),
        ('name = "x"\nvoters = 3\n[[fault]]\nwhat = "stop"\nat = 1.0\nwho = "holder"\n', "'holder' is no member"),
    ],
)
def test_a_day_that_makes_no_sense_is_told(text: str, said: str, tmp_path: Path) -> None:
    path = tmp_path / "day.toml"
    path.write_text(text)
    with pytest.raises(DayError, match=said):
        days.load(path)
