"""The explorer finds nothing in the program, reaches every move of the tables, and finds what is planted."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from checker.__main__ import hunt
from checker.explore import Explorer, play, shorten
from checker.mutants import MUTANTS
from checker.tables import unreached

ROOT = Path(__file__).parents[2]


def test_nothing_is_broken_and_every_move_of_the_tables_is_made() -> None:
    found = hunt()
    assert "story" not in found, "\n".join([*found.get("story", ()), *found.get("broken", ())])
    assert found["states"] > 600 and found["executions"] > 40_000
    assert unreached({tuple(move) for move in found["moves"]}) == []


def test_the_same_is_explored_each_time() -> None:
    first, second = (Explorer("daemon", ("unsafe",), 4).run() for _ in range(2))
    assert first.closed and second.closed
    assert (first.states, first.transitions, first.executions) == (
        second.states, second.transitions, second.executions)


@pytest.mark.parametrize("number", range(0, len(MUTANTS), 3), ids=lambda n: MUTANTS[n].what)
def test_a_planted_fault_is_found(number: int) -> None:
    done = subprocess.run([sys.executable, "-m", "checker", "mutant", str(number)], cwd=ROOT, capture_output=True,
                          text=True)
    assert done.returncode == 0, done.stderr[-500:]
    found = json.loads(done.stdout.splitlines()[-1])
    assert found["story"] and found["broken"]


def test_a_counterexample_is_shortened_and_played_again(tmp_path: Path) -> None:
    """By a fault that is planted by hand: an answer that is told to nobody."""
    script = (
        "import sys, json\n"
        "from checker.mutants import MUTANTS, plant\n"
        "plant(next(m for m in MUTANTS if m.what == 'an id is never free again'))\n"
        "from checker.explore import Explorer, play, shorten\n"
        "report = Explorer('library', ('unsafe',), 10).walk(50)\n"
        "short = shorten('library', ('unsafe',), report.story)\n"
        "assert play('library', ('unsafe',), *short.story) == short.failure\n"
        "print(json.dumps([len(report.story), short.story, short.failure]))\n")
    done = subprocess.run([sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, check=True)
    before, story, failure = json.loads(done.stdout.splitlines()[-1])
    assert 0 < len(story) <= before
    assert any("ids held at rest" in line for line in failure)
    # In the program as it is, the same story breaks nothing.
    assert play("library", ("unsafe",), *story) == []
    path = tmp_path / "found.json"
    path.write_text(json.dumps({"face": "library", "effects": ["unsafe"], "story": story, "broken": failure}))
    replayed = subprocess.run([sys.executable, "-m", "checker", "replay", str(path)], cwd=ROOT, capture_output=True,
                              text=True)
    assert replayed.returncode == 0 and "nothing is broken any more" in replayed.stdout


def test_a_story_that_cannot_happen_is_no_proof() -> None:
    with pytest.raises(AssertionError, match="can't happen here"):
        play("library", ("unsafe",), "unsafe-0 comes", "the moon rises", "time passes to the next timer")
    assert shorten("library", ("unsafe",), ["unsafe-0 comes"]).failure == []
