"""A source through a running daemon's own core, beside its traffic and inside a budget.

Only a daemon in rehearsal plays one: each of its endpoints has proven to be a stand-in.  The source is read and
planned on a thread, a little ahead of its time; what the budget has no room for is given up, and counted.
"""

from __future__ import annotations

import asyncio
import threading
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path

from ..base.limits import MemoryBudget
from ..base.log import log_event
from ..config.file import Load
from ..config.model import ConfigError, key_number
from ..core.engine import ClientRequest, Engine, FinalOutcome, FinalResponse
from ..duties.load_part import LoadPart
from .entry import Faults
from .pacing import Close, Done, Due, Go, Late, Pacer, Tick
from .plan import Pace, Planned, plan
from .results import Recorder, summary, to_json
from .rules import Mapper, RulesError
from .rules import load as load_rules
from .run import Reading, fresh_run
from .sources import stamps
from .sources.files import Source, SourceError
from .wire import PREFIX, Outcome, Wire

AHEAD = 2048  # requests that are planned and whose time has not come
STEP_S = 0.01  # how often those whose time has come are looked for
ENDINGS = {
    FinalOutcome.SERVED: Outcome.SERVED,
    FinalOutcome.REJECTED: Outcome.REFUSED,
    FinalOutcome.FAILED: Outcome.FAILED,
    FinalOutcome.TIMED_OUT: Outcome.TIMED_OUT,
}


class UnusableLoadError(ConfigError):
    """A `[[load]]` can't be played."""


class _Caller:
    """The client's side of one call, for the core."""

    __slots__ = ("go", "inside", "sent_at")

    def __init__(self, inside: Inside, go: Go, sent_at: float) -> None:
        self.inside, self.go, self.sent_at = inside, go, sent_at

    def on_final_response(self, call: ClientRequest, final: FinalResponse) -> None:
        self.inside.concluded(self.go, ENDINGS[final.outcome], time.monotonic() - self.sent_at)

    def is_disconnected(self, call: ClientRequest) -> bool:
        return False

    def on_released(self, call: ClientRequest) -> None:
        """Nothing is kept for it."""


