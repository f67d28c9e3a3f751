"""When discovery is called: the machine's moves, its bound in every order, and faults planted into each wait."""

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


def longest() -> float:
    return 0.0


def asked() -> CallScheduler:
    return CallScheduler(POLLED_POLICY, longest)


def until_due(calls: CallScheduler) -> list[Action]:
    """The next thing that time alone brings."""
    return calls.handle(calls.due_s, Tick())


def test_the_first_of_two_that_speaks_is_kept_and_the_other_closed() -> None:
    calls = asked()
    assert calls.handle(0.0, ListWanted()) == [OpenCall(1)]
    assert calls.handle(HEDGE_DELAY_S - 0.01, Tick()) == []
    assert until_due(calls) == [OpenCall(2)]
    assert calls.handle(5.0, WatchActive(1)) == [CloseCall(2)]
    assert calls.handle(5.1, CallEnded(2)) == [] and calls.handle(5.1, WatchActive(2)) == []
    assert calls.handle(5.1, ListWanted()) == []


def test_who_opens_a_third_gives_up_the_oldest() -> None:
    calls = asked()
    calls.handle(0.0, ListWanted())
    assert until_due(calls) == [OpenCall(2)]
    assert until_due(calls) == [CloseCall(1), OpenCall(3)]
    assert until_due(calls) == [CloseCall(2), OpenCall(4)]
    assert calls.due_s - min(calls.pending.values()) >= 2 * NEXT_HEDGE_DELAY_S - 1e-6


def test_a_watch_that_has_fallen_silent_is_kept_beside_the_next_call_and_may_speak_again() -> None:
    calls = asked()
    calls.handle(0.0, ListWanted())
    calls.handle(0.0, WatchActive(1))
    calls.handle(2.0, WatchActive(1))
    assert calls.due_s == 2.0 + POLLED_POLICY.heartbeat_timeout_s
    assert until_due(calls) == [OpenCall(2)]
    assert calls.handle(4.7, WatchActive(1)) == [CloseCall(2)]
    assert calls.due_s == pytest.approx(4.7 + POLLED_POLICY.heartbeat_timeout_s)


def test_one_that_stays_silent_is_closed_in_the_end() -> None:
    calls = asked()
    calls.handle(0.0, ListWanted())
    calls.handle(0.0, WatchActive(1))
    acts = [act for _ in range(4) for act in until_due(calls)]
    assert CloseCall(1) in acts
    assert calls.watch is None and len(calls.pending) == 2


def test_the_end_of_a_watch_that_had_fallen_silent_puts_nothing_off() -> None:
    calls = asked()
    calls.handle(0.0, ListWanted())
    calls.handle(0.0, WatchActive(1))
    assert until_due(calls) == [OpenCall(2)]
    due = calls.due_s
    assert due == pytest.approx(POLLED_POLICY.heartbeat_timeout_s + (5.8 - POLLED_POLICY.heartbeat_timeout_s) / 2)
    assert calls.handle(3.0, CallEnded(1)) == [] and calls.due_s == due
    assert until_due(calls) == [OpenCall(3)]
    assert until_due(calls) == [CloseCall(2), OpenCall(4)]


def test_a_refusal_behind_a_silent_watch_leaves_the_other_call_alone_for_as_long_as_ever() -> None:
    """The service may refuse that one as well; the watch's end tells nothing more."""
    calls = asked()
    calls.handle(0.0, ListWanted())
    calls.handle(0.0, WatchActive(1))
    until_due(calls)
    until_due(calls)
    began = calls.pending[3]
    assert calls.handle(began + 0.3, CallEnded(2)) == []
    assert calls.due_s == pytest.approx(began + HEDGE_DELAY_S)
    assert calls.handle(began + 0.6, CallEnded(1)) == [] and calls.due_s == pytest.approx(began + HEDGE_DELAY_S)


def test_the_module_is_told_only_where_nothing_is_out_and_may_ask_sooner() -> None:
    calls = asked()
    calls.handle(0.0, ListWanted())
    until_due(calls)
    assert calls.handle(3.3, CallEnded(1)) == []
    assert calls.handle(3.4, CallEnded(2)) == [AllCallsFailed()]
    assert calls.due_s == pytest.approx(3.4 + MAX_BACKOFF_S)
    assert calls.handle(3.5, ListWanted()) == [OpenCall(3)]
    assert calls.handle(3.6, CallEnded(3)) == [AllCallsFailed()]
    assert until_due(calls) == [OpenCall(4)]


