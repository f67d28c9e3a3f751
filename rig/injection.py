"""Injection of a scenario's faults into a running fleet, each at its time and for its duration."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from functools import partial

from .fleet import SidecarFleet
from .processes import Process
from .scenarios import (
    DISK_FAULTS,
    LINK_FAULTS,
    LIST_CHANGES,
    PROCESS_FAULTS,
    STREAM_FAULTS,
    WORKER_FAULTS,
    Fault,
    resolve_group,
)

TASK = "job"  # the singleton task of the workers
End = Callable[[], Awaitable[None]]  # ends a fault


class FaultInjector:
    """Injects every fault of the fleet's scenario and ends it again."""

    def __init__(self, fleet: SidecarFleet) -> None:
        self._fleet, self._scenario, self._history = fleet, fleet.scenario, fleet.history

    async def run(self) -> None:
        """Inject all faults; returns when the fault phase is over and every fault has ended."""
        await asyncio.gather(
            *(self._run_fault(fault) for fault in self._scenario.faults), asyncio.sleep(self._scenario.fault_s)
        )

    async def _run_fault(self, fault: Fault) -> None:
        started_at, rounds = self._history.now(), 0
        while True:
            begins_at = started_at + fault.at_s + rounds * fault.interval_s
            await asyncio.sleep(max(0.0, begins_at - self._history.now()))
            if rounds and self._history.now() - started_at >= self._scenario.fault_s:
                return
            self._history.record(
                "fault",
                what=fault.kind,
                between=fault.between,
                who=fault.targets,
                to=fault.stream_target,
                node=fault.node,
                told=fault.notified,
            )
            end = await self._begin(fault)
            left_s = started_at + self._scenario.fault_s - self._history.now()
            await asyncio.sleep(max(0.0, min(fault.duration_s or left_s, left_s)))
            if end:
                await end()
            self._history.record("mended", what=fault.kind, between=fault.between, who=fault.targets)
            rounds += 1
            if not fault.interval_s:
                return

    async def _begin(self, fault: Fault) -> End | None:
        """Begin a fault; return the function that ends it, None if it ends by itself."""
        kind = fault.kind
        if kind in LINK_FAULTS:
            return self._begin_link_fault(fault)
        if kind in STREAM_FAULTS:
            return self._begin_stream_fault(fault)
        if kind in LIST_CHANGES:
            self._change_lists(fault)
            return None
        if kind in WORKER_FAULTS:
            return await self._begin_worker_fault(fault)
        processes = [self._fleet.processes[name] for name in self._resolve(fault.targets)]
        if kind in DISK_FAULTS:
            return await self._begin_disk_fault(fault, processes)
        if kind in PROCESS_FAULTS:
            return await self._begin_process_fault(fault, processes)
        return self._begin_clock_fault(fault, processes)

    def _resolve(self, group: str) -> list[str]:
        return resolve_group(group, self._scenario.members, self._scenario.voters)

    @staticmethod
    def _begin_clock_fault(fault: Fault, processes: list[Process]) -> End | None:
        command = {"clock-step": "step", "clock-rate": "rate", "clock-jump": "jump"}[fault.kind]
        for process in processes:
            process.send_command(f"{command} {fault.amount}")

        async def end() -> None:
            for process in processes:
                process.send_command("rate 1.0")

        return end if fault.kind == "clock-rate" else None

    def _begin_link_fault(self, fault: Fault) -> End:
        first, second = (self._resolve(group) for group in fault.between)
        pairs = [(a, b) for a in first for b in second if a != b]
        if fault.kind != "one-way":
            pairs += [(b, a) for a, b in pairs]
        links = [self._fleet.links[pair] for pair in dict.fromkeys(pairs)]
        # The attribute of LinkFaults.
        name = {"one-way": "cut", "stall": "stalled", "double": "duplicate"}.get(fault.kind, fault.kind)
        for link in links:
            if name in ("cut", "stalled"):
                setattr(link.faults, name, True)
            elif name == "delay":
                link.faults.delay_s, link.faults.delayed = fault.amount, fault.share
            else:
                setattr(link.faults, name, fault.share)

        async def end() -> None:
            for link in links:
                if name in ("cut", "stalled"):
                    setattr(link.faults, name, False)
                    if name == "stalled":
                        link.release_queued()
                elif name == "delay":
                    link.faults.delay_s = 0.0
                else:
                    setattr(link.faults, name, 0.0)

        return end

    def _begin_stream_fault(self, fault: Fault) -> End | None:
        fleet, names = self._fleet, resolve_group(fault.targets, self._scenario.members)
        if fault.stream_target == "callers":
            streams = [fleet.caller_streams[name] for name in names]
        elif fault.stream_target == "list":
            streams = [fleet.streams[name, "list"] for name in names]
        else:
            streams = [fleet.streams[name, node] for name in names for node in fleet.nodes]
        if fault.kind == "stream-reset":
            for stream in streams:
                stream.reset()
            return None

        def set_fault(active: bool) -> None:
            for stream in streams:
                (stream.silence if fault.kind == "stream-silent" else stream.stall)(active)

        async def end() -> None:
            set_fault(False)

        set_fault(True)
        return end

    def _change_lists(self, fault: Fault) -> None:
        health = "Terminating" if fault.kind == "drain" else "Ready"
        fields = {"born_ms": int(time.time() * 1000)} if fault.kind == "start" else {}
        notified = resolve_group(fault.notified, self._scenario.members)
        for name in notified:
            self._fleet.discovery[name].update(self._fleet.list_entry(name, fault.node, health, **fields))
        self._history.record("told", what=fault.kind, node=fault.node, who=notified)

    @staticmethod
    async def _acquire(processes: list[Process]) -> None:
        """Acquire the lifecycle locks in the order of names, so that two faults cannot deadlock."""
        for process in sorted(processes, key=lambda p: p.name):
            await process.lifecycle.acquire()

    async def _begin_process_fault(self, fault: Fault, processes: list[Process]) -> End:
        kind = fault.kind
        await self._acquire(processes)
        if kind == "stop":
            for process in processes:
                process.stop()
        elif kind == "kill":
            await asyncio.gather(*(p.kill() for p in processes))
        elif kind == "end":
            await asyncio.gather(*(p.shut_down() for p in processes))
        else:
            for process in processes:
                await process.upgrade(partial(self._fleet.wait_until_ready, process.name))

        async def end() -> None:
            for process in processes:
                if kind == "stop":
                    process.resume()
                elif kind in ("kill", "end") and not process.is_serving:
                    await process.start()
                    await self._fleet.wait_until_ready(process.name)
                process.lifecycle.release()

        return end

    async def _begin_worker_fault(self, fault: Fault) -> End | None:
        names = [self._fleet.lease_holder()] if fault.targets == "holder" else self._resolve(fault.targets)
        workers = [self._fleet.workers[name] for name in names if name]
        self._history.record("struck", what=fault.kind, who=[w.name for w in workers])
        if fault.kind == "give":
            for name in names:
                if name:
                    await self._fleet.request_control(name, f"/_duty/give?duty={TASK}", b"POST")
            return None
        for worker in workers:
            worker.interrupt(fault.kind)

        async def end() -> None:
            for worker in workers:
                await worker.recover()

        return end

    async def _begin_disk_fault(self, fault: Fault, processes: list[Process]) -> End:
        kind = fault.kind.removeprefix("disk-")
        if kind in ("eio", "enospc", "slow"):
            for process in processes:
                process.send_command(f"disk {kind} {fault.amount}")

            async def end_failures() -> None:
                for process in processes:
                    process.send_command("disk whole 0")

            return end_failures
        await self._acquire(processes)
        copies = {p.name: p.copy_votes() for p in processes if kind == "old"}
        if kind != "old":
            await asyncio.gather(*(p.kill() for p in processes))

        async def end() -> None:
            for process in processes:
                if kind == "old":
                    await process.kill()
                process.damage_votes(kind, copies.get(process.name))
                await process.start()
                await self._fleet.wait_until_ready(process.name)
                process.lifecycle.release()

        return end
