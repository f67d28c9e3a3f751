"""What the cases 6 to 10 share: a sidecar started by the deploy file's `run` line, stand-ins, and a record.

The stand-ins follow the operators' pages: endpoints and clients speak HTTP/1.1 over loopback sockets, discovery is
the project's own stand-in.  Everything is on free ports of 127.0.0.1, and everything that was started is ended.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

from gateusher.standins.wire import DiscoveryServer

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST_DEADLINE_S = 5.0
READY_WITHIN_S = 30.0
CASE_WITHIN_S = 100.0

Reader, Writer = asyncio.StreamReader, asyncio.StreamWriter


class CouldNotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """`record.txt` of a case: one line for each thing that was sent, answered or run, with its time in ms."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def note(self, who: str, text: str) -> None:
        """Write one line."""
        self._file.write(f"{(time.monotonic() - self._began_s) * 1000:9.1f} {who}: {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Request(NamedTuple):
    """A complete request that an endpoint received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.headers.get("x-request-id", "")


class Answer(NamedTuple):
    """An answer that a client received; `whole` is False if it broke off, status 0 if it never began."""

    status: int
    body: bytes
    whole: bool
    headers: dict[str, str]


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the first line of a message and its header fields by lower-case name."""
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: Reader, headers: dict[str, str]) -> bytes:
    """Read a body by its Content-Length or its chunks; none without either."""
    body = b""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        length = int(headers.get("content-length", "0"))
        while len(body) < length:
            try:
                data = await reader.read(min(65536, length - len(body)))
            except OSError:
                data = b""
            if not data:
                raise asyncio.IncompleteReadError(body, length)
            body += data
        return body
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return body


async def skim_chunks(reader: Reader) -> int:
    """Read a body in chunks to its end without taking it apart, and return its length on the wire."""
    length, tail = 0, b""
    while not tail.endswith(b"\r\n0\r\n\r\n"):
        data = await reader.read(262144)
        if not data:
            raise asyncio.IncompleteReadError(tail, None)
        length += len(data)
        tail = (tail + data)[-7:]
    return length


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def reset(writer: Writer) -> None:
    """Reset a connection, as the process of its other end does when it dies."""
    if not writer.transport.is_closing():
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


class Connection:
    """A connection to an endpoint, as its behaviour uses it."""

    def __init__(self, zone: str, reader: Reader, writer: Writer) -> None:
        self.zone = zone
        self.reader, self.writer = reader, writer
        self.requests = 0  # that have begun to arrive

    def reset(self) -> None:
        """Reset the connection."""
        reset(self.writer)


Behaviour = Callable[[Connection, Request], Awaitable[None]]


class Endpoint:
    """An endpoint: it reads one request at a time on each connection, notes it, and serves it by `behaviour`."""

    def __init__(self, name: str, zone: str, record: Record, behaviour: Behaviour) -> None:
        self.name, self.zone = name, zone
        self.port = 0
        self._record = record
        self._behaviour = behaviour

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        connection = Connection(self.zone, reader, writer)
        try:
            while True:
                begin = await reader.readexactly(1)
                connection.requests += 1
                first, headers = parse_head(begin + await reader.readuntil(b"\r\n\r\n"))
                method, target, _ = first.split(" ")
                if headers.get("transfer-encoding", "").lower() == "chunked":
                    body, length = b"", await skim_chunks(reader)
                else:
                    body = await read_body(reader, headers)
                    length = len(body)
                request = Request(method, target, headers, body)
                if request.request_id:
                    self._record.note(self.name, f"received {request.request_id}, {length} bytes of body")
                    await self._behaviour(connection, request)
                else:
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


