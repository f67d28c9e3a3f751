"""Faults of the endpoint list: an agent that does not respond, incomplete lines, and a list over several lines."""

import asyncio
import json
import os
from typing import Any

import pytest

from gateusher.config import platform
from gateusher.daemon import Sidecar
from gateusher.discovery import catalog
from gateusher.discovery.call import DiscoveryCall

from ..helpers import HANG_TIMEOUT_S, wait_until
from ..net import (
    Endpoint,
    Reader,
    RunningSidecar,
    Writer,
    configuration,
    host_entry,
    idempotent_request,
    read_message,
)

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def list_update(seq: int, *hosts: dict[str, Any], complete: bool = False, indent: int | None = None) -> bytes:
    return json.dumps({"seq": seq, "whole": complete, "hosts": list(hosts)}, indent=indent).encode() + b"\n"


class Agent:
    """An agent that serves the endpoint list; the test responds to each call."""

    def __init__(self) -> None:
        self.calls: asyncio.Queue[tuple[bytes, Writer]] = asyncio.Queue()

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        try:
            while True:
                head, _ = await read_message(reader)
                await self.calls.put((head.split(b"\r\n")[0], writer))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def next_call(self) -> tuple[bytes, Writer]:
        """Return the request line and the writer of the next call, which the sidecar may have replaced already."""
        return await asyncio.wait_for(self.calls.get(), HANG_TIMEOUT_S)

    async def next_open_call(self, sidecar: Sidecar) -> tuple[bytes, Writer]:
        """Return the next call that the sidecar has not replaced by another one.

        A sidecar calls again if a call gets no response in time, which a slow machine delays.  What the test writes
        before it awaits anything is received: the sidecar reads the data of a call before it replaces the call.
        """
        while True:
            line, writer = await self.next_call()
            if writer.get_extra_info("peername") in open_call_addresses(sidecar):
                return line, writer


def followed_discovery(sidecar: Sidecar) -> catalog.Discovery:
    """Return the part of the sidecar that follows the agent's list."""
    assert isinstance(sidecar.discovery, catalog.Discovery)
    return sidecar.discovery


def open_call_addresses(sidecar: Sidecar) -> list[tuple[str, int]]:
    """Return the local addresses of the calls that the sidecar keeps open."""
    transports = [call._transport for call in followed_discovery(sidecar)._open_calls.values()]
    return [transport.get_extra_info("sockname") for transport in transports if transport]


def run_with_agent(mode: str, test: Any, grace_ms: float = 1000.0, heartbeat_timeout_s: float | None = None) -> None:
    """Run a test with a sidecar, two endpoints and an agent, in the discovery mode "push" or "ask".

    `heartbeat_timeout_s` replaces the mode's time after which a watch counts as silent.
    """

    async def run() -> None:
        agent, endpoints = Agent(), [Endpoint(), Endpoint()]
        for endpoint in endpoints:
            await endpoint.start()
        conf = configuration([host_entry(f"e{i}", e.port) for i, e in enumerate(endpoints)], await agent.start())
        conf["settings"]["discovery"] = mode
        conf["settings"]["rules"] |= {"stop_sending_within_ms": grace_ms, "must_ask_in_ms": 100.0}
        sidecar = Sidecar(platform.parse(conf, {})._replace(listen=("127.0.0.1", 0)))
        if heartbeat_timeout_s is not None:
            scheduler = followed_discovery(sidecar).scheduler
            scheduler.policy = scheduler.policy._replace(heartbeat_timeout_s=heartbeat_timeout_s)
        try:
            await test(RunningSidecar(sidecar), agent, endpoints)
        finally:
            sidecar.close()
            for server in (agent.server, *(e.server for e in endpoints)):
                server.close()

    asyncio.run(run())


async def wait_for_list_version(sidecar: Sidecar, seq: int) -> None:
    await wait_until(lambda: sidecar.discovery.list_version >= seq)


async def check_first_endpoint_is_unused(r: RunningSidecar, endpoints: list[Endpoint]) -> None:
    """Check that requests go only to the second endpoint, because the first is draining."""
    before = len(endpoints[0].request_heads)
    for i in range(12):
        head, _ = await r.request(idempotent_request(f"d{i}"))
        assert head.startswith(b"HTTP/1.1 200")
    assert len(endpoints[0].request_heads) == before


