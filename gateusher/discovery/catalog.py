"""The list of endpoints: one watch at a time, its lines as news for the module, its silence as its end."""

from __future__ import annotations

import asyncio
import json
import re
import select
from collections.abc import Callable
from hashlib import blake2b
from math import inf, isfinite
from typing import Any, NamedTuple, cast

import httptools
from ..policy.interface import Endpoint, ListKind, ListNews, State

from ..config.model import Names, address
from ..base.log import say

STATES = {"Ready": State.READY, "Terminating": State.DRAINING, "Gone": State.GONE}
# What is missed counts as told 6 s after the silence began (STANDING): the next call's answer has to be here by then.
SILENT_S = 4.5       # a watch says something every 2 s: two missed heartbeats and it is broken
FIRST_S = SILENT_S   # how long a call may take until it is answered; one that waits in turn fails on its own before
MOVE_S = 6.0         # how long a new address is tried anew at once before the module's own waits hold again
MOVE_STEP_S = 0.2    # from one such try to the next
MOVE_FIRST_S = 1.5   # how long such a try may take until its first bytes
PUSH_STEP_S = 0.1    # where lists are pushed: from a call of the agent that failed to the next
PUSH_FIRST_S = 0.5   # how long it may take to answer, at most: it has what it says at hand
PUSH_SILENT_S = 3.0  # one missed heartbeat is enough, as a new call costs nobody anything
LIST_S = 1.0         # a list is whole so long after its first byte, at most
GRACE_PART = 4       # such waits take one part in so many of the grace that the settings give after a drain is told
MOST_LINE = 8 << 20  # bytes of one list, far more than any
TEXT = re.compile(rb'"(?:[^"\\]|\\.)*"')
MOST_CELL = 65535


class HostLine(NamedTuple):
    """One entry of a list: what the module is told, and where the endpoint listens."""

    endpoint: Endpoint
    name: str
    ip: str
    port: int


class LineError(ValueError):
    """A line can't be read, so the list can't be followed any further."""


def endpoint_id(host: str) -> int:
    """The number of an endpoint: the same at every sidecar and after every restart."""
    return int.from_bytes(blake2b(host.encode(), digest_size=4).digest(), "big")


def _amount(entry: dict[str, Any], key: str, default: float) -> float:
    value = entry.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value) or value < 0:
        raise ValueError(f"{key}: {value!r}")
    return float(value)


def read_entry(entry: Any, names: Names) -> HostLine:
    """ValueError if the entry can't be read.

    Of an endpoint that is draining or gone only its name must be readable: a drain counts as told once it is
    written, so no flaw elsewhere in the entry may hide it.
    """
    if not isinstance(entry, dict) or not isinstance(entry.get("host"), str) or not entry["host"]:
        raise ValueError(f"no host: {entry!r}"[:200])
    host: str = entry["host"]
    state = STATES.get(str(entry.get("health")))
    if state is None:
        raise ValueError(f"{host}: health: {entry.get('health')!r}")
    zone = names.zones.get(str(entry.get("site")), len(names.zones))
    kind = names.kinds.get(str(entry.get("class")), len(names.kinds))
    try:
        ip, port = address(entry.get("dial"))
        cell = int(_amount(entry, "block", 0.0))
        if cell > MOST_CELL:
            raise ValueError(f"block: {cell}")
        share, born = _amount(entry, "share", 1.0), _amount(entry, "born_ms", 0.0)
    except ValueError as error:
        if state is State.READY:
            raise ValueError(f"{host}: {error}") from None
        ip, port, cell, share, born = "", 0, 0, 1.0, 0.0
    return HostLine(Endpoint(endpoint_id(host), state, zone, cell, kind, share, born), host, ip, port)


def read_list(data: Any, names: Names) -> tuple[int, bool, list[HostLine]]:
    """Version, wholeness and readable entries of a line."""
    if not isinstance(data, dict):
        raise LineError("not an object")
    seq, hosts, whole = data.get("seq"), data.get("hosts"), data.get("whole")
    if isinstance(seq, bool) or not isinstance(seq, int) or seq < 0 or not isinstance(hosts, list) \
            or not isinstance(whole, bool):
        raise LineError("seq, whole or hosts is missing or of the wrong type")
    lines = []
    for entry in hosts:
        try:
            lines.append(read_entry(entry, names))
        except ValueError as error:
            say("entry skipped", error)
    return seq, whole, lines


def _depth(line: bytes) -> int:
    """How many brackets a line of JSON opens more than it closes; a text never goes on in the next (RFC 8259, 7)."""
    depth = _balance(line)
    return _balance(TEXT.sub(b"", line)) if depth else 0


def _balance(line: bytes) -> int:
    return line.count(b"{") + line.count(b"[") - line.count(b"}") - line.count(b"]")


