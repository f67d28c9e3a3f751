"""`gateusher replay`: send the requests of access logs and HAR files, at their recorded times, to stand-ins only.

Exit codes: 0 if the plan was completed, 1 if it was stopped or the sender fell behind schedule, 2 if nothing could be
played.
"""

from __future__ import annotations

import json
import signal
import sys
from contextlib import ExitStack
from dataclasses import dataclass
from datetime import timezone
from pathlib import Path
from typing import IO, Any, Final

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from ..config.addresses import address
from ..load import report, rules
from ..load.challenge import NoStandInError, allowed
from ..load.entry import Faults, StrictError
from ..load.options import Options
from ..load.plan import Pace
from ..load.reading import Reading
from ..load.results import summary, to_json
from ..load.run import Replay, RunResult, random_run_name, save_state
from ..load.sources import stamps
from ..load.sources.files import Source, SourceError
from ..load.wire import RUN

RESUME_FILE: Final = "stopped.json"  # in the report's folder: what --resume continues from
FAULTS_FILE: Final = "faults.jsonl"
EXIT_SUCCESS: Final = 0
EXIT_INCOMPLETE: Final = 1
EXIT_UNPLAYABLE: Final = 2
STOP_SIGNALS: Final = (signal.SIGINT, signal.SIGTERM)


@dataclass(frozen=True)
class ReplayArguments:
    """The command's arguments, under their names in the command line's functions."""

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
    """Nothing can be played with these arguments; `reasons` has one line for each fault."""

    def __init__(self, *reasons: str) -> None:
        super().__init__("; ".join(reasons))
        self.reasons = reasons


def open_sources(paths: tuple[str, ...], form: str | None, zone: str | None, fields: dict[str, str]) -> list[Source]:
    """Open the files and detect their formats.  Raises UnplayableError with every fault."""
    zone_offset: timezone | None = None
    faults = []
    sources = []
    if zone:
        try:
            zone_offset = stamps.zone_of(zone)
        except ValueError as error:
            faults.append(f"--zone: {error}")
    for path in paths:
        try:
            sources.append(Source(Path(path), form, zone_offset, fields))
        except SourceError as error:
            faults.append(str(error))
    if faults:
        raise UnplayableError(*faults)
    return sources


def parse_time(text: str | None, option: str) -> float | None:
    """Parse a time with its zone, or a number, and return it as Unix time.  Raises UnplayableError."""
    if text is None:
        return None
    try:
        return stamps.any_form(text)[0]
    except Exception as error:
        raise UnplayableError(f"{option}: a time with its zone, as 2026-02-10T06:00:00+08:00: {error}") from None


def replay(arguments: ReplayArguments) -> int:
    """Run the command and return its exit code."""
    console = Console(stderr=True, highlight=False, soft_wrap=True)
    try:
        return _replay(arguments, console)
    except UnplayableError as error:
        for reason in error.reasons:
            console.print(f"replay: {reason}", markup=False)
    except StrictError as error:
        console.print(f"replay: --strict: {error}", markup=False)
    except NoStandInError as error:
        console.print(f"replay: {error}; nothing was sent", markup=False)
    return EXIT_UNPLAYABLE


def _replay(arguments: ReplayArguments, console: Console) -> int:
    resumed = _load_resume_state(arguments.resume) if arguments.resume else {}
    rules_path = resumed.get("rules", arguments.rules)
    mapping = _load_rules(rules_path)
    paths = arguments.sources or tuple(resumed.get("sources", ()))
    if not paths:
        raise UnplayableError("no source is named")
    options = _options(arguments, resumed)
    sources = open_sources(paths, arguments.form, arguments.zone, mapping.json)
    for source in sources:
        guessed = " (guessed from its content)" if source.guessed else ""
        console.print(f"{source.name}: {source.kind}{guessed}", markup=False)
    with ExitStack() as stack:
        faults_file = _open_faults_file(options.folder, stack) if options.folder else None
        reading = Reading(
            sources,
            rules.Mapper(mapping, resumed.get("salt", "")),
            Faults(faults_file, arguments.strict),
            options.pace.seed,
            options.pace.begin,
            options.end,
        )
        ended = _play(reading, mapping, options, stack)
        data = _report_data(arguments.target, options, ended, reading)
        if options.folder:
            path = report.write(options.folder, data)
            _update_resume_state(options.folder, options, ended, reading, rules_path, paths)
            console.print(f"report: {path}", markup=False)
    _print_summary(data, console)
    if arguments.as_json:
        print(to_json(data))
    is_incomplete = ended.stopped or data["results"]["fell_behind"]
    return EXIT_INCOMPLETE if is_incomplete else EXIT_SUCCESS


def _load_resume_state(folder: str) -> dict[str, Any]:
    """Read the state that a stopped run saved in its report's folder.  Raises UnplayableError."""
    try:
        state = json.loads((Path(folder) / RESUME_FILE).read_text())
        if not (isinstance(state, dict) and RUN.fullmatch(state["run"]) and isinstance(state["taken"], list)):
            raise ValueError("not a state")
        return state
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise UnplayableError(f"--resume {folder}: nothing to resume there: {error}") from None


