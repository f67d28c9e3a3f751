"""Cost of leases and the time of a failover, in virtual time, and the write latency of a voter's log beside SQLite's.

    python -m bench.duties [--seeds N]

Failover times are in lease lengths.  The settings allow no failover before the rest of the failed holder's lease is
over, since no other process may acquire the lease until then.
"""

from __future__ import annotations

import argparse
import sqlite3
import statistics
import tempfile
import time
from pathlib import Path

from checker.holders import Holders, fail_over
from gateusher.leases.interface import Acquire
from gateusher.leases.task_lease import State
from gateusher.storage.log import Log
from gateusher.storage.port import Folder

LEASE_MS = 10000.0
CAUSES = ("killed", "stopped", "cut off", "planned", "given", "voter gone")
IDLE_LEASES = 10  # length of the idle period that is measured, in lease lengths
RECORDS = 300  # written one by one to each store
RECORD_BYTES = 80
BATCH_RECORDS = 256


def print_failover_times(seeds: int) -> None:
    """Print the time from a failure until another process holds the lease, by its cause."""
    print("cause        median  worst   (lease lengths; from the failure until somebody new holds)")
    for cause in CAUSES:
        times = [fail_over(cause, seed) for seed in range(seeds)]
        print(f"{cause:11}  {statistics.median(times):6.3f}  {max(times):6.3f}")


def measure_lease_costs(voters: int, leases: int) -> str:
    """Acquire leases for one process, let them idle, and return a row of the table.

    The row holds the idle messages, bytes and CPU time per second of all processes, and the leases acquired per
    second of CPU time.
    """
    fleet = Holders(voters, 1, lease_ms=LEASE_MS)
    fleet.run(1.5 * LEASE_MS)
    process = fleet.processes["s1"]
    began = time.process_time()
    for i in range(leases):
        process.want(Acquire(f"duty-{i}"))
    while sum(task.state is State.HELD for task in process.candidate.tasks.values()) < leases:
        fleet.run(10.0)
    acquisition_s = time.process_time() - began
    fleet.run(LEASE_MS)
    messages_before, bytes_before = fleet.sent["messages"], fleet.sent["bytes"]
    began = time.process_time()
    fleet.run(IDLE_LEASES * LEASE_MS)
    idle_s = IDLE_LEASES * LEASE_MS / 1000
    cpu_share = (time.process_time() - began) / idle_s
    return (
        f"{voters:6}  {leases:6}  {(fleet.sent['messages'] - messages_before) / idle_s:10.2f}  "
        f"{(fleet.sent['bytes'] - bytes_before) / idle_s:8.1f}  {1e6 * cpu_share:9.0f}  "
        f"{leases / acquisition_s:12.0f}"
    )


def print_write_latencies(records: int) -> None:
    """Compare durable writes to the voter's log with SQLite's, and a batch of records with a single one."""
    payload = b"x" * RECORD_BYTES
    with tempfile.TemporaryDirectory() as folder:
        log = Log(Folder(str(Path(folder, "log"))), "s1")
        log.open()
        db = sqlite3.connect(Path(folder, "db"), isolation_level=None)
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=FULL")
        db.execute("CREATE TABLE t (n INTEGER PRIMARY KEY, data BLOB)")
        log_s, sqlite_s = [], []
        for _ in range(records):  # alternately, so that other load on the disk affects both
            began = time.perf_counter()
            log.append([payload])
            log_ended = time.perf_counter()
            db.execute("INSERT INTO t (data) VALUES (?)", (payload,))
            log_s.append(log_ended - began)
            sqlite_s.append(time.perf_counter() - log_ended)
        ratio = statistics.median(sqlite_s) / statistics.median(log_s)
        print(f"a record that lasts: SQLite (WAL, FULL) takes {ratio:.2f} times as long as the log")
        began = time.perf_counter()
        log.append([payload] * BATCH_RECORDS)
        batch_ratio = (time.perf_counter() - began) / statistics.median(log_s)
        print(f"{BATCH_RECORDS} records in one append: {batch_ratio:.1f} times one record")
        log.close()
        db.close()


def main() -> None:
    """Print all tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=60)
    args = parser.parse_args()
    print_failover_times(args.seeds)
    print("\nvoters  duties  messages/s   bytes/s  CPU us/s  acquired/s  (all machines in one process; lease 10 s)")
    for voters in (3, 5, 7):
        for leases in (1, 100, 10_000):
            print(measure_lease_costs(voters, leases))
    print()
    print_write_latencies(RECORDS)


if __name__ == "__main__":
    main()
