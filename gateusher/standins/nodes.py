"""Stand-in endpoints that count every effect by request id and misbehave as scripted for each attempt.

`Fleet` owns the state that its nodes share: the script, the counts and the waiters.  `Node` owns its connections and
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
from .wire import ReceivedRequest, ServerConnection, encode_response

RESET_DELAY_S: Final = 0.005  # a reset discards bytes that the peer has not read yet
REQUEST_ID_FIELD: Final = b"X-Request-Id: "
BACKLOG_CONNECTIONS: Final = 4  # more than Linux queues for listen(0)


@dataclass(frozen=True, slots=True)
class Reply:
    """Send this response in `parts` writes, with an iteration of the event loop after each."""

    status: int = 200
    body: bytes = b""  # if empty and the status is 200, the request id is sent
    headers: tuple[tuple[str, str], ...] = ()
    parts: int = 1
    delay_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Reject the request without executing it."""

    status: int = 503


@dataclass(frozen=True, slots=True)
class Stall:
    """Delay the 200 response until `Fleet.release` is called; `executes` tells whether the request has an effect."""

    executes: bool = True


@dataclass(frozen=True, slots=True)
class Reset:
    """Execute the request, send `after_bytes` of the response, then reset the connection or close it gracefully."""

    after_bytes: int = 0
    is_graceful: bool = False


@dataclass(frozen=True, slots=True)
class ResetDuringRequest:
    """Reset the connection once `after_bytes` of the request were read, without executing it."""

    after_bytes: int = 1


@dataclass(frozen=True, slots=True)
class InvalidResponse:
    """Execute the request and send `data` in place of a response; the connection stays open."""

    data: bytes = b"\x01\x02\x03\x04"


@dataclass(frozen=True, slots=True)
class DuplicateResponse:
    """Execute the request once and send its response twice, the second time `delay_s` later."""

    delay_s: float = 0.0


@dataclass(frozen=True, slots=True)
class InterimResponses:
    """Execute the request and send interim (1xx) responses before the final one."""

    statuses: tuple[int, ...] = (103, 102)


@dataclass(frozen=True, slots=True)
class CloseAfterResponse:
    """Execute the request, respond with `Connection: close`, and close.

    With `is_close_delimited`, the response has no Content-Length, and the close ends its content.
    """

    is_close_delimited: bool = False


Behavior = (
    Reply
    | RejectRequest
    | Stall
    | Reset
    | ResetDuringRequest
    | InvalidResponse
    | DuplicateResponse
    | InterimResponses
    | CloseAfterResponse
)


@dataclass(frozen=True, slots=True)
class _Waiter:
    """A pending `Fleet.wait_for_arrival` call."""

    request_id: str
    count: int
    arrived: asyncio.Future[None]


@dataclass
class Fleet:
    """State that all nodes share."""

    script: dict[str, deque[Behavior]] = field(default_factory=lambda: defaultdict(deque))
    attempts: Counter[str] = field(default_factory=Counter)  # complete requests received, by request id
    effects: Counter[str] = field(default_factory=Counter)  # executions, by request id
    requests: dict[str, list[ReceivedRequest]] = field(default_factory=lambda: defaultdict(list))
    requests_by_node: Counter[str] = field(default_factory=Counter)  # complete requests received, by node name
    effects_by_node: Counter[str] = field(default_factory=Counter)  # executions, by node name
    incomplete_resets: Counter[str] = field(default_factory=Counter)  # `ResetDuringRequest` resets, by request id
    key_scope: str = "all"  # which nodes share idempotency keys: "all", or those of one "zone"
    key_window_s: float = 60.0  # how long an idempotency key is remembered
    _key_executed_at: dict[tuple[str, str], float] = field(default_factory=dict)
    _waiters: list[_Waiter] = field(default_factory=list)
    _stalled: dict[str, list[asyncio.Event]] = field(default_factory=lambda: defaultdict(list))

    def add_behaviors(self, request_id: str, *behaviors: Behavior) -> None:
        """Script the next attempts of a request, in order of arrival; later ones get the ordinary response."""
        self.script[request_id].extend(behaviors)

    def next_behavior(self, request_id: str) -> Behavior | None:
        """Take the next scripted behavior of a request; None for the ordinary response."""
        behaviors = self.script.get(request_id)
        return behaviors.popleft() if behaviors else None

    def on_request(self, request_id: str, node: str, request: ReceivedRequest) -> None:
        """Count a complete request and wake its waiters."""
        self.attempts[request_id] += 1
        self.requests_by_node[node] += 1
        self.requests[request_id].append(request)
        for waiter in list(self._waiters):
            if waiter.request_id == request_id and self.attempts[request_id] >= waiter.count:
                self._waiters.remove(waiter)
                if not waiter.arrived.done():
                    waiter.arrived.set_result(None)

    def record_effect(self, request_id: str, node: str, zone: str, request: ReceivedRequest, now_s: float) -> None:
        """Count one execution, unless its idempotency key was executed within the last `key_window_s`."""
        key = request.headers.get("idempotency-key")
        if key is not None:
            scoped_key = (zone if self.key_scope == "zone" else "", key)
            if now_s - self._key_executed_at.get(scoped_key, -inf) <= self.key_window_s:
                return
            self._key_executed_at[scoped_key] = now_s
        self.effects[request_id] += 1
        self.effects_by_node[node] += 1

    async def wait_for_arrival(self, request_id: str, count: int = 1) -> None:
        """Wait until `count` attempts of a request were received completely."""
        if self.attempts[request_id] < count:
            future = asyncio.get_running_loop().create_future()
            self._waiters.append(_Waiter(request_id, count, future))
            await future

    def register_stalled(self, request_id: str) -> asyncio.Event:
        """Register a stalled attempt and return the event that `release` sets."""
        event = asyncio.Event()
        self._stalled[request_id].append(event)
        return event

    def release(self, request_id: str) -> None:
        """Send the responses of a request's stalled attempts."""
        for event in self._stalled.pop(request_id, []):
            event.set()

    @property
    def repeated_effects(self) -> dict[str, int]:
        """Counts of the request ids that were executed more than once."""
        return {request_id: count for request_id, count in self.effects.items() if count > 1}


