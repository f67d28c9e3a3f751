"""Two nodes, three requests, one face: everything that may happen next, and what may never happen."""

from __future__ import annotations

import asyncio
import json
import os
import re
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from functools import cache
from typing import Any, NamedTuple

import httptools

from gateusher import client as client_module
from gateusher import daemon as daemon_module
from gateusher import inherited_deadline as inherited_deadline_module
from gateusher import node as node_module
from gateusher.base import machine
from gateusher.client import Conflict, DeadlineExceeded, Failed, Gateway, GatewayError, Refused, Settled
from gateusher.config.file import parse
from gateusher.config.model import Config
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
from gateusher.listeners.client_connection import ClientConnection
from gateusher.policy import Balancer
from gateusher.policy.interface import AttemptEnded, Effect, Send, Settings
from gateusher.upstream import connection as upstream_connection_module
from gateusher.upstream import pool as pool_module
from gateusher.upstream import response_parser as response_parser_module
from gateusher.upstream.connection import Connection
from gateusher.upstream.pool import REUSE_DELAY_MS, ConnectionPool
from gateusher.virtual.loop import Dial, InOrder, Select, Sockets, Transport, VirtualLoop

from . import properties
from .answers import CALM, EARLY, EARLY_LAST, ERROR, NOISE, NOT_RUN, OK, SORTS, Made, make
from .chooser import Chooser, Draws
from .story import Ask, Sent, Story

RID = re.compile(rb"X-Ask: (\S+)", re.I)
LIST_PORTS = (9, 10)  # where the list is served, before a reload and after it
MOMENT_S = 0.005
MOVED = 3  # the port to which n0 moves
BAD = (
    "with a key where none is due",
    "without the key that is due",
    "with the method of another class",
    "with a body by GET",
    "without any time",
    "without an id",
    "of a class that there is not",
)
PATIENCE, SHORT, END_S, WARM_S = 1.0, 0.15, 0.5, 1.5
Event = tuple[str, Callable[[], None]]


class Setting(NamedTuple):
    """What of a world is chosen before it begins."""

    scope: str = "all"  # the nodes that drop the repeats of a keyed request
    cold: bool = False  # n0 has just started
    listed: bool = False  # the list is followed by a watch, and a part of it may come
    probes: bool = False  # the module may ask nodes for their reports
    drains: bool = False  # the end is the daemon's own drain, and not only the core's part of it
    calm: bool = False  # nothing goes wrong: whatever is asked must be served
    long: bool = False  # every answer with a body is too long to be held
    operated: bool = False  # operators send clients away, take them back, and bring other settings
    few: bool = False  # only what every order is followed of, so that walks go deeper into that


PLAIN = Setting()


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


