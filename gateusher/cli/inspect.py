"""`gateusher inspect`: summarize access logs and HAR files without sending any request.

The exit code is 2 if a source can't be read.
"""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any, Final

from rich.console import Console
from rich.table import Table

from ..load import rules
from ..load.entry import Entry, Faults, StrictError
from ..load.reading import Reading
from ..load.results import to_json
from ..load.rules import Mapper, Mapping, Rule, pattern_of
from .replay import UnplayableError, open_sources

MAX_COUNTED_KEYS: Final = 100_000  # bounds the memory used by clients and by patterns, each
MAX_REPORTED_PATTERNS: Final = 20
SEED: Final = 1
EXIT_SUCCESS: Final = 0
EXIT_UNREADABLE: Final = 2
FIGURES: Final = (
    "entries",
    "span_s",
    "mean_rate",
    "most_in_a_second",
    "with_duration",
    "clients",
    "busiest_client_share",
)


def inspect(
    paths: tuple[str, ...], rules_file: str | None, form: str | None, zone: str | None, strict: bool, as_json: bool
) -> int:
    """Run the command and return its exit code."""
    errors = Console(stderr=True, highlight=False, soft_wrap=True)
    try:
        mapping = rules.load(Path(rules_file)) if rules_file else None
        sources = open_sources(paths, form, zone, mapping.json if mapping else {})
        mapper = Mapper(mapping or Mapping(classes={}, rules=list[Rule]()))
        reading = Reading(sources, mapper, Faults(strict=strict), SEED)
        statistics = _count_entries(reading, mapping is not None)
    except rules.RulesError as error:
        for fault in error.faults:
            errors.print(f"inspect: rules: {fault}", markup=False)
        return EXIT_UNREADABLE
    except UnplayableError as error:
        for reason in error.reasons:
            errors.print(f"inspect: {reason}", markup=False)
        return EXIT_UNREADABLE
    except StrictError as error:
        errors.print(f"inspect: --strict: {error}", markup=False)
        return EXIT_UNREADABLE
    data = {"found": statistics, "read": reading.summary()}
    if as_json:
        print(to_json(data))
    else:
        _print_summary(data, mapping is not None)
    return EXIT_SUCCESS


class _Statistics:
    """Counts of the entries of all sources."""

    def __init__(self) -> None:
        self._count = 0
        self._with_duration = 0
        self._first_at = 0.0  # Unix time, s
        self._last_at = 0.0
        self._by_second = Counter[int]()
        self._by_client = Counter[int]()
        self._by_pattern = Counter[str]()
        self._by_status_class = Counter[int]()

    def add(self, entry: Entry, client: int | None) -> None:
        """Count an entry; `client` is None if it is unknown."""
        if not self._count:
            self._first_at = entry.at
        self._last_at = max(self._last_at, entry.at)
        self._count += 1
        self._with_duration += entry.took >= 0
        self._by_second[int(entry.at)] += 1
        self._by_status_class[entry.status // 100] += 1
        if client is not None and (client in self._by_client or len(self._by_client) < MAX_COUNTED_KEYS):
            self._by_client[client] += 1
        pattern = pattern_of(entry)
        if pattern in self._by_pattern or len(self._by_pattern) < MAX_COUNTED_KEYS:
            self._by_pattern[pattern] += 1

    def report(self) -> dict[str, Any]:
        """Return the counts as they are printed in JSON."""
        span_s = self._last_at - self._first_at
        busiest_client = max(self._by_client.values(), default=0)
        status_classes = sorted(self._by_status_class.items())
        return {
            "entries": self._count,
            "begins": self._first_at,
            "ends": self._last_at,
            "span_s": round(span_s, 3),
            "mean_rate": round(self._count / span_s, 3) if span_s else 0.0,
            "most_in_a_second": max(self._by_second.values(), default=0),
            "with_duration": self._with_duration,
            "clients": len(self._by_client),
            "busiest_client_share": round(busiest_client / self._count, 4) if self._count else 0.0,
            "statuses": {f"{digit}xx" if digit else "none": count for digit, count in status_classes},
            "patterns": dict(self._by_pattern.most_common(MAX_REPORTED_PATTERNS)),
        }


def _count_entries(reading: Reading, has_rules: bool) -> dict[str, Any]:
    """Read all entries once; with rules, only those that a rule maps to a class are counted."""
    statistics = _Statistics()
    if has_rules:
        for request in reading.requests():
            statistics.add(request.entry, request.client)
        return statistics.report()
    for source_index, entry in reading.entries():
        try:
            client = reading.mapper.client_of(entry, reading.sources[source_index].name)
        except Exception:  # noqa: BLE001 - entries without a known client are counted too
            client = None
        statistics.add(entry, client)
    return statistics.report()


def _print_summary(data: dict[str, Any], has_rules: bool) -> None:
    console = Console(highlight=False, soft_wrap=True)
    found = data["found"]
    read = data["read"]
    for source in read["sources"]:
        console.print(
            f"{source['file']}: {source['format']}{' (guessed)' if source['guessed'] else ''}, "
            f"{source['lines']} lines, {source['entries']} entries, {source['faults']} with faults, "
            f"{source['left_out']} never sent, clock set back {source['clock_set_back']} times",
            markup=False,
        )
    table = Table(show_header=False, box=None)
    for name in FIGURES:
        table.add_row(name.replace("_", " "), str(found[name]))
    console.print(table)
    if has_rules:
        console.print(
            "classes: " + ", ".join(f"{name} {count}" for name, count in read["classes"].items()), markup=False
        )
    patterns = read["unmatched_patterns"] if has_rules else found["patterns"]
    if patterns:
        console.print("matched by no rule:" if has_rules else "most frequent:")
        for pattern, count in patterns.items():
            console.print(f"  {count:8d}  {pattern}", markup=False)
    for fault in read["faults_by_reason"]:
        console.print(f"fault: {fault['field']} {fault['reason']}: {fault['count']}", markup=False)
    for fault in read["first_faults"]:
        console.print("  {file}:{line}: {field} {reason}".format(**fault), markup=False)
