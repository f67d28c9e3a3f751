"""`gateusher duty hold`: run a command while this machine's sidecar holds the lease of a singleton task.

The exit code is the command's own, 128 plus the number of the signal that ended it, or one of the codes below if the
command did not run to its end.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from typing import Final

from ..config.model import ConfigError
from ..duties.remote import Address, RemoteClaim, UnreachableError
from .control import control_address, parse_address
from .process_tree import ProcessTree, become_subreaper

EXIT_UNUSABLE_CONFIG: Final = 2
EXIT_UNREACHABLE: Final = 69  # EX_UNAVAILABLE of sysexits.h
EXIT_HELD_ELSEWHERE: Final = 75  # EX_TEMPFAIL of sysexits.h
EXIT_LEASE_LOST: Final = 79
EXIT_CANNOT_RUN: Final = 126
EXIT_NOT_FOUND: Final = 127
EXIT_SIGNAL_BASE: Final = 128
ACQUIRE_TIMEOUT_S: Final = 2.0  # without --wait
MARGIN_S: Final = 0.1  # the command must have ended this long before the lease expires
STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def hold(config: str | None, at: str | None, task: str, argv: tuple[str, ...], wait: bool, grace_s: float) -> int:
    """Acquire the lease, run `argv` under it and return the exit code.

    `grace_s` is the time between SIGTERM and SIGKILL when the command is terminated.
    """
    try:
        where = parse_address(control_address(config, at))
        holder = _LeasedCommand(where, task, argv, grace_s)
        return asyncio.run(holder.run(None if wait else ACQUIRE_TIMEOUT_S))
    except ConfigError as error:
        print(*error.faults, sep="\n", file=sys.stderr)
        return EXIT_UNUSABLE_CONFIG
    except UnreachableError as error:
        print(f"gateusher duty: {error}", file=sys.stderr)
        return EXIT_UNREACHABLE


class _LeasedCommand:
    """One command and the lease claim that it runs under.

    It owns the signals that this process received, and the event that stops the command: a signal or a lost lease.
    """

    def __init__(self, where: Address, task: str, argv: tuple[str, ...], grace_s: float) -> None:
        self._where = where
        self._task = task
        self._argv = argv
        self._grace_s = grace_s
        self._signals: list[signal.Signals] = []
        self._stop = asyncio.Event()

    async def run(self, acquire_timeout_s: float | None) -> int:
        """Acquire the lease, run the command and return the exit code.  Raises UnreachableError."""
        loop = asyncio.get_running_loop()
        become_subreaper()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self._on_signal, number)
        claim = RemoteClaim(self._where, self._task, self._stop.set, self._grace_s + MARGIN_S)
        acquiring = loop.create_task(claim.wait(acquire_timeout_s))
        stopping = loop.create_task(self._stop.wait())
        try:
            await asyncio.wait((acquiring, stopping), return_when=asyncio.FIRST_COMPLETED)
            if self._signals:
                acquiring.cancel()
                return EXIT_SIGNAL_BASE + self._signals[0]
            if not await acquiring:
                print(f"gateusher duty: {self._task}: held elsewhere", file=sys.stderr)
                return EXIT_HELD_ELSEWHERE
            return await self._run_command(claim)
        finally:
            stopping.cancel()
            await claim.end()

    def _on_signal(self, number: signal.Signals) -> None:
        self._signals.append(number)
        self._stop.set()

    async def _run_command(self, claim: RemoteClaim) -> int:
        env = {**os.environ, "GATEUSHER_DUTY": claim.duty, "GATEUSHER_FENCE": str(claim.fence)}
        if not claim.held:
            return EXIT_LEASE_LOST
        program = self._argv[0]
        try:
            child = await asyncio.create_subprocess_exec(*self._argv, env=env, start_new_session=True)
        except FileNotFoundError:
            print(f"gateusher duty: {program}: not found", file=sys.stderr)
            return EXIT_NOT_FOUND
        except OSError as error:
            print(f"gateusher duty: {program}: {error.strerror}", file=sys.stderr)
            return EXIT_CANNOT_RUN
        return await self._supervise(child, claim)

    async def _supervise(self, child: asyncio.subprocess.Process, claim: RemoteClaim) -> int:
        """Wait for the command to exit or for the stop event, then terminate its remaining processes."""
        loop = asyncio.get_running_loop()
        exiting = loop.create_task(child.wait())
        stopping = loop.create_task(self._stop.wait())
        await asyncio.wait((exiting, stopping), return_when=asyncio.FIRST_COMPLETED)
        stopping.cancel()
        exited_itself = exiting.done()
        # Processes that the command forked rely on the same lease, so they are terminated too.
        await ProcessTree(child).terminate(min(self._grace_s, claim.left_s - MARGIN_S))
        code = await exiting
        if not exited_itself and not self._signals:
            print(f"gateusher duty: {claim.duty}: {claim.why}; the command was terminated", file=sys.stderr)
            return EXIT_LEASE_LOST
        if code < 0:
            return EXIT_SIGNAL_BASE - code
        return code
