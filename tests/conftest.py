"""Fixtures of every test: a fresh log budget, and a failure on any illegal transition or violated invariant.

Both are failures even if the program catches and repairs them.
"""

from collections.abc import Iterator

import pytest

from gateusher.base import log, machine

from .known_red import pytest_collection_modifyitems, pytest_configure, pytest_terminal_summary  # noqa: F401
from .violations import only_expected_violations  # noqa: F401


@pytest.fixture(autouse=True)
def full_log_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    """Reset the log's rate limit, so that earlier tests can't suppress this test's lines."""
    monkeypatch.setattr(log._LOG, "_tokens", log.BURST_LINES)
    monkeypatch.setattr(log._LOG, "_dropped", 0)


@pytest.fixture(autouse=True)
def no_illegal_transitions(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[str]]:
    errors: list[str] = []
    illegal = machine.TransitionTable.illegal_transition

    def record(table: machine.TransitionTable, state: str, event: str) -> machine.IllegalTransitionError:
        error = illegal(table, state, event)
        errors.append(str(error))
        return error

    monkeypatch.setattr(machine.TransitionTable, "illegal_transition", record)
    yield errors
    assert not errors
