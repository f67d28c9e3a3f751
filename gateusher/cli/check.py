"""`gateusher check`: every fault of a configuration at once, a line each."""

from __future__ import annotations

from ..config import platform
from ..config.model import ConfigError


def check(path: str) -> int:
    """0 where the file can be used; 2, with each fault on a line as `field: what is allowed`, where not."""
    try:
        if path.endswith(".json"):
            platform.parse(platform.read(path), {})
        else:
            from ..config.file import load  # noqa: PLC0415 - only one of the two readers is needed

            load(path)
    except ConfigError as error:
        for fault in error.faults:
            print(fault)
        return 2
    print(f"{path}: can be used")
    return 0
