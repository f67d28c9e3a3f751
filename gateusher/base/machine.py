"""State machines as tables: what a table doesn't hold can't happen, and is told where it would."""

from __future__ import annotations

from collections.abc import Mapping

from .log import log_event


class IllegalMoveError(RuntimeError):
    """Something was asked of a machine that its present state doesn't allow.

    In service it is logged, and whoever owns the machine gives that one request an honest failure.
    """


class Table:
    """States, and for each what may happen in it and which state that leads to.  States and events are words."""

    def __init__(self, name: str, moves: Mapping[str, Mapping[str, str]]) -> None:
        self.name, self.moves = name, moves

    def move(self, state: str, event: str) -> str:
        """The state after this event.  Raises IllegalMoveError."""
        try:
            return self.moves[state][event]
        except KeyError:
            raise self.illegal(state, event) from None

    def illegal(self, state: str, event: str) -> IllegalMoveError:
        log_event("illegal move", f"{self.name}: {event!r} while {state!r}")
        return IllegalMoveError(f"{self.name}: {event!r} while {state!r}")
