"""Breadth-first exploration of three members up to a number of states, injected faults, and replay of traces."""

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
def test_exploration_finds_no_violation(start: str) -> None:
    result = pure.search(lambda: three.Three(start=start, **CASES[start]), 1500)
    assert (result.broken, result.trace) == ([], [])
    assert result.states >= 1500 and result.fair_runs > 10


def test_exploration_is_deterministic() -> None:
    first, second = (pure.search(lambda: three.Three(lose=1, double=0, restart=0, leave=1), 300) for _ in range(2))
    assert (first.levels, first.transitions, first.broken) == (second.levels, second.transitions, [])


def test_trace_is_replayed() -> None:
    assert pure.replay(three.Three, ["a's next timer", "c starts anew", "0 from a comes to c"], settle=True) == []
    with pytest.raises(ValueError, match="can't happen there"):
        pure.replay(three.Three, ["0 is lost"])


@pytest.mark.parametrize(
    ("fault", "start", "message"),
    [
        ("a word that one failed is obeyed at once", "apart", "without the least time to object"),
        ("a datagram counts as often as it comes", "met", "counted twice"),
        ("a refutation keeps its incarnation", "doubted", "in the end"),
    ],
)
def test_exploration_finds_injected_faults(fault: str, start: str, message: str) -> None:
    code = (
        f"from checker import faults\nfaults.plant({fault!r})\nfrom checker import pure, three\n"
        f"result = pure.search(lambda: three.Three(start={start!r}), 1500, settle_every=10)\n"
        "print(result.broken, result.trace)"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=HANG_TIMEOUT_S, check=True
    )
    assert message in done.stdout
