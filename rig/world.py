"""A day played: the fleet is started, broken as the day says, mended, asked for its views, and judged."""

from __future__ import annotations

import asyncio
import json
import socket
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

from gateusher.standins.caller import HttpClient, NoResponseError
from gateusher.standins.nodes import Fleet, Node
from gateusher.standins.store import Store, WriteRecord
from gateusher.standins.wire import DiscoveryServer, ReceivedRequest

from . import judge
from .days import CLOCK, DISK, LIFE, LINK, STREAM, WORK, Day, Fault, group, written
from .history import History
from .links import Datagrams, Streams
from .processes import Process, Worker

CLASSES = {"look": ("GET", 1.0), "issue": ("POST", 1.0)}  # method, deadline in seconds
POLL_S = 0.1
LATE_S = 30.0  # an answer that comes later than this after its deadline is none
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
DUTIES = """\

[duties]
voters = {voters}
lease = {lease}
{memory}
"""
DUTY = "job"


class Seen(Fleet):
    """Nodes whose every request the history has."""

    def __init__(self, history: History) -> None:
        super().__init__()
        self.history = history

    def on_request(self, rid: str, node: str, asked: ReceivedRequest) -> None:
        self.history.note("arrived", rid=rid, node=node)
        super().on_request(rid, node, asked)

    def record_effect(self, rid: str, node: str, zone: str, asked: ReceivedRequest, now: float) -> None:
        self.history.note("effect", rid=rid, node=node)
        super().record_effect(rid, node, zone, asked, now)


