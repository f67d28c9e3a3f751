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

from .history import AttemptRecord, History, RequestRecord
from .scheduler import Scheduler
from .setting import Setting

Event = tuple[str, Callable[[], None]]  # its words, and what brings it about
OnAnswer = Callable[["DaemonConnection", int, dict[bytes, bytes], bytes], None]  # the line, status, headers, body


class WorldState:
    """What the properties see of an execution; `ObservedWorld` makes it, and the event modules change it."""

    choose: Scheduler
    interface: str  # "library" or "daemon"
    effects: tuple[str, ...]
    setting: Setting
    all_events: bool
    loop: VirtualLoop
    history: History
    transports: list[Transport]
    shutting_down: bool
    descriptors_exhausted: bool
    accepted: set[str]
    shutdown_at_s: float
    tasks: dict[str, asyncio.Task[Any]]
    daemon_connections: dict[str, DaemonConnection]
    config: Config
    listed_addresses: set[str]
    gateway: Gateway
    sidecar: Sidecar
    node: Node
    engine: Engine
    upstream: ConnectionPool
    balancer: Balancer
    dialed: list[Connection]

    def core_request(self, request: RequestRecord) -> Any:
        """The core's record of a request."""
        name = request.name.encode()
        return next((c for c in self.engine.requests.values() if (b"X-Ask", name) in c.headers), None)

    def request_id(self, at: int) -> str:
        return f"{self.effects[at]}-{at}"

    def unanswered_attempt(self, transport: Transport) -> AttemptRecord | None:
        """What is unanswered on a connection."""
        last = next((s for s in reversed(self.history.attempts) if s.transport is transport), None)
        return last if last and not last.answered else None


class DaemonConnection:
    """A client's connection to the daemon: requests in, answers out in their order."""

    def __init__(self, world: WorldState, name: str, on_answer: OnAnswer) -> None:
        self.world = world
        self.name = name
        self._on_answer = on_answer
        self.unanswered: list[RequestRecord] = []  # whole and not answered yet
        self.stopped_reading = False  # its client reads nothing
        self.sent_after_close = False  # the rest of a request came when its connection was closing
        client = ClientConnection(world.sidecar.server)
        world.sidecar.server._connections.add(client)
        self.transport = Transport(world.loop, client, 0)
        self.transport.on_peer_data = self._on_data
        self.transport.accepted_bytes = lambda transport, data: 0 if self.stopped_reading else len(data)
        client.connection_made(self.transport)  # type: ignore[arg-type]
        self._parser = httptools.HttpResponseParser(self)
        self._body, self._headers = b"", dict[bytes, bytes]()
        self._response_begun = False  # the head of an answer has come, and its end has not

    @property
    def truncated_request(self) -> RequestRecord | None:
        """The request whose answer broke off, so that its client could tell: its connection ended in the middle."""
        return self.unanswered[0] if self._response_begun and self.unanswered and self.transport.lost else None

    @property
    def partial_request(self) -> RequestRecord | None:
        """The request of which only a part has come."""
        return next(
            (
                a
                for a in self.world.history.requests.values()
                if a.unsent and self.world.daemon_connections.get(a.name) is self
            ),
            None,
        )

    def _on_data(self, data: bytes) -> None:
        if data:
            self._parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        self._response_begun = self._parser.get_status_code() >= 200

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        self._response_begun = False
        status, headers, body = self._parser.get_status_code(), self._headers, self._body
        self._body, self._headers = b"", {}
        if status < 200:
            return
        if not self.unanswered and (partial := self.partial_request):
            # Told before its last byte: it was never taken, and its connection ends.
            partial.disconnected_at, partial.unsent = self.world.loop.now, b""
            return
        if not self.unanswered and self.sent_after_close:
            self.sent_after_close = False  # the same, read only after its client had sent the rest in vain
            return
        if not self.unanswered:
            self.world.history.violations.append(f"{self.name}: an answer, {status}, and nothing was asked")
            return
        self._on_answer(self, status, headers, body)
