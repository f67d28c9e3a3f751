"""Claims of one machine: their order, the replies to callers, and unresponsive callers."""

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


class ClaimsFixture:
    """Claims with a lease expiry that the test sets."""

    def __init__(self) -> None:
        self.until_ms = 0.0
        self.claims = LeaseClaims(1000.0, lambda task, now: (7, self.until_ms) if now < self.until_ms else None)

    def acquire(self, task: str = "x", until_ms: float = 900.0) -> list[Event]:
        self.until_ms = until_ms
        return self.claims.on_lease_change(0.0, LeaseAcquired(task, 7))


def test_the_first_claim_holds_the_task_and_the_next_waits_until_it_is_released() -> None:
    fixture, states = ClaimsFixture(), list[ClaimState]()
    first, events = fixture.claims.add("x", on_change=lambda c: states.append(c.state))
    second, second_events = fixture.claims.add("x")
    assert (events, second_events) == ([Acquire("x")], [])
    assert fixture.acquire() == [] and (first.state, second.state) == (ClaimState.HELD, ClaimState.WAITING)
    assert fixture.claims.end(first) == [Withdraw("x"), WorkEnded("x"), Acquire("x")]
    assert states == [ClaimState.HELD, ClaimState.ENDED]
    fixture.acquire()
    assert second.state is ClaimState.HELD and fixture.claims.end(first) == []
    assert fixture.claims.end(second) == [Withdraw("x"), WorkEnded("x")] and len(fixture.claims) == 0


def test_a_stopping_claim_ends_when_its_work_has_ended() -> None:
    fixture = ClaimsFixture()
    claim, _ = fixture.claims.add("x")
    fixture.acquire()
    assert fixture.claims.on_lease_change(10.0, StopWork("x", 500.0, "given")) == []
    assert (claim.state, claim.stop_by_ms, claim.reason) == (ClaimState.STOPPING, 500.0, "given")
    assert fixture.claims.on_lease_change(11.0, FenceRaised("x", 9)) == []
    assert fixture.claims.end(claim) == [Withdraw("x"), WorkEnded("x")]


def test_a_lease_acquired_without_a_claim_is_released() -> None:
    fixture = ClaimsFixture()
    claim, _ = fixture.claims.add("x")
    assert fixture.claims.end(claim) == [Withdraw("x")]
    assert fixture.acquire() == [Withdraw("x"), WorkEnded("x")]


def test_a_reply_contains_the_remaining_lease_and_reports_an_expired_one_as_ending() -> None:
    fixture = ClaimsFixture()
    status, events = fixture.claims.call(0.0, "x", TOKEN)
    assert status.to_json()["state"] == "waiting" and events == [Acquire("x")]
    fixture.acquire()
    status, events = fixture.claims.call(100.0, "x", TOKEN)
    assert status.to_json() == {"state": "held", "fence": 7, "left_ms": 800.0, "why": ""} and events == []
    status, _ = fixture.claims.call(900.0, "x", TOKEN)
    assert (status.to_json()["state"], status.to_json()["left_ms"]) == ("ending", 0.0)
    assert (
        fixture.claims.end_remote(TOKEN) == [Withdraw("x"), WorkEnded("x")] and fixture.claims.end_remote(TOKEN) == []
    )


def test_an_unresponsive_callers_claim_ends_when_the_lease_it_knows_of_has_expired() -> None:
    fixture = ClaimsFixture()
    fixture.claims.call(0.0, "x", TOKEN)
    fixture.acquire(until_ms=5000.0)
    fixture.claims.call(10.0, "x", TOKEN)
    for now in (500.0, 1100.0, 2200.0, 4999.0):
        assert fixture.claims.end_unresponsive(now) == []
    fixture.until_ms = 9000.0  # renewed, but the caller was not notified
    assert fixture.claims.end_unresponsive(5999.0 + 10) == [Withdraw("x"), WorkEnded("x")]


def test_an_unresponsive_waiting_caller_is_removed_after_a_lease() -> None:
    fixture = ClaimsFixture()
    fixture.claims.call(0.0, "x", TOKEN)
    fixture.claims.call(900.0, "y", TOKEN[:-1] + "u")
    assert fixture.claims.end_unresponsive(1001.0) == [Withdraw("x")] and len(fixture.claims) == 1


def test_a_lost_lease_ends_the_claim_once_the_lease_its_caller_knows_of_has_expired() -> None:
    for notified_until_ms, events in ((900.0, [Withdraw("x"), WorkEnded("x")]), (2000.0, [])):
        fixture = ClaimsFixture()
        fixture.claims.call(0.0, "x", TOKEN)
        fixture.acquire(until_ms=notified_until_ms)
        fixture.claims.call(1.0, "x", TOKEN)
        assert fixture.claims.on_lease_change(1000.0, LeaseLost("x", "cut off")) == events


def test_close_rejects_new_claims_and_stops_held_ones() -> None:
    fixture, changed = ClaimsFixture(), list[Claim]()
    held, _ = fixture.claims.add("x", on_change=changed.append)
    waiting, _ = fixture.claims.add("y", on_change=changed.append)
    fixture.acquire()
    assert fixture.claims.close() == [Withdraw("x"), Withdraw("y")]
    assert (held.state, waiting.state) == (ClaimState.HELD, ClaimState.ENDED)
    late, events = fixture.claims.add("z")
    assert (late.state, events) == (ClaimState.ENDED, [])
    fixture.claims.on_lease_change(0.0, StopWork("x", 100.0, "withdrawn"))
    assert held.state is ClaimState.STOPPING
