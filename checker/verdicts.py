"""What became of each mutant, kept by its name; the program is not needed to read it."""

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
    """By name; empty where none was played yet."""
    return json.loads(FILE.read_text()) if FILE.exists() else {}


def keep(verdicts: dict[str, str]) -> None:
    """Instead of those kept so far."""
    FILE.write_text(json.dumps(dict(sorted(verdicts.items())), indent=0) + "\n")


def sample(verdicts: dict[str, str], count: int = SAMPLE) -> list[str]:
    """So many of those that the explorer kills, spread over the modules; the same for the same verdicts."""
    killed = sorted(n for n, v in verdicts.items() if v == "explorer")
    return killed[:: max(1, len(killed) // count)][:count]
