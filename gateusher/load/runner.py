"""Replays a source through a running daemon's own engine, beside its traffic and inside a budget.

Only a daemon in rehearsal does this: each of its endpoints has proven to be a stand-in.  A thread reads and plans the
source a little ahead of its time; the event loop submits the requests whose time has come.  A request that the budget
has no capacity for is not sent, and counted as `Outcome.HELD_BACK`.

Owns the queue of planned requests, the token bucket of the budget and the recorder of results.
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
from ..config.classes import RequestClassTable
from ..config.file import Load
from ..config.model import ConfigError, affinity_key_hash
from ..core.engine import ClientRequest, Engine, FinalOutcome, FinalResponse
from ..duties.load_part import LoadPart
from .entry import Faults
from .pacing import Action, ActionQueue, DropRequest, Pacer, RequestDue, RequestEnded, SendRequest, Tick
from .plan import Pace, Planned, plan
from .reading import Reading
from .results import Recorder, summary, to_json
from .rules import Mapper, Mapping, RulesError
from .rules import load as load_rules
from .run import random_run_name
from .sources import stamps
from .sources.files import Source, SourceError
from .wire import PREFIX, Outcome, Wire

MAX_PLANNED_REQUESTS = 2048  # planned requests whose time has not come
STEP_INTERVAL_S = 0.01  # how often requests whose time has come are looked for
START_DELAY_S = 1.0  # gives the reader a lead before the run's time begins
FULL_BUCKETS_PER_S = 10  # the token bucket holds a tenth of a second of the rate, and at least one token
NOT_MEASURED_S = -1.0  # the response time of a request that got no response
OUTCOMES = {
    FinalOutcome.SERVED: Outcome.SERVED,
    FinalOutcome.REJECTED: Outcome.REFUSED,
    FinalOutcome.FAILED: Outcome.FAILED,
    FinalOutcome.TIMED_OUT: Outcome.TIMED_OUT,
}


class UnusableLoadError(ConfigError):
    """A `[[load]]` table can't be played."""


class _RequestCallbacks:
    """The engine's `ClientCallbacks` of one replayed request."""

    __slots__ = ("_action", "_runner", "_submitted_at")

    def __init__(self, runner: LoadRunner, action: SendRequest, submitted_at: float) -> None:
        self._runner = runner
        self._action = action
        self._submitted_at = submitted_at

    def on_final_response(self, call: ClientRequest, final: FinalResponse) -> None:
        """Record the request's outcome."""
        response_time_s = time.monotonic() - self._submitted_at
        self._runner.complete_request(self._action, OUTCOMES[final.outcome], response_time_s)

    def is_disconnected(self, call: ClientRequest) -> bool:
        """Return False: a replayed client waits until its deadline."""
        return False

    def on_released(self, call: ClientRequest) -> None:
        """Do nothing: no resource is retained for the request."""


