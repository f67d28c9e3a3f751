"""Parses the load reports of endpoints: `TEXT name=value, ...`.

The names in a report differ from those in the settings; the policy gets the figures in the order of the settings.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Final

# A figure's name in the settings, and in a report; the inverse of `config.file.REPORT_NAMES`.
REPORT_KEYS: Final = {
    "active": "inflight",
    "waiting": "queue",
    "cpu": "util",
    "avg_ms": "latency_ms",
    "rps": "qps",
    "err_rps": "eps",
}

# A plausible figure: one of 1e300 would outweigh all others in every average.
METRIC_VALUE: Final = re.compile(rb"[0-9]{1,7}(\.[0-9]*)?(e-?[0-9])?")

REPORT_FORMAT: Final = b"TEXT"


def make_report_parser(fields: tuple[str, ...]) -> Callable[[bytes], tuple[float, ...]]:
    """A function from a report's text to the values of these fields, or () where the text lacks one of them."""
    positions = {REPORT_KEYS.get(field, field).encode(): index for index, field in enumerate(fields)}
    positions.update({field.encode(): index for index, field in enumerate(fields)})
    no_values: list[float | None] = [None] * len(fields)

    def parse(text: bytes) -> tuple[float, ...]:
        kind, _, figures = text.partition(b" ")
        if kind != REPORT_FORMAT:
            return ()
        values = no_values.copy()
        for figure in figures.split(b","):
            name, _, value = figure.partition(b"=")
            position = positions.get(name.strip())
            if position is not None and METRIC_VALUE.fullmatch(value.strip()):
                values[position] = float(value)
        report = tuple(value for value in values if value is not None)
        return report if len(report) == len(fields) else ()

    return parse
