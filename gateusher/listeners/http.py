"""HTTP/1.1 from the application: requests in, one answer each out, in order, and the drain before a planned end.

Bytes become a `ClientRequest` for the core and its `FinalResponse` becomes bytes; what is owed to whom is decided
there.
"""

from __future__ import annotations

import asyncio
import re
import select
import socket
import struct
from collections import deque
from enum import Enum
from math import inf
from typing import cast

import httptools

from ..base import proof
from ..base.diagnostics import Rule
from ..base.limits import DescriptorBudget, MemoryBudget
from ..base.log import log_event
from ..config.model import Names, key_of
from ..core.backlog import waited
from ..core.engine import ClientRequest, Engine, FinalOutcome, FinalResponse, RequestFault
from ..core.states import OPEN
from ..upstream.interface import HOP_BY_HOP_HEADERS, EndpointResponse, Headers, ResponseBodyStream
from ..upstream.upload import Upload
from .phases import END, ENDING, HAND, RECLAIM, SEND_AWAY, SERVING, TAKE_BACK, Phases
from .sockets import AcceptFailure, accept_failure, unread_ms

MOST_HEAD = 32768  # bytes of a request's header block
MOST_BODY = 33 << 20  # bytes of a request's body
MOST_WHOLE = 256 << 10  # one longer than that goes to its endpoint as it comes
MOST_PATIENCE_MS = 3.6e6
MOST_OPEN = 8  # requests open on one connection, where clients should send one at a time
WHOLE_S = 2.2  # a head is whole so long after its first byte, the first one after connecting
BODY_RATE = 32768  # bytes a second that a body grows by at least, WHOLE_S aside
PAUSE_S = 1.5  # and how long it may stand still after that
HELD_S = 6.0  # how long nothing of it may be taken at the endpoint's side
CROWDED_PART = 1.25  # of the memory for bodies: beyond that a body for which there is no room is refused
SILENT_S = 2.0  # a connection that has never sent anything is closed
IDLE_S = 2.0  # and so is one that stands idle after its last answer
CROWDED_S = 0.05  # or for so long, where too many do
LINGER_S = 2.0  # how long input is thrown away after a last answer: no reset may overtake it
UNREAD_S = 6.0  # an answer that the client takes nothing of for so long is given up
NEW_S, STUCK_S = 0.1, 0.5  # where room is short: a silent connection, and half a request, go after that
BACKLOG = 1024
ACCEPT_PAUSE_S, MOST_ACCEPT_PAUSE_S = 0.005, 0.05  # after an error that passes: the first one, and the longest
MOST_ACCEPT_FAILURES = 16  # in a row, of single connections, before accepting pauses as well
SWEEP_MS = 100.0  # between two sweeps
SHED_AFTER_S = 0.1  # so long may the accept queue be behind where silent clients fill the table
STOP_LISTENING_S = 0.55  # after SIGTERM: new connections come for 0.4 s
GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR
FORMER_S = 1.3  # after new settings: clients go by them 1.2 s later
CLOSE_NEW_S = 0.65  # connections on which nothing has come by then stay unused
END_S = 3.4  # how long a planned end waits for what is open, where nobody says otherwise

# Others, which only nodes give, go on without a phrase: it is optional and says nothing (RFC 9112, 4).
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
STATUS = {FinalOutcome.REJECTED: 503, FinalOutcome.FAILED: 502, FinalOutcome.TIMED_OUT: 504}
FAULTS = {fault: 400 for fault in RequestFault} | {RequestFault.METHOD: 405, RequestFault.CONFLICT: 409}
FORM = (RequestFault.METHOD, RequestFault.KEY)  # it isn't what its class looks like
# What the sidecar acts on: where one is there twice, nobody can tell which of them is meant.
ONCE = {
    b"x-request-id",
    b"x-class",
    b"x-deadline",
    b"x-tenant",
    b"idempotency-key",
    b"x-retry",
    b"x-cost-hint",
    b"content-length",
    b"transfer-encoding",
    b"host",
}
# Of one connection only, or written anew for the endpoint.
NOT_PASSED = HOP_BY_HOP_HEADERS | {b"expect", b"x-deadline"}
PLAIN = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,12})?")


def _plain(text: bytes | None, factor: float, most: float) -> float | None:
    """A plain decimal number, scaled and no larger than that; None for all else that float() would take."""
    if text is None or not PLAIN.fullmatch(text):
        return None
    value = float(text) * factor
    return value if value <= most else None