class Discovery:
    """Follows the list for as long as the module wants it, or from `cached` on where lists are pushed.

    Lists that are pushed are there without being asked for, as far as the module knows: what it takes to have them
    is done here.  The agent that holds them is on this machine and answers at once and for nothing, and what it has
    counts as told from the first moment, so it is called again at once whenever it fails.  `grace_ms` is how long the
    settings let a sidecar go on after it was told of a drain.
    """

    def __init__(self, where: tuple[str, int], names: Names, news: Callable[[ListNews], None],
                 update: Callable[[list[HostLine], bool], None], knows: Callable[[HostLine], bool],
                 pushed: bool = False, grace_ms: float = 4000.0) -> None:
        self._where, self._names, self._pushed = where, names, pushed
        # Neither a call that is lost while the agent is silent nor a list that breaks off may use up the grace.
        part_s = max(0.1, grace_ms / 1000 / GRACE_PART)
        self._push_first_s, self.list_s = min(PUSH_FIRST_S, part_s), min(LIST_S, part_s)
        self.silent_s = PUSH_SILENT_S if self._pushed else SILENT_S
        self._said = ""          # why the watch ended last
        self._news, self._update, self._knows = news, update, knows
        self._loop = asyncio.get_running_loop()
        self._watch: _Watch | None = None
        self.seq = 0
        self.heard = asyncio.Event()  # the service itself has told something since the start
        self.lost_track = False  # the next watch must begin with the whole list, whatever its version
        self._move_by = 0.0      # until then a new address is tried at once
        self._again: asyncio.TimerHandle | None = None

    def cached(self, known: dict[str, Any]) -> None:
        """The list as this sidecar last had it."""
        try:
            self.seq, _, lines = read_list({**known, "whole": True}, self._names)
        except LineError as error:
            say("known list not used", error)
            lines = []
        self._tell(ListKind.CACHED, lines)
        if self._pushed:
            self.watch()

    def watch(self) -> None:
        if self._watch is None:
            moving = self._loop.time() < self._move_by
            first_s = self._push_first_s if self._pushed else MOVE_FIRST_S if moving else FIRST_S
            self._watch = _Watch(self)
            self._watch.open(self._loop, self._where, first_s)

    def move(self, where: tuple[str, int]) -> None:
        """Follow the list at another address from now on; the list in hand is kept until that one speaks.

        Versions of another service can't be compared, so it begins with the whole list.  What it has to tell
        counts as told soon, so failed tries are not left to the module's growing waits; those hold again
        after MOVE_S: an address that is wrong or down for long must not be hammered.  This guards as well
        against a new service that comes up a little after the reload, or breaks before its first list.
        """
        if where == self._where and self._watch:
            return
        self._where, self.lost_track = where, True
        self._move_by = self._loop.time() + MOVE_S
        self.stop()
        self.watch()

    def stop(self) -> None:
        """End the watch; nobody is told, as nobody wants it any more."""
        if self._again:
            self._again.cancel()
            self._again = None
        watch, self._watch = self._watch, None
        if watch:
            watch.close()

    def failed(self, watch: _Watch, why: object) -> None:
        """The watch has ended: once for each, the module is told, and it decides when to ask again."""
        if watch is not self._watch:
            return
        if not self._pushed or str(why) != self._said:
            say("watch ended", why)  # an agent that is down is called ten times a second
        self._said = str(why)
        self.stop()
        if self._pushed:
            self._again = self._loop.call_later(PUSH_STEP_S, self.watch)
        elif self.lost_track and self._loop.time() < self._move_by:
            self._again = self._loop.call_later(MOVE_STEP_S, self.watch)
        else:
            self._news(ListNews(ListKind.FAILED, 0, ()))

    def sweep(self) -> None:
        watch = self._watch
        # Timers come before reads in a turn of the loop: after a pause of ours, what it said may still be unread.
        if watch and self._loop.time() > min(watch.silent_at, watch.list_by) and not watch.unread:
            self.failed(watch, "silent for too long")

    def take(self, line: bytes, fresh: bool) -> None:
        """One line of the watch.  A fresh whole list is taken whatever its version."""
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
        self._tell(ListKind.FULL if whole else ListKind.CHANGES, lines)

    def _tell(self, kind: ListKind, lines: list[HostLine]) -> None:
        own = []
        for line in lines:
            if self._knows(line):
                own.append(line)
            else:
                say("entry skipped", f"{line.name}: its number belongs to another endpoint")
        self._update(own, kind is not ListKind.CHANGES)
        self._news(ListNews(kind, self.seq, tuple(line.endpoint for line in own)))


class _Watch(asyncio.Protocol):
    """One connection to discovery: the watch, after the whole list where track was lost.

    Only what is whole counts as a word of it: a head, an empty line, a list.  Bytes that never become one, as of half
    a line, put nothing off.  A list may be indented, and then takes several lines.
    """

    def __init__(self, owner: Discovery) -> None:
        self._owner = owner
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._poller: select.poll | None = None
        self._task: asyncio.Task[None] | None = None
        self._fresh = owner.lost_track  # this answer is the whole list, not yet the watch
        self._line = bytearray()
        self._part = bytearray()        # a list that goes on in the next line
        self._open = 0                  # brackets that are open there
        self._status, self._over = 0, False
        self._closed = self._spoke = False
        self.silent_at = 0.0
        self.list_by = inf              # until then the list that has begun must be whole

    def open(self, loop: asyncio.AbstractEventLoop, where: tuple[str, int], first_s: float) -> None:
        self._loop, self._host, self._first_s = loop, f"{where[0]}:{where[1]}", first_s
        self.silent_at = loop.time() + first_s
        self._task = loop.create_task(self._dial(where))

    async def _dial(self, where: tuple[str, int]) -> None:
        try:
            await self._loop.create_connection(lambda: self, *where)
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
            self.silent_at = self._loop.time() + self._owner.silent_s
        if self._fresh or not (self._line or self._part):
            self.list_by = inf
        elif self._spoke or self.list_by == inf:
            self.list_by = self._loop.time() + self._owner.list_s

    def on_headers_complete(self) -> None:
        self._status = self._parser.get_status_code()
        self._spoke = True

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
                self._ask()
                self._spoke, self.silent_at = False, self._loop.time() + self._first_s  # a call like the first
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
