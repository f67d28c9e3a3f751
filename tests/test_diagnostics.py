"""What a node says of itself: reasons by request, violations, and the page that operators read."""

import asyncio
import json

import pytest

from gateusher.base.diagnostics import MAX_RECENT_EVENTS, Diagnostics, Rule
from gateusher.listeners.close_reason import CloseReason
from gateusher.policy.interface import Reject, Send
from gateusher.standins.nodes import Fleet, Node, RejectRequest, Reset, Stall

from .helpers import HANG_TIMEOUT_S
from .net import at_most_once_request, host_entry, idempotent_request, read_message, run_sidecar, unused_address
from .test_sockets import run, status


def test_reasons_are_counted_and_the_latest_kept() -> None:
    diagnostics = Diagnostics()
    for i in range(MAX_RECENT_EVENTS + 5):
        diagnostics.note("repeat", "after reset", b"id-%d" % i)
    report = diagnostics.report()
    assert report["counts"] == {"repeat": {"after reset": MAX_RECENT_EVENTS + 5}}
    assert len(report["recent"]) == MAX_RECENT_EVENTS
    assert report["recent"][-1]["request"] == f"id-{MAX_RECENT_EVENTS + 4}"
    assert report["violations"] == {}
    json.dumps(report)


def test_a_violation_is_logged_and_counted(caplog: pytest.LogCaptureFixture) -> None:
    diagnostics = Diagnostics()
    diagnostics.violated(Rule.NO_REPEAT_OF_WHAT_MAY_HAVE_RUN, b"x1")
    assert diagnostics.report()["violations"] == {"no_repeat_of_what_may_have_run": 1}
    assert "invariant violated" in caplog.text and "x1" in caplog.text


def test_a_policy_that_asks_for_a_harmful_repeat_or_a_false_refusal_is_not_obeyed() -> None:
    """The endpoint resets what has run; the policy is made to ask for another attempt, then for a refusal."""

    async def story() -> None:
        fleet = Fleet()
        node = Node(fleet, "e0")
        await node.start()
        fleet.add_behaviors("p1", Reset())
        async with run_sidecar(known={"seq": 1, "whole": True, "hosts": [host_entry("e0", node.port)]}) as r:
            engine = r.sidecar.engine
            honest = engine._balancer.handle

            asked = list[object]()

            def harmful(now: float, event: object) -> list[object]:
                acts = honest(now, event)  # type: ignore[arg-type]
                if type(event).__name__ != "AttemptEnded" or asked:
                    return list(acts)
                asked.append(event)  # once: what is denied ends as an attempt too
                again = Send(event.request, event.endpoint, now + 500.0)  # type: ignore[attr-defined]
                return [again, Reject(event.request)]  # type: ignore[attr-defined]

            engine._balancer.handle = harmful  # type: ignore[assignment,method-assign]
            head, _ = await r.request(at_most_once_request("p1"))
            assert status(head) == 502
            assert fleet.effects["p1"] == 1
            assert set(engine.diagnostics.violations) == {
                Rule.NO_REPEAT_OF_WHAT_MAY_HAVE_RUN,
                Rule.NO_REFUSAL_OF_WHAT_MAY_HAVE_RUN,
            }
        node.kill()

    run(story())


def test_operators_read_why_requests_were_repeated_and_refused() -> None:
    async def story() -> None:
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
        told = json.loads(body)
        assert told["counts"]["attempt"]["rejected"] >= 1
        assert sum(told["counts"]["refused"].values()) == 1
        assert {event["request"] for event in told["recent"]} >= {"r1"}
        assert told["violations"] == {}
        node.kill()

    run(story())


def test_closes_have_a_reason_and_one_with_an_answer_owed_is_a_violation() -> None:
    """The second client is closed by force with its request out, which nothing in the program does."""

    async def story() -> None:
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
            assert diagnostics.violations == {Rule.NO_CLOSE_WITH_ANSWERS_OWED: 1}
            writer.close()
            other.close()
        node.kill()

    run(story())
