"""The list of endpoints: calls for it as `calls` decides, its lines as news for the module."""

from __future__ import annotations

import asyncio
import json
import os
import re
import select
from collections.abc import Callable
from math import inf
from random import Random
from typing import Any, cast

import httptools

from ..base.errors import connect
from ..base.log import log_event
from ..config.model import Names
from ..policy.interface import EndpointListUpdate, UpdateKind
from .calls import (
    ASKED,
    Asked,
    Calls,
    Close,
    Ended,
    Event,
    Failed,
    Follow,
    Later,
    Open,
    Reloaded,
    Spoke,
    Stop,
    Tick,
)
from .calls import (
    pushed as pushed_policy,
)
from .lists import HostLine, LineError, read_list

LIST_S = 1.0  # a list is whole so long after its first byte, at most
GRACE_PART = 4  # and after one part in so many of the grace that the settings give after a drain is told
MOST_LINE = 8 << 20  # bytes of one list, far more than any
READ_BYTES, MOST_READS = 1 << 16, 64  # of a call in one look, out of the loop's turn
TEXT = re.compile(rb'"(?:[^"\\]|\\.)*"')


def _depth(line: bytes) -> int:
    """How many brackets a line of JSON opens more than it closes; a text never goes on in the next (RFC 8259, 7)."""
    depth = _balance(line)
    return _balance(TEXT.sub(b"", line)) if depth else 0


def _balance(line: bytes) -> int:
    return line.count(b"{") + line.count(b"[") - line.count(b"}") - line.count(b"]")


