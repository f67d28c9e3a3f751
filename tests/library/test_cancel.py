"""Effects of a cancelled caller at every stage of a request."""

import asyncio
import gc
import os
from collections.abc import AsyncIterator, Callable
from contextlib import suppress

import pytest
import uvloop

from gateusher import Conflict, DeadlineExceeded, Failed, Gateway, InvalidRequest, Unusable
from gateusher.client import deadline
from gateusher.config.file import parse
from gateusher.policy.interface import Outcome
from gateusher.standins.nodes import RejectRequest, Reply, Reset, Stall, UnresponsiveAddress

from ..helpers import wait_until
from .rig import CLASSES, config, is_idle, open_fleet, rig, run

LOOPS = [asyncio.new_event_loop, uvloop.new_event_loop]


def test_cancelled_request_is_settled_once_with_its_outcome() -> None:
    async def test() -> None:
        async with rig() as r:
            r.fleet.add_behaviors("r", Stall())
            task = r.start_request()
            await r.fleet.wait_for_arrival("r")
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            assert not r.settled
            with pytest.raises(Conflict):
                await r.gateway.request("issue", request_id="r")
            r.fleet.release("r")
            await wait_until(lambda: is_idle(r.gateway))
            assert [tuple(s) for s in r.settled] == [("r", "issue", "served", True)]
            assert (r.fleet.attempts["r"], r.fleet.effects["r"]) == (1, 1)
            # The connection outlives the cancellation.
            assert (r.nodes[0].open_connections, r.nodes[0].accepted_connections) == (1, 1)
            await r.gateway.request("issue", request_id="r2")

    run(test())


@pytest.mark.parametrize("cls", ["look", "issue"])
def test_no_retry_starts_between_a_cancellation_and_the_callers_next_step(cls: str) -> None:
    async def test() -> None:
        async with rig(2) as r:
            r.fleet.add_behaviors("r", Stall())
            task = r.start_request(cls)
            await r.fleet.wait_for_arrival("r")
            (request,) = r.node.engine.requests.values()
            (attempt,) = request.attempts.values()
            task.cancel()
            r.node.upstream.abort_attempt(attempt, Outcome.REJECTED)
            assert not request.attempts
            assert not r.node.engine.requests
            with pytest.raises(asyncio.CancelledError):
                await task
            assert [tuple(s) for s in r.settled] == [("r", cls, "not sent", False)]
            assert r.fleet.attempts["r"] == 1

    run(test())


def test_second_cancellation_has_no_effect() -> None:
    async def test() -> None:
        async with rig() as r:
            r.fleet.add_behaviors("r", Stall())
            cancellation_received = asyncio.Event()

            async def caller() -> None:
                try:
                    await r.gateway.request("issue", request_id="r")
                finally:
                    cancellation_received.set()
                    await asyncio.sleep(60)  # the application's own clean-up

            task = asyncio.create_task(caller())
            await r.fleet.wait_for_arrival("r")
            task.cancel()
            await cancellation_received.wait()
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            r.fleet.release("r")
            await wait_until(lambda: is_idle(r.gateway))
            assert [s.outcome for s in r.settled] == ["served"]
            assert r.fleet.effects["r"] == 1

    run(test())


@pytest.mark.parametrize("loop", LOOPS)
def test_response_and_cancellation_in_one_loop_iteration(loop: Callable[[], asyncio.AbstractEventLoop]) -> None:
    """The task is cancelled after the response arrived and before it resumes: the outcome is not lost."""

    async def test() -> None:
        async with rig() as r:
            r.fleet.add_behaviors("r", Stall())
            task = r.start_request()
            await r.fleet.wait_for_arrival("r")
            (request,) = r.node.engine.requests.values()
            deliver_response = request.client.on_final_response
            cancel_results = []

            class CancelOnResponse:
                def on_final_response(self, request: object, final: object) -> None:
                    deliver_response(request, final)
                    cancel_results.append(task.cancel())

                def is_disconnected(self, request: object) -> bool:
                    return False

                def on_released(self, request: object) -> None: ...

            request.client = CancelOnResponse()
            r.fleet.release("r")
            with pytest.raises(asyncio.CancelledError):
                await task
            assert cancel_results == [True]
            await wait_until(lambda: is_idle(r.gateway))
            assert [tuple(s) for s in r.settled] == [("r", "issue", "served", True)]

    run(test(), loop)


