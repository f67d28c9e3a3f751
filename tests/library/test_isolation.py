"""Isolation: two gateways in one process, forks, closed loops, threads, and process-wide state."""

import asyncio
import logging
import os
import signal
import subprocess
import sys
import threading
from contextlib import suppress
from pathlib import Path

import pytest
import uvloop

from gateusher import Budget, Conflict, Gateway, InvalidRequest, Refused, Unusable, blocking
from gateusher.base.limits import SPARE_DESCRIPTORS
from gateusher.client import deadline
from gateusher.node import BODY_MEMORY_DIVISOR
from gateusher.standins.nodes import Fleet, Node, Stall

from ..helpers import wait_until
from .rig import config, open_fleet, rig, run


def test_two_gateways_on_one_loop_share_nothing() -> None:
    async def test() -> None:
        async with (
            open_fleet() as (one, nodes_one),
            open_fleet() as (two, nodes_two),
            Gateway(config(*nodes_one)) as a,
            Gateway(config(*nodes_two, classes={"other": {"effect": "unsafe", "aim": 1.0, "deadline": 2.0}})) as b,
        ):
            one.add_behaviors("same", Stall())
            task = asyncio.create_task(a.request("issue", request_id="same"))
            await one.wait_for_arrival("same")
            assert (await b.request("other", request_id="same")).body == b"same"  # request ids are per gateway
            with pytest.raises(InvalidRequest):
                await b.request("issue")
            with pytest.raises(Conflict):
                await a.request("issue", request_id="same")
            one.release("same")
            await task
            assert (one.requests_by_node.total(), two.requests_by_node.total()) == (1, 1)

    run(test())


def test_random_draws_depend_only_on_the_own_seed() -> None:
    async def test() -> None:
        async with open_fleet(4) as (_, nodes):

            async def draws(others: int) -> list[float]:
                async with Gateway(config(*nodes)) as a, Gateway(config(*nodes, seed=99)) as b:
                    for n in range(others):
                        await b.request("look", request_id=f"b{n}")
                    assert a._node
                    return [a._node.engine._balancer.context.random() for _ in range(5)]

            assert await draws(0) == await draws(20)

    run(test())


def test_two_loops_in_two_threads_and_one_closes_with_its_gateway_open() -> None:
    ended, errors = threading.Event(), list[BaseException]()
    gateways: list[Gateway] = []

    def first() -> None:
        async def test() -> None:
            async with open_fleet() as (_, nodes):
                gateway = Gateway(config(*nodes))
                await gateway.start()
                gateways.append(gateway)
                await gateway.request("issue", request_id="a")

        loop = asyncio.new_event_loop()
        try:
            loop.run_until_complete(test())
        except BaseException as error:
            errors.append(error)
        finally:
            loop.close()  # with the gateway still open
            ended.set()

    async def second() -> None:
        async with rig() as r:
            await r.gateway.request("issue", request_id="a")
            thread = threading.Thread(target=first)
            thread.start()
            await asyncio.to_thread(ended.wait)
            thread.join()
            for n in range(20):
                await r.gateway.request("issue", request_id=f"b{n}")
            with pytest.raises(Unusable, match="another event loop"):
                await gateways[0].request("issue")

    run(second(), uvloop.new_event_loop)
    assert not errors


def test_shared_budget_limits_both_and_is_released() -> None:
    async def test() -> None:
        budget = Budget(memory_mb=BODY_MEMORY_DIVISOR * 100_000 / 1048576, sockets=SPARE_DESCRIPTORS + 3)
        async with rig(budget=budget) as one, rig(budget=budget) as two:
            for r in (one, two):
                r.fleet.add_behaviors("r", Stall())
            first = one.start_request(body=b"x" * 60_000)
            await one.fleet.wait_for_arrival("r")
            with pytest.raises(Refused):  # the other gateway uses 60,000 of 100,000 bytes
                await two.gateway.request("issue", body=b"x" * 60_000)
            second = two.start_request(body=b"x" * 30_000)
            await two.fleet.wait_for_arrival("r")
            assert (budget.memory.used, budget.sockets.used) == (90_000, 2)
            for r, task in ((one, first), (two, second)):
                r.fleet.release("r")
                await task
            assert (budget.memory.used, one.node.memory.in_use, two.node.memory.in_use) == (0, 0, 0)
        assert budget.sockets.used == 0

    run(test())


