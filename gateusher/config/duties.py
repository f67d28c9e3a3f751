"""`[duties]`: who counts when one sidecar alone may do something, and where a voter remembers what it granted."""

from __future__ import annotations

from typing import Annotated, Any, NamedTuple

from msgspec import Meta, Struct, field

from .membership import MAX_NAME_BYTES, is_valid_name

SIZES = (1, 3, 5, 7)  # of a set of voters


class Duties(NamedTuple):
    """What the voter and the candidate of this process go by.  Times are milliseconds."""

    name: str
    voters: tuple[str, ...]
    before: tuple[str, ...] = ()
    step: int = 1
    lease_ms: float = 10000.0
    drift: float = 0.01
    folder: str | None = None  # a voter's; None: it has no disk

    @property
    def votes(self) -> bool:
        """Whether this process is a voter."""
        return self.name in self.voters or self.name in self.before


class Table(Struct, forbid_unknown_fields=True, frozen=True):
    """The voters by their members' names, the same in every sidecar.  Needs [membership]."""

    voters: Annotated[list[str], Meta(min_length=1, max_length=7)]
    before: list[str] = field(default_factory=list)  # the voters that are being replaced
    step: Annotated[int, Meta(ge=1, le=1_000_000)] = 1
    lease: Annotated[float, Meta(ge=0.2, le=600)] = 10.0
    drift: Annotated[float, Meta(ge=0, le=0.2)] = 0.01
    folder: Annotated[str, Meta(min_length=1, max_length=4096)] | None = None
    diskless: bool = False  # a voter without a folder says that it is meant so


def good_duty(name: str) -> bool:
    """Whether this may name a duty; those that begin with "~" are the program's own."""
    return 0 < len(name.encode()) <= MAX_NAME_BYTES and name.isprintable() and not name.startswith("~")


def faults_of(table: dict[str, Any], data: dict[str, Any], faults: list[str]) -> None:
    """What each field allows by itself and the whole doesn't; what has the wrong type is passed over here."""
    members = data.get("membership")
    if not isinstance(members, dict):
        faults.append("duties: wants a [membership] table, since voters are members")
        return
    own = members.get("name", data.get("name", "gateusher"))
    peers = members.get("peers", [])
    known = {str(p).rpartition("@")[0] for p in peers if isinstance(peers, list)} | {own}
    learnt = members.get("addresses") == "learnt"
    named: list[str] = []
    for key in ("voters", "before"):
        names = table.get(key, [])
        if not isinstance(names, list) or not all(isinstance(n, str) for n in names):
            continue
        if (names or key == "voters") and len(names) not in SIZES:
            faults.append(f"duties.{key}: 1, 3, 5 or 7 names wanted, found {len(names)}")
        if len(set(names)) != len(names):
            faults.append(f"duties.{key}: a name stands twice")
        for i, name in enumerate(names):
            if not is_valid_name(name) or (name not in known and not learnt):
                faults.append(f"duties.{key}[{i}]: neither this sidecar's name nor a peer's, {name!r}"[:300])
        named += names
    if table.get("before") and table.get("step", 1) == 1:
        faults.append("duties.step: 2 or more where `before` is set; each step of a change goes up by one")
    if own in named and not table.get("folder") and table.get("diskless") is not True:
        faults.append("duties.folder: a voter wants one, or diskless = true")
    if table.get("folder") and table.get("diskless") is True:
        faults.append("duties.diskless: not beside a folder")


def settings(table: Table, name: str) -> Duties:
    """The settings of a table without faults; `name` is the member's."""
    return Duties(
        name, tuple(table.voters), tuple(table.before), table.step, table.lease * 1000, table.drift, table.folder
    )
