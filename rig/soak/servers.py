"""Servers that the sidecars call: endpoints and discovery services, with random and scheduled faults."""

from __future__ import annotations

import asyncio
import socket
import time
from random import Random
from typing import Any

from gateusher.listeners.sockets import ms_since_last_data
from gateusher.standins.wire import DiscoveryServer, ReceivedRequest, ServerConnection, encode_response

from .records import Arrival, Records

IDLE_TIMEOUT_S = 3.0  # of an endpoint's connections, as in the settings
RESPONSE_PARTS = 4
MAX_PART_DISTANCE_S = 0.2
MEAN_WORK_S = 0.01  # of a request without a fault


def bind_shared(port: int) -> socket.socket:
    """Return a socket that is bound to a port of this machine, 0 for any, beside others of this kind."""
    sock = socket.socket()
    for option in (socket.SO_REUSEADDR, socket.SO_REUSEPORT):
        sock.setsockopt(socket.SOL_SOCKET, option, 1)
    sock.bind(("127.0.0.1", port))
    return sock


class SoakEndpoint:
    """One endpoint: records arrivals and executions; some responses are late, faulty or missing."""

    def __init__(self, name: str, records: Records, seed: int) -> None:
        self.name, self.records, self.random = name, records, Random(seed)
        self.is_unresponsive = False  # executes requests without responding
        self.draining = False
        self.born_ms = 0
        self._reservation = bind_shared(0)  # never listens: no connection takes the port while the endpoint is down
        self.port: int = self._reservation.getsockname()[1]
        self._server: asyncio.Server | None = None
        self.connections: set[_EndpointConnection] = set()

    async def start(self) -> None:
        """Start to listen; after a crash, on the same port as before."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _EndpointConnection(self), sock=bind_shared(self.port))

    def crash(self) -> None:
        """Reset all connections and refuse new ones until `start`."""
        if self._server:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.reset()

    @property
    def is_running(self) -> bool:
        """Whether the endpoint accepts connections."""
        return self._server is not None

    def list_entry(self, health: str) -> dict[str, Any]:
        """Return the endpoint's entry in an endpoint list."""
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

    def handle_request(self, connection: _EndpointConnection, request: ReceivedRequest) -> None:
        """Handle a complete request: a random draw decides whether it is executed and how the response fails."""
        request_id = request.headers.get("x-request-id", "")
        deadline_s = float(request.headers.get("x-deadline", "0"))
        arrived_s = time.monotonic() - connection.unread_s()
        self.records.arrivals[request_id].append(Arrival(request_id, self.name, arrived_s, deadline_s))
        draw = self.random.random()
        if draw < 0.03:
            connection.write(encode_response(503, b"", (("X-Not-Run", "1"),)))
            return
        self.records.executions[request_id] += 1
        if self.is_unresponsive or draw < 0.05:
            return
        if draw < 0.07:
            connection.reset()
        elif draw < 0.08:
            connection.close()
        elif draw < 0.09:
            connection.write(encode_response(500))
        elif draw < 0.10:
            connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
        elif draw < 0.12:
            self._respond_in_parts(connection, encode_response(200, request_id.encode()))
        else:
            is_slow = draw < 0.15
            work_s = self.random.uniform(0.2, 0.8) if is_slow else self.random.expovariate(1 / MEAN_WORK_S)
            response = encode_response(200, request_id.encode())
            asyncio.get_running_loop().call_later(work_s, connection.write, response)

    def _respond_in_parts(self, connection: _EndpointConnection, response: bytes) -> None:
        """Write a response in parts that are up to 0.2 s apart."""
        at_s, size = 0.0, -(-len(response) // RESPONSE_PARTS)
        for at in range(0, len(response), size):
            asyncio.get_running_loop().call_later(at_s, connection.write, response[at : at + size])
            at_s += self.random.uniform(0.0, MAX_PART_DISTANCE_S)


class _EndpointConnection(ServerConnection):
    def __init__(self, owner: SoakEndpoint) -> None:
        super().__init__()
        self._owner = owner
        self._idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._owner.connections.add(self)
        self._restart_idle_timer()

    def _restart_idle_timer(self) -> None:
        if self._idle_timer:
            self._idle_timer.cancel()
        self._idle_timer = asyncio.get_running_loop().call_later(IDLE_TIMEOUT_S, self.close)

    def unread_s(self) -> float:
        """Return how long the latest bytes have waited in the kernel, where it reports that (TCP_INFO)."""
        sock = self.transport.get_extra_info("socket") if self.transport else None
        return (ms_since_last_data(sock) or 0.0) / 1000 if sock else 0.0

    def intercept(self, data: bytes) -> bool:
        self._restart_idle_timer()
        return False

    def on_request(self, request: ReceivedRequest) -> None:
        self._owner.handle_request(self, request)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._owner.connections.discard(self)
        if self._idle_timer:
            self._idle_timer.cancel()


class SoakDiscovery(DiscoveryServer):
    """The discovery service of one sidecar, which can stop sending updates, end its watches or reset its calls."""

    def __init__(self) -> None:
        super().__init__()
        self.is_down = False  # each call is reset
        self.reachable_since_s = 0.0  # end of the last outage
        self._silenced_watchers: set[ServerConnection] = set()

    def silence_watches(self) -> None:
        """Send no more updates to the watches that are open now; later watches are served."""
        self._silenced_watchers |= self._watchers
        self._watchers.clear()

    def start_outage(self) -> None:
        """End all watches and reset each new call."""
        self.is_down = True
        self.break_watches()

    def end_outage(self) -> None:
        """Serve calls again."""
        self.is_down, self.reachable_since_s = False, time.monotonic()

    def serve(self, connection: Any, request: ReceivedRequest) -> None:
        """Serve a call, or reset it during an outage."""
        if self.is_down:
            connection.reset()
        else:
            super().serve(connection, request)

    @property
    def has_watchers(self) -> bool:
        """Whether an update would now be written to a watch."""
        return bool(self._watchers)