def test_gateway_in_a_forked_child_raises_unusable() -> None:
    async def test() -> None:
        async with rig() as r:
            await r.gateway.request("issue", request_id="a")
            reader, writer = os.pipe()
            pid = os.fork()
            if pid == 0:  # the child: report the result and exit without running the parent's clean-up
                reported = b"nothing"
                with suppress(BaseException):
                    try:
                        coroutine = r.gateway.request("issue", request_id="b")
                        coroutine.send(None)
                    except Unusable as error:
                        reported = str(error).encode()
                    close = r.gateway.close()
                    with suppress(StopIteration):
                        close.send(None)
                        reported += b" and close did something"
                os.write(writer, reported)
                os._exit(0)
            os.close(writer)
            reported = await asyncio.to_thread(os.read, reader, 1000)
            os.close(reader)
            os.waitpid(pid, 0)
            assert reported.startswith(f"the gateway belongs to process {os.getpid()}, which forked".encode())
            assert b"close did" not in reported
            assert (await r.gateway.request("issue", request_id="c")).body == b"c"
            # No connection was closed.
            assert r.nodes[0].open_connections == r.nodes[0].accepted_connections and not r.fleet.attempts["b"]

    run(test())


def test_process_wide_state_is_unchanged() -> None:
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    policy, root = asyncio.get_event_loop_policy(), list(logging.getLogger().handlers)

    async def test() -> None:
        handlers = [signal.getsignal(s) for s in numbers]
        async with rig() as r:
            await r.gateway.request("issue")
            assert handlers == [signal.getsignal(s) for s in numbers]
        assert handlers == [signal.getsignal(s) for s in numbers]

    run(test())
    assert asyncio.get_event_loop_policy() is policy
    assert logging.getLogger().handlers == root


def test_import_loads_no_optional_dependencies() -> None:
    code = (
        "import sys, gateusher; gateusher.Gateway; gateusher.ConfigError\n"
        "optional = {'httpx', 'starlette', 'fastapi', 'rich', 'msgspec', 'pydantic', 'aiohttp', 'uvloop'}\n"
        "print(sorted(optional & set(sys.modules)))\n"
        "import gateusher.asgi\nprint(sorted(optional & set(sys.modules)))"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, cwd=Path(__file__).parents[2]
    )
    assert done.stdout.split() == ["[]", "[]"]


def test_gateway_that_is_not_open_raises_unusable() -> None:
    async def test() -> None:
        async with open_fleet() as (_, nodes):
            gateway = Gateway(config(*nodes))
            with pytest.raises(Unusable, match="not open"):
                await gateway.request("issue")
            async with gateway:
                with pytest.raises(Unusable, match="before"):
                    await gateway.start()
            with pytest.raises(Unusable, match="ended"):
                await gateway.request("issue")

    run(test())


# -- threads


class NodeThread:
    """A node on a loop in its own thread, for blocking callers."""

    def __enter__(self) -> "NodeThread":
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()
        self.fleet = Fleet()
        self.node = Node(self.fleet, "n0")
        asyncio.run_coroutine_threadsafe(self.node.start(), self.loop).result(10)
        return self

    def __exit__(self, *_: object) -> None:
        self.loop.call_soon_threadsafe(self.node.kill)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


@pytest.mark.parametrize("loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_threads_share_a_blocking_gateway(loop_factory: object) -> None:
    with (
        NodeThread() as node_thread,
        blocking.Gateway(config(node_thread.node), loop_factory=loop_factory) as gateway,  # type: ignore
    ):
        bodies: list[bytes] = []

        def work(name: int) -> None:
            for n in range(10):
                bodies.append(gateway.request("issue", request_id=f"t{name}-{n}", body=[b"a", b"b"]).body)

        threads = [threading.Thread(target=work, args=(i,)) for i in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert sorted(bodies) == sorted(f"t{i}-{n}".encode() for i in range(8) for n in range(10))
        assert set(node_thread.fleet.effects.values()) == {1}
        assert node_thread.fleet.requests["t0-0"][0].body == b"ab"
        with pytest.raises(InvalidRequest):
            gateway.request("strange")
        with deadline(0.2):  # inherited by this thread only
            gateway.request("issue", request_id="d")
        assert float(node_thread.fleet.requests["d"][0].headers["x-deadline"]) <= 0.19
    with pytest.raises(Unusable):
        gateway.request("issue")
    assert not [t for t in threading.enumerate() if t.name == "gateusher"]


def test_a_blocking_gateway_after_fork() -> None:
    with NodeThread() as node_thread, blocking.Gateway(config(node_thread.node)) as gateway:
        reader, writer = os.pipe()
        pid = os.fork()
        if pid == 0:
            reported = b"nothing"
            with suppress(BaseException):
                try:
                    gateway.request("issue")
                except Unusable as error:
                    reported = str(error).encode()
                gateway.close()
            os.write(writer, reported)
            os._exit(0)
        os.close(writer)
        assert b"forked" in os.read(reader, 1000)
        os.close(reader)
        os.waitpid(pid, 0)
        assert gateway.request("issue", request_id="x").body == b"x"


def test_gateway_that_is_never_closed_does_not_block_exit() -> None:
    """A gateway that is never closed does not keep its loop from ending."""

    async def test() -> None:
        async with open_fleet() as (_, nodes):
            gateway = Gateway(config(*nodes))
            await gateway.start()
            await gateway.request("issue")
            assert gateway._node
            node = gateway._node
            await wait_until(lambda: not node.engine.requests)

    run(test())
