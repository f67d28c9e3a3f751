"""Upgrades at one address under load: with both sidecars in one event loop, and as real processes."""

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

from ..helpers import HANG_TIMEOUT_S, ROOT, wait_until
from ..net import (
    OK_RESPONSE,
    Discovery,
    Endpoint,
    Reader,
    Writer,
    at_most_once_request,
    configuration,
    host_entry,
    idempotent_request,
    read_message,
    run,
    status,
    unused_address,
)

FULL_DESCRIPTOR_LIMIT = 256 - SPARE_DESCRIPTORS


class ProcessPair:
    """A sidecar and its successor, both in this process."""

    def __init__(self, folder: Path, endpoint: Endpoint, discovery: Discovery) -> None:
        self.endpoint, self.discovery = endpoint, discovery
        self.path = str(folder / "handover.sock")
        self.sidecars: list[Sidecar] = []
        config = configuration(
            [host_entry("e0", endpoint.port)], discovery.port, limits={"memory_mb": 64, "sockets": 256}
        )
        self.config = platform.parse(config, {})._replace(listen=("127.0.0.1", 0))

    async def start(self) -> Sidecar:
        sidecar = Sidecar(self.config, None, self.path)
        self.sidecars.append(sidecar)
        await sidecar.start()
        self.port = sidecar.server.port
        return sidecar

    async def inherit(self) -> Inheritance:
        inheritance = await asyncio.to_thread(channel.request_listener, self.path)
        assert inheritance
        return inheritance

    async def start_successor(self, inheritance: Inheritance | None) -> Sidecar:
        sidecar = Sidecar(self.config, inheritance, self.path)
        self.sidecars.append(sidecar)
        await sidecar.start()
        return sidecar

    async def connect(self) -> tuple[Reader, Writer]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def request(self, name: str) -> bytes:
        reader, writer = await self.connect()
        writer.write(idempotent_request(name))
        head, _ = await asyncio.wait_for(read_message(reader), HANG_TIMEOUT_S)
        writer.close()
        return head


@asynccontextmanager
async def process_pair(folder: Path, endpoint: Endpoint | None = None) -> AsyncIterator[ProcessPair]:
    endpoint = endpoint or Endpoint()
    await endpoint.start()
    discovery = Discovery([host_entry("e0", endpoint.port)])
    await discovery.start()
    processes = ProcessPair(folder, endpoint, discovery)
    try:
        yield processes
    finally:
        for sidecar in processes.sidecars:
            sidecar.close()
        for server in (discovery.server, endpoint.server):
            server.close()


def test_an_upgrade_under_load_fails_no_request(tmp_path: Path) -> None:
    async def test() -> None:
        async with process_pair(tmp_path) as processes:
            predecessor = await processes.start()
            stop, answered = asyncio.Event(), []

            async def client(n: int) -> None:
                reader, writer = await processes.connect()
                k = 0
                while not stop.is_set():
                    writer.write(idempotent_request(f"c{n}-{k}"))
                    head, body = await read_message(reader)
                    answered.append((status(head), body))
                    k += 1
                    if b"Connection: close" in head:
                        writer.close()
                        reader, writer = await processes.connect()
                writer.close()

            clients = [asyncio.create_task(client(n)) for n in range(8)]
            await wait_until(lambda: len(answered) > 50)
            successor = await processes.start_successor(await processes.inherit())
            await wait_until(lambda: predecessor.server.lifecycle.phase == HANDED_OVER)
            answered_before = len(answered)
            await wait_until(lambda: len(answered) > answered_before + 50)
            predecessor.drain()
            await asyncio.wait_for(predecessor.ended.wait(), HANG_TIMEOUT_S)
            answered_before = len(answered)
            await wait_until(lambda: len(answered) > answered_before + 50)
            stop.set()
            await asyncio.gather(*clients)
            assert set(answered) == {(200, b"ok")}
            assert successor.server.is_ready and not predecessor.server.is_ready
            assert successor.node.descriptors.limit == 256 - SPARE_DESCRIPTORS
            assert successor.node.memory.limit == 64 * 1048576 // 3

    run(test())


