"""The sidecar on loopback sockets: changes of discovery's address, early polls, and reloads."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

import pytest

from .helpers import HANG_TIMEOUT_S, ROOT
from .net import (
    NOT_EXECUTED_RESPONSE,
    Discovery,
    Endpoint,
    Writer,
    configuration,
    host_entry,
    idempotent_request,
    read_message,
    run,
    run_sidecar,
    status,
    unused_address,
)


def test_a_new_discovery_address_begins_with_a_complete_list() -> None:
    async def test() -> None:
        old, new = Endpoint(), Endpoint()
        await new.start()
        second = Discovery([host_entry("n0", new.port)], seq=1)
        async with run_sidecar(old, discovery=None, known={"seq": 900, "whole": True, "hosts": []}) as r:
            await second.start()
            r.sidecar.discovery.change_address(("127.0.0.1", second.port))
            await asyncio.wait_for(second.has_watch.wait(), HANG_TIMEOUT_S)
            assert second.request_lines == [
                b"GET /catalog/members HTTP/1.1",
                b"GET /catalog/members?watch=1&from=1 HTTP/1.1",
            ]
            head, _ = await r.request(idempotent_request())
            assert status(head) == 200
            assert (len(old.request_heads), len(new.request_heads)) == (0, 1)
        second.server.close()
        new.server.close()

    run(test())


def test_an_unreachable_new_discovery_is_retried_soon_and_the_cached_list_is_kept() -> None:
    async def test() -> None:
        endpoint = Endpoint()
        late = Discovery([])
        address = unused_address()
        async with run_sidecar(endpoint) as r:
            late.hosts = [host_entry("e0", endpoint.port)]
            r.sidecar.discovery.change_address(address)
            head, _ = await r.request(idempotent_request())
            assert status(head) == 200
            await late.start(address)
            await asyncio.wait_for(late.has_watch.wait(), 2)
        late.server.close()

    run(test())


@pytest.mark.parametrize("dropped_watches", [0, 5])
def test_discovery_is_polled_early_while_every_listed_endpoint_is_full(dropped_watches: int) -> None:
    """The sidecar starts during a rollout: every endpoint of its cached list is full, and a newer list has another.

    The backoff after failed watches may grow to hours here, but must stay short while capacity is short.
    """

    async def test() -> None:
        async def reject(_: bytes, writer: Writer) -> None:
            writer.write(NOT_EXECUTED_RESPONSE)

        old, new = Endpoint(reject), Endpoint()
        await old.start()
        await new.start()
        hosts = [host_entry("old", old.port), host_entry("new", new.port)]
        conf = configuration(hosts[:1], 1)
        conf["settings"]["rules"]["must_ask_in_ms"] = 3.6e6
        discovery = Discovery(hosts, seq=2)
        discovery.watches_to_drop = dropped_watches
        async with run_sidecar(discovery=discovery, known=conf["known"], settings=conf["settings"]) as r:
            request_ids = iter(range(10**6))
            async with asyncio.timeout(HANG_TIMEOUT_S):
                while not discovery.has_watch.is_set():
                    assert status((await r.request(idempotent_request(f"r{next(request_ids)}")))[0]) in (200, 503)
                while not new.request_heads:
                    await r.request(idempotent_request(f"r{next(request_ids)}"))
            assert discovery.request_lines == [b"GET /catalog/members?watch=1&from=1 HTTP/1.1"] * (
                1 + dropped_watches
            )
        old.server.close()
        new.server.close()

    run(test())


def test_sighup_reloads_and_an_unreadable_file_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        endpoint, first = Endpoint(), Discovery([])
        await endpoint.start()
        hosts = [host_entry("e0", endpoint.port)]
        first.hosts = hosts
        await first.start()
        second = Discovery(hosts)
        await second.start()
        address = unused_address()
        listen = "{}:{}".format(*address)
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration(hosts, first.port, listen=listen)))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "gateusher",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "BALANCER_CONFIG": str(path), "BALANCER_DISCOVERY": f"127.0.0.1:{first.port}"},
        )
        try:
            await asyncio.wait_for(first.has_watch.wait(), HANG_TIMEOUT_S)
            path.write_text("{half")
            process.send_signal(signal.SIGHUP)
            assert process.stderr
            assert b"reload" in await asyncio.wait_for(process.stderr.readline(), HANG_TIMEOUT_S)
            reader, writer = await asyncio.open_connection(*address)
            writer.write(idempotent_request())
            assert status((await read_message(reader))[0]) == 200
            path.write_text(json.dumps(configuration(hosts, second.port, listen=listen)))
            process.send_signal(signal.SIGHUP)
            await asyncio.wait_for(second.has_watch.wait(), HANG_TIMEOUT_S)
            writer.write(idempotent_request("a2"))
            assert status((await read_message(reader))[0]) == 200
            writer.close()
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), HANG_TIMEOUT_S) == 0
        finally:
            if process.returncode is None:
                process.kill()
        for server in (first.server, second.server, endpoint.server):
            server.close()

    run(test())


def test_a_rejected_request_gets_a_retry_after() -> None:
    async def test() -> None:
        async with run_sidecar(known={"seq": 1, "whole": True, "hosts": []}) as r:
            head, _ = await r.request(idempotent_request(deadline="0.05"))
            assert status(head) == 503
            (retry_after,) = [line for line in head.split(b"\r\n") if line.startswith(b"Retry-After: ")]
            assert 0 < float(retry_after[13:]) <= 2

    run(test())
