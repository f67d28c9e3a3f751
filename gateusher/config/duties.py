"""The `[duties]` table: the voters on singleton tasks (operators call them duties), and where a voter stores state.

This module has no state.  The keys of the table are part of the configuration's public interface.
"""

from __future__ import annotations

from typing import Annotated, Any, NamedTuple

from msgspec import Meta, Struct, field

from .membership import MAX_NAME_BYTES, is_valid_name

VOTER_SET_SIZES = (1, 3, 5, 7)


class Duties(NamedTuple):
    """The lease settings of this process.  Times are milliseconds."""

    name: str
    voters: tuple[str, ...]
    before: tuple[str, ...] = ()  # the previous set of voters, during a change
    step: int = 1  # number of the change of the voter set
    lease_ms: float = 10000.0
    drift: float = 0.01  # largest relative error of a clock's rate
    folder: str | None = None  # where a voter stores its state; None: it has no disk

    @property
    def votes(self) -> bool:
        """Whether this process is a voter."""
        return self.name in self.voters or self.name in self.before


class Table(Struct, forbid_unknown_fields=True, frozen=True):
    """The table as written, identical in every sidecar.  Voters are names of members; requires [membership]."""

    voters: Annotated[list[str], Meta(min_length=1, max_length=7)]
    before: list[str] = field(default_factory=list)
    step: Annotated[int, Meta(ge=1, le=1_000_000)] = 1
    lease: Annotated[float, Meta(ge=0.2, le=600)] = 10.0  # seconds
    drift: Annotated[float, Meta(ge=0, le=0.2)] = 0.01
    folder: Annotated[str, Meta(min_length=1, max_length=4096)] | None = None
    diskless: bool = False  # must be true for a voter without a folder


def is_valid_task_name(name: str) -> bool:
    """Return whether an application's task may have this name; names that begin with "~" are internal."""
    return 0 < len(name.encode()) <= MAX_NAME_BYTES and name.isprintable() and not name.startswith("~")


def collect_faults(table: dict[str, Any], data: dict[str, Any], faults: list[str]) -> None:
    """Append faults that the fields' types allow; values of the wrong type are reported elsewhere."""
    members = data.get("membership")
    if not isinstance(members, dict):
        faults.append("duties: requires a [membership] table, since voters are members")
        return
    own_name = members.get("name", data.get("name", "gateusher"))
    peers = members.get("peers", [])
    known = {own_name}
    if isinstance(peers, list):
        known |= {str(peer).rpartition("@")[0] for peer in peers}
    any_name = members.get("addresses") == "learnt"
    voters: list[str] = []
    for key in ("voters", "before"):
        names = table.get(key, [])
        if isinstance(names, list) and all(isinstance(name, str) for name in names):
            _check_voter_set(key, names, None if any_name else known, faults)
            voters += names
    if table.get("before") and table.get("step", 1) == 1:
        faults.append("duties.step: 2 or more where `before` is set; each change increments it")
    if own_name in voters and not table.get("folder") and table.get("diskless") is not True:
        faults.append("duties.folder: required for a voter, unless diskless = true")
    if table.get("folder") and table.get("diskless") is True:
        faults.append("duties.diskless: not allowed with a folder")


def _check_voter_set(key: str, names: list[str], known: set[str] | None, faults: list[str]) -> None:
    """Check one set of voters.  `known` holds the names of members; None if they are not configured."""
    if (names or key == "voters") and len(names) not in VOTER_SET_SIZES:
        faults.append(f"duties.{key}: 1, 3, 5 or 7 names wanted, found {len(names)}")
    if len(set(names)) != len(names):
        faults.append(f"duties.{key}: duplicate name")
    for i, name in enumerate(names):
        if not is_valid_name(name) or (known is not None and name not in known):
            faults.append(f"duties.{key}[{i}]: neither this sidecar's name nor a peer's, {name!r}"[:300])


def settings(table: Table, name: str) -> Duties:
    """Return the settings of a table without faults; `name` is the member's."""
    return Duties(
        name=name,
        voters=tuple(table.voters),
        before=tuple(table.before),
        step=table.step,
        lease_ms=table.lease * 1000,
        drift=table.drift,
        folder=table.folder,
    )
