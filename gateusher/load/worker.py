"""A worker process of a replay: sends its part of the plan, and reports what it counted.

The worker gets messages of msgpack through a pipe: the start of the run as a float (a time of time.monotonic(), which
is the same in all processes of a machine), batches of planned requests, None after the last, False to stop.  It sends
maps: its state, a reason to stop, and at its end the results.
"""

from __future__ import annotations

import asyncio
import gc
import signal
import threading
from contextlib import suppress
from math import inf
from multiprocessing.connection import Connection
from typing import IO, Any

import msgspec
import uvloop

from .challenge import NoStandInError
from .options import Options
from .plan import Planned
from .player import Player
from .results import Recorder
from .rules import Mapper, Mapping
from .wire import Wire

MAX_AHEAD_REQUESTS = 4096  # the pipe is not read while more requests than this are ready,
MAX_AHEAD_S = 5.0  # and they reach further than this
MIN_CONNECTIONS = 8
STATE_INTERVAL_S = 0.25
GC_THRESHOLDS = (50_000, 50, 100)  # rare collections: one that takes long makes requests late


def run_worker(pipe: Connection[Any, Any], number: int, mapping: dict[str, Any], salt: str, options: Options) -> None:
    """Run a worker process until its requests have ended.

    :param number: the worker's, from 0.
    :param mapping: the rules as plain data.
    """
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent process handles Ctrl-C
    gc.freeze()  # exempts what was imported from collection
    gc.set_threshold(*GC_THRESHOLDS)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_Worker(pipe, number, mapping, salt, options).run())


class _Worker:
    """Feeds a player from the pipe."""

    def __init__(
        self, pipe: Connection[Any, Any], number: int, mapping: dict[str, Any], salt: str, options: Options
    ) -> None:
        self._pipe = pipe
        self._number = number
        self._options = options
        mapper = Mapper(msgspec.convert(mapping, Mapping), salt)
        self._wire = Wire(mapper, options.run, "{}:{}".format(*options.target))
        self._class_count = len(mapper.names)
        self._reader_may_continue = threading.Event()
        self._reader_may_continue.set()
        self._last_at = 0.0  # the time of the last request that was received

    async def run(self) -> None:
        """Play until every request has ended, and send the results."""
        loop = asyncio.get_running_loop()
        options = self._options
        trace = self._open_trace()
        self._player = Player(
            options.target,
            self._wire,
            Recorder(self._class_count),
            inf,
            options.proven,
            max(MIN_CONNECTIONS, options.connections // options.workers),
            trace,
            self._send_refusal,
        )
        try:
            await self._player.prove()
        except NoStandInError as error:
            self._send_refusal(str(error))
            self._player.stop(str(error))
        # Blocking reads on a thread: a non-blocking pipe would lose what doesn't fit in the other direction.
        threading.Thread(target=self._read, args=(loop,), daemon=True).start()
        state_task = loop.create_task(self._send_state())
        await self._player.ended()
        state_task.cancel()
        self._reader_may_continue.set()
        if trace:
            trace.close()
        recorder = self._player.recorder
        self._send({"results": recorder.dump(), "taken": self._player.taken, "at": self._run_time()})

    def _run_time(self) -> float:
        """Seconds since the run began, 0 before it."""
        now = self._player.now()
        return max(0.0, now) if now > -inf else 0.0

    def _open_trace(self) -> IO[str] | None:
        if not self._options.trace or self._options.folder is None:
            return None
        path = self._options.folder / f"sends-{self._number}.jsonl"
        return path.open("a" if self._options.taken_before else "w")

    def _send_refusal(self, why: str) -> None:
        self._send({"stopped": why})

    def _send(self, message: dict[str, Any]) -> None:
        with suppress(OSError):
            self._pipe.send_bytes(msgspec.msgpack.encode(message))

    async def _send_state(self) -> None:
        player = self._player
        while True:
            await asyncio.sleep(STATE_INTERVAL_S)
            self._send({"at": self._run_time(), "sent": player.recorder.sends, "open": player.open})
            if not self._is_far_ahead():
                self._reader_may_continue.set()

    def _is_far_ahead(self) -> bool:
        if self._player.ahead < MAX_AHEAD_REQUESTS:
            return False
        return self._last_at > self._player.now() + MAX_AHEAD_S

    def _read(self, loop: asyncio.AbstractEventLoop) -> None:
        """Pass messages to the loop until a stop or the pipe's end; runs on a thread of its own.

        A stop may follow the end of the plan.
        """
        decoder = msgspec.msgpack.Decoder(list[Planned] | bool | float | None)
        with suppress(RuntimeError):  # the loop was closed before the stop came
            while True:
                self._reader_may_continue.wait()
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
            self._last_at = message[-1].at
            if self._is_far_ahead():
                self._reader_may_continue.clear()
