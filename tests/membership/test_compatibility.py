"""Bytes between members of different versions: what commit ccd77f2 wrote is read and written alike.

The literals are the output of this script, run from a checkout of ccd77f2 with `PYTHONPATH=. python SCRIPT`:

    from gateusher.membership import wire
    from gateusher.membership.drains import Drains
    from gateusher.membership.interface import State
    from gateusher.membership.wire import Header
    from gateusher.policy.interface import ListKind, ListNews, State as EState
    from tests.helpers import entry

    A, B, KEY = b"aaaaaa", b"bbbbbb", bytes(range(16))
    frames = {
        "ping": wire.ping(0x0102030405060708, A),
        "req": wire.req(0x0102030405060708, A),
        "nack": wire.nack(0x0102030405060708, A),
        "ack": wire.ack(0x0102030405060708, A, 77, 3),
        "alive": wire.alive(A, 0x1112131415161718, 0x21222324),
        "suspect": wire.suspect(A, 9, B),
        "failed": wire.failed(A, 9, B),
        "left": wire.left(A, 9),
        "join, IPv4": wire.join("s1", State.ALIVE, 9, 7, 77, ("10.0.0.1", 7100)),
        "join, IPv6": wire.join("s1", State.FAILED, 9, 7, 77, ("::1", 7100)),
        "join, no address": wire.join("s1", State.LEFT, 9, 7, 77, None),
        "digest": wire.digest(list(range(32)), True),
        "word": wire.word(A, 7, 5, 1, b"word"),
        "note": wire.note(2, b"note"),
    }
    for kind, data in frames.items():
        print(kind, data.hex())
    print("sealed", wire.seal(KEY, Header(B, 7, 9, 5), frames["left"] + frames["alive"]).hex())
    print("sealed, empty", wire.seal(KEY, Header(B, 7, 9, 5), b"").hex())
    drains = Drains(200.0, 1)
    drains.listed(0.0, ListNews(ListKind.FULL, 1, (entry(1), entry(2))))
    drains.listed(1.0, ListNews(ListKind.CHANGES, 2, (entry(1, EState.DRAINING),)))
    drains.listed(2.0, ListNews(ListKind.CHANGES, 3, (entry(2)._replace(booted_ms=1234.5),)))
    for say in drains.tick(300.0):
        print("broadcast", say.kind, say.data.hex())
"""

import pytest

from gateusher.membership import wire
from gateusher.membership.drain_hints import DrainHints
from gateusher.membership.interface import Broadcast, BroadcastReceived, MemberState
from gateusher.membership.wire import Frame, Header
from gateusher.policy.interface import EndpointListUpdate, EndpointState, GossipHint, UpdateKind

from ..helpers import make_endpoint

A, B, KEY = b"aaaaaa", b"bbbbbb", bytes(range(16))
PROBE = 0x0102030405060708
INCARNATION, INSTANCE = 0x1112131415161718, 0x21222324
IPV4, IPV6 = ("10.0.0.1", 7100), ("::1", 7100)
HASHES = list(range(32))
LEFT_HEX = "090e6161616161610000000000000009"
ALIVE_HEX = "0612616161616161111213141516171821222324"
DIGEST_HEX = (
    "0a810100000000000000010000000200000003000000040000000500000006000000070000000800000009"
    "0000000a0000000b0000000c0000000d0000000e0000000f000000100000001100000012000000130000001400000015"
    "000000160000001700000018000000190000001a0000001b0000001c0000001d0000001e0000001f"
)
SEALED_HEX = (
    "476d01006262626262620000000700000000000000090000000000000005"
    "090e616161616161000000000000000906126161616161611112131415161718212223248fb219c8d650671fb8842975be167f42"
)
SEALED_EMPTY_HEX = "476d0100626262626262000000070000000000000009000000000000000542faf0181619707cbf669d6b264a2cc3"
DRAIN_HEX = "000000010000000000000002"
START_HEX = "00000002000000000000000340934a0000000000"

