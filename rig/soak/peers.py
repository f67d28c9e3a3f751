"""The sidecars' surroundings: endpoints that misbehave by draw and by order, and a catalog that fails."""

from __future__ import annotations

import asyncio
import time
from random import Random
from typing import Any

from gateusher.standins.wire import DiscoveryServer, ReceivedRequest, ServerConnection, encode_response

from .records import Arrival, Records

IDLE_S = 3.0  # an endpoint closes a connection that has stood idle for so long, as the settings say
NORMAL_WORK_S = 0.01  # the mean of an ordinary request's work


class SoakEndpoint:
    """One endpoint: counts what comes and runs, and now and then answers late, wrongly or not at all."""

    def __init__(self, name: str, records: Records, seed: int) -> None:
        self.name, self.records, self.random = name, records, Random(seed)
        self.hangs = False  # it takes requests and answers none
        self.draining = False
        self.born_ms = 0
        self.port = 0
        self._server: asyncio.Server | None = None
        self.peers: set[_EndpointPeer] = set()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _EndpointPeer(self), "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """All connections are reset, new ones refused, until `start`."""
        if self._server:
            self._server.close()
            self._server = None
        for peer in list(self.peers):
            peer.reset()

    @property
    def up(self) -> bool:
        return self._server is not None

    def entry(self, health: str) -> dict[str, Any]:
        """Its line in a list."""
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            "site": "a",
            "class": "m",
            "block": 0,
            "health": health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    def take(self, peer: _EndpointPeer, asked: ReceivedRequest) -> None:
        """A whole request: run it or not, and answer as the draw says."""
        request_id = asked.headers.get("x-request-id", "")
        told_s = float(asked.headers.get("x-deadline", "0"))
        self.records.arrivals[request_id].append(Arrival(request_id, self.name, time.monotonic(), told_s))
        draw = self.random.random()
        if draw < 0.03:
            peer.write(encode_response(503, b"", (("X-Not-Run", "1"),)))
            return
        self.records.ran[request_id] += 1
        if self.hangs or draw < 0.05:
            return
        if draw < 0.07:
            peer.reset()
        elif draw < 0.08:
            peer.close()
        elif draw < 0.09:
            peer.write(encode_response(500))
        elif draw < 0.10:
            peer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
        else:
            slow = draw < 0.15
            work_s = self.random.uniform(0.2, 0.8) if slow else self.random.expovariate(1 / NORMAL_WORK_S)
            whole = encode_response(200, request_id.encode())
            asyncio.get_running_loop().call_later(work_s, peer.write, whole)


class _EndpointPeer(ServerConnection):
    def __init__(self, owner: SoakEndpoint) -> None:
        super().__init__()
        self._owner = owner
        self._idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._owner.peers.add(self)
        self._rest()

    def _rest(self) -> None:
        if self._idle:
            self._idle.cancel()
        self._idle = asyncio.get_running_loop().call_later(IDLE_S, self.close)

    def intercept(self, data: bytes) -> bool:
        self._rest()
        return False

    def on_request(self, asked: ReceivedRequest) -> None:
        self._owner.take(self, asked)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._owner.peers.discard(self)
        if self._idle:
            self._idle.cancel()


class SoakCatalog(DiscoveryServer):
    """Discovery as one sidecar sees it: it can fall silent, end its watches, refuse, or be gone."""

    def __init__(self) -> None:
        super().__init__()
        self.silent = False  # open watches are told nothing more; new ones are served
        self.down = False  # calls are reset
        self.reachable_s = 0.0  # since when calls are answered
        self._deaf: set[ServerConnection] = set()

    def fall_silent(self) -> None:
        """Every watch that is open now is told nothing more."""
        self._deaf |= self._watchers
        self._watchers.clear()

    def go_down(self) -> None:
        self.down = True
        self.break_watches()

    def come_back(self) -> None:
        self.down, self.reachable_s = False, time.monotonic()

    def serve(self, peer: Any, asked: ReceivedRequest) -> None:
        if self.down:
            peer.reset()
        else:
            super().serve(peer, asked)

    @property
    def watching(self) -> bool:
        """Whether a change that is told now is written to somebody."""
        return bool(self._watchers)
