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

FACES = ("library", "daemon")
# Every order of the events of the plain kind: face, effects in the order of their coming, and a bound on events.
EVERY_ORDER = (
    ("daemon", ("unsafe",), 6),
    ("daemon", ("keyed",), 5),
    ("library", ("unsafe",), 5),
    ("library", ("unsafe", "safe"), 4),
)
# Walks by fixed seeds through everything that can be chosen: effects, steps.
WALKS = ((("unsafe",), 16), (("keyed",), 24), (("unsafe", "safe"), 30), (("unsafe", "keyed", "safe"), 45))
# The worlds of the walks, by the words of `world.Setting`.
SETTINGS: dict[str, dict[str, Any]] = {
    "plain": {},
    "zone": {"scope": "zone"},
    "cell": {"scope": "cell"},
    "cold": {"cold": True},
    "calm": {"calm": True},
    "long": {"long": True},
    "calm and long": {"calm": True, "long": True},
    "operated": {"operated": True},
    "operated, drains": {"operated": True, "drains": True, "cold": True},
    "few": {"few": True},
    "listed": {"listed": True},
    "probes": {"probes": True},
    "drains": {"drains": True},
    "all of these": {"scope": "zone", "cold": True, "listed": True, "probes": True, "drains": True},
}
# The same of a mutant that walks don't kill: some 1,500 states.
MUTANT_ORDERS = (("daemon", ("unsafe",), 4), ("library", ("keyed",), 3))
ORDERED = ("plain", "zone", "cell", "cold")  # worlds of which every order can be followed: few choices beside events
WALKS_EACH = 200  # of a check, for each world, face and list of effects
LONG_TIMES = 8  # so many times as many where answers are long
MUTANT_WALKS = 32  # of a hunt for a mutant
MUTANT_CPU_S = 120  # a mutant that takes longer never ends
MUTANT_BYTES = 2 << 30


class Job(NamedTuple):
    """So many walks to a depth, by the seeds from `first` on."""

    face: str
    effects: tuple[str, ...]
    depth: int
    walks: int
    first: int = 0
    setting: str = "plain"


def jobs(walks: int = WALKS_EACH, first: int = 0) -> list[Job]:
    # Of a long world's walks few come to the middle of an answer.
    many = {s: walks * LONG_TIMES if SETTINGS[s].get("long") else walks for s in SETTINGS}
    return [
        Job(f, e, d, many[s], first, s)
        for s in SETTINGS
        for e, d in WALKS
        for f in FACES
        if f == "daemon" or not {"long", "operated"} & SETTINGS[s].keys()
    ]  # no library has these


def play(job: Job, short: bool = True) -> dict[str, Any]:
    """Its counts, and the first failure, shortened unless that would take longer than it is worth."""
    from .explore import Explorer, shorten  # noqa: PLC0415 - a mutant is planted before the program loads
    from .world import Setting  # noqa: PLC0415

    setting = Setting(**SETTINGS[job.setting])
    report = Explorer(job.face, job.effects, job.depth, setting=setting).walk(job.walks, job.first)
    found = {"transitions": report.transitions, "executions": report.executions, "moves": sorted(report.moves)}
    if report.failure:
        if short:
            report = shorten(job.face, job.effects, report.story, setting=setting)
        found |= {
            "face": job.face,
            "effects": job.effects,
            "setting": job.setting,
            "story": report.story,
            "broken": report.failure,
        }
    return found


def hunt(todo: Iterable[Job], workers: int = 1, short: bool = True) -> dict[str, Any]:
    """Play all of them; the failure of the first job that has one, or the counts.  The same for any `workers`."""
    began = time.monotonic()
    total: dict[str, Any] = {"transitions": 0, "executions": 0}
    moves: set[tuple[str, ...]] = set()
    pool = multiprocessing.get_context("fork").Pool(workers) if workers > 1 else None
    try:
        one = partial(play, short=short)
        for found in pool.imap(one, todo) if pool else map(one, todo):
            for key in total:
                total[key] += found[key]
            moves |= {tuple(m) for m in found["moves"]}
            if "story" in found:
                return {**found, **total}
    finally:
        if pool:
            pool.terminate()
    return {**total, "moves": sorted(moves), "seconds": time.monotonic() - began}


def every_order(
    workers: int = 1,
    cases: Iterable[tuple[str, tuple[str, ...], int]] = EVERY_ORDER,
    short: bool = True,
    audits: bool = True,
) -> Iterator[Any]:
    """Each case with what it came to (a `levels.Found`), up to the first that breaks something, shortened."""
    from .explore import shorten  # noqa: PLC0415 - as above
    from .levels import Case, search  # noqa: PLC0415

    for face, effects, depth in cases:
        found = search(Case(face, effects), depth, workers, audits=audits)
        if found.broken and not found.differs and short:
            report = shorten(face, effects, found.story)
            found.story, found.broken = report.story, report.failure
        yield found
        if found.broken:
            return


# -- mutants, each in a process of its own


def try_mutant(name: str, walks: int = MUTANT_WALKS, short: bool = False, orders: bool = False) -> dict[str, Any]:
    """Plant it and hunt it, in this process, by walks or by every order: `story`, or `crash`, where it is killed."""
    mutate.plant(name)
    try:
        if orders:
            *_, last = every_order(1, MUTANT_ORDERS, short, audits=False)
            return last.told() if last.broken else {}
        found = hunt(jobs(walks), short=short)
    except Exception as error:
        return {"crash": f"{type(error).__name__}: {error}"[:200]}
    kept = ("face", "effects", "setting", "story", "broken", "executions")
    return {key: found[key] for key in kept if key in found}


def _child(name: str, one: Callable[[str], dict[str, Any]], out: Connection) -> None:
    resource.setrlimit(resource.RLIMIT_CPU, (MUTANT_CPU_S, MUTANT_CPU_S))
    resource.setrlimit(resource.RLIMIT_AS, (MUTANT_BYTES, MUTANT_BYTES))
    os.dup2(os.open(os.devnull, os.O_WRONLY), 2)
    try:
        out.send(one(name))
    except BaseException as error:
        out.send({"crash": f"{type(error).__name__}: {error}"[:200]})


def in_turn(
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


def covered(todo: Iterable[Job]) -> Any:
    """The branch coverage (a `coverage.Coverage`) of the targets by these jobs alone."""
    import coverage  # noqa: PLC0415

    cover = coverage.Coverage(data_file=None, branch=True, include=[str(mutate.path_of(m)) for m in mutate.TARGETS])
    cover.start()
    hunt(todo)
    cover.stop()
    return cover


def lines_reached(walks: int = MUTANT_WALKS) -> dict[str, list[int]]:
    """The lines of each target that a hunt without a fault runs: no change elsewhere can show in it."""
    data = covered(jobs(walks)).get_data()
    return {m: sorted(data.lines(str(mutate.path_of(m))) or ()) for m in mutate.TARGETS}
