"""Challenges a target to prove that it is a stand-in.

The request is `GET /_standin?nonce=N`; a stand-in answers 200 with a JSON object whose `standin` is a hash of the
nonce (`base.proof`).  A real node answers something else whatever it does with unknown paths, an echo server doesn't
know the hash, and an old answer is of no use since each nonce is new.  Stateless.
"""

from __future__ import annotations

import asyncio
import json
import re
import secrets

from ..base.proof import CHALLENGE_PATH, proof

CHALLENGE_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 8192
NONCE_BYTES = 16
CONTENT_LENGTH = re.compile(rb"\r\nContent-Length: *(\d{1,9})\r\n", re.I)


class NoStandInError(Exception):
    """The target is not known to be a stand-in; the message says why."""


async def challenge(address: tuple[str, int], timeout_s: float = CHALLENGE_TIMEOUT_S) -> None:
    """Return if the target proves to be a stand-in in time.  Raises NoStandInError."""
    nonce = secrets.token_hex(NONCE_BYTES)
    target = f"{address[0]}:{address[1]}"
    try:
        async with asyncio.timeout(timeout_s):
            head, body = await _request(address, target, nonce)
    except TimeoutError:
        raise NoStandInError(f"{target} did not answer the challenge within {timeout_s:g} s") from None
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
        raise NoStandInError(f"{target} can't be asked: {error}") from None
    answer = _standin_answer(head, body)
    if answer is None or not secrets.compare_digest(answer.encode(), proof(nonce).encode()):
        raise NoStandInError(f"{target} is no stand-in: it does not answer the challenge as one does")


async def _request(address: tuple[str, int], target: str, nonce: str) -> tuple[bytes, bytes]:
    """Send the challenge and return head and body of the answer."""
    reader, writer = await asyncio.open_connection(*address, limit=MAX_ANSWER_BYTES)
    try:
        writer.write(
            f"GET {CHALLENGE_PATH}?nonce={nonce} HTTP/1.1\r\nHost: {target}\r\nConnection: close\r\n\r\n".encode()
        )
        head = await reader.readuntil(b"\r\n\r\n")
        length = CONTENT_LENGTH.search(head)
        body = await reader.readexactly(min(int(length[1]), MAX_ANSWER_BYTES)) if length else b""
        return head, body
    finally:
        writer.transport.abort()


def _standin_answer(head: bytes, body: bytes) -> str | None:
    """Return the answer's `standin`, None if there is none."""
    if head.split(b" ", 2)[1:2] != [b"200"]:
        return None
    try:
        answer = json.loads(body)
    except (ValueError, RecursionError):
        return None
    value = answer.get("standin") if isinstance(answer, dict) else None
    return value if isinstance(value, str) else None
