"""One execution, set up in virtual time and observed: what it stands in for, and what it notes."""

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
from gateusher.virtual.loop import InsertionOrderedSet, Select, Sockets, Transport, VirtualLoop

from . import properties
from .chooser import Chooser, Draws
from .setting import PLAIN, SLOW_START_S, Setting, configuration
from .story import Ask, Sent, Story
from .world_state import Line, WorldState

REQUEST_NAME_HEADER = re.compile(rb"X-Ask: (\S+)", re.I)
MOVED_PORT = 3  # the port to which n0 moves


def void(_: object) -> None:
    """Where only the doing counts."""


class Clock:
    """The core's clock on the virtual loop."""

    loop: VirtualLoop

    def now_ms(self) -> float:
        return self.loop.now * 1000.0


class Time:
    """Stands for the module `time` in the library."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.monotonic = loop.time


# What a world stands in for, and puts back when it is closed.
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
    """A world whose doings are noted in its story and judged by the properties; `close` puts all back."""

    def __init__(
        self,
        choose: Chooser,
        face: str,
        effects: tuple[str, ...],
        nodes: int = 2,
        rich: bool = True,
        setting: Setting = PLAIN,
    ) -> None:
        rich = rich and not setting.few
        self.rich = rich  # also what multiplies the orders too much for following each
        self.choose, self.face, self.effects, self.count, self.setting = choose, face, effects, nodes, setting
        self.loop, self.story = VirtualLoop(), Story()
        self.transports: list[Transport] = []
        self.watches: list[Transport] = []
        self.half_line: tuple[bytes, Callable[[], None]] | None = None
        self.retuned = self.sent_away = 0  # how often operators have done so
        self.ended = self.scarce = self.again = self.reloaded = False
        self.bad = 0  # requests that can't be taken, so far
        self.turned = self.moved_on = 0
        self.taken: set[str] = set()  # asks that the core has taken
        self.dead: set[int] = set()  # nodes whose process is gone
        self.starts = [0] * (MOVED_PORT + 1)  # how often each node was started anew
        self.end_s = float("inf")  # when the process ends, and all that is open with it
        self.tasks: dict[str, asyncio.Task[Any]] = {}
        self.lines: dict[str, Line] = {}
        self.bodies: dict[str, asyncio.Future[None]] = {}  # of the library's, still being made
        self.config = configuration(nodes, setting)
        self.hosts = [dict(h) for h in self.config.known["hosts"]]
        self.given = {h["dial"] for h in self.hosts}  # addresses that a list has named
        if setting.cold:
            self.story.cold[0] = self.loop.now, self.loop.now + SLOW_START_S
        asyncio._set_running_loop(self.loop)
        self._real = [(module, name, getattr(module, name)) for module, name in PATCHED]

        def illegal(table: machine.TransitionTable, state: str, event: str) -> machine.IllegalTransitionError:
            """Also one that is caught and mended: in service it would be a fault of ours."""
            self.story.wrong.append(f"illegal transition: {table.name}: {event!r} while {state!r}")
            return machine.IllegalTransitionError()

        stands_in = {
            "Clock": type("_Clock", (Clock,), {"loop": self.loop}),
            "time": Time(self.loop),
            "select": Select,
            "socket": Sockets,
            "DRAIN_STEP_INTERVAL_S": 0.2,
            "illegal_transition": illegal,
            "MAX_BUFFERED_RESPONSE_BYTES": 2 if setting.long else response_parser_module.MAX_BUFFERED_RESPONSE_BYTES,
            "log_event": lambda what, why: None,
        }  # the same line ten thousand times a second helps nobody
        for module, name in PATCHED:
            setattr(module, name, stands_in[name] if module is not engine_module else self._engine_said)
        self.gateway = Gateway(self.config, on_settled=self._settled)
        if face == "daemon":
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
        self.conns: list[Connection] = []  # all that were ever dialled, in their order
        self._watch_dials()
        self._watch_module()

    def close(self) -> None:
        for task in self.tasks.values():
            task.cancel()
        self.loop.settle()
        asyncio._set_running_loop(None)
        for module, name, value in self._real:
            setattr(module, name, value)

    def _engine_said(self, what: str, why: object) -> None:
        """What the engine logs is an event that it could not handle: in service the request's timer fails it."""
        self.story.wrong.append(f"{what}: {why}")

    def _watch_dials(self) -> None:
        self.upstream._connections = InsertionOrderedSet(self.upstream._connections)  # type: ignore[assignment]
        if self.face == "daemon":
            self.sidecar.server._connections = InsertionOrderedSet()  # type: ignore[assignment]
        connection = self.upstream._acquire_connection

        def dialled(endpoint: Any) -> Connection | None:
            conn = connection(endpoint)
            if conn and conn not in self.conns:
                self.conns.append(conn)
            return conn

        self.upstream._acquire_connection = dialled  # type: ignore[method-assign]

    def _watch_module(self) -> None:
        balancer = self.balancer
        draws = Draws(self.choose)
        # Near 1 a cold node's first credit is almost there; under 0.2 each send is followed by a probe.
        elsewhere = 1 - 1e-9 if self.setting.cold else 0.15 if self.setting.probes else 0.5
        balancer.context.random = lambda: elsewhere
        handle, story, hosts = balancer.handle, self.story, self.upstream._endpoints

        def drawn() -> Any:
            return draws.draw(
                balancer.control_set.buckets,
                lambda s: hosts[s.endpoint_id].name if s.endpoint_id in hosts else "one that is gone",
                lambda s: s.inclusion_probability,
            )

        tries: dict[int, int] = {}

        def handled(now: float, event: Any) -> Any:
            draws.begin()
            if type(event) is AttemptEnded:
                key = (event.request, event.attempt)
                if key not in story.sends:
                    story.wrong.append(f"the module hears an outcome of {key}, which it never sent")
                else:
                    story.sends[key] += 1
            actions = handle(now, event)
            for action in actions:
                if type(action) is Send:
                    number = tries.get(action.request, 0)
                    tries[action.request] = number + 1
                    story.sends[action.request, number] = 0
            return actions

        take = self.engine.submit

        def taking(request: Any, timeout_ms: float, reserved: bool = False) -> Any:
            fault = take(request, timeout_ms, reserved)
            if fault is None:
                self.taken.add(next(v for n, v in request.headers if n == b"X-Ask").decode())
            return fault

        self.engine.submit = taking  # type: ignore[method-assign]
        balancer.control_set.draw = drawn  # type: ignore[method-assign]
        balancer.handle = handled  # type: ignore[method-assign, assignment]

    def _attach(self, transport: Transport) -> None:
        self.transports.append(transport)
        transport.on_write, transport.accepted_bytes = self._wrote, self._takes

    def _takes(self, transport: Transport, data: bytes) -> int:
        """The kernel takes all of a write, or a part of it."""
        taken = (len(data), len(data) // 2)[self.choose("the kernel takes all of it", "the kernel takes half of it")]
        sent = self.story.sent[-1]
        if taken == len(data):
            self._became_whole(sent)
        return taken

    def _became_whole(self, sent: Sent) -> None:
        sent.whole = True
        self.story.wrong += properties.whole(self, sent)

    def _wrote(self, transport: Transport, data: bytes) -> None:
        found = REQUEST_NAME_HEADER.search(data)
        ask = self.story.asks.get(found[1].decode()) if found else None
        if found and ask is None:
            self.story.wrong.append(f"something is sent as {found[1]!r}, which nobody asked")
        node = transport.port - 1
        sent = Sent(ask, node, self.loop.now, transport)
        self.story.wrong += properties.sending(self, sent, data)
        self.story.sent.append(sent)

    def _settled(self, settled: Settled) -> None:
        self.story.settled.setdefault(settled.request_id, []).append(settled)

    def tell(self, ask: Ask, outcome: str, body: bytes, may_have_run: bool | None = None) -> None:
        ask.told.append((self.loop.now, outcome, body))
        self.story.wrong += properties.telling(self, ask, outcome, body, may_have_run)

    def _line_answered(self, line: Line, status: int, headers: dict[bytes, bytes], body: bytes) -> None:
        self.story.wrong += properties.wording(status, headers)
        kinds = {503: "refused", 504: "timed out", 502: "failed", 409: "conflict"}
        node = b"x-node" in headers
        self.tell(line.queue.pop(0), "served" if node else kinds.get(status, str(status)), body)