FRAMES = {
    "ping": (
        "011301020304050607086161616161610000000000",
        wire.ping(PROBE, A),
        Frame(1, subject=A, probe=PROBE),
    ),
    "req": ("030e0102030405060708616161616161", wire.ping_req(PROBE, A), Frame(3, subject=A, probe=PROBE)),
    "nack": ("040e0102030405060708616161616161", wire.nack(PROBE, A), Frame(4, subject=A, probe=PROBE)),
    "ack": (
        "021301020304050607086161616161610000004d03",
        wire.ack(PROBE, A, 77, 3),
        Frame(2, subject=A, probe=PROBE, age_units=77, health=3),
    ),
    "alive": (
        ALIVE_HEX,
        wire.alive(A, INCARNATION, INSTANCE),
        Frame(6, subject=A, incarnation=INCARNATION, instance=INSTANCE),
    ),
    "suspect": (
        "07146161616161610000000000000009626262626262",
        wire.suspect(A, 9, B),
        Frame(7, subject=A, incarnation=9, suspected_by=B),
    ),
    "failed": (
        "08146161616161610000000000000009626262626262",
        wire.failed(A, 9, B),
        Frame(8, subject=A, incarnation=9, suspected_by=B),
    ),
    "left": (LEFT_HEX, wire.left(A, 9), Frame(9, subject=A, incarnation=9)),
    "join, IPv4": (
        "051a000000000000000009000000070000004d041bbc0a0000017331",
        wire.record("s1", MemberState.ALIVE, 9, 7, 77, IPV4),
        Frame(5, incarnation=9, instance=7, age_units=77, state=MemberState.ALIVE, name="s1", address=IPV4),
    ),
    "join, IPv6": (
        "0526020000000000000009000000070000004d101bbc000000000000000000000000000000017331",
        wire.record("s1", MemberState.FAILED, 9, 7, 77, IPV6),
        Frame(5, incarnation=9, instance=7, age_units=77, state=MemberState.FAILED, name="s1", address=IPV6),
    ),
    "join, no address": (
        "0516030000000000000009000000070000004d0000007331",
        wire.record("s1", MemberState.LEFT, 9, 7, 77, None),
        Frame(5, incarnation=9, instance=7, age_units=77, state=MemberState.LEFT, name="s1"),
    ),
    "digest": (DIGEST_HEX, wire.digest(HASHES, True), Frame(10, hashes=tuple(HASHES), wants_reply=True)),
    "word": (
        "0b13616161616161000000070000000501776f7264",
        wire.broadcast(A, 7, 5, 1, b"word"),
        Frame(11, subject=A, instance=7, sequence=5, message_kind=1, data=b"word"),
    ),
    "note": ("0c05026e6f7465", wire.direct(2, b"note"), Frame(12, message_kind=2, data=b"note")),
}


@pytest.mark.parametrize("kind", FRAMES)
def test_a_frame_of_the_earlier_version_is_read_and_written_alike(kind: str) -> None:
    literal, written, expected = FRAMES[kind]
    assert wire.parse_frames(bytes.fromhex(literal)) == ([expected], 0)
    assert written.hex() == literal


def test_there_is_a_literal_of_each_kind_of_frame() -> None:
    assert {expected.kind for _, _, expected in FRAMES.values()} == set(range(1, 13))


@pytest.mark.parametrize(("literal", "body"), [(SEALED_HEX, LEFT_HEX + ALIVE_HEX), (SEALED_EMPTY_HEX, "")])
def test_a_sealed_datagram_of_the_earlier_version_is_read_and_written_alike(literal: str, body: str) -> None:
    header = Header(sender=B, instance=7, incarnation=9, sequence=5)
    assert wire.unseal((KEY,), bytes.fromhex(literal)) == (header, bytes.fromhex(body))
    assert wire.seal(KEY, header, bytes.fromhex(body)).hex() == literal


def test_hints_of_the_earlier_version_are_read() -> None:
    reader = DrainHints(200.0, 2)
    drain = BroadcastReceived("s2", "s3", 1, bytes.fromhex(DRAIN_HEX))
    start = BroadcastReceived("s2", "s3", 2, bytes.fromhex(START_HEX))
    assert reader.on_broadcast(0.0, drain) == GossipHint(1, EndpointState.DRAINING, 2, 0.0)
    assert reader.on_broadcast(0.0, start) == GossipHint(2, EndpointState.READY, 3, 1234.5)


def test_hints_are_written_as_the_earlier_version_wrote_them() -> None:
    writer = DrainHints(200.0, 1)
    writer.on_endpoint_list(0.0, EndpointListUpdate(UpdateKind.COMPLETE, 1, (make_endpoint(1), make_endpoint(2))))
    writer.on_endpoint_list(
        1.0, EndpointListUpdate(UpdateKind.CHANGES, 2, (make_endpoint(1, EndpointState.DRAINING),))
    )
    writer.on_endpoint_list(2.0, EndpointListUpdate(UpdateKind.CHANGES, 3, (make_endpoint(2, started_at_ms=1234.5),)))
    assert writer.tick(300.0) == [
        Broadcast(1, bytes.fromhex(DRAIN_HEX)),
        Broadcast(2, bytes.fromhex(START_HEX)),
    ]
