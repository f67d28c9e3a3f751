"""Members on real sockets and one loop: foreign bytes of every length, full buffers, an address handed on."""

import asyncio
import json
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from random import Random

import pytest
import uvloop

from gateusher.base.clock import Clock
from gateusher.config.membership import Membership
from gateusher.membership.interface import BroadcastReceived, MemberChanged, MemberState
from gateusher.membership.udp import MembershipEndpoint
from gateusher.membership.wire import MAGIC

from ..helpers import HANG_TIMEOUT_S, wait_until

KEY = bytes(range(16))


def place() -> tuple[str, int]:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.3", 0))
        ip, port = sock.getsockname()
        return ip, port


def pair(**more: object) -> tuple[Membership, Membership]:
    a, b = place(), place()
    quick = {
        "keys": (KEY,),
        "probe_period_ms": 100.0,
        "ack_timeout_ms": 30.0,
        "gossip_interval_ms": 20.0,
        "retry_interval_ms": 100.0,
        **more,
    }
    return (
        Membership(name="a", listen=a, peers=(("b", b),), **quick),  # type: ignore[arg-type]
        Membership(name="b", listen=b, peers=(("a", a),), **quick),
    )  # type: ignore[arg-type]


def run(test: Callable[[], object]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(test(), 2 * HANG_TIMEOUT_S))  # type: ignore[arg-type]


def test_two_find_each_other_and_one_that_leaves_is_told() -> None:
    async def test() -> None:
        first, second = pair()
        a, b = MembershipEndpoint(first, Clock()), MembershipEndpoint(second, Clock())
        events: list[MemberChanged | BroadcastReceived] = []
        a.listeners.append(events.append)
        a.open()
        b.open()
        await wait_until(lambda: a.machine.up_count == b.machine.up_count == 1)
        b.broadcast(7, b"word")
        await wait_until(
            lambda: any(
                isinstance(e, BroadcastReceived) and (e.origin, e.kind, e.data) == ("b", 7, b"word") for e in events
            )
        )
        b.leave()
        await wait_until(lambda: any(isinstance(e, MemberChanged) and e.after is MemberState.LEFT for e in events))
        assert json.loads(json.dumps(a.report()))["members"][1]["state"] == "left"
        a.close()
        b.close()

    run(test)


def test_foreign_datagrams_of_every_length_change_nothing_and_are_not_answered() -> None:
    async def test() -> None:
        config, _ = pair()
        a = MembershipEndpoint(config, Clock())
        a.open()
        loop, answered = asyncio.get_running_loop(), list[int]()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK) as sock:
            sock.bind(("127.0.0.1", 0))
            loop.add_reader(sock, lambda: answered.append(len(sock.recv(65535))))
            lengths = [*range(0, 1300), *range(1300, 65508, 911), 65507]
            random = Random(1)
            datagrams = [random.randbytes(length) for length in lengths]
            datagrams.append(MAGIC + random.randbytes(200))  # begins like a sealed one
            for datagram in datagrams:
                seen = a.received
                while a.received == seen:  # one at a time, so that none is lost in a full buffer
                    sock.sendto(datagram, config.listen)
                    async with asyncio.timeout(HANG_TIMEOUT_S):
                        while a.received == seen:
                            await asyncio.sleep(0)
            loop.remove_reader(sock)
        dropped = a.machine.dropped
        assert a.received == len(datagrams) and sum(dropped.values()) == len(datagrams)
        assert set(dropped) == {"length", "malformed", "key"} and dropped["key"] == 1
        assert not answered and not a.machine.up_count
        a.close()

    run(test)


class Full:
    """Stands for a socket whose buffer takes nothing."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    def sendto(self, data: bytes, to: tuple[str, int]) -> int:
        raise BlockingIOError

    def __getattr__(self, name: str) -> object:
        return getattr(self._sock, name)


def test_a_full_buffer_loses_datagrams_and_nothing_else() -> None:
    async def test() -> None:
        first, second = pair()
        a, b = MembershipEndpoint(first, Clock()), MembershipEndpoint(second, Clock())
        a.open()
        real = a._socket
        assert real
        a._socket = Full(real)  # type: ignore[assignment]
        b.open()
        await wait_until(lambda: a.unsent["BlockingIOError"] > 3)
        assert not b.machine.up_count
        a._socket = real
        await wait_until(lambda: a.machine.up_count == b.machine.up_count == 1)
        a.close()
        b.close()

    run(test)


def test_a_successor_takes_the_address_and_gives_it_back() -> None:
    async def test() -> None:
        first, second = pair()
        old, peer, new = (
            MembershipEndpoint(first, Clock()),
            MembershipEndpoint(second, Clock()),
            MembershipEndpoint(first, Clock()),
        )
        events: list[MemberChanged | BroadcastReceived] = []
        peer.listeners.append(events.append)
        old.open()
        peer.open()
        await wait_until(lambda: old.machine.up_count == peer.machine.up_count == 1)
        new.open(wait_for_address=True)  # the address is in use: it waits
        assert not new.report()["listening"]
        with pytest.raises(OSError, match="in use"):
            MembershipEndpoint(first, Clock()).open()
        old.pause()
        await wait_until(lambda: new.machine.up_count == 1)
        await wait_until(lambda: any(isinstance(e, MemberChanged) and e.restarted for e in events))
        new.close()  # it dies, and the old one goes on as another life of the name
        before = old.machine.instance
        old.resume()
        old.resume()
        await wait_until(lambda: old.machine.up_count == 1 and old.machine.instance != before)
        held = next(iter(peer.machine.members.values()))
        await wait_until(lambda: held.instance == old.machine.instance and held.state is MemberState.ALIVE)
        assert not [e for e in events if isinstance(e, MemberChanged) and e.after is MemberState.LEFT]
        for end in (old, peer):
            end.close()
            end.close()

    run(test)


def test_keys_and_peers_are_taken_up_and_the_rest_is_told(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        first, second = pair()
        other = b"another key of 16"
        a, b = MembershipEndpoint(first, Clock()), MembershipEndpoint(second._replace(keys=(other,)), Clock())
        a.open()
        b.open()
        await wait_until(lambda: a.machine.dropped["key"] > 0 and b.machine.dropped["key"] > 0)
        a.reload(first._replace(keys=(KEY, other)))
        b.reload(second._replace(keys=(KEY, other), probe_period_ms=77.0))
        await wait_until(lambda: a.machine.up_count == b.machine.up_count == 1)
        a.reload(first._replace(keys=(KEY, other), peers=()))
        assert not a.machine.members
        a.close()
        b.close()

    run(test)


def test_it_is_off_unless_it_is_set(tmp_path: Path) -> None:
    """Without [membership] and [duties] the daemon loads nothing of either and opens no socket or folder for them."""
    code = (
        "import sys\nimport gateusher.cli.run, gateusher.daemon\n"
        "off = {'membership', 'virtual', 'duties', 'leases', 'storage', 'google_crc32c'}\n"
        "print(sorted(m for m in sys.modules if off & set(m.split('.'))))"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, cwd=Path(__file__).parents[2]
    )
    assert done.stdout.strip() == "[]"
