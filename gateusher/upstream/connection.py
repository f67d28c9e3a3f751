"""One HTTP/1.1 connection to an endpoint (RFC 9112), from dialing to its close.

A `Connection` owns its socket, its state (see `core/states.py`) and its timers, and carries one attempt at a time: it
writes the request, reads the response and ends the attempt with one outcome.  It never sends a request twice; it
reports connection errors, and the policy decides on retries.  `pool.py` assigns attempts to connections.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable
from math import inf
from typing import Final, Protocol, cast

from ..base.clock import Clock
from ..base.diagnostics import Diagnostics
from ..base.input_turns import InputTurns
from ..base.limits import MemoryBudget
from ..base.read_buffer import ReadBuffer, ReadSize
from ..base.turn_queue import TurnQueue
from ..policy.interface import Outcome
from ..policy.permission import Denial, endpoint_denied
from .interface import MIN_ATTEMPT_MS, NO_RESPONSE, Attempt, EndpointResponse
from .request_head import format_request_head
from .response_parser import MAX_HEAD_BYTES, ResponseParser
from .response_stream import EndpointBodyStream
from .states import (
    ASSIGN,
    BODY_END,
    CLOSE,
    CLOSED,
    COMPLETE,
    COMPLETE_WITH_EXTRA,
    CONNECTED,
    CONNECTING,
    CONNECTION,
    IDLE,
    INVALID,
    KEEP_ALIVE,
    PARTIALLY_SENT,
    READING_BODY,
    READING_HEAD,
    SEND_REQUEST,
    SENT,
    START_STREAMING,
    STREAMING,
    WRITE_ALL,
    WRITE_PART,
)

# Bounds what the kernel accepts of an upload, and so how much of it can seem to be written to an endpoint that hangs.
UPLOAD_SEND_BUFFER_BYTES: Final = 65536
RECEIVE_BUFFER_BYTES: Final = 32768  # bounds a single read, and what the kernel holds for a client that reads slowly


class EndpointConnections:
    """An endpoint's address and readiness, and its idle connections, the most recently used last."""

    __slots__ = (
        "endpoint_id",
        "idle",
        "ip",
        "is_replaced",
        "last_received_ms",
        "name",
        "port",
        "ready",
        "started_ms",
    )

    def __init__(self, endpoint_id: int, name: str) -> None:
        self.endpoint_id, self.name = endpoint_id, name
        self.ip, self.port = "", 0
        self.started_ms = -1.0  # start of its process according to the endpoint list
        self.ready = False
        self.is_replaced = False  # an endpoint that started later is listed at its address (address_owners.py)
        self.last_received_ms = 0.0  # on any of its connections
        self.idle: list[Connection] = []

    @property
    def address(self) -> tuple[str, int]:
        """The address that the endpoint listens on."""
        return self.ip, self.port


class ConnectionOwner(Protocol):
    """The pool that a connection belongs to, as the connection uses it."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    memory: MemoryBudget
    read_buffer: ReadBuffer
    turn_queue: TurnQueue
    diagnostics: Diagnostics

    @property
    def is_served_status(self) -> Callable[[int], bool]:
        """Returns whether responses with a status are delivered to clients."""

    def on_upload_written(self, attempt: Attempt) -> None:
        """Start the attempt's timeout: the last byte of its upload was written."""

    def end_attempt(
        self, attempt: Attempt, outcome: Outcome, load_report: bytes, response: EndpointResponse = NO_RESPONSE
    ) -> None:
        """Report the attempt's outcome."""

    def release(self, connection: Connection) -> None:
        """Return a connection whose response is complete to the pool."""

    def discard_idle(self, connection: Connection) -> None:
        """Close an idle connection that received data."""

    def on_connection_lost(self, connection: Connection) -> None:
        """Release the connection's descriptor."""


