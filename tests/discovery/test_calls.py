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
    ASKED,
    HEDGE_S,
    HEDGED_S,
    MAX_BACKOFF_S,
    Action,
    Asked,
    Calls,
    Close,
    Ended,
    Failed,
    Follow,
    Later,
    Open,
    Reloaded,
    Spoke,
    Stop,
    Tick,
    pushed,
)

from ..helpers import HANG_S


def longest() -> float:
    return 0.0


def asked() -> Calls:
    return Calls(ASKED, longest)


def until_due(calls: Calls) -> list[Action]:
    """The next thing that time alone brings."""
    return calls.handle(calls.due_s, Tick())


def test_the_first_of_two_that_speaks_is_kept_and_the_other_closed() -> None:
    calls = asked()
    assert calls.handle(0.0, Follow()) == [Open(1)]
    assert calls.handle(HEDGE_S - 0.01, Tick()) == []
    assert until_due(calls) == [Open(2)]
    assert calls.handle(5.0, Spoke(1)) == [Close(2)]
    assert calls.handle(5.1, Ended(2)) == [] and calls.handle(5.1, Spoke(2)) == []
    assert calls.handle(5.1, Follow()) == []


def test_who_opens_a_third_gives_up_the_oldest() -> None:
    calls = asked()
    calls.handle(0.0, Follow())
    assert until_due(calls) == [Open(2)]
    assert until_due(calls) == [Close(1), Open(3)]
    assert until_due(calls) == [Close(2), Open(4)]
    assert calls.due_s - min(calls.pending.values()) >= 2 * HEDGED_S - 1e-6


def test_a_watch_that_has_fallen_silent_is_kept_beside_the_next_call_and_may_speak_again() -> None:
    calls = asked()
    calls.handle(0.0, Follow())
    calls.handle(0.0, Spoke(1))
    calls.handle(2.0, Spoke(1))
    assert calls.due_s == 2.0 + ASKED.heartbeat_timeout_s
    assert until_due(calls) == [Open(2)]
    assert calls.handle(4.7, Spoke(1)) == [Close(2)]
    assert calls.due_s == pytest.approx(4.7 + ASKED.heartbeat_timeout_s)


def test_one_that_stays_silent_is_closed_in_the_end() -> None:
    calls = asked()
    calls.handle(0.0, Follow())
    calls.handle(0.0, Spoke(1))
    acts = [act for _ in range(4) for act in until_due(calls)]
    assert Close(1) in acts
    assert calls.watch is None and len(calls.pending) == 2


def test_the_end_of_a_watch_that_had_fallen_silent_puts_nothing_off() -> None:
    calls = asked()
    calls.handle(0.0, Follow())
    calls.handle(0.0, Spoke(1))
    assert until_due(calls) == [Open(2)]
    due = calls.due_s
    assert due == pytest.approx(ASKED.heartbeat_timeout_s + (5.8 - ASKED.heartbeat_timeout_s) / 2)
    assert calls.handle(3.0, Ended(1)) == [] and calls.due_s == due
    assert until_due(calls) == [Open(3)]
    assert until_due(calls) == [Close(2), Open(4)]


def test_a_refusal_behind_a_silent_watch_leaves_the_other_call_alone_for_as_long_as_ever() -> None:
    """The service may refuse that one as well; the watch's end tells nothing more."""
    calls = asked()
    calls.handle(0.0, Follow())
    calls.handle(0.0, Spoke(1))
    until_due(calls)
    until_due(calls)
    began = calls.pending[3]
    assert calls.handle(began + 0.3, Ended(2)) == []
    assert calls.due_s == pytest.approx(began + HEDGE_S)
    assert calls.handle(began + 0.6, Ended(1)) == [] and calls.due_s == pytest.approx(began + HEDGE_S)


def test_the_module_is_told_only_where_nothing_is_out_and_may_ask_sooner() -> None:
    calls = asked()
    calls.handle(0.0, Follow())
    until_due(calls)
    assert calls.handle(3.3, Ended(1)) == []
    assert calls.handle(3.4, Ended(2)) == [Failed()]
    assert calls.due_s == pytest.approx(3.4 + MAX_BACKOFF_S)
    assert calls.handle(3.5, Follow()) == [Open(3)]
    assert calls.handle(3.6, Ended(3)) == [Failed()]
    assert until_due(calls) == [Open(4)]


def test_the_waits_of_a_fleet_are_spread() -> None:
    draws = iter([0.0, 0.5, 1.0])
    calls = Calls(ASKED, lambda: next(draws))
    found = []
    for call in (1, 2, 3):
        calls.handle(0.0, Follow())
        calls.handle(0.0, Ended(call))
        found.append(calls.due_s)
    assert found == pytest.approx([MAX_BACKOFF_S, MAX_BACKOFF_S * 0.875, MAX_BACKOFF_S * 0.75])


def test_a_start_waits_for_the_module_but_not_for_good() -> None:
    calls = asked()
    assert calls.handle(0.0, Later()) == []
    assert calls.due_s == HEDGED_S
    assert calls.handle(0.5, Follow()) == [Open(1)]
    calls = asked()
    calls.handle(0.0, Later())
    assert until_due(calls) == [Open(1)]
    due = calls.due_s
    assert calls.handle(3.0, Later()) == [] and calls.due_s == due


