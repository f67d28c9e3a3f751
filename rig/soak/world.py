"""One soak: sidecars, clients, endpoints and discovery, with faults that overlap as a seed draws them."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from .clients import SoakClient
from .faults import FaultPage, SystemCall
from .judge import Judge, Violation
from .peers import SoakCatalog, SoakEndpoint
from .records import Change, LoopMeter, Records
from .sidecars import GRACE_MS, Sidecar

TOLD_S = 6.0  # a change counts as told so long after discovery had it and could be reached
REPORT_MARKS = ("Traceback", "illegal transition", "invariant violated")


class Size(NamedTuple):
    """How large a soak is."""

    sidecars: int = 12
    endpoints: int = 8
    seconds: float = 20.0
    rate: float = 12.0  # requests a second of each client
    troubles: int = 4  # faults at a time


class Outcome(NamedTuple):
    """What came of a soak."""

    violations: list[Violation]
    figures: dict[str, object]


class Soak:
    """One run.  `library`: that of the system-call faults, where one could be built."""

    def __init__(self, seed: int, size: Size, folder: Path, library: Path | None) -> None:
        self.seed, self.size, self.folder = seed, size, folder
        self.random = Random(seed)
        self.records = Records()
        self._library = library
        self._tasks: set[asyncio.Task[None]] = set()
        self._asking = True
        self._generation = 0
        self.endpoints: dict[str, SoakEndpoint] = {}
        self.catalogs: dict[str, list[SoakCatalog]] = {}
        self.sidecars: dict[str, Sidecar] = {}
        self.clients: dict[str, SoakClient] = {}
        self._draining: set[str] = set()

    async def run(self) -> Outcome:
        """Start everything, break it as drawn, end it in order, and judge."""
        self._meter = LoopMeter()
        try:
            await self._start()
            clients = [self._spawn(self._keep_asking(name)) for name in self.sidecars]
            await asyncio.gather(*(self._trouble(i) for i in range(self.size.troubles)))
            self._asking = False
            await asyncio.gather(*clients)
            while self._tasks:
                await asyncio.wait(set(self._tasks))
            await asyncio.gather(*(sidecar.terminate() for sidecar in self.sidecars.values()))
        finally:
            await self._close()
        (self.folder / "records.json").write_text(self.records.as_json())
        judge = Judge(self.records, self._meter, GRACE_MS / 1000)
        return Outcome(judge.verdict() + self._logs(), judge.figures())

    # -- up and down

    async def _start(self) -> None:
        for i in range(self.size.endpoints):
            endpoint = self.endpoints[f"e{i}"] = self._endpoint(f"e{i}")
            await endpoint.start()
        guard, net = self._addresses()
        self._guard = guard
        for i in range(self.size.sidecars):
            await self._new_sidecar(f"s{i}", f"{net}.{i + 1}", i)
        await asyncio.gather(*(s.start(self._known(name)) for name, s in self.sidecars.items()))

    @staticmethod
    def _addresses() -> tuple[socket.socket, str]:
        """Loopback addresses of this run alone: whoever holds the guard's socket has the rest."""
        draw = Random()
        while True:
            net = f"127.{draw.randrange(64, 128)}.{draw.randrange(1, 255)}"
            guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                guard.bind((f"{net}.254", 7099))
                return guard, net
            except OSError:
                guard.close()

    def _endpoint(self, name: str) -> SoakEndpoint:
        return SoakEndpoint(name, self.records, self.random.randrange(1 << 30))

    async def _new_sidecar(self, name: str, ip: str, number: int) -> None:
        pair = self.catalogs[name] = [SoakCatalog(), SoakCatalog()]
        for catalog in pair:
            await catalog.start()
            catalog.update(*(e.entry("Ready") for e in self.endpoints.values()))
        folder = self.folder / name
        faults = None
        if self._library:
            faults = FaultPage(self._library, self.folder / f"{name}.faults", self.seed * 1000 + number)
        self.sidecars[name] = Sidecar(name, (ip, 8080), [c.port for c in pair], folder, self.records, faults)
        self.clients[name] = SoakClient(name, (ip, 8080), self.records, self.random.randrange(1 << 30))

    def _catalog(self, name: str) -> SoakCatalog:
        return self.catalogs[name][self.sidecars[name].catalog]

    def _known(self, name: str) -> dict[str, Any]:
        return self._catalog(name).snapshot

    async def _close(self) -> None:
        self._asking = False
        for task in list(self._tasks):
            task.cancel()
        for sidecar in self.sidecars.values():
            await sidecar.close()
        for client in self.clients.values():
            client.close()
        for pair in self.catalogs.values():
            for catalog in pair:
                catalog.close()
        for endpoint in self.endpoints.values():
            endpoint.crash()
        self._guard.close()
        self._meter.close()

    def _logs(self) -> list[Violation]:
        found = []
        for name, sidecar in self.sidecars.items():
            log = sidecar.log.read_text(errors="replace")
            found += [
                Violation("log", f"{name}: {line[:300]}")
                for line in log.splitlines()
                if any(mark in line for mark in REPORT_MARKS)
            ]
        return found

    def _spawn(self, work: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _keep_asking(self, name: str) -> None:
        sidecar, client, random = self.sidecars[name], self.clients[name], Random(self.random.random())
        while self._asking:
            await asyncio.sleep(random.expovariate(self.size.rate))
            if sidecar.serving:
                self._spawn(client.act())

    # -- faults

    async def _trouble(self, number: int) -> None:
        """One fault after the other; several of these run at once, so that faults overlap."""
        random = Random(self.seed * 31 + number)
        kinds: list[Callable[[Random], Awaitable[None]]] = [
            self._restart,
            self._restart,
            self._kill,
            self._pause,
            self._reload,
            self._move,
            self._fail_calls,
            self._fail_calls,
            self._hang_endpoint,
            self._crash_endpoint,
            self._replace_endpoint,
            self._replace_endpoint,
            self._silence,
            self._discovery_down,
            self._step_clock,
            self._drain_unheard,
            self._restart_without_accept,
        ]
        until = time.monotonic() + self.size.seconds
        while time.monotonic() < until:
            await asyncio.sleep(random.uniform(0.0, 0.6))
            await random.choice(kinds)(random)

    def _note(self, what: str, whom: object) -> None:
        self.records.schedule.append(f"{time.monotonic():.3f} {what} {whom}")

    def _some(self, random: Random) -> list[str]:
        return random.sample(sorted(self.sidecars), random.randint(1, max(1, len(self.sidecars) // 3)))

    async def _each(self, names: list[str], act: Callable[[Sidecar], Awaitable[None]]) -> None:
        async def one(sidecar: Sidecar) -> None:
            async with sidecar.busy:
                await act(sidecar)

        await asyncio.gather(*(one(self.sidecars[name]) for name in names))

    async def _again(self, sidecar: Sidecar) -> None:
        self.clients[sidecar.name].forget()
        await sidecar.start(self._known(sidecar.name))

    async def _restart(self, random: Random) -> None:
        """A planned restart, with clients that go on and, sometimes, accept that fails or a process that stalls."""
        names = self._some(random)
        stall_s = random.choice((0.0, 0.0, 0.2, 0.6))
        self._note("restart", f"{names} stalled {stall_s}")

        async def act(sidecar: Sidecar) -> None:
            if stall_s:
                stall = asyncio.ensure_future(sidecar.stop_for(stall_s))
                await asyncio.sleep(0.01)
                await sidecar.terminate()
                await stall
            else:
                await sidecar.terminate()
            await self._again(sidecar)

        await self._each(names, act)

    async def _restart_without_accept(self, random: Random) -> None:
        """A planned restart while accept fails, for a while or for all of it."""
        names, share = self._some(random), random.choice((300, 1000))
        self._note("deaf-restart", f"{names} {share}")
        pages = [page for name in names if (page := self.sidecars[name].faults)]
        for page in pages:
            page.set(SystemCall.ACCEPT, share)
        restart = asyncio.ensure_future(self._each(names, self._end_and_start))
        await asyncio.sleep(random.uniform(0.2, 0.9))
        for page in pages:
            page.set(SystemCall.ACCEPT, 0)
        await restart

    async def _end_and_start(self, sidecar: Sidecar) -> None:
        await sidecar.terminate()
        await self._again(sidecar)

    async def _drain_unheard(self, random: Random) -> None:
        """Endpoints drain while some sidecars are stopped for longer than the grace; they read of it afterwards."""
        names, seconds = self._some(random), GRACE_MS / 1000 + random.uniform(0.2, 0.8)
        self._note("unheard", f"{names} {seconds:.1f}")
        pause = asyncio.ensure_future(self._each(names, lambda sidecar: sidecar.stop_for(seconds)))
        await asyncio.sleep(0.01)
        await asyncio.gather(self._replace_endpoint(random), self._replace_endpoint(random))
        await pause

    async def _kill(self, random: Random) -> None:
        names = self._some(random)[:1]
        self._note("kill", names)

        async def act(sidecar: Sidecar) -> None:
            await sidecar.kill()
            await self._again(sidecar)

        await self._each(names, act)

    async def _pause(self, random: Random) -> None:
        names, seconds = self._some(random), random.choice((0.05, 0.12, 0.4, 1.2, 2.5))
        self._note("pause", f"{names} {seconds}")
        await self._each(names, lambda sidecar: sidecar.stop_for(seconds))

    async def _reload(self, random: Random) -> None:
        """New deadlines, several configurations in quick succession."""
        names = self._some(random)
        self._note("reload", names)
        for _ in range(random.randint(1, 3)):
            for name in names:
                self.sidecars[name].deadline_ms = random.choice((800, 900, 1000))
                self.sidecars[name].reload(self._known(name))
            await asyncio.sleep(random.uniform(0.0, 0.2))

    async def _move(self, random: Random) -> None:
        """SIGHUP sends sidecars to their other discovery service; the one before is told nothing more."""
        names = self._some(random)
        self._note("move", names)
        for name in names:
            old = self._catalog(name)
            self.sidecars[name].catalog ^= 1
            new = self._catalog(name)
            new.come_back()
            for endpoint in self.endpoints.values():
                new.update(endpoint.entry("Terminating" if endpoint.draining else "Ready"))
            old.fall_silent()
            self.sidecars[name].reload(self._known(name))
        await asyncio.sleep(random.uniform(0.0, 0.5))

    async def _fail_calls(self, random: Random) -> None:
        """System calls of some sidecars fail for a while."""
        names = self._some(random)
        pages = [page for name in names if (page := self.sidecars[name].faults)]
        chosen = random.sample(
            [
                SystemCall.ACCEPT,
                SystemCall.CONNECT,
                SystemCall.SOCKET,
                SystemCall.READ,
                SystemCall.WRITE,
                SystemCall.SHORT,
                SystemCall.OPEN,
            ],
            random.randint(1, 3),
        )
        shares = {call: random.choice((100, 300, 1000)) for call in chosen}
        for call in (SystemCall.READ, SystemCall.WRITE):  # at each call nothing would ever pass
            if call in shares:
                shares[call] = min(300, shares[call])
        self._note("fail", f"{names} {[(c.name, share) for c, share in shares.items()]}")
        for page in pages:
            for call, share in shares.items():
                page.set(call, share)
        await asyncio.sleep(random.uniform(0.1, 0.6 if max(shares.values()) == 1000 else 2.0))
        for page in pages:
            for call in shares:
                page.set(call, 0)

    async def _step_clock(self, random: Random) -> None:
        names, step_s = self._some(random), random.choice((-3600, -5, 5, 3600))
        self._note("clock", f"{names} {step_s}")
        for name in names:
            if page := self.sidecars[name].faults:
                page.set(SystemCall.WALL_CLOCK_S, step_s)

    async def _hang_endpoint(self, random: Random) -> None:
        endpoint = random.choice(list(self.endpoints.values()))
        self._note("hang", endpoint.name)
        endpoint.hangs = True
        await asyncio.sleep(random.uniform(0.3, 2.0))
        endpoint.hangs = False

    async def _crash_endpoint(self, random: Random) -> None:
        endpoint = random.choice(list(self.endpoints.values()))
        self._note("crash", endpoint.name)
        endpoint.crash()
        await asyncio.sleep(random.uniform(0.1, 1.5))
        if self.endpoints.get(endpoint.name) is endpoint and not endpoint.up:
            await endpoint.start()

    async def _replace_endpoint(self, random: Random) -> None:
        """An endpoint drains and leaves; another takes its place."""
        ready = [e for e in self.endpoints.values() if not e.draining]
        if len(ready) <= 3:
            return
        endpoint = random.choice(ready)
        self._note("drain", endpoint.name)
        endpoint.draining = True
        self._tell(endpoint, "Terminating")
        self._generation += 1
        new = self._endpoint(f"{endpoint.name.split('-')[0]}-{self._generation}")
        await new.start()
        new.born_ms = int(time.time() * 1000)
        self.endpoints[new.name] = new  # not before it is told: another fault might drain it first
        self._tell(new, "Ready")
        await asyncio.sleep(random.uniform(0.5, 4.0))
        self._tell(endpoint, "Gone")
        del self.endpoints[endpoint.name]

    def _tell(self, endpoint: SoakEndpoint, health: str) -> None:
        now = time.monotonic()
        for name, sidecar in self.sidecars.items():
            for catalog in self.catalogs[name]:
                catalog.update(endpoint.entry(health))
            catalog = self._catalog(name)
            if health == "Ready" or not sidecar.serving:
                continue
            if not catalog.down and catalog.watching:
                self.records.changes.append(Change(name, endpoint.name, now))
            elif not catalog.down:
                self.records.changes.append(Change(name, endpoint.name, max(now, catalog.reachable_s) + TOLD_S))

    async def _silence(self, random: Random) -> None:
        names = self._some(random)
        self._note("silence", names)
        for name in names:
            self._catalog(name).fall_silent()
        await asyncio.sleep(random.uniform(0.0, 0.5))

    async def _discovery_down(self, random: Random) -> None:
        names = self._some(random)
        self._note("discovery", f"down for {names}")
        catalogs = [self._catalog(name) for name in names]
        for catalog in catalogs:
            catalog.go_down()
        await asyncio.sleep(random.uniform(0.2, 3.0))
        for catalog in catalogs:
            catalog.come_back()
