"""What the canonical state of a world reads from the program's coroutines."""

import asyncio

from checker.state import _dialed_connection
from gateusher.upstream.pool import ConnectionPool


def test_the_connection_of_a_dial_task_is_found() -> None:
    """It is a local variable of the pool; without it, states that differ only in whose dial it is are one."""

    async def test() -> None:
        connection = object()
        dial = ConnectionPool._dial(object(), connection)  # type: ignore[arg-type]
        task = asyncio.get_running_loop().create_task(dial)
        assert _dialed_connection(task) is connection
        task.cancel()

    asyncio.run(test())
