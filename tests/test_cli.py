"""The command line, as a person or a platform starts it."""

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


def command(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "gateusher", *words], cwd=ROOT, capture_output=True, text=True, timeout=60
    )


def test_a_first_run_shows_what_it_did_and_no_rule_broken() -> None:
    done = command("try", "--seconds", "4", "--rate", "60", "--json")
    assert done.returncode == 0, done.stderr
    result = json.loads(done.stdout.splitlines()[-1])
    assert result["requests"] > 100
    assert result["requests"] == sum(result[k] for k in ("served", "refused", "failed", "lost"))
    assert (result["lost"], result["double_effects"], result["broken"]) == (0, 0, [])
    assert 0 < result["in_aim"] <= result["served"]
    assert set(result["by_class"]) == set(CLASSES) and len(result["by_node"]) == 3


def test_a_first_run_for_a_person() -> None:
    done = command("try", "--seconds", "1", "--rate", "40")
    assert done.returncode == 0, done.stderr
    for word in ("pallet-lookup", "draining", "killed", "Effects issued twice: 0", "Every rule held."):
        assert word in done.stdout


@pytest.mark.parametrize(
    ("what", "said"),
    [
        ("lost", "no final answer"),
        ("wrong", "another request"),
        ("double", "issued twice"),
        ("drain", "past its drain"),
        ("exit", "the daemon ended with 1"),
    ],
)
def test_a_first_run_tells_each_broken_rule(what: str, said: str) -> None:
    tally, fleet = Tally(), Fleet()
    assert tally.violations(fleet) == []
    if what == "lost":
        tally.by_class["consign-issue"]["lost"] = 1
    elif what == "wrong":
        tally.misdelivered = 1
    elif what == "double":
        fleet.effects["consign-issue-7"] = 2
    elif what == "drain":
        tally.after_drain = 1
    else:
        tally.exit_code = 1
    (line,) = tally.violations(fleet)
    assert said in line


def test_words_that_are_none() -> None:
    for words in (("nonsense",), ("try", "--seconds", "0"), ("check",)):
        assert command(*words).returncode == 2


def toml(where: tuple[str, int], *nodes: Node) -> str:
    entries = "".join(f'[[nodes]]\nname = "{n.name}"\naddress = "127.0.0.1:{n.port}"\n' for n in nodes)
    return (
        f'listen = "{where[0]}:{where[1]}"\n{entries}[classes.issue]\neffect = "unsafe"\naim = 0.5\ndeadline = 1.0\n'
    )


def test_the_daemon_by_a_toml_file_and_its_reload(tmp_path: Path) -> None:
    async def ask(caller: HttpClient, rid: str) -> Any:
        return await caller.request("POST", "/issue", {"X-Request-Id": rid, "X-Deadline": "1.0"})

    async def test() -> None:
        fleet = Fleet()
        old, new = Node(fleet, "old"), Node(fleet, "new")
        await old.start()
        await new.start()
        where, path = unused_address(), tmp_path / "g.toml"
        path.write_text(toml(where, old))
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
        caller = HttpClient(where[1], where[0])
        try:
            async with asyncio.timeout(HANG_TIMEOUT_S):
                while True:
                    try:
                        assert (await caller.request("GET", "/_health", {})).status == 200
                        break
                    except NoResponseError:
                        await asyncio.sleep(0.01)
                assert (await ask(caller, "a")).body == b"a" and fleet.requests_by_node["old"] == 1
                path.write_text("broken [")
                process.send_signal(signal.SIGHUP)
                assert process.stderr
                assert b"reload" in await process.stderr.readline()
                path.write_text(toml(where, new))
                process.send_signal(signal.SIGHUP)
                n = 0
                while not fleet.requests_by_node["new"]:
                    n += 1
                    assert (await ask(caller, f"b{n}")).status == 200
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


def test_a_configuration_that_cannot_be_used_ends_the_daemon_with_2(tmp_path: Path) -> None:
    path = tmp_path / "g.toml"
    path.write_text("nmae = 1")
    done = command("run", "--config", str(path))
    assert done.returncode == 2
    assert "nmae: unknown" in done.stderr and "classes: missing" in done.stderr
