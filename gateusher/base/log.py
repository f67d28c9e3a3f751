"""Rate-limited logging, so that a long outage can't fill a disk or use up the CPU.

Records go to the standard library's logger `gateusher` with the fields `event`, which says what happened, and `why`,
which gives the reason.  The library attaches no handler; the daemon attaches its own, for text or JSON.
"""

from __future__ import annotations

import logging
import os
import select
import sys
import time
from collections.abc import Callable

BURST_LINES = 20.0
LINES_PER_S = 1.0
LOGGER = logging.getLogger("gateusher")


class _RateLimitedLog:
    """A token bucket in front of the logger.  Dropped lines are counted, and the next line says how many.

    A line is also dropped if writing it would block, so that a log reader that has stopped doesn't stop the service,
    or if a handler raises, so that logging never fails its caller.
    """

    def __init__(self) -> None:
        self._tokens = BURST_LINES
        self._refilled_s = 0.0
        self._dropped = 0
        self.writable: Callable[[], bool] = lambda: True

    def write(self, event: str, why: object) -> None:
        """Log one event and its reason, unless the rate is exceeded."""
        now_s = time.monotonic()
        self._tokens = min(BURST_LINES, self._tokens + (now_s - self._refilled_s) * LINES_PER_S)
        self._refilled_s = now_s
        if self._tokens < 1.0 or not self.writable():
            self._dropped += 1
            return
        self._tokens -= 1.0
        dropped = self._dropped
        self._dropped = 0
        try:
            LOGGER.warning(
                "gateusher: %s: %s%s",
                event,
                why,
                f" ({dropped} lines left out)" if dropped else "",
                extra={"event": event, "why": str(why), "left_out": dropped},
            )
        except Exception:  # of a handler or filter that the application attached
            self._dropped = dropped + 1


_LOG = _RateLimitedLog()
log_event = _LOG.write


class _NonBlockingHandler(logging.Handler):
    """Writes to a descriptor without ever blocking, even if its reader has stopped.

    A writable pipe accepts at least `select.PIPE_BUF` bytes (pipe(7)), so a line is written in chunks of that size;
    the remainder of a line that no longer fits is dropped.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._poller = select.poll()
        self._poller.register(descriptor, select.POLLOUT)

    def writable(self) -> bool:
        """Return whether a write of `select.PIPE_BUF` bytes doesn't block; it may still fail."""
        return bool(self._poller.poll(0))

    def emit(self, record: logging.LogRecord) -> None:
        """Write as much of one line as is possible without blocking."""
        line = f"{self.format(record)}\n".encode(errors="backslashreplace")
        try:
            while line and self.writable():
                written = os.write(self._descriptor, line[: select.PIPE_BUF])
                line = line[written:]
        except OSError:
            return  # the log's reader has exited, or its disk is full


def attach(form: str = "text") -> None:
    """Attach the daemon's handler, which writes text lines to stderr, or JSON objects if `form` is "json"."""
    if sys.stderr is None:  # stderr was closed at startup; its descriptor may belong to a socket by now
        LOGGER.handlers[:] = [logging.NullHandler()]
        LOGGER.propagate = False
        return
    handler = _NonBlockingHandler(sys.stderr.fileno())
    _LOG.writable = handler.writable
    if form == "json":
        from pythonjsonlogger.json import JsonFormatter  # noqa: PLC0415 - not needed for text logs

        handler.setFormatter(JsonFormatter(["event", "why", "left_out"], timestamp="time"))
    LOGGER.handlers[:] = [handler]
    LOGGER.propagate = False
