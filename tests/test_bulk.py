"""Long answers and long bodies: passed on as they come, cut so that the reader can tell, in bounded memory."""

import asyncio
import hashlib
import random
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from gateusher.listeners import client_connection as connection_module
from gateusher.listeners import receive_timer as timer_module
from gateusher.upstream import connection as upstream_connection_module
from gateusher.upstream import response_stream as response_stream_module

from .helpers import HANG_TIMEOUT_S
from .net import Endpoint, Reader, RunningSidecar, Writer, at_most_once_request, idempotent_request, run_sidecar
from .test_sockets import run, status

LONG = random.Random(5).randbytes(3 << 20)


def framed(data: bytes, how: str, seed: int = 1) -> list[bytes]:
    """An answer in pieces that a machine cuts anywhere."""
    draw = random.Random(seed)
    if how == "length":
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data) + data
    elif how == "end":
        whole = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + data
    else:
        parts, at = [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"], 0
        while at < len(data):
            size = draw.randint(1, 200000)
            part = data[at : at + size]
            parts += [b"%X;x=y\r\n" % len(part), part, b"\r\n"]
            at += size
        whole = b"".join(parts) + b"0\r\nX-Trailer: t\r\n\r\n"
    cuts = sorted(draw.sample(range(1, len(whole)), 12))
    return [whole[a:b] for a, b in zip([0, *cuts], [*cuts, len(whole)], strict=True)]


def answering(how: str, seed: int = 1, data: bytes = LONG, most: int | None = None) -> Endpoint:
    """Answers in pieces; with `most`, resets its connection once so many bytes are out."""

    async def answer(_: bytes, writer: Writer) -> None:
        sent = 0
        for piece in framed(data, how, seed):
            if most is not None and sent + len(piece) > most:
                writer.write(piece[: most - sent])
                await writer.drain()
                # A reset: where the end delimits, an end in order would say that this is all.
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                writer.transport.abort()
                return
            sent += len(piece)
            writer.write(piece)
            await writer.drain()
        if how == "end":
            writer.close()

    return Endpoint(answer)


async def body_of(reader: Reader) -> tuple[bytes, bytes, bool]:
    """Head and body of an answer in any framing; whether it was whole."""
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), HANG_TIMEOUT_S)
    lower, body = head.lower(), bytearray()
    try:
        if b"transfer-encoding: chunked" in lower:
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await reader.readexactly(size + 2)
                del body[-2:]
            assert await reader.readline() == b"\r\n"
        elif b"content-length" in lower:
            (line,) = [part for part in lower.split(b"\r\n") if part.startswith(b"content-length")]
            body += await reader.readexactly(int(line.split(b":")[1]))
        else:
            body += await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return head, bytes(body), False
    return head, bytes(body), True


async def settled(r: RunningSidecar) -> None:
    async with asyncio.timeout(HANG_TIMEOUT_S):
        while r.sidecar.engine.requests or r.sidecar.node.memory.in_use:
            await asyncio.sleep(0.005)


@pytest.mark.parametrize("how", ["length", "chunks", "end"])
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
def test_a_long_answer_comes_whole_in_every_framing(how: str, version: bytes) -> None:
    async def test() -> None:
        endpoint = answering(how)
        async with run_sidecar(endpoint) as r:
            for n in range(2):
                reader, writer = await r.connect()
                writer.write(idempotent_request(f"a{n}").replace(b"HTTP/1.1", b"HTTP/" + version))
                head, body, whole = await asyncio.wait_for(body_of(reader), HANG_TIMEOUT_S)
                assert status(head) == 200 and whole and body == LONG
                chunked = b"transfer-encoding" in head.lower()
                assert chunked is (how != "length" and version == b"1.1")
                if version == b"1.1":
                    writer.write(idempotent_request("next"))  # its connection carries another
                    head, body, whole = await asyncio.wait_for(body_of(reader), HANG_TIMEOUT_S)
                    assert status(head) == 200 and whole and body == LONG
                writer.close()
            assert len(endpoint.request_heads) == (4 if version == b"1.1" else 2)
            await settled(r)

    run(test())


@pytest.mark.parametrize("how", ["length", "chunks", "end"])
@pytest.mark.parametrize("version", [b"1.1", b"1.0"])
@pytest.mark.parametrize("most", [70000, 1 << 20, (3 << 20) - 7])
def test_a_long_answer_that_breaks_off_is_never_taken_for_whole(how: str, version: bytes, most: int) -> None:
    """Nor is it tried again: its client has the beginning."""

    async def test() -> None:
        endpoint = answering(how, most=most)
        async with run_sidecar(endpoint) as r:
            reader, writer = await r.connect()
            writer.write(idempotent_request().replace(b"HTTP/1.1", b"HTTP/" + version))
            head, body, whole = await asyncio.wait_for(body_of(reader), HANG_TIMEOUT_S)
            assert status(head) == 200 and not whole
            assert LONG.startswith(body)
            assert len(endpoint.request_heads) == 1
            writer.close()
            await settled(r)

    run(test())