def test_the_waits_of_a_fleet_are_spread() -> None:
    draws = iter([0.0, 0.5, 1.0])
    calls = CallScheduler(POLLED_POLICY, lambda: next(draws))
    found = []
    for call in (1, 2, 3):
        calls.handle(0.0, ListWanted())
        calls.handle(0.0, CallEnded(call))
        found.append(calls.due_s)
    assert found == pytest.approx([MAX_BACKOFF_S, MAX_BACKOFF_S * 0.875, MAX_BACKOFF_S * 0.75])


def test_a_start_waits_for_the_module_but_not_for_good() -> None:
    calls = asked()
    assert calls.handle(0.0, ListWantedLater()) == []
    assert calls.due_s == NEXT_HEDGE_DELAY_S
    assert calls.handle(0.5, ListWanted()) == [OpenCall(1)]
    calls = asked()
    calls.handle(0.0, ListWantedLater())
    assert until_due(calls) == [OpenCall(1)]
    due = calls.due_s
    assert calls.handle(3.0, ListWantedLater()) == [] and calls.due_s == due


def test_a_move_closes_all_and_calls_at_once_and_a_refusal_there_is_soon_tried_again() -> None:
    calls = asked()
    calls.handle(0.0, ListWanted())
    calls.handle(0.0, WatchActive(1))
    assert calls.handle(1.0, ConfigReloaded(True)) == [CloseCall(1), OpenCall(2)]
    waits = []
    for call in range(2, 7):
        at = 1.0
        assert calls.handle(at, CallEnded(call)) == [AllCallsFailed()]
        waits.append(calls.due_s - at)
        assert until_due(calls) == [OpenCall(call + 1)]
    assert waits == pytest.approx([0.2, 0.4, 0.8, 1.6, MAX_BACKOFF_S])


def test_the_same_address_again_keeps_what_is_followed_and_places_in_line() -> None:
    calls = asked()
    calls.handle(0.0, ListWanted())
    assert calls.handle(0.5, ConfigReloaded(False)) == []
    assert list(calls.pending) == [1] and calls.due_s == pytest.approx(0.5 + 1.9)
    calls.handle(1.0, WatchActive(1))
    due = calls.due_s
    assert calls.handle(1.5, ConfigReloaded(False)) == [] and calls.due_s == due
    calls.handle(2.0, CallEnded(1))
    assert calls.handle(2.1, ConfigReloaded(False)) == [OpenCall(2)]


def test_the_whole_list_settles_it_and_the_watch_is_a_call_of_its_own() -> None:
    calls = asked()
    calls.handle(0.0, ListWanted())
    until_due(calls)
    assert calls.handle(4.0, CompleteListReceived(2)) == [CloseCall(1)]
    assert calls.pending == {2: 4.0} and calls.due_s == pytest.approx(4.0 + HEDGE_DELAY_S)
    assert calls.handle(4.5, WatchActive(2)) == []
    assert calls.watch is not None


def test_nothing_comes_after_a_stop() -> None:
    calls = asked()
    calls.handle(0.0, ListWanted())
    assert calls.handle(1.0, ListUnwanted()) == [CloseCall(1)]
    assert calls.handle(100.0, Tick()) == [] and calls.handle(100.0, CallEnded(1)) == []


def test_a_pushed_list_is_called_for_one_at_a_time_and_soon_again() -> None:
    calls = CallScheduler(pushed_policy(0.4), longest)
    calls.handle(0.0, ListWanted())
    assert calls.due_s == pytest.approx(0.1)
    assert until_due(calls) == [CloseCall(1), OpenCall(2)]
    calls.handle(0.15, CallEnded(2))
    assert calls.due_s == pytest.approx(0.2)
    assert pushed_policy(1.2).hedge_delay_s == pytest.approx(0.3) and pushed_policy(4.0).hedge_delay_s == 0.5


def test_a_pushed_watch_has_missed_one_heartbeat_when_it_is_called_for_anew() -> None:
    calls = CallScheduler(pushed_policy(4.0), longest)
    calls.handle(0.0, ListWanted())
    calls.handle(0.0, WatchActive(1))
    calls.handle(2.0, WatchActive(1))
    assert calls.due_s == 5.0
    assert until_due(calls) == [OpenCall(2)]
    assert calls.handle(5.1, WatchActive(2)) == [CloseCall(1)]