class Line:
    """A client's connection to the daemon: requests in, answers out in their order."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.queue: list[Ask] = []  # whole and not answered yet
        self.stopped = False  # its client reads nothing
        self.too_late = False  # the rest of a request came when its connection was closing
        client = ClientConnection(world.sidecar.server)
        world.sidecar.server._connections.add(client)
        self.transport = Transport(world.loop, client, 0)
        self.transport.on_peer_data = self._got
        self.transport.accepted_bytes = lambda transport, data: 0 if self.stopped else len(data)
        client.connection_made(self.transport)  # type: ignore[arg-type]
        self._parser = httptools.HttpResponseParser(self)
        self._body, self._headers = b"", dict[bytes, bytes]()
        self._begun = False  # the head of an answer has come, and its end has not

    @property
    def broken(self) -> Ask | None:
        """The request whose answer broke off, so that its client could tell: its connection ended in the middle."""
        return self.queue[0] if self._begun and self.queue and self.transport.lost else None

    @property
    def half(self) -> Ask | None:
        """The request of which only a part has come."""
        return next(
            (a for a in self.world.story.asks.values() if a.coming and self.world.lines.get(a.name) is self), None
        )

    def _got(self, data: bytes) -> None:
        if data:
            self._parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        self._begun = self._parser.get_status_code() >= 200

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        self._begun = False
        status, headers, body = self._parser.get_status_code(), self._headers, self._body
        self._body, self._headers = b"", {}
        if status < 200:
            return
        if not self.queue and (half := self.half):
            # Told before its last byte: it was never taken, and its connection ends.
            half.left, half.coming = self.world.loop.now, b""
            return
        if not self.queue and self.too_late:
            self.too_late = False  # the same, read only after its client had sent the rest in vain
            return
        if not self.queue:
            self.world.story.wrong.append(f"{self.name}: an answer, {status}, and nothing was asked")
            return
        self.world.story.wrong += properties.wording(status, headers)
        kinds = {503: "refused", 504: "timed out", 502: "failed", 409: "conflict"}
        node = b"x-node" in headers
        self.world.tell(self.queue.pop(0), "served" if node else kinds.get(status, str(status)), body)


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
    (response_parser_module, "MAX_BUFFERED_BODY_BYTES"),
    (call_module, "log_event"),
    (call_module, "select"),
    (catalog_module, "log_event"),
    (fixed_module, "log_event"),
    (lists_module, "log_event"),
    (engine_module, "log_event"),
    (daemon_module, "DRAIN_STEP_INTERVAL_S"),
    (machine.TransitionTable, "illegal"),
)


@cache
def configuration(nodes: int, setting: Setting) -> Config:
    classes: dict[str, Any] = {
        "safe": {"effect": "safe", "aim": 0.4, "deadline": PATIENCE},
        "keyed": {"effect": "keyed", "aim": 0.4, "deadline": PATIENCE, "window": 0.3, "group": setting.scope},
        "unsafe": {"effect": "unsafe", "aim": 0.4, "deadline": PATIENCE},
    }
    config = parse(
        {
            "classes": classes,
            "seed": 1,
            "listen": "127.0.0.1:1",
            "zones": ["a", "b"],
            "zone": "a",
            "reports": ["queue"],
            "cold": {"share": 0.3, "warm_within": WARM_S if setting.cold else 0.0},
            "limits": {"max_attempts": 3, "margin": 0.0, "idle": 120.0},
            "nodes": [
                {"name": f"n{i}", "address": f"127.0.0.1:{i + 1}", "zone": "ab"[i % 2], "cell": i % 2}
                for i in range(nodes)
            ],
        }
    )
    settings = replace(
        config.settings, reports_pulled=setting.probes, may_probe=setting.probes, polls_list=setting.listed
    )
    known = {
        "seq": 1,
        "whole": True,
        "hosts": [
            dict(h, born_ms=1_000_000.0 if setting.cold and h["host"] == "n0" else 0) for h in config.known["hosts"]
        ],
    }
    return config._replace(
        settings=settings, known=known, discovery=("127.0.0.1", LIST_PORTS[0]) if setting.listed else None
    )


class World:
    """One execution.  `face` is "library" or "daemon"."""

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
        self.starts = [0] * (MOVED + 1)  # how often each node was started anew
        self.end_s = float("inf")  # when the process ends, and all that is open with it
        self.tasks: dict[str, asyncio.Task[Any]] = {}
        self.lines: dict[str, Line] = {}
        self.bodies: dict[str, asyncio.Future[None]] = {}  # of the library's, still being made
        self.config = configuration(nodes, setting)
        self.hosts = [dict(h) for h in self.config.known["hosts"]]
        self.given = {h["dial"] for h in self.hosts}  # addresses that a list has named
        if setting.cold:
            self.story.cold[0] = self.loop.now, self.loop.now + WARM_S
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
            "illegal": illegal,
            "MAX_BUFFERED_BODY_BYTES": 2 if setting.long else response_parser_module.MAX_BUFFERED_BODY_BYTES,
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

    # -- eyes

    def _engine_said(self, what: str, why: object) -> None:
        """What the engine logs is an event that it could not handle: in service the request's timer fails it."""
        self.story.wrong.append(f"{what}: {why}")

    def _watch_dials(self) -> None:
        self.upstream._connections = InOrder(self.upstream._connections)  # type: ignore[assignment]
        if self.face == "daemon":
            self.sidecar.server._connections = InOrder()  # type: ignore[assignment]
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
        found = RID.search(data)
        ask = self.story.asks.get(found[1].decode()) if found else None
        if found and ask is None:
            self.story.wrong.append(f"something is sent as {found[1]!r}, which nobody asked")
        node = transport.port - 1
        sent = Sent(ask, node, self.loop.now, transport)
        self.story.wrong += properties.sending(self, sent, data)
        self.story.sent.append(sent)

    def _settled(self, settled: Settled) -> None:
        self.story.settled.setdefault(settled.request_id, []).append(settled)

    def call(self, ask: Ask) -> Any:
        """The core's record of a request."""
        name = ask.name.encode()
        return next((c for c in self.engine.requests.values() if (b"X-Ask", name) in c.headers), None)

    # -- hands: what may happen next

    def events(self) -> list[Event]:
        """Each possible event: its words, and what brings it about."""
        found: list[Event] = []
        asked = sum(not a.extra for a in self.story.asks.values())
        if asked < len(self.effects):
            found.append((f"{self.effects[asked]}-{asked} comes", lambda: self._ask(asked)))
        if self.setting.calm:
            return found + self._calm_events()
        if self.rich and self.bad < 2 and not self.setting.long:
            found.append(("a request that can't be taken comes", self._bad))
        for ask in self.story.asks.values():
            if not self.setting.long or any(s.served for s in self.story.of(ask)) or ask.coming:
                found += self._client_events(ask)
        found += self._dial_events()
        for at, transport in enumerate(self.transports):
            if not transport.closing:
                found += self._connection_events(f"connection {at} (n{transport.port - 1})", transport)
        if self.story.asks and not self.setting.long:
            found += self._list_events()
            found += self._node_events()
        if self.setting.operated and self.story.asks:
            found += self._operators_events()
        if self.loop.timers and not (self.setting.long and any(not d.established.done() for d in self.loop.dials)):
            found.append(("time passes to the next timer", self.loop.fire))
        long = self.setting.long
        if self.rich and self.story.asks and not long:
            found.append(("two seconds pass", self._long))
        if self.transports and (self.rich or self.setting.few):
            found.append(("a moment passes", self._moment))
        if self.rich and not self.scarce and self.story.asks and not long:
            found.append(("descriptors run out", self._run_out))
        # What an answer does that is on its way is the point there.
        begun = not long or any(s.served for s in self.story.sent)
        if not self.ended and self.story.asks and begun:
            found.append(("the process is told to end", self._end))
        return found

    def _calm_events(self) -> list[Event]:
        """Connections come up, and nodes serve what they have."""
        found = [e for e in self._dial_events() if e[0].endswith("comes up")]
        if self.transports and self.moved_on < 3:
            found.append(("a moment passes", self._calm_moment))
        for ask in self.story.asks.values():
            if ask.coming:
                found.append((f"the rest of {ask.name} comes", lambda a=ask: self._whole(a)))  # type: ignore[misc]
        for at, transport in enumerate(self.transports):
            sent = self.out(transport)
            name = f"connection {at} (n{transport.port - 1})"
            if transport.closing:
                continue
            if transport.unsent:
                found.append((f"the rest is written on {name}", lambda t=transport: self._drain(t)))  # type: ignore[misc]
            elif sent and sent.half:
                found.append((f"the rest of the answer comes on {name}", lambda s=sent: self._rest(s)))  # type: ignore[misc]
            elif sent and sent.ends:
                found.append((f"the stream ends on {name}", lambda t=transport: self._fin(t)))  # type: ignore[misc]
            elif sent and sent.whole:
                found.append((f"an answer begins on {name}", lambda s=sent: self._answer(s)))  # type: ignore[misc]
        return found

    def _calm_moment(self) -> None:
        self.moved_on += 1
        self._moment()

    def _client_events(self, ask: Ask) -> list[Event]:
        found: list[Event] = []
        name = ask.name
        if ask.coming:
            return [
                (f"the rest of {name} comes", lambda: self._whole(ask)),
                (f"{name}'s client leaves", lambda: self._leave(ask)),
            ][: 1 if self.setting.long else 2]
        if (making := self.bodies.get(name)) and not making.done():
            found.append((f"the rest of {name}'s body is made", lambda: making.set_result(None)))
        if ask.open:
            found.append((f"{name}'s client leaves", lambda: self._leave(ask)))
        if not self.rich:
            return found
        if not self.again and not ask.extra and not self.setting.long and ask.at is not None and ask.left is None:
            found.append((f"{name}'s id comes again", lambda: self._ask_again(ask)))
        line = self.lines.get(name)
        if line and line.name == name and not line.transport.lost:
            if line.stopped:
                found.append((f"{name}'s client reads on", lambda: self._read_on(line)))
            else:
                found.append((f"{name}'s client stops reading", lambda: setattr(line, "stopped", True)))
        return found

    def _dial_events(self) -> list[Event]:
        found: list[Event] = []
        coming = [d for d in self.loop.dials if not d.established.done()]
        for at, dial in enumerate(coming):
            before = sum(d.port == dial.port for d in coming[:at])
            where = f"{('a', 'another', 'a third')[min(2, before)]} connection to n{dial.port - 1}"
            if dial.port in LIST_PORTS:
                found.append(("the watch comes up", lambda d=dial: self._watch_up(d)))  # type: ignore[misc]
            elif dial.port - 1 not in self.dead:
                found.append((f"{where} comes up", lambda d=dial: self._up(d)))  # type: ignore[misc]
            refused = f"{where} is refused" if dial.port not in LIST_PORTS else "the watch is refused"
            found.append(
                (
                    refused,
                    lambda d=dial: d.established.set_exception(  # type: ignore[misc]
                        ConnectionRefusedError()
                    ),
                )
            )
        return found

    def _connection_events(self, name: str, transport: Transport) -> list[Event]:
        found: list[Event] = []
        sent = self.out(transport)
        if transport.unsent:
            found.append((f"the rest is written on {name}", lambda: self._drain(transport)))
        if sent and sent.half:
            found.append((f"the rest of the answer comes on {name}", lambda: self._rest(sent)))
            if self.setting.long and len(sent.half) > 1:
                found.append((f"a part of the rest comes on {name}", lambda: self._part(sent)))
            if self.setting.long and sent.half == b"\n":  # where noise can't pass for a part of the body
                found.append((f"noise comes in place of the rest on {name}", lambda: self._noise(transport, True)))
        elif sent and sent.whole and not sent.ends:
            found += [
                (f"{what} comes on {name}", lambda w=what: self._reply(sent, w))  # type: ignore[misc]
                for what in REPLIES[: 1 if self.setting.long else None if self.rich else COMMON]
            ]
            if self.rich:
                found.append((f"an answer begins on {name}", lambda: self._answer(sent)))
        elif sent and not sent.ends:
            found += [
                (f"{what} comes early on {name}", lambda w=what: self._reply(sent, w))  # type: ignore[misc]
                for what in ("503, not run,", "a 200")
            ]
            if self.rich:
                found.append((f"an answer begins early on {name}", lambda: self._answer(sent)))
        # One that comes later than the rest after an answer can't be told from the next answer (ROADMAP).
        if transport.unsolicited and self.loop.now < transport.unsolicited_by_s:
            found.append((f"the copy's rest comes on {name}", lambda: self._copy(transport)))
        if transport.unread:
            found.append((f"what has arrived is read on {name}", lambda: self._read(transport)))
        elif not sent:
            found.append((f"noise comes on {name}", lambda: self._noise(transport, True)))
            if self.rich:
                found.append((f"noise arrives, unread, on {name}", lambda: self._noise(transport, False)))
        found.append((f"{name} is reset", lambda: transport.end(True)))
        # The end makes a body whole that says so; of one that is cut there, no client could tell.
        if self.rich and not (sent and sent.ends and sent.half):
            found.append((f"the stream ends on {name}", lambda: self._fin(transport)))
        return found

    def _list_events(self) -> list[Event]:
        if self.turned and (self.turned > 2 or not self.rich):
            return []
        healths = ["Terminating", "Gone", "another id"]
        if self.rich:
            healths += ["started anew", "another address", "Ready again", "the same again"]
        found: list[Event] = [
            (f"the list says {health} of n0", lambda h=health: self._list(h))  # type: ignore[misc]
            for health in healths
        ]
        if self.rich and not self.reloaded:
            found.append(("SIGHUP names another list", self._reload))
        if self.half_line:
            found = [("the rest of the line comes", self._line_rest)]
        if any(not w.closing for w in self.watches):
            found.append(("the watch ends", lambda: [w for w in self.watches if not w.closing][-1].end(False)))
        return found

    def _operators_events(self) -> list[Event]:
        found: list[Event] = []
        if self.retuned < 3:
            found.append(("SIGHUP brings other settings", self._retune))
            found.append(("SIGHUP makes all unsafe, and another as it was", self._tighten))
        if self.sent_away < 2:
            found.append(("clients are sent away", self._send_away))
        if self.sidecar.server.lifecycle.is_closing_connections:
            found.append(("clients are taken back", lambda: void(self.sidecar.server.leave_lameduck())))
        return found

    def _retune(self) -> None:
        """Every class is another one now, with fewer attempts or more: what is open keeps its own."""
        self.retuned += 1
        classes = tuple(
            replace(c, priority_weight=c.priority_weight + self.retuned) for c in self.config.settings.classes
        )
        settings = replace(self.config.settings, max_attempts=(3, 1, 2, 3)[self.retuned], classes=classes)
        self._follow(settings)

    def _follow(self, settings: Settings) -> None:
        self.sidecar.apply_config(
            self.config._replace(settings=settings, known={"hosts": [h for h in self.hosts if h["health"] != "Gone"]})
        )

    def _tighten(self) -> None:
        """The stricter of both words holds for what is open, however soon the old one is back."""
        self.retuned += 1
        usual = self.config.settings.classes
        for classes in (tuple(replace(c, effect=Effect.NOT_IDEMPOTENT) for c in usual), usual):
            self._follow(replace(self.config.settings, classes=classes))
        for ask in self.story.asks.values():
            ask.once = ask.once or self.call(ask) is not None
        self.sidecar.server.previous_classes = {}  # their grace period is another matter

    def _send_away(self) -> None:
        self.sent_away += 1
        self.sidecar.server.enter_lameduck()

    def _node_events(self) -> list[Event]:
        if not self.rich:
            return []
        if 0 in self.dead:
            return [("n0 starts again", self._start_again)]
        return [("n0's process dies", self._die)] if self.starts[0] < 2 else []

    def rid(self, at: int) -> str:
        return f"{self.effects[at]}-{at}"

    def out(self, transport: Transport) -> Sent | None:
        """What is unanswered on a connection."""
        last = next((s for s in reversed(self.story.sent) if s.transport is transport), None)
        return last if last and not last.answered else None

    # -- clients

    def _ask(self, at: int) -> None:
        rid, effect = self.rid(at), self.effects[at]
        patience = PATIENCE
        if self.rich and not self.setting.long:
            patience = (PATIENCE, SHORT)[self.choose("with patience", "in a hurry")]
        ask = self.story.asks[rid] = Ask(rid, rid, effect, patience)
        self._send(ask)

    def _ask_again(self, first: Ask) -> None:
        self.again = True
        ask = self.story.asks[f"{first.name}_again"] = Ask(
            f"{first.name}_again", first.rid, first.effect, PATIENCE, extra=True
        )
        self._send(ask)

    def _bad(self) -> None:
        """One that contradicts itself, its class or HTTP: it is told so, and no node hears of it."""
        self.bad += 1
        fault = BAD[self.choose(*BAD)]
        rid = "" if fault == "without an id" else f"bad-{self.bad}"
        ask = self.story.asks[f"bad-{self.bad}"] = Ask(
            f"bad-{self.bad}", rid, "unsafe", PATIENCE, extra=True, at=self.loop.now
        )
        method, cls, length, body = "POST", "unsafe", "Content-Length: 2\r\n", b"ab"
        key, deadline = "", "1.0"
        if fault == "with a key where none is due":
            key = "Idempotency-Key: k\r\n"
        elif fault == "without the key that is due":
            cls = "keyed"
        elif fault == "with the method of another class":
            cls = "safe"
        elif fault == "with a body by GET":
            method, cls = "GET", "safe"
        elif fault == "without any time":
            deadline = "0"
        elif fault == "of a class that there is not":
            cls = "strange"
        if self.face == "library":
            ask.beside = True
            self.tasks[ask.name] = self.loop.create_task(self._bad_request(ask, method, cls, key, body, deadline))
            return
        if not self.node.descriptors.acquire():
            ask.left = self.loop.now
            return
        line = self.lines[ask.name] = Line(self, ask.name)
        line.queue.append(ask)
        line.transport.feed(
            f"{method} /{cls} HTTP/1.1\r\nHost: o\r\nX-Request-Id: {rid}\r\nX-Ask: {ask.name}\r\n"
            f"X-Deadline: {deadline}\r\n{key}{length}\r\n".encode()
            + body
        )

    async def _bad_request(self, ask: Ask, method: str, cls: str, key: str, body: bytes, deadline: str) -> None:
        try:
            await self.gateway.request(
                cls,
                method=method,
                request_id=ask.rid,
                deadline=float(deadline),
                body=body,
                headers=[("X-Ask", ask.name)],
                idempotency_key="k" if key else None,
            )
        except GatewayError as error:
            self.tell(ask, type(error).__name__.lower(), b"")
        else:
            self.tell(ask, "served", b"")

    def _send(self, ask: Ask) -> None:
        ways = ["on a connection of its own"]
        if self.rich and self.face == "daemon":
            ways += [
                f"behind {name}"
                for name, line in self.lines.items()
                if line.name == name and not line.transport.closing and not line.half and name[:3] != "bad"
            ]
            # Its answers are whole in memory, and it has the settings of its start.
            if not self.setting.long and not self.setting.operated:
                ways.append("from the library beside it")
        way = ways[self.choose(*ways)] if len(ways) > 1 else ways[0]
        if self.face == "library" or way == "from the library beside it":
            ask.at, ask.beside = self.loop.now, True
            self.tasks[ask.name] = self.loop.create_task(self._request(ask))
            return
        if way.startswith("behind"):
            line = self.lines[way[7:]]
        elif self.node.descriptors.acquire():
            line = Line(self, ask.name)
        else:
            ask.left = self.loop.now  # it waits to be accepted, in vain
            return
        self.lines[ask.name] = line
        key = f"Idempotency-Key: k-{ask.rid}\r\n" if ask.effect == "keyed" else ""
        method, length = ("GET", "") if ask.effect == "safe" else ("POST", "Content-Length: 2\r\n")
        data = (
            f"{method} /{ask.effect} HTTP/1.1\r\nHost: o\r\nX-Request-Id: {ask.rid}\r\nX-Ask: {ask.name}\r\n"
            f"X-Deadline: {ask.patience:.3f}\r\nTE: trailers\r\nX-Extra: e\r\n{key}{length}\r\n"
        ).encode()
        data += b"ab" if length else b""
        cut = len(data)
        if self.rich and self.choose("at once", "in two parts"):
            cut = (len(data) - 1, 20)[self.choose("all but the last byte", "a part of its head")]
        ask.coming = data[cut:]
        if ask.coming:
            line.transport.feed(data[:cut])
        else:
            ask.coming = data
            self._whole(ask)

    def _whole(self, ask: Ask) -> None:
        """Its last byte comes."""
        data, ask.coming = ask.coming, b""
        ask.at = self.loop.now
        line = self.lines[ask.name]
        if not line.transport.closing:
            line.queue.append(ask)
            line.transport.feed(data)
        else:
            ask.left = self.loop.now  # its connection was closed before its last byte: it was never taken
            line.too_late = True

    async def _request(self, ask: Ask) -> None:
        may_have_run: bool | None = None
        content: Any = b"" if ask.effect == "safe" else b"ab"
        if content and self.rich and not self.setting.calm and self.choose("its body is there", "its body is made"):
            content = self._made(ask)
        ask.at = self.loop.now  # the turn of the loop in which it was made may have ended since
        try:
            answer = await self.gateway.request(
                ask.effect,
                request_id=ask.rid,
                deadline=ask.patience,
                body=content,
                headers=[("X-Ask", ask.name), ("TE", "trailers"), ("X-Extra", "e")],
                idempotency_key=f"k-{ask.rid}" if ask.effect == "keyed" else None,
            )
        except Refused as error:
            outcome, body, may_have_run = "refused", b"", error.may_have_run
            if not 0 < error.retry_after <= 2:
                self.story.wrong.append(f"{ask.name} is to come back in {error.retry_after} s")
        except DeadlineExceeded as error:
            outcome, body, may_have_run = "timed out", b"", error.may_have_run
        except Failed as error:
            outcome, body, may_have_run = "failed", b"", error.may_have_run
        except Conflict:
            outcome, body = "conflict", b""
        except GatewayError as error:
            outcome, body = type(error).__name__.lower(), b""
        else:
            outcome, body = "served", answer.body
            if answer.header("x-node") != "n":
                self.story.wrong.append(f"{ask.name} is served without its node's headers")
        self.tell(ask, outcome, body, may_have_run)

    async def _made(self, ask: Ask) -> Any:
        """A body that the application is still making."""
        yield b"a"
        making = self.bodies[ask.name] = self.loop.create_future()
        await making
        yield b"b"

    def tell(self, ask: Ask, outcome: str, body: bytes, may_have_run: bool | None = None) -> None:
        ask.told.append((self.loop.now, outcome, body))
        self.story.wrong += properties.telling(self, ask, outcome, body, may_have_run)

    def _leave(self, ask: Ask) -> None:
        if ask.beside:
            ask.left = self.loop.now
            self.tasks[ask.name].cancel()
            return
        line = self.lines[ask.name]
        for other in self.story.asks.values():
            if self.lines.get(other.name) is line and not other.told:
                other.left, other.coming = self.loop.now, b""
        line.queue.clear()
        line.transport.on_peer_data = void  # what it takes from now on answers nobody
        line.transport.end(bool(self.rich and self.choose("by a close", "by a reset")))

    def _read_on(self, line: Line) -> None:
        line.stopped = False
        if line.transport.unsent and not line.transport.lost:
            line.transport.drain()

    # -- nodes

    def _up(self, dial: Dial) -> None:
        dial.on_transport = self._attach
        dial.established.set_result(None)

    def _drain(self, transport: Transport) -> None:
        sent = next((s for s in reversed(self.story.sent) if s.transport is transport), None)
        if sent:
            self._became_whole(sent)
        transport.drain()

    def _reply(self, sent: Sent, what: str) -> None:
        answer = OK % (len(sent.rid), sent.rid.encode())
        sent.answered = True
        if cut := {"half of a 200": len(answer) - 3, "a part of a head": 10}.get(what):
            sent.answered, sent.half = False, answer[cut:]
            sent.served = sent.whole
            sent.transport.feed(answer[:cut])
            return
        sent.turned_away = what == "503, not run,"
        sent.served = "a 200" in what and sent.whole
        if what == "a 200, and a copy on its way,":
            sent.transport.unsolicited = answer
            sent.transport.unsolicited_by_s = self.loop.now + REUSE_DELAY_MS / 1000
        data = {
            "a 200": answer,
            "a 500": ERROR,
            "503, not run,": NOT_RUN,
            "noise": NOISE,
            "a 200 twice": answer + answer,
            "a 1xx and a 200": EARLY + answer,
            "a 1xx that closes, and a 200": EARLY_LAST + answer,
            "a 200 and a bit of a copy": answer + answer[:10],
        }.get(what, answer)
        if what in ("a 200 twice", "a 200 and a bit of a copy"):
            sent.transport.tainted = True
        if what == "a 200 and a bit of a copy":
            sent.transport.unsolicited, sent.transport.unsolicited_by_s = answer[10:], float("inf")
        sent.transport.feed(data)
        if what == "a 200 and a reset":
            sent.transport.end(True)

    def _answer(self, sent: Sent) -> None:
        """An answer of any kind, in any framing, cut anywhere."""

        def pick(*options: str) -> str:
            return options[self.choose(*options)]

        sorts = LONG if self.setting.long else tuple(s for s in SORTS if s != LONG[0])
        sort = CALM if self.setting.calm else SORTS[pick(*sorts)]
        kind, framing, end, cut, ahead = (pick(*part) if len(part) > 1 else part[0] for part in sort)
        made: Made = make(kind, framing, end, cut, ahead, sent.rid.encode())
        sent.ends = made.ends
        sent.half = made.rest
        sent.answered = not made.rest and not made.ends
        sent.turned_away = made.turned_away
        sent.served = made.served and sent.whole
        sent.transport.tainted = sent.transport.tainted or made.more or not made.readable
        sent.transport.feed(made.now)

    def _rest(self, sent: Sent) -> None:
        rest, sent.half = sent.half, b""
        sent.answered = not sent.ends
        sent.transport.feed(rest)

    @staticmethod
    def _part(sent: Sent) -> None:
        cut = len(sent.half) // 2
        part, sent.half = sent.half[:cut], sent.half[cut:]
        sent.transport.feed(part)

    def _fin(self, transport: Transport) -> None:
        sent = self.out(transport)
        if sent and sent.ends and not sent.half:
            sent.answered = True
        transport.end(False)

    def _noise(self, transport: Transport, read: bool) -> None:
        transport.tainted = True
        if read:
            transport.feed(NOISE)
        else:
            transport.unread = NOISE

    @staticmethod
    def _read(transport: Transport) -> None:
        data, transport.unread = transport.unread, b""
        transport.feed(data)

    @staticmethod
    def _copy(transport: Transport) -> None:
        transport.tainted = True
        data, transport.unsolicited = transport.unsolicited, b""
        transport.feed(data)

    def _die(self) -> None:
        """Its connections are reset, and new ones refused."""
        self.dead.add(0)
        for transport in self.transports:
            if transport.port == 1:
                transport.end(True)

    def _start_again(self) -> None:
        self.dead.discard(0)
        self.starts[0] += 1

    # -- the list

    def _list(self, health: str) -> None:
        self.turned += 1
        entry, now, story = self.hosts[0], self.loop.now, self.story

        def told() -> None:
            if health in ("Terminating", "Gone", "another address"):
                story.drained.setdefault(0, now)
            elif health != "the same again":
                story.drained.pop(0, None)
            if health == "started anew" and self.setting.cold:
                story.cold[0] = now, now + WARM_S

        change = dict(entry)
        if health == "another id":
            change["host"] = f"other{self.turned}"
        elif health == "started anew":
            change.update(born_ms=now * 1000, health="Ready")
        elif health == "another address":
            change["dial"] = f"127.0.0.1:{MOVED}"
        elif health == "Ready again":
            change.update(health="Ready", dial="127.0.0.1:1")
        elif health != "the same again":
            change["health"] = health
        old, self.hosts[0] = entry, change
        self.given.add(change["dial"])
        if not self.setting.listed:
            left = [h for h in self.hosts if h["health"] != "Gone"]
            told()
            self.node.discovery.replace({"hosts": left})  # type: ignore[union-attr]
            return
        lines = [change] if change["host"] == old["host"] else [{**old, "health": "Gone"}, change]
        data = json.dumps({"seq": self.turned + 1, "whole": False, "hosts": lines}).encode() + b"\n"
        watch = next((w for w in reversed(self.watches) if not w.closing), None)
        if watch is None:
            return  # whoever asks next is told
        cut = (len(data), len(data) // 2)[self.choose("a whole line", "half a line")]
        if cut == len(data):
            told()
        self.half_line = (data[cut:], told) if data[cut:] else None
        watch.feed(b"%x\r\n%b\r\n" % (cut, data[:cut]))

    def _line_rest(self) -> None:
        assert self.half_line
        (data, told), self.half_line = self.half_line, None
        for watch in self.watches:
            if not watch.closing:
                told()
                watch.feed(b"%x\r\n%b\r\n" % (len(data), data))

    def _watch_up(self, dial: Dial) -> None:
        def made(transport: Transport) -> None:
            self.watches.append(transport)
            transport.on_write = lambda t, data: void(self.loop.call_soon(self._watch_asked, t, data))

        self.half_line = None
        dial.on_transport = made
        dial.established.set_result(None)

    def _watch_asked(self, transport: Transport, data: bytes) -> None:
        """The whole list, as discovery may always answer."""
        left = [h for h in self.hosts if h["health"] != "Gone"]
        line = json.dumps({"seq": self.turned + 1, "whole": True, "hosts": left}).encode() + b"\n"
        if self.hosts[0]["health"] == "Ready" and self.hosts[0]["dial"].endswith(":1"):
            self.story.drained.pop(0, None)
        else:
            self.story.drained.setdefault(0, self.loop.now)
        if b"watch=1" in data:
            transport.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(line), line))
        else:
            transport.feed(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(line), line))

    def _reload(self) -> None:
        self.reloaded = True
        if self.setting.listed:
            self.node.apply_config(self.config._replace(discovery=("127.0.0.1", LIST_PORTS[1])))
        else:
            self.node.apply_config(
                self.config._replace(known={"hosts": [h for h in self.hosts if h["health"] != "Gone"]})
            )

    # -- the process

    def _moment(self) -> None:
        """A little more than a connection rests after an answer; what is due by then comes first."""
        until = self.loop.now + MOMENT_S
        while self.loop.timers and self.loop.timers[0][0] <= until:
            self.loop.fire()
        self.loop.now = until

    def _long(self) -> None:
        """All that is due meanwhile comes in its order; no peer does anything."""
        until = self.loop.now + properties.GRACE_S + 0.1
        while self.loop.timers and self.loop.timers[0][0] <= until:
            self.loop.fire()
            self.loop.settle()
            self.story.wrong += properties.always(self)
        self.loop.now = until

    def _run_out(self) -> None:
        self.scarce = True
        self.node.descriptors.limit = 0

    def _end(self) -> None:
        self.ended = True
        if self.setting.drains and self.face == "daemon":
            self.end_s = self.loop.now + server_module.DEFAULT_DRAIN_S
            self.sidecar.drain()
        else:
            self.end_s = self.loop.now + END_S
            self.engine.end_by(self.end_s * 1000)

    def at_work(self) -> bool:
        """Whether time alone can still bring something about: a timer is left, and something waits for one."""
        return bool(self.loop.timers) and bool(
            self.engine.requests
            or self.engine._policy_timers
            or any(c.attempt or c._stream for c in self.upstream._connections)
            or not all(t.done() for t in self.tasks.values())
            or any(d.port not in LIST_PORTS for d in self.loop.dials)
        )

    def rest(self) -> None:
        """Nothing new comes any more: clients read what they were sent, and half a request goes with its client."""
        if self.setting.calm:
            for _ in range(200):
                self.loop.settle()
                events = self.events()
                if not events:
                    return
                next(e for e in events if e[0] != "a moment passes" or len(events) == 1)[1]()
            self.story.wrong.append("a calm world never comes to rest")
        for ask in list(self.story.asks.values()):
            if ask.coming:
                self._leave(ask)
        for line in self.lines.values():
            self._read_on(line)


REPLIES = (
    "a 200",
    "a 500",
    "503, not run,",
    "noise",
    "half of a 200",
    "a 200 twice",
    "a 1xx and a 200",
    "a 200 and a reset",
    "a 1xx that closes, and a 200",
    "a part of a head",
    "a 200 and a bit of a copy",
    "a 200, and a copy on its way,",
)
LONG = ("one that is cut late", "one that serves")  # what matters of an answer that is passed on
COMMON = 8  # so many of them where every order is followed
