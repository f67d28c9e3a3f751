"""What a start waits for: nothing that another system gives.  A real process, and discovery doesn't answer."""

import asyncio
from pathlib import Path

import pytest

from ..helpers import HANG_TIMEOUT_S
from ..net import Discovery, Endpoint, host_entry, run
from .process import RUN, daemon, up


async def _serves_before_discovery_answers(folder: Path, discovery: Discovery, down: bool, run_it: str = RUN) -> None:
    endpoint = Endpoint()
    await endpoint.start()
    await discovery.start()
    if down:
        discovery.server.close()
    async with daemon(folder, [host_entry("e0", endpoint.port)], discovery.port, run_it) as d:
        await up(d.process, d.where)
        await d.ready()
        await d.named("a")
        if not down:
            await discovery.connected.wait()  # it asks, and serves on meanwhile
        await d.named("b")
    assert not discovery.has_watch.is_set()
    endpoint.server.close()
    discovery.server.close()


@pytest.mark.parametrize("way", ["down", "silent", "resets"])
def test_it_is_ready_and_serves_though_discovery_never_answers(way: str, tmp_path: Path) -> None:
    async def test() -> None:
        discovery = Discovery([])
        discovery.may_respond.clear()
        discovery.resets_connections = way == "resets"
        await _serves_before_discovery_answers(tmp_path, discovery, way == "down")

    run(asyncio.wait_for(test(), HANG_TIMEOUT_S))


def test_a_list_that_comes_late_is_taken_up_by_a_process_that_serves_already(tmp_path: Path) -> None:
    async def test() -> None:
        old, new = Endpoint(), Endpoint()
        await old.start()
        await new.start()
        known = [host_entry("e0", old.port)]
        discovery = Discovery([host_entry("e0", old.port, "Terminating"), host_entry("e1", new.port)], seq=2)
        discovery.may_respond.clear()
        await discovery.start()
        async with daemon(tmp_path, known, discovery.port) as d:
            await up(d.process, d.where)
            await d.named("a")
            assert len(old.request_heads) == 1
            discovery.may_respond.set()
            await discovery.has_watch.wait()
            while not new.request_heads:
                await d.named("b")
        for server in (old.server, new.server, discovery.server):
            server.close()

    run(asyncio.wait_for(test(), HANG_TIMEOUT_S))
