"""The state of one execution, and a client's connection to the daemon in it.

It stands below `properties`, which judge it, and below the modules that bring events about.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import httptools

from gateusher.client import Gateway
from gateusher.config.model import Config
from gateusher.core.engine import Engine
from gateusher.daemon import Sidecar
from gateusher.listeners.client_connection import ClientConnection
from gateusher.node import Node
from gateusher.policy import Balancer
from gateusher.upstream.connection import Connection
from gateusher.upstream.pool import ConnectionPool
from gateusher.virtual.loop import Transport, VirtualLoop

from .chooser import Chooser
from .setting import Setting
from .story import Ask, Sent, Story

Event = tuple[str, Callable[[], None]]  # its words, and what brings it about
OnAnswer = Callable[["Line", int, dict[bytes, bytes], bytes], None]  # the line, status, headers, body


class WorldState:
    """What the properties see of an execution; `ObservedWorld` makes it, and the event modules change it."""

    choose: Chooser
    face: str  # "library" or "daemon"
    effects: tuple[str, ...]
    setting: Setting
    rich: bool
    loop: VirtualLoop
    story: Story
    transports: list[Transport]
    ended: bool
    scarce: bool
    taken: set[str]
    end_s: float
    tasks: dict[str, asyncio.Task[Any]]
    lines: dict[str, Line]
    config: Config
    given: set[str]
    gateway: Gateway
    sidecar: Sidecar
    node: Node
    engine: Engine
    upstream: ConnectionPool
    balancer: Balancer
    conns: list[Connection]

    def call(self, ask: Ask) -> Any:
        """The core's record of a request."""
        name = ask.name.encode()
        return next((c for c in self.engine.requests.values() if (b"X-Ask", name) in c.headers), None)

    def rid(self, at: int) -> str:
        return f"{self.effects[at]}-{at}"

    def out(self, transport: Transport) -> Sent | None:
        """What is unanswered on a connection."""
        last = next((s for s in reversed(self.story.sent) if s.transport is transport), None)
        return last if last and not last.answered else None


class Line:
    """A client's connection to the daemon: requests in, answers out in their order."""

    def __init__(self, world: WorldState, name: str, on_answer: OnAnswer) -> None:
        self.world = world
        self.name = name
        self._on_answer = on_answer
        self.queue: list[Ask] = []  # whole and not answered yet
        self.stopped = False  # its client reads nothing
        self.too_late = False  # the rest of a request came when its connection was closing
        client = ClientConnection(world.sidecar.server)
        world.sidecar.server._connections.add(client)
        self.transport = Transport(world.loop, client, 0)
        self.transport.on_peer_data = self._got
        self.transport.accepted_bytes = lambda transport, data: 0 if self.stopped else len(data)
        client.connection_made(self.transport)  # type: ignore[arg-type]
        self._parser = httptools.HttpResponseParser(self)
        self._body, self._headers = b"", dict[bytes, bytes]()
        self._begun = False  # the head of an answer has come, and its end has not

    @property
    def broken(self) -> Ask | None:
        """The request whose answer broke off, so that its client could tell: its connection ended in the middle."""
        return self.queue[0] if self._begun and self.queue and self.transport.lost else None

    @property
    def half(self) -> Ask | None:
        """The request of which only a part has come."""
        return next(
            (a for a in self.world.story.asks.values() if a.coming and self.world.lines.get(a.name) is self), None
        )

    def _got(self, data: bytes) -> None:
        if data:
            self._parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        self._begun = self._parser.get_status_code() >= 200

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        self._begun = False
        status, headers, body = self._parser.get_status_code(), self._headers, self._body
        self._body, self._headers = b"", {}
        if status < 200:
            return
        if not self.queue and (half := self.half):
            # Told before its last byte: it was never taken, and its connection ends.
            half.left, half.coming = self.world.loop.now, b""
            return
        if not self.queue and self.too_late:
            self.too_late = False  # the same, read only after its client had sent the rest in vain
            return
        if not self.queue:
            self.world.story.wrong.append(f"{self.name}: an answer, {status}, and nothing was asked")
            return
        self._on_answer(self, status, headers, body)
