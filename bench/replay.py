"""Accuracy of a replay at 1,600 requests per second through the daemon, its highest rate, and the speed of parsing.

    python -m bench.replay [--seconds 60] [--skip-limits]

A log with bursts (0.5, 1 or 1.5 times the rate, changing every few seconds) is generated from a seed and replayed
with `--speed 4` through a daemon in rehearsal to stand-in endpoints that count effects.  What was sent is compared
with the plan: requests per second, the Kolmogorov-Smirnov distance of the intervals between requests, classes,
clients, and lateness.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import resource
import signal
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections import Counter
from itertools import pairwise
from pathlib import Path
from typing import Any, NamedTuple

from gateusher.load.entry import Faults
from gateusher.load.sources.files import Source
from gateusher.load.sources.order import Steps, ordered, spread

from .daemon import process_cpu_s, unused_port
from .daemon_log import check_log, log_path, start_daemon

LOG_FORMAT = 'nginx:$msec $remote_addr "$request" $status'
RULES = """identity = ["address"]
[classes.pallet-lookup]
effect = "safe"
aim = 0.5
deadline = 2.0
[classes.booking-update]
effect = "keyed"
aim = 0.5
deadline = 2.0
window = 4.0
[classes.consign-issue]
effect = "unsafe"
aim = 0.5
deadline = 2.0
[[rules]]
path = "/pallets/{sku}"
class = "pallet-lookup"
key = "{sku}"
[[rules]]
path = "/bookings"
class = "booking-update"
body = 400
[[rules]]
path = "/consign"
class = "consign-issue"
body = 200
"""
ENDPOINT = """
import asyncio, json, signal, sys
import uvloop
from gateusher.standins.nodes import Fleet, Node

async def main():
    fleet = Fleet()
    fleet.on_request = lambda rid, node, request: None    # keeps no bodies, to limit memory
    node = Node(fleet, sys.argv[1], work_s=float(sys.argv[2]), cores=16, max_queued=1000)
    await node.start()
    print(node.port, flush=True)
    terminated = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, terminated.set)
    await terminated.wait()
    print(json.dumps(fleet.effects), flush=True)

