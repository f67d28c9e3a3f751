"""Upgrades from and to the release before, ccd77f2: one side of the channel is played byte for byte as it spoke.

The packets below were recorded from that release with 256 descriptors and 64 MB to share.  In a checkout of it
(`git archive ccd77f2`), `PYTHONPATH=. python` ran this, once as the predecessor and once as the successor:

    old = Succession(256, 64.0, Door(), hold, lambda: used)     # Door().door is a listening socket
    old.meet("a.sock")                                          # used = 100
    peer.connect("a.sock")                                      # AF_UNIX, SOCK_SEQPACKET
    peer.send(b'{"take": 1}'); print(socket.recv_fds(peer, 4096, 4))
    peer.send(b'{"serving": true}'); print(peer.recv(4096))
    used = 60; old.tick(); print(peer.recv(4096))
    old.close(); print(peer.recv(4096))

    inherited = channel.ask("b.sock")                           # peer, _ = listener.accept()
    print(peer.recv(4096)); socket.send_fds(peer, [GRANT], [door.fileno()])
    new = Succession(256, 64.0, Door(), print, lambda: 40)
    new.inherit(inherited); new.serving(); print(peer.recv(4096))
    peer.send(b'{"sockets": 156}'); peer.close()                # held (85, 32.0), (156, 32.0), (256, 64.0)
"""

import asyncio
import socket
from pathlib import Path

from gateusher.base.limits import SPARE_DESCRIPTORS
from gateusher.handover import channel
from gateusher.handover.transfer import ListenerTransfer
from gateusher.listeners.lifecycle import HANDED_OVER, SERVING

from ..helpers import HANG_TIMEOUT_S, wait_until
from ..test_sockets import run, status
from .test_upgrade import FULL, pair, peer

REQUEST = b'{"take": 1}'
GRANT = b'{"sockets": 85, "memory_mb": 32.0}'  # with the listening socket as SCM_RIGHTS
SERVES = b'{"serving": true}'
MORE_AT_100_USED = b'{"sockets": 156}'
MORE_AT_60_USED = b'{"sockets": 196}'
END = b""
MAX_PACKET_BYTES = 4096


class Listener:
    """A listening socket that can change hands; counts what it is told."""

    def __init__(self) -> None:
        self.listening_socket: socket.socket | None = socket.create_server(("127.0.0.1", 0))
        self.handed_over = 0
        self.reclaimed = 0

    def hand_over(self) -> None:
        self.handed_over += 1

    def reclaim(self) -> None:
        self.reclaimed += 1


async def packet(sock: socket.socket) -> tuple[bytes, list[int]]:
    """The next packet and the descriptors that came with it."""
    data, descriptors, _, _ = await asyncio.to_thread(socket.recv_fds, sock, MAX_PACKET_BYTES, 4)
    return data, descriptors


def test_the_predecessor_says_what_the_release_before_said(tmp_path: Path) -> None:
    async def test() -> None:
        listener, held, used = Listener(), list[tuple[int, float]](), 100
        assert listener.listening_socket
        predecessor = ListenerTransfer(256, 64.0, listener, lambda *limits: held.append(limits), lambda: used)
        path = str(tmp_path / "a.sock")
        predecessor.await_successor(path)
        with peer(path) as successor:
            successor.send(REQUEST)
            data, descriptors = await packet(successor)
            assert data == GRANT
            (descriptor,) = descriptors
            with socket.socket(fileno=descriptor) as inherited:
                assert inherited.getsockname() == listener.listening_socket.getsockname()
            assert held == [(171, 32.0)] and not listener.handed_over
            successor.send(SERVES)
            assert await packet(successor) == (MORE_AT_100_USED, [])
            assert held[1:] == [(100, 32.0)] and listener.handed_over == 1
            used = 60
            predecessor.tick()
            assert await packet(successor) == (MORE_AT_60_USED, [])
            predecessor.close()
            assert await packet(successor) == (END, [])
        listener.listening_socket.close()

    run(test())


def test_the_successor_says_what_the_release_before_said(tmp_path: Path) -> None:
    async def test() -> None:
        listener, held = Listener(), list[tuple[int, float]]()
        assert listener.listening_socket
        path = str(tmp_path / "b.sock")
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as meeting:
            meeting.bind(path)
            meeting.listen()
            asked = asyncio.create_task(asyncio.to_thread(channel.request_listener, path))
            predecessor, _ = await asyncio.to_thread(meeting.accept)
        with predecessor:
            predecessor.settimeout(HANG_TIMEOUT_S)
            assert await packet(predecessor) == (REQUEST, [])
            socket.send_fds(predecessor, [GRANT], [listener.listening_socket.fileno()])
            inherited = await asked
            assert inherited and inherited.listening_socket.getsockname() == listener.listening_socket.getsockname()
            successor = ListenerTransfer(256, 64.0, listener, lambda *limits: held.append(limits), lambda: 40)
            successor.inherit(inherited)
            assert held == [(85, 32.0)]
            successor.announce_serving()
            assert await packet(predecessor) == (SERVES, [])
            predecessor.send(MORE_AT_100_USED)
            await wait_until(lambda: held[1:] == [(156, 32.0)])
        await wait_until(lambda: held[2:] == [(256, 64.0)])
        successor.close()
        inherited.listening_socket.close()
        listener.listening_socket.close()

    run(test())


def test_a_successor_serves_where_the_release_before_listened(tmp_path: Path) -> None:
    async def test() -> None:
        async with pair(tmp_path) as p:
            with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as meeting:
                meeting.bind(p.path)
                meeting.listen()
                asked = asyncio.create_task(p.inherit())
                predecessor, _ = await asyncio.to_thread(meeting.accept)
            with predecessor, socket.create_server(("127.0.0.1", 0)) as door:
                predecessor.settimeout(HANG_TIMEOUT_S)
                p.port = door.getsockname()[1]
                assert await packet(predecessor) == (REQUEST, [])
                socket.send_fds(predecessor, [GRANT], [door.fileno()])
                new = await p.successor(await asked)
                assert await packet(predecessor) == (SERVES, [])
                assert new.node.descriptors.limit == 85 - SPARE_DESCRIPTORS
                assert status(await p.ask("one")) == 200
                predecessor.send(MORE_AT_60_USED)
                await wait_until(lambda: new.node.descriptors.limit == 196 - SPARE_DESCRIPTORS)
                assert status(await p.ask("two")) == 200
            await wait_until(lambda: new.node.descriptors.limit == FULL)
            assert status(await p.ask("three")) == 200

    run(test())


def test_a_process_hands_over_to_the_release_before(tmp_path: Path) -> None:
    async def test() -> None:
        async with pair(tmp_path) as p:
            old = await p.start()
            with peer(p.path) as successor:
                successor.send(REQUEST)
                data, (descriptor,) = await packet(successor)
                assert data == GRANT
                with socket.socket(fileno=descriptor) as door:
                    assert door.getsockname()[1] == p.port
                    assert status(await p.ask("one")) == 200
                    await wait_until(lambda: not old.server._connections)
                    free = 256 - old.node.descriptors.in_use
                    successor.send(SERVES)
                    await wait_until(lambda: old.server.lifecycle.phase == HANDED_OVER)
                    assert await packet(successor) == (b'{"sockets": %d}' % free, [])
            await wait_until(lambda: old.server.lifecycle.phase == SERVING)
            assert status(await p.ask("two")) == 200

    run(test())
