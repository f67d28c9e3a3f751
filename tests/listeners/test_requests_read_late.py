"""Requests that are read long after their clients sent them, just after a reload."""

import asyncio
import socket
import threading
import time
from pathlib import Path

import pytest

from ..net import read_message, run
from ..reloads import CLIENTS_KNOW_S, KEYED, OTHER, Fleet, reloadable, request


def test_a_head_that_began_before_clients_knew_is_bound_by_the_old_rules(tmp_path: Path) -> None:
    """Guards against going by the time at which a request is complete in place of when its client sent it."""

    async def test() -> None:
        fleet = Fleet()
        async with reloadable(fleet, tmp_path) as (running, file):
            file.write_lanes(KEYED, OTHER)
            file.write_lanes({**KEYED, "group": "all"}, OTHER)
            streams = [await running.connect() for _ in range(24)]
            for i, (_, writer) in enumerate(streams):
                writer.write(request("book", f"r{i}")[:40])
            await asyncio.sleep(CLIENTS_KNOW_S + 0.3)
            for i, (_, writer) in enumerate(streams):
                writer.write(request("book", f"r{i}")[40:])
            for reader, writer in streams:
                await read_message(reader)
                writer.close()
            assert len(fleet.runs) == 24 and not fleet.elsewhere

    run(test())


@pytest.mark.parametrize("connection", ["new", "kept", "pipelined"])
def test_requests_that_waited_while_the_process_was_held_up_are_bound_by_the_old_rules(
    connection: str, tmp_path: Path
) -> None:
    """Guards against taking a request for a later one, as it was read late: its client could not know."""
    held_from_s, held_until_s, sent_at_s = 0.4, 1.8, 0.6

    async def test() -> None:
        fleet = Fleet()
        async with reloadable(fleet, tmp_path) as (running, file):
            file.write_lanes(KEYED, OTHER)
            file.write_lanes({**KEYED, "group": "all"}, OTHER)
            began_s = time.monotonic()
            clients = HeldUpClients(running.sidecar.server.port, connection, began_s + sent_at_s)
            clients.start()
            await asyncio.sleep(held_from_s)
            time.sleep(began_s + held_until_s - time.monotonic())
            await asyncio.to_thread(clients.join)
            assert len(fleet.runs) == HeldUpClients.COUNT and not fleet.elsewhere

    run(test())


class HeldUpClients(threading.Thread):
    """Clients in a thread of their own, which send at one moment, whatever the event loop does."""

    COUNT = 24

    def __init__(self, port: int, connection: str, send_at_s: float) -> None:
        super().__init__()
        self._port, self._connection, self._send_at_s = port, connection, send_at_s

    def run(self) -> None:
        kept = [] if self._connection == "new" else [self._connect(i) for i in range(self.COUNT)]
        time.sleep(self._send_at_s - time.monotonic())
        sockets = kept or [socket.create_connection(("127.0.0.1", self._port)) for _ in range(self.COUNT)]
        for i, sock in enumerate(sockets):
            sock.sendall(request("book", f"r{i}"))
        if self._connection == "pipelined":
            time.sleep(0.9)  # the latest data is young, the request is not
            for i, sock in enumerate(sockets):
                sock.sendall(request("other", f"o{i}", "GET", has_key=False)[:20])
        for sock in sockets:
            sock.settimeout(5.0)
            sock.recv(4096)
            sock.close()

    def _connect(self, number: int) -> socket.socket:
        """Return a connection that has carried a request, which no endpoint sees."""
        sock = socket.create_connection(("127.0.0.1", self._port))
        sock.sendall(b"GET /_health HTTP/1.1\r\nHost: o\r\n\r\n")
        sock.recv(4096)
        return sock
