"""Random executions find faults injected into graceful shutdown, client disconnects and settings changes."""

from collections.abc import Callable

import pytest

from checker.explore import Explorer
from checker.world import Setting
from gateusher.core.engine import ClientRequest, Engine
from gateusher.policy.context import DecisionContext
from gateusher.policy.interface import ClientDisconnected


def shut_down_without_responses(patch: pytest.MonkeyPatch) -> None:
    """The listener closes with requests unanswered, and their deadlines expire only after it."""
    patch.setattr(Engine, "expire", lambda self: None)


def keep_abandoned_attempt(patch: pytest.MonkeyPatch) -> None:
    """A request without a client is forwarded once its connection is established."""

    def abandon(self: Engine, call: ClientRequest) -> None:
        self.deliver(ClientDisconnected(call.request_number))
        self._release_if_ended(call)

    patch.setattr(Engine, "_abandon", abandon)


def ignore_stricter_effect(patch: pytest.MonkeyPatch) -> None:
    """An open request is retried by the effect of its own class, even after a stricter one was configured."""
    patch.setattr(DecisionContext, "effect", lambda self, index: self.settings.classes[index].effect)


FAULTS: list[tuple[Callable[[pytest.MonkeyPatch], None], tuple[str, ...], Setting, str]] = [
    (shut_down_without_responses, ("unsafe", "safe"), Setting(graceful_shutdown=True), "open"),
    (keep_abandoned_attempt, ("unsafe",), Setting(), "nobody waits"),
    (ignore_stricter_effect, ("safe",), Setting(operator_events=True), "is retried"),
]


@pytest.mark.parametrize(("fault", "effects", "setting", "text"), FAULTS, ids=[f.__name__ for f, *_ in FAULTS])
def test_injected_fault_is_found(
    fault: Callable[[pytest.MonkeyPatch], None],
    effects: tuple[str, ...],
    setting: Setting,
    text: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fault(monkeypatch)
    report = Explorer("daemon", effects, 40, setting=setting).run_random(3000)
    assert any(text in line for line in report.violations), report.violations
