"""The admin listener of a running sidecar: readiness, lameduck and its reversal."""

import asyncio

import pytest

from gateusher.config import platform
from gateusher.daemon import Sidecar
from gateusher.listeners import admin as admin_module
from gateusher.listeners import lifecycle as lifecycle_module

from ..helpers import HANG_TIMEOUT_S
from ..net import (
    OK_RESPONSE,
    Endpoint,
    Reader,
    RunningSidecar,
    Writer,
    configuration,
    idempotent_request,
    read_message,
    run_sidecar,
)
from ..test_sockets import run, status

HEALTH = b"GET /_health HTTP/1.1\r\nHost: o\r\n\r\n"


class AdminClient:
    """Sends requests to the admin listener of a running sidecar."""

    def __init__(self, running: RunningSidecar) -> None:
        self.running, self.sidecar = running, running.sidecar

    async def start(self) -> "AdminClient":
        await self.sidecar.admin.start(("127.0.0.1", 0))
        return self

    async def connect(self) -> tuple[Reader, Writer]:
        return await asyncio.open_connection("127.0.0.1", self.sidecar.admin.port)

    async def call(self, request_line: str, rest: bytes = b"") -> tuple[int, bytes]:
        reader, writer = await self.connect()
        writer.write(request_line.encode() + b" HTTP/1.1\r\nHost: o\r\n" + (rest or b"\r\n"))
        data = await asyncio.wait_for(reader.read(), HANG_TIMEOUT_S)
        writer.close()
        return status(data), data


def test_readiness_reflects_lameduck_and_drain() -> None:
    async def test() -> None:
        async with run_sidecar(Endpoint()) as running:
            admin_client = await AdminClient(running).start()
            statuses = []
            for request_line in (
                "GET /_ready",
                "PUT /_lameduck/on",
                "GET /_ready",
                "PUT /_lameduck/on",
                "PUT /_lameduck/off",
                "GET /_ready",
            ):
                statuses.append((await admin_client.call(request_line))[0])
            assert statuses == [200, 200, 503, 200, 200, 200]
            reader, writer = await running.connect()  # an open connection, so that the drain does not end at once
            running.sidecar.drain()
            assert [
                (await admin_client.call(request_line))[0] for request_line in ("GET /_ready", "PUT /_lameduck/off")
            ] == [503, 503]
            writer.close()

    run(test())


@pytest.mark.parametrize(
    ("request_line", "rest", "expected_status"),
    [
        ("POST /_lameduck/on", b"", 405),
        ("GET /_lameduck/on", b"", 405),
        ("PUT /_ready", b"", 405),
        ("GET /look", b"", 404),
        ("GET /", b"", 404),
        ("PUT /_lameduck/on", b"Content-Length: 9000\r\n\r\n" + bytes(9000), 413),
        ("PUT /_lameduck/on", b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", 400),
        ("PUT /_lameduck/on", b"\x00\r\n\r\n", 400),
    ],
)
def test_an_invalid_request_changes_nothing(request_line: str, rest: bytes, expected_status: int) -> None:
    async def test() -> None:
        async with run_sidecar(Endpoint()) as running:
            admin_client = await AdminClient(running).start()
            actual_status, head = await admin_client.call(request_line, rest)
            assert actual_status == expected_status
            assert (b"Allow: " in head) == (expected_status == 405)
            assert (await admin_client.call("GET /_ready"))[0] == 200

    run(test())


def test_unfinished_requests_do_not_block_others(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin_module, "MAX_CONNECTIONS", 6)

    async def test() -> None:
        async with run_sidecar(Endpoint()) as running:
            admin_client = await AdminClient(running).start()
            silent = [await admin_client.connect() for _ in range(20)]
            for _, writer in silent:
                writer.write(b"PUT /_lameduck/on HT")
            assert (await admin_client.call("GET /_ready"))[0] == 200
            for reader, _ in silent[:14]:  # the oldest connections
                assert await asyncio.wait_for(reader.read(), HANG_TIMEOUT_S) == b""
            for _, writer in silent:
                writer.close()

    run(test())


def test_an_unfinished_request_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin_module, "REQUEST_TIMEOUT_S", 0.01)

    async def test() -> None:
        async with run_sidecar(Endpoint()) as running:
            reader, writer = await (await AdminClient(running).start()).connect()
            writer.write(b"GET /_re")
            assert await asyncio.wait_for(reader.read(), HANG_TIMEOUT_S) == b""
            writer.close()

    run(test())