class Close(Enum):
    """Why a client's connection was closed from here."""

    LAST_ANSWER = "its last answer is written"
    IDLE = "idle"
    SILENT = "nothing was ever sent"
    UNREAD = "its answer is not read"
    LINGERED = "it still sends behind its last answer"
    LEFT = "its client has left"
    TOO_MANY_IDLE = "too many are idle"
    NO_ROOM = "its place is needed"
    SENT_AWAY = "clients are sent away"
    ENDING = "the process ends"
    CUT = "an answer that was passed on broke off"
    NOT_ATTACHED = "the loop could not take it in"


# No answer can reach the client any more, whatever it is still owed.
NOBODY_READS = frozenset({Close.LEFT, Close.UNREAD, Close.CUT})


class UnusableError(Exception):
    """The parser must stop here: nothing behind this can be trusted, or there is too much of it."""

    def __init__(self, status: int) -> None:
        self.status = status


class _Asked(ClientRequest):
    """A request and its place in the order of its connection's answers."""

    __slots__ = ("chunked", "keep", "old", "reply", "body_stream", "upload")
    accepts_streaming = True
    client: Client

    def __init__(
        self,
        client: Client,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes | bytearray,
        keep: bool,
        old: bool = False,
    ) -> None:
        super().__init__(client, method, target, headers, body)
        self.keep = keep  # the client may send another on its connection
        self.old = old  # of HTTP/1.0, which knows no chunks
        self.reply: bytes | None = None  # what is still to be written
        self.body_stream: ResponseBodyStream | None = None  # what is still to come behind that
        self.chunked = False  # how it is framed
        self.upload: Upload | None = None  # a body that is still coming

    def feed(self, data: bytes) -> None:
        self.client.pass_on(self, data)

    def end(self, whole: bool) -> None:
        self.client.passed(self, whole)


