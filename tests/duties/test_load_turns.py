"""`[[load]] duty`: real daemons take turns at one source; the one that plays is killed, nothing unsafe runs twice."""

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
from ..membership.test_config import GOOD
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


def test_the_next_goes_on_where_the_one_that_was_killed_came_to(tmp_path: Path) -> None:
    async def test() -> None:
        nodes = Nodes()
        node = Node(nodes)
        await node.start()
        log, rules = files(tmp_path, COUNT, rate=100.0)
        fleet = Fleet(tmp_path, 3, f"127.0.0.1:{node.port}", CLASSES.format(log=log, rules=rules, form=FORM))
        try:
            await watch(fleet, nodes, tmp_path)
        finally:
            await asyncio.to_thread(fleet.close)
            node.kill()

    async def watch(fleet: Fleet, nodes: Nodes, tmp_path: Path) -> None:
        for name in fleet.names:
            fleet.start(name)

        def numbers() -> Counter[int]:
            return Counter(
                int(rid.rpartition("-")[2])
                for rid, n in nodes.effects.items()
                for _ in range(n)
                if rid.startswith("replay-")
            )

        def logs() -> str:
            return "".join((tmp_path / f"{n}.log").read_text() for n in fleet.names)

        async with asyncio.timeout(HANG_TIMEOUT_S):
            while len(numbers()) < 60:
                await asyncio.sleep(0.02)
            seen = await asyncio.to_thread(
                fleet.until, "s1", lambda r: [g for g in r["granted"] if g["duty"] == "load morning"]
            )
            (holder,) = [g["holder"] for g in seen["granted"] if g["duty"] == "load morning"]
            fleet.running[holder].send_signal(signal.SIGKILL)
            fleet.running[holder].wait()
            while "played to its end" not in logs():
                await asyncio.sleep(0.05)
            played = numbers()
            fleet.start(holder)  # the work is done: it plays nothing
            await asyncio.to_thread(fleet.until, holder, lambda r: r["votes"])
            while logs().count("duty held: load morning") < 4:  # each has had it once more
                await asyncio.sleep(0.05)
        assert numbers() == played
        assert logs().count("goes on at request") == 1
        found = re.search(r"(\d+) were played again, (\d+) left out", logs())
        assert found
        again, left_out = map(int, found.groups())
        safe = {n for n in range(COUNT) if n % 3 == 0}
        assert safe <= set(played)  # none is lost
        assert max(played[n] for n in range(COUNT) if n not in safe) == 1  # none runs twice
        missing = set(range(COUNT)) - set(played)
        assert not missing & safe and len(missing) <= left_out
        assert sum(played[n] > 1 for n in safe) <= again

    run(test())


def test_a_part_is_done_up_to_the_first_that_is_not() -> None:
    part = LoadPart(5, 9, 1, lambda: True)
    for number in (6, 7, 9):
        part.complete(number)
    assert part.done_until == 5
    part.complete(5)
    assert part.done_until == 8


@pytest.mark.parametrize("progress", [Progress(), Progress(3, 9), Progress(10**9, 10**9 + 64, True)])
def test_a_mark_is_read_as_it_was_written(progress: Progress) -> None:
    assert Progress.read(progress.write()) == progress and len(progress.write()) <= 32


def test_what_is_no_mark_is_a_beginning() -> None:
    for data in (b"", b"x", b"1:2", b"z:1:", b"\xff"):
        assert Progress.read(data) == Progress()


def test_a_load_with_a_duty_wants_voters() -> None:
    load = {"sources": ["a"], "rules": "b", "duty": "morning"}
    with pytest.raises(ConfigError, match=r"load\[0\].duty: wants a \[duties\] table"):
        parse({**GOOD, "rehearsal": {}, "load": [load]})
    duties = {"voters": ["s1"], "folder": "/x"}
    with pytest.raises(ConfigError, match=r"load\[0\].duty: at most 59 bytes"):
        parse({**GOOD, "rehearsal": {}, "duties": duties, "load": [{**load, "duty": "x" * 60}]})
    assert parse({**GOOD, "rehearsal": {}, "duties": duties, "load": [load]}).loads[0].duty == "morning"