def test_timeout_fires_in_the_loop_iteration_of_the_response() -> None:
    async def test() -> None:
        async with rig() as r:
            r.fleet.add_behaviors("r", Stall())
            scopes: list[asyncio.Timeout] = []

            async def caller() -> str:
                try:
                    async with asyncio.timeout(60) as scope:
                        scopes.append(scope)
                        await r.gateway.request("issue", request_id="r")
                    return "responded"
                except TimeoutError:
                    return "timed out"

            task = asyncio.create_task(caller())
            await r.fleet.wait_for_arrival("r")
            (request,) = r.node.engine.requests.values()
            deliver_response = request.client.on_final_response

            class ExpireOnResponse:
                def on_final_response(self, request: object, final: object) -> None:
                    deliver_response(request, final)
                    # Fires among the timers of this iteration.
                    scopes[0].reschedule(asyncio.get_running_loop().time())

                def is_disconnected(self, request: object) -> bool:
                    return False

                def on_released(self, request: object) -> None: ...

            request.client = ExpireOnResponse()
            r.fleet.release("r")
            result = await task
            await wait_until(lambda: is_idle(r.gateway))
            # The outcome is reported once: by the response or by on_settled, whichever came first.
            assert (result, [s.outcome for s in r.settled]) in (("responded", []), ("timed out", ["served"]))
            assert r.fleet.effects["r"] == 1

    run(test())


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("turns", range(8))
def test_cancelled_some_loop_iterations_after_start(
    turns: int, loop: Callable[[], asyncio.AbstractEventLoop]
) -> None:
    """Covers cancellation before the first step, before and during the dial, and with the request sent."""

    async def test() -> None:
        async with rig() as r:
            task = r.start_request()
            for _ in range(turns):
                await asyncio.sleep(0)
            if not task.cancel():
                return
            with suppress(asyncio.CancelledError):
                await task
            await wait_until(lambda: is_idle(r.gateway))
            assert r.fleet.effects["r"] <= 1
            if turns < 2:
                assert not r.fleet.attempts
            for s in r.settled:
                assert s.may_have_run or not r.fleet.effects["r"]
            await wait_until(
                lambda: r.node.descriptors.used == len(r.node.upstream._connections) == r.nodes[0].open_connections
            )
            assert (await r.gateway.request("issue", request_id="next")).body == b"next"

    run(test(), loop)


def test_cancelled_while_the_body_is_read() -> None:
    async def test() -> None:
        async with rig() as r:
            body_started = asyncio.Event()

            async def body() -> AsyncIterator[bytes]:
                yield b"ab"
                body_started.set()
                await asyncio.sleep(60)

            task = r.start_request(body=body())
            await body_started.wait()
            with pytest.raises(Conflict):
                await r.gateway.request("issue", request_id="r")
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            assert not r.fleet.attempts and is_idle(r.gateway)

    run(test())


def test_body_from_an_iterator() -> None:
    async def test() -> None:
        async with rig() as r:

            async def body(parts: int, size: int = 3) -> AsyncIterator[bytes]:
                for _ in range(parts):
                    await asyncio.sleep(0)
                    yield b"x" * size

            await r.gateway.request("issue", request_id="r", body=body(5))
            assert r.fleet.requests["r"][0].body == b"x" * 15
            with pytest.raises(InvalidRequest):
                await r.gateway.request("issue", request_id="long", body=body(2, 40000))

            async def never() -> AsyncIterator[bytes]:
                await asyncio.sleep(60)
                yield b""

            with pytest.raises(DeadlineExceeded) as caught:
                await r.gateway.request("issue", request_id="late", body=never(), deadline=0.05)
            assert not caught.value.may_have_run
            assert list(r.fleet.attempts) == ["r"] and is_idle(r.gateway)

    run(test())


