"""Every order for three voters and two candidates to a stated size, long walks beyond it, and faults that both
find."""

import subprocess
import sys
from typing import Any

import pytest

from checker import pure
from checker.quorum import Quorum, walk

from ..helpers import HANG_TIMEOUT_S

CASES: dict[str, dict[str, int]] = {"idle": {"lose": 1, "restart": 0}, "held": {"lose": 1, "restart": 1}}
WALKS: dict[str, dict[str, Any]] = {
    "two duties": {"lose": 8, "double": 2, "restart": 2, "anew": 1, "give": 3, "duties": ("x", "y")},
    "all": {"lose": 6, "double": 3, "restart": 4, "forget": 1, "anew": 2, "give": 2},
    "disks": {"lose": 2, "restart": 3, "forget": 1, "disk": 1, "anew": 1},
    "links": {"lose": 12, "double": 8, "restart": 0, "give": 3},
    "marks": {"lose": 5, "double": 4, "restart": 3, "anew": 2, "give": 4, "mark": 9},
}


@pytest.mark.parametrize("start", CASES)
def test_no_order_has_two_at_work(start: str) -> None:
    found = pure.search(lambda: Quorum(start, **CASES[start]), 2500, settle_every=25)
    assert (found.broken, found.story) == ([], [])
    assert found.states >= 2500 and found.settled > 10


def test_the_counts_are_the_same_each_time() -> None:
    first, second = (pure.search(lambda: Quorum(lose=1, restart=1), 400) for _ in range(2))
    assert (first.levels, first.transitions, first.broken) == (second.levels, second.transitions, [])


@pytest.mark.parametrize("kind", WALKS)
def test_no_long_story_has_two_at_work_and_each_ends_with_a_holder(kind: str) -> None:
    holds = 0
    for seed in range(250):
        story, broken, held = walk(lambda: Quorum(**WALKS[kind]), seed, 150)
        assert broken == [], (seed, story)
        holds += held
    assert holds > 250


def test_five_voters_two_of_which_forget() -> None:
    for seed in range(60):
        story, broken, _ = walk(lambda: Quorum(voters=5, lose=4, double=2, restart=3, forget=2, anew=1), seed, 200)
        assert broken == [], (seed, story)


def test_a_story_is_played_again() -> None:
    story, broken, _ = walk(lambda: Quorum(**WALKS["links"]), 3, 100)
    assert broken == [] and pure.replay(lambda: Quorum(**WALKS["links"]), story) == []
    with pytest.raises(ValueError, match="can't happen there"):
        pure.replay(Quorum, ["99 a>v1 is lost"])


@pytest.mark.parametrize(
    ("fault", "start", "said"),
    [
        ("a lease is counted from the answer", "held", "both may work"),
        ("a grant is told before it lasts", "idle", "was held before"),
    ],
)
def test_it_finds_planted_faults(fault: str, start: str, said: str) -> None:
    code = (
        f"from checker import faults\nfaults.plant({fault!r})\nfrom checker.quorum import Quorum, walk\n"
        f"for seed in range(3000):\n"
        f"    _, broken, _ = walk(lambda: Quorum({start!r}, lose=4, double=2, restart=3, anew=2), seed, 150)\n"
        f"    if broken:\n        print(seed, broken)\n        break\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=HANG_TIMEOUT_S, check=True
    )
    assert said in done.stdout
