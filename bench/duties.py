"""What duties cost and how soon they pass on, in virtual time by cause, count and voters; a voter's disk by SQLite's.

`python -m bench.duties [--seeds 60]`.  Fail-over is in lease lengths; the least that the settings allow is what is
left of the lease when the holder fails, since nobody may take a duty before that is over.
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

LEASE = 10000.0
CAUSES = ("killed", "stopped", "cut off", "planned", "given", "voter gone")


def passing(seeds: int) -> None:
    print("cause        median  worst   (lease lengths; from the failure until somebody new holds)")
    for cause in CAUSES:
        took = [fail_over(cause, seed) for seed in range(seeds)]
        print(f"{cause:11}  {statistics.median(took):6.3f}  {max(took):6.3f}")


def idle(voters: int, duties: int) -> str:
    fleet = Holders(voters, 1, lease_ms=LEASE)
    fleet.run(1.5 * LEASE)
    process = fleet.processes["s1"]
    began = time.process_time()
    for i in range(duties):
        process.want(Acquire(f"duty-{i}"))
    while sum(d.state is State.HELD for d in process.candidate.tasks.values()) < duties:
        fleet.run(10.0)
    took = time.process_time() - began
    fleet.run(LEASE)
    messages, sent = fleet.sent["messages"], fleet.sent["bytes"]
    began = time.process_time()
    fleet.run(10 * LEASE)
    span = 10 * LEASE / 1000
    cpu = (time.process_time() - began) / span
    return (
        f"{voters:6}  {duties:6}  {(fleet.sent['messages'] - messages) / span:10.2f}  "
        f"{(fleet.sent['bytes'] - sent) / span:8.1f}  {1e6 * cpu:9.0f}  {duties / took:12.0f}"
    )


def disks(records: int) -> None:
    """Records that last, one commit each, on this disk; and many with one commit."""
    payload = b"x" * 80
    with tempfile.TemporaryDirectory() as folder:
        log = Log(Folder(str(Path(folder, "log"))), "s1")
        log.open()
        db = sqlite3.connect(Path(folder, "db"), isolation_level=None)
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=FULL")
        db.execute("CREATE TABLE t (n INTEGER PRIMARY KEY, data BLOB)")
        own, theirs = [], []
        for _ in range(records):  # in turn, so that what else the disk does falls on both
            began = time.perf_counter()
            log.append([payload])
            middle = time.perf_counter()
            db.execute("INSERT INTO t (data) VALUES (?)", (payload,))
            own.append(middle - began)
            theirs.append(time.perf_counter() - middle)
        ratio = statistics.median(theirs) / statistics.median(own)
        print(f"a record that lasts: SQLite (WAL, FULL) takes {ratio:.2f} times as long as the log")
        began = time.perf_counter()
        log.append([payload] * 256)
        many = (time.perf_counter() - began) / statistics.median(own)
        print(f"256 records in one append: {many:.1f} times one record")
        log.close()
        db.close()


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--seeds", type=int, default=60)
    wanted = words.parse_args()
    passing(wanted.seeds)
    print("\nvoters  duties  messages/s   bytes/s  CPU us/s  acquired/s  (all machines in one process; lease 10 s)")
    for voters in (3, 5, 7):
        for duties in (1, 100, 10_000):
            print(idle(voters, duties))
    print()
    disks(300)


if __name__ == "__main__":
    main()
