"""What operators do to a running sidecar: ready, sending clients away, taking them back."""

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


class Operators:
    """The operators' side of a sidecar."""

    def __init__(self, r: RunningSidecar) -> None:
        self.r, self.sidecar = r, r.sidecar

    async def start(self) -> "Operators":
        await self.sidecar.admin.start(("127.0.0.1", 0))
        return self

    async def connect(self) -> tuple[Reader, Writer]:
        return await asyncio.open_connection("127.0.0.1", self.sidecar.admin.port)

    async def call(self, line: str, more: bytes = b"") -> tuple[int, bytes]:
        reader, writer = await self.connect()
        writer.write(line.encode() + b" HTTP/1.1\r\nHost: o\r\n" + (more or b"\r\n"))
        data = await asyncio.wait_for(reader.read(), HANG_TIMEOUT_S)
        writer.close()
        return status(data), data


def test_ready_says_whether_clients_are_taken() -> None:
    async def test() -> None:
        async with run_sidecar(Endpoint()) as r:
            ops = await Operators(r).start()
            seen = []
            for line in (
                "GET /_ready",
                "PUT /_lameduck/on",
                "GET /_ready",
                "PUT /_lameduck/on",
                "PUT /_lameduck/off",
                "GET /_ready",
            ):
                seen.append((await ops.call(line))[0])
            assert seen == [200, 200, 503, 200, 200, 200]
            reader, writer = await r.connect()  # keeps the drain from ending at once
            r.sidecar.drain()
            assert [(await ops.call(line))[0] for line in ("GET /_ready", "PUT /_lameduck/off")] == [503, 503]
            writer.close()

    run(test())


@pytest.mark.parametrize(
    ("line", "more", "wanted"),
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
def test_a_call_that_is_none_changes_nothing(line: str, more: bytes, wanted: int) -> None:
    async def test() -> None:
        async with run_sidecar(Endpoint()) as r:
            ops = await Operators(r).start()
            code, head = await ops.call(line, more)
            assert code == wanted
            assert (b"Allow: " in head) == (wanted == 405)
            assert (await ops.call("GET /_ready"))[0] == 200

    run(test())


def test_callers_that_finish_no_call_keep_nobody_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin_module, "MAX_CONNECTIONS", 6)

    async def test() -> None:
        async with run_sidecar(Endpoint()) as r:
            ops = await Operators(r).start()
            silent = [await ops.connect() for _ in range(20)]
            for _, writer in silent:
                writer.write(b"PUT /_lameduck/on HT")
            assert (await ops.call("GET /_ready"))[0] == 200
            for reader, _ in silent[:14]:  # those that had waited for the longest
                assert await asyncio.wait_for(reader.read(), HANG_TIMEOUT_S) == b""
            for _, writer in silent:
                writer.close()

    run(test())


def test_an_unfinished_call_ends_by_itself(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin_module, "REQUEST_TIMEOUT_S", 0.01)

    async def test() -> None:
        async with run_sidecar(Endpoint()) as r:
            reader, writer = await (await Operators(r).start()).connect()
            writer.write(b"GET /_re")
            assert await asyncio.wait_for(reader.read(), HANG_TIMEOUT_S) == b""
            writer.close()

    run(test())


def test_clients_are_sent_away_unharmed_and_taken_back(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lifecycle_module, "LAMEDUCK_IDLE_GRACE_S", 0.0)
    monkeypatch.setattr(lifecycle_module, "NEW_CONNECTION_GRACE_S", 0.0)

    async def test() -> None:
        go, came = asyncio.Event(), asyncio.Event()

        async def wait(head: bytes, writer: Writer) -> None:
            if b"slow" in head:
                came.set()
                await go.wait()
            writer.write(OK_RESPONSE)

        async with run_sidecar(Endpoint(wait)) as r:
            ops = await Operators(r).start()
            busy, busy_writer = await r.connect()
            busy_writer.write(idempotent_request("slow"))
            await came.wait()
            idle, idle_writer = await r.connect()
            idle_writer.write(idempotent_request("before"))
            head, _ = await read_message(idle)
            assert status(head) == 200 and b"Connection: close" not in head
            assert status((await r.request(HEALTH))[0]) == 200
            assert (await ops.call("PUT /_lameduck/on"))[0] == 200
            assert status((await r.request(HEALTH))[0]) == 503
            assert await asyncio.wait_for(idle.read(), HANG_TIMEOUT_S) == b""  # nothing came on it, so it is closed
            late, late_writer = await r.connect()
            late_writer.write(idempotent_request("late"))  # one that still comes is served, and its connection ends
            head, body = await read_message(late)
            assert (status(head), body) == (200, b"ok") and b"Connection: close" in head
            assert await asyncio.wait_for(late.read(), HANG_TIMEOUT_S) == b""
            go.set()
            head, body = await read_message(busy)
            assert (status(head), body) == (200, b"ok") and b"Connection: close" in head
            assert await asyncio.wait_for(busy.read(), HANG_TIMEOUT_S) == b""
            assert (await ops.call("PUT /_lameduck/off"))[0] == 200
            assert status((await r.request(HEALTH))[0]) == 200
            again, again_writer = await r.connect()
            for name in ("one", "two"):
                again_writer.write(idempotent_request(name))
                head, _ = await read_message(again)
                assert status(head) == 200 and b"Connection: close" not in head
            for writer in (busy_writer, idle_writer, late_writer, again_writer):
                writer.close()

    run(test())


def test_the_second_address_comes_from_file_or_environment() -> None:
    conf = configuration([], 1)
    assert platform.parse(conf, {}).admin is None
    assert platform.parse({**conf, "admin_addr": "127.0.0.1:7"}, {}).admin == ("127.0.0.1", 7)
    assert platform.parse({**conf, "admin_addr": "127.0.0.1:7"}, {"BALANCER_ADMIN_ADDR": "127.0.0.1:8"}).admin == (
        "127.0.0.1",
        8,
    )
    with pytest.raises(platform.ConfigError, match="admin_addr"):
        platform.parse({**conf, "admin_addr": "here"}, {})


def test_a_taken_second_address_is_told() -> None:
    async def test() -> None:
        async with run_sidecar(Endpoint()) as r:
            ops = await Operators(r).start()
            taken = "127.0.0.1", ops.sidecar.admin.port
            conf = r.sidecar.node.config._replace(listen=("127.0.0.1", 0), admin=taken)
            other = Sidecar(conf)
            with pytest.raises(OSError):
                await other.start()
            other.close()

    run(test())
