"""The commands `replay` and `inspect`: complete, interrupted and resumed runs, and invalid arguments."""

import asyncio
import json
import os
import signal
import sys
from itertools import chain
from pathlib import Path
from typing import Any

import pytest

from gateusher.cli.commands import run_command
from gateusher.load import report
from gateusher.load.entry import Faults
from gateusher.load.reading import Reading
from gateusher.load.rules import Mapper
from gateusher.load.rules import load as load_rules
from gateusher.load.sources.files import Source
from gateusher.standins.nodes import Fleet, Node

from ..helpers import HANG_TIMEOUT_S, ROOT
from ..net import run, unused_address
from .lines import T0
from .target import FORM, TargetKind, files, run_target


async def replay(*arguments: str, interrupt_at: asyncio.Future[Any] | None = None) -> tuple[int, str]:
    """Run the command, interrupt it when `interrupt_at` is done, and return its exit code and its error output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "gateusher",
        "replay",
        *arguments,
        cwd=ROOT,
        env={**os.environ, "COLUMNS": "300"},
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        if interrupt_at:
            await asyncio.wait_for(interrupt_at, HANG_TIMEOUT_S)
            process.send_signal(signal.SIGINT)
        _, errors = await asyncio.wait_for(process.communicate(), HANG_TIMEOUT_S)
    finally:
        if process.returncode is None:
            process.kill()
    assert process.returncode is not None
    assert "Traceback" not in errors.decode()
    return process.returncode, errors.decode()


def read_report(folder: Path) -> dict[str, Any]:
    data: dict[str, Any] = json.loads((folder / "report.json").read_text())
    return data


def test_log_is_replayed_once_by_two_workers_and_reported(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = Fleet()
        node = Node(fleet)
        await node.start()
        log, rules = files(tmp_path, 90)
        with log.open("a") as more:
            more.write('1770703201.000 10.0.0.1 "GET /<script>/x HTTP/1.1" 200\nno line\n')
        out = tmp_path / "out"
        _, errors = await replay(
            str(log),
            "--target",
            f"127.0.0.1:{node.port}",
            "--rules",
            str(rules),
            "--format",
            FORM,
            "--workers",
            "2",
            "--copies",
            "2",
            "--shift",
            "0.2",
            "--report",
            str(out),
            "--trace",
            "--run",
            "test1",
        )
        data = read_report(out)
        assert data["results"]["outcomes"]["served"] == data["results"]["sent"] == 180
        assert fleet.effects == {f"replay-test1-{i}": 1 for i in range(180)}
        assert data["results"]["clients"] == 14
        assert [c["requests"] for c in data["results"]["classes"].values()] == [60, 60, 60]
        assert (data["read"]["dropped"], data["read"]["unmatched"], data["read"]["faults"]) == (2, 1, 1)
        assert sum(data["results"]["planned_by_second"]) == sum(data["results"]["sent_by_second"]) == 180
        traced = [json.loads(line) for w in (0, 1) for line in (out / f"sends-{w}.jsonl").open()]
        assert sorted(row[0] for row in traced) == list(range(180))
        assert all(row[2] >= row[1] for row in traced)  # sent no earlier than planned
        page = (out / "report.html").read_text()
        assert "GET /&lt;script&gt;/x" in page and "<script" not in page
        assert "http://" not in page.replace("http://www.w3.org/", "")  # it loads nothing from the network
        assert "no line" not in errors and "a.log:92: line has not the form" in errors
        node.kill()

    run(test())


def test_interrupted_run_writes_its_report_and_can_be_resumed(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = Fleet()
        node = Node(fleet)
        await node.start()
        log, rules = files(tmp_path, 300, rate=100.0)
        out = tmp_path / "out"
        options = ("--target", f"127.0.0.1:{node.port}", "--report", str(out))
        some_sent = asyncio.ensure_future(fleet.wait_for_arrival("replay-test1-40"))
        code, errors = await replay(
            str(log),
            *options,
            "--rules",
            str(rules),
            "--format",
            FORM,
            "--workers",
            "2",
            "--run",
            "test1",
            interrupt_at=some_sent,
        )
        assert code == 1 and "interrupted" in errors
        before = read_report(out)
        assert 40 < before["results"]["requests"] < 300 and before["run"]["stopped"] == "interrupted"
        assert len(fleet.attempts) == before["results"]["sent"]
        code, errors = await replay("--resume", str(out), *options[:2], "--format", FORM)
        after = read_report(out)
        assert after["run"]["run"] == "test1" and not after["run"]["stopped"]
        assert before["results"]["requests"] + after["results"]["requests"] == 300
        assert fleet.attempts == {f"replay-test1-{i}": 1 for i in range(300)}
        assert not (out / "stopped.json").exists()
        node.kill()

    run(test())


def test_nothing_is_replayed_to_a_target_that_is_no_stand_in(tmp_path: Path) -> None:
    async def test() -> None:
        log, rules = files(tmp_path)
        async with run_target(TargetKind.REFLECTS_NONCE) as (target, address):
            code, errors = await replay(
                str(log), "--target", "{}:{}".format(*address), "--rules", str(rules), "--format", FORM
            )
            assert code == 2 and "no stand-in" in errors and "nothing was sent" in errors
            assert not target.request_heads

    run(test())


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["--target", "stand-in:80"], "--target"),
        (["--zone", "Taipei"], "--zone"),
        (["--format", "web"], "no format"),
        (["--from", "morning"], "--from"),
        (["--from", "2026-02-10T06:00Z", "--to", "2026-02-10T05:00Z"], "--to"),
        (["--run", "X"], "--run"),
        (["--speed", "nan"], "--speed"),
        (["--shift", "inf"], "--shift"),
        (["--rules", "none.toml"], "rules"),
        (["--resume", "none"], "--resume"),
        (["--strict"], "a.log:61"),
        (["--trace"], "--report"),
        (["--allow", "none"], "--allow"),
    ],
)
def test_invalid_arguments_are_reported_with_exit_code_2(
    arguments: list[str], message: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log, rules = files(tmp_path)
    log.write_text(log.read_text() + "no line\n")
    defaults = {"--target": "{}:{}".format(*unused_address()), "--rules": str(rules), "--format": FORM}
    defaults = {option: value for option, value in defaults.items() if option not in arguments}
    if "--strict" in arguments:  # `replay` meets the invalid line only after it has found a target
        assert run_command(["inspect", str(log), "--format", FORM, *arguments]) == 2
    else:
        assert run_command(["replay", str(log), *arguments, *chain.from_iterable(defaults.items())]) == 2
    errors = capsys.readouterr().err
    assert message in errors and "Traceback" not in errors


def test_messages_with_long_paths_are_not_wrapped(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    folder = tmp_path / ("long-" * 30)
    folder.mkdir()
    log, rules = files(folder, 4)
    log.write_text(log.read_text() + "no line\n")
    assert run_command(["inspect", str(log), "--format", FORM, "--strict"]) == 2
    assert f"{log}:5: " in capsys.readouterr().err
    assert run_command(["inspect", str(log), "--format", FORM, "--rules", str(rules)]) == 0
    out = capsys.readouterr().out
    assert f"{log}: " in out and f"{log}:5: " in out
    missing = folder / "none.toml"
    assert (
        run_command(
            [
                "replay",
                str(log),
                "--format",
                FORM,
                "--rules",
                str(missing),
                "--target",
                "{}:{}".format(*unused_address()),
            ]
        )
        == 2
    )
    assert str(missing) in capsys.readouterr().err


def test_inspect_summarizes_a_source(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    log, rules = files(tmp_path, 90)
    assert run_command(["inspect", str(log), "--format", FORM, "--rules", str(rules), "--json"]) == 0
    data = json.loads(capsys.readouterr().out)
    assert (data["found"]["entries"], data["found"]["clients"], data["found"]["span_s"]) == (90, 7, 0.89)
    assert data["read"]["classes"] == {"look": 30, "issue": 30, "book": 30}
    reading = Reading([Source(log, FORM)], Mapper(load_rules(rules)), Faults(), 1, T0 + 0.2, T0 + 0.5)
    assert [m.entry.line for m in reading.requests()] == list(range(21, 51))
    assert (reading.summary()["outside"], reading.summary()["played"]) == (20, 30)
    assert run_command(["inspect", str(log), "--format", FORM]) == 0
    assert "GET /pallets/{}" in capsys.readouterr().out
    assert run_command(["inspect", str(tmp_path / "none.log")]) == 2


def test_report_of_an_empty_run(tmp_path: Path) -> None:
    from gateusher.load.results import Recorder, summary  # noqa: PLC0415

    data = {
        "run": {
            "run": "a",
            "target": "t",
            "speed": 1.0,
            "copies": 1,
            "workers": 1,
            "stopped": "at once",
            "reached_s": 0.0,
        },
        "read": {
            "sources": [],
            "records": 0,
            "played": 0,
            "dropped": 0,
            "dropped_share": 0.0,
            "unmatched": 0,
            "unmatched_patterns": {},
            "faults": 0,
            "faults_by_reason": [],
            "first_faults": [],
        },
        "results": summary(Recorder(1), ["$x_{1}$"]),
    }
    assert "at once" in report.html(data)
