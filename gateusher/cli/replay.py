"""`gateusher replay`: a source's requests, on time, to stand-ins alone.

Exit codes: 0 the plan was played; 1 it was stopped or the sender fell behind; 2 nothing can be played so.
"""

from __future__ import annotations

import json
import re
import signal
import sys
from contextlib import ExitStack
from dataclasses import dataclass
from datetime import timezone
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from ..config.model import address
from ..load import report, rules
from ..load.challenge import NoStandInError, allowed
from ..load.entry import Faults, StrictError
from ..load.options import Options
from ..load.plan import Pace
from ..load.reading import Reading
from ..load.results import summary, to_json
from ..load.run import Ended, Replay, fresh_run, save
from ..load.sources import stamps
from ..load.sources.files import Source, SourceError
from ..load.wire import RUN

STATE = "stopped.json"  # in the report's folder: what --resume goes on from


@dataclass(frozen=True)
class Wanted:
    """The command's arguments."""

    sources: tuple[str, ...]
    target: str
    rules: str
    speed: float = 1.0
    copies: int = 1
    shift: float = 5.0
    begin: str | None = None
    end: str | None = None
    workers: int = 1
    folder: str | None = None
    as_json: bool = False
    strict: bool = False
    form: str | None = None
    zone: str | None = None
    allow: str | None = None
    seed: int = 1
    run: str | None = None
    trace: bool = False
    resume: str | None = None
    connections: int = 8192


class UnplayableError(Exception):
    """Nothing can be played so; `reasons` says each on a line."""

    def __init__(self, *reasons: str) -> None:
        super().__init__("; ".join(reasons))
        self.reasons = reasons


def sources_of(paths: tuple[str, ...], form: str | None, zone: str | None, fields: dict[str, str]) -> list[Source]:
    """The files, opened and recognised.  Raises UnplayableError with every fault."""
    ahead: timezone | None = None
    faults, found = [], []
    if zone:
        try:
            ahead = stamps.zone_of(zone)
        except ValueError as error:
            faults.append(f"--zone: {error}")
    for path in paths:
        try:
            found.append(Source(Path(path), form, ahead, fields))
        except SourceError as error:
            faults.append(str(error))
    if faults:
        raise UnplayableError(*faults)
    return found


def instant(text: str | None, name: str) -> float | None:
    """A time of the source: with its zone, or as Unix time.  Raises UnplayableError."""
    if text is None:
        return None
    try:
        return stamps.any_form(text)[0]
    except Exception as error:
        raise UnplayableError(f"{name}: a time with its zone, as 2026-02-10T06:00:00+08:00: {error}") from None


def _state(folder: str) -> dict[str, Any]:
    try:
        data = json.loads((Path(folder) / STATE).read_text())
        if not (isinstance(data, dict) and RUN.fullmatch(data["run"]) and isinstance(data["taken"], list)):
            raise ValueError("not a state")
        return data
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise UnplayableError(f"--resume {folder}: nothing to resume there: {error}") from None


def replay(wanted: Wanted) -> int:
    """Run the command; its exit code."""
    told = Console(stderr=True, highlight=False, soft_wrap=True)
    try:
        return _replay(wanted, told)
    except UnplayableError as error:
        for reason in error.reasons:
            told.print(f"replay: {reason}", markup=False)
    except StrictError as error:
        told.print(f"replay: --strict: {error}", markup=False)
    except NoStandInError as error:
        told.print(f"replay: {error}; nothing was sent", markup=False)
    return 2


def _options(wanted: Wanted, state: dict[str, Any]) -> Options:
    try:
        target = address(wanted.target)
    except ValueError as error:
        raise UnplayableError(f"--target: an address ip:port is wanted: {error}") from None
    run = state.get("run") or wanted.run or fresh_run()
    if not RUN.fullmatch(run):
        raise UnplayableError(f"--run: 4 to 24 small letters and figures, found {run!r}")
    begin, end = instant(wanted.begin, "--from"), instant(wanted.end, "--to")
    if begin is not None and end is not None and end <= begin:
        raise UnplayableError("--to: later than --from")
    pace = Pace(wanted.speed, wanted.copies, wanted.shift, wanted.seed, begin)
    if state:
        pace, end = Pace(**state["pace"]), state.get("end")
    try:
        proven = not (wanted.allow and allowed(Path(wanted.allow), target))
    except NoStandInError as error:
        raise UnplayableError(f"--allow: {error}") from None
    folder = wanted.folder or wanted.resume
    if wanted.trace and not folder:
        raise UnplayableError("--trace: its lines go beside the report, so --report is wanted too")
    return Options(
        target,
        pace,
        run,
        proven,
        state.get("workers", wanted.workers),
        wanted.connections,
        Path(folder) if folder else None,
        wanted.trace,
        state.get("taken", []),
        state.get("reached_s", 0.0),
        end,
    )


