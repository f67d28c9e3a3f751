"""Long request bodies: streamed to an endpoint or buffered for a retry, in bounded memory."""

import asyncio
import hashlib
import random

import pytest

from gateusher.listeners import client_connection as connection_module
from gateusher.listeners import receive_timer as timer_module

from .bulk import (
    UploadEndpoint,
    read_response,
    run_sidecar_with_limits,
    send_parts,
    upload_parts,
    wait_until_finished,
)
from .helpers import HANG_TIMEOUT_S
from .net import (
    Endpoint,
    Reader,
    Writer,
    at_most_once_request,
    idempotent_request,
    run,
    run_sidecar,
    status,
)


@pytest.mark.parametrize("how", ["length", "chunks", "expect"])
@pytest.mark.parametrize("size", [65537, 200000, 256 << 10])
def test_a_long_body_reaches_its_endpoint_complete(how: str, size: int) -> None:
    async def test() -> None:
        data = random.Random(size).randbytes(size)
        digests: list[bytes] = []

        async def read(reader: Reader, writer: Writer) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"expect" not in head.lower() and b"transfer-encoding" not in head.lower()
            (line,) = [part for part in head.split(b"\r\n") if part.startswith(b"Content-Length")]
            body = await reader.readexactly(int(line.split(b":")[1]))
            digests.append(hashlib.sha256(body).digest())
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        endpoint = Endpoint()
        async with run_sidecar(endpoint) as r:
            endpoint.server.close()
            raw_server = await asyncio.start_server(
                read, "127.0.0.1", endpoint.port, reuse_address=True, limit=1 << 24
            )
            reader, writer = await r.connect()
            if how == "chunks":
                length_headers, body = (
                    b"Transfer-Encoding: chunked\r\n",
                    b"".join(
                        b"%x\r\n%b\r\n" % (len(data[a : a + 70000]), data[a : a + 70000])
                        for a in range(0, size, 70000)
                    )
                    + b"0\r\n\r\n",
                )
            else:
                length_headers, body = b"Content-Length: %d\r\n" % size, data
            if how == "expect":
                writer.write(at_most_once_request(extra_headers=length_headers + b"Expect: 100-continue\r\n"))
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), HANG_TIMEOUT_S)
                assert status(head) == 100
                writer.write(body)
            else:
                writer.write(at_most_once_request(extra_headers=length_headers, body=body))
            head, _, is_complete = await asyncio.wait_for(read_response(reader), HANG_TIMEOUT_S)
            assert status(head) == 200 and is_complete
            assert digests == [hashlib.sha256(data).digest()]
            writer.close()
            await wait_until_finished(r)
            raw_server.close()

    run(test())


def test_a_body_sent_slowly_is_accepted_and_one_sent_too_slowly_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
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
            head, _, _ = await asyncio.wait_for(read_response(slow), HANG_TIMEOUT_S)
            assert status(head) == 408
            fast_writer.write(bytes(100000))
            head, _, _ = await asyncio.wait_for(read_response(fast), HANG_TIMEOUT_S)
            assert status(head) == 200
            for writer in (fast_writer, slow_writer):
                writer.close()
            await wait_until_finished(r)

    run(test())


@pytest.mark.parametrize("chunks", [False, True])
@pytest.mark.parametrize("size", [(256 << 10) + 1, (1 << 20) + 1, 32 << 20])
def test_a_body_of_any_length_is_forwarded_completely(size: int, chunks: bool) -> None:
    """The memory limit is smaller than the longest body."""

    async def test() -> None:
        data, endpoint = random.Random(size).randbytes(size), UploadEndpoint()
        async with run_sidecar_with_limits(endpoint, memory_mb=16) as r:
            reader, writer = await r.connect()
            for rid in ("one", "two"):
                await send_parts(writer, upload_parts(data, chunks, rid))
                head, body, is_complete = await asyncio.wait_for(read_response(reader), HANG_TIMEOUT_S)
                assert (status(head), body, is_complete) == (200, b"ok", True)
            assert endpoint.complete_bodies == [(size, hashlib.sha256(data).digest())] * 2
            writer.write(idempotent_request("after"))
            head, _, _ = await asyncio.wait_for(read_response(reader), HANG_TIMEOUT_S)
            assert status(head) == 200
            writer.close()
            await wait_until_finished(r)

    run(test())