def test_answers_behind_a_long_one_come_in_their_order() -> None:
    async def test() -> None:
        go = asyncio.Event()

        async def answer(head: bytes, writer: Writer) -> None:
            if b"long" in head:
                pieces = framed(LONG, "chunks")
                for piece in pieces[:6]:
                    writer.write(piece)
                await go.wait()
                for piece in pieces[6:]:
                    writer.write(piece)
            else:
                name = head.split(b"X-Request-Id: ")[1].split(b"\r\n")[0]
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(name), name))

        async with run_sidecar(Endpoint(answer)) as r:
            reader, writer = await r.connect()
            writer.write(
                idempotent_request("long1")
                + idempotent_request("short1")
                + idempotent_request("long2")
                + idempotent_request("short2")
            )
            await asyncio.wait_for(reader.readexactly(100), HANG_TIMEOUT_S)
            go.set()
            data = bytearray()
            while data.count(b"HTTP/1.1 200 OK") < 3 or not data.endswith(b"short2"):
                data += await asyncio.wait_for(reader.read(1 << 20), HANG_TIMEOUT_S)
            places = [data.index(b"short1"), data.rindex(b"HTTP/1.1 200 OK"), data.index(b"short2")]
            assert places == sorted(places)
            writer.close()
            await settled(r)

    run(test())


def test_a_slow_reader_holds_its_endpoint_back_and_costs_no_memory() -> None:
    async def test() -> None:
        sent = []

        async def answer(_: bytes, writer: Writer) -> None:
            writer.transport.set_write_buffer_limits(high=65536)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (32 << 20))
            for _n in range(512):
                writer.write(bytes(65536))
                await writer.drain()
                sent.append(65536)

        async with run_sidecar(Endpoint(answer)) as r:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", r.sidecar.server.port))
            reader, writer = await asyncio.open_connection(sock=sock, limit=1024)
            writer.write(idempotent_request())
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), HANG_TIMEOUT_S)
            last = -1
            while sum(sent) != last:  # until nothing moves any more
                last = sum(sent)
                await asyncio.sleep(0.2)
            assert last < 12 << 20
            assert r.sidecar.node.memory.in_use == 0
            (client,) = r.sidecar.server._connections
            assert client._transport and client._transport.get_write_buffer_size() < 1 << 20
            left = 32 << 20
            while left:
                left -= len(await asyncio.wait_for(reader.read(1 << 16), HANG_TIMEOUT_S))
            writer.close()
            await settled(r)

    run(test())


@pytest.mark.parametrize("leaves", ["reset", "unread"])
def test_a_reader_that_goes_ends_the_endpoint_s_connection(monkeypatch: pytest.MonkeyPatch, leaves: str) -> None:
    monkeypatch.setattr(connection_module, "WRITE_STALL_TIMEOUT_S", 0.2)

    async def test() -> None:
        cut = asyncio.Event()

        async def answer(_: bytes, writer: Writer) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (32 << 20))
            try:
                for _n in range(512):
                    writer.write(bytes(65536))
                    await writer.drain()
            except ConnectionError:
                cut.set()

        async with run_sidecar(Endpoint(answer)) as r:
            reader, writer = await asyncio.open_connection("127.0.0.1", r.sidecar.server.port, limit=1024)
            writer.write(idempotent_request())
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), HANG_TIMEOUT_S)
            if leaves == "reset":
                writer.transport.abort()
            await asyncio.wait_for(cut.wait(), HANG_TIMEOUT_S)
            await settled(r)
            writer.close()

    run(test())


def test_an_endpoint_that_stops_in_the_middle_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(response_stream_module, "STREAM_IDLE_TIMEOUT_S", 0.05)

    async def test() -> None:
        async def answer(_: bytes, writer: Writer) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + bytes(90000))

        async with run_sidecar(Endpoint(answer)) as r:
            reader, writer = await r.connect()
            writer.write(idempotent_request())
            _, body, whole = await asyncio.wait_for(body_of(reader), HANG_TIMEOUT_S)
            assert not whole and len(body) <= 90000
            writer.close()
            await settled(r)

    run(test())


# -- bodies


