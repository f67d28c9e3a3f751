"""One run of a replay: the sources are read and planned here, and played by worker processes.

A worker holds whole clients (by their hash), so what is in order within a client is one worker's doing.  It gets its
part of the plan through a pipe that it empties only as far as it looks ahead, and tells at the end what it counted.
"""

from __future__ import annotations

import asyncio
import gc
import json
import multiprocessing
import secrets
import signal
import threading
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from math import inf
from multiprocessing.connection import Connection, wait
from pathlib import Path
from typing import IO, Any, cast

import msgspec
import uvloop

from . import challenge
from .challenge import NoStandInError
from .entry import StrictError
from .plan import Pace, Planned, plan, worker_of
from .player import Player
from .reading import Reading
from .results import Recorder
from .rules import Mapper, Mapping
from .wire import Wire

BATCH = 128  # requests in a message to a worker
AHEAD = 4096  # requests that a worker has ready
AHEAD_S = 5.0  # or so many seconds of its plan
LEAD_S = 1.0  # from the start of the workers to the first request
CONNECTIONS = 8192  # over all workers, where nobody says otherwise


@dataclass
class Options:
    """What one run is to do."""

    target: tuple[str, int]
    pace: Pace
    run: str
    proven: bool  # False: the target stands in an allow list and answers no challenge
    workers: int = 1
    connections: int = CONNECTIONS
    folder: Path | None = None  # of the report; traces and the state of a stopped run go there too
    trace: bool = False
    after: list[int] = field(default_factory=list)  # resumed: by worker, the last number that it had taken
    resumed_at: float = 0.0
    end: float | None = None  # the Unix time of the source with which the run ends


@dataclass
class Ended:
    """How a run ended."""

    recorder: Recorder
    stopped: str  # why it ended early, "" where it did not
    taken: list[int]
    reached_s: float


class Replay:
    """A run, from the sources to its counts.  `stop` may be called from a signal handler."""

    def __init__(
        self,
        reading: Reading,
        mapping: Mapping,
        options: Options,
        progress: Callable[[float, int, int], None] = lambda at, sent, open_: None,
    ) -> None:
        self._reading, self._mapping, self._options, self._progress = reading, mapping, options, progress
        self._stopping = threading.Event()
        self._why = ""
        self._error: Exception | None = None

    def stop(self, why: str) -> None:
        self._why = self._why or why
        self._stopping.set()

    def play(self) -> Ended:
        """Raises NoStandInError before anything is sent, StrictError at the first fault of a strict run."""
        options = self._options
        if options.proven:
            asyncio.run(challenge.ask(options.target))
        context = multiprocessing.get_context("spawn")
        workers, ends = [], list["Connection[Any, Any]"]()
        salt = self._reading.mapper.salt.decode()
        for number in range(options.workers):
            mine, theirs = context.Pipe()
            process = context.Process(
                target=_work, daemon=True, args=(theirs, number, msgspec.to_builtins(self._mapping), salt, options)
            )
            process.start()
            theirs.close()
            workers.append(process)
            ends.append(mine)
        feeding = threading.Thread(target=self._feed, args=(ends,), daemon=True)
        feeding.start()
        try:
            return self._collect(ends)
        finally:
            self._stopping.set()
            for process in workers:
                process.join(10)
                if process.is_alive():
                    process.kill()
            feeding.join(10)
            if self._error:
                raise self._error

    def _feed(self, ends: list[Connection[Any, Any]]) -> None:
        """Read, plan and hand out; a pipe that is full waits for its worker."""
        options, encoder = self._options, msgspec.msgpack.Encoder()
        parts: list[list[Planned]] = [[] for _ in ends]
        begun = False
        after = options.after or [-1] * len(ends)
        try:
            for planned in plan(self._reading.requests(), options.pace):
                if self._stopping.is_set():
                    break
                worker = worker_of(planned, len(ends))
                if planned.number <= after[worker]:
                    continue
                if not begun:
                    # What was skipped is behind us: all workers begin at one instant of the machine's clock.
                    begun = True
                    start = time.monotonic() + LEAD_S + 0.3 * options.workers - planned.at
                    for end in ends:
                        end.send_bytes(encoder.encode(start))
                part = parts[worker]
                part.append(planned)
                if len(part) >= BATCH:
                    ends[worker].send_bytes(encoder.encode(part))
                    parts[worker] = []
                elif len(part) == 1 or planned.at - part[0].at > 1.0:
                    # A worker without much to do must not wait for a batch of its own to fill.
                    for i, other in enumerate(parts):
                        if other and planned.at - other[0].at > 1.0:
                            ends[i].send_bytes(encoder.encode(other))
                            parts[i] = []
            for end, part in zip(ends, parts, strict=True):
                if part and not self._stopping.is_set():
                    end.send_bytes(encoder.encode(part))
        except (BrokenPipeError, ConnectionResetError, OSError):
            pass  # the worker's end says why
        except StrictError as error:
            self._error = error
            self.stop(str(error))
        except Exception as error:  # noqa: BLE001 - whatever it is ends the run, and is raised by `play`
            self._error = error
            self.stop("the plan could not be made")
        for end in ends:
            with suppress(OSError):
                end.send_bytes(b"\xc0" if not self._stopping.is_set() else b"\xc2")

    def _collect(self, ends: list[Connection[Any, Any]]) -> Ended:
        recorder = Recorder(len(self._reading.mapper.names))
        state: dict[Connection[Any, Any], tuple[float, int, int]] = {}
        taken = [-1] * len(ends)
        left, reached, told = list(ends), 0.0, False
        while left:
            if self._stopping.is_set() and not told:
                told = True
                for end in left:
                    with suppress(OSError):
                        end.send_bytes(b"\xc2")
            for ready in wait(left, 0.2):
                end = cast("Connection[Any, Any]", ready)
                try:
                    message = msgspec.msgpack.decode(end.recv_bytes())
                except (EOFError, OSError):
                    left.remove(end)
                    self.stop("a worker ended")
                    continue
                if "results" in message:
                    recorder.merge(message["results"])
                    taken[ends.index(end)] = message["taken"]
                    reached = max(reached, message["at"])
                    left.remove(end)
                elif "stopped" in message:
                    self.stop(message["stopped"])
                else:
                    state[end] = message["at"], message["sent"], message["open"]
            if state:
                self._progress(
                    max(s[0] for s in state.values()),
                    sum(s[1] for s in state.values()),
                    sum(s[2] for s in state.values()),
                )
        return Ended(recorder, self._why, taken, reached)


