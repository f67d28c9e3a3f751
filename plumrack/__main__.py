"""Start, SIGTERM and the exit code: 0 after a drain, 2 for a configuration that can't be used."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

from . import config
from .log import say
from .sidecar import Sidecar


async def _run(conf: config.Config) -> int:
    loop = asyncio.get_running_loop()
    try:
        sidecar = Sidecar(conf)
    except OSError as error:
        say("listen", error)
        return 2
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, sidecar.drain)
    gc.freeze()
    gc.set_threshold(20000, 20, 50)
    await sidecar.ended.wait()
    return 0


def main() -> int:
    try:
        conf = config.load(os.environ)
    except config.ConfigError as error:
        say("configuration", error)
        return 2
    return asyncio.run(_run(conf))


if __name__ == "__main__":
    sys.exit(main())
