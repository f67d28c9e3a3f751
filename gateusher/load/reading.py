"""Reads the sources of a replay as one stream of mapped requests in the order of time.

Owns the counts of what was read, and of what was not played and why.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import closing
from functools import partial
from math import inf
from typing import Any

from .entry import Entry, Fault, Faults, FaultyError
from .rules import Mapped, Mapper
from .sources.files import Source
from .sources.order import WINDOW_S, Steps, merged, ordered, spread

SHOWN_PATTERNS = 20  # unmatched patterns in the summary, the most frequent first


class Reading:
    """The sources as one stream of mapped requests, with counts of what was not played and why.

    :param faults: takes the records that can't be read or mapped.
    :param seed: of the times that are drawn for entries whose source has whole seconds only.
    :param begin: the Unix time of the first request to play; `outside` counts those ahead of it.
    :param end: the Unix time with which reading ends; None for the end of the sources.
    """

    def __init__(
        self,
        sources: list[Source],
        mapper: Mapper,
        faults: Faults,
        seed: int,
        begin: float | None = None,
        end: float | None = None,
    ) -> None:
        self.sources = sources
        self.mapper = mapper
        self.faults = faults
        self._seed = seed
        self._begin = begin
        self._end = end
        self.outside = 0
        self.steps = [Steps() for _ in sources]
        self.first_at = 0.0  # the Unix times of the first and the last request that were mapped
        self.last_at = 0.0
        self.played = 0

    def entries(self) -> Iterator[tuple[int, Entry]]:
        """Yield every readable entry with the index of its source, all sources in the order of time."""
        files: list[tuple[float, Callable[[], Iterator[Entry]]]] = []
        for source, steps in zip(self.sources, self.steps, strict=True):
            first_at = -inf if source.is_har else _first_time(source)
            files.append((first_at, partial(self._ordered, source, steps)))
        return merged(files)

    def _ordered(self, source: Source, steps: Steps) -> Iterator[Entry]:
        """Yield a source's entries in the order of time.

        A log is sorted by the time of writing, up to WINDOW_S off; a HAR file may have any order.
        """
        even = spread(source.entries(self.faults), self._seed, source.at_end, steps)
        return ordered(even, steps, inf if source.is_har else WINDOW_S)

    def requests(self) -> Iterator[Mapped]:
        """Yield the requests to play; raises StrictError at the first fault of a strict run."""
        for index, entry in self.entries():
            name = self.sources[index].name
            if self._end is not None and entry.at >= self._end:
                return
            if self._begin is not None and entry.at < self._begin:
                self.outside += 1
                continue
            try:
                mapped = self.mapper.map(entry, name)
            except FaultyError as error:
                self.faults.add(Fault(name, entry.line, error.field, error.reason))
                continue
            if mapped is not None:
                if not self.played:
                    self.first_at = entry.at
                self.played += 1
                self.last_at = entry.at
                yield mapped

    def summary(self) -> dict[str, Any]:
        """Return what was read, what was not played and why, in the form of the JSON report."""
        total = sum(source.counts.entries + source.counts.faults + source.counts.left_out for source in self.sources)
        unmatched = sum(self.mapper.unmatched.values())
        dropped = total - self.played
        return {
            "sources": [
                _source_summary(source, steps) for source, steps in zip(self.sources, self.steps, strict=True)
            ],
            "records": total,
            "played": self.played,
            "dropped": dropped,
            "outside": self.outside,
            "dropped_share": round(dropped / total, 6) if total else 0.0,
            "unmatched": unmatched,
            "unmatched_patterns": dict(self.mapper.unmatched.most_common(SHOWN_PATTERNS)),
            "faults": self.faults.count,
            "faults_by_reason": [
                {"field": field, "reason": reason, "count": count} for field, reason, count in self.faults.rows()
            ],
            "first_faults": [fault._asdict() for fault in self.faults.first],
            "span_s": round(self.last_at - self.first_at, 3),
            "classes": dict(zip(self.mapper.names, self.mapper.by_class, strict=True)),
        }


def _source_summary(source: Source, steps: Steps) -> dict[str, Any]:
    counts = source.counts
    return {
        "file": source.name,
        "format": source.kind,
        "guessed": source.guessed,
        "lines": counts.lines,
        "blank": counts.blank,
        "comments": counts.comments,
        "entries": counts.entries,
        "faults": counts.faults,
        "left_out": counts.left_out,
        "whole_seconds_spread": steps.spread,
        "late_lines": steps.late,
        "clock_set_back": steps.back,
        "most_set_back_s": round(steps.max_back_s, 3),
    }


def _first_time(source: Source) -> float:
    """Return the time of a log's first entry, which decides when it is opened; -inf where there is none."""
    with closing(source.entries(Faults())) as entries:
        first = next(entries, None)
    return first.at if first else -inf
