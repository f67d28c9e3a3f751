"""Endpoints in a process of their own, so that what they receive delays nothing that a test measures.

`python -m tests.standing.endpoints COUNT` prints their ports and serves until the process that started it has ended.
"""

import asyncio
import os
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import uvloop

from ..helpers import ROOT
from ..net import read_message

LONG_ANSWER_BYTES = 8 << 20
ENDLESS_HEAD_BYTES = 64 << 20
LONG_TRAILER_BYTES = 60_000
PARENT_CHECK_INTERVAL_S = 0.5


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer as an endpoint: with a long body, or fields that do not end, where the id asks for it."""
    try:
        while True:
            head, _ = await read_message(reader)
            if b"X-Request-Id: endless-head" in head:
                await _write_endless_head(writer)
                return
            if b"X-Request-Id: long-trailer" in head:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n")
                writer.write(b"X-Long: " + b"x" * LONG_TRAILER_BYTES)
                await reader.read()
                return
            if b"X-Request-Id: long" not in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_ANSWER_BYTES)
            for _ in range(LONG_ANSWER_BYTES >> 16):
                writer.write(bytes(1 << 16))
                await writer.drain()
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, asyncio.CancelledError):
        writer.close()


async def _write_endless_head(writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nX-Long: ")
    for _ in range(ENDLESS_HEAD_BYTES >> 16):
        writer.write(b"x" * (1 << 16))
        await writer.drain()
    writer.close()


async def _serve_all(count: int) -> None:
    parent_pid = os.getppid()
    servers = [await asyncio.start_server(serve, "127.0.0.1", 0) for _ in range(count)]
    print(*(server.sockets[0].getsockname()[1] for server in servers), flush=True)
    while os.getppid() == parent_pid:
        await asyncio.sleep(PARENT_CHECK_INTERVAL_S)


@asynccontextmanager
async def run_endpoints(processes: int, count: int) -> AsyncIterator[list[int]]:
    """Run `count` endpoints in each of some processes, and return their ports."""
    running = [
        await asyncio.create_subprocess_exec(
            sys.executable, "-m", "tests.standing.endpoints", str(count), cwd=ROOT, stdout=asyncio.subprocess.PIPE
        )
        for _ in range(processes)
    ]
    try:
        ports = list[int]()
        for process in running:
            assert process.stdout
            ports += map(int, (await process.stdout.readline()).split())
        yield ports
    finally:
        for process in running:
            process.kill()
        for process in running:
            await process.wait()


if __name__ == "__main__":
    uvloop.run(_serve_all(int(sys.argv[1])))
