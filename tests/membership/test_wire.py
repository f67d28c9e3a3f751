"""Datagrams: round trips, rejection of changed or malformed ones, and forward compatibility."""

import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateusher.config.membership import MAX_NAME_BYTES
from gateusher.membership import wire
from gateusher.membership.interface import SERIAL_MODULUS, MemberState, is_newer, member_id
from gateusher.membership.wire import Frame, FrameKind, Header, WireError

KEY, OTHER_KEY = bytes(range(16)), bytes(range(16, 32))
ids = st.binary(min_size=6, max_size=6)
u32 = st.integers(0, 2**32 - 1)
u64 = st.integers(0, 2**64 - 1)
names = st.text(st.characters(categories=("L", "N", "P")), min_size=1, max_size=16)
addresses = st.none() | st.tuples(st.sampled_from(["10.0.0.1", "::1", "127.255.3.4"]), st.integers(1, 65535))


def parse_single_frame(data: bytes) -> Frame:
    (frame,), unknown = wire.parse_frames(data)
    assert unknown == 0
    return frame


@given(
    ids,
    u64,
    u64,
    u32,
    ids,
    names,
    addresses,
    st.sampled_from([MemberState.ALIVE, MemberState.FAILED, MemberState.LEFT]),
    u32,
)
def test_each_frame_is_parsed_as_it_was_written(
    subject: bytes,
    probe: int,
    incarnation: int,
    instance: int,
    suspected_by: bytes,
    name: str,
    address: tuple[str, int] | None,
    state: MemberState,
    age_units: int,
) -> None:
    for kind, frame in (
        (FrameKind.PING, wire.ping(probe, subject)),
        (FrameKind.PING_REQ, wire.ping_req(probe, subject)),
        (FrameKind.NACK, wire.nack(probe, subject)),
    ):
        assert parse_single_frame(frame) == Frame(kind, subject, probe)
    assert parse_single_frame(wire.ack(probe, subject, age_units, 3)) == Frame(
        FrameKind.ACK, subject, probe, age_units=age_units, health=3
    )
    assert parse_single_frame(wire.alive(subject, incarnation, instance)) == Frame(
        FrameKind.ALIVE, subject, incarnation=incarnation, instance=instance
    )
    assert parse_single_frame(wire.suspect(subject, incarnation, suspected_by)) == Frame(
        FrameKind.SUSPECT, subject, incarnation=incarnation, suspected_by=suspected_by
    )
    assert parse_single_frame(wire.failed(subject, incarnation, suspected_by)) == Frame(
        FrameKind.FAILED, subject, incarnation=incarnation, suspected_by=suspected_by
    )
    assert parse_single_frame(wire.left(subject, incarnation)) == Frame(
        FrameKind.LEFT, subject, incarnation=incarnation
    )
    assert parse_single_frame(wire.record(name, state, incarnation, instance, age_units, address)) == Frame(
        FrameKind.RECORD,
        incarnation=incarnation,
        instance=instance,
        age_units=age_units,
        state=state,
        name=name,
        address=address,
    )
    hashes = [(probe + i) % 2**32 for i in range(wire.DIGEST_BUCKETS)]
    assert parse_single_frame(wire.digest(hashes, True)) == Frame(
        FrameKind.DIGEST, hashes=tuple(hashes), wants_reply=True
    )
    broadcast = parse_single_frame(wire.broadcast(subject, instance, age_units, 7, suspected_by))
    assert (broadcast.subject, broadcast.instance, broadcast.sequence, broadcast.message_kind, broadcast.data) == (
        subject,
        instance,
        age_units,
        7,
        suspected_by,
    )


def test_every_frame_fits_into_the_smallest_datagram() -> None:
    longest_frames = [
        wire.digest([2**32 - 1] * wire.DIGEST_BUCKETS, True),
        wire.broadcast(b"s" * 6, 1, 1, 1, bytes(wire.MAX_BROADCAST_BYTES)),
        wire.record("n" * MAX_NAME_BYTES, MemberState.ALIVE, 1, 1, 1, ("ffff::1", 65535)),
    ]
    assert all(wire.OVERHEAD_BYTES + len(frame) <= wire.MIN_DATAGRAM_BYTES for frame in longest_frames)
    with pytest.raises(ValueError, match="64 at most"):
        wire.broadcast(b"s" * 6, 1, 1, 1, bytes(wire.MAX_BROADCAST_BYTES + 1))


