"""The balancer as a whole."""

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


def _story(seed: int) -> list[object]:
    balancer = make_balancer(50, seed=seed)
    acts: list[object] = []
    for rid in range(200):
        for act in balancer.handle(rid * 10.0, Request(rid, 0, 3000)):
            acts.append(act)
            if isinstance(act, Send):
                acts += balancer.handle(rid * 10.0 + 5, attempt_ended(rid, 0, act.endpoint, Outcome(rid % 7)))
    return acts


def test_same_events_same_actions_whatever_the_hash_order() -> None:
    code = "from tests.policy.test_balancer import _story; print(_story(4))"
    outs = [
        subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT,
            capture_output=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("1", "2")
    ]
    assert outs[0] == outs[1] != b""
    assert _story(4) != _story(5)


def _code_lines(source: str) -> int:
    """Lines that are neither empty nor a part of an import, a docstring or a comment."""
    aside: set[int] = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import | ast.ImportFrom):
            aside.update(range(node.lineno, (node.end_lineno or node.lineno) + 1))
        documented = isinstance(node, ast.Module | ast.ClassDef | ast.FunctionDef) and ast.get_docstring(node)
        if documented:
            aside.update(range(node.body[0].lineno, (node.body[0].end_lineno or 0) + 1))  # type: ignore[attr-defined]
    return sum(
        bool(line.strip()) and not line.strip().startswith("#") and number not in aside
        for number, line in enumerate(source.splitlines(), 1)
    )


def _longest_function(source: str) -> int:
    functions = [node for node in ast.walk(ast.parse(source)) if isinstance(node, ast.FunctionDef)]
    return max(((node.end_lineno or 0) - node.lineno + 1 for node in functions), default=0)


def test_the_modules_stay_small_and_name_no_deployment() -> None:
    files = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    texts = {name: (ROOT / name).read_text().splitlines() for name in files}
    lines = [line for text in texts.values() for line in text]
    assert sum(_code_lines("\n".join(text)) for text in texts.values()) <= 1200
    assert max(sum(bool(line.strip()) for line in text) for text in texts.values()) <= 250
    assert max(_longest_function("\n".join(text)) for text in texts.values()) <= 60
    assert max(map(len, lines)) <= 118
    assert "interface.py" in texts["gateusher/policy/balancer.py"][0]
    names = r"consignment|rastro|album|hanoi|pallet|hengda|sen h|-box|c2-|std-|palermo|taoyuan"
    assert not re.search(names, "\n".join(lines), re.I)
