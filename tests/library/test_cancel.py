"""What a cancel of the caller does and doesn't do, at every moment of a request."""

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
from .rig import CLASSES, at_rest, config, fleet_of, rig, run

LOOPS = [asyncio.new_event_loop, uvloop.new_event_loop]


def test_a_cancelled_issue_is_settled_once_with_what_became_of_it() -> None:
    async def test() -> None:
        async with rig() as r:
            r.fleet.add_behaviors("r", Stall())
            task = r.ask()
            await r.fleet.wait_for_arrival("r")
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            assert not r.settled
            with pytest.raises(Conflict):
                await r.gateway.request("issue", request_id="r")
            r.fleet.release("r")
            await wait_until(lambda: at_rest(r.gateway))
            assert [tuple(s) for s in r.settled] == [("r", "issue", "served", True)]
            assert (r.fleet.attempts["r"], r.fleet.effects["r"]) == (1, 1)
            assert (r.nodes[0].open_connections, r.nodes[0].accepted_connections) == (
                1,
                1,
            )  # it lived through the cancel
            await r.gateway.request("issue", request_id="r2")

    run(test())


@pytest.mark.parametrize("cls", ["look", "issue"])
def test_no_further_attempt_begins_between_a_cancel_and_the_callers_own_turn(cls: str) -> None:
    async def test() -> None:
        async with rig(2) as r:
            r.fleet.add_behaviors("r", Stall())
            task = r.ask(cls)
            await r.fleet.wait_for_arrival("r")
            (call,) = r.node.engine.requests.values()
            (attempt,) = call.attempts.values()
            call.client_seen_ms -= 100.0  # it has been waiting for a while
            task.cancel()
            r.node.upstream.abort_attempt(attempt, Outcome.REJECTED)
            assert not call.attempts
            assert not r.node.engine.requests
            with pytest.raises(asyncio.CancelledError):
                await task
            assert [tuple(s) for s in r.settled] == [("r", cls, "not sent", False)]
            assert r.fleet.attempts["r"] == 1

    run(test())


def test_a_second_cancel_changes_nothing() -> None:
    async def test() -> None:
        async with rig() as r:
            r.fleet.add_behaviors("r", Stall())
            again = asyncio.Event()

            async def caller() -> None:
                try:
                    await r.gateway.request("issue", request_id="r")
                finally:
                    again.set()
                    await asyncio.sleep(60)  # the application's own clean-up

            task = asyncio.create_task(caller())
            await r.fleet.wait_for_arrival("r")
            task.cancel()
            await again.wait()
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            r.fleet.release("r")
            await wait_until(lambda: at_rest(r.gateway))
            assert [s.outcome for s in r.settled] == ["served"]
            assert r.fleet.effects["r"] == 1

    run(test())


@pytest.mark.parametrize("loop", LOOPS)
def test_an_answer_and_a_cancel_in_one_turn_of_the_loop(loop: Callable[[], asyncio.AbstractEventLoop]) -> None:
    """The answer is there and the waiting task not woken yet when it is cancelled: the outcome isn't lost."""

    async def test() -> None:
        async with rig() as r:
            r.fleet.add_behaviors("r", Stall())
            task = r.ask()
            await r.fleet.wait_for_arrival("r")
            (call,) = r.node.engine.requests.values()
            conclude = call.client.on_final_response
            met = []

            class Both:
                def on_final_response(self, call: object, final: object) -> None:
                    conclude(call, final)
                    met.append(task.cancel())

                def is_disconnected(self, call: object) -> bool:
                    return False

                def on_released(self, call: object) -> None: ...

            call.client = Both()
            r.fleet.release("r")
            with pytest.raises(asyncio.CancelledError):
                await task
            assert met == [True]
            await wait_until(lambda: at_rest(r.gateway))
            assert [tuple(s) for s in r.settled] == [("r", "issue", "served", True)]

    run(test(), loop)


