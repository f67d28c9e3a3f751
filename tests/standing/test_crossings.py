"""Two events in one turn of the loop, on real sockets, the crossing forced: see docs/design/crossings.md."""

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
from .loops import LOOPS, Loop, play


def hasty(dial_s: float, **rules: float) -> dict[str, Any]:
    """The settings, with so little time for a connection to come up."""
    settings: dict[str, Any] = configuration([], 1)["settings"]
    settings["bounds"]["dial_timeout_ms"] = dial_s * 1000
    settings["rules"] |= rules
    return settings


def outcomes(monkeypatch: pytest.MonkeyPatch) -> list[Outcome]:
    """What the core is told of attempts, from here on."""
    told: list[Outcome] = []
    ended = Engine.attempt_ended

    def hear(self: Engine, attempt: Any, outcome: Outcome, *rest: Any) -> None:
        told.append(outcome)
        ended(self, attempt, outcome, *rest)

    monkeypatch.setattr(Engine, "attempt_ended", hear)
    return told


ASKED = pytest.mark.parametrize(
    "asked", [at_most_once_request("p1"), idempotent_request("l1")], ids=["unsafe", "safe"]
)


async def idle(r: RunningSidecar) -> None:
    """Every descriptor but the list's is given back once all that is idle is closed."""
    node = r.sidecar.node

    def closed() -> bool:
        for eid in list(node.upstream._endpoints):
            node.upstream.close_idle_connections(eid)
        return not (node.upstream._connections or r.sidecar.server._connections)

    await wait_until(closed)
    assert node.descriptors.used == 0


@LOOPS
@ASKED
def test_a_dial_whose_time_is_over_in_the_turn_in_which_it_comes_up(
    loop: Loop, asked: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The request is written and then the dial's time is over, before the dial's task has run on.

    It was said to have failed to connect, so an unsafe request went out a second time.
    """
    told, made, dials = outcomes(monkeypatch), Connection.connection_made, list[object]()

    def come_up(self: Connection, transport: asyncio.BaseTransport) -> None:
        made(self, transport)
        dials.append(self)
        by = time.monotonic() + 0.06
        while len(dials) == 1 and time.monotonic() < by:
            pass  # the loop stands still until the time is over

    monkeypatch.setattr(Connection, "connection_made", come_up)

    async def story() -> None:
        ends = [Endpoint(), Endpoint()]
        async with run_sidecar(*ends, settings=hasty(0.04)) as r:
            head, _ = await r.request(asked)
            assert head.startswith(b"HTTP/1.1 200") and told == [Outcome.OK]
            assert len(ends[0].request_heads) + len(ends[1].request_heads) == 1
            await idle(r)

    play(story, loop)


@LOOPS
@ASKED
def test_a_dial_whose_time_is_over_just_before_it_comes_up(
    loop: Loop, asked: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The other order: the connection is there and the loop has not said so yet.  Nothing is written on it."""
    told, made, dials = outcomes(monkeypatch), Connection.connection_made, list[object]()

    def come_up(self: Connection, transport: asyncio.BaseTransport) -> None:
        dials.append(self)
        if len(dials) == 1:
            self._on_dial_timeout()
        made(self, transport)

    monkeypatch.setattr(Connection, "connection_made", come_up)

    async def story() -> None:
        ends = [Endpoint(), Endpoint()]
        async with run_sidecar(*ends) as r:
            head, _ = await r.request(asked)
            assert head.startswith(b"HTTP/1.1 200") and told == [Outcome.CONNECT_FAILED, Outcome.OK]
            assert len(ends[0].request_heads) + len(ends[1].request_heads) == 1
            await idle(r)

    play(story, loop)


def test_no_end_of_an_attempt_that_is_out_promises_that_it_never_ran() -> None:
    """Only its endpoint's own word does."""
    assert END_NOT_EXECUTED not in ATTEMPT.transitions[SENT] and set(ATTEMPT.transitions[SENT]) == {
        END_MAY_HAVE_RUN,
        END_REJECTED,
    }