def _load_rules(path: str) -> rules.Mapping:
    try:
        return rules.load(Path(path))
    except rules.RulesError as error:
        raise UnplayableError(*(f"rules: {fault}" for fault in error.faults)) from None


def _options(arguments: ReplayArguments, resumed: dict[str, Any]) -> Options:
    """Validate the arguments; a resumed run keeps its name, pace, end and workers.  Raises UnplayableError."""
    try:
        target = address(arguments.target)
    except ValueError as error:
        raise UnplayableError(f"--target: an address ip:port is wanted: {error}") from None
    run = resumed.get("run") or arguments.run or random_run_name()
    if not RUN.fullmatch(run):
        raise UnplayableError(f"--run: 4 to 24 lowercase letters and digits wanted, found {run!r}")
    begin = parse_time(arguments.begin, "--from")
    end = parse_time(arguments.end, "--to")
    if begin is not None and end is not None and end <= begin:
        raise UnplayableError("--to: a time later than --from is wanted")
    pace = Pace(arguments.speed, arguments.copies, arguments.shift, arguments.seed, begin)
    if resumed:
        pace = Pace(**resumed["pace"])
        end = resumed.get("end")
    try:
        needs_challenge = not (arguments.allow and allowed(Path(arguments.allow), target))
    except NoStandInError as error:
        raise UnplayableError(f"--allow: {error}") from None
    folder = arguments.folder or arguments.resume
    if arguments.trace and not folder:
        raise UnplayableError("--trace: --report is required too, since the trace is written to the report's folder")
    return Options(
        target,
        pace,
        run,
        needs_challenge,
        resumed.get("workers", arguments.workers),
        arguments.connections,
        Path(folder) if folder else None,
        arguments.trace,
        resumed.get("taken", []),
        resumed.get("reached_s", 0.0),
        end,
    )


def _open_faults_file(folder: Path, stack: ExitStack) -> IO[str]:
    try:
        folder.mkdir(parents=True, exist_ok=True)
        return stack.enter_context((folder / FAULTS_FILE).open("w"))
    except OSError as error:
        raise UnplayableError(f"--report {folder}: {error.strerror}") from None


def _play(reading: Reading, mapping: rules.Mapping, options: Options, stack: ExitStack) -> RunResult:
    """Play the plan, with a progress bar on a terminal; ctrl-C and SIGTERM stop it and keep the results so far."""
    progress = _open_progress_bar(stack) if sys.stderr.isatty() else None
    task = progress.add_task("starting", total=None) if progress else None

    def show_progress(elapsed_s: float, sent: int, in_flight: int) -> None:
        if progress and task is not None:
            progress.update(task, description=f"{elapsed_s:7.1f} s, {sent} sent, {in_flight} open")

    run = Replay(reading, mapping, options, show_progress)
    previous_handlers = {number: signal.signal(number, lambda *_: run.stop("interrupted")) for number in STOP_SIGNALS}
    try:
        return run.play()
    finally:
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)


def _open_progress_bar(stack: ExitStack) -> Progress:
    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
    return stack.enter_context(Progress(*columns, console=Console(stderr=True), transient=True))


def _report_data(target: str, options: Options, ended: RunResult, reading: Reading) -> dict[str, Any]:
    """Return the report in the form that is saved and printed as JSON."""
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


def _update_resume_state(
    folder: Path, options: Options, ended: RunResult, reading: Reading, rules_path: str, paths: tuple[str, ...]
) -> None:
    """Save the state that --resume needs of a stopped run; a completed run removes it."""
    path = folder / RESUME_FILE
    if not ended.stopped:
        path.unlink(missing_ok=True)
        return
    save_state(path, options, ended, reading.mapper.salt.decode(), rules_path, paths)


def _print_summary(data: dict[str, Any], console: Console) -> None:
    """Print a summary of the run; a warning that invalidates its figures comes first."""
    results = data["results"]
    read = data["read"]
    if results["fell_behind"]:
        console.print(f"[bold]{results['fell_behind']}[/bold]")
    if data["run"]["stopped"]:
        console.print(f"stopped after {data['run']['reached_s']:.1f} s: {data['run']['stopped']}", markup=False)
    outcomes = ", ".join(f"{count} {name.replace('_', ' ')}" for name, count in results["outcomes"].items() if count)
    console.print(f"{results['sent']} of {results['requests']} requests sent: {outcomes or 'nothing'}", markup=False)
    console.print(
        f"{read['dropped']} of {read['records']} records not played ({100 * read['dropped_share']:.2f}%): "
        f"{read['faults']} with faults, {read['unmatched']} that match no rule, {read['outside']} before "
        f"--from, the rest never sent",
        markup=False,
    )
    for fault in read["first_faults"]:
        console.print("  {file}:{line}: {field} {reason}".format(**fault), markup=False)
