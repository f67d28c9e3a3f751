"""Sidecars of the soak test: processes of the deployed command, with their configuration, signals and restarts."""

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

from ..process_memory import KB_PER_MB, peak_resident_kb
from .clients import REQUEST_CLASSES
from .faults import FaultPage
from .records import ProcessRecord, Records, SidecarInterval

ROOT = Path(__file__).parents[2]
# The command of the deploy file, with the interpreter that runs the soak.
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
RUN_COMMAND = str(DEPLOY["run"]).replace(".venv/bin/python", sys.executable)
DRAIN_GRACE_MS = 1000
CONNECTION_IDLE_TIMEOUT_MS = 3000  # after which endpoints close an idle connection
MAX_DEADLINE_S = 1.0
SIGKILL_DELAY_S = MAX_DEADLINE_S + 0.7  # the platform's minimum after SIGTERM
STARTUP_TIMEOUT_S = 30.0
ADMIN_PORT = 8081
USUAL_MEMORY_MB = 96
LEAST_MEMORY_MB = 32  # that the pages name
SIGNAL_SERIES = (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
SIGNAL_SERIES_INTERVAL_S = 0.03
RESPONSE_TIMEOUT_S = 1.0
OK_STATUS = b"HTTP/1.1 200 "


async def _get(address: tuple[str, int], path: str) -> tuple[bytes, bytes]:
    """Return the head and the body of a response on a connection of its own.  Raises OSError or TimeoutError."""
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: o\r\nConnection: close\r\n\r\n".encode())
            head, _, body = (await reader.read()).partition(b"\r\n\r\n")
            return head, body
        finally:
            writer.close()


def settings(deadline_ms: int) -> dict[str, Any]:
    """Return the platform's settings, with `deadline_ms` for each request class."""
    request_classes = [
        {
            "name": name,
            "effect": effect.value,
            "objective_ms": 300,
            "give_up_ms": deadline_ms,
            "worth": 1,
            "window_ms": 800,
            "group": "all",
        }
        for effect, (_, name) in REQUEST_CLASSES.items()
    ]
    return {
        "lanes": request_classes,
        "zones": ["a"],
        "kinds": ["m"],
        "zone": 0,
        "discovery": "ask",
        "tick_ms": 1.0,
        "bounds": {
            "max_attempts": 4,
            "dial_timeout_ms": 250,
            "conn_idle_ms": CONNECTION_IDLE_TIMEOUT_MS,
            "max_retry_after_ms": 2000,
        },
        "rules": {
            "must_ask_in_ms": 8000,
            "stop_sending_within_ms": DRAIN_GRACE_MS,
            "cold_share": 0.3,
            "warm_within_ms": 2000,
            "fall_multiple": 2.5,
            "tip_after_ms": 1000,
        },
    }


class Sidecar:
    """A named sidecar, whose incarnations are successive processes."""

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        discovery_ports: list[int],
        folder: Path,
        records: Records,
        faults: FaultPage | None,
        memory_mb: int = USUAL_MEMORY_MB,
    ) -> None:
        self.name, self.address, self.folder, self.records, self.faults = name, address, folder, records, faults
        self.memory_mb = memory_mb
        self.admin_address = (address[0], ADMIN_PORT)
        self._discovery_ports = discovery_ports  # of the two discovery services it can use
        self.discovery_index = 0  # of the discovery service in its configuration
        self.deadline_ms = int(MAX_DEADLINE_S * 1000)
        self.lifecycle_lock = asyncio.Lock()  # held by a fault that ends or pauses the process
        self.is_serving = False
        self.process_record: ProcessRecord | None = None
        self._process: asyncio.subprocess.Process | None = None
        folder.mkdir(parents=True)
        (folder / "private").mkdir(mode=0o700)

    @property
    def log(self) -> Path:
        """The file with the output of all its processes."""
        return self.folder / "log"

    def configure(self, endpoint_list: dict[str, Any]) -> None:
        """Replace the configuration atomically."""
        text = json.dumps(
            {
                "name": self.name,
                "listen": f"{self.address[0]}:{self.address[1]}",
                "admin_addr": f"{self.admin_address[0]}:{self.admin_address[1]}",
                "discovery": f"127.0.0.1:{self._discovery_ports[self.discovery_index]}",
                "seed": "7",
                "limits": {"memory_mb": self.memory_mb, "sockets": 256},
                "known": endpoint_list,
                "settings": settings(self.deadline_ms),
            }
        )
        path = self.folder / "config.json"
        path.with_suffix(".new").write_text(text)
        path.with_suffix(".new").rename(path)

    async def start(self, endpoint_list: dict[str, Any]) -> None:
        """Start a new process and return once it is healthy, has exited or has exceeded the startup timeout."""
        self.configure(endpoint_list)
        record = self.process_record = ProcessRecord(self.name, time.monotonic())
        self.records.processes.append(record)
        with self.log.open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                "sh",
                "-c",
                RUN_COMMAND,
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
        await self._wait_for_exec(process.pid)
        self._process = process
        while time.monotonic() - record.started_s < STARTUP_TIMEOUT_S:
            if self._process.returncode is not None:
                record.exit_code, record.ended_s = self._process.returncode, time.monotonic()
                return
            if await self._is_healthy():
                record.ready_s, self.is_serving = time.monotonic(), True
                return
            await asyncio.sleep(0.02)

    @staticmethod
    async def _wait_for_exec(pid: int) -> None:
        """Wait until the shell has been replaced by the daemon, which the platform's signals are meant for."""
        with suppress(OSError):
            while Path(f"/proc/{pid}/cmdline").read_bytes().startswith(b"sh\0"):
                await asyncio.sleep(0.001)

    async def _is_healthy(self) -> bool:
        with suppress(OSError, TimeoutError):
            head, _ = await _get(self.address, "/_health")
            return head.startswith(OK_STATUS)
        return False

    async def read_diagnostics(self) -> None:
        """Record the violations that the running process reports, or nothing if it does not respond.

        A process counts its violations from its start, so the latest report contains the earlier ones.
        """
        record = self.process_record
        if not record or not self.is_serving:
            return
        self._read_peak_memory(record)
        with suppress(OSError, TimeoutError, ValueError):
            head, body = await _get(self.admin_address, "/_diagnostics")
            if head.startswith(OK_STATUS) and self.process_record is record:  # not replaced meanwhile
                record.reported_violations = json.loads(body)["violations"]
                record.diagnostics_read += 1

    def _read_peak_memory(self, record: ProcessRecord) -> None:
        """Record how much memory the process has had resident at most."""
        record.memory_limit_mb = self.memory_mb
        if self._process:
            with suppress(OSError, IndexError):
                record.peak_mb = max(record.peak_mb, peak_resident_kb(self._process.pid) / KB_PER_MB)

    async def terminate_by_series(self) -> None:
        """Send SIGHUP and SIGTERM in turn, within a fraction of a second, and go on as after one SIGTERM."""
        ending = asyncio.ensure_future(self.terminate())
        for number in SIGNAL_SERIES:
            await asyncio.sleep(SIGNAL_SERIES_INTERVAL_S)
            self._signal(number)
        await ending

    def _signal(self, number: signal.Signals) -> None:
        if self._process and self._process.returncode is None:
            self._process.send_signal(number)

    def reload(self, endpoint_list: dict[str, Any]) -> None:
        """Write a new configuration and send SIGHUP."""
        self.configure(endpoint_list)
        self._signal(signal.SIGHUP)

    async def pause_for(self, seconds: float) -> None:
        """Pause the process with SIGSTOP and SIGCONT, as on a paused machine."""
        since_s = time.monotonic()
        self._signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self._signal(signal.SIGCONT)
        self.records.pauses.append(SidecarInterval(self.name, since_s, time.monotonic()))

    async def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL after `SIGKILL_DELAY_S` if the process is still running."""
        record, process = self.process_record, self._process
        if not record or not process or process.returncode is not None:
            return
        self._read_peak_memory(record)
        record.terminated_s = time.monotonic()
        self._signal(signal.SIGTERM)
        try:
            record.exit_code = await asyncio.wait_for(process.wait(), SIGKILL_DELAY_S)
        except TimeoutError:
            record.was_running_at_sigkill = record.killed = True
            with suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        record.ended_s = time.monotonic()
        self.is_serving = False

    async def kill(self) -> None:
        """Send SIGKILL, as on a machine that loses power."""
        record, process = self.process_record, self._process
        if not record or not process or process.returncode is not None:
            return
        record.killed, self.is_serving = True, False
        process.kill()
        await process.wait()
        record.ended_s = time.monotonic()

    async def close(self) -> None:
        """Kill a process that is still running, and release the fault page."""
        if self._process and self._process.returncode is None:
            self._signal(signal.SIGCONT)
            self._process.kill()
            await self._process.wait()
        if self.faults:
            self.faults.close()
