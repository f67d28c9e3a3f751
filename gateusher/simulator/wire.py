"""Codec of the simulator's protocol: decodes events, encodes actions, and maps its codes to the terms of this code.

A frame is a header, records of a fixed size, and a tail of bytes that records refer to by offset and length.  Numbers
are big-endian.  Owns only the reply that is being collected.
"""

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

BATCH = struct.Struct(">IIId")  # number, frame length, record count, time in ms
REPLY = struct.Struct(">III")  # batch number, record count, frame length
EVENT_SIZE = 48
ACTION_SIZE = 24

# Event codes that are handled by the adapter; the others are in EVENTS.
START_INSTANCE = 1
REGISTER_LIST = 2
LIST_UPDATE = 7
PEER_MESSAGE = 10
SELECT_INSTANCE = 9
STOP_INSTANCE = 11

# Layouts of event records, without the code.
_INSTANCE = struct.Struct(">I")
_ID = struct.Struct(">Q")
_START = struct.Struct(">QII")  # seed, offset and length of the settings
_TAIL_REFERENCE = struct.Struct(">HII")  # number, offset, length or count
_LIST_UPDATE = struct.Struct(">BIH")  # kind, version, number of a registered list
_REQUEST = struct.Struct(">QdQIBdB")
_ATTEMPT_ENDED = struct.Struct(">QBIBdHB4f")
_RESPONSE_STARTED = struct.Struct(">QBId")
_HEALTH_CHECK_ENDED = struct.Struct(">HIdB4f")
_ENTRY = struct.Struct(">fHdBBIB")
_HAS_COST_HINT = 1  # flags of a request
_IS_RETRY = 2
_IS_WRITE = 4

# Layouts of action records, including code and padding.
_SEND = struct.Struct(">BQId3x")
_ID_AND_MS = struct.Struct(">BQd7x")
_REQUEST_ID = struct.Struct(">BQ15x")
_CANCEL = struct.Struct(">BQB14x")
_ENDPOINT_ID = struct.Struct(">BI19x")
_CRASH = struct.Struct(">BII15x")
_WATCH = struct.Struct(">BB22x")
_CRASH_CODE = 10
_SELECT_INSTANCE_CODE = 13

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
_STATES = {state.value: state for state in EndpointState}


class FrameError(Exception):
    """Input that is not a valid frame."""


def read_frame(stream: BinaryIO) -> bytes | None:
    """Return the next complete frame, or None if the input ends between frames.

    Raises FrameError if the input ends inside a frame or a length is invalid.
    """
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


def tail_bytes(frame: bytes, tail_start: int, offset: int, length: int) -> bytes:
    """Return bytes of the tail.  Raises FrameError if they extend past the end of the frame."""
    if tail_start + offset + length > len(frame):
        raise FrameError("a tail reference points past the frame")
    return frame[tail_start + offset : tail_start + offset + length]


def read_start_instance(frame: bytes, start: int, tail_start: int) -> tuple[int, bytes]:
    """Return the seed and the settings (JSON) of a new instance."""
    seed, offset, length = _START.unpack_from(frame, start + 1)
    return seed, tail_bytes(frame, tail_start, offset, length)


def read_register_list(frame: bytes, start: int, tail_start: int) -> tuple[int, tuple[Endpoint, ...]]:
    """Return the number of a list, to which list updates refer, and its entries.  Raises FrameError."""
    number, offset, count = _TAIL_REFERENCE.unpack_from(frame, start + 1)
    data = tail_bytes(frame, tail_start, offset, count * _ENTRY.size)
    try:
        return number, tuple(
            Endpoint(endpoint, _STATES[state], zone, cell, kind, capacity_share, started_ms)
            for capacity_share, cell, started_ms, zone, state, endpoint, kind in _ENTRY.iter_unpack(data)
        )
    except KeyError as error:
        raise FrameError(f"unknown endpoint state {error}") from None


def read_list_update(frame: bytes, start: int) -> tuple[int, int, int]:
    """Return the kind and version of a list update and the number of the registered list."""
    kind, version, number = _LIST_UPDATE.unpack_from(frame, start + 1)
    return kind, version, number


