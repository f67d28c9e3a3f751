"""One process after the other at one address, under load: in one loop, and as real processes."""

import asyncio
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import pytest

from gateusher.base.limits import SPARE_DESCRIPTORS
from gateusher.config import platform
from gateusher.daemon import Sidecar
from gateusher.handover import channel
from gateusher.handover.channel import Inheritance
from gateusher.handover.machine import MIN_LENT_DESCRIPTORS
from gateusher.listeners.lifecycle import HANDED_OVER, SERVING

from ..helpers import HANG_TIMEOUT_S, wait_until
from ..net import (
    OK_RESPONSE,
    Discovery,
    Endpoint,
    Reader,
    Writer,
    configuration,
    host_entry,
    idempotent_request,
    read_message,
    unused_address,
)
from ..test_sockets import ROOT, run, status

FULL = 256 - SPARE_DESCRIPTORS


class Pair:
    """An old process and its successor, here in one."""

    def __init__(self, folder: Path, endpoint: Endpoint, discovery: Discovery) -> None:
        self.endpoint, self.discovery = endpoint, discovery
        self.path = str(folder / "door.sock")
        self.made: list[Sidecar] = []
        conf = configuration(
            [host_entry("e0", endpoint.port)], discovery.port, limits={"memory_mb": 64, "sockets": 256}
        )
        self.config = platform.parse(conf, {})._replace(listen=("127.0.0.1", 0))

    async def start(self) -> Sidecar:
        sidecar = Sidecar(self.config, None, self.path)
        self.made.append(sidecar)
        await sidecar.start()
        self.port = sidecar.server.port
        return sidecar

    async def inherit(self) -> Inheritance:
        inherited = await asyncio.to_thread(channel.request_listener, self.path)
        assert inherited
        return inherited

    async def successor(self, inherited: Inheritance) -> Sidecar:
        sidecar = Sidecar(self.config, inherited, self.path)
        self.made.append(sidecar)
        await sidecar.start()
        return sidecar

    async def connect(self) -> tuple[Reader, Writer]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def ask(self, name: str) -> bytes:
        reader, writer = await self.connect()
        writer.write(idempotent_request(name))
        head, _ = await asyncio.wait_for(read_message(reader), HANG_TIMEOUT_S)
        writer.close()
        return head


@asynccontextmanager
async def pair(folder: Path, endpoint: Endpoint | None = None) -> AsyncIterator[Pair]:
    endpoint = endpoint or Endpoint()
    await endpoint.start()
    discovery = Discovery([host_entry("e0", endpoint.port)])
    await discovery.start()
    p = Pair(folder, endpoint, discovery)
    try:
        yield p
    finally:
        for sidecar in p.made:
            sidecar.close()
        for server in (discovery.server, endpoint.server):
            server.close()


def test_an_upgrade_under_load_loses_nobody(tmp_path: Path) -> None:
    async def test() -> None:
        async with pair(tmp_path) as p:
            old = await p.start()
            stop, answered = asyncio.Event(), []

            async def client(n: int) -> None:
                reader, writer = await p.connect()
                k = 0
                while not stop.is_set():
                    writer.write(idempotent_request(f"c{n}-{k}"))
                    head, body = await read_message(reader)
                    answered.append((status(head), body))
                    k += 1
                    if b"Connection: close" in head:
                        writer.close()
                        reader, writer = await p.connect()
                writer.close()

            clients = [asyncio.create_task(client(n)) for n in range(8)]
            await wait_until(lambda: len(answered) > 50)
            new = await p.successor(await p.inherit())
            await wait_until(lambda: old.server.lifecycle.phase == HANDED_OVER)
            seen = len(answered)
            await wait_until(lambda: len(answered) > seen + 50)
            old.drain()
            await asyncio.wait_for(old.ended.wait(), HANG_TIMEOUT_S)
            seen = len(answered)
            await wait_until(lambda: len(answered) > seen + 50)
            stop.set()
            await asyncio.gather(*clients)
            assert set(answered) == {(200, b"ok")}
            assert new.server.is_ready and not old.server.is_ready
            assert new.node.descriptors.limit == 256 - SPARE_DESCRIPTORS
            assert new.node.memory.limit == 64 * 1048576 // 3

    run(test())


