"""A thread that writes a log, so that a slow disk doesn't block the event loop.

`Writer` owns the thread and its queue.
"""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

from .errors import StorageError
from .log import Log

DoneCallback = Callable[[str], None]  # called on the event loop with "" or the error text
MAX_BATCH_RECORDS = 256  # records per fsync


class WriteJob(NamedTuple):
    """A record to append, or a snapshot that replaces the log."""

    data: bytes
    is_snapshot: bool
    on_done: DoneCallback


class Writer:
    """Writes to a log from `start` until `close`, in the order of the calls; consecutive records share an fsync."""

    def __init__(self, log: Log) -> None:
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._queue: queue.SimpleQueue[WriteJob | None] = queue.SimpleQueue()  # None ends the thread
        self._thread = threading.Thread(target=self._run, name="gateusher-storage", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def append(self, payload: bytes, on_done: DoneCallback) -> None:
        """Write a record; `on_done` is called when it is on the disk or has failed."""
        self._queue.put(WriteJob(payload, False, on_done))

    def compact(self, snapshot: bytes, on_done: DoneCallback) -> None:
        """Replace the log with a snapshot that covers all records appended before this call."""
        self._queue.put(WriteJob(snapshot, True, on_done))

    @property
    def size_bytes(self) -> int:
        """Return the size of the log file."""
        return self._log.size_bytes

    def close(self) -> None:
        """End the thread after it has written the queued jobs; doesn't wait for it."""
        self._queue.put(None)

    def _run(self) -> None:
        next_job: WriteJob | None = None
        while True:
            job = next_job or self._queue.get()
            next_job = None
            if job is None:
                break
            batch = [job]
            if not job.is_snapshot:
                next_job = self._fill_batch(batch)
            error = self._write(batch)
            for written in batch:
                with suppress(RuntimeError):  # the event loop is closed
                    self._loop.call_soon_threadsafe(written.on_done, error)
        self._log.close()

    def _fill_batch(self, batch: list[WriteJob]) -> WriteJob | None:
        """Add queued records to the batch; return a snapshot that ends it, which is a batch of its own."""
        while len(batch) < MAX_BATCH_RECORDS:
            try:
                job = self._queue.get_nowait()
            except queue.Empty:
                return None
            if job is None:
                self._queue.put(None)
                return None
            if job.is_snapshot:
                return job
            batch.append(job)
        return None

    def _write(self, batch: list[WriteJob]) -> str:
        """Write one batch; return the error text, or ""."""
        try:
            if batch[0].is_snapshot:
                self._log.compact(batch[0].data)
            else:
                self._log.append([job.data for job in batch])
        except (StorageError, ValueError) as error:
            return str(error)
        return ""