def read_select_instance(frame: bytes, start: int) -> int:
    """Return the number of the instance that the following events are for."""
    return int(_INSTANCE.unpack_from(frame, start + 1)[0])


def _request(frame: bytes, start: int) -> Request:
    request, cost_ms, key, tenant, flags, timeout_ms, class_index = _REQUEST.unpack_from(frame, start + 1)
    cost_hint_ms = cost_ms if flags & _HAS_COST_HINT else 0.0
    is_retry, is_write = bool(flags & _IS_RETRY), bool(flags & _IS_WRITE)
    return Request(request, class_index, timeout_ms, key, tenant, cost_hint_ms, is_retry, is_write)


def _attempt_ended(frame: bytes, start: int) -> AttemptEnded:
    record = _ATTEMPT_ENDED.unpack_from(frame, start + 1)
    request, closed, endpoint, attempt, elapsed_ms, status, fields, *report = record
    outcome = _OUTCOMES[status]
    return AttemptEnded(request, attempt, endpoint, elapsed_ms, outcome, closed != 0, tuple(report[:fields]))


def _response_started(frame: bytes, start: int) -> ResponseStarted:
    request, attempt, endpoint, elapsed_ms = _RESPONSE_STARTED.unpack_from(frame, start + 1)
    return ResponseStarted(request, attempt, endpoint, elapsed_ms)


def _health_check_ended(frame: bytes, start: int) -> HealthCheckEnded:
    status, endpoint, elapsed_ms, fields, *report = _HEALTH_CHECK_ENDED.unpack_from(frame, start + 1)
    return HealthCheckEnded(endpoint, elapsed_ms, _OUTCOMES[status], tuple(report[:fields]))


def _timer_fired(frame: bytes, start: int) -> TimerFired:
    return TimerFired(_ID.unpack_from(frame, start + 1)[0])


def _client_disconnected(frame: bytes, start: int) -> ClientDisconnected:
    return ClientDisconnected(_ID.unpack_from(frame, start + 1)[0])


EVENTS: dict[int, Callable[[bytes, int], Event]] = {
    3: _attempt_ended,
    4: _request,
    5: _timer_fired,
    6: _response_started,
    8: _health_check_ended,
    12: _client_disconnected,
}


def read_peer_message(frame: bytes, start: int, tail_start: int) -> PeerMessage:
    """Return the bytes that another instance sent."""
    sender, offset, length = _TAIL_REFERENCE.unpack_from(frame, start + 1)
    return PeerMessage(sender, tail_bytes(frame, tail_start, offset, length))


ACTIONS = {
    Send: lambda a: _SEND.pack(1, a.request, a.endpoint, a.expires_ms),
    Reject: lambda a: _ID_AND_MS.pack(2, a.request, a.retry_after_ms),
    Fail: lambda a: _REQUEST_ID.pack(3, a.request),
    Cancel: lambda a: _CANCEL.pack(4, a.request, a.attempt),
    SetTimer: lambda a: _ID_AND_MS.pack(5, a.token, a.delay_ms),
    HealthCheck: lambda a: _ENDPOINT_ID.pack(6, a.endpoint),
    CloseIdleConnections: lambda a: _ENDPOINT_ID.pack(7, a.endpoint),
    WatchEndpointList: lambda a: _WATCH.pack(11, a.enable),
}


class Reply:
    """Collects the actions of one batch."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = b""
        self._instance = -1

    def add_actions(self, instance: int, actions: list[Action]) -> None:
        """Append the actions of an instance."""
        self._select(instance)
        self._records.extend([ACTIONS[type(action)](action) for action in actions])

    def add_crash(self, instance: int, text: str) -> None:
        """Append the report of an instance's crash."""
        self._select(instance)
        data = text.encode()
        self._records.append(_CRASH.pack(_CRASH_CODE, len(self._tail), len(data)))
        self._tail += data

    def frame(self, number: int) -> bytes:
        """Return the reply to the batch with this number."""
        body = b"".join(self._records) + self._tail
        return REPLY.pack(number, len(self._records), REPLY.size + len(body)) + body

    def _select(self, instance: int) -> None:
        if instance != self._instance:
            self._instance = instance
            self._records.append(_ENDPOINT_ID.pack(_SELECT_INSTANCE_CODE, instance))
