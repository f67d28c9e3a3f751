"""`gateusher try`: a daemon, stand-in nodes and a small mixed load, during which one node drains and one crashes.

Everything runs on loopback addresses and stops with the command.  The exit code is 1 if a rule was broken.
"""

from __future__ import annotations

import asyncio
import json
import random
import socket
import sys
import tempfile
from collections import Counter
from contextlib import ExitStack
from pathlib import Path
from typing import Any, Final, NamedTuple

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table

from ..standins.caller import HttpClient, NoResponseError, Response
from ..standins.nodes import Fleet, Node
from ..standins.wire import DiscoveryServer
from .demo_tally import CLASSES, OUTCOME_KEYS, UNSAFE_CLASS, Tally

CONFIG: Final = """\
name = "try"
listen = "127.0.0.1:{listen}"
admin = "127.0.0.1:{admin}"
reports = ["queue"]
answers = "ok"

[discovery]
address = "127.0.0.1:{discovery}"
ask_within = 1.0

[limits]
memory_mb = 64.0
sockets = 512

[classes.pallet-lookup]
effect = "safe"
aim = 0.5
deadline = 1.0
worth = 1.0

[classes.booking-update]
effect = "safe"
aim = 0.5
deadline = 1.2
worth = 5.0

[classes.consign-issue]
effect = "unsafe"
aim = 0.3
deadline = 0.6
worth = 2.0
"""


class NodeSpec(NamedTuple):
    """The processing speed of a stand-in node."""

    work_s: float  # CPU time per request
    cores: int


NODES: Final = {"quick": NodeSpec(0.008, 4), "middle": NodeSpec(0.014, 4), "slow": NodeSpec(0.024, 4)}
DRAINING_NODE: Final = "middle"
CRASHING_NODE: Final = "slow"
DRAIN_AT_SHARE: Final = 0.4  # of the load's duration
CRASH_AFTER_DRAIN_SHARE: Final = 0.2  # of the load's duration
MAX_CRASH_DETECTION_S: Final = 1.0  # until discovery removes the crashed node
CRASH_DETECTION_SHARE: Final = 0.1  # of the load's duration, if that is shorter
DRAIN_GRACE_S: Final = 2.0  # a draining node must receive no new request after this
LATE_RESPONSE_S: Final = 1.0  # a response this late still counts, since a busy machine also delays clients
START_TIMEOUT_S: Final = 10.0
STOP_TIMEOUT_S: Final = 10.0
HEALTH_TIMEOUT_S: Final = 1.0
HEALTH_RETRY_INTERVAL_S: Final = 0.02
POLL_INTERVAL_S: Final = 0.05
REFRESHES_PER_SECOND: Final = 5
CLASS_COLUMNS: Final = ("class", "asked", *OUTCOME_KEYS[1:], "twice")
NODE_COLUMNS: Final = ("node", "state", "work ms", "attempts", "ran", "waiting")
EXIT_SUCCESS: Final = 0
EXIT_RULE_BROKEN: Final = 1


