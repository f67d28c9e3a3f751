"""The call scheduler: its transitions, its time bound under every order of events, and faults injected into it."""

from collections.abc import Callable
from pathlib import Path
from subprocess import run
from sys import executable

import pytest

from checker import calls as explorer
from checker import pure
from gateusher.discovery import calls as module
from gateusher.discovery.calls import (
    HEDGE_DELAY_S,
    MAX_BACKOFF_S,
    NEXT_HEDGE_DELAY_S,
    POLLED_POLICY,
    Action,
    AllCallsFailed,
    CallEnded,
    CallScheduler,
    CloseCall,
    CompleteListReceived,
    ConfigReloaded,
    ListUnwanted,
    ListWanted,
    ListWantedLater,
    OpenCall,
    Tick,
    WatchActive,
    pushed_policy,
)

from ..helpers import HANG_TIMEOUT_S


def no_jitter() -> float:
    """Return the random number that results in the longest backoff."""
    return 0.0


def polled_scheduler() -> CallScheduler:
    return CallScheduler(POLLED_POLICY, no_jitter)


def tick_when_due(calls: CallScheduler) -> list[Action]:
    """Let time pass until the next tick that has an effect."""
    return calls.handle(calls.due_s, Tick())


def test_the_first_active_call_is_kept_and_the_other_closed() -> None:
    calls = polled_scheduler()
    assert calls.handle(0.0, ListWanted()) == [OpenCall(1)]
    assert calls.handle(HEDGE_DELAY_S - 0.01, Tick()) == []
    assert tick_when_due(calls) == [OpenCall(2)]
    assert calls.handle(5.0, WatchActive(1)) == [CloseCall(2)]
    assert calls.handle(5.1, CallEnded(2)) == [] and calls.handle(5.1, WatchActive(2)) == []
    assert calls.handle(5.1, ListWanted()) == []


def test_a_third_call_replaces_the_oldest() -> None:
    calls = polled_scheduler()
    calls.handle(0.0, ListWanted())
    assert tick_when_due(calls) == [OpenCall(2)]
    assert tick_when_due(calls) == [CloseCall(1), OpenCall(3)]
    assert tick_when_due(calls) == [CloseCall(2), OpenCall(4)]
    assert calls.due_s - min(calls.pending.values()) >= 2 * NEXT_HEDGE_DELAY_S - 1e-6


def test_a_silent_watch_stays_open_beside_the_next_call_and_may_become_active_again() -> None:
    calls = polled_scheduler()
    calls.handle(0.0, ListWanted())
    calls.handle(0.0, WatchActive(1))
    calls.handle(2.0, WatchActive(1))
    assert calls.due_s == 2.0 + POLLED_POLICY.heartbeat_timeout_s
    assert tick_when_due(calls) == [OpenCall(2)]
    assert calls.handle(4.7, WatchActive(1)) == [CloseCall(2)]
    assert calls.due_s == pytest.approx(4.7 + POLLED_POLICY.heartbeat_timeout_s)


def test_a_watch_that_stays_silent_is_closed() -> None:
    calls = polled_scheduler()
    calls.handle(0.0, ListWanted())
    calls.handle(0.0, WatchActive(1))
    actions = [action for _ in range(4) for action in tick_when_due(calls)]
    assert CloseCall(1) in actions
    assert calls.watch is None and len(calls.pending) == 2


def test_the_end_of_a_silent_watch_does_not_delay_the_next_call() -> None:
    calls = polled_scheduler()
    calls.handle(0.0, ListWanted())
    calls.handle(0.0, WatchActive(1))
    assert tick_when_due(calls) == [OpenCall(2)]
    due_s = calls.due_s
    assert due_s == pytest.approx(POLLED_POLICY.heartbeat_timeout_s + (5.8 - POLLED_POLICY.heartbeat_timeout_s) / 2)
    assert calls.handle(3.0, CallEnded(1)) == [] and calls.due_s == due_s
    assert tick_when_due(calls) == [OpenCall(3)]
    assert tick_when_due(calls) == [CloseCall(2), OpenCall(4)]


def test_a_refusal_during_a_silent_watch_keeps_the_hedge_delay_of_the_other_call() -> None:
    """The service may refuse the other call as well; the end of the watch does not change that."""
    calls = polled_scheduler()
    calls.handle(0.0, ListWanted())
    calls.handle(0.0, WatchActive(1))
    tick_when_due(calls)
    tick_when_due(calls)
    began_s = calls.pending[3]
    assert calls.handle(began_s + 0.3, CallEnded(2)) == []
    assert calls.due_s == pytest.approx(began_s + HEDGE_DELAY_S)
    assert calls.handle(began_s + 0.6, CallEnded(1)) == [] and calls.due_s == pytest.approx(began_s + HEDGE_DELAY_S)


