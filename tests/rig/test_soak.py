"""The soak test's own parts: the fault library, the judge by planted records, and a short run of all of it."""

import asyncio
import subprocess
import sys
from collections.abc import Iterator
from math import inf
from pathlib import Path

import pytest

from rig.soak.__main__ import soak
from rig.soak.faults import ALL, FaultPage, SystemCall, build
from rig.soak.judge import Judge
from rig.soak.records import Arrival, Change, Effect, LoopMeter, ProcessRecord, Records, RequestRecord, Span
from rig.soak.world import Size

# What holds however slow the machine is; the other rules of the soak measure time.
TIMELESS = {"duplicate", "refused", "wrong", "log", "crash"}


@pytest.fixture
def page(tmp_path: Path) -> Iterator[FaultPage]:
    library = build(tmp_path)
    if library is None:
        pytest.skip("no C compiler: the same faults are planted in Python by the tests of the program")
    made = FaultPage(library, tmp_path / "page", seed=1)
    yield made
    made.close()


def run(page: FaultPage, program: str) -> str:
    return subprocess.run(
        [sys.executable, "-c", program], env=page.environment, capture_output=True, text=True, check=True
    ).stdout.strip()


@pytest.mark.parametrize(
    ("call", "program"),
    [
        (SystemCall.SOCKET, "import socket; socket.socket()"),
        (SystemCall.CONNECT, "import socket; socket.create_connection(('127.0.0.1', 9))"),
        (SystemCall.OPEN, "open('/nowhere/x.json')"),
        (SystemCall.SYNC, "import os, tempfile; os.fsync(tempfile.TemporaryFile().fileno())"),
    ],
)
def test_a_call_fails_only_while_it_is_told_to(page: FaultPage, call: SystemCall, program: str) -> None:
    told = f"try:\n    {program}\nexcept OSError as error:\n    print(error.errno)\nelse:\n    print(0)"
    before = run(page, told)
    page.set(call, ALL)
    failing = run(page, told)
    page.clear()
    assert failing != before == run(page, told)


def test_the_wall_clock_steps_and_the_monotonic_one_does_not(page: FaultPage) -> None:
    clocks = "import time; print(int(time.time()), int(time.monotonic()))"
    wall, monotonic = map(int, run(page, clocks).split())
    page.set(SystemCall.WALL_CLOCK_S, 3600)
    later, after = map(int, run(page, clocks).split())
    assert later - wall >= 3600
    assert after - monotonic < 3600


def test_short_reads_give_all_bytes_in_the_end(page: FaultPage) -> None:
    page.set(SystemCall.SHORT, ALL)
    assert (
        run(
            page,
            """
import os, socket
a, b = socket.create_server(("127.0.0.1", 0)), socket.socket()
b.connect(a.getsockname())
c, _ = a.accept()
c.sendall(b"x" * 5000)
c.close()
got, sizes = 0, set()
while part := os.read(b.fileno(), 4096):
    got += len(part)
    sizes.add(len(part) > 64)
print(got, sizes)""",
        )
        == "5000 {False}"
    )


def records(*requests: RequestRecord) -> Records:
    return Records(requests={r.request_id: r for r in requests})


def answered(**more: object) -> RequestRecord:
    fields = {"deadline_s": 1.0, "sent_s": 10.0, "answered_s": 10.5, "status": 200, **more}
    return RequestRecord("s0.0.1", "s0", **{"effect": Effect.UNSAFE, **fields})  # type: ignore[arg-type]


def judged(seen: Records) -> set[str]:
    async def story() -> set[str]:
        meter = LoopMeter()
        try:
            return {violation.rule for violation in Judge(seen, meter, grace_s=1.0).verdict()}
        finally:
            meter.close()

    return asyncio.run(story())


def test_nothing_is_found_where_all_held() -> None:
    seen = records(answered())
    seen.arrivals["s0.0.1"].append(Arrival("s0.0.1", "e0", 10.01, 0.99))
    seen.ran["s0.0.1"] = 1
    seen.processes.append(ProcessRecord("s0", 1.0, 1.5, 20.0, 20.6, 0))
    assert judged(seen) == set()


@pytest.mark.parametrize(
    ("record", "rule"),
    [
        (answered(lost="closed", answered_s=inf, status=0), "lost"),
        (answered(answered_s=12.0), "late"),
        (answered(right=False), "wrong"),
    ],
)
def test_an_answer_that_breaks_a_rule(record: RequestRecord, rule: str) -> None:
    assert judged(records(record)) == {rule}


def test_a_killed_process_owes_nothing_and_one_that_outlived_its_end_does() -> None:
    seen = records(answered(lost="closed", answered_s=inf, status=0))
    seen.processes.append(ProcessRecord("s0", 1.0, 1.5, inf, 10.2, None, killed=True))
    assert judged(seen) == set()
    seen.processes[0] = ProcessRecord("s0", 1.0, 1.5, 8.5, 10.2, None, killed=True, outlived=True)
    assert judged(seen) == {"lost", "end"}


@pytest.mark.parametrize(
    ("arrival", "closed_s", "rule"),
    [
        (Arrival("s0.0.1", "e0", 10.3, 0.7), 10.1, "after its client left"),
        (Arrival("s0.0.1", "e0", 10.5, 0.9), inf, "deadline"),
    ],
)
def test_an_attempt_that_breaks_a_rule(arrival: Arrival, closed_s: float, rule: str) -> None:
    seen = records(answered(closed_s=closed_s))
    seen.arrivals["s0.0.1"].append(arrival)
    assert judged(seen) == {rule}


def test_effects_that_break_a_rule() -> None:
    seen = records(answered(status=503))
    seen.ran["s0.0.1"] = 2
    assert judged(seen) == {"duplicate", "refused"}


def test_an_arrival_past_the_grace_counts_also_for_a_process_that_was_stopped() -> None:
    seen = records(answered())
    seen.arrivals["s0.0.1"].append(Arrival("s0.0.1", "e0", 10.4, 0.6))
    seen.changes.append(Change("s0", "e0", 9.2))
    seen.stops.append(Span("s0", 9.0, 10.3))
    assert judged(seen) == {"drain"}


@pytest.mark.parametrize(
    ("process", "rule"),
    [
        (ProcessRecord("s0", 1.0, inf, inf, 1.2, 2), "start"),
        (ProcessRecord("s0", 1.0, 12.0), "start"),
        (ProcessRecord("s0", 1.0, 1.5, inf, 5.0, -6), "crash"),
        (ProcessRecord("s0", 1.0, 1.5, 5.0, 6.7, None, killed=True, outlived=True), "end"),
    ],
)
def test_a_process_that_breaks_a_rule(process: ProcessRecord, rule: str) -> None:
    seen = records()
    seen.processes.append(process)
    assert judged(seen) == {rule}


@pytest.mark.parametrize("seed", [1, 2])
def test_a_short_soak_breaks_no_rule_that_knows_no_time(seed: int, tmp_path: Path) -> None:
    outcome = soak(seed, Size(sidecars=4, endpoints=5, seconds=4.0, rate=20.0), tmp_path / "soak")
    assert outcome.figures["requests"]
    assert [str(v) for v in outcome.violations if v.rule in TIMELESS] == []