class Discovery:
    """Follows the list for as long as the module wants it, or from `cached` on where lists are pushed.

    Lists that are pushed are there without being asked for, as far as the module knows: what it takes to have them
    is done here.  When to call, call beside, give up and wait is `calls`'s to say.  `grace_ms` is how long the
    settings let a sidecar go on after it was told of a drain; `seed` spreads the waits of a fleet.
    """

    def __init__(
        self,
        where: tuple[str, int],
        names: Names,
        news: Callable[[EndpointListUpdate], None],
        update: Callable[[list[HostLine], bool], None],
        knows: Callable[[HostLine], bool],
        pushed: bool = False,
        grace_ms: float = 4000.0,
        seed: int = 0,
    ) -> None:
        self._where, self._names, self._pushed = where, names, pushed
        self.list_s = min(LIST_S, max(0.1, grace_ms / 1000 / GRACE_PART))  # a list that breaks off may not use it up
        self._news, self._update, self._knows = news, update, knows
        self._loop = asyncio.get_running_loop()
        self.calls = Calls(pushed_policy(grace_ms / 1000) if pushed else ASKED, Random(seed).random)
        self._open: dict[int, _Call] = {}
        self._put_off = False  # the last sweep found something unread
        self._said = ""  # what became of a call last
        self.seq = 0
        self.heard = asyncio.Event()  # the service itself has told something since the start
        self.lost_track = False  # the next watch must begin with the whole list, whatever its version

    def cached(self, known: dict[str, Any]) -> None:
        """The list as this sidecar last had it."""
        try:
            self.seq, _, lines = read_list({**known, "whole": True}, self._names)
        except LineError as error:
            log_event("known list not used", error)
            lines = []
        self._tell(UpdateKind.CACHED, lines)
        self._handle(Follow() if self._pushed else Later())

    def watch(self) -> None:
        """The list is wanted now; nothing where a call for it is out."""
        self._handle(Follow())

    def move(self, where: tuple[str, int]) -> None:
        """SIGHUP: follow the list at this address from now on; the list in hand is kept until that one speaks.

        Versions of another service can't be compared, so it begins with the whole list.
        """
        moved = where != self._where
        if moved:
            self._where, self.lost_track = where, True
        self._handle(Reloaded(moved))

    def stop(self) -> None:
        """End all calls; nobody is told, as nobody wants them any more."""
        self._handle(Stop())

    def _handle(self, event: Event) -> None:
        for act in self.calls.handle(self._loop.time(), event):
            match act:
                case Open(call):
                    self._open[call] = _Call(self, call)
                    self._open[call].connect(self._loop, self._where)
                case Close(call):
                    self._open.pop(call).close()
                case Failed():
                    if not self._pushed:
                        self._news(EndpointListUpdate(UpdateKind.FAILED, 0, ()))

    def failed(self, call: _Call, why: object) -> None:
        """A call has ended by itself; nothing where it was closed here."""
        if self._open.get(call.number) is call:
            self._say("watch ended", why)
            call.close()
            del self._open[call.number]
            self._handle(Ended(call.number))

    def spoke(self, call: _Call) -> None:
        self._handle(Spoke(call.number))

    def asked(self, call: _Call) -> None:
        self._handle(Asked(call.number))

    def _say(self, what: str, why: object) -> None:
        """Where lists are pushed, an agent that is down is called many times a second: the same is said once."""
        if not self._pushed or f"{what}: {why}" != self._said:
            log_event(what, why)
        self._said = f"{what}: {why}"

    def sweep(self) -> None:
        now = self._loop.time()
        late = [call for call in self._open.values() if now > call.list_by]
        if not late and now < self.calls.due_s:
            return
        # Timers come before reads in a turn of the loop: after a pause of ours, what was said may still be unread.
        # It is read before the next sweep; bytes that never stop coming put nothing off for longer.
        if not self._put_off and any(call.unread for call in self._open.values()):
            self._put_off = True
            return
        self._put_off = False
        for call in late:
            self.failed(call, "a list that had begun did not become whole")
        if now >= self.calls.due_s:
            if self._open:
                self._say("watch silent", f"called once more, beside {len(self._open)}")
            self._handle(Tick())

    def catch_up(self) -> None:
        """Take up now what the service has sent and the loop has not handed over yet."""
        for call in list(self._open.values()):
            call.read_now()

    def take(self, line: bytes, fresh: bool) -> None:
        """One line of a call.  A fresh whole list is taken whatever its version."""
        if self.lost_track and not fresh:
            raise LineError("asked for before the list was lost track of")
        try:
            seq, whole, lines = read_list(json.loads(line), self._names)
        except (ValueError, RecursionError) as error:
            self.lost_track = True
            raise LineError(f"line can't be read: {error}") from None
        if fresh and not whole:
            raise LineError("asked for the whole list and got a part")
        if seq < self.seq and not fresh:
            self.lost_track = True
            raise LineError(f"version went back from {self.seq} to {seq}")
        self.seq, self._said = seq, ""
        self.heard.set()
        if fresh:
            self.lost_track = False
        self._tell(UpdateKind.COMPLETE if whole else UpdateKind.CHANGES, lines)

    def _tell(self, kind: UpdateKind, lines: list[HostLine]) -> None:
        own = []
        for line in lines:
            if self._knows(line):
                own.append(line)
            else:
                log_event("entry skipped", f"{line.name}: its number belongs to another endpoint")
        self._update(own, kind is not UpdateKind.CHANGES)
        self._news(EndpointListUpdate(kind, self.seq, tuple(line.endpoint for line in own)))


