"""Tests of the fixture that fails a test in which an invariant is violated unexpectedly."""

import os
import subprocess
import sys
from pathlib import Path

from .helpers import HANG_TIMEOUT_S, ROOT

TESTS = """import threading

import pytest

from gateusher.base.diagnostics import Diagnostics, Invariant

UNHANDLED, REPEAT = Invariant.NO_EVENT_UNHANDLED, Invariant.NO_REPEAT_OF_WHAT_MAY_HAVE_RUN


def test_none(): Diagnostics().note("repeat", "after reset")
def test_unexpected(): Diagnostics().record_violation(UNHANDLED)
def test_unexpected_in_a_thread():
    thread = threading.Thread(target=Diagnostics().record_violation, args=(UNHANDLED,))
    thread.start()
    thread.join()
@pytest.mark.expects_violation(UNHANDLED, REPEAT)
def test_expected():
    for invariant in (UNHANDLED, REPEAT, UNHANDLED):
        Diagnostics().record_violation(invariant)
@pytest.mark.expects_violation(UNHANDLED)
def test_another_one():
    Diagnostics().record_violation(UNHANDLED)
    Diagnostics().record_violation(REPEAT)
@pytest.mark.expects_violation(UNHANDLED)
def test_expected_and_not_recorded(): pass
def test_counted():
    diagnostics = Diagnostics()
    diagnostics.record_violation(UNHANDLED)
    assert diagnostics.violations == {UNHANDLED: 1}
"""
FAILING = {"test_unexpected", "test_unexpected_in_a_thread", "test_another_one", "test_expected_and_not_recorded"}


def test_a_test_fails_unless_the_violations_recorded_are_those_that_it_expects(tmp_path: Path) -> None:
    (tmp_path / "pyproject.toml").write_text("[tool.pytest.ini_options]\n")
    (tmp_path / "test_it.py").write_text(TESTS)
    completed = subprocess.run(
        [
            *(sys.executable, "-m", "pytest", "-q", "-p", "tests.violations", "-p", "no:cacheprovider"),
            *("--rootdir", str(tmp_path)),
        ],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=False,
        timeout=HANG_TIMEOUT_S,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    output = completed.stdout + completed.stderr
    failed = {line.split("::")[1].split(" ")[0] for line in output.splitlines() if line.startswith("ERROR ")}
    assert failed == FAILING | {"test_counted"}, output
    assert "7 passed" in output and "FAILED" not in output
    assert "NO_EVENT_UNHANDLED" in output
