"""The remainder of a response body that was handed on incomplete.

An `EndpointBodyStream` owns the timer that detects an endpoint which stops in mid-body, and passes bytes from its
connection to the sink; it buffers nothing.
"""

from __future__ import annotations

import asyncio
from typing import Final, Protocol

from .interface import BodySink, ResponseBodyStream
from .response_parser import MAX_STREAMED_BODY_BYTES

STREAM_IDLE_TIMEOUT_S: Final = 10.0  # an endpoint that sends nothing for this time while it may has stopped


class StreamedConnection(Protocol):
    """What the stream asks of its connection."""

    def pause_reading(self) -> None:
        """Read nothing from the endpoint."""

    def resume_reading(self) -> None:
        """Read again."""

    def cut_stream(self) -> None:
        """End the stream incomplete, and close the connection."""

    def close(self) -> None:
        """Close the connection."""


class EndpointBodyStream(ResponseBodyStream):
    """The remainder of one response body, as its connection receives it.

    `received_bytes` is the length of what was handed on with the head.  Limitation: the idle timeout also ends the
    body of an endpoint that pauses for longer in mid-body.
    """

    def __init__(self, connection: StreamedConnection, loop: asyncio.AbstractEventLoop, received_bytes: int) -> None:
        self._connection: StreamedConnection | None = connection
        self._loop = loop
        self._received_bytes = received_bytes
        self._was_cut = False  # before a sink was attached
        self._idle_timer: asyncio.TimerHandle | None = None

    def attach_sink(self, sink: BodySink) -> None:
        """Deliver to this sink; where the stream was cut already, the sink learns so in the next turn of the loop."""
        self.sink = sink
        if self._was_cut:
            self._loop.call_soon(self.finish, False)

    def pause(self) -> None:
        """Read nothing more; the idle timeout is suspended."""
        self._stop_idle_timer()
        if self._connection:
            self._connection.pause_reading()

    def resume(self) -> None:
        """Read again; the idle timeout starts anew."""
        if self._connection:
            self._connection.resume_reading()
            self._restart_idle_timer()

    def cancel(self) -> None:
        """Close the connection; the sink is not notified."""
        connection, self.sink = self._connection, None
        if connection:
            self._detach()
            connection.close()

    def feed(self, data: bytes) -> bool:
        """Deliver bytes from the connection; False where the body exceeds MAX_STREAMED_BODY_BYTES."""
        self._received_bytes += len(data)
        if self._received_bytes > MAX_STREAMED_BODY_BYTES:
            return False
        if self._idle_timer:
            self._restart_idle_timer()
        if self.sink:
            self.sink.feed(data)
        return True

    def finish(self, complete: bool) -> None:
        """The connection delivers nothing more."""
        sink, self.sink = self.sink, None
        self._detach()
        self._was_cut = not complete
        if sink:
            sink.end(complete)

    def _on_idle_timeout(self) -> None:
        if self._connection:
            self._connection.cut_stream()

    def _restart_idle_timer(self) -> None:
        if self._idle_timer:
            self._idle_timer.cancel()
        self._idle_timer = self._loop.call_later(STREAM_IDLE_TIMEOUT_S, self._on_idle_timeout)

    def _stop_idle_timer(self) -> None:
        if self._idle_timer:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _detach(self) -> None:
        self._stop_idle_timer()
        self._connection = None
