"""One client's HTTP/1.1 connection: reads requests, writes their responses in order, and limits every stall.

`ClientConnection` owns the transport, the requests without a complete response, the body being received and the
connection's time limits.  Each kind of stall has its own limit, and received bytes alone extend none of them: a
partial request, a response that is not read, and a connection without requests.  `request_parser` parses the input,
`classification` submits requests and `response_writer` formats responses; the core decides how a request is answered.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections import deque
from typing import Protocol, cast

from ..base.diagnostics import Invariant
from ..base.input_turns import InputTurns
from ..base.limits import REQUEST_BYTES, MemoryBudget, Reservation
from ..base.read_buffer import ReadBuffer, ReadSize
from ..base.turn_queue import TurnQueue
from ..core.engine import ClientRequest, FinalResponse
from ..core.states import OPEN
from ..upstream.interface import STATUSES_WITHOUT_BODY, EndpointResponse
from ..upstream.upload import Upload
from . import response_writer as responses
from .classification import ACCEPTED, ANSWERED, RequestListener, parse_deadline_ms, submit_request
from .close_reason import UNREACHABLE_CLIENT, CloseReason
from .complete_request import CompleteRequest
from .http_request import HttpRequest
from .read_pause import PauseReason, ReadPause
from .receive_timer import ReceiveTimer
from .request_parser import RequestParser, UnusableRequestError
from .sockets import unread_bytes, unsent_bytes
from .stream_pacer import StreamPacer
from .unread_input import UnreadInput
from .upload_deadline import UploadDeadline

MAX_PIPELINED_REQUESTS = 8  # clients should send one at a time
MAX_PRESSED_PIPELINED_REQUESTS = 1  # close to the memory limit
MAX_BUFFERED_REQUEST_BYTES = 256 << 10  # a longer body is forwarded while it is received
WRITE_STALL_TIMEOUT_S = 6.0  # the client reads nothing of a response that is complete here
# The same for a streamed response.  A window that is closed opens only when much of the client's receive buffer is
# free, which takes half a minute for one that reads steadily but slowly.
STREAM_STALL_TIMEOUT_S = 60.0
UNUSED_CONNECTION_TIMEOUT_S = 2.0  # without any request since the connection was made
KEEP_ALIVE_TIMEOUT_S = 2.0  # idle since the last response
LINGERING_GRACE_S = 0.2  # the same where its descriptor is needed
LINGERING_CLOSE_S = 2.0  # input is discarded after the last response, so that no reset overtakes it
NEW_CONNECTION_GRACE_S = 0.1  # before an unused connection may be reclaimed

DISCONNECTED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
NO_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER, socket(7): close(2) resets the connection


class ConnectionOwner(RequestListener, Protocol):
    """The listener that a connection belongs to."""

    loop: asyncio.AbstractEventLoop
    memory: MemoryBudget
    read_buffer: ReadBuffer
    turn_queue: TurnQueue

    @property
    def accept_queue_empty_at_s(self) -> float:
        """When the accept queue was last known to be empty."""

    @property
    def accept_is_late(self) -> bool:
        """Whether connections accepted now may have waited in the accept queue."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """The connection is closed and its descriptor free."""


class ClientConnection(asyncio.BufferedProtocol):
    """A client's connection, from accept(2) until its descriptor is closed."""

    def __init__(self, owner: ConnectionOwner) -> None:
        now_s = owner.loop.time()
        self._owner = owner
        self._parser = RequestParser(self)
        self._turns = InputTurns(self, self._parser, owner.turn_queue, owner.memory)
        self._read_size = ReadSize(owner.read_buffer)
        self._head_memory = Reservation(owner.memory)  # of a head that is not complete
        self._response_memory = Reservation(owner.memory)  # of responses that the kernel has not taken
        self._pacer = StreamPacer(owner.loop, self._unsent_bytes, self._note_activity)
        self._transport: asyncio.Transport | None = None
        self._unanswered: deque[HttpRequest] = deque()  # without a complete response, in request order
        self._write_blocked = False  # the transport's write buffer is full
        self._discards_input = False  # the last response is being sent
        self._closing = False
        self._has_begun_request = False
        self._unread_input = UnreadInput(owner.accept_queue_empty_at_s, owner.accept_is_late)
        self.last_active_s = now_s  # when it was accepted, or last written to
        self._receive_timer = ReceiveTimer(now_s)
        self._poller = select.poll()
        self._buffered_body = bytearray()
        self._complete: CompleteRequest | None = None  # until what follows it is known
        self._last_part = b""  # of a body that is forwarded, until what follows it is known
        self._uploading: HttpRequest | None = None  # the request whose body is forwarded while it is received
        self._upload_deadline: UploadDeadline | None = None  # of that request
        self._read_pause = ReadPause(self._receive_timer, self._unread_input)

    # -- asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The loop has attached the connection."""
        self._transport = cast(asyncio.Transport, transport)
        if self._closing:
            self._transport.close()  # closed while the loop was still attaching it
        # With a limit of 0 `pause_writing` is called whenever the kernel accepts only a part of a write.
        self._transport.set_write_buffer_limits(high=0)
        sock = self._transport.get_extra_info("socket")
        self._poller.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed: its open requests are cancelled."""
        self._transport = None
        self._drop_complete_request()
        self._uploading = None
        self._upload_deadline = None  # it refers back to this object
        self._parser.close()
        self._turns.close()
        self._owner.turn_queue.cancel(self.resume_after_turn)
        self._pacer.close()
        self._head_memory.set(0)
        self._response_memory.set(0)
        self._release_buffered_body()
        self._owner.connection_closed(self)
        unanswered = self._unanswered
        self._unanswered = deque()
        for request in unanswered:
            if request.body_stream:
                request.body_stream.cancel()
            self._owner.engine.client_disconnected(request)

    def eof_received(self) -> None:
        """The client has closed its end and counts as disconnected, also where it only closed its writing side.

        The loop closes the connection once all written data has been read.  Nothing may be forwarded until then.
        """
        self._drop_complete_request()
        for request in list(self._unanswered):
            self._owner.engine.client_disconnected(request)

    def pause_writing(self) -> None:
        """The write buffer is full: a streamed response stops, and later ones wait."""
        self._write_blocked = True
        self._count_responses()
        stream = self._unanswered[0].body_stream if self._unanswered else None
        if stream and stream.sink:
            stream.pause()

    def resume_writing(self) -> None:
        """The write buffer has drained."""
        self._write_blocked = False
        self._note_activity()
        self._count_responses()
        stream = self._unanswered[0].body_stream if self._unanswered else None
        if stream and stream.sink:
            self._pacer.resume(stream)
        else:
            self._write_responses()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._read_size.part()

    def buffer_updated(self, nbytes: int) -> None:
        """Handle what was read into the buffer."""
        self.data_received(self._read_size.take(nbytes))

    def data_received(self, data: bytes) -> None:
        """Parse input of any length; the parser calls back for what it contains."""
        if not self._turns.is_proceeding:
            self._unread_input.input_read(self._owner.loop.time(), self._owner.engine.backlog)
        if self._discards_input:
            self._await_turn_to_discard()
            return
        if self._uploading and self.has_disconnected:
            self._abort(CloseReason.CLIENT_DISCONNECTED)  # before the last byte of its body is forwarded
            return
        try:
            self._turns.parse(data)
            self._count_head()
            self._submit_if_nothing_follows()
        except UnusableRequestError as error:
            self.reject(error.status)
        else:
            if self._parser.in_request:
                self._receive_timer.input_received(self._owner.loop.time())

    def _count_head(self) -> None:
        """Count the memory of a head, or of a long trailer section, that is not complete.

        Raises UnusableRequestError if there is none left for it, or for input that waits.
        """
        memory = self._owner.memory
        self._head_memory.set(self._parser.unfinished_bytes)
        if (self._head_memory.size or self._turns.is_waiting) and memory.in_use > memory.limit:
            raise UnusableRequestError(503)

    # -- turns of the event loop, for the input

    def _await_turn_to_discard(self) -> None:
        """Read on at once, or in a later iteration if many others want a turn: a client may send at full speed."""
        queue = self._owner.turn_queue
        if not queue.try_admit():
            self.pause_for_turn()
            queue.schedule(self.resume_after_turn)

    def pause_for_turn(self) -> None:
        """Stop reading until the next turn."""
        self._read_pause.begin(PauseReason.TURN, self._transport, self._owner.loop.time())

    def shorten_reads(self) -> None:
        """Read less at once: one turn does not suffice for what was read."""
        self._read_size.reset()

    def abort_after_error(self) -> None:
        """Close it: its input could not be handled."""
        self._abort(CloseReason.ERROR)

    def resume_after_turn(self) -> None:
        """Read again: no input waits any more."""
        self._read_pause.end(PauseReason.TURN, self._transport, self._owner.loop.time())

    # -- state, for the listener

    @property
    def has_disconnected(self) -> bool:
        """Whether the client has closed its end, even if input before that is still unread."""
        return bool(self._transport and any(event & DISCONNECTED_EVENTS for _, event in self._poller.poll(0)))

    @property
    def is_idle(self) -> bool:
        """Between requests, with nothing to read: closing it can at most race with a request in transit."""
        return bool(
            not self._unanswered
            and not self._parser.in_request
            and not self._write_blocked
            and not self._turns.is_waiting
            and self._transport
            and not self._transport.get_write_buffer_size()
            and not self._poller.poll(0)
        )

    @property
    def may_have_unread_input(self) -> bool:
        """Whether the client may have sent input that is not read yet."""
        if self._closing or self._discards_input:
            return False
        if self._transport is None:
            return True  # the loop is still attaching it
        return not self._transport.is_closing() and (self._turns.is_waiting or bool(self._poller.poll(0)))

    @property
    def is_receiving_request(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self._parser.in_request

    @property
    def is_used(self) -> bool:
        """Whether a request has ever begun on it."""
        return self._has_begun_request

    def is_reclaimable(self, now_s: float) -> bool:
        """Whether it may be closed to free its descriptor for another.

        Clients send at once after connecting, so unused connections and stalled requests have a short grace only.
        """
        if self._closing:
            return False
        if self.is_lingering:
            return now_s - self.last_active_s > LINGERING_GRACE_S
        if self._parser.in_request and not self._unanswered and not self._read_pause.is_active:
            return self._receive_timer.is_reclaimable(now_s)
        return self.is_idle and (self._has_begun_request or now_s - self.last_active_s > NEW_CONNECTION_GRACE_S)

    @property
    def is_lingering(self) -> bool:
        """Whether the last response is written, and input behind it is discarded."""
        return self._discards_input and not self._unanswered

    @property
    def held_bytes(self) -> int:
        """The memory that its messages take."""
        upload = self._uploading.upload if self._uploading else None
        return (
            self._head_memory.size
            + self._response_memory.size
            + self._turns.waiting_bytes
            + len(self._buffered_body)
            + (upload.held_bytes if upload else 0)
            + sum(request.head_memory.size for request in self._unanswered)
        )

    @property
    def sending_since_s(self) -> float | None:
        """Since when its client owes the rest of a request; None if it doesn't, or is owed responses before."""
        if self._transport is None or not self._parser.in_request:
            return None
        owes_response = any(request is not self._uploading for request in self._unanswered)
        return None if owes_response else self._receive_timer.began_s

    @property
    def slow_since_s(self) -> float | None:
        """Since when its client owes the rest of a request or has not read a response; None if neither."""
        if self._transport and (self._write_blocked or self._pacer.is_waiting):
            return self.last_active_s
        return self.sending_since_s

    # -- closing and time limits

    def shed(self) -> None:
        """End a slow connection, as the process is about to reach its memory limit."""
        if self.sending_since_s is None or self._write_blocked:
            self._abort(CloseReason.RESPONSE_NOT_READ)
        else:
            self.reject(503)  # no endpoint has received the last byte

    def close(self, reason: CloseReason) -> None:
        """Close it once all written data has been sent; no response may be outstanding on it."""
        self._note_close(reason)
        self._closing = True
        if self._transport:
            self._transport.close()

    def reclaim(self) -> None:
        """Close it in favor of another, where `is_reclaimable` allows that."""
        if self.is_lingering:
            self._abort(CloseReason.RECLAIMED)
        else:
            self.close(CloseReason.RECLAIMED)

    def finish(self) -> None:
        """Close it as the process ends, interrupting a response that is still being streamed."""
        request = self._unanswered[0] if self._unanswered else None
        if request and request.body_stream:
            request.body_stream.cancel()
            self.finish_body(request, False)
        else:
            self.close(CloseReason.SHUTDOWN)

    def _abort(self, reason: CloseReason) -> None:
        """Close it at once and discard unsent data."""
        self._note_close(reason)
        if self._transport:
            self._transport.abort()

    def _note_close(self, reason: CloseReason) -> None:
        if self._closing:
            return
        diagnostics = self._owner.engine.diagnostics
        unanswered: list[HttpRequest] = []
        if reason not in UNREACHABLE_CLIENT:
            unanswered = [request for request in self._unanswered if request.state == OPEN]
        diagnostics.note("client closed", reason.value, unanswered[0].request_id if unanswered else b"")
        for request in unanswered:
            diagnostics.record_violation(Invariant.NO_CLOSE_WITH_ANSWERS_OWED, request.request_id)

    def enforce_time_limits(self, now_s: float) -> None:
        """End whatever makes no progress; called at regular intervals."""
        if self._read_pause.has(PauseReason.UPLOAD) and self._uploading is None:
            self._owner.engine.diagnostics.record_violation(Invariant.NO_PAUSE_WITHOUT_UPLOAD)
            self.resume()
        inactive_s = now_s - self.last_active_s
        if self._transport and self._is_unread(inactive_s):
            self._abort(CloseReason.RESPONSE_NOT_READ)
        elif self._discards_input:
            if not self._unanswered and inactive_s > LINGERING_CLOSE_S:
                self.close(CloseReason.LINGERED)
        elif self._uploading and self._upload_deadline and self._upload_deadline.is_due(now_s):
            self.reject(503)  # no endpoint has received the last byte, so none has executed it
        elif self._complete and self._parser.in_request and self._complete.is_overdue(now_s):
            self._end_delay()
        elif self._read_pause.is_active:
            if self.has_disconnected:
                self._abort(CloseReason.CLIENT_DISCONNECTED)  # reading is paused, so no end of file is reported
        elif self._parser.in_request:
            if self._receive_timer.is_overdue(now_s, self._parser):
                self.reject(408)
        elif self._has_begun_request:
            if inactive_s > KEEP_ALIVE_TIMEOUT_S and self.is_idle:
                self.close(CloseReason.IDLE)
        elif inactive_s > UNUSED_CONNECTION_TIMEOUT_S and self.is_idle:
            self.close(CloseReason.UNUSED)

    def _is_unread(self, inactive_s: float) -> bool:
        """Whether the client has read nothing of its response for too long."""
        is_streaming = bool(self._unanswered and self._unanswered[0].body_stream)
        if self._pacer.is_waiting or (is_streaming and self._write_blocked):
            return inactive_s > STREAM_STALL_TIMEOUT_S
        return (self._write_blocked or self._closing) and inactive_s > WRITE_STALL_TIMEOUT_S

    # -- requests, as the parser reports them

    def on_request_begin(self) -> None:
        """A request, or anything else, begins."""
        if self._has_begun_request:
            self._receive_timer.restart(self._owner.loop.time())
        self._has_begun_request = True
        self._unread_input.request_began()

    def on_request_line(self) -> None:
        """What has begun is a request.  Raises UnusableRequestError, which also bounds the work of a single read."""
        self._submit_complete_request()
        is_pressed = self._owner.memory.is_pressed
        if len(self._unanswered) >= (MAX_PRESSED_PIPELINED_REQUESTS if is_pressed else MAX_PIPELINED_REQUESTS):
            raise UnusableRequestError(429)
        if self._unanswered and not self._unanswered[-1].keep_alive:
            raise UnusableRequestError(400)  # the response before it ends the connection

    def on_expect_continue(self) -> None:
        """Send 100 Continue, unless a response before it is outstanding."""
        if not self._unanswered and self._transport:
            self._transport.write(responses.CONTINUE)

    def on_body_data(self, data: bytes) -> None:
        """Buffer the body, or forward it if it is long or memory is scarce.  Raises UnusableRequestError."""
        is_last = self._parser.has_known_length and not self._parser.remaining_body_bytes
        memory = self._owner.memory
        if self._uploading and not is_last:
            if self._uploading.upload and not self._uploading.upload.feed(data):
                raise UnusableRequestError(503)
            return
        if not memory.acquire(len(data)):
            raise UnusableRequestError(503)
        if self._uploading:
            self._last_part = data
            return
        self._buffered_body += data
        if not is_last and (len(self._buffered_body) > MAX_BUFFERED_REQUEST_BYTES or memory.is_scarce):
            self._begin_upload()

    def on_request_complete(self) -> None:
        """Keep the request until what follows it is known."""
        now_s = self._owner.loop.time()
        unread_ms = self._unread_ms()
        request = self._uploading
        if request is None:
            body = self._buffered_body
            self._buffered_body = bytearray()
            request = self._make_request(body)
            self._unanswered.append(request)
        elif self._upload_deadline:
            unread_ms = max(unread_ms, self._upload_deadline.unread_ms(now_s))
        self._unread_input.has_received_request = True
        last_part, self._last_part = self._last_part, b""
        self._complete = CompleteRequest(request, self._parser.fields, now_s, unread_ms, last_part)

    def _submit_if_nothing_follows(self) -> None:
        """Submit the complete request, unless something behind it waits to be read or is too short to be judged."""
        if self._complete and not (self._turns.is_waiting or self._parser.in_request or self._unread_bytes()):
            self._submit_complete_request()

    def _end_delay(self) -> None:
        """Decide on the complete request by the few bytes that follow it."""
        if self._parser.target:
            self._submit_complete_request()
        else:
            self.reject(400)

    def _submit_complete_request(self) -> None:
        """Submit the request, or complete the one whose body was forwarded.  Raises UnusableRequestError."""
        complete, self._complete = self._complete, None
        if complete is None:
            return
        request, now_s = complete.request, self._owner.loop.time()
        if request is self._uploading:
            self._complete_upload(request, complete, now_s)
            return
        request.unread_ms = complete.queued_ms(now_s)
        status = submit_request(request, complete.fields, self._owner)
        if status != ACCEPTED:
            complete.release(self._owner.memory)
        if status not in (ACCEPTED, ANSWERED):
            self._answer(request, status)

    def _complete_upload(self, request: HttpRequest, complete: CompleteRequest, now_s: float) -> None:
        upload, last_part = request.upload, complete.last_part
        self._owner.memory.release(len(last_part))
        if upload and last_part and not upload.feed(last_part):
            raise UnusableRequestError(503)
        self._uploading = None
        self._owner.engine.upload_completed(request, complete.queued_ms(now_s))

    def _drop_complete_request(self) -> None:
        """Forget the complete request, which must not be submitted any more."""
        if self._complete:
            self._complete.release(self._owner.memory)
            self._complete = None

    def _make_request(self, body: bytes | bytearray) -> HttpRequest:
        parser = self._parser
        request = HttpRequest(
            self,
            self._owner.memory,
            parser.method,
            parser.target,
            parser.headers,
            body,
            parser.keep_alive,
            parser.is_http_1_0,
            self._unread_input.request_sent_s,
        )
        request.head_memory.set(parser.held_bytes + REQUEST_BYTES)
        return request

    def _begin_upload(self) -> None:
        """Submit the request before its body is complete.  Raises UnusableRequestError if it is not accepted."""
        body = self._buffered_body
        self._buffered_body = bytearray()
        fields = self._parser.fields
        total_bytes = int(fields[b"content-length"]) if b"content-length" in fields else -1
        request = self._make_request(b"")
        upload = Upload(self, bytes(body), total_bytes, parse_deadline_ms(fields) or 0.0, self._owner.memory)
        request.upload = upload
        self._uploading = request
        self._upload_deadline = UploadDeadline(upload, self._parser, self._read_pause, self._unread_bytes)
        self._unanswered.append(request)
        status = submit_request(request, fields, self._owner)
        if status != ACCEPTED:
            upload.release()
            request.head_memory.set(0)
        if status not in (ACCEPTED, ANSWERED):
            self._unanswered.remove(request)
            self._uploading = None
            raise UnusableRequestError(status if status >= 400 else 413)  # below 400: of a health check
        upload.on_request_submitted()

    def pause(self) -> None:
        """Stop reading: the endpoint accepts no more of the body for now."""
        now_s = self._owner.loop.time()
        self._read_pause.begin(PauseReason.UPLOAD, self._transport, now_s)
        if self._upload_deadline:
            self._upload_deadline.reading_paused(now_s)

    def resume(self) -> None:
        """Resume reading."""
        self._read_pause.end(PauseReason.UPLOAD, self._transport, self._owner.loop.time())

    def _unread_ms(self) -> float:
        return self._unread_input.unread_ms(self._owner.loop.time(), self._owner.engine.backlog, self._transport)

    def _release_buffered_body(self) -> None:
        self._owner.memory.release(len(self._buffered_body) + len(self._last_part))
        self._buffered_body = bytearray()
        self._last_part = b""

    def reject(self, status: int) -> None:
        """Answer unusable input with an error, after the responses that precede it, and close."""
        if self._discards_input:
            return
        self._discards_input = True
        rejected_id = self._uploading.request_id if self._uploading else b""
        self._owner.engine.diagnostics.note("rejected by the listener", str(status), rejected_id)
        is_behind_request = not self._parser.in_request or not self._parser.has_request_line
        complete = self._complete
        self._drop_complete_request()
        self._parser.abandon_request()
        self._release_buffered_body()
        if self._uploading:
            # Its body is not complete, so no endpoint has executed it and this is its response.
            uploading = self._uploading
            self._uploading = None
            self._owner.engine.client_disconnected(uploading)
            uploading.keep_alive = False
            self._answer(uploading, status)
            return
        if complete:
            complete.request.keep_alive = False
            self._answer(complete.request, status)
            return
        if status == 400 and is_behind_request and self._unanswered:
            self._withdraw(self._unanswered[-1], status)
            return
        if self._unanswered and not self._unanswered[-1].keep_alive:
            return  # nothing is answered after a request that ends its connection (RFC 9112, section 9.6)
        self._head_memory.set(0)
        unusable = HttpRequest(self, self._owner.memory, b"", b"", [], b"", keep_alive=False)
        self._unanswered.append(unusable)
        self._answer(unusable, status)

    def _withdraw(self, request: HttpRequest, status: int) -> None:
        """Answer a submitted request with an error, as no request follows it: its body may have been cut.

        A response that is being written is interrupted, so that the client can tell that it is not whole.
        """
        self._owner.engine.client_disconnected(request)
        if request.body_stream:
            request.body_stream.cancel()
        if request.unwritten_response == b"":
            self.finish_body(request, False)
            return
        request.body_stream = None
        request.keep_alive = False
        self._answer(request, status)

    # -- responses, for the core and the response streams

    def on_final_response(self, call: ClientRequest, final: FinalResponse) -> None:
        """Write the final response after those of earlier requests."""
        assert isinstance(call, HttpRequest)
        response = final.response
        if call is self._uploading:
            # It is answered before its last byte: the rest is discarded, and no request can follow on the connection.
            self._drop_complete_request()
            self._uploading = None
            self._discards_input = True
            self._parser.abandon_request()
            call.keep_alive = False
            self.resume()
        if response is None:
            self._answer(call, responses.STATUS_BY_OUTCOME[final.outcome], final.retry_after_ms)
            return
        header_lines = responses.format_headers(response.headers)
        if response.body_stream:
            self._begin_streaming(call, response, header_lines)
            return
        has_no_body = response.status in STATUSES_WITHOUT_BODY
        length = responses.UNKNOWN_LENGTH if has_no_body else len(response.body)
        self._send(call, self._format_head(call, response.status, header_lines, length) + response.body)

    def _begin_streaming(self, request: HttpRequest, response: EndpointResponse, header_lines: bytes) -> None:
        """Write what was received of a response so far; `forward_body` and `finish_body` write the rest."""
        request.body_stream = response.body_stream
        body = response.body
        if response.length < 0 and not request.is_http_1_0:
            request.is_chunked = True
            header_lines += responses.CHUNKED_FIELD
            body = responses.format_chunk(body)
        self._send(request, self._format_head(request, response.status, header_lines, response.length) + body)

    def forward_body(self, request: HttpRequest, data: bytes) -> None:
        """Write more of a streamed response."""
        transport = self._transport
        if transport and not transport.is_closing() and data:
            self._note_activity()
            if request.is_chunked:
                transport.writelines([b"%x\r\n" % len(data), data, b"\r\n"])
            else:
                transport.write(data)
            if request.body_stream and not self._write_blocked:
                self._pacer.data_written(request.body_stream)

    def finish_body(self, request: HttpRequest, is_complete: bool) -> None:
        """End a streamed response.  An interrupted one resets the connection, so that the client can detect it.

        If only the connection's end marks the end of the body (RFC 9112, section 6.3), nothing else would show it.
        """
        request.body_stream = None
        self._pacer.stop()
        transport = self._transport
        if not transport or transport.is_closing():
            return
        if not is_complete:
            transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            self._abort(CloseReason.RESPONSE_INTERRUPTED)
            return
        if request.is_chunked:
            transport.write(responses.LAST_CHUNK)
        self._write_responses()

    def is_disconnected(self, call: ClientRequest) -> bool:
        """Whether the client has closed its end, checked now."""
        return self._transport is None or self.has_disconnected

    def on_released(self, call: ClientRequest) -> None:
        """Free the head of a request that is answered, and whose attempts have ended."""
        assert isinstance(call, HttpRequest)
        call.head_memory.set(0)

    def _format_head(self, request: HttpRequest, status: int, header_lines: bytes, length: int) -> bytes:
        is_last = len(self._unanswered) == 1 and not self._parser.in_request
        if is_last and self._owner.lifecycle.is_closing_connections:
            request.keep_alive = False
        return responses.format_head(status, header_lines, length, request.keep_alive)

    def _answer(self, request: HttpRequest, status: int, retry_after_ms: float = 0.0) -> None:
        """Answer with a status of the listener's own."""
        header_lines = b""
        if status in responses.RETRY_AFTER_STATUSES:
            delay_ms = retry_after_ms or self._owner.engine.retry_after_ms(0.0)
            header_lines = responses.format_retry_after(delay_ms)
        self._send(request, self._format_head(request, status, header_lines, 0))

    def _send(self, request: HttpRequest, data: bytes) -> None:
        request.unwritten_response = data
        self._write_responses()

    def _count_responses(self) -> None:
        """Count the memory of the responses that wait for their turn, or for the client to read."""
        if self._transport is None:
            return
        waiting_bytes = sum(len(request.unwritten_response or b"") for request in self._unanswered)
        self._response_memory.set(waiting_bytes + self._transport.get_write_buffer_size())

    def _unread_bytes(self) -> int:
        return unread_bytes(self._transport.get_extra_info("socket")) if self._transport else 0

    def _unsent_bytes(self) -> int:
        return unsent_bytes(self._transport.get_extra_info("socket")) if self._transport else 0

    def _note_activity(self) -> None:
        self.last_active_s = self._owner.loop.time()

    def _write_responses(self) -> None:
        """Write the responses that are next in order, unless the connection is closing, and count those that wait."""
        self._write_next_responses()
        if self._response_memory.size or self._unanswered:
            self._count_responses()

    def _write_next_responses(self) -> None:
        unanswered, transport = self._unanswered, self._transport
        while unanswered and transport and not transport.is_closing() and not self._write_blocked:
            first = unanswered[0]
            if first.unwritten_response is None:
                return
            if first.unwritten_response:
                data, first.unwritten_response = first.unwritten_response, b""
                transport.write(data)
                self._note_activity()
            if first.body_stream:
                if not first.body_stream.sink:
                    first.body_stream.attach_sink(first)
                    if not self._write_blocked:
                        self._pacer.resume(first.body_stream)
                return  # later responses wait for its end
            unanswered.popleft()
            if not first.keep_alive:
                self._end_after_last_response(transport)

    def _end_after_last_response(self, transport: asyncio.Transport) -> None:
        """Close, or only end the writing side if the client may still send (see LINGERING_CLOSE_S)."""
        if not self._discards_input:
            self.close(CloseReason.LAST_RESPONSE)
        elif not transport.is_closing():
            transport.write_eof()
