"""The soak's own servers."""

import asyncio
import socket

import pytest

from rig.soak.records import Records
from rig.soak.servers import SoakEndpoint


def test_the_port_of_a_crashed_endpoint_stays_its_own() -> None:
    """Guards against another connection that takes the port meanwhile: the endpoint could not start again."""

    async def test() -> None:
        endpoint = SoakEndpoint("e0", Records(), 1)
        await endpoint.start()
        endpoint.crash()
        await asyncio.sleep(0)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", endpoint.port)
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind(("127.0.0.1", endpoint.port))
        await endpoint.start()
        _, writer = await asyncio.open_connection("127.0.0.1", endpoint.port)
        writer.close()
        endpoint.crash()

    asyncio.run(test())
