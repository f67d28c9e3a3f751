"""The only caller of the decision module: events in, actions out, one final answer for each request."""

from __future__ import annotations

import asyncio
import traceback
from collections import deque
from typing import TYPE_CHECKING, Protocol

from spokespoke import Balancer
from spokespoke.interface import (Action, AttemptEnded, Cancel, CloseIdle, Departed, Event, Fail,
                                  Outcome, Probe, Probed, Refuse, Request, Send, SetTimer, Settings,
                                  StreamBegan, TimerFired, Watch)

from .clock import Clock
from .limits import Bytes
from .log import say

if TYPE_CHECKING:
    from .discovery import Discovery
    from .upstream import Attempt, Upstream

OVERDUE_MS = 10.0  # how long after its deadline a request that the module still holds is failed


class Answering(Protocol):
    """The client's side of a request, as the engine and the attempts see it."""

    def answer(self, call: Call, status: int, retry_after_ms: float = 0.0) -> None: ...
    def serve(self, call: Call, headers: bytes, body: bytes) -> None: ...
    def begin(self, call: Call, headers: bytes, length: int) -> bool: ...
    def more(self, call: Call, data: bytes) -> bool: ...
    def end(self, call: Call) -> None: ...
    def broken(self, call: Call) -> None: ...


class Call:
    """One request of the client: from its last byte until it is answered and its attempts are over."""

    __slots__ = ("attempts", "body", "chunked", "client", "deadline", "done", "head", "keep", "out", "over",
                 "parts", "rid", "stream", "timer", "tries")

    def __init__(self, client: Answering, head: bytes, body: bytes | bytearray, keep: bool) -> None:
        self.client, self.head, self.body = client, head, body
        self.keep = keep              # the client may send another on its connection
        self.rid, self.deadline = 0, 0.0
        self.tries, self.out = 0, 0   # attempts so far, and those without an outcome
        self.over = False             # answered, or the client has left
        self.attempts: dict[int, Attempt] = {}
        self.stream: Attempt | None = None   # the attempt whose long answer is being passed on
        self.timer: asyncio.TimerHandle | None = None
        # The client connection's own: what is still to be written, and how.
        self.parts: list[bytes] = []
        self.done, self.chunked = False, False


