"""Members on real sockets and one event loop: foreign datagrams, full buffers, and a handover of the address."""

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


def unused_udp_address() -> tuple[str, int]:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.3", 0))
        ip, port = sock.getsockname()
        return ip, port


def make_settings_pair(**overrides: object) -> tuple[Membership, Membership]:
    a, b = unused_udp_address(), unused_udp_address()
    timing = {
        "keys": (KEY,),
        "probe_period_ms": 100.0,
        "ack_timeout_ms": 30.0,
        "gossip_interval_ms": 20.0,
        "retry_interval_ms": 100.0,
        **overrides,
    }
    return (
        Membership(name="a", listen=a, peers=(("b", b),), **timing),  # type: ignore[arg-type]
        Membership(name="b", listen=b, peers=(("a", a),), **timing),
    )  # type: ignore[arg-type]


def run_test(test: Callable[[], object]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(test(), 2 * HANG_TIMEOUT_S))  # type: ignore[arg-type]


def test_two_members_discover_each_other_and_a_leave_is_reported() -> None:
    async def test() -> None:
        first, second = make_settings_pair()
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
        await wait_until(
            lambda: any(isinstance(e, MemberChanged) and e.new_state is MemberState.LEFT for e in events)
        )
        assert json.loads(json.dumps(a.report()))["members"][1]["state"] == "left"
        a.close()
        b.close()

    run_test(test)


def test_foreign_datagrams_of_every_length_are_dropped_and_not_answered() -> None:
    async def test() -> None:
        config, _ = make_settings_pair()
        a = MembershipEndpoint(config, Clock())
        a.open()
        loop, answer_lengths = asyncio.get_running_loop(), list[int]()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK) as sock:
            sock.bind(("127.0.0.1", 0))
            loop.add_reader(sock, lambda: answer_lengths.append(len(sock.recv(65535))))
            lengths = [*range(0, 1300), *range(1300, 65508, 911), 65507]
            random = Random(1)
            datagrams = [random.randbytes(length) for length in lengths]
            datagrams.append(MAGIC + random.randbytes(200))  # begins like a valid datagram
            for datagram in datagrams:
                received_before = a.received
                while a.received == received_before:  # one at a time, so that none is lost in a full buffer
                    sock.sendto(datagram, config.listen)
                    async with asyncio.timeout(HANG_TIMEOUT_S):
                        while a.received == received_before:
                            await asyncio.sleep(0)
            loop.remove_reader(sock)
        dropped = a.machine.dropped
        assert a.received == len(datagrams) and sum(dropped.values()) == len(datagrams)
        assert set(dropped) == {"length", "malformed", "key"} and dropped["key"] == 1
        assert not answer_lengths and not a.machine.up_count
        a.close()

    run_test(test)


class FullSocket:
    """Wraps a socket whose send buffer is full."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    def sendto(self, data: bytes, destination: tuple[str, int]) -> int:
        raise BlockingIOError

    def __getattr__(self, name: str) -> object:
        return getattr(self._sock, name)


def test_a_full_send_buffer_loses_only_datagrams() -> None:
    async def test() -> None:
        first, second = make_settings_pair()
        a, b = MembershipEndpoint(first, Clock()), MembershipEndpoint(second, Clock())
        a.open()
        real_socket = a._socket
        assert real_socket
        a._socket = FullSocket(real_socket)  # type: ignore[assignment]
        b.open()
        await wait_until(lambda: a.unsent["BlockingIOError"] > 3)
        assert not b.machine.up_count
        a._socket = real_socket
        await wait_until(lambda: a.machine.up_count == b.machine.up_count == 1)
        a.close()
        b.close()

    run_test(test)


def test_a_successor_takes_over_the_address_and_returns_it() -> None:
    async def test() -> None:
        first, second = make_settings_pair()
        predecessor, peer, successor = (
            MembershipEndpoint(first, Clock()),
            MembershipEndpoint(second, Clock()),
            MembershipEndpoint(first, Clock()),
        )
        events: list[MemberChanged | BroadcastReceived] = []
        peer.listeners.append(events.append)
        predecessor.open()
        peer.open()
        await wait_until(lambda: predecessor.machine.up_count == peer.machine.up_count == 1)
        successor.open(wait_for_address=True)  # the address is in use, so binding is retried
        assert not successor.report()["listening"]
        with pytest.raises(OSError, match="in use"):
            MembershipEndpoint(first, Clock()).open()
        predecessor.pause()
        await wait_until(lambda: successor.machine.up_count == 1)
        await wait_until(lambda: any(isinstance(e, MemberChanged) and e.restarted for e in events))
        successor.close()  # the predecessor resumes as a new instance of the name
        old_instance = predecessor.machine.instance
        predecessor.resume()
        predecessor.resume()
        await wait_until(lambda: predecessor.machine.up_count == 1 and predecessor.machine.instance != old_instance)
        record = next(iter(peer.machine.members.values()))
        await wait_until(
            lambda: record.instance == predecessor.machine.instance and record.state is MemberState.ALIVE
        )
        assert not [e for e in events if isinstance(e, MemberChanged) and e.new_state is MemberState.LEFT]
        for endpoint in (predecessor, peer):
            endpoint.close()
            endpoint.close()

    run_test(test)


def test_a_reload_applies_keys_and_peers(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        first, second = make_settings_pair()
        other_key = b"another key of 16"
        a, b = MembershipEndpoint(first, Clock()), MembershipEndpoint(second._replace(keys=(other_key,)), Clock())
        a.open()
        b.open()
        await wait_until(lambda: a.machine.dropped["key"] > 0 and b.machine.dropped["key"] > 0)
        a.reload(first._replace(keys=(KEY, other_key)))
        b.reload(second._replace(keys=(KEY, other_key), probe_period_ms=77.0))
        await wait_until(lambda: a.machine.up_count == b.machine.up_count == 1)
        a.reload(first._replace(keys=(KEY, other_key), peers=()))
        assert not a.machine.members
        a.close()
        b.close()

    run_test(test)


def test_the_daemon_imports_no_membership_or_lease_module_by_default(tmp_path: Path) -> None:
    """Without [membership] and [duties] the daemon imports no module of either, so it opens nothing for them."""
    code = (
        "import sys\nimport gateusher.cli.run, gateusher.daemon\n"
        "off = {'membership', 'virtual', 'duties', 'leases', 'storage', 'google_crc32c'}\n"
        "print(sorted(m for m in sys.modules if off & set(m.split('.'))))"
    )
    process = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, cwd=Path(__file__).parents[2]
    )
    assert process.stdout.strip() == "[]"
