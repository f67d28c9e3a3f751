"""Tests of the soak: the fault library, the invariants on constructed records, and a short run of the whole."""

import asyncio
import subprocess
import sys
from collections.abc import Iterator
from math import inf
from pathlib import Path

import pytest

from rig.soak.__main__ import run_soak
from rig.soak.faults import EVERY_CALL_PER_MILLE, FaultPage, SystemCall, build_library
from rig.soak.invariants import InvariantChecker
from rig.soak.records import (
    Arrival,
    Effect,
    EndpointChange,
    LoopLagMeter,
    ProcessRecord,
    Records,
    RequestRecord,
    SidecarInterval,
)
from rig.soak.runner import Size, SoakRun
from rig.soak.sidecars import Sidecar

# Rules that hold on a machine of any speed; the others measure time.
TIME_INDEPENDENT_RULES = {"duplicate", "refused", "wrong", "log", "crash", "diagnostics"}


@pytest.fixture
def page(tmp_path: Path) -> Iterator[FaultPage]:
    library = build_library(tmp_path)
    if library is None:
        pytest.skip("no C compiler: the tests of the program inject the same faults in Python")
    fault_page = FaultPage(library, tmp_path / "page", seed=1)
    yield fault_page
    fault_page.close()


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
def test_a_call_fails_only_while_its_rate_is_set(page: FaultPage, call: SystemCall, program: str) -> None:
    errno_program = f"try:\n    {program}\nexcept OSError as error:\n    print(error.errno)\nelse:\n    print(0)"
    before = run(page, errno_program)
    page.set(call, EVERY_CALL_PER_MILLE)
    failing = run(page, errno_program)
    page.clear()
    assert failing != before == run(page, errno_program)


def test_the_wall_clock_steps_and_the_monotonic_one_does_not(page: FaultPage) -> None:
    clocks = "import time; print(int(time.time()), int(time.monotonic()))"
    wall, monotonic = map(int, run(page, clocks).split())
    page.set(SystemCall.WALL_CLOCK_S, 3600)
    later, after = map(int, run(page, clocks).split())
    assert later - wall >= 3600
    assert after - monotonic < 3600


def test_short_reads_return_all_bytes(page: FaultPage) -> None:
    page.set(SystemCall.SHORT, EVERY_CALL_PER_MILLE)
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


def answered_request(**overrides: object) -> RequestRecord:
    fields = {"deadline_s": 1.0, "sent_s": 10.0, "answered_s": 10.5, "status": 200, **overrides}
    return RequestRecord("s0.0.1", "s0", **{"effect": Effect.UNSAFE, **fields})  # type: ignore[arg-type]


def violated_rules(observed: Records) -> set[str]:
    async def check() -> set[str]:
        meter = LoopLagMeter()
        try:
            return {violation.rule for violation in InvariantChecker(observed, meter, grace_s=1.0).check()}
        finally:
            meter.close()

    return asyncio.run(check())


def test_valid_records_violate_no_rule() -> None:
    observed = records(answered_request())
    observed.arrivals["s0.0.1"].append(Arrival("s0.0.1", "e0", 10.01, 0.99))
    observed.executions["s0.0.1"] = 1
    observed.processes.append(ProcessRecord("s0", 1.0, 1.5, 20.0, 20.6, 0))
    assert violated_rules(observed) == set()


@pytest.mark.parametrize(
    ("record", "rule"),
    [
        (answered_request(loss_reason="closed", answered_s=inf, status=0), "lost"),
        (answered_request(answered_s=12.0), "late"),
        (answered_request(is_correct=False), "wrong"),
    ],
)
def test_a_response_that_violates_a_rule(record: RequestRecord, rule: str) -> None:
    assert violated_rules(records(record)) == {rule}


def test_no_response_is_due_from_a_killed_process_unless_it_exceeded_its_shutdown_time() -> None:
    observed = records(answered_request(loss_reason="closed", answered_s=inf, status=0))
    observed.processes.append(ProcessRecord("s0", 1.0, 1.5, inf, 10.2, None, killed=True))
    assert violated_rules(observed) == set()
    observed.processes[0] = ProcessRecord("s0", 1.0, 1.5, 8.5, 10.2, None, killed=True, was_running_at_sigkill=True)
    assert violated_rules(observed) == {"lost", "end"}


@pytest.mark.parametrize(
    ("arrival", "closed_s", "rule"),
    [
        (Arrival("s0.0.1", "e0", 10.3, 0.7), 10.1, "after its client left"),
        (Arrival("s0.0.1", "e0", 10.5, 0.9), inf, "deadline"),
    ],
)
def test_an_attempt_that_violates_a_rule(arrival: Arrival, closed_s: float, rule: str) -> None:
    observed = records(answered_request(closed_s=closed_s))
    observed.arrivals["s0.0.1"].append(arrival)
    assert violated_rules(observed) == {rule}


def test_executions_that_violate_a_rule() -> None:
    observed = records(answered_request(status=503))
    observed.executions["s0.0.1"] = 2
    assert violated_rules(observed) == {"duplicate", "refused"}