@pytest.mark.parametrize("has_ended", [False, True])
@pytest.mark.parametrize("taken_by", ["predecessor before", "predecessor meanwhile", "successor"])
def test_an_id_taken_by_one_process_of_an_upgrade_runs_at_neither_again(
    tmp_path: Path, taken_by: str, has_ended: bool
) -> None:
    """Guards against the incident f104c5: an id ran twice when it came again at the other process of an upgrade."""

    async def test() -> None:
        may_respond = asyncio.Event()

        async def respond(_: bytes, writer: Writer) -> None:
            await may_respond.wait()
            writer.write(OK_RESPONSE)

        endpoint = Endpoint(respond)
        async with process_pair(tmp_path, endpoint) as processes:
            predecessor = await processes.start()
            kept = await processes.connect()  # to the predecessor
            await wait_until(lambda: predecessor.server.connection_count == 1)

            async def send(connection: tuple[Reader, Writer]) -> tuple[Reader, Writer]:
                connection[1].write(at_most_once_request("same"))
                return connection

            async def run_once(connection: tuple[Reader, Writer]) -> None:
                await send(connection)
                await wait_until(lambda: endpoint.request_heads)
                if has_ended:
                    may_respond.set()
                connection[1].close()

            if taken_by == "predecessor before":
                await run_once(kept)
            successor = await processes.start_successor(await processes.inherit())
            await wait_until(lambda: predecessor.server.lifecycle.phase == HANDED_OVER)
            if taken_by == "predecessor meanwhile":
                await run_once(kept)
            first, second = predecessor, successor
            if taken_by == "successor":
                await run_once(await processes.connect())
                first, second = successor, predecessor
            await wait_until(lambda: not first.server.connection_count)
            await wait_until(second.engine.ids.digests)
            again = kept if taken_by == "successor" else await processes.connect()
            reader, _ = await send(again)
            head, _ = await asyncio.wait_for(read_message(reader), HANG_TIMEOUT_S)
            assert status(head) == 409 and len(endpoint.request_heads) == 1
            may_respond.set()
            again[1].close()

    run(test())


def test_connections_in_the_accept_queue_outlive_the_predecessor(tmp_path: Path) -> None:
    """Neither process accepts for a while; the requests wait in the kernel's accept queue."""

    async def test() -> None:
        async with process_pair(tmp_path) as processes:
            predecessor = await processes.start()
            inheritance = await processes.inherit()
            await wait_until(lambda: predecessor.node.descriptors.limit < FULL_DESCRIPTOR_LIMIT)
            predecessor.server.hand_over()
            queued = [await processes.connect() for _ in range(20)]
            for n, (_, writer) in enumerate(queued):
                writer.write(idempotent_request(f"w{n}"))
            predecessor.drain()
            await asyncio.wait_for(predecessor.ended.wait(), HANG_TIMEOUT_S)
            await processes.start_successor(inheritance)
            for reader, writer in queued:
                head, _ = await asyncio.wait_for(read_message(reader), HANG_TIMEOUT_S)
                assert status(head) == 200
                writer.close()

    run(test())


def test_a_persistent_connection_ends_with_its_next_response_and_health_checks_pass(tmp_path: Path) -> None:
    async def test() -> None:
        async with process_pair(tmp_path) as processes:
            predecessor = await processes.start()
            reader, writer = await processes.connect()
            writer.write(idempotent_request("first"))
            head, _ = await read_message(reader)
            assert b"Connection: close" not in head
            health_reader, health_writer = await processes.connect()
            health_writer.write(idempotent_request("second"))
            await read_message(health_reader)
            await processes.start_successor(await processes.inherit())
            await wait_until(lambda: predecessor.server.lifecycle.phase == HANDED_OVER)
            predecessor.drain()
            writer.write(idempotent_request("third"))
            head, _ = await read_message(reader)
            assert status(head) == 200 and b"Connection: close" in head
            assert await asyncio.wait_for(reader.read(), HANG_TIMEOUT_S) == b""
            health_writer.write(b"GET /_health HTTP/1.1\r\nHost: o\r\n\r\n")
            head, _ = await read_message(health_reader)
            assert status(head) == 200
            for open_writer in (writer, health_writer):
                open_writer.close()

    run(test())


