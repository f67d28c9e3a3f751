"""`gateusher duty`: work that one process of a whole fleet may do, and who has it."""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

from rich.console import Group
from rich.table import Table
from rich.text import Text

from ..config.model import ConfigError
from ..duties.remote import RemoteClaim, UnreachableError, post
from .control import control_address, parse_address, print_report

UNREACHABLE = 69  # EX_UNAVAILABLE of sysexits.h: no sidecar to ask
NOT_HELD = 75  # EX_TEMPFAIL: somebody else has it
LOST = 79  # the command was ended because its duty had to be let go
CANT_RUN = 126
NOT_FOUND = 127
MARGIN_S = 0.1  # before the end of the proof by which all of the command has ended
SUBREAPER = 36  # PR_SET_CHILD_SUBREAPER of <linux/prctl.h>


def _where(config: str | None, at: str | None) -> str | tuple[str, int]:
    return parse_address(control_address(config, at))


def _adopt() -> None:
    """Have orphans of what we start become our children (PR_SET_CHILD_SUBREAPER, prctl(2)), where there is that."""
    with suppress(OSError, AttributeError):
        ctypes.CDLL(None).prctl(SUBREAPER, 1, 0, 0, 0)


def _children(pid: int) -> list[int]:
    """All that descend from a process, as far as /proc tells; zombies too."""
    found: list[int] = []
    with suppress(OSError):
        for task in Path(f"/proc/{pid}/task").iterdir():
            for child in (task / "children").read_text().split():
                found += [int(child), *_children(int(child))]
    return found


def _ended(pid: int) -> bool:
    try:
        status = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return True
    return status.rpartition(")")[2].split()[0] == "Z"


class _Command:
    """A command in a process group of its own.  What it starts ends with it, also what left the group."""

    def __init__(self, child: asyncio.subprocess.Process) -> None:
        self.child = child

    def signal(self, number: signal.Signals) -> None:
        with suppress(ProcessLookupError, PermissionError):
            os.killpg(self.child.pid, number)
        for pid in _children(os.getpid()):
            with suppress(ProcessLookupError, PermissionError):
                if os.getpgid(pid) != self.child.pid:
                    os.kill(pid, number)

    @property
    def alive(self) -> bool:
        """Whether anything of it is left."""
        if any(not _ended(pid) for pid in _children(os.getpid())):
            return True
        try:
            os.killpg(self.child.pid, 0)
        except ProcessLookupError:
            return False
        except PermissionError:
            return True
        return not _ended(self.child.pid)

    async def end(self, grace_s: float) -> None:
        """SIGTERM to all of it, and SIGKILL after `grace_s`."""
        loop = asyncio.get_running_loop()
        self.signal(signal.SIGTERM)
        by = loop.time() + max(0.0, grace_s)
        while self.alive and loop.time() < by:
            await asyncio.sleep(0.01)
        self.signal(signal.SIGKILL)
        await self.child.wait()


async def _hold(
    where: str | tuple[str, int], duty: str, words: tuple[str, ...], wait_s: float | None, grace_s: float
) -> int:
    ending = asyncio.Event()
    told: list[signal.Signals] = []
    loop = asyncio.get_running_loop()
    _adopt()

    def signalled(number: signal.Signals) -> None:
        told.append(number)
        ending.set()

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, signalled, number)
    claim = RemoteClaim(where, duty, ending.set, grace_s + MARGIN_S)
    waiting = loop.create_task(claim.wait(wait_s))
    stopping = loop.create_task(ending.wait())
    try:
        await asyncio.wait((waiting, stopping), return_when=asyncio.FIRST_COMPLETED)
        if told:
            waiting.cancel()
            return 128 + told[0]
        if not await waiting:
            print(f"gateusher duty: {duty}: held elsewhere", file=sys.stderr)
            return NOT_HELD
        return await _run(claim, words, ending, told, grace_s)
    finally:
        stopping.cancel()
        await claim.end()


