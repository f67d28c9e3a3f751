"""The applications beside the sidecars: requests of every effect, clients that leave, stop half-way or are silent."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from enum import Enum
from random import Random

from .records import Effect, Records, RequestRecord, Span

ANSWER_SLACK_S = 8.0  # how long beyond its deadline a client waits before its request counts as never answered
STALLED_S = 3.5  # who stops half-way is owed an error or a close by then, and some slack
CLASSES = {
    Effect.SAFE: ("GET", "look"),
    Effect.KEYED: ("POST", "book"),
    Effect.UNSAFE: ("POST", "issue"),
}


class Manner(Enum):
    """How a client behaves with one request."""

    WAITS = "waits"
    LEAVES = "leaves"  # closes its connection before the answer
    STOPS = "stops"  # half a request, and stays
    SAYS_NOTHING = "says nothing"


MANNERS = [Manner.WAITS] * 14 + [Manner.LEAVES] * 4 + [Manner.STOPS, Manner.SAYS_NOTHING]
DEADLINES_S = (0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 1.0, 1.0)


class AnswerLostError(Exception):
    """The connection ended without a whole answer.  `begun`: bytes of one had come."""

    def __init__(self, why: str, begun: bool) -> None:
        super().__init__(why)
        self.begun = begun


class _Connection:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.used = reader, writer, False

    async def answer(self) -> tuple[int, bytes, bool]:
        """Status, body and whether the connection stays.  Raises AnswerLostError."""
        head = b""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
            fields = {
                n.strip().lower(): v.strip() for n, _, v in (line.partition(b":") for line in head.split(b"\r\n")[1:])
            }
            body = await self.reader.readexactly(int(fields.get(b"content-length", b"0")))
        except asyncio.IncompleteReadError as error:
            raise AnswerLostError("closed", bool(head or error.partial)) from None
        except OSError as error:
            raise AnswerLostError(str(error), bool(head)) from None
        return int(head.split()[1]), body, fields.get(b"connection") != b"close"

    def abort(self) -> None:
        self.writer.transport.abort()


class SoakClient:
    """The application of one sidecar."""

    def __init__(self, sidecar: str, where: tuple[str, int], records: Records, seed: int) -> None:
        self.sidecar, self._where, self._records, self._random = sidecar, where, records, Random(seed)
        self._idle: list[_Connection] = []
        self._count = 0
        self.life = 0  # of the sidecar's process; a connection belongs to one

    def forget(self) -> None:
        """The sidecar's process is another: its connections are no longer of use."""
        self.life += 1
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    async def act(self) -> None:
        """One request, in a manner of its own."""
        manner = self._random.choice(MANNERS)
        if manner is Manner.SAYS_NOTHING:
            await self._say_nothing()
        elif manner is Manner.STOPS:
            await self._stop_halfway()
        else:
            await self._ask(manner)

    def _record(self) -> RequestRecord:
        self._count += 1
        effect = self._random.choice(list(Effect))
        record = RequestRecord(
            f"{self.sidecar}.{self.life}.{self._count}", self.sidecar, effect, self._random.choice(DEADLINES_S)
        )
        self._records.requests[record.request_id] = record
        return record

    @staticmethod
    def _message(record: RequestRecord) -> bytes:
        method, name = CLASSES[record.effect]
        key = f"Idempotency-Key: {record.request_id}\r\n" if record.effect is Effect.KEYED else ""
        length = "" if method == "GET" else "Content-Length: 0\r\n"
        return (
            f"{method} /{name}/x HTTP/1.1\r\nHost: o\r\nX-Request-Id: {record.request_id}\r\nX-Class: {name}\r\n"
            f"X-Deadline: {record.deadline_s:.3f}\r\n{key}{length}\r\n"
        ).encode()

    async def _connect(self, record: RequestRecord | None) -> _Connection | None:
        try:
            return _Connection(*await asyncio.open_connection(*self._where))
        except OSError as error:
            if record:
                record.excused = f"no connection: {error}"
            return None

    async def _ask(self, manner: Manner) -> None:
        record = self._record()
        connection = self._idle.pop() if self._idle and self._random.random() < 0.7 else None
        life = self.life
        for _ in range(2):
            record.fresh = connection is None
            connection = connection or await self._connect(record)
            if connection is None:
                return
            record.sent_s = time.monotonic()
            connection.writer.write(self._message(record))
            if manner is Manner.LEAVES:
                await self._leave(record, connection)
                return
            try:
                await self._wait(record, connection, life)
                return
            except AnswerLostError as error:
                connection.abort()
                read = error.begun or record.fresh or record.request_id in self._records.arrivals
                if read:
                    place = "first on its" if record.fresh else "on a kept"
                    record.lost, record.lost_s = f"{error}, {place} connection", time.monotonic()
                    return
            connection = None  # the close crossed the request: it is sent once more on a new connection

    async def _wait(self, record: RequestRecord, connection: _Connection, life: int) -> None:
        try:
            async with asyncio.timeout(record.deadline_s + ANSWER_SLACK_S):
                status, body, keeps = await connection.answer()
        except TimeoutError:
            record.lost, record.lost_s = "no answer in time", time.monotonic()
            connection.abort()
            return
        record.answered_s, record.status = time.monotonic(), status
        record.right = status != 200 or body == record.request_id.encode()
        if keeps and life == self.life:
            self._idle.append(connection)
        else:
            connection.writer.close()

    async def _leave(self, record: RequestRecord, connection: _Connection) -> None:
        """Close a moment after sending, whatever has come."""
        await asyncio.sleep(self._random.choice((0.0, 0.0, 0.005, 0.02, 0.1)))
        record.closed_s = time.monotonic()
        connection.abort() if self._random.random() < 0.5 else connection.writer.close()

    async def _stop_halfway(self) -> None:
        connection = await self._connect(None)
        if connection is None:
            return
        life, began_s = self.life, time.monotonic()
        record = RequestRecord("half", self.sidecar, Effect.SAFE, 1.0)
        message = self._message(record)
        connection.writer.write(message[: self._random.randrange(1, len(message) - 1)])
        try:
            async with asyncio.timeout(STALLED_S):
                with suppress(OSError):
                    await connection.reader.read()
        except TimeoutError:
            if life == self.life:
                self._records.stalled.append(Span(self.sidecar, began_s, time.monotonic()))
        connection.abort()

    async def _say_nothing(self) -> None:
        connection = await self._connect(None)
        if connection:
            await asyncio.sleep(self._random.uniform(0.1, 3.0))
            connection.abort()

    def close(self) -> None:
        self.forget()
