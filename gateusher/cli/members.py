"""`gateusher members`: the fleet's members as a running sidecar sees them, and the traffic of the protocol."""

from __future__ import annotations

from typing import Any, Final

from rich.console import Group
from rich.table import Table
from rich.text import Text

from .control import print_report

STATE_STYLES: Final = {
    "alive": "green",
    "suspect": "yellow",
    "failed": "red",
    "left": "dim",
    "unseen": "dim",
    "displaced": "red",
}
COLUMNS: Final = ("name", "state", "since", "heard", "suspected by", "address", "incarnation", "health")
RIGHT_ALIGNED_COLUMNS: Final = ("since", "heard", "incarnation", "health")
REACHABLE_STATES: Final = ("alive", "suspect")
MAX_SHOWN_AS_SECONDS: Final = 120
MAX_SHOWN_AS_MINUTES_S: Final = 7200
INCARNATION_COUNTER_BITS: Final = (
    16  # WALL_MS_SHIFT of membership: the bits above are the wall-clock start time in ms
)


def members(config: str | None, at: str | None, as_json: bool, watch: bool) -> int:
    """Print the members; return 2 if no sidecar can be reached or it has no [membership] configured."""
    return print_report(
        config,
        at,
        "/_members",
        "this sidecar is in no fleet: [membership] is not set",
        _render,
        as_json,
        watch and not as_json,
    )


def _render(report: dict[str, Any]) -> Group:
    table = Table(title=f"{report['name']}: {report['there']} reachable")
    for column in COLUMNS:
        table.add_column(column, justify="right" if column in RIGHT_ALIGNED_COLUMNS else "left")
    for member in report["members"]:
        table.add_row(
            member["name"],
            _state_cell(member),
            _format_age(member["since_s"]),
            _format_age(member["heard_s"]),
            ", ".join(member["suspected_by"]),
            member["address"] or "not in the configuration",
            _format_incarnation(member["incarnation"]),
            str(member["health"]),
        )
    return Group(table, *(Text(note) for note in _notes(report)))


def _state_cell(member: dict[str, Any]) -> Text:
    state = member["state"]
    is_unproven = state in REACHABLE_STATES and not member["proven"]
    label = f"{state} (unconfirmed)" if is_unproven else state
    return Text(label, STATE_STYLES.get(state, ""))


def _format_age(seconds: float | None) -> str:
    if seconds is None:
        return "never"
    if seconds < MAX_SHOWN_AS_SECONDS:
        return f"{seconds:.1f} s"
    if seconds < MAX_SHOWN_AS_MINUTES_S:
        return f"{seconds / 60:.0f} min"
    return f"{seconds / 3600:.1f} h"


def _format_incarnation(incarnation: int) -> str:
    start_ms = incarnation >> INCARNATION_COUNTER_BITS
    counter = incarnation & ((1 << INCARNATION_COUNTER_BITS) - 1)
    return f"{start_ms}.{counter}"


def _notes(report: dict[str, Any]) -> list[str]:
    drops = ", ".join(f"{count} {reason}" for reason, count in sorted(report["drops"].items())) or "none"
    notes = [
        f"own health {report['health']} (0 is healthy); sent per second: {report['bytes_per_s']:.0f} bytes of "
        f"{report['bound_bytes_per_s']:.0f} allowed, {report['datagrams_per_s']:.1f} datagrams",
        f"dropped: {drops}",
    ]
    if report["displaced"]:
        notes.append("a newer process uses this name: this sidecar is inactive until it is restarted or renamed")
    return notes