def test_exception_in_on_settled_has_no_effect() -> None:
    async def test() -> None:
        async with open_fleet() as (fleet, nodes):

            def fail(_: object) -> None:
                raise RuntimeError("raised by the application")

            async with Gateway(config(*nodes), on_settled=fail) as gateway:
                fleet.add_behaviors("r", Stall())
                task = asyncio.create_task(gateway.request("issue", request_id="r"))
                await fleet.wait_for_arrival("r")
                task.cancel()
                with pytest.raises(asyncio.CancelledError):
                    await task
                fleet.release("r")
                await wait_until(lambda: is_idle(gateway))
                assert (await gateway.request("issue", request_id="next")).body == b"next"

    run(test())


@pytest.mark.parametrize("loop", LOOPS)
def test_thousand_cancelled_requests_release_everything(loop: Callable[[], asyncio.AbstractEventLoop]) -> None:
    async def test() -> None:
        async with rig() as r:  # a loop keeps one or two descriptors of its own after its first listener
            await r.gateway.request("issue")
        before_fds = len(os.listdir("/proc/self/fd"))
        async with rig(2, limits={"connect_timeout": 60.0}) as r:  # no dial times out on a busy machine
            initial_tasks = asyncio.all_tasks()
            tasks = []
            for n in range(1000):
                request_id = f"r{n}"
                r.fleet.add_behaviors(
                    request_id, *[(Stall(),), (RejectRequest(),) * 9, (Reset(),), (Reply(delay_s=0.01),), ()][n % 5]
                )
                tasks.append(
                    r.start_request(("look", "issue")[n % 2], request_id, deadline=60, body=b"x" * (n % 2) * 100)
                )
            await wait_until(lambda: sum(r.fleet.attempts.values()) > 100)
            for task in tasks:
                task.cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
            cancelled = {f"r{n}" for n, x in enumerate(results) if isinstance(x, asyncio.CancelledError)}
            assert len(cancelled) > 500

            def released() -> bool:
                """Release all stalled requests; repeated, as some may have been written and not read yet."""
                for n in range(0, 1000, 5):
                    r.fleet.release(f"r{n}")
                return is_idle(r.gateway)

            await wait_until(released)
            await wait_until(lambda: asyncio.all_tasks() - initial_tasks <= {t for n in r.nodes for t in n._tasks})
            assert sorted(s.request_id for s in r.settled) == sorted(cancelled)  # each is settled once
            # Requests of the unsafe class are executed once.
            assert all(n == 1 for request_id, n in r.fleet.effects.items() if int(request_id[1:]) % 2)
            await wait_until(lambda: not r.node.engine._policy_timers)
            node = r.node
        assert node.descriptors.used == 0 and node.memory.in_use == 0
        gc.collect()
        await wait_until(lambda: len(os.listdir("/proc/self/fd")) <= before_fds)

    run(test(), loop)


def test_close_waits_for_open_requests_and_accepts_no_new_ones() -> None:
    async def test() -> None:
        async with open_fleet() as (fleet, nodes):
            fleet.add_behaviors("r", Stall())
            async with Gateway(config(*nodes)) as gateway:
                task = asyncio.create_task(gateway.request("issue", request_id="r"))
                await fleet.wait_for_arrival("r")
                ending = asyncio.create_task(gateway.close())
                await asyncio.sleep(0)
                with pytest.raises(Unusable):
                    await gateway.request("issue")
                fleet.release("r")
                await ending
                assert (await task).body == b"r"
            assert gateway._node and gateway._node.descriptors.used == 0

    run(test())


