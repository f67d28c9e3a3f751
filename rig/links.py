"""Relays on the loopback address that inject link faults: one for each direction of datagrams and for each stream."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from typing import cast

from .history import History

MAX_READS_PER_WAKEUP = 32
MAX_QUEUED_DATAGRAMS = 20000
MAX_REORDER_DELAY_S = 0.05
CONNECT_TIMEOUT_S = 1.0  # of a connection that is made without a turn of the event loop; on loopback it takes none


@dataclass
class LinkFaults:
    """Faults of one link, probabilities from 0 to 1 for each datagram; the defaults forward everything unchanged."""

    cut: bool = False
    stalled: bool = False
    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    corrupt: float = 0.0
    delay_s: float = 0.0
    delayed: float = 0.0  # probability of the delay


class DatagramRelay:
    """Relay of datagrams from one member to another; its own socket identifies the sender."""

    def __init__(self, sender: str, target: str, address: tuple[str, int], history: History, rng: Random) -> None:
        self.sender, self.target, self.faults = sender, target, LinkFaults()
        self._address, self._history, self._rng = address, history, rng
        self._loop = asyncio.get_running_loop()
        self._queued: deque[bytes] = deque()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        self._sock.bind(("127.0.0.1", 0))
        self.port: int = self._sock.getsockname()[1]
        self._loop.add_reader(self._sock, self._on_readable)

    def _on_readable(self) -> None:
        for _ in range(MAX_READS_PER_WAKEUP):
            try:
                data = self._sock.recv(65535)
            except OSError:
                return
            self._relay(data)

    def _relay(self, data: bytes) -> None:
        faults, draw = self.faults, self._rng.random
        lost = faults.cut or (faults.loss > 0 and draw() < faults.loss)
        self._history.count_datagram(self.sender, len(data), lost)
        if lost:
            return
        if faults.corrupt and data and draw() < faults.corrupt:
            position = int(draw() * len(data))
            changed = bytes((data[position] ^ (1 + int(draw() * 254)),))
            data = data[:position] + changed + data[position + 1 :]
        if faults.stalled:
            if len(self._queued) < MAX_QUEUED_DATAGRAMS:
                self._queued.append(data)
            return
        for _ in range(1 + (faults.duplicate > 0 and draw() < faults.duplicate)):
            wait_s = faults.delay_s if faults.delay_s and draw() < faults.delayed else 0.0
            if faults.reorder and draw() < faults.reorder:
                wait_s += draw() * MAX_REORDER_DELAY_S
            if wait_s:
                self._loop.call_later(wait_s, self._send, data)
            else:
                self._send(data)

    def _send(self, data: bytes) -> None:
        with suppress(OSError):  # the socket is closed, or the target is not running
            self._sock.sendto(data, self._address)

    def release_queued(self) -> None:
        """Send at once all datagrams that were queued during a stall."""
        while self._queued:
            self._send(self._queued.popleft())

    def close(self) -> None:
        """Close the socket."""
        self._loop.remove_reader(self._sock)
        self._sock.close()


class _Side(asyncio.Protocol):
    """One of the two connections that a relayed connection consists of."""

    def __init__(self, relay: StreamRelay, other: _Side | None) -> None:
        self.relay, self.other = relay, other
        self.accepted = other is None  # by the relay, not connected by it
        self.transport: asyncio.Transport | None = None
        self.unsent: list[bytes] = []
        self.other_closed = False
        self.is_connect_due = False  # the other side is to be connected with the first data

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.other is None:
            self.relay.on_accepted(self)
        else:
            self.flush()

    def data_received(self, data: bytes) -> None:
        if self.relay.silent:
            return
        assert self.other
        self.other.unsent.append(data)
        self.other.flush()
        if self.is_connect_due:
            self.is_connect_due = False
            self.relay.connect_with_data(self, self.other)

    def flush(self) -> None:
        if self.transport and not self.relay.stalled:
            for data in self.unsent:
                self.transport.write(data)
                if not self.accepted:
                    self.relay.on_forwarded(data)
            self.unsent.clear()
            if self.other_closed:
                self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.relay.on_closed(self)
        other = self.other
        if other and not self.relay.silent:
            other.other_closed = True
            if exc and other.transport:
                other.transport.abort()
            else:
                other.flush()


class StreamRelay:
    """Relay of every connection made to `port` on to one address.

    `connects_with_data`: connect to the address only with the first data, and send both within one turn of the event
    loop.  Otherwise a pause of this event loop, on a busy machine, makes a client look like one that connects and
    sends nothing, and the server rightly closes the connection as unused before the request reaches it.
    """

    def __init__(self, address: tuple[str, int], connects_with_data: bool = False) -> None:
        self._address = address
        self._connects_with_data = connects_with_data
        self._loop = asyncio.get_running_loop()
        self._sides: set[_Side] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.silent = self.stalled = False
        self.port = 0
        self.on_forwarded: Callable[[bytes], None] = lambda data: None  # called with the data sent to the address

    async def start(self) -> None:
        """Listen on a free port, `port`."""
        self._server = await self._loop.create_server(lambda: _Side(self, None), "127.0.0.1", 0, backlog=256)
        self.port = self._server.sockets[0].getsockname()[1]

    def on_accepted(self, side: _Side) -> None:
        """Connect an accepted connection to the address, or do so with its first data."""
        side.other = other = _Side(self, side)
        self._sides |= {side, other}
        if self._connects_with_data:
            side.is_connect_due = True
        else:
            self._spawn(self._connect(side, other))

    def connect_with_data(self, side: _Side, other: _Side) -> None:
        """Connect to the address and send the first data at once, or leave it queued while the relay is stalled."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.settimeout(CONNECT_TIMEOUT_S)
        try:
            sock.connect(self._address)
            if not self.stalled:
                data = b"".join(other.unsent)
                sock.sendall(data)
                other.unsent.clear()
                self.on_forwarded(data)
        except OSError:
            sock.close()
            if side.transport:
                side.transport.abort()
        else:
            sock.setblocking(False)
            self._spawn(self._attach(other, sock))

    async def _attach(self, other: _Side, sock: socket.socket) -> None:
        await self._loop.create_connection(lambda: other, sock=sock)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, side: _Side, other: _Side) -> None:
        if self.silent:
            return  # accepted but not connected, as a half-open connection
        try:
            await self._loop.create_connection(lambda: other, *self._address)
        except OSError:
            if side.transport:
                side.transport.abort()

    def on_closed(self, side: _Side) -> None:
        """Forget a closed connection."""
        self._sides.discard(side)

    def silence(self, silent: bool) -> None:
        """Discard all data; the end resets the open connections, as a restarted machine does."""
        self.silent = silent
        if not silent:
            self.reset()

    def stall(self, stalled: bool) -> None:
        """Queue all data; the end of the stall forwards it at once."""
        self.stalled = stalled
        if not stalled:
            for side in list(self._sides):
                side.flush()

    def reset(self) -> None:
        """Abort every open connection."""
        for side in list(self._sides):
            if side.transport:
                side.transport.abort()

    def close(self) -> None:
        """Stop listening and abort every connection."""
        if self._server:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
