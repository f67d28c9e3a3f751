"""Runs a voter: opens its folder without blocking the event loop, stores its records and compacts its log.

`VoterHost` owns the voter, the writer of its log and the task that opens the folder.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from typing import TYPE_CHECKING

from ..base.clock import BootClock
from ..base.log import log_event
from ..config.duties import Duties
from ..leases.interface import Action, DiskFailed, Event, LeaseSettings, RecordStored, StoreRecord, Tick
from ..leases.voter import Voter
from ..leases.voter_state import RecoveredState

if TYPE_CHECKING:
    from ..storage.log import Log, Recovered
    from ..storage.writer import Writer

LOCK_RETRY_S = 0.1  # while the previous process still has the folder locked
COMPACT_AT_BYTES = 1 << 20  # log size


def lease_settings(config: Duties) -> LeaseSettings:
    """Return the settings of both lease machines."""
    return LeaseSettings(
        name=config.name,
        voters=config.voters,
        previous_voters=config.before,
        epoch=config.step,
        lease_ms=config.lease_ms,
        drift=config.drift,
        durable=config.folder is not None,
    )


class VoterHost:
    """One sidecar's voter, from `open` until `close`.  `perform` performs the voter's actions and sets timers.

    Raises ModuleNotFoundError for a voter with a folder if the extra for its disk is not installed.
    """

    def __init__(self, config: Duties, clock: BootClock, perform: Callable[[list[Action]], None]) -> None:
        self.config = config
        self._clock = clock
        self._perform = perform
        self._loop = asyncio.get_running_loop()
        self.voter: Voter | None = None
        self.reason = "not started" if config.votes else "not a voter"  # why there is no voter; "" while there is one
        self._writer: Writer | None = None
        self._compacting = False
        self._opening: asyncio.Task[None] | None = None
        if config.votes and config.folder:
            from ..storage import log  # noqa: F401, PLC0415 - a voter without the extra must not start

    def open(self) -> None:
        """Open the folder and then start the voter; without a readable folder this sidecar doesn't vote."""
        self._opening = self._loop.create_task(self._open_folder())

    def handle(self, event: Event) -> None:
        """Pass an event to the voter, if there is one."""
        if self.voter:
            self._perform(self.voter.handle(self._clock.now_ms(), event))

    async def _open_folder(self) -> None:
        nonce = int.from_bytes(os.urandom(4), "big")
        folder = self.config.folder
        if folder is None:
            self._start_voter(RecoveredState(False), nonce)
            return
        opened = await self._open_log(folder)
        if opened is None:
            return
        from ..storage.log import FolderState  # noqa: PLC0415 - needs the extra, which only voters install
        from ..storage.writer import Writer  # noqa: PLC0415

        log, recovered = opened
        if recovered.folder_state in (FolderState.TORN, FolderState.DAMAGED):
            state = recovered.folder_state.value
            log_event(
                "vote",
                f"{folder}: {state}, {recovered.lost_bytes} bytes unreadable; recovering from the other voters",
            )
        self._writer = Writer(log)
        self._writer.start()
        complete = recovered.folder_state is FolderState.CLEAN
        self._start_voter(RecoveredState(complete, recovered.snapshot, tuple(recovered.records)), nonce)

    async def _open_log(self, folder: str) -> tuple[Log, Recovered] | None:
        """Open the log once no other process has locked the folder; return None if it is unusable."""
        from ..storage.errors import LockedError, StorageError  # noqa: PLC0415 - needs the extra
        from ..storage.log import Log  # noqa: PLC0415
        from ..storage.port import Folder  # noqa: PLC0415

        while True:
            log = None
            try:
                log = Log(await asyncio.to_thread(Folder, folder), self.config.name, folder)
                return log, await self._open_in_thread(log)
            except LockedError as error:
                if self.reason != str(error):
                    self.reason = str(error)
                    log_event("vote", f"waiting: {error}")
                await asyncio.sleep(LOCK_RETRY_S)
            except (StorageError, OSError) as error:
                self.reason = f"not voting: {error}"
                log_event("vote", self.reason)
                if log:
                    log.close()
                return None

    async def _open_in_thread(self, log: Log) -> Recovered:
        """Open the log on a thread.  If that is cancelled, the log is closed once the thread has opened it."""
        opening = self._loop.run_in_executor(None, log.open)

        def close(done: asyncio.Future[Recovered]) -> None:
            done.exception()  # an error concerns nobody any more
            log.close()

        try:
            return await asyncio.shield(opening)
        except asyncio.CancelledError:
            opening.add_done_callback(close)
            raise

    def _start_voter(self, recovered: RecoveredState, nonce: int) -> None:
        self.reason = ""
        settings = lease_settings(self.config)
        self.voter = Voter(settings, recovered, self._clock.wall_ms(), nonce, self._clock.now_ms())
        self.handle(Tick())

    def store(self, action: StoreRecord) -> None:
        """Write a record; `RecordStored` or `DiskFailed` follows."""
        writer = self._writer
        if writer is None:
            return

        def on_written(error: str) -> None:
            if writer is self._writer:  # not the writer of an earlier incarnation
                self.handle(DiskFailed(error) if error else RecordStored(action.number))

        writer.append(action.record, on_written)
        voter = self.voter
        if writer.size_bytes > COMPACT_AT_BYTES and not self._compacting and voter and not voter.disk_error:
            self._compacting = True
            writer.compact(voter.snapshot(), self._on_compacted)

    def _on_compacted(self, error: str) -> None:
        self._compacting = False
        if error:
            self.handle(DiskFailed(error))

    def close(self) -> None:
        """Stop the voter and unlock its folder."""
        self.voter = None
        self.reason = "stopped"
        if self._opening:
            self._opening.cancel()
            self._opening = None
        writer = self._writer
        self._writer = None
        if writer:
            writer.close()
