"""When each request of a plan is sent, and on which connection: a state machine without clock and sockets.

Clients are independent: a slow response to one delays no other.  Within a client the order is kept.  Where the source
has durations, a request uses the connection that it had there, after the response to the one before and the same
think time (the client's pause between a response and its next request).  Where it has none, a request uses any free
connection of its client, or a new one, at its time.

The caller passes events to `Pacer.handle` and performs the actions that it returns.  A connection is identified by
its client and its index among that client's connections.  All times are seconds since the run began.  `Pacer` owns
the state of each connection, the queues of requests and the pending think times.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from .plan import Planned

MAX_CONNECTIONS_PER_CLIENT = 64
MAX_QUEUED_PER_CLIENT = 10_000  # requests of one client that wait for a connection


class RequestDue(NamedTuple):
    """Event: the planned time of a request has come."""

    planned: Planned


class RequestEnded(NamedTuple):
    """Event: the response is complete, or the attempt failed; `reusable`: the connection is still open."""

    client: int
    connection_index: int
    reusable: bool


class ConnectionLost(NamedTuple):
    """Event: the other side closed an idle connection."""

    client: int
    connection_index: int


class Tick(NamedTuple):
    """Event: the time that `Pacer.next_tick` returned has come."""


class SendRequest(NamedTuple):
    """Action: send a request now; `due` is when it should have been sent, by the plan and its client's own pace."""

    planned: Planned
    connection_index: int
    due: float


class CloseConnection(NamedTuple):
    """Action: close this idle connection, so that another stays within the limit."""

    client: int
    connection_index: int


class DropRequest(NamedTuple):
    """Action: don't send a request, since its client's queue is full."""

    planned: Planned


Event = RequestDue | RequestEnded | ConnectionLost | Tick
Action = SendRequest | CloseConnection | DropRequest


class ActionQueue:
    """Performs the pacer's actions one at a time, in the order in which it returned them.

    Performing an action may end its request at once, which returns further actions: they wait for their turn, so that
    a client's queue of any length is worked off without recursion.
    """

    def __init__(self, perform_one: Callable[[Action], None]) -> None:
        self._perform_one = perform_one
        self._actions: deque[Action] = deque()
        self._is_performing = False

    def perform(self, actions: list[Action]) -> None:
        """Perform these actions and those that follow from them; at a nested call, leave that to the outer one."""
        self._actions.extend(actions)
        if self._is_performing:
            return
        self._is_performing = True
        try:
            while self._actions:
                self._perform_one(self._actions.popleft())
        finally:
            self._is_performing = False


@dataclass(slots=True)
class _Connection:
    """One connection of a client; `free_since` is the end of its last response, below 0 before the first."""

    busy: bool = False
    free_since: float = -1.0
    connected: bool = False
    queue: deque[Planned] = field(default_factory=deque)


@dataclass(slots=True)
class _Client:
    """One client; `queue` has its requests that take any connection, `queued` counts those of all its queues."""

    connections: dict[int, _Connection] = field(default_factory=dict)
    queue: deque[Planned] = field(default_factory=deque)
    queued: int = 0

    def any_free_connection(self, max_connections: int) -> int:
        """Return the index of a free connection, or of a new one within the limit; -1 for none."""
        for index, connection in self.connections.items():
            if not connection.busy:
                return index
        if len(self.connections) >= max_connections:
            return -1
        index = next(index for index in range(max_connections) if index not in self.connections)
        self.connections[index] = _Connection()
        return index


