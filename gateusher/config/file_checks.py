"""Checks the TOML file against its data model and for consistency between fields; collects all faults."""

from __future__ import annotations

import types
from difflib import get_close_matches
from typing import Any, Literal, Union, get_args, get_origin

import msgspec
from msgspec import Struct

from ..base.numbers import is_finite_number
from . import duties, membership
from .addresses import address

ALLOWED_METHODS = {
    "safe": {"GET", "OPTIONS"},
    "keyed": {"POST", "PUT", "PATCH", "DELETE"},
    "unsafe": {"POST", "PUT", "PATCH", "DELETE"},
}
MAX_LOAD_TASK_BYTES = 59  # MAX_NAME_BYTES less the prefix "load "


def _without_none(kind: Any) -> Any:
    """Return the type X of `X | None`."""
    if get_origin(kind) in (Union, types.UnionType):
        rest = [k for k in get_args(kind) if k is not type(None)]
        return rest[0] if len(rest) == 1 else kind
    return kind


def _check(value: Any, kind: Any, path: str, faults: list[str]) -> None:
    """Collect each fault under `path`.  msgspec stops at the first fault, so each value is converted separately."""
    kind = _without_none(kind)
    origin = get_origin(kind)
    if isinstance(kind, type) and issubclass(kind, Struct) and isinstance(value, dict):
        known = {f.encode_name: f for f in msgspec.structs.fields(kind)}
        for key, item in value.items():
            item_path = f"{path}.{key}" if path else key
            if key in known:
                _check(item, known[key].type, item_path, faults)
            else:
                close_matches = get_close_matches(key, known, 1)
                hint = f"did you mean {close_matches[0]!r}?" if close_matches else "allowed are " + ", ".join(known)
                faults.append(f"{item_path}: unknown; {hint}")
        for name, item in known.items():
            if item.required and name not in value:
                faults.append(f"{path}.{name}: missing" if path else f"{name}: missing")
    elif origin is list and isinstance(value, list):
        for i, item in enumerate(value):
            _check(item, get_args(kind)[0], f"{path}[{i}]", faults)
    elif origin is dict and isinstance(value, dict):
        for key, item in value.items():
            _check(item, get_args(kind)[1], f"{path}.{key}", faults)
    elif origin is Literal:
        if value not in get_args(kind):
            faults.append(f"{path}: one of {', '.join(get_args(kind))}, found {value!r}"[:300])
    else:
        try:
            msgspec.convert(value, kind)
        except msgspec.ValidationError as error:
            faults.append(f"{path}: {error}, found {value!r}"[:300])


def check_fields(data: dict[str, Any], kind: type[Struct], faults: list[str]) -> None:
    """Collect every violation of the data model in a file's content, each with its path."""
    _check(data, kind, "", faults)


def _check_address(value: Any, path: str, faults: list[str]) -> None:
    if isinstance(value, str):
        try:
            address(value)
        except ValueError as error:
            faults.append(f"{path}: an address ip:port, {error}")


def _table(value: Any) -> dict[str, Any]:
    return value if isinstance(value, dict) else {}


def check_consistency(data: dict[str, Any], faults: list[str]) -> None:
    """Collect inconsistencies between fields.  Values of the wrong type are skipped: `check_fields` reports them."""
    _check_classes(data, faults)
    _check_nodes(data, faults)
    _check_loads(data, faults)
    if isinstance(table := data.get("membership"), dict):
        membership.collect_faults(table, data.get("name", "gateusher"), faults, _check_address)
    if isinstance(table := data.get("duties"), dict):
        duties.collect_faults(table, data, faults)
    _check_address(data.get("listen"), "listen", faults)
    _check_address(data.get("admin"), "admin", faults)


def _check_classes(data: dict[str, Any], faults: list[str]) -> None:
    if data.get("classes") == {}:
        faults.append("classes: at least one is wanted")
    for name, raw in _table(data.get("classes")).items():
        if not name.isascii() or not name or any(c in "/? \t\r\n" for c in name):
            faults.append(f"classes.{name}: a name is ASCII without '/', '?' and spaces")
        _check_class(f"classes.{name}", _table(raw), faults)


def _check_class(path: str, table: dict[str, Any], faults: list[str]) -> None:
    aim, deadline, effect = table.get("aim"), table.get("deadline"), table.get("effect")
    if is_finite_number(aim) and is_finite_number(deadline) and 0 < deadline < aim:
        faults.append(f"{path}.deadline: no less than the aim, {aim:g}, found {deadline:g}")
    allowed = ALLOWED_METHODS.get(str(effect))
    methods = table.get("methods")
    if allowed and isinstance(methods, list):
        for i, method in enumerate(methods):
            if str(method) not in allowed:
                faults.append(
                    f"{path}.methods[{i}]: {' or '.join(sorted(allowed))} where the effect is "
                    f"{effect}, found {method!r}"
                )
    if effect == "keyed" and table.get("window", 0) == 0:
        faults.append(f"{path}.window: more than 0 where the effect is keyed, found 0")


def _check_nodes(data: dict[str, Any], faults: list[str]) -> None:
    if bool(data.get("nodes")) is bool(data.get("discovery")):
        faults.append("nodes: either nodes or discovery is wanted, and not both")
    seen = set()
    for i, node in enumerate(_tables(data.get("nodes"))):
        _check_address(node.get("address"), f"nodes[{i}].address", faults)
        name = str(node.get("name", ""))
        if name in seen:
            faults.append(f"nodes[{i}].name: another node has this name, {name!r}")
        seen.add(name)
    _check_address(_table(data.get("discovery")).get("address"), "discovery.address", faults)


def _check_loads(data: dict[str, Any], faults: list[str]) -> None:
    if data.get("load") and "rehearsal" not in data:
        faults.append("load: requires a [rehearsal] table, which ensures that the nodes are stand-ins")
    for i, load in enumerate(_tables(data.get("load"))):
        task = load.get("duty")
        if task is not None and "duties" not in data:
            faults.append(f"load[{i}].duty: requires a [duties] table, which names its voters")
        if isinstance(task, str) and not duties.is_valid_task_name(f"load {task}"):
            faults.append(f"load[{i}].duty: at most {MAX_LOAD_TASK_BYTES} bytes of printable text, found {task!r}")


def _tables(value: Any) -> list[dict[str, Any]]:
    return [_table(item) for item in value] if isinstance(value, list) else []