class Connection(asyncio.BufferedProtocol):
    """A connection to `endpoint`, created before it is dialed."""

    def __init__(self, pool: ConnectionOwner, endpoint: EndpointConnections) -> None:
        self._pool = pool
        self.endpoint = endpoint
        # What is dialed: the endpoint may restart or change its address before the connection is up.
        self.endpoint_started_ms, self.address = endpoint.started_ms, endpoint.address
        self.state: str = CONNECTING
        self.attempt: Attempt | None = None
        self.idle_since_ms = 0.0
        self.last_received_ms = 0.0

        self.dial_task: asyncio.Task[None] | None = None
        self.dial_failed_locally = False  # by an error of this machine, which says nothing about the endpoint
        self._dial_timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None
        self._poller = select.poll()  # of the transport's socket, once it is connected

        self._write_is_paused = False  # the transport's buffer is not empty
        self._write_stall_timer: asyncio.TimerHandle | None = None
        self._uploads_chunked = False
        self._upload_is_complete = False  # the transport has the complete upload

        self._parser = ResponseParser(self, pool.memory, pool.is_served_status)
        self._turns = InputTurns(self, self._parser, pool.turn_queue, pool.memory)
        self._read_size = ReadSize(pool.read_buffer)
        self._stream_is_paused = False
        self._stream: EndpointBodyStream | None = None
        self._unforwarded_parts: list[bytes] = []  # of its body, from the latest read

    def transition(self, event: str) -> None:
        """Apply an event to the state; called by the connection and its parser.  Raises IllegalTransitionError."""
        self.state = CONNECTION.next_state(self.state, event)

    # -- dialing

    def start_dial_timer(self, timeout_s: float) -> None:
        """Abort the attempt unless the connection is up within `timeout_s`.

        The timer checks the state and not the dial's task: an event loop calls `connection_made` even if it cancelled
        the task in the same iteration, and the request may have been written by then.
        """
        self._dial_timer = self._pool.loop.call_later(timeout_s, self._on_dial_timeout)

    def _on_dial_timeout(self) -> None:
        self._dial_timer = None
        if self.attempt and self.state == CONNECTING:
            self.abort(Outcome.NOT_SENT if self.dial_failed_locally else Outcome.CONNECT_FAILED)

    def _stop_dial_timer(self) -> None:
        if self._dial_timer:
            self._dial_timer.cancel()
            self._dial_timer = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the request that the connection was dialed for, if it may still be sent."""
        self._transport = cast(asyncio.Transport, transport)
        # With a limit of 0 `pause_writing` is called whenever the kernel accepts only a part of a write.
        self._transport.set_write_buffer_limits(high=0)
        sock = self._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._poller.register(sock.fileno(), select.POLLIN)
        self.dial_task = None
        self._stop_dial_timer()
        if self.attempt is None or self.state != CONNECTING:
            self._transport.abort()  # given up in the same iteration of the event loop
            return
        self.transition(CONNECTED)
        if self._is_obsolete(self.attempt):
            self.abort(Outcome.NOT_SENT)
        else:
            self._write_request(self._transport, self.attempt)

    def _is_obsolete(self, attempt: Attempt) -> bool:
        """Return whether the attempt may no longer be sent, as something changed while the connection was dialed.

        The attempt is asked first, since its engine then reads pending updates of the endpoint list.
        """
        if not attempt.may_be_written():
            return True
        endpoint = self.endpoint
        denial = endpoint_denied(endpoint.ready or attempt.ignores_readiness, self.leads_to_current_process())
        if attempt.write_by_ms - self._pool.clock.now_ms() < MIN_ATTEMPT_MS:
            denial = Denial.NO_TIME_LEFT
        if denial:
            self._pool.diagnostics.note("not sent", denial.name.lower())
        return denial is not None

    def leads_to_current_process(self) -> bool:
        """Return whether the endpoint neither restarted nor changed its address since this connection was dialed."""
        endpoint = self.endpoint
        is_same = endpoint.started_ms == self.endpoint_started_ms and endpoint.address == self.address
        return is_same and not endpoint.is_replaced

    # -- the request

    def send(self, attempt: Attempt) -> None:
        """Send this attempt, now or as soon as the connection is up."""
        attempt.transition(ASSIGN)
        self.attempt, attempt.connection = attempt, self
        self._parser.reset()
        if self._transport:
            self.transition(SEND_REQUEST)
            self._write_request(self._transport, attempt)

    def _write_request(self, transport: asyncio.Transport, attempt: Attempt) -> None:
        message = attempt.message
        upload = message.upload
        head = format_request_head(attempt, self._pool.clock.now_ms())
        if upload is None:
            transport.write(head + message.body)
            if not transport.is_closing():
                attempt.transition(WRITE_PART if self._write_is_paused else WRITE_ALL)
            return
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, UPLOAD_SEND_BUFFER_BYTES)
        self._uploads_chunked = upload.has_unknown_length
        self._upload_is_complete = False
        transport.write(head)
        if not transport.is_closing():
            attempt.transition(WRITE_PART)
            upload.attach(self)

    @property
    def request_is_written(self) -> bool:
        """Whether the kernel has the last byte of the request."""
        return self.attempt is not None and self.attempt.state == SENT

    # -- an upload: its body is written as it arrives

    def write(self, data: bytes) -> None:
        """Write more of the upload's body."""
        transport = self._transport
        if transport and self.attempt and not transport.is_closing():
            transport.writelines([b"%x\r\n" % len(data), data, b"\r\n"] if self._uploads_chunked else [data])

    def finish(self) -> None:
        """End the upload's body, which is complete."""
        transport, attempt = self._transport, self.attempt
        if transport and attempt and not transport.is_closing():
            if self._uploads_chunked:
                transport.write(b"0\r\n\r\n")
            self._upload_is_complete = True
            if not self._write_is_paused:
                self._on_request_written(attempt)

    def _on_request_written(self, attempt: Attempt) -> None:
        attempt.transition(WRITE_ALL)
        if attempt.post_upload_ms:
            self._pool.on_upload_written(attempt)

    def pause_writing(self) -> None:
        """Handle a full send buffer of the kernel, which pauses an upload (asyncio.BufferedProtocol)."""
        self._write_is_paused = True
        if self.attempt and (upload := self.attempt.message.upload):
            upload.pause()
            self._start_write_stall_timer(self.attempt)

    def resume_writing(self) -> None:
        """Handle an empty write buffer: the kernel has accepted everything that was written (asyncio)."""
        self._write_is_paused = False
        self._stop_write_stall_timer()
        if self.attempt and self.attempt.state == PARTIALLY_SENT:
            upload = self.attempt.message.upload
            if upload is None or self._upload_is_complete:
                self._on_request_written(self.attempt)
            else:
                upload.resume()

    def _start_write_stall_timer(self, attempt: Attempt) -> None:
        transport = self._transport
        if self._write_stall_timer is None and transport and attempt.write_stall_ms < inf:
            self._write_stall_timer = self._pool.loop.call_later(
                attempt.write_stall_ms / 1000, self._on_write_stall, transport.get_write_buffer_size()
            )

    def _on_write_stall(self, buffered_bytes: int) -> None:
        """Abort an upload of which the kernel has accepted nothing since `buffered_bytes` were left."""
        self._write_stall_timer = None
        if not self.attempt or self.attempt.written or not self._transport:
            return
        if self._transport.get_write_buffer_size() < buffered_bytes:
            self._start_write_stall_timer(self.attempt)
        else:
            self.abort(Outcome.CONNECT_FAILED)

    def _stop_write_stall_timer(self) -> None:
        if self._write_stall_timer:
            self._write_stall_timer.cancel()
            self._write_stall_timer = None

    # -- the response

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read (asyncio.BufferedProtocol)."""
        return self._read_size.part()

    def buffer_updated(self, nbytes: int) -> None:
        """Handle what was read into the buffer (asyncio.BufferedProtocol)."""
        self.data_received(self._read_size.take(nbytes))

    def data_received(self, data: bytes) -> None:
        """Parse data that was read, and act on the resulting state."""
        self.last_received_ms = self.endpoint.last_received_ms = self._pool.clock.now_ms()
        if self.state == CLOSED:
            return  # input that waited for its turn
        if self.attempt is None and self._stream is None:
            self._pool.discard_idle(self)
            return
        self._turns.parse(data)
        self._handle_response()

    def _handle_response(self) -> None:
        """Act on the state after data was parsed."""
        parser, state = self._parser, self.state
        if state == COMPLETE:
            if not (self._turns.is_waiting or self._has_unread_data):  # what follows the response is judged first
                self._end_response()
        elif state == COMPLETE_WITH_EXTRA:
            if parser.is_repeated:
                self._end_response()
        elif state == STREAMING:
            self._forward_streamed_body()
        elif state == READING_BODY and parser.exceeds_buffer:
            self._start_streaming()
        elif state == INVALID or parser.head_bytes > MAX_HEAD_BYTES:
            self._abort_invalid_response()

    @property
    def _has_unread_data(self) -> bool:
        """Whether more data, or the end of the stream, has arrived and is not read (one system call)."""
        return bool(self._poller.poll(0))

    def _end_response(self) -> None:
        if self.attempt:
            self._complete_response()
        else:
            self._complete_stream()

    def eof_received(self) -> None:
        """Handle the end of the stream, which may complete the response; the transport closes in any case."""
        # httptools can't be notified of the end.
        parser = self._parser
        if self.state in (READING_BODY, STREAMING) and parser.is_delimited_by_close:
            self.transition(BODY_END)
        self._end_complete_response()

    def _end_complete_response(self) -> None:
        """End a response that is complete, now that the connection ends and nothing follows it."""
        if self.state == COMPLETE:
            self._parser.keep_alive = False
            self._end_response()

    @property
    def is_response_arriving(self) -> bool:
        """Whether a final response has begun and is not complete, or not known to be alone."""
        return self.state in (READING_HEAD, READING_BODY, COMPLETE, COMPLETE_WITH_EXTRA)

    @property
    def is_response_progressing(self) -> bool:
        """Whether the latest bytes of a response arrived in the second half of the time since its first."""
        now_ms = self._pool.clock.now_ms()
        return now_ms - self.last_received_ms < (now_ms - self._parser.started_ms) / 2

    def _complete_response(self) -> None:
        """Report the response, after returning the connection to the pool, where the next attempt can use it."""
        parser = self._parser
        attempt = self._detach_attempt()
        outcome = parser.outcome
        response = parser.response() if outcome is Outcome.OK else NO_RESPONSE
        parser.release_body()
        # Bytes that follow a response must never be taken for the response to the next request.
        if parser.keep_alive and attempt.written and self.state == COMPLETE:
            self._pool.release(self)
        else:
            self.close()
        self._pool.end_attempt(attempt, outcome, parser.load_report, response)

    def _abort_invalid_response(self) -> None:
        """End the attempt with ERROR if the request may have run, or CONNECT_FAILED if its last byte was not written.

        The connection is closed.  A streamed response ends as incomplete.
        """
        if self.attempt is None:
            self.cut_stream()
            return
        self.abort(Outcome.ERROR if self.request_is_written else Outcome.CONNECT_FAILED)

    # -- a response whose body is streamed

    @property
    def accepts_streaming(self) -> bool:
        """Whether the attempt's sender accepts a response with an incomplete body."""
        return self.attempt is not None and self.attempt.message.accepts_streaming

    def start_streaming_early(self) -> bool:
        """Stream a slow response of unknown length; return False if it can't be streamed.

        A streamed response rules out a retry of the request, so a response that fits the buffer is not streamed.
        """
        parser = self._parser
        if self.state != READING_BODY or parser.has_known_length or not parser.may_be_streamed:
            return False
        self._start_streaming()
        return True

    def _start_streaming(self) -> None:
        """Deliver the part that has arrived and end the attempt; the connection is reserved until the body ends."""
        self.transition(START_STREAMING)
        parser = self._parser
        stream = self._stream = EndpointBodyStream(self, self._pool.loop, parser.body_bytes)
        stream.pause()
        length = parser.content_length if parser.has_known_length else -1
        response = parser.response()._replace(body_stream=stream, length=length)
        parser.release_body()
        attempt = self._detach_attempt()
        self._pool.end_attempt(attempt, Outcome.OK, parser.load_report, response)

    def stream_body(self, data: bytes) -> None:
        """Deliver more of the body once what follows in the same read is judged."""
        self._unforwarded_parts.append(data)

    def _forward_streamed_body(self) -> bool:
        """Deliver what was received of a streamed body; return False if the stream was cut, as that is too long."""
        parts, self._unforwarded_parts = self._unforwarded_parts, []
        if parts and self._stream and not self._stream.feed(b"".join(parts)):
            self.cut_stream()
        return self._stream is not None

    def _complete_stream(self) -> None:
        if not self._forward_streamed_body():
            return
        stream, self._stream = self._stream, None
        if self._parser.keep_alive and self.state == COMPLETE:
            self.resume_reading()  # the stream may have paused it just before the end
            self._pool.release(self)
        else:
            self.close()
        if stream:
            stream.finish(complete=True)

    def cut_stream(self) -> None:
        """End the stream as incomplete, and close the connection."""
        self._end_stream_incomplete()
        self.close()

    def _end_stream_incomplete(self) -> None:
        stream, self._stream = self._stream, None
        if stream:
            stream.finish(complete=False)

    def pause_reading(self) -> None:
        """Stop reading from the endpoint: the stream is not taken."""
        self._stream_is_paused = True
        self._turns.suspend()
        self._update_reading()

    def resume_reading(self) -> None:
        """Resume reading from the endpoint."""
        self._stream_is_paused = False
        self._turns.resume()
        self._update_reading()

    def pause_for_turn(self) -> None:
        """Stop reading until the next turn of the event loop."""
        self._update_reading()

    def shorten_reads(self) -> None:
        """Read less at once: one turn does not suffice for what was read."""
        self._read_size.reset()

    def abort_after_error(self) -> None:
        """Close the connection: its input could not be handled."""
        if self._transport:
            self._transport.abort()

    def resume_after_turn(self) -> None:
        """Read again: no input waits any more."""
        self._update_reading()

    def _update_reading(self) -> None:
        if not self._transport or self._transport.is_closing():
            return
        if self._stream_is_paused or self._turns.is_waiting:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    # -- idle and closed

    def become_idle(self) -> None:
        """Mark the connection as idle; called by the pool when it takes the connection back."""
        self.transition(KEEP_ALIVE)
        self.idle_since_ms = self._pool.clock.now_ms()

    def is_reusable(self) -> bool:
        """Return whether the idle connection is open and no data has arrived, read or unread (one system call)."""
        return (
            self.state == IDLE
            and self._transport is not None
            and not self._transport.is_closing()
            and not self._has_unread_data
        )

    def abort(self, outcome: Outcome) -> None:
        """End the attempt with this outcome, and close the connection."""
        attempt = self._detach_attempt()
        self._parser.release_body()
        self.close()
        self._pool.end_attempt(attempt, outcome, b"")

    def abort_after_connection_error(self) -> None:
        """End the attempt with RESET or CONNECT_FAILED, depending on whether its last byte was written."""
        self.abort(Outcome.RESET if self.request_is_written else Outcome.CONNECT_FAILED)

    def close(self) -> None:
        """Close at once; the pool is notified when the descriptor is free."""
        if self.state != CLOSED:
            self.transition(CLOSE)
        self._stop_dial_timer()
        if self.dial_task:
            self.dial_task.cancel()
        if self._transport:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection, closed by either side (asyncio.BufferedProtocol)."""
        self._transport = None
        if not self._turns.is_waiting:
            self._end_complete_response()
        self._turns.close()
        if self.state != CLOSED:
            self.transition(CLOSE)
        self._pool.on_connection_lost(self)
        self._end_stream_incomplete()
        if self.attempt:
            self.abort_after_connection_error()
        self.dispose()

    def dispose(self) -> None:
        """Break the reference cycles of a connection that has ended, also of one that was never up.

        Without it they would stay in memory until one of the rare garbage collections.
        """
        self.dial_task = None
        self._turns.close()
        self._parser.close()

    def _detach_attempt(self) -> Attempt:
        attempt = self.attempt
        assert attempt
        self.attempt = attempt.connection = None
        if attempt.message.upload:
            attempt.message.upload.detach()
        self._stop_write_stall_timer()
        if attempt.timer:
            attempt.timer.cancel()
        return attempt
