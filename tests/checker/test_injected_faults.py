"""Random executions find faults injected into graceful shutdown, client disconnects, settings and the policy."""

from collections.abc import Callable

import pytest

from checker.explore import Explorer
from checker.scheduler import RandomScheduler
from checker.world import Setting, World
from gateusher.base.diagnostics import Invariant
from gateusher.core.engine import ClientRequest, Engine
from gateusher.policy import Balancer
from gateusher.policy.context import DecisionContext
from gateusher.policy.interface import Action, ClientDisconnected, Event


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
    patch.setattr(DecisionContext, "effect", lambda self, request: request.rules.effect)


def raise_on_disconnect(patch: pytest.MonkeyPatch) -> None:
    """The policy handles a client's disconnect, and then raises."""
    handle = Balancer.handle

    def handle_and_raise(self: Balancer, now_ms: float, event: Event) -> list[Action]:
        actions = handle(self, now_ms, event)
        if isinstance(event, ClientDisconnected):
            raise ValueError("policy fault")
        return actions

    patch.setattr(Balancer, "handle", handle_and_raise)


FAULTS: list[tuple[Callable[[pytest.MonkeyPatch], None], tuple[str, ...], Setting, str]] = [
    (shut_down_without_responses, ("unsafe", "safe"), Setting(graceful_shutdown=True), "open"),
    (keep_abandoned_attempt, ("unsafe",), Setting(), "nobody waits"),
    (ignore_stricter_effect, ("safe",), Setting(operator_events=True), "is retried"),
    (raise_on_disconnect, ("unsafe",), Setting(), "policy fault"),
    (raise_on_disconnect, ("unsafe",), Setting(), Invariant.NO_EVENT_UNHANDLED.value),
]
RECORDED: dict[Callable[[pytest.MonkeyPatch], None], Invariant] = {
    keep_abandoned_attempt: Invariant.NO_ATTEMPT_FOR_NOBODY,
    raise_on_disconnect: Invariant.NO_EVENT_UNHANDLED,
}


def with_expected_violation(
    fault: Callable[[pytest.MonkeyPatch], None], effects: tuple[str, ...], setting: Setting, text: str
) -> object:
    marks = [pytest.mark.expects_violation(RECORDED[fault])] if fault in RECORDED else []
    return pytest.param(fault, effects, setting, text, id=fault.__name__, marks=marks)


@pytest.mark.parametrize(("fault", "effects", "setting", "text"), [with_expected_violation(*f) for f in FAULTS])
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


@pytest.mark.expects_violation(Invariant.NO_CLOSE_WITH_ANSWERS_OWED)
def test_violation_recorded_by_the_last_events_of_an_execution_is_found() -> None:
    """No timer is left to fire after it, so the state is judged only at quiescence."""
    choose = RandomScheduler(0)
    world = World(choose, "daemon", ("safe",), setting=Setting())
    try:
        world.quiesce = lambda: world.node.diagnostics.record_violation(  # type: ignore[method-assign]
            Invariant.NO_CLOSE_WITH_ANSWERS_OWED
        )
        Explorer.quiesce(world, choose)
        assert any(Invariant.NO_CLOSE_WITH_ANSWERS_OWED.value in line for line in world.history.violations)
    finally:
        world.close()
