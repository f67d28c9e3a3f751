"""Stand-ins and process control for the cases of the review: one sidecar, its platform, endpoints and discovery.

Everything listens on loopback addresses with free ports.  The sidecar is started with `run` of deploy/balancer.toml.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
HEARTBEAT_S = 2.0
READY_WITHIN_S = 10.0


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that nothing listens on."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class Record:
    """The record.txt of a case: one line for each thing sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()
        self.write(f"TROUBLE={int(TROUBLE)}")

    def write(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._start_s:8.3f} {text}\n")
        self._file.flush()


def settings(classes: list[dict[str, Any]], **bounds: Any) -> dict[str, Any]:
    """Return settings in the form of WIRE, with the figures of its example."""
    return {
        "balancers": 1,
        "bounds": {
            "conn_idle_ms": 15000.0,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 93344,
            "dial_timeout_ms": 250.0,
            "max_attempts": 6,
            "max_retry_after_ms": 2000.0,
            "may_cancel": True,
            "may_duplicate": True,
            "most_held": 46672,
            "peers": False,
            "probes": False,
            "retry_after": False,
            "streams_per_conn": 1,
            **bounds,
        },
        "callers": {"marks_retry": False},
        "discovery": "ask",
        "domain_type": "mesh",
        "family_info": {"warm_keys": False},
        "kinds": ["new-box"],
        "lanes": classes,
        "me": 0,
        "over_share_worth": 0.1,
        "prices": {"connection": 0.08, "cross_zone": 0.01, "handshake": 0.08, "late_fail": 0.08, "waste": 0.02},
        "rules": {
            "cold_share": 0.3,
            "fall_multiple": 2.5,
            "grace_to_answer_ms": 20.0,
            "must_ask_in_ms": 10000.0,
            "stop_sending_within_ms": 2000.0,
            "tip_after_ms": 1500.0,
            "warm_within_ms": 8800.0,
        },
        "scoring_mix": {"whole": 0.55, "worst_class": 0.1, "worst_tenant": 0.0, "worst_window": 0.35},
        "telemetry": {"fields": ["waiting"], "source": "piggyback"},
        "tenants": [],
        "tick_ms": 5.0,
        "tier": 0,
        "tiers": ["consign-api"],
        "weight_kind": "silent",
        "worth_by": "request",
        "zone": 0,
        "zones": ["taoyuan"],
    }


def request_class(name: str, effect: str, aim_ms: float, give_up_ms: float, **more: Any) -> dict[str, Any]:
    """Return one class of the settings."""
    return {
        "effect": effect,
        "give_up_ms": give_up_ms,
        "group": "all",
        "late_worth": 0.0,
        "name": name,
        "objective_ms": aim_ms,
        "stream": False,
        "window_ms": 5000.0,
        "worth": 1.0,
        **more,
    }