def test_many_concurrent_long_bodies_use_bounded_memory() -> None:
    async def test() -> None:
        data, endpoint, max_in_use = random.Random(2).randbytes(6 << 20), UploadEndpoint(), [0]
        async with run_sidecar_with_limits(endpoint, memory_mb=24) as r:
            memory = r.sidecar.node.memory
            acquire = memory.acquire

            def record_and_acquire(n: int, may_exceed: bool = False) -> bool:
                acquired = acquire(n, may_exceed)
                max_in_use[0] = max(max_in_use[0], memory.in_use)
                return acquired

            memory.acquire = record_and_acquire  # type: ignore[method-assign]

            async def upload(n: int) -> int:
                reader, writer = await r.connect()
                await send_parts(writer, upload_parts(data, bool(n % 2), f"m{n}"))
                head, _, _ = await asyncio.wait_for(read_response(reader), HANG_TIMEOUT_S)
                writer.close()
                return status(head)

            assert await asyncio.gather(*(upload(n) for n in range(24))) == [200] * 24
            assert [digest for _, digest in endpoint.complete_bodies] == [hashlib.sha256(data).digest()] * 24
            assert max_in_use[0] <= 1.25 * memory.limit + (1 << 20)
            await wait_until_finished(r)

    run(test())


@pytest.mark.parametrize("first", ["reject body", "reject head"])
def test_a_buffered_body_is_forwarded_to_another_endpoint(first: str) -> None:
    """The first endpoint did not execute the request, so at-most-once requests are retried too."""

    async def test() -> None:
        data, endpoints = random.Random(3).randbytes(600000), [UploadEndpoint(first), UploadEndpoint(first)]
        async with run_sidecar_with_limits(*endpoints) as r:
            reader, writer = await r.connect()
            await send_parts(writer, upload_parts(data, False))
            head, body, is_complete = await asyncio.wait_for(read_response(reader), HANG_TIMEOUT_S)
            assert (status(head), body, is_complete) == (200, b"ok", True)
            digests = [digest for endpoint in endpoints for _, digest in endpoint.complete_bodies]
            assert set(digests) == {hashlib.sha256(data).digest()}
            writer.close()
            await wait_until_finished(r)

    run(test())


@pytest.mark.parametrize("first", ["reject head", "reset"])
def test_a_request_whose_body_is_no_longer_buffered_is_rejected_if_not_executed(first: str) -> None:
    async def test() -> None:
        endpoints = [UploadEndpoint(*[first] * 9), UploadEndpoint(*[first] * 9)]
        async with run_sidecar_with_limits(*endpoints) as r:
            reader, writer = await r.connect()
            sending = asyncio.create_task(send_parts(writer, upload_parts(bytes(16 << 20), False)))
            head, _, is_complete = await asyncio.wait_for(read_response(reader), HANG_TIMEOUT_S)
            assert status(head) == 503 and is_complete and b"Retry-After" in head
            heads = [endpoint.heads for endpoint in endpoints]
            assert not [body for endpoint in endpoints for body in endpoint.complete_bodies], heads
            sending.cancel()
            writer.close()
            await wait_until_finished(r)

    run(test())


def test_a_body_over_the_limit_never_arrives_completely() -> None:
    async def test() -> None:
        endpoint = UploadEndpoint()
        async with run_sidecar_with_limits(endpoint) as r:
            reader, writer = await r.connect()
            sending = asyncio.create_task(send_parts(writer, upload_parts(bytes(34 << 20), True)))
            head, _, _ = await asyncio.wait_for(read_response(reader), HANG_TIMEOUT_S)
            assert status(head) == 413 and b"Connection: close" in head
            await asyncio.wait_for(endpoint.broken.wait(), HANG_TIMEOUT_S)
            assert not endpoint.complete_bodies
            sending.cancel()
            writer.close()
            await wait_until_finished(r)

    run(test())


def test_a_client_that_disconnects_during_an_upload_ends_its_request() -> None:
    async def test() -> None:
        endpoint = UploadEndpoint()
        async with run_sidecar_with_limits(endpoint) as r:
            _, writer = await r.connect()
            await send_parts(writer, upload_parts(bytes(4 << 20), False)[:-1])
            await asyncio.wait_for(endpoint.begun.wait(), HANG_TIMEOUT_S)
            writer.transport.abort()
            await asyncio.wait_for(endpoint.broken.wait(), HANG_TIMEOUT_S)
            assert not endpoint.complete_bodies
            await wait_until_finished(r)

    run(test())


def test_the_deadline_of_a_request_counts_from_its_last_byte() -> None:
    """The deadline is 0.3 s, and the body takes twice as long."""

    async def test() -> None:
        data, endpoint = bytes(2 << 20), UploadEndpoint()
        async with run_sidecar_with_limits(endpoint) as r:
            reader, writer = await r.connect()
            parts = upload_parts(data, False, deadline="0.3")
            half = len(parts) // 2
            await send_parts(writer, parts[:half])
            await asyncio.sleep(0.6)
            await send_parts(writer, parts[half:])
            head, _, _ = await asyncio.wait_for(read_response(reader), HANG_TIMEOUT_S)
            assert status(head) == 200
            assert b"X-Deadline: 0.300" in endpoint.heads[0]
            # If the endpoint doesn't respond, the deadline ends that long after the last byte.
            endpoint.script.append("never respond")
            await send_parts(writer, upload_parts(data, True, "u2", "0.3"))
            head, _, _ = await asyncio.wait_for(read_response(reader), HANG_TIMEOUT_S)
            assert status(head) == 504
            writer.close()
            await wait_until_finished(r)

    run(test())


