"""Sends a plan to one target that has proven to be a stand-in: the part of the player that does I/O.

When and on which connection is decided by `pacing`.  A request is written once and never again, whatever becomes of
it: a replay that repeats would not be the source's.
"""

from __future__ import annotations

import asyncio
import heapq
import json
import time
from collections.abc import Callable
from typing import IO, Any, cast

import httptools

from . import challenge
from .challenge import NoStandInError
from .pacing import CloseConnection, ConnectionLost, DropRequest, Pacer, RequestDue, RequestEnded, SendRequest, Tick
from .plan import Planned
from .precise_timer import PreciseTimer
from .results import Recorder
from .wire import Outcome, Wire, outcome_of

EVERY_S = 1.0  # the target is challenged so often while the run lasts
EARLY_S = 0.0001  # the send timer fires so long before a request's time, since waking up takes half of it
NEAR_S = 0.0003  # one that is due so soon is waited for without going back to the loop
TURN_S = 0.002  # and no turn lasts longer than that
CONNECT_S = 2.0  # how long a connection may take to come up
MOST_ANSWER = 64 << 20  # bytes of an answer; a longer one ends its connection


class Player:
    """One player on the running loop.  `offer` requests in the order of their times, `finish` when there are no more.

    :param where: the target.
    :param proven: ask the target again and again whether it is a stand-in; without it (a target of the allow list)
        requests of unsafe classes are not sent.
    :param start: the time, as time.monotonic() has it, at which the run begins.
    :param trace: a JSON line for each request, with when it was planned and when it went.
    """

    def __init__(
        self,
        where: tuple[str, int],
        wire: Wire,
        recorder: Recorder,
        start: float,
        proven: bool,
        most_connections: int,
        trace: IO[str] | None = None,
        refused: Callable[[str], None] = lambda why: None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._where, self._wire, self.recorder, self.start = where, wire, recorder, start
        self._proven, self._trace, self._refused = proven, trace, refused
        self.pacer = Pacer(most_connections)
        self._todo: list[tuple[float, int, Planned]] = []
        self._send_timer = PreciseTimer(self._send_due)  # the next request's time
        self._think_timer = PreciseTimer(self._end_think_times)  # the end of the next pause of a client
        self._connections: dict[tuple[int, int], _Connection] = {}
        self._asking: asyncio.Task[None] | None = None
        self._unused = asyncio.Event()  # nothing is planned or open any more
        self._over = False  # no more is offered
        self.stopped = ""  # why nothing more is sent
        self.open = 0
        self.taken = -1  # the number of the last request that was handed to the pacer

    # -- from the plan

    @property
    def ahead(self) -> int:
        """Requests whose time has not come."""
        return len(self._todo)

    def now(self) -> float:
        """Seconds since the run began."""
        return time.monotonic() - self.start  # the loop's own clock stands still within a turn, and ticks by 1 ms

    async def prove(self) -> None:
        """Challenge the target, and go on doing so.  Raises NoStandInError where it is none."""
        if self._proven:
            await challenge.ask(self._where)
            self._asking = self._loop.create_task(self._ask_again())

    async def _ask_again(self) -> None:
        while True:
            await asyncio.sleep(EVERY_S)
            try:
                await challenge.ask(self._where)
            except NoStandInError as error:
                self.stop(str(error))
                self._refused(str(error))
                return

    def offer(self, planned: Planned) -> None:
        heapq.heappush(self._todo, (planned.at, planned.number, planned))
        due = self.start + planned.at - EARLY_S
        if not self.stopped and (not self._send_timer.fires_at or self._send_timer.fires_at > due):
            self._send_timer.set(due)

    def _send_due(self) -> None:
        """Send the requests whose time has come, and set the timer for the next one."""
        now = began = self.now()
        todo = self._todo
        while todo and not self.stopped:
            left = todo[0][0] - now
            if left > 0:
                if left > NEAR_S or now - began > TURN_S:
                    break
                now = self.now()
                continue  # so near that a turn of the loop would be late: what waits there is an answer, not a send
            _, _, planned = heapq.heappop(todo)
            self.taken = planned.number
            self.recorder.planned(planned)
            if self._wire.unsafe[planned.cls] and not self._proven:
                # By construction: what must not run twice goes only to what has proven to be no real node.
                self._ended(planned, Outcome.HELD_BACK, -1.0)
                continue
            self.open += 1
            self._perform(self.pacer.handle(now, RequestDue(planned)))
            now = self.now()
        if todo and not self.stopped:
            self._send_timer.set(self.start + todo[0][0] - EARLY_S)
        self._check()

    def finish(self) -> None:
        """The plan is over."""
        self._over = True
        self._check()

    def stop(self, why: str) -> None:
        """Send nothing more; what is out keeps its deadline."""
        if not self.stopped:
            self.stopped = why
            self._send_timer.stop()
            self._todo.clear()
            self._over = True
            self._check()

    async def ended(self) -> None:
        """Return when all that was sent is over."""
        await self._unused.wait()
        if self._asking:
            self._asking.cancel()
        self._send_timer.close()
        self._think_timer.close()
        for connection in list(self._connections.values()):
            connection.close()

    def _check(self) -> None:
        if self._over and not self._todo and not (self.open - (self.pacer.waiting if self.stopped else 0)):
            self._unused.set()

    # -- what the pacer wants

    def _perform(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, SendRequest):
                if self.stopped:
                    self._settled(action.planned, action.connection_index, Outcome.STOPPED, -1.0, False)
                    continue
                place = action.planned.client, action.connection_index
                connection = self._connections.get(place)
                if connection is None or connection.gone:
                    connection = self._connections[place] = _Connection(self, *place)
                connection.send(action)
            elif isinstance(action, CloseConnection):
                if connection := self._connections.pop((action.client, action.connection_index), None):
                    connection.close()
            elif isinstance(action, DropRequest):
                self.open -= 1
                self._ended(action.planned, Outcome.HELD_BACK, -1.0)
        due = self.pacer.next_tick()
        if due is not None and (not self._think_timer.fires_at or self._think_timer.fires_at > self.start + due):
            self._think_timer.set(self.start + due)

    def _end_think_times(self) -> None:
        self._perform(self.pacer.handle(self.now(), Tick()))

    # -- from the connections

    def went(self, action: SendRequest, size: int, waited: float) -> None:
        """It is written, `waited` seconds after its connection was asked for."""
        self.recorder.sent(action.planned, self.now(), action.due, size, waited)

    def _ended(self, planned: Planned, outcome: Outcome, took: float) -> None:
        now = self.now()
        self.recorder.ended(planned, outcome, now, took, self._wire.aims[planned.cls])
        if self._trace:
            sent = round(now - took, 6) if took >= 0 else None
            self._trace.write(
                json.dumps(
                    [
                        planned.number,
                        round(planned.at, 6),
                        sent,
                        planned.cls,
                        f"{planned.client:x}",
                        outcome.name,
                        round(took, 6),
                    ]
                )
                + "\n"
            )

    def _settled(
        self, planned: Planned, connection_index: int, outcome: Outcome, took: float, reusable: bool
    ) -> None:
        self.open -= 1
        self._ended(planned, outcome, took)
        self._perform(self.pacer.handle(self.now(), RequestEnded(planned.client, connection_index, reusable)))
        self._check()

    def over(
        self, connection: _Connection, action: SendRequest, outcome: Outcome, took: float, reusable: bool
    ) -> None:
        """A request has its end."""
        if not reusable:
            self._connections.pop((connection.client, connection.connection_index), None)
        self._settled(action.planned, action.connection_index, outcome, took, reusable)

    def dropped(self, connection: _Connection) -> None:
        """The target closed an idle connection."""
        if self._connections.get((connection.client, connection.connection_index)) is connection:
            del self._connections[connection.client, connection.connection_index]
            self._perform(
                self.pacer.handle(self.now(), ConnectionLost(connection.client, connection.connection_index))
            )

    def deadline(self, planned: Planned) -> float:
        return self._wire.deadlines[planned.cls]

    def request(self, planned: Planned) -> bytes:
        return self._wire.request(planned)

    @property
    def where(self) -> tuple[str, int]:
        return self._where


class _Connection(asyncio.Protocol):
    """A client's connection: one request at a time, in order, each written once."""

    def __init__(self, player: Player, client: int, connection_index: int) -> None:
        self._player, self.client, self.connection_index = player, client, connection_index
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._dial: asyncio.Task[None] | None = None
        self._action: SendRequest | None = None
        self._sent_at = self._asked_at = -1.0
        self._timer: asyncio.TimerHandle | None = None
        self._size = 0
        self.gone = False

    def send(self, action: SendRequest) -> None:
        self._action, self._sent_at, self._asked_at = action, -1.0, time.monotonic()
        if self._transport is not None:
            self._write()
        else:
            self._timer = self._loop.call_later(CONNECT_S, self._expired)
            self._dial = self._loop.create_task(self._connect())

    async def _connect(self) -> None:
        try:
            await self._loop.create_connection(lambda: self, *self._player.where)
        except OSError:
            self._end(Outcome.UNREACHABLE)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._dial = None
        if self.gone:
            self._transport.abort()
        elif self._action:
            self._write()

    def _write(self) -> None:
        action = self._action
        assert action and self._transport
        if self._timer:
            self._timer.cancel()
        data = self._player.request(action.planned)
        self._parser = httptools.HttpResponseParser(self)
        self._size = 0
        self._sent_at = time.monotonic()
        self._timer = self._loop.call_later(self._player.deadline(action.planned), self._expired)
        self._transport.write(data)
        self._player.went(action, len(data), self._sent_at - self._asked_at)

    def _expired(self) -> None:
        self._end(Outcome.NO_ANSWER if self._sent_at >= 0 else Outcome.UNREACHABLE)

    def data_received(self, data: bytes) -> None:
        if self._action is None:
            self.close()  # bytes that nobody asked for
            self._player.dropped(self)
            return
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._end(Outcome.BROKEN)
            return
        if self._size > MOST_ANSWER and self._action:
            self._end(Outcome.BROKEN)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status >= 200:  # what comes before that is not the answer (RFC 9110, 15.2)
            self._end(outcome_of(status), self._parser.should_keep_alive())

    def eof_received(self) -> None:
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        if self._action:
            self._end(Outcome.BROKEN)
        elif not self.gone:
            self.gone = True
            self._player.dropped(self)

    def _end(self, outcome: Outcome, reusable: bool = False) -> None:
        action, self._action = self._action, None
        if action is None:
            return
        if self._timer:
            self._timer.cancel()
            self._timer = None
        took = time.monotonic() - self._sent_at if self._sent_at >= 0 else -1.0
        reusable = reusable and self._transport is not None and not self._transport.is_closing()
        if not reusable:
            self.close()
        self._player.over(self, action, outcome, took, reusable)

    def close(self) -> None:
        self.gone = True
        if self._dial:
            self._dial.cancel()
        if self._transport:
            self._transport.abort()
