"""What a start waits for: nothing that another system gives.  A real process, and discovery doesn't answer."""

import asyncio
from pathlib import Path

import pytest

from ..helpers import HANG_S
from ..net import Discovery, Endpoint, host
from ..test_sockets import run
from .process import RUN, daemon, up


async def _serves_before_discovery_answers(folder: Path, discovery: Discovery, down: bool, run_it: str = RUN) -> None:
    endpoint = Endpoint()
    await endpoint.start()
    await discovery.start()
    if down:
        discovery.server.close()
    async with daemon(folder, [host("e0", endpoint.port)], discovery.port, run_it) as d:
        await up(d.process, d.where)
        await d.ready()
        await d.named("a")
        if not down:
            await discovery.called.wait()  # it asks, and serves on meanwhile
        await d.named("b")
    assert not discovery.watched.is_set()
    endpoint.server.close()
    discovery.server.close()


@pytest.mark.parametrize("way", ["down", "silent", "resets"])
def test_it_is_ready_and_serves_though_discovery_never_answers(way: str, tmp_path: Path) -> None:
    async def test() -> None:
        discovery = Discovery([])
        discovery.go.clear()
        discovery.resets = way == "resets"
        await _serves_before_discovery_answers(tmp_path, discovery, way == "down")

    run(asyncio.wait_for(test(), HANG_S))


def test_a_list_that_comes_late_is_taken_up_by_a_process_that_serves_already(tmp_path: Path) -> None:
    async def test() -> None:
        old, new = Endpoint(), Endpoint()
        await old.start()
        await new.start()
        known = [host("e0", old.port)]
        discovery = Discovery([host("e0", old.port, "Terminating"), host("e1", new.port)], seq=2)
        discovery.go.clear()
        await discovery.start()
        async with daemon(tmp_path, known, discovery.port) as d:
            await up(d.process, d.where)
            await d.named("a")
            assert len(old.seen) == 1
            discovery.go.set()
            await discovery.watched.wait()
            while not new.seen:
                await d.named("b")
        for server in (old.server, new.server, discovery.server):
            server.close()

    run(asyncio.wait_for(test(), HANG_S))
