"""A request behind a crowd of idle clients that fill the descriptors: `python -m bench.accept_queue [--requests N]`

One real process at a time under 96 descriptors, with and without shedding at accept; the crowd connects, says nothing
and comes again when it is shut.
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

LIMIT = 96
CROWDS = (20, 60, 200, 800)
LET_IN = (
    f'exec {sys.executable} -c "import gateusher.listeners.accepting as accepting, runpy; '
    "accepting.SHED_AFTER_S = 1e9; "
    "runpy.run_module('gateusher', run_name='__main__')\""
)
WAYS = {"let in, each for 0.1 s": LET_IN, "shed at accept": RUN_COMMAND}


async def play(run_it: str, size: int, requests: int) -> tuple[list[float], int]:
    """Seconds until each request was answered, and how many were not: their connections were shut unread."""
    endpoint = Endpoint()
    await endpoint.start()
    discovery = Discovery([host_entry("e0", endpoint.port)])
    await discovery.start()
    took, shut = list[float](), 0
    with tempfile.TemporaryDirectory(prefix="gateusher-") as folder:
        async with run_daemon_with_idle_clients(Path(folder), discovery, size, run_it, LIMIT, sockets=LIMIT) as (
            d,
            _,
        ):
            await asyncio.sleep(1.0)
            for i in range(requests):
                began = time.monotonic()
                try:
                    await d.request(f"r{i}")
                    took.append(time.monotonic() - began)
                except (ConnectionError, asyncio.IncompleteReadError):
                    shut += 1
    for server in (endpoint.server, discovery.server):
        server.close()
    return took, shut


async def back(size: int, away_s: float) -> float:
    """Seconds from discovery's return, after so many seconds of refused calls, until the list is watched again."""
    discovery = Discovery([host_entry("e0", 1)])
    await discovery.start()
    again = Discovery(discovery.hosts, seq=2)
    with tempfile.TemporaryDirectory(prefix="gateusher-") as folder:
        async with run_daemon_with_idle_clients(Path(folder), discovery, size, RUN_COMMAND, LIMIT, sockets=LIMIT):
            await asyncio.sleep(0.5)
            discovery.server.close()
            discovery.reset_connections()
            await asyncio.sleep(away_s)
            await again.start(("127.0.0.1", discovery.port))
            began = time.monotonic()
            await again.has_watch.wait()
            took = time.monotonic() - began
    again.server.close()
    return took


@click.command(help="A request behind a crowd of idle clients that fill the descriptors.")
@click.option("--requests", default=60, show_default=True, help="Of each row.")
def main(requests: int) -> None:
    print("| idle clients | silent ones | answered after, s: median | most | shut unread |\n|---|---|---|---|---|")
    for size in CROWDS:
        for way, run_it in WAYS.items():
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                took, shut = runner.run(play(run_it, size, requests))
            print(f"| {size} | {way} | {median(took):.3f} | {max(took):.3f} | {shut} of {requests} |", flush=True)

    print("\n| idle clients | watched again after discovery was away for 1 to 8 s, s: median | most |\n|---|---|---|")
    for size in (0, CROWDS[-1]):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            waits = [runner.run(back(size, away_s)) for away_s in range(1, 9)]
        print(f"| {size} | {median(waits):.2f} | {max(waits):.2f} |", flush=True)


if __name__ == "__main__":
    main()
