"""Streams the remainder of a response body whose beginning has been delivered.

An `EndpointBodyStream` owns the timer that detects an endpoint which stops sending mid-body, and passes bytes from
its connection to the sink.  It buffers nothing.
"""

from __future__ import annotations

import asyncio
from typing import Final, Protocol

from ..base.silence import MAX_SILENCE_S
from .interface import BodySink, ResponseBodyStream
from .response_parser import MAX_STREAMED_BODY_BYTES

STREAM_IDLE_TIMEOUT_S: Final = MAX_SILENCE_S  # without data from the endpoint, while reading is not paused


class StreamedConnection(Protocol):
    """The connection, as its stream uses it."""

    def pause_reading(self) -> None:
        """Stop reading from the endpoint."""

    def resume_reading(self) -> None:
        """Resume reading from the endpoint."""

    def cut_stream(self) -> None:
        """End the stream as incomplete, and close the connection."""

    def close(self) -> None:
        """Close the connection."""


class EndpointBodyStream(ResponseBodyStream):
    """The remainder of one response body, as its connection receives it.

    `received_bytes` is the length of the part that was delivered with the head.  Limitation: the idle timeout also
    cuts the body of an endpoint that pauses for longer mid-body.
    """

    def __init__(self, connection: StreamedConnection, loop: asyncio.AbstractEventLoop, received_bytes: int) -> None:
        self._connection: StreamedConnection | None = connection
        self._loop = loop
        self._received_bytes = received_bytes
        self._was_cut = False  # ended as incomplete, possibly before a sink was attached
        self._idle_timer: asyncio.TimerHandle | None = None

    def attach_sink(self, sink: BodySink) -> None:
        """Deliver to this sink; if the stream was cut already, notify it in the next iteration of the event loop."""
        self.sink = sink
        if self._was_cut:
            self._loop.call_soon(self.finish, False)

    def pause(self) -> None:
        """Stop reading, and suspend the idle timeout."""
        self._stop_idle_timer()
        if self._connection:
            self._connection.pause_reading()

    def resume(self) -> None:
        """Resume reading, and restart the idle timeout."""
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
        """Deliver bytes from the connection; return False if the body exceeds MAX_STREAMED_BODY_BYTES."""
        self._received_bytes += len(data)
        if self._received_bytes > MAX_STREAMED_BODY_BYTES:
            return False
        if self._idle_timer:
            self._restart_idle_timer()
        if self.sink:
            self.sink.feed(data)
        return True

    def finish(self, complete: bool) -> None:
        """End the stream: the connection delivers nothing more."""
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
