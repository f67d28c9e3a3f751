"""Configuration files: all faults are reported together, each with its path and the allowed values."""

import json
import subprocess
import sys
import tomllib
from copy import deepcopy
from pathlib import Path
from typing import Any

import pytest

from gateusher.config import file, platform
from gateusher.config.model import ConfigError
from gateusher.daemon import DRAIN_OVERTIME_S
from gateusher.policy.interface import DeduplicationScope, Effect

from .net import configuration

ROOT = Path(__file__).parent.parent
VALID_CONFIG: dict[str, Any] = {
    "classes": {"look": {"effect": "safe", "aim": 1.0, "deadline": 2.0}},
    "nodes": [{"name": "a", "address": "127.0.0.1:1"}],
}

FAULTS: dict[str, tuple[dict[str, Any], list[str]]] = {
    "unknown key with a close match": ({"nmae": "x"}, ["nmae: unknown; did you mean 'name'?"]),
    "unknown key without a close match": (
        {"limits": {"qqqq": 1}},
        ["limits.qqqq: unknown; allowed are memory_mb, sockets"],
    ),
    "wrong type": ({"limits": {"sockets": "many"}}, ["limits.sockets: Expected `int`, got `str`, found 'many'"]),
    "out of range": ({"limits": {"memory_mb": 0}}, ["limits.memory_mb: Expected `float` >= 1.0, found 0"]),
    "not an allowed value": ({"answers": "all"}, ["answers: one of application, ok, found 'all'"]),
    "missing": ({"classes": {"a": {"effect": "safe", "aim": 1}}}, ["classes.a.deadline: missing"]),
    "no classes": ({"classes": {}}, ["classes: at least one is wanted"]),
    "not a table": ({"classes": 3}, ["classes: Expected `object`, got `int`, found 3"]),
    "deadline below the aim": (
        {"classes": {"a": {"effect": "safe", "aim": 2, "deadline": 1}}},
        ["classes.a.deadline: no less than the aim, 2, found 1"],
    ),
    "a method that contradicts the effect": (
        {"classes": {"a": {"effect": "unsafe", "aim": 1, "deadline": 1, "methods": ["GET"]}}},
        ["classes.a.methods[0]: DELETE or PATCH or POST or PUT where the effect is unsafe, found 'GET'"],
    ),
    "keyed without a window": (
        {"classes": {"a": {"effect": "keyed", "aim": 1, "deadline": 1}}},
        ["classes.a.window: more than 0 where the effect is keyed, found 0"],
    ),
    "a class name that is invalid in a path": (
        {"classes": {"a/b": {"effect": "safe", "aim": 1, "deadline": 1}}},
        ["classes.a/b: a name is ASCII"],
    ),
    "nodes and discovery": ({"discovery": {"address": "127.0.0.1:1"}}, ["nodes: either nodes or discovery"]),
    "a host name instead of an address": (
        {"nodes": [{"name": "a", "address": "localhost:80"}]},
        ["nodes[0].address: an address ip:port"],
    ),
    "duplicate name": (
        {"nodes": [{"name": "a", "address": "127.0.0.1:1"}, {"name": "a", "address": "[::1]:2"}]},
        ["nodes[1].name: another node has this name, 'a'"],
    ),
    "invalid port": ({"listen": "127.0.0.1:0"}, ["listen: an address ip:port, not a port"]),
    "several faults": (
        {"nmae": 1, "listen": "x", "answers": 3, "limits": {"idle": -1}},
        ["nmae: unknown", "answers: one of", "limits.idle: Expected", "listen: an address"],
    ),
}


@pytest.mark.parametrize("name", FAULTS)
def test_faults(name: str) -> None:
    changes, expected = FAULTS[name]
    with pytest.raises(ConfigError) as caught:
        file.parse({**VALID_CONFIG, **changes})
    assert len(caught.value.faults) == len(expected)
    for fault, prefix in zip(sorted(caught.value.faults), sorted(expected), strict=True):
        assert fault.startswith(prefix)


def test_example_file_is_read_completely() -> None:
    with open(ROOT / "deploy" / "gateusher.example.toml", "rb") as source:
        conf = file.parse(tomllib.load(source))
    assert conf.listen == ("127.0.0.1", 8080) and conf.discovery is None and conf.authority == "nodes.internal"
    look, booking, issue = conf.settings.classes
    assert (look.effect, booking.effect, issue.effect) == (Effect.IDEMPOTENT, Effect.KEYED, Effect.NOT_IDEMPOTENT)
    assert (booking.latency_objective_ms, booking.deadline_ms, booking.window_ms, booking.scope) == (
        2000,
        6000,
        4000,
        DeduplicationScope.ALL,
    )
    assert (issue.priority_weight, issue.late_weight) == (2.0, 1.0)  # a response after the aim is worth half
    assert conf.methods == (frozenset({b"GET"}), frozenset({b"POST", b"PUT"}), frozenset({b"POST"}))
    assert conf.names.tenants == {b"hengda": 0, b"merged-a": 1}
    assert conf.settings.report_fields == ("waiting",) and conf.settings.slow_start_share == 0.3
    assert [h["dial"] for h in conf.known["hosts"]] == ["127.0.0.1:9001", "127.0.0.1:9002"]
    assert 404 in conf.serves and 500 not in conf.serves


