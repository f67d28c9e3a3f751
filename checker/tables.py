"""The transitions of the state tables that an exploration has not taken."""

from __future__ import annotations

from gateusher.core.states import ATTEMPT, CONNECTION, REQUEST


def unreached_transitions(taken: set[tuple[str, ...]]) -> list[tuple[str, str, str]]:
    """Return the table, state and event of each transition that is not among those taken."""
    return [
        (table.name, state, event)
        for table in (REQUEST, ATTEMPT, CONNECTION)
        for state, new_states in table.transitions.items()
        for event in new_states
        if (table.name, state, event) not in taken
    ]
