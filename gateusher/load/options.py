"""The options of one replay, shared by the process that reads and its workers."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from .plan import Pace

DEFAULT_CONNECTIONS = 8192


@dataclass
class Options:
    """What one run is to do."""

    target: tuple[str, int]
    pace: Pace
    run: str
    proven: bool  # False: the target is named by an allow list and is not challenged
    workers: int = 1
    connections: int = DEFAULT_CONNECTIONS  # the limit over all workers
    folder: Path | None = None  # of the report, the traces and the state of a stopped run
    trace: bool = False
    after: list[int] = field(default_factory=list)  # resumed: by worker, the last number that it had taken
    resumed_at: float = 0.0
    end: float | None = None  # the Unix time of the source with which the run ends
