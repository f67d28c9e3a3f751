"""Breadth-first exploration of three voters and two candidates, random executions beyond it, and injected faults."""

import subprocess
import sys
from typing import Any

import pytest

from checker import pure
from checker.quorum import Quorum, walk

from ..helpers import HANG_TIMEOUT_S

EXPLORED_STARTS: dict[str, dict[str, int]] = {"idle": {"lose": 1, "restart": 0}, "held": {"lose": 1, "restart": 1}}
RANDOM_EXECUTIONS: dict[str, dict[str, Any]] = {
    "two duties": {"lose": 8, "double": 2, "restart": 2, "anew": 1, "give": 3, "duties": ("x", "y")},
    "all": {"lose": 6, "double": 3, "restart": 4, "forget": 1, "anew": 2, "give": 2},
    "disks": {"lose": 2, "restart": 3, "forget": 1, "disk": 1, "anew": 1},
    "links": {"lose": 12, "double": 8, "restart": 0, "give": 3},
    "marks": {"lose": 5, "double": 4, "restart": 3, "anew": 2, "give": 4, "mark": 9},
}


@pytest.mark.parametrize("start", EXPLORED_STARTS)
def test_no_explored_order_allows_two_holders(start: str) -> None:
    result = pure.search(lambda: Quorum(start, **EXPLORED_STARTS[start]), 2500, settle_every=25)
    assert (result.broken, result.trace) == ([], [])
    assert result.states >= 2500 and result.fair_runs > 10


def test_exploration_is_deterministic() -> None:
    first, second = (pure.search(lambda: Quorum(lose=1, restart=1), 400) for _ in range(2))
    assert (first.levels, first.transitions, first.broken) == (second.levels, second.transitions, [])


@pytest.mark.parametrize("kind", RANDOM_EXECUTIONS)
def test_no_random_execution_allows_two_holders_and_each_ends_with_a_holder(kind: str) -> None:
    holds = 0
    for seed in range(250):
        trace, broken, held = walk(lambda: Quorum(**RANDOM_EXECUTIONS[kind]), seed, 150)
        assert broken == [], (seed, trace)
        holds += held
    assert holds > 250


def test_five_voters_of_which_two_lose_their_state() -> None:
    for seed in range(60):
        trace, broken, _ = walk(lambda: Quorum(voters=5, lose=4, double=2, restart=3, forget=2, anew=1), seed, 200)
        assert broken == [], (seed, trace)


def test_a_trace_is_replayed() -> None:
    trace, broken, _ = walk(lambda: Quorum(**RANDOM_EXECUTIONS["links"]), 3, 100)
    assert broken == [] and pure.replay(lambda: Quorum(**RANDOM_EXECUTIONS["links"]), trace) == []
    with pytest.raises(ValueError, match="can't happen there"):
        pure.replay(Quorum, ["99 a>v1 is lost"])


@pytest.mark.parametrize(
    ("fault", "start", "message"),
    [
        ("a lease is counted from the answer", "held", "both may work"),
        ("a grant is told before it lasts", "idle", "was held before"),
    ],
)
def test_random_executions_find_injected_faults(fault: str, start: str, message: str) -> None:
    code = (
        f"from checker import faults\nfaults.plant({fault!r})\nfrom checker.quorum import Quorum, walk\n"
        f"for seed in range(3000):\n"
        f"    _, broken, _ = walk(lambda: Quorum({start!r}, lose=4, double=2, restart=3, anew=2), seed, 150)\n"
        f"    if broken:\n        print(seed, broken)\n        break\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=HANG_TIMEOUT_S, check=True
    )
    assert message in done.stdout
