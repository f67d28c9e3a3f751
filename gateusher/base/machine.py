"""State machines as transition tables: a transition that a table doesn't list is an error."""

from __future__ import annotations

from collections.abc import Mapping

from .log import log_event


class IllegalTransitionError(RuntimeError):
    """An event occurred that the machine's current state doesn't allow.

    It is logged, and the machine's owner fails only the request concerned.
    """


class TransitionTable:
    """Maps each state to the events that it allows, and each of these to the next state."""

    def __init__(self, name: str, transitions: Mapping[str, Mapping[str, str]]) -> None:
        self.name = name
        self.transitions = transitions

    def next_state(self, state: str, event: str) -> str:
        """Return the state after this event.  Raises IllegalTransitionError."""
        try:
            return self.transitions[state][event]
        except KeyError:
            raise self.illegal_transition(state, event) from None

    def illegal_transition(self, state: str, event: str) -> IllegalTransitionError:
        """Log an illegal transition and return the exception for it."""
        description = f"{self.name}: {event!r} in state {state!r}"
        log_event("illegal transition", description)
        return IllegalTransitionError(description)