class Message:
    """A message that was read: its first line, its fields by lower-case name, and its body."""

    def __init__(self, first_line: str, fields: dict[str, str], body: bytes) -> None:
        self.first_line, self.fields, self.body = first_line, fields, body

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first_line.split()[1])

    @property
    def request_id(self) -> str:
        """The id of a request."""
        return self.fields.get("x-request-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a head.  Raises IncompleteReadError where the connection ends before it."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first_line, *lines = head[:-4].split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    return first_line, fields


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body."""
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if not size:
            return body


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a length or is chunked."""
    first_line, fields = await read_head(reader)
    if fields.get("transfer-encoding", "").lower() == "chunked":
        return Message(first_line, fields, await read_chunks(reader))
    return Message(first_line, fields, await reader.readexactly(int(fields.get("content-length", "0"))))


def answer(body: bytes, status: int = 200, more: str = "") -> bytes:
    """Return an answer with this body."""
    return f"HTTP/1.1 {status} OK\r\nContent-Length: {len(body)}\r\n{more}\r\n".encode() + body


Handler = Callable[["Endpoint", Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Endpoint:
    """An endpoint at a port of its own; `handle` answers each request once its last byte has come."""

    def __init__(self, name: str, handle: Handler | None = None) -> None:
        self.name = name
        self.handle = handle
        self.port = 0
        self.begun_ms = 0.0
        self.health = "Ready"
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = await read_message(reader)
                if self.handle:
                    await self.handle(self, message, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the peer has closed, or the case is over
        finally:
            writer.close()

    def entry(self) -> dict[str, Any]:
        """Return this endpoint as discovery lists it."""
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            "site": "taoyuan",
            "class": "new-box",
            "block": 0,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.begun_ms,
        }


class Discovery:
    """Discovery that is asked: the whole list, and watches that get each change."""

    def __init__(self, endpoints: list[Endpoint]) -> None:
        self.endpoints = endpoints
        self.seq = 1
        self.port = 0
        self.log: dict[int, list[dict[str, Any]]] = {}
        self.changed = asyncio.Condition()

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"seq": self.seq, "whole": True, "hosts": [e.entry() for e in self.endpoints]}

    async def change(self, entries: list[dict[str, Any]]) -> None:
        """Tell these entries to all watches."""
        async with self.changed:
            self.seq += 1
            self.log[self.seq] = entries
            self.changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = await read_message(reader)
                if "watch=1" in message.first_line:
                    await self._watch(int(message.first_line.split("from=")[1].split()[0]), writer)
                writer.write(answer(json.dumps(self.whole()).encode()))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the sidecar has closed, or the case is over
        finally:
            writer.close()

    async def _watch(self, seq: int, writer: asyncio.StreamWriter) -> None:
        def line(text: str) -> bytes:
            data = text.encode() + b"\n"
            return b"%x\r\n%b\r\n" % (len(data), data)

        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(line(json.dumps(self.whole())))
        seq = self.seq
        while not writer.is_closing():
            try:
                async with asyncio.timeout(HEARTBEAT_S), self.changed:
                    await self.changed.wait_for(lambda told=seq: self.seq > told)
            except TimeoutError:
                writer.write(line(""))
                await writer.drain()
                continue
            while seq < self.seq:
                seq += 1
                writer.write(line(json.dumps({"seq": seq, "whole": False, "hosts": self.log[seq]})))
            await writer.drain()


class Sidecar:
    """One sidecar as the platform starts it."""

    def __init__(self, name: str, discovery: Discovery, conf: dict[str, Any], memory_mb: int = 192) -> None:
        self.name = name
        self.port = free_port()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        (self.folder / "tmp").mkdir(mode=0o700)
        self.discovery = discovery
        self.config = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
            "known": discovery.whole(),
            "settings": conf,
        }
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start it with `run` of the deploy file."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        env = {k: v for k, v in os.environ.items() if not k.startswith(("BALANCER_", "GATEUSHER_"))}
        env |= {
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": self.config["listen"],
            "BALANCER_DISCOVERY": self.config["discovery"],
            "BALANCER_CONFIG": str(path),
            "TMPDIR": str(self.folder / "tmp"),
        }
        with (self.folder / "log").open("wb") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=log, stderr=log)

    async def ready(self) -> None:
        """Wait until `GET /_health` answers 200.  Raises RuntimeError where it does not."""
        until_s = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < until_s:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                status = (await read_message(reader)).status
                writer.close()
                if status == 200:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError("the sidecar did not become ready")

    def end(self) -> None:
        """End the process that was started here, and remove its folder."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def request(cls: str, request_id: str, deadline_s: float, body: bytes | None = None, key: str = "") -> bytes:
    """Return a client's request: GET without a body, POST with one."""
    lines = [
        f"{'GET' if body is None else 'POST'} /{cls}/do?obj={request_id} HTTP/1.1",
        "Host: origin.svc",
        f"X-Request-Id: {request_id}",
        f"X-Class: {cls}",
        f"X-Deadline: {deadline_s:.3f}",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


def main(record_path: Path, play: Callable[[Record], Awaitable[int]]) -> None:
    """Play a case and exit with its code: 1 broken, 0 held, 2 not run."""
    record = Record(record_path)
    try:
        code = asyncio.run(asyncio.wait_for(play(record), 110))
    except Exception as error:  # whatever it is, the case could not run
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        code = NOT_RUN
    record.write(f"exit {code}")
    sys.exit(code)