def test_all_faults_of_the_platform_file_are_reported() -> None:
    conf = deepcopy(configuration([], 1, seed="zz", listen="here"))
    conf["limits"] = {"memory_mb": -1}
    conf["settings"]["lanes"][0]["effect"] = "perhaps"
    conf["settings"]["lanes"][1]["give_up_ms"] = None
    conf["settings"]["bounds"]["max_attempts"] = "six"
    with pytest.raises(ConfigError) as caught:
        platform.parse(conf, {})
    assert sorted(f.split(": ")[0] for f in caught.value.faults) == [
        "limits.memory_mb",
        "listen",
        "seed",
        "settings.bounds.max_attempts",
        "settings.lanes[0].effect",
        "settings.lanes[1].give_up_ms",
    ]


def test_a_number_too_large_for_a_float_is_a_fault_of_the_platform_file() -> None:
    conf = deepcopy(configuration([], 1))
    conf["limits"] = {"memory_mb": 10**400}
    conf["settings"]["lanes"][0]["objective_ms"] = 10**400
    with pytest.raises(ConfigError) as caught:
        platform.parse(conf, {})
    assert sorted(f.split(": ")[0] for f in caught.value.faults) == [
        "limits.memory_mb",
        "settings.lanes[0].objective_ms",
    ]


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"classes": {"a": {"effect": "safe", "aim": 10**400, "deadline": 1}}}, "classes.a.aim"),
        ({"membership": {"listen": "127.0.0.1:1", "keys": ["00" * 16], "period": 10**400, "timeout": 1}}, "period"),
        ({"membership": {"listen": "127.0.0.1:1", "keys": ["00" * 16], "period": 1, "timeout": 10**400}}, "timeout"),
        (
            {"membership": {"listen": "127.0.0.1:1", "keys": ["00" * 16], "bytes_per_second": -(10**400)}},
            "bytes_per_second",
        ),
    ],
)
def test_a_number_too_large_for_a_float_is_a_fault_of_the_file(changes: dict[str, Any], path: str) -> None:
    with pytest.raises(ConfigError) as caught:
        file.parse({**VALID_CONFIG, **changes})
    assert any(path in fault and "out of range" in fault for fault in caught.value.faults)


def run_check(path: Path) -> tuple[int, list[str]]:
    done = subprocess.run(
        [sys.executable, "-m", "gateusher", "check", str(path)], cwd=ROOT, capture_output=True, text=True
    )
    return done.returncode, done.stdout.splitlines()


def test_check(tmp_path: Path) -> None:
    path = tmp_path / "a.toml"
    path.write_text('nmae = "x"\nlisten = "y"\n[classes.a]\neffect = "safe"\naim = 1\ndeadline = 1\n')
    code, lines = run_check(path)
    assert code == 2
    assert [line.split(":")[0] for line in lines] == ["nmae", "nodes", "listen"]
    path.write_text("half = [")
    assert run_check(path)[0] == 2
    assert run_check(tmp_path / "none.toml")[0] == 2
    path = tmp_path / "b.json"
    path.write_text(json.dumps(configuration([], 1)))
    assert run_check(path)[0] == 0
    path.write_text(json.dumps(configuration([], 1, seed=3, name=7)))
    assert run_check(path) == (2, ["seed: str wanted, found 3", "name: str wanted, found 7"])
    assert run_check(ROOT / "deploy" / "gateusher.example.toml")[0] == 0


def test_graceful_shutdown_ends_before_sigkill() -> None:
    """SIGKILL may come as soon as the longest deadline, 3 s at most, and 0.7 s after SIGTERM (PROTOCOL, Figures)."""
    for deadlines_ms, kill_s in (((500, 1500), 2.2), ((2000, 2000), 2.7), ((300, 9000), 3.7)):
        conf = configuration([], 1)
        for lane, deadline_ms in zip(conf["settings"]["lanes"], deadlines_ms, strict=True):
            lane["give_up_ms"] = deadline_ms
        drain_s = platform.parse(conf, {}).drain_s
        assert max(d / 1000 for d in deadlines_ms if d <= 3000) < drain_s
        assert drain_s + DRAIN_OVERTIME_S < kill_s
