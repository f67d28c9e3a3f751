"""Stand-in endpoints: their queue and its state after a crash."""

import asyncio
from typing import Any

from gateusher.standins.caller import HttpClient
from gateusher.standins.nodes import Fleet, Node

from ..helpers import wait_until
from ..net import run


async def _queue_requests(node: Node, count: int) -> list[asyncio.Task[Any]]:
    """Send `count` requests and wait until all but one are queued."""
    client = HttpClient(node.port)
    tasks = [
        asyncio.create_task(client.request("GET", "/look", {"X-Request-Id": f"{node.port}-{n}"}))
        for n in range(count)
    ]
    await wait_until(lambda: node.queue_length == count - 1)
    return tasks


async def _crash_and_restart_with_a_queue() -> None:
    errors: list[dict[str, Any]] = []
    asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
    node = Node(Fleet(), work_s=0.05)
    await node.start()
    lost = await _queue_requests(node, 3)
    node.kill()
    assert all(isinstance(result, Exception) for result in await asyncio.gather(*lost, return_exceptions=True))
    await node.start()
    assert node.queue_length == 0
    served = await _queue_requests(node, 3)
    assert [response.status for response in await asyncio.gather(*served)] == [200] * 3
    assert node.queue_length == 0 and not errors
    node.kill()


def test_a_node_serves_after_a_crash_with_queued_requests() -> None:
    run(_crash_and_restart_with_a_queue())


async def _crash_as_a_core_passes_to_a_queued_request() -> None:
    node = Node(Fleet(), work_s=0.02)
    await node.start()
    lost = await _queue_requests(node, 2)
    await wait_until(lambda: node.queue_length == 0)
    node.kill()
    await asyncio.gather(*lost, return_exceptions=True)
    await node.start()
    served = await _queue_requests(node, 2)
    assert [response.status for response in await asyncio.gather(*served)] == [200] * 2
    node.kill()


def test_a_node_serves_after_a_crash_while_a_queued_request_begins() -> None:
    run(_crash_as_a_core_passes_to_a_queued_request())