def test_requests_open_after_the_drain_fail_and_are_settled() -> None:
    async def test() -> None:
        async with open_fleet() as (fleet, nodes):
            fleet.add_behaviors("r", Stall())
            fleet.add_behaviors("left", Stall())
            settled = []
            gateway = Gateway(config(*nodes, limits={"drain": 0.05}), on_settled=settled.append)
            await gateway.start()
            task = asyncio.create_task(gateway.request("issue", request_id="r"))
            cancelled = asyncio.create_task(gateway.request("issue", request_id="left"))
            await fleet.wait_for_arrival("r")
            await fleet.wait_for_arrival("left")
            cancelled.cancel()
            await gateway.close()
            with pytest.raises(Failed) as caught:
                await task
            assert caught.value.may_have_run
            assert [(s.request_id, s.outcome, s.may_have_run) for s in settled] == [("left", "failed", True)]
            assert gateway._node and gateway._node.descriptors.used == 0

    run(test())


def test_cancelled_close_ends_immediately() -> None:
    async def test() -> None:
        async with open_fleet() as (fleet, nodes):
            fleet.add_behaviors("r", Stall())
            request_arrived = asyncio.Event()
            gateway = Gateway(config(*nodes))

            async def application() -> None:
                async with gateway:
                    tasks.append(asyncio.create_task(gateway.request("issue", request_id="r")))
                    await fleet.wait_for_arrival("r")
                    request_arrived.set()

            tasks: list[asyncio.Task[object]] = []
            task = asyncio.create_task(application())
            await request_arrived.wait()
            await asyncio.sleep(0)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            with pytest.raises(Failed):
                await tasks[0]
            assert gateway._node
            await wait_until(lambda: gateway._node.descriptors.used == 0)  # type: ignore[union-attr]
            assert not gateway._node.engine._policy_timers and not gateway._node.engine.requests
            await gateway.close()  # a second call has nothing to do

    run(test())


def test_request_never_exceeds_the_inherited_deadline() -> None:
    async def test() -> None:
        async with rig() as r:
            with deadline(0.5):
                await r.gateway.request("issue", request_id="a", deadline=5.0)
                with deadline(9.0):  # an inner block can't extend the deadline
                    await r.gateway.request("issue", request_id="b")
            await r.gateway.request("issue", request_id="c", deadline=0.9)
            deadlines_s = {
                request_id: float(r.fleet.requests[request_id][0].headers["x-deadline"]) for request_id in "abc"
            }
            assert deadlines_s["a"] <= 0.49 and deadlines_s["b"] <= 0.49 < deadlines_s["c"]  # less a margin of 10 ms
            with deadline(0.005), pytest.raises(DeadlineExceeded) as caught:
                await r.gateway.request("issue", request_id="d")
            assert not caught.value.may_have_run and not r.fleet.attempts["d"]

    run(test())


def test_dial_ends_with_the_deadline_of_its_request() -> None:
    """A shutdown moves the deadline before the attempt's own timeout: the dial must not outlive it."""

    async def test() -> None:
        unresponsive = UnresponsiveAddress()
        try:
            conf = parse(
                {
                    "classes": CLASSES,
                    "nodes": [{"name": "s", "address": f"127.0.0.1:{unresponsive.port}"}],
                    "limits": {"connect_timeout": 60.0},
                }
            )
            async with Gateway(conf) as gateway:
                node = gateway._node
                assert node
                task = asyncio.create_task(gateway.request("issue", deadline=60.0))
                await wait_until(lambda: bool(node.upstream._connections))
                node.engine.end_by(node.clock.now_ms() + 20)
                with pytest.raises(DeadlineExceeded) as caught:
                    await task
                assert not caught.value.may_have_run
                await wait_until(lambda: is_idle(gateway) and not node.upstream._connections)
                assert node.descriptors.used == 0
        finally:
            unresponsive.close()

    run(test())
