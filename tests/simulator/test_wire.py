"""The codec against hand-written frames, and the adapter as a process."""

import json
import struct
import subprocess
import sys

import pytest

from gateusher.policy.interface import (
    Cancel,
    EndpointState,
    Fail,
    HealthCheck,
    Outcome,
    Reject,
    Send,
    SetTimer,
    WatchEndpointList,
)
from gateusher.simulator import adapter, wire

SELECT_INSTANCE = bytes.fromhex("09 00000003") + bytes(43)
SETTINGS = {"lanes": [{"effect": "idempotent", "objective_ms": 500, "give_up_ms": 1000, "worth": 1}]}


def batch(records: list[bytes], tail: bytes = b"", number: int = 1, now: float = 0.0) -> bytes:
    body = b"".join(records) + tail
    return struct.pack(">IIId", number, 20 + len(body), len(records), now) + body


def serve(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "gateusher.simulator.adapter"], input=data, capture_output=True, timeout=60
    )


def start_instance(settings: object) -> bytes:
    """A batch that starts an instance with these settings."""
    text = json.dumps(settings).encode()
    start = b"\x01" + struct.pack(">QII", 5, 0, len(text))
    return batch([SELECT_INSTANCE, start + bytes(48 - len(start))], text)


def test_request_record() -> None:
    record = bytes.fromhex("04 0008abb35d3a91c4 4028000000000000 91f03b7c55d20a64 00000000 01406e000000000000 00")
    event = wire.EVENTS[4](record + bytes(9), 0)
    assert event == (0x0008ABB35D3A91C4, 0, 240.0, 0x91F03B7C55D20A64, 0, 12.0, False, False, 0.0, None)


def test_outcome_record() -> None:
    record = bytes.fromhex("03 0008abb35d3a91c4 01 03124a07 00 4032800000000000 0000 01 40400000") + bytes(18)
    assert wire.EVENTS[3](record, 0) == (0x0008ABB35D3A91C4, 0, 0x03124A07, 18.5, Outcome.OK, True, (3.0,))


def test_list_entries() -> None:
    tail = bytes.fromhex(
        "3f800000 0000 0000000000000000 00 01 03124a07 003fc00000 0000 40b7d40000000000 01 01 2c9011f2 00"
    )
    record = bytes.fromhex("02 0000 00000000 00000002") + bytes(37)
    number, entries = wire.read_register_list(record + tail, 0, 48)
    assert number == 0
    assert entries[0] == (0x03124A07, EndpointState.READY, 0, 0, 0, 1.0, 0.0)
    assert entries[1] == (0x2C9011F2, EndpointState.READY, 1, 0, 0, 1.5, 6100.0)


def test_actions() -> None:
    request_id = 0x0008ABB35D3A91C4
    packed = [
        wire.ACTIONS[type(action)](action)
        for action in (
            Send(request_id, 0x03124A07, 8492.375),
            SetTimer(0x4D, 500.0),
            Reject(request_id),
            Fail(request_id),
            Cancel(request_id, 1),
            HealthCheck(7),
            WatchEndpointList(),
        )
    ]
    assert packed[0] == bytes.fromhex("01 0008abb35d3a91c4 03124a07") + struct.pack(">d", 8492.375) + bytes(3)
    assert packed[1] == bytes.fromhex("05 000000000000004d 407f400000000000") + bytes(7)
    assert [p[0] for p in packed] == [1, 5, 2, 3, 4, 6, 11]
    assert {len(p) for p in packed} == {24}


def test_empty_batch_and_end_of_input() -> None:
    process = serve(bytes.fromhex("00000001 00000014 00000000 40c06e2000000000"))
    assert (process.returncode, process.stdout) == (0, bytes.fromhex("00000001 00000000 0000000c"))
    assert process.stderr == b""


def test_truncated_frames() -> None:
    for cut in (5, 30):
        process = serve(start_instance(SETTINGS)[:cut])
        assert process.returncode != 0
        assert process.stdout == b""
        assert len(process.stderr.splitlines()) == 1


def test_malformed_frames() -> None:
    unknown_code = batch([b"\xee" + bytes(47)])
    too_short = struct.pack(">IIId", 1, 20, 3, 0.0)
    unknown_instance = batch([SELECT_INSTANCE, b"\x05" + bytes(47)])
    for data in (unknown_code, too_short, unknown_instance):
        process = serve(data)
        assert process.returncode != 0
        assert len(process.stderr.splitlines()) == 1


def test_invalid_settings_are_reported_with_their_key() -> None:
    for settings, key in (
        ({}, b"lanes"),
        ({"lanes": [5]}, b"lanes"),
        ({**SETTINGS, "tenants": [5]}, b"tenants"),
        ({**SETTINGS, "rules": 5}, b"rules"),
        ({"lanes": [{"effect": "twice"}]}, b"effect"),
        ({**SETTINGS, "tick_ms": "fast"}, b"tick_ms"),
        ({**SETTINGS, "discovery": "guess"}, b"discovery"),
    ):
        reply = serve(start_instance(settings)).stdout
        assert reply[12 + 24] == 10  # the crash action, after the action that selects the instance
        assert key in reply


def test_exception_of_the_balancer_is_reported_as_a_crash(monkeypatch: pytest.MonkeyPatch) -> None:
    host = adapter.BalancerHost()
    host.answer(start_instance(SETTINGS))

    def crash(*_: object) -> list[object]:
        raise RuntimeError("no such luck")

    monkeypatch.setattr(adapter.Balancer, "handle", crash)
    reply = host.answer(batch([SELECT_INSTANCE, b"\x05" + bytes(47)]))
    assert reply[12 + 24] == 10
    assert b"no such luck" in reply
    assert b"Traceback" in reply


def test_unknown_settings_are_ignored() -> None:
    reply = serve(start_instance({**SETTINGS, "colour": {"of": "money"}}))
    assert (reply.returncode, reply.stdout) == (0, bytes.fromhex("00000001 00000000 0000000c"))
