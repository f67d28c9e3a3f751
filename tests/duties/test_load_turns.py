"""`[[load]] duty`: several daemons share one load; its holder is killed, and no unsafe request runs twice."""

import asyncio
import re
import signal
from collections import Counter
from pathlib import Path

import pytest

from gateusher.config.file import parse
from gateusher.config.model import ConfigError
from gateusher.duties.load_part import LoadPart
from gateusher.duties.load_turns import Progress
from gateusher.standins.nodes import Fleet as Nodes
from gateusher.standins.nodes import Node

from ..helpers import HANG_TIMEOUT_S
from ..load.target import FORM, files
from ..membership.test_config import VALID_CONFIG
from ..test_sockets import run
from .test_commands import Fleet

COUNT = 450
CLASSES = """
[classes.issue]
effect = "unsafe"
aim = 0.5
deadline = 1.0
[classes.book]
effect = "keyed"
aim = 0.5
deadline = 1.0
window = 30.0
[rehearsal]
every = 0.2
[[load]]
sources = ["{log}"]
rules = "{rules}"
format = '{form}'
rate = 200.0
duty = "morning"
"""


def test_the_next_holder_resumes_the_load_of_a_killed_holder(tmp_path: Path) -> None:
    async def test() -> None:
        nodes = Nodes()
        node = Node(nodes)
        await node.start()
        log, rules = files(tmp_path, COUNT, rate=100.0)
        fleet = Fleet(tmp_path, 3, f"127.0.0.1:{node.port}", CLASSES.format(log=log, rules=rules, form=FORM))
        try:
            await kill_holder(fleet, nodes, tmp_path)
        finally:
            await asyncio.to_thread(fleet.close)
            node.kill()

    async def kill_holder(fleet: Fleet, nodes: Nodes, tmp_path: Path) -> None:
        for name in fleet.names:
            fleet.start(name)

        def executions() -> Counter[int]:
            return Counter(
                int(rid.rpartition("-")[2])
                for rid, n in nodes.effects.items()
                for _ in range(n)
                if rid.startswith("replay-")
            )

        def logs() -> str:
            return "".join((tmp_path / f"{n}.log").read_text() for n in fleet.names)

        async with asyncio.timeout(HANG_TIMEOUT_S):
            while len(executions()) < 60:
                await asyncio.sleep(0.02)
            seen = await asyncio.to_thread(
                fleet.wait_for_report, "s1", lambda r: [g for g in r["granted"] if g["duty"] == "load morning"]
            )
            (holder,) = [g["holder"] for g in seen["granted"] if g["duty"] == "load morning"]
            fleet.running[holder].send_signal(signal.SIGKILL)
            fleet.running[holder].wait()
            while "morning: finished; of the requests" not in logs():
                await asyncio.sleep(0.05)
            played = executions()
            fleet.start(holder)  # the load is finished: it sends nothing
            await asyncio.to_thread(fleet.wait_for_report, holder, lambda r: r["votes"])
            while logs().count("duty held: load morning") < 4:  # each daemon has held the task again
                await asyncio.sleep(0.05)
        assert executions() == played
        assert logs().count("resuming at request") == 1
        counts = re.search(r"(\d+) were sent again and (\d+) skipped", logs())
        assert counts
        sent_again, skipped = map(int, counts.groups())
        safe = {n for n in range(COUNT) if n % 3 == 0}
        assert safe <= set(played)  # no request is lost
        assert max(played[n] for n in range(COUNT) if n not in safe) == 1  # no request runs twice
        missing = set(range(COUNT)) - set(played)
        assert not missing & safe and len(missing) <= skipped
        assert sum(played[n] > 1 for n in safe) <= sent_again

    run(test())


def test_a_part_is_done_up_to_the_first_open_request() -> None:
    part = LoadPart(5, 9, 1, lambda: True)
    for number in (6, 7, 9):
        part.complete(number)
    assert part.done_until == 5
    part.complete(5)
    assert part.done_until == 8


@pytest.mark.parametrize("progress", [Progress(), Progress(3, 9), Progress(10**9, 10**9 + 64, True)])
def test_a_checkpoint_is_decoded_as_it_was_encoded(progress: Progress) -> None:
    assert Progress.decode(progress.encode()) == progress and len(progress.encode()) <= 32


def test_an_invalid_checkpoint_means_the_load_has_not_begun() -> None:
    for data in (b"", b"x", b"1:2", b"z:1:", b"\xff"):
        assert Progress.decode(data) == Progress()


def test_a_load_with_a_duty_requires_voters() -> None:
    load = {"sources": ["a"], "rules": "b", "duty": "morning"}
    with pytest.raises(ConfigError, match=r"load\[0\].duty: wants a \[duties\] table"):
        parse({**VALID_CONFIG, "rehearsal": {}, "load": [load]})
    duties = {"voters": ["s1"], "folder": "/x"}
    with pytest.raises(ConfigError, match=r"load\[0\].duty: at most 59 bytes"):
        parse({**VALID_CONFIG, "rehearsal": {}, "duties": duties, "load": [{**load, "duty": "x" * 60}]})
    assert parse({**VALID_CONFIG, "rehearsal": {}, "duties": duties, "load": [load]}).loads[0].duty == "morning"
