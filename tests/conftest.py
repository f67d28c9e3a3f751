"""For every test: a move that a table doesn't hold is a failure, also where somebody caught it; a log of its own."""

from collections.abc import Iterator

import pytest

from gateusher.base import log, machine

from .known_red import pytest_collection_modifyitems, pytest_configure, pytest_terminal_summary  # noqa: F401


@pytest.fixture(autouse=True)
def full_log_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lines that tests before this one have used up are not missing from its log."""
    monkeypatch.setattr(log._LOG, "_tokens", log.BURST_LINES)
    monkeypatch.setattr(log._LOG, "_dropped", 0)


@pytest.fixture(autouse=True)
def no_illegal_moves(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[str]]:
    told: list[str] = []
    illegal = machine.TransitionTable.illegal_transition

    def record(table: machine.TransitionTable, state: str, event: str) -> machine.IllegalTransitionError:
        error = illegal(table, state, event)
        told.append(str(error))
        return error

    monkeypatch.setattr(machine.TransitionTable, "illegal_transition", record)
    yield told
    assert not told
