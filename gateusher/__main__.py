"""Start, signals and the exit code: 0 after a drain, 2 for a configuration that can't be used."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Mapping

import uvloop

from .config import platform as config
from .base.log import say
from .daemon import Sidecar


def reload(sidecar: Sidecar, env: Mapping[str, str]) -> None:
    """SIGHUP: take up the file as it is now.  One that can't be used leaves all as it was.

    The file wins over BALANCER_DISCOVERY here, which still says what held at the start.  Whatever goes wrong
    with a new file, the old configuration serves on; that could hide a mistake, so it is logged.
    """
    try:
        conf = config.load({k: v for k, v in env.items() if k != "BALANCER_DISCOVERY"})
    except config.ConfigError as error:
        say("reload: the old configuration stays", error)
        return
    sidecar.follow(conf)


async def _run(conf: config.Config) -> int:
    loop = asyncio.get_running_loop()
    try:
        sidecar = Sidecar(conf)
    except OSError as error:
        say("listen", error)
        return 2
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, sidecar.drain)
    loop.add_signal_handler(signal.SIGHUP, reload, sidecar, os.environ)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    gc.freeze()
    gc.set_threshold(20000, 20, 50)
    await sidecar.ended.wait()
    return 0


def main() -> int:
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # one that comes before we are up waits
    try:
        conf = config.load(os.environ)
    except config.ConfigError as error:
        say("configuration", error)
        return 2
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_run(conf))


if __name__ == "__main__":
    sys.exit(main())
