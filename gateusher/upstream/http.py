"""HTTP/1.1 to endpoints (RFC 9112): connections, one request each at a time; socket facts become outcomes.

Nothing is ever sent twice from here: an attempt that breaks is reported, and the module decides.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable, Iterable
from typing import cast

import httptools
from ..policy.interface import Outcome, Settings, State

from ..base.clock import Clock
from ..discovery.catalog import HostLine
from ..base.limits import Bytes, Descriptors
from ..base.log import say
from ..base.machine import IllegalMoveError
from .interface import HOP, LEAST_MS, NEVER_RAN, NO_REPLY, Attempt, Headers, Reply
from .states import (ALL, BEGIN, BEGUN, CARRY, CLOSE, CLOSED, CONNECTION, DIALLING, DONE, END, ENDED, EXTRA, HAND,
                     HEAD, HEADED, INTERIM, KEEP, MORE, PART, PARTLY, QUIET, SENT, SPOIL, SPOILT, UP, VOID,
                     WAITING, WHOLE)

MOST_BODY = 65536       # an answer's body
MOST_HEAD = 65536       # an answer's header block
IDLE_PART = 0.8         # of the time after which an endpoint closes an idle connection
ANSWER_S = 0.15         # an answer is whole so long after its first bytes
SETTLE_MS = 4.0         # how long a connection rests after an answer, before it carries another request


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
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self.dial: asyncio.Task[None] | None = None
        self.attempt: Attempt | None = None
        self.idle_since = self.heard_ms = 0.0
        self.state: str = DIALLING  # see core/states.py; this object alone moves it
        self._blocked = False     # the transport holds some of what was handed to it
        self._fresh()

    def _fresh(self) -> None:
        self._status = self._length = 0
        self._head_size = 0
        self._headers: Headers = []
        self._hop = self._report = b""
        self._framed = self._not_run = self._keep = self._closes = self._early = False
        self._held: list[bytes] = []
        self._size = 0

    # -- the request

    def _move(self, event: str) -> None:
        self.state = CONNECTION.move(self.state, event)

    def carry(self, attempt: Attempt) -> None:
        """Send this attempt, now or as soon as the connection is up."""
        attempt.move(HAND)
        self.attempt, attempt.conn = attempt, self
        self._fresh()
        if self._transport:
            self._move(CARRY)
            self._write(self._transport, attempt)

    def _write(self, transport: asyncio.Transport, attempt: Attempt) -> None:
        message = attempt.message
        # The deadline goes on as the time that is left of this attempt.
        left = max(0.0, attempt.expires_ms - self._up.clock.now()) / 1000
        length = b"" if message.method == b"GET" else b"Content-Length: %d\r\n" % len(message.body)
        head = b"%b %b HTTP/1.1\r\n%b%bX-Deadline: %.3f\r\n\r\n" % (
            message.method, message.target, b"".join([b"%b: %b\r\n" % h for h in message.headers]), length, left)
        transport.write(head + message.body)
        # With a high-water mark of 0 the transport calls pause_writing whenever it holds anything back.
        if not transport.is_closing():
            attempt.move(PART if self._blocked else ALL)

    def _overtaken(self, attempt: Attempt) -> bool:
        """Whether what was decided when the dial began no longer holds now that it is up.

        A window or a deadline ran out in this very turn of the loop, before its timer was called; the endpoint
        was told to drain, or has moved; or it was started anew, and this would be a request to a cold process
        that its budget knows nothing of.  It could harm where a list flaps faster than connections come up.
        """
        host = self.host
        return (attempt.write_by_ms - self._up.clock.now() < LEAST_MS or not (host.ready or attempt.to_any)
                or host.born_ms != self.born_ms or (host.ip, host.port) != self.where)

    def pause_writing(self) -> None:
        self._blocked = True

    def resume_writing(self) -> None:
        self._blocked = False
        if self.attempt and self.attempt.state == PARTLY:
            self.attempt.move(ALL)

    # -- the connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=0)
        self._poller = select.poll()
        self._poller.register(self._transport.get_extra_info("socket").fileno(), select.POLLIN)
        self.dial = None
        if self.attempt and self.state == DIALLING:
            self._move(UP)
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
        if self.attempt:
            self._break()
        del self._parser  # it holds this object too

    def eof_received(self) -> None:
        # httptools is never told of the end: a body that the end delimits is whole here.  Only an endpoint
        # that said so may delimit by the end: elsewhere it looks the same as an answer that broke off.
        if self.state == HEADED and self._closes and not self._framed:
            self._keep = False
            self._move(END)
            self._done()

    def close(self) -> None:
        if self.state != CLOSED:
            self._move(CLOSE)
        if self.dial:
            self.dial.cancel()
        if self._transport:
            self._transport.abort()

    def reusable(self) -> bool:
        """Nothing has come that nobody asked for: neither an end nor bytes, not even ones still unread."""
        return (self.state == QUIET and self._transport is not None and not self._transport.is_closing()
                and not self._poller.poll(0))

    # -- the answer

    def data_received(self, data: bytes) -> None:
        self.heard_ms = self.host.heard_ms = self._up.clock.now()
        if self.attempt is None:
            self._up.drop(self)  # quiet, and something came that nobody asked for
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._keep = False
            if self.state == WHOLE:
                self._move(MORE)
            elif self.state not in (EXTRA, SPOILT):
                self._move(SPOIL)
        if self.state in (WAITING, BEGUN):
            self._head_size += len(data)
        if self.state in (WHOLE, EXTRA):
            self._done()
        elif self.state == SPOILT or self._head_size > MOST_HEAD:
            self._spoilt()
        elif self.state == WAITING and self._stall:
            self._stall.cancel()  # only an interim answer so far
            self._stall = None
        elif self.state in (BEGUN, HEADED) and self._stall is None:
            # Heads without end, bodies shorter than their length, an endpoint that hangs in mid-answer: no
            # such answer becomes whole by waiting, and the request may still have time for another attempt.
            # It could harm an endpoint that writes its answers in parts that lie far apart.
            self._stall = self._up.loop.call_later(ANSWER_S, self._spoilt)

    def on_message_begin(self) -> None:
        if self.state == WHOLE:
            self._move(MORE)
        elif self.state == WAITING:
            self._move(BEGIN)
            self._early = not self._written

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.state != BEGUN:
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
            self._framed = True
            if value.strip().lower() != b"chunked":
                self._move(SPOIL)
        elif name not in HOP:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        if self.state != BEGUN:
            return
        self._status = self._parser.get_status_code()
        if self._status < 200:
            return
        self._move(HEAD)
        turned_away = self._status in (503, 504) and self._not_run
        if self._length > MOST_BODY or self._early and not turned_away:
            # An endpoint begins when the last byte has come: an answer whose first byte came before that answers
            # something else, or gives up on the request, whenever the rest of both comes.
            self._move(SPOIL)

    def on_body(self, data: bytes) -> None:
        if self.state != HEADED or not self._up.serves(self._status):
            return  # only an answer's body is anybody's
        if self._size + len(data) > MOST_BODY or not self._up.memory.take(len(data)):
            self._move(SPOIL)
            return
        self._size += len(data)
        self._held.append(data)

    def on_message_complete(self) -> None:
        if self.state == BEGUN:  # an interim answer is over; the real one follows
            self._move(SPOIL if self._status == 101 else INTERIM)
            size = self._head_size
            self._fresh()
            self._head_size = size
        elif self.state == HEADED:
            self._move(END)
            self._keep = self._parser.should_keep_alive()

    def _let_go(self) -> None:
        self._up.memory.give(self._size)
        self._held, self._size = [], 0

    def _done(self) -> None:
        """A whole answer: report it, after the connection is back where the next attempt can find it."""
        attempt, status = self._detach(), self._status
        outcome, reply = Outcome.ERROR, NO_REPLY
        if self._up.serves(status):
            outcome = Outcome.OK
            headers = self._headers
            if self._hop and not self._closes and self._hop != b"keep-alive":
                # The endpoint may name further headers of this connection (RFC 9110, 7.6.1).
                named = {part.strip() for part in self._hop.split(b",")}
                headers = [h for h in headers if h[0] not in named]
            reply = Reply(status, headers, b"".join(self._held) if self._held else b"")
        elif status in (503, 504) and self._not_run:
            outcome = Outcome.FULL
        self._let_go()
        # What comes behind an answer, a second copy or noise, must never meet the next request.
        if self._keep and attempt.written and self.state == WHOLE:
            self._up.release(self)
        else:
            self.close()
        self._up.report(attempt, outcome, self._report, reply)

    def _break(self) -> None:
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
        self._move(KEEP)
        self.idle_since = self._up.clock.now()

    def stop(self, outcome: Outcome) -> None:
        """End the attempt and with it the connection, which is how an attempt is given up."""
        attempt = self._detach()
        self._let_go()
        self.close()
        self._up.report(attempt, outcome, b"")

    def _detach(self) -> Attempt:
        attempt = self.attempt
        assert attempt
        self.attempt = attempt.conn = None
        if self._stall:
            self._stall.cancel()
            self._stall = None
        if attempt.timer:
            attempt.timer.cancel()
        return attempt


class Upstream:
    """All endpoints, and all connections to them."""

    def __init__(self, settings: Settings, serves: frozenset[int], clock: Clock, memory: Bytes,
                 descriptors: Descriptors, read_report: Callable[[bytes], tuple[float, ...]]) -> None:
        self.clock, self.memory = clock, memory
        self.serves = serves.__contains__
        self._fds, self._read_report = descriptors, read_report
        self.loop = asyncio.get_running_loop()
        self.retune(settings)
        self.pulls_reports = settings.reports_pulled
        self._hosts: dict[int, Host] = {}
        self._conns: set[Connection] = set()
        descriptors.reclaimers.append(self._reclaim)

    def retune(self, settings: Settings) -> None:
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
            moved = (host.ip, host.port, host.born_ms) != (line.ip, line.port, entry.booted_ms)
            host.ip, host.port, host.born_ms = line.ip, line.port, entry.booted_ms
            host.ready = entry.state is State.READY
            if moved or not host.ready:
                self.close_idle(host.eid)  # they lead to a process that is gone, or nothing new may go there
            if entry.state is State.GONE:
                self._hosts.pop(host.eid)
        for eid in ([e for e in self._hosts if e not in named] if whole else ()):
            self._hosts[eid].ready = False
            self.close_idle(eid)
            self._hosts.pop(eid)

    # -- attempts

    def start(self, attempt: Attempt) -> None:
        host = attempt.host = self._hosts.get(attempt.eid)
        conn = self._connection(host) if host and (host.ready or attempt.to_any) else None
        if conn is None:
            self.report(attempt, Outcome.NOT_SENT, b"")
            return
        left = (attempt.write_by_ms - attempt.sent_ms) / 1000
        attempt.timer = self.loop.call_later(left, self._expired, attempt)
        conn.carry(attempt)

    def _connection(self, host: Host) -> Connection | None:
        """The idle connection that was used last, or a new one; None where there is no descriptor left.

        One that has only just carried an answer rests a little: should a late copy or noise follow, it must
        be seen before another request is out there, whose answer it would pass for.  The rest costs a few
        connections more under bursts; a copy that comes later than that gets through.
        """
        rested = self.clock.now() - SETTLE_MS
        for conn in reversed(tuple(host.idle)):
            if conn.idle_since <= rested:
                host.idle.remove(conn)
                if conn.reusable():
                    return conn
                conn.close()
        if not self._fds.take():
            say("no connection", "all descriptors are in use")
            return None
        conn = Connection(self, host)
        self._conns.add(conn)
        dial = conn.dial = self.loop.create_task(self._dial(conn))
        # Not in the task itself: one that is cancelled before its first step never runs a line of it, and the
        # descriptor would never be given back.
        dial.add_done_callback(lambda task: self.lost(conn) if task.cancelled() else None)
        return conn

    async def _dial(self, conn: Connection) -> None:
        try:
            async with asyncio.timeout(self._dial_s):
                await self.loop.create_connection(lambda: conn, conn.host.ip, conn.host.port)
        except (OSError, TimeoutError):
            conn.dial = None
            if conn.attempt:
                conn.stop(Outcome.CONNECT_FAILED)
            self.lost(conn)

    def _expired(self, attempt: Attempt) -> None:
        if attempt.write_by_ms < attempt.expires_ms:
            if not attempt.written:
                self.give_up(attempt, Outcome.NOT_SENT)  # its window is over, which is nobody's fault
                return
            attempt.write_by_ms = attempt.expires_ms
            left = max(0.0, attempt.expires_ms - self.clock.now()) / 1000
            attempt.timer = self.loop.call_later(left, self._expired, attempt)
            return
        # Unanswered, and nothing else heard from there since: its other connections may be just as dead.
        if attempt.host and attempt.host.heard_ms < attempt.sent_ms:
            self.close_idle(attempt.eid)
        self.give_up(attempt, Outcome.TIMEOUT if attempt.written else Outcome.CONNECT_FAILED)

    def give_up(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.conn:
            attempt.conn.stop(outcome)

    def report(self, attempt: Attempt, outcome: Outcome, text: bytes, reply: Reply = NO_REPLY) -> None:
        """Hand an attempt back with its outcome."""
        try:
            attempt.move(VOID if outcome in NEVER_RAN else DONE)
        except IllegalMoveError:
            if attempt.state == ENDED:
                return  # its one outcome was told: the core must not hear another
            # A fault of ours: end it all the same, as one that may have run, or its request never settles.
            attempt.state, outcome, reply = ENDED, Outcome.RESET, NO_REPLY
        values = self._read_report(text) if text else ()
        if attempt.to_any and self.pulls_reports and reply.body and not values:
            values = self._read_report(reply.body.strip())
        attempt.ended(outcome, values, self.clock.now() - attempt.sent_ms, reply)

    # -- connections

    def release(self, conn: Connection) -> None:
        """Keep a connection for the next attempt, if its endpoint is still the one it was opened to."""
        host = conn.host
        if host.ready and conn.born_ms == host.born_ms and conn.where == (host.ip, host.port):
            conn.keep()
            host.idle.append(conn)
        else:
            conn.close()

    def drop(self, conn: Connection) -> None:
        """An idle connection that is of no more use."""
        if conn in conn.host.idle:
            conn.host.idle.remove(conn)
        conn.close()

    def lost(self, conn: Connection) -> None:
        if conn in self._conns:
            self._conns.discard(conn)
            self._fds.give()
        if conn in conn.host.idle:
            conn.host.idle.remove(conn)

    def close_idle(self, eid: int) -> None:
        host = self._hosts.get(eid)
        if host:
            idle, host.idle = host.idle, []
            for conn in idle:
                conn.close()

    def _reclaim(self) -> bool:
        """Close the connection that has stood idle for the longest."""
        host = min((h for h in self._hosts.values() if h.idle), key=lambda h: h.idle[0].idle_since,
                   default=None)
        if host:
            self.drop(host.idle[0])
        return host is not None

    def sweep(self) -> None:
        """Now and then: drop what has stood idle for long."""
        now = self.clock.now()
        for host in self._hosts.values():
            while host.idle and now - host.idle[0].idle_since > self._idle_ms:
                self.drop(host.idle[0])

    def close(self) -> None:
        for conn in list(self._conns):
            conn.close()

    async def closed(self) -> None:
        """After `close`: until no connection holds a descriptor any more, some turns of the loop later."""
        while self._conns:
            await asyncio.sleep(0)