class World:
    """One day.  `fault` plants one of `checker.faults` into every process."""

    def __init__(self, day: Day, seed: int, folder: Path, fault: str = "-") -> None:
        self.day, self.rng, self.folder = day, Random(seed), folder
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "day.toml").write_text(written(day))
        (folder / "seed").write_text(f"{seed}\n")
        self.history = History(folder / "history.jsonl")
        self.names = [f"s{i + 1}" for i in range(day.members)]
        net = self._net()
        self.ip = {name: f"{net}.{i + 1}" for i, name in enumerate(self.names)}
        self.seen = Seen(self.history)
        self.nodes = {f"n{k + 1}": Node(self.seen, f"n{k + 1}") for k in range(day.nodes)}
        self.lists: dict[str, DiscoveryServer] = {}
        self.ways: dict[tuple[str, str], Datagrams] = {}
        self.streams: dict[tuple[str, str], Streams] = {}  # (member, node's name or "list")
        self.doors: dict[str, Streams] = {}  # callers to a member
        self.processes: dict[str, Process] = {}
        self.callers: dict[str, HttpClient] = {}
        self.fault = fault
        self.store = Store(self._acted)
        self.workers: dict[str, Worker] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._calling = True
        self._count: Counter[str] = Counter()

    def _net(self) -> str:
        """Loopback addresses of this play alone: whoever holds the guard's socket has the rest."""
        while True:
            net = f"127.{Random().randrange(64, 128)}.{Random().randrange(1, 255)}"
            self._guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                self._guard.bind((f"{net}.254", 7099))
            except OSError:
                self._guard.close()
            else:
                return net

    # -- up

    async def start(self) -> None:
        day = self.day
        for node in self.nodes.values():
            await node.start()
        for name in self.names:
            for other in self.names:
                if name != other:
                    self.ways[name, other] = Datagrams(
                        name, other, (self.ip[other], 7100), self.history, Random(self.rng.random())
                    )
        lying = any(f.what in CLOCK or f.what in ("disk-eio", "disk-enospc", "disk-slow") for f in day.fault)
        for name in self.names:
            catalog = self.lists[name] = DiscoveryServer()
            await catalog.start()
            for target, port in [("list", catalog.port)] + [(n.name, n.port) for n in self.nodes.values()]:
                stream = self.streams[name, target] = Streams(("127.0.0.1", port))
                await stream.start()
            catalog.update(*(self._line(name, node) for node in self.nodes))
            door = self.doors[name] = Streams((self.ip[name], 8080))
            await door.start()
            self.processes[name] = Process(
                name, self.folder / name, self.config(name), self.history, lying, self.fault
            )
            self.callers[name] = HttpClient(door.port)
        await asyncio.gather(*(p.run() for p in self.processes.values()))
        await asyncio.gather(*(self.ready(name) for name in self.names))
        if day.voters:
            await self.store.start()
            self.workers = {
                name: Worker(name, self.folder / name, self.processes[name].control, self.store.port)
                for name in self.names
            }
            await asyncio.gather(*(w.run() for w in self.workers.values()))
            await self.acts(2)

    def _acted(self, act: WriteRecord) -> None:
        if act.body.startswith(b"held"):
            asked, got = act.body.split()[1:]
            self.history.note("held", who=act.writer, fence=act.fence, asked=float(asked), got=float(got))
        self.history.note("act", who=act.writer, fence=act.fence, taken=act.accepted)

    async def acts(self, count: int) -> None:
        """Until the store has taken so many acts more."""
        taken = sum(a.accepted for a in self.store.writes)
        async with asyncio.timeout(judge.HANG_S):
            while sum(a.accepted for a in self.store.writes) < taken + count:
                await asyncio.sleep(0.02)

    def config(self, name: str) -> str:
        peers = [f"{other}@127.0.0.1:{self.ways[name, other].port}" for other in self.names if other != name]
        voters = [f"s{i + 1}" for i in range(self.day.voters)]
        memory = (
            ""
            if name not in voters
            else "diskless = true"
            if self.day.diskless
            else f'folder = "{self.folder / name / "votes"}"'
        )
        duties = DUTIES.format(voters=json.dumps(voters), lease=self.day.lease, memory=memory) if voters else ""
        return CONFIG.format(**self._words(name, peers)) + duties

    def _words(self, name: str, peers: list[str]) -> dict[str, Any]:
        return dict(
            name=name,
            ip=self.ip[name],
            control=self.folder / name / "control.sock",
            list=self.streams[name, "list"].port,
            peers=json.dumps(peers),
            keys=json.dumps(KEYS),
            period=self.day.period,
            retry=2 * self.day.period,
            rate=self.day.bytes_per_second,
            drains="true" if self.day.drains else "false",
        )

    def _line(self, name: str, node: str, health: str = "Ready", **more: object) -> dict[str, Any]:
        return {**self.nodes[node].list_entry(health, **more), "dial": f"127.0.0.1:{self.streams[name, node].port}"}

    async def ready(self, name: str) -> None:
        """Until this member's newest process serves."""
        process = self.processes[name]
        child = process.child
        async with asyncio.timeout(judge.HANG_S):
            while child is process.child and child and child.returncode is None:
                if process.speaks and await self._ask(name, "/_ready") is not None:
                    process.wanted = True
                    return
                await asyncio.sleep(0.02)

    async def _ask(self, name: str, path: str, method: bytes = b"GET") -> bytes | None:
        """The body of a yes at the control address; None for anything else."""
        process = self.processes[name]
        writer = None
        try:
            async with asyncio.timeout(5.0):
                reader, writer = await asyncio.open_unix_connection(process.control, limit=1 << 24)
                writer.write(b"%b %b HTTP/1.1\r\nHost: o\r\n\r\n" % (method, path.encode()))
                data = await reader.read()
        except (OSError, TimeoutError):
            return None
        finally:
            if writer:
                writer.close()
        head, _, body = data.partition(b"\r\n\r\n")
        return body if head.startswith(b"HTTP/1.1 200") else None

    async def view(self, name: str) -> dict[str, Any] | None:
        """What a member says at its control address; the history has it."""
        body = await self._ask(name, "/_members")
        with suppress(ValueError):
            report = json.loads(body or b"null")
            if isinstance(report, dict):
                self.history.note(
                    "view",
                    who=name,
                    pid=self.processes[name].child.pid,  # type: ignore[union-attr]
                    states={m["name"]: m["state"] for m in report["members"]},
                    displaced=report["displaced"],
                    sent=report["sent"].get("bytes", 0),
                )
                return report
        return None

    # -- load

    async def _call(self, name: str) -> None:
        caller, wait = self.callers[name], 1.0 / self.day.rate
        rng = Random(self.rng.random())
        while self._calling:
            await asyncio.sleep(rng.expovariate(1.0) * wait)
            if self.processes[name].wanted:
                self._spawn(self._one(name, caller))

    async def _one(self, name: str, caller: HttpClient) -> None:
        self._count[name] += 1
        cls = "issue" if self._count[name] % 3 == 0 else "look"
        method, deadline = CLASSES[cls]
        rid = f"{name}-{self._count[name]}-{cls}"
        self.history.note("asked", rid=rid, who=name)
        try:
            got = await caller.request(
                method,
                f"/{cls}/{rid}",
                {"X-Request-Id": rid, "X-Class": cls, "X-Deadline": f"{deadline:.3f}"},
                timeout_s=deadline + LATE_S,
            )
        except NoResponseError as error:
            self.history.note("lost", rid=rid, who=name, why=str(error))
            return
        right = got.status != 200 or got.body == rid.encode()
        self.history.note("answered", rid=rid, who=name, status=got.status, right=right)

    def _spawn(self, work: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # -- faults

    async def break_as_planned(self) -> None:
        await asyncio.gather(*(self._fault(fault) for fault in self.day.fault), asyncio.sleep(self.day.seconds))

    async def _fault(self, fault: Fault) -> None:
        began, rounds = self.history.now(), 0
        while True:
            await asyncio.sleep(max(0.0, began + fault.at + rounds * fault.every - self.history.now()))
            if rounds and self.history.now() - began >= self.day.seconds:
                return
            self.history.note(
                "fault",
                what=fault.what,
                between=fault.between,
                who=fault.who,
                to=fault.to,
                node=fault.node,
                told=fault.told,
            )
            mend = await self._begin(fault)
            left = began + self.day.seconds - self.history.now()
            await asyncio.sleep(max(0.0, min(fault.lasts or left, left)))
            if mend:
                await mend()
            self.history.note("mended", what=fault.what, between=fault.between, who=fault.who)
            rounds += 1
            if not fault.every:
                return

    async def _begin(self, fault: Fault) -> Callable[[], Awaitable[None]] | None:
        what, count = fault.what, self.day.members
        if what in LINK:
            return self._links(fault)
        if what in STREAM:
            return self._streams(fault)
        if what in ("drain", "start"):
            self._tell(fault)
            return None
        if what in WORK:
            return await self._work(fault)
        whom = [self.processes[name] for name in group(fault.who, count, self.day.voters)]
        if what in DISK:
            return await self._disks(fault, whom)
        if what in LIFE:
            return await self._lives(fault, whom)
        for process in whom:
            process.clock({"clock-step": "step", "clock-rate": "rate", "clock-jump": "jump"}[what] + f" {fault.by}")

        async def rate() -> None:
            for process in whom:
                process.clock("rate 1.0")

        return rate if what == "clock-rate" else None

    def _links(self, fault: Fault) -> Callable[[], Awaitable[None]]:
        some, others = (group(g, self.day.members, self.day.voters) for g in fault.between)
        pairs = [(a, b) for a in some for b in others if a != b]
        if fault.what not in ("one-way",):
            pairs += [(b, a) for a, b in pairs]
        links = [self.ways[pair] for pair in dict.fromkeys(pairs)]
        name = {"one-way": "cut", "stall": "stalled"}.get(fault.what, fault.what)
        for link in links:
            if name in ("cut", "stalled"):
                setattr(link.way, name, True)
            elif name == "delay":
                link.way.delay, link.way.delayed = fault.by, fault.share
            else:
                setattr(link.way, name, fault.share)

        async def mend() -> None:
            for link in links:
                if name in ("cut", "stalled"):
                    setattr(link.way, name, False)
                    if name == "stalled":
                        link.let_go()
                else:
                    setattr(link.way, name, 0.0)

        return mend

    def _streams(self, fault: Fault) -> Callable[[], Awaitable[None]] | None:
        whom = group(fault.who, self.day.members)
        if fault.to == "callers":
            streams = [self.doors[name] for name in whom]
        elif fault.to == "list":
            streams = [self.streams[name, "list"] for name in whom]
        else:
            streams = [self.streams[name, node] for name in whom for node in self.nodes]
        if fault.what == "stream-reset":
            for stream in streams:
                stream.reset()
            return None

        def hold(held: bool) -> None:
            for stream in streams:
                (stream.silence if fault.what == "stream-silent" else stream.stall)(held)

        async def mend() -> None:
            hold(False)

        hold(True)
        return mend

    def _tell(self, fault: Fault) -> None:
        health = "Terminating" if fault.what == "drain" else "Ready"
        more = {"born_ms": int(time.time() * 1000)} if fault.what == "start" else {}
        told = group(fault.told, self.day.members)
        for name in told:
            self.lists[name].update(self._line(name, fault.node, health, **more))
        self.history.note("told", what=fault.what, node=fault.node, who=told)

    async def _lives(self, fault: Fault, whom: list[Process]) -> Callable[[], Awaitable[None]]:
        what = fault.what
        for process in sorted(whom, key=lambda p: p.name):  # in one order, so that no two wait for each other
            await process.life.acquire()
        if what == "stop":
            for process in whom:
                process.stop()
        elif what == "kill":
            await asyncio.gather(*(p.kill() for p in whom))
        elif what == "end":
            await asyncio.gather(*(p.end() for p in whom))
        else:
            for process in whom:
                await process.upgrade(lambda p=process: self.ready(p.name))

        async def mend() -> None:
            for process in whom:
                if what == "stop":
                    process.go_on()
                elif what in ("kill", "end") and not process.wanted:
                    await process.run()
                    await self.ready(process.name)
                process.life.release()

        return mend

    def holder(self) -> str | None:
        """Whoever acted last."""
        taken = [a for a in self.store.writes if a.accepted]
        return taken[-1].writer.partition(".")[0] if taken else None

    async def _work(self, fault: Fault) -> Callable[[], Awaitable[None]] | None:
        names = [self.holder()] if fault.who == "holder" else group(fault.who, self.day.members, self.day.voters)
        workers = [self.workers[name] for name in names if name]
        self.history.note("struck", what=fault.what, who=[w.name for w in workers])
        if fault.what == "give":
            for name in names:
                if name:
                    await self._ask(name, f"/_duty/give?duty={DUTY}", b"POST")
            return None
        for worker in workers:
            worker.strike(fault.what)

        async def mend() -> None:
            for worker in workers:
                await worker.mend()

        return mend

    async def _disks(self, fault: Fault, whom: list[Process]) -> Callable[[], Awaitable[None]] | None:
        what = fault.what.removeprefix("disk-")
        if what in ("eio", "enospc", "slow"):
            for process in whom:
                process.clock(f"disk {what} {fault.by}")

            async def whole() -> None:
                for process in whom:
                    process.clock("disk whole 0")

            return whole
        for process in sorted(whom, key=lambda p: p.name):
            await process.life.acquire()
        copies = {p.name: p.copy_votes() for p in whom if what == "old"}
        if what != "old":
            await asyncio.gather(*(p.kill() for p in whom))

        async def mend() -> None:
            for process in whom:
                if what == "old":
                    await process.kill()
                process.spoil_votes(what, copies.get(process.name))
                await process.run()
                await self.ready(process.name)
                process.life.release()

        return mend

    # -- the end

    async def settle(self) -> None:
        """Until every view is what it should be, and what was drained gets nothing any more; or the time is up."""
        limit = self.history.now() + self.day.settle
        while self.history.now() < limit:
            views = await asyncio.gather(*(self.view(name) for name in self.names))
            if all(v and judge.agrees(v, self.names) for v in views):
                self.history.note("agreed")
                break
            await asyncio.sleep(POLL_S)
        if self.day.voters:
            with suppress(TimeoutError):
                async with asyncio.timeout(max(0.1, limit - self.history.now())):
                    await self.acts(5)
                    self.history.note("working")
        for told in self.history.of("told"):
            if told["what"] == "drain" and judge.words_hold(self.day, self.history, told):
                await self._quiet(told["node"], limit)

    async def _quiet(self, node: str, limit: float) -> None:
        """Until a second passes in which requests were asked everywhere and none came to this node."""
        while self.history.now() < limit:
            since = len(self.history.events)
            began = self.history.now()
            asked: set[str] = set()
            while self.history.now() - began < 1.0 or len(asked) < len(self.names):
                await asyncio.sleep(0.1)
                asked = {e["who"] for e in self.history.events[since:] if e["event"] == "answered"}
                if self.history.now() > limit:
                    return
            if not any(e["event"] == "arrived" and e["node"] == node for e in self.history.events[since:]):
                self.history.note("quiet", node=node)
                return

    async def play(self) -> judge.Verdict:
        """The whole day."""
        try:
            await self.start()
            self.history.note("up")
            calls = [self._spawn(self._call(name)) for name in self.names if self.day.rate and self.day.nodes]
            await self.break_as_planned()
            self.history.note("whole")
            await self.settle()
            self._calling = False
            await asyncio.gather(*calls)
            while self._tasks:
                await asyncio.wait(set(self._tasks))
            await asyncio.gather(*(w.close() for w in self.workers.values()))
            await asyncio.gather(*(p.end() for p in self.processes.values()))
        finally:
            await self.close()
        verdict = judge.judge(
            self.day,
            self.history,
            {
                **{n: (p.log, p.peak_kb) for n, p in self.processes.items()},
                **{f"worker of {n}": (w.log, 0) for n, w in self.workers.items()},
            },
        )
        (self.folder / "verdict.json").write_text(json.dumps(verdict._asdict(), indent=1))
        return verdict

    async def close(self) -> None:
        self._calling = False
        for task in list(self._tasks):
            task.cancel()
        for worker in self.workers.values():
            await worker.close()
        self.store.close()
        for process in self.processes.values():
            await process.close()
        for caller in self.callers.values():
            await caller.close()
        for way in self.ways.values():
            way.close()
        for stream in (*self.streams.values(), *self.doors.values()):
            stream.close()
        for catalog in self.lists.values():
            catalog.close()
        for node in self.nodes.values():
            node.close()
        self._guard.close()
        self.history.close()


async def play(day: Day, seed: int, keep: Path | None = None, fault: str = "-") -> judge.Verdict:
    """Play one day in a folder of its own, which is kept where one is named."""
    if keep:
        return await World(day, seed, keep, fault).play()
    with tempfile.TemporaryDirectory(prefix="gr", dir="/tmp") as folder:  # short: paths of Unix sockets are
        return await World(day, seed, Path(folder), fault).play()
