"""Clients of the sidecars: requests of every effect, disconnects, partial requests and idle connections."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from enum import Enum
from math import inf
from random import Random

from .records import Effect, Records, RequestRecord, SidecarInterval

RESPONSE_TIMEOUT_SLACK_S = 8.0  # after the deadline, until a client counts its response as lost
PARTIAL_REQUEST_TIMEOUT_S = 3.5  # the sidecar's limit for an error or a close, with slack
REUSE_PROBABILITY = 0.7  # of an idle connection
REQUEST_CLASSES = {  # method and name of the request class
    Effect.SAFE: ("GET", "look"),
    Effect.KEYED: ("POST", "book"),
    Effect.UNSAFE: ("POST", "issue"),
}


class ClientBehavior(Enum):
    """What a client does with one request."""

    WAITS = "waits"
    DISCONNECTS = "disconnects"  # closes its connection before the response
    SENDS_PART = "sends part of a request"  # and keeps the connection open
    SENDS_NOTHING = "sends nothing"


# One element is drawn for each request, so the multiples are weights.
BEHAVIORS = (
    [ClientBehavior.WAITS] * 14
    + [ClientBehavior.DISCONNECTS] * 4
    + [ClientBehavior.SENDS_PART, ClientBehavior.SENDS_NOTHING]
)
DEADLINES_S = (0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 1.0, 1.0)


class IncompleteResponseError(Exception):
    """The connection ended before a complete response.  `started`: a part of the response had arrived."""

    def __init__(self, reason: str, started: bool) -> None:
        super().__init__(reason)
        self.started = started


class _Connection:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def read_response(self) -> tuple[int, bytes, bool]:
        """Return the status, the body and whether the connection stays open.  Raises IncompleteResponseError."""
        head = b""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
            fields = {
                n.strip().lower(): v.strip() for n, _, v in (line.partition(b":") for line in head.split(b"\r\n")[1:])
            }
            body = await self.reader.readexactly(int(fields.get(b"content-length", b"0")))
        except asyncio.IncompleteReadError as error:
            raise IncompleteResponseError("closed", bool(head or error.partial)) from None
        except OSError as error:
            raise IncompleteResponseError(str(error), bool(head)) from None
        return int(head.split()[1]), body, fields.get(b"connection") != b"close"

    def abort(self) -> None:
        self.writer.transport.abort()


class SoakClient:
    """The application that sends its requests through one sidecar."""

    def __init__(self, sidecar: str, address: tuple[str, int], records: Records, seed: int) -> None:
        self.sidecar, self._address, self._records, self._random = sidecar, address, records, Random(seed)
        self._idle: list[_Connection] = []
        self._request_count = 0
        # When the platform opens no more connections: SIGTERM was sent a while ago (PROTOCOL, Figures).
        self.connects_until_s = inf
        self.incarnation = 0  # of the sidecar's process; an idle connection is reused only within one

    def reset_connections(self) -> None:
        """Start a new incarnation of the sidecar: reset the idle connections to its previous process."""
        self.incarnation += 1
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    async def run_one_request(self) -> None:
        """Run one request with a randomly drawn behavior."""
        behavior = self._random.choice(BEHAVIORS)
        if behavior is ClientBehavior.SENDS_NOTHING:
            await self._connect_only()
        elif behavior is ClientBehavior.SENDS_PART:
            await self._send_part()
        else:
            await self._send_request(behavior)

    def _new_record(self) -> RequestRecord:
        self._request_count += 1
        effect = self._random.choice(list(Effect))
        record = RequestRecord(
            f"{self.sidecar}.{self.incarnation}.{self._request_count}",
            self.sidecar,
            effect,
            self._random.choice(DEADLINES_S),
        )
        self._records.requests[record.request_id] = record
        return record

    @staticmethod
    def _encode_request(record: RequestRecord) -> bytes:
        method, name = REQUEST_CLASSES[record.effect]
        key = f"Idempotency-Key: {record.request_id}\r\n" if record.effect is Effect.KEYED else ""
        length = "" if method == "GET" else "Content-Length: 0\r\n"
        return (
            f"{method} /{name}/x HTTP/1.1\r\nHost: o\r\nX-Request-Id: {record.request_id}\r\nX-Class: {name}\r\n"
            f"X-Deadline: {record.deadline_s:.3f}\r\n{key}{length}\r\n"
        ).encode()

    async def _connect(self, record: RequestRecord | None) -> _Connection | None:
        if time.monotonic() > self.connects_until_s:
            if record:
                record.exemption = "no new connection after SIGTERM"
            return None
        try:
            return _Connection(*await asyncio.open_connection(*self._address))
        except OSError as error:
            if record:
                record.exemption = f"no connection: {error}"
            return None

    async def _send_request(self, behavior: ClientBehavior) -> None:
        record = self._new_record()
        connection = self._idle.pop() if self._idle and self._random.random() < REUSE_PROBABILITY else None
        incarnation = self.incarnation
        for _ in range(2):
            record.is_first_on_connection = connection is None
            connection = connection or await self._connect(record)
            if connection is None:
                return
            record.sent_s = time.monotonic()
            connection.writer.write(self._encode_request(record))
            if behavior is ClientBehavior.DISCONNECTS:
                await self._disconnect(record, connection)
                return
            try:
                await self._receive(record, connection, incarnation)
                return
            except IncompleteResponseError as error:
                connection.abort()
                may_have_been_read = (
                    error.started or record.is_first_on_connection or record.request_id in self._records.arrivals
                )
                if may_have_been_read:
                    connection_kind = "new" if record.is_first_on_connection else "reused"
                    record.loss_reason, record.lost_s = f"{error}, {connection_kind} connection", time.monotonic()
                    return
            connection = None  # the sidecar closed before it read the request: send it again on a new connection

    async def _receive(self, record: RequestRecord, connection: _Connection, incarnation: int) -> None:
        try:
            async with asyncio.timeout(record.deadline_s + RESPONSE_TIMEOUT_SLACK_S):
                status, body, stays_open = await connection.read_response()
        except TimeoutError:
            record.loss_reason, record.lost_s = "no response in time", time.monotonic()
            connection.abort()
            return
        record.answered_s, record.status = time.monotonic(), status
        record.is_correct = status != 200 or body == record.request_id.encode()
        if stays_open and incarnation == self.incarnation:
            self._idle.append(connection)
        else:
            connection.writer.close()

    async def _disconnect(self, record: RequestRecord, connection: _Connection) -> None:
        """Close the connection shortly after sending, whether or not a response has arrived."""
        await asyncio.sleep(self._random.choice((0.0, 0.0, 0.005, 0.02, 0.1)))
        record.closed_s = time.monotonic()
        connection.abort() if self._random.random() < 0.5 else connection.writer.close()

    async def _send_part(self) -> None:
        connection = await self._connect(None)
        if connection is None:
            return
        incarnation, started_s = self.incarnation, time.monotonic()
        record = RequestRecord("half", self.sidecar, Effect.SAFE, 1.0)
        message = self._encode_request(record)
        connection.writer.write(message[: self._random.randrange(1, len(message) - 1)])
        try:
            async with asyncio.timeout(PARTIAL_REQUEST_TIMEOUT_S):
                with suppress(OSError):
                    await connection.reader.read()
        except TimeoutError:
            if incarnation == self.incarnation:
                self._records.unanswered_partial_requests.append(
                    SidecarInterval(self.sidecar, started_s, time.monotonic())
                )
        connection.abort()

    async def _connect_only(self) -> None:
        connection = await self._connect(None)
        if connection:
            await asyncio.sleep(self._random.uniform(0.1, 3.0))
            connection.abort()

    def close(self) -> None:
        """Reset the idle connections."""
        self.reset_connections()
