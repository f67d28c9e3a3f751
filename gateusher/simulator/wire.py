"""Codec of the simulator's frames: bytes to records and actions to bytes, no meaning beyond that."""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import BinaryIO

from ..policy.interface import (
    Action,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    CloseIdleConnections,
    Endpoint,
    EndpointState,
    Event,
    Fail,
    HealthCheck,
    HealthCheckEnded,
    Outcome,
    PeerMessage,
    Reject,
    Request,
    ResponseStarted,
    Send,
    SetTimer,
    TimerFired,
    WatchEndpointList,
)

BATCH = struct.Struct(">IIId")
REPLY = struct.Struct(">III")
EVENT_SIZE, ACTION_SIZE = 48, 24
NEW, REGISTER, LIST, ABOUT, DOWN, HEARD = 1, 2, 7, 9, 11, 10
_U32, _U64, _NEW, _SPAN = (struct.Struct(f) for f in (">I", ">Q", ">QII", ">HII"))
_LIST, _REQUEST, _ENDED, _BEGAN, _PROBED = (
    struct.Struct(f) for f in (">BIH", ">QdQIBdB", ">QBIBdHB4f", ">QBId", ">HIdB4f")
)
_ENTRY = struct.Struct(">fHdBBIB")
_OUTCOMES = {
    0: Outcome.OK,
    255: Outcome.ERROR,
    254: Outcome.REJECTED,
    253: Outcome.TIMEOUT,
    252: Outcome.CONNECT_FAILED,
    251: Outcome.RESET,
    250: Outcome.CANCELLED,
    249: Outcome.NOT_SENT,
}
_STATES = {s.value: s for s in EndpointState}
_SEND, _PAIR, _ID, _STOP, _PROBE, _TEXT, _WATCH = (
    struct.Struct(f) for f in (">BQId3x", ">BQd7x", ">BQ15x", ">BQB14x", ">BI19x", ">BII15x", ">BB22x")
)


class FrameError(Exception):
    """The input is not a frame of the wire."""


def read_frame(stream: BinaryIO) -> bytes | None:
    """The next whole frame, or None at the end of input between frames."""
    head = stream.read(BATCH.size)
    if not head:
        return None
    if len(head) < BATCH.size:
        raise FrameError("input ended inside a frame header")
    _, length, count, _ = BATCH.unpack(head)
    if length < BATCH.size + count * EVENT_SIZE:
        raise FrameError(f"frame length {length} is too short for {count} records")
    body = stream.read(length - BATCH.size)
    if len(body) < length - BATCH.size:
        raise FrameError("input ended inside a frame")
    return head + body


def span(frame: bytes, tail: int, offset: int, length: int) -> bytes:
    """Bytes of the tail."""
    if tail + offset + length > len(frame):
        raise FrameError("a tail reference points past the frame")
    return frame[tail + offset : tail + offset + length]


def read_new(frame: bytes, at: int, tail: int) -> tuple[int, bytes]:
    seed, offset, length = _NEW.unpack_from(frame, at + 1)
    return seed, span(frame, tail, offset, length)


def read_register(frame: bytes, at: int, tail: int) -> tuple[int, tuple[Endpoint, ...]]:
    ref, offset, count = _SPAN.unpack_from(frame, at + 1)
    data = span(frame, tail, offset, count * _ENTRY.size)
    try:
        return ref, tuple(
            Endpoint(eid, _STATES[state], zone, cell, kind, share, boot)
            for share, cell, boot, zone, state, eid, kind in _ENTRY.iter_unpack(data)
        )
    except KeyError as error:
        raise FrameError(f"unknown readiness {error}") from None


def read_list(frame: bytes, at: int) -> tuple[int, int, int]:
    kind, version, ref = _LIST.unpack_from(frame, at + 1)
    return kind, version, ref


def read_instance(frame: bytes, at: int) -> int:
    return int(_U32.unpack_from(frame, at + 1)[0])


def _request(frame: bytes, at: int) -> Request:
    rid, work, key, tenant, bits, patience, cls = _REQUEST.unpack_from(frame, at + 1)
    return Request(rid, cls, patience, key, tenant, work if bits & 1 else 0.0, bool(bits & 2), bool(bits & 4))


def _ended(frame: bytes, at: int) -> AttemptEnded:
    rid, closed, eid, attempt, elapsed, status, n, *report = _ENDED.unpack_from(frame, at + 1)
    return AttemptEnded(rid, attempt, eid, elapsed, _OUTCOMES[status], closed != 0, tuple(report[:n]))


def _began(frame: bytes, at: int) -> ResponseStarted:
    rid, attempt, eid, elapsed = _BEGAN.unpack_from(frame, at + 1)
    return ResponseStarted(rid, attempt, eid, elapsed)


def _probed(frame: bytes, at: int) -> HealthCheckEnded:
    status, eid, elapsed, n, *report = _PROBED.unpack_from(frame, at + 1)
    return HealthCheckEnded(eid, elapsed, _OUTCOMES[status], tuple(report[:n]))


def _timer(frame: bytes, at: int) -> TimerFired:
    return TimerFired(_U64.unpack_from(frame, at + 1)[0])


def _departed(frame: bytes, at: int) -> ClientDisconnected:
    return ClientDisconnected(_U64.unpack_from(frame, at + 1)[0])


EVENTS: dict[int, Callable[[bytes, int], Event]] = {
    3: _ended,
    4: _request,
    5: _timer,
    6: _began,
    8: _probed,
    12: _departed,
}


def read_heard(frame: bytes, at: int, tail: int) -> PeerMessage:
    sender, offset, length = _SPAN.unpack_from(frame, at + 1)
    return PeerMessage(sender, span(frame, tail, offset, length))


ACTIONS = {
    Send: lambda a: _SEND.pack(1, a.request, a.endpoint, a.expires_ms),
    Reject: lambda a: _PAIR.pack(2, a.request, a.retry_after_ms),
    Fail: lambda a: _ID.pack(3, a.request),
    Cancel: lambda a: _STOP.pack(4, a.request, a.attempt),
    SetTimer: lambda a: _PAIR.pack(5, a.token, a.delay_ms),
    HealthCheck: lambda a: _PROBE.pack(6, a.endpoint),
    CloseIdleConnections: lambda a: _PROBE.pack(7, a.endpoint),
    WatchEndpointList: lambda a: _WATCH.pack(11, a.enable),
}


class Reply:
    """Collects the actions of one batch."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = b""
        self._speaker = -1

    def speak(self, instance: int) -> None:
        if instance != self._speaker:
            self._speaker = instance
            self._records.append(_PROBE.pack(13, instance))

    def add(self, instance: int, actions: list[Action]) -> None:
        self.speak(instance)
        self._records.extend([ACTIONS[type(a)](a) for a in actions])

    def fault(self, instance: int, text: str) -> None:
        self.speak(instance)
        data = text.encode()
        self._records.append(_TEXT.pack(10, len(self._tail), len(data)))
        self._tail += data

    def frame(self, number: int) -> bytes:
        body = b"".join(self._records) + self._tail
        return REPLY.pack(number, len(self._records), REPLY.size + len(body)) + body
