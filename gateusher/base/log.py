"""Lines about what goes on, in one voice, so few that a bad day can't fill a disk or eat the CPU.

They go through the standard library's `logging`, to the logger `gateusher`, as structured records: `event` says what
it is about and `why` the rest.  The library attaches no handler; the daemon attaches its own, as text or JSON.
"""

from __future__ import annotations

import logging
import os
import select
import sys
import time
from collections.abc import Callable

BURST, PER_S = 20.0, 1.0
LOGGER = logging.getLogger("gateusher")


class _Log:
    """A token bucket in front of the logger; what it drops is counted and told with the next line.

    A line is dropped as well where writing it would block: its reader may have stopped, and serving goes on.
    """

    def __init__(self) -> None:
        self._tokens, self._at, self._dropped = BURST, 0.0, 0
        self.writable: Callable[[], bool] = lambda: True

    def write(self, what: str, why: object) -> None:
        now = time.monotonic()
        self._tokens = min(BURST, self._tokens + (now - self._at) * PER_S)
        self._at = now
        if self._tokens < 1.0 or not self.writable():
            self._dropped += 1
            return
        self._tokens -= 1.0
        dropped, self._dropped = self._dropped, 0
        LOGGER.warning(
            "gateusher: %s: %s%s",
            what,
            why,
            f" ({dropped} lines left out)" if dropped else "",
            extra={"event": what, "why": str(why), "left_out": dropped},
        )


_LOG = _Log()
log_event = _LOG.write


class _Handler(logging.Handler):
    """Writes to a descriptor that somebody else reads, or doesn't: no write of it blocks.

    A pipe that can be written to has room for `select.PIPE_BUF` bytes at least (pipe(7)), so a line goes in pieces of
    that size, and what is left of one that no longer fits is dropped.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._poller = select.poll()
        self._poller.register(descriptor, select.POLLOUT)

    def writable(self) -> bool:
        """Whether a write of `select.PIPE_BUF` bytes goes through at once; also true of one that fails at once."""
        return bool(self._poller.poll(0))

    def emit(self, record: logging.LogRecord) -> None:
        line = f"{self.format(record)}\n".encode(errors="backslashreplace")
        try:
            while line and self.writable():
                written = os.write(self._descriptor, line[: select.PIPE_BUF])
                line = line[written:]
        except OSError:
            return  # nobody reads the log any more, or its disk is full: serving goes on


def attach(form: str = "text") -> None:
    """The daemon's: lines on stderr, as they always were, or JSON objects with `time`, `event` and `why`."""
    if sys.stderr is None:  # it was closed at the start, and its number may be a socket's by now
        LOGGER.handlers[:] = [logging.NullHandler()]
        LOGGER.propagate = False
        return
    handler = _Handler(sys.stderr.fileno())
    _LOG.writable = handler.writable
    if form == "json":
        from pythonjsonlogger.json import JsonFormatter  # noqa: PLC0415 - text, the platform's, starts without it

        handler.setFormatter(JsonFormatter(["event", "why", "left_out"], timestamp="time"))
    LOGGER.handlers[:] = [handler]
    LOGGER.propagate = False
