"""Connections that have ended leave memory at once, and not only with one of the rare garbage collections."""

import asyncio
import gc
import socket
from collections.abc import Iterator
from contextlib import suppress

import pytest

from gateusher.listeners.client_connection import MAX_BUFFERED_REQUEST_BYTES, ClientConnection
from gateusher.upstream.connection import Connection

from ..net import Discovery, Endpoint, at_most_once_request, host_entry, idempotent_request, run, run_sidecar

ENDS_WITHIN_S = 2.0
REQUESTS = 5


@pytest.fixture(autouse=True)
def no_collection() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def alive(kind: type) -> int:
    return sum(type(found) is kind for found in gc.get_objects())


async def wait_until_gone(kind: type) -> None:
    with suppress(TimeoutError):
        async with asyncio.timeout(ENDS_WITHIN_S):
            while alive(kind):
                await asyncio.sleep(0.02)
    assert not alive(kind), f"{alive(kind)} are kept in memory"


def test_a_dial_that_is_refused_leaves_nothing() -> None:
    """Guards against the incident 546e86: with endpoints out of reach each attempt left 5 KB behind."""

    async def test() -> None:
        endpoint = Endpoint()
        async with run_sidecar(endpoint) as r:
            endpoint.server.close()
            await endpoint.server.wait_closed()
            for i in range(REQUESTS):
                await r.request(idempotent_request(f"a{i}", "0.3"))
            await wait_until_gone(Connection)

    run(test())


def test_a_dial_that_is_given_up_leaves_nothing() -> None:
    """Guards against the incident 546e86, with dials that are cancelled, as the endpoint accepts nothing."""

    async def test() -> None:
        with socket.socket() as full, socket.socket() as first, socket.socket() as second:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            for filler in (first, second):
                filler.setblocking(False)
                filler.connect_ex(full.getsockname())
            discovery = Discovery([host_entry("e0", full.getsockname()[1])])
            async with run_sidecar(discovery=discovery) as r:
                for i in range(REQUESTS):
                    await r.request(idempotent_request(f"a{i}", "0.3"))
                await wait_until_gone(Connection)

    run(test())


def test_clients_that_leave_within_a_body_leave_nothing() -> None:
    """Guards against the incident 546e86: a body that was forwarded kept its client's connection."""

    async def test() -> None:
        async with run_sidecar(Endpoint()) as r:
            length = b"Content-Length: %d\r\n" % (4 * MAX_BUFFERED_REQUEST_BYTES)
            body = bytes(2 * MAX_BUFFERED_REQUEST_BYTES)
            for i in range(REQUESTS):
                _, writer = await r.connect()
                writer.write(at_most_once_request(f"a{i}", "1.5", length, body))
                await writer.drain()
                writer.transport.abort()
            await wait_until_gone(ClientConnection)

    run(test())
