"""Time until a started process is ready, and the CPU time of each phase of a start.

    python -m bench.start [--starts N] [--part P]

Starts real processes that are limited to a part of a core (stopped and continued in turn), while discovery responds,
is down, is silent, or takes 3 s for its first response.
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

THROTTLE_PERIOD_S = 0.03  # the process runs for its part of each period
SLOW_RESPONSE_S = 3.0
ENDPOINTS = 200  # in the list that a process starts with
DISCOVERY_STATES = ("up", "down", "silent", "slow")
PHASES = ("interpreter", "imports", "configuration", "sidecar and list")

# Prints the CPU time of each phase in ms, as a JSON list.
MEASURE_PHASES = """
import json, os, resource, sys, time
times = [time.process_time()]
import gateusher.cli.run as run
times.append(time.process_time())
config = run.cap_to_system_limits(run.load_config(None, os.environ))
times.append(time.process_time())
import asyncio, uvloop
async def main():
    sidecar = run.Sidecar(config)
    await sidecar.start()
    times.append(time.process_time())
    sidecar.close()
with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
    runner.run(main())
print(json.dumps([1000 * (b - a) for a, b in zip([0.0, *times], times)]))
"""


async def throttle(pid: int, part: float) -> None:
    """Let a process run for `part` of the time, until it has ended."""
    with suppress(ProcessLookupError):
        while True:
            os.kill(pid, signal.SIGCONT)
            await asyncio.sleep(THROTTLE_PERIOD_S * part)
            os.kill(pid, signal.SIGSTOP)
            await asyncio.sleep(THROTTLE_PERIOD_S * (1 - part))


async def measure_start(discovery_state: str, part: float) -> float:
    """Return the seconds from the start of a process until it has served a request and reports that it is ready."""
    endpoint, discovery = Endpoint(), Discovery([])
    await endpoint.start()
    hosts = [host_entry(f"e{i}", endpoint.port) for i in range(ENDPOINTS)]
    discovery.hosts = hosts
    await discovery.start()
    if discovery_state in ("silent", "slow"):
        discovery.may_respond.clear()
    if discovery_state == "down":
        discovery.server.close()
    if discovery_state == "slow":
        asyncio.get_running_loop().call_later(SLOW_RESPONSE_S, discovery.may_respond.set)
    with tempfile.TemporaryDirectory(prefix="gateusher-") as folder:
        began = time.monotonic()
        async with run_daemon(Path(folder), hosts, discovery.port) as daemon:
            throttling = asyncio.ensure_future(throttle(daemon.process.pid, part))
            await wait_until_serving(daemon.process, daemon.address)
            await daemon.request("a")
            await daemon.wait_until_ready()
            ready_s = time.monotonic() - began
            throttling.cancel()
    for server in (endpoint.server, discovery.server):
        server.close()
    return ready_s


def measure_phases(starts: int) -> list[float]:
    """Return the median CPU time of each of `PHASES`, in ms."""
    rows = []
    for _ in range(starts):
        with tempfile.TemporaryDirectory(prefix="gateusher-") as folder:
            path = Path(folder) / "config.json"
            hosts = [host_entry(f"e{i}", 1) for i in range(ENDPOINTS)]
            path.write_text(json.dumps(configuration(hosts, 1, listen="{}:{}".format(*unused_address()))))
            completed = subprocess.run(
                [sys.executable, "-c", MEASURE_PHASES],
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=True,
                env={**os.environ, "BALANCER_CONFIG": str(path)},
            )
            rows.append(json.loads(completed.stdout))
    return [median(column) for column in zip(*rows, strict=True)]


@click.command(help="Time until a started process is ready, by the state of discovery.")
@click.option("--starts", default=20, show_default=True, help="Number of starts per row.")
@click.option("--part", default=1 / 3, show_default="a third", help="Part of a core that the process may use.")
def main(starts: int, part: float) -> None:
    """Print the CPU times and the table."""
    print(
        "processor time, ms, median: "
        + ", ".join(f"{name} {cpu_ms:.0f}" for name, cpu_ms in zip(PHASES, measure_phases(starts), strict=True))
    )
    print("| discovery | ready and serving, s: median | most |\n|---|---|---|")
    for discovery_state in DISCOVERY_STATES:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            ready_s = [runner.run(measure_start(discovery_state, part)) for _ in range(starts)]
        print(f"| {discovery_state} | {median(ready_s):.2f} | {max(ready_s):.2f} |", flush=True)


if __name__ == "__main__":
    main()
