"""The daemon as a process of its own, as the deploy file words it, under limits of its own."""

import asyncio
import json
import os
import sys
import tomllib
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager, suppress
from pathlib import Path

from ..helpers import HANG_TIMEOUT_S, ROOT
from ..net import Discovery, configuration, idempotent_request, read_message, status, unused_address

DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
# The same words with the interpreter that runs the tests: a clone of another folder has no .venv of its own.
RUN = DEPLOY["run"].replace(".venv/bin/python", sys.executable)


async def _health(where: tuple[str, int]) -> None:
    """Wait until it takes clients: asked again and again, since it does not say so by itself."""
    while True:
        with suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(*where)
            writer.write(b"GET /_health HTTP/1.1\r\nHost: o\r\n\r\n")
            head, _ = await read_message(reader)
            writer.close()
            if status(head) == 200:
                return
        await asyncio.sleep(0.01)


async def up(process: asyncio.subprocess.Process, where: tuple[str, int]) -> None:
    """Wait until it serves; a process that ended instead has failed to start."""
    tasks = [asyncio.ensure_future(process.wait()), asyncio.ensure_future(_health(where))]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
    assert process.returncode is None, "it did not start"


class Process:
    """A daemon under a limit of its own."""

    def __init__(
        self, process: asyncio.subprocess.Process, where: tuple[str, int], admin: tuple[str, int], config: Path
    ) -> None:
        self.process, self.where, self.admin, self.config = process, where, admin, config

    async def says(self, what: bytes) -> bytes:
        """The next line of its log that holds this."""
        assert self.process.stderr
        while what not in (line := await self.process.stderr.readline()):
            assert line, f"it ended without a word of {what!r}"
        return line

    @property
    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def named(self, rid: str) -> bytes:
        """The head of the answer to a request on a connection of its own, which must be 200.

        Its client has time: what waits in the accept queue for longer than that is refused, and rightly so.
        """
        return await self._asked(self.where, idempotent_request(rid, str(HANG_TIMEOUT_S)))

    async def ready(self) -> None:
        """Operators are answered, and told that it takes clients; their address is opened after the clients'."""
        while True:
            with suppress(ConnectionRefusedError):
                await self._asked(self.admin, b"GET /_ready HTTP/1.1\r\nHost: o\r\n\r\n")
                return
            await asyncio.sleep(0.01)

    @staticmethod
    async def _asked(where: tuple[str, int], request: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(*where)
        try:
            writer.write(request)
            head, _ = await read_message(reader)
            assert status(head) == 200
            return head
        finally:
            writer.close()


class Crowd:
    """Clients that connect, say nothing, and come again when they are shut."""

    def __init__(self, where: tuple[str, int], size: int) -> None:
        self.where, self.shut = where, [0] * size
        self.tasks = [asyncio.ensure_future(self._idle(i)) for i in range(size)]

    async def _idle(self, i: int) -> None:
        while True:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(*self.where)
                try:
                    await reader.read()
                finally:
                    writer.close()
                self.shut[i] += 1

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()


@asynccontextmanager
async def daemon(
    folder: Path,
    hosts: list[dict[str, object]],
    discovery: int,
    run_it: str = RUN,
    hard: int = 1024,
    env: Mapping[str, str] | None = None,
    stderr: int = asyncio.subprocess.PIPE,
    settings: Mapping[str, object] | None = None,
    **limits: float,
) -> AsyncIterator[Process]:
    """`hard` is what the kernel allows, `limits` what the settings say; `env` goes beside the platform's own."""
    where, admin = unused_address(), unused_address()
    path, private = folder / "config.json", folder / "private"
    private.mkdir(mode=0o700, exist_ok=True)
    conf = configuration(
        hosts, discovery, listen="{}:{}".format(*where), limits={"memory_mb": 192, "sockets": 256, **limits}
    )
    conf["settings"].update(settings or {})
    path.write_text(json.dumps(conf))
    process = await asyncio.create_subprocess_exec(
        "sh",
        "-c",
        f"ulimit -n {hard}; {run_it}",
        cwd=ROOT,
        stderr=stderr,
        env={
            **os.environ,
            **(env or {}),
            "BALANCER_CONFIG": str(path),
            "TMPDIR": str(private),
            "BALANCER_ADMIN_ADDR": "{}:{}".format(*admin),
            "BALANCER_DISCOVERY": f"127.0.0.1:{discovery}",
        },
    )
    try:
        yield Process(process, where, admin, path)
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


@asynccontextmanager
async def crowded(
    folder: Path, discovery: Discovery, size: int, run_it: str = RUN, hard: int = 1024, **limits: float
) -> AsyncIterator[tuple[Process, Crowd]]:
    """A daemon that follows this discovery, which has been started, and idle clients that fill their part of it."""
    async with daemon(folder, discovery.hosts, discovery.port, run_it, hard, **limits) as d:
        await up(d.process, d.where)
        await discovery.has_watch.wait()
        crowd = Crowd(d.where, size)
        try:
            yield d, crowd
        finally:
            crowd.close()
