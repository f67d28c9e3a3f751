"""Claims of one machine: their order, what their callers are told, and callers that are gone."""

from gateusher.duties.lease_claims import Claim, ClaimState, LeaseClaims
from gateusher.leases.interface import (
    Acquire,
    Event,
    FenceRaised,
    LeaseAcquired,
    LeaseLost,
    StopWork,
    Withdraw,
    WorkEnded,
)

TOKEN = "t" * 16


class Desk:
    """Claims with a proof that the test sets."""

    def __init__(self) -> None:
        self.until = 0.0
        self.claims = LeaseClaims(1000.0, lambda duty, now: (7, self.until) if now < self.until else None)

    def held(self, duty: str = "x", until: float = 900.0) -> list[Event]:
        self.until = until
        return self.claims.on_lease_change(0.0, LeaseAcquired(duty, 7))


def test_the_first_has_it_and_the_next_waits_its_turn_among_all() -> None:
    desk, stages = Desk(), list[ClaimState]()
    first, events = desk.claims.add("x", on_change=lambda c: stages.append(c.state))
    second, none = desk.claims.add("x")
    assert (events, none) == ([Acquire("x")], [])
    assert desk.held() == [] and (first.state, second.state) == (ClaimState.HELD, ClaimState.WAITING)
    assert desk.claims.end(first) == [Withdraw("x"), WorkEnded("x"), Acquire("x")]
    assert stages == [ClaimState.HELD, ClaimState.ENDED]
    desk.held()
    assert second.state is ClaimState.HELD and desk.claims.end(first) == []
    assert desk.claims.end(second) == [Withdraw("x"), WorkEnded("x")] and len(desk.claims) == 0


def test_one_that_is_told_to_stop_is_over_when_it_says_so() -> None:
    desk = Desk()
    claim, _ = desk.claims.add("x")
    desk.held()
    assert desk.claims.on_lease_change(10.0, StopWork("x", 500.0, "given")) == []
    assert (claim.state, claim.stop_by_ms, claim.reason) == (ClaimState.STOPPING, 500.0, "given")
    assert desk.claims.on_lease_change(11.0, FenceRaised("x", 9)) == []
    assert desk.claims.end(claim) == [Withdraw("x"), WorkEnded("x")]


def test_what_is_held_and_nobody_wants_any_more_is_let_go() -> None:
    desk = Desk()
    claim, _ = desk.claims.add("x")
    assert desk.claims.end(claim) == [Withdraw("x")]
    assert desk.held() == [Withdraw("x"), WorkEnded("x")]


def test_a_caller_is_told_how_long_its_proof_lasts_and_nothing_that_cant_be_proven() -> None:
    desk = Desk()
    said, events = desk.claims.call(0.0, "x", TOKEN)
    assert said.to_json()["state"] == "waiting" and events == [Acquire("x")]
    desk.held()
    said, events = desk.claims.call(100.0, "x", TOKEN)
    assert said.to_json() == {"state": "held", "fence": 7, "left_ms": 800.0, "why": ""} and events == []
    said, _ = desk.claims.call(900.0, "x", TOKEN)
    assert (said.to_json()["state"], said.to_json()["left_ms"]) == ("ending", 0.0)
    assert desk.claims.end_remote(TOKEN) == [Withdraw("x"), WorkEnded("x")] and desk.claims.end_remote(TOKEN) == []


def test_a_caller_that_is_gone_is_over_only_when_it_can_do_nothing_any_more() -> None:
    desk = Desk()
    desk.claims.call(0.0, "x", TOKEN)
    desk.held(until=5000.0)
    desk.claims.call(10.0, "x", TOKEN)
    for now in (500.0, 1100.0, 2200.0, 4999.0):
        assert desk.claims.end_unresponsive(now) == []
    desk.until = 9000.0  # prolonged, and nobody was told of that
    assert desk.claims.end_unresponsive(5999.0 + 10) == [Withdraw("x"), WorkEnded("x")]


def test_a_caller_that_waits_and_is_gone_holds_nothing_up() -> None:
    desk = Desk()
    desk.claims.call(0.0, "x", TOKEN)
    desk.claims.call(900.0, "y", TOKEN[:-1] + "u")
    assert desk.claims.end_unresponsive(1001.0) == [Withdraw("x")] and len(desk.claims) == 1


def test_a_lost_duty_ends_at_once_where_its_caller_knows_that_it_may_do_nothing() -> None:
    for told_until, events in ((900.0, [Withdraw("x"), WorkEnded("x")]), (2000.0, [])):
        desk = Desk()
        desk.claims.call(0.0, "x", TOKEN)
        desk.held(until=told_until)
        desk.claims.call(1.0, "x", TOKEN)
        assert desk.claims.on_lease_change(1000.0, LeaseLost("x", "cut off")) == events


def test_at_the_end_nothing_new_is_taken_and_what_is_held_is_told_to_stop() -> None:
    desk, told = Desk(), list[Claim]()
    held, _ = desk.claims.add("x", on_change=told.append)
    waiting, _ = desk.claims.add("y", on_change=told.append)
    desk.held()
    assert desk.claims.close() == [Withdraw("x"), Withdraw("y")]
    assert (held.state, waiting.state) == (ClaimState.HELD, ClaimState.ENDED)
    late, events = desk.claims.add("z")
    assert (late.state, events) == (ClaimState.ENDED, [])
    desk.claims.on_lease_change(0.0, StopWork("x", 100.0, "not wanted any more"))
    assert held.state is ClaimState.STOPPING
