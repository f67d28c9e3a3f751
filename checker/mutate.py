"""Mutation operators: each mutant changes one node of a module's syntax tree while that module is imported.

A mutant's name is `module:function:operator:digest`.  The digest covers only the changed text, so a name stays the
same when lines move or other code changes.  This module does not import the program.
"""

from __future__ import annotations

import ast
import copy
import hashlib
import importlib.machinery
import sys
from collections import Counter
from collections.abc import Iterator
from importlib.abc import MetaPathFinder
from pathlib import Path
from types import ModuleType
from typing import Any, NamedTuple

ROOT = Path(__file__).parents[1]
# The mutated modules, each with the functions and constants to mutate (an empty tuple: all).  Of the policy these are
# the functions that decide on retries, rejections and eligible endpoints; the others only choose among eligible ones.
TARGETS: dict[str, tuple[str, ...]] = {
    "gateusher.core.engine": (),
    "gateusher.core.requests": (),
    "gateusher.core.attempts": (),
    "gateusher.core.deadlines": (),
    "gateusher.core.policy_timers": (),
    "gateusher.core.backlog": ("BACKLOG_MS",),
    "gateusher.core.states": (),
    "gateusher.upstream.connection": (),
    "gateusher.upstream.pool": (),
    "gateusher.upstream.request_head": (),
    "gateusher.upstream.response_parser": (),
    "gateusher.upstream.response_stream": (),
    "gateusher.upstream.interface": (),
    "gateusher.upstream.states": (),
    "gateusher.listeners.accepting": (),
    "gateusher.listeners.classification": (),
    "gateusher.listeners.client_connection": (),
    "gateusher.listeners.http_request": (),
    "gateusher.listeners.read_pause": (),
    "gateusher.listeners.receive_timer": (),
    "gateusher.listeners.request_parser": (),
    "gateusher.listeners.response_writer": (),
    "gateusher.listeners.server": (),
    "gateusher.listeners.unread_input": (),
    "gateusher.client": (),
    "gateusher.discovery.call": (),
    "gateusher.discovery.calls": (),
    "gateusher.discovery.catalog": (),
    "gateusher.discovery.list_stream": (),
    "gateusher.discovery.lists": (),
    "gateusher.policy.interface": ("NEVER_EXECUTED",),
    "gateusher.policy.endpoint_list": (
        "update",
        "timer_fired",
        "poll_on_shortage",
        "_watch",
        "_watch_failed",
        "_poll_after",
        "_drop_unlisted",
        "_apply",
    ),
    "gateusher.policy.control_set": ("add", "remove"),
    "gateusher.policy.slow_start": ("begin", "has_budget"),
    "gateusher.policy.outlier_detection": ("check_usable", "restarted", "sent"),
    "gateusher.policy.sticky_endpoints": ("in_deduplication_scope", "deduplication_window_open"),
    "gateusher.policy.endpoint_selection": ("_select_in_deduplication_scope",),
    "gateusher.policy.retries": (
        "MIN_TIME_DIVISOR",
        "max_attempts",
        "min_time_ms",
        "attempt_expires_ms",
        "retry_after_ms",
    ),
    "gateusher.policy.requests": (
        "start",
        "client_disconnected",
        "hold_ended",
        "attempt_ended",
        "_deadline",
        "_next_attempt",
        "_hold",
        "_send",
        "_pull_load_report",
        "_release",
        "_end",
        "_forget",
    ),
    "gateusher.policy.balancer": ("_timer_fired",),
    "gateusher.policy.permission": ("may_reject",),
}
SWAPPED_COMPARISONS: dict[type[ast.cmpop], type[ast.cmpop]] = {
    ast.Lt: ast.LtE,
    ast.LtE: ast.Lt,
    ast.Gt: ast.GtE,
    ast.GtE: ast.Gt,
    ast.Eq: ast.NotEq,
    ast.NotEq: ast.Eq,
    ast.Is: ast.IsNot,
    ast.IsNot: ast.Is,
    ast.In: ast.NotIn,
    ast.NotIn: ast.In,
}
SWAPPED_CALLS = {"min": "max", "max": "min", "any": "all", "all": "any"}
# Enum members with related meanings; a mutant replaces each by the next.
ENUM_MEMBERS = {
    "Outcome": ("OK", "ERROR", "REJECTED", "TIMEOUT", "CONNECT_FAILED", "RESET", "CANCELLED", "NOT_SENT"),
    "EndpointState": ("REMOVED", "READY", "DRAINING"),
    "UpdateKind": ("CACHED", "CHANGES", "FAILED", "COMPLETE"),
    "Effect": ("IDEMPOTENT", "KEYED", "NOT_IDEMPOTENT"),
    "DeduplicationScope": ("ALL", "ZONE", "CELL"),
    "FinalOutcome": ("SERVED", "REJECTED", "FAILED", "TIMED_OUT"),
    "RequestFault": ("DEADLINE", "ID", "METHOD", "KEY", "BODY", "CONFLICT"),
}
CONSTANT_CYCLES = (
    ("PREPARING", "OPEN", "ANSWERED", "DISCONNECTED", "RELEASED"),
    ("SUBMIT", "CONCLUDE", "DISCONNECT", "RELEASE"),
    ("CREATED", "UNSENT", "PARTIALLY_SENT", "SENT", "ENDED"),
    ("ASSIGN", "WRITE_PART", "WRITE_ALL", "END_NOT_EXECUTED", "END_MAY_HAVE_RUN"),
    (
        "CONNECTING",
        "IDLE",
        "AWAITING_RESPONSE",
        "READING_HEAD",
        "READING_BODY",
        "COMPLETE",
        "COMPLETE_WITH_EXTRA",
        "INVALID",
        "CLOSED",
    ),
    (
        "CONNECTED",
        "SEND_REQUEST",
        "MESSAGE_BEGIN",
        "INTERIM_END",
        "HEAD_END",
        "BODY_END",
        "EXTRA_DATA",
        "INVALIDATE",
        "KEEP_ALIVE",
        "CLOSE",
    ),
)
NEXT_CONSTANT = {name: cycle[(i + 1) % len(cycle)] for cycle in CONSTANT_CYCLES for i, name in enumerate(cycle)}
LOG_CALLS = ("log_event",)  # not mutated: their absence shows only in the log


