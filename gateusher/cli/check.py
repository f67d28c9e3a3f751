"""`gateusher check`: print every fault of a configuration file, one per line."""

from __future__ import annotations

from typing import Final

from ..config import platform
from ..config.model import ConfigError

EXIT_USABLE: Final = 0
EXIT_UNUSABLE_CONFIG: Final = 2


def check(path: str) -> int:
    """Check a TOML file, or the platform's JSON, and return the exit code.

    Each fault is printed as the field, a colon and the allowed values.
    """
    try:
        _load(path)
    except ConfigError as error:
        for fault in error.faults:
            print(fault)
        return EXIT_UNUSABLE_CONFIG
    print(f"{path}: valid")
    return EXIT_USABLE


def _load(path: str) -> None:
    """Read and validate a file; its extension selects the format.  Raises ConfigError."""
    if path.endswith(".json"):
        platform.parse(platform.read(path), {})
        return
    from ..config.file import load  # noqa: PLC0415 - only one of the two readers is needed

    load(path)