class Inside:
    """One `[[load]]` of the configuration, from `start` until its source is over or `close`.

    :param classes: the daemon's own classes by name; the rules may name no other.
    :param ready: how many endpoints have proven; nothing is sent while there is none.
    :param part: what this process may play of it, where several daemons take turns; all without it.
    """

    def __init__(
        self,
        load: Load,
        engine: Engine,
        memory: MemoryBudget,
        classes: dict[bytes, int],
        ready: Callable[[], int],
        part: LoadPart | None = None,
    ) -> None:
        """Raises UnusableLoadError."""
        self.part = part
        self._load, self._engine, self._memory, self._ready = load, engine, memory, ready
        try:
            mapping = load_rules(Path(load.rules))
            zone = stamps.zone_of(load.zone) if load.zone else None
            sources = [Source(Path(p), load.format, zone, mapping.json) for p in load.sources]
        except (RulesError, SourceError, ValueError) as error:
            raise UnusableLoadError(f"load: {error}") from None
        if unknown := [name for name in mapping.classes if name.encode() not in classes]:
            raise UnusableLoadError(f"load: {load.rules}: the daemon has no class {unknown[0]!r}")
        self._mapper = Mapper(mapping)
        self._reading = Reading(sources, self._mapper, Faults(), 1)
        self._index = [classes[name.encode()] for name in self._mapper.names]
        self._safe = [cls.effect == "safe" for cls in mapping.classes.values()]
        self._wire = Wire(self._mapper, fresh_run(), "replay")
        self.recorder = Recorder(len(self._mapper.names))
        self._pacer = Pacer(load.most_open)
        self._planned: deque[Planned] = deque()
        self._room, self._ending = threading.Event(), False
        self._whole = False  # the plan is over
        self._placed = False
        self._start = 0.0
        self._tokens, self._tokens_at = 1.0, 0.0
        self._timer: asyncio.TimerHandle | None = None
        self.ended = asyncio.Event()
        self.played = False  # to its end
        self.open = 0

    def start(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._start = self._tokens_at = time.monotonic() + 1.0
        self._room.set()
        threading.Thread(target=self._read, daemon=True).start()
        self._timer = self._loop.call_later(STEP_S, self._step)

    def close(self) -> None:
        """End it; what is open is the core's, which answers it."""
        if self._timer:
            self._timer.cancel()
        self._ending = True
        self._room.set()
        if not self.ended.is_set():
            self._over()

    def _read(self) -> None:
        """On a thread of its own: the plan, as far ahead as there is room."""
        load = self._load
        try:
            for planned in plan(self._reading.requests(), Pace(load.speed, load.copies)):
                self._room.wait()
                if self._ending:
                    return
                if self.part and planned.number < self.part.first:
                    continue
                self._planned.append(planned)
                if len(self._planned) >= AHEAD:
                    self._room.clear()
        except Exception as error:  # noqa: BLE001 - whatever a source does, the daemon's own traffic goes on
            log_event("load", error)
        finally:
            self._whole = True

    def _step(self) -> None:
        planned, part = self._planned, self.part
        if part and planned and not self._placed:
            if not self._ready() or part.reserved_until <= part.first:  # a turn begins when something may be sent
                self._timer = self._loop.call_later(STEP_S, self._step)
                return
            # The run's time goes on where the holder before left it, and not from the source's beginning.
            self._placed, self._start = True, time.monotonic() - planned[0].at
        now = time.monotonic() - self._start
        while planned and planned[0].at <= now:
            if part and (planned[0].number >= part.reserved_until or not part.is_held()):
                break
            if part and planned[0].number < part.uncertain_until and not self._safe[planned[0].cls]:
                item = planned.popleft()
                part.skipped += 1
                self.recorder.planned(item)
                self.recorder.ended(item, Outcome.HELD_BACK, now, -1.0, 0.0)
                part.complete(item.number)
                continue
            within = self._within_budget()
            if part and not within:
                break  # a duty's load waits for room: what it passed by, nobody would play
            item = planned.popleft()
            self.recorder.planned(item)
            if within:
                if part and item.number < part.uncertain_until:
                    part.repeated += 1
                self.open += 1
                self._perform(self._pacer.handle(now, Due(item)))
            else:
                self.recorder.ended(item, Outcome.HELD_BACK, now, -1.0, 0.0)
                self._part_ended(item)
        if len(planned) < AHEAD // 2:
            self._room.set()
        if (due := self._pacer.next_tick()) is not None and due <= now:
            self._perform(self._pacer.handle(now, Tick()))
        if self._whole and not planned and not self.open:
            self.played = True
            self._over()
        else:
            self._timer = self._loop.call_later(STEP_S, self._step)

    def _part_ended(self, item: Planned) -> None:
        if self.part:
            self.part.complete(item.number)

    def _within_budget(self) -> bool:
        """So many a second and so many open, and only while somebody has proven to be a stand-in."""
        now = time.monotonic()
        rate = self._load.rate
        self._tokens = min(max(1.0, rate / 10), self._tokens + (now - self._tokens_at) * rate)
        self._tokens_at = now
        if self._tokens < 1.0 or self.open >= self._load.most_open or not self._ready():
            return False
        self._tokens -= 1.0
        return True

    def _perform(self, actions: list[Go | Close | Late]) -> None:
        for action in actions:
            if isinstance(action, Go) and self._ending:
                self.concluded(action, Outcome.STOPPED, -1.0)
            elif isinstance(action, Go):
                self._send(action)
            elif isinstance(action, Late):
                self.open -= 1
                self.recorder.ended(action.planned, Outcome.HELD_BACK, self._now(), -1.0, 0.0)
                self._part_ended(action.planned)

    def _now(self) -> float:
        return time.monotonic() - self._start

    def _send(self, go: Go) -> None:
        planned, engine, wire = go.planned, self._engine, self._wire
        body = wire.body(planned)
        name = f"{PREFIX}-{wire.run}-{planned.number}".encode()
        headers = [
            (b"Host", b"replay"),
            (b"X-Request-Id", name),
            (b"X-Class", wire.names[planned.cls]),
            (b"X-Replay", wire.run.encode()),
        ]
        if self.part:
            headers.append((b"X-Gateusher-Fence", b"%d" % self.part.fence))
        if keyed := wire.keyed[planned.cls]:
            headers.append((b"Idempotency-Key", name))
        call = ClientRequest(
            _Caller(self, go, time.monotonic()),
            wire.methods[planned.cls],
            wire.target(planned),
            headers,
            body,
            self._index[planned.cls],
            name,
        )
        call.has_idempotency_key = keyed
        call.affinity_key = key_number(planned.key.encode()) if planned.key else 0
        size = len(body)
        if size and not self._memory.acquire(size):
            self.concluded(go, Outcome.HELD_BACK, -1.0)
            return
        fault = engine.submit(call, wire.deadlines[planned.cls] * 1000)
        if fault:
            self._memory.release(size)
            self.concluded(go, Outcome.FAILED, -1.0)
            return
        self.recorder.sent(planned, self._now(), go.due, size)

    def concluded(self, go: Go, outcome: Outcome, took: float) -> None:
        """A request has its final answer."""
        planned = go.planned
        self.open -= 1
        self.recorder.ended(planned, outcome, self._now(), took, self._wire.aims[planned.cls])
        if outcome is not Outcome.STOPPED:
            self._part_ended(planned)
        self._perform(self._pacer.handle(self._now(), Done(planned.client, go.lane, True)))

    def _over(self) -> None:
        self.ended.set()
        data = {"read": self._reading.summary(), "results": summary(self.recorder, self._mapper.names)}
        results = data["results"]
        log_event(
            "load",
            f"{', '.join(self._load.sources)}: {results['sent']} of {results['requests']} sent, "
            f"{results['outcomes']['served']} served",
        )
        if self._load.report:
            try:
                Path(self._load.report).write_text(to_json(data))
            except OSError as error:
                log_event("load", error)
