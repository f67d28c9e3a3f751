"""The set-up of one execution in virtual time: the modules that it replaces, and the recording of its history."""

from __future__ import annotations

import asyncio
import os
import re
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from gateusher import client as client_module
from gateusher import daemon as daemon_module
from gateusher import inherited_deadline as inherited_deadline_module
from gateusher import node as node_module
from gateusher.base import machine
from gateusher.client import Gateway, Settled
from gateusher.core import engine as engine_module
from gateusher.core.engine import Engine
from gateusher.daemon import Sidecar
from gateusher.discovery import call as call_module
from gateusher.discovery import catalog as catalog_module
from gateusher.discovery import fixed as fixed_module
from gateusher.discovery import lists as lists_module
from gateusher.listeners import accepting as accepting_module
from gateusher.listeners import client_connection as connection_module
from gateusher.listeners import server as server_module
from gateusher.policy import Balancer
from gateusher.policy.interface import AttemptEnded, Send
from gateusher.upstream import connection as upstream_connection_module
from gateusher.upstream import pool as pool_module
from gateusher.upstream import response_parser as response_parser_module
from gateusher.upstream.connection import Connection
from gateusher.upstream.pool import ConnectionPool
from gateusher.virtual.loop import InOrder, Select, Sockets, Transport, VirtualLoop

from . import properties
from .history import AttemptRecord, History, RequestRecord
from .scheduler import ControlSetDraws, Scheduler
from .setting import PLAIN, SLOW_START_S, Setting, configuration
from .world_state import DaemonConnection, WorldState

REQUEST_NAME_HEADER = re.compile(rb"X-Ask: (\S+)", re.I)
MIGRATED_PORT = 3  # where n0 listens after an address change
DRAIN_STEP_INTERVAL_S = 0.2  # in place of the daemon's own
TRUNCATING_RESPONSE_BUFFER_BYTES = 2  # every response with a body exceeds it and is streamed


def void(_: object) -> None:
    """Discard the result of an expression, for use in a lambda without a result."""


class Clock:
    """The core's clock, which follows the virtual loop."""

    loop: VirtualLoop

    def now_ms(self) -> float:
        """Return the virtual time in milliseconds."""
        return self.loop.now * 1000.0


