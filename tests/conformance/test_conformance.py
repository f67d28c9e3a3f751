"""One suite, six faces: what is written in a scenario holds on each of them alike."""

import asyncio
from collections.abc import Callable

import pytest
import uvloop

from ..helpers import HANG_TIMEOUT_S
from .faces import FACES
from .scenarios import SCENARIOS
from .stage import Scenario, Setup, stage

LOOPS: dict[str, Callable[[], asyncio.AbstractEventLoop]] = {
    "daemon": uvloop.new_event_loop,
    "library": asyncio.new_event_loop,
    "asgi": uvloop.new_event_loop,
    "httpx": asyncio.new_event_loop,
    "starlette": asyncio.new_event_loop,
    "fastapi": uvloop.new_event_loop,
}


def play(scenario: Scenario, face: str) -> None:
    async def run() -> None:
        async with asyncio.timeout(HANG_TIMEOUT_S), stage(face, scenario.setup) as s:
            await scenario.play(s)

    with asyncio.Runner(loop_factory=LOOPS[face]) as runner:
        runner.run(run())


@pytest.mark.parametrize("face", FACES)
@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda s: s.name)
def test_scenario(scenario: Scenario, face: str) -> None:
    if why := scenario.why_not(face):
        pytest.skip(why)
    play(scenario, face)


def test_there_are_enough_and_each_is_one() -> None:
    names = [s.name for s in SCENARIOS]
    assert len(names) == len(set(names)) >= 60
    for scenario in SCENARIOS:
        assert len(scenario.not_on) < 3, "a scenario that runs on one face compares nothing"


def test_nobody_else_answers_at_a_dead_nodes_port() -> None:
    async def run() -> None:
        async with asyncio.timeout(HANG_TIMEOUT_S), stage("library", Setup()) as s:
            (node, *_) = s.nodes
            await s.kill(node)
            with pytest.raises(OSError, match="in use"):
                await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", node.port)
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection("127.0.0.1", node.port)

    asyncio.run(run())
