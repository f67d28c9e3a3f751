"""The only caller of the decision module: events in, actions out, one final answer for each request."""

from __future__ import annotations

import asyncio
import traceback
from collections import deque
from typing import TYPE_CHECKING, Protocol

from ..policy import Balancer
from ..policy.interface import (Action, AttemptEnded, Cancel, CloseIdle, Departed, Effect, Event, Fail,
                                  Outcome, Probe, Probed, Refuse, Request, Send, SetTimer, Settings,
                                  TimerFired, Watch)

from ..base.clock import Clock
from ..base.limits import Bytes
from ..base.log import say

if TYPE_CHECKING:
    from ..discovery.catalog import Discovery
    from ..upstream.http import Attempt, Upstream

COME_BACK_MS = 250.0  # what a refusal advises where the module wishes nothing
OVERDUE_MS = 10.0  # how long after its deadline a request that the module still holds is failed


class Answering(Protocol):
    """The client's side of a request, as the engine and the attempts see it."""

    def answer(self, call: Call, status: int, retry_after_ms: float = 0.0) -> None: ...
    def serve(self, call: Call, headers: bytes, body: bytes) -> None: ...


class Call:
    """One request of the client: from its last byte until it is answered and its attempts are over."""

    __slots__ = ("attempts", "body", "client", "deadline", "head", "keep", "name", "out", "over", "reply",
                 "rid", "timer", "tries")

    def __init__(self, client: Answering, head: bytes, body: bytes | bytearray, keep: bool) -> None:
        self.client, self.head, self.body = client, head, body
        self.keep = keep              # the client may send another on its connection
        self.rid, self.name, self.deadline = 0, b"", 0.0
        self.tries, self.out = 0, 0   # attempts so far, and those without an outcome
        self.over = False             # answered, or the client has left
        self.attempts: dict[int, Attempt] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.reply: bytes | None = None      # the client connection's own: what is still to be written


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
        self._names: set[bytes] = set()   # the clients' own ids of these
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

    def effect(self, cls: int) -> Effect:
        return self._settings.classes[cls].effect

    def holds(self, name: bytes) -> bool:
        """Whether a request with this id is open, or an attempt of it still out.

        Another under the same id could not be told from a second copy of it by any endpoint.
        """
        return name in self._names

    def come_back(self, wish_ms: float) -> float:
        """What a refusal advises: the module's wish, or a short wait, within what clients honour."""
        most = self._settings.max_retry_after_ms
        return min(wish_ms or COME_BACK_MS, most) if most > 0 else wish_ms or COME_BACK_MS

    def submit(self, call: Call, cls: int, patience_ms: float, key: int = 0, tenant: int = 0,
               work_ms: float = 0.0, repeat: bool = False) -> None:
        """A whole request has come."""
        if len(self.calls) >= self._most_held:
            call.over = True
            self._memory.give(len(call.body))
            call.body = b""
            call.client.answer(call, 503)
            return
        now = self._clock.now()
        call.rid, self._next_id = self._next_id, self._next_id + 1
        call.deadline = min(now + patience_ms, self._latest)
        self.calls[call.rid] = call
        self._names.add(call.name)
        call.timer = self._loop.call_later((call.deadline - now + OVERDUE_MS) / 1000, self._overdue, call)
        self.deliver(Request(call.rid, cls, call.deadline - now, key, tenant, work_ms, repeat))

    def depart(self, call: Call) -> None:
        """The client has left: nothing is owed any more; attempts still out report later."""
        if not call.over:
            self._finish(call)
            self._release(call)
            self.deliver(Departed(call.rid))

    def ended(self, attempt: Attempt, outcome: Outcome, report: tuple[float, ...], elapsed_ms: float,
              headers: bytes = b"", body: bytes = b"") -> None:
        """The one outcome of an attempt; the first OK is the client's answer."""
        call = attempt.call
        call.out -= 1
        call.attempts.pop(attempt.number, None)
        if not call.over and outcome is Outcome.OK:
            self._finish(call)
            call.client.serve(call, headers, body)
        self._release(call)
        self.deliver(AttemptEnded(call.rid, attempt.number, attempt.eid, elapsed_ms, outcome, call.over,
                                  report))

    def probed(self, eid: int, elapsed_ms: float, outcome: Outcome, report: tuple[float, ...]) -> None:
        self.deliver(Probed(eid, elapsed_ms, outcome, report))

    def end_by(self, latest_ms: float) -> None:
        """The process ends then: what is open is failed a little before, and so is what comes later."""
        self._latest = latest_ms
        for call in list(self.calls.values()):
            if call.timer and not call.over and call.deadline > latest_ms:
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
            self._names.discard(call.name)
            self._memory.give(len(call.body))
            call.body = b""

    def _answer(self, request: int, status: int, retry_after_ms: float = 0.0) -> None:
        call = self.calls.get(request)
        if call and not call.over:
            self._finish(call)
            call.client.answer(call, status, retry_after_ms)
            self._release(call)

    def _overdue(self, call: Call) -> None:
        # Exactly one answer is owed, in time, whatever the module does.
        if not call.over:
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
            if not (call.over or number >= self._settings.max_attempts or expires <= now):
                call.out += 1
                self.upstream.start(call, number, eid, now, expires)
                return
        self.deliver(AttemptEnded(rid, number, eid, 0.0, Outcome.NOT_SENT, call is None or call.over))

    def _refuse(self, action: Refuse) -> None:
        self._answer(action.request, 503, action.retry_after_ms)

    def _fail(self, action: Fail) -> None:
        self._answer(action.request, 502)

    def _cancel(self, action: Cancel) -> None:
        call = self.calls.get(action.request)
        attempt = call.attempts.get(action.attempt) if call else None
        if call and attempt:
            self.upstream.give_up(attempt, Outcome.CANCELLED)

    def _set_timer(self, action: SetTimer) -> None:
        self._loop.call_later(action.delay_ms / 1000, self.deliver, TimerFired(action.token))

    def _watch(self, action: Watch) -> None:
        if action.enable:
            self.discovery.watch()
        else:
            self.discovery.stop()
