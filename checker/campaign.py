"""Campaigns of random executions and exhaustive searches in several processes, also against mutants."""

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
# The exhaustive searches of a check, with plain settings: interface, effects of the requests in order, depth.
EXHAUSTIVE_CASES = (
    ("daemon", ("unsafe",), 6),
    ("daemon", ("keyed",), 5),
    ("library", ("unsafe",), 5),
    ("library", ("unsafe", "safe"), 4),
)
# The random executions of a check, by fixed seeds: effects of the requests in order, maximum number of events.
RANDOM_CASES = ((("unsafe",), 16), (("keyed",), 24), (("unsafe", "safe"), 30), (("unsafe", "keyed", "safe"), 45))
# The settings of the random executions: the non-default fields of `Setting`.
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
# The searches against a mutant that survives the random executions: about 1,500 states.
MUTANT_CASES = (("daemon", ("unsafe",), 4), ("library", ("keyed",), 3))
# Exhaustive searches are feasible with these settings, which add few choices to the events.
EXHAUSTIVE_SETTINGS = ("plain", "zone", "cell", "cold")
EXECUTIONS_PER_JOB = 200  # in a check
STREAMED_RESPONSE_FACTOR = 8  # few executions with streamed responses get as far as the middle of a response
MUTANT_EXECUTIONS = 32  # per job against a mutant
MAX_MUTANT_CPU_S = 120  # a mutant that takes longer does not terminate
MAX_MUTANT_BYTES = 2 << 30


class Job(NamedTuple):
    """Random executions of one configuration, with the seeds from `first_seed` on."""

    interface: str
    effects: tuple[str, ...]
    max_events: int
    executions: int
    first_seed: int = 0
    setting: str = "plain"


def random_jobs(executions: int = EXECUTIONS_PER_JOB, first_seed: int = 0) -> list[Job]:
    """Return one job for each setting, list of effects and interface; the library has no streams or operators."""
    count = {
        setting: executions * STREAMED_RESPONSE_FACTOR if fields.get("streamed_responses") else executions
        for setting, fields in SETTINGS.items()
    }
    return [
        Job(interface, effects, max_events, count[setting], first_seed, setting)
        for setting in SETTINGS
        for effects, max_events in RANDOM_CASES
        for interface in INTERFACES
        if interface == "daemon" or not {"streamed_responses", "operator_events"} & SETTINGS[setting].keys()
    ]


def run_job(job: Job, minimized: bool = True) -> dict[str, Any]:
    """Return the counts of a job, and its first failure, by default with a minimal trace."""
    from .explore import Explorer, minimize  # noqa: PLC0415 - a mutant is planted before the program loads
    from .world import Setting  # noqa: PLC0415

    setting = Setting(**SETTINGS[job.setting])
    explorer = Explorer(job.interface, job.effects, job.max_events, setting=setting)
    report = explorer.run_random(job.executions, job.first_seed)
    result = {
        "transitions": report.transitions,
        "executions": report.executions,
        "table_transitions": sorted(report.table_transitions),
    }
    if report.violations:
        if minimized:
            report = minimize(job.interface, job.effects, report.trace, setting=setting)
        result |= {
            "interface": job.interface,
            "effects": job.effects,
            "setting": job.setting,
            "trace": report.trace,
            "broken": report.violations,
        }
    return result


def run_jobs(jobs: Iterable[Job], workers: int = 1, minimized: bool = True) -> dict[str, Any]:
    """Run jobs up to the first failure and return it with the counts, the same for any number of workers."""
    started_at = time.monotonic()
    total: dict[str, Any] = {"transitions": 0, "executions": 0}
    table_transitions: set[tuple[str, ...]] = set()
    pool = multiprocessing.get_context("fork").Pool(workers) if workers > 1 else None
    try:
        run = partial(run_job, minimized=minimized)
        for result in pool.imap(run, jobs) if pool else map(run, jobs):
            for key in total:
                total[key] += result[key]
            table_transitions |= {tuple(t) for t in result["table_transitions"]}
            if "trace" in result:
                return {**result, **total}
    finally:
        if pool:
            pool.terminate()
    return {
        **total,
        "table_transitions": sorted(table_transitions),
        "seconds": time.monotonic() - started_at,
    }


