"""Stand-in endpoints that count every effect by request id and misbehave as a script says, request by request.

`Fleet` owns what the nodes share: the script, the counts, and events to wait for.  `Node` owns its connections and
its queue.  A request that was received completely has an effect unless it is rejected, whatever its response.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field
from math import inf
from typing import Final

from ..base import proof
from .wire import Asked, Peer, answer

RESET_DELAY_S: Final = 0.005  # a reset discards bytes that the peer has not read yet
REQUEST_ID_FIELD: Final = b"X-Request-Id: "
BACKLOG_CONNECTIONS: Final = 4  # more than Linux queues for listen(0)


@dataclass(frozen=True, slots=True)
class Reply:
    """Send this response, in `parts` writes with an iteration of the event loop between them."""

    status: int = 200
    body: bytes = b""  # the request's id where it is empty and the status is 200
    headers: tuple[tuple[str, str], ...] = ()
    parts: int = 1
    after: float = 0.0  # seconds of work


@dataclass(frozen=True, slots=True)
class NotRun:
    """Reject it: it never runs."""

    status: int = 503


@dataclass(frozen=True, slots=True)
class Stall:
    """Run it and respond with 200 only when `Fleet.release` is called for its id."""

    runs: bool = True


@dataclass(frozen=True, slots=True)
class Reset:
    """Run it and reset the connection at this byte of the response; `clean` closes it instead."""

    at: int = 0
    clean: bool = False


@dataclass(frozen=True, slots=True)
class Cut:
    """Reset the connection after so many bytes of an incomplete request: it never runs."""

    at: int = 1


@dataclass(frozen=True, slots=True)
class Spoil:
    """Run it and send these bytes in place of a response; the connection stays open."""

    data: bytes = b"\x01\x02\x03\x04"


@dataclass(frozen=True, slots=True)
class Twice:
    """Run it once and send the response twice, at once or `after` seconds later."""

    after: float = 0.0


@dataclass(frozen=True, slots=True)
class Interim:
    """Send interim (1xx) responses ahead of the final one."""

    statuses: tuple[int, ...] = (103, 102)


@dataclass(frozen=True, slots=True)
class Last:
    """Respond with `Connection: close`; with `delimits`, the end of the connection delimits the content."""

    delimits: bool = False


Act = Reply | NotRun | Stall | Reset | Cut | Spoil | Twice | Interim | Last


@dataclass(frozen=True, slots=True)
class _Waiter:
    """Somebody who waits until so many attempts of a request were received."""

    request_id: str
    count: int
    arrived: asyncio.Future[None]


@dataclass
class Fleet:
    """What all nodes share."""

    script: dict[str, deque[Act]] = field(default_factory=lambda: defaultdict(deque))
    attempts: Counter[str] = field(default_factory=Counter)  # complete requests received, by id
    effects: Counter[str] = field(default_factory=Counter)  # requests that ran, by id
    asked: dict[str, list[Asked]] = field(default_factory=lambda: defaultdict(list))
    by_node: Counter[str] = field(default_factory=Counter)  # complete requests received, by node
    ran_at: Counter[str] = field(default_factory=Counter)  # effects, by node
    cut: Counter[str] = field(default_factory=Counter)  # requests reset while incomplete, by id
    group: str = "all"  # nodes that share idempotency keys: "all", or those of a "zone"
    window: float = 60.0  # seconds for which an idempotency key is remembered
    _key_ran_at: dict[tuple[str, str], float] = field(default_factory=dict)
    _waiters: list[_Waiter] = field(default_factory=list)
    _stalled: dict[str, list[asyncio.Event]] = field(default_factory=lambda: defaultdict(list))

    def tell(self, rid: str, *acts: Act) -> None:
        """Script the attempts of a request, in order of arrival; later ones get the ordinary response."""
        self.script[rid].extend(acts)

    def next(self, rid: str) -> Act | None:
        """Take the next scripted act of a request; None for the ordinary response."""
        acts = self.script.get(rid)
        return acts.popleft() if acts else None

    def came(self, rid: str, node: str, asked: Asked) -> None:
        """Count a complete request, and wake those who wait for it."""
        self.attempts[rid] += 1
        self.by_node[node] += 1
        self.asked[rid].append(asked)
        for waiter in list(self._waiters):
            if waiter.request_id == rid and self.attempts[rid] >= waiter.count:
                self._waiters.remove(waiter)
                if not waiter.arrived.done():
                    waiter.arrived.set_result(None)

    def run(self, rid: str, node: str, zone: str, asked: Asked, now: float) -> None:
        """Count one effect, unless its idempotency key ran within the last `window` seconds; `now` is in seconds."""
        key = asked.headers.get("idempotency-key")
        if key is not None:
            scoped_key = (zone if self.group == "zone" else "", key)
            if now - self._key_ran_at.get(scoped_key, -inf) <= self.window:
                return
            self._key_ran_at[scoped_key] = now
        self.effects[rid] += 1
        self.ran_at[node] += 1

    async def arrival(self, rid: str, count: int = 1) -> None:
        """Wait until so many attempts of a request were received completely."""
        if self.attempts[rid] < count:
            future = asyncio.get_running_loop().create_future()
            self._waiters.append(_Waiter(rid, count, future))
            await future

    def hold(self, rid: str) -> asyncio.Event:
        """Register a stalled attempt; the event is set by `release`."""
        event = asyncio.Event()
        self._stalled[rid].append(event)
        return event

    def release(self, rid: str) -> None:
        """Let the stalled attempts of a request get their responses."""
        for event in self._stalled.pop(rid, []):
            event.set()

    @property
    def doubles(self) -> dict[str, int]:
        """Ids that ran more than once."""
        return {rid: count for rid, count in self.effects.items() if count > 1}


class Node:
    """One endpoint.

    :param work: seconds of work for a request; 0 responds at once, without a queue.
    :param cores: requests processed at a time.
    :param most_queued: length of the queue; further requests are rejected.
    :param cold: share of its full speed at the start; it rises linearly to 1 within `warm_s` seconds.
    """

    def __init__(
        self,
        fleet: Fleet,
        name: str = "node",
        *,
        zone: str = "",
        work: float = 0.0,
        cores: int = 1,
        most_queued: int = 64,
        cold: float = 1.0,
        warm_s: float = 0.0,
    ) -> None:
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.work = work
        self.cores = cores
        self.most_queued = most_queued
        self.cold = cold
        self.warm_s = warm_s
        self.draining = False
        self.connections = 0  # accepted so far
        self.port = 0
        self._server: asyncio.Server | None = None
        self._peers: set[_NodePeer] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy_cores = 0
        self._queue = deque[asyncio.Future[None]]()
        self._started_at = 0.0  # event loop time, s

    async def start(self, port: int = 0) -> None:
        """Listen on `port` of the loopback address, or on a free one for 0.  Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _NodePeer(self), "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._started_at = loop.time()

    def entry(self, health: str = "Ready", **more: object) -> dict[str, object]:
        """Return the node's entry in discovery's list, as the platform's protocol writes it."""
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            "site": self.zone,
            "class": "",
            "block": 0,
            "health": health,
            "share": 1.0,
            "born_ms": 0,
            **more,
        }

    @property
    def open(self) -> int:
        """Number of open connections."""
        return len(self._peers)

    @property
    def load(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    def stop_accepting(self) -> None:
        """Refuse new connections; open ones stay."""
        if self._server:
            self._server.close()
            self._server = None

    def kill(self) -> None:
        """Fail as a crashed process does: connections are reset and new ones refused."""
        self.stop_accepting()
        for peer in list(self._peers):
            peer.reset()
        for task in list(self._tasks):
            task.cancel()

    close = kill

    def take(self, peer: _NodePeer, asked: Asked) -> None:
        """Handle a complete request."""
        rid = asked.headers.get("x-request-id", "")
        path, _, query = asked.target.partition("?")
        if path == proof.CHALLENGE_PATH:
            reply = proof.answer_challenge(query)
            peer.write(answer(200, json.dumps({"standin": reply}).encode()) if reply else answer(400))
            return
        if asked.target in ("/ping", "/_load"):
            peer.write(answer(503 if self.draining else 200))
            return
        self.fleet.came(rid, self.name, asked)
        act = self.fleet.next(rid)
        if act is None and not self.work and not self.draining:
            self._record_effect(rid, asked)
            peer.write(self._ordinary_response(rid))
            return
        if isinstance(act, NotRun):
            peer.write(self._rejection(act.status))
            return
        if act is None and (self.draining or len(self._queue) >= self.most_queued):
            peer.write(self._rejection(503))
            return
        if act is not None and (not isinstance(act, Stall) or act.runs):
            self._record_effect(
                rid, asked
            )  # before the task starts: a waiter for its arrival may kill this node first
        released = self.fleet.hold(rid) if isinstance(act, Stall) else None
        task = asyncio.get_running_loop().create_task(self._serve(peer, rid, act, asked, released))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _record_effect(self, rid: str, asked: Asked) -> None:
        self.fleet.run(rid, self.name, self.zone, asked, asyncio.get_running_loop().time())

    def _ordinary_response(self, rid: str) -> bytes:
        return answer(200, rid.encode(), (("X-Load", f"TEXT queue={self.load}"),))

    @staticmethod
    def _rejection(status: int) -> bytes:
        return answer(status, b"", (("X-Not-Run", "1"),))

    async def _work(self) -> None:
        """Wait for a core and use it; a node in slow start takes longer."""
        if not self.work:
            return
        loop = asyncio.get_running_loop()
        if self._busy_cores >= self.cores:
            turn = loop.create_future()
            self._queue.append(turn)
            await turn
        else:
            self._busy_cores += 1
        try:
            warm_share = min(1.0, (loop.time() - self._started_at) / self.warm_s) if self.warm_s else 1.0
            speed = self.cold + (1 - self.cold) * warm_share
            await asyncio.sleep(self.work / speed)
        finally:
            if self._queue:
                self._queue.popleft().set_result(None)
            else:
                self._busy_cores -= 1

    async def _serve(
        self, peer: _NodePeer, rid: str, act: Act | None, asked: Asked, released: asyncio.Event | None
    ) -> None:
        """Do the work of a request and respond as its act says."""
        if act is None:
            await self._work()
            self._record_effect(rid, asked)
        response = self._ordinary_response(rid)
        if isinstance(act, Reply):
            await self._send_reply(peer, rid, act)
        elif released:
            await released.wait()
            peer.write(response)
        elif isinstance(act, Reset):
            await self._send_and_disconnect(peer, response, act)
        elif isinstance(act, Spoil):
            peer.write(act.data)
        elif isinstance(act, Twice):
            await self._send_twice(peer, response, act)
        elif isinstance(act, Interim):
            interim = b"".join(b"HTTP/1.1 %d X\r\n\r\n" % status for status in act.statuses)
            peer.write(interim + response)
        elif isinstance(act, Last):
            length = b"" if act.delimits else b"Content-Length: %d\r\n" % len(rid)
            peer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n" + length + b"\r\n" + rid.encode())
            peer.close()
        else:
            peer.write(response)

    @staticmethod
    async def _send_reply(peer: _NodePeer, rid: str, act: Reply) -> None:
        await asyncio.sleep(act.after)
        body = act.body or (rid.encode() if act.status == 200 else b"")
        data = answer(act.status, body, act.headers)
        part_bytes = -(-len(data) // act.parts)  # rounded up
        for start in range(0, len(data), part_bytes):
            peer.write(data[start : start + part_bytes])
            await asyncio.sleep(0)

    @staticmethod
    async def _send_and_disconnect(peer: _NodePeer, response: bytes, act: Reset) -> None:
        if act.at:
            peer.write(response[: act.at])
            await asyncio.sleep(RESET_DELAY_S)
        if act.clean:
            peer.close()
        else:
            peer.reset()

    @staticmethod
    async def _send_twice(peer: _NodePeer, response: bytes, act: Twice) -> None:
        if not act.after:
            peer.write(response + response)
            return
        peer.write(response)
        await asyncio.sleep(act.after)
        peer.write(response)


class Silent:
    """An address where connections time out: its backlog is full and nothing accepts."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self.port: int = self._listener.getsockname()[1]
        self._backlog = []
        for _ in range(BACKLOG_CONNECTIONS):
            connection = socket.socket()
            connection.setblocking(False)
            connection.connect_ex(("127.0.0.1", self.port))
            self._backlog.append(connection)

    def close(self) -> None:
        """Close the listener and the connections that fill its backlog."""
        for sock in [*self._backlog, self._listener]:
            sock.close()


class _NodePeer(Peer):
    """A connection to a node."""

    def __init__(self, node: Node) -> None:
        super().__init__()
        self._node = node

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._node.connections += 1
        self._node._peers.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._node._peers.discard(self)

    def peeked(self, data: bytes) -> bool:
        """Reset the connection of a request that is scripted with `Cut`."""
        start = data.find(REQUEST_ID_FIELD)
        if start < 0:
            return False
        end = data.find(b"\r", start)
        rid = data[start + len(REQUEST_ID_FIELD) : end].decode("latin-1")
        acts = self._node.fleet.script.get(rid)
        if not acts or not isinstance(acts[0], Cut) or self.read < acts[0].at:
            return False
        acts.popleft()
        self._node.fleet.cut[rid] += 1
        self.reset()
        return True

    def asked(self, asked: Asked) -> None:
        self._node.take(self, asked)
