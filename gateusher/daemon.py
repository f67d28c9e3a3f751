"""The parts put together: one sidecar on the running loop."""

from __future__ import annotations

import asyncio

from .base.clock import Clock
from .config.platform import Config
from .discovery.catalog import Discovery
from .core.engine import Engine
from .base.limits import Bytes, Descriptors
from .upstream.reports import reader
from .listeners.http import END_S, Server
from .upstream.http import Upstream

SWEEP_S, DRAIN_STEP_S = 0.1, 0.02
GIVE_UP_S = 3.6     # after SIGTERM: SIGKILL comes 3.7 s after it at the earliest
MEMORY_SHARE = 3    # one part in so many of the memory limit may be bodies and answers


class Sidecar:
    """Serves from the moment it is made."""

    def __init__(self, config: Config) -> None:
        self._loop = asyncio.get_running_loop()
        self._clock = Clock()
        memory = Bytes(int(config.memory_mb * 1048576 / MEMORY_SHARE))
        descriptors = Descriptors(config.sockets)
        settings = config.settings
        self.engine = Engine(settings, config.seed, self._clock, config.most_held, memory)
        self.upstream = Upstream(settings, self._clock, self.engine, memory, descriptors,
                                 reader(settings.report_fields))
        self.discovery = Discovery(config.discovery, config.names, self.engine.deliver,
                                   self.upstream.update, self.upstream.knows)
        self.engine.upstream, self.engine.discovery = self.upstream, self.discovery
        self.server = Server(config.listen, config.names, self.engine, memory, descriptors)
        self.ended = asyncio.Event()
        self._drain_by = 0.0
        self.discovery.cached(config.known)
        self._sweep()

    def _sweep(self) -> None:
        self.upstream.sweep()
        self.server.sweep()
        self.discovery.sweep()
        self._loop.call_later(SWEEP_S, self._sweep)

    def follow(self, config: Config) -> None:
        """Take up a new configuration: the address of discovery.  All else holds from the start on."""
        self.discovery.move(config.discovery)

    def drain(self) -> None:
        """Begin the planned end; `ended` is set when nothing is in hand, in time before the kill."""
        if not self._drain_by:
            self._drain_by = self._loop.time() + GIVE_UP_S
            self.engine.end_by(self._clock.now() + END_S * 1000)
            self.server.drain()
            self._drain_step()

    def _drain_step(self) -> None:
        if self.server.drained() or self._loop.time() >= self._drain_by:
            self.close()
            self.ended.set()
        else:
            self._loop.call_later(DRAIN_STEP_S, self._drain_step)

    def close(self) -> None:
        self.server.close()
        self.discovery.stop()
        self.upstream.close()