class Mutant(NamedTuple):
    """One mutation: its name and line, the text before and after, and the mutated module."""

    name: str
    module: str
    line: int
    before: str
    after: str
    tree: ast.Module


def path_of(module: str) -> Path:
    """Return the source file of a module."""
    return ROOT / (module.replace(".", "/") + ".py")


class _Location(NamedTuple):
    """A mutable location in a syntax tree: a field of a node or one of its items, and the line of its statement."""

    node: ast.AST
    field: str
    item: int | None
    line: int

    def get(self) -> Any:
        value = getattr(self.node, self.field)
        return value if self.item is None else value[self.item]

    def put(self, new: Any) -> None:
        if self.item is None:
            setattr(self.node, self.field, new)
        else:
            getattr(self.node, self.field)[self.item] = new


def _negated(test: ast.expr) -> ast.expr:
    if isinstance(test, ast.UnaryOp) and isinstance(test.op, ast.Not):
        return test.operand
    return ast.UnaryOp(ast.Not(), test)


def _is_log_call(statement: ast.stmt) -> bool:
    return (
        isinstance(statement, ast.Expr)
        and isinstance(statement.value, ast.Call)
        and isinstance(statement.value.func, ast.Name)
        and statement.value.func.id in LOG_CALLS
    )


def _mutations(node: Any) -> Iterator[tuple[str, Any]]:
    """Yield each operator that applies to this node, with the node that it puts in its place."""
    yield from _condition_mutations(node)
    yield from _value_mutations(node)
    yield from _statement_mutations(node)