class Node:
    """One stand-in endpoint.

    :param work_s: processing time of a request; with 0 the node responds at once, without a queue.
    :param cores: number of requests processed concurrently.
    :param max_queued: maximum length of the queue; further requests are rejected.
    :param slow_start_share: share of its full speed at the start, which rises linearly to 1 within `slow_start_s`.
    """

    def __init__(
        self,
        fleet: Fleet,
        name: str = "node",
        *,
        zone: str = "",
        work_s: float = 0.0,
        cores: int = 1,
        max_queued: int = 64,
        slow_start_share: float = 1.0,
        slow_start_s: float = 0.0,
    ) -> None:
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.work_s = work_s
        self.cores = cores
        self.max_queued = max_queued
        self.slow_start_share = slow_start_share
        self.slow_start_s = slow_start_s
        self.draining = False
        self.accepted_connections = 0  # accepted so far
        self.port = 0
        self._server: asyncio.Server | None = None
        self._connections: set[_NodeConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy_cores = 0
        self._queue = deque[asyncio.Future[None]]()
        self._started_at = 0.0  # event loop time, s

    async def start(self, port: int = 0) -> None:
        """Listen on `port` of the loopback address, or on a free one for 0.  Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _NodeConnection(self), "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._started_at = loop.time()

    def list_entry(self, health: str = "Ready", **overrides: object) -> dict[str, object]:
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
            **overrides,
        }

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def queue_length(self) -> int:
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
        for connection in list(self._connections):
            connection.reset()
        for task in list(self._tasks):
            task.cancel()

    close = kill

    def on_request(self, connection: _NodeConnection, request: ReceivedRequest) -> None:
        """Handle a complete request."""
        request_id = request.headers.get("x-request-id", "")
        path, _, query = request.target.partition("?")
        if path == proof.CHALLENGE_PATH:
            reply = proof.answer_challenge(query)
            connection.write(
                encode_response(200, json.dumps({"standin": reply}).encode()) if reply else encode_response(400)
            )
            return
        if request.target in ("/ping", "/_load"):
            connection.write(encode_response(503 if self.draining else 200))
            return
        self.fleet.on_request(request_id, self.name, request)
        behavior = self.fleet.next_behavior(request_id)
        if behavior is None and not self.work_s and not self.draining:
            self._record_effect(request_id, request)
            connection.write(self._ordinary_response(request_id))
            return
        if isinstance(behavior, RejectRequest):
            connection.write(self._rejection_response(behavior.status))
            return
        if behavior is None and (self.draining or len(self._queue) >= self.max_queued):
            connection.write(self._rejection_response(503))
            return
        if behavior is not None and (not isinstance(behavior, Stall) or behavior.executes):
            self._record_effect(
                request_id, request
            )  # recorded before the task starts, because a waiter for this arrival may kill the node first
        released = self.fleet.register_stalled(request_id) if isinstance(behavior, Stall) else None
        task = asyncio.get_running_loop().create_task(
            self._serve(connection, request_id, behavior, request, released)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _record_effect(self, request_id: str, request: ReceivedRequest) -> None:
        self.fleet.record_effect(request_id, self.name, self.zone, request, asyncio.get_running_loop().time())

    def _ordinary_response(self, request_id: str) -> bytes:
        return encode_response(200, request_id.encode(), (("X-Load", f"TEXT queue={self.queue_length}"),))

    @staticmethod
    def _rejection_response(status: int) -> bytes:
        return encode_response(status, b"", (("X-Not-Run", "1"),))

    async def _perform_work(self) -> None:
        """Wait for a core and occupy it for the processing time, which is longer in slow start."""
        if not self.work_s:
            return
        loop = asyncio.get_running_loop()
        if self._busy_cores >= self.cores:
            await self._wait_for_core()
        else:
            self._busy_cores += 1
        try:
            warm_up_progress = (
                min(1.0, (loop.time() - self._started_at) / self.slow_start_s) if self.slow_start_s else 1.0
            )
            speed = self.slow_start_share + (1 - self.slow_start_share) * warm_up_progress
            await asyncio.sleep(self.work_s / speed)
        finally:
            self._release_core()

    async def _wait_for_core(self) -> None:
        """Queue until a request passes its core on; a cancelled request leaves the queue, or passes the core on."""
        turn = asyncio.get_running_loop().create_future()
        self._queue.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if not turn.cancelled():
                self._release_core()
            elif turn in self._queue:
                self._queue.remove(turn)
            raise

    def _release_core(self) -> None:
        """Pass a core on to the first queued request that is not cancelled, or free it."""
        while self._queue:
            turn = self._queue.popleft()
            if not turn.cancelled():
                turn.set_result(None)
                return
        self._busy_cores -= 1

    async def _serve(
        self,
        connection: _NodeConnection,
        request_id: str,
        behavior: Behavior | None,
        request: ReceivedRequest,
        released: asyncio.Event | None,
    ) -> None:
        """Process a request and respond according to its behavior."""
        if behavior is None:
            await self._perform_work()
            self._record_effect(request_id, request)
        response = self._ordinary_response(request_id)
        if isinstance(behavior, Reply):
            await self._send_reply(connection, request_id, behavior)
        elif released:
            await released.wait()
            connection.write(response)
        elif isinstance(behavior, Reset):
            await self._send_and_disconnect(connection, response, behavior)
        elif isinstance(behavior, InvalidResponse):
            connection.write(behavior.data)
        elif isinstance(behavior, DuplicateResponse):
            await self._send_duplicate(connection, response, behavior)
        elif isinstance(behavior, InterimResponses):
            interim = b"".join(b"HTTP/1.1 %d X\r\n\r\n" % status for status in behavior.statuses)
            connection.write(interim + response)
        elif isinstance(behavior, CloseAfterResponse):
            length = b"" if behavior.is_close_delimited else b"Content-Length: %d\r\n" % len(request_id)
            connection.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n" + length + b"\r\n" + request_id.encode())
            connection.close()
        else:
            connection.write(response)

    @staticmethod
    async def _send_reply(connection: _NodeConnection, request_id: str, behavior: Reply) -> None:
        await asyncio.sleep(behavior.delay_s)
        body = behavior.body or (request_id.encode() if behavior.status == 200 else b"")
        data = encode_response(behavior.status, body, behavior.headers)
        part_bytes = -(-len(data) // behavior.parts)  # rounded up
        for start in range(0, len(data), part_bytes):
            connection.write(data[start : start + part_bytes])
            await asyncio.sleep(0)

    @staticmethod
    async def _send_and_disconnect(connection: _NodeConnection, response: bytes, behavior: Reset) -> None:
        if behavior.after_bytes:
            connection.write(response[: behavior.after_bytes])
            await asyncio.sleep(RESET_DELAY_S)
        if behavior.is_graceful:
            connection.close()
        else:
            connection.reset()

    @staticmethod
    async def _send_duplicate(connection: _NodeConnection, response: bytes, behavior: DuplicateResponse) -> None:
        if not behavior.delay_s:
            connection.write(response + response)
            return
        connection.write(response)
        await asyncio.sleep(behavior.delay_s)
        connection.write(response)


class UnresponsiveAddress:
    """An address where connection attempts time out: the backlog is full and nothing accepts."""

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


class _NodeConnection(ServerConnection):
    """A connection to a node."""

    def __init__(self, node: Node) -> None:
        super().__init__()
        self._node = node

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._node.accepted_connections += 1
        self._node._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._node._connections.discard(self)

    def intercept(self, data: bytes) -> bool:
        """Reset the connection of a request that is scripted with `ResetDuringRequest`."""
        start = data.find(REQUEST_ID_FIELD)
        if start < 0:
            return False
        end = data.find(b"\r", start)
        request_id = data[start + len(REQUEST_ID_FIELD) : end].decode("latin-1")
        behaviors = self._node.fleet.script.get(request_id)
        if (
            not behaviors
            or not isinstance(behaviors[0], ResetDuringRequest)
            or self.request_bytes < behaviors[0].after_bytes
        ):
            return False
        behaviors.popleft()
        self._node.fleet.incomplete_resets[request_id] += 1
        self.reset()
        return True

    def on_request(self, request: ReceivedRequest) -> None:
        self._node.on_request(self, request)