def test_who_waits_in_the_queue_is_served_whoever_ends(tmp_path: Path) -> None:
    """Nobody accepts between the one and the other; the requests lie in the kernel meanwhile."""

    async def test() -> None:
        async with pair(tmp_path) as p:
            old = await p.start()
            inherited = await p.inherit()
            await wait_until(lambda: old.node.descriptors.limit < FULL)
            old.server.hand_over()
            waiting = [await p.connect() for _ in range(20)]
            for n, (_, writer) in enumerate(waiting):
                writer.write(idempotent_request(f"w{n}"))
            old.drain()
            await asyncio.wait_for(old.ended.wait(), HANG_TIMEOUT_S)
            await p.successor(inherited)
            for reader, writer in waiting:
                head, _ = await asyncio.wait_for(read_message(reader), HANG_TIMEOUT_S)
                assert status(head) == 200
                writer.close()

    run(test())


def test_a_kept_connection_ends_with_its_next_answer_and_health_stays_well(tmp_path: Path) -> None:
    async def test() -> None:
        async with pair(tmp_path) as p:
            old = await p.start()
            reader, writer = await p.connect()
            writer.write(idempotent_request("first"))
            head, _ = await read_message(reader)
            assert b"Connection: close" not in head
            health, health_writer = await p.connect()
            health_writer.write(idempotent_request("second"))
            await read_message(health)
            await p.successor(await p.inherit())
            await wait_until(lambda: old.server.lifecycle.phase == HANDED_OVER)
            old.drain()
            writer.write(idempotent_request("third"))
            head, _ = await read_message(reader)
            assert status(head) == 200 and b"Connection: close" in head
            assert await asyncio.wait_for(reader.read(), HANG_TIMEOUT_S) == b""
            health_writer.write(b"GET /_health HTTP/1.1\r\nHost: o\r\n\r\n")
            head, _ = await read_message(health)
            assert status(head) == 200
            for w in (writer, health_writer):
                w.close()

    run(test())


@pytest.mark.parametrize("serving", [False, True])
def test_a_successor_that_goes_gives_the_door_back(tmp_path: Path, serving: bool) -> None:
    async def test() -> None:
        async with pair(tmp_path) as p:
            old = await p.start()
            inherited = await p.inherit()
            await wait_until(lambda: old.node.descriptors.limit < FULL)
            if serving:
                new = await p.successor(inherited)
                await wait_until(lambda: old.server.lifecycle.phase == HANDED_OVER)
                new.close()
            else:
                inherited.channel_socket.close()
                inherited.listening_socket.close()
            await wait_until(lambda: old.node.descriptors.limit == FULL)
            await wait_until(lambda: old.server.lifecycle.phase == SERVING)
            assert old.node.memory.limit == 64 * 1048576 // 3
            head = await p.ask("after")
            assert status(head) == 200 and b"Connection: close" not in head
            # And the next one may come, where it is still to be found.
            if not serving:
                again = await p.successor(await p.inherit())
                assert again.server.is_ready

    run(test())


def test_the_two_together_hold_no_more_than_one(tmp_path: Path) -> None:
    """The old one full of open requests: its successor gets what is free, and more as they end."""

    async def test() -> None:
        go, came = asyncio.Event(), []

        async def wait(_: bytes, writer: Writer) -> None:
            came.append(1)
            await go.wait()
            writer.write(OK_RESPONSE)

        async with pair(tmp_path, Endpoint(wait)) as p:
            old = await p.start()
            limit = old.node.config.sockets
            open_ones = [await p.connect() for _ in range(80)]
            for n, (_, writer) in enumerate(open_ones):
                writer.write(idempotent_request(f"o{n}"))
            await wait_until(lambda: len(came) == 80)
            new = await p.successor(await p.inherit())
            await wait_until(lambda: old.server.lifecycle.phase == HANDED_OVER)
            # Both dials and clients were out when it asked, so it lends little; nothing that is in use goes.
            assert old.node.descriptors.in_use == SPARE_DESCRIPTORS + 160
            lent = new.node.descriptors.limit + SPARE_DESCRIPTORS
            assert lent == MIN_LENT_DESCRIPTORS
            go.set()
            for reader, writer in open_ones:
                head, _ = await read_message(reader)
                assert status(head) == 200
                writer.close()
            await wait_until(lambda: new.node.descriptors.limit + SPARE_DESCRIPTORS > lent)
            await wait_until(
                lambda: old.node.descriptors.in_use + new.node.descriptors.limit + SPARE_DESCRIPTORS <= limit
            )

    run(test())


# -- the line between them


def peer(path: str) -> socket.socket:
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.settimeout(HANG_TIMEOUT_S)
    sock.connect(path)
    return sock