def _condition_mutations(node: Any) -> Iterator[tuple[str, Any]]:
    if isinstance(node, ast.If | ast.While | ast.IfExp):
        yield "negate the condition", _with(node, test=_negated(node.test))
        if not isinstance(node, ast.While):
            yield "condition always holds", _with(node, test=ast.Constant(True))
        yield "condition never holds", _with(node, test=ast.Constant(False))
    if isinstance(node, ast.Compare) and len(node.ops) == 1 and (swap := SWAPPED_COMPARISONS.get(type(node.ops[0]))):
        yield "swap the bound", _with(node, ops=[swap()])
    if isinstance(node, ast.BoolOp):
        for index in range(len(node.values)):
            rest = node.values[:index] + node.values[index + 1 :]
            yield "drop one of the conditions", rest[0] if len(rest) == 1 else _with(node, values=rest)
        yield "and for or", _with(node, op=ast.Or() if isinstance(node.op, ast.And) else ast.And())


def _value_mutations(node: Any) -> Iterator[tuple[str, Any]]:
    if isinstance(node, ast.BinOp) and isinstance(node.op, ast.Add | ast.Sub):
        yield "plus for minus", _with(node, op=ast.Sub() if isinstance(node.op, ast.Add) else ast.Add())
    if isinstance(node, ast.Constant):
        if isinstance(node.value, bool):
            yield "the other truth", ast.Constant(not node.value)
        elif isinstance(node.value, int):
            yield "off by one", ast.Constant(node.value + 1)
        elif isinstance(node.value, float):
            yield "off by one", ast.Constant(node.value + 1.0)
    if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id in ENUM_MEMBERS:
        members = ENUM_MEMBERS[node.value.id]
        if node.attr in members:
            yield "another member", _with(node, attr=members[(members.index(node.attr) + 1) % len(members)])
    if isinstance(node, ast.Name) and isinstance(node.ctx, ast.Load):
        if node.id in NEXT_CONSTANT:
            yield "another member", ast.Name(NEXT_CONSTANT[node.id], ast.Load())
        if node.id in SWAPPED_CALLS:
            yield "swap the bound", ast.Name(SWAPPED_CALLS[node.id], ast.Load())


def _statement_mutations(node: Any) -> Iterator[tuple[str, Any]]:
    if (
        isinstance(node, ast.Expr | ast.AugAssign | ast.Raise | ast.Continue | ast.Break | ast.Return | ast.Delete)
        and not (isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant))
        and not _is_log_call(node)
    ):
        yield "drop the statement", ast.Pass()
    if isinstance(node, ast.Assign) and all(
        isinstance(t, ast.Attribute | ast.Subscript | ast.Tuple) for t in node.targets
    ):
        yield "drop the statement", ast.Pass()
    if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef) and len(node.body) > 1:
        first = 1 if isinstance(node.body[0], ast.Expr) and isinstance(node.body[0].value, ast.Constant) else 0
        returns_none = isinstance(node.returns, ast.Constant) and node.returns.value is None
        if returns_none and node.name != "__init__" and len(node.body) > first + 1:
            body = [*node.body[: first + 1], ast.Return(None), *node.body[first + 1 :]]
            yield "return early", _with(node, body=body)


def _with(node: Any, **changed: Any) -> Any:
    new = copy.copy(node)
    for field, value in changed.items():
        setattr(new, field, value)
    return new


def _assigns(statement: ast.AST, constants: tuple[str, ...]) -> bool:
    """Return whether the statement assigns one of these constants."""
    targets: list[ast.expr]
    if isinstance(statement, ast.AnnAssign):
        targets = [statement.target]
    elif isinstance(statement, ast.Assign):
        targets = statement.targets
    else:
        return False
    return any(isinstance(target, ast.Name) and target.id in constants for target in targets)


def _is_excluded(node: ast.AST) -> bool:
    """Return whether this node is not mutated: imports, asserts, docstrings, log calls, `__slots__`, `__all__`."""
    if isinstance(node, ast.Import | ast.ImportFrom | ast.Assert):
        return True
    if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
        return True  # a docstring
    if isinstance(node, ast.stmt) and _is_log_call(node):
        return True
    if isinstance(node, ast.If) and "TYPE_CHECKING" in ast.unparse(node.test):
        return True
    return isinstance(node, ast.Assign) and any(
        isinstance(t, ast.Name) and t.id in ("__slots__", "__all__") for t in node.targets
    )