def test_a_pushed_list_takes_effect_from_the_start_though_the_balancer_has_not_polled() -> None:
    """With pushed lists, an update counts as notified once the agent has it, even without a watch (STANDING)."""

    async def test(r: RunningSidecar, agent: Agent, endpoints: list[Endpoint]) -> None:
        line, writer = await agent.next_open_call(r.sidecar)
        assert line == b"GET /catalog/members?watch=1&from=1 HTTP/1.1"
        writer.write(HEAD + chunk(list_update(2, host_entry("e0", endpoints[0].port, "Terminating"))))
        await wait_for_list_version(r.sidecar, 2)
        await check_first_endpoint_is_unused(r, endpoints)

    run_with_agent("push", test)


@pytest.mark.parametrize("fault", ["silent", "reset", "refused"])
def test_an_agent_that_fails_is_called_again_until_it_responds(fault: str) -> None:
    """Updates during its outage count as notified as soon as it is back: a growing backoff would use up the grace."""

    async def test(r: RunningSidecar, agent: Agent, endpoints: list[Endpoint]) -> None:
        for _ in range(6):
            _, writer = await agent.next_open_call(r.sidecar)
            if fault == "reset":
                writer.transport.abort()
            elif fault == "refused":
                writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
        _, writer = await agent.next_open_call(r.sidecar)
        writer.write(HEAD + chunk(list_update(2, host_entry("e0", endpoints[0].port, "Terminating"))))
        await wait_for_list_version(r.sidecar, 2)
        await check_first_endpoint_is_unused(r, endpoints)

    run_with_agent("push", test, grace_ms=400.0)


@pytest.mark.parametrize("indent", [0, 1, 4])
@pytest.mark.parametrize("mode", ["push", "ask"])
def test_a_list_on_a_watch_may_be_indented_and_fragmented(mode: str, indent: int) -> None:
    async def test(r: RunningSidecar, agent: Agent, endpoints: list[Endpoint]) -> None:
        _, writer = await agent.next_open_call(r.sidecar)
        entry = {**host_entry("e0", endpoints[0].port, "Terminating"), "note": 'a "{[" \\ text'}
        text = list_update(2, entry, indent=indent)
        discovery = followed_discovery(r.sidecar)
        call_count = discovery.scheduler._call_count
        for cut in range(0, len(text), 7):
            writer.write((HEAD if cut == 0 else b"") + chunk(text[cut : cut + 7]))
        await wait_for_list_version(r.sidecar, 2)
        (watch,) = discovery._open_calls.values()
        writer.write(chunk(list_update(3)))
        await wait_for_list_version(r.sidecar, 3)
        assert list(discovery._open_calls.values()) == [watch]
        assert discovery.scheduler._call_count == call_count  # no other call began since the first fragment
        await check_first_endpoint_is_unused(r, endpoints)

    run_with_agent(mode, test, heartbeat_timeout_s=2.0 * HANG_TIMEOUT_S)


def test_an_incomplete_line_does_not_keep_a_watch_alive() -> None:
    """If any byte reset the idle timeout, a watch that never completes a line would keep the list stale forever."""

    async def test(r: RunningSidecar, agent: Agent, endpoints: list[Endpoint]) -> None:
        _, writer = await agent.next_open_call(r.sidecar)
        writer.write(HEAD + chunk(b"\n"))
        await wait_until(lambda: followed_discovery(r.sidecar).scheduler.watch)

        async def trickle() -> None:
            while True:
                writer.write(chunk(b'{"seq": 1, "whole": false, "no'))
                await asyncio.sleep(0.02)

        task = asyncio.create_task(trickle())
        _, again = await agent.next_open_call(r.sidecar)
        again.write(HEAD + chunk(list_update(2, host_entry("e0", endpoints[0].port, "Terminating"))))
        await wait_for_list_version(r.sidecar, 2)
        task.cancel()
        await check_first_endpoint_is_unused(r, endpoints)

    run_with_agent("ask", test)