def test_an_arrival_after_the_grace_violates_the_drain_rule_even_if_the_process_was_paused() -> None:
    observed = records(answered_request())
    observed.arrivals["s0.0.1"].append(Arrival("s0.0.1", "e0", 10.4, 0.6))
    observed.changes.append(EndpointChange("s0", "e0", 9.2))
    observed.pauses.append(SidecarInterval("s0", 9.0, 10.3))
    assert violated_rules(observed) == {"drain"}


@pytest.mark.parametrize(
    ("process", "rule"),
    [
        (ProcessRecord("s0", 1.0, inf, inf, 1.2, 2), "start"),
        (ProcessRecord("s0", 1.0, 12.0), "start"),
        (ProcessRecord("s0", 1.0, 1.5, inf, 5.0, -6), "crash"),
        (ProcessRecord("s0", 1.0, 1.5, 5.0, 6.7, None, killed=True, was_running_at_sigkill=True), "end"),
        (ProcessRecord("s0", 1.0, 1.5, reported_violations={"no_event_unhandled": 2}), "diagnostics"),
        (ProcessRecord("s0", 1.0, 1.5, inf, 6.7, killed=True, reported_violations={"x": 1}), "diagnostics"),
    ],
)
def test_a_process_that_violates_a_rule(process: ProcessRecord, rule: str) -> None:
    observed = records()
    observed.processes.append(process)
    assert violated_rules(observed) == {rule}


@pytest.mark.parametrize(
    ("log", "violations"),
    [
        ("gateusher: ready\n", 0),
        ("gateusher: invariant violated: an unsafe request that may have run was to be sent again: request 'x'\n", 1),
        ("gateusher: TimerFired could not be handled: Traceback (most recent call last):\n  File x\nKeyError\n", 1),
        ("gateusher: illegal transition: request: 'CONCLUDE' in state 'ANSWERED'\nTraceback (most recent\n", 2),
    ],
)
def test_faults_in_the_logs_are_violations(log: str, violations: int, tmp_path: Path) -> None:
    soak = SoakRun(1, Size(), tmp_path, library=None)
    soak.sidecars["s0"] = Sidecar("s0", ("127.0.0.1", 9), [], tmp_path / "s0", soak.records, faults=None)
    soak.sidecars["s0"].log.write_text(log)
    assert [violation.rule for violation in soak.check_logs()] == ["log"] * violations


@pytest.mark.parametrize(
    ("response", "reported", "read_count"),
    [
        (b'HTTP/1.1 200 OK\r\n\r\n{"violations": {"no_event_unhandled": 1}}', {"no_event_unhandled": 1}, 1),
        (b'HTTP/1.1 200 OK\r\n\r\n{"violations": {}}', {}, 1),
        (b'HTTP/1.1 200 OK\r\n\r\n{"violations": {"no_ev', {}, 0),
        (b"HTTP/1.1 503 Service Unavailable\r\n\r\nno", {}, 0),
        (b"", {}, 0),
    ],
)
def test_violations_in_the_diagnostics_are_recorded(
    response: bytes, reported: dict[str, int], read_count: int, tmp_path: Path
) -> None:
    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_line = await reader.readline()
        if request_line.startswith(b"GET /_diagnostics "):
            writer.write(response)
        writer.close()

    async def scenario() -> ProcessRecord:
        async with await asyncio.start_server(respond, "127.0.0.1", 0) as server:
            sidecar = Sidecar("s0", ("127.0.0.1", 9), [], tmp_path / "s0", Records(), faults=None)
            sidecar.admin_address = server.sockets[0].getsockname()
            sidecar.process_record, sidecar.is_serving = ProcessRecord("s0", 1.0, 1.5), True
            await sidecar.read_diagnostics()
            return sidecar.process_record

    process = asyncio.run(scenario())
    assert (process.reported_violations, process.diagnostics_read) == (reported, read_count)


def test_diagnostics_of_an_unreachable_sidecar_are_not_read(tmp_path: Path) -> None:
    sidecar = Sidecar("s0", ("127.0.0.1", 9), [], tmp_path / "s0", Records(), faults=None)
    asyncio.run(sidecar.read_diagnostics())
    sidecar.process_record, sidecar.is_serving = ProcessRecord("s0", 1.0, 1.5), True
    asyncio.run(sidecar.read_diagnostics())
    assert sidecar.process_record.diagnostics_read == 0


@pytest.mark.parametrize("seed", [1, 2])
def test_a_short_soak_violates_no_time_independent_rule(seed: int, tmp_path: Path) -> None:
    outcome = run_soak(seed, Size(sidecars=4, endpoints=5, duration_s=4.0, client_rate_per_s=20.0), tmp_path / "soak")
    assert outcome.summary["requests"]
    assert outcome.summary["lives_diagnosed"]
    assert [str(v) for v in outcome.violations if v.rule in TIME_INDEPENDENT_RULES] == []