class _Call(asyncio.Protocol):
    """One connection to discovery: the watch, after the whole list where track was lost.

    Only what is whole counts as a word of it: a head, an empty line, a list.  Bytes that never become one, as of half
    a line, put nothing off.  A list may be indented, and then takes several lines.
    """

    def __init__(self, owner: Discovery, number: int) -> None:
        self._owner, self.number = owner, number
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._poller: select.poll | None = None
        self._task: asyncio.Task[None] | None = None
        self._fresh = False  # this answer is the whole list, not yet the watch
        self._line = bytearray()
        self._part = bytearray()  # a list that goes on in the next line
        self._open = 0  # brackets that are open there
        self._status, self._over = 0, False
        self._closed = self._spoke = False
        self._failed_here = False  # no socket could be had or connected, for a reason of this machine's
        self.list_by = inf  # until then the list that has begun must be whole

    def connect(self, loop: asyncio.AbstractEventLoop, where: tuple[str, int]) -> None:
        self._loop, self._host = loop, f"{where[0]}:{where[1]}"
        self._task = loop.create_task(self._dial(where))

    async def _dial(self, where: tuple[str, int]) -> None:
        def failed(error: OSError) -> None:
            if not self._failed_here:
                log_event("no connection to discovery", error)
            self._failed_here = True

        try:
            await connect(self._loop, lambda: self, where, failed)  # until `close`: an error here is no word of it
        except OSError as error:
            self._owner.failed(self, error)

    def close(self) -> None:
        self._closed = True
        if self._task:
            self._task.cancel()
        if self._transport:
            self._transport.abort()

    @property
    def unread(self) -> bool:
        """Something has come that the loop has not handed over yet."""
        return bool(self._transport and not self._transport.is_closing() and self._poller and self._poller.poll(0))

    def read_now(self) -> None:
        """Read what is there without waiting for the loop, which goes on behind it."""
        for _ in range(MOST_READS):
            if self._transport is None or not self.unread:
                return
            try:
                data = os.read(self._transport.get_extra_info("socket").fileno(), READ_BYTES)
            except OSError:
                return  # nothing after all, or the end of the connection: the loop finds it too
            if not data:
                return
            self.data_received(data)

    def _ask(self) -> None:
        path = "" if self._fresh else f"?watch=1&from={self._owner.seq}"
        if self._transport:
            head = f"GET /catalog/members{path} HTTP/1.1\r\nHost: {self._host}\r\n\r\n"
            self._transport.write(head.encode())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport, self._task = cast(asyncio.Transport, transport), None
        if self._closed:
            self._transport.abort()  # nobody wants it any more, and a call costs the service
            return
        self._poller = select.poll()
        self._poller.register(self._transport.get_extra_info("socket").fileno(), select.POLLIN)
        self._fresh = self._owner.lost_track
        self._ask()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._owner.failed(self, exc or "connection closed")
        del self._parser  # it holds this object too

    def data_received(self, data: bytes) -> None:
        if self._closed:
            return
        self._spoke = False
        try:
            self._parser.feed_data(data)
            if len(self._line) + len(self._part) > MOST_LINE:
                raise LineError("line too long")
            self._lines()
        except (LineError, httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._owner.failed(self, error)
        if self._spoke:
            self._owner.spoke(self)
        if self._fresh or not (self._line or self._part):
            self.list_by = inf
        elif self._spoke or self.list_by == inf:
            self.list_by = self._loop.time() + self._owner.list_s

    def on_headers_complete(self) -> None:
        self._status = self._parser.get_status_code()
        self._spoke = self._status == 200 and not self._fresh

    def on_body(self, data: bytes) -> None:
        if self._status == 200:
            self._line += data

    def on_message_complete(self) -> None:
        self._over = self._status >= 200

    def _lines(self) -> None:
        """Take all lines that are whole; what is behind the last line's end waits for the rest."""
        if self._fresh:
            if self._over and self._status == 200:
                line, self._line, self._over = bytes(self._line), bytearray(), False
                self._owner.take(line, True)
                self._fresh = False
                self._owner.asked(self)
                self._ask()
        elif b"\n" in self._line:
            *lines, rest = bytes(self._line).split(b"\n")
            self._line = bytearray(rest)
            for line in lines:
                self._one(line)
        if self._over:
            raise LineError(f"ended with status {self._status}")

    def _one(self, line: bytes) -> None:
        """A line: a list, a part of one that is indented, or nothing, which says that the watch is alive."""
        if not line.strip():
            if self._part:
                self._broke_off()
            self._spoke = True
            return
        depth = _depth(line)
        if self._part and line[:1] == b"{" and depth == 0:
            self._broke_off()  # a whole list in the middle of another
        if not self._part and depth <= 0:
            self._owner.take(line, False)
            self._spoke = True
            return
        self._part += line
        self._open += depth
        if self._open <= 0:
            whole, self._part, self._open = bytes(self._part), bytearray(), 0
            self._owner.take(whole, False)
            self._spoke = True

    def _broke_off(self) -> None:
        self._owner.lost_track = True
        raise LineError("a list broke off")
