"""What a source says of one request, and what is wrong with what it says."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterator
from typing import IO, NamedTuple

SHOWN = 10  # faults that are told in full; the rest goes to a file
MOST_REASONS = 200  # kinds of faults that are counted apart


class Entry(NamedTuple):
    """One request of a source.  Text is as the source wrote it, with its escapes undone."""

    at: float  # when it came, seconds of Unix time; of an end that a source tells, its duration is off
    method: str
    target: str  # path and query
    host: str = ""
    took: float = -1.0  # seconds until its answer was through; below 0 where the source doesn't say
    status: int = 0  # of the answer; 0 where the source doesn't say
    address: str = ""  # the peer's
    forwarded: str = ""  # the first of X-Forwarded-For
    cookie: str = ""  # the whole Cookie header: only its hash is ever used
    agent: str = ""
    size: int = -1  # bytes of the request's body; below 0 where the source doesn't say
    body: bytes | None = None
    line: int = 0  # where it stands: a line, or the number of a HAR's entry
    coarse: bool = False  # `at` is a whole second that may mean any time in it


class Fault(NamedTuple):
    """Why something in a source is not played."""

    file: str
    line: int
    field: str
    reason: str


class FaultyError(Exception):
    """Raised by a reader of one record; its owner adds where that was."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field, self.reason = field, reason


class StrictError(Exception):
    """The first fault of a run that takes none."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(f"{fault.file}:{fault.line}: {fault.field}: {fault.reason}")
        self.fault = fault


class Faults:
    """All faults of a run: counted by reason, the first ones kept, the rest written on as JSON lines.

    :param rest: a text file for every fault from the eleventh on; None to count them only.
    :param strict: raise StrictError at the first.
    """

    def __init__(self, rest: IO[str] | None = None, strict: bool = False) -> None:
        self.by_reason: Counter[tuple[str, str]] = Counter()
        self.first: list[Fault] = []
        self.count = 0
        self._rest, self._strict = rest, strict

    def add(self, fault: Fault) -> None:
        if self._strict:
            raise StrictError(fault)
        self.count += 1
        kind = fault.field, fault.reason
        if kind not in self.by_reason and len(self.by_reason) >= MOST_REASONS:
            kind = "others", "kinds of faults beyond the first two hundred"
        self.by_reason[kind] += 1
        if len(self.first) < SHOWN:
            self.first.append(fault)
        elif self._rest:
            self._rest.write(json.dumps(fault._asdict()) + "\n")

    def rows(self) -> Iterator[tuple[str, str, int]]:
        """Field, reason and how often, the most frequent first."""
        for (field, reason), count in self.by_reason.most_common():
            yield field, reason, count
