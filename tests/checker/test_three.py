"""Every order for three members, to a stated size; planted faults that it finds; stories that are played again."""

import subprocess
import sys

import pytest

from checker import pure, three

from ..helpers import HANG_TIMEOUT_S

CASES = {
    "met": dict(lose=2, double=1, restart=1),
    "apart": dict(lose=1, double=1, restart=0),
    "doubted": dict(lose=1, double=1, restart=0),
}


@pytest.mark.parametrize("start", CASES)
def test_no_order_breaks_anything(start: str) -> None:
    found = pure.search(lambda: three.Three(start=start, **CASES[start]), 1500)
    assert (found.broken, found.story) == ([], [])
    assert found.states >= 1500 and found.settled > 10


def test_the_counts_are_the_same_each_time() -> None:
    first, second = (pure.search(lambda: three.Three(lose=1, double=0, restart=0, leave=1), 300) for _ in range(2))
    assert (first.levels, first.transitions, first.broken) == (second.levels, second.transitions, [])


def test_a_story_is_played_again() -> None:
    assert pure.replay(three.Three, ["a's next timer", "c starts anew", "0 from a comes to c"], settle=True) == []
    with pytest.raises(ValueError, match="can't happen there"):
        pure.replay(three.Three, ["0 is lost"])


@pytest.mark.parametrize(
    ("fault", "start", "said"),
    [
        ("a word that one failed is obeyed at once", "apart", "without the least time to object"),
        ("a datagram counts as often as it comes", "met", "counted twice"),
        ("a refutation keeps its incarnation", "doubted", "in the end"),
    ],
)
def test_it_finds_planted_faults(fault: str, start: str, said: str) -> None:
    code = (
        f"from checker import faults\nfaults.plant({fault!r})\nfrom checker import pure, three\n"
        f"found = pure.search(lambda: three.Three(start={start!r}), 1500, settle_every=10)\n"
        "print(found.broken, found.story)"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=HANG_TIMEOUT_S, check=True
    )
    assert said in done.stdout
