"""The first use of members: what a list says of drains and starts is told to those whose list is behind.  Pure.

Word DRAIN: the server's number (4 bytes) and the list's version (8).  Word START: the same and when it began, in the
list's own time (8, IEEE 754).  Whoever reads a newer list waits a random moment before it speaks, and says nothing
that a fellow has said meanwhile: of 200 that read the same change a few speak (as receivers do in SRM, 1997).  A word
is best effort, and fades; while its list is fresh somebody says it again, so that who was cut off hears it too.
"""

from __future__ import annotations

import struct
from math import isfinite
from random import Random
from typing import NamedTuple

from ..policy.interface import Endpoint, EndpointListUpdate, EndpointState, GossipHint, UpdateKind
from .interface import Broadcast, BroadcastReceived
from .token_bucket import TokenBucket

DRAIN, START = 1, 2  # kinds of words
BURST_PER_S = 40.0  # words that we say, or take of one origin or relay, a second, and at once
MOST_KEPT = 4096  # servers that were spoken of, and senders whose words are counted
AGAIN_MS, FRESH_MS = 4000.0, 30000.0  # a word is said again so often, for so long
_DRAIN = struct.Struct(">IQ")
_START = struct.Struct(">IQd")


class Pending(NamedTuple):
    due: float
    until: float
    state: EndpointState
    version: int
    booted_ms: float


class Drains:
    """`wait_ms`: within which those who read a change at once speak, each at its own moment."""

    def __init__(self, wait_ms: float, seed: int) -> None:
        self._wait, self._rng = wait_ms, Random(seed)
        self._known: dict[int, Endpoint] = {}
        self._pending: dict[int, Pending] = {}
        self._said: dict[int, int] = {}  # by anybody: the version of the list that spoke of it
        self._own = TokenBucket(BURST_PER_S)
        self._credits: dict[str, TokenBucket] = {}
        self.left_out = 0  # words over the bounds

    @property
    def due(self) -> float:
        """When `tick` is wanted."""
        return min((p.due for p in self._pending.values()), default=1e18)

    def listed(self, now: float, news: EndpointListUpdate) -> None:
        """The own list has spoken."""
        if news.kind is UpdateKind.FAILED:
            return
        whole = news.kind is not UpdateKind.CHANGES
        before, named = self._known, set[int]()
        for entry in news.entries:
            old = before.get(entry.endpoint)
            named.add(entry.endpoint)
            restarted = old is not None and entry.state is EndpointState.READY and entry.started_ms > old.started_ms
            gone = old is not None and old.state is EndpointState.READY and entry.state is not EndpointState.READY
            if (restarted or gone) and news.kind is not UpdateKind.CACHED:
                self._plan(now, entry.endpoint, entry.state, news.version, entry.started_ms)
            if entry.state is EndpointState.REMOVED:
                before.pop(entry.endpoint, None)
            else:
                before[entry.endpoint] = entry
        if whole:
            for eid in [eid for eid in before if eid not in named]:
                if news.kind is not UpdateKind.CACHED and before[eid].state is EndpointState.READY:
                    self._plan(now, eid, EndpointState.REMOVED, news.version, 0.0)
                del before[eid]

    def _plan(self, now: float, eid: int, state: EndpointState, version: int, booted_ms: float) -> None:
        if self._said.get(eid, -1) < version:
            due = now + self._rng.random() * self._wait
            self._pending[eid] = Pending(due, now + FRESH_MS, state, version, booted_ms)

    def _again(self, now: float, eid: int, word: Pending) -> None:
        """Somebody has said it: it is our turn later, unless a fellow's comes first."""
        due = now + AGAIN_MS * (1.0 + self._rng.random())
        if due < word.until:
            self._pending[eid] = word._replace(due=due)
        else:
            self._pending.pop(eid, None)

    def _spoken(self, eid: int, version: int) -> None:
        self._said[eid] = version
        if len(self._said) > MOST_KEPT:  # whoever lies names servers without end
            del self._said[next(iter(self._said))]

    def tick(self, now: float) -> list[Broadcast]:
        """Words that are due and that nobody else has said."""
        words = []
        for eid in [eid for eid, p in self._pending.items() if p.due <= now]:
            word = self._pending[eid]
            state, version, booted_ms = word.state, word.version, word.booted_ms
            self._again(now, eid, word)
            if not self._own.take(now, 1):
                self.left_out += 1
                continue
            self._spoken(eid, version)
            if state is EndpointState.READY:
                words.append(Broadcast(START, _START.pack(eid, version % (1 << 64), booted_ms)))
            else:
                words.append(Broadcast(DRAIN, _DRAIN.pack(eid, version % (1 << 64))))
        return words

    def heard(self, now: float, word: BroadcastReceived) -> GossipHint | None:
        """A fellow's word as an event for the decisions; None for what is none, or one too many of its sender."""
        try:
            if word.kind == DRAIN:
                eid, version = _DRAIN.unpack_from(word.data)
                state, booted_ms = EndpointState.DRAINING, 0.0
            elif word.kind == START:
                eid, version, booted_ms = _START.unpack_from(word.data)
                state = EndpointState.READY
            else:
                return None
        except struct.error:
            return None
        if not isfinite(booted_ms):
            return None
        for who in (f"origin {word.origin}", f"relay {word.relay}"):
            if len(self._credits) >= MOST_KEPT:
                self._credits.clear()
            if not self._credits.setdefault(who, TokenBucket(BURST_PER_S)).take(now, 1):
                self.left_out += 1
                return None
        pending = self._pending.get(eid)
        if (
            pending
            and pending.version <= version
            and (pending.state is EndpointState.READY) == (state is EndpointState.READY)
        ):
            self._again(now, eid, pending)
        self._spoken(eid, version)
        return GossipHint(eid, state, version, booted_ms)