def test_a_timeout_that_fires_in_the_turn_of_the_answer() -> None:
    async def test() -> None:
        async with rig() as r:
            r.fleet.add_behaviors("r", Stall())
            scopes: list[asyncio.Timeout] = []

            async def caller() -> str:
                try:
                    async with asyncio.timeout(60) as scope:
                        scopes.append(scope)
                        await r.gateway.request("issue", request_id="r")
                    return "answered"
                except TimeoutError:
                    return "timed out"

            task = asyncio.create_task(caller())
            await r.fleet.wait_for_arrival("r")
            (call,) = r.node.engine.requests.values()
            conclude = call.client.on_final_response

            class Both:
                def on_final_response(self, call: object, final: object) -> None:
                    conclude(call, final)
                    scopes[0].reschedule(asyncio.get_running_loop().time())  # fires in this very turn's timers

                def is_disconnected(self, call: object) -> bool:
                    return False

                def on_released(self, call: object) -> None: ...

            call.client = Both()
            r.fleet.release("r")
            told = await task
            await wait_until(lambda: at_rest(r.gateway))
            # Whichever came first, it is told once: by the answer, or by on_settled.
            assert (told, [s.outcome for s in r.settled]) in (("answered", []), ("timed out", ["served"]))
            assert r.fleet.effects["r"] == 1

    run(test())


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("turns", range(8))
def test_cancelled_some_turns_after_it_began(turns: int, loop: Callable[[], asyncio.AbstractEventLoop]) -> None:
    """Before its first step, with a dial that has not begun, with one under way, with a request on the wire."""

    async def test() -> None:
        async with rig() as r:
            task = r.ask()
            for _ in range(turns):
                await asyncio.sleep(0)
            if not task.cancel():
                return
            with suppress(asyncio.CancelledError):
                await task
            await wait_until(lambda: at_rest(r.gateway))
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


def test_cancelled_while_its_body_is_being_made() -> None:
    async def test() -> None:
        async with rig() as r:
            began = asyncio.Event()

            async def body() -> AsyncIterator[bytes]:
                yield b"ab"
                began.set()
                await asyncio.sleep(60)

            task = r.ask(body=body())
            await began.wait()
            with pytest.raises(Conflict):
                await r.gateway.request("issue", request_id="r")
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            assert not r.fleet.attempts and at_rest(r.gateway)

    run(test())


def test_a_body_that_is_still_being_made() -> None:
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
            assert list(r.fleet.attempts) == ["r"] and at_rest(r.gateway)

    run(test())


def test_what_on_settled_raises_harms_nobody() -> None:
    async def test() -> None:
        async with fleet_of() as (fleet, nodes):

            def fail(_: object) -> None:
                raise RuntimeError("the application's")

            async with Gateway(config(*nodes), on_settled=fail) as gateway:
                fleet.add_behaviors("r", Stall())
                task = asyncio.create_task(gateway.request("issue", request_id="r"))
                await fleet.wait_for_arrival("r")
                task.cancel()
                with pytest.raises(asyncio.CancelledError):
                    await task
                fleet.release("r")
                await wait_until(lambda: at_rest(gateway))
                assert (await gateway.request("issue", request_id="next")).body == b"next"

    run(test())


@pytest.mark.parametrize("loop", LOOPS)
def test_a_thousand_cancelled_at_once_leave_nothing(loop: Callable[[], asyncio.AbstractEventLoop]) -> None:
    async def test() -> None:
        async with rig() as r:  # a loop keeps a descriptor or two of its own once it has listened
            await r.gateway.request("issue")
        before_fds = len(os.listdir("/proc/self/fd"))
        async with rig(2, limits={"connect_timeout": 60.0}) as r:  # no dial is late, however busy the machine is
            limit = asyncio.all_tasks()
            tasks = []
            for n in range(1000):
                rid = f"r{n}"
                r.fleet.add_behaviors(
                    rid, *[(Stall(),), (RejectRequest(),) * 9, (Reset(),), (Reply(delay_s=0.01),), ()][n % 5]
                )
                tasks.append(r.ask(("look", "issue")[n % 2], rid, deadline=60, body=b"x" * (n % 2) * 100))
            await wait_until(lambda: sum(r.fleet.attempts.values()) > 100)
            for task in tasks:
                task.cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
            cancelled = {f"r{n}" for n, x in enumerate(results) if isinstance(x, asyncio.CancelledError)}
            assert len(cancelled) > 500

            def released() -> bool:
                """What stalls may have been written and not read yet, so it is asked for again and again."""
                for n in range(0, 1000, 5):
                    r.fleet.release(f"r{n}")
                return at_rest(r.gateway)

            await wait_until(released)
            await wait_until(lambda: asyncio.all_tasks() - limit <= {t for n in r.nodes for t in n._tasks})
            assert sorted(s.request_id for s in r.settled) == sorted(cancelled)  # each once
            assert all(n == 1 for rid, n in r.fleet.effects.items() if int(rid[1:]) % 2)  # the unsafe ones
            await wait_until(lambda: not r.node.engine._policy_timers)
            node = r.node
        assert node.descriptors.used == 0 and node.memory.in_use == 0
        gc.collect()
        await wait_until(lambda: len(os.listdir("/proc/self/fd")) <= before_fds)

    run(test(), loop)


