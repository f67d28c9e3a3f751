"""`gateusher inspect`: what is in a source, without sending anything.  Exit code 2 where it can't be read."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from ..load import rules
from ..load.entry import Entry, Faults, StrictError
from ..load.reading import Reading
from ..load.results import to_json
from ..load.rules import Mapper, Mapping, Rule, pattern_of
from .replay import UnplayableError, sources_of

MOST = 100_000  # clients and patterns that are counted apart


def _counted(reading: Reading, mapped: bool) -> dict[str, Any]:
    """One pass over all entries."""
    rates, clients, patterns, statuses = Counter[int](), Counter[int](), Counter[str](), Counter[int]()
    first = last = 0.0
    count = durations = 0

    def take(entry: Entry, client: int | None) -> None:
        nonlocal first, last, count, durations
        first = first if count else entry.at
        last = max(last, entry.at)
        count += 1
        durations += entry.took >= 0
        rates[int(entry.at)] += 1
        statuses[entry.status // 100] += 1
        if client is not None and (client in clients or len(clients) < MOST):
            clients[client] += 1
        pattern = pattern_of(entry)
        if pattern in patterns or len(patterns) < MOST:
            patterns[pattern] += 1

    if mapped:
        for request in reading.requests():
            take(request.entry, request.client)
    else:
        for i, entry in reading.entries():
            try:
                client = reading.mapper.client_of(entry, reading.sources[i].name)
            except Exception:  # noqa: BLE001 - whose it was is not told; it is counted all the same
                client = None
            take(entry, client)
    span = last - first
    return {
        "entries": count,
        "begins": first,
        "ends": last,
        "span_s": round(span, 3),
        "mean_rate": round(count / span, 3) if span else 0.0,
        "most_in_a_second": max(rates.values(), default=0),
        "with_duration": durations,
        "clients": len(clients),
        "busiest_client_share": round(max(clients.values(), default=0) / count, 4) if count else 0.0,
        "statuses": {f"{k}xx" if k else "none": v for k, v in sorted(statuses.items())},
        "patterns": dict(patterns.most_common(20)),
    }


def inspect(
    paths: tuple[str, ...], rules_file: str | None, form: str | None, zone: str | None, strict: bool, as_json: bool
) -> int:
    """Run the command; its exit code."""
    told = Console(stderr=True, highlight=False, soft_wrap=True)
    try:
        mapping = rules.load(Path(rules_file)) if rules_file else None
        sources = sources_of(paths, form, zone, mapping.json if mapping else {})
        mapper = Mapper(mapping or Mapping(classes={}, rules=list[Rule]()))
        reading = Reading(sources, mapper, Faults(strict=strict), 1)
        found = _counted(reading, mapping is not None)
    except rules.RulesError as error:
        for fault in error.faults:
            told.print(f"inspect: rules: {fault}", markup=False)
        return 2
    except UnplayableError as error:
        for reason in error.reasons:
            told.print(f"inspect: {reason}", markup=False)
        return 2
    except StrictError as error:
        told.print(f"inspect: --strict: {error}", markup=False)
        return 2
    data = {"found": found, "read": reading.summary()}
    if as_json:
        print(to_json(data))
    else:
        _show(data, mapping is not None)
    return 0


def _show(data: dict[str, Any], mapped: bool) -> None:
    console = Console(highlight=False, soft_wrap=True)
    found, read = data["found"], data["read"]
    for source in read["sources"]:
        console.print(
            f"{source['file']}: {source['format']}{' (guessed)' if source['guessed'] else ''}, "
            f"{source['lines']} lines, {source['entries']} entries, {source['faults']} with faults, "
            f"{source['left_out']} never sent, {source['clock_set_back']} times set back",
            markup=False,
        )
    table = Table(show_header=False, box=None)
    for name in (
        "entries",
        "span_s",
        "mean_rate",
        "most_in_a_second",
        "with_duration",
        "clients",
        "busiest_client_share",
    ):
        table.add_row(name.replace("_", " "), str(found[name]))
    console.print(table)
    if mapped:
        console.print("classes: " + ", ".join(f"{n} {c}" for n, c in read["classes"].items()), markup=False)
    listed = read["unmatched_patterns"] if mapped else found["patterns"]
    if listed:
        console.print("no rule names:" if mapped else "most asked for:")
        for pattern, count in listed.items():
            console.print(f"  {count:8d}  {pattern}", markup=False)
    for fault in read["faults_by_reason"]:
        console.print(f"fault: {fault['field']} {fault['reason']}: {fault['count']}", markup=False)
    for fault in read["first_faults"]:
        console.print("  {file}:{line}: {field} {reason}".format(**fault), markup=False)