class _Demo:
    """One run: owns the stand-ins, the daemon's process, the requests in flight and the tally."""

    def __init__(self, duration_s: float, requests_per_s: float, seed: int) -> None:
        self._duration_s = duration_s
        self._requests_per_s = requests_per_s
        self._random = random.Random(seed)
        self._fleet = Fleet()
        self._discovery = DiscoveryServer()
        self._nodes = {
            name: Node(self._fleet, name, work_s=spec.work_s, cores=spec.cores) for name, spec in NODES.items()
        }
        self._node_states = dict.fromkeys(self._nodes, "ready")
        self._tally = Tally()
        self._elapsed_s = 0.0
        self._open: set[asyncio.Task[None]] = set()

    async def run(self, folder: Path) -> None:
        """Start the nodes and the daemon, send the load and stop; the configuration is written to `folder`."""
        for node in self._nodes.values():
            await node.start()
        await self._discovery.start()
        self._discovery.update(*(node.list_entry() for node in self._nodes.values()))
        port, admin_port = _unused_ports(2)
        path = folder / "gateusher.toml"
        path.write_text(CONFIG.format(listen=port, admin=admin_port, discovery=self._discovery.port))
        daemon = await asyncio.create_subprocess_exec(sys.executable, "-m", "gateusher", "run", "--config", str(path))
        caller = HttpClient(port)
        try:
            await self._wait_until_ready(caller, daemon)
            await self._send_load(caller)
            await self._read_diagnostics(admin_port)
            daemon.terminate()
            self._tally.exit_code = await asyncio.wait_for(daemon.wait(), STOP_TIMEOUT_S)
        finally:
            if daemon.returncode is None:
                daemon.kill()
                self._tally.exit_code = await daemon.wait()
            await caller.close()
            self._discovery.close()
            for node in self._nodes.values():
                node.kill()

    async def _wait_until_ready(self, caller: HttpClient, daemon: asyncio.subprocess.Process) -> None:
        """Wait until the daemon is healthy and watches discovery."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while daemon.returncode is None:
                try:
                    health = await caller.request("GET", "/_health", {}, timeout_s=HEALTH_TIMEOUT_S)
                except NoResponseError:
                    await asyncio.sleep(HEALTH_RETRY_INTERVAL_S)
                    continue
                if health.status == 200:
                    await self._discovery.has_watch.wait()
                    return
        raise RuntimeError("the daemon ended before it was ready")

    async def _read_diagnostics(self, admin_port: int) -> None:
        """Read which of its own invariants the daemon has recorded as violated."""
        operator = HttpClient(admin_port)
        try:
            response = await operator.request("GET", "/_diagnostics", {})
        except NoResponseError:
            self._tally.recorded_violations = None
            return
        finally:
            await operator.close()
        self._tally.recorded_violations = json.loads(response.body)["violations"] if response.status == 200 else None

    async def _send_load(self, caller: HttpClient) -> None:
        """Send requests at random times (Poisson arrivals), and wait for the last response."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        due_s = 0.0
        count = 0
        faults = asyncio.create_task(self._inject_faults())
        while due_s < self._duration_s:
            wait_s = started_at + due_s - loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            count += 1
            class_name = self._pick_class()
            task = loop.create_task(self._send_request(caller, class_name, f"{class_name}-{count}"))
            self._open.add(task)
            task.add_done_callback(self._open.discard)
            due_s += self._random.expovariate(self._requests_per_s)
            self._elapsed_s = min(due_s, self._duration_s)
        while self._open:
            await asyncio.wait(set(self._open))
        await faults

    def _pick_class(self) -> str:
        shares = [request_class.share for request_class in CLASSES.values()]
        return self._random.choices(list(CLASSES), shares)[0]

    async def _inject_faults(self) -> None:
        """Drain one node, then crash another, which discovery removes only after a delay."""
        await asyncio.sleep(DRAIN_AT_SHARE * self._duration_s)
        draining = self._nodes[DRAINING_NODE]
        crashing = self._nodes[CRASHING_NODE]
        self._node_states[DRAINING_NODE] = "draining"
        self._discovery.update(draining.list_entry("Terminating"))
        watching_drain = asyncio.create_task(self._watch_drain(draining))
        await asyncio.sleep(CRASH_AFTER_DRAIN_SHARE * self._duration_s)
        self._node_states[CRASHING_NODE] = "killed"
        crashing.kill()
        await asyncio.sleep(min(MAX_CRASH_DETECTION_S, CRASH_DETECTION_SHARE * self._duration_s))
        self._discovery.update(crashing.list_entry("Gone"))
        await watching_drain

    async def _watch_drain(self, node: Node) -> None:
        """Count the requests that reach a draining node after its grace period."""
        await asyncio.sleep(DRAIN_GRACE_S)
        count_before = self._fleet.requests_by_node[node.name]
        node.draining = True
        while self._elapsed_s < self._duration_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        self._tally.after_drain = self._fleet.requests_by_node[node.name] - count_before

    async def _send_request(self, caller: HttpClient, class_name: str, request_id: str) -> None:
        request_class = CLASSES[class_name]
        counts = self._tally.by_class[class_name]
        counts["requests"] += 1
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        headers = {
            "X-Request-Id": request_id,
            "X-Class": class_name,
            "X-Deadline": f"{request_class.deadline_s:.3f}",
        }
        timeout_s = request_class.deadline_s + LATE_RESPONSE_S
        try:
            response = await caller.request(
                request_class.method, f"/{class_name}/{request_id}", headers, timeout_s=timeout_s
            )
        except NoResponseError:
            counts["lost"] += 1
            return
        latency_s = loop.time() - sent_at
        self._count_response(counts, response, request_id, latency_s <= request_class.latency_objective_s)

    def _count_response(self, counts: Counter[str], response: Response, request_id: str, in_objective: bool) -> None:
        if response.status == 200:
            counts["served"] += 1
            counts["in_aim"] += in_objective
            self._tally.misdelivered += response.body != request_id.encode()
        elif response.status in (429, 503):
            counts["refused"] += 1
        else:
            counts["failed"] += 1

    def render(self) -> Group:
        """Return the current tables of classes and nodes."""
        return Group(self._class_table(), self._node_table())

    def _class_table(self) -> Table:
        table = Table(title=f"{self._elapsed_s:.1f} of {self._duration_s:g} s")
        for column in CLASS_COLUMNS:
            table.add_column(column.replace("_", " "), justify="left" if column == "class" else "right")
        repeated = Counter(request_id.rpartition("-")[0] for request_id in self._fleet.repeated_effects)
        for name, counts in self._tally.by_class.items():
            table.add_row(name, *(str(counts[key]) for key in OUTCOME_KEYS), str(repeated[name]))
        totals = [str(self._tally.total(key)) for key in OUTCOME_KEYS]
        table.add_row("all", *totals, str(repeated.total()), style="bold")
        return table

    def _node_table(self) -> Table:
        table = Table()
        for column in NODE_COLUMNS:
            table.add_column(column, justify="left" if column in ("node", "state") else "right")
        for name, node in self._nodes.items():
            table.add_row(
                name,
                self._node_states[name],
                f"{node.work_s * 1000:g}",
                str(self._fleet.requests_by_node[name]),
                str(self._fleet.effects_by_node[name]),
                str(node.queue_length),
            )
        return table

    def result(self) -> dict[str, Any]:
        """Return the summary in the form that is printed as JSON."""
        double_effects = sum(
            count - 1 for request_id, count in self._fleet.repeated_effects.items() if UNSAFE_CLASS in request_id
        )
        return {
            **{key: self._tally.total(key) for key in OUTCOME_KEYS},
            "double_effects": double_effects,
            "by_class": {
                name: {key: counts[key] for key in OUTCOME_KEYS} for name, counts in self._tally.by_class.items()
            },
            "by_node": {name: self._fleet.requests_by_node[name] for name in self._nodes},
            "broken": self._tally.violations(self._fleet),
        }


