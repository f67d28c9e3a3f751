"""A daemon with little memory beside usual clients, for the tests of crowds."""

import asyncio
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from rig.process_memory import KB_PER_MB, peak_resident_kb

from ..helpers import ROOT
from ..net import Discovery, host_entry
from .endpoints import run_endpoints
from .process import DaemonProcess, run_daemon, wait_until_serving
from .usual_clients import UsualClients

DESCRIPTORS = 1024
ENDPOINT_PROCESSES = 2
ENDPOINTS_OF_PROCESS = 3
CROWD_PROCESSES = 3


@asynccontextmanager
async def run_discovery(hosts: list[dict[str, object]]) -> AsyncIterator[Discovery]:
    """Run a discovery server that lists these endpoints."""
    discovery = Discovery(hosts)
    await discovery.start()
    try:
        yield discovery
    finally:
        discovery.server.close()


@asynccontextmanager
async def run_with_usual_clients(
    folder: Path, memory_mb: int, descriptors: int = DESCRIPTORS, expects_answers: bool = True
) -> AsyncIterator[tuple[DaemonProcess, UsualClients]]:
    """Run a daemon with these limits beside usual clients, and check what must hold.

    `expects_answers` is False where all descriptors may be in use: new connections may be shut unread then.
    """
    async with (
        run_endpoints(ENDPOINT_PROCESSES, ENDPOINTS_OF_PROCESS) as ports,
        run_discovery([host_entry(f"e{i}", port) for i, port in enumerate(ports)]) as discovery,
        run_daemon(
            folder,
            discovery.hosts,
            discovery.port,
            memory_mb=memory_mb,
            sockets=descriptors,
            descriptor_limit=descriptors,
            stderr=asyncio.subprocess.DEVNULL,
        ) as daemon,
    ):
        await wait_until_serving(daemon.process, daemon.address)
        usual = UsualClients(daemon.address)
        yield daemon, usual
        await usual.finish()
        assert daemon.process.returncode is None, "the process has ended"
        peak_mb = peak_resident_kb(daemon.process.pid) / KB_PER_MB
        assert peak_mb <= memory_mb, f"{peak_mb:.1f} MB resident"
        if expects_answers:
            usual.assert_answered()


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
            "look",
            "pay",
            "{}:{}".format(*address),
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
