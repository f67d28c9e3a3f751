"""`gateusher try`: a daemon, stand-ins around it and a small mixed load, with a drain and a crash on the way.

Everything runs on the loopback addresses and ends with the command.  The exit code is 1 if a rule broke.
"""

from __future__ import annotations

import asyncio
import json
import random
import socket
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table

from ..standins.caller import Caller, Got, LostError
from ..standins.nodes import Fleet, Node
from ..standins.wire import Catalog

CONFIG = """\
name = "try"
listen = "127.0.0.1:{listen}"
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
CLASSES = {
    "pallet-lookup": ("GET", 0.64, 0.5, 1.0),
    "booking-update": ("GET", 0.18, 0.5, 1.2),
    "consign-issue": ("POST", 0.18, 0.3, 0.6),
}  # method, share, aim and deadline in seconds
NODES = {"quick": (0.008, 4), "middle": (0.014, 4), "slow": (0.024, 4)}  # seconds of work, cores
GRACE_S = 2.0  # after this a node that drains must get nothing new
LATE_S = 1.0  # an answer that comes later than this after its deadline is lost; a busy machine is no fault
UP_S = 10.0  # how long the daemon may take until it serves
KEYS = ("requests", "served", "in_aim", "refused", "failed", "lost")


@dataclass
class Tally:
    """What became of the requests, by class, and what broke a rule."""

    by_class: dict[str, Counter[str]] = field(default_factory=lambda: {c: Counter() for c in CLASSES})
    wrong: int = 0  # answers made for another request
    after_drain: int = 0  # requests that reached a node past the grace of its drain
    exit_code: int | None = None  # the daemon's

    def total(self, key: str) -> int:
        return sum(c[key] for c in self.by_class.values())

    def broken(self, fleet: Fleet) -> list[str]:
        """The rules that broke, in words."""
        found = []
        if lost := self.total("lost"):
            found.append(f"{lost} requests got no final answer in time")
        if self.wrong:
            found.append(f"{self.wrong} answers were made for another request")
        if doubles := [r for r in fleet.doubles if "consign-issue" in r]:
            found.append(f"{len(doubles)} effects were issued twice")
        if self.after_drain:
            found.append(f"{self.after_drain} requests reached a node past its drain's grace")
        if self.exit_code not in (None, 0):
            found.append(f"the daemon ended with {self.exit_code}")
        return found


class _Try:
    def __init__(self, seconds: float, rate: float, seed: int) -> None:
        self._seconds, self._rate, self._rng = seconds, rate, random.Random(seed)
        self.fleet, self.catalog = Fleet(), Catalog()
        self.nodes = {n: Node(self.fleet, n, work=work, cores=cores) for n, (work, cores) in NODES.items()}
        self.states = dict.fromkeys(self.nodes, "ready")
        self.tally = Tally()
        self.at = 0.0
        self._open: set[asyncio.Task[None]] = set()

    async def run(self, folder: Path) -> None:
        for node in self.nodes.values():
            await node.start()
        await self.catalog.start()
        self.catalog.tell(*(n.entry() for n in self.nodes.values()))
        with socket.create_server(("127.0.0.1", 0)) as place:
            port = place.getsockname()[1]
        path = folder / "gateusher.toml"
        path.write_text(CONFIG.format(listen=port, discovery=self.catalog.port))
        daemon = await asyncio.create_subprocess_exec(sys.executable, "-m", "gateusher", "run", "--config", str(path))
        caller = Caller(port)
        try:
            await self._up(caller, daemon)
            await self._load(caller)
            daemon.terminate()
            self.tally.exit_code = await asyncio.wait_for(daemon.wait(), 10)
        finally:
            if daemon.returncode is None:
                daemon.kill()
                self.tally.exit_code = await daemon.wait()
            await caller.close()
            self.catalog.close()
            for node in self.nodes.values():
                node.kill()

    async def _up(self, caller: Caller, daemon: asyncio.subprocess.Process) -> None:
        """Until it answers and follows the list."""
        async with asyncio.timeout(UP_S):
            while daemon.returncode is None:
                try:
                    if (await caller.ask("GET", "/_health", {}, within=1.0)).status == 200:
                        await self.catalog.watched.wait()
                        return
                except LostError:
                    await asyncio.sleep(0.02)
        raise RuntimeError("the daemon did not come up")

    async def _load(self, caller: Caller) -> None:
        loop = asyncio.get_running_loop()
        start, due, count = loop.time(), 0.0, 0
        troubles = asyncio.create_task(self._troubles())
        while due < self._seconds:
            wait = start + due - loop.time()
            if wait > 0:
                await asyncio.sleep(wait)
            count += 1
            cls = self._rng.choices(list(CLASSES), [c[1] for c in CLASSES.values()])[0]
            task = loop.create_task(self._one(caller, cls, f"{cls}-{count}"))
            self._open.add(task)
            task.add_done_callback(self._open.discard)
            due += self._rng.expovariate(self._rate)
            self.at = min(due, self._seconds)
        while self._open:
            await asyncio.wait(set(self._open))
        await troubles

    async def _troubles(self) -> None:
        """One node drains at 40% of the time, another dies at 60% of it, which the list says 1 s later."""
        await asyncio.sleep(0.4 * self._seconds)
        drains, dies = self.nodes["middle"], self.nodes["slow"]
        self.states["middle"] = "draining"
        self.catalog.tell(drains.entry("Terminating"))
        grace = asyncio.create_task(self._drained(drains))
        await asyncio.sleep(0.2 * self._seconds)
        self.states["slow"] = "killed"
        dies.kill()
        await asyncio.sleep(min(1.0, 0.1 * self._seconds))
        self.catalog.tell(dies.entry("Gone"))
        await grace

    async def _drained(self, node: Node) -> None:
        await asyncio.sleep(GRACE_S)
        before = self.fleet.by_node[node.name]
        node.draining = True
        while self.at < self._seconds:
            await asyncio.sleep(0.05)
        self.tally.after_drain = self.fleet.by_node[node.name] - before

    async def _one(self, caller: Caller, cls: str, rid: str) -> None:
        method, _, aim, deadline = CLASSES[cls]
        count, loop = self.tally.by_class[cls], asyncio.get_running_loop()
        count["requests"] += 1
        began = loop.time()
        try:
            got = await caller.ask(
                method,
                f"/{cls}/{rid}",
                {"X-Request-Id": rid, "X-Class": cls, "X-Deadline": f"{deadline:.3f}"},
                within=deadline + LATE_S,
            )
        except LostError:
            count["lost"] += 1
            return
        self._count(count, got, rid, loop.time() - began <= aim)

    def _count(self, count: Counter[str], got: Got, rid: str, in_aim: bool) -> None:
        if got.status == 200:
            count["served"] += 1
            count["in_aim"] += in_aim
            self.tally.wrong += got.body != rid.encode()
        elif got.status in (429, 503):
            count["refused"] += 1
        else:
            count["failed"] += 1

    # -- what is shown

    def tables(self) -> Group:
        classes = Table(title=f"{self.at:.1f} of {self._seconds:g} s")
        twice = Counter(rid.rpartition("-")[0] for rid in self.fleet.doubles)
        for column in ("class", "asked", *KEYS[1:], "twice"):
            classes.add_column(column.replace("_", " "), justify="left" if column == "class" else "right")
        for name, count in self.tally.by_class.items():
            classes.add_row(name, *(str(count[k]) for k in KEYS), str(twice[name]))
        classes.add_row("all", *(str(self.tally.total(k)) for k in KEYS), str(twice.total()), style="bold")
        nodes = Table()
        for column in ("node", "state", "work ms", "attempts", "ran", "waiting"):
            nodes.add_column(column, justify="left" if column in ("node", "state") else "right")
        for name, node in self.nodes.items():
            nodes.add_row(
                name,
                self.states[name],
                f"{node.work * 1000:g}",
                str(self.fleet.by_node[name]),
                str(self.fleet.ran_at[name]),
                str(node.load),
            )
        return Group(classes, nodes)

    def result(self) -> dict[str, Any]:
        """The summary as one JSON object."""
        issued = sum(n - 1 for r, n in self.fleet.doubles.items() if "consign-issue" in r)
        return {
            **{k: self.tally.total(k) for k in KEYS},
            "double_effects": issued,
            "by_class": {n: {k: c[k] for k in KEYS} for n, c in self.tally.by_class.items()},
            "by_node": {n: self.fleet.by_node[n] for n in self.nodes},
            "broken": self.tally.broken(self.fleet),
        }


def first(seconds: float, rate: float, as_json: bool, seed: int) -> int:
    """Run it; 0 where every rule held, 1 where one broke."""
    console = Console()
    trial = _Try(seconds, rate, seed)
    with tempfile.TemporaryDirectory(prefix="gateusher-") as folder:
        if console.is_terminal and not as_json:
            with Live(get_renderable=trial.tables, console=console, refresh_per_second=5):
                asyncio.run(trial.run(Path(folder)))
        else:
            asyncio.run(trial.run(Path(folder)))
            if not as_json:
                console.print(trial.tables())
    result = trial.result()
    if as_json:
        print(json.dumps(result))
        return 1 if result["broken"] else 0
    console.print(
        f"{result['requests']} requests: {result['served']} served, {result['in_aim']} of them in "
        f"their aim, {result['refused']} refused, {result['failed']} failed, {result['lost']} lost. "
        f"Effects issued twice: {result['double_effects']}."
    )
    console.print("\n".join(f"BROKEN: {b}" for b in result["broken"]) or "Every rule held.")
    return 1 if result["broken"] else 0
