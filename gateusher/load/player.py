"""Sends a plan to one target that has proven to be a stand-in: the part of a replay that does I/O.

`pacing` decides when a request is sent, and on which connection.  A request is written once and never again, whatever
its outcome: retries would make the replay differ from its source.

Owns the requests whose time has not come, the connections, two timers and the repeated challenge of the target.
"""

from __future__ import annotations

import asyncio
import heapq
import json
import time
from collections.abc import Callable
from typing import IO

from . import challenge
from .challenge import NoStandInError
from .pacing import (
    Action,
    ActionQueue,
    CloseConnection,
    ConnectionLost,
    DropRequest,
    Pacer,
    RequestDue,
    RequestEnded,
    SendRequest,
    Tick,
)
from .plan import Planned
from .player_connection import NOT_SENT_S, PlayerConnection
from .precise_timer import PreciseTimer
from .results import Recorder
from .wire import Outcome, Wire

CHALLENGE_INTERVAL_S = 1.0  # how often the target is challenged while the run lasts
WAKE_UP_LEAD_S = 0.0001  # the timer fires this long before a request's time; waking up takes half of it
BUSY_WAIT_S = 0.0003  # a request due within this is waited for without a return to the event loop
MAX_BUSY_S = 0.002  # the longest time without a return to the event loop


