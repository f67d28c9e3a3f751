"""Lines about what goes on, in one voice, so few that a bad day can't fill a disk or eat the CPU.

They go through the standard library's `logging`, to the logger `gateusher`, as structured records: `event` says what
it is about and `why` the rest.  The library attaches no handler; the daemon attaches its own, as text or JSON.
"""

from __future__ import annotations

import logging
import time

BURST, PER_S = 20.0, 1.0
LOGGER = logging.getLogger("gateusher")


class _Log:
    """A token bucket; what it drops is counted and told with the next line."""

    def __init__(self) -> None:
        self._tokens, self._at, self._dropped = BURST, 0.0, 0

    def say(self, what: str, why: object) -> None:
        now = time.monotonic()
        self._tokens = min(BURST, self._tokens + (now - self._at) * PER_S)
        self._at = now
        if self._tokens < 1.0:
            self._dropped += 1
            return
        self._tokens -= 1.0
        dropped, self._dropped = self._dropped, 0
        LOGGER.warning("gateusher: %s: %s%s", what, why, f" ({dropped} lines left out)" if dropped else "",
                       extra={"event": what, "why": str(why), "left_out": dropped})


say = _Log().say


class _Handler(logging.StreamHandler):  # type: ignore[type-arg]
    def handleError(self, record: logging.LogRecord) -> None:  # noqa: N802 - the base class's name
        """Where nobody reads the log any more, serving goes on."""


def attach(form: str = "text") -> None:
    """The daemon's: lines on stderr, as they always were, or JSON objects with `time`, `event` and `why`."""
    handler = _Handler()
    if form == "json":
        from pythonjsonlogger.json import JsonFormatter  # noqa: PLC0415 - text, the platform's, starts without it

        handler.setFormatter(JsonFormatter(["event", "why", "left_out"], timestamp="time"))
    LOGGER.handlers[:] = [handler]
    LOGGER.propagate = False
