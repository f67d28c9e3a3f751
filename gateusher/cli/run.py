"""`gateusher run`: the daemon, its signals and its exit codes.

Exit codes are 0 after a graceful shutdown and 2 for an unusable configuration or address.  A second process started
beside a running one takes over its listener; see `gateusher/handover`.
"""

from __future__ import annotations

import asyncio
import gc
import os
import resource
import signal
import socket
import time
from collections.abc import Callable, Mapping
from contextlib import ExitStack, suppress
from typing import Final, TypeVar

import uvloop

from ..base import signals
from ..base.errors import RETRY_INTERVAL_S, retry_while_transient
from ..base.limits import BYTES_PER_MB, MIN_DESCRIPTORS
from ..base.log import attach, log_event
from ..base.resident_memory import ResidentMemory
from ..config import platform
from ..config.model import Config, ConfigError
from ..daemon import Sidecar
from ..handover import channel
from ..handover.channel import Inheritance
from .reload import ConfigReloader

START_RETRY_S: Final = 8.0  # for transient errors at startup; 9 in 10 starts must be ready within 10 s
EVENT_LOOP_DESCRIPTORS: Final = 16  # poller, wake-ups and signals, with some to spare
EXIT_SUCCESS: Final = 0
EXIT_UNUSABLE_CONFIG: Final = 2
SHUTDOWN_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
GC_THRESHOLDS: Final = (
    20000,
    20,
    50,
)  # for gc.set_threshold: collect less often, since requests create few reference cycles

ResultT = TypeVar("ResultT")


def load_config(path: str | None, env: Mapping[str, str], current: Config | None = None) -> Config:
    """Read a TOML file, or the platform's JSON if `path` is None.  Raises ConfigError.

    `current` is the configuration that a reload replaces.
    """
    if path is None:
        return platform.load(env, current.shape if current else None)
    from ..config.file import load as load_file  # noqa: PLC0415 - not needed for the platform's JSON

    return load_file(path)


def make_reloader(sidecar: Sidecar, path: str | None, env: Mapping[str, str]) -> ConfigReloader:
    """Return the object that handles SIGHUP.

    BALANCER_DISCOVERY applies only at startup: the file may have changed since, so it takes precedence in a reload.
    """
    reload_env = {name: value for name, value in env.items() if name != "BALANCER_DISCOVERY"}
    return ConfigReloader(sidecar, lambda current: load_config(path, reload_env, current))


def load_config_with_retry(path: str | None, env: Mapping[str, str]) -> Config:
    """Read the configuration at startup; transient errors are retried for START_RETRY_S.  Raises ConfigError."""
    return _retry_at_start("configuration", lambda: load_config(path, env))


def _retry_at_start(name: str, attempt: Callable[[], ResultT]) -> ResultT:
    """Return the result of `attempt`; call it again after a transient error, for START_RETRY_S.  Raises its error.

    Of ConfigErrors those are transient that say so; every OSError is.
    """
    retry_until_s = time.monotonic() + START_RETRY_S
    is_logged = False
    while True:
        try:
            return attempt()
        except (ConfigError, OSError) as error:
            is_transient = error.passing if isinstance(error, ConfigError) else True
            if not is_transient or time.monotonic() > retry_until_s:
                raise
            if not is_logged:
                log_event(name, f"{error}: again soon")
                is_logged = True
        time.sleep(RETRY_INTERVAL_S)


def _resident_mb() -> float:
    """Return the resident set size of this process in MB, or 0 if the system does not report it.

    getrusage(2) reports the maximum instead, which includes the memory used before execve(2).
    """
    memory = ResidentMemory()
    try:
        return memory.resident_bytes() / BYTES_PER_MB
    except (OSError, ValueError):
        return 0.0
    finally:
        memory.close()


def cap_to_system_limits(config: Config) -> Config:
    """Return the configuration with its descriptor limit capped to that of this process (getrlimit(2)).

    Logs a lowered descriptor limit, and a memory limit below the memory already in use.  Raises ConfigError if too
    few descriptors are left to serve.
    """
    resident_mb = _resident_mb()
    config = config._replace(resident_mb=resident_mb)
    if config.memory_mb < resident_mb:
        log_event("limits.memory_mb", f"{config.memory_mb:g} is less than a start takes, which is {resident_mb:.0f}")
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY or soft_limit >= config.sockets:
        return config
    if soft_limit < MIN_DESCRIPTORS:
        raise ConfigError(f"limits.sockets: {MIN_DESCRIPTORS} or more wanted, and this process may open {soft_limit}")
    log_event(
        "limits.sockets", f"{config.sockets} are wanted, this process may open {soft_limit}: {soft_limit} are used"
    )
    return config._replace(sockets=soft_limit)


async def _serve(
    config: Config, path: str | None, inheritance: Inheritance | None, successor_path: str | None
) -> int:
    """Start the sidecar, install the signal handlers and wait until it has shut down.  Returns the exit code."""
    sidecar: Sidecar | None = None

    async def make_sidecar() -> Sidecar:
        return Sidecar(config, inheritance, successor_path)

    try:
        sidecar = await retry_while_transient("listen", make_sidecar, START_RETRY_S)
        await sidecar.start()
    except OSError as error:
        log_event("listen", error)
        return EXIT_UNUSABLE_CONFIG
    except ConfigError as error:
        log_event("configuration", error)
        if sidecar:
            sidecar.close()
        return EXIT_UNUSABLE_CONFIG
    _install_signal_handlers(sidecar, path)
    _tune_garbage_collector()
    await sidecar.ended.wait()
    signals.block_signals()  # the event loop removes their handlers: SIGHUP would end the process as a crash
    return EXIT_SUCCESS


def _install_signal_handlers(sidecar: Sidecar, path: str | None) -> None:
    """Drain on SIGTERM and SIGINT, reload on SIGHUP; signals received during startup are delivered now."""
    loop = asyncio.get_running_loop()
    for number in SHUTDOWN_SIGNALS:
        loop.add_signal_handler(number, sidecar.drain)
    make_reloader(sidecar, path, os.environ).install()
    signals.unblock_signals()


def _tune_garbage_collector() -> None:
    """Exclude the objects created at startup from garbage collection, and collect rarely."""
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def _await_descriptors() -> None:
    """Wait until the event loop can open its descriptors, for START_RETRY_S at most.

    A loop that could not is unusable, and can't be closed either.
    """
    with suppress(OSError):  # the event loop reports it
        _retry_at_start("event loop", _open_loop_descriptors)


def _open_loop_descriptors() -> None:
    """Open and close as many descriptors as the event loop opens itself.  Raises OSError."""
    with ExitStack() as opened:
        for _ in range(EVENT_LOOP_DESCRIPTORS // 2):
            for sock in socket.socketpair():
                opened.enter_context(sock)


def run(path: str | None) -> int:
    """Serve until a signal ends the process.  Returns the exit code."""
    # Clients may connect before the handlers are installed; a signal must not cost them their responses.
    signals.block_signals()
    attach()
    try:
        config = cap_to_system_limits(load_config_with_retry(path, os.environ))
    except ConfigError as error:
        for fault in error.faults:
            log_event("configuration", fault)
        return EXIT_UNUSABLE_CONFIG
    if config.log != "text":
        attach(config.log)
    successor_path = channel.channel_path(config.name, os.environ)
    inheritance = channel.request_listener(successor_path) if successor_path else None
    _await_descriptors()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_serve(config, path, inheritance, successor_path))
