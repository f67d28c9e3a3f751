"""One run of a replay: reads and plans the sources here, and sends them by worker processes.

All requests of a client go to one worker, which keeps their order.  A worker gets its part of the plan through a
pipe, which it reads only a limited time ahead; a full pipe makes the planning wait.

`Replay` owns the processes, their pipes and the thread that fills them.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import secrets
import threading
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from multiprocessing.connection import Connection, wait
from multiprocessing.process import BaseProcess
from pathlib import Path
from typing import Any, cast

import msgspec

from . import challenge
from .entry import StrictError
from .options import Options
from .plan import Planned, plan, worker_of
from .reading import Reading
from .results import Recorder
from .rules import Mapping
from .worker import run_worker

BATCH_REQUESTS = 128  # requests in a message to a worker
MAX_BATCH_S = 1.0  # an incomplete batch is sent when it spans more than this
START_LEAD_S = 1.0  # from the first planned request to the start of the run
START_LEAD_PER_WORKER_S = 0.3
POLL_INTERVAL_S = 0.2
JOIN_TIMEOUT_S = 10
PLAN_COMPLETE = b"\xc0"  # msgpack's nil
STOP = b"\xc2"  # msgpack's false


@dataclass
class RunResult:
    """The counts of a run, and how it ended."""

    recorder: Recorder
    stopped: str  # why it ended early, "" where it did not
    taken: list[int]  # by worker, the number of the last request that it took
    reached_s: float


class Replay:
    """A run, from the sources to its counts.

    :param progress: called with the run's time in seconds, the requests sent, and those without an outcome.
    """

    def __init__(
        self,
        reading: Reading,
        mapping: Mapping,
        options: Options,
        progress: Callable[[float, int, int], None] = lambda at, sent, open_: None,
    ) -> None:
        self._reading = reading
        self._mapping = mapping
        self._options = options
        self._progress = progress
        self._stopping = threading.Event()
        self._stop_reason = ""
        self._error: Exception | None = None

    def stop(self, why: str) -> None:
        """Send nothing more; may be called from a signal handler."""
        self._stop_reason = self._stop_reason or why
        self._stopping.set()

    def play(self) -> RunResult:
        """Run until every request has ended.

        Raises NoStandInError before anything is sent, StrictError at the first fault of a strict run.
        """
        options = self._options
        if options.proven:
            asyncio.run(challenge.challenge(options.target))
        processes, pipes = self._start_workers()
        feeder = threading.Thread(target=self._feed, args=(pipes,), daemon=True)
        feeder.start()
        try:
            return self._collect(pipes)
        finally:
            self._stopping.set()
            for process in processes:
                process.join(JOIN_TIMEOUT_S)
                if process.is_alive():
                    process.kill()
            feeder.join(JOIN_TIMEOUT_S)
            if self._error:
                raise self._error

    def _start_workers(self) -> tuple[list[BaseProcess], list[Connection[Any, Any]]]:
        context = multiprocessing.get_context("spawn")
        processes: list[BaseProcess] = []
        pipes: list[Connection[Any, Any]] = []
        salt = self._reading.mapper.salt.decode()
        mapping = msgspec.to_builtins(self._mapping)
        for number in range(self._options.workers):
            pipe, worker_pipe = context.Pipe()
            arguments = (worker_pipe, number, mapping, salt, self._options)
            process = context.Process(target=run_worker, daemon=True, args=arguments)
            process.start()
            worker_pipe.close()
            processes.append(process)
            pipes.append(pipe)
        return processes, pipes

    def _feed(self, pipes: list[Connection[Any, Any]]) -> None:
        """Plan the requests and send them to the workers; runs on a thread of its own."""
        try:
            self._send_plan(pipes)
        except OSError:
            pass  # the worker has ended, which `_collect` detects
        except StrictError as error:
            self._error = error
            self.stop(str(error))
        except Exception as error:  # noqa: BLE001 - any error ends the run, and is raised by `play`
            self._error = error
            self.stop("the plan could not be made")
        for pipe in pipes:
            with suppress(OSError):
                pipe.send_bytes(STOP if self._stopping.is_set() else PLAN_COMPLETE)

    def _send_plan(self, pipes: list[Connection[Any, Any]]) -> None:
        batches = _Batches(pipes)
        taken_before = self._options.taken_before or [-1] * len(pipes)
        begun = False
        for planned in plan(self._reading.requests(), self._options.pace):
            if self._stopping.is_set():
                break
            worker = worker_of(planned, len(pipes))
            if planned.number <= taken_before[worker]:
                continue
            if not begun:  # after what a resumed run skips, which takes an unknown time to read
                begun = True
                lead_s = START_LEAD_S + START_LEAD_PER_WORKER_S * self._options.workers
                batches.send_start(time.monotonic() + lead_s - planned.at)
            batches.add(worker, planned)
        for worker in range(len(pipes)):
            if not self._stopping.is_set():
                batches.flush(worker)

    def _collect(self, pipes: list[Connection[Any, Any]]) -> RunResult:
        """Receive the workers' messages until each has sent its results or ended."""
        recorder = Recorder(len(self._reading.mapper.names))
        states: dict[Connection[Any, Any], tuple[float, int, int]] = {}
        taken = [-1] * len(pipes)
        running = list(pipes)
        reached_s = 0.0
        stop_sent = False
        while running:
            if self._stopping.is_set() and not stop_sent:
                stop_sent = True
                for pipe in running:
                    with suppress(OSError):
                        pipe.send_bytes(STOP)
            for ready in wait(running, POLL_INTERVAL_S):
                pipe = cast("Connection[Any, Any]", ready)
                try:
                    message = msgspec.msgpack.decode(pipe.recv_bytes())
                except (EOFError, OSError):
                    running.remove(pipe)
                    self.stop("a worker ended")
                    continue
                if "results" in message:
                    recorder.merge(message["results"])
                    taken[pipes.index(pipe)] = message["taken"]
                    reached_s = max(reached_s, message["at"])
                    running.remove(pipe)
                elif "stopped" in message:
                    self.stop(message["stopped"])
                else:
                    states[pipe] = message["at"], message["sent"], message["open"]
            if states:
                self._report_progress(list(states.values()))
        return RunResult(recorder, self._stop_reason, taken, reached_s)

    def _report_progress(self, states: list[tuple[float, int, int]]) -> None:
        self._progress(
            max(at for at, _, _ in states),
            sum(sent for _, sent, _ in states),
            sum(open_ for _, _, open_ in states),
        )


