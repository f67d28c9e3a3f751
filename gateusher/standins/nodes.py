"""Nodes that count every effect by its request's id and can be told, request by request, how to misbehave.

A `Fleet` holds what the nodes share: the script, the counts, and events to wait for.  A request whose last byte
has come has an effect unless it is turned away, whatever becomes of its answer.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field

from ..base import proof
from .wire import Asked, Peer, answer


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer so; `parts` are written one after the other, with a turn of the loop between."""

    status: int = 200
    body: bytes = b""  # the request's id where it is empty and the status is 200
    headers: tuple[tuple[str, str], ...] = ()
    parts: int = 1
    after: float = 0.0  # seconds of work


@dataclass(frozen=True, slots=True)
class NotRun:
    """Turn it away: it never runs."""

    status: int = 503


@dataclass(frozen=True, slots=True)
class Stall:
    """Run it and say nothing, until `Fleet.release` is called for its id: then answer 200."""

    runs: bool = True


@dataclass(frozen=True, slots=True)
class Reset:
    """Run it and reset the connection at this byte of the answer; `clean` ends it in order instead."""

    at: int = 0
    clean: bool = False


@dataclass(frozen=True, slots=True)
class Cut:
    """Reset the connection once so many bytes of the request have come, before it is whole: it never runs."""

    at: int = 1


@dataclass(frozen=True, slots=True)
class Spoil:
    """Run it and send these bytes in place of an answer; the connection stays open."""

    data: bytes = b"\x01\x02\x03\x04"


@dataclass(frozen=True, slots=True)
class Twice:
    """Run it once and answer twice, at once or `after` seconds later."""

    after: float = 0.0


@dataclass(frozen=True, slots=True)
class Interim:
    """1xx answers ahead of the real one."""

    statuses: tuple[int, ...] = (103, 102)


@dataclass(frozen=True, slots=True)
class Last:
    """Answer and say that the connection closes; `delimits` gives no length, so that the end is the end."""

    delimits: bool = False


Act = Reply | NotRun | Stall | Reset | Cut | Spoil | Twice | Interim | Last


@dataclass
class Fleet:
    """What all nodes share."""

    script: dict[str, deque[Act]] = field(default_factory=lambda: defaultdict(deque))
    attempts: Counter[str] = field(default_factory=Counter)  # whole requests that came, by id
    effects: Counter[str] = field(default_factory=Counter)  # those that ran
    asked: dict[str, list[Asked]] = field(default_factory=lambda: defaultdict(list))
    by_node: Counter[str] = field(default_factory=Counter)  # the same, by node
    ran_at: Counter[str] = field(default_factory=Counter)  # effects, by node
    cut: Counter[str] = field(default_factory=Counter)  # requests reset before they were whole
    group: str = "all"  # which nodes drop the repeats of an idempotency key: "all", or one "zone"
    window: float = 60.0  # and for how many seconds
    _ran: dict[tuple[str, str], float] = field(default_factory=dict)
    _waiting: list[tuple[str, int, asyncio.Future[None]]] = field(default_factory=list)
    _held: dict[str, list[asyncio.Event]] = field(default_factory=lambda: defaultdict(list))

    def tell(self, rid: str, *acts: Act) -> None:
        """What the attempts of this request meet, in the order of their coming; the usual answer after that."""
        self.script[rid].extend(acts)

    def next(self, rid: str) -> Act | None:
        acts = self.script.get(rid)
        return acts.popleft() if acts else None

    def came(self, rid: str, node: str, asked: Asked) -> None:
        self.attempts[rid] += 1
        self.by_node[node] += 1
        self.asked[rid].append(asked)
        for entry in [w for w in self._waiting if w[0] == rid and self.attempts[rid] >= w[1]]:
            self._waiting.remove(entry)
            if not entry[2].done():
                entry[2].set_result(None)

    def run(self, rid: str, node: str, zone: str, asked: Asked, now: float) -> None:
        """One effect, unless it is a repeat of a key that is still remembered."""
        key = asked.headers.get("idempotency-key")
        if key is not None:
            place = zone if self.group == "zone" else "", key
            if now - self._ran.get(place, -1e9) <= self.window:
                return
            self._ran[place] = now
        self.effects[rid] += 1
        self.ran_at[node] += 1

    async def arrival(self, rid: str, count: int = 1) -> None:
        """Until so many attempts of this request have come whole."""
        if self.attempts[rid] < count:
            future = asyncio.get_running_loop().create_future()
            self._waiting.append((rid, count, future))
            await future

    def hold(self, rid: str) -> asyncio.Event:
        event = asyncio.Event()
        self._held[rid].append(event)
        return event

    def release(self, rid: str) -> None:
        """Let the stalled attempts of this request be answered."""
        for event in self._held.pop(rid, []):
            event.set()

    @property
    def doubles(self) -> dict[str, int]:
        """Ids that ran more than once."""
        return {rid: n for rid, n in self.effects.items() if n > 1}