def test_the_balancer_is_notified_once_no_call_is_open_and_may_request_the_list_sooner() -> None:
    calls = polled_scheduler()
    calls.handle(0.0, ListWanted())
    tick_when_due(calls)
    assert calls.handle(3.3, CallEnded(1)) == []
    assert calls.handle(3.4, CallEnded(2)) == [AllCallsFailed()]
    assert calls.due_s == pytest.approx(3.4 + MAX_BACKOFF_S)
    assert calls.handle(3.5, ListWanted()) == [OpenCall(3)]
    assert calls.handle(3.6, CallEnded(3)) == [AllCallsFailed()]
    assert tick_when_due(calls) == [OpenCall(4)]


def test_jitter_spreads_the_backoffs_of_a_fleet() -> None:
    draws = iter([0.0, 0.5, 1.0])
    calls = CallScheduler(POLLED_POLICY, lambda: next(draws))
    due_s = []
    for call in (1, 2, 3):
        calls.handle(0.0, ListWanted())
        calls.handle(0.0, CallEnded(call))
        due_s.append(calls.due_s)
    assert due_s == pytest.approx([MAX_BACKOFF_S, MAX_BACKOFF_S * 0.875, MAX_BACKOFF_S * 0.75])


def test_a_start_waits_for_the_balancer_for_a_limited_time() -> None:
    calls = polled_scheduler()
    assert calls.handle(0.0, ListWantedLater()) == []
    assert calls.due_s == NEXT_HEDGE_DELAY_S
    assert calls.handle(0.5, ListWanted()) == [OpenCall(1)]
    calls = polled_scheduler()
    calls.handle(0.0, ListWantedLater())
    assert tick_when_due(calls) == [OpenCall(1)]
    due_s = calls.due_s
    assert calls.handle(3.0, ListWantedLater()) == [] and calls.due_s == due_s


def test_a_changed_address_closes_all_calls_and_refusals_there_are_retried_with_short_backoffs() -> None:
    calls = polled_scheduler()
    calls.handle(0.0, ListWanted())
    calls.handle(0.0, WatchActive(1))
    assert calls.handle(1.0, ConfigReloaded(True)) == [CloseCall(1), OpenCall(2)]
    backoffs_s = []
    for call in range(2, 7):
        ended_s = 1.0
        assert calls.handle(ended_s, CallEnded(call)) == [AllCallsFailed()]
        backoffs_s.append(calls.due_s - ended_s)
        assert tick_when_due(calls) == [OpenCall(call + 1)]
    assert backoffs_s == pytest.approx([0.2, 0.4, 0.8, 1.6, MAX_BACKOFF_S])


def test_a_reload_with_the_same_address_keeps_an_active_watch_and_pending_calls() -> None:
    calls = polled_scheduler()
    calls.handle(0.0, ListWanted())
    assert calls.handle(0.5, ConfigReloaded(False)) == []
    assert list(calls.pending) == [1] and calls.due_s == pytest.approx(0.5 + 1.9)
    calls.handle(1.0, WatchActive(1))
    due_s = calls.due_s
    assert calls.handle(1.5, ConfigReloaded(False)) == [] and calls.due_s == due_s
    calls.handle(2.0, CallEnded(1))
    assert calls.handle(2.1, ConfigReloaded(False)) == [OpenCall(2)]


def test_the_first_complete_list_is_kept_and_its_watch_gets_a_new_hedge_delay() -> None:
    calls = polled_scheduler()
    calls.handle(0.0, ListWanted())
    tick_when_due(calls)
    assert calls.handle(4.0, CompleteListReceived(2)) == [CloseCall(1)]
    assert calls.pending == {2: 4.0} and calls.due_s == pytest.approx(4.0 + HEDGE_DELAY_S)
    assert calls.handle(4.5, WatchActive(2)) == []
    assert calls.watch is not None


def test_no_calls_after_the_list_is_unwanted() -> None:
    calls = polled_scheduler()
    calls.handle(0.0, ListWanted())
    assert calls.handle(1.0, ListUnwanted()) == [CloseCall(1)]
    assert calls.handle(100.0, Tick()) == [] and calls.handle(100.0, CallEnded(1)) == []


def test_a_pushed_list_has_one_call_at_a_time_and_short_delays() -> None:
    calls = CallScheduler(pushed_policy(0.4), no_jitter)
    calls.handle(0.0, ListWanted())
    assert calls.due_s == pytest.approx(0.1)
    assert tick_when_due(calls) == [CloseCall(1), OpenCall(2)]
    calls.handle(0.15, CallEnded(2))
    assert calls.due_s == pytest.approx(0.2)
    assert pushed_policy(1.2).hedge_delay_s == pytest.approx(0.3) and pushed_policy(4.0).hedge_delay_s == 0.5