@pytest.mark.parametrize("data", [b"\x00", b"[1]", b"{", b'{"take": 99}', b'{"serving": true}', b"{}", b"[" * 3000])
def test_a_peer_that_makes_no_sense_takes_nothing(tmp_path: Path, data: bytes) -> None:
    async def test() -> None:
        async with pair(tmp_path) as p:
            old = await p.start()
            sock = peer(p.path)
            sock.send(data)
            sock.setblocking(False)
            assert status(await p.ask("one")) == 200
            sock.close()
            await wait_until(lambda: old.transfer._successor_channel is None)
            assert old.server.is_ready and old.node.descriptors.limit == FULL
            assert (await p.successor(await p.inherit())).server.is_ready

    run(test())


@pytest.mark.parametrize("answer", [None, b"{", b"{}", b'{"sockets": "x", "memory_mb": 1}', b'{"sockets": 9}'])
def test_an_old_process_that_makes_no_sense_is_done_without(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, answer: bytes | None
) -> None:
    monkeypatch.setattr(channel, "ANSWER_TIMEOUT_S", 0.2 if answer is None else HANG_TIMEOUT_S)
    path = str(tmp_path / "door.sock")
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as listener, socket.socket() as door:
        listener.bind(path)
        listener.listen()

        async def test() -> None:
            asked = asyncio.create_task(asyncio.to_thread(channel.request_listener, path))
            sock, _ = await asyncio.to_thread(listener.accept)
            with sock:
                if answer is not None:
                    socket.send_fds(sock, [answer], [door.fileno()])
                assert await asked is None

        run(test())


def test_where_no_process_is_there_is_nothing_to_inherit(tmp_path: Path) -> None:
    path = str(tmp_path / "door.sock")
    assert channel.request_listener(path) is None
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as left:  # of a process that was killed
        left.bind(path)
    assert channel.request_listener(path) is None


def test_the_meeting_place_is_private(tmp_path: Path) -> None:
    assert channel.channel_path("n0", {}) is None
    assert channel.channel_path("n0", {"TMPDIR": str(tmp_path / "none")}) is None
    tmp_path.chmod(0o777)
    assert channel.channel_path("n0", {"TMPDIR": str(tmp_path)}) is None
    tmp_path.chmod(0o700)
    assert channel.channel_path("../n 0", {"TMPDIR": str(tmp_path)}) == str(tmp_path / "gateusher-___n_0.sock")


# -- real processes


class Machine:
    """A folder, a configuration and the processes that are started there."""

    def __init__(self, tmp_path: Path, endpoint: Endpoint, discovery: Discovery) -> None:
        self.where = unused_address()
        self.folder = tmp_path / ("long" * 30)  # longer than a socket's address may be
        self.folder.mkdir(mode=0o700)
        self.path = tmp_path / "config.json"
        self.path.write_text(
            json.dumps(
                configuration([host_entry("e0", endpoint.port)], discovery.port, listen="{}:{}".format(*self.where))
            )
        )
        self.processes: list[asyncio.subprocess.Process] = []

    async def begin(self) -> None:
        """Start one more, until it says that it is ready."""
        admin = unused_address()
        self.processes.append(
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "gateusher",
                cwd=ROOT,
                env={
                    **os.environ,
                    "BALANCER_CONFIG": str(self.path),
                    "TMPDIR": str(self.folder),
                    "BALANCER_ADMIN_ADDR": "{}:{}".format(*admin),
                },
            )
        )
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while True:
                with suppress(OSError):
                    reader, writer = await asyncio.open_connection(*admin)
                    writer.write(b"GET /_ready HTTP/1.1\r\nHost: o\r\n\r\n")
                    data = await reader.read()
                    writer.close()
                    if data and status(data) == 200:
                        return
                await asyncio.sleep(0.02)

    async def ask(self, name: str) -> None:
        reader, writer = await asyncio.open_connection(*self.where)
        writer.write(idempotent_request(name))
        assert status((await asyncio.wait_for(read_message(reader), HANG_TIMEOUT_S))[0]) == 200
        writer.close()

    async def close(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()


@pytest.mark.parametrize("end", [signal.SIGTERM, signal.SIGKILL])
def test_a_second_process_takes_over_from_the_first(tmp_path: Path, end: signal.Signals) -> None:
    async def test() -> None:
        async with pair(tmp_path) as p:
            m = Machine(tmp_path, p.endpoint, p.discovery)
            try:
                await m.begin()
                await m.ask("a")
                await m.begin()
                first, second = m.processes
                assert first.returncode is None
                first.send_signal(end)
                for n in range(50):
                    await m.ask(f"b{n}")
                assert await asyncio.wait_for(first.wait(), HANG_TIMEOUT_S) == (0 if end is signal.SIGTERM else -end)
                await m.ask("c")
                await m.begin()  # and the third from the second
                second.send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(second.wait(), HANG_TIMEOUT_S) == 0
                await m.ask("d")
            finally:
                await m.close()

    run(test())
