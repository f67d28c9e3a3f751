"""One request as a source has it, and the faults of records that can't be read.  Owns the counts of faults."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterator
from typing import IO, NamedTuple

MAX_SHOWN_FAULTS = 10  # faults that the report shows in full; further ones go to a file
MAX_REASONS = 200  # reasons that are counted one by one


class Entry(NamedTuple):
    """One request of a source.  Text is as in the source, unescaped."""

    at: float  # Unix time of its arrival in seconds; for a source with end times, the end less the duration
    method: str
    target: str  # path and query
    host: str = ""
    took: float = -1.0  # seconds until its response was complete; below 0 where unknown
    status: int = 0  # of the response; 0 where unknown
    address: str = ""  # the peer's IP address
    forwarded: str = ""  # the first of X-Forwarded-For
    cookie: str = ""  # the complete Cookie header, of which only a hash is used
    agent: str = ""
    size: int = -1  # bytes of the request's body; below 0 where unknown
    body: bytes | None = None
    line: int = 0  # its line in the source, or the number of its entry in a HAR file
    coarse: bool = False  # `at` is rounded to a whole second


class Fault(NamedTuple):
    """Why a record of a source is not sent."""

    file: str
    line: int
    field: str
    reason: str


class FaultyError(Exception):
    """A record can't be used; whoever reads the source adds file and line."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


class StrictError(Exception):
    """The first fault of a strict run."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(f"{fault.file}:{fault.line}: {fault.field}: {fault.reason}")
        self.fault = fault


class Faults:
    """The faults of a run, counted by reason.  The first MAX_SHOWN_FAULTS are retained.

    :param rest: a text file that gets a JSON line for each further fault; None to count them only.
    :param strict: raise StrictError at the first fault.
    """

    def __init__(self, rest: IO[str] | None = None, strict: bool = False) -> None:
        self.by_reason: Counter[tuple[str, str]] = Counter()
        self.first: list[Fault] = []
        self.count = 0
        self._rest = rest
        self._strict = strict

    def add(self, fault: Fault) -> None:
        """Count a fault; raises StrictError in a strict run."""
        if self._strict:
            raise StrictError(fault)
        self.count += 1
        kind = fault.field, fault.reason
        if kind not in self.by_reason and len(self.by_reason) >= MAX_REASONS:
            kind = "others", "kinds of faults beyond the first two hundred"
        self.by_reason[kind] += 1
        if len(self.first) < MAX_SHOWN_FAULTS:
            self.first.append(fault)
        elif self._rest:
            self._rest.write(json.dumps(fault._asdict()) + "\n")

    def rows(self) -> Iterator[tuple[str, str, int]]:
        """Yield field, reason and count, the most frequent first."""
        for (field, reason), count in self.by_reason.most_common():
            yield field, reason, count