class Node:
    """One endpoint.

    :param work: seconds of work a request; 0 answers at once and knows no queue.
    :param cores: requests in work at a time.
    :param most_queued: more than these wait; the rest is turned away unrun.
    :param cold: what part of its speed it starts with, rising evenly to all of it within `warm_s`.
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
        self.fleet, self.name, self.zone = fleet, name, zone
        self.work, self.cores, self.most_queued = work, cores, most_queued
        self.cold, self.warm_s = cold, warm_s
        self.draining = False
        self.connections = 0  # accepted so far
        self.port = 0
        self._server: asyncio.Server | None = None
        self._peers: set[_NodePeer] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy, self._queue = 0, deque[asyncio.Future[None]]()
        self._began = 0.0

    async def start(self, port: int = 0) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _NodePeer(self), "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._began = loop.time()

    def entry(self, health: str = "Ready", **more: object) -> dict[str, object]:
        """Its line in a list."""
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
        """Connections that stand now."""
        return len(self._peers)

    @property
    def load(self) -> int:
        return len(self._queue)

    def stop_accepting(self) -> None:
        """New connections are refused; those that stand go on."""
        if self._server:
            self._server.close()
            self._server = None

    def kill(self) -> None:
        """As a process that dies: connections are reset and new ones refused."""
        self.stop_accepting()
        for peer in list(self._peers):
            peer.reset()
        for task in list(self._tasks):
            task.cancel()

    close = kill

    def take(self, peer: _NodePeer, asked: Asked) -> None:
        """A whole request."""
        rid = asked.headers.get("x-request-id", "")
        path, _, query = asked.target.partition("?")
        if path == proof.PATH:
            told = proof.answer_to(query)
            peer.write(answer(200, json.dumps({"standin": told}).encode()) if told else answer(400))
            return
        if asked.target in ("/ping", "/_load"):
            peer.write(answer(503 if self.draining else 200))
            return
        self.fleet.came(rid, self.name, asked)
        act = self.fleet.next(rid)
        if act is None and not self.work and not self.draining:
            self._ran(rid, asked)
            peer.write(answer(200, rid.encode(), (("X-Load", f"TEXT queue={self.load}"),)))
            return
        if isinstance(act, NotRun) or (act is None and (self.draining or len(self._queue) >= self.most_queued)):
            peer.write(answer(act.status if isinstance(act, NotRun) else 503, b"", (("X-Not-Run", "1"),)))
            return
        if act is not None and (not isinstance(act, Stall) or act.runs):
            self._ran(rid, asked)  # at once: what waits for its coming may end this node in the same turn
        held = self.fleet.hold(rid) if isinstance(act, Stall) else None
        task = asyncio.get_running_loop().create_task(self._serve(peer, rid, act, asked, held))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _ran(self, rid: str, asked: Asked) -> None:
        self.fleet.run(rid, self.name, self.zone, asked, asyncio.get_running_loop().time())

    async def _work(self) -> None:
        """Wait for a core and use it; a cold node is slower."""
        if not self.work:
            return
        loop = asyncio.get_running_loop()
        if self._busy >= self.cores:
            turn = loop.create_future()
            self._queue.append(turn)
            await turn
        else:
            self._busy += 1
        try:
            warm = min(1.0, (loop.time() - self._began) / self.warm_s) if self.warm_s else 1.0
            await asyncio.sleep(self.work / (self.cold + (1 - self.cold) * warm))
        finally:
            if self._queue:
                self._queue.popleft().set_result(None)
            else:
                self._busy -= 1

    async def _serve(
        self, peer: _NodePeer, rid: str, act: Act | None, asked: Asked, held: asyncio.Event | None
    ) -> None:
        if act is None:
            await self._work()
            self._ran(rid, asked)
        usual = answer(200, rid.encode(), (("X-Load", f"TEXT queue={self.load}"),))
        if isinstance(act, Reply):
            await asyncio.sleep(act.after)
            body = act.body or (rid.encode() if act.status == 200 else b"")
            data = answer(act.status, body, act.headers)
            step = -(-len(data) // act.parts)
            for at in range(0, len(data), step):
                peer.write(data[at : at + step])
                await asyncio.sleep(0)
        elif held:
            await held.wait()
            peer.write(usual)
        elif isinstance(act, Reset):
            if act.at:
                peer.write(usual[: act.at])
                await asyncio.sleep(0.005)  # a reset overtakes what is not read yet
            if act.clean:
                peer.close()
            else:
                peer.reset()
        elif isinstance(act, Spoil):
            peer.write(act.data)
        elif isinstance(act, Twice):
            peer.write(usual if act.after else usual + usual)
            if act.after:
                await asyncio.sleep(act.after)
                peer.write(usual)
        elif isinstance(act, Interim):
            peer.write(b"".join(b"HTTP/1.1 %d X\r\n\r\n" % s for s in act.statuses) + usual)
        elif isinstance(act, Last):
            head = b"" if act.delimits else b"Content-Length: %d\r\n" % len(rid)
            peer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n" + head + b"\r\n" + rid.encode())
            peer.close()
        else:
            peer.write(usual)


class Silent:
    """An address where connections never come up: its queue is full and nobody accepts."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self.port: int = self._listener.getsockname()[1]
        self._filling = []
        for _ in range(4):  # Linux holds one more than asked for; what comes then gets no answer
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self._filling.append(filler)

    def close(self) -> None:
        for sock in [*self._filling, self._listener]:
            sock.close()


class _NodePeer(Peer):
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
        """A request that is to be cut ends here, before its last byte is read."""
        at = data.find(b"X-Request-Id: ")
        if at < 0:
            return False
        rid = data[at + 14 : data.find(b"\r", at)].decode("latin-1")
        acts = self._node.fleet.script.get(rid)
        if not acts or not isinstance(acts[0], Cut) or self.read < acts[0].at:
            return False
        acts.popleft()
        self._node.fleet.cut[rid] += 1
        self.reset()
        return True

    def asked(self, asked: Asked) -> None:
        self._node.take(self, asked)
