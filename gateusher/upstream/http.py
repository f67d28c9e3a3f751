"""HTTP/1.1 to endpoints (RFC 9112): connections, one request each at a time; socket facts become outcomes.

Nothing is ever sent twice from here: an attempt that breaks is reported, and the module decides.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable, Iterable
from math import inf
from typing import cast

import httptools

from ..base.clock import Clock
from ..base.diagnostics import Diagnostics
from ..base.errors import connect
from ..base.limits import DescriptorBudget, MemoryBudget
from ..base.log import log_event
from ..base.machine import IllegalTransitionError
from ..discovery.lists import HostLine
from ..policy.interface import EndpointState, Outcome, Settings
from ..policy.permission import Denial, endpoint_denied
from .interface import (
    HOP_BY_HOP_HEADERS,
    MIN_ATTEMPT_MS,
    NEVER_EXECUTED,
    NO_RESPONSE,
    Attempt,
    BodySink,
    EndpointResponse,
    Headers,
    ResponseBodyStream,
)
from .states import (
    ASSIGN,
    AWAITING_RESPONSE,
    BODY_END,
    CLOSE,
    CLOSED,
    COMPLETE,
    COMPLETE_WITH_EXTRA,
    CONNECTED,
    CONNECTING,
    CONNECTION,
    END_MAY_HAVE_RUN,
    END_NOT_EXECUTED,
    END_REJECTED,
    ENDED,
    EXTRA_DATA,
    HEAD_END,
    IDLE,
    INTERIM_END,
    INVALID,
    INVALIDATE,
    KEEP_ALIVE,
    MESSAGE_BEGIN,
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

MOST_BODY = 65536  # an answer's body that is held; a longer one is passed on as it comes, where that is possible
MOST_PASSED = 64 << 20  # and one longer than that is no answer of this service's
PASSED_S = 10.0  # an endpoint that gives nothing of an answer for so long has broken it off
PASSED_BUFFER = 65536  # bytes that the kernel may hold of an answer whose reader is slower
MOST_HEAD = 65536  # an answer's header block
IDLE_PART = 0.8  # of the time after which an endpoint closes an idle connection
ANSWER_S = 0.15  # an answer is whole so long after its first bytes, or moves
TAKES_S = 5.0  # an endpoint that takes nothing of a long body for so long never will
MOVES_MS = 5.0  # one whose bytes came no further apart than that came at once, and doesn't
SETTLE_MS = 4.0  # how long a connection rests after an answer, before it carries another request


class Host:
    """An endpoint: where it listens and the connections to it that stand idle, the latest used last."""

    __slots__ = ("born_ms", "eid", "heard_ms", "idle", "ip", "name", "port", "ready")

    def __init__(self, eid: int, name: str) -> None:
        self.eid, self.name, self.ip, self.port, self.born_ms = eid, name, "", 0, -1.0
        self.ready = False
        self.heard_ms = 0.0
        self.idle: list[Connection] = []


class Connection(asyncio.Protocol):
    """A connection to an endpoint, from the dial on."""

    def __init__(self, upstream: Upstream, host: Host) -> None:
        self._up, self.host = upstream, host
        self.born_ms = host.born_ms
        self.where = host.ip, host.port
        self._stall: asyncio.TimerHandle | None = None
        self._slow: asyncio.TimerHandle | None = None  # until its endpoint must have taken something
        self._chunks = self._all_given = False  # of a body that is still coming: how it goes, and if all went
        self._rest: _Passed | None = None  # of an answer that is passed on
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self.dial: asyncio.Task[None] | None = None
        self.failed_here = False  # no socket could be had or connected, for a reason of this machine's
        self._late: asyncio.TimerHandle | None = None  # until it must be up
        self.attempt: Attempt | None = None
        self.idle_since = self.heard_ms = self._begun_ms = 0.0
        self.state: str = CONNECTING  # see core/states.py; this object alone moves it
        self._blocked = False  # the transport holds some of what was handed to it
        self._fresh()

    def _fresh(self) -> None:
        self._status = self._length = 0
        self._head_size = 0
        self._headers: Headers = []
        self._hop = self._report = b""
        self._framed = self._not_run = self._keep = self._closes = self._early = self._long = self._chunked = False
        self._held: list[bytes] = []
        self._size = 0

    # -- the request

    def _move(self, event: str) -> None:
        self.state = CONNECTION.next_state(self.state, event)

    def wait(self, dial_s: float) -> None:
        """Be up so soon, or never.

        Its own state decides, not the dial's task: a loop calls `connection_made` even where it has cancelled the
        task in that turn, and closes a connection on which the request is already out.
        """
        self._late = self._up.loop.call_later(dial_s, self._too_late)

    def _too_late(self) -> None:
        self._late = None
        if self.attempt and self.state == CONNECTING:
            # What failed here says nothing of the endpoint.
            self.stop(Outcome.NOT_SENT if self.failed_here else Outcome.CONNECT_FAILED)

    def _in_time(self) -> None:
        if self._late:
            self._late.cancel()
            self._late = None

    def carry(self, attempt: Attempt) -> None:
        """Send this attempt, now or as soon as the connection is up."""
        attempt.move(ASSIGN)
        self.attempt, attempt.connection = attempt, self
        self._fresh()
        if self._transport:
            self._move(SEND_REQUEST)
            self._write(self._transport, attempt)

    def _write(self, transport: asyncio.Transport, attempt: Attempt) -> None:
        message = attempt.message
        # The deadline goes on as the time that is left of this attempt.
        upload = message.upload
        left = max(0.0, attempt.expires_ms - self._up.clock.now_ms()) / 1000
        if upload:
            if not upload.is_complete:
                left = upload.timeout_ms / 1000
            self._chunks, self._all_given = upload.total_bytes < 0, False
            length = (
                b"Transfer-Encoding: chunked\r\n" if self._chunks else b"Content-Length: %d\r\n" % upload.total_bytes
            )
        else:
            length = b"" if message.method == b"GET" else b"Content-Length: %d\r\n" % len(message.body)
        head = b"%b %b HTTP/1.1\r\n%b%bX-Deadline: %.3f\r\n\r\n" % (
            message.method,
            message.target,
            b"".join([b"%b: %b\r\n" % h for h in message.headers]),
            length,
            left,
        )
        if upload:
            transport.write(head)
            if not transport.is_closing():
                attempt.move(WRITE_PART)  # whatever the kernel has taken, the last byte is not there yet
                upload.attach(self)
            return
        transport.write(head + message.body)
        # With a high-water mark of 0 the transport calls pause_writing whenever it holds anything back.
        if not transport.is_closing():
            attempt.move(WRITE_PART if self._blocked else WRITE_ALL)

    def _overtaken(self, attempt: Attempt) -> bool:
        """Whether what was decided when the dial began no longer holds now that it is up.

        Whoever asks is looked at first, since that reads what was told of endpoints meanwhile.
        """
        if not attempt.may_be_written():
            return True
        host = self.host
        unchanged = host.born_ms == self.born_ms and (host.ip, host.port) == self.where
        why = endpoint_denied(host.ready or attempt.ignores_readiness, unchanged)
        if attempt.write_by_ms - self._up.clock.now_ms() < MIN_ATTEMPT_MS:
            why = Denial.NO_TIME_LEFT
        if why:
            self._up.diagnostics.note("not sent", why.name.lower())
        return why is not None

    # -- a body that is still coming

    def write(self, data: bytes) -> None:
        transport = self._transport
        if transport and self.attempt and not transport.is_closing():
            transport.writelines([b"%x\r\n" % len(data), data, b"\r\n"] if self._chunks else [data])

    def finish(self) -> None:
        transport, attempt = self._transport, self.attempt
        if transport and attempt and not transport.is_closing():
            if self._chunks:
                transport.write(b"0\r\n\r\n")
            self._all_given = True
            if not self._blocked:
                self._all_written(attempt)

    def _all_written(self, attempt: Attempt) -> None:
        attempt.move(WRITE_ALL)
        if attempt.post_upload_ms:
            self._up.uploaded(attempt)

    def _takes_nothing(self) -> None:
        if self.attempt and not self.attempt.written:
            self.stop(Outcome.CONNECT_FAILED)

    def pause_writing(self) -> None:
        self._blocked = True
        if self.attempt and (upload := self.attempt.message.upload):
            upload.pause()
            if self._slow is None:
                self._slow = self._up.loop.call_later(TAKES_S, self._takes_nothing)

    def resume_writing(self) -> None:
        self._blocked = False
        if self._slow:
            self._slow.cancel()
            self._slow = None
        if self.attempt and self.attempt.state == PARTIALLY_SENT:
            upload = self.attempt.message.upload
            if upload is None or self._all_given:
                self._all_written(self.attempt)
            else:
                upload.resume()

    # -- the connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=0)
        self._poller = select.poll()
        self._poller.register(self._transport.get_extra_info("socket").fileno(), select.POLLIN)
        self.dial = None
        self._in_time()
        if self.attempt and self.state == CONNECTING:
            self._move(CONNECTED)
            if self._overtaken(self.attempt):
                self.stop(Outcome.NOT_SENT)
            else:
                self._write(self._transport, self.attempt)
        else:
            self._transport.abort()  # given up while it came up

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        if self.state != CLOSED:
            self._move(CLOSE)
        self._up.lost(self)
        self._end_rest(False)
        if self.attempt:
            self.broke()
        del self._parser  # it holds this object too

    def eof_received(self) -> None:
        # httptools is never told of the end: a body that the end delimits is whole here.  Only an endpoint
        # that said so may delimit by the end: elsewhere it looks the same as an answer that broke off.
        if self.state in (READING_BODY, STREAMING) and self._closes and not self._framed:
            self._keep = False
            self._move(BODY_END)
            if self.attempt:
                self._done()
            else:
                self._passed()

    def close(self) -> None:
        if self.state != CLOSED:
            self._move(CLOSE)
        self._in_time()
        if self.dial:
            self.dial.cancel()
        if self._transport:
            self._transport.abort()

    def reusable(self) -> bool:
        """Nothing has come that nobody asked for: neither an end nor bytes, not even ones still unread."""
        return (
            self.state == IDLE
            and self._transport is not None
            and not self._transport.is_closing()
            and not self._poller.poll(0)
        )

    # -- the answer

    def data_received(self, data: bytes) -> None:
        self.heard_ms = self.host.heard_ms = self._up.clock.now_ms()
        if self.attempt is None and self.state != STREAMING:
            self._up.drop(self)  # quiet, and something came that nobody asked for
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._keep = False
            if self.state == COMPLETE:
                self._move(EXTRA_DATA)
            elif self.state not in (COMPLETE_WITH_EXTRA, INVALID):
                self._move(INVALIDATE)
        if self.state in (AWAITING_RESPONSE, READING_HEAD):
            self._head_size += len(data)
        if self.attempt is None:
            if self.state in (COMPLETE, COMPLETE_WITH_EXTRA):
                self._passed()
            elif self.state == INVALID:
                self.cut()
        elif self.state in (COMPLETE, COMPLETE_WITH_EXTRA):
            self._done()
        elif self._long and self.state == READING_BODY:
            self._pass_on()
        elif self.state == INVALID or self._head_size > MOST_HEAD:
            self._spoilt()
        elif self.state == AWAITING_RESPONSE and self._stall:
            self._stall.cancel()  # only an interim answer so far
            self._stall = None
        elif self.state in (READING_HEAD, READING_BODY) and self._stall is None:
            # Heads without end, bodies shorter than their length, an endpoint that hangs in mid-answer: no
            # such answer becomes whole by waiting, and the request may still have time for another attempt.
            # It could harm an endpoint that writes its answers in parts that lie far apart.
            self._stall = self._up.loop.call_later(ANSWER_S, self._stalled)

    def _stalled(self) -> None:
        """Not whole yet: one that still moves is waited for, or passed on as it comes."""
        self._stall = None
        if not self.coming:
            self._spoilt()
        elif not self.pass_early():
            self._stall = self._up.loop.call_later(ANSWER_S, self._stalled)

    @property
    def coming(self) -> bool:
        """Whether an answer is on its way, by more than one read that came at once, and moved of late."""
        return (
            self.state == READING_BODY
            and self.heard_ms - self._begun_ms > MOVES_MS
            and self._up.clock.now_ms() - self.heard_ms <= ANSWER_S * 1000
        )

    def pass_early(self) -> bool:
        """Pass on an answer of unknown length that takes its time; whether that can be done.

        It may be a long one, whose first bytes count.  From here on it can't be tried again, so one whose length is
        known to be short is held until it is whole.
        """
        if self.state != READING_BODY or (self._framed and not self._chunked) or not self._passes:
            return False
        self._pass_on()
        return True

    # -- an answer too long to be held

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        return self._up.loop

    def pause_reading(self) -> None:
        if self._transport and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

    def _pass_on(self) -> None:
        """Hand on what has come: the attempt is over, and this connection serves nobody else until the end."""
        self._move(START_STREAMING)
        if self._transport:
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PASSED_BUFFER)
        rest = self._rest = _Passed(self, self._size)
        rest.pause()
        length = self._length if self._framed and not self._chunked else -1
        reply = self._reply()._replace(body_stream=rest, length=length)
        self._let_go()
        attempt = self._detach()
        self._up.report(attempt, Outcome.OK, self._report, reply)

    def _passed(self) -> None:
        """All of it has come."""
        rest, self._rest = self._rest, None
        if self._keep and self.state == COMPLETE:
            self.resume_reading()  # its reader may have been slower at the very end
            self._up.release(self)
        else:
            self.close()
        if rest:
            rest.over(True)

    def cut(self) -> None:
        """It can't become whole: its reader must be able to tell."""
        self._end_rest(False)
        self.close()

    def _end_rest(self, whole: bool) -> None:
        rest, self._rest = self._rest, None
        if rest:
            rest.over(whole)

    def on_message_begin(self) -> None:
        if self.state == COMPLETE:
            self._move(EXTRA_DATA)
        elif self.state == AWAITING_RESPONSE:
            self._move(MESSAGE_BEGIN)
            self._begun_ms = self.heard_ms
            self._early = not self._written

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.state != READING_HEAD:
            return  # a trailer, or nothing that is an answer
        self._head_size += len(name) + len(value)
        name = name.lower()
        if name == b"content-length":
            self._framed, self._length = True, int(value)
        elif name == b"x-load":
            self._report = value
        elif name == b"connection":
            self._hop = value.strip().lower()
            self._closes = self._hop == b"close"
        elif name == b"x-not-run":
            self._not_run = value == b"1"
        elif name == b"transfer-encoding":
            self._framed = self._chunked = True
            if value.strip().lower() != b"chunked":
                self._move(INVALIDATE)
        elif name not in HOP_BY_HOP_HEADERS:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        if self.state != READING_HEAD:
            return
        self._status = self._parser.get_status_code()
        if self._status < 200:
            return
        self._move(HEAD_END)
        turned_away = self._status in (503, 504) and self._not_run
        # One that nobody may have in parts, or that is too long for anybody, is none.
        long = self._length > MOST_BODY
        passes = self._passes and self._length <= MOST_PASSED
        if long and not passes or self._early and not turned_away:
            # An endpoint begins when the last byte has come: an answer whose first byte came before that answers
            # something else, or gives up on the request, whenever the rest of both comes.
            self._move(INVALIDATE)
        elif long:
            self._long = True

    @property
    def _passes(self) -> bool:
        """Whether this answer may be handed on before it is whole."""
        return self.attempt is not None and self.attempt.message.accepts_streaming and self._up.serves(self._status)

    def on_body(self, data: bytes) -> None:
        if self.state == STREAMING:
            if self._rest and not self._rest.feed(data):
                self._move(INVALIDATE)
            return
        if self.state != READING_BODY or not self._up.serves(self._status):
            return  # only an answer's body is anybody's
        if not self._long and self._size + len(data) > MOST_BODY:
            self._long = self._passes
            if not self._long:
                self._move(INVALIDATE)
                return
        if not self._up.memory.acquire(len(data)):
            self._move(INVALIDATE)
            return
        self._size += len(data)
        self._held.append(data)

    def on_message_complete(self) -> None:
        if self.state == READING_HEAD:  # an interim answer is over; the real one follows
            self._move(INVALIDATE if self._status == 101 else INTERIM_END)
            size = self._head_size
            self._fresh()
            self._head_size = size
        elif self.state in (READING_BODY, STREAMING):
            self._move(BODY_END)
            self._keep = self._parser.should_keep_alive()

    def _let_go(self) -> None:
        self._up.memory.release(self._size)
        self._held, self._size = [], 0

    def _done(self) -> None:
        """A whole answer: report it, after the connection is back where the next attempt can find it."""
        attempt, status = self._detach(), self._status
        outcome, reply = Outcome.ERROR, NO_RESPONSE
        if self._up.serves(status):
            outcome, reply = Outcome.OK, self._reply()
        elif status in (503, 504) and self._not_run:
            outcome = Outcome.REJECTED
        self._let_go()
        # What comes behind an answer, a second copy or noise, must never meet the next request.
        if self._keep and attempt.written and self.state == COMPLETE:
            self._up.release(self)
        else:
            self.close()
        self._up.report(attempt, outcome, self._report, reply)

    def _reply(self) -> EndpointResponse:
        """The answer as far as it has come."""
        headers = self._headers
        if self._hop and not self._closes and self._hop != b"keep-alive":
            # The endpoint may name further headers of this connection (RFC 9110, 7.6.1).
            named = {part.strip() for part in self._hop.split(b",")}
            headers = [h for h in headers if h[0] not in named]
        return EndpointResponse(self._status, headers, b"".join(self._held) if self._held else b"")

    def broke(self) -> None:
        """The connection broke: whether the last byte was out decides."""
        self.stop(Outcome.RESET if self._written else Outcome.CONNECT_FAILED)

    def _spoilt(self) -> None:
        """What came is no answer.  The request may have run, but the endpoint is there and speaks."""
        self.stop(Outcome.ERROR if self._written else Outcome.CONNECT_FAILED)

    @property
    def _written(self) -> bool:
        return self.attempt is not None and self.attempt.state == SENT

    def keep(self) -> None:
        """Free for the next attempt, once it has rested."""
        self._move(KEEP_ALIVE)
        self.idle_since = self._up.clock.now_ms()

    def stop(self, outcome: Outcome) -> None:
        """End the attempt and with it the connection, which is how an attempt is given up."""
        attempt = self._detach()
        self._let_go()
        self.close()
        self._up.report(attempt, outcome, b"")

    def _detach(self) -> Attempt:
        attempt = self.attempt
        assert attempt
        self.attempt = attempt.connection = None
        if attempt.message.upload:
            attempt.message.upload.detach()
        if self._slow:
            self._slow.cancel()
            self._slow = None
        if self._stall:
            self._stall.cancel()
            self._stall = None
        if attempt.timer:
            attempt.timer.cancel()
        return attempt


