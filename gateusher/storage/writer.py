"""A log written by a thread of its own, so that a disk that takes its time holds up no request."""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Callable
from contextlib import suppress

from .log import Log, StorageError

Done = Callable[[str], None]
AT_A_TIME = 256  # records that one fsync makes last


class Writer:
    """From `start` until `close`.  What is given is written in its order, many with one fsync."""

    def __init__(self, log: Log) -> None:
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._queue: queue.SimpleQueue[tuple[bytes, bool, Done] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="gateusher-storage", daemon=True)

    def start(self) -> None:
        self._thread.start()

    def append(self, payload: bytes, done: Done) -> None:
        """`done` is called on the loop with "" when it lasts, or with why it doesn't."""
        self._queue.put((payload, False, done))

    def compact(self, state: bytes, done: Done) -> None:
        """Put a snapshot, which stands for all that was appended before this call, in place of the log."""
        self._queue.put((state, True, done))

    @property
    def size(self) -> int:
        return self._log.size

    def _run(self) -> None:
        held: tuple[bytes, bool, Done] | None = None
        while True:
            first, held = held or self._queue.get(), None
            if first is None:
                break
            batch = [first]
            while not first[1] and len(batch) < AT_A_TIME:
                try:
                    more = self._queue.get_nowait()
                except queue.Empty:
                    break
                if more is None or more[1]:
                    held = more
                    if more is None:
                        self._queue.put(None)
                    break
                batch.append(more)
            why = ""
            try:
                if first[1]:
                    self._log.compact(first[0])
                else:
                    self._log.append([payload for payload, _, _ in batch])
            except (StorageError, ValueError) as error:
                why = str(error)
            for _, _, done in batch:
                with suppress(RuntimeError):  # the loop is closed: nobody waits any more
                    self._loop.call_soon_threadsafe(done, why)
        self._log.close()

    def close(self) -> None:
        """What was given before is still written; nobody waits for it."""
        self._queue.put(None)