def test_the_end_waits_for_what_is_open_and_takes_nothing_new() -> None:
    async def test() -> None:
        async with fleet_of() as (fleet, nodes):
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


def test_what_is_open_past_the_end_is_failed_and_told() -> None:
    async def test() -> None:
        async with fleet_of() as (fleet, nodes):
            fleet.add_behaviors("r", Stall())
            fleet.add_behaviors("left", Stall())
            settled = []
            gateway = Gateway(config(*nodes, limits={"drain": 0.05}), on_settled=settled.append)
            await gateway.start()
            task = asyncio.create_task(gateway.request("issue", request_id="r"))
            left = asyncio.create_task(gateway.request("issue", request_id="left"))
            await fleet.wait_for_arrival("r")
            await fleet.wait_for_arrival("left")
            left.cancel()
            await gateway.close()
            with pytest.raises(Failed) as caught:
                await task
            assert caught.value.may_have_run
            assert [(s.request_id, s.outcome, s.may_have_run) for s in settled] == [("left", "failed", True)]
            assert gateway._node and gateway._node.descriptors.used == 0

    run(test())


def test_a_cancel_during_the_end_ends_it_at_once() -> None:
    async def test() -> None:
        async with fleet_of() as (fleet, nodes):
            fleet.add_behaviors("r", Stall())
            inside = asyncio.Event()
            gateway = Gateway(config(*nodes))

            async def application() -> None:
                async with gateway:
                    tasks.append(asyncio.create_task(gateway.request("issue", request_id="r")))
                    await fleet.wait_for_arrival("r")
                    inside.set()

            tasks: list[asyncio.Task[object]] = []
            task = asyncio.create_task(application())
            await inside.wait()
            await asyncio.sleep(0)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            with pytest.raises(Failed):
                await tasks[0]
            assert gateway._node
            await wait_until(lambda: gateway._node.descriptors.used == 0)  # type: ignore[union-attr]
            assert not gateway._node.engine._policy_timers and not gateway._node.engine.requests
            await gateway.close()  # again: nothing is left to do

    run(test())


def test_an_inner_call_never_gets_more_than_is_left() -> None:
    async def test() -> None:
        async with rig() as r:
            with deadline(0.5):
                await r.gateway.request("issue", request_id="a", deadline=5.0)
                with deadline(9.0):  # an inner block can't lengthen it
                    await r.gateway.request("issue", request_id="b")
            await r.gateway.request("issue", request_id="c", deadline=0.9)
            told = {rid: float(r.fleet.requests[rid][0].headers["x-deadline"]) for rid in "abc"}
            assert told["a"] <= 0.49 and told["b"] <= 0.49 < told["c"]  # less a margin of 10 ms
            with deadline(0.005), pytest.raises(DeadlineExceeded) as caught:
                await r.gateway.request("issue", request_id="d")
            assert not caught.value.may_have_run and not r.fleet.attempts["d"]

    run(test())


def test_nothing_goes_on_for_a_request_whose_deadline_came_before_its_connection() -> None:
    """The process ends, so the deadline is nearer than the attempt's own end: the dial must not outlive it."""

    async def test() -> None:
        silent = UnresponsiveAddress()
        try:
            conf = parse(
                {
                    "classes": CLASSES,
                    "nodes": [{"name": "s", "address": f"127.0.0.1:{silent.port}"}],
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
                await wait_until(lambda: at_rest(gateway) and not node.upstream._connections)
                assert node.descriptors.used == 0
        finally:
            silent.close()

    run(test())
