"""The two event loops that the program supports, and a runner of a test on one of them."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
import uvloop

Loop = Callable[[], asyncio.AbstractEventLoop]
LOOPS = pytest.mark.parametrize("loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"])


def run_on_loop(test: Callable[[], Coroutine[Any, Any, None]], loop: Loop = uvloop.new_event_loop) -> None:
    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(test())