@pytest.mark.parametrize("serving", [False, True])
def test_a_lost_successor_returns_the_listener(tmp_path: Path, serving: bool) -> None:
    async def test() -> None:
        async with process_pair(tmp_path) as processes:
            predecessor = await processes.start()
            inheritance = await processes.inherit()
            await wait_until(lambda: predecessor.node.descriptors.limit < FULL_DESCRIPTOR_LIMIT)
            if serving:
                successor = await processes.start_successor(inheritance)
                await wait_until(lambda: predecessor.server.lifecycle.phase == HANDED_OVER)
                successor.close()
            else:
                inheritance.channel_socket.close()
                inheritance.listening_socket.close()
            await wait_until(lambda: predecessor.node.descriptors.limit == FULL_DESCRIPTOR_LIMIT)
            await wait_until(lambda: predecessor.server.lifecycle.phase == SERVING)
            assert predecessor.node.memory.limit == 64 * 1048576 // 3
            head = await processes.request("after")
            assert status(head) == 200 and b"Connection: close" not in head
            # Another successor can connect, as the path still leads to the predecessor.
            if not serving:
                next_successor = await processes.start_successor(await processes.inherit())
                assert next_successor.server.is_ready

    run(test())


def test_both_processes_together_stay_within_the_descriptor_budget(tmp_path: Path) -> None:
    """The predecessor has many open requests: its successor is lent what is free, and more as they end."""

    async def test() -> None:
        release, arrived = asyncio.Event(), []

        async def answer_when_released(_: bytes, writer: Writer) -> None:
            arrived.append(1)
            await release.wait()
            writer.write(OK_RESPONSE)

        async with process_pair(tmp_path, Endpoint(answer_when_released)) as processes:
            predecessor = await processes.start()
            descriptor_budget = predecessor.node.config.sockets
            open_connections = [await processes.connect() for _ in range(80)]
            for n, (_, writer) in enumerate(open_connections):
                writer.write(idempotent_request(f"o{n}"))
            await wait_until(lambda: len(arrived) == 80)
            successor = await processes.start_successor(await processes.inherit())
            await wait_until(lambda: predecessor.server.lifecycle.phase == HANDED_OVER)
            # 80 clients and 80 endpoint connections were open at the request, so the minimum is lent; none is closed.
            assert predecessor.node.descriptors.in_use == SPARE_DESCRIPTORS + 160
            lent_descriptors = successor.node.descriptors.limit + SPARE_DESCRIPTORS
            assert lent_descriptors == MIN_LENT_DESCRIPTORS
            release.set()
            for reader, writer in open_connections:
                head, _ = await read_message(reader)
                assert status(head) == 200
                writer.close()
            await wait_until(lambda: successor.node.descriptors.limit + SPARE_DESCRIPTORS > lent_descriptors)
            await wait_until(
                lambda: (
                    predecessor.node.descriptors.in_use + successor.node.descriptors.limit + SPARE_DESCRIPTORS
                    <= descriptor_budget
                )
            )

    run(test())


# -- the channel between them


def connect_channel(path: str) -> socket.socket:
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.settimeout(HANG_TIMEOUT_S)
    sock.connect(path)
    return sock


@pytest.mark.parametrize("data", [b"\x00", b"[1]", b"{", b'{"take": 99}', b'{"serving": true}', b"{}", b"[" * 3000])
def test_a_malformed_request_transfers_nothing(tmp_path: Path, data: bytes) -> None:
    async def test() -> None:
        async with process_pair(tmp_path) as processes:
            predecessor = await processes.start()
            sock = connect_channel(processes.path)
            sock.send(data)
            sock.setblocking(False)
            assert status(await processes.request("one")) == 200
            sock.close()
            await wait_until(lambda: predecessor.transfer._successor_channel is None)
            assert predecessor.server.is_ready and predecessor.node.descriptors.limit == FULL_DESCRIPTOR_LIMIT
            assert (await processes.start_successor(await processes.inherit())).server.is_ready

    run(test())


