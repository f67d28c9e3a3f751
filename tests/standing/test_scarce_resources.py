"""Calls that fail for want of descriptors or memory delay a start or cost a connection, and end no process."""

import asyncio
import errno
import sys
from pathlib import Path

import pytest

from gateusher.base import input_turns
from gateusher.listeners import server as listener
from gateusher.listeners.client_connection import ClientConnection
from gateusher.listeners.request_parser import RequestParser
from gateusher.upstream import pool
from gateusher.upstream.connection import Connection

from ..helpers import HANG_TIMEOUT_S, ROOT
from ..net import (
    Discovery,
    Endpoint,
    at_most_once_request,
    host_entry,
    idempotent_request,
    read_message,
    run,
    run_sidecar,
    status,
)
from .process import run_daemon, wait_until_serving

FAILS_FOR_S = 2.0
FAILURES = 20

# Runs the daemon; `TARGET` fails as if no descriptor were free, until FAILS_FOR_S are over.
PROGRAM = """
import sys, time
until_s = time.monotonic() + {fails_for_s}
def failing(real):
    def call(*arguments, **options):
        if time.monotonic() < until_s:
            raise OSError({errno}, "injected")
        return real(*arguments, **options)
    return call
sys.argv = ["gateusher"]
sys.path.insert(0, {root!r})
{patch}
from gateusher.__main__ import main
sys.exit(main())
"""
PATCHES = {
    "the event loop's own sockets": "import socket; socket.socketpair = failing(socket.socketpair)",
    "the clients' address": (
        "from gateusher.listeners import server; "
        "server.create_listening_socket = failing(server.create_listening_socket)"
    ),
    "the operators' address": "from gateusher.listeners.admin import Admin; Admin.start = failing(Admin.start)",
    "the figure of the memory": "import os; os.pread = failing(os.pread)",
}


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENOMEM])
@pytest.mark.parametrize("name", PATCHES)
def test_a_start_without_free_descriptors_is_delayed_only(name: str, number: int, tmp_path: Path) -> None:
    """Guards against the incident 546e86: a process that ends by itself, here as it starts beside a crowd."""

    async def test() -> None:
        endpoint = Endpoint()
        await endpoint.start()
        discovery = Discovery([host_entry("e0", endpoint.port)])
        await discovery.start()
        program = tmp_path / "program.py"
        program.write_text(PROGRAM.format(root=str(ROOT), fails_for_s=FAILS_FOR_S, errno=number, patch=PATCHES[name]))
        async with run_daemon(
            tmp_path, discovery.hosts, discovery.port, f"exec {sys.executable} {program}"
        ) as daemon:
            await wait_until_serving(daemon.process, daemon.address)
            await daemon.wait_until_ready()
            await daemon.request("a")
        endpoint.server.close()
        discovery.server.close()

    run(asyncio.wait_for(test(), HANG_TIMEOUT_S))


def test_a_client_for_whom_there_is_no_memory_costs_no_descriptor(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with run_sidecar(Endpoint()) as r:
            used = r.sidecar.node.descriptors.used
            with monkeypatch.context() as patch:
                patch.setattr(listener, "ClientConnection", _raise_memory_error)
                for _ in range(FAILURES):
                    reader, writer = await r.connect()
                    assert await reader.read() == b""
                    writer.close()
            assert r.sidecar.node.descriptors.used == used
            head, _ = await r.request(idempotent_request("a"))
            assert status(head) == 200

    run(test())


def test_an_attempt_for_which_there_is_no_memory_costs_no_descriptor(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with run_sidecar(Endpoint()) as r:
            with monkeypatch.context() as patch:
                patch.setattr(pool, "Connection", _raise_memory_error)
                for i in range(FAILURES):
                    head, _ = await r.request(idempotent_request(f"a{i}", "0.2"))
                    assert status(head) == 503
            while r.sidecar.server.connection_count:
                await asyncio.sleep(0.01)
            assert r.sidecar.node.descriptors.used == 0
            head, _ = await r.request(idempotent_request("b"))
            assert status(head) == 200

    run(test())


def test_a_turn_for_which_there_is_no_memory_ends_its_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a client that stays paused for ever, as its input could not be handled."""

    async def test() -> None:
        async with run_sidecar(Endpoint()) as r:
            parse = RequestParser.feed

            def fail_within_a_body(self: RequestParser, data: bytes | memoryview) -> None:
                if self.body_bytes > input_turns.MAX_WORK_PER_TURN:
                    raise MemoryError
                parse(self, data)

            monkeypatch.setattr(RequestParser, "feed", fail_within_a_body)
            reader, writer = await r.connect()
            chunks = b"1\r\nx\r\n" * 1000
            writer.write(at_most_once_request("a", "5", b"Transfer-Encoding: chunked\r\n", chunks))
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await asyncio.wait_for(read_message(reader), HANG_TIMEOUT_S)
            writer.close()
            while r.sidecar.server.connection_count:
                await asyncio.sleep(0.01)
            assert r.sidecar.node.memory.in_use == 0

    run(test())


def _raise_memory_error(*_: object) -> ClientConnection | Connection:
    raise MemoryError
