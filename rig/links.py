"""Relays on the loopback address: one for each way of datagrams, one for each stream; what they do is set outside."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from typing import cast

from .history import History

AT_A_TIME = 32
MOST_HELD = 20000
REORDER_S = 0.05


@dataclass
class Way:
    """What becomes of datagrams; all at its default lets them through."""

    cut: bool = False
    stalled: bool = False
    loss: float = 0.0
    double: float = 0.0
    reorder: float = 0.0
    corrupt: float = 0.0
    delay: float = 0.0
    delayed: float = 0.0  # the share that is


class Datagrams:
    """The way from one member to another: a socket of its own, so that whoever sends is known without looking."""

    def __init__(self, sender: str, target: str, where: tuple[str, int], history: History, rng: Random) -> None:
        self.sender, self.target, self.way = sender, target, Way()
        self._to, self._history, self._rng = where, history, rng
        self._loop = asyncio.get_running_loop()
        self._held: deque[bytes] = deque()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        self._sock.bind(("127.0.0.1", 0))
        self.port: int = self._sock.getsockname()[1]
        self._loop.add_reader(self._sock, self._readable)

    def _readable(self) -> None:
        for _ in range(AT_A_TIME):
            try:
                data = self._sock.recv(65535)
            except OSError:
                return
            self._take(data)

    def _take(self, data: bytes) -> None:
        way, draw = self.way, self._rng.random
        lost = way.cut or (way.loss > 0 and draw() < way.loss)
        self._history.datagram(self.sender, len(data), lost)
        if lost:
            return
        if way.corrupt and data and draw() < way.corrupt:
            at = int(draw() * len(data))
            data = data[:at] + bytes((data[at] ^ (1 + int(draw() * 254)),)) + data[at + 1 :]
        if way.stalled:
            if len(self._held) < MOST_HELD:
                self._held.append(data)
            return
        for _ in range(1 + (way.double > 0 and draw() < way.double)):
            wait = way.delay if way.delay and draw() < way.delayed else 0.0
            if way.reorder and draw() < way.reorder:
                wait += draw() * REORDER_S
            if wait:
                self._loop.call_later(wait, self._give, data)
            else:
                self._give(data)

    def _give(self, data: bytes) -> None:
        with suppress(OSError):  # closed, or nobody listens there now
            self._sock.sendto(data, self._to)

    def let_go(self) -> None:
        """All that a stall held comes at once."""
        while self._held:
            self._give(self._held.popleft())

    def close(self) -> None:
        self._loop.remove_reader(self._sock)
        self._sock.close()


class _End(asyncio.Protocol):
    """One side of a relayed connection."""

    def __init__(self, stream: Streams, other: _End | None) -> None:
        self.stream, self.other = stream, other
        self.transport: asyncio.Transport | None = None
        self.waiting: list[bytes] = []
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.other is None:
            self.stream.came(self)
        else:
            self.flush()

    def data_received(self, data: bytes) -> None:
        if self.stream.silent:
            return
        assert self.other
        self.other.waiting.append(data)
        self.other.flush()

    def flush(self) -> None:
        if self.transport and not self.stream.stalled:
            for data in self.waiting:
                self.transport.write(data)
            self.waiting.clear()
            if self.ended:
                self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.stream.left(self)
        other = self.other
        if other and not self.stream.silent:
            other.ended = True
            if exc and other.transport:
                other.transport.abort()
            else:
                other.flush()


class Streams:
    """All connections from whoever dials `port` to one address."""

    def __init__(self, where: tuple[str, int]) -> None:
        self._to = where
        self._loop = asyncio.get_running_loop()
        self._ends: set[_End] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.silent = self.stalled = False
        self.port = 0

    async def start(self) -> None:
        self._server = await self._loop.create_server(lambda: _End(self, None), "127.0.0.1", 0, backlog=256)
        self.port = self._server.sockets[0].getsockname()[1]

    def came(self, end: _End) -> None:
        end.other = other = _End(self, end)
        self._ends |= {end, other}
        task = self._loop.create_task(self._dial(end, other))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, end: _End, other: _End) -> None:
        if self.silent:
            return  # it came up, as a half-open one does, and nobody is behind it
        try:
            await self._loop.create_connection(lambda: other, *self._to)
        except OSError:
            if end.transport:
                end.transport.abort()

    def left(self, end: _End) -> None:
        self._ends.discard(end)

    def silence(self, silent: bool) -> None:
        """Swallow all that comes; when it is over what stood is reset, as by a machine that is back."""
        self.silent = silent
        if not silent:
            self.reset()

    def stall(self, stalled: bool) -> None:
        """Hold all that comes, to let it go at once."""
        self.stalled = stalled
        if not stalled:
            for end in list(self._ends):
                end.flush()

    def reset(self) -> None:
        for end in list(self._ends):
            if end.transport:
                end.transport.abort()

    def close(self) -> None:
        if self._server:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
