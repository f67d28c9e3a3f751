"""The options of one replay, used by the process that reads the sources and by its workers."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from .plan import Pace

DEFAULT_CONNECTIONS = 8192


@dataclass
class Options:
    """The settings of one run."""

    target: tuple[str, int]
    pace: Pace
    run: str
    proven: bool  # False: the target is named by an allow list and is not challenged
    workers: int = 1
    connections: int = DEFAULT_CONNECTIONS  # the limit over all workers
    folder: Path | None = None  # for the report, the traces and the state of a stopped run
    trace: bool = False
    taken_before: list[int] = field(default_factory=list)  # of a resumed run: by worker, the last request number
    resumed_at: float = 0.0
    end: float | None = None  # the run ends at this Unix time of the source