@pytest.mark.parametrize("how", ["length", "chunks", "expect"])
@pytest.mark.parametrize("size", [65537, 200000, 256 << 10])
def test_a_long_body_reaches_its_endpoint_whole(how: str, size: int) -> None:
    async def test() -> None:
        data = random.Random(size).randbytes(size)
        got: list[bytes] = []

        async def read(reader: Reader, writer: Writer) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"expect" not in head.lower() and b"transfer-encoding" not in head.lower()
            (line,) = [part for part in head.split(b"\r\n") if part.startswith(b"Content-Length")]
            body = await reader.readexactly(int(line.split(b":")[1]))
            got.append(hashlib.sha256(body).digest())
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        endpoint = Endpoint()
        async with run_sidecar(endpoint) as r:
            endpoint.server.close()
            raw = await asyncio.start_server(read, "127.0.0.1", endpoint.port, reuse_address=True, limit=1 << 24)
            reader, writer = await r.connect()
            if how == "chunks":
                more, body = (
                    b"Transfer-Encoding: chunked\r\n",
                    b"".join(
                        b"%x\r\n%b\r\n" % (len(data[a : a + 70000]), data[a : a + 70000])
                        for a in range(0, size, 70000)
                    )
                    + b"0\r\n\r\n",
                )
            else:
                more, body = b"Content-Length: %d\r\n" % size, data
            if how == "expect":
                writer.write(at_most_once_request(extra_headers=more + b"Expect: 100-continue\r\n"))
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), HANG_TIMEOUT_S)
                assert status(head) == 100
                writer.write(body)
            else:
                writer.write(at_most_once_request(extra_headers=more, body=body))
            head, _, whole = await asyncio.wait_for(body_of(reader), HANG_TIMEOUT_S)
            assert status(head) == 200 and whole
            assert got == [hashlib.sha256(data).digest()]
            writer.close()
            await settled(r)
            raw.close()

    run(test())