uvloop.run(main())
"""
SPEED = 4
RATE_PER_S = 400.0  # mean rate of the log, before `SPEED`
ENDPOINTS = 4
WORK_S = 0.002  # service time of an endpoint
DAEMON_START_S = 1.5

LIMIT_LOG_S, LIMIT_RATE_PER_S = 400.0, 100.0
LIMIT_SPEEDS = (20, 40, 60, 80, 120, 160, 240)
WORKER_COUNTS = (1, 4)

PARSED_LINES = 400_000
LINES_PER_S = 1000

BURST_FACTORS = (0.5, 1.0, 1.5)
MAX_REQUESTS_FACTOR = 2.2  # more requests than this multiple of the mean rate allows are not drawn
LOOKUPS_BELOW, BOOKINGS_BELOW = 0.62, 0.82  # limits of the uniform draw that chooses a kind of request
LOG_START_S = 1_770_703_200  # 2026-02-10T06:00:00Z


def write_log(path: Path, seconds: float, rate_per_s: float, seed: int = 1, clients: int = 400) -> int:
    """Write a log of this mean rate, with bursts and with clients of very different size; return its requests."""
    rng = random.Random(seed)
    weights = [1.0 / (i + 3) for i in range(clients)]
    client_of_request = rng.choices(range(clients), weights, k=int(seconds * rate_per_s * MAX_REQUESTS_FACTOR))
    at = burst_ends_at = 0.0
    factor, count = 1.0, 0
    with path.open("w") as out:
        while True:
            if at >= burst_ends_at:
                factor, burst_ends_at = rng.choice(BURST_FACTORS), burst_ends_at + rng.uniform(2, 12)
            at += rng.expovariate(rate_per_s * factor)
            if at >= seconds:
                return count
            request = draw_request(rng)
            client = client_of_request[count]
            out.write(f'{LOG_START_S + at:.6f} 10.0.{client // 250}.{client % 250} "{request} HTTP/1.1" 200\n')
            count += 1


def draw_request(rng: random.Random) -> str:
    """Draw the method and the target of a request."""
    draw = rng.random()
    if draw < LOOKUPS_BELOW:
        return f"GET /pallets/{rng.randrange(9999)}"
    return "PUT /bookings" if draw < BOOKINGS_BELOW else "POST /consign"


class Endpoints:
    """Stand-in endpoints in separate processes."""

    def __init__(self, count: int, work_s: float) -> None:
        self.processes = [
            subprocess.Popen(
                [sys.executable, "-c", ENDPOINT, f"n{i}", str(work_s)], stdout=subprocess.PIPE, text=True
            )
            for i in range(count)
        ]
        self.ports = [int(p.stdout.readline()) for p in self.processes if p.stdout]

    def close(self) -> Counter[str]:
        """End the processes and return the number of effects by request id."""
        effects: Counter[str] = Counter()
        for process in self.processes:
            process.terminate()
            output, _ = process.communicate()
            effects.update(json.loads(output))
        return effects


class Daemon:
    """A daemon in rehearsal, in front of these endpoints."""

    def __init__(self, folder: Path, endpoint_ports: list[int]) -> None:
        self.port = unused_port()
        nodes = "".join(
            f'[[nodes]]\nname = "n{i}"\naddress = "127.0.0.1:{port}"\n' for i, port in enumerate(endpoint_ports)
        )
        classes = RULES[RULES.index("[classes") : RULES.index("[[rules]]")]
        (folder / "daemon.toml").write_text(
            f'listen = "127.0.0.1:{self.port}"\nreports = ["queue"]\n{nodes}{classes}\n[limits]\nsockets = 4096\n'
            "[rehearsal]\n"
        )
        self.log = log_path(folder / "daemon.toml")
        self.process = start_daemon(folder / "daemon.toml")
        time.sleep(DAEMON_START_S)

    def cpu_s(self) -> float:
        """Return the CPU time that the kernel charged to the process, in seconds."""
        return process_cpu_s(self.process.pid)

    def close(self) -> None:
        """Stop the daemon and wait for its end."""
        self.process.send_signal(signal.SIGTERM)
        self.process.wait()
        check_log(self.log.read_text())


class Replay(NamedTuple):
    """A finished replay: its report, and the CPU time of its reader and workers."""

    report: dict[str, Any]
    cpu_s: float


def replay(folder: Path, log: Path, port: int, *options: str) -> Replay:
    """Replay a log to this port."""
    (folder / "replay.toml").write_text(RULES)
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    command = [sys.executable, "-m", "gateusher", "replay", str(log), "--target", f"127.0.0.1:{port}"]
    command += ["--rules", str(folder / "replay.toml"), "--format", LOG_FORMAT, "--report", str(folder / "out")]
    completed = subprocess.run([*command, *options], stderr=subprocess.PIPE, text=True, check=False)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    if completed.returncode == 2:
        raise SystemExit(completed.stderr)
    cpu_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    return Replay(json.loads((folder / "out" / "report.json").read_text()), cpu_s)


def kolmogorov_smirnov_distance(a: list[float], b: list[float]) -> float:
    """Return the Kolmogorov-Smirnov distance of two samples."""
    a, b = sorted(a), sorted(b)
    i = j = 0
    distance = 0.0
    while i < len(a) and j < len(b):
        if a[i] <= b[j]:
            i += 1
        else:
            j += 1
        distance = max(distance, abs(i / len(a) - j / len(b)))
    return distance


def print_accuracy(folder: Path, seconds: float) -> None:
    """Compare the times of the requests in the trace with the plan."""
    rows = [json.loads(line) for path in (folder / "out").glob("sends-*.jsonl") for line in path.open()]
    planned = sorted(row[1] for row in rows)
    sent = sorted(row[2] for row in rows if row[2] is not None)
    planned_in_second, sent_in_second = (Counter(int(at) for at in times) for times in (planned, sent))
    max_deviation = max(
        abs(sent_in_second[second] - planned_in_second[second]) / planned_in_second[second]
        for second in range(1, int(seconds) - 1)  # the first and the last second may be incomplete
    )
    intervals = [[b - a for a, b in pairwise(times)] for times in (planned, sent)]
    print(
        f"counts by second: at most {100 * max_deviation:.2f}% off the plan; "
        f"Kolmogorov-Smirnov {kolmogorov_smirnov_distance(*intervals):.4f}"
    )


def measure_replay_through_daemon(folder: Path, seconds: float, workers: int) -> None:
    """Replay a log through the daemon and print how the replay differs from the plan, its effects and its cost."""
    for old_trace in (folder / "out").glob("sends-*"):
        old_trace.unlink()
    log = folder / "a.log"
    count = write_log(log, seconds * SPEED, RATE_PER_S)
    endpoints = Endpoints(ENDPOINTS, WORK_S)
    daemon = Daemon(folder, endpoints.ports)
    try:
        before_s = daemon.cpu_s()
        report, sender_cpu_s = replay(
            folder, log, daemon.port, "--speed", str(SPEED), "--trace", "--workers", str(workers)
        )
        daemon_cpu_s = daemon.cpu_s() - before_s
    finally:
        daemon.close()
        effects = endpoints.close()
    results = report["results"]
    repeated = [request_id for request_id, executions in effects.items() if executions > 1]
    print(
        f"{workers} workers: {count} requests planned, {results['sent']} sent, "
        f"{results['outcomes']['served']} served; {count / seconds:.0f} a second for {seconds:g} s"
    )
    print_accuracy(folder, seconds)
    print("lateness, ms: " + ", ".join(f"{k} {v:.2f}" for k, v in results["lateness_ms"].items()))
    classes = {name: c["requests"] for name, c in results["classes"].items()}
    print(f"classes {classes}, as read {report['read']['classes']}; clients {results['clients']}")
    print(f"effects: {sum(effects.values())} of {len(effects)} ids, {len(repeated)} ids more than once")
    print(
        f"CPU: sender {sender_cpu_s / count * 1e6:.0f} us a request with reading and start, daemon "
        f"{daemon_cpu_s / count * 1e6:.0f} us; latency p99 by class "
        f"{ ({name: c['latency_ms'].get('p99') for name, c in results['classes'].items()}) }"
    )


def measure_limits(folder: Path) -> None:
    """Replay at increasing rates to an endpoint without a daemon, until the sender falls behind its plan."""
    log = folder / "limit.log"
    write_log(log, LIMIT_LOG_S, LIMIT_RATE_PER_S)
    for workers in WORKER_COUNTS:
        for speed in LIMIT_SPEEDS:
            endpoints = Endpoints(1, 0.0)
            try:
                report, cpu_s = replay(
                    folder, log, endpoints.ports[0], "--speed", str(speed), "--workers", str(workers)
                )
            finally:
                endpoints.close()
            results = report["results"]
            lateness = results["lateness_ms"]
            print(
                f"{workers} workers, {results['requests'] * speed / LIMIT_LOG_S:.0f} a second: lateness p99 "
                f"{lateness['p99']:.2f} ms, latest {lateness['max']:.0f} ms, "
                f"{cpu_s / results['requests'] * 1e6:.0f} us of "
                f"CPU a request{' - fell behind' if results['fell_behind'] else ''}",
                flush=True,
            )
            if results["fell_behind"]:
                break


def write_combined_log(path: Path) -> None:
    """Write a combined log of several clients, with times in whole seconds."""
    rng = random.Random(1)
    with path.open("w") as out:
        for i in range(PARSED_LINES):
            s = i // LINES_PER_S
            out.write(
                f"10.{rng.randrange(256)}.{rng.randrange(256)}.7 - - [10/Feb/2026:{9 + s // 3600:02d}:"
                f'{s // 60 % 60:02d}:{s % 60:02d} +0800] "GET /pallets/SKU-{rng.randrange(99999)}?depot=tpe '
                f'HTTP/1.1" 200 {rng.randrange(9000)} "https://app.example/x" "Mozilla/5.0 (Linux; Android '
                '14) AppleWebKit/537.36 Chrome/120"\n'
            )


def count_in_order(source: Source) -> int:
    """Read a source as a replay does, spread within its seconds and in order, and return the number of entries."""
    steps = Steps()
    return sum(1 for _ in ordered(spread(source.entries(Faults()), 1, source.at_end, steps), steps))


def measure_parsing(folder: Path) -> None:
    """Print how fast a log is parsed and put in order, and the memory that this takes."""
    path = folder / "parse.log"
    write_combined_log(path)
    source = Source(path)
    began = time.perf_counter()
    count = sum(1 for _ in source.entries(Faults()))
    parsed_s = time.perf_counter() - began
    began = time.perf_counter()
    count_in_order(source)
    in_order_s = time.perf_counter() - began
    tracemalloc.start()
    count_in_order(source)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(
        f"parsing: {count / parsed_s:.0f} combined lines a second, {count / in_order_s:.0f} spread and in order, "
        f"at most {peak_bytes / 1e6:.0f} MB held"
    )


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(prog="bench.replay")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--skip-limits", action="store_true")
    args = parser.parse_args()
    os.chdir(Path(__file__).parents[1])
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        measure_parsing(folder)
        for workers in WORKER_COUNTS:
            measure_replay_through_daemon(folder, args.seconds, workers)
        if not args.skip_limits:
            measure_limits(folder)


if __name__ == "__main__":
    main()
