"""Parses the load reports of endpoints: `TEXT name=value, ...`.

The metrics' names in a report differ from those in the settings; the policy gets the values in the settings' order.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Final

# From a metric's name in the settings to its name in a report; the inverse of `config.file.REPORT_NAMES`.
REPORT_KEYS: Final = {
    "active": "inflight",
    "waiting": "queue",
    "cpu": "util",
    "avg_ms": "latency_ms",
    "rps": "qps",
    "err_rps": "eps",
}

# Limits the magnitude: a value of 1e300 would outweigh all others in every average.
METRIC_VALUE: Final = re.compile(rb"[0-9]{1,7}(\.[0-9]*)?(e-?[0-9])?")

REPORT_FORMAT: Final = b"TEXT"


def make_report_parser(fields: tuple[str, ...]) -> Callable[[bytes], tuple[float, ...]]:
    """Return a function that parses a report into the values of these fields, or into () if one is missing."""
    positions: dict[bytes, list[int]] = {}  # by name in a report; the settings may name a metric twice
    for index, field in enumerate(fields):
        for key in {REPORT_KEYS.get(field, field), field}:
            positions.setdefault(key.encode(), []).append(index)
    no_values: list[float | None] = [None] * len(fields)

    def parse(text: bytes) -> tuple[float, ...]:
        report_format, _, metrics = text.partition(b" ")
        if report_format != REPORT_FORMAT:
            return ()
        values = no_values.copy()
        for metric in metrics.split(b","):
            name, _, value = metric.partition(b"=")
            metric_positions = positions.get(name.strip())
            if metric_positions and METRIC_VALUE.fullmatch(value.strip()):
                for position in metric_positions:
                    values[position] = float(value)
        report = tuple(value for value in values if value is not None)
        return report if len(report) == len(fields) else ()

    return parse
