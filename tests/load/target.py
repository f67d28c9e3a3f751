"""Logs and rules for replays, and targets that are no stand-ins or that misbehave."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import Enum, auto
from pathlib import Path
from typing import Any

from gateusher.base import proof

RULES = """identity = ["address"]
[classes.look]
effect = "safe"
aim = 5.0
deadline = 20.0
[classes.issue]
effect = "unsafe"
aim = 5.0
deadline = 20.0
[classes.book]
effect = "keyed"
aim = 5.0
deadline = 20.0
window = 30.0
[[rules]]
path = "/pallets/{sku}"
class = "look"
key = "{sku}"
[[rules]]
path = "/consign"
class = "issue"
body = 40
[[rules]]
path = "/book"
class = "book"
"""


def log(count: int, rate: float = 100.0, clients: int = 7) -> str:
    """Return a log of lookups, issues and bookings in turn, with times in milliseconds."""
    lines = []
    for i in range(count):
        at = 1_770_703_200 + i / rate
        request = (f"GET /pallets/{i % 13}", "POST /consign", "PUT /book")[i % 3]
        lines.append(f'{at:.3f} 10.0.0.{i % clients} "{request} HTTP/1.1" 200')
    return "\n".join(lines) + "\n"


FORM = 'nginx:$msec $remote_addr "$request" $status'


def files(folder: Path, count: int = 60, **more: Any) -> tuple[Path, Path]:
    """Write a log and its rules, and return their paths."""
    (folder / "a.log").write_text(log(count, **more))
    (folder / "replay.toml").write_text(RULES)
    return folder / "a.log", folder / "replay.toml"


class TargetKind(Enum):
    """How a target responds to the challenge, or to the requests after a valid proof."""

    # without a valid proof
    REFLECTS_NONCE = auto()
    PROVES_ANOTHER_NONCE = auto()  # as a fixed value
    REPEATS_OLD_PROOF = auto()  # a valid proof, for another nonce
    SENDS_LIST = auto()
    SENDS_NUMBER = auto()
    SENDS_HTML = auto()
    REDIRECTS_CHALLENGE = auto()
    CLOSES_ON_CHALLENGE = auto()
    # with a valid proof
    STOPS_PROVING = auto()  # after the first challenge
    RESPONDS = auto()
    REDIRECTS = auto()
    CLOSES_AFTER_RESPONSE = auto()
    TRUNCATES_OR_CLOSES = auto()  # truncates the response to a lookup and closes in place of any other


PROVING_KINDS = (
    TargetKind.REDIRECTS,
    TargetKind.CLOSES_AFTER_RESPONSE,
    TargetKind.RESPONDS,
    TargetKind.TRUNCATES_OR_CLOSES,
)


class Target:
    """Responds to challenges and requests as its kind does, and records them."""

    def __init__(self, kind: TargetKind) -> None:
        self.kind = kind
        self.request_heads: list[bytes] = []  # without challenges
        self.challenges = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"Content-Length: (\d+)", head)
                if length:
                    await reader.readexactly(int(length[1]))
                if proof.CHALLENGE_PATH.encode() in head.split(b"\r\n")[0]:
                    self.challenges += 1
                    response = self._respond_to_challenge(head)
                else:
                    self.request_heads.append(head)
                    response = self._respond(head)
                if response is None:
                    break
                writer.write(response)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    def _respond_to_challenge(self, head: bytes) -> bytes | None:
        nonce = re.search(rb"nonce=(\w+)", head)
        assert nonce
        answer: object = {
            TargetKind.REFLECTS_NONCE: {"standin": nonce[1].decode()},
            TargetKind.PROVES_ANOTHER_NONCE: {"standin": "0" * 32},
            TargetKind.SENDS_LIST: [1, 2],
            TargetKind.SENDS_NUMBER: {"standin": 7},
        }.get(self.kind)
        if self.kind is TargetKind.REPEATS_OLD_PROOF:
            answer = {"standin": proof.proof("0" * 32)}
        proves = self.kind in PROVING_KINDS or (self.kind is TargetKind.STOPS_PROVING and self.challenges <= 1)
        if proves:
            answer = {"standin": proof.proof(nonce[1].decode())}
        if self.kind is TargetKind.REDIRECTS_CHALLENGE:
            return b"HTTP/1.1 302 X\r\nLocation: /_standin\r\nContent-Length: 0\r\n\r\n"
        if self.kind is TargetKind.CLOSES_ON_CHALLENGE:
            return None
        body = json.dumps(answer).encode() if answer is not None else b"<html>ok</html>"
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    def _respond(self, head: bytes) -> bytes | None:
        if self.kind is TargetKind.REDIRECTS:
            return b"HTTP/1.1 307 X\r\nLocation: http://127.0.0.1:1/real\r\nContent-Length: 0\r\n\r\n"
        if self.kind is TargetKind.CLOSES_AFTER_RESPONSE:
            return b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
        if self.kind is TargetKind.TRUNCATES_OR_CLOSES:
            return b"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\nok" if b"look" in head else None
        return b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@asynccontextmanager
async def run_target(kind: TargetKind) -> AsyncIterator[tuple[Target, tuple[str, int]]]:
    """Run a target and yield it with its address."""
    target = Target(kind)
    server = await asyncio.start_server(target._serve, "127.0.0.1", 0)
    try:
        yield target, server.sockets[0].getsockname()[:2]
    finally:
        server.close()
