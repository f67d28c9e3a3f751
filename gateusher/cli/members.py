"""`gateusher members`: who a running sidecar holds for there, and what that costs."""

from __future__ import annotations

from typing import Any

from rich.console import Group
from rich.table import Table
from rich.text import Text

from .control import print_report

STYLES = {"alive": "green", "suspect": "yellow", "failed": "red", "left": "dim", "unseen": "dim", "displaced": "red"}


def _ago(seconds: float | None) -> str:
    if seconds is None:
        return "never"
    return (
        f"{seconds:.1f} s"
        if seconds < 120
        else f"{seconds / 60:.0f} min"
        if seconds < 7200
        else f"{seconds / 3600:.1f} h"
    )


def _shown(report: dict[str, Any]) -> Group:
    table = Table(title=f"{report['name']}: {report['there']} there")
    for column in ("name", "state", "since", "heard", "suspected by", "address", "incarnation", "health"):
        table.add_column(column, justify="right" if column in ("since", "heard", "incarnation", "health") else "left")
    for m in report["members"]:
        state = m["state"] + ("" if m["proven"] or m["state"] not in ("alive", "suspect") else " (by hearsay)")
        table.add_row(
            m["name"],
            Text(state, STYLES.get(m["state"], "")),
            _ago(m["since_s"]),
            _ago(m["heard_s"]),
            ", ".join(m["suspected_by"]),
            m["address"] or "none of ours",
            f"{m['incarnation'] >> 16}.{m['incarnation'] & 0xFFFF}",
            str(m["health"]),
        )
    drops = ", ".join(f"{n} {why}" for why, n in sorted(report["drops"].items())) or "none"
    notes = [
        f"own health {report['health']} (0 is well); a second {report['bytes_per_s']:.0f} bytes of "
        f"{report['bound_bytes_per_s']:.0f} allowed and {report['datagrams_per_s']:.1f} datagrams are sent",
        f"dropped: {drops}",
    ]
    if report["displaced"]:
        notes.append("a newer process uses this name: this one takes no part until it is restarted or renamed")
    return Group(table, *(Text(note) for note in notes))


def members(config: str | None, at: str | None, as_json: bool, watch: bool) -> int:
    """0; 2 where no sidecar can be asked, or it has no members."""
    return print_report(
        config,
        at,
        "/_members",
        "this sidecar knows of no others; [membership] is not set",
        _shown,
        as_json,
        watch and not as_json,
    )