def _locations(
    node: ast.AST, names: tuple[str, ...], included: tuple[str, ...], line: int = 0
) -> Iterator[tuple[str, _Location]]:
    """Yield each location that can be mutated, with its qualified function name.

    `included` restricts the result to these functions and constants; an empty tuple includes all.
    """
    for field, value in ast.iter_fields(node):
        if field in ("annotation", "returns", "decorator_list", "bases", "type_params"):
            continue
        items = [(i, v) for i, v in enumerate(value)] if isinstance(value, list) else [(None, value)]
        for index, item in items:
            if not isinstance(item, ast.AST) or _is_excluded(item):
                continue
            inner, item_line = names, item.lineno if isinstance(item, ast.stmt) else line
            if isinstance(item, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
                inner = (*names, item.name)
            if not included or any(name in included for name in inner):
                yield ".".join(inner) or "module", _Location(node, field, index, item_line)
            yield from _locations(item, inner, () if _assigns(item, included) else included, item_line)


def mutants(module: str) -> Iterator[Mutant]:
    """Yield every mutant of a module, in source order.

    The tree of a mutant is valid only until the next one is requested.
    """
    tree = ast.parse(path_of(module).read_text())
    seen: Counter[str] = Counter()
    short = module.removeprefix("gateusher.")
    for function, location in list(_locations(tree, (), TARGETS[module])):
        old = location.get()
        for operator, new in _mutations(old):
            before, after = _text(old), _text(new)
            if before == after:
                continue
            digest = hashlib.blake2b(f"{before}\n{after}".encode(), digest_size=4).hexdigest()
            name = f"{short}:{function}:{operator.replace(' ', '-')}:{digest}"
            seen[name] += 1
            if seen[name] > 1:
                name += f".{seen[name]}"
            location.put(new)
            yield Mutant(name, module, location.line, before, after, tree)
            location.put(old)


def _text(node: ast.AST) -> str:
    if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
        return f"def {node.name}" + (
            " and return at once"
            if any(isinstance(s, ast.Return) and s.value is None and not hasattr(s, "lineno") for s in node.body)
            else ""
        )
    if isinstance(node, ast.If | ast.While):
        return f"{type(node).__name__.lower()} {ast.unparse(node.test)}"
    return ast.unparse(ast.fix_missing_locations(copy.deepcopy(node)))


def names(module: str) -> list[str]:
    """Return the names of all mutants of a module."""
    return [m.name for m in mutants(module)]


def everything() -> list[str]:
    """Return the names of all mutants of all targets."""
    return [name for module in TARGETS for name in names(module)]


def module_of(name: str) -> str:
    """Return the module of a mutant's name."""
    return "gateusher." + name.split(":", 1)[0]


def find(name: str) -> Mutant:
    """Return the mutant of this name.  Raises KeyError if the program no longer has it."""
    for mutant in mutants(module_of(name)):
        if mutant.name == name:
            return mutant._replace(tree=ast.fix_missing_locations(copy.deepcopy(mutant.tree)))
    raise KeyError(name)


class _Finder(MetaPathFinder):
    """Replaces the content of one module when it is imported."""

    def __init__(self, module: str, content: str | ast.Module) -> None:
        self._module, self._content = module, content

    def find_spec(self, name: str, path: Any, target: ModuleType | None = None) -> Any:
        if name != self._module:
            return None
        spec = importlib.machinery.PathFinder.find_spec(name, path)
        assert spec and spec.origin
        spec.loader = _Loader(name, spec.origin, self._content)
        return spec


class _Loader(importlib.machinery.SourceFileLoader):
    def __init__(self, name: str, path: str, content: str | ast.Module) -> None:
        super().__init__(name, path)
        self._content = content

    def get_code(self, fullname: str) -> Any:
        return compile(self._content, self.path, "exec", dont_inherit=True)


def replace(module: str, content: str | ast.Module) -> None:
    """Replace the module's content on its first import.  The module must not be imported yet."""
    assert module not in sys.modules, f"{module} is imported already"
    sys.meta_path.insert(0, _Finder(module, content))


def plant(name: str) -> Mutant:
    """Apply a mutant to the program and return it.  Its module must not be imported yet."""
    mutant = find(name)
    replace(mutant.module, mutant.tree)
    return mutant
