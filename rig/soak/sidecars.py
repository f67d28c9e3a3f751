"""The sidecars of the soak test: the platform's command as a process, its configuration, signals and restarts."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import Any

from .clients import CLASSES
from .faults import FaultPage
from .records import ProcessRecord, Records, Span

ROOT = Path(__file__).parents[2]
# As the deploy file words it, with the interpreter that runs the soak.
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
RUN = str(DEPLOY["run"]).replace(".venv/bin/python", sys.executable)
GRACE_MS = 1000  # of drains, in the settings
IDLE_MS = 3000  # endpoints close what stands idle
LONGEST_DEADLINE_S = 1.0
KILL_AFTER_S = LONGEST_DEADLINE_S + 0.7  # SIGKILL comes no sooner after SIGTERM
READY_S = 30.0


def settings(deadline_ms: int) -> dict[str, Any]:
    """The platform's settings, with this as each class's deadline."""
    lanes = [
        {
            "name": name,
            "effect": effect.value,
            "objective_ms": 300,
            "give_up_ms": deadline_ms,
            "worth": 1,
            "window_ms": 800,
            "group": "all",
        }
        for effect, (_, name) in CLASSES.items()
    ]
    return {
        "lanes": lanes,
        "zones": ["a"],
        "kinds": ["m"],
        "zone": 0,
        "discovery": "ask",
        "tick_ms": 1.0,
        "bounds": {"max_attempts": 4, "dial_timeout_ms": 250, "conn_idle_ms": IDLE_MS, "max_retry_after_ms": 2000},
        "rules": {
            "must_ask_in_ms": 8000,
            "stop_sending_within_ms": GRACE_MS,
            "cold_share": 0.3,
            "warm_within_ms": 2000,
            "fall_multiple": 2.5,
            "tip_after_ms": 1000,
        },
    }


class Sidecar:
    """One sidecar under one name, and the processes that live under it one after the other."""

    def __init__(
        self,
        name: str,
        where: tuple[str, int],
        catalogs: list[int],
        folder: Path,
        records: Records,
        faults: FaultPage | None,
    ) -> None:
        self.name, self.where, self.folder, self.records, self.faults = name, where, folder, records, faults
        self._catalogs = catalogs  # ports of the two discovery services it can be sent to
        self.catalog = 0  # which of them its configuration names
        self.deadline_ms = int(LONGEST_DEADLINE_S * 1000)
        self.busy = asyncio.Lock()  # held by the fault that ends or stops it
        self.serving = False
        self.record: ProcessRecord | None = None
        self._process: asyncio.subprocess.Process | None = None
        folder.mkdir(parents=True)
        (folder / "private").mkdir(mode=0o700)

    @property
    def log(self) -> Path:
        return self.folder / "log"

    def configure(self, known: dict[str, Any]) -> None:
        """Write the configuration at once, as a rename does."""
        text = json.dumps(
            {
                "name": self.name,
                "listen": f"{self.where[0]}:{self.where[1]}",
                "discovery": f"127.0.0.1:{self._catalogs[self.catalog]}",
                "seed": "7",
                "limits": {"memory_mb": 96, "sockets": 256},
                "known": known,
                "settings": settings(self.deadline_ms),
            }
        )
        path = self.folder / "config.json"
        path.with_suffix(".new").write_text(text)
        path.with_suffix(".new").rename(path)

    async def start(self, known: dict[str, Any]) -> None:
        """A new process; returns when it serves.  Raises RuntimeError where it ends or takes too long."""
        self.configure(known)
        record = self.record = ProcessRecord(self.name, time.monotonic())
        self.records.processes.append(record)
        with self.log.open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                "sh",
                "-c",
                RUN,
                cwd=ROOT,
                stderr=log,
                stdout=log,
                env={
                    **os.environ,
                    "BALANCER_CONFIG": str(self.folder / "config.json"),
                    "TMPDIR": str(self.folder / "private"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    **(self.faults.environment if self.faults else {}),
                },
            )
        await self._executed(process.pid)
        self._process = process
        while time.monotonic() - record.started_s < READY_S:
            if self._process.returncode is not None:
                record.exit_code, record.ended_s = self._process.returncode, time.monotonic()
                return
            if await self._healthy():
                record.ready_s, self.serving = time.monotonic(), True
                return
            await asyncio.sleep(0.02)

    @staticmethod
    async def _executed(pid: int) -> None:
        """Until the shell has become the daemon: the platform's signals go to that one."""
        with suppress(OSError):
            while Path(f"/proc/{pid}/cmdline").read_bytes().startswith(b"sh\0"):
                await asyncio.sleep(0.001)

    async def _healthy(self) -> bool:
        with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.where)
                try:
                    writer.write(b"GET /_health HTTP/1.1\r\nHost: o\r\nConnection: close\r\n\r\n")
                    return (await reader.readuntil(b"\r\n")).split()[1] == b"200"
                finally:
                    writer.close()
        return False

    def _signal(self, number: signal.Signals) -> None:
        if self._process and self._process.returncode is None:
            self._process.send_signal(number)

    def reload(self, known: dict[str, Any]) -> None:
        """A new configuration, and SIGHUP."""
        self.configure(known)
        self._signal(signal.SIGHUP)

    async def stop_for(self, seconds: float) -> None:
        """Stop the process for a while, as a machine that is paused."""
        since = time.monotonic()
        self._signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self._signal(signal.SIGCONT)
        self.records.stops.append(Span(self.name, since, time.monotonic()))

    async def terminate(self) -> None:
        """SIGTERM; SIGKILL when the platform would send it, unless it ended before."""
        record, process = self.record, self._process
        if not record or not process or process.returncode is not None:
            return
        record.terminated_s = time.monotonic()
        self._signal(signal.SIGTERM)
        try:
            record.exit_code = await asyncio.wait_for(process.wait(), KILL_AFTER_S)
        except TimeoutError:
            record.outlived = record.killed = True
            with suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        record.ended_s = time.monotonic()
        self.serving = False

    async def kill(self) -> None:
        """SIGKILL, as a machine that loses its power."""
        record, process = self.record, self._process
        if not record or not process or process.returncode is not None:
            return
        record.killed, self.serving = True, False
        process.kill()
        await process.wait()
        record.ended_s = time.monotonic()

    async def close(self) -> None:
        """Leave no process behind, whatever happened."""
        if self._process and self._process.returncode is None:
            self._signal(signal.SIGCONT)
            self._process.kill()
            await self._process.wait()
        if self.faults:
            self.faults.close()
