"""When each request of a plan really goes, and on which connection: pure, no clock and no socket.

Clients are apart: what one waits for delays no other.  Within a client its order is kept.  Where the source tells
durations, a request takes the connection that it had there, after the answer to the one before and after the same
pause (its think time); where it doesn't, it takes any free connection of its client, or a new one, at its time.

    Due(planned)            its time has come
    Done(client, lane)      the answer is through, or the attempt is given up; `reusable`: the connection stands
    Dropped(client, lane)   an idle connection was closed by the other side
    Tick                    what waits for its think time may go

    Go(planned, lane, due)  send it now: `due` is when it should have gone, by the plan and its client's own pace
    Close(client, lane)     close this idle connection, to make room for another
    Late(planned)           it was given up: its client's line is too long
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import NamedTuple

from .plan import Planned

MOST_LANES = 64  # connections of one client
MOST_LINE = 10_000  # requests of one client that wait for a connection


class Due(NamedTuple):
    planned: Planned


class Done(NamedTuple):
    client: int
    lane: int
    reusable: bool


class Dropped(NamedTuple):
    client: int
    lane: int


class Tick(NamedTuple):
    pass


class Go(NamedTuple):
    planned: Planned
    lane: int
    due: float


class Close(NamedTuple):
    client: int
    lane: int


class Late(NamedTuple):
    planned: Planned


Event = Due | Done | Dropped | Tick
Action = Go | Close | Late


@dataclass(slots=True)
class _Lane:
    busy: bool = False
    free_at: float = -1.0  # when its last answer was through
    connected: bool = False
    line: deque[Planned] = field(default_factory=deque)


@dataclass(slots=True)
class _Client:
    lanes: dict[int, _Lane] = field(default_factory=dict)
    line: deque[Planned] = field(default_factory=deque)  # of requests that take any connection
    waiting: int = 0


class Pacer:
    """All clients of one run.

    :param most_connections: over all clients; at the limit the connection that has been idle for the longest goes.
    """

    def __init__(self, most_connections: int, most_lanes: int = MOST_LANES) -> None:
        self._most, self._most_lanes = most_connections, most_lanes
        self._clients: dict[int, _Client] = {}
        self._idle: OrderedDict[tuple[int, int], None] = OrderedDict()  # connections, longest idle first
        self._thinking: list[tuple[float, int, int, int]] = []  # until when; client and lane
        self._count = 0
        self.connections = 0  # that stand, busy or idle
        self.busy = 0
        self.waiting = 0  # requests whose time has come and that wait for their client
        self.over_limit = 0  # times that a connection was opened beyond the limit, since none was idle

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event, give the actions it calls for."""
        actions: list[Action] = []
        if isinstance(event, Due):
            self._due(now, event.planned, actions)
        elif isinstance(event, Done):
            self._done(now, event, actions)
        elif isinstance(event, Dropped):
            client = self._clients.get(event.client)
            lane = client.lanes.get(event.lane) if client else None
            if client and lane and lane.connected and not lane.busy:
                self._gone(event.client, event.lane, lane)
                self._forget(event.client, client)
        else:
            while self._thinking and self._thinking[0][0] <= now:
                _, _, who, number = heapq.heappop(self._thinking)
                client = self._clients.get(who)
                if client and (lane := client.lanes.get(number)) and not lane.busy and lane.line:
                    self._next(now, who, client, number, lane, actions)
        return actions

    def next_tick(self) -> float | None:
        """When the next pause is over."""
        return self._thinking[0][0] if self._thinking else None

    def _due(self, now: float, planned: Planned, actions: list[Action]) -> None:
        client = self._clients.get(planned.client)
        if client is None:
            client = self._clients[planned.client] = _Client()
        if client.waiting >= MOST_LINE:
            actions.append(Late(planned))
            return
        if planned.lane < 0:
            number = next((n for n, lane in client.lanes.items() if not lane.busy), -1)
            if number < 0 and len(client.lanes) < self._most_lanes:
                number = next(n for n in range(self._most_lanes) if n not in client.lanes)
                client.lanes[number] = _Lane()
            if number < 0 or client.line:
                client.line.append(planned)
                client.waiting += 1
                self.waiting += 1
                return
            self._go(planned.at, planned, client.lanes[number], number, actions)
            return
        number = planned.lane % self._most_lanes
        lane = client.lanes.setdefault(number, _Lane())
        lane.line.append(planned)
        client.waiting += 1
        self.waiting += 1
        if not lane.busy and len(lane.line) == 1:
            self._next(now, planned.client, client, number, lane, actions)

    def _next(self, now: float, who: int, client: _Client, number: int, lane: _Lane, actions: list[Action]) -> None:
        """The first of a free connection's line goes, or waits until its client has thought."""
        first = lane.line[0]
        due = first.at
        if first.think >= 0 and lane.free_at >= 0:
            due = max(due, lane.free_at + first.think)
        if due > now:
            self._count += 1
            heapq.heappush(self._thinking, (due, self._count, who, number))
            return
        lane.line.popleft()
        client.waiting -= 1
        self.waiting -= 1
        self._go(due, first, lane, number, actions)

    def _go(self, due: float, planned: Planned, lane: _Lane, number: int, actions: list[Action]) -> None:
        lane.busy = True  # first of all: a client that gives up another connection for this one is still one
        if lane.connected:
            self._idle.pop((planned.client, number), None)
        else:
            if self.connections >= self._most:
                if self._idle:
                    (who, idle), _ = self._idle.popitem(last=False)
                    other = self._clients[who]
                    other.lanes[idle].connected = False
                    self.connections -= 1
                    actions.append(Close(who, idle))
                    self._forget(who, other)
                else:
                    self.over_limit += 1
            lane.connected = True
            self.connections += 1
        self.busy += 1
        actions.append(Go(planned, number, due))

    def _done(self, now: float, event: Done, actions: list[Action]) -> None:
        client = self._clients[event.client]
        lane = client.lanes[event.lane]
        lane.busy, lane.free_at = False, now
        self.busy -= 1
        if event.reusable:
            self._idle[event.client, event.lane] = None
        else:
            self._gone(event.client, event.lane, lane)
        if lane.line:
            self._next(now, event.client, client, event.lane, lane, actions)
        elif client.line:
            planned = client.line.popleft()
            client.waiting -= 1
            self.waiting -= 1
            self._go(planned.at, planned, lane, event.lane, actions)
        else:
            self._forget(event.client, client)

    def _gone(self, who: int, number: int, lane: _Lane) -> None:
        lane.connected = False
        self.connections -= 1
        self._idle.pop((who, number), None)

    def _forget(self, who: int, client: _Client) -> None:
        """A client without connections and requests is none any more; a later one of its begins anew."""
        if not client.waiting and not any(lane.busy or lane.connected for lane in client.lanes.values()):
            self._clients.pop(who, None)