def test_a_pushed_watch_is_hedged_after_one_missed_heartbeat() -> None:
    calls = CallScheduler(pushed_policy(4.0), no_jitter)
    calls.handle(0.0, ListWanted())
    calls.handle(0.0, WatchActive(1))
    calls.handle(2.0, WatchActive(1))
    assert calls.due_s == 5.0
    assert tick_when_due(calls) == [OpenCall(2)]
    assert calls.handle(5.1, WatchActive(2)) == [CloseCall(1)]


@pytest.mark.parametrize("start", explorer.STARTS)
def test_the_list_is_received_in_time_under_every_order_of_events(start: str) -> None:
    found = pure.search(lambda: explorer.World(explorer.STARTS[start]), 20_000, settle_every=4)
    assert (found.broken, found.trace) == ([], [])
    assert found.states >= 20_000 and found.fair_runs > 2000


@pytest.mark.parametrize("start", explorer.STARTS)
def test_the_list_is_received_in_time_in_long_random_executions(start: str) -> None:
    for seed in range(250):
        trace, broken = explorer.walk(seed, 60, explorer.STARTS[start])
        assert broken == [], (seed, trace)


FAULTS: dict[str, tuple[str, str]] = {
    "the backoff after a failed call is too long": (
        "calls.POLLED_POLICY = module.POLLED_POLICY._replace(max_backoff_s=3.9)",
        "refused until now",
    ),
    "the hedge delay is too long": (
        "module.HEDGE_DELAY_S = 4.5; calls.POLLED_POLICY = module.POLLED_POLICY._replace(hedge_delay_s=9)",
        "whatever",
    ),
    "the call after a hedged request comes too late": (
        "module.NEXT_HEDGE_DELAY_S = 4.5; calls.POLLED_POLICY = module.POLLED_POLICY._replace(hedge_delay_s=9)",
        "whatever",
    ),
    "the hedge delay is too short": ("module.HEDGE_DELAY_S = 1.5", "may still refuse"),
    "a silent watch is detected too late": (
        "calls.POLLED_POLICY = module.POLLED_POLICY._replace(heartbeat_timeout_s=4.5)",
        "fallen silent",
    ),
    "the hedge delay is not shortened when little time is left": (
        "module.MIN_HEDGE_DELAY_S = 3.0",
        "its first call says nothing",
    ),
    "SIGHUP does not shorten the bound": ("module.RELOAD_BOUND_S = 6.0", "SIGHUP, and its first"),
    "a hedged request replaces the pending call": (
        "calls.POLLED_POLICY = module.POLLED_POLICY._replace(max_pending=1)",
        "may still refuse",
    ),
    "the backoff ignores how long a refusal took": ("module.FIRST_BACKOFF_S = 2.3", "what was out is refused"),
    "the delay at a start is too long": ("module.NEXT_HEDGE_DELAY_S = 9.0", "whatever"),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_faults_in_delays_are_detected(fault: str) -> None:
    """Runs in a process of its own, since other modules import the constants by value."""
    injected, expected = FAULTS[fault]
    text = (
        f"from checker import calls, pure\nfrom gateusher.discovery import calls as module\n{injected}\n"
        "for start in calls.STARTS.values():\n"
        "    found = pure.search(lambda: calls.World(start), 4000, settle_every=1)\n"
        "    print(found.broken, found.trace)\n"
    )
    completed = run(
        [executable, "-c", text],
        cwd=Path(__file__).parents[2],
        capture_output=True,
        text=True,
        timeout=2 * HANG_TIMEOUT_S,
        check=True,
    )
    assert expected in completed.stdout, completed.stdout


def _never_hedge(self: CallScheduler, now_s: float, urgent: bool) -> None:
    self.due_s = now_s + 60.0


def _ignore_end(self: CallScheduler, now_s: float, call: int, actions: list[Action]) -> None:
    self.pending.pop(call, None)
    if self.watch and self.watch.call == call:
        self.watch = None


def _treat_end_as_refusal(self: CallScheduler, now_s: float, call: int, actions: list[Action]) -> None:
    """Give the pending call the hedge delay of a refusal at the end of a silent watch, too."""
    ends_silent_watch = self.watch is not None and self.watch.call == call and self.pending
    _CALL_ENDED(self, now_s, call, actions)
    if ends_silent_watch:
        self.due_s = max(now_s + 1.0, max(self.pending.values()) + HEDGE_DELAY_S)


_CALL_ENDED = CallScheduler._call_ended


@pytest.mark.parametrize(
    ("method", "fault", "expected"),
    [
        ("_schedule_hedge", _never_hedge, "whatever"),
        ("_call_ended", _ignore_end, "may still refuse"),
        ("_call_ended", _treat_end_as_refusal, "fallen silent and ended"),
    ],
)
def test_faults_in_transitions_are_detected(
    method: str, fault: Callable[..., None], expected: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module.CallScheduler, method, fault)
    found = pure.search(explorer.World, 2000, settle_every=1)
    assert any(expected in line for line in found.broken), found