class Player:
    """One player on the running loop.  `offer` requests in the order of their times, `finish` after the last.

    `stopped` is the reason why nothing more is sent, "" while there is none; `open` counts the requests that are due
    and have no outcome; `taken` is the number of the last request that was handed to the pacer, -1 for none.

    :param target: the target's address and port.
    :param start: when the run begins, as a time of time.monotonic().
    :param proven: challenge the target to prove that it is a stand-in, before the run and repeatedly.  Without it (a
        target of the allow list) requests of unsafe classes are not sent.
    :param max_connections: the limit of open connections.
    :param trace: a file that gets a JSON line for each request.
    :param on_refused: called with the reason when the target fails a repeated challenge.
    """

    def __init__(
        self,
        target: tuple[str, int],
        wire: Wire,
        recorder: Recorder,
        start: float,
        proven: bool,
        max_connections: int,
        trace: IO[str] | None = None,
        on_refused: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._target = target
        self._wire = wire
        self.recorder = recorder
        self.start = start
        self._proven = proven
        self._trace = trace
        self._on_refused = on_refused
        self.pacer = Pacer(max_connections)
        self._actions = ActionQueue(self._perform_one)
        self._upcoming: list[tuple[float, int, Planned]] = []  # heap of (time, number, request)
        self._send_timer = PreciseTimer(self._send_due)
        self._think_timer = PreciseTimer(self._end_think_times)
        self._connections: dict[tuple[int, int], PlayerConnection] = {}
        self._challenge_task: asyncio.Task[None] | None = None
        self._all_ended = asyncio.Event()
        self._offers_ended = False
        self.stopped = ""
        self.open = 0
        self.taken = -1

    # -- called with the plan

    @property
    def ahead(self) -> int:
        """How many requests were offered whose time has not come."""
        return len(self._upcoming)

    def now(self) -> float:
        """Return the seconds since the run began.

        Not by the loop's clock, which stands still within an iteration and has a resolution of 1 ms.
        """
        return time.monotonic() - self.start

    async def prove(self) -> None:
        """Challenge the target, now and repeatedly; raises NoStandInError where it is not a stand-in."""
        if self._proven:
            await challenge.challenge(self._target)
            self._challenge_task = self._loop.create_task(self._challenge_repeatedly())

    async def _challenge_repeatedly(self) -> None:
        while True:
            await asyncio.sleep(CHALLENGE_INTERVAL_S)
            try:
                await challenge.challenge(self._target)
            except NoStandInError as error:
                self.stop(str(error))
                self._on_refused(str(error))
                return

    def offer(self, planned: Planned) -> None:
        """Send a request when its time comes."""
        heapq.heappush(self._upcoming, (planned.at, planned.number, planned))
        wake_up_at = self.start + planned.at - WAKE_UP_LEAD_S
        if not self.stopped and (not self._send_timer.fires_at or self._send_timer.fires_at > wake_up_at):
            self._send_timer.set(wake_up_at)

    def finish(self) -> None:
        """Take the plan as complete."""
        self._offers_ended = True
        self._check_end()

    def stop(self, reason: str) -> None:
        """Send nothing more; requests in flight keep their deadlines."""
        if not self.stopped:
            self.stopped = reason
            self._send_timer.stop()
            self._upcoming.clear()
            self._offers_ended = True
            self._check_end()

    async def ended(self) -> None:
        """Return when every request that was sent has its outcome."""
        await self._all_ended.wait()
        if self._challenge_task:
            self._challenge_task.cancel()
        self._send_timer.close()
        self._think_timer.close()
        for connection in list(self._connections.values()):
            connection.close()

    def _send_due(self) -> None:
        """Send the requests whose time has come, and set the timer for the next one."""
        started_at = self.now()
        now = started_at
        upcoming = self._upcoming
        while upcoming and not self.stopped:
            remaining_s = upcoming[0][0] - now
            if remaining_s > 0:
                if remaining_s > BUSY_WAIT_S or now - started_at > MAX_BUSY_S:
                    break
                now = self.now()
                continue
            _, _, planned = heapq.heappop(upcoming)
            self._take(now, planned)
            now = self.now()
        if upcoming and not self.stopped:
            self._send_timer.set(self.start + upcoming[0][0] - WAKE_UP_LEAD_S)
        self._check_end()

    def _take(self, now: float, planned: Planned) -> None:
        """Hand a request to the pacer, unless it is unsafe and the target may be a real endpoint."""
        self.taken = planned.number
        self.recorder.planned(planned)
        if self._wire.unsafe[planned.cls] and not self._proven:
            self._record_end(planned, Outcome.HELD_BACK, NOT_SENT_S)
            return
        self.open += 1
        self._perform(self.pacer.handle(now, RequestDue(planned)))

    def _check_end(self) -> None:
        """End when nothing is planned or in flight; after `stop`, queued requests are not waited for."""
        if not self._offers_ended or self._upcoming:
            return
        never_sent = self.pacer.waiting if self.stopped else 0
        if self.open == never_sent:
            self._all_ended.set()

    # -- actions of the pacer

    def _perform(self, actions: list[Action]) -> None:
        self._actions.perform(actions)
        next_tick = self.pacer.next_tick()
        if next_tick is None:
            return
        wake_up_at = self.start + next_tick
        if not self._think_timer.fires_at or self._think_timer.fires_at > wake_up_at:
            self._think_timer.set(wake_up_at)

    def _perform_one(self, action: Action) -> None:
        if isinstance(action, SendRequest):
            self._send(action)
        elif isinstance(action, CloseConnection):
            connection = self._connections.pop((action.client, action.connection_index), None)
            if connection:
                connection.close()
        elif isinstance(action, DropRequest):
            self.open -= 1
            self._record_end(action.planned, Outcome.HELD_BACK, NOT_SENT_S)

    def _send(self, action: SendRequest) -> None:
        if self.stopped:
            self._end_request(action, Outcome.STOPPED, NOT_SENT_S, False)
            return
        key = action.planned.client, action.connection_index
        connection = self._connections.get(key)
        if connection is None or connection.closed:
            connection = self._connections[key] = PlayerConnection(self, *key)
        connection.send(action)

    def _end_think_times(self) -> None:
        self._perform(self.pacer.handle(self.now(), Tick()))

    def _end_request(self, action: SendRequest, outcome: Outcome, response_time_s: float, reusable: bool) -> None:
        self.open -= 1
        self._record_end(action.planned, outcome, response_time_s)
        event = RequestEnded(action.planned.client, action.connection_index, reusable)
        self._perform(self.pacer.handle(self.now(), event))
        self._check_end()

    def _record_end(self, planned: Planned, outcome: Outcome, response_time_s: float) -> None:
        now = self.now()
        self.recorder.ended(planned, outcome, now, response_time_s, self._wire.latency_objectives_s[planned.cls])
        if self._trace:
            sent_at = round(now - response_time_s, 6) if response_time_s >= 0 else None
            line = [
                planned.number,
                round(planned.at, 6),
                sent_at,
                planned.cls,
                f"{planned.client:x}",
                outcome.name,
                round(response_time_s, 6),
            ]
            self._trace.write(json.dumps(line) + "\n")

    # -- called by the connections

    @property
    def target(self) -> tuple[str, int]:
        """The target's address and port."""
        return self._target

    def deadline(self, planned: Planned) -> float:
        """Return the seconds that a request waits for its response."""
        return self._wire.deadlines[planned.cls]

    def request(self, planned: Planned) -> bytes:
        """Return a request's bytes."""
        return self._wire.request(planned)

    def on_sent(self, action: SendRequest, size_bytes: int, connecting_s: float) -> None:
        """Record that a request was written, `connecting_s` after its connection was requested."""
        self.recorder.sent(action.planned, self.now(), action.due, size_bytes, connecting_s)

    def on_request_ended(
        self,
        connection: PlayerConnection,
        action: SendRequest,
        outcome: Outcome,
        response_time_s: float,
        reusable: bool,
    ) -> None:
        """Record a request's outcome, and send what waited for it."""
        if not reusable:
            self._connections.pop((connection.client, connection.connection_index), None)
        self._end_request(action, outcome, response_time_s, reusable)

    def on_connection_lost(self, connection: PlayerConnection) -> None:
        """Forget an idle connection that the target closed."""
        key = connection.client, connection.connection_index
        if self._connections.get(key) is connection:
            del self._connections[key]
            self._perform(self.pacer.handle(self.now(), ConnectionLost(*key)))
