"""Load reports: the header's names and the settings' names differ, the module wants the settings' order."""

from __future__ import annotations

import re
from collections.abc import Callable

# The settings' name of a figure and the header's.
HEADER_NAMES = {
    "active": "inflight",
    "waiting": "queue",
    "cpu": "util",
    "avg_ms": "latency_ms",
    "rps": "qps",
    "err_rps": "eps",
}

# A plain figure that a server could mean.  One of 1e300 would outweigh all others for a whole day.
FIGURE = re.compile(rb"[0-9]{1,7}(\.[0-9]*)?(e-?[0-9])?")


def reader(fields: tuple[str, ...]) -> Callable[[bytes], tuple[float, ...]]:
    """A function from `TEXT name=value, ...` to the values of these fields, or () for no usable report."""
    places = {HEADER_NAMES.get(f, f).encode(): i for i, f in enumerate(fields)}
    places.update({f.encode(): i for i, f in enumerate(fields)})
    blank: list[float | None] = [None] * len(fields)

    def read(text: bytes) -> tuple[float, ...]:
        values = blank.copy()
        kind, _, rest = text.partition(b" ")
        if kind != b"TEXT":
            return ()
        for part in rest.split(b","):
            name, _, value = part.partition(b"=")
            place = places.get(name.strip())
            if place is not None and FIGURE.fullmatch(value.strip()):
                values[place] = float(value)
        report = tuple(v for v in values if v is not None)
        return report if len(report) == len(fields) else ()

    return read
