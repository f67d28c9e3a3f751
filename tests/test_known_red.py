"""The list of known failures: what it passes over, what it prints, and that its verdict is the same every time."""

import subprocess
import sys
from pathlib import Path

import pytest

from .helpers import HANG_TIMEOUT_S
from .known_red import main, read

ROOT = Path(__file__).parents[1]
TESTS = """import pytest

@pytest.fixture
def broken():
    raise OSError("no")

def test_red(): assert False
def test_red_too(): assert False
def test_error(broken): pass
def test_green(): pass
@pytest.mark.parametrize("n", [1, 2])
def test_each(n): assert n == 1
"""
RED = "test_it.py::test_red | pytest -k red | it is broken | issue 1\n"


@pytest.fixture
def place(tmp_path: Path) -> Path:
    (tmp_path / "pyproject.toml").write_text("[tool.pytest.ini_options]\n")
    (tmp_path / "test_it.py").write_text(TESTS)
    return tmp_path


def play(place: Path, lines: str, *words: str) -> tuple[int, str]:
    (place / "KNOWN-RED.txt").write_text(lines)
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "pytest",
            "-q",
            "-p",
            "tests.known_red",
            "-p",
            "no:cacheprovider",
            "--rootdir",
            str(place),
            *words,
        ],
        cwd=place,
        capture_output=True,
        text=True,
        check=False,
        timeout=HANG_TIMEOUT_S,
        env={"PYTHONPATH": str(ROOT), "PATH": ""},
    )
    return done.returncode, done.stdout + done.stderr


@pytest.mark.parametrize("workers", [(), ("-n", "2")], ids=["one process", "two workers"])
def test_just_those_that_are_listed_are_passed_over(place: Path, workers: tuple[str, ...]) -> None:
    few = ("-k", "red or green or error", *workers)
    listed = (
        RED
        + "# said\n\ntest_it.py::test_red_too | seed 7 | so is this | issue 2\n"
        + "test_it.py::test_error | any | set up | 3\n"
    )
    code, out = play(place, listed, *few)
    assert code == 0, out
    assert "KNOWN RED: test_it.py::test_red: it is broken (issue 1; pytest -k red)" in out
    assert "KNOWN RED: test_it.py::test_red_too: so is this (issue 2; seed 7)" in out
    assert "KNOWN RED: test_it.py::test_error: set up (3; any)" in out
    code, out = play(place, RED, *few)
    assert code == 1 and "FAILED test_it.py::test_red_too" in out and "FAILED test_it.py::test_red -" not in out
    assert play(place, RED, "-k", "red or green", *workers)[0] == 1


def test_one_of_several_cases_is_listed_by_its_full_name(place: Path) -> None:
    assert play(place, "test_it.py::test_each[2] | any | two | 1\n", "-k", "each")[0] == 0
    assert play(place, "test_it.py::test_each[1] | any | two | 1\n", "-k", "each")[0] == 1


def test_one_that_passes_is_told_and_the_verdict_is_the_same(place: Path) -> None:
    code, out = play(place, "test_it.py::test_green | any | was broken | issue 1\n", "-k", "green")
    assert code == 0
    assert "KNOWN RED passes now, take it off: test_it.py::test_green: was broken (issue 1; any)" in out


def test_any_number_may_be_listed_and_exactly_those_are_passed_over(place: Path) -> None:
    names = ("red", "red_too", "error", "green", "each[1]")
    lines = "".join(f"test_it.py::test_{name} | any | broken | 1\n" for name in names)
    code, out = play(place, lines)
    assert code == 1 and "FAILED test_it.py::test_each[2]" in out and "1 failed" in out
    assert play(place, lines + "test_it.py::test_each[2] | any | broken | 1\n")[0] == 0


@pytest.mark.parametrize(
    "line",
    [
        "test_it.py::test_red",
        "test_it.py::test_red | cause",
        "test_it.py::test_red | cause | 1",
        "test_it.py | any | c | 1",
        "test_it.py::test_red | | c | 1",
        "test_it.py::test_red | any | | 1",
        "test_it.py::test_red | any | c |",
        RED + RED,
    ],
)
def test_a_line_that_cannot_be_read_fails_the_run(place: Path, line: str) -> None:
    code, out = play(place, line)
    assert code != 0 and "KNOWN-RED.txt, line" in out


def test_a_name_that_no_test_has_is_told(place: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (place / "KNOWN-RED.txt").write_text(RED)
    assert main(place) == 0 and capsys.readouterr().out == ""
    (place / "KNOWN-RED.txt").write_text(
        RED + "test_it.py::test_none | any | gone | 1\ntest_no.py::test_red | any | gone | 1\n"
    )
    assert main(place) == 1
    out = capsys.readouterr().out
    assert "test_it.py::test_none" in out and "test_no.py::test_red" in out and "test_it.py::test_red\n" not in out
    (place / "KNOWN-RED.txt").write_text("nonsense\n")
    assert main(place) == 1


def test_without_a_file_nothing_is_known(tmp_path: Path) -> None:
    assert read(tmp_path) == {} and main(tmp_path) == 0


def test_ours_can_be_read() -> None:
    assert all(entry.command and entry.symptom and entry.issue for entry in read(ROOT).values())
