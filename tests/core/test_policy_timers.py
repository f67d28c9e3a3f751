"""The policy's timers: each is delivered once, unless it is cancelled, and none is kept after that."""

import asyncio

import pytest
import uvloop

from gateusher.core.policy_timers import PolicyTimers
from gateusher.policy.context import ENDPOINT_LIST_TIMER
from gateusher.policy.interface import HOLD_TIMER_OFFSET, SetTimer, TimerFired

REQUEST = 7
HOLD = SetTimer(REQUEST + HOLD_TIMER_OFFSET, 5.0)
POLL = SetTimer(ENDPOINT_LIST_TIMER, 5.0)
LONGER_THAN_TIMERS_S = 0.1


async def delivered_tokens(cancelled: str) -> list[int]:
    """Return the tokens of the timers that fired, of two polls and a hold."""
    delivered: list[TimerFired] = []
    timers = PolicyTimers(asyncio.get_running_loop().call_later, delivered.append)
    timers.start(POLL)
    timers.start(POLL)
    timers.start_hold(REQUEST, HOLD)
    assert len(timers) == 3
    if cancelled == "hold":
        timers.cancel_hold(REQUEST)
        timers.cancel_hold(REQUEST)
        assert len(timers) == 2
    elif cancelled == "all":
        timers.cancel_all()
        assert not timers
    elif cancelled == "replaced":
        timers.start_hold(REQUEST, HOLD)
        assert len(timers) == 3
    await asyncio.sleep(LONGER_THAN_TIMERS_S)
    assert not timers
    return sorted(event.token for event in delivered)


@pytest.mark.parametrize(
    ("cancelled", "expected"),
    [
        ("", [POLL.token, POLL.token, HOLD.token]),
        ("hold", [POLL.token, POLL.token]),
        ("replaced", [POLL.token, POLL.token, HOLD.token]),
        ("all", []),
    ],
)
def test_each_timer_fires_once_unless_it_is_cancelled(cancelled: str, expected: list[int]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(delivered_tokens(cancelled)) == expected


@pytest.mark.parametrize(("action", "request_number"), [(HOLD, REQUEST), (POLL, None), (SetTimer(-1, 5.0), None)])
def test_the_timer_of_a_hold_names_its_request(action: SetTimer, request_number: int | None) -> None:
    assert action.held_request == request_number