def _work(pipe: Connection[Any, Any], number: int, mapping: dict[str, Any], salt: str, options: Options) -> None:
    """A worker process, from its first request to its counts."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the one that reads decides what a Ctrl-C means
    gc.freeze()  # what was imported stays; a sweep over it would be lateness
    gc.set_threshold(50_000, 50, 100)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_Worker(pipe, number, mapping, salt, options).run())


class _Worker:
    def __init__(
        self, pipe: Connection[Any, Any], number: int, mapping: dict[str, Any], salt: str, options: Options
    ) -> None:
        self._pipe, self._number, self._options = pipe, number, options
        mapper = Mapper(msgspec.convert(mapping, Mapping), salt)
        self._wire = Wire(mapper, options.run, "{}:{}".format(*options.target))
        self._classes = len(mapper.names)
        self._room = threading.Event()  # the player has not yet enough ahead
        self._last = 0.0  # the time of the last request that has come
        self._room.set()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        options = self._options
        trace = self._open_trace()
        self._player = Player(
            options.target,
            self._wire,
            Recorder(self._classes),
            inf,
            options.proven,
            max(8, options.connections // options.workers),
            trace,
            self._refuse,
        )
        try:
            await self._player.prove()
        except NoStandInError as error:
            self._refuse(str(error))
            self._player.stop(str(error))
        # Blocking, on a thread: the loop's poller would make the pipe's other direction drop what doesn't fit.
        reading = threading.Thread(target=self._read, args=(loop,), daemon=True)
        reading.start()
        telling = loop.create_task(self._tell())
        await self._player.ended()
        telling.cancel()
        self._room.set()
        if trace:
            trace.close()
        self._send({"results": self._player.recorder.dump(), "taken": self._player.taken, "at": self._at()})

    def _at(self) -> float:
        now = self._player.now()
        return max(0.0, now) if now > -inf else 0.0

    def _open_trace(self) -> IO[str] | None:
        if not self._options.trace or self._options.folder is None:
            return None
        path = self._options.folder / f"sends-{self._number}.jsonl"
        return path.open("a" if self._options.after else "w")

    def _refuse(self, why: str) -> None:
        self._send({"stopped": why})

    def _send(self, message: dict[str, Any]) -> None:
        with suppress(OSError):
            self._pipe.send_bytes(msgspec.msgpack.encode(message))

    async def _tell(self) -> None:
        player = self._player
        while True:
            await asyncio.sleep(0.25)
            self._send({"at": self._at(), "sent": player.recorder.sends, "open": player.open})
            if not self._far():
                self._room.set()

    def _far(self) -> bool:
        """Whether enough is ready."""
        return self._player.ahead >= AHEAD and self._last > self._player.now() + AHEAD_S

    def _read(self, loop: asyncio.AbstractEventLoop) -> None:
        """Take what comes, as far as there is room; on a thread of its own.  A stop may come behind the end."""
        decoder = msgspec.msgpack.Decoder(list[Planned] | bool | float | None)
        with suppress(RuntimeError):  # the loop has ended before the plan
            while True:
                self._room.wait()
                try:
                    message = decoder.decode(self._pipe.recv_bytes())
                except (EOFError, OSError):
                    message = False
                loop.call_soon_threadsafe(self._take, message)
                if isinstance(message, bool):
                    return

    def _take(self, message: list[Planned] | bool | float | None) -> None:
        if message is None:
            self._player.finish()
        elif isinstance(message, float):
            self._player.start = message
        elif isinstance(message, bool):
            self._player.stop("stopped")
        else:
            for planned in message:
                self._player.offer(planned)
            self._last = message[-1].at
            if self._far():
                self._room.clear()


# -- the state of a run that was stopped


def save(path: Path, options: Options, ended: Ended, salt: str, rules: str, sources: Iterable[str]) -> None:
    """What a resumed run needs; written whole or not at all."""
    data = {
        "run": options.run,
        "salt": salt,
        "workers": options.workers,
        "taken": ended.taken,
        "reached_s": ended.reached_s,
        "rules": rules,
        "sources": list(sources),
        "pace": msgspec.to_builtins(options.pace),
        "end": options.end,
    }
    new = path.with_suffix(".new")
    new.write_text(json.dumps(data))
    new.replace(path)


def fresh_run() -> str:
    return secrets.token_hex(4)
