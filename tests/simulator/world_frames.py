"""Encodes batches of events and decodes replies of the simulator's protocol.

Written independently of the package's codec, so that a fault of that codec shows as a difference.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Container, Sequence
from typing import NamedTuple

from gateusher.policy.interface import (
    Action,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    CloseIdleConnections,
    Endpoint,
    EndpointListUpdate,
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
    UpdateKind,
    WatchEndpointList,
)

RECORD_BYTES = 48  # of an event
ACTION_BYTES = 24
REPLY_HEADER_BYTES = 12
REPORT_FIELDS = 4  # a load report has at most this many fields
STATUS = {
    Outcome.OK: 0,
    Outcome.ERROR: 255,
    Outcome.REJECTED: 254,
    Outcome.TIMEOUT: 253,
    Outcome.CONNECT_FAILED: 252,
    Outcome.RESET: 251,
    Outcome.CANCELLED: 250,
    Outcome.NOT_SENT: 249,
}
COST_HINT_FLAG, RETRY_FLAG, WRITE_FLAG = 1, 2, 4
CRASH_CODE, SELECT_CODE = 10, 13


class StartInstance(NamedTuple):
    """Start a sidecar, or replace the running one; `settings` are JSON."""

    seed: int
    settings: bytes


class StopInstance(NamedTuple):
    """Stop a sidecar."""


class Crash(NamedTuple):
    """The report that a sidecar crashed."""

    traceback: str


class Delivery(NamedTuple):
    """One event for one sidecar."""

    instance: int
    event: Event | StartInstance | StopInstance


class Decision(NamedTuple):
    """One action of one sidecar."""

    instance: int
    action: Action | Crash


class ReplyError(Exception):
    """A reply that is not a valid frame."""


def _record(code: int, layout: str, *values: object) -> bytes:
    payload = struct.pack(">B" + layout, code, *values)
    return payload + bytes(RECORD_BYTES - len(payload))


def _report(report: tuple[float, ...]) -> tuple[float, ...]:
    return report + (0.0,) * (REPORT_FIELDS - len(report))


def _request(event: Request) -> bytes:
    flags = COST_HINT_FLAG * (event.cost_hint_ms > 0) + RETRY_FLAG * event.is_retry + WRITE_FLAG * event.is_write
    return _record(
        4,
        "QdQIBdB",
        event.request,
        event.cost_hint_ms,
        event.affinity_key,
        event.tenant,
        flags,
        event.timeout_ms,
        event.class_index,
    )


def _attempt_ended(event: AttemptEnded) -> bytes:
    return _record(
        3,
        "QBIBdHB4f",
        event.request,
        event.closed,
        event.endpoint,
        event.attempt,
        event.elapsed_ms,
        STATUS[event.outcome],
        len(event.report),
        *_report(event.report),
    )


def _health_check_ended(event: HealthCheckEnded) -> bytes:
    status, fields = STATUS[event.outcome], len(event.report)
    return _record(8, "HIdB4f", status, event.endpoint, event.elapsed_ms, fields, *_report(event.report))


PLAIN_EVENTS: dict[type, Callable[..., bytes]] = {
    Request: _request,
    AttemptEnded: _attempt_ended,
    HealthCheckEnded: _health_check_ended,
    TimerFired: lambda event: _record(5, "Q", event.token),
    ResponseStarted: lambda e: _record(6, "QBId", e.request, e.attempt, e.endpoint, e.elapsed_ms),
    ClientDisconnected: lambda event: _record(12, "Q", event.request),
    StopInstance: lambda event: _record(11, ""),
}


class BatchEncoder:
    """Numbers the batches of one connection, and registers each endpoint list when it is first referred to."""

    def __init__(self) -> None:
        self.number = 0  # of the latest batch
        self._lists: dict[tuple[Endpoint, ...], int] = {}
        self._records: list[bytes] = []
        self._tail = b""

    def encode(self, now_ms: float, deliveries: Sequence[Delivery]) -> bytes:
        """Return the frame of one batch."""
        self.number += 1
        self._records, self._tail = [], b""
        selected = -1
        for delivery in deliveries:
            if delivery.instance != selected:
                selected = delivery.instance
                self._records.append(_record(9, "I", selected))
            self._add(delivery.event)
        body = b"".join(self._records) + self._tail
        return struct.pack(">IIId", self.number, 20 + len(body), len(self._records), now_ms) + body

    def _add(self, event: Event | StartInstance | StopInstance) -> None:
        if isinstance(event, EndpointListUpdate):
            number = 0 if event.kind is UpdateKind.FAILED else self._list_number(event.entries)
            self._records.append(_record(7, "BIH", event.kind, event.version, number))
        elif isinstance(event, StartInstance):
            self._records.append(_record(1, "QII", event.seed, *self._add_to_tail(event.settings)))
        elif isinstance(event, PeerMessage):
            self._records.append(_record(10, "HII", event.sender, *self._add_to_tail(event.data)))
        else:
            self._records.append(PLAIN_EVENTS[type(event)](event))

    def _list_number(self, entries: tuple[Endpoint, ...]) -> int:
        if entries not in self._lists:
            number = self._lists[entries] = len(self._lists)
            data = b"".join(
                struct.pack(">fHdBBIB", e.capacity_share, e.cell, e.started_ms, e.zone, e.state, e.endpoint, e.kind)
                for e in entries
            )
            offset, _ = self._add_to_tail(data)
            self._records.append(_record(2, "HII", number, offset, len(entries)))
        return self._lists[entries]

    def _add_to_tail(self, data: bytes) -> tuple[int, int]:
        """Append to the tail; return offset and length."""
        offset = len(self._tail)
        self._tail += data
        return offset, len(data)


def _decode_action(code: int, record: bytes) -> Action:
    if code == 1:
        return Send(*struct.unpack_from(">QId", record, 1))
    if code == 2:
        return Reject(*struct.unpack_from(">Qd", record, 1))
    if code == 3:
        return Fail(*struct.unpack_from(">Q", record, 1))
    if code == 4:
        return Cancel(*struct.unpack_from(">QB", record, 1))
    if code == 5:
        return SetTimer(*struct.unpack_from(">Qd", record, 1))
    if code == 6:
        return HealthCheck(*struct.unpack_from(">I", record, 1))
    if code == 7:
        return CloseIdleConnections(*struct.unpack_from(">I", record, 1))
    if code == 11:
        return WatchEndpointList(bool(record[1]))
    raise ReplyError(f"unknown action code {code}")


def decode_reply(reply: bytes, batch_number: int, instances: Container[int]) -> list[Decision]:
    """Return the actions of a reply.  Raises ReplyError."""
    if len(reply) < REPLY_HEADER_BYTES:
        raise ReplyError(f"a reply of {len(reply)} bytes")
    number, count, length = struct.unpack_from(">III", reply)
    tail_start = REPLY_HEADER_BYTES + count * ACTION_BYTES
    if number != batch_number or length != len(reply) or tail_start > length:
        raise ReplyError(f"header {number, count, length} of a reply of {len(reply)} bytes to batch {batch_number}")
    instance = -1
    decisions = []
    for start in range(REPLY_HEADER_BYTES, tail_start, ACTION_BYTES):
        record = reply[start : start + ACTION_BYTES]
        code = record[0]
        if code == SELECT_CODE:
            (instance,) = struct.unpack_from(">I", record, 1)
            continue
        if instance not in instances:
            raise ReplyError(f"an action for instance {instance}")
        if code == CRASH_CODE:
            offset, size = struct.unpack_from(">II", record, 1)
            text = reply[tail_start + offset : tail_start + offset + size].decode()
            decisions.append(Decision(instance, Crash(text)))
        else:
            decisions.append(Decision(instance, _decode_action(code, record)))
    return decisions
