"""The state of one execution, and the connections of its clients to the daemon.

The properties, which judge the state, and the event modules, which change it, build on this module.
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

Event = tuple[str, Callable[[], None]]  # description, action
OnResponse = Callable[["DaemonConnection", int, dict[bytes, bytes], bytes], None]  # connection, status, headers, body


class WorldState:
    """The state of an execution that the properties read.

    `ObservedWorld` creates it, and the event modules change it.
    """

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
        """Return the core's record of a request, or None."""
        header = (b"X-Ask", request.name.encode())
        return next((r for r in self.engine.requests.values() if header in r.headers), None)

    def request_id(self, index: int) -> str:
        """Return the id of the request with this index into `effects`."""
        return f"{self.effects[index]}-{index}"

    def unanswered_attempt(self, transport: Transport) -> AttemptRecord | None:
        """Return the attempt that is in flight on a connection, or None."""
        latest = next((a for a in reversed(self.history.attempts) if a.transport is transport), None)
        return latest if latest and not latest.answered else None


class DaemonConnection:
    """A client's connection to the daemon, which answers its requests in their order."""

    def __init__(self, world: WorldState, name: str, on_response: OnResponse) -> None:
        self.world = world
        self.name = name
        self._on_response = on_response
        self.unanswered: list[RequestRecord] = []  # sent completely
        self.stopped_reading = False
        self.sent_after_close = False  # the client sent the rest of a request while the connection was closing
        client = ClientConnection(world.sidecar.server)
        world.sidecar.server._connections.add(client)
        self.transport = Transport(world.loop, client, 0)
        self.transport.on_peer_data = self._on_data
        self.transport.accepted_bytes = lambda transport, data: 0 if self.stopped_reading else len(data)
        client.connection_made(self.transport)  # type: ignore[arg-type]
        self._parser = httptools.HttpResponseParser(self)
        self._body, self._headers = b"", dict[bytes, bytes]()
        self._response_begun = False  # the head of a response has been received, its end has not

    @property
    def truncated_request(self) -> RequestRecord | None:
        """The request whose response was truncated detectably: the connection ended within it."""
        return self.unanswered[0] if self._response_begun and self.unanswered and self.transport.lost else None

    @property
    def partial_request(self) -> RequestRecord | None:
        """The request that has been sent only in part."""
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

    # -- callbacks of the parser

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Note the start of a final response."""
        self._response_begun = self._parser.get_status_code() >= 200

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body."""
        self._body += data

    def on_message_complete(self) -> None:
        """Assign a final response to the oldest unanswered request."""
        self._response_begun = False
        status, headers, body = self._parser.get_status_code(), self._headers, self._body
        self._body, self._headers = b"", {}
        if status < 200:
            return
        if not self.unanswered and (partial := self.partial_request):
            # The daemon answered before the last byte: it has not accepted the request and closes the connection.
            partial.disconnected_at, partial.unsent = self.world.loop.now, b""
            return
        if not self.unanswered and self.sent_after_close:
            self.sent_after_close = False  # the same, read after the client sent the rest, which the daemon ignored
            return
        if not self.unanswered:
            self.world.history.violations.append(f"{self.name}: response {status} without a request")
            return
        self._on_response(self, status, headers, body)