def test_lameduck_ends_connections_without_failed_requests_and_can_be_reverted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(lifecycle_module, "LAMEDUCK_IDLE_GRACE_S", 0.0)
    monkeypatch.setattr(lifecycle_module, "NEW_CONNECTION_GRACE_S", 0.0)

    async def test() -> None:
        release, received = asyncio.Event(), asyncio.Event()

        async def answer_when_released(head: bytes, writer: Writer) -> None:
            if b"slow" in head:
                received.set()
                await release.wait()
            writer.write(OK_RESPONSE)

        async with run_sidecar(Endpoint(answer_when_released)) as running:
            admin_client = await AdminClient(running).start()
            busy, busy_writer = await running.connect()
            busy_writer.write(idempotent_request("slow"))
            await received.wait()
            idle, idle_writer = await running.connect()
            idle_writer.write(idempotent_request("before"))
            head, _ = await read_message(idle)
            assert status(head) == 200 and b"Connection: close" not in head
            assert status((await running.request(HEALTH))[0]) == 200
            assert (await admin_client.call("PUT /_lameduck/on"))[0] == 200
            assert status((await running.request(HEALTH))[0]) == 503
            assert await asyncio.wait_for(idle.read(), HANG_TIMEOUT_S) == b""  # closed as it is idle
            late_reader, late_writer = await running.connect()
            late_writer.write(idempotent_request("late"))  # a new client is still served, and its connection closed
            head, body = await read_message(late_reader)
            assert (status(head), body) == (200, b"ok") and b"Connection: close" in head
            assert await asyncio.wait_for(late_reader.read(), HANG_TIMEOUT_S) == b""
            release.set()
            head, body = await read_message(busy)
            assert (status(head), body) == (200, b"ok") and b"Connection: close" in head
            assert await asyncio.wait_for(busy.read(), HANG_TIMEOUT_S) == b""
            assert (await admin_client.call("PUT /_lameduck/off"))[0] == 200
            assert status((await running.request(HEALTH))[0]) == 200
            again, again_writer = await running.connect()
            for name in ("one", "two"):
                again_writer.write(idempotent_request(name))
                head, _ = await read_message(again)
                assert status(head) == 200 and b"Connection: close" not in head
            for writer in (busy_writer, idle_writer, late_writer, again_writer):
                writer.close()

    run(test())


def test_the_admin_address_comes_from_file_or_environment() -> None:
    config = configuration([], 1)
    assert platform.parse(config, {}).admin is None
    assert platform.parse({**config, "admin_addr": "127.0.0.1:7"}, {}).admin == ("127.0.0.1", 7)
    assert platform.parse({**config, "admin_addr": "127.0.0.1:7"}, {"BALANCER_ADMIN_ADDR": "127.0.0.1:8"}).admin == (
        "127.0.0.1",
        8,
    )
    with pytest.raises(platform.ConfigError, match="admin_addr"):
        platform.parse({**config, "admin_addr": "here"}, {})


def test_an_admin_address_in_use_is_reported() -> None:
    async def test() -> None:
        async with run_sidecar(Endpoint()) as running:
            admin_client = await AdminClient(running).start()
            used_address = "127.0.0.1", admin_client.sidecar.admin.port
            config = running.sidecar.node.config._replace(listen=("127.0.0.1", 0), admin=used_address)
            other = Sidecar(config)
            with pytest.raises(OSError):
                await other.start()
            other.close()

    run(test())