@pytest.mark.parametrize("answer", [None, b"{", b"{}", b'{"sockets": "x", "memory_mb": 1}', b'{"sockets": 9}'])
def test_a_predecessor_that_answers_nothing_valid_is_ignored(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, answer: bytes | None
) -> None:
    monkeypatch.setattr(channel, "ANSWER_TIMEOUT_S", 0.2 if answer is None else HANG_TIMEOUT_S)
    path = str(tmp_path / "handover.sock")
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as listener, socket.socket() as listening_socket:
        listener.bind(path)
        listener.listen()

        async def test() -> None:
            request = asyncio.create_task(asyncio.to_thread(channel.request_listener, path))
            sock, _ = await asyncio.to_thread(listener.accept)
            with sock:
                if answer is not None:
                    socket.send_fds(sock, [answer], [listening_socket.fileno()])
                assert await request is None

        run(test())


def test_without_a_predecessor_nothing_is_inherited(tmp_path: Path) -> None:
    path = str(tmp_path / "handover.sock")
    assert channel.request_listener(path) is None
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as stale_socket:  # as left by a killed process
        stale_socket.bind(path)
    assert channel.request_listener(path) is None


def test_the_channel_path_needs_a_private_folder(tmp_path: Path) -> None:
    assert channel.channel_path("n0", {}) is None
    assert channel.channel_path("n0", {"TMPDIR": str(tmp_path / "none")}) is None
    tmp_path.chmod(0o777)
    assert channel.channel_path("n0", {"TMPDIR": str(tmp_path)}) is None
    tmp_path.chmod(0o700)
    assert channel.channel_path("../n 0", {"TMPDIR": str(tmp_path)}) == str(tmp_path / "gateusher-___n_0.sock")


# -- real processes


class ProcessRunner:
    """Starts real processes that share a folder and a configuration."""

    def __init__(self, tmp_path: Path, endpoint: Endpoint, discovery: Discovery) -> None:
        self.address = unused_address()
        self.folder = tmp_path / ("long" * 30)  # longer than sockaddr_un allows
        self.folder.mkdir(mode=0o700)
        self.path = tmp_path / "config.json"
        self.path.write_text(
            json.dumps(
                configuration([host_entry("e0", endpoint.port)], discovery.port, listen="{}:{}".format(*self.address))
            )
        )
        self.processes: list[asyncio.subprocess.Process] = []

    async def start_process(self) -> None:
        """Start one more process and wait until it is ready."""
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

    async def request(self, name: str) -> None:
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(idempotent_request(name))
        assert status((await asyncio.wait_for(read_message(reader), HANG_TIMEOUT_S))[0]) == 200
        writer.close()

    async def close(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGKILL])
def test_a_process_takes_over_from_its_predecessor(tmp_path: Path, signal_number: signal.Signals) -> None:
    async def test() -> None:
        async with process_pair(tmp_path) as processes:
            runner = ProcessRunner(tmp_path, processes.endpoint, processes.discovery)
            try:
                await runner.start_process()
                await runner.request("a")
                await runner.start_process()
                first, second = runner.processes
                assert first.returncode is None
                first.send_signal(signal_number)
                for n in range(50):
                    await runner.request(f"b{n}")
                assert await asyncio.wait_for(first.wait(), HANG_TIMEOUT_S) == (
                    0 if signal_number is signal.SIGTERM else -signal_number
                )
                await runner.request("c")
                await runner.start_process()  # the third process takes over from the second
                second.send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(second.wait(), HANG_TIMEOUT_S) == 0
                await runner.request("d")
            finally:
                await runner.close()

    run(test())
