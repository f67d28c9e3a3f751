"""One run of a scenario: start the fleet, send requests, inject the faults, wait for recovery, check invariants."""

from __future__ import annotations

import asyncio
import json
import tempfile
from collections import Counter
from collections.abc import Coroutine
from contextlib import suppress
from pathlib import Path
from random import Random

from gateusher.standins.caller import HttpClient, NoResponseError

from .fleet import SidecarFleet
from .injection import FaultInjector
from .invariants import Verdict, check, drain_hint_is_valid, endpoint_is_quiet, view_is_complete
from .scenarios import Scenario

CLASSES = {"look": ("GET", 1.0), "issue": ("POST", 1.0)}  # method, deadline in seconds
VIEW_POLL_S = 0.1
LOST_AFTER_S = 30.0  # after its deadline, a request without a response counts as lost


class ScenarioRun:
    """One run of a scenario in a folder of its own.

    `injected_fault`: a name of `checker.faults`, injected into every sidecar, or "-".
    """

    def __init__(self, scenario: Scenario, seed: int, folder: Path, injected_fault: str = "-") -> None:
        self.scenario, self.folder = scenario, folder
        self.fleet = SidecarFleet(scenario, seed, folder, injected_fault)
        self.history = self.fleet.history
        self._tasks: set[asyncio.Task[None]] = set()
        self._sending = True
        self._request_counts: Counter[str] = Counter()

    # -- requests

    async def _send_requests(self, name: str) -> None:
        client, mean_interval_s = self.fleet.clients[name], 1.0 / self.scenario.requests_per_second
        rng = Random(self.fleet.rng.random())
        while self._sending:
            await asyncio.sleep(rng.expovariate(1.0) * mean_interval_s)
            if self.fleet.processes[name].is_serving:
                self._spawn(self._send_request(name, client))

    async def _send_request(self, name: str, client: HttpClient) -> None:
        self._request_counts[name] += 1
        number = self._request_counts[name]
        request_class = "issue" if number % 3 == 0 else "look"
        method, deadline_s = CLASSES[request_class]
        request_id = f"{name}-{number}-{request_class}"
        undelivered = self.fleet.processes[name].undelivered
        undelivered.add(request_id)
        self.history.record("asked", rid=request_id, who=name)
        try:
            response = await client.request(
                method,
                f"/{request_class}/{request_id}",
                {"X-Request-Id": request_id, "X-Class": request_class, "X-Deadline": f"{deadline_s:.3f}"},
                timeout_s=deadline_s + LOST_AFTER_S,
            )
        except NoResponseError as error:
            self.history.record("lost", rid=request_id, who=name, why=str(error))
            return
        finally:
            undelivered.discard(request_id)
        right = response.status != 200 or response.body == request_id.encode()
        self.history.record("answered", rid=request_id, who=name, status=response.status, right=right)

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # -- after the faults

    async def _settle(self) -> None:
        """Wait until all views are complete, a worker writes and drained endpoints are idle, at most `settle_s`."""
        limit = self.history.now() + self.scenario.settle_s
        names = self.fleet.names
        while self.history.now() < limit:
            views = await asyncio.gather(*(self.fleet.poll_view(name) for name in names))
            if all(v and view_is_complete(v, names) for v in views):
                self.history.record("agreed")
                break
            await asyncio.sleep(VIEW_POLL_S)
        if self.scenario.voters:
            with suppress(TimeoutError):
                async with asyncio.timeout(max(0.1, limit - self.history.now())):
                    await self.fleet.wait_for_writes(5)
                    self.history.record("working")
        for notified in self.history.select("told"):
            if notified["what"] == "drain" and drain_hint_is_valid(self.scenario, self.history, notified):
                await self._wait_until_quiet(notified["node"], limit)

    async def _wait_until_quiet(self, node: str, limit: float) -> None:
        """Wait until an endpoint has been idle for long enough, at most until `limit`."""
        since = self.history.now()
        while self.history.now() < limit:
            if endpoint_is_quiet(self.history, node, self.fleet.names, since):
                self.history.record("quiet", node=node)
                return
            await asyncio.sleep(0.1)

    # -- the whole run

    async def execute(self) -> Verdict:
        """Run the scenario, write `verdict.json` and return the verdict."""
        fleet = self.fleet
        try:
            await fleet.start()
            self.history.record("up")
            senders = [
                self._spawn(self._send_requests(name))
                for name in fleet.names
                if self.scenario.requests_per_second and self.scenario.nodes
            ]
            await FaultInjector(fleet).run()
            self.history.record("whole")
            await self._settle()
            self._sending = False
            await asyncio.gather(*senders)
            while self._tasks:
                await asyncio.wait(set(self._tasks))
            await fleet.shut_down()
        finally:
            await self._close()
        verdict = check(
            self.scenario,
            self.history,
            {
                **{n: (p.log, p.peak_kb) for n, p in fleet.processes.items()},
                **{f"worker of {n}": (w.log, 0) for n, w in fleet.workers.items()},
            },
        )
        (self.folder / "verdict.json").write_text(json.dumps(verdict._asdict(), indent=1))
        return verdict

    async def _close(self) -> None:
        self._sending = False
        for task in list(self._tasks):
            task.cancel()
        await self.fleet.close()


async def run_scenario(scenario: Scenario, seed: int, keep: Path | None = None, injected_fault: str = "-") -> Verdict:
    """Run a scenario in the folder `keep`, or in a temporary one if there is none."""
    if keep:
        return await ScenarioRun(scenario, seed, keep, injected_fault).execute()
    with tempfile.TemporaryDirectory(
        prefix="gr", dir="/tmp"
    ) as folder:  # short: the length of socket paths is limited
        return await ScenarioRun(scenario, seed, Path(folder), injected_fault).execute()