def _unused_ports(count: int) -> list[int]:
    """Return different ports, as all are bound at once."""
    with ExitStack() as listeners:
        bound = [listeners.enter_context(socket.create_server(("127.0.0.1", 0))) for _ in range(count)]
        return [listener.getsockname()[1] for listener in bound]


def run_demo(duration_s: float, requests_per_s: float, as_json: bool, seed: int) -> int:
    """Run the demonstration, print its summary and return the exit code."""
    console = Console()
    demo = _Demo(duration_s, requests_per_s, seed)
    with tempfile.TemporaryDirectory(prefix="gateusher-") as folder:
        if console.is_terminal and not as_json:
            with Live(get_renderable=demo.render, console=console, refresh_per_second=REFRESHES_PER_SECOND):
                asyncio.run(demo.run(Path(folder)))
        else:
            asyncio.run(demo.run(Path(folder)))
            if not as_json:
                console.print(demo.render())
    result = demo.result()
    if as_json:
        print(json.dumps(result))
    else:
        _print_summary(console, result)
    return EXIT_RULE_BROKEN if result["broken"] else EXIT_SUCCESS


def _print_summary(console: Console, result: dict[str, Any]) -> None:
    console.print(
        f"{result['requests']} requests: {result['served']} served, {result['in_aim']} of them within "
        f"their latency objective, {result['refused']} refused, {result['failed']} failed, {result['lost']} lost. "
        f"Effects issued twice: {result['double_effects']}."
    )
    console.print("\n".join(f"BROKEN: {violation}" for violation in result["broken"]) or "Every rule held.")