class Link:
    """A proxy before an endpoint: the network between two data centres.

    It delays each byte by `delay_s`, and passes nothing on in either direction while `cut` is set; open connections
    stay open meanwhile, and what was held goes on afterwards.
    """

    def __init__(self, port: int, delay_s: float) -> None:
        self.port = 0
        self.open_again = asyncio.Event()
        self.open_again.set()
        self.late_s: list[float] = []  # by how much more each part was delayed
        self._target = port
        self._delay_s = delay_s
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _accept(self, reader: Reader, writer: Writer) -> None:
        await self.open_again.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self._target)
        except OSError:
            writer.transport.abort()
            return
        for stream in (writer, far_writer):
            stream.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(self._pass_on(source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pass_on(self, source: Reader, sink: Writer) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await source.read(65536):
                await self.open_again.wait()
                if self._delay_s:
                    due_s = loop.time() + self._delay_s
                    loop.call_at(due_s, self._write_late, sink, data, due_s)
                else:
                    self._write(sink, data)
                    await sink.drain()
            if self._delay_s:
                await asyncio.sleep(self._delay_s * 2)
            sink.close()
        except OSError:
            reset(sink)

    def _write_late(self, sink: Writer, data: bytes, due_s: float) -> None:
        self.late_s.append(asyncio.get_running_loop().time() - due_s)
        self._write(sink, data)

    @staticmethod
    def _write(sink: Writer, data: bytes) -> None:
        if not sink.transport.is_closing():
            sink.write(data)


def entry(endpoint: Endpoint, port: int = 0) -> dict[str, object]:
    """Return an endpoint's entry in discovery's list; `port` is that of the link before it, if there is one."""
    return {
        "host": endpoint.name,
        "dial": f"127.0.0.1:{port or endpoint.port}",
        "site": endpoint.zone,
        "class": "box",
        "block": 0,
        "health": "Ready",
        "share": 1.0,
        "born_ms": 0,
    }


def make_settings(lanes: list[dict[str, object]]) -> dict[str, object]:
    """Return the settings of a small deployment of two zones, in the platform's form."""
    bounds = {
        "conn_idle_ms": 15000.0,
        "cpu_us_per_request": 0.0,
        "cpu_us_per_s": 93344,
        "dial_timeout_ms": 250.0,
        "max_attempts": 6,
        "max_retry_after_ms": 2000.0,
        "may_cancel": True,
        "may_duplicate": True,
        "most_held": 4000,
        "peers": False,
        "probes": False,
        "retry_after": True,
        "streams_per_conn": 1,
    }
    rules = {
        "cold_share": 0.3,
        "fall_multiple": 2.5,
        "grace_to_answer_ms": 20.0,
        "must_ask_in_ms": 10000.0,
        "stop_sending_within_ms": 2000.0,
        "tip_after_ms": 1500.0,
        "warm_within_ms": 8800.0,
    }
    return {
        "balancers": 1,
        "bounds": bounds,
        "discovery": "ask",
        "kinds": ["box"],
        "lanes": lanes,
        "me": 0,
        "prices": {"cross_zone": 0.01},
        "rules": rules,
        "telemetry": {"fields": [], "source": "silent"},
        "tenants": [],
        "tick_ms": 5.0,
        "weight_kind": "silent",
        "worth_by": "request",
        "zone": 0,
        "zones": ["east", "west"],
    }


def lane(name: str, effect: str, **more: object) -> dict[str, object]:
    """Return the settings of one class."""
    return {
        "name": name,
        "effect": effect,
        "group": "all",
        "window_ms": 5000.0,
        "objective_ms": 2000.0,
        "give_up_ms": LONGEST_DEADLINE_S * 1000,
        "worth": 1.0,
        "late_worth": 0.5,
        "stream": False,
        **more,
    }


class Sidecar:
    """One sidecar, started by `/bin/sh -c` from the root with the deploy file's `run` line."""

    def __init__(self, discovery: DiscoveryServer, settings: dict[str, object], record: Record) -> None:
        self.port = free_port()
        self._discovery = discovery
        self._record = record
        self._folder = Path(tempfile.mkdtemp(prefix="case-"))
        self._config_path = self._folder / "config.json"
        self._process: subprocess.Popen[bytes] | None = None
        self._log = (self._folder / "log").open("wb")
        self.settings = settings

    def write_config(self) -> None:
        """Write the configuration file."""
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self._discovery.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self._discovery.snapshot,
            "settings": self.settings,
        }
        new = self._folder / "config.new"
        new.write_text(json.dumps(config), encoding="utf-8")
        new.replace(self._config_path)

    async def start(self) -> None:
        """Start it and wait until it takes clients."""
        self.write_config()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        private = self._folder / "tmp"
        private.mkdir(mode=0o700)
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(private),
            "BALANCER_NAME": "n0",
            "BALANCER_LISTEN": f"127.0.0.1:{self.port}",
            "BALANCER_DISCOVERY": f"127.0.0.1:{self._discovery.port}",
            "BALANCER_CONFIG": str(self._config_path),
        }
        self._process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=self._log, stderr=self._log, start_new_session=True
        )
        until_s = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < until_s:
            if self._process.poll() is not None:
                break
            try:
                client = Client(self.port, self._record)
                answer = await client.ask("GET", "/_health", "", timeout_s=1.0, quiet=True)
                client.close()
                if answer.status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"the sidecar is not ready: {self.log_text()}")

    def send_signal(self, number: signal.Signals) -> None:
        """Signal the program that `run` started."""
        if self._process:
            self._record.note("platform", f"sends {number.name}")
            self._process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether it runs."""
        return self._process is not None and self._process.poll() is None

    def log_text(self) -> str:
        """Return the end of its log."""
        return (self._folder / "log").read_text(encoding="utf-8", errors="replace")[-2000:]

    def close(self) -> None:
        """End it and remove its folder."""
        if self._process:
            if self._process.poll() is None:
                self._process.kill()
            self._process.wait()
        self._log.close()
        shutil.rmtree(self._folder, ignore_errors=True)


class Client:
    """A client: one request at a time on a connection that it keeps."""

    def __init__(self, port: int, record: Record) -> None:
        self._port = port
        self._record = record
        self.reader: Reader | None = None
        self.writer: Writer | None = None

    async def connect(self) -> tuple[Reader, Writer]:
        """Return the connection, a new one if there is none."""
        if not self.reader or not self.writer or self.reader.at_eof() or self.writer.is_closing():
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self._port, limit=1 << 20)
        return self.reader, self.writer

    async def ask(
        self,
        method: str,
        target: str,
        request_id: str,
        fields: str = "",
        body: bytes = b"",
        timeout_s: float = LONGEST_DEADLINE_S,
        patience_s: float = 0.0,
        quiet: bool = False,
    ) -> Answer:
        """Send a request and return its answer; wait `patience_s` for it, or half a second beyond its time."""
        reader, writer = await self.connect()
        if not quiet:
            self._record.note("client", f"sends {request_id} {method} {target}")
        writer.write(format_request(method, target, request_id, fields, body, timeout_s) + body)
        try:
            async with asyncio.timeout(patience_s or timeout_s + 0.5):
                answer = await read_answer(reader)
        except TimeoutError:
            answer = Answer(0, b"", False, {})
        if not answer.whole or answer.headers.get("connection", "").lower() == "close":
            self.close()
        if not quiet:
            self._record.note(
                "client", f"got {request_id}: {answer.status}, {len(answer.body)} bytes, whole: {answer.whole}"
            )
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


def format_request(
    method: str, target: str, request_id: str, fields: str, body: bytes, timeout_s: float = LONGEST_DEADLINE_S
) -> bytes:
    """Return a request's head as the protocol page gives it."""
    name = target.partition("?")[0][1:].partition("/")[0]
    length = f"Content-Length: {len(body)}\r\n" if method == "POST" and "Content-Length" not in fields else ""
    identity = f"X-Request-Id: {request_id}\r\nX-Class: {name}\r\n" if request_id else ""
    return (
        f"{method} {target} HTTP/1.1\r\nHost: origin.svc\r\n{identity}X-Deadline: {timeout_s:.3f}\r\n"
        f"{fields}{length}\r\n"
    ).encode()


