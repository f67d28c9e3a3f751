"""The logs of what a bench measures: figures of a program that found a fault of its own mean nothing."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from rig.log_faults import find_log_faults

ROOT = Path(__file__).parents[1]


def start_daemon(config: Path, checkout: Path = ROOT) -> subprocess.Popen[bytes]:
    """Start the daemon of a checkout; it logs to `log_path`."""
    with log_path(config).open("ab") as log:
        return subprocess.Popen(
            [sys.executable, "-m", "gateusher", "run", "--config", str(config)], cwd=checkout, stderr=log
        )


def log_path(config: Path) -> Path:
    """Return the file with the log of the daemon that has this configuration."""
    return config.with_suffix(".log")


def check_log(log: str) -> None:
    """Raise SystemExit if this log shows a fault of the program."""
    if faults := find_log_faults(log):
        raise SystemExit("\n".join(["the program logged a fault of its own:", *faults]))