@pytest.mark.parametrize("next_data", [b"\n", list_update(3), b""])
def test_a_truncated_list_is_polled_completely(next_data: bytes, caplog: pytest.LogCaptureFixture) -> None:
    """A line ends in the middle of a list, followed by a heartbeat, another list or nothing."""

    async def test(r: RunningSidecar, agent: Agent, endpoints: list[Endpoint]) -> None:
        _, writer = await agent.next_open_call(r.sidecar)
        text = list_update(2, host_entry("e0", endpoints[0].port, "Terminating"))
        writer.write(HEAD + chunk(text[: len(text) // 2] + b"\n" + next_data))
        if not next_data:
            line, again = await agent.next_open_call(r.sidecar)
            assert line.startswith(b"GET /catalog/members")
            again.write(HEAD + chunk(list_update(4, host_entry("e0", endpoints[0].port, "Terminating"))))
        else:
            line, again = await agent.next_open_call(r.sidecar)
            assert line == b"GET /catalog/members HTTP/1.1"
            body = list_update(
                4,
                host_entry("e0", endpoints[0].port, "Terminating"),
                host_entry("e1", endpoints[1].port),
                complete=True,
            )
            again.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        await wait_for_list_version(r.sidecar, 4)
        await check_first_endpoint_is_unused(r, endpoints)

    run_with_agent("ask", test)
    log = [record.getMessage() for record in caplog.records if record.name == "gateusher"]
    assert any("watch ended" in line for line in log) and not any("Traceback" in line for line in log)


def test_a_queued_call_to_a_new_address_is_not_abandoned() -> None:
    """If it were closed after 1.5 s and repeated, it would join the end of the service's queue each time."""

    async def test(r: RunningSidecar, agent: Agent, endpoints: list[Endpoint]) -> None:
        _, writer = await agent.next_open_call(r.sidecar)
        writer.write(HEAD + chunk(list_update(2)))
        await wait_for_list_version(r.sidecar, 2)
        other = Agent()
        r.sidecar.discovery.change_address(("127.0.0.1", await other.start()))  # type: ignore[union-attr]
        try:
            _, first = await other.next_open_call(r.sidecar)
            line, second = await other.next_open_call(r.sidecar)
            assert line == b"GET /catalog/members HTTP/1.1"
            body = list_update(
                1,
                host_entry("e0", endpoints[0].port, "Terminating"),
                host_entry("e1", endpoints[1].port),
                complete=True,
            )
            first.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            line, again = await other.next_call()
            assert again is first and line == b"GET /catalog/members?watch=1&from=1 HTTP/1.1"
            await check_first_endpoint_is_unused(r, endpoints)
            await asyncio.wait_for(second.wait_closed(), HANG_TIMEOUT_S)
        finally:
            other.server.close()

    run_with_agent("ask", test)


def test_unread_data_is_not_taken_for_a_silent_watch() -> None:
    """After a pause of the process, the idle timer fires before the list in the socket is read."""

    async def test(r: RunningSidecar, agent: Agent, endpoints: list[Endpoint]) -> None:
        _, writer = await agent.next_open_call(r.sidecar)
        writer.write(HEAD + chunk(list_update(2)))
        await wait_for_list_version(r.sidecar, 2)
        discovery = followed_discovery(r.sidecar)
        (watch,) = discovery._open_calls.values()
        os.write(
            writer.get_extra_info("socket").fileno(),
            chunk(list_update(3, host_entry("e0", endpoints[0].port, "Terminating"))),
        )
        discovery.scheduler.due_s = 0.0
        discovery.sweep()
        assert list(discovery._open_calls.values()) == [watch]
        await wait_for_list_version(r.sidecar, 3)
        discovery.scheduler.due_s = 0.0
        discovery.sweep()
        assert len(discovery._open_calls) == 2  # nothing is unread now, so a second call is opened
        await check_first_endpoint_is_unused(r, endpoints)

    run_with_agent("ask", test)


def test_a_watch_that_is_closed_while_it_connects_sends_nothing() -> None:
    """The address of discovery changes while the connection to the old one is established; no call is sent on it."""

    async def test(r: RunningSidecar, agent: Agent, endpoints: list[Endpoint]) -> None:
        await agent.next_open_call(r.sidecar)
        discovery = followed_discovery(r.sidecar)
        events: list[object] = []
        watch = DiscoveryCall(discovery, 0)

        class Transport:
            def write(self, data: bytes) -> None:
                events.append(data)

            def abort(self) -> None:
                events.append("aborted")

        watch.close()
        watch.connection_made(Transport())  # type: ignore[arg-type]
        assert events == ["aborted"]

    run_with_agent("push", test)
