"""The deadline that requests inherit from the code around them: of a block, or of the request that is being served.

It owns one context variable, whose value belongs to the context: tasks and threads that copy the context inherit it.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar

# On time.monotonic(), in seconds.
_ends_at_s: ContextVar[float | None] = ContextVar("gateusher_deadline", default=None)


def time_left() -> float | None:
    """Seconds until the inherited deadline, negative past it; None where none is inherited."""
    ends_at_s = _ends_at_s.get()
    return None if ends_at_s is None else ends_at_s - time.monotonic()


@contextmanager
def deadline(seconds: float) -> Iterator[None]:
    """Within this block no request gets more time than is left of these seconds, or of an outer block's."""
    ends_at_s = time.monotonic() + seconds
    outer_s = _ends_at_s.get()
    token = _ends_at_s.set(ends_at_s if outer_s is None else min(ends_at_s, outer_s))
    try:
        yield
    finally:
        _ends_at_s.reset(token)
