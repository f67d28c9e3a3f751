"""Faults made by machine: each a small change of one module's syntax tree, planted while that module is imported.

A mutant's name is `module:function:operator:digest`; the digest is of the changed piece of text alone, so a name
stays the same when lines move or other places change.  Nothing here imports the program.
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
# What the rules hang on.  Of the policy, the functions that decide on repeats, refusals and who may get a request;
# the others choose among endpoints that may all be chosen.
TARGETS: dict[str, tuple[str, ...]] = {
    "gateusher.core.engine": (),
    "gateusher.core.requests": (),
    "gateusher.core.attempts": (),
    "gateusher.core.deadlines": (),
    "gateusher.core.backlog": ("BACKLOG_MS",),
    "gateusher.core.presence": (),
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
SWAPS: dict[type[ast.cmpop], type[ast.cmpop]] = {
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
CALLS = {"min": "max", "max": "min", "any": "all", "all": "any"}
# Members that are next to each other in what they mean; each is taken for the other.
MEMBERS = {
    "Outcome": ("OK", "ERROR", "REJECTED", "TIMEOUT", "CONNECT_FAILED", "RESET", "CANCELLED", "NOT_SENT"),
    "EndpointState": ("REMOVED", "READY", "DRAINING"),
    "UpdateKind": ("CACHED", "CHANGES", "FAILED", "COMPLETE"),
    "Effect": ("IDEMPOTENT", "KEYED", "NOT_IDEMPOTENT"),
    "DeduplicationScope": ("ALL", "ZONE", "CELL"),
    "FinalOutcome": ("SERVED", "REJECTED", "FAILED", "TIMED_OUT"),
    "RequestFault": ("DEADLINE", "ID", "METHOD", "KEY", "BODY", "CONFLICT"),
}
WORDS = (
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
NEXT = {word: row[(i + 1) % len(row)] for row in WORDS for i, word in enumerate(row)}
LOGS = ("log_event",)  # calls whose loss nobody but a reader of logs could see


class Mutant(NamedTuple):
    """One change: where, what kind, the text before and after, and the module with it."""

    name: str
    module: str
    line: int
    before: str
    after: str
    tree: ast.Module


def path_of(module: str) -> Path:
    return ROOT / (module.replace(".", "/") + ".py")


class _Place(NamedTuple):
    """Where a tree can be changed: a node's field, or one item of it; and the line of its statement."""

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


def _logs(statement: ast.stmt) -> bool:
    return (
        isinstance(statement, ast.Expr)
        and isinstance(statement.value, ast.Call)
        and isinstance(statement.value.func, ast.Name)
        and statement.value.func.id in LOGS
    )


def _changes(node: Any) -> Iterator[tuple[str, Any]]:
    """Each operator that fits this piece, and what it makes of it."""
    if isinstance(node, ast.If | ast.While | ast.IfExp):
        yield "negate the condition", _with(node, test=_negated(node.test))
        if not isinstance(node, ast.While):
            yield "condition always holds", _with(node, test=ast.Constant(True))
        yield "condition never holds", _with(node, test=ast.Constant(False))
    if isinstance(node, ast.Compare) and len(node.ops) == 1 and (swap := SWAPS.get(type(node.ops[0]))):
        yield "swap the bound", _with(node, ops=[swap()])
    if isinstance(node, ast.BoolOp):
        for at in range(len(node.values)):
            rest = node.values[:at] + node.values[at + 1 :]
            yield "drop one of the conditions", rest[0] if len(rest) == 1 else _with(node, values=rest)
        yield "and for or", _with(node, op=ast.Or() if isinstance(node.op, ast.And) else ast.And())
    if isinstance(node, ast.BinOp) and isinstance(node.op, ast.Add | ast.Sub):
        yield "plus for minus", _with(node, op=ast.Sub() if isinstance(node.op, ast.Add) else ast.Add())
    if isinstance(node, ast.Constant):
        if isinstance(node.value, bool):
            yield "the other truth", ast.Constant(not node.value)
        elif isinstance(node.value, int):
            yield "off by one", ast.Constant(node.value + 1)
        elif isinstance(node.value, float):
            yield "off by one", ast.Constant(node.value + 1.0)
    if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id in MEMBERS:
        row = MEMBERS[node.value.id]
        if node.attr in row:
            yield "another member", _with(node, attr=row[(row.index(node.attr) + 1) % len(row)])
    if isinstance(node, ast.Name) and isinstance(node.ctx, ast.Load):
        if node.id in NEXT:
            yield "another member", ast.Name(NEXT[node.id], ast.Load())
        if node.id in CALLS:
            yield "swap the bound", ast.Name(CALLS[node.id], ast.Load())
    if (
        isinstance(node, ast.Expr | ast.AugAssign | ast.Raise | ast.Continue | ast.Break | ast.Return | ast.Delete)
        and not (isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant))
        and not _logs(node)
    ):
        yield "drop the statement", ast.Pass()
    if isinstance(node, ast.Assign) and all(
        isinstance(t, ast.Attribute | ast.Subscript | ast.Tuple) for t in node.targets
    ):
        yield "drop the statement", ast.Pass()
    if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef) and len(node.body) > 1:
        at = 1 if isinstance(node.body[0], ast.Expr) and isinstance(node.body[0].value, ast.Constant) else 0
        plain = isinstance(node.returns, ast.Constant) and node.returns.value is None
        if plain and node.name != "__init__" and len(node.body) > at + 1:
            yield "return early", _with(node, body=[*node.body[: at + 1], ast.Return(None), *node.body[at + 1 :]])


