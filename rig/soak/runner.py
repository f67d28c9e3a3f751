"""One soak run: sidecars, clients, endpoints and discovery services, with overlapping faults drawn from a seed."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from ..log_faults import find_log_faults
from ..slow_clients import INCOMPLETE_KINDS
from .clients import SoakClient
from .faults import FaultPage, SystemCall
from .invariants import InvariantChecker, Violation
from .records import EndpointChange, LoopLagMeter, Records
from .servers import SoakDiscovery, SoakEndpoint
from .sidecars import DRAIN_GRACE_MS, LEAST_MEMORY_MB, ROOT, USUAL_MEMORY_MB, Sidecar

MAX_NOTIFICATION_DELAY_S = 6.0  # from a change, or from the end of an outage, until a sidecar must know of it
DIAGNOSTICS_INTERVAL_S = 0.5
NEW_CONNECTIONS_AFTER_SIGTERM_S = 0.4  # at most (PROTOCOL, Figures); open ones are used until the kill
CROWD_CLIENTS = 60  # of one sidecar
CROWD_SEED_DIVISOR = 3  # one run in this many has a crowd, and the least memory


class Size(NamedTuple):
    """Size and duration of a soak."""

    sidecars: int = 12
    endpoints: int = 8
    duration_s: float = 20.0
    client_rate_per_s: float = 12.0  # requests of each client
    concurrent_faults: int = 4


class Outcome(NamedTuple):
    """Result of a soak."""

    violations: list[Violation]
    summary: dict[str, object]


class SoakRun:
    """One run.  Without a `library`, no system calls fail."""

    def __init__(self, seed: int, size: Size, folder: Path, library: Path | None) -> None:
        self.seed, self.size, self.folder = seed, size, folder
        self.random = Random(seed)
        self.records = Records()
        self._library = library
        self._tasks: set[asyncio.Task[None]] = set()
        self._clients_active = True
        self.has_crowd = seed % CROWD_SEED_DIVISOR == 0
        self._crowd: asyncio.subprocess.Process | None = None
        self._replacement_count = 0
        self.endpoints: dict[str, SoakEndpoint] = {}
        self.discovery_servers: dict[str, list[SoakDiscovery]] = {}
        self.sidecars: dict[str, Sidecar] = {}
        self.clients: dict[str, SoakClient] = {}

    async def run(self) -> Outcome:
        """Start all processes, inject the drawn faults, shut down gracefully and check the invariants."""
        self._meter = LoopLagMeter()
        try:
            await self._start()
            if self.has_crowd:
                await self._start_crowd()
            users = [self._spawn(self._run_client(name)) for name in self.sidecars]
            users += [self._spawn(self._poll_diagnostics(sidecar)) for sidecar in self.sidecars.values()]
            await asyncio.gather(*(self._inject_faults(i) for i in range(self.size.concurrent_faults)))
            self._clients_active = False
            await self._end_crowd()
            await asyncio.gather(*users)
            while self._tasks:
                await asyncio.wait(set(self._tasks))
            await asyncio.gather(*(sidecar.read_diagnostics() for sidecar in self.sidecars.values()))
            await asyncio.gather(*(sidecar.terminate() for sidecar in self.sidecars.values()))
        finally:
            await self._close()
        (self.folder / "records.json").write_text(self.records.as_json())
        checker = InvariantChecker(self.records, self._meter, DRAIN_GRACE_MS / 1000)
        return Outcome(checker.check() + self.check_logs(), checker.summary())

    # -- startup and shutdown

    async def _start(self) -> None:
        for i in range(self.size.endpoints):
            endpoint = self.endpoints[f"e{i}"] = self._endpoint(f"e{i}")
            await endpoint.start()
        self._address_reservation, network = self._reserve_addresses()
        for i in range(self.size.sidecars):
            await self._new_sidecar(f"s{i}", f"{network}.{i + 1}", i)
        await asyncio.gather(*(s.start(self._endpoint_list(name)) for name, s in self.sidecars.items()))

    @staticmethod
    def _reserve_addresses() -> tuple[socket.socket, str]:
        """Reserve a /24 network on loopback for this run, by a socket that is bound to its address 254."""
        random = Random()
        while True:
            network = f"127.{random.randrange(64, 128)}.{random.randrange(1, 255)}"
            reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                reservation.bind((f"{network}.254", 7099))
                return reservation, network
            except OSError:
                reservation.close()

    def _endpoint(self, name: str) -> SoakEndpoint:
        return SoakEndpoint(name, self.records, self.random.randrange(1 << 30))

    async def _new_sidecar(self, name: str, ip: str, number: int) -> None:
        pair = self.discovery_servers[name] = [SoakDiscovery(), SoakDiscovery()]
        for discovery in pair:
            await discovery.start()
            discovery.update(*(e.list_entry("Ready") for e in self.endpoints.values()))
        folder = self.folder / name
        faults = None
        if self._library:
            faults = FaultPage(self._library, self.folder / f"{name}.faults", self.seed * 1000 + number)
        memory_mb = LEAST_MEMORY_MB if self.has_crowd else USUAL_MEMORY_MB
        ports = [c.port for c in pair]
        self.sidecars[name] = Sidecar(name, (ip, 8080), ports, folder, self.records, faults, memory_mb)
        self.clients[name] = SoakClient(name, (ip, 8080), self.records, self.random.randrange(1 << 30))

    def _current_discovery(self, name: str) -> SoakDiscovery:
        return self.discovery_servers[name][self.sidecars[name].discovery_index]

    def _endpoint_list(self, name: str) -> dict[str, Any]:
        return self._current_discovery(name).snapshot

    async def _start_crowd(self) -> None:
        addresses = ["{}:{}".format(*sidecar.address) for sidecar in self.sidecars.values()]
        kinds = ",".join(kind.__name__ for kind in INCOMPLETE_KINDS)
        crowd = [kinds, str(CROWD_CLIENTS), str(self.seed), "look", "issue"]
        command = [sys.executable, "-m", "rig.slow_clients", *crowd, *addresses]
        self._crowd = await asyncio.create_subprocess_exec(*command, cwd=ROOT)

    async def _end_crowd(self) -> None:
        if self._crowd and self._crowd.returncode is None:
            self._crowd.kill()
            await self._crowd.wait()

    async def _close(self) -> None:
        self._clients_active = False
        await self._end_crowd()
        for task in list(self._tasks):
            task.cancel()
        for sidecar in self.sidecars.values():
            await sidecar.close()
        for client in self.clients.values():
            client.close()
        for pair in self.discovery_servers.values():
            for discovery in pair:
                discovery.close()
        for endpoint in self.endpoints.values():
            endpoint.crash()
        self._address_reservation.close()
        self._meter.close()

    def check_logs(self) -> list[Violation]:
        """Return a violation for each fault in the logs, which cover every process, also one that was killed."""
        return [
            Violation("log", f"{name}: {line[:300]}")
            for name, sidecar in self.sidecars.items()
            for line in find_log_faults(sidecar.log.read_text(errors="replace"))
        ]

    async def _poll_diagnostics(self, sidecar: Sidecar) -> None:
        """Read a sidecar's diagnostics again and again: the next fault may kill the process."""
        while self._clients_active:
            await sidecar.read_diagnostics()
            await asyncio.sleep(DIAGNOSTICS_INTERVAL_S)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run_client(self, name: str) -> None:
        sidecar, client, random = self.sidecars[name], self.clients[name], Random(self.random.random())
        while self._clients_active:
            await asyncio.sleep(random.expovariate(self.size.client_rate_per_s))
            if sidecar.is_serving and sidecar.process_record:
                client.connects_until_s = sidecar.process_record.terminated_s + NEW_CONNECTIONS_AFTER_SIGTERM_S
                self._spawn(client.run_one_request())

    # -- faults

    async def _inject_faults(self, number: int) -> None:
        """Inject one random fault after the other; several instances run at once, so that faults overlap."""
        random = Random(self.seed * 31 + number)
        kinds: list[Callable[[Random], Awaitable[None]]] = [
            self._restart,
            self._restart,
            self._kill,
            self._pause,
            self._reload,
            self._switch_discovery,
            self._fail_calls,
            self._fail_calls,
            self._hang_endpoint,
            self._crash_endpoint,
            self._replace_endpoint,
            self._replace_endpoint,
            self._silence_watches,
            self._discovery_outage,
            self._step_clock,
            self._drain_while_paused,
            self._restart_with_failing_accept,
            self._restart_by_signal_series,
        ]
        until = time.monotonic() + self.size.duration_s
        while time.monotonic() < until:
            await asyncio.sleep(random.uniform(0.0, 0.6))
            await random.choice(kinds)(random)

    def _record_fault(self, kind: str, target: object) -> None:
        self.records.schedule.append(f"{time.monotonic():.3f} {kind} {target}")

    def _choose_sidecars(self, random: Random) -> list[str]:
        return random.sample(sorted(self.sidecars), random.randint(1, max(1, len(self.sidecars) // 3)))

    async def _for_each(self, names: list[str], action: Callable[[Sidecar], Awaitable[None]]) -> None:
        async def act_locked(sidecar: Sidecar) -> None:
            async with sidecar.lifecycle_lock:
                await action(sidecar)

        await asyncio.gather(*(act_locked(self.sidecars[name]) for name in names))

    async def _start_new_process(self, sidecar: Sidecar) -> None:
        self.clients[sidecar.name].reset_connections()
        await sidecar.start(self._endpoint_list(sidecar.name))

    async def _restart(self, random: Random) -> None:
        """Restart gracefully under load; in some restarts the process is paused as it shuts down."""
        names = self._choose_sidecars(random)
        pause_s = random.choice((0.0, 0.0, 0.2, 0.6))
        self._record_fault("restart", f"{names} stalled {pause_s}")

        async def action(sidecar: Sidecar) -> None:
            if pause_s:
                pause = asyncio.ensure_future(sidecar.pause_for(pause_s))
                await asyncio.sleep(0.01)
                await sidecar.terminate()
                await pause
            else:
                await sidecar.terminate()
            await self._start_new_process(sidecar)

        await self._for_each(names, action)

    async def _restart_with_failing_accept(self, random: Random) -> None:
        """Restart gracefully while some or all accept calls fail for 0.2 s to 0.9 s."""
        names, rate_per_mille = self._choose_sidecars(random), random.choice((300, 1000))
        self._record_fault("deaf-restart", f"{names} {rate_per_mille}")
        pages = [page for name in names if (page := self.sidecars[name].faults)]
        for page in pages:
            page.set(SystemCall.ACCEPT, rate_per_mille)
        restart = asyncio.ensure_future(self._for_each(names, self._terminate_and_start))
        await asyncio.sleep(random.uniform(0.2, 0.9))
        for page in pages:
            page.set(SystemCall.ACCEPT, 0)
        await restart

    async def _restart_by_signal_series(self, random: Random) -> None:
        """Restart gracefully by several signals in quick succession."""
        names = self._choose_sidecars(random)
        self._record_fault("signals", names)

        async def action(sidecar: Sidecar) -> None:
            await sidecar.terminate_by_series()
            await self._start_new_process(sidecar)

        await self._for_each(names, action)

    async def _terminate_and_start(self, sidecar: Sidecar) -> None:
        await sidecar.terminate()
        await self._start_new_process(sidecar)

    async def _drain_while_paused(self, random: Random) -> None:
        """Drain endpoints while some sidecars are paused for longer than the grace and get the update afterwards."""
        names, pause_s = self._choose_sidecars(random), DRAIN_GRACE_MS / 1000 + random.uniform(0.2, 0.8)
        self._record_fault("unheard", f"{names} {pause_s:.1f}")
        pause = asyncio.ensure_future(self._for_each(names, lambda sidecar: sidecar.pause_for(pause_s)))
        await asyncio.sleep(0.01)
        await asyncio.gather(self._replace_endpoint(random), self._replace_endpoint(random))
        await pause

    async def _kill(self, random: Random) -> None:
        names = self._choose_sidecars(random)[:1]
        self._record_fault("kill", names)

        async def action(sidecar: Sidecar) -> None:
            await sidecar.kill()
            await self._start_new_process(sidecar)

        await self._for_each(names, action)

    async def _pause(self, random: Random) -> None:
        names, pause_s = self._choose_sidecars(random), random.choice((0.05, 0.12, 0.4, 1.2, 2.5))
        self._record_fault("pause", f"{names} {pause_s}")
        await self._for_each(names, lambda sidecar: sidecar.pause_for(pause_s))

    async def _reload(self, random: Random) -> None:
        """Reload changed deadlines, up to three times in quick succession."""
        names = self._choose_sidecars(random)
        self._record_fault("reload", names)
        for _ in range(random.randint(1, 3)):
            for name in names:
                self.sidecars[name].deadline_ms = random.choice((800, 900, 1000))
                self.sidecars[name].reload(self._endpoint_list(name))
            await asyncio.sleep(random.uniform(0.0, 0.2))

    async def _switch_discovery(self, random: Random) -> None:
        """Switch sidecars to their other discovery service by SIGHUP; the old one sends no more updates."""
        names = self._choose_sidecars(random)
        self._record_fault("move", names)
        for name in names:
            old = self._current_discovery(name)
            self.sidecars[name].discovery_index ^= 1
            new = self._current_discovery(name)
            new.end_outage()
            for endpoint in self.endpoints.values():
                new.update(endpoint.list_entry("Terminating" if endpoint.draining else "Ready"))
            old.silence_watches()
            self.sidecars[name].reload(self._endpoint_list(name))
        await asyncio.sleep(random.uniform(0.0, 0.5))

    async def _fail_calls(self, random: Random) -> None:
        """Let system calls of some sidecars fail for a limited time."""
        names = self._choose_sidecars(random)
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
        rates = {call: random.choice((100, 300, 1000)) for call in chosen}
        for call in (SystemCall.READ, SystemCall.WRITE):  # if every call failed, no byte would be transferred
            if call in rates:
                rates[call] = min(300, rates[call])
        self._record_fault("fail", f"{names} {[(c.name, rate_per_mille) for c, rate_per_mille in rates.items()]}")
        for page in pages:
            for call, rate_per_mille in rates.items():
                page.set(call, rate_per_mille)
        await asyncio.sleep(random.uniform(0.1, 0.6 if max(rates.values()) == 1000 else 2.0))
        for page in pages:
            for call in rates:
                page.set(call, 0)

    async def _step_clock(self, random: Random) -> None:
        names, step_s = self._choose_sidecars(random), random.choice((-3600, -5, 5, 3600))
        self._record_fault("clock", f"{names} {step_s}")
        for name in names:
            if page := self.sidecars[name].faults:
                page.set(SystemCall.WALL_CLOCK_S, step_s)

    async def _hang_endpoint(self, random: Random) -> None:
        endpoint = random.choice(list(self.endpoints.values()))
        self._record_fault("hang", endpoint.name)
        endpoint.is_unresponsive = True
        await asyncio.sleep(random.uniform(0.3, 2.0))
        endpoint.is_unresponsive = False

    async def _crash_endpoint(self, random: Random) -> None:
        endpoint = random.choice(list(self.endpoints.values()))
        self._record_fault("crash", endpoint.name)
        endpoint.crash()
        await asyncio.sleep(random.uniform(0.1, 1.5))
        if self.endpoints.get(endpoint.name) is endpoint and not endpoint.is_running:
            await endpoint.start()

    async def _replace_endpoint(self, random: Random) -> None:
        """Drain and remove an endpoint, and add a replacement."""
        ready = [e for e in self.endpoints.values() if not e.draining]
        if len(ready) <= 3:
            return
        endpoint = random.choice(ready)
        self._record_fault("drain", endpoint.name)
        endpoint.draining = True
        self._publish(endpoint, "Terminating")
        self._replacement_count += 1
        new = self._endpoint(f"{endpoint.name.split('-')[0]}-{self._replacement_count}")
        await new.start()
        new.born_ms = int(time.time() * 1000)
        self.endpoints[new.name] = new  # only now: another fault could drain it before it is published
        self._publish(new, "Ready")
        await asyncio.sleep(random.uniform(0.5, 4.0))
        self._publish(endpoint, "Gone")
        del self.endpoints[endpoint.name]

    def _publish(self, endpoint: SoakEndpoint, health: str) -> None:
        now = time.monotonic()
        for name, sidecar in self.sidecars.items():
            for discovery in self.discovery_servers[name]:
                discovery.update(endpoint.list_entry(health))
            discovery = self._current_discovery(name)
            if health == "Ready" or not sidecar.is_serving:
                continue
            if not discovery.is_down and discovery.has_watchers:
                self.records.changes.append(EndpointChange(name, endpoint.name, now))
            elif not discovery.is_down:
                self.records.changes.append(
                    EndpointChange(
                        name, endpoint.name, max(now, discovery.reachable_since_s) + MAX_NOTIFICATION_DELAY_S
                    )
                )

    async def _silence_watches(self, random: Random) -> None:
        names = self._choose_sidecars(random)
        self._record_fault("silence", names)
        for name in names:
            self._current_discovery(name).silence_watches()
        await asyncio.sleep(random.uniform(0.0, 0.5))

    async def _discovery_outage(self, random: Random) -> None:
        names = self._choose_sidecars(random)
        self._record_fault("discovery", f"down for {names}")
        discovery_servers = [self._current_discovery(name) for name in names]
        for discovery in discovery_servers:
            discovery.start_outage()
        await asyncio.sleep(random.uniform(0.2, 3.0))
        for discovery in discovery_servers:
            discovery.end_outage()
