"""`gateusher duty list`, `watch` and `give`: the singleton tasks of a fleet and their lease holders.

`gateusher duty hold` is in `duty_hold.py`.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Any, Final

from rich.console import Group
from rich.table import Table
from rich.text import Text

from ..config.model import ConfigError
from ..duties.remote import UnreachableError, post
from .control import control_address, parse_address, print_report

EXIT_SUCCESS: Final = 0
EXIT_NO_HOLDER: Final = 1
EXIT_NO_SIDECAR: Final = 2
COLUMNS: Final = ("duty", "holder", "fence", "lasts", "here")
RIGHT_ALIGNED_COLUMNS: Final = ("fence", "lasts")


def give(config: str | None, at: str | None, task: str) -> int:
    """Ask the lease holder of a task to release it, and return the exit code.

    The exit code is 1 if this sidecar knows of no holder, and 2 if no sidecar can be reached.
    """
    try:
        where = parse_address(control_address(config, at))
        reply = asyncio.run(post(where, "/_duty/give", duty=task))
    except ConfigError as error:
        print(*error.faults, sep="\n", file=sys.stderr)
        return EXIT_NO_SIDECAR
    except UnreachableError as error:
        print(error, file=sys.stderr)
        return EXIT_NO_SIDECAR
    holder = reply["holder"]
    if not holder:
        print(
            f"{task}: this sidecar knows of no lease holder; ask a voter, which knows of the leases that it granted",
            file=sys.stderr,
        )
        return EXIT_NO_HOLDER
    print(f"{task}: {holder} was told to release the lease")
    return EXIT_SUCCESS


def list_tasks(config: str | None, at: str | None, as_json: bool, watch: bool) -> int:
    """Print the tasks that a sidecar knows of; return 2 if it can't be reached or has no [duties] configured."""
    return print_report(
        config,
        at,
        "/_duties",
        "this sidecar has no singleton tasks: [duties] is not set",
        _render,
        as_json,
        watch,
    )


def _render(report: dict[str, Any]) -> Group:
    table = Table(title=f"{report['name']}: duties")
    for column in COLUMNS:
        table.add_column(column, justify="right" if column in RIGHT_ALIGNED_COLUMNS else "left")
    for task, row in sorted(_rows(report).items()):
        table.add_row(task, *row)
    return Group(table, Text(_membership_line(report)), Text(_sessions_line(report)))


def _rows(report: dict[str, Any]) -> dict[str, list[str]]:
    """Return holder, fence, remaining time and local state by task.

    Starts from the leases that this voter granted, then merges in the sidecar's own lease claims.
    """
    rows: dict[str, list[str]] = {}
    for grant in report["granted"]:
        rows[grant["duty"]] = [grant["holder"], str(grant["fence"]), f"{grant['left_s']:.1f} s", ""]
    for claim in report["own"]:
        holder, fence, remaining, _ = rows.get(claim["duty"], [claim["holder"] or "", "", "", ""])
        if claim["left_s"] is not None:
            holder = report["name"]
            fence = str(claim["fence"])
            remaining = f"{claim['left_s']:.1f} s"
        rows[claim["duty"]] = [holder, fence, remaining, claim["state"]]
    return rows


def _membership_line(report: dict[str, Any]) -> str:
    vote = "votes" if report["votes"] else f"casts no vote: {report['why_not']}"
    previous = f", before {', '.join(report['before'])}" if report["before"] else ""
    return f"step {report['step']}, voters {', '.join(report['voters'])}{previous}; this one {vote}"


def _sessions_line(report: dict[str, Any]) -> str:
    sessions = [
        f"{voter} {left_s:.1f} s" if left_s else f"{voter} silent" for voter, left_s in report["voters_heard"].items()
    ]
    return f"sessions: {', '.join(sessions)}"