def test_a_move_closes_all_and_calls_at_once_and_a_refusal_there_is_soon_tried_again() -> None:
    calls = asked()
    calls.handle(0.0, Follow())
    calls.handle(0.0, Spoke(1))
    assert calls.handle(1.0, Reloaded(True)) == [Close(1), Open(2)]
    waits = []
    for call in range(2, 7):
        at = 1.0
        assert calls.handle(at, Ended(call)) == [Failed()]
        waits.append(calls.due_s - at)
        assert until_due(calls) == [Open(call + 1)]
    assert waits == pytest.approx([0.2, 0.4, 0.8, 1.6, MAX_BACKOFF_S])


def test_the_same_address_again_keeps_what_is_followed_and_places_in_line() -> None:
    calls = asked()
    calls.handle(0.0, Follow())
    assert calls.handle(0.5, Reloaded(False)) == []
    assert list(calls.pending) == [1] and calls.due_s == pytest.approx(0.5 + 1.9)
    calls.handle(1.0, Spoke(1))
    due = calls.due_s
    assert calls.handle(1.5, Reloaded(False)) == [] and calls.due_s == due
    calls.handle(2.0, Ended(1))
    assert calls.handle(2.1, Reloaded(False)) == [Open(2)]


def test_the_whole_list_settles_it_and_the_watch_is_a_call_of_its_own() -> None:
    calls = asked()
    calls.handle(0.0, Follow())
    until_due(calls)
    assert calls.handle(4.0, Asked(2)) == [Close(1)]
    assert calls.pending == {2: 4.0} and calls.due_s == pytest.approx(4.0 + HEDGE_S)
    assert calls.handle(4.5, Spoke(2)) == []
    assert calls.watch is not None


def test_nothing_comes_after_a_stop() -> None:
    calls = asked()
    calls.handle(0.0, Follow())
    assert calls.handle(1.0, Stop()) == [Close(1)]
    assert calls.handle(100.0, Tick()) == [] and calls.handle(100.0, Ended(1)) == []


def test_a_pushed_list_is_called_for_one_at_a_time_and_soon_again() -> None:
    calls = Calls(pushed(0.4), longest)
    calls.handle(0.0, Follow())
    assert calls.due_s == pytest.approx(0.1)
    assert until_due(calls) == [Close(1), Open(2)]
    calls.handle(0.15, Ended(2))
    assert calls.due_s == pytest.approx(0.2)
    assert pushed(1.2).hedge_s == pytest.approx(0.3) and pushed(4.0).hedge_s == 0.5


def test_a_pushed_watch_has_missed_one_heartbeat_when_it_is_called_for_anew() -> None:
    calls = Calls(pushed(4.0), longest)
    calls.handle(0.0, Follow())
    calls.handle(0.0, Spoke(1))
    calls.handle(2.0, Spoke(1))
    assert calls.due_s == 5.0
    assert until_due(calls) == [Open(2)]
    assert calls.handle(5.1, Spoke(2)) == [Close(1)]


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
        "calls.ASKED = module.ASKED._replace(max_backoff_s=3.9)",
        "refused until now",
    ),
    "a call is left alone for too long": (
        "module.HEDGE_S = 4.5; calls.ASKED = module.ASKED._replace(hedge_s=9)",
        "whatever",
    ),
    "the next after that comes too late": (
        "module.HEDGED_S = 4.5; calls.ASKED = module.ASKED._replace(hedge_s=9)",
        "whatever",
    ),
    "a call is not left alone": ("module.HEDGE_S = 1.5", "may still refuse"),
    "silence is found too late": ("calls.ASKED = module.ASKED._replace(heartbeat_timeout_s=4.5)", "fallen silent"),
    "no hurry where little is left": ("module.MIN_HEDGE_S = 3.0", "its first call says nothing"),
    "no hurry after SIGHUP": ("module.MOVED_S = 6.0", "SIGHUP, and its first"),
    "the first gives way to the second": ("calls.ASKED = module.ASKED._replace(max_pending=1)", "may still refuse"),
    "a refusal's time in the line is forgotten": ("module.FIRST_BACKOFF_S = 2.3", "what was out is refused"),
    "the start waits too long": ("module.HEDGED_S = 9.0", "whatever"),
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
        timeout=2 * HANG_S,
        check=True,
    )
    assert said in out.stdout, out.stdout


def _never_beside(self: Calls, now_s: float, urgent: bool) -> None:
    self.due_s = now_s + 60.0


def _forgets(self: Calls, now_s: float, call: int, acts: list[Action]) -> None:
    self.pending.pop(call, None)
    if self.watch and self.watch.call == call:
        self.watch = None


def _taken_for_a_refusal(self: Calls, now_s: float, call: int, acts: list[Action]) -> None:
    """As it was: the end of a silent watch, too, left the call behind it alone for as long as a refusal does."""
    behind = self.watch is not None and self.watch.call == call and self.pending
    _ENDED(self, now_s, call, acts)
    if behind:
        self.due_s = max(now_s + 1.0, max(self.pending.values()) + HEDGE_S)


_ENDED = Calls._ended


@pytest.mark.parametrize(
    ("name", "fault", "said"),
    [
        ("_schedule_hedge", _never_beside, "whatever"),
        ("_ended", _forgets, "may still refuse"),
        ("_ended", _taken_for_a_refusal, "fallen silent and ended"),
    ],
)
def test_a_fault_in_a_move_is_found(
    name: str, fault: Callable[..., None], said: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module.Calls, name, fault)
    found = pure.search(explorer.World, 2000, settle_every=1)
    assert any(said in line for line in found.broken), found