@pytest.mark.parametrize("start", explorer.STARTS)
def test_in_every_order_the_list_is_in_hand_in_time(start: str) -> None:
    found = pure.search(lambda: explorer.World(explorer.STARTS[start]), 20_000, settle_every=4)
    assert (found.broken, found.story) == ([], [])
    assert found.states >= 20_000 and found.settled > 2000


@pytest.mark.parametrize("start", explorer.STARTS)
def test_in_long_stories_too(start: str) -> None:
    for seed in range(250):
        story, broken = explorer.walk(seed, 60, explorer.STARTS[start])
        assert broken == [], (seed, story)


FAULTS: dict[str, tuple[str, str]] = {
    "a wait after a failed call is too long": (
        "calls.POLLED_POLICY = module.POLLED_POLICY._replace(max_backoff_s=3.9)",
        "refused until now",
    ),
    "a call is left alone for too long": (
        "module.HEDGE_DELAY_S = 4.5; calls.POLLED_POLICY = module.POLLED_POLICY._replace(hedge_delay_s=9)",
        "whatever",
    ),
    "the next after that comes too late": (
        "module.NEXT_HEDGE_DELAY_S = 4.5; calls.POLLED_POLICY = module.POLLED_POLICY._replace(hedge_delay_s=9)",
        "whatever",
    ),
    "a call is not left alone": ("module.HEDGE_DELAY_S = 1.5", "may still refuse"),
    "silence is found too late": (
        "calls.POLLED_POLICY = module.POLLED_POLICY._replace(heartbeat_timeout_s=4.5)",
        "fallen silent",
    ),
    "no hurry where little is left": ("module.MIN_HEDGE_DELAY_S = 3.0", "its first call says nothing"),
    "no hurry after SIGHUP": ("module.RELOAD_BOUND_S = 6.0", "SIGHUP, and its first"),
    "the first gives way to the second": (
        "calls.POLLED_POLICY = module.POLLED_POLICY._replace(max_pending=1)",
        "may still refuse",
    ),
    "a refusal's time in the line is forgotten": ("module.FIRST_BACKOFF_S = 2.3", "what was out is refused"),
    "the start waits too long": ("module.NEXT_HEDGE_DELAY_S = 9.0", "whatever"),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_a_fault_in_each_wait_is_found(fault: str) -> None:
    """In a process of its own, as the constants are bound where they are used."""
    planted, said = FAULTS[fault]
    text = (
        f"from checker import calls, pure\nfrom gateusher.discovery import calls as module\n{planted}\n"
        "for start in calls.STARTS.values():\n"
        "    found = pure.search(lambda: calls.World(start), 4000, settle_every=1)\n"
        "    print(found.broken, found.story)\n"
    )
    out = run(
        [executable, "-c", text],
        cwd=Path(__file__).parents[2],
        capture_output=True,
        text=True,
        timeout=2 * HANG_TIMEOUT_S,
        check=True,
    )
    assert said in out.stdout, out.stdout


def _never_beside(self: CallScheduler, now_s: float, urgent: bool) -> None:
    self.due_s = now_s + 60.0


def _forgets(self: CallScheduler, now_s: float, call: int, acts: list[Action]) -> None:
    self.pending.pop(call, None)
    if self.watch and self.watch.call == call:
        self.watch = None


def _taken_for_a_refusal(self: CallScheduler, now_s: float, call: int, acts: list[Action]) -> None:
    """As it was: the end of a silent watch, too, left the call behind it alone for as long as a refusal does."""
    behind = self.watch is not None and self.watch.call == call and self.pending
    _ENDED(self, now_s, call, acts)
    if behind:
        self.due_s = max(now_s + 1.0, max(self.pending.values()) + HEDGE_DELAY_S)


_ENDED = CallScheduler._call_ended


@pytest.mark.parametrize(
    ("name", "fault", "said"),
    [
        ("_schedule_hedge", _never_beside, "whatever"),
        ("_call_ended", _forgets, "may still refuse"),
        ("_call_ended", _taken_for_a_refusal, "fallen silent and ended"),
    ],
)
def test_a_fault_in_a_move_is_found(
    name: str, fault: Callable[..., None], said: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module.CallScheduler, name, fault)
    found = pure.search(explorer.World, 2000, settle_every=1)
    assert any(said in line for line in found.broken), found
