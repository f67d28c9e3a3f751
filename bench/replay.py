"""A replay against its plan: through the daemon at 1,600 requests a second, how far one core goes, and parsing.

    python -m bench.replay [--seconds 60] [--skip-limits]

A log of bursts (rate times 0.5, 1 or 1.5, changing every few seconds) is made from a seed, played at `--speed 4`
through a daemon in rehearsal to stand-in nodes that count effects, and what was sent is held against the plan: counts
by second, the Kolmogorov-Smirnov distance of the times between sends, classes, clients, lateness.
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
from typing import Any

from gateusher.load.entry import Faults
from gateusher.load.sources.files import Source
from gateusher.load.sources.order import Steps, ordered, spread

from .daemon import _free
from .daemon_log import check_log, log_path, start_daemon

FORM = 'nginx:$msec $remote_addr "$request" $status'
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
NODE = """
import asyncio, json, signal, sys
import uvloop
from gateusher.standins.nodes import Fleet, Node

async def main():
    fleet = Fleet()
    fleet.on_request = lambda rid, node, request: None    # memory: the bodies of a minute are not kept
    node = Node(fleet, sys.argv[1], work_s=float(sys.argv[2]), cores=16, max_queued=1000)
    await node.start()
    print(node.port, flush=True)
    over = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, over.set)
    await over.wait()
    print(json.dumps(fleet.effects), flush=True)

