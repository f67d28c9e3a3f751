"""A gateway, its nodes, and what they need around them."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

from gateusher import Budget, Config, Gateway, Settled
from gateusher.config.file import parse
from gateusher.standins.nodes import Fleet, Node

from ..helpers import HANG_TIMEOUT_S

CLASSES = {
    "look": {"effect": "safe", "aim": 0.5, "deadline": 1.0},
    "issue": {"effect": "unsafe", "aim": 0.5, "deadline": 1.0},
}


def run(
    test: Coroutine[Any, Any, None], loop: Callable[[], asyncio.AbstractEventLoop] = asyncio.new_event_loop
) -> None:
    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(asyncio.wait_for(test, HANG_TIMEOUT_S))


def config(*nodes: Node, **more: Any) -> Config:
    return parse(
        {
            "classes": CLASSES,
            "seed": 3,
            "nodes": [{"name": n.name, "address": f"127.0.0.1:{n.port}"} for n in nodes],
            **more,
        }
    )


def at_rest(gateway: Gateway) -> bool:
    """Nothing is held for any request."""
    node = gateway._node
    assert node
    return (
        not node.engine.requests
        and not node.engine._reserved_ids
        and node.memory.in_use == 0
        and not node.engine._balancer.requests.pending
        and all(c.attempt is None for c in node.upstream._connections)
    )


class Rig:
    def __init__(self, gateway: Gateway, fleet: Fleet, nodes: list[Node], settled: list[Settled]) -> None:
        self.gateway, self.fleet, self.nodes, self.settled = gateway, fleet, nodes, settled

    @property
    def node(self) -> Any:
        return self.gateway._node

    def ask(self, cls: str = "issue", rid: str = "r", **more: Any) -> asyncio.Task[Any]:
        return asyncio.create_task(self.gateway.request(cls, request_id=rid, **more))


@asynccontextmanager
async def fleet_of(count: int = 1, **more: Any) -> AsyncIterator[tuple[Fleet, list[Node]]]:
    fleet = Fleet()
    nodes = [Node(fleet, f"n{i}", **more) for i in range(count)]
    for node in nodes:
        await node.start()
    try:
        yield fleet, nodes
    finally:
        for node in nodes:
            node.kill()


@asynccontextmanager
async def rig(count: int = 1, budget: Budget | None = None, **more: Any) -> AsyncIterator[Rig]:
    async with fleet_of(count) as (fleet, nodes):
        settled: list[Settled] = []
        async with Gateway(config(*nodes, **more), on_settled=settled.append, budget=budget) as gateway:
            yield Rig(gateway, fleet, nodes, settled)
