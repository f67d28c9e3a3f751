"""Nodes, a list and one face: what a scenario plays on."""

import asyncio
import socket
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from gateusher.config.file import parse
from gateusher.standins.nodes import Behavior, Fleet, Node, UnresponsiveAddress
from gateusher.standins.wire import DiscoveryServer

from ..helpers import wait_until
from .faces import FACES, Ask, Face, Result

CLASSES: dict[str, Any] = {
    "look": {"effect": "safe", "aim": 0.4, "deadline": 1.0},
    "book": {"effect": "keyed", "aim": 0.4, "deadline": 1.0, "window": 5.0, "worth": 5.0, "methods": ["POST", "PUT"]},
    "local": {"effect": "keyed", "aim": 0.4, "deadline": 1.0, "window": 5.0, "group": "zone"},
    "brief": {"effect": "keyed", "aim": 0.4, "deadline": 1.0, "window": 0.001},
    "issue": {"effect": "unsafe", "aim": 0.4, "deadline": 1.0, "worth": 2.0},
}
MOST_ADVICE = 0.5


@dataclass(frozen=True)
class Setup:
    """What a scenario starts with."""

    nodes: int = 2
    zones: tuple[str, ...] = ("a", "a")
    listed: bool = False  # the list is asked for at discovery, so that it can change
    silent: bool = False  # one more endpoint, whose connections never come up, and no other
    answers: str = "application"
    cold: dict[str, float] = field(default_factory=dict)
    limits: dict[str, Any] = field(default_factory=dict)


@dataclass
class Stage:
    """One face with its nodes, and the counts that say what reached these."""

    name: str
    face: Face
    fleet: Fleet
    nodes: list[Node]
    catalog: DiscoveryServer
    told: list[tuple[Ask, Result]] = field(default_factory=list)
    reserved: list[socket.socket] = field(default_factory=list)  # the ports of killed nodes

    async def kill(self, node: Node) -> None:
        """Kill a node, and keep its port from other processes: connections to it are refused.

        Without that another test's server may be given the freed port, and answer in place of the dead node.
        """
        node.kill()
        reservation = socket.socket()  # without SO_REUSEADDR, so that nobody else can bind the port
        self.reserved.append(reservation)

        def is_reserved() -> bool:
            try:
                reservation.bind(("127.0.0.1", node.port))
            except OSError:
                return False  # the event loop has not closed the listening socket yet
            return True

        await wait_until(is_reserved)

    def ask_for(self, cls: str, rid: str = "r", **more: Any) -> Ask:
        if CLASSES.get(cls, {}).get("effect") == "keyed":
            more.setdefault("key", f"key-{rid}")
        return Ask(cls, rid, **more)

    async def ask(self, cls: str, rid: str = "r", **more: Any) -> Result:
        ask = self.ask_for(cls, rid, **more)
        result = await self.face.ask(ask)
        self.told.append((ask, result))
        return result

    def begin(self, cls: str, rid: str = "r", **more: Any) -> asyncio.Task[Result]:
        return asyncio.create_task(self.ask(cls, rid, **more))

    async def expect(
        self,
        cls: str,
        outcome: str,
        attempts: int,
        effects: int,
        rid: str = "r",
        acts: tuple[Behavior, ...] = (),
        **more: Any,
    ) -> Result:
        """Ask, and hold the answer, what reached nodes and what ran against what is expected."""
        self.fleet.add_behaviors(rid, *acts)
        result = await self.ask(cls, rid, **more)
        assert result.outcome == outcome, result
        self.counts(rid, attempts, effects)
        return result

    def counts(self, rid: str, attempts: int, effects: int) -> None:
        assert (self.fleet.attempts[rid], self.fleet.effects[rid]) == (attempts, effects), "attempts and effects"

    async def cancel(self, task: asyncio.Task[Result]) -> None:
        """The asker leaves: a task that is cancelled, a connection or a request that ends."""
        task.cancel()
        try:
            await task
        except asyncio.CancelledError:
            return
        raise AssertionError("it had been answered")

    async def until(self, true: Callable[[], bool]) -> None:
        """Until something that a turn of the loop brings about is so."""
        await wait_until(true)

    async def at_rest(self) -> None:
        """Nothing is held for any request: no call, id, attempt or byte, and no connection but idle ones."""
        node = self.face.node
        await self.until(
            lambda: not node.engine.requests and not node.engine._reserved_ids and node.memory.in_use == 0
        )
        assert all(conn.attempt is None for conn in node.upstream._connections)

    async def relist(self, *entries: dict[str, Any]) -> None:
        """Tell news of the list and wait until the face has it."""
        self.catalog.update(*entries)
        await self.until(lambda: self.face.node.discovery.list_version == self.catalog.seq)  # type: ignore[union-attr]


@asynccontextmanager
async def stage(face: str, setup: Setup) -> AsyncIterator[Stage]:
    """Everything up, on ephemeral ports; at the end all rest and nothing is left."""
    fleet, catalog = Fleet(), DiscoveryServer()
    if "a" in setup.zones and len(set(setup.zones)) > 1:
        fleet.key_scope = "zone"
    nodes = [Node(fleet, f"n{i}", zone=setup.zones[i]) for i in range(setup.nodes)]
    silent = UnresponsiveAddress() if setup.silent else None
    for node in nodes:
        await node.start()
    await catalog.start()
    catalog.update(*(n.list_entry() for n in nodes))
    data: dict[str, Any] = {
        "classes": CLASSES,
        "seed": 7,
        "answers": setup.answers,
        "reports": ["queue"],
        "zone": "a",
        "zones": sorted(set(setup.zones)),
        "limits": {"margin": 0.0, "max_retry_after": MOST_ADVICE, "drain": 2.0, **setup.limits},
    }
    if setup.cold:
        data["cold"] = setup.cold
    if setup.listed:
        data["discovery"] = {"address": f"127.0.0.1:{catalog.port}", "ask_within": 0.01}
    elif silent:
        data["nodes"] = [{"name": "silent", "address": f"127.0.0.1:{silent.port}"}]
    else:
        data["nodes"] = [{"name": n.name, "address": f"127.0.0.1:{n.port}", "zone": n.zone} for n in nodes]
    running = FACES[face](parse(data))
    here: Stage | None = None
    try:
        async with running.running():
            here = Stage(face, running, fleet, nodes, catalog)
            if setup.listed:
                await here.until(lambda: running.node.discovery.list_version == catalog.seq)  # type: ignore[union-attr]
            yield here
            await here.at_rest()
    finally:
        catalog.close()
        for node in nodes:
            node.kill()
        for reservation in here.reserved if here else ():
            reservation.close()
        if silent:
            silent.close()


Play = Callable[[Stage], Coroutine[Any, Any, None]]


@dataclass(frozen=True)
class Scenario:
    """One story.  `not_on` says of a face why it can't be played there."""

    name: str
    play: Play
    setup: Setup = Setup()
    not_on: dict[str, str] = field(default_factory=dict)

    def why_not(self, face: str) -> str:
        """Why it can't be played there; empty where it can."""
        return self.not_on.get("asgi" if face in ("starlette", "fastapi") else face, "")
