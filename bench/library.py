"""What a request costs through the library, beside plain aiohttp, plain httpx, and the daemon with a client.

    python -m bench.library [--requests N] [--concurrency C] [--rounds R] [--loop uvloop|asyncio] [--profile]

One stand-in node in a process of its own answers at once; each way in turn sends the same requests in a closed
loop from a new process.  CPU is what the kernel charged to that process (and the daemon's, where one is used)
between the first request and the last; the node's is not counted.  Rounds are interleaved and medians taken.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from .daemon_log import check_log, log_path, start_daemon

WARM = 200
LOOK = '[classes.look]\neffect = "safe"\naim = 2.0\ndeadline = 5.0\n'


def toml(node: int, listen: str = "") -> str:
    return f'{listen}[[nodes]]\nname = "n"\naddress = "127.0.0.1:{node}"\n{LOOK}'


Ask = Callable[[str], Awaitable[bytes]]


async def way(name: str, port: int, folder: str, done: asyncio.Event) -> Ask:
    """How each way asks; what it opens stays open until `done`."""
    url = f"http://127.0.0.1:{port}/look"
    if name in ("aiohttp", "daemon"):
        import aiohttp  # noqa: PLC0415 - each process holds only what it measures

        session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

        async def by_aiohttp(rid: str) -> bytes:
            async with session.get(url, headers={"X-Request-Id": rid, "X-Deadline": "5.0"}) as response:
                return await response.read()

        return by_aiohttp
    import gateusher  # noqa: PLC0415

    if name == "httpx":
        import httpx  # noqa: PLC0415

        plain = httpx.AsyncClient(limits=httpx.Limits(max_connections=None))

        async def by_httpx(rid: str) -> bytes:
            return (await plain.get(url, headers={"X-Request-Id": rid})).content

        return by_httpx
    path = Path(folder, f"{name}.toml")
    path.write_text(toml(port))
    gateway = gateusher.Gateway.from_config(str(path))
    await gateway.start()
    if name == "library":

        async def by_library(rid: str) -> bytes:
            return (await gateway.request("look", request_id=rid)).body

        return by_library
    import httpx  # noqa: PLC0415

    from gateusher.httpx import GatewayTransport  # noqa: PLC0415

    client = httpx.AsyncClient(transport=GatewayTransport(gateway))

    async def by_transport(rid: str) -> bytes:
        return (await client.get(url, headers={"X-Request-Id": rid})).content

    return by_transport


def cpu() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


async def measure(name: str, port: int, count: int, concurrency: int, folder: str) -> dict[str, float]:
    ask = await way(name, port, folder, asyncio.Event())
    taken: list[float] = []
    left = iter(range(WARM + count))
    began: list[float] = []

    async def worker() -> None:
        for n in left:
            if n == WARM:
                began.extend((cpu(), time.perf_counter()))
            start = time.perf_counter()
            body = await ask(f"r{n}")
            taken.append(time.perf_counter() - start)
            assert body == b"r%d" % n

    await asyncio.gather(*(worker() for _ in range(concurrency)))
    used, wall = cpu() - began[0], time.perf_counter() - began[1]
    cuts = statistics.quantiles(taken[WARM:], n=100)
    return {
        "cpu_us": used / count * 1e6,
        "p50_ms": cuts[49] * 1e3,
        "p99_ms": cuts[98] * 1e3,
        "rate": count / wall,
        "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
    }


def run_on(loop: str, work: Any) -> Any:
    if loop == "uvloop":
        import uvloop  # noqa: PLC0415

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(work)
    return asyncio.run(work)


async def serve() -> None:
    """The node, until its input ends."""
    from gateusher.standins.nodes import Fleet, Node  # noqa: PLC0415

    class Plain(Fleet):
        def on_request(self, rid: str, node: str, asked: Any) -> None:
            """Nothing is kept: a bench's node must not grow."""

        def record_effect(self, rid: str, node: str, zone: str, asked: Any, now: float) -> None: ...

    node = Node(Plain(), "n")
    await node.start()
    print(node.port, flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


def daemon_cpu(pid: int) -> tuple[float, float]:
    """CPU seconds and peak memory in MB of another process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    peak = next(line for line in Path(f"/proc/{pid}/status").read_text().splitlines() if line.startswith("VmHWM"))
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"), int(peak.split()[1]) / 1024


class Bench:
    def __init__(self, args: argparse.Namespace, folder: str) -> None:
        self.args, self.folder = args, folder
        self.node = subprocess.Popen(
            [sys.executable, "-m", "bench.library", "--as-node"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.node.stdout
        self.port = int(self.node.stdout.readline())

    def one(self, name: str) -> dict[str, float]:
        port, daemon = self.port, None
        if name == "daemon":
            port, daemon = self._daemon()
        try:
            before = daemon_cpu(daemon.pid)[0] if daemon else 0.0
            words = [
                sys.executable,
                "-m",
                "bench.library",
                "--as-way",
                name,
                "--port",
                str(port),
                "--folder",
                self.folder,
                "--requests",
                str(self.args.requests),
                "--concurrency",
                str(self.args.concurrency),
                "--loop",
                self.args.loop,
            ]
            done = subprocess.run(words, check=True, capture_output=True, text=True)
            check_log(done.stderr)
            found: dict[str, float] = json.loads(done.stdout)
            if daemon:
                after, peak = daemon_cpu(daemon.pid)
                found["daemon_cpu_us"] = (after - before) / (self.args.requests + WARM) * 1e6
                found["client_cpu_us"] = found["cpu_us"]
                found["cpu_us"] += found["daemon_cpu_us"]
                found["memory_mb"] += peak
            return found
        finally:
            if daemon:
                daemon.terminate()
                daemon.wait()
                check_log(log_path(self._daemon_config).read_text())

    @property
    def _daemon_config(self) -> Path:
        return Path(self.folder, "daemon.toml")

    def _daemon(self) -> tuple[int, subprocess.Popen[bytes]]:
        import socket  # noqa: PLC0415

        with socket.create_server(("127.0.0.1", 0)) as place:
            port = place.getsockname()[1]
        path = self._daemon_config
        path.write_text(toml(self.port, f'listen = "127.0.0.1:{port}"\n'))
        process = start_daemon(path)
        while True:
            try:
                socket.create_connection(("127.0.0.1", port)).close()
                return port, process
            except OSError:
                time.sleep(0.01)

    def close(self) -> None:
        assert self.node.stdin
        self.node.stdin.close()
        self.node.wait()


WAYS = ("aiohttp", "library", "httpx", "transport", "daemon")
TITLES = {
    "aiohttp": "plain aiohttp",
    "library": "the library",
    "httpx": "plain httpx",
    "transport": "httpx on the library",
    "daemon": "aiohttp and the daemon",
}


def profile(args: argparse.Namespace) -> None:
    """Where the library's CPU goes, by function."""
    import cProfile  # noqa: PLC0415
    import pstats  # noqa: PLC0415

    with tempfile.TemporaryDirectory() as folder:
        bench = Bench(args, folder)
        profiler = cProfile.Profile()
        profiler.enable()
        run_on(args.loop, measure("library", bench.port, args.requests, args.concurrency, folder))
        profiler.disable()
        bench.close()
        pstats.Stats(profiler).sort_stats("tottime").print_stats(30)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--requests", type=int, default=8000)
    parser.add_argument("--concurrency", type=int, default=16)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--loop", choices=("uvloop", "asyncio"), default="uvloop")
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--as-node", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("--as-way", help=argparse.SUPPRESS)
    parser.add_argument("--port", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--folder", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.as_node:
        run_on("uvloop", serve())
        return
    if args.as_way:
        print(
            json.dumps(
                run_on(args.loop, measure(args.as_way, args.port, args.requests, args.concurrency, args.folder))
            )
        )
        return
    if args.profile:
        profile(args)
        return
    with tempfile.TemporaryDirectory() as folder:
        bench = Bench(args, folder)
        rounds = [{name: bench.one(name) for name in WAYS} for _ in range(args.rounds)]
        bench.close()
    print(f"{args.requests} requests, {args.concurrency} at a time, {args.loop}, median of {args.rounds} rounds")
    print(f"{'':24}{'CPU us':>8}{'p50 ms':>8}{'p99 ms':>8}{'MB':>7}{'a second':>10}{'CPU / aiohttp':>15}")
    middle = {n: {k: statistics.median(r[n][k] for r in rounds) for k in rounds[0][n]} for n in WAYS}
    for name in WAYS:
        m = middle[name]
        ratio = statistics.median(r[name]["cpu_us"] / r["aiohttp"]["cpu_us"] for r in rounds)
        print(
            f"{TITLES[name]:24}{m['cpu_us']:8.1f}{m['p50_ms']:8.2f}{m['p99_ms']:8.2f}{m['memory_mb']:7.1f}"
            f"{m['rate']:10.0f}{ratio:15.2f}"
        )
    half = statistics.median(r["library"]["cpu_us"] / r["daemon"]["cpu_us"] for r in rounds)
    print(f"library / (daemon + client): {half:.2f} (the daemon alone {middle['daemon']['daemon_cpu_us']:.1f} us)")
    own = statistics.median(r["transport"]["cpu_us"] / r["httpx"]["cpu_us"] for r in rounds)
    print(f"httpx on the library / plain httpx: {own:.2f}")


if __name__ == "__main__":
    main()
