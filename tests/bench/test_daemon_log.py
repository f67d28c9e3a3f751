"""A bench ends without figures if a daemon that it started, or the library, logged a fault of the program."""

import argparse
import subprocess
from pathlib import Path

import pytest

from bench import library
from bench.daemon_log import check_log, log_path, start_daemon

from ..helpers import HANG_TIMEOUT_S


@pytest.mark.parametrize(
    "line",
    [
        "gateusher: invariant violated: an unsafe request that may have run was to be sent again: request 'x1'",
        "gateusher: TimerFired could not be handled: Traceback (most recent call last):",
    ],
)
def test_a_fault_in_the_log_ends_the_bench(line: str) -> None:
    with pytest.raises(SystemExit, match="TimerFired could not be handled|invariant violated"):
        check_log(f"gateusher: ready\n{line}\n")
    check_log("gateusher: ready\n")


def test_the_log_of_a_daemon_is_beside_its_configuration(tmp_path: Path) -> None:
    config = tmp_path / "d.toml"
    config.write_text("unusable")
    assert start_daemon(config).wait(HANG_TIMEOUT_S) != 0
    assert "d.toml" in log_path(config).read_text()


def test_a_fault_of_the_library_ends_its_bench(monkeypatch: pytest.MonkeyPatch) -> None:
    """The library is measured in a process of its own, whose output is captured."""
    done = subprocess.CompletedProcess([], 0, "{}", "gateusher: invariant violated: x")
    monkeypatch.setattr(subprocess, "run", lambda *arguments, **options: done)
    bench = library.Bench.__new__(library.Bench)
    bench.args, bench.folder, bench.port = argparse.Namespace(requests=1, concurrency=1, loop="uvloop"), "", 1
    with pytest.raises(SystemExit, match="invariant violated"):
        bench.measure_client("library")
    done.stderr = ""
    assert bench.measure_client("library") == {}
