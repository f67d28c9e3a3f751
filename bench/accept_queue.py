"""Latency of requests while idle clients use up the descriptors, with and without shedding at accept.

    python -m bench.accept_queue [--requests N]

Runs one daemon process at a time with a limit of 96 descriptors.  The idle clients connect, send nothing, and connect
again when they are closed.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from pathlib import Path
from statistics import median

import click
import uvloop

from tests.net import Discovery, Endpoint, host_entry
from tests.standing.process import RUN_COMMAND, run_daemon_with_idle_clients

DESCRIPTOR_LIMIT = 96
IDLE_CLIENTS = (20, 60, 200, 800)
SETTLE_S = 1.0  # from the start of the idle clients to the first request
WATCH_SETTLE_S = 0.5  # from their start to the outage of discovery
OUTAGES_S = range(1, 9)
RUN_WITHOUT_SHEDDING = (
    f'exec {sys.executable} -c "import gateusher.listeners.accepting as accepting, runpy; '
    "accepting.SHED_AFTER_S = 1e9; "
    "runpy.run_module('gateusher', run_name='__main__')\""
)
COMMANDS = {"let in, each for 0.1 s": RUN_WITHOUT_SHEDDING, "shed at accept": RUN_COMMAND}


async def measure_requests(command: str, idle_clients: int, requests: int) -> tuple[list[float], int]:
    """Return the seconds that each answered request took, and the number of those whose connection was closed."""
    endpoint = Endpoint()
    await endpoint.start()
    discovery = Discovery([host_entry("e0", endpoint.port)])
    await discovery.start()
    latencies_s, closed = list[float](), 0
    with tempfile.TemporaryDirectory(prefix="gateusher-") as folder:
        async with run_daemon_with_idle_clients(
            Path(folder), discovery, idle_clients, command, DESCRIPTOR_LIMIT, sockets=DESCRIPTOR_LIMIT
        ) as (daemon, _):
            await asyncio.sleep(SETTLE_S)
            for i in range(requests):
                began = time.monotonic()
                try:
                    await daemon.request(f"r{i}")
                    latencies_s.append(time.monotonic() - began)
                except (ConnectionError, asyncio.IncompleteReadError):
                    closed += 1
    for server in (endpoint.server, discovery.server):
        server.close()
    return latencies_s, closed


async def measure_recovery(idle_clients: int, outage_s: float) -> float:
    """Return the seconds from the end of an outage of discovery, which refused calls, until it is watched again."""
    discovery = Discovery([host_entry("e0", 1)])
    await discovery.start()
    recovered = Discovery(discovery.hosts, seq=2)
    with tempfile.TemporaryDirectory(prefix="gateusher-") as folder:
        async with run_daemon_with_idle_clients(
            Path(folder), discovery, idle_clients, RUN_COMMAND, DESCRIPTOR_LIMIT, sockets=DESCRIPTOR_LIMIT
        ):
            await asyncio.sleep(WATCH_SETTLE_S)
            discovery.server.close()
            discovery.reset_connections()
            await asyncio.sleep(outage_s)
            await recovered.start(("127.0.0.1", discovery.port))
            began = time.monotonic()
            await recovered.has_watch.wait()
            recovery_s = time.monotonic() - began
    recovered.server.close()
    return recovery_s


@click.command(help="Latency of requests while idle clients use up the descriptors.")
@click.option("--requests", default=60, show_default=True, help="Number of requests per row.")
def main(requests: int) -> None:
    """Print both tables."""
    print("| idle clients | silent ones | answered after, s: median | most | shut unread |\n|---|---|---|---|---|")
    for idle_clients in IDLE_CLIENTS:
        for name, command in COMMANDS.items():
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                latencies_s, closed = runner.run(measure_requests(command, idle_clients, requests))
            print(
                f"| {idle_clients} | {name} | {median(latencies_s):.3f} | {max(latencies_s):.3f} | "
                f"{closed} of {requests} |",
                flush=True,
            )

    print("\n| idle clients | watched again after discovery was away for 1 to 8 s, s: median | most |\n|---|---|---|")
    for idle_clients in (0, IDLE_CLIENTS[-1]):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            recoveries_s = [runner.run(measure_recovery(idle_clients, outage_s)) for outage_s in OUTAGES_S]
        print(f"| {idle_clients} | {median(recoveries_s):.2f} | {max(recoveries_s):.2f} |", flush=True)


if __name__ == "__main__":
    main()
