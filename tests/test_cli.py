"""Tests of the command line: `try`, `run` with a TOML file and its reload, and usage errors."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from gateusher.cli.demo_tally import CLASSES, Tally
from gateusher.standins.caller import HttpClient, NoResponseError
from gateusher.standins.nodes import Fleet, Node

from .helpers import HANG_TIMEOUT_S
from .net import unused_address

ROOT = Path(__file__).parent.parent


def run_gateusher(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "gateusher", *arguments], cwd=ROOT, capture_output=True, text=True, timeout=60
    )


def test_try_prints_consistent_json_and_breaks_no_rule() -> None:
    done = run_gateusher("try", "--seconds", "4", "--rate", "60", "--json")
    assert done.returncode == 0, done.stderr
    result = json.loads(done.stdout.splitlines()[-1])
    assert result["requests"] > 100
    assert result["requests"] == sum(result[k] for k in ("served", "refused", "failed", "lost"))
    assert (result["lost"], result["double_effects"], result["broken"]) == (0, 0, [])
    assert 0 < result["in_aim"] <= result["served"]
    assert set(result["by_class"]) == set(CLASSES) and len(result["by_node"]) == 3


def test_try_prints_tables_and_a_summary() -> None:
    done = run_gateusher("try", "--seconds", "1", "--rate", "40")
    assert done.returncode == 0, done.stderr
    for word in ("pallet-lookup", "draining", "killed", "Effects issued twice: 0", "Every rule held."):
        assert word in done.stdout


@pytest.mark.parametrize(
    ("rule", "expected_text"),
    [
        ("lost", "no final answer"),
        ("wrong", "another request"),
        ("double", "issued twice"),
        ("drain", "past its drain"),
        ("exit", "the daemon ended with 1"),
        ("invariant", "the daemon recorded violations of no_event_unhandled: 2"),
        ("diagnostics", "diagnostics could not be read"),
    ],
)
def test_try_reports_each_broken_rule(rule: str, expected_text: str) -> None:
    tally, fleet = Tally(), Fleet()
    assert tally.violations(fleet) == []
    if rule == "lost":
        tally.by_class["consign-issue"]["lost"] = 1
    elif rule == "wrong":
        tally.misdelivered = 1
    elif rule == "double":
        fleet.effects["consign-issue-7"] = 2
    elif rule == "drain":
        tally.after_drain = 1
    elif rule == "invariant":
        tally.recorded_violations = {"no_event_unhandled": 2}
    elif rule == "diagnostics":
        tally.recorded_violations = None
    else:
        tally.exit_code = 1
    (violation,) = tally.violations(fleet)
    assert expected_text in violation


def test_invalid_arguments_exit_with_2() -> None:
    for arguments in (("nonsense",), ("try", "--seconds", "0"), ("check",)):
        assert run_gateusher(*arguments).returncode == 2


def toml_config(listen: tuple[str, int], *nodes: Node) -> str:
    entries = "".join(f'[[nodes]]\nname = "{node.name}"\naddress = "127.0.0.1:{node.port}"\n' for node in nodes)
    request_class = '[classes.issue]\neffect = "unsafe"\naim = 0.5\ndeadline = 1.0\n'
    return f'listen = "{listen[0]}:{listen[1]}"\n{entries}{request_class}'


def test_daemon_keeps_serving_over_a_broken_and_a_valid_reload(tmp_path: Path) -> None:
    async def send_request(caller: HttpClient, request_id: str) -> Any:
        return await caller.request("POST", "/issue", {"X-Request-Id": request_id, "X-Deadline": "1.0"})

    async def test() -> None:
        fleet = Fleet()
        old, new = Node(fleet, "old"), Node(fleet, "new")
        await old.start()
        await new.start()
        listen, path = unused_address(), tmp_path / "g.toml"
        path.write_text(toml_config(listen, old))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "gateusher",
            "run",
            "--config",
            str(path),
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={k: v for k, v in os.environ.items() if not k.startswith("BALANCER")},
        )
        caller = HttpClient(listen[1], listen[0])
        try:
            async with asyncio.timeout(HANG_TIMEOUT_S):
                while True:
                    try:
                        assert (await caller.request("GET", "/_health", {})).status == 200
                        break
                    except NoResponseError:
                        await asyncio.sleep(0.01)
                assert (await send_request(caller, "a")).body == b"a" and fleet.requests_by_node["old"] == 1
                path.write_text("broken [")
                process.send_signal(signal.SIGHUP)
                assert process.stderr
                assert b"reload" in await process.stderr.readline()
                path.write_text(toml_config(listen, new))
                process.send_signal(signal.SIGHUP)
                count = 0
                while not fleet.requests_by_node["new"]:
                    count += 1
                    assert (await send_request(caller, f"b{count}")).status == 200
                process.terminate()
                assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            await caller.close()
            old.kill()
            new.kill()

    asyncio.run(test())


def test_daemon_exits_with_2_on_an_invalid_configuration(tmp_path: Path) -> None:
    path = tmp_path / "g.toml"
    path.write_text("nmae = 1")
    done = run_gateusher("run", "--config", str(path))
    assert done.returncode == 2
    assert "nmae: unknown" in done.stderr and "classes: missing" in done.stderr
