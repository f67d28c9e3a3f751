"""Recorded verdicts of the mutants, by name.  This module does not import the program."""

from __future__ import annotations

import json
from pathlib import Path

FILE = Path(__file__).with_name("verdicts.json")
ORDER = (
    "explorer",
    "explorer, by more walks",
    "explorer, by every order",
    "tests",
    "survived, by the tests too",
    "not reached, by the tests too",
    "survived",
    "not reached",
    "equivalent",
)
SAMPLE = 40


def known() -> dict[str, str]:
    """Return the recorded verdicts by mutant name, empty if there is no file."""
    return json.loads(FILE.read_text()) if FILE.exists() else {}


def keep(verdicts: dict[str, str]) -> None:
    """Replace the recorded verdicts."""
    FILE.write_text(json.dumps(dict(sorted(verdicts.items())), indent=0) + "\n")


def sample(verdicts: dict[str, str], count: int = SAMPLE) -> list[str]:
    """Return about `count` mutants that the explorer kills, spread evenly over the sorted names."""
    killed = sorted(n for n, v in verdicts.items() if v == "explorer")
    return killed[:: max(1, len(killed) // count)][:count]
