"""`gateusher replay`: sends the requests of a source at their times, only to stand-ins.

Exit codes: 0 the plan was sent; 1 it was stopped, or the sender fell behind; 2 nothing was sent.
"""

from __future__ import annotations

import json
import signal
import sys
from contextlib import ExitStack
from dataclasses import dataclass
from datetime import timezone
from pathlib import Path
from typing import IO, Any

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

STATE = "stopped.json"  # the file in the report's folder from which --resume continues


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
    """The arguments or files can't be used; `reasons` has a line for each."""

    def __init__(self, *reasons: str) -> None:
        super().__init__("; ".join(reasons))
        self.reasons = reasons


def sources_of(paths: tuple[str, ...], form: str | None, zone: str | None, fields: dict[str, str]) -> list[Source]:
    """Return the sources with their formats; raises UnplayableError with every fault."""
    timezone_of_source: timezone | None = None
    faults: list[str] = []
    found: list[Source] = []
    if zone:
        try:
            timezone_of_source = stamps.zone_of(zone)
        except ValueError as error:
            faults.append(f"--zone: {error}")
    for path in paths:
        try:
            found.append(Source(Path(path), form, timezone_of_source, fields))
        except SourceError as error:
            faults.append(str(error))
    if faults:
        raise UnplayableError(*faults)
    return found


def instant(text: str | None, name: str) -> float | None:
    """Return the Unix time that an option names, with its zone or as Unix time; raises UnplayableError."""
    if text is None:
        return None
    try:
        return stamps.any_form(text)[0]
    except Exception as error:
        raise UnplayableError(f"{name}: a time with its zone, as 2026-02-10T06:00:00+08:00: {error}") from None


def _state(folder: str) -> dict[str, Any]:
    """Return the state of a stopped run; raises UnplayableError."""
    try:
        data = json.loads((Path(folder) / STATE).read_text())
        if not (isinstance(data, dict) and RUN.fullmatch(data["run"]) and isinstance(data["taken"], list)):
            raise ValueError("not a state")
        return data
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise UnplayableError(f"--resume {folder}: nothing to resume there: {error}") from None


def replay(wanted: Wanted) -> int:
    """Run the command, and return its exit code."""
    console = Console(stderr=True, highlight=False, soft_wrap=True)
    try:
        return _replay(wanted, console)
    except UnplayableError as error:
        for reason in error.reasons:
            console.print(f"replay: {reason}", markup=False)
    except StrictError as error:
        console.print(f"replay: --strict: {error}", markup=False)
    except NoStandInError as error:
        console.print(f"replay: {error}; nothing was sent", markup=False)
    return 2


def _options(wanted: Wanted, state: dict[str, Any]) -> Options:
    """Return the run's options, those of the resumed run first; raises UnplayableError."""
    try:
        target = address(wanted.target)
    except ValueError as error:
        raise UnplayableError(f"--target: an address ip:port is wanted: {error}") from None
    run = state.get("run") or wanted.run or fresh_run()
    if not RUN.fullmatch(run):
        raise UnplayableError(f"--run: 4 to 24 small letters and figures, found {run!r}")
    begin = instant(wanted.begin, "--from")
    end = instant(wanted.end, "--to")
    if begin is not None and end is not None and end <= begin:
        raise UnplayableError("--to: later than --from")
    pace = Pace(wanted.speed, wanted.copies, wanted.shift, wanted.seed, begin)
    if state:
        pace = Pace(**state["pace"])
        end = state.get("end")
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


def _replay(wanted: Wanted, console: Console) -> int:
    """Run the command; raises UnplayableError, StrictError or NoStandInError."""
    state = _state(wanted.resume) if wanted.resume else {}
    rules_path = state.get("rules", wanted.rules)
    try:
        mapping = rules.load(Path(rules_path))
    except rules.RulesError as error:
        raise UnplayableError(*(f"rules: {fault}" for fault in error.faults)) from None
    paths = wanted.sources or tuple(state.get("sources", ()))
    if not paths:
        raise UnplayableError("no source is named")
    options = _options(wanted, state)
    sources = sources_of(paths, wanted.form, wanted.zone, mapping.json)
    for source in sources:
        guessed = " (guessed from its content)" if source.guessed else ""
        console.print(f"{source.name}: {source.kind}{guessed}", markup=False)
    with ExitStack() as stack:
        faults_file = _open_faults_file(options.folder, stack) if options.folder else None
        reading = Reading(
            sources,
            rules.Mapper(mapping, state.get("salt", "")),
            Faults(faults_file, wanted.strict),
            options.pace.seed,
            options.pace.begin,
            options.end,
        )
        ended = _played(reading, mapping, options, stack)
        data = _report_data(wanted.target, options, reading, ended)
        if options.folder:
            path = report.write(options.folder, data)
            state_path = options.folder / STATE
            if ended.stopped:
                save(state_path, options, ended, reading.mapper.salt.decode(), rules_path, paths)
            else:
                state_path.unlink(missing_ok=True)
            console.print(f"report: {path}", markup=False)
    _print_summary(data, console)
    if wanted.as_json:
        print(to_json(data))
    return 1 if ended.stopped or data["results"]["fell_behind"] else 0


def _open_faults_file(folder: Path, stack: ExitStack) -> IO[str]:
    """Make the report's folder, and open the file of faults in it; raises UnplayableError."""
    try:
        folder.mkdir(parents=True, exist_ok=True)
        return stack.enter_context((folder / "faults.jsonl").open("w"))
    except OSError as error:
        raise UnplayableError(f"--report {folder}: {error.strerror}") from None


def _report_data(target: str, options: Options, reading: Reading, ended: Ended) -> dict[str, Any]:
    """Return the JSON report."""
    return {
        "run": {
            "run": options.run,
            "target": target,
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


def _played(reading: Reading, mapping: rules.Mapping, options: Options, stack: ExitStack) -> Ended:
    """Run the replay, with a progress bar on a terminal; Ctrl-C and SIGTERM stop it and retain its counts."""
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

    def show_progress(at: float, sent: int, open_: int) -> None:
        if progress:
            progress.update(task, description=f"{at:7.1f} s, {sent} sent, {open_} open")

    run = Replay(reading, mapping, options, show_progress)
    before = {
        number: signal.signal(number, lambda *_: run.stop("interrupted"))
        for number in (signal.SIGINT, signal.SIGTERM)
    }
    try:
        return run.play()
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)


def _print_summary(data: dict[str, Any], console: Console) -> None:
    """Print a few lines of results; what makes the run invalid comes first."""
    results = data["results"]
    read = data["read"]
    if results["fell_behind"]:
        console.print(f"[bold]{results['fell_behind']}[/bold]")
    if data["run"]["stopped"]:
        console.print(f"stopped after {data['run']['reached_s']:.1f} s: {data['run']['stopped']}", markup=False)
    counts = [f"{count} {name.replace('_', ' ')}" for name, count in results["outcomes"].items() if count]
    outcomes = ", ".join(counts) or "nothing"
    console.print(f"{results['sent']} of {results['requests']} requests sent: {outcomes}", markup=False)
    console.print(
        f"{read['dropped']} of {read['records']} records not played ({100 * read['dropped_share']:.2f}%): "
        f"{read['faults']} with faults, {read['unmatched']} that no rule names, {read['outside']} before "
        f"--from, the rest never sent",
        markup=False,
    )
    for fault in read["first_faults"]:
        console.print("  {file}:{line}: {field} {reason}".format(**fault), markup=False)