uvloop.run(main())
"""


def write_log(path: Path, seconds: float, rate: float, seed: int = 1, clients: int = 400) -> int:
    """Requests of that mean rate, in bursts, of clients of very different size."""
    rng = random.Random(seed)
    weights = [1.0 / (i + 3) for i in range(clients)]
    who = rng.choices(range(clients), weights, k=int(seconds * rate * 2.2))
    at = until = 0.0
    factor, count = 1.0, 0
    with path.open("w") as out:
        while True:
            if at >= until:
                factor, until = rng.choice((0.5, 1.0, 1.5)), until + rng.uniform(2, 12)
            at += rng.expovariate(rate * factor)
            if at >= seconds:
                return count
            draw = rng.random()
            what = (
                f"GET /pallets/{rng.randrange(9999)}"
                if draw < 0.62
                else "PUT /bookings"
                if draw < 0.82
                else "POST /consign"
            )
            i = who[count]
            out.write(f'{1_770_703_200 + at:.6f} 10.0.{i // 250}.{i % 250} "{what} HTTP/1.1" 200\n')
            count += 1


class Nodes:
    """Stand-in nodes in processes of their own."""

    def __init__(self, count: int, work: float) -> None:
        self.processes = [
            subprocess.Popen([sys.executable, "-c", NODE, f"n{i}", str(work)], stdout=subprocess.PIPE, text=True)
            for i in range(count)
        ]
        self.ports = [int(p.stdout.readline()) for p in self.processes if p.stdout]

    def effects(self) -> Counter[str]:
        """End them; what took effect, by id."""
        total: Counter[str] = Counter()
        for process in self.processes:
            process.terminate()
            out, _ = process.communicate()
            total.update(json.loads(out))
        return total


class Daemon:
    """One in rehearsal, in front of these nodes."""

    def __init__(self, folder: Path, ports: list[int]) -> None:
        self.port = _free()
        nodes = "".join(f'[[nodes]]\nname = "n{i}"\naddress = "127.0.0.1:{p}"\n' for i, p in enumerate(ports))
        classes = RULES[RULES.index("[classes") : RULES.index("[[rules]]")]
        (folder / "daemon.toml").write_text(
            f'listen = "127.0.0.1:{self.port}"\nreports = ["queue"]\n{nodes}{classes}\n[limits]\nsockets = 4096\n'
            "[rehearsal]\n"
        )
        self.log = log_path(folder / "daemon.toml")
        self.process = start_daemon(folder / "daemon.toml")
        time.sleep(1.5)

    def cpu(self) -> float:
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e9

    def close(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        self.process.wait()
        check_log(self.log.read_text())


def replay(folder: Path, log: Path, port: int, *more: str) -> tuple[dict[str, Any], float]:
    """Play a log; its report, and the CPU seconds of reader and workers."""
    (folder / "replay.toml").write_text(RULES)
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "gateusher",
            "replay",
            str(log),
            "--target",
            f"127.0.0.1:{port}",
            "--rules",
            str(folder / "replay.toml"),
            "--format",
            FORM,
            "--report",
            str(folder / "out"),
            *more,
        ],
        stderr=subprocess.PIPE,
        text=True,
        check=False,
    )
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    if done.returncode == 2:
        raise SystemExit(done.stderr)
    cpu = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    return json.loads((folder / "out" / "report.json").read_text()), cpu


def ks(a: list[float], b: list[float]) -> float:
    """The Kolmogorov-Smirnov distance of two samples."""
    a, b = sorted(a), sorted(b)
    i = j = 0
    worst = 0.0
    while i < len(a) and j < len(b):
        if a[i] <= b[j]:
            i += 1
        else:
            j += 1
        worst = max(worst, abs(i / len(a) - j / len(b)))
    return worst


def through_the_daemon(folder: Path, seconds: float, workers: int) -> None:
    for old in (folder / "out").glob("sends-*"):
        old.unlink()
    log = folder / "a.log"
    count = write_log(log, seconds * 4, 400.0)
    nodes = Nodes(4, 0.002)
    daemon = Daemon(folder, nodes.ports)
    try:
        before = daemon.cpu()
        data, cpu = replay(folder, log, daemon.port, "--speed", "4", "--trace", "--workers", str(workers))
        daemon_cpu = daemon.cpu() - before
    finally:
        daemon.close()
        effects = nodes.effects()
    rows = [json.loads(line) for path in (folder / "out").glob("sends-*.jsonl") for line in path.open()]
    planned = sorted(row[1] for row in rows)
    sent = sorted(row[2] for row in rows if row[2] is not None)
    by_second = [Counter(int(t) for t in times) for times in (planned, sent)]
    full = range(1, int(seconds) - 1)
    worst = max(abs(by_second[1][s] - by_second[0][s]) / by_second[0][s] for s in full)
    gaps = [[b - a for a, b in pairwise(times)] for times in (planned, sent)]
    results = data["results"]
    issues = {k: v for k, v in effects.items() if v > 1}
    print(
        f"{workers} workers: {count} requests planned, {results['sent']} sent, "
        f"{results['outcomes']['served']} served; {count / seconds:.0f} a second for {seconds:g} s"
    )
    print(f"counts by second: at most {100 * worst:.2f}% off the plan; Kolmogorov-Smirnov {ks(*gaps):.4f}")
    print("lateness, ms: " + ", ".join(f"{k} {v:.2f}" for k, v in results["lateness_ms"].items()))
    classes = {name: c["requests"] for name, c in results["classes"].items()}
    print(f"classes {classes}, as read {data['read']['classes']}; clients {results['clients']}")
    print(f"effects: {sum(effects.values())} of {len(effects)} ids, {len(issues)} ids more than once")
    print(
        f"CPU: sender {cpu / count * 1e6:.0f} us a request with reading and start, daemon "
        f"{daemon_cpu / count * 1e6:.0f} us; latency p99 by class "
        f"{ ({n: c['latency_ms'].get('p99') for n, c in results['classes'].items()}) }"
    )


def limits(folder: Path) -> None:
    """How fast a log goes before the sender falls behind, with one worker and four, to nodes without a daemon."""
    log = folder / "limit.log"
    write_log(log, 400.0, 100.0)
    for workers in (1, 4):
        for speed in (20, 40, 60, 80, 120, 160, 240):
            nodes = Nodes(1, 0.0)
            try:
                data, cpu = replay(folder, log, nodes.ports[0], "--speed", str(speed), "--workers", str(workers))
            finally:
                nodes.effects()
            results = data["results"]
            late = results["lateness_ms"]
            print(
                f"{workers} workers, {results['requests'] * speed / 400:.0f} a second: lateness p99 "
                f"{late['p99']:.2f} ms, latest {late['max']:.0f} ms, {cpu / results['requests'] * 1e6:.0f} us of "
                f"CPU a request{' - fell behind' if results['fell_behind'] else ''}",
                flush=True,
            )
            if results["fell_behind"]:
                break


def parsing(folder: Path) -> None:
    path = folder / "parse.log"
    rng = random.Random(1)
    with path.open("w") as out:
        for i in range(400_000):
            s = i // 1000
            out.write(
                f"10.{rng.randrange(256)}.{rng.randrange(256)}.7 - - [10/Feb/2026:{9 + s // 3600:02d}:"
                f'{s // 60 % 60:02d}:{s % 60:02d} +0800] "GET /pallets/SKU-{rng.randrange(99999)}?depot=tpe '
                f'HTTP/1.1" 200 {rng.randrange(9000)} "https://app.example/x" "Mozilla/5.0 (Linux; Android '
                '14) AppleWebKit/537.36 Chrome/120"\n'
            )
    source = Source(path)
    began = time.perf_counter()
    count = sum(1 for _ in source.entries(Faults()))
    parsed = time.perf_counter() - began
    began = time.perf_counter()
    steps = Steps()
    sum(1 for _ in ordered(spread(source.entries(Faults()), 1, source.at_end, steps), steps))
    in_order = time.perf_counter() - began
    tracemalloc.start()
    sum(1 for _ in ordered(spread(source.entries(Faults()), 1, source.at_end, steps), steps))
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(
        f"parsing: {count / parsed:.0f} combined lines a second, {count / in_order:.0f} spread and in order, "
        f"at most {peak / 1e6:.0f} MB held"
    )


def main() -> None:
    parser = argparse.ArgumentParser(prog="bench.replay")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--skip-limits", action="store_true")
    args = parser.parse_args()
    os.chdir(Path(__file__).parents[1])
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        parsing(folder)
        for workers in (1, 4):
            through_the_daemon(folder, args.seconds, workers)
        if not args.skip_limits:
            limits(folder)


if __name__ == "__main__":
    main()