class Time:
    """A substitute for the module `time` in the library."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.monotonic = loop.time


# The names that a world replaces until it is closed.
PATCHED = (
    (node_module, "Clock"),
    (client_module, "time"),
    (inherited_deadline_module, "time"),
    (upstream_connection_module, "select"),
    (pool_module, "log_event"),
    (connection_module, "select"),
    (connection_module, "socket"),
    (accepting_module, "socket"),
    (accepting_module, "log_event"),
    (server_module, "log_event"),
    (response_parser_module, "MAX_BUFFERED_RESPONSE_BYTES"),
    (call_module, "log_event"),
    (call_module, "select"),
    (catalog_module, "log_event"),
    (fixed_module, "log_event"),
    (lists_module, "log_event"),
    (engine_module, "log_event"),
    (daemon_module, "DRAIN_STEP_INTERVAL_S"),
    (machine.TransitionTable, "illegal_transition"),
)


class ObservedWorld(WorldState):
    """A world that records its history and checks the properties.

    It replaces the names in `PATCHED` until `close` is called.
    """

    def __init__(
        self,
        choose: Scheduler,
        interface: str,
        effects: tuple[str, ...],
        node_count: int = 2,
        all_events: bool = True,
        setting: Setting = PLAIN,
    ) -> None:
        self.choose, self.interface, self.effects = choose, interface, effects
        self.node_count, self.setting = node_count, setting
        # False: without the events that multiply the orders too much for an exhaustive search.
        self.all_events = all_events and not setting.restricted_events
        self.loop, self.history = VirtualLoop(), History()
        self.transports: list[Transport] = []
        self.watches: list[Transport] = []
        self.partial_update: tuple[bytes, Callable[[], None]] | None = None
        self.settings_changes = self.lameduck_count = 0
        self.shutting_down = self.descriptors_exhausted = self.has_duplicate = self.has_reloaded = False
        self.invalid_count = 0  # invalid requests submitted
        self.list_changes = self.short_steps = 0
        self.accepted: set[str] = set()  # names of the requests that the core has accepted
        self.dead_nodes: set[int] = set()  # nodes whose process has crashed
        self.restart_counts = [0] * (MIGRATED_PORT + 1)  # by node
        self.shutdown_at_s = float("inf")  # when the process exits
        self.tasks: dict[str, asyncio.Task[Any]] = {}
        self.daemon_connections: dict[str, DaemonConnection] = {}
        self.pending_bodies: dict[str, asyncio.Future[None]] = {}  # streamed bodies of the library's requests
        self.config = configuration(node_count, setting)
        self.hosts = [dict(h) for h in self.config.known["hosts"]]
        self.listed_addresses = {h["dial"] for h in self.hosts}  # all that an endpoint list has ever contained
        if setting.slow_start:
            self.history.slow_start[0] = self.loop.now, self.loop.now + SLOW_START_S
        asyncio._set_running_loop(self.loop)
        self._replace_modules()
        self._start_program()
        self.dialed: list[Connection] = []  # all connections ever dialed, in order
        self._observe_dials()
        self._observe_draws()
        self._observe_policy()
        self._observe_submissions()

    def _replace_modules(self) -> None:
        """Replace the names in `PATCHED` by their virtual counterparts."""
        self._originals = [(module, name, getattr(module, name)) for module, name in PATCHED]

        def illegal_transition(
            table: machine.TransitionTable, state: str, event: str
        ) -> machine.IllegalTransitionError:
            """Record an illegal transition, also where the program catches and repairs it: it is a fault even so."""
            self.history.violations.append(f"illegal transition: {table.name}: {event!r} while {state!r}")
            return machine.IllegalTransitionError()

        replacements = {
            "Clock": type("_Clock", (Clock,), {"loop": self.loop}),
            "time": Time(self.loop),
            "select": Select,
            "socket": Sockets,
            "DRAIN_STEP_INTERVAL_S": DRAIN_STEP_INTERVAL_S,
            "illegal_transition": illegal_transition,
            "MAX_BUFFERED_RESPONSE_BYTES": TRUNCATING_RESPONSE_BUFFER_BYTES
            if self.setting.streamed_responses
            else response_parser_module.MAX_BUFFERED_RESPONSE_BYTES,
            "log_event": lambda what, why: None,  # logs would repeat the same line ten thousand times a second
        }
        for module, name in PATCHED:
            setattr(module, name, replacements[name] if module is not engine_module else self._on_engine_log)

    def _start_program(self) -> None:
        """Start the daemon with a library beside it, or the library alone."""
        self.gateway = Gateway(self.config, on_settled=self._on_settled)
        if self.interface == "daemon":
            self.sidecar = Sidecar(self.config)
            self.sidecar._sweep_timer.cancel()
            self.node = self.sidecar.node
            self.gateway._node, self.gateway._process_id = self.node, os.getpid()
        else:
            with suppress(StopIteration):
                self.gateway.start().send(None)
            assert self.gateway._node
            self.node = self.gateway._node
        self.node._sweep_timer.cancel()
        self.engine: Engine = self.node.engine
        self.upstream: ConnectionPool = self.node.upstream
        self.balancer: Balancer = self.engine._balancer

    def close(self) -> None:
        """Cancel the tasks and restore the replaced names."""
        for task in self.tasks.values():
            task.cancel()
        self.loop.settle()
        asyncio._set_running_loop(None)
        for module, name, original in self._originals:
            setattr(module, name, original)

    def _on_engine_log(self, what: str, why: object) -> None:
        """Record a violation: the engine logs only events that it could not handle.

        In service the timer of the request fails it then.
        """
        self.history.violations.append(f"{what}: {why}")

    def _observe_dials(self) -> None:
        self.upstream._connections = InOrder(self.upstream._connections)  # type: ignore[assignment]
        if self.interface == "daemon":
            self.sidecar.server._connections = InOrder()  # type: ignore[assignment]
        original = self.upstream._acquire_connection

        def acquire_connection(endpoint: Any) -> Connection | None:
            connection = original(endpoint)
            if connection and connection not in self.dialed:
                self.dialed.append(connection)
            return connection

        self.upstream._acquire_connection = acquire_connection  # type: ignore[method-assign]

    def _observe_draws(self) -> None:
        balancer = self.balancer
        self._draws = draws = ControlSetDraws(self.choose)
        # Near 1 the first credit of an endpoint in slow start is almost there; under 0.2 a poll follows each send.
        random = 1 - 1e-9 if self.setting.slow_start else 0.15 if self.setting.load_report_polls else 0.5
        balancer.context.random = lambda: random
        endpoints = self.upstream._endpoints

        def draw() -> Any:
            return draws.draw(
                balancer.control_set.buckets,
                lambda e: endpoints[e.endpoint_id].name if e.endpoint_id in endpoints else "a removed endpoint",
                lambda e: e.inclusion_probability,
            )

        balancer.control_set.draw = draw  # type: ignore[method-assign]

    def _observe_policy(self) -> None:
        original, history, draws = self.balancer.handle, self.history, self._draws
        attempt_counts: dict[int, int] = {}  # by request

        def handle(now: float, event: Any) -> Any:
            draws.on_policy_event()
            if type(event) is AttemptEnded:
                key = (event.request, event.attempt)
                if key not in history.policy_outcomes:
                    history.violations.append(f"the policy gets an outcome of {key}, an attempt that it never sent")
                else:
                    history.policy_outcomes[key] += 1
            actions = original(now, event)
            for action in actions:
                if type(action) is Send:
                    number = attempt_counts.get(action.request, 0)
                    attempt_counts[action.request] = number + 1
                    history.policy_outcomes[action.request, number] = 0
            return actions

        self.balancer.handle = handle  # type: ignore[method-assign, assignment]

    def _observe_submissions(self) -> None:
        original = self.engine.submit

        def submit(request: Any, timeout_ms: float, reserved: bool = False) -> Any:
            fault = original(request, timeout_ms, reserved)
            if fault is None:
                self.accepted.add(next(v for n, v in request.headers if n == b"X-Ask").decode())
            return fault

        self.engine.submit = submit  # type: ignore[method-assign]

    def _attach(self, transport: Transport) -> None:
        self.transports.append(transport)
        transport.on_write, transport.accepted_bytes = self._on_write, self._on_accepted_bytes

    def _on_accepted_bytes(self, transport: Transport, data: bytes) -> int:
        """Choose whether the kernel accepts all of a write or half of it."""
        count = (len(data), len(data) // 2)[
            self.choose("the kernel accepts all of it", "the kernel accepts half of it")
        ]
        attempt = self.history.attempts[-1]
        if count == len(data):
            self._on_last_byte(attempt)
        return count

    def _on_last_byte(self, attempt: AttemptRecord) -> None:
        attempt.fully_sent = True
        self.history.violations += properties.on_last_byte(self, attempt)

    def _on_write(self, transport: Transport, data: bytes) -> None:
        found = REQUEST_NAME_HEADER.search(data)
        request = self.history.requests.get(found[1].decode()) if found else None
        if found and request is None:
            self.history.violations.append(f"a request is sent as {found[1]!r}, which no client submitted")
        node = transport.port - 1
        attempt = AttemptRecord(request, node, self.loop.now, transport)
        self.history.violations += properties.on_write(self, attempt, data)
        self.history.attempts.append(attempt)

    def _on_settled(self, settled: Settled) -> None:
        self.history.settled.setdefault(settled.request_id, []).append(settled)

    def record_outcome(
        self, request: RequestRecord, outcome: str, body: bytes, may_have_run: bool | None = None
    ) -> None:
        """Record the final response to a request and check its properties."""
        request.outcomes.append((self.loop.now, outcome, body))
        self.history.violations += properties.on_outcome(self, request, outcome, body, may_have_run)

    def _on_daemon_response(
        self, connection: DaemonConnection, status: int, headers: dict[bytes, bytes], body: bytes
    ) -> None:
        self.history.violations += properties.on_daemon_response(status, headers)
        outcomes = {503: "refused", 504: "timed out", 502: "failed", 409: "conflict"}
        outcome = "served" if b"x-node" in headers else outcomes.get(status, str(status))
        self.record_outcome(connection.unanswered.pop(0), outcome, body)
