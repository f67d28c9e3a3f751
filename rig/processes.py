"""Sidecar processes and the workers beside them: start, faults and end."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

from .history import History
from .process_memory import peak_resident_kb

ROOT = Path(__file__).parents[1]
REQUEST_ID = re.compile(rb"X-Request-Id: (\S+)\r\n")
DELIVERY_POLL_S = 0.005
SHUTDOWN_TIMEOUT_S = 60.0  # long enough that only a hang reaches it


class Process:
    """The processes of one sidecar: `start` runs the first, another after an end, or a successor for an upgrade."""

    def __init__(
        self, name: str, folder: Path, config: str, history: History, controllable: bool, fault: str
    ) -> None:
        self.name, self.folder, self.history = name, folder, history
        self.controllable = controllable or fault != "-"  # whether its clock and disk can be changed
        self.fault = fault
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "private").mkdir(mode=0o700, exist_ok=True)
        self.path = folder / "gateusher.toml"
        self.path.write_text(config)
        self.control_path = str(folder / "control.sock")
        self.child: asyncio.subprocess.Process | None = None
        self._children: list[asyncio.subprocess.Process] = []  # every process started so far
        self.lifecycle = asyncio.Lock()  # held by a fault that stops, ends or replaces the process, until it is over
        self.stopped = False
        self.is_serving = False  # callers may send requests
        self.undelivered: set[str] = set()  # requests that callers have sent and the relay has not passed on yet
        self.delivery_is_held: Callable[[], bool] = lambda: False  # by a fault of the relay
        self.peak_kb = 0
        self._command_fd: int | None = None
        self._previous_socket: tuple[int, int] | None = None  # the control socket before the newest process began
        self._incarnation = 0

    async def start(self) -> asyncio.subprocess.Process:
        """Start a process, which replaces the one before it as `child`."""
        arguments = ["-m", "gateusher", "run", "--config", str(self.path)]
        fds: tuple[int, ...] = ()
        if self.controllable:
            read_fd, write_fd = os.pipe()
            arguments = ["-m", "rig.entry", str(read_fd), self.fault, "run", "--config", str(self.path)]
            fds = (read_fd,)
            if self._command_fd is not None:
                os.close(self._command_fd)
            self._command_fd = write_fd
        self._incarnation += 1
        self._previous_socket = self._socket_identity()
        with (self.folder / "log").open("ab") as log:
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                cwd=ROOT,
                stderr=log,
                stdout=log,
                pass_fds=fds,
                env={**os.environ, "TMPDIR": str(self.folder / "private"), "PYTHONDONTWRITEBYTECODE": "1"},
            )
        for fd in fds:
            os.close(fd)
        self.child, self.stopped = child, False
        self._children.append(child)
        self.history.record("started", who=self.name, pid=child.pid, life=self._incarnation)
        return child

    def _socket_identity(self) -> tuple[int, int] | None:
        with suppress(OSError):
            status = os.stat(self.control_path)
            return status.st_ino, status.st_ctime_ns
        return None

    @property
    def has_control_socket(self) -> bool:
        """Whether the control socket belongs to the newest process and no longer to the one before it."""
        return self._socket_identity() not in (None, self._previous_socket)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.child and self.child.returncode is None:
            self._update_peak()
            self.child.send_signal(number)
            self.history.record("signal", who=self.name, signal=number.name)

    def _update_peak(self) -> None:
        if self.child:
            with suppress(OSError, IndexError):
                self.peak_kb = max(self.peak_kb, peak_resident_kb(self.child.pid))

    def stop(self) -> None:
        """Suspend the process until `resume`."""
        self.stopped = True
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a suspended process."""
        self.stopped = False
        self.signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process, as a power failure does."""
        self.is_serving = False
        self.signal(signal.SIGKILL)
        if self.child:
            await self.child.wait()
        self.history.record("killed", who=self.name)

    def on_requests_delivered(self, data: bytes) -> None:
        """The relay has sent the requests in `data` to the process."""
        self.undelivered.difference_update(found.decode() for found in REQUEST_ID.findall(data))

    async def shut_down(self) -> None:
        """Shut the process down gracefully; one that hangs is killed and recorded without an exit status.

        Requests that its callers sent before are passed on to it first.  A pause of the rig's event loop could
        otherwise delay them until its listener is closed, and it would count as a loss of the process.
        """
        self.is_serving = False
        await asyncio.sleep(0)  # requests that callers send in this turn of the event loop begin
        while self.undelivered and not self.delivery_is_held():
            await asyncio.sleep(DELIVERY_POLL_S)
        if self.stopped:
            self.resume()
        await self._shut_down(self.child)

    async def _shut_down(self, child: asyncio.subprocess.Process | None) -> None:
        if child is None or child.returncode is not None:
            return
        self._update_peak()
        with suppress(ProcessLookupError):
            child.send_signal(signal.SIGTERM)
        self.history.record("signal", who=self.name, signal="SIGTERM")
        try:
            code: int | None = await asyncio.wait_for(child.wait(), SHUTDOWN_TIMEOUT_S)
        except TimeoutError:
            child.kill()
            await child.wait()
            code = None
        self.history.record("ended", who=self.name, code=code)

    async def upgrade(self, wait_ready: Callable[[], Awaitable[None]]) -> None:
        """Start a successor and shut the old process down once the successor serves."""
        old = self.child
        await self.start()
        await wait_ready()
        await self._shut_down(old)

    def send_command(self, command: str) -> None:
        """Send a clock or disk command of `rig.entry` to the process, if it takes any."""
        if self._command_fd is not None:
            with suppress(OSError):
                os.write(self._command_fd, f"{command}\n".encode())
            self.history.record("clock", who=self.name, command=command)

    async def close(self) -> None:
        """Kill every process still running, also one that was replaced but not shut down as two faults overlapped."""
        for child in self._children:
            if child.returncode is None:
                child.kill()  # SIGKILL also ends a suspended process
                await child.wait()
        if self._command_fd is not None:
            os.close(self._command_fd)
            self._command_fd = None

    # -- the folder of a voter that is not running

    def copy_votes(self) -> dict[str, bytes]:
        """Return the files of the voter's folder and their contents."""
        with suppress(OSError):
            return {p.name: p.read_bytes() for p in (self.folder / "votes").iterdir()}
        return {}

    def damage_votes(self, how: str, copy: dict[str, bytes] | None) -> None:
        """Damage the voter's folder as a faulty disk does, after the process was killed.

        `how`: "old" restores `copy`, "empty" removes every file, "torn" cuts the end of each log, "flip" flips a bit.
        """
        votes = self.folder / "votes"
        if how in ("old", "empty"):
            for path in votes.glob("*"):
                path.unlink()
            for name, data in (copy or {}).items():
                (votes / name).write_bytes(data)
        else:
            for path in votes.glob("log-*"):
                log = bytearray(path.read_bytes())
                if how == "torn":
                    del log[-9:]
                elif log:
                    log[len(log) // 2] ^= 0x10
                path.write_bytes(log)
        self.history.record("spoilt", who=self.name, how=how)

    @property
    def log(self) -> str:
        """The output of all processes so far."""
        with suppress(OSError):
            return (self.folder / "log").read_text(errors="replace")
        return ""


class Worker:
    """A worker process beside one sidecar that claims the singleton task; it has faults of its own."""

    def __init__(self, name: str, folder: Path, control_path: str, port: int) -> None:
        self.name, self._folder = name, folder
        self._command = [sys.executable, "-m", "rig.worker", control_path, str(port), name, "job"]
        self._child: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the worker process."""
        with (self._folder / "worker.log").open("ab") as log:
            self._child = await asyncio.create_subprocess_exec(*self._command, cwd=ROOT, stderr=log, stdout=log)

    def interrupt(self, kind: str) -> None:
        """Suspend ("work-stop") or kill ("work-kill") the worker until `recover`."""
        if self._child and self._child.returncode is None:
            self._child.send_signal(signal.SIGSTOP if kind == "work-stop" else signal.SIGKILL)

    async def recover(self) -> None:
        """Continue a suspended worker, or restart one that has ended."""
        child = self._child
        if child and child.returncode is None:
            with suppress(ProcessLookupError):
                child.send_signal(signal.SIGCONT)
            with suppress(TimeoutError):  # a killed process may not be reaped yet
                await asyncio.wait_for(child.wait(), 0.05)
        if child and child.returncode is not None:
            await self.start()

    async def close(self) -> None:
        """Terminate the worker, and kill it if it does not end within 10 s."""
        child, self._child = self._child, None
        if child and child.returncode is None:
            with suppress(ProcessLookupError):
                child.send_signal(signal.SIGCONT)
                child.terminate()
            try:
                await asyncio.wait_for(child.wait(), 10.0)
            except TimeoutError:
                child.kill()
                await child.wait()

    @property
    def log(self) -> str:
        """The output of all worker processes so far."""
        with suppress(OSError):
            return (self._folder / "worker.log").read_text(errors="replace")
        return ""
