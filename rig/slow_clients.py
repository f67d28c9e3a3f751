"""Clients that send or read slowly, in many forms, as a crowd in a process of its own.

`python -m rig.slow_clients KINDS CLIENTS SEED READ_CLASS WRITE_CLASS IP:PORT ...` runs CLIENTS of them for each
address until this process or the one that started it is ended; each comes again when it is closed.  A process of its
own delays nothing that its caller measures.
"""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from collections.abc import Callable, Iterator, Sequence
from contextlib import suppress
from random import Random
from typing import Final, NamedTuple

import uvloop

BODY_BYTES: Final = 4 << 20  # announced; a half of it is sent
HEAD_FIELDS: Final = 3000
LONG_VALUE_BYTES: Final = 30_000
CHUNKS_PER_WRITE: Final = 300
WRITE_INTERVAL_S: Final = 0.01
REOPEN_DELAY_S: Final = 0.05
DRAIN_TIMEOUT_S: Final = 4.0
STAY_S: Final = 10.0  # behind the last part, unless it is closed before
SMALL_RECEIVE_BUFFER_BYTES: Final = 16 << 10
SLOW_READ_BYTES: Final = 4000
SLOW_READ_INTERVAL_S: Final = 0.1
MAX_ADDRESSES: Final = 1000  # of one process
MAX_PIECE_BYTES: Final = 256 << 10


class Part(NamedTuple):
    """A part of what a client sends, and how long it waits behind it."""

    data: bytes
    pause_s: float


class Request(NamedTuple):
    """What identifies a request, whatever its form."""

    request_id: str
    read_class: str
    write_class: str

    def head(self, method: str, fields: str) -> bytes:
        """Return its head as far as `fields` go."""
        name = self.read_class if method == "GET" else self.write_class
        return (
            f"{method} /{name}/x HTTP/1.1\r\nHost: o\r\nX-Request-Id: {self.request_id}\r\nX-Class: {name}\r\n"
            f"X-Deadline: 1.5\r\n{fields}"
        ).encode()

    def chunked_head(self) -> bytes:
        """Return the head of a request whose body comes in chunks."""
        return self.head("POST", "Transfer-Encoding: chunked\r\n\r\n")


