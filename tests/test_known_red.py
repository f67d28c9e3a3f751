"""Tests of the known-failures plugin: which tests it excuses, what it prints and its exit codes."""

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
def project(tmp_path: Path) -> Path:
    (tmp_path / "pyproject.toml").write_text("[tool.pytest.ini_options]\n")
    (tmp_path / "test_it.py").write_text(TESTS)
    return tmp_path


def run_pytest(project: Path, lines: str, *arguments: str) -> tuple[int, str]:
    (project / "KNOWN-RED.txt").write_text(lines)
    completed = subprocess.run(
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
            str(project),
            *arguments,
        ],
        cwd=project,
        capture_output=True,
        text=True,
        check=False,
        timeout=HANG_TIMEOUT_S,
        env={"PYTHONPATH": str(ROOT), "PATH": ""},
    )
    return completed.returncode, completed.stdout + completed.stderr


@pytest.mark.parametrize("workers", [(), ("-n", "2")], ids=["one process", "two workers"])
def test_only_listed_tests_are_excused(project: Path, workers: tuple[str, ...]) -> None:
    selection = ("-k", "red or green or error", *workers)
    entries = (
        RED
        + "# comment\n\ntest_it.py::test_red_too | seed 7 | so is this | issue 2\n"
        + "test_it.py::test_error | any | set up | 3\n"
    )
    code, out = run_pytest(project, entries, *selection)
    assert code == 0, out
    assert "KNOWN RED: test_it.py::test_red: it is broken (issue 1; pytest -k red)" in out
    assert "KNOWN RED: test_it.py::test_red_too: so is this (issue 2; seed 7)" in out
    assert "KNOWN RED: test_it.py::test_error: set up (3; any)" in out
    code, out = run_pytest(project, RED, *selection)
    assert code == 1 and "FAILED test_it.py::test_red_too" in out and "FAILED test_it.py::test_red -" not in out
    assert run_pytest(project, RED, "-k", "red or green", *workers)[0] == 1


def test_parametrized_case_is_listed_by_its_node_id(project: Path) -> None:
    assert run_pytest(project, "test_it.py::test_each[2] | any | two | 1\n", "-k", "each")[0] == 0
    assert run_pytest(project, "test_it.py::test_each[1] | any | two | 1\n", "-k", "each")[0] == 1


def test_listed_test_that_passes_is_reported_and_the_exit_code_is_unchanged(project: Path) -> None:
    code, out = run_pytest(project, "test_it.py::test_green | any | was broken | issue 1\n", "-k", "green")
    assert code == 0
    assert "KNOWN RED passes now, take it off: test_it.py::test_green: was broken (issue 1; any)" in out


def test_several_listed_tests_are_excused_and_no_others(project: Path) -> None:
    names = ("red", "red_too", "error", "green", "each[1]")
    lines = "".join(f"test_it.py::test_{name} | any | broken | 1\n" for name in names)
    code, out = run_pytest(project, lines)
    assert code == 1 and "FAILED test_it.py::test_each[2]" in out and "1 failed" in out
    assert run_pytest(project, lines + "test_it.py::test_each[2] | any | broken | 1\n")[0] == 0


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
def test_malformed_line_fails_the_run(project: Path, line: str) -> None:
    code, out = run_pytest(project, line)
    assert code != 0 and "KNOWN-RED.txt, line" in out


def test_listed_name_without_a_test_is_reported(project: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (project / "KNOWN-RED.txt").write_text(RED)
    assert main(project) == 0 and capsys.readouterr().out == ""
    (project / "KNOWN-RED.txt").write_text(
        RED + "test_it.py::test_none | any | gone | 1\ntest_no.py::test_red | any | gone | 1\n"
    )
    assert main(project) == 1
    out = capsys.readouterr().out
    assert "test_it.py::test_none" in out and "test_no.py::test_red" in out and "test_it.py::test_red\n" not in out
    (project / "KNOWN-RED.txt").write_text("nonsense\n")
    assert main(project) == 1


def test_missing_file_lists_no_failures(tmp_path: Path) -> None:
    assert read(tmp_path) == {} and main(tmp_path) == 0


def test_known_red_file_of_this_repository_is_valid() -> None:
    assert all(entry.command and entry.symptom and entry.issue for entry in read(ROOT).values())
