"""Reads a streamed response no faster than its client takes it.

What the client has not taken should wait at the endpoint, not in this process.  `StreamPacer` pauses the stream while
much is unsent in the client's socket, and owns the timer that looks again, since the kernel does not notify of space
while nothing waits to be written.  It knows when the client has last taken anything.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from ..upstream.interface import ResponseBodyStream

MAX_UNSENT_BYTES: Final = 131072  # in the kernel, before the endpoint is read again
MIN_CHECK_INTERVAL_S: Final = 0.001  # doubled with each check that finds too much
MAX_CHECK_INTERVAL_S: Final = 0.05


class StreamPacer:
    """The pace of the stream that is written to one connection."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, unsent_bytes: Callable[[], int], on_progress: Callable[[], None]
    ) -> None:
        """`unsent_bytes` tells what the client's socket holds; `on_progress` is called when the client takes some."""
        self._loop = loop
        self._unsent_bytes = unsent_bytes
        self._on_progress = on_progress
        self._stream: ResponseBodyStream | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._interval_s = MIN_CHECK_INTERVAL_S
        self._last_unsent_bytes = 0

    @property
    def is_waiting(self) -> bool:
        """Whether a stream is paused until the client has taken more."""
        return self._stream is not None

    def resume(self, stream: ResponseBodyStream) -> None:
        """Read the stream, at once or as soon as the client has taken enough."""
        if self._stream is None and not self._is_full():
            stream.resume()
        else:
            self._wait(stream)

    def data_written(self, stream: ResponseBodyStream) -> None:
        """Pause the stream if the client's socket holds much by now."""
        if self._stream is None and self._is_full():
            stream.pause()
            self._wait(stream)

    def stop(self) -> None:
        """Forget the stream: it has ended, or its connection has."""
        self._stream = None
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def close(self) -> None:
        """Forget the stream and the connection, which refers back to this object."""
        self.stop()
        del self._unsent_bytes
        del self._on_progress

    def _is_full(self) -> bool:
        self._last_unsent_bytes = self._unsent_bytes()
        return self._last_unsent_bytes > MAX_UNSENT_BYTES

    def _wait(self, stream: ResponseBodyStream) -> None:
        if self._stream is None:
            self._stream = stream
            self._interval_s = MIN_CHECK_INTERVAL_S
            self._timer = self._loop.call_later(self._interval_s, self._check)

    def _check(self) -> None:
        before_bytes = self._last_unsent_bytes
        is_full = self._is_full()
        if self._last_unsent_bytes < before_bytes:
            self._on_progress()
        if is_full:
            self._interval_s = min(MAX_CHECK_INTERVAL_S, 2 * self._interval_s)
            self._timer = self._loop.call_later(self._interval_s, self._check)
            return
        stream = self._stream
        self.stop()
        if stream:
            stream.resume()
