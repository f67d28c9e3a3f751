"""Every order of events, breadth first: the same counts each time, nothing forgotten by the form, faults found."""

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


def test_every_order_to_a_depth_breaks_nothing() -> None:
    found = list(explore_exhaustively(2))
    assert [f.violations for f in found] == [[]] * len(found)
    assert sum(f.states for f in found) > 30_000 and sum(f.audited for f in found) > 300


def test_one_process_or_several_and_any_hash_seed_count_the_same() -> None:
    script = (
        "from checker.campaign import explore_exhaustively\nfrom tests.checker.test_levels import SMALL\n"
        "print([(f.levels, f.transitions, f.executions) for f in explore_exhaustively(1, SMALL)])"
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
        [(f.levels, f.transitions, f.executions) for f in explore_exhaustively(3, SMALL)]
    )


@pytest.mark.parametrize("case", [Case("daemon", ("unsafe", "keyed")), Case("library", ("keyed",))], ids=str)
def test_a_world_that_is_put_back_goes_on_as_a_new_one(case: Case, monkeypatch: pytest.MonkeyPatch) -> None:
    paths = _paths(case, 4)
    ours = expand(case, paths)

    class New:
        """A new world each time."""

        def __init__(self, world: World) -> None:
            self._world = world

        def restore(self) -> None:
            self._world.close()
            self._world.__init__(self._world.choose, case.interface, case.effects, 2, False)  # type: ignore[misc]

    monkeypatch.setattr(levels, "WorldSnapshot", New)
    assert expand(case, paths) == ours and not ours.violations


# Most of what decides shows in several parts of a form, so that one part alone is often not missed.
# The timers of a request and its dial are implied by their other parts; a probe's are not.
@pytest.mark.parametrize(
    ("forgotten", "case"),
    [
        ({9}, Case("library", ("unsafe",), Setting(load_report_polls=True))),
        ({1, 3}, Case("daemon", ("unsafe",))),
        ({5, 6}, Case("daemon", ("unsafe",))),
        ({0, 1, 4}, Case("daemon", ("unsafe",))),
    ],
    ids=["timers", "what the module knows", "connections", "requests"],
)
def test_a_form_that_forgets_something_is_found_out(
    forgotten: set[int], case: Case, monkeypatch: pytest.MonkeyPatch
) -> None:
    components = state._components
    monkeypatch.setattr(
        state,
        "_components",
        lambda world: tuple(part for at, part in enumerate(components(world)) if at not in forgotten),
    )
    monkeypatch.setattr(levels, "AUDIT_MODULUS", 1)
    found = search(case, 3)
    assert found.audit_failed and "different successors" in found.violations[0]


def test_what_breaks_by_a_second_way_alone_is_told(monkeypatch: pytest.MonkeyPatch) -> None:
    case, heard = Case("library", ("unsafe",)), [0, 10**9]

    def always(world: World) -> list[str]:
        heard[0] += 1
        return ["late"] if heard[0] > heard[1] else []

    monkeypatch.setattr(properties, "on_idle", always)
    path = _paths(case, 1)[0]
    heard[0] = 0
    assert audit(case, (path, path)) == "" and heard[0] > 4
    heard[:] = [0, heard[0] // 2 + 1]  # so often by the first way, and once by the second
    told = audit(case, (path, path))
    assert told.startswith("BROKEN: late; unsafe-0 is submitted")


def test_what_is_written_after_its_answer_is_found_by_the_shortest_way(monkeypatch: pytest.MonkeyPatch) -> None:
    """A dial that was overtaken carries its request all the same, and a deadline gives up nothing."""
    monkeypatch.setattr(Engine, "_abandon", lambda self, call: self._release_if_ended(call))
    monkeypatch.setattr(Connection, "_is_overtaken", lambda self, attempt: False)
    found: SearchResult = next(explore_exhaustively(1, [("daemon", ("unsafe",), 5)]))
    assert any("is sent while it is" in line for line in found.violations) and not found.closed
    assert replay("daemon", ("unsafe",), *found.trace) == found.violations
    monkeypatch.undo()
    with pytest.raises(AssertionError, match="event cannot occur here"):
        replay("daemon", ("unsafe",), *found.trace)  # its dial is given up, so it never comes up


def test_nothing_is_left_to_expand_where_nothing_is_asked() -> None:
    found = search(Case("daemon", ()))
    assert found.closed and found.states == 1


def test_a_draw_gives_every_set_that_its_chances_allow() -> None:
    choose, found = ExhaustiveScheduler([]), set()
    prefix: list[int] | None = []
    while prefix is not None:
        choose.restart(prefix)
        draws = ControlSetDraws(choose)
        chances = {"a": 1.0, "b": 0.5, "c": 0.0, "d": 0.01}
        found.add(tuple(draws.draw([["a", "b"], ["c", "d"]], str, chances.__getitem__)))
        prefix = levels._next_prefix(choose.choices, 0)
    assert found == {("a",), ("a", "b"), ("a", "d"), ("a", "b", "d")}
    empty = ControlSetDraws(TraceScheduler(["the draw yields no endpoint"]))
    assert [empty.draw([["b"]], str, lambda _: 0.5) for _ in range(3)] == [[], [], ["b"]]


def _paths(case: Case, depth: int) -> list[bytes]:
    """Some ways of so many events, each to a state of its own."""
    paths = [b""]
    for _ in range(depth):
        to = {
            form: path + last
            for path, follow in zip(paths, expand(case, paths).successors, strict=True)
            for form, last in follow
        }
        paths = sorted(to.values())[:: max(1, len(to) // 40)]
    return paths
