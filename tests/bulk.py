"""Reads of long responses, and a wait for their requests."""

import asyncio

from .helpers import HANG_TIMEOUT_S
from .net import (
    Reader,
    RunningSidecar,
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
