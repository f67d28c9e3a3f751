"""What is played for a verdict, by how many processes, and what becomes of each mutant."""

from __future__ import annotations

import multiprocessing
import os
import resource
import sys
import time
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from multiprocessing.connection import Connection, wait
from typing import Any, NamedTuple

from . import mutate

INTERFACES = ("library", "daemon")
# Every order of the events of the plain kind: face, effects in the order of their coming, and a bound on events.
EXHAUSTIVE_CASES = (
    ("daemon", ("unsafe",), 6),
    ("daemon", ("keyed",), 5),
    ("library", ("unsafe",), 5),
    ("library", ("unsafe", "safe"), 4),
)
# Walks by fixed seeds through everything that can be chosen: effects, steps.
RANDOM_CASES = ((("unsafe",), 16), (("keyed",), 24), (("unsafe", "safe"), 30), (("unsafe", "keyed", "safe"), 45))
# The worlds of the walks, by the words of `world.Setting`.
SETTINGS: dict[str, dict[str, Any]] = {
    "plain": {},
    "zone": {"deduplication_scope": "zone"},
    "cell": {"deduplication_scope": "cell"},
    "cold": {"slow_start": True},
    "fault-free": {"fault_free": True},
    "streamed": {"streamed_responses": True},
    "fault-free, streamed": {"fault_free": True, "streamed_responses": True},
    "operators": {"operator_events": True},
    "operators, graceful shutdown": {"operator_events": True, "graceful_shutdown": True, "slow_start": True},
    "restricted": {"restricted_events": True},
    "watched list": {"watched_list": True},
    "load report polls": {"load_report_polls": True},
    "graceful shutdown": {"graceful_shutdown": True},
    "combined": {
        "deduplication_scope": "zone",
        "slow_start": True,
        "watched_list": True,
        "load_report_polls": True,
        "graceful_shutdown": True,
    },
}
# The same of a mutant that walks don't kill: some 1,500 states.
MUTANT_CASES = (("daemon", ("unsafe",), 4), ("library", ("keyed",), 3))
EXHAUSTIVE_SETTINGS = (
    "plain",
    "zone",
    "cell",
    "cold",
)  # worlds of which every order can be followed: few choices beside events
EXECUTIONS_PER_JOB = 200  # of a check, for each world, face and list of effects
STREAMED_RESPONSE_FACTOR = 8  # so many times as many where answers are long
MUTANT_EXECUTIONS = 32  # of a hunt for a mutant
MAX_MUTANT_CPU_S = 120  # a mutant that takes longer never ends
MAX_MUTANT_BYTES = 2 << 30


class Job(NamedTuple):
    """So many walks to a depth, by the seeds from `first` on."""

    interface: str
    effects: tuple[str, ...]
    depth: int
    executions: int
    first_seed: int = 0
    setting: str = "plain"


def random_jobs(executions: int = EXECUTIONS_PER_JOB, first_seed: int = 0) -> list[Job]:
    # Of a long world's walks few come to the middle of an answer.
    count = {
        s: executions * STREAMED_RESPONSE_FACTOR if SETTINGS[s].get("streamed_responses") else executions
        for s in SETTINGS
    }
    return [
        Job(f, e, d, count[s], first_seed, s)
        for s in SETTINGS
        for e, d in RANDOM_CASES
        for f in INTERFACES
        if f == "daemon" or not {"streamed_responses", "operator_events"} & SETTINGS[s].keys()
    ]  # no library has these


def run_job(job: Job, minimized: bool = True) -> dict[str, Any]:
    """Its counts, and the first failure, shortened unless that would take longer than it is worth."""
    from .explore import Explorer, minimize  # noqa: PLC0415 - a mutant is planted before the program loads
    from .world import Setting  # noqa: PLC0415

    setting = Setting(**SETTINGS[job.setting])
    report = Explorer(job.interface, job.effects, job.depth, setting=setting).run_random(
        job.executions, job.first_seed
    )
    found = {
        "transitions": report.transitions,
        "executions": report.executions,
        "table_transitions": sorted(report.table_transitions),
    }
    if report.violations:
        if minimized:
            report = minimize(job.interface, job.effects, report.trace, setting=setting)
        found |= {
            "interface": job.interface,
            "effects": job.effects,
            "setting": job.setting,
            "trace": report.trace,
            "broken": report.violations,
        }
    return found


