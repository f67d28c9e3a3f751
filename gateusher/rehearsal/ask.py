"""Whether a target is a stand-in: asked with a nonce, and only a stand-in knows the answer.

The question is `GET /_standin?nonce=N`, the answer 200 with one JSON object that holds `standin`, the hash of the
nonce under this project's name.  A real node answers something else, whatever it does with paths that it doesn't
know; a mirror of what it is asked isn't enough, and neither is yesterday's answer, since each nonce is new.
"""

from __future__ import annotations

import asyncio
import json
import re
import secrets

from ..base.proof import PATH, proof

ASK_S = 2.0  # a stand-in answers within this
MOST_ANSWER = 8192  # bytes
LENGTH = re.compile(rb"\r\nContent-Length: *(\d{1,9})\r\n", re.I)


class NoStandInError(Exception):
    """The target is not known to be a stand-in, with the reason."""


async def ask(where: tuple[str, int], within_s: float = ASK_S) -> None:
    """Return where the target proves to be a stand-in.  Raises NoStandInError."""
    nonce = secrets.token_hex(16)
    place = f"{where[0]}:{where[1]}"
    writer = None
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(*where, limit=MOST_ANSWER)
            writer.write(f"GET {PATH}?nonce={nonce} HTTP/1.1\r\nHost: {place}\r\nConnection: close\r\n\r\n".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            length = LENGTH.search(head)
            body = await reader.readexactly(min(int(length[1]), MOST_ANSWER)) if length else b""
    except TimeoutError:
        raise NoStandInError(f"{place} did not answer the challenge within {within_s:g} s") from None
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
        raise NoStandInError(f"{place} can't be asked: {error}") from None
    finally:
        if writer:
            writer.transport.abort()
    try:
        answered = json.loads(body) if head.split(b" ", 2)[1:2] == [b"200"] else None
    except (ValueError, RecursionError):
        answered = None
    told = answered.get("standin") if isinstance(answered, dict) else None
    if not isinstance(told, str) or not secrets.compare_digest(told.encode(), proof(nonce).encode()):
        raise NoStandInError(f"{place} is no stand-in: it does not answer the challenge as one does")
