"""Diagnostics of a node: counts by reason, violated invariants, and the report at the admin address."""

import asyncio
import json

import pytest

from gateusher.base.diagnostics import MAX_RECENT_EVENTS, Diagnostics, Invariant
from gateusher.listeners.close_reason import CloseReason
from gateusher.policy.interface import Reject, Send
from gateusher.standins.nodes import Fleet, Node, RejectRequest, Reset, Stall

from .helpers import HANG_TIMEOUT_S
from .net import (
    at_most_once_request,
    host_entry,
    idempotent_request,
    read_message,
    run,
    run_sidecar,
    status,
    unused_address,
)


def test_events_are_counted_by_reason_and_the_latest_are_kept() -> None:
    diagnostics = Diagnostics()
    for i in range(MAX_RECENT_EVENTS + 5):
        diagnostics.note("repeat", "after reset", b"id-%d" % i)
    report = diagnostics.report()
    assert report["counts"] == {"repeat": {"after reset": MAX_RECENT_EVENTS + 5}}
    assert len(report["recent"]) == MAX_RECENT_EVENTS
    assert report["recent"][-1]["request"] == f"id-{MAX_RECENT_EVENTS + 4}"
    assert report["violations"] == {}
    json.dumps(report)


@pytest.mark.expects_violation(Invariant.NO_REPEAT_OF_WHAT_MAY_HAVE_RUN)
def test_a_violation_is_logged_and_counted(caplog: pytest.LogCaptureFixture) -> None:
    diagnostics = Diagnostics()
    diagnostics.record_violation(Invariant.NO_REPEAT_OF_WHAT_MAY_HAVE_RUN, b"x1")
    assert diagnostics.report()["violations"] == {"no_repeat_of_what_may_have_run": 1}
    assert "invariant violated" in caplog.text and "x1" in caplog.text


@pytest.mark.expects_violation(Invariant.NO_REPEAT_OF_WHAT_MAY_HAVE_RUN, Invariant.NO_REFUSAL_OF_WHAT_MAY_HAVE_RUN)
def test_unsafe_retry_and_false_rejection_by_the_policy_are_prevented() -> None:
    """The endpoint resets the connection after execution; a patched policy requests a retry, then a rejection."""

    async def scenario() -> None:
        fleet = Fleet()
        node = Node(fleet, "e0")
        await node.start()
        fleet.add_behaviors("p1", Reset())
        async with run_sidecar(known={"seq": 1, "whole": True, "hosts": [host_entry("e0", node.port)]}) as r:
            engine = r.sidecar.engine
            real_handle = engine._balancer.handle

            failed_attempts = list[object]()

            def unsafe_handle(now: float, event: object) -> list[object]:
                actions = real_handle(now, event)  # type: ignore[arg-type]
                if type(event).__name__ != "AttemptEnded" or failed_attempts:
                    return list(actions)
                failed_attempts.append(event)  # only once, as a denied attempt ends as well
                retry = Send(event.request, event.endpoint, now + 500.0)  # type: ignore[attr-defined]
                return [retry, Reject(event.request)]  # type: ignore[attr-defined]

            engine._balancer.handle = unsafe_handle  # type: ignore[assignment,method-assign]
            head, _ = await r.request(at_most_once_request("p1"))
            assert status(head) == 502
            assert fleet.effects["p1"] == 1
            assert set(engine.diagnostics.violations) == {
                Invariant.NO_REPEAT_OF_WHAT_MAY_HAVE_RUN,
                Invariant.NO_REFUSAL_OF_WHAT_MAY_HAVE_RUN,
            }
        node.kill()

    run(scenario())


def test_report_contains_the_reasons_of_retries_and_rejections() -> None:
    async def scenario() -> None:
        fleet = Fleet()
        node = Node(fleet, "e0")
        await node.start()
        fleet.add_behaviors("r1", *[RejectRequest()] * 9)
        admin = unused_address()
        async with run_sidecar(known={"seq": 1, "whole": True, "hosts": [host_entry("e0", node.port)]}) as r:
            await r.sidecar.admin.start(admin)
            assert status((await r.request(idempotent_request("ok")))[0]) == 200
            assert status((await r.request(idempotent_request("r1")))[0]) == 503
            reader, writer = await asyncio.open_connection(*admin)
            writer.write(b"GET /_diagnostics HTTP/1.1\r\nHost: o\r\n\r\n")
            _, body = await asyncio.wait_for(read_message(reader), HANG_TIMEOUT_S)
            writer.close()
        report = json.loads(body)
        assert report["counts"]["attempt"]["rejected"] >= 1
        assert sum(report["counts"]["refused"].values()) == 1
        assert {event["request"] for event in report["recent"]} >= {"r1"}
        assert report["violations"] == {}
        node.kill()

    run(scenario())


@pytest.mark.expects_violation(Invariant.NO_CLOSE_WITH_ANSWERS_OWED)
def test_closes_are_counted_by_reason_and_violate_an_invariant_with_a_request_unanswered() -> None:
    """The test closes the second client's connection while its request is in flight, which the program never does."""

    async def scenario() -> None:
        fleet = Fleet()
        node = Node(fleet, "e0")
        await node.start()
        fleet.add_behaviors("held", Stall())
        async with run_sidecar(known={"seq": 1, "whole": True, "hosts": [host_entry("e0", node.port)]}) as r:
            diagnostics = r.sidecar.engine.diagnostics
            reader, writer = await r.connect()
            writer.write(idempotent_request("last", extra_headers=b"Connection: close\r\n"))
            await asyncio.wait_for(reader.read(), HANG_TIMEOUT_S)
            assert diagnostics.report()["counts"]["client closed"] == {CloseReason.LAST_RESPONSE.value: 1}
            assert not diagnostics.violations
            _, other = await r.connect()
            other.write(idempotent_request("held"))
            await fleet.wait_for_arrival("held")
            for client in list(r.sidecar.server._connections):
                client.close(CloseReason.RECLAIMED)
            assert diagnostics.violations == {Invariant.NO_CLOSE_WITH_ANSWERS_OWED: 1}
            writer.close()
            other.close()
        node.kill()

    run(scenario())