def half_of_a_length(request: Request, random: Random) -> Iterator[Part]:
    """Half of a body with a length, in pieces of any size."""
    yield Part(request.head("POST", f"Content-Length: {BODY_BYTES}\r\n\r\n"), 0.0)
    piece = bytes(random.choice((1 << 10, 16 << 10, MAX_PIECE_BYTES)))
    for _ in range(BODY_BYTES // 2 // len(piece)):
        yield Part(piece, random.choice((0.0, WRITE_INTERVAL_S)))


def chunks_of_one_byte(request: Request, random: Random) -> Iterator[Part]:
    """Half of a body in chunks of one byte, some hundred in a write."""
    del random
    yield Part(request.chunked_head(), 0.0)
    chunks = b"1\r\nx\r\n" * CHUNKS_PER_WRITE
    for _ in range(BODY_BYTES // 2 // CHUNKS_PER_WRITE):
        yield Part(chunks, WRITE_INTERVAL_S)


def mixed_chunks(request: Request, random: Random) -> Iterator[Part]:
    """Half of a body in chunks of 1 KiB among chunks of one byte."""
    del random
    yield Part(request.chunked_head(), 0.0)
    chunks = b"1\r\nx\r\n" * (CHUNKS_PER_WRITE // 2) + b"400\r\n" + bytes(1024) + b"\r\n"
    for _ in range(BODY_BYTES // 2 // (1024 + CHUNKS_PER_WRITE // 2)):
        yield Part(chunks, WRITE_INTERVAL_S)


def chunks_with_extensions(request: Request, random: Random) -> Iterator[Part]:
    """Chunks whose extensions are longer than they are, then trailer fields without end."""
    yield Part(request.chunked_head(), 0.0)
    chunks = b"1;e=" + b"x" * 60 + b"\r\nx\r\n"
    for _ in range(random.randrange(200)):
        yield Part(chunks * 50, WRITE_INTERVAL_S)
    yield Part(b"0\r\n", 0.0)
    for _ in range(HEAD_FIELDS // 30):
        yield Part(b"t: 1\r\n" * 30, WRITE_INTERVAL_S)


def many_fields(request: Request, random: Random) -> Iterator[Part]:
    """A head of very many short fields, which doesn't end."""
    yield Part(request.head("POST", ""), 0.0)
    lines = b"".join(b"f%d: 1\r\n" % n for n in range(HEAD_FIELDS))
    size = random.choice((400, 4000))
    for at in range(0, len(lines), size):
        yield Part(lines[at : at + size], random.uniform(0.0, 0.2))


def long_field_value(request: Request, random: Random) -> Iterator[Part]:
    """A head with one long field, which doesn't end."""
    del random
    yield Part(request.head("POST", "X-Long: ") + b"x" * LONG_VALUE_BYTES, 0.0)


def long_trailer_value(request: Request, random: Random) -> Iterator[Part]:
    """A short body in one chunk, and one long trailer field, which doesn't end."""
    del random
    yield Part(request.chunked_head() + b"1\r\nx\r\n0\r\nX-Long: " + b"x" * LONG_VALUE_BYTES, 0.0)


def long_answer(request: Request, random: Random) -> Iterator[Part]:
    """A request for a long response, which its endpoint knows by the id; it is read slowly."""
    del random
    yield Part(request._replace(request_id=f"long-{request.request_id}").head("GET", "\r\n"), 0.0)


def whole_long_body(request: Request, random: Random) -> Iterator[Part]:
    """A whole body of 4 MB at full speed."""
    del random
    yield Part(request.head("POST", f"Content-Length: {BODY_BYTES}\r\n\r\n"), 0.0)
    for _ in range(BODY_BYTES // MAX_PIECE_BYTES):
        yield Part(bytes(MAX_PIECE_BYTES), 0.0)


def many_requests(request: Request, random: Random) -> Iterator[Part]:
    """Many requests in one write; the answers are read slowly."""
    del random
    head = request.head("GET", "\r\n")
    for _ in range(20):
        yield Part(head * 200, WRITE_INTERVAL_S)


def silent(request: Request, random: Random) -> Iterator[Part]:
    """Nothing."""
    del request, random
    return iter(())


Kind = Callable[[Request, Random], Iterator[Part]]
KINDS: Final[dict[str, Kind]] = {
    kind.__name__: kind
    for kind in (
        half_of_a_length,
        chunks_of_one_byte,
        mixed_chunks,
        chunks_with_extensions,
        many_fields,
        long_field_value,
        long_trailer_value,
        long_answer,
        whole_long_body,
        many_requests,
        silent,
    )
}
EVERY_KIND: Final = "every_kind"
# None of these completes a request, so that no endpoint executes any.
INCOMPLETE_KINDS: Final = (
    half_of_a_length,
    chunks_of_one_byte,
    mixed_chunks,
    chunks_with_extensions,
    many_fields,
    long_field_value,
    long_trailer_value,
    silent,
)


class Crowd:
    """The crowd of one address; each visit draws one of `kinds`."""

    def __init__(
        self,
        address: tuple[str, int],
        kinds: Sequence[Kind],
        clients: int,
        seed: int,
        read_class: str,
        write_class: str,
    ) -> None:
        self._address, self._random = address, Random(seed)
        self._classes = (read_class, write_class)
        self._kinds = kinds
        self._parent_pid = os.getppid()
        self._visits = 0
        self._tasks = [asyncio.ensure_future(self._come_again()) for _ in range(clients)]

    async def _come_again(self) -> None:
        while os.getppid() == self._parent_pid:  # a caller that is killed can't end its crowd
            with suppress(OSError, RuntimeError, TimeoutError):  # closed, which such a client is owed
                await self._visit()
            await asyncio.sleep(REOPEN_DELAY_S)

    async def _visit(self) -> None:
        loop = asyncio.get_running_loop()
        self._visits += 1
        request = Request(f"crowd-{os.getpid()}-{id(self)}-{self._visits}", *self._classes)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        try:
            await loop.sock_connect(sock, self._address)
            reading = loop.create_task(self._read_slowly(sock))
            try:
                await self._send(sock, request)
                await asyncio.wait_for(reading, STAY_S)
            finally:
                reading.cancel()
                await asyncio.gather(reading, return_exceptions=True)
        finally:
            sock.close()

    async def _send(self, sock: socket.socket, request: Request) -> None:
        loop = asyncio.get_running_loop()
        for part in self._random.choice(self._kinds)(request, self._random):
            await asyncio.wait_for(loop.sock_sendall(sock, part.data), DRAIN_TIMEOUT_S)
            await asyncio.sleep(part.pause_s)

    @staticmethod
    async def _read_slowly(sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            while await loop.sock_recv(sock, SLOW_READ_BYTES):
                await asyncio.sleep(SLOW_READ_INTERVAL_S)

    async def run(self) -> None:
        """Run until this process or the one that started it is ended."""
        await asyncio.gather(*self._tasks)


def _parse_kinds(text: str) -> list[Kind]:
    """Return the kinds of a list of their names, divided by commas, or all of them for EVERY_KIND."""
    return list(KINDS.values()) if text == EVERY_KIND else [KINDS[name] for name in text.split(",")]


async def _run(arguments: list[str]) -> None:
    kinds, clients, seed, read_class, write_class, *addresses = arguments
    crowds = []
    for number, address in enumerate(addresses):
        ip, _, port = address.rpartition(":")
        crowd_seed = int(seed) * MAX_ADDRESSES + number
        crowds.append(
            Crowd((ip, int(port)), _parse_kinds(kinds), int(clients), crowd_seed, read_class, write_class).run()
        )
    await asyncio.gather(*crowds)


def main(arguments: list[str]) -> None:
    """Run crowds until this process or the one that started it is ended."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run(arguments))


if __name__ == "__main__":
    main(sys.argv[1:])