async def read_answer(reader: Reader) -> Answer:
    """Read one answer; what has arrived of one that breaks off."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return Answer(0, b"", False, {})
    first, headers = parse_head(head)
    status = int(first.split(" ")[1])
    try:
        return Answer(status, await read_body(reader, headers), True, headers)
    except asyncio.IncompleteReadError as error:
        return Answer(status, error.partial, False, headers)
    except (OSError, ValueError):
        return Answer(status, b"", False, headers)


async def start_endpoints(
    discovery: DiscoveryServer, zones: tuple[str, ...], record: Record, behaviour: Behaviour, delay_s: float = 0.0
) -> list[Link]:
    """Start discovery and one endpoint for each of these zones, and list them.

    An endpoint in another zone than the sidecar's, which is the zone "east", stands behind a link with this delay.
    """
    await discovery.start()
    links = []
    for number, zone in enumerate(zones):
        endpoint = Endpoint(f"{zone}-{number}", zone, record, behaviour)
        await endpoint.start()
        if zone == "east":
            discovery.update(entry(endpoint))
            continue
        link = Link(endpoint.port, delay_s)
        await link.start()
        links.append(link)
        discovery.update(entry(endpoint, link.port))
    return links


def encode_answer(body: bytes, length: int | None = None) -> bytes:
    """Return a 200 answer; `length` is what it says of its length, if that is not the body's."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body) if length is None else length, body)


def trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder: Path, case: Callable[[Record], Awaitable[int]]) -> None:
    """Play a case, write its record and exit with its verdict."""
    record = Record(folder)

    async def play() -> int:
        async with asyncio.timeout(CASE_WITHIN_S):
            return await case(record)

    try:
        verdict = asyncio.run(play())
    except (CouldNotRunError, OSError, TimeoutError) as error:
        record.note("case", f"could not run: {error!r}")
        verdict = COULD_NOT_RUN
    record.note("case", {HELD: "the rule held", BROKEN: "the rule was broken"}.get(verdict, "no verdict"))
    record.close()
    print(*(folder / "record.txt").read_text(encoding="utf-8").splitlines()[-4:], sep="\n", flush=True)
    os._exit(verdict)  # the streams that are still open belong to a loop that is closed
