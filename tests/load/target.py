"""Targets of a replay: a stand-in node, and impostors of every kind."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
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
    """A combined log of lookups, issues and bookings in turn, with milliseconds."""
    lines = []
    for i in range(count):
        at = 1_770_703_200 + i / rate
        what = (f"GET /pallets/{i % 13}", "POST /consign", "PUT /book")[i % 3]
        lines.append(f'{at:.3f} 10.0.0.{i % clients} "{what} HTTP/1.1" 200')
    return "\n".join(lines) + "\n"


FORM = 'nginx:$msec $remote_addr "$request" $status'


def files(folder: Path, count: int = 60, **more: Any) -> tuple[Path, Path]:
    """A log and its rules."""
    (folder / "a.log").write_text(log(count, **more))
    (folder / "replay.toml").write_text(RULES)
    return folder / "a.log", folder / "replay.toml"


class Impostor:
    """Answers each request as its kind would; keeps what came."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.asked: list[bytes] = []  # heads of what is no challenge
        self.challenged = 0
        self.come = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"Content-Length: (\d+)", head)
                if length:
                    await reader.readexactly(int(length[1]))
                if proof.CHALLENGE_PATH.encode() in head.split(b"\r\n")[0]:
                    self.challenged += 1
                    answer = self._challenge(head)
                else:
                    self.asked.append(head)
                    self.come.set()
                    answer = self._answer(head)
                if answer is None:
                    break
                writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    def _challenge(self, head: bytes) -> bytes | None:
        nonce = re.search(rb"nonce=(\w+)", head)
        assert nonce
        told: object = {
            "mirror": {"standin": nonce[1].decode()},
            "other project": {"standin": "0" * 32},
            "list": [1, 2],
            "number": {"standin": 7},
        }.get(self.kind)
        if self.kind == "yesterday's":
            told = {"standin": proof.proof("0" * 32)}
        honest = self.kind in ("redirects", "closes", "stalls", "half") or (
            self.kind == "turns real" and self.challenged <= 1
        )
        if honest:
            told = {"standin": proof.proof(nonce[1].decode())}
        if self.kind == "redirected challenge":
            return b"HTTP/1.1 302 X\r\nLocation: /_standin\r\nContent-Length: 0\r\n\r\n"
        if self.kind == "hangs up":
            return None
        body = json.dumps(told).encode() if told is not None else b"<html>ok</html>"
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    def _answer(self, head: bytes) -> bytes | None:
        if self.kind == "redirects":
            return b"HTTP/1.1 307 X\r\nLocation: http://127.0.0.1:1/real\r\nContent-Length: 0\r\n\r\n"
        if self.kind == "closes":
            return b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
        if self.kind == "half":
            return b"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\nok" if b"look" in head else None
        return b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@asynccontextmanager
async def impostor(kind: str) -> AsyncIterator[tuple[Impostor, tuple[str, int]]]:
    made = Impostor(kind)
    server = await asyncio.start_server(made._serve, "127.0.0.1", 0)
    try:
        yield made, server.sockets[0].getsockname()[:2]
    finally:
        server.close()
