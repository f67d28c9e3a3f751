"""Runs every scenario on each of the six interfaces, with the same expectations."""

import asyncio
import gc
from collections.abc import Callable

import pytest
import uvloop

from ..helpers import HANG_TIMEOUT_S
from .fixture import Scenario, Setup, open_fixture
from .interfaces import INTERFACES
from .scenarios import SCENARIOS

LOOPS: dict[str, Callable[[], asyncio.AbstractEventLoop]] = {
    "daemon": uvloop.new_event_loop,
    "library": asyncio.new_event_loop,
    "asgi": uvloop.new_event_loop,
    "httpx": asyncio.new_event_loop,
    "starlette": asyncio.new_event_loop,
    "fastapi": uvloop.new_event_loop,
}


def run_scenario(scenario: Scenario, interface: str) -> None:
    async def run() -> None:
        async with asyncio.timeout(HANG_TIMEOUT_S), open_fixture(interface, scenario.setup) as fixture:
            await scenario.run(fixture)

    gc.disable()  # a collection of what earlier tests left takes longer than the bounds of a scenario (issue 52)
    try:
        with asyncio.Runner(loop_factory=LOOPS[interface]) as runner:
            runner.run(run())
    finally:
        gc.enable()


@pytest.mark.parametrize("interface", INTERFACES)
@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda s: s.name)
def test_scenario(scenario: Scenario, interface: str) -> None:
    if reason := scenario.skip_reason(interface):
        pytest.skip(reason)
    run_scenario(scenario, interface)


def test_scenarios_have_unique_names_and_run_on_several_interfaces() -> None:
    names = [s.name for s in SCENARIOS]
    assert len(names) == len(set(names)) >= 60
    for scenario in SCENARIOS:
        assert len(scenario.unsupported_on) < 3, "a scenario that runs on one interface compares nothing"


def test_port_of_killed_node_stays_reserved() -> None:
    async def run() -> None:
        async with asyncio.timeout(HANG_TIMEOUT_S), open_fixture("library", Setup()) as fixture:
            (node, *_) = fixture.nodes
            await fixture.kill(node)
            with pytest.raises(OSError, match="in use"):
                await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", node.port)
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection("127.0.0.1", node.port)

    asyncio.run(run())
