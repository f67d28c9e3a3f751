"""One process of the program: its folder, its file, its life."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

from .history import History

ROOT = Path(__file__).parents[1]
END_S = 60.0  # only what never comes takes so long


class Process:
    """One sidecar under one name; `run` starts a process of it, again after an end, or beside one for an upgrade."""

    def __init__(self, name: str, folder: Path, config: str, history: History, lying: bool, fault: str) -> None:
        self.name, self.folder, self.history = name, folder, history
        self.lying = lying or fault != "-"  # whether its clock can be moved
        self.fault = fault
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "private").mkdir(mode=0o700, exist_ok=True)
        self.path = folder / "gateusher.toml"
        self.path.write_text(config)
        self.control = str(folder / "control.sock")
        self.child: asyncio.subprocess.Process | None = None
        self._children: list[asyncio.subprocess.Process] = []  # all that it started
        self.life = asyncio.Lock()  # held by the fault that stops, ends or replaces it, until that is mended
        self.stopped = False
        self.wanted = False  # whether it serves, and callers may come
        self.peak_kb = 0
        self._clock: int | None = None
        self._place: tuple[int, int] | None = None  # of the control socket that was there before this process
        self._lives = 0

    async def run(self) -> asyncio.subprocess.Process:
        """Start one more process; whoever was there before is not this object's any more."""
        words = ["-m", "gateusher", "run", "--config", str(self.path)]
        fds: tuple[int, ...] = ()
        if self.lying:
            theirs, ours = os.pipe()
            words = ["-m", "rig.entry", str(theirs), self.fault, "run", "--config", str(self.path)]
            fds = (theirs,)
            if self._clock is not None:
                os.close(self._clock)
            self._clock = ours
        self._lives += 1
        self._place = self._socket()
        with (self.folder / "log").open("ab") as log:
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                *words,
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
        self.history.note("started", who=self.name, pid=child.pid, life=self._lives)
        return child

    def _socket(self) -> tuple[int, int] | None:
        with suppress(OSError):
            status = os.stat(self.control)
            return status.st_ino, status.st_ctime_ns
        return None

    @property
    def speaks(self) -> bool:
        """Whether the control address is the newest process's already, and not that of the one before it."""
        return self._socket() not in (None, self._place)

    def signal(self, number: signal.Signals) -> None:
        if self.child and self.child.returncode is None:
            self._measure()
            self.child.send_signal(number)
            self.history.note("signal", who=self.name, signal=number.name)

    def _measure(self) -> None:
        with suppress(OSError, AttributeError):
            for line in Path(f"/proc/{self.child.pid}/status").read_text().splitlines():  # type: ignore[union-attr]
                if line.startswith("VmHWM"):
                    self.peak_kb = max(self.peak_kb, int(line.split()[1]))

    def stop(self) -> None:
        self.stopped = True
        self.signal(signal.SIGSTOP)

    def go_on(self) -> None:
        self.stopped = False
        self.signal(signal.SIGCONT)

    async def kill(self) -> None:
        """As a machine that loses its power."""
        self.wanted = False
        self.signal(signal.SIGKILL)
        if self.child:
            await self.child.wait()
        self.history.note("killed", who=self.name)

    async def end(self) -> None:
        """The planned end; whoever doesn't come to it is killed, which the history tells."""
        self.wanted = False
        if self.stopped:
            self.go_on()
        await self._end(self.child)

    async def _end(self, child: asyncio.subprocess.Process | None) -> None:
        if child is None or child.returncode is not None:
            return
        self._measure()
        with suppress(ProcessLookupError):
            child.send_signal(signal.SIGTERM)
        self.history.note("signal", who=self.name, signal="SIGTERM")
        try:
            code: int | None = await asyncio.wait_for(child.wait(), END_S)
        except TimeoutError:
            child.kill()
            await child.wait()
            code = None
        self.history.note("ended", who=self.name, code=code)

    async def upgrade(self, ready: Any) -> None:
        """A second process beside the first, which ends when the new one serves."""
        old = self.child
        await self.run()
        await ready()
        await self._end(old)

    def clock(self, command: str) -> None:
        """Move its clock."""
        if self._clock is not None:
            with suppress(OSError):
                os.write(self._clock, f"{command}\n".encode())
            self.history.note("clock", who=self.name, command=command)

    async def close(self) -> None:
        """No process is left, whatever happened: where two faults met, also one that was replaced and never ended."""
        for child in self._children:
            if child.returncode is None:
                child.kill()  # SIGKILL ends a stopped one too
                await child.wait()
        if self._clock is not None:
            os.close(self._clock)
            self._clock = None

    # -- a voter's folder, while nobody has it

    def copy_votes(self) -> dict[str, bytes]:
        """What is in it now."""
        with suppress(OSError):
            return {p.name: p.read_bytes() for p in (self.folder / "votes").iterdir()}
        return {}

    def spoil_votes(self, how: str, copy: dict[str, bytes] | None) -> None:
        """What a disk does behind a program's back, to the folder of a process that was killed."""
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
        self.history.note("spoilt", who=self.name, how=how)

    @property
    def log(self) -> str:
        with suppress(OSError):
            return (self.folder / "log").read_text(errors="replace")
        return ""


class Worker:
    """Whoever wants the duty beside one sidecar; ended and stopped by itself."""

    def __init__(self, name: str, folder: Path, control: str, port: int) -> None:
        self.name, self._folder = name, folder
        self._words = [sys.executable, "-m", "rig.worker", control, str(port), name, "job"]
        self._child: asyncio.subprocess.Process | None = None

    async def run(self) -> None:
        with (self._folder / "worker.log").open("ab") as log:
            self._child = await asyncio.create_subprocess_exec(*self._words, cwd=ROOT, stderr=log, stdout=log)

    def strike(self, what: str) -> None:
        """SIGSTOP, or SIGKILL, until `mend`."""
        if self._child and self._child.returncode is None:
            self._child.send_signal(signal.SIGSTOP if what == "work-stop" else signal.SIGKILL)

    async def mend(self) -> None:
        child = self._child
        if child and child.returncode is None:
            with suppress(ProcessLookupError):
                child.send_signal(signal.SIGCONT)
            with suppress(TimeoutError):  # one that was killed may not be reaped yet
                await asyncio.wait_for(child.wait(), 0.05)
        if child and child.returncode is not None:
            await self.run()

    async def close(self) -> None:
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
        with suppress(OSError):
            return (self._folder / "worker.log").read_text(errors="replace")
        return ""