def test_an_upload_to_an_endpoint_that_reads_nothing_is_abandoned() -> None:
    async def test() -> None:
        endpoints = [UploadEndpoint(*["read nothing"] * 9)]
        async with run_sidecar_with_limits(*endpoints) as r:
            reader, writer = await r.connect()
            sending = asyncio.create_task(send_parts(writer, upload_parts(bytes(30 << 20), False, deadline="0.3")))
            head, _, _ = await asyncio.wait_for(read_response(reader), HANG_TIMEOUT_S)
            assert status(head) == 503
            sending.cancel()
            endpoints[0].may_read.set()
            writer.close()
            await wait_until_finished(r)

    run(test())


def test_a_long_body_without_any_endpoint_is_rejected_in_time() -> None:
    async def test() -> None:
        async with run_sidecar(known={"seq": 1, "is_complete": True, "hosts": []}) as r:
            reader, writer = await r.connect()
            sending = asyncio.create_task(send_parts(writer, upload_parts(bytes(8 << 20), False, deadline="0.3")))
            head, _, _ = await asyncio.wait_for(read_response(reader), HANG_TIMEOUT_S)
            assert status(head) == 503 and b"Retry-After" in head
            sending.cancel()
            writer.close()
            await wait_until_finished(r)

    run(test())


def test_a_long_body_that_is_not_allowed_is_rejected_before_it_is_forwarded() -> None:
    async def test() -> None:
        endpoint = UploadEndpoint()
        async with run_sidecar_with_limits(endpoint) as r:
            for n, parts in enumerate(
                (
                    upload_parts(bytes(1 << 20), False, idempotent=True),
                    upload_parts(bytes(1 << 20), True, deadline="0"),
                    [p.replace(b"/pay", b"/_health") for p in upload_parts(bytes(1 << 20), False)],
                )
            ):
                reader, writer = await r.connect()
                sending = asyncio.create_task(send_parts(writer, parts))
                head, _, _ = await asyncio.wait_for(read_response(reader), HANG_TIMEOUT_S)
                assert 400 <= status(head) < 500, n
                sending.cancel()
                writer.close()
            assert not endpoint.heads
            await wait_until_finished(r)

    run(test())


@pytest.mark.parametrize(("chunks", "is_scarce"), [(False, True), (True, True), (True, False)])
def test_a_request_refused_when_its_upload_begins_is_submitted_once(
    monkeypatch: pytest.MonkeyPatch, chunks: bool, is_scarce: bool
) -> None:
    """The rest of the body is in the same read as the byte with which the upload begins."""

    async def test() -> None:
        data, endpoint = bytes(4000), UploadEndpoint()
        async with run_sidecar_with_limits(endpoint, memory_mb=16) as r:
            memory, engine = r.sidecar.node.memory, r.sidecar.engine
            in_use_elsewhere = memory.limit // 2 + 1 if is_scarce else 0
            memory.acquire(in_use_elsewhere)
            submitted: list[object] = []
            submit = engine.submit

            def record_and_submit(request: object, timeout_ms: float) -> object:
                submitted.append(request)
                engine._max_requests = 0 if len(submitted) == 1 else 20000  # the first one exceeds `most_held`
                return submit(request, timeout_ms)  # type: ignore[arg-type]

            monkeypatch.setattr(engine, "submit", record_and_submit)
            if not is_scarce:
                monkeypatch.setattr(connection_module, "MAX_BUFFERED_REQUEST_BYTES", 1000)
            reader, writer = await r.connect()
            length = b"Transfer-Encoding: chunked\r\n" if chunks else b"Content-Length: %d\r\n" % len(data)
            body = data
            if chunks:
                parts = [data[a : a + 500] for a in range(0, len(data), 500)]
                body = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
            writer.write(at_most_once_request("b1", extra_headers=length, body=body))
            head, _, _ = await asyncio.wait_for(read_response(reader), HANG_TIMEOUT_S)
            assert status(head) == 503 and len(submitted) == 1
            assert await asyncio.wait_for(reader.read(), HANG_TIMEOUT_S) == b""
            writer.close()
            async with asyncio.timeout(HANG_TIMEOUT_S):
                while r.sidecar.server.connection_count:
                    await asyncio.sleep(0.005)
            assert len(submitted) == 1 and endpoint.heads == []
            assert not engine.requests and memory.in_use == in_use_elsewhere
            memory.release(in_use_elsewhere)
            reader, writer = await r.connect()
            writer.write(at_most_once_request("b1"))  # the refusal told the client that this is harmless
            head, _, _ = await asyncio.wait_for(read_response(reader), HANG_TIMEOUT_S)
            assert status(head) == 200
            writer.close()

    run(test())