def _replay(wanted: Wanted, told: Console) -> int:
    state = _state(wanted.resume) if wanted.resume else {}
    try:
        mapping = rules.load(Path(state.get("rules", wanted.rules)))
    except rules.RulesError as error:
        raise UnplayableError(*(f"rules: {fault}" for fault in error.faults)) from None
    paths = wanted.sources or tuple(state.get("sources", ()))
    if not paths:
        raise UnplayableError("no source is named")
    options = _options(wanted, state)
    sources = sources_of(paths, wanted.form, wanted.zone, mapping.json)
    for source in sources:
        told.print(
            f"{source.name}: {source.kind}{' (guessed from its content)' if source.guessed else ''}", markup=False
        )
    with ExitStack() as stack:
        rest = None
        if options.folder:
            try:
                options.folder.mkdir(parents=True, exist_ok=True)
                rest = stack.enter_context((options.folder / "faults.jsonl").open("w"))
            except OSError as error:
                raise UnplayableError(f"--report {options.folder}: {error.strerror}") from None
        reading = Reading(
            sources,
            rules.Mapper(mapping, state.get("salt", "")),
            Faults(rest, wanted.strict),
            options.pace.seed,
            options.pace.begin,
            options.end,
        )
        ended = _played(reading, mapping, options, stack)
        data = {
            "run": {
                "run": options.run,
                "target": wanted.target,
                "speed": options.pace.speed,
                "copies": options.pace.copies,
                "workers": options.workers,
                "stopped": ended.stopped,
                "reached_s": round(ended.reached_s, 3),
                "resumed_at_s": options.resumed_at,
                "challenged": options.proven,
            },
            "read": reading.summary(),
            "results": summary(ended.recorder, reading.mapper.names),
        }
        if options.folder:
            path = report.write(options.folder, data)
            if ended.stopped:
                save(
                    options.folder / STATE,
                    options,
                    ended,
                    reading.mapper.salt.decode(),
                    state.get("rules", wanted.rules),
                    paths,
                )
            else:
                (options.folder / STATE).unlink(missing_ok=True)
            told.print(f"report: {path}", markup=False)
    _tell(data, told)
    if wanted.as_json:
        print(to_json(data))
    return 1 if ended.stopped or data["results"]["fell_behind"] else 0


def _played(reading: Reading, mapping: rules.Mapping, options: Options, stack: ExitStack) -> Ended:
    """Play it with a bar on a terminal; Ctrl-C and SIGTERM stop it, with what was counted so far."""
    progress = None
    if sys.stderr.isatty():
        progress = stack.enter_context(
            Progress(
                TextColumn("{task.description}"),
                BarColumn(),
                TimeElapsedColumn(),
                console=Console(stderr=True),
                transient=True,
            )
        )
        task = progress.add_task("starting", total=None)

    def told(at: float, sent: int, open_: int) -> None:
        if progress:
            progress.update(task, description=f"{at:7.1f} s, {sent} sent, {open_} open")

    run = Replay(reading, mapping, options, told)
    before = {
        number: signal.signal(number, lambda *_: run.stop("interrupted"))
        for number in (signal.SIGINT, signal.SIGTERM)
    }
    try:
        return run.play()
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)


def _tell(data: dict[str, Any], told: Console) -> None:
    """The run in a few lines; what makes it worthless comes first."""
    results, read = data["results"], data["read"]
    if results["fell_behind"]:
        told.print(f"[bold]{results['fell_behind']}[/bold]")
    if data["run"]["stopped"]:
        told.print(f"stopped after {data['run']['reached_s']:.1f} s: {data['run']['stopped']}", markup=False)
    what = ", ".join(f"{count} {re.sub('_', ' ', name)}" for name, count in results["outcomes"].items() if count)
    told.print(f"{results['sent']} of {results['requests']} requests sent: {what or 'nothing'}", markup=False)
    told.print(
        f"{read['dropped']} of {read['records']} records not played ({100 * read['dropped_share']:.2f}%): "
        f"{read['faults']} with faults, {read['unmatched']} that no rule names, {read['outside']} before "
        f"--from, the rest never sent",
        markup=False,
    )
    for fault in read["first_faults"]:
        told.print("  {file}:{line}: {field} {reason}".format(**fault), markup=False)
