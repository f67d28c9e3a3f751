"""The balancer as a whole: unknown events, determinism, and the size of the modules."""

import ast
import os
import re
import subprocess
import sys
import tomllib
from pathlib import Path

from gateusher.policy.interface import (
    AttemptEnded,
    ClientDisconnected,
    Outcome,
    Request,
    Send,
    TimerFired,
)

from ..helpers import attempt_ended, make_balancer

ROOT = Path(__file__).parents[2]


def test_events_of_unknown_requests_are_ignored() -> None:
    balancer = make_balancer(3)
    assert balancer.handle(1.0, TimerFired(12345)) == []
    assert balancer.handle(1.0, ClientDisconnected(77)) == []
    assert balancer.handle(1.0, AttemptEnded(77, 0, 1, 5.0, Outcome.TIMEOUT, True)) == []


def _actions(seed: int) -> list[object]:
    balancer = make_balancer(50, seed=seed)
    actions: list[object] = []
    for request_id in range(200):
        for action in balancer.handle(request_id * 10.0, Request(request_id, 0, 3000)):
            actions.append(action)
            if isinstance(action, Send):
                actions += balancer.handle(
                    request_id * 10.0 + 5, attempt_ended(request_id, 0, action.endpoint, Outcome(request_id % 7))
                )
    return actions


def test_same_events_give_the_same_actions_for_any_hash_seed() -> None:
    code = "from tests.policy.test_balancer import _actions; print(_actions(4))"
    outputs = [
        subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT,
            capture_output=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("1", "2")
    ]
    assert outputs[0] == outputs[1] != b""
    assert _actions(4) != _actions(5)


def _code_lines(source: str) -> int:
    """Count the lines that are neither empty nor part of an import, a docstring or a comment."""
    excluded: set[int] = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import | ast.ImportFrom):
            excluded.update(range(node.lineno, (node.end_lineno or node.lineno) + 1))
        has_docstring = isinstance(node, ast.Module | ast.ClassDef | ast.FunctionDef) and ast.get_docstring(node)
        if has_docstring:
            excluded.update(range(node.body[0].lineno, (node.body[0].end_lineno or 0) + 1))  # type: ignore[attr-defined]
    return sum(
        bool(line.strip()) and not line.strip().startswith("#") and number not in excluded
        for number, line in enumerate(source.splitlines(), 1)
    )


def _longest_function(source: str) -> int:
    functions = [node for node in ast.walk(ast.parse(source)) if isinstance(node, ast.FunctionDef)]
    return max(((node.end_lineno or 0) - node.lineno + 1 for node in functions), default=0)


def test_modules_stay_small_and_name_no_deployment() -> None:
    files = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    texts = {name: (ROOT / name).read_text().splitlines() for name in files}
    lines = [line for text in texts.values() for line in text]
    assert sum(_code_lines("\n".join(text)) for text in texts.values()) <= 1200
    assert max(sum(bool(line.strip()) for line in text) for text in texts.values()) <= 250
    assert max(_longest_function("\n".join(text)) for text in texts.values()) <= 60
    assert max(map(len, lines)) <= 118
    assert "interface.py" in texts["gateusher/policy/balancer.py"][0]
    deployment_names = r"consignment|rastro|album|hanoi|pallet|hengda|sen h|-box|c2-|std-|palermo|taoyuan"
    assert not re.search(deployment_names, "\n".join(lines), re.I)
