"""Load reports: the header's names and the settings' names differ, the module wants the settings' order."""

from __future__ import annotations

from collections.abc import Callable
from math import isfinite

# The settings' name of a figure and the header's.
HEADER_NAMES = {"active": "inflight", "waiting": "queue", "cpu": "util", "avg_ms": "latency_ms",
                "rps": "qps", "err_rps": "eps"}


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
        try:
            for part in rest.split(b","):
                name, _, value = part.partition(b"=")
                place = places.get(name.strip())
                if place is not None:
                    values[place] = float(value)
        except ValueError:
            return ()
        report = tuple(v for v in values if v is not None and isfinite(v) and v >= 0.0)
        return report if len(report) == len(fields) else ()

    return read
