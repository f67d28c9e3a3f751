"""Races between two events in one turn of the event loop, forced on real sockets: docs/design/crossings.md."""

import asyncio
import time
from typing import Any

import pytest

from gateusher.core.engine import Engine
from gateusher.policy.interface import Outcome
from gateusher.upstream.connection import Connection
from gateusher.upstream.states import ATTEMPT, END_MAY_HAVE_RUN, END_NOT_EXECUTED, END_REJECTED, SENT

from ..helpers import wait_until
from ..net import Endpoint, RunningSidecar, at_most_once_request, configuration, idempotent_request, run_sidecar
from .event_loops import LOOPS, Loop, run_on_loop


def settings_with_dial_timeout(dial_s: float, **rules: float) -> dict[str, Any]:
    """Return the settings with this dial timeout."""
    settings: dict[str, Any] = configuration([], 1)["settings"]
    settings["bounds"]["dial_timeout_ms"] = dial_s * 1000
    settings["rules"] |= rules
    return settings


def record_outcomes(monkeypatch: pytest.MonkeyPatch) -> list[Outcome]:
    """Return a list that records the outcome of every attempt that ends from now on."""
    outcomes: list[Outcome] = []
    ended = Engine.attempt_ended

    def record(self: Engine, attempt: Any, outcome: Outcome, *rest: Any) -> None:
        outcomes.append(outcome)
        ended(self, attempt, outcome, *rest)

    monkeypatch.setattr(Engine, "attempt_ended", record)
    return outcomes


REQUESTS = pytest.mark.parametrize(
    "request_data", [at_most_once_request("p1"), idempotent_request("l1")], ids=["at most once", "idempotent"]
)


async def check_descriptors_released(r: RunningSidecar) -> None:
    """Check that every descriptor but that of the watch is released once all idle connections are closed."""
    node = r.sidecar.node

    def closed() -> bool:
        for eid in list(node.upstream._endpoints):
            node.upstream.close_idle_connections(eid)
        return not (node.upstream._connections or r.sidecar.server._connections)

    await wait_until(closed)
    assert node.descriptors.used == 0


@LOOPS
@REQUESTS
def test_a_dial_that_times_out_in_the_turn_in_which_it_connects(
    loop: Loop, request_data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The request is written, and then the dial times out before the dial's task has resumed.

    If the attempt ended as a failure to connect, an at-most-once request would be sent twice.
    """
    outcomes, made, dials = record_outcomes(monkeypatch), Connection.connection_made, list[object]()

    def connect(self: Connection, transport: asyncio.BaseTransport) -> None:
        made(self, transport)
        dials.append(self)
        until_s = time.monotonic() + 0.06
        while len(dials) == 1 and time.monotonic() < until_s:
            pass  # block the loop until the dial timeout is over

    monkeypatch.setattr(Connection, "connection_made", connect)

    async def test() -> None:
        endpoints = [Endpoint(), Endpoint()]
        async with run_sidecar(*endpoints, settings=settings_with_dial_timeout(0.04)) as r:
            head, _ = await r.request(request_data)
            assert head.startswith(b"HTTP/1.1 200") and outcomes == [Outcome.OK]
            assert len(endpoints[0].request_heads) + len(endpoints[1].request_heads) == 1
            await check_descriptors_released(r)

    run_on_loop(test, loop)


@LOOPS
@REQUESTS
def test_a_dial_that_times_out_just_before_it_connects(
    loop: Loop, request_data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The other order: the socket is connected, but the loop has not reported it yet.  Nothing is written on it."""
    outcomes, made, dials = record_outcomes(monkeypatch), Connection.connection_made, list[object]()

    def connect(self: Connection, transport: asyncio.BaseTransport) -> None:
        dials.append(self)
        if len(dials) == 1:
            self._on_dial_timeout()
        made(self, transport)

    monkeypatch.setattr(Connection, "connection_made", connect)

    async def test() -> None:
        endpoints = [Endpoint(), Endpoint()]
        async with run_sidecar(*endpoints) as r:
            head, _ = await r.request(request_data)
            assert head.startswith(b"HTTP/1.1 200") and outcomes == [Outcome.CONNECT_FAILED, Outcome.OK]
            assert len(endpoints[0].request_heads) + len(endpoints[1].request_heads) == 1
            await check_descriptors_released(r)

    run_on_loop(test, loop)


def test_a_sent_attempt_never_ends_as_not_executed() -> None:
    """Only a rejection by its endpoint says that the request was not executed."""
    assert END_NOT_EXECUTED not in ATTEMPT.transitions[SENT] and set(ATTEMPT.transitions[SENT]) == {
        END_MAY_HAVE_RUN,
        END_REJECTED,
    }
