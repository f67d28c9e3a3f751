"""What a request costs the daemon: small ones beside another checkout, long answers and long bodies beside none.

    python -m bench.daemon [--beside CHECKOUT] [--rounds R] [--requests N]

One node in a process of its own answers at once.  CPU is what the kernel charged to the daemon's process between the
first request and the last.  Rounds are interleaved and medians taken, so only ratios within one run mean anything;
long ones are told per MiB, with the node alone beside them, and the daemon's peak of memory.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from .daemon_log import check_log, log_path, start_daemon

HERE = Path(__file__).parents[1]
CLASSES = """[classes.look]
effect = "safe"
aim = 30.0
deadline = 60.0

[classes.put]
effect = "unsafe"
aim = 30.0
deadline = 60.0
"""
LONG = 4 << 20

NODE = f"""
import asyncio, sys
LONG = bytes({LONG})

async def serve(reader, writer):
    try:
        while True:
            head = await reader.readuntil(b"\\r\\n\\r\\n")
            length = [int(x.split(b":")[1]) for x in head.split(b"\\r\\n") if x.lower().startswith(b"content-length")]
            left = length[0] if length else 0
            while left:
                left -= len(await reader.read(min(left, 1 << 18)))
            body = LONG if b"long" in head.split(b"\\r\\n")[0] else b"k" * 64
            writer.writelines([b"HTTP/1.1 200 OK\\r\\nContent-Length: %d\\r\\n\\r\\n" % len(body), body])
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()

async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1 << 20)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()

import uvloop
uvloop.run(main())
"""


class Daemon:
    """One checkout's daemon, until `close`."""

    def __init__(self, tree: Path, node: int, folder: str, number: int) -> None:
        self.port = _free()
        path = Path(folder, f"{number}.toml")
        path.write_text(
            f'listen = "127.0.0.1:{self.port}"\n[[nodes]]\nname = "n"\naddress = "127.0.0.1:{node}"\n{CLASSES}'
        )
        self.log = log_path(path)
        self.process = start_daemon(path, tree)

    def cpu(self) -> float:
        """Seconds that the kernel charged to it."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e9

    def peak_mb(self) -> float:
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(text.partition("VmHWM:")[2].split()[0]) / 1024

    def close(self) -> None:
        self.process.kill()
        self.process.wait()
        check_log(self.log.read_text())


def _free() -> int:
    import socket  # noqa: PLC0415

    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


async def up(port: int) -> None:
    for _ in range(400):
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
            return
        except OSError:
            await asyncio.sleep(0.02)
    raise SystemExit("the daemon does not come up")


async def play(port: int, kind: str, count: int, lanes: int) -> float:
    """Seconds for so many requests, `lanes` at a time, each on a connection that is kept."""
    body = bytes(LONG) if kind == "body" else b""
    path = {"small": "GET /look", "answer": "GET /look/long", "body": "POST /put"}[kind]

    async def lane(first: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
        for n in range(first, count, lanes):
            length = f"Content-Length: {len(body)}\r\n" if body else ""
            writer.writelines(
                [
                    f"{path} HTTP/1.1\r\nHost: o\r\nX-Request-Id: {kind}{n}\r\nX-Deadline: 60\r\n{length}"
                    "\r\n".encode(),
                    body,
                ]
            )
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            if b" 200 " not in head[:16]:
                raise SystemExit(f"{kind}: {head!r}")
            (left,) = [int(x.split(b":")[1]) for x in head.lower().split(b"\r\n") if x.startswith(b"content-length")]
            while left:
                left -= len(await reader.read(min(left, 1 << 18)))
        writer.close()

    began = time.monotonic()
    await asyncio.gather(*(lane(n) for n in range(lanes)))
    return time.monotonic() - began


async def main(args: argparse.Namespace) -> None:
    node = subprocess.Popen([sys.executable, "-c", NODE], stdout=subprocess.PIPE)
    assert node.stdout
    port = int(node.stdout.readline())
    trees = {"here": HERE} | ({"beside": Path(args.beside).resolve()} if args.beside else {})
    with tempfile.TemporaryDirectory() as folder:
        daemons = {name: Daemon(tree, port, folder, n) for n, (name, tree) in enumerate(trees.items())}
        try:
            small: dict[str, list[float]] = {name: [] for name in trees}
            for daemon in daemons.values():
                await up(daemon.port)
                await play(daemon.port, "small", 500, 32)
            for turn in range(args.rounds):
                for name in sorted(daemons, reverse=bool(turn % 2)):
                    before = daemons[name].cpu()
                    await play(daemons[name].port, "small", args.requests, 32)
                    small[name].append((daemons[name].cpu() - before) / args.requests * 1e6)
            for name, found in small.items():
                print(
                    f"small, {name}: {statistics.median(found):.1f} us of CPU a request "
                    f"({min(found):.1f} to {max(found):.1f})"
                )
            if args.beside:
                ratio = statistics.median(small["here"]) / statistics.median(small["beside"])
                print(f"small, here over beside: {ratio:.3f}")
            daemon, count = daemons["here"], 64
            for kind in ("answer", "body"):
                alone = await play(port, kind, count, 4)
                before = daemon.cpu()
                through = await play(daemon.port, kind, count, 4)
                mib = count * LONG / (1 << 20)
                print(
                    f"{kind} of 4 MiB: {(daemon.cpu() - before) / mib * 1000:.2f} ms of CPU a MiB, "
                    f"{mib / through:.0f} MiB a second, {through / alone:.2f} times as long as without it, "
                    f"peak {daemon.peak_mb():.0f} MB"
                )
        finally:
            for daemon in daemons.values():
                daemon.close()
            node.kill()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(prog="bench.daemon")
    parser.add_argument("--beside", help="another checkout, measured in turn with this one")
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--requests", type=int, default=4000)
    asyncio.run(main(parser.parse_args()))