class _Batches:
    """The requests that wait to be sent to each worker in one message."""

    def __init__(self, pipes: list[Connection[Any, Any]]) -> None:
        self._pipes = pipes
        self._encoder = msgspec.msgpack.Encoder()
        self._batches: list[list[Planned]] = [[] for _ in pipes]

    def send_start(self, start: float) -> None:
        """Tell all workers the time of time.monotonic() at which the run begins; raises OSError."""
        for pipe in self._pipes:
            pipe.send_bytes(self._encoder.encode(start))

    def add(self, worker: int, planned: Planned) -> None:
        """Add a request, and send the batches that are full or span more than MAX_BATCH_S; raises OSError."""
        batch = self._batches[worker]
        batch.append(planned)
        if len(batch) >= BATCH_REQUESTS:
            self.flush(worker)
        elif len(batch) == 1 or planned.at - batch[0].at > MAX_BATCH_S:
            for other, waiting in enumerate(self._batches):
                if waiting and planned.at - waiting[0].at > MAX_BATCH_S:
                    self.flush(other)

    def flush(self, worker: int) -> None:
        """Send a worker's batch, unless it is empty; raises OSError."""
        batch = self._batches[worker]
        if batch:
            self._pipes[worker].send_bytes(self._encoder.encode(batch))
            self._batches[worker] = []


def save_state(
    path: Path, options: Options, result: RunResult, salt: str, rules: str, sources: Iterable[str]
) -> None:
    """Write the state of a stopped run, from which it can be resumed; the file appears complete or not at all."""
    state = {
        "run": options.run,
        "salt": salt,
        "workers": options.workers,
        "taken": result.taken,
        "reached_s": result.reached_s,
        "rules": rules,
        "sources": list(sources),
        "pace": msgspec.to_builtins(options.pace),
        "end": options.end,
    }
    temporary = path.with_suffix(".new")
    temporary.write_text(json.dumps(state))
    temporary.replace(path)


def random_run_name() -> str:
    """Return a random name for a run."""
    return secrets.token_hex(4)
