"""Runs the daemon as a process by the command of the deploy file, with its own resource limits."""

import asyncio
import json
import os
import sys
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager, suppress
from pathlib import Path

from ..helpers import HANG_TIMEOUT_S, ROOT
from ..net import Discovery, configuration, idempotent_request, read_message, status, unused_address

DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
# With the interpreter that runs the tests: a clone in another folder has no .venv.
RUN_COMMAND = DEPLOY["run"].replace(".venv/bin/python", sys.executable)


async def _wait_until_healthy(address: tuple[str, int]) -> None:
    """Poll the health path until it responds 200; the daemon sends no notification."""
    while True:
        with suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET /_health HTTP/1.1\r\nHost: o\r\n\r\n")
            head, _ = await read_message(reader)
            writer.close()
            if status(head) == 200:
                return
        await asyncio.sleep(0.01)


async def wait_until_serving(process: asyncio.subprocess.Process, address: tuple[str, int]) -> None:
    """Wait until the daemon serves clients; fail if the process exits instead."""
    tasks = [asyncio.ensure_future(process.wait()), asyncio.ensure_future(_wait_until_healthy(address))]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
    assert process.returncode is None, "the daemon exited before it served clients"


class DaemonProcess:
    """A daemon process, its addresses and its configuration file."""

    def __init__(
        self,
        start: Callable[[], Awaitable[asyncio.subprocess.Process]],
        process: asyncio.subprocess.Process,
        address: tuple[str, int],
        admin: tuple[str, int],
        config: Path,
    ) -> None:
        self._start = start
        self.process, self.address, self.admin, self.config = process, address, admin, config

    async def restart(self) -> None:
        """Kill the process and start it again at the same addresses."""
        self.process.kill()
        await self.process.wait()
        self.process = await self._start()

    async def wait_for_log(self, text: bytes) -> bytes:
        """Return the next line of the log that contains `text`."""
        assert self.process.stderr
        while text not in (line := await self.process.stderr.readline()):
            assert line, f"the log ended without {text!r}"
        return line

    @property
    def descriptor_count(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def request(self, rid: str) -> bytes:
        """Send a request on a new connection and return the head of the response, which must be 200.

        The deadline is long, because a request that waits in the accept queue for longer is rejected.
        """
        return await self._request(self.address, idempotent_request(rid, str(HANG_TIMEOUT_S)))

    async def wait_until_ready(self) -> None:
        """Wait until the readiness path responds 200; the admin address is opened after the clients' address."""
        while True:
            with suppress(ConnectionRefusedError):
                await self._request(self.admin, b"GET /_ready HTTP/1.1\r\nHost: o\r\n\r\n")
                return
            await asyncio.sleep(0.01)

    @staticmethod
    async def _request(address: tuple[str, int], request: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(request)
            head, _ = await read_message(reader)
            assert status(head) == 200
            return head
        finally:
            writer.close()


class IdleClients:
    """Clients that connect, send nothing, and reconnect when they are closed."""

    def __init__(self, address: tuple[str, int], count: int) -> None:
        self.address, self.close_counts = address, [0] * count
        self.tasks = [asyncio.ensure_future(self._idle(i)) for i in range(count)]

    async def _idle(self, i: int) -> None:
        while True:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(*self.address)
                try:
                    await reader.read()
                finally:
                    writer.close()
                self.close_counts[i] += 1

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()


@asynccontextmanager
async def run_daemon(
    folder: Path,
    hosts: list[dict[str, object]],
    discovery: int,
    command: str = RUN_COMMAND,
    descriptor_limit: int = 1024,
    env: Mapping[str, str] | None = None,
    stderr: int = asyncio.subprocess.PIPE,
    settings: Mapping[str, object] | None = None,
    **limits: float,
) -> AsyncIterator[DaemonProcess]:
    """Run a daemon.

    `descriptor_limit` is set for the process and `limits` in its settings; `env` adds to the platform's variables.
    """
    address, admin = unused_address(), unused_address()
    path, temporary = folder / "config.json", folder / "private"
    temporary.mkdir(mode=0o700, exist_ok=True)
    conf = configuration(
        hosts, discovery, listen="{}:{}".format(*address), limits={"memory_mb": 192, "sockets": 256, **limits}
    )
    conf["settings"].update(settings or {})
    path.write_text(json.dumps(conf))

    async def start() -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            "sh",
            "-c",
            f"ulimit -n {descriptor_limit}; {command}",
            cwd=ROOT,
            stderr=stderr,
            env={
                **os.environ,
                **(env or {}),
                "BALANCER_CONFIG": str(path),
                "TMPDIR": str(temporary),
                "BALANCER_ADMIN_ADDR": "{}:{}".format(*admin),
                "BALANCER_DISCOVERY": f"127.0.0.1:{discovery}",
            },
        )

    daemon = DaemonProcess(start, await start(), address, admin, path)
    try:
        yield daemon
    finally:
        if daemon.process.returncode is None:
            daemon.process.kill()
        await daemon.process.wait()


@asynccontextmanager
async def run_daemon_with_idle_clients(
    folder: Path,
    discovery: Discovery,
    count: int,
    command: str = RUN_COMMAND,
    descriptor_limit: int = 1024,
    **limits: float,
) -> AsyncIterator[tuple[DaemonProcess, IdleClients]]:
    """Run a daemon that watches `discovery`, which is started, and `count` idle clients of it."""
    async with run_daemon(folder, discovery.hosts, discovery.port, command, descriptor_limit, **limits) as d:
        await wait_until_serving(d.process, d.address)
        await discovery.has_watch.wait()
        idle_clients = IdleClients(d.address, count)
        try:
            yield d, idle_clients
        finally:
            idle_clients.close()
