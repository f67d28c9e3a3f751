"""The parts put together without a listener: core, connections and list on one loop, for daemon and library."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from .base.clock import Clock
from .base.diagnostics import Diagnostics
from .base.limits import DescriptorBudget, MemoryBudget, SharedBudget
from .base.log import log_event
from .config.classes import RequestClass, RequestClassTable
from .config.model import Config
from .core.engine import Engine
from .discovery.catalog import Discovery
from .discovery.lists import HostLine
from .policy.interface import EndpointListUpdate, ProcessResumed
from .upstream.http import Upstream
from .upstream.reports import reader

if TYPE_CHECKING:
    from .discovery.fixed import Fixed
    from .rehearsal.gate import Gate

SWEEP_S = 0.1
STOOD_STILL_S = 1.0  # a sweep that comes so late found the process standing still
MEMORY_SHARE = 3  # one part in so many of the memory limit may be bodies and answers


def _bodies(memory_mb: float) -> int:
    """Bytes of bodies and answers that a process with so much memory may hold."""
    return int(memory_mb * 1048576 / MEMORY_SHARE)


def _kinds(config: Config) -> list[RequestClass]:
    """The classes of a configuration, in its order."""
    names = sorted(config.names.classes, key=config.names.classes.__getitem__)
    return [RequestClass(*kind) for kind in zip(names, config.settings.classes, config.methods, strict=True)]


class Node:
    """Takes calls from the moment it is made, on the running loop, until `close`."""

    def __init__(
        self, config: Config, memory: SharedBudget | None = None, sockets: SharedBudget | None = None
    ) -> None:
        self.config = config
        self.loop = asyncio.get_running_loop()
        self.clock = Clock()
        self.memory = MemoryBudget(_bodies(config.memory_mb), memory)
        self.descriptors = DescriptorBudget(config.sockets, sockets)
        self.settings = settings = config.settings
        self.diagnostics = Diagnostics()
        self.engine = Engine(
            settings,
            config.methods,
            config.seed,
            self.clock,
            self.loop.call_later,
            config.most_held,
            self.memory,
            self.diagnostics,
        )
        self.upstream = Upstream(
            settings,
            config.serves,
            self.clock,
            self.memory,
            self.descriptors,
            reader(settings.report_fields),
            self.diagnostics,
        )
        self.on_endpoint_list_update: Callable[[EndpointListUpdate], None] | None = (
            None  # told of the list beside the decisions
        )
        news: Callable[[EndpointListUpdate], None] = self._news
        update: Callable[[list[HostLine], bool], None] = self.upstream.update
        self.gate: Gate | None = None
        if config.rehearsal_ms:
            from .rehearsal.gate import Gate  # noqa: PLC0415 - the platform's daemon starts without it

            self.gate = Gate(config.rehearsal_ms, self.clock, news, update)
            news, update = self.gate.take_update, self.gate.take_entries
        self.discovery: Discovery | Fixed
        if config.discovery:
            self.discovery = Discovery(
                config.discovery,
                config.names,
                news,
                update,
                self.upstream.knows,
                not settings.polls_list,
                settings.drain_grace_ms,
                config.seed,
            )
        else:
            from .discovery.fixed import Fixed  # noqa: PLC0415 - the platform's daemon starts without it

            self.discovery = Fixed(config.names, news, update, self.upstream.knows)
        self.engine.upstream, self.engine.discovery = self.upstream, self.discovery
        self.classes = RequestClassTable(_kinds(config))
        self.names = config.names
        self.discovery.cached(config.known)
        self._sweep_later()

    def _news(self, news: EndpointListUpdate) -> None:
        self.engine.deliver(news)
        if self.on_endpoint_list_update:
            self.on_endpoint_list_update(news)

    def _sweep_later(self) -> None:
        self._sweep_due = self.loop.time() + SWEEP_S
        self._sweeping = self.loop.call_later(SWEEP_S, self._sweep)

    def _sweep(self) -> None:
        # Timers fire in the order they are due, so after a pause this one comes before the attempts' time-outs.
        if (late := self.loop.time() - self._sweep_due) > STOOD_STILL_S:
            log_event("clock", f"stood still for {late:.1f} s")
            self.engine.deliver(ProcessResumed(late * 1000))
        self.engine.backlog.beat(self.loop.time() * 1000)
        self.upstream.sweep()
        self.discovery.sweep()
        if self.gate:
            self.gate.tick()
        self._sweep_later()

    def apply_config(self, config: Config) -> None:
        """Take up a new configuration: where the list comes from, the classes, attempts, waits and idle times.

        Limits, zones, kinds, tenants and reports hold from the start on.
        """
        change = self.classes.change(_kinds(config), {call.class_index for call in self.engine.requests.values()})
        new, old = config.settings, self.settings
        self.settings = replace(
            old,
            classes=tuple(kind.settings for kind in change.classes),
            max_attempts=new.max_attempts,
            max_retry_after_ms=new.max_retry_after_ms,
            dial_timeout_ms=new.dial_timeout_ms,
            idle_ms=new.idle_ms,
        )
        self.names = self.names._replace(classes=self.classes.current)
        self.engine.apply_settings(
            self.settings,
            tuple(kind.methods for kind in change.classes),
            change.replaced,
            change.live,
            change.never_repeat,
        )
        self.upstream.apply_settings(self.settings)
        if config.discovery and isinstance(self.discovery, Discovery):
            self.discovery.move(config.discovery)
        elif not config.discovery and not isinstance(self.discovery, Discovery):
            self.discovery.replace(config.known)

    def set_limits(self, sockets: int, memory_mb: float) -> None:
        """Other limits from now on; nothing that is in use is taken away."""
        self.memory.limit = _bodies(memory_mb)
        self.descriptors.resize(sockets)

    def close(self) -> None:
        """End at once: open calls get their final answers, connections close, no timer is left."""
        self._sweeping.cancel()
        if self.gate:
            self.gate.close()
        self.engine.close()
        self.discovery.stop()
        self.upstream.close()