def _with(node: Any, **changed: Any) -> Any:
    new = copy.copy(node)
    for field, value in changed.items():
        setattr(new, field, value)
    return new


def _assigns(statement: ast.AST, constants: tuple[str, ...]) -> bool:
    """Whether it assigns one of these constants."""
    targets: list[ast.expr]
    if isinstance(statement, ast.AnnAssign):
        targets = [statement.target]
    elif isinstance(statement, ast.Assign):
        targets = statement.targets
    else:
        return False
    return any(isinstance(target, ast.Name) and target.id in constants for target in targets)


def _places(
    node: ast.AST, names: tuple[str, ...], into: tuple[str, ...], line: int = 0
) -> Iterator[tuple[str, _Place]]:
    """Each place that may be changed, with the function it is in; `into` bounds the functions and constants."""
    for field, value in ast.iter_fields(node):
        if field in ("annotation", "returns", "decorator_list", "bases", "type_params"):
            continue
        items = [(i, v) for i, v in enumerate(value)] if isinstance(value, list) else [(None, value)]
        for index, item in items:
            if not isinstance(item, ast.AST) or isinstance(item, ast.Import | ast.ImportFrom | ast.Assert):
                continue
            if (
                isinstance(item, ast.Expr)
                and isinstance(item.value, ast.Constant)
                or (isinstance(item, ast.stmt) and _logs(item))
            ):
                continue  # a docstring, or a line of the log
            if isinstance(item, ast.If) and "TYPE_CHECKING" in ast.unparse(item.test):
                continue
            if isinstance(item, ast.Assign) and any(
                isinstance(t, ast.Name) and t.id in ("__slots__", "__all__") for t in item.targets
            ):
                continue
            inner, at = names, item.lineno if isinstance(item, ast.stmt) else line
            if isinstance(item, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
                inner = (*names, item.name)
            if not into or any(name in into for name in inner):
                yield ".".join(inner) or "module", _Place(node, field, index, at)
            yield from _places(item, inner, () if _assigns(item, into) else into, at)


def mutants(module: str) -> Iterator[Mutant]:
    """Every mutant of a module, in the order of its text."""
    tree = ast.parse(path_of(module).read_text())
    seen: Counter[str] = Counter()
    short = module.removeprefix("gateusher.")
    for where, place in list(_places(tree, (), TARGETS[module])):
        old = place.get()
        for operator, new in _changes(old):
            before, after = _text(old), _text(new)
            if before == after:
                continue
            digest = hashlib.blake2b(f"{before}\n{after}".encode(), digest_size=4).hexdigest()
            name = f"{short}:{where}:{operator.replace(' ', '-')}:{digest}"
            seen[name] += 1
            if seen[name] > 1:
                name += f".{seen[name]}"
            place.put(new)
            yield Mutant(name, module, place.line, before, after, tree)
            place.put(old)


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
    return [m.name for m in mutants(module)]


def everything() -> list[str]:
    """The names of all mutants of all targets."""
    return [name for module in TARGETS for name in names(module)]


def module_of(name: str) -> str:
    return "gateusher." + name.split(":", 1)[0]


def find(name: str) -> Mutant:
    """Raises KeyError where the program has no such place any more."""
    for mutant in mutants(module_of(name)):
        if mutant.name == name:
            return mutant._replace(tree=ast.fix_missing_locations(copy.deepcopy(mutant.tree)))
    raise KeyError(name)


class _Finder(MetaPathFinder):
    """Gives one module other content as it is loaded."""

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
    """From here on the module has this content.  It must not be imported yet."""
    assert module not in sys.modules, f"{module} is imported already"
    sys.meta_path.insert(0, _Finder(module, content))


def plant(name: str) -> Mutant:
    """From here on the program has this fault.  Its module must not be imported yet."""
    mutant = find(name)
    replace(mutant.module, mutant.tree)
    return mutant
