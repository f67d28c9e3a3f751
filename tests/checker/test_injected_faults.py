"""Faults planted into the planned end, into a client's leaving and into new settings: the walks find each."""

from collections.abc import Callable

import pytest

from checker.explore import Explorer
from checker.world import Setting
from gateusher.core.engine import ClientRequest, Engine
from gateusher.policy.context import DecisionContext
from gateusher.policy.interface import ClientDisconnected


def end_without_answers(patch: pytest.MonkeyPatch) -> None:
    """The listener closes with answers owed; the deadlines of that moment come after it."""
    patch.setattr(Engine, "expire", lambda self: None)


def kept_for_nobody(patch: pytest.MonkeyPatch) -> None:
    """What nobody waits for any more is sent on when its connection comes up."""

    def abandon(self: Engine, call: ClientRequest) -> None:
        self.deliver(ClientDisconnected(call.request_number))
        self._release_if_ended(call)

    patch.setattr(Engine, "_abandon", abandon)


def by_the_old_word(patch: pytest.MonkeyPatch) -> None:
    """What is open is repeated as its own class says, whatever has come since."""
    patch.setattr(DecisionContext, "effect", lambda self, index: self.settings.classes[index].effect)


FAULTS: list[tuple[Callable[[pytest.MonkeyPatch], None], tuple[str, ...], Setting, str]] = [
    (end_without_answers, ("unsafe", "safe"), Setting(graceful_shutdown=True), "open"),
    (kept_for_nobody, ("unsafe",), Setting(), "nobody waits"),
    (by_the_old_word, ("safe",), Setting(operator_events=True), "is retried"),
]


@pytest.mark.parametrize(("fault", "effects", "setting", "word"), FAULTS, ids=[f.__name__ for f, *_ in FAULTS])
def test_what_is_planted_is_found(
    fault: Callable[[pytest.MonkeyPatch], None],
    effects: tuple[str, ...],
    setting: Setting,
    word: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fault(monkeypatch)
    report = Explorer("daemon", effects, 40, setting=setting).run_random(3000)
    assert any(word in line for line in report.violations), report.violations