def explore_exhaustively(
    workers: int = 1,
    cases: Iterable[tuple[str, tuple[str, ...], int]] = EXHAUSTIVE_CASES,
    minimized: bool = True,
    with_audits: bool = True,
) -> Iterator[Any]:
    """Yield the `levels.SearchResult` of each case, up to the first with violations, by default minimized."""
    from .explore import minimize  # noqa: PLC0415 - as above
    from .levels import Case, search  # noqa: PLC0415

    for interface, effects, depth in cases:
        result = search(Case(interface, effects), depth, workers, with_audits=with_audits)
        if result.violations and not result.audit_failed and minimized:
            report = minimize(interface, effects, result.trace)
            result.trace, result.violations = report.trace, report.violations
        yield result
        if result.violations:
            return


# -- mutants, each in a process of its own


def try_mutant(
    name: str, executions: int = MUTANT_EXECUTIONS, minimized: bool = False, exhaustive: bool = False
) -> dict[str, Any]:
    """Plant a mutant in this process and run against it.  The result has a `trace` or `crash` if it is killed."""
    mutate.plant(name)
    try:
        if exhaustive:
            *_, last = explore_exhaustively(1, MUTANT_CASES, minimized, with_audits=False)
            return last.as_counterexample() if last.violations else {}
        result = run_jobs(random_jobs(executions), minimized=minimized)
    except Exception as error:
        return {"crash": f"{type(error).__name__}: {error}"[:200]}
    returned = ("interface", "effects", "setting", "trace", "broken", "executions")
    return {key: result[key] for key in returned if key in result}


def _child(name: str, run: Callable[[str], dict[str, Any]], output: Connection) -> None:
    resource.setrlimit(resource.RLIMIT_CPU, (MAX_MUTANT_CPU_S, MAX_MUTANT_CPU_S))
    resource.setrlimit(resource.RLIMIT_AS, (MAX_MUTANT_BYTES, MAX_MUTANT_BYTES))
    os.dup2(os.open(os.devnull, os.O_WRONLY), 2)
    try:
        output.send(run(name))
    except BaseException as error:
        output.send({"crash": f"{type(error).__name__}: {error}"[:200]})


def run_mutants(
    names: Iterable[str], workers: int, run: Callable[[str], dict[str, Any]] = try_mutant
) -> Iterator[tuple[str, dict[str, Any]]]:
    """Run each mutant in a process of its own and yield its name and result, in the order of completion."""
    assert not any(m in sys.modules for m in mutate.TARGETS), "the program is imported already"
    context = multiprocessing.get_context("fork")
    remaining = iter(names)
    running: dict[Any, tuple[str, Any]] = {}  # by our end of the pipe
    while True:
        while len(running) < workers and (name := next(remaining, None)) is not None:
            ours, theirs = context.Pipe(duplex=False)
            process = context.Process(target=_child, args=(name, run, theirs))
            process.start()
            theirs.close()
            running[ours] = name, process
        if not running:
            return
        ended: list[Any] = wait(list(running))
        for ours in ended:
            name, process = running.pop(ours)
            try:
                result = ours.recv()
            except EOFError:
                result = {"crash": "out of CPU time or memory"}
            process.join()
            ours.close()
            yield name, result


def measure_coverage(jobs: Iterable[Job]) -> Any:
    """Return the branch coverage (a `coverage.Coverage`) of the mutated modules by these jobs alone."""
    import coverage  # noqa: PLC0415

    cover = coverage.Coverage(data_file=None, branch=True, include=[str(mutate.path_of(m)) for m in mutate.TARGETS])
    cover.start()
    run_jobs(jobs)
    cover.stop()
    return cover


def executed_lines(executions: int = MUTANT_EXECUTIONS) -> dict[str, list[int]]:
    """Return the lines of each mutated module that the jobs execute; no mutant of another line can be killed."""
    data = measure_coverage(random_jobs(executions)).get_data()
    return {m: sorted(data.lines(str(mutate.path_of(m))) or ()) for m in mutate.TARGETS}