@given(ids, u32, u64, u64, st.binary(max_size=300), st.data())
def test_a_datagram_with_a_changed_byte_is_rejected(
    sender: bytes, instance: int, incarnation: int, sequence: int, body: bytes, data: st.DataObject
) -> None:
    header = Header(sender, instance, incarnation, sequence)
    sealed = wire.seal(KEY, header, body)
    assert wire.unseal((OTHER_KEY, KEY), sealed) == (header, body)  # any of the keys is accepted
    with pytest.raises(WireError, match="key"):
        wire.unseal((OTHER_KEY,), sealed)
    index = data.draw(st.integers(0, len(sealed) - 1))
    changed = bytearray(sealed)
    changed[index] ^= data.draw(st.integers(1, 255))
    with pytest.raises(WireError):
        wire.unseal((KEY,), bytes(changed))


@settings(max_examples=300)
@given(
    st.binary(max_size=1400)
    | st.lists(st.tuples(st.integers(0, 255), st.binary(max_size=60)), max_size=20).map(
        lambda frames: b"".join(bytes((kind, len(data))) + data for kind, data in frames)
    )
)
def test_arbitrary_bytes_are_parsed_or_rejected(body: bytes) -> None:
    try:
        frames, unknown = wire.parse_frames(body)
    except WireError as error:
        assert str(error) == "malformed"
    else:
        assert len(frames) + unknown <= len(body) // 2
    with pytest.raises(WireError):
        wire.unseal((KEY,), body)


def test_only_datagrams_up_to_the_maximum_length_are_accepted() -> None:
    header = Header(b"s" * 6, 1, 1, 1)
    for size in range(65508):
        if size % 97 and size > 2000:
            continue  # every length beyond the accepted maximum, then each 97th
        data = bytes(size)
        with pytest.raises(WireError):
            wire.unseal((KEY,), data)
        body_bytes = size - wire.OVERHEAD_BYTES
        if body_bytes >= 0:
            sealed = wire.seal(KEY, header, bytes(body_bytes))
            if size <= wire.MAX_DATAGRAM_BYTES:
                assert wire.unseal((KEY,), sealed)[1] == bytes(body_bytes)
            else:
                with pytest.raises(WireError, match="length"):
                    wire.unseal((KEY,), sealed)


def test_additions_of_a_newer_version_are_skipped_by_their_length() -> None:
    known = wire.left(b"x" * 6, 9)
    longer = bytes((known[0], known[1] + 5)) + known[2:] + b"later"
    newer_kind = bytes((200, 3)) + b"abc"
    frames, unknown = wire.parse_frames(newer_kind + longer + newer_kind + known)
    assert unknown == 2 and [f.kind for f in frames] == [FrameKind.LEFT, FrameKind.LEFT]
    assert frames[0] == frames[1]
    sealed = bytearray(wire.seal(KEY, Header(b"s" * 6, 1, 1, 1), known))
    sealed[2] = 2  # the next version, signed as such
    signed = bytes(sealed[: -wire.TAG_BYTES])
    tag = __import__("hmac").digest(KEY, signed, "sha256")[: wire.TAG_BYTES]
    assert wire.unseal((KEY,), signed + tag)[1] == known


@given(u64, st.integers(1, SERIAL_MODULUS // 2 - 1))
def test_incarnations_are_ordered_by_serial_number_arithmetic(a: int, step: int) -> None:
    b = (a + step) % SERIAL_MODULUS
    assert is_newer(b, a) and not is_newer(a, b) and not is_newer(a, a)


def test_member_ids_of_5000_names_are_distinct() -> None:
    assert len({member_id(f"s{i}") for i in range(5000)}) == 5000
    assert struct.calcsize(">2sBB6sIQQ") + wire.TAG_BYTES == wire.OVERHEAD_BYTES
