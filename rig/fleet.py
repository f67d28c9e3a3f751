"""The fleet of one run: sidecars, workers, endpoints and the store, with relays on every link between them."""

from __future__ import annotations

import asyncio
import json
import socket
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

from gateusher.standins.caller import HttpClient
from gateusher.standins.nodes import Fleet, Node
from gateusher.standins.store import Store, WriteRecord
from gateusher.standins.wire import DiscoveryServer, ReceivedRequest

from .history import History
from .invariants import HANG_TIMEOUT_S
from .links import DatagramRelay, StreamRelay
from .processes import Process, Worker
from .scenarios import CLOCK_FAULTS, Scenario, to_toml

READY_POLL_S = 0.02
CONTROL_TIMEOUT_S = 5.0
MAX_CONTROL_REPLY_BYTES = 1 << 24
KEYS = ["00112233445566778899aabbccddeeff"]
CONFIG = """\
name = "{name}"
listen = "{ip}:8080"
control = "{control}"
answers = "ok"
reports = ["queue"]

[discovery]
address = "127.0.0.1:{list}"
ask_within = 2.0

[limits]
memory_mb = 64.0
sockets = 512

[classes.look]
effect = "safe"
aim = 0.5
deadline = 1.0

[classes.issue]
effect = "unsafe"
aim = 0.5
deadline = 1.0

[membership]
listen = "{ip}:7100"
peers = {peers}
keys = {keys}
period = {period}
retry = {retry}
bytes_per_second = {rate}
drains = {drains}
"""
TASK_CONFIG = """\

[duties]
voters = {voters}
lease = {lease}
{storage}
"""


class RecordedFleet(Fleet):
    """Endpoints that record every request and execution in the history."""

    def __init__(self, history: History) -> None:
        super().__init__()
        self.history = history

    def on_request(self, rid: str, node: str, asked: ReceivedRequest) -> None:
        """Record a request that reached an endpoint."""
        self.history.record("arrived", rid=rid, node=node)
        super().on_request(rid, node, asked)

    def record_effect(self, rid: str, node: str, zone: str, asked: ReceivedRequest, now: float) -> None:
        """Record an execution."""
        self.history.record("effect", rid=rid, node=node)
        super().record_effect(rid, node, zone, asked, now)