class Pacer:
    """The clients of one run.

    `connections` counts those that are open, busy or idle, `busy` those with a request, `waiting` the requests whose
    time has come and that are queued, and `over_limit` the connections that were opened beyond the limit because none
    was idle.

    :param max_connections: the limit over all clients; at the limit the connection idle for the longest is closed.
    :param max_connections_per_client: further requests of a client are queued.
    """

    def __init__(self, max_connections: int, max_connections_per_client: int = MAX_CONNECTIONS_PER_CLIENT) -> None:
        self._max_connections = max_connections
        self._max_connections_per_client = max_connections_per_client
        self._clients: dict[int, _Client] = {}
        self._idle: OrderedDict[tuple[int, int], None] = OrderedDict()  # connections, longest idle first
        self._think_times: list[tuple[float, int, int, int]] = []  # heap of (end, tie breaker, client, connection)
        self._think_time_count = 0
        self.connections = 0
        self.busy = 0
        self.waiting = 0
        self.over_limit = 0

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process an event, and return the actions to perform, in order."""
        actions: list[Action] = []
        if isinstance(event, RequestDue):
            self._on_request_due(now, event.planned, actions)
        elif isinstance(event, RequestEnded):
            self._on_request_ended(now, event, actions)
        elif isinstance(event, ConnectionLost):
            self._on_connection_lost(event)
        else:
            self._on_tick(now, actions)
        return actions

    def next_tick(self) -> float | None:
        """Return when the next think time ends; None where none is pending."""
        return self._think_times[0][0] if self._think_times else None

    def _on_request_due(self, now: float, planned: Planned, actions: list[Action]) -> None:
        client = self._clients.get(planned.client)
        if client is None:
            client = self._clients[planned.client] = _Client()
        if client.queued >= MAX_QUEUED_PER_CLIENT:
            actions.append(DropRequest(planned))
        elif planned.connection_index < 0:
            self._send_on_any_connection(planned, client, actions)
        else:
            self._send_on_its_connection(now, planned, client, actions)

    def _send_on_any_connection(self, planned: Planned, client: _Client, actions: list[Action]) -> None:
        index = client.any_free_connection(self._max_connections_per_client)
        if index < 0 or client.queue:
            client.queue.append(planned)
            client.queued += 1
            self.waiting += 1
        else:
            self._send(planned.at, planned, client.connections[index], index, actions)

    def _send_on_its_connection(self, now: float, planned: Planned, client: _Client, actions: list[Action]) -> None:
        index = planned.connection_index % self._max_connections_per_client
        connection = client.connections.setdefault(index, _Connection())
        connection.queue.append(planned)
        client.queued += 1
        self.waiting += 1
        if not connection.busy and len(connection.queue) == 1:
            self._send_next(now, planned.client, client, index, actions)

    def _on_request_ended(self, now: float, event: RequestEnded, actions: list[Action]) -> None:
        client = self._clients[event.client]
        connection = client.connections[event.connection_index]
        connection.busy = False
        connection.free_since = now
        self.busy -= 1
        if event.reusable:
            self._idle[event.client, event.connection_index] = None
        else:
            self._remove_connection(event.client, event.connection_index, connection)
        if connection.queue:
            self._send_next(now, event.client, client, event.connection_index, actions)
        elif client.queue:
            planned = client.queue.popleft()
            client.queued -= 1
            self.waiting -= 1
            self._send(planned.at, planned, connection, event.connection_index, actions)
        else:
            self._forget_unused_client(event.client, client)

    def _on_connection_lost(self, event: ConnectionLost) -> None:
        client = self._clients.get(event.client)
        connection = client.connections.get(event.connection_index) if client else None
        if client and connection and connection.connected and not connection.busy:
            self._remove_connection(event.client, event.connection_index, connection)
            self._forget_unused_client(event.client, client)

    def _on_tick(self, now: float, actions: list[Action]) -> None:
        while self._think_times and self._think_times[0][0] <= now:
            _, _, client_id, index = heapq.heappop(self._think_times)
            client = self._clients.get(client_id)
            connection = client.connections.get(index) if client else None
            if client and connection and not connection.busy and connection.queue:
                self._send_next(now, client_id, client, index, actions)

    def _send_next(self, now: float, client_id: int, client: _Client, index: int, actions: list[Action]) -> None:
        """Send the first request of a free connection's queue, or wait for the end of the think time before it."""
        connection = client.connections[index]
        planned = connection.queue[0]
        due = planned.at
        if planned.think_time_s >= 0 and connection.free_since >= 0:
            due = max(due, connection.free_since + planned.think_time_s)
        if due > now:
            self._think_time_count += 1
            heapq.heappush(self._think_times, (due, self._think_time_count, client_id, index))
            return
        connection.queue.popleft()
        client.queued -= 1
        self.waiting -= 1
        self._send(due, planned, connection, index, actions)

    def _send(self, due: float, planned: Planned, connection: _Connection, index: int, actions: list[Action]) -> None:
        connection.busy = True  # before another is closed: its client may be this one, which must not be forgotten
        if connection.connected:
            self._idle.pop((planned.client, index), None)
        else:
            if self.connections >= self._max_connections:
                self._close_longest_idle(actions)
            connection.connected = True
            self.connections += 1
        self.busy += 1
        actions.append(SendRequest(planned, index, due))

    def _close_longest_idle(self, actions: list[Action]) -> None:
        if not self._idle:
            self.over_limit += 1
            return
        (client_id, index), _ = self._idle.popitem(last=False)
        client = self._clients[client_id]
        client.connections[index].connected = False
        self.connections -= 1
        actions.append(CloseConnection(client_id, index))
        self._forget_unused_client(client_id, client)

    def _remove_connection(self, client_id: int, index: int, connection: _Connection) -> None:
        connection.connected = False
        self.connections -= 1
        self._idle.pop((client_id, index), None)

    def _forget_unused_client(self, client_id: int, client: _Client) -> None:
        """Forget a client without connections and requests; a later request of its begins anew."""
        if client.queued:
            return
        if not any(connection.busy or connection.connected for connection in client.connections.values()):
            self._clients.pop(client_id, None)
