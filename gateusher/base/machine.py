"""State machines as tables: what a table doesn't hold can't happen, and is told where it would."""

from __future__ import annotations

from collections.abc import Mapping

from .log import log_event


class IllegalTransitionError(RuntimeError):
    """Something was asked of a machine that its present state doesn't allow.

    In service it is logged, and whoever owns the machine gives that one request an honest failure.
    """


class TransitionTable:
    """States, and for each what may happen in it and which state that leads to.  States and events are words."""

    def __init__(self, name: str, moves: Mapping[str, Mapping[str, str]]) -> None:
        self.name, self.transitions = name, moves

    def next_state(self, state: str, event: str) -> str:
        """The state after this event.  Raises IllegalTransitionError."""
        try:
            return self.transitions[state][event]
        except KeyError:
            raise self.illegal(state, event) from None

    def illegal(self, state: str, event: str) -> IllegalTransitionError:
        log_event("illegal move", f"{self.name}: {event!r} while {state!r}")
        return IllegalTransitionError(f"{self.name}: {event!r} while {state!r}")
