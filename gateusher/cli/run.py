"""`gateusher run`: the daemon, its signals and its exit code: 0 after a drain, 2 for an unusable configuration.

Started once more beside itself it takes over from the process that serves; see `gateusher/handover`.
"""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import signal
import time
from collections.abc import Mapping

import uvloop

from ..base import signals
from ..base.errors import RETRY_INTERVAL_S, retry_while_transient
from ..base.limits import MIN_DESCRIPTORS
from ..base.log import attach, log_event
from ..config import platform
from ..config.model import Config, ConfigError
from ..daemon import Sidecar
from ..handover import channel
from ..handover.channel import Inherited
from .reload import Reloads

START_S = 8.0  # how long a start tries again what fails for a moment: nine in ten are to be ready in 10 s


def load(path: str | None, env: Mapping[str, str], before: Config | None = None) -> Config:
    """A TOML file where one is named, the platform's JSON otherwise."""
    if path is None:
        return platform.load(env, before.shape if before else None)
    from ..config.file import load as load_file  # noqa: PLC0415 - the platform's daemon needs none of it

    return load_file(path)


def reloads(sidecar: Sidecar, path: str | None, env: Mapping[str, str]) -> Reloads:
    """What SIGHUP does to this process."""
    words = {k: v for k, v in env.items() if k != "BALANCER_DISCOVERY"}
    return Reloads(sidecar, lambda before: load(path, words, before))


def load_patiently(path: str | None, env: Mapping[str, str]) -> Config:
    """The configuration at the start; one that can't be read for a reason that passes is read again for START_S."""
    until_s, told = time.monotonic() + START_S, False
    while True:
        try:
            return load(path, env)
        except ConfigError as error:
            if not error.passing or time.monotonic() > until_s:
                raise
            if not told:
                log_event("configuration", f"{error}: again soon")
                told = True
        time.sleep(RETRY_INTERVAL_S)


def _resident_mb() -> float:
    """What this process has in memory by now (proc(5), statm); 0 where the system doesn't tell.

    Not getrusage(2): its most counts what the process was before it was this program.
    """
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * resource.getpagesize() / 1048576
    except (OSError, ValueError, IndexError):
        return 0.0


def within_reach(config: Config) -> Config:
    """The configuration with no more descriptors than the kernel lets this process open (getrlimit(2)).

    Who sets a limit beyond that has it cut, and is told so; so is who sets less memory than a start takes.  Raises
    ConfigError where too few are left to serve: each would fail later, one request or one call at a time.
    """
    taken_mb = _resident_mb()
    if config.memory_mb < taken_mb:
        log_event("limits.memory_mb", f"{config.memory_mb:g} is less than a start takes, which is {taken_mb:.0f}")
    most, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if most == resource.RLIM_INFINITY or most >= config.sockets:
        return config
    if most < MIN_DESCRIPTORS:
        raise ConfigError(f"limits.sockets: {MIN_DESCRIPTORS} or more wanted, and this process may open {most}")
    log_event("limits.sockets", f"{config.sockets} are wanted, this process may open {most}: {most} are used")
    return config._replace(sockets=most)


async def _run(config: Config, path: str | None, inherited: Inherited | None, meeting: str | None) -> int:
    loop = asyncio.get_running_loop()
    sidecar = None

    async def made() -> Sidecar:
        return Sidecar(config, inherited, meeting)

    try:
        sidecar = await retry_while_transient("listen", made, START_S)
        await sidecar.start()
    except OSError as error:
        log_event("listen", error)
        return 2
    except ConfigError as error:
        log_event("configuration", error)
        if sidecar:
            sidecar.close()
        return 2
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, sidecar.drain)
    loop.add_signal_handler(signal.SIGHUP, reloads(sidecar, path, os.environ).reload)
    signals.unblock_signals()
    gc.freeze()
    gc.set_threshold(20000, 20, 50)
    await sidecar.ended.wait()
    return 0


def run(path: str | None) -> int:
    """Serve until a signal ends it."""
    # One that comes before we are up waits: clients may be here already, and are owed their answers.
    signals.block_signals()
    attach()
    try:
        config = within_reach(load_patiently(path, os.environ))
    except ConfigError as error:
        for fault in error.faults:
            log_event("configuration", fault)
        return 2
    if config.log != "text":
        attach(config.log)
    meeting = channel.place(config.name, os.environ)
    inherited = channel.ask(meeting) if meeting else None
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_run(config, path, inherited, meeting))
