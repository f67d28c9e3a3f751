"""The memory monitor with a probe that tells what each test sets."""

import subprocess
import sys

import pytest

from gateusher.base.diagnostics import Diagnostics
from gateusher.base.limits import (
    BYTES_PER_MB,
    CONNECTION_BYTES,
    MEASURED_GROWTH_BYTES,
    MIN_MESSAGE_BYTES,
    MIN_PRESSED_CONNECTIONS,
    MemoryBudget,
)
from gateusher.base.memory_monitor import MemoryMonitor, MemoryPressure, Watermarks

from ..helpers import ROOT

LIMIT_MB = 32.0
AT_REST_MB = 22.0
MANY_CONNECTIONS = MIN_PRESSED_CONNECTIONS + 100


class Probe:
    def __init__(self) -> None:
        self.resident_mb = AT_REST_MB
        self.is_unknown = False
        self.returned = self.collected = 0

    def resident_bytes(self) -> int:
        if self.is_unknown:
            raise OSError("not here")
        return int(self.resident_mb * BYTES_PER_MB)

    def return_free_memory(self) -> None:
        self.returned += 1

    def collect_garbage(self) -> None:
        self.collected += 1


class Monitored:
    """A budget with many connections, and its monitor."""

    def __init__(self, connections: int = MANY_CONNECTIONS) -> None:
        self.probe = Probe()
        self.budget = MemoryBudget(10 * BYTES_PER_MB)
        for _ in range(connections):
            self.budget.connection_opened()
        self.shed_bytes = list[int]()
        self.now_s = 0.0
        self.monitor = MemoryMonitor(
            self.budget,
            self.probe,
            Watermarks.of_limit(LIMIT_MB, AT_REST_MB),
            lambda: self.now_s,
            self.shed_bytes.append,
            Diagnostics(),
        )


def test_at_rest_the_budget_is_bounded_by_its_own_limit_alone() -> None:
    m = Monitored()
    m.monitor.check()
    assert m.monitor.pressure is MemoryPressure.NORMAL
    assert not m.budget.is_pressed and m.budget.allows_connection and not m.shed_bytes


def test_what_is_not_counted_lowers_what_may_be_held() -> None:
    m = Monitored()
    m.probe.resident_mb = 25.0  # nothing of it is counted
    m.monitor.check()
    assert m.budget.acquire_for_response(MIN_MESSAGE_BYTES)
    assert not m.budget.acquire_for_response(BYTES_PER_MB), "26 MB is the high watermark of 32"


def test_close_to_the_limit_less_is_taken_on() -> None:
    m = Monitored()
    m.probe.resident_mb = 27.0
    m.monitor.check()
    assert m.monitor.pressure is MemoryPressure.HIGH
    assert m.budget.is_pressed and m.budget.is_scarce
    assert m.probe.returned and not m.shed_bytes


def test_at_the_limit_no_connection_is_added() -> None:
    m = Monitored()
    m.probe.resident_mb = 30.0
    m.monitor.check()
    assert m.monitor.pressure is MemoryPressure.CRITICAL
    assert not m.budget.allows_connection
    m.budget.connection_closed()
    assert m.budget.allows_connection, "one in place of another"


def test_near_the_limit_slow_connections_are_shed_for_what_exceeds_the_high_watermark() -> None:
    m = Monitored()
    m.probe.resident_mb = 31.0
    m.monitor.check()
    assert m.monitor.pressure is MemoryPressure.CRITICAL
    assert m.shed_bytes == [5 * BYTES_PER_MB]


def test_garbage_is_collected_once_a_second_at_most() -> None:
    m = Monitored()
    m.probe.resident_mb = 31.0
    for m.now_s in (0.0, 0.1, 0.2, 1.0):
        m.monitor.check()
    assert m.probe.collected == 2


def test_growth_is_measured_between_the_regular_checks() -> None:
    m = Monitored()
    m.probe.resident_mb = 29.0
    m.budget.note_growth(MEASURED_GROWTH_BYTES)
    assert m.budget.is_pressed


def test_connections_count_as_growth() -> None:
    m = Monitored()
    m.probe.resident_mb = 29.0
    for _ in range(MEASURED_GROWTH_BYTES // CONNECTION_BYTES + 1):
        m.budget.connection_opened()
    assert m.budget.is_pressed


def test_memory_that_stays_resident_after_a_crowd_costs_the_few_that_are_left_nothing() -> None:
    m = Monitored(connections=MIN_PRESSED_CONNECTIONS)
    m.probe.resident_mb = 30.5
    m.monitor.check()
    assert not m.budget.is_pressed and m.budget.allows_connection
    assert m.budget.acquire(MIN_MESSAGE_BYTES)


def test_pressure_ends_with_its_cause() -> None:
    m = Monitored()
    for m.probe.resident_mb in (31.0, 29.0, 23.0):
        m.monitor.check()
    assert m.monitor.pressure is MemoryPressure.NORMAL
    assert not m.budget.is_pressed and m.budget.allows_connection
    assert m.monitor.peak_bytes == 31 * BYTES_PER_MB


def test_without_a_figure_of_the_system_the_budget_s_own_limit_holds() -> None:
    m = Monitored()
    m.probe.is_unknown = True
    m.monitor.check()
    assert not m.budget.is_pressed and m.budget.acquire(5 * BYTES_PER_MB)


@pytest.mark.parametrize("limit_mb", [16.0, 24.0])
def test_a_limit_below_what_a_process_takes_leaves_it_some_room(limit_mb: float) -> None:
    watermarks = Watermarks.of_limit(limit_mb, AT_REST_MB)
    assert watermarks.pressure(int((AT_REST_MB + 1) * BYTES_PER_MB)) is MemoryPressure.NORMAL
    assert watermarks.high_bytes < watermarks.critical_bytes


def test_the_resident_set_of_a_process_is_known() -> None:
    """In a process of its own: one that has freed much before may allocate without growing."""
    script = (
        "from gateusher.base.resident_memory import ResidentMemory\n"
        "memory = ResidentMemory()\n"
        "before = memory.resident_bytes()\n"
        f"block = bytearray(b'x') * {8 * BYTES_PER_MB}\n"
        "print(memory.resident_bytes() - before)\n"
        "del block\n"
        "memory.collect_garbage()\n"
        "print(memory.resident_bytes() - before)\n"
        "memory.close()\n"
    )
    done = subprocess.run([sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, check=True)
    held_bytes, freed_bytes = map(int, done.stdout.split())
    assert held_bytes > 4 * BYTES_PER_MB
    assert freed_bytes < 4 * BYTES_PER_MB