class _Passed(ResponseBodyStream):
    """The rest of an answer, as its connection gives it.

    An endpoint that gives nothing for PASSED_S although its reader would take more has broken it off.  It could harm
    one that thinks for longer in the middle of an answer.
    """

    def __init__(self, conn: Connection, came: int) -> None:
        self._conn: Connection | None = conn
        self._loop = conn.loop
        self._came = came
        self._broke = False  # before anybody took it
        self._timer: asyncio.TimerHandle | None = None

    def attach_sink(self, sink: BodySink) -> None:
        self.sink = sink
        if self._broke:
            self._loop.call_soon(self.over, False)

    def _wait(self) -> None:
        if self._timer:
            self._timer.cancel()
        self._timer = self._loop.call_later(PASSED_S, self._give_up)

    def _give_up(self) -> None:
        if self._conn:
            self._conn.cut()

    def pause(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self._conn:
            self._conn.pause_reading()

    def resume(self) -> None:
        if self._conn:
            self._conn.resume_reading()
            self._wait()

    def cancel(self) -> None:
        conn, self.sink = self._conn, None
        if conn:
            self._leave()
            conn.close()

    def _leave(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        self._conn = None

    def feed(self, data: bytes) -> bool:
        """More has come; False where it is more than any answer has."""
        self._came += len(data)
        if self._came > MOST_PASSED:
            return False
        if self._timer:
            self._wait()
        if self.sink:
            self.sink.feed(data)
        return True

    def over(self, whole: bool) -> None:
        sink, self.sink = self.sink, None
        self._leave()
        self._broke = not whole
        if sink:
            sink.end(whole)


class Upstream:
    """All endpoints, and all connections to them."""

    def __init__(
        self,
        settings: Settings,
        serves: frozenset[int],
        clock: Clock,
        memory: MemoryBudget,
        descriptors: DescriptorBudget,
        read_report: Callable[[bytes], tuple[float, ...]],
        diagnostics: Diagnostics | None = None,
    ) -> None:
        self.clock, self.memory = clock, memory
        self.diagnostics = diagnostics or Diagnostics()
        self.serves = serves.__contains__
        self._fds, self._read_report = descriptors, read_report
        self.loop = asyncio.get_running_loop()
        self.apply_settings(settings)
        self.pulls_reports = settings.reports_pulled
        self._hosts: dict[int, Host] = {}
        self._conns: set[Connection] = set()
        descriptors.reclaimers.append(self._reclaim)

    def apply_settings(self, settings: Settings) -> None:
        """Other times for what is dialled and what stands idle from now on."""
        self._dial_s = settings.dial_timeout_ms / 1000
        self._idle_ms = settings.idle_ms * IDLE_PART

    # -- the list

    def knows(self, line: HostLine) -> bool:
        """Whether this line's number is its own: two names may have one hash."""
        host = self._hosts.get(line.endpoint.endpoint)
        return host is None or host.name == line.name

    def update(self, lines: Iterable[HostLine], whole: bool) -> None:
        named = set()
        for line in lines:
            entry = line.endpoint
            named.add(entry.endpoint)
            host = self._hosts.get(entry.endpoint)
            if host is None:
                host = self._hosts[entry.endpoint] = Host(entry.endpoint, line.name)
            moved = (host.ip, host.port, host.born_ms) != (line.ip, line.port, entry.started_ms)
            host.ip, host.port, host.born_ms = line.ip, line.port, entry.started_ms
            host.ready = entry.state is EndpointState.READY
            if moved or not host.ready:
                self.close_idle_connections(
                    host.eid
                )  # they lead to a process that is gone, or nothing new may go there
            if entry.state is EndpointState.REMOVED:
                self._hosts.pop(host.eid)
        for eid in [e for e in self._hosts if e not in named] if whole else ():
            self._hosts[eid].ready = False
            self.close_idle_connections(eid)
            self._hosts.pop(eid)

    # -- attempts

    def start_attempt(self, attempt: Attempt) -> None:
        host = attempt.host = self._hosts.get(attempt.endpoint_id)
        conn = self._connection(host) if host and (host.ready or attempt.ignores_readiness) else None
        if conn is None:
            self.report(attempt, Outcome.NOT_SENT, b"")
            return
        if attempt.write_by_ms < inf:
            left = (attempt.write_by_ms - attempt.sent_ms) / 1000
            attempt.timer = self.loop.call_later(left, self._expired, attempt)
        conn.carry(attempt)

    def uploaded(self, attempt: Attempt) -> None:
        """The last byte of a long body is out: the attempt's time begins."""
        now = attempt.sent_ms = self.clock.now_ms()
        attempt.expires_ms = attempt.write_by_ms = attempt.response_deadline_ms = now + attempt.post_upload_ms
        attempt.timer = self.loop.call_later(attempt.post_upload_ms / 1000, self._expired, attempt)

    def _connection(self, host: Host) -> Connection | None:
        """The idle connection that was used last, or a new one; None where there is no descriptor left.

        One that has only just carried an answer rests a little: should a late copy or noise follow, it must
        be seen before another request is out there, whose answer it would pass for.  The rest costs a few
        connections more under bursts; a copy that comes later than that gets through.
        """
        rested = self.clock.now_ms() - SETTLE_MS
        for conn in reversed(tuple(host.idle)):
            if conn.idle_since <= rested:
                host.idle.remove(conn)
                if conn.reusable():
                    return conn
                self.diagnostics.note("endpoint closed", "it ended or spoke while idle")
                conn.close()
        if not self._fds.acquire():
            log_event("no connection", "all descriptors are in use")
            return None
        conn = Connection(self, host)
        self._conns.add(conn)
        dialling = conn.dial = self.loop.create_task(self._dial(conn))
        conn.wait(self._dial_s)
        # Not in the task itself: one that is cancelled before its first step never runs a line of it, and the
        # descriptor would never be given back.
        dialling.add_done_callback(lambda task: self.lost(conn) if task.cancelled() else None)
        return conn

    async def _dial(self, conn: Connection) -> None:
        def failed(error: OSError) -> None:
            if not conn.failed_here:
                log_event("no connection", error)
            conn.failed_here = True

        try:
            await connect(self.loop, lambda: conn, (conn.host.ip, conn.host.port), failed)
        except OSError:
            conn.dial = None
            if conn.attempt:
                conn.broke()
            self.lost(conn)

    def _expired(self, attempt: Attempt) -> None:
        if attempt.write_by_ms < attempt.expires_ms:
            if not attempt.written:
                self.abort_attempt(attempt, Outcome.NOT_SENT)  # its window is over, which is nobody's fault
                return
            attempt.write_by_ms = attempt.expires_ms
            left = max(0.0, attempt.expires_ms - self.clock.now_ms()) / 1000
            attempt.timer = self.loop.call_later(left, self._expired, attempt)
            return
        conn = attempt.connection
        if conn and conn.coming:
            # Its patience is for silence.  Another attempt would only ask for the same answer once more.
            if conn.pass_early():
                return
            now = self.clock.now_ms()
            if attempt.response_deadline_ms > now:
                attempt.expires_ms = attempt.write_by_ms = attempt.response_deadline_ms
                attempt.timer = self.loop.call_later(
                    (attempt.response_deadline_ms - now) / 1000, self._expired, attempt
                )
                return
        # Unanswered, and nothing else heard from there since: its other connections may be just as dead.
        if attempt.host and attempt.host.heard_ms < attempt.sent_ms:
            self.close_idle_connections(attempt.endpoint_id)
        self.abort_attempt(attempt, Outcome.TIMEOUT if attempt.written else Outcome.CONNECT_FAILED)

    def abort_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.connection:
            attempt.connection.stop(outcome)

    def report(self, attempt: Attempt, outcome: Outcome, text: bytes, reply: EndpointResponse = NO_RESPONSE) -> None:
        """Hand an attempt back with its outcome."""
        try:
            attempt.move(
                END_REJECTED
                if outcome is Outcome.REJECTED
                else END_NOT_EXECUTED
                if outcome in NEVER_EXECUTED
                else END_MAY_HAVE_RUN
            )
        except IllegalTransitionError:
            if attempt.state == ENDED:
                return  # its one outcome was told: the core must not hear another
            # A fault of ours: end it all the same, as one that may have run, or its request never settles.
            attempt.state, outcome, reply = ENDED, Outcome.RESET, NO_RESPONSE
        values = self._read_report(text) if text else ()
        if attempt.ignores_readiness and self.pulls_reports and reply.body and not values:
            values = self._read_report(reply.body.strip())
        attempt.on_ended(outcome, values, self.clock.now_ms() - attempt.sent_ms, reply)

    # -- connections

    def release(self, conn: Connection) -> None:
        """Keep a connection for the next attempt, if its endpoint is still the one it was opened to."""
        host = conn.host
        if host.ready and conn.born_ms == host.born_ms and conn.where == (host.ip, host.port):
            conn.keep()
            host.idle.append(conn)
        else:
            self.diagnostics.note("endpoint closed", "its endpoint changed meanwhile")
            conn.close()

    def drop(self, conn: Connection, why: str = "it ended or spoke while idle") -> None:
        """An idle connection that is of no more use."""
        self.diagnostics.note("endpoint closed", why)
        if conn in conn.host.idle:
            conn.host.idle.remove(conn)
        conn.close()

    def lost(self, conn: Connection) -> None:
        if conn in self._conns:
            self._conns.discard(conn)
            self._fds.release()
        if conn in conn.host.idle:
            conn.host.idle.remove(conn)

    def close_idle_connections(self, eid: int) -> None:
        host = self._hosts.get(eid)
        if host:
            idle, host.idle = host.idle, []
            for conn in idle:
                self.diagnostics.note("endpoint closed", "its endpoint is left")
                conn.close()

    def _reclaim(self) -> bool:
        """Close the connection that has stood idle for the longest."""
        host = min((h for h in self._hosts.values() if h.idle), key=lambda h: h.idle[0].idle_since, default=None)
        if host:
            self.drop(host.idle[0], "its place is needed")
        return host is not None

    def sweep(self) -> None:
        """Now and then: drop what has stood idle for long."""
        now = self.clock.now_ms()
        for host in self._hosts.values():
            while host.idle and now - host.idle[0].idle_since > self._idle_ms:
                self.drop(host.idle[0], "idle")

    def close(self) -> None:
        for conn in list(self._conns):
            conn.close()

    async def closed(self) -> None:
        """After `close`: until no connection holds a descriptor any more, some turns of the loop later."""
        while self._conns:
            await asyncio.sleep(0)