async def _run(
    claim: RemoteClaim, words: tuple[str, ...], ending: asyncio.Event, told: list[signal.Signals], grace_s: float
) -> int:
    env = {**os.environ, "GATEUSHER_DUTY": claim.duty, "GATEUSHER_FENCE": str(claim.fence)}
    if not claim.held:
        return LOST
    try:
        child = await asyncio.create_subprocess_exec(*words, env=env, start_new_session=True)
    except FileNotFoundError:
        print(f"gateusher duty: {words[0]}: not found", file=sys.stderr)
        return NOT_FOUND
    except OSError as error:
        print(f"gateusher duty: {words[0]}: {error.strerror}", file=sys.stderr)
        return CANT_RUN
    command = _Command(child)
    loop = asyncio.get_running_loop()
    over, stop = loop.create_task(child.wait()), loop.create_task(ending.wait())
    await asyncio.wait((over, stop), return_when=asyncio.FIRST_COMPLETED)
    stop.cancel()
    ended_itself = over.done()
    # What it forked does the duty's work too, and ends with it.
    await command.end(min(grace_s, claim.left_s - MARGIN_S))
    code = await over
    if not ended_itself and not told:
        print(f"gateusher duty: {claim.duty}: {claim.why}; the command was ended", file=sys.stderr)
        return LOST
    return code if code >= 0 else 128 - code


def hold(config: str | None, at: str | None, duty: str, words: tuple[str, ...], wait: bool, grace_s: float) -> int:
    """The command's exit status; 69, 75, 79, 126 and 127 as above, 128 and more for one ended by a signal."""
    try:
        return asyncio.run(_hold(_where(config, at), duty, words, None if wait else 2.0, grace_s))
    except ConfigError as error:
        print(*error.faults, sep="\n", file=sys.stderr)
        return 2
    except UnreachableError as error:
        print(f"gateusher duty: {error}", file=sys.stderr)
        return UNREACHABLE


def give(config: str | None, at: str | None, duty: str) -> int:
    """0 where the holder was told; 1 where this sidecar knows of none; 2 where none can be asked."""
    try:
        said = asyncio.run(post(_where(config, at), "/_duty/give", duty=duty))
    except ConfigError as error:
        print(*error.faults, sep="\n", file=sys.stderr)
        return 2
    except UnreachableError as error:
        print(error, file=sys.stderr)
        return 2
    if said["holder"]:
        print(f"{duty}: {said['holder']} was told to give it")
        return 0
    print(f"{duty}: this sidecar knows of no holder; a voter would", file=sys.stderr)
    return 1


def _shown(report: dict[str, Any]) -> Group:
    table = Table(title=f"{report['name']}: duties")
    for column in ("duty", "holder", "fence", "lasts", "here"):
        table.add_column(column, justify="right" if column in ("fence", "lasts") else "left")
    rows: dict[str, list[str]] = {
        g["duty"]: [g["holder"], str(g["fence"]), f"{g['left_s']:.1f} s", ""] for g in report["granted"]
    }
    for own in report["own"]:
        row = rows.setdefault(own["duty"], [own["holder"] or "", "", "", ""])
        row[3] = own["state"]
        if own["left_s"] is not None:
            row[0], row[1], row[2] = report["name"], str(own["fence"]), f"{own['left_s']:.1f} s"
    for duty, row in sorted(rows.items()):
        table.add_row(duty, *row)
    vote = "votes" if report["votes"] else f"casts no vote: {report['why_not']}"
    heard = ", ".join(f"{v} {s:.1f} s" if s else f"{v} silent" for v, s in report["voters_heard"].items())
    before = f", before {', '.join(report['before'])}" if report["before"] else ""
    return Group(
        table,
        Text(f"step {report['step']}, voters {', '.join(report['voters'])}{before}; this one {vote}"),
        Text(f"sessions: {heard}"),
    )


def listed(config: str | None, at: str | None, as_json: bool, watch: bool) -> int:
    """0; 2 where no sidecar can be asked, or it takes no part in duties."""
    return print_report(
        config, at, "/_duties", "this sidecar takes no part in duties; [duties] is not set", _shown, as_json, watch
    )
