"""A daemon with little memory beside usual clients, for the tests of crowds."""

import asyncio
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from rig.process_memory import KB_PER_MB, peak_resident_kb

from ..helpers import ROOT
from ..net import Discovery, host_entry, read_message
from .process import DaemonProcess, run_daemon, wait_until_serving
from .usual_clients import UsualClients

DESCRIPTORS = 1024
LONG_ANSWER_BYTES = 8 << 20
CROWD_PROCESSES = 3


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer as an endpoint: with a long body where the id asks for it."""
    try:
        while True:
            head, _ = await read_message(reader)
            if b"X-Request-Id: long" not in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_ANSWER_BYTES)
            for _ in range(LONG_ANSWER_BYTES >> 16):
                writer.write(bytes(1 << 16))
                await writer.drain()
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, asyncio.CancelledError):
        writer.close()


@asynccontextmanager
async def run_with_usual_clients(
    folder: Path, memory_mb: int, descriptors: int = DESCRIPTORS, expects_answers: bool = True
) -> AsyncIterator[tuple[DaemonProcess, UsualClients]]:
    """Run a daemon with these limits beside usual clients, and check what must hold.

    `expects_answers` is False where all descriptors may be in use: new connections may be shut unread then.
    """
    servers = [await asyncio.start_server(serve, "127.0.0.1", 0) for _ in range(4)]
    discovery = Discovery([host_entry(f"e{i}", s.sockets[0].getsockname()[1]) for i, s in enumerate(servers)])
    await discovery.start()
    async with run_daemon(
        folder,
        discovery.hosts,
        discovery.port,
        memory_mb=memory_mb,
        sockets=descriptors,
        descriptor_limit=descriptors,
        stderr=asyncio.subprocess.DEVNULL,
    ) as daemon:
        await wait_until_serving(daemon.process, daemon.address)
        usual = UsualClients(daemon.address)
        yield daemon, usual
        await usual.finish()
        assert daemon.process.returncode is None, "the process has ended"
        peak_mb = peak_resident_kb(daemon.process.pid) / KB_PER_MB
        assert peak_mb <= memory_mb, f"{peak_mb:.1f} MB resident"
        if expects_answers:
            usual.assert_answered()
    for server in [*servers, discovery.server]:
        server.close()


@asynccontextmanager
async def run_crowd(address: tuple[str, int], kind: str, clients: int, seed: int = 1) -> AsyncIterator[None]:
    """Run a crowd of `rig.slow_clients` in processes of its own."""
    crowds = [
        await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "rig.slow_clients",
            kind,
            str(clients // CROWD_PROCESSES),
            str(seed * CROWD_PROCESSES + i),
            "{}:{}".format(*address),
            "look",
            "pay",
            cwd=ROOT,
        )
        for i in range(CROWD_PROCESSES)
    ]
    try:
        yield
    finally:
        for crowd in crowds:
            crowd.kill()
        for crowd in crowds:
            await crowd.wait()