class SidecarFleet:
    """Every process of one run and the relays between them.

    `injected_fault`: a name of `checker.faults`, injected into every sidecar, or "-".
    """

    def __init__(self, scenario: Scenario, seed: int, folder: Path, injected_fault: str = "-") -> None:
        self.scenario, self.rng, self.folder = scenario, Random(seed), folder
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "day.toml").write_text(to_toml(scenario))
        (folder / "seed").write_text(f"{seed}\n")
        self.history = History(folder / "history.jsonl")
        self.names = [f"s{i + 1}" for i in range(scenario.members)]
        subnet = self._reserve_subnet()
        self.ip = {name: f"{subnet}.{i + 1}" for i, name in enumerate(self.names)}
        self.recorded = RecordedFleet(self.history)
        self.nodes = {f"n{k + 1}": Node(self.recorded, f"n{k + 1}") for k in range(scenario.nodes)}
        self.discovery: dict[str, DiscoveryServer] = {}  # each member has an endpoint list of its own
        self.links: dict[tuple[str, str], DatagramRelay] = {}  # (sender, target)
        self.streams: dict[tuple[str, str], StreamRelay] = {}  # (member, node's name or "list")
        self.caller_streams: dict[str, StreamRelay] = {}  # from the callers to a member
        self.processes: dict[str, Process] = {}
        self.clients: dict[str, HttpClient] = {}
        self.injected_fault = injected_fault
        self.store = Store(self._on_write)
        self.workers: dict[str, Worker] = {}

    def _reserve_subnet(self) -> str:
        """Reserve loopback addresses for this run: a bound guard socket claims the whole subnet."""
        while True:
            subnet = f"127.{Random().randrange(64, 128)}.{Random().randrange(1, 255)}"
            self._guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                self._guard.bind((f"{subnet}.254", 7099))
            except OSError:
                self._guard.close()
            else:
                return subnet

    # -- start

    async def start(self) -> None:
        """Start every process and wait until all sidecars serve and, if there are voters, a worker writes."""
        for node in self.nodes.values():
            await node.start()
        for name in self.names:
            for other in self.names:
                if name != other:
                    self.links[name, other] = DatagramRelay(
                        name, other, (self.ip[other], 7100), self.history, Random(self.rng.random())
                    )
        controllable = any(
            f.kind in CLOCK_FAULTS or f.kind in ("disk-eio", "disk-enospc", "disk-slow") for f in self.scenario.faults
        )
        for name in self.names:
            await self._prepare_member(name, controllable)
        await asyncio.gather(*(p.start() for p in self.processes.values()))
        await asyncio.gather(*(self.wait_until_ready(name) for name in self.names))
        if self.scenario.voters:
            await self.store.start()
            self.workers = {
                name: Worker(name, self.folder / name, self.processes[name].control_path, self.store.port)
                for name in self.names
            }
            await asyncio.gather(*(w.start() for w in self.workers.values()))
            await self.wait_for_writes(2)

    async def _prepare_member(self, name: str, controllable: bool) -> None:
        discovery = self.discovery[name] = DiscoveryServer()
        await discovery.start()
        for target, port in [("list", discovery.port)] + [(n.name, n.port) for n in self.nodes.values()]:
            stream = self.streams[name, target] = StreamRelay(("127.0.0.1", port))
            await stream.start()
        discovery.update(*(self.list_entry(name, node) for node in self.nodes))
        caller_stream = self.caller_streams[name] = StreamRelay((self.ip[name], 8080), connects_with_data=True)
        await caller_stream.start()
        self.processes[name] = Process(
            name, self.folder / name, self._config(name), self.history, controllable, self.injected_fault
        )
        self.clients[name] = HttpClient(caller_stream.port)
        self.processes[name].delivery_is_held = lambda: caller_stream.silent or caller_stream.stalled
        caller_stream.on_forwarded = self.processes[name].on_requests_delivered

    def _config(self, name: str) -> str:
        config = CONFIG.format(
            name=name,
            ip=self.ip[name],
            control=self.folder / name / "control.sock",
            list=self.streams[name, "list"].port,
            peers=json.dumps(
                [f"{other}@127.0.0.1:{self.links[name, other].port}" for other in self.names if other != name]
            ),
            keys=json.dumps(KEYS),
            period=self.scenario.period_s,
            retry=2 * self.scenario.period_s,
            rate=self.scenario.bytes_per_second,
            drains="true" if self.scenario.drain_hints else "false",
        )
        voters = [f"s{i + 1}" for i in range(self.scenario.voters)]
        if not voters:
            return config
        if name not in voters:
            storage = ""
        elif self.scenario.diskless:
            storage = "diskless = true"
        else:
            storage = f'folder = "{self.folder / name / "votes"}"'
        return config + TASK_CONFIG.format(voters=json.dumps(voters), lease=self.scenario.lease_s, storage=storage)

    def list_entry(self, name: str, node: str, health: str = "Ready", **fields: object) -> dict[str, Any]:
        """Return the entry of an endpoint in the endpoint list of one member."""
        return {**self.nodes[node].list_entry(health, **fields), "dial": f"127.0.0.1:{self.streams[name, node].port}"}

    async def wait_until_ready(self, name: str) -> None:
        """Wait until this member's newest process serves, has ended or was replaced."""
        process = self.processes[name]
        child = process.child
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while child is process.child and child and child.returncode is None:
                if process.has_control_socket and await self.request_control(name, "/_ready") is not None:
                    process.is_serving = True
                    return
                await asyncio.sleep(READY_POLL_S)

    # -- the store

    def _on_write(self, write: WriteRecord) -> None:
        if write.body.startswith(b"held"):
            requested_at, granted_at = write.body.split()[1:]
            self.history.record(
                "held", who=write.writer, fence=write.fence, asked=float(requested_at), got=float(granted_at)
            )
        self.history.record("act", who=write.writer, fence=write.fence, taken=write.accepted)

    async def wait_for_writes(self, count: int) -> None:
        """Wait until the store has accepted `count` more writes."""
        accepted = sum(w.accepted for w in self.store.writes)
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while sum(w.accepted for w in self.store.writes) < accepted + count:
                await asyncio.sleep(READY_POLL_S)

    def lease_holder(self) -> str | None:
        """Return the member whose worker made the last accepted write."""
        accepted = [w for w in self.store.writes if w.accepted]
        return accepted[-1].writer.partition(".")[0] if accepted else None

    # -- control requests

    async def request_control(self, name: str, path: str, method: bytes = b"GET") -> bytes | None:
        """Send a request to a member's control socket; return the body of a 200 response, None for any other."""
        process = self.processes[name]
        writer = None
        try:
            async with asyncio.timeout(CONTROL_TIMEOUT_S):
                reader, writer = await asyncio.open_unix_connection(
                    process.control_path, limit=MAX_CONTROL_REPLY_BYTES
                )
                writer.write(b"%b %b HTTP/1.1\r\nHost: o\r\n\r\n" % (method, path.encode()))
                data = await reader.read()
        except (OSError, TimeoutError):
            return None
        finally:
            if writer:
                writer.close()
        head, _, body = data.partition(b"\r\n\r\n")
        return body if head.startswith(b"HTTP/1.1 200") else None

    async def poll_view(self, name: str) -> dict[str, Any] | None:
        """Return a member's view of the fleet, as its control socket reports it, and record it."""
        body = await self.request_control(name, "/_members")
        with suppress(ValueError):
            report = json.loads(body or b"null")
            if isinstance(report, dict):
                self.history.record(
                    "view",
                    who=name,
                    pid=self.processes[name].child.pid,  # type: ignore[union-attr]
                    states={m["name"]: m["state"] for m in report["members"]},
                    displaced=report["displaced"],
                    sent=report["sent"].get("bytes", 0),
                )
                return report
        return None

    # -- end

    async def shut_down(self) -> None:
        """Terminate the workers, then shut the sidecars down gracefully."""
        await asyncio.gather(*(w.close() for w in self.workers.values()))
        await asyncio.gather(*(p.shut_down() for p in self.processes.values()))

    async def close(self) -> None:
        """Kill what still runs and close every socket and file."""
        for worker in self.workers.values():
            await worker.close()
        self.store.close()
        for process in self.processes.values():
            await process.close()
        for client in self.clients.values():
            await client.close()
        for link in self.links.values():
            link.close()
        for stream in (*self.streams.values(), *self.caller_streams.values()):
            stream.close()
        for discovery in self.discovery.values():
            discovery.close()
        for node in self.nodes.values():
            node.close()
        self._guard.close()
        self.history.close()
