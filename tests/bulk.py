"""Long bodies: an endpoint that reads them, requests that carry them, reads of long responses."""

import asyncio
import hashlib
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from .helpers import HANG_TIMEOUT_S
from .net import (
    Reader,
    RunningSidecar,
    Writer,
    at_most_once_request,
    idempotent_request,
    run_sidecar,
)


async def read_response(reader: Reader) -> tuple[bytes, bytes, bool]:
    """Return head and body of a response in any framing, and whether it was complete."""
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), HANG_TIMEOUT_S)
    lower, body = head.lower(), bytearray()
    try:
        if b"transfer-encoding: chunked" in lower:
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await reader.readexactly(size + 2)
                del body[-2:]
            assert await reader.readline() == b"\r\n"
        elif b"content-length" in lower:
            (line,) = [part for part in lower.split(b"\r\n") if part.startswith(b"content-length")]
            body += await reader.readexactly(int(line.split(b":")[1]))
        else:
            body += await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return head, bytes(body), False
    return head, bytes(body), True


async def wait_until_finished(r: RunningSidecar) -> None:
    """Wait until no request is open and no memory is reserved."""
    async with asyncio.timeout(HANG_TIMEOUT_S):
        while r.sidecar.engine.requests or r.sidecar.node.memory.in_use:
            await asyncio.sleep(0.005)


PART_BYTES = 50001
PAUSE_AFTER_BYTES = 6 * PART_BYTES


class UploadEndpoint:
    """An endpoint that reads requests with bodies, and does with each what its script says."""

    def __init__(self, *script: str, receive_buffer_bytes: int = 0) -> None:
        self.script = list(script)
        self.receive_buffer_bytes = receive_buffer_bytes  # 0 for the kernel's default
        self.complete_bodies: list[tuple[int, bytes]] = []  # size and digest
        self.begun = asyncio.Event()
        self.broken = asyncio.Event()
        self.may_read = asyncio.Event()
        self.paused = asyncio.Event()
        self.heads: list[bytes] = []

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 16)
        if self.receive_buffer_bytes:
            (listening,) = self.server.sockets
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer_bytes)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(head)
                self.begun.set()
                action = self.script.pop(0) if self.script else "serve"
                if action == "reject head":
                    writer.write(b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
                    await reader.read()
                    return
                if action == "read nothing":
                    await self.may_read.wait()
                size, digest = 0, hashlib.sha256()
                async for part in self._parts(head, reader):
                    size += len(part)
                    digest.update(part)
                    if action == "pause" and size >= PAUSE_AFTER_BYTES and not self.paused.is_set():
                        writer.transport.pause_reading()  # type: ignore[attr-defined]
                        self.paused.set()
                        await self.may_read.wait()
                        writer.transport.resume_reading()  # type: ignore[attr-defined]
                    if action == "reset" and size > 100000:
                        writer.transport.abort()
                        return
                self.complete_bodies.append((size, digest.digest()))
                if action == "never respond":
                    await reader.read()
                    return
                writer.write(
                    b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                    if action == "reject body"
                    else b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                )
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            if self.begun.is_set():
                self.broken.set()
            writer.close()

    @staticmethod
    async def _parts(head: bytes, reader: Reader) -> AsyncIterator[bytes]:
        if b"chunked" in head:
            while size := int(await reader.readline(), 16):
                yield (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
            return
        lines = [part for part in head.split(b"\r\n") if part.startswith(b"Content-Length")]
        remaining = int(lines[0].split(b":")[1]) if lines else 0
        while remaining:
            part = await reader.read(min(remaining, 1 << 16))
            if not part:
                raise asyncio.IncompleteReadError(b"", remaining)
            remaining -= len(part)
            yield part


def upload_parts(
    data: bytes, chunks: bool, rid: str = "u1", deadline: str = "1.5", idempotent: bool = False
) -> list[bytes]:
    """Return the parts of a request with a body.  `idempotent` sends a body that the class does not allow."""
    if chunks:
        length_headers = b"Transfer-Encoding: chunked\r\n"
        parts = [
            b"%x\r\n%b\r\n" % (len(data[a : a + PART_BYTES]), data[a : a + PART_BYTES])
            for a in range(0, len(data), PART_BYTES)
        ]
        parts.append(b"0\r\n\r\n")
    else:
        length_headers = b"Content-Length: %d\r\n" % len(data)
        parts = [data[a : a + PART_BYTES] for a in range(0, len(data), PART_BYTES)]
    head = (
        idempotent_request(rid, deadline, length_headers)
        if idempotent
        else at_most_once_request(rid, deadline, length_headers)
    )
    return [head, *parts]


@asynccontextmanager
async def run_sidecar_with_limits(*endpoints: UploadEndpoint, **limits: int) -> AsyncIterator[RunningSidecar]:
    for endpoint in endpoints:
        await endpoint.start()
    async with run_sidecar(*endpoints, limits={"memory_mb": 64, "sockets": 256} | limits) as r:  # type: ignore[arg-type]
        yield r


async def send_parts(writer: Writer, parts: list[bytes]) -> None:
    for part in parts:
        writer.write(part)
        await writer.drain()
