"""State machines as transition tables: a transition that a table doesn't list can't happen."""

from __future__ import annotations

from collections.abc import Mapping

from .log import log_event


class IllegalTransitionError(RuntimeError):
    """An event came that the machine's present state doesn't allow.

    In service it is logged, and the machine's owner fails the one request that it concerns.
    """


class TransitionTable:
    """For each state the events that it allows, and the state that each leads to.  States and events are strings."""

    def __init__(self, name: str, transitions: Mapping[str, Mapping[str, str]]) -> None:
        self.name = name
        self.transitions = transitions

    def next_state(self, state: str, event: str) -> str:
        """The state after this event.  Raises IllegalTransitionError."""
        try:
            return self.transitions[state][event]
        except KeyError:
            raise self.illegal(state, event) from None

    def illegal(self, state: str, event: str) -> IllegalTransitionError:
        """Log an illegal transition and return the exception for it."""
        description = f"{self.name}: {event!r} in state {state!r}"
        log_event("illegal transition", description)
        return IllegalTransitionError(description)
