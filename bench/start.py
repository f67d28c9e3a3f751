"""How long a start takes: `python -m bench.start [--starts N] [--part P]`

Real processes under a part of a core (stopped and continued from outside), beside a discovery that answers, is down,
is silent, or takes 3 s for its first answer; and the processor time of a start by its parts.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from statistics import median

import click
import uvloop

from tests.helpers import ROOT
from tests.net import Discovery, Endpoint, configuration, host_entry, unused_address
from tests.standing.process import run_daemon, wait_until_serving

TURN_S = 0.03  # the process has its part of each turn
SLOW_S = 3.0
ENDPOINTS = 200  # in the list that a process starts with
WAYS = ("up", "down", "silent", "slow")

PARTS = """
import json, os, resource, sys, time
at = [time.process_time()]
import gateusher.cli.run as run
at.append(time.process_time())
config = run.cap_to_system_limits(run.load_config(None, os.environ))
at.append(time.process_time())
import asyncio, uvloop
async def main():
    sidecar = run.Sidecar(config)
    await sidecar.start()
    at.append(time.process_time())
    sidecar.close()
with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
    runner.run(main())
print(json.dumps([1000 * (b - a) for a, b in zip([0.0, *at], at)]))
"""


async def throttle(pid: int, part: float) -> None:
    """Let a process run for a part of each turn, until it has ended."""
    with suppress(ProcessLookupError):
        while True:
            os.kill(pid, signal.SIGCONT)
            await asyncio.sleep(TURN_S * part)
            os.kill(pid, signal.SIGSTOP)
            await asyncio.sleep(TURN_S * (1 - part))


async def start(way: str, part: float) -> float:
    """Seconds from the start of a process until it has answered a request and told operators that it is ready."""
    endpoint, discovery = Endpoint(), Discovery([])
    await endpoint.start()
    hosts = [host_entry(f"e{i}", endpoint.port) for i in range(ENDPOINTS)]
    discovery.hosts = hosts
    await discovery.start()
    if way in ("silent", "slow"):
        discovery.may_respond.clear()
    if way == "down":
        discovery.server.close()
    if way == "slow":
        asyncio.get_running_loop().call_later(SLOW_S, discovery.may_respond.set)
    with tempfile.TemporaryDirectory(prefix="gateusher-") as folder:
        began = time.monotonic()
        async with run_daemon(Path(folder), hosts, discovery.port) as d:
            throttling = asyncio.ensure_future(throttle(d.process.pid, part))
            await wait_until_serving(d.process, d.address)
            await d.request("a")
            await d.wait_until_ready()
            took = time.monotonic() - began
            throttling.cancel()
    for server in (endpoint.server, discovery.server):
        server.close()
    return took


def parts(starts: int) -> list[float]:
    """Processor time of a start, in ms: the interpreter, imports, configuration and its tables, sidecar and list."""
    rows = []
    for _ in range(starts):
        with tempfile.TemporaryDirectory(prefix="gateusher-") as folder:
            path = Path(folder) / "config.json"
            hosts = [host_entry(f"e{i}", 1) for i in range(ENDPOINTS)]
            path.write_text(json.dumps(configuration(hosts, 1, listen="{}:{}".format(*unused_address()))))
            out = subprocess.run(
                [sys.executable, "-c", PARTS],
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=True,
                env={**os.environ, "BALANCER_CONFIG": str(path)},
            )
            rows.append(json.loads(out.stdout))
    return [median(column) for column in zip(*rows, strict=True)]


@click.command(help="How long a start takes, beside a discovery that does and does not answer.")
@click.option("--starts", default=20, show_default=True, help="Starts of each row.")
@click.option("--part", default=1 / 3, show_default="a third", help="Of a core.")
def main(starts: int, part: float) -> None:
    names = ("interpreter", "imports", "configuration", "sidecar and list")
    print(
        "processor time, ms, median: "
        + ", ".join(f"{name} {took:.0f}" for name, took in zip(names, parts(starts), strict=True))
    )
    print("| discovery | ready and serving, s: median | most |\n|---|---|---|")
    for way in WAYS:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            took = [runner.run(start(way, part)) for _ in range(starts)]
        print(f"| {way} | {median(took):.2f} | {max(took):.2f} |", flush=True)


if __name__ == "__main__":
    main()
