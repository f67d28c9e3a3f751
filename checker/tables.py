"""Which moves of the tables an exploration has made."""

from __future__ import annotations

from gateusher.core.states import ATTEMPT, CONNECTION, REQUEST


def unreached_transitions(table_transitions: set[tuple[str, ...]]) -> list[tuple[str, str, str]]:
    """The moves that the tables hold and that were not made."""
    return [
        (table.name, state, event)
        for table in (REQUEST, ATTEMPT, CONNECTION)
        for state, after in table.transitions.items()
        for event in after
        if (table.name, state, event) not in table_transitions
    ]