class LoadRunner:
    """One `[[load]]` of the configuration, from `start` until its source is over or `close`.

    `open` is the number of requests without a final response, `played` whether the source was played to its end, and
    `ended` is set when nothing more is sent.

    :param classes: the daemon's classes, which a reload may change; at the start they have all that the rules name.
    :param ready_endpoints: counts the endpoints that have proven to be stand-ins; nothing is sent while it gives 0.
    :param part: the requests that this process may play, where several daemons take turns; None for all.
    """

    def __init__(
        self,
        load: Load,
        engine: Engine,
        memory: MemoryBudget,
        classes: RequestClassTable,
        ready_endpoints: Callable[[], int],
        part: LoadPart | None = None,
    ) -> None:
        """Read the rules and open the sources; raises UnusableLoadError."""
        self.part = part
        self._load = load
        self._engine = engine
        self._memory = memory
        self._ready_endpoints = ready_endpoints
        mapping, sources = _read_settings(load)
        for name in mapping.classes:
            if name.encode() not in classes.current:
                raise UnusableLoadError(f"load: {load.rules}: the daemon has no class {name!r}")
        self._mapper = Mapper(mapping)
        self._reading = Reading(sources, self._mapper, Faults(), 1)
        self._classes = classes
        self._is_safe = [settings.effect == "safe" for settings in mapping.classes.values()]
        self._wire = Wire(self._mapper, random_run_name(), "replay")
        self.recorder = Recorder(len(self._mapper.names))
        self._pacer = Pacer(load.most_open)
        self._actions = ActionQueue(self._perform_one)
        self._planned: deque[Planned] = deque()
        self._reader_may_continue = threading.Event()
        self._closing = False
        self._plan_complete = False
        self._turn_begun = False
        self._started_at = 0.0  # the monotonic time of the plan's time 0
        self._tokens = 1.0
        self._tokens_updated_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self.ended = asyncio.Event()
        self.played = False
        self.open = 0

    def start(self) -> None:
        """Begin to read the source, and to send on the running loop."""
        self._loop = asyncio.get_running_loop()
        self._started_at = time.monotonic() + START_DELAY_S
        self._tokens_updated_at = self._started_at
        self._reader_may_continue.set()
        threading.Thread(target=self._read_plan, daemon=True).start()
        self._schedule_step()

    def close(self) -> None:
        """Send nothing more; the engine still answers the requests that are open."""
        if self._timer:
            self._timer.cancel()
        self._closing = True
        self._reader_may_continue.set()
        if not self.ended.is_set():
            self._finish()

    def complete_request(self, action: SendRequest, outcome: Outcome, response_time_s: float) -> None:
        """Record the end of a request that the pacer released, and send what waited for it."""
        planned = action.planned
        self.open -= 1
        latency_objective_s = self._wire.latency_objectives_s[planned.cls]
        self.recorder.ended(planned, outcome, self._run_time(), response_time_s, latency_objective_s)
        if outcome is not Outcome.STOPPED:
            self._complete_in_part(planned)
        self._perform(
            self._pacer.handle(self._run_time(), RequestEnded(planned.client, action.connection_index, True))
        )

    def _read_plan(self) -> None:
        """Queue the plan's requests, at most MAX_PLANNED_REQUESTS ahead; runs on a thread of its own."""
        pace = Pace(self._load.speed, self._load.copies)
        try:
            for planned in plan(self._reading.requests(), pace):
                self._reader_may_continue.wait()
                if self._closing:
                    return
                if self.part and planned.number < self.part.first:
                    continue
                self._planned.append(planned)
                if len(self._planned) >= MAX_PLANNED_REQUESTS:
                    self._reader_may_continue.clear()
        except Exception as error:  # noqa: BLE001 - a fault of a source must not end the daemon's own traffic
            log_event("load", error)
        finally:
            self._plan_complete = True

    def _schedule_step(self) -> None:
        self._timer = self._loop.call_later(STEP_INTERVAL_S, self._step)

    def _step(self) -> None:
        """Send the requests whose time has come, then end or schedule the next step."""
        if self.part and self._planned and not self._turn_begun and not self._begin_turn(self.part):
            self._schedule_step()
            return
        now = self._run_time()
        self._send_due_requests(now)
        if len(self._planned) < MAX_PLANNED_REQUESTS // 2:
            self._reader_may_continue.set()
        next_tick = self._pacer.next_tick()
        if next_tick is not None and next_tick <= now:
            self._perform(self._pacer.handle(now, Tick()))
        if self._plan_complete and not self._planned and not self.open:
            self.played = True
            self._finish()
        else:
            self._schedule_step()

    def _begin_turn(self, part: LoadPart) -> bool:
        """Continue the run's time where the holder before left it; False while nothing may be sent yet."""
        if not self._ready_endpoints() or part.reserved_until <= part.first:
            return False
        self._turn_begun = True
        self._started_at = time.monotonic() - self._planned[0].at
        return True

    def _send_due_requests(self, now: float) -> None:
        part = self.part
        while self._planned and self._planned[0].at <= now:
            planned = self._planned[0]
            if part and (planned.number >= part.reserved_until or not part.is_held()):
                return
            may_have_run = part is not None and planned.number < part.uncertain_until
            if part and may_have_run and not self._is_safe[planned.cls]:
                self._planned.popleft()
                part.skipped += 1
                self.recorder.planned(planned)
                self._hold_back(planned, now)
                continue
            within_budget = self._take_from_budget()
            if part and not within_budget:
                return  # a shared load waits: no other daemon would play what this one passed over
            self._planned.popleft()
            self.recorder.planned(planned)
            if not within_budget:
                self._hold_back(planned, now)
                continue
            if part and may_have_run:
                part.repeated += 1
            self.open += 1
            self._perform(self._pacer.handle(now, RequestDue(planned)))

    def _hold_back(self, planned: Planned, now: float) -> None:
        """Record that a request was not sent."""
        self.recorder.ended(planned, Outcome.HELD_BACK, now, NOT_MEASURED_S, 0.0)
        self._complete_in_part(planned)

    def _complete_in_part(self, planned: Planned) -> None:
        if self.part:
            self.part.complete(planned.number)

    def _take_from_budget(self) -> bool:
        """Take a token of the rate; False where there is none, too many are open, or no endpoint is ready."""
        now = time.monotonic()
        rate = self._load.rate
        max_tokens = max(1.0, rate / FULL_BUCKETS_PER_S)
        self._tokens = min(max_tokens, self._tokens + (now - self._tokens_updated_at) * rate)
        self._tokens_updated_at = now
        if self._tokens < 1.0 or self.open >= self._load.most_open or not self._ready_endpoints():
            return False
        self._tokens -= 1.0
        return True

    def _perform(self, actions: list[Action]) -> None:
        self._actions.perform(actions)

    def _perform_one(self, action: Action) -> None:
        """Perform one action; `CloseConnection` needs nothing, since the engine has its own connections."""
        if isinstance(action, SendRequest) and self._closing:
            self.complete_request(action, Outcome.STOPPED, NOT_MEASURED_S)
        elif isinstance(action, SendRequest):
            self._submit(action)
        elif isinstance(action, DropRequest):
            self.open -= 1
            self._hold_back(action.planned, self._run_time())

    def _run_time(self) -> float:
        """Seconds since the plan's time 0."""
        return time.monotonic() - self._started_at

    def _submit(self, action: SendRequest) -> None:
        planned = action.planned
        class_index = self._classes.current.get(self._mapper.names[planned.cls].encode())
        if class_index is None:  # a reload has dropped it
            self.complete_request(action, Outcome.FAILED, NOT_MEASURED_S)
            return
        request = self._make_request(action, class_index)
        body_bytes = len(request.body)
        if body_bytes and not self._memory.acquire(body_bytes):
            self.complete_request(action, Outcome.HELD_BACK, NOT_MEASURED_S)
            return
        fault = self._engine.submit(request, self._wire.deadlines[planned.cls] * 1000)
        if fault:
            self._memory.release(body_bytes)
            self.complete_request(action, Outcome.FAILED, NOT_MEASURED_S)
            return
        self.recorder.sent(planned, self._run_time(), action.due, body_bytes)

    def _make_request(self, action: SendRequest, class_index: int) -> ClientRequest:
        planned = action.planned
        wire = self._wire
        body = wire.body(planned)
        request_id = f"{PREFIX}-{wire.run}-{planned.number}".encode()
        has_idempotency_key = wire.keyed[planned.cls]
        headers = [
            (b"Host", b"replay"),
            (b"X-Request-Id", request_id),
            (b"X-Class", wire.names[planned.cls]),
            (b"X-Replay", wire.run.encode()),
        ]
        if self.part:
            headers.append((b"X-Gateusher-Fence", b"%d" % self.part.fence))
        if has_idempotency_key:
            headers.append((b"Idempotency-Key", request_id))
        request = ClientRequest(
            _RequestCallbacks(self, action, time.monotonic()),
            wire.methods[planned.cls],
            wire.target(planned),
            headers,
            body,
            class_index,
            request_id,
        )
        request.has_idempotency_key = has_idempotency_key
        request.affinity_key = affinity_key_hash(planned.key.encode()) if planned.key else 0
        return request

    def _finish(self) -> None:
        """Log the results, and write the report that the configuration asks for."""
        self.ended.set()
        results = summary(self.recorder, self._mapper.names)
        log_event(
            "load",
            f"{', '.join(self._load.sources)}: {results['sent']} of {results['requests']} sent, "
            f"{results['outcomes']['served']} served",
        )
        if self._load.report:
            report = {"read": self._reading.summary(), "results": results}
            try:
                Path(self._load.report).write_text(to_json(report))
            except OSError as error:
                log_event("load", error)


def _read_settings(load: Load) -> tuple[Mapping, list[Source]]:
    """Return the rules of a load and its sources; raises UnusableLoadError."""
    try:
        mapping = load_rules(Path(load.rules))
        zone = stamps.zone_of(load.zone) if load.zone else None
        sources = [Source(Path(path), load.format, zone, mapping.json) for path in load.sources]
    except (RulesError, SourceError, ValueError) as error:
        raise UnusableLoadError(f"load: {error}") from None
    return mapping, sources
