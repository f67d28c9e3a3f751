"""The two loops that the program runs on, and a story played on one."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
import uvloop

Loop = Callable[[], asyncio.AbstractEventLoop]
LOOPS = pytest.mark.parametrize("loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"])


def play(story: Callable[[], Coroutine[Any, Any, None]], loop: Loop = uvloop.new_event_loop) -> None:
    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(story())