def run_jobs(todo: Iterable[Job], workers: int = 1, minimized: bool = True) -> dict[str, Any]:
    """Play all of them; the failure of the first job that has one, or the counts.  The same for any `workers`."""
    began = time.monotonic()
    total: dict[str, Any] = {"transitions": 0, "executions": 0}
    table_transitions: set[tuple[str, ...]] = set()
    pool = multiprocessing.get_context("fork").Pool(workers) if workers > 1 else None
    try:
        one = partial(run_job, minimized=minimized)
        for found in pool.imap(one, todo) if pool else map(one, todo):
            for key in total:
                total[key] += found[key]
            table_transitions |= {tuple(m) for m in found["table_transitions"]}
            if "trace" in found:
                return {**found, **total}
    finally:
        if pool:
            pool.terminate()
    return {**total, "table_transitions": sorted(table_transitions), "seconds": time.monotonic() - began}


def explore_exhaustively(
    workers: int = 1,
    cases: Iterable[tuple[str, tuple[str, ...], int]] = EXHAUSTIVE_CASES,
    minimized: bool = True,
    with_audits: bool = True,
) -> Iterator[Any]:
    """Each case with what it came to (a `levels.Found`), up to the first that breaks something, shortened."""
    from .explore import minimize  # noqa: PLC0415 - as above
    from .levels import Case, search  # noqa: PLC0415

    for interface, effects, depth in cases:
        found = search(Case(interface, effects), depth, workers, with_audits=with_audits)
        if found.violations and not found.audit_failed and minimized:
            report = minimize(interface, effects, found.trace)
            found.trace, found.violations = report.trace, report.violations
        yield found
        if found.violations:
            return


# -- mutants, each in a process of its own


def try_mutant(
    name: str, executions: int = MUTANT_EXECUTIONS, minimized: bool = False, exhaustive: bool = False
) -> dict[str, Any]:
    """Plant it and hunt it, in this process, by walks or by every order: `story`, or `crash`, where it is killed."""
    mutate.plant(name)
    try:
        if exhaustive:
            *_, last = explore_exhaustively(1, MUTANT_CASES, minimized, with_audits=False)
            return last.as_counterexample() if last.violations else {}
        found = run_jobs(random_jobs(executions), minimized=minimized)
    except Exception as error:
        return {"crash": f"{type(error).__name__}: {error}"[:200]}
    kept = ("interface", "effects", "setting", "trace", "broken", "executions")
    return {key: found[key] for key in kept if key in found}


def _child(name: str, one: Callable[[str], dict[str, Any]], out: Connection) -> None:
    resource.setrlimit(resource.RLIMIT_CPU, (MAX_MUTANT_CPU_S, MAX_MUTANT_CPU_S))
    resource.setrlimit(resource.RLIMIT_AS, (MAX_MUTANT_BYTES, MAX_MUTANT_BYTES))
    os.dup2(os.open(os.devnull, os.O_WRONLY), 2)
    try:
        out.send(one(name))
    except BaseException as error:
        out.send({"crash": f"{type(error).__name__}: {error}"[:200]})


def run_mutants(
    names: Iterable[str], workers: int, one: Callable[[str], dict[str, Any]] = try_mutant
) -> Iterator[tuple[str, dict[str, Any]]]:
    """Each mutant with what became of it, in the order in which they end."""
    assert not any(m in sys.modules for m in mutate.TARGETS), "the program is imported already"
    context = multiprocessing.get_context("fork")
    rest = iter(names)
    running: dict[Any, tuple[str, Any]] = {}  # by the end of the pipe that is ours
    while True:
        while len(running) < workers and (name := next(rest, None)) is not None:
            ours, theirs = context.Pipe(duplex=False)
            process = context.Process(target=_child, args=(name, one, theirs))
            process.start()
            theirs.close()
            running[ours] = name, process
        if not running:
            return
        ended: list[Any] = wait(list(running))
        for ours in ended:
            name, process = running.pop(ours)
            try:
                found = ours.recv()
            except EOFError:
                found = {"crash": "it never ends, or takes all memory"}
            process.join()
            ours.close()
            yield name, found


def measure_coverage(todo: Iterable[Job]) -> Any:
    """The branch coverage (a `coverage.Coverage`) of the targets by these jobs alone."""
    import coverage  # noqa: PLC0415

    cover = coverage.Coverage(data_file=None, branch=True, include=[str(mutate.path_of(m)) for m in mutate.TARGETS])
    cover.start()
    run_jobs(todo)
    cover.stop()
    return cover


def executed_lines(executions: int = MUTANT_EXECUTIONS) -> dict[str, list[int]]:
    """The lines of each target that a hunt without a fault runs: no change elsewhere can show in it."""
    data = measure_coverage(random_jobs(executions)).get_data()
    return {m: sorted(data.lines(str(mutate.path_of(m))) or ()) for m in mutate.TARGETS}