def test_a_body_that_grows_slowly_is_waited_for_and_one_that_dribbles_is_not(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(timer_module, "REQUEST_READ_TIMEOUT_S", 0.0)
    monkeypatch.setattr(timer_module, "BODY_STALL_TIMEOUT_S", 1e9)

    async def test() -> None:
        async with run_sidecar(Endpoint()) as r:
            fast, fast_writer = await r.connect()
            fast_writer.write(
                at_most_once_request("f", extra_headers=b"Content-Length: 200000\r\n", body=bytes(100000))
            )
            slow, slow_writer = await r.connect()
            slow_writer.write(at_most_once_request("s", extra_headers=b"Content-Length: 200000\r\n", body=bytes(1)))
            head, _, _ = await asyncio.wait_for(body_of(slow), HANG_TIMEOUT_S)
            assert status(head) == 408
            fast_writer.write(bytes(100000))
            head, _, _ = await asyncio.wait_for(body_of(fast), HANG_TIMEOUT_S)
            assert status(head) == 200
            for writer in (fast_writer, slow_writer):
                writer.close()
            await settled(r)

    run(test())


# -- bodies that go through as they come


class Taking:
    """An endpoint that reads requests with any body, and remembers their sums; what it does with each is scripted."""

    def __init__(self, *acts: str) -> None:
        self.acts = list(acts)
        self.whole: list[tuple[int, bytes]] = []  # sizes and sums of the bodies that came whole
        self.begun = asyncio.Event()
        self.broken = asyncio.Event()
        self.go = asyncio.Event()
        self.heads: list[bytes] = []

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 16)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(head)
                self.begun.set()
                act = self.acts.pop(0) if self.acts else "serve"
                if act == "full at once":
                    writer.write(b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
                    await reader.read()
                    return
                if act == "take nothing":
                    await self.go.wait()
                size, total = 0, hashlib.sha256()
                async for part in self._parts(head, reader):
                    size += len(part)
                    total.update(part)
                    if act == "die" and size > 100000:
                        writer.transport.abort()
                        return
                self.whole.append((size, total.digest()))
                if act == "be silent":
                    await reader.read()
                    return
                writer.write(
                    b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                    if act == "full"
                    else b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                )
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            if self.begun.is_set():
                self.broken.set()
            writer.close()

    @staticmethod
    async def _parts(head: bytes, reader: Reader) -> AsyncIterator[bytes]:
        if b"chunked" in head:
            while size := int(await reader.readline(), 16):
                yield (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
            return
        lines = [part for part in head.split(b"\r\n") if part.startswith(b"Content-Length")]
        left = int(lines[0].split(b":")[1]) if lines else 0
        while left:
            part = await reader.read(min(left, 1 << 16))
            if not part:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(part)
            yield part


def with_body(data: bytes, chunks: bool, rid: str = "u1", deadline: str = "1.5", safe: bool = False) -> list[bytes]:
    """A request in parts.  One with a body is never safe here, so `safe` makes it one by its head alone."""
    if chunks:
        more = b"Transfer-Encoding: chunked\r\n"
        parts = [
            b"%x\r\n%b\r\n" % (len(data[a : a + 50001]), data[a : a + 50001]) for a in range(0, len(data), 50001)
        ]
        parts.append(b"0\r\n\r\n")
    else:
        more = b"Content-Length: %d\r\n" % len(data)
        parts = [data[a : a + 50001] for a in range(0, len(data), 50001)]
    head = idempotent_request(rid, deadline, more) if safe else at_most_once_request(rid, deadline, more)
    return [head, *parts]


@asynccontextmanager
async def taking(*ends: Taking, **limits: int) -> AsyncIterator[RunningSidecar]:
    for end in ends:
        await end.start()
    async with run_sidecar(*ends, limits={"memory_mb": 64, "sockets": 256} | limits) as r:  # type: ignore[arg-type]
        yield r


async def send(writer: Writer, parts: list[bytes]) -> None:
    for part in parts:
        writer.write(part)
        await writer.drain()


@pytest.mark.parametrize("chunks", [False, True])
@pytest.mark.parametrize("size", [(256 << 10) + 1, (1 << 20) + 1, 32 << 20])
def test_a_body_of_any_length_goes_through_whole(size: int, chunks: bool) -> None:
    """Under a memory limit that it would not fit into."""

    async def test() -> None:
        data, end = random.Random(size).randbytes(size), Taking()
        async with taking(end, memory_mb=16) as r:
            reader, writer = await r.connect()
            for rid in ("one", "two"):
                await send(writer, with_body(data, chunks, rid))
                head, body, whole = await asyncio.wait_for(body_of(reader), HANG_TIMEOUT_S)
                assert (status(head), body, whole) == (200, b"ok", True)
            assert end.whole == [(size, hashlib.sha256(data).digest())] * 2
            writer.write(idempotent_request("after"))
            head, _, _ = await asyncio.wait_for(body_of(reader), HANG_TIMEOUT_S)
            assert status(head) == 200
            writer.close()
            await settled(r)

    run(test())


def test_many_long_bodies_at_once_stay_in_bounded_memory() -> None:
    async def test() -> None:
        data, end, most = random.Random(2).randbytes(6 << 20), Taking(), [0]
        async with taking(end, memory_mb=24) as r:
            memory = r.sidecar.node.memory
            take = memory.acquire

            def counted(n: int, may_exceed: bool = False) -> bool:
                found = take(n, may_exceed)
                most[0] = max(most[0], memory.in_use)
                return found

            memory.acquire = counted  # type: ignore[method-assign]

            async def one(n: int) -> int:
                reader, writer = await r.connect()
                await send(writer, with_body(data, bool(n % 2), f"m{n}"))
                head, _, _ = await asyncio.wait_for(body_of(reader), HANG_TIMEOUT_S)
                writer.close()
                return status(head)

            assert await asyncio.gather(*(one(n) for n in range(24))) == [200] * 24
            assert [sum_ for _, sum_ in end.whole] == [hashlib.sha256(data).digest()] * 24
            assert most[0] <= 1.25 * memory.limit + (1 << 20)
            await settled(r)

    run(test())


@pytest.mark.parametrize("first", ["full", "full at once"])
def test_a_body_that_is_still_kept_goes_to_another_endpoint(first: str) -> None:
    """It never ran on the first one, so that this holds for unsafe ones too."""

    async def test() -> None:
        data, ends = random.Random(3).randbytes(600000), [Taking(first), Taking(first)]
        async with taking(*ends) as r:
            reader, writer = await r.connect()
            await send(writer, with_body(data, False))
            head, body, whole = await asyncio.wait_for(body_of(reader), HANG_TIMEOUT_S)
            assert (status(head), body, whole) == (200, b"ok", True)
            came = [sum_ for end in ends for _, sum_ in end.whole]
            assert set(came) == {hashlib.sha256(data).digest()}
            writer.close()
            await settled(r)

    run(test())


@pytest.mark.parametrize("first", ["full at once", "die"])
def test_a_body_that_has_gone_through_is_refused_where_it_never_ran(first: str) -> None:
    async def test() -> None:
        ends = [Taking(*[first] * 9), Taking(*[first] * 9)]
        async with taking(*ends) as r:
            reader, writer = await r.connect()
            sending = asyncio.create_task(send(writer, with_body(bytes(16 << 20), False)))
            head, _, whole = await asyncio.wait_for(body_of(reader), HANG_TIMEOUT_S)
            assert status(head) == 503 and whole and b"Retry-After" in head
            assert not [w for end in ends for w in end.whole]
            sending.cancel()
            writer.close()
            await settled(r)

    run(test())


def test_a_body_longer_than_any_may_be_never_becomes_whole() -> None:
    async def test() -> None:
        end = Taking()
        async with taking(end) as r:
            reader, writer = await r.connect()
            sending = asyncio.create_task(send(writer, with_body(bytes(34 << 20), True)))
            head, _, _ = await asyncio.wait_for(body_of(reader), HANG_TIMEOUT_S)
            assert status(head) == 413 and b"Connection: close" in head
            await asyncio.wait_for(end.broken.wait(), HANG_TIMEOUT_S)
            assert not end.whole
            sending.cancel()
            writer.close()
            await settled(r)

    run(test())


def test_a_client_that_leaves_in_the_middle_takes_its_request_along() -> None:
    async def test() -> None:
        end = Taking()
        async with taking(end) as r:
            _, writer = await r.connect()
            await send(writer, with_body(bytes(4 << 20), False)[:-1])
            await asyncio.wait_for(end.begun.wait(), HANG_TIMEOUT_S)
            writer.transport.abort()
            await asyncio.wait_for(end.broken.wait(), HANG_TIMEOUT_S)
            assert not end.whole
            await settled(r)

    run(test())


def test_the_time_of_a_request_counts_from_its_last_byte() -> None:
    """0.3 s of patience, and a body that takes twice as long."""

    async def test() -> None:
        data, end = bytes(2 << 20), Taking()
        async with taking(end) as r:
            reader, writer = await r.connect()
            parts = with_body(data, False, deadline="0.3")
            half = len(parts) // 2
            await send(writer, parts[:half])
            await asyncio.sleep(0.6)
            await send(writer, parts[half:])
            head, _, _ = await asyncio.wait_for(body_of(reader), HANG_TIMEOUT_S)
            assert status(head) == 200
            assert b"X-Deadline: 0.300" in end.heads[0]
            # And it is over so long after the last byte, where its endpoint says nothing.
            end.acts.append("be silent")
            await send(writer, with_body(data, True, "u2", "0.3"))
            head, _, _ = await asyncio.wait_for(body_of(reader), HANG_TIMEOUT_S)
            assert status(head) == 504
            writer.close()
            await settled(r)

    run(test())


def test_an_endpoint_that_takes_nothing_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream_connection_module, "WRITE_STALL_TIMEOUT_S", 0.1)

    async def test() -> None:
        ends = [Taking(*["take nothing"] * 9)]
        async with taking(*ends) as r:
            reader, writer = await r.connect()
            sending = asyncio.create_task(send(writer, with_body(bytes(30 << 20), False)))
            head, _, _ = await asyncio.wait_for(body_of(reader), HANG_TIMEOUT_S)
            assert status(head) == 503
            sending.cancel()
            ends[0].go.set()
            writer.close()
            await settled(r)

    run(test())


def test_no_endpoint_at_all_is_told_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_module, "UPLOAD_BACKPRESSURE_TIMEOUT_S", 0.1)

    async def test() -> None:
        async with run_sidecar(known={"seq": 1, "whole": True, "hosts": []}) as r:
            reader, writer = await r.connect()
            sending = asyncio.create_task(send(writer, with_body(bytes(8 << 20), False)))
            head, _, _ = await asyncio.wait_for(body_of(reader), HANG_TIMEOUT_S)
            assert status(head) == 503 and b"Retry-After" in head
            sending.cancel()
            writer.close()
            await settled(r)

    run(test())


def test_a_long_body_where_none_may_be_is_refused_before_it_goes_anywhere() -> None:
    async def test() -> None:
        end = Taking()
        async with taking(end) as r:
            for n, parts in enumerate(
                (
                    with_body(bytes(1 << 20), False, safe=True),
                    with_body(bytes(1 << 20), True, deadline="0"),
                    [p.replace(b"/pay", b"/_health") for p in with_body(bytes(1 << 20), False)],
                )
            ):
                reader, writer = await r.connect()
                sending = asyncio.create_task(send(writer, parts))
                head, _, _ = await asyncio.wait_for(body_of(reader), HANG_TIMEOUT_S)
                assert 400 <= status(head) < 500, n
                sending.cancel()
                writer.close()
            assert not end.heads
            await settled(r)

    run(test())
