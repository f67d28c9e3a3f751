"""A real process starts and serves without waiting for any other system: discovery doesn't respond."""

import asyncio
from pathlib import Path

import pytest

from ..helpers import HANG_TIMEOUT_S
from ..net import Discovery, Endpoint, host_entry, run
from .process import RUN_COMMAND, run_daemon, wait_until_serving


async def _serve_before_discovery_responds(
    folder: Path, discovery: Discovery, down: bool, command: str = RUN_COMMAND
) -> None:
    endpoint = Endpoint()
    await endpoint.start()
    await discovery.start()
    if down:
        discovery.server.close()
    async with run_daemon(folder, [host_entry("e0", endpoint.port)], discovery.port, command) as d:
        await wait_until_serving(d.process, d.address)
        await d.wait_until_ready()
        await d.request("a")
        if not down:
            await discovery.connected.wait()  # it polls, and serves in the meantime
        await d.request("b")
    assert not discovery.has_watch.is_set()
    endpoint.server.close()
    discovery.server.close()


@pytest.mark.parametrize("fault", ["down", "silent", "resets"])
def test_it_is_ready_and_serves_though_discovery_never_responds(fault: str, tmp_path: Path) -> None:
    async def test() -> None:
        discovery = Discovery([])
        discovery.may_respond.clear()
        discovery.resets_connections = fault == "resets"
        await _serve_before_discovery_responds(tmp_path, discovery, fault == "down")

    run(asyncio.wait_for(test(), HANG_TIMEOUT_S))


def test_a_late_endpoint_list_takes_effect_in_a_process_that_already_serves(tmp_path: Path) -> None:
    async def test() -> None:
        old, new = Endpoint(), Endpoint()
        await old.start()
        await new.start()
        known = [host_entry("e0", old.port)]
        discovery = Discovery([host_entry("e0", old.port, "Terminating"), host_entry("e1", new.port)], seq=2)
        discovery.may_respond.clear()
        await discovery.start()
        async with run_daemon(tmp_path, known, discovery.port) as d:
            await wait_until_serving(d.process, d.address)
            await d.request("a")
            assert len(old.request_heads) == 1
            discovery.may_respond.set()
            await discovery.has_watch.wait()
            while not new.request_heads:
                await d.request("b")
        for server in (old.server, new.server, discovery.server):
            server.close()

    run(asyncio.wait_for(test(), HANG_TIMEOUT_S))