class Engine:
    def __init__(self, settings: Settings, seed: int, clock: Clock, most_held: int, memory: Bytes) -> None:
        self._balancer = Balancer(settings, seed)
        self._settings, self._clock, self._memory = settings, clock, memory
        self._loop = asyncio.get_running_loop()
        self._most_held = most_held
        self._events: deque[Event] = deque()
        self._busy = False
        self._next_id = 1
        self._latest = float("inf")   # no deadline is later than this: the process ends then
        self.calls: dict[int, Call] = {}
        self.upstream: Upstream
        self.discovery: Discovery
        self._perform = {Send: self._send, Refuse: self._refuse, Fail: self._fail, Cancel: self._cancel,
                         SetTimer: self._set_timer, Probe: lambda a: self.upstream.probe(a.endpoint),
                         CloseIdle: lambda a: self.upstream.close_idle(a.endpoint), Watch: self._watch}

    # -- events

    def deliver(self, event: Event) -> None:
        """Give the module an event; the actions may cause more, which wait their turn."""
        events = self._events
        events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while events:
                self._step(events.popleft())
        finally:
            self._busy = False

    def _step(self, event: Event) -> None:
        # One request that trips the module or an action must not take the others along; its timer fails it.
        try:
            actions: list[Action] = self._balancer.handle(self._clock.now(), event)
            for action in actions:
                self._perform[type(action)](action)  # type: ignore[operator]
        except Exception:
            say(f"{type(event).__name__} could not be handled", traceback.format_exc(limit=-3).strip())

    def submit(self, call: Call, cls: int, patience_ms: float, key: int = 0, tenant: int = 0,
               work_ms: float = 0.0, repeat: bool = False) -> None:
        """A whole request has come."""
        if len(self.calls) >= self._most_held:
            call.over = True
            self._memory.give(len(call.body))
            call.client.answer(call, 503)
            return
        now = self._clock.now()
        call.rid, self._next_id = self._next_id, self._next_id + 1
        call.deadline = min(now + patience_ms, self._latest)
        self.calls[call.rid] = call
        call.timer = self._loop.call_later((call.deadline - now + OVERDUE_MS) / 1000, self._overdue, call)
        self.deliver(Request(call.rid, cls, call.deadline - now, key, tenant, work_ms, repeat))

    def depart(self, call: Call) -> None:
        """The client has left: nothing is owed any more; attempts still out report later."""
        if not call.over:
            self._finish(call)
            if call.stream:
                self.upstream.give_up(call.stream, Outcome.CANCELLED)
            self._release(call)
            self.deliver(Departed(call.rid))

    def ended(self, attempt: Attempt, outcome: Outcome, report: tuple[float, ...], elapsed_ms: float,
              headers: bytes = b"", body: bytes = b"") -> None:
        """The one outcome of an attempt; the first OK is the client's answer."""
        call = attempt.call
        call.out -= 1
        call.attempts.pop(attempt.number, None)
        if not call.over:
            if call.stream is attempt:
                self._finish(call)
                if outcome is Outcome.OK:
                    call.client.end(call)
                else:
                    call.client.broken(call)
            elif outcome is Outcome.OK:
                self._finish(call)
                call.client.serve(call, headers, body)
        self._release(call)
        self.deliver(AttemptEnded(call.rid, attempt.number, attempt.eid, elapsed_ms, outcome, call.over,
                                  report))

    def commit(self, attempt: Attempt, elapsed_ms: float, headers: bytes, length: int) -> bool:
        """A long answer has begun to come: from here on the request is bound to this attempt."""
        call = attempt.call
        call.stream = attempt
        if call.timer:
            call.timer.cancel()
        flowing = call.client.begin(call, headers, length)
        self.deliver(StreamBegan(call.rid, attempt.number, attempt.eid, elapsed_ms))
        return flowing

    def probed(self, eid: int, elapsed_ms: float, outcome: Outcome, report: tuple[float, ...]) -> None:
        self.deliver(Probed(eid, elapsed_ms, outcome, report))

    def end_by(self, latest_ms: float) -> None:
        """The process ends then: what is open is failed a little before, and so is what comes later."""
        self._latest = latest_ms
        for call in list(self.calls.values()):
            if call.timer and not call.over and not call.stream and call.deadline > latest_ms:
                call.timer.cancel()
                left = (latest_ms - self._clock.now()) / 1000
                call.timer = self._loop.call_later(left, self._overdue, call)

    # -- the end of a request

    def _finish(self, call: Call) -> None:
        call.over = True
        if call.timer:
            call.timer.cancel()
            call.timer = None

    def _release(self, call: Call) -> None:
        if call.over and not call.out and call.rid in self.calls:
            del self.calls[call.rid]
            self._memory.give(len(call.body))
            call.body = b""

    def _answer(self, request: int, status: int, retry_after_ms: float = 0.0) -> None:
        call = self.calls.get(request)
        if call and not call.over and not call.stream:
            self._finish(call)
            call.client.answer(call, status, retry_after_ms)
            self._release(call)

    def _overdue(self, call: Call) -> None:
        # Exactly one answer is owed, in time, whatever the module does.
        if not call.over and not call.stream:
            self._answer(call.rid, 504)
            self.deliver(Departed(call.rid))

    # -- actions

    def _send(self, action: Send) -> None:
        rid, eid, expires = action
        call = self.calls.get(rid)
        number = call.tries if call else 0
        now = self._clock.now()
        if call:
            call.tries += 1
            expires = min(expires, call.deadline) if expires > 0 else call.deadline
            if not (call.over or call.stream or number >= self._settings.max_attempts or expires <= now):
                call.out += 1
                self.upstream.start(call, number, eid, now, expires)
                return
        self.deliver(AttemptEnded(rid, number, eid, 0.0, Outcome.NOT_SENT, call is None or call.over))

    def _refuse(self, action: Refuse) -> None:
        self._answer(action.request, 503, action.retry_after_ms if self._settings.retry_after else 0.0)

    def _fail(self, action: Fail) -> None:
        self._answer(action.request, 502)

    def _cancel(self, action: Cancel) -> None:
        call = self.calls.get(action.request)
        attempt = call.attempts.get(action.attempt) if call else None
        if call and attempt and call.stream is not attempt:
            self.upstream.give_up(attempt, Outcome.CANCELLED)

    def _set_timer(self, action: SetTimer) -> None:
        self._loop.call_later(action.delay_ms / 1000, self.deliver, TimerFired(action.token))

    def _watch(self, action: Watch) -> None:
        if action.enable:
            self.discovery.watch()
        else:
            self.discovery.stop()
