"""The exhaustive search: its counts are reproducible, the canonical state is complete, and it finds faults."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from checker import levels, properties, state
from checker.campaign import explore_exhaustively
from checker.explore import replay
from checker.levels import Case, SearchResult, audit, expand, search
from checker.scheduler import ControlSetDraws, ExhaustiveScheduler, TraceScheduler
from checker.world import Setting, World
from gateusher.core.engine import Engine
from gateusher.upstream.connection import Connection

ROOT = Path(__file__).parents[2]
SMALL = (("daemon", ("unsafe",), 4), ("library", ("keyed",), 3), ("library", ("unsafe", "safe"), 3))


def test_exhaustive_search_to_a_depth_finds_no_violation() -> None:
    results = list(explore_exhaustively(2))
    assert [r.violations for r in results] == [[]] * len(results)
    assert sum(r.states for r in results) > 30_000 and sum(r.audited for r in results) > 300


def test_counts_do_not_depend_on_process_count_or_hash_seed() -> None:
    script = (
        "from checker.campaign import explore_exhaustively\nfrom tests.checker.test_levels import SMALL\n"
        "print([(r.levels, r.transitions, r.executions) for r in explore_exhaustively(1, SMALL)])"
    )
    done = subprocess.run(
        [sys.executable, "-c", script],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "PYTHONHASHSEED": "7"},
    )
    assert done.stdout.strip() == str(
        [(r.levels, r.transitions, r.executions) for r in explore_exhaustively(3, SMALL)]
    )


@pytest.mark.parametrize("case", [Case("daemon", ("unsafe", "keyed")), Case("library", ("keyed",))], ids=str)
def test_restored_world_behaves_like_a_new_one(case: Case, monkeypatch: pytest.MonkeyPatch) -> None:
    paths = _paths(case, 4)
    ours = expand(case, paths)

    class NewWorld:
        """Creates a new world in place of restoring a snapshot."""

        def __init__(self, world: World) -> None:
            self._world = world

        def restore(self) -> None:
            self._world.close()
            self._world.__init__(self._world.choose, case.interface, case.effects, 2, False)  # type: ignore[misc]

    monkeypatch.setattr(levels, "WorldSnapshot", NewWorld)
    assert expand(case, paths) == ours and not ours.violations


# Most of the state is encoded in several components, so that the audit often misses the omission of a single one.
# The timers of a request and its dial are implied by the other components; those of a load report poll are not.
@pytest.mark.parametrize(
    ("omitted", "case"),
    [
        ({9}, Case("library", ("unsafe",), Setting(load_report_polls=True))),
        ({1, 3}, Case("daemon", ("unsafe",))),
        ({5, 6}, Case("daemon", ("unsafe",))),
        ({0, 1, 4}, Case("daemon", ("unsafe",))),
    ],
    ids=["timers", "policy", "connections", "requests"],
)
def test_audit_detects_an_incomplete_canonical_state(
    omitted: set[int], case: Case, monkeypatch: pytest.MonkeyPatch
) -> None:
    components = state._components
    monkeypatch.setattr(
        state,
        "_components",
        lambda world: tuple(c for index, c in enumerate(components(world)) if index not in omitted),
    )
    monkeypatch.setattr(levels, "AUDIT_MODULUS", 1)
    result = search(case, 3)
    assert result.audit_failed and "different successors" in result.violations[0]


def test_audit_reports_a_violation_of_the_second_path_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    case, calls = Case("library", ("unsafe",)), [0, 10**9]  # so far, and how many find no violation

    def on_idle(world: World) -> list[str]:
        calls[0] += 1
        return ["late"] if calls[0] > calls[1] else []

    monkeypatch.setattr(properties, "on_idle", on_idle)
    path = _paths(case, 1)[0]
    calls[0] = 0
    assert audit(case, (path, path)) == "" and calls[0] > 4
    calls[:] = [0, calls[0] // 2 + 1]  # only the second path exceeds the limit
    difference = audit(case, (path, path))
    assert difference.startswith("BROKEN: late; unsafe-0 is submitted")


def test_write_after_the_final_response_is_found_by_a_shortest_path(monkeypatch: pytest.MonkeyPatch) -> None:
    """With two faults: an abandoned dial still sends its request, and an expired deadline abandons no dial."""
    monkeypatch.setattr(Engine, "_abandon", lambda self, call: self._release_if_ended(call))
    monkeypatch.setattr(Connection, "_is_obsolete", lambda self, attempt: False)
    result: SearchResult = next(explore_exhaustively(1, [("daemon", ("unsafe",), 5)]))
    assert any("is sent while it is" in line for line in result.violations) and not result.closed
    assert replay("daemon", ("unsafe",), *result.trace) == result.violations
    monkeypatch.undo()
    with pytest.raises(AssertionError, match="event cannot occur here"):
        replay("daemon", ("unsafe",), *result.trace)  # the dial is abandoned and never established


def test_search_without_requests_is_closed() -> None:
    result = search(Case("daemon", ()))
    assert result.closed and result.states == 1


def test_draw_yields_every_set_with_a_nonzero_probability() -> None:
    choose, found = ExhaustiveScheduler([]), set()
    prefix: list[int] | None = []
    while prefix is not None:
        choose.restart(prefix)
        draws = ControlSetDraws(choose)
        probabilities = {"a": 1.0, "b": 0.5, "c": 0.0, "d": 0.01}
        found.add(tuple(draws.draw([["a", "b"], ["c", "d"]], str, probabilities.__getitem__)))
        prefix = levels._next_prefix(choose.choices, 0)
    assert found == {("a",), ("a", "b"), ("a", "d"), ("a", "b", "d")}
    empty = ControlSetDraws(TraceScheduler(["the draw yields no endpoint"]))
    assert [empty.draw([["b"]], str, lambda _: 0.5) for _ in range(3)] == [[], [], ["b"]]


def _paths(case: Case, depth: int) -> list[bytes]:
    """Return some paths of this many events, each to a different state."""
    paths = [b""]
    for _ in range(depth):
        states = {
            state: path + last
            for path, successors in zip(paths, expand(case, paths).successors, strict=True)
            for state, last in successors
        }
        paths = sorted(states.values())[:: max(1, len(states) // 40)]
    return paths