class Client(asyncio.Protocol):
    """A connection of the application's.

    Nothing that is kept for it outlives a time limit, whoever is at the other end: half a request, an unread
    answer and a silent connection each have their own, and bytes by themselves prolong none of them.
    """

    def __init__(self, server: Server) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._queue: deque[_Asked] = deque()  # requests in the order of their coming
        self._blocked = False  # the client takes no more at present
        self._deaf = False  # a last answer is on its way: nothing more is read
        self._used = False  # a request has begun here before
        self._kept = False  # one has been taken here: what comes next did not wait to be accepted
        self._queued_after_s = server.queue_empty_s  # it came into the accept queue after that
        self._accept_late = server.accept_is_late
        self._resumed_s = -inf  # when reading went on after a hold
        self._closing = False
        self.at = server.loop.time()  # when it connected, or was last answered or closed
        self._whole_by = self.at + WHOLE_S
        self._in_head = self._in_message = False
        self._fed = 0
        self._heard = self.at  # when something of an unfinished request last came
        self._received = 0  # bytes of its body
        self._uploading: _Asked | None = None  # the request whose body goes on as it comes
        self._held_at = 0.0  # since when nothing is read of it, as its endpoint is slower; 0 for not
        self._held_s = 0.0  # how long the last such hold was
        self._body = bytearray()
        self._fresh()

    def _fresh(self) -> None:
        self._url = b""
        self._headers: Headers = []
        self._known: dict[bytes, bytes] = {}
        self._head_size = 0

    # -- the connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._closing:
            self._transport.close()  # given up while the loop was still taking it in
        self._poller = select.poll()
        self._poller.register(self._transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._uploading = None
        del self._parser  # it holds this object too
        self._drop_body()
        self._server.lost(self)
        queue, self._queue = self._queue, deque()
        for call in queue:
            if call.body_stream:
                call.body_stream.cancel()
            self._server.engine.client_disconnected(call)

    def eof_received(self) -> None:
        """The client is gone: the loop closes the connection, but not before all that is written has been read.

        Until then nothing of what it has asked for may be sent on.  It could harm a client that ends its side and yet
        wants its answer; such a one counts as gone.
        """
        for call in list(self._queue):
            self._server.engine.client_disconnected(call)

    @property
    def gone(self) -> bool:
        """The client has closed its end, whatever is still to be read before that."""
        return bool(self._transport and any(event & GONE for _, event in self._poller.poll(0)))

    def pause_writing(self) -> None:
        self._blocked = True
        if self._queue and (rest := self._queue[0].body_stream) and rest.sink:
            rest.pause()

    def resume_writing(self) -> None:
        self._blocked = False
        self.at = self._server.loop.time()
        if self._queue and (rest := self._queue[0].body_stream) and rest.sink:
            rest.resume()

    @property
    def idle(self) -> bool:
        """Between requests, with nothing unread: closing it can harm no request but one that crosses."""
        return bool(
            not self._queue
            and not self._in_message
            and not self._blocked
            and self._transport
            and not self._transport.get_write_buffer_size()
            and not self._poller.poll(0)
        )

    @property
    def expecting(self) -> bool:
        """Something that it has sent may still be unread: the loop is taking it in, or has not come to it yet."""
        if self._closing or self._deaf:
            return False
        return self._transport is None or (not self._transport.is_closing() and bool(self._poller.poll(0)))

    @property
    def sending(self) -> bool:
        """A request has begun and is not whole."""
        return self._in_message

    @property
    def used(self) -> bool:
        return self._used

    def close(self, why: Close) -> None:
        """Close it after what is written; nobody may be owed anything on it."""
        self._note_close(why)
        self._closing = True
        if self._transport:
            self._transport.close()

    def _abort(self, why: Close) -> None:
        """Close it at once, with whatever was to be written."""
        self._note_close(why)
        if self._transport:
            self._transport.abort()

    def _note_close(self, why: Close) -> None:
        if self._closing:
            return
        diagnostics = self._server.engine.diagnostics
        owed = [call for call in self._queue if call.state == OPEN] if why not in NOBODY_READS else []
        diagnostics.note("client closed", why.value, owed[0].request_id if owed else b"")
        for call in owed:
            diagnostics.violated(Rule.NO_CLOSE_WITH_ANSWERS_OWED, call.request_id)

    def end(self) -> None:
        """The process ends and all answers are written, read or not: another request would be one too many."""
        if self._queue and (rest := self._queue[0].body_stream):
            rest.cancel()
            self.passed(self._queue[0], False)
        else:
            self.close(Close.ENDING)

    def spare(self, now: float) -> bool:
        """Whether it may be closed to make room.

        A client that means it sends at once, so silence and halves go soon.  This should also hold against
        floods of any other kind; it could harm a client on a slow link while the table is full.
        """
        if self._closing:
            return False
        if self._in_message and not self._queue and not self._held_at:
            return now - self._heard > STUCK_S
        return self.idle and (self._used or now - self.at > NEW_S)

    def sweep(self, now: float) -> None:
        """Now and then: an end for what makes no progress."""
        waited = now - self.at
        if (self._blocked or self._closing) and waited > UNREAD_S and self._transport:
            self._abort(Close.UNREAD)
        elif self._deaf:
            if not self._queue and waited > LINGER_S:
                self.close(Close.LINGERED)
        elif self._in_message and self._held_at:
            if self.gone and self._transport:
                self._abort(Close.LEFT)  # nothing is read of it, so only this look tells
            elif now - self._held_at > HELD_S:
                self.resume()
                self.reject(503)  # no endpoint takes it, and none has begun it
        elif self._in_message:
            if now > self._whole_by and (
                now - self._heard > PAUSE_S or self._in_head or now > self._whole_by + self._received / BODY_RATE
            ):
                self.reject(408)
        elif waited > (IDLE_S if self._used else SILENT_S) and self.idle:
            self.close(Close.IDLE if self._used else Close.SILENT)

    # -- input

    def data_received(self, data: bytes) -> None:
        if self._deaf:
            return
        if self._uploading and self.gone and self._transport:
            self._abort(Close.LEFT)  # its last byte may be among these, and would go on as it is read
            return
        begun = self._in_head
        try:
            self._parser.feed_data(data)
            if self._in_message:
                self._heard = self._server.loop.time()
            if begun and self._in_head:
                self._fed += len(data)
                if self._fed > MOST_HEAD:
                    raise UnusableError(431)
        except UnusableError as error:
            self.reject(error.status)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            self.reject(cause.status if isinstance(cause, UnusableError) else 400)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reject(400)

    def on_message_begin(self) -> None:
        # One read may hold hundreds of requests: stopping the parser bounds the work of each read.
        if len(self._queue) >= MOST_OPEN:
            raise UnusableError(429)
        if self._queue and not self._queue[-1].keep:
            raise UnusableError(400)  # behind one whose answer ends the connection: it is not taken
        if self._used:
            self._whole_by = self._server.loop.time() + WHOLE_S
        self._fresh()
        self._in_head = self._in_message = self._used = True
        self._fed = 0

    def on_url(self, url: bytes) -> None:
        self._url += url
        if len(self._url) > MOST_HEAD:
            raise UnusableError(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._in_head:
            return  # a trailer
        self._head_size += len(name) + len(value) + 4
        if self._head_size + len(self._url) > MOST_HEAD:
            raise UnusableError(431)
        lower = name.lower()
        if lower in ONCE and lower in self._known:
            raise UnusableError(400)
        if lower not in NOT_PASSED:
            self._headers.append((name, value))
        self._known[lower] = value.strip(b" \t")

    def on_headers_complete(self) -> None:
        self._in_head = False
        self._received = 0
        known = self._known
        if self._parser.should_upgrade() or known.get(b"transfer-encoding", b"chunked").lower() != b"chunked":
            raise UnusableError(400)
        if int(known.get(b"content-length", b"0")) > MOST_BODY:
            raise UnusableError(413)
        if b"expect" in known and not self._queue and self._transport:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        self._received += len(data)
        if self._received > MOST_BODY:
            raise UnusableError(413)
        if self._uploading:
            if self._uploading.upload:
                self._uploading.upload.feed(data)
            return
        memory = self._server.memory
        roomy = memory.acquire(len(data))
        if not roomy:
            # It goes through, and is here for a moment all the same; too many such moments are too much.
            if memory.in_use > CROWDED_PART * memory.limit:
                raise UnusableError(503)
            memory.acquire(len(data), beyond=True)
        self._body += data
        if not roomy or len(self._body) > MOST_WHOLE or memory.in_use > memory.limit / 2:
            self._begin_upload()

    def _begin_upload(self) -> None:
        """Too long to be held, or there is no room: it goes to an endpoint as it comes."""
        body, self._body = self._body, bytearray()
        server, known = self._server, self._known
        patience = _plain(known.get(b"x-deadline"), 1000.0, MOST_PATIENCE_MS)
        call = self._asked(b"")
        call.read_at_once = self._kept
        total = int(known[b"content-length"]) if b"content-length" in known else -1
        call.upload = Upload(self, body, total, patience or 0.0, server.memory)
        self._uploading = call
        self._queue.append(call)
        status = self._submit(call)
        if status:
            call.upload.release()
            self._queue.remove(call)
            self._uploading = None
            raise UnusableError(status if status >= 400 else 413)
        call.upload.on_request_submitted()

    def pause(self) -> None:
        """The endpoint takes no more of the body for now."""
        if self._transport and not self._transport.is_closing():
            self._held_at = self._server.loop.time()
            self._transport.pause_reading()

    def resume(self) -> None:
        if self._held_at:
            now = self._server.loop.time()
            self._whole_by += now - self._held_at  # its client had no part in that
            self._held_s, self._resumed_s = now - self._held_at, now
            self._heard, self._held_at = now, 0.0
            if self._transport and not self._transport.is_closing():
                self._transport.resume_reading()

    def _asked(self, body: bytes | bytearray) -> _Asked:
        """The request whose head has come."""
        old = self._parser.get_http_version() != "1.1"
        keep = bool(self._parser.should_keep_alive()) and not old
        return _Asked(self, self._parser.get_method(), self._url, self._headers, body, keep, old)

    def on_message_complete(self) -> None:
        self._in_message = False
        if self._uploading:
            call, self._uploading = self._uploading, None
            self._server.engine.upload_completed(call, self._waited_ms())
            self._kept = True
            return
        body, self._body = self._body, bytearray()
        call = self._asked(body)
        # What has waited to be accepted may be of a client that has left since: its end is behind this in the same
        # queue of bytes, and is read a turn later, when the request would be out.
        call.read_at_once = self._kept
        call.unread_ms = self._waited_ms()
        self._kept = True
        self._queue.append(call)
        status = self._submit(call)
        if status:
            self._server.memory.release(len(body))
            self._answer(call, status)

    def _waited_ms(self) -> float:
        """How long the request that is whole now lay unread: in the accept queue, behind a hold or a stall."""
        now_s = self._server.loop.time()
        most_ms = self._server.engine.backlog.most_ms(now_s * 1000)
        if self._kept and most_ms <= 0.0 and not self._held_s:
            return 0.0
        slack_ms = SWEEP_MS
        if now_s - self._resumed_s < SWEEP_MS / 1000:
            most_ms = max(most_ms, (now_s - self._resumed_s + self._held_s) * 1000)
        if not self._kept:
            most_ms = max(most_ms, (now_s - self._queued_after_s) * 1000)
            slack_ms = slack_ms if self._accept_late else inf
        if self._transport is None:
            return 0.0
        return waited(most_ms, unread_ms(self._transport.get_extra_info("socket")), slack_ms)

    def _submit(self, call: _Asked) -> int:
        """Read what the request says of itself and give it to the core; the status where it isn't taken."""
        known, server = self._known, self._server
        path, _, query = self._url.partition(b"?")
        if path == b"/_health":
            return 200 if server.phases.healthy else 503
        label = path[1:].partition(b"/")[0]
        if b"host" not in known:
            if self._parser.get_http_version() == "1.1":
                return 400  # RFC 9112, 3.2: whom it is meant for can't be told
            self._headers.insert(0, (b"Host", server.authority))  # endpoints are spoken to in 1.1
        name = known.get(b"x-class", label)
        patience = _plain(known.get(b"x-deadline"), 1000.0, MOST_PATIENCE_MS)
        if path[:1] != b"/" or name != label or patience is None:
            return self._prove(call, query) if server.proves and path == proof.PATH.encode() else 400
        call.request_id, call.has_idempotency_key = (
            known.get(b"x-request-id", b""),
            bool(known.get(b"idempotency-key")),
        )
        call.affinity_key = key_of(query) if query else 0
        call.tenant = server.names.tenants.get(known.get(b"x-tenant", b""), 0)
        call.cost_hint_ms = _plain(known.get(b"x-cost-hint"), 0.001, 1e9) or 0.0
        call.is_retry = known.get(b"x-retry") == b"1"
        cls, status = server.names.classes.get(name), 400
        if cls is not None:
            call.class_index = cls
            fault = server.engine.submit(call, patience)
            if fault is None:
                return 0
            status = FAULTS[fault]
            if fault not in FORM:
                return status
        # A client that was sent on before it could know of new settings means what its class was then: the method
        # and the key tell.  It could harm where a class is dropped because it must not run even a moment longer.
        cls = server.former.get(name)
        if cls is not None:
            call.class_index = cls
            fault = server.engine.submit(call, patience)
            status = FAULTS[fault] if fault else 0
        return status

    def _prove(self, call: _Asked, query: bytes) -> int:
        """The challenge of a replay.  It is a stand-in's answer: all endpoints of a rehearsal have proven it."""
        answer = proof.answer_to(query.decode("latin-1"))
        if answer is None or call.method != b"GET":
            return 400
        self.on_final_response(
            call,
            FinalResponse(FinalOutcome.SERVED, EndpointResponse(200, [], b'{"standin": "%b"}' % answer.encode())),
        )
        return 0

    def _drop_body(self) -> None:
        self._server.memory.release(len(self._body))
        self._body = bytearray()

    def reject(self, status: int) -> None:
        """Answer what can't be read on from here, after all that came before it, and close."""
        if self._deaf:
            return
        self._deaf, self._in_message = True, False
        self._drop_body()
        if self._uploading:
            # It was never whole, so it was never taken: no endpoint begins it, and this is its answer.
            call, self._uploading = self._uploading, None
            self._server.engine.client_disconnected(call)
            call.keep = False
            self._answer(call, status)
            return
        if self._queue and not self._queue[-1].keep:
            return  # behind a request that ends its connection nothing is answered any more (RFC 9112, 9.6)
        call = _Asked(self, b"", b"", [], b"", False)
        self._queue.append(call)
        self._answer(call, status)

    # -- output: the client's side of a request, for the core

    def on_final_response(self, call: ClientRequest, final: FinalResponse) -> None:
        assert isinstance(call, _Asked)
        reply = final.response
        if call is self._uploading:
            # Before its last byte: what still comes of it is thrown away, and nothing else can follow it here.
            self._uploading, self._deaf, self._in_message, call.keep = None, True, False, False
            self.resume()
        if reply is None:
            self._answer(call, STATUS[final.outcome], final.retry_after_ms)
            return
        headers = b"".join([b"%b: %b\r\n" % h for h in reply.headers])
        if reply.body_stream:
            self._begin_passing(call, reply, headers)
            return
        # Neither of these has a body, and a length would say otherwise (RFC 9110, 8.6).
        length = -1 if reply.status in (204, 304) else len(reply.body)
        self._put(call, self._head(call, reply.status, headers, length) + reply.body)

    def _begin_passing(self, call: _Asked, reply: EndpointResponse, headers: bytes) -> None:
        """An answer whose end is still to come: what there is of it goes out in its turn, and the rest behind it."""
        call.body_stream, body = reply.body_stream, reply.body
        if reply.length < 0 and not call.old:
            call.chunked = True
            headers += b"Transfer-Encoding: chunked\r\n"  # RFC 9112, 7.1
            body = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        self._put(call, self._head(call, reply.status, headers, reply.length) + body)

    def pass_on(self, call: _Asked, data: bytes) -> None:
        """More of the answer that is being passed on."""
        transport = self._transport
        if transport and not transport.is_closing() and data:
            self.at = self._server.loop.time()
            if call.chunked:
                transport.writelines([b"%x\r\n" % len(data), data, b"\r\n"])
            else:
                transport.write(data)

    def passed(self, call: _Asked, whole: bool) -> None:
        """Nothing more of it comes.  One that was broken off ends the connection so that its reader can tell."""
        call.body_stream = None
        transport = self._transport
        if not transport or transport.is_closing():
            return
        if not whole:
            # Where the end alone says that an answer is over (RFC 9112, 6.3), only a reset says that it isn't.
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self._abort(Close.CUT)
            return
        if call.chunked:
            transport.write(b"0\r\n\r\n")
        self._flush()

    def is_disconnected(self, call: ClientRequest) -> bool:
        return self._transport is None or self.gone

    def on_released(self, call: ClientRequest) -> None:
        """Nothing is kept here for a request past its answer."""

    def _head(self, call: _Asked, status: int, headers: bytes, length: int) -> bytes:
        # Where clients are sent away, the last answer on a connection says that it closes.
        if self._server.phases.away and len(self._queue) == 1 and not self._in_message:
            call.keep = False
        framing = b"Content-Length: %d\r\n" % length if length >= 0 else b""
        return b"HTTP/1.1 %d %b\r\n%b%b%b\r\n" % (
            status,
            REASONS.get(status, b""),
            headers,
            framing,
            b"" if call.keep else b"Connection: close\r\n",
        )

    def _answer(self, call: _Asked, status: int, retry_after_ms: float = 0.0) -> None:
        advice = b""
        if status in (429, 503):  # a refusal tells when to come back, whoever words it
            wait = retry_after_ms or self._server.engine.retry_after_ms(0.0)
            advice = b"Retry-After: %.3f\r\n" % (wait / 1000)
        self._put(call, self._head(call, status, advice, 0))

    def _put(self, call: _Asked, data: bytes) -> None:
        """Answers go out in the order of the requests; on a connection that is breaking, not at all."""
        call.reply = data
        self._flush()

    def _flush(self) -> None:
        queue, transport = self._queue, self._transport
        while queue and transport and not transport.is_closing() and queue[0].reply is not None:
            first = queue[0]
            if first.reply:
                transport.write(first.reply)
                first.reply = b""
                self.at = self._server.loop.time()
            if first.body_stream:
                if not first.body_stream.sink:
                    first.body_stream.attach_sink(first)
                    if not self._blocked:
                        first.body_stream.resume()
                return  # what is behind it waits for its end
            queue.popleft()
            if not first.keep:
                self._last(transport)

    def _last(self, transport: asyncio.Transport) -> None:
        """The last answer is written: close, or first let come what the client is still sending."""
        if not self._deaf:
            self.close(Close.LAST_ANSWER)
        elif not transport.is_closing():
            transport.write_eof()


def _has_sent(sock: socket.socket) -> bool:
    """Whether there is something to read."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


class Server:
    """The listener and all connections of the application's."""

    def __init__(
        self,
        where: tuple[str, int],
        names: Names,
        engine: Engine,
        memory: MemoryBudget,
        descriptors: DescriptorBudget,
        authority: str,
        door: socket.socket | None = None,
        shared: bool = False,
    ) -> None:
        """Listens at `where` at once, or with `open` on a `door` that another process has made.

        `shared` lets a second process listen at the same address (SO_REUSEPORT, socket(7)).
        """
        self.loop = asyncio.get_running_loop()
        self.names, self.engine, self.memory, self.authority = names, engine, memory, authority.encode()
        self._fds = descriptors
        self.proves = False  # it is in rehearsal, and says so to who asks
        self.former: dict[bytes, int] = {}  # what classes were until just now
        self._former_until = 0.0
        self._clients: set[Client] = set()
        self._tasks: set[asyncio.Task[object]] = set()
        self.phases = Phases()
        self._end_s = END_S
        self._accepting = False
        self._queued_since = inf  # since when the accept queue has not been empty, for want of room
        self.queue_empty_s = self.loop.time()  # when it was last known to be empty
        self._accept_pause_s = ACCEPT_PAUSE_S  # the next one
        self._paused = False
        self._socket: socket.socket | None = door
        if door is None:
            self._socket = socket.create_server(
                where,
                backlog=BACKLOG,
                family=socket.AF_INET6 if ":" in where[0] else socket.AF_INET,
                reuse_port=shared,
            )
            self._socket.setblocking(False)
            self.open()
        descriptors.reclaimers.append(self._reclaim)

    def open(self) -> None:
        """Begin to accept."""
        if self._socket and not self._accepting:
            self._accepting = True
            self.loop.add_reader(self._socket, self._accept)

    def _stop_accepting(self) -> None:
        if self._socket and self._accepting:
            self._accepting = False
            self.loop.remove_reader(self._socket)

    def _stop_listening(self) -> None:
        self._stop_accepting()
        if self._socket:
            self._socket.close()
            self._socket = None

    @property
    def door(self) -> socket.socket | None:
        """What it listens on; None where it has stopped for good."""
        return self._socket

    @property
    def port(self) -> int:
        return int(self._socket.getsockname()[1]) if self._socket else 0

    @property
    def accept_is_late(self) -> bool:
        """Whoever is accepted now may have waited in the queue."""
        return self._queued_since < inf

    def _accept(self) -> bool:
        """Take all connections that wait, as far as there is room for them; whether none is left."""
        failures = 0
        while self._socket and self._accepting:
            if len(self._clients) >= self._fds.client_limit or not self._fds.acquire():
                # A descriptor is free only when its connection is gone, some turns of the loop later.  Until
                # then nothing is accepted on its account, or a crowd comes in faster than others are closed.
                self._queued_since = min(self._queued_since, self.loop.time())
                if not self._reclaim() and not self._shed_silent():
                    self._pause("all descriptors are in use")
                return False
            try:
                sock, _ = self._socket.accept()
            except OSError as error:
                self._fds.release()
                failure = accept_failure(error)
                if failure is AcceptFailure.EMPTY:
                    self._queue_is_empty()
                    return True
                failures += 1
                if failure is AcceptFailure.NEXT and failures < MOST_ACCEPT_FAILURES:
                    continue
                # The queue would wake us again at once, so wait a little.
                self._queued_since = min(self._queued_since, self.loop.time())
                if failure is AcceptFailure.PAUSE:
                    self._fds.reclaim()
                self._pause(error)
                return False
            self._take(sock)
        return False

    def _queue_is_empty(self) -> None:
        self._queued_since, self.queue_empty_s = inf, self.loop.time()
        self._accept_pause_s = ACCEPT_PAUSE_S

    def _take(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        client = Client(self)
        self._clients.add(client)
        task: asyncio.Task[object] = self.loop.create_task(self._attach(client, sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _shed_silent(self) -> bool:
        """Shed load at accept: where silent clients fill the table, shut those in the queue that are silent, too.

        Who has sent something gets the place of one that never has.  It guards against a crowd that keeps
        connecting: each is let be for `NEW_S`, and behind many of them a request waited for longer than it could.
        It could harm a client that sends only a while after it has connected, and only while there is such a crowd.
        Whether it did: not before the queue has been behind for `SHED_AFTER_S`, nor where those who are in are at
        work.  A descriptor of the spare ones is used for each in turn.
        """
        if self.loop.time() - self._queued_since <= SHED_AFTER_S or not self._socket:
            return False
        silent = sorted(
            (c for c in self._clients if not c.used and not c.sending and c.spare(inf)),
            key=lambda c: c.at,
            reverse=True,
        )
        if not silent:
            return False
        for _ in range(BACKLOG):
            try:
                sock, _ = self._socket.accept()
            except OSError as error:
                failure = accept_failure(error)
                if failure is AcceptFailure.NEXT:
                    continue
                if failure is AcceptFailure.PAUSE:
                    return False  # what is left in the queue waits for a pause
                self._queue_is_empty()
                break
            if silent and _has_sent(sock) and self._fds.acquire():
                silent.pop().close(Close.NO_ROOM)
                self._take(sock)
            else:
                sock.close()
        return True

    async def _attach(self, client: Client, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError as error:
            log_event("connection not taken in", error)
            self.engine.diagnostics.note("client closed", Close.NOT_ATTACHED.value)
            sock.close()
            self.lost(client)

    def _pause(self, why: object) -> None:
        if self._socket and self._accepting and not self._paused:
            log_event("accepting pauses", why)
            self._paused = True
            self.loop.remove_reader(self._socket)
            self.loop.call_later(self._accept_pause_s, self._resume)
            self._accept_pause_s = min(MOST_ACCEPT_PAUSE_S, 2 * self._accept_pause_s)

    def _resume(self) -> None:
        self._paused = False
        if self._socket and self._accepting:
            self.loop.add_reader(self._socket, self._accept)

    def lost(self, client: Client) -> None:
        if client in self._clients:
            self._clients.discard(client)
            self._fds.release()

    def _reclaim(self) -> bool:
        """Close the connection that has waited for the longest, such as never sent anything first."""
        now = self.loop.time()
        for client in sorted(self._clients, key=lambda c: (c.used, c.at)):
            if client.spare(now):
                client.close(Close.NO_ROOM)
                return True
        return False

    def sweep(self) -> None:
        """Limits for each connection, and one for how many stand idle.

        Clients have only so many connections too.  Those that were used once and kept for good would leave
        them none to ask on, long before there is no room here.  The ones in real use were answered last, so
        they stay; a client that comes back to one after a pause must open it anew.
        """
        now = self.loop.time()
        if self.former and now > self._former_until:
            self.former = {}
        for client in list(self._clients):
            client.sweep(now)
        idle = sorted((c for c in self._clients if c.used and c.idle), key=lambda c: c.at)
        for client in idle[: max(0, len(idle) - self._fds.idle_client_limit)]:
            if now - client.at > CROWDED_S:
                client.close(Close.TOO_MANY_IDLE)
        if self.phases.away and (self.phases.phase != ENDING or self.phases.handed):
            for client in list(self._clients):
                if client.idle and not self.phases.spares_idle(now, client.at, client.used):
                    client.close(Close.SENT_AWAY)

    def rename(self, names: Names, former: dict[bytes, int]) -> None:
        """Classes go by these names from now on, and for a moment by their `former` meaning too."""
        self.names, self.former = names, former
        self._former_until = self.loop.time() + FORMER_S

    # -- sending clients away

    @property
    def ready(self) -> bool:
        """This process takes clients, and is to."""
        return self._accepting and self.phases.phase == SERVING

    def send_away(self) -> bool:
        """An operator's drain: nothing ends but the connections.  Whether it holds now."""
        return self.phases.move(SEND_AWAY, self.loop.time())

    def take_back(self) -> bool:
        """Clients are welcome again; those that were sent away are not called back.  Whether it holds now."""
        return self.phases.move(TAKE_BACK, self.loop.time())

    # -- another process at the same address

    def hand_over(self) -> None:
        """A successor accepts from the same socket: nobody is accepted here, and those who are here go by and by.

        The socket stays open, so that the door can be taken back.
        """
        if self.phases.move(HAND, self.loop.time()):
            self._stop_accepting()

    def reclaim(self) -> None:
        """The successor is gone: accept again."""
        if self.phases.move(RECLAIM, self.loop.time()):
            self.open()

    # -- the planned end

    def drain(self, end_s: float) -> None:
        """SIGTERM: go on as before for those who come, but keep no connection for another request.

        After `end_s` what is still open is closed: what comes after that is a kill.
        """
        self._end_s = end_s
        self.phases.hurry(end_s)
        self.phases.move(END, self.loop.time())
        if self.phases.handed:
            self._stop_listening()  # the successor has the queue
        else:
            self._close_idle(False)

    def _close_idle(self, unused: bool) -> None:
        for client in list(self._clients):
            if client.idle and (unused or client.used):
                client.close(Close.ENDING)

    def drained(self) -> bool:
        """One step of the drain; whether nothing is in hand any more."""
        since = self.phases.since(self.loop.time())
        if self._socket and since >= min(STOP_LISTENING_S, self._end_s) and self._accept():
            # Those who waited in the queue were told that they are connected: it is empty, or time is up for good.
            self._stop_listening()
        if not self.phases.handed:
            self._close_idle(since >= CLOSE_NEW_S)
        if since >= self._end_s:
            # Who is still to be read is read in the next turn: its request is answered at once, as time is over.
            whole = [client for client in self._clients if not client.sending and not client.expecting]
            for client in [client for client in self._clients if client.sending]:
                client.reject(503)  # the request was never taken
            # The deadlines end now too, by timers that may be called after this in the same turn, or a few
            # milliseconds later: who closed first lost the answers of those that waited.
            self.engine.expire()
            for client in whole:
                client.end()
        return self._socket is None and not self._clients

    def close(self) -> None:
        self._stop_listening()
        for client in list(self._clients):
            client.close(Close.ENDING)
