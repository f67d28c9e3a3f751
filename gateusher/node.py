"""A sidecar without its listener, on one event loop: engine, connections to endpoints, and discovery.

Used by the daemon and the library.  Not to be confused with an endpoint, which the settings call a node.

`Node` creates and owns these parts, the budgets of memory and descriptors, and the timer of the periodic sweep.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from math import inf
from typing import TYPE_CHECKING

from .base.clock import Clock
from .base.diagnostics import Diagnostics
from .base.limits import BYTES_PER_MB, DescriptorBudget, MemoryBudget, SharedBudget
from .base.log import log_event
from .config.class_history import ClassHistory, FormerConfiguration
from .config.classes import ClassTableChange, RequestClass, RequestClassTable
from .config.model import Config
from .core.engine import TICK_MS, Engine
from .discovery.catalog import Discovery
from .discovery.lists import ListedEndpoint
from .policy.interface import EndpointListUpdate, ProcessResumed
from .upstream.pool import ConnectionPool
from .upstream.reports import make_report_parser

if TYPE_CHECKING:
    from .discovery.fixed import StaticDiscovery
    from .rehearsal.gate import Gate

SWEEP_INTERVAL_S = TICK_MS / 1000  # interval of sweeps, each of which calls `Backlog.tick`
STALL_THRESHOLD_S = 1.0  # a sweep later than this shows that the machine was paused
BODY_MEMORY_DIVISOR = 3  # this fraction of the memory limit may hold bodies and responses
PROCESS_GROWTH_MB = 4.0  # what a process comes to take beside messages and connections: loop, lists, ids, diagnostics

UpdateHandler = Callable[[EndpointListUpdate], None]
EntriesHandler = Callable[[list[ListedEndpoint], bool], None]


def body_memory_bytes(memory_mb: float) -> int:
    """Return how many bytes of bodies and responses a process with this memory limit may hold."""
    return int(memory_mb * BYTES_PER_MB / BODY_MEMORY_DIVISOR)


def variable_memory_bytes(memory_mb: float, resident_mb: float) -> float:
    """Return how many bytes messages and connections may take together; inf if `resident_mb` is not known (0)."""
    if not resident_mb:
        return inf
    return (memory_mb - resident_mb - PROCESS_GROWTH_MB) * BYTES_PER_MB


def _request_classes(config: Config) -> list[RequestClass]:
    """Return the classes of a configuration in the order of their indexes."""
    names = sorted(config.names.classes, key=config.names.classes.__getitem__)
    return [
        RequestClass(*request_class)
        for request_class in zip(names, config.settings.classes, config.methods, strict=True)
    ]


class Node:
    """A sidecar without its listener.  Accepts requests from its construction until `close`, on the running loop.

    It is not an endpoint, which the settings call a node.
    """

    def __init__(
        self, config: Config, memory: SharedBudget | None = None, sockets: SharedBudget | None = None
    ) -> None:
        """`memory` (bytes) and `sockets` are budgets shared by several nodes, on top of this node's own limits."""
        self.config = config
        self.loop = asyncio.get_running_loop()
        self.clock = Clock()
        total_bytes = variable_memory_bytes(config.memory_mb, config.resident_mb)
        self.memory = MemoryBudget(body_memory_bytes(config.memory_mb), memory, total_bytes)
        self.descriptors = DescriptorBudget(config.sockets, sockets)
        self.settings = config.settings
        self.names = config.names
        self.classes = RequestClassTable(_request_classes(config))
        self.class_history = ClassHistory(self.classes, config.settings.max_attempts)
        self.diagnostics = Diagnostics()
        self.engine = self._make_engine()
        self.upstream = self._make_upstream()
        self.on_endpoint_list_update: UpdateHandler | None = None  # an additional receiver of list updates
        self.gate: Gate | None = None
        self.discovery = self._make_discovery()
        self.engine.upstream = self.upstream
        self.engine.discovery = self.discovery
        self.discovery.start(config.known)
        self._sweep_due_s: float  # set with the timer by each sweep
        self._sweep_timer: asyncio.TimerHandle
        self._schedule_sweep()

    def _make_engine(self) -> Engine:
        return Engine(
            self.settings,
            self.config.methods,
            self.config.seed,
            self.clock,
            self.loop.call_later,
            self.config.most_held,
            self.memory,
            self.diagnostics,
        )

    def _make_upstream(self) -> ConnectionPool:
        return ConnectionPool(
            self.settings,
            self.config.serves,
            self.clock,
            self.memory,
            self.descriptors,
            make_report_parser(self.settings.report_fields),
            self.diagnostics,
        )

    def _make_discovery(self) -> Discovery | StaticDiscovery:
        """Create the source of the endpoint list; in a rehearsal, a gate passes only the updates of stand-ins."""
        config = self.config
        on_update: UpdateHandler = self._on_endpoint_list_update
        on_entries: EntriesHandler = self.upstream.update
        if config.rehearsal_ms:
            from .rehearsal.gate import Gate  # noqa: PLC0415 - the platform's daemon does not need it

            self.gate = Gate(config.rehearsal_ms, self.clock, on_update, on_entries)
            on_update = self.gate.take_update
            on_entries = self.gate.take_entries
        if not config.discovery:
            from .discovery.fixed import StaticDiscovery  # noqa: PLC0415 - the platform's daemon does not need it

            return StaticDiscovery(config.names, on_update, on_entries, self.upstream.owns_id)
        return Discovery(
            config.discovery,
            config.names,
            on_update,
            on_entries,
            self.upstream.owns_id,
            not self.settings.polls_list,
            self.settings.drain_grace_ms,
            config.seed,
        )

    def _on_endpoint_list_update(self, update: EndpointListUpdate) -> None:
        self.engine.deliver(update)
        if self.on_endpoint_list_update:
            self.on_endpoint_list_update(update)

    def _schedule_sweep(self) -> None:
        self._sweep_due_s = self.loop.time() + SWEEP_INTERVAL_S
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        # Timers fire in the order of their due times, so after a stall this one fires before the attempts' timeouts.
        late_s = self.loop.time() - self._sweep_due_s
        self._schedule_sweep()  # first: an error below must not be the last sweep
        if late_s > STALL_THRESHOLD_S:
            log_event("clock", f"stood still for {late_s:.1f} s")
            self.engine.deliver(ProcessResumed(late_s * 1000))
        self.engine.backlog.tick(self.loop.time() * 1000)
        self.upstream.sweep()
        self.discovery.sweep()
        if self.gate:
            self.gate.tick()

    def apply_config(self, config: Config) -> None:
        """Apply a new configuration: discovery's address, classes, attempts, retry delays, dial and idle timeouts.

        Limits, zones, kinds, tenants and reports stay the same until the next start.
        """
        classes_in_use = {request.class_index for request in self.engine.requests.values()}
        change = self.class_history.change(
            _request_classes(config), config.settings.max_attempts, classes_in_use, self.loop.time()
        )
        self.settings = replace(
            self.settings,
            max_attempts=config.settings.max_attempts,
            max_retry_after_ms=config.settings.max_retry_after_ms,
            dial_timeout_ms=config.settings.dial_timeout_ms,
            idle_ms=config.settings.idle_ms,
        )
        self.names = self.names._replace(classes=self.classes.current)
        self._apply_classes(change)
        self.upstream.apply_settings(self.settings)
        if config.discovery and isinstance(self.discovery, Discovery):
            self.discovery.change_address(config.discovery)
        elif not config.discovery and not isinstance(self.discovery, Discovery):
            self.discovery.replace(config.known)

    def inherit_configurations(self, configurations: list[FormerConfiguration]) -> None:
        """Serve requests that mean the configurations of the process before this one, until clients know this one."""
        if configurations:
            self._apply_classes(self.class_history.inherit(configurations))

    def _apply_classes(self, change: ClassTableChange) -> None:
        self.settings = replace(
            self.settings, classes=tuple(request_class.settings for request_class in change.classes)
        )
        self.engine.apply_settings(
            self.settings,
            tuple(request_class.methods for request_class in change.classes),
            change.replaced,
            change.live,
            change.never_repeat,
        )

    def set_limits(self, descriptors: int, memory_mb: float) -> None:
        """Apply other limits from now on; nothing in use is taken away."""
        total_bytes = variable_memory_bytes(memory_mb, self.config.resident_mb)
        self.memory.resize(body_memory_bytes(memory_mb), total_bytes)
        self.descriptors.resize(descriptors)

    def close(self) -> None:
        """Shut down at once: deliver the final responses of open requests, close connections, cancel timers."""
        self._sweep_timer.cancel()
        if self.gate:
            self.gate.close()
        self.engine.close()
        self.discovery.stop()
        self.upstream.close()
