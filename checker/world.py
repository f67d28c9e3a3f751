"""Two nodes, three requests, one face: everything that may happen next, and what may never happen."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from functools import cache
from random import Random
from typing import Any

from gateusher import client as client_module
from gateusher import node as node_module
from gateusher.client import DeadlineExceeded, Gateway, GatewayError, Refused
from gateusher.config.file import parse
from gateusher.config.model import Config
from gateusher.listeners import http as listener_module
from gateusher.listeners.http import Client
from gateusher.upstream import http as upstream_module

from . import properties
from .loop import Select, Transport, VirtualLoop

RID = re.compile(rb"X-Request-Id: (\S+)", re.I)
EFFECTS = ("safe", "keyed", "unsafe")
CLASSES: dict[str, Any] = {
    "safe": {"effect": "safe", "aim": 0.4, "deadline": 1.0},
    "keyed": {"effect": "keyed", "aim": 0.4, "deadline": 1.0, "window": 0.3},
    "unsafe": {"effect": "unsafe", "aim": 0.4, "deadline": 1.0}}
OK = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
ERROR = b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
NOT_RUN = b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
EARLY = b"HTTP/1.1 103 X\r\n\r\n"
EARLY_LAST = b"HTTP/1.1 103 X\r\nConnection: close\r\n\r\n"
NOISE = b"\x01\x02\x03"


class Chooser:
    """Follows a prefix of choices and takes the first of each that comes after it; keeps the words of all."""

    def __init__(self, prefix: list[int]) -> None:
        self.prefix, self.made = prefix, list[tuple[int, int]]()
        self.words: list[str] = []
        self.resting = False   # the rest of a run, in which nothing is explored any more

    def __call__(self, *options: str) -> int:
        """Which of these happens, as its place among them."""
        if self.resting:
            return 0
        picked = self.pick(options)
        self.made.append((picked, len(options)))
        self.words.append(options[picked])
        return picked

    def pick(self, options: tuple[str, ...]) -> int:
        at = len(self.made)
        picked = self.prefix[at] if at < len(self.prefix) else 0
        assert picked < len(options), "the prefix does not fit: a run was not played alike twice"
        return picked


class Ordered(Chooser):
    """One of every order, in turn."""


class Walk(Chooser):
    """Goes a way of its own, the same for the same seed."""

    def __init__(self, seed: int) -> None:
        super().__init__([])
        self._rng = Random(seed)

    def pick(self, options: tuple[str, ...]) -> int:
        return self._rng.randrange(len(options))


class Script(Chooser):
    """Follows a story in words.  What the story leaves out goes the first way."""

    def __init__(self, story: list[str]) -> None:
        super().__init__([])
        self.left = list(story)

    def pick(self, options: tuple[str, ...]) -> int:
        if self.left and self.left[0] in options:
            return options.index(self.left.pop(0))
        return 0


class Coins:
    """The policy's random numbers: low or high where a member is drawn, the middle elsewhere."""

    def __init__(self, choose: Chooser) -> None:
        self._choose = choose

    def draw(self) -> float:
        return (0.02, 0.98)[self._choose("the draw is low", "the draw is high")]


@dataclass
class Sent:
    """One sending of a request, as its node sees it."""

    rid: str
    node: int
    at: float
    transport: Transport
    whole: bool = False       # its last byte has come: it may run
    answered: bool = False
    turned_away: bool = False
    half: bytes = b""         # the rest of an answer that has begun

    @property
    def may_have_run(self) -> bool:
        return self.whole and not self.turned_away


@dataclass
class Story:
    """What has happened, for the properties."""

    sent: list[Sent] = field(default_factory=list)
    told: dict[str, list[tuple[float, str, bytes]]] = field(default_factory=dict)  # answers, by id
    left: dict[str, float] = field(default_factory=dict)
    asked: dict[str, float] = field(default_factory=dict)
    drained: dict[int, float] = field(default_factory=dict)   # since when the list says so
    sends: dict[tuple[int, int], int] = field(default_factory=dict)   # outcomes heard of each send of the module
    wrong: list[str] = field(default_factory=list)


class Clock:
    """The core's clock on the virtual loop."""

    loop: VirtualLoop

    def now(self) -> float:
        return self.loop.now * 1000.0


class Time:
    """Stands for the module `time` in the library."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.monotonic = loop.time


class Door:
    """Stands for the listener: what a client connection asks of it."""

    draining = False

    def __init__(self, world: World) -> None:
        node = world.node
        self.loop, self.engine, self.memory, self.names = world.loop, node.engine, node.memory, node.config.names

    def lost(self, client: Client) -> None: ...


# What a world stands in for, and puts back when it is closed.
PATCHED = ((node_module, "Clock"), (client_module, "time"), (upstream_module, "select"), (upstream_module, "say"),
           (listener_module, "select"))


@cache
def configuration(nodes: int) -> Config:
    return parse({"classes": CLASSES, "seed": 1, "limits": {"max_attempts": 3, "margin": 0.0, "idle": 120.0},
                  "nodes": [{"name": f"n{i}", "address": f"127.0.0.1:{i + 1}"} for i in range(nodes)]})


class World:
    """One execution.  `face` is "library" or "daemon"."""

    def __init__(self, choose: Chooser, face: str, effects: tuple[str, ...], nodes: int = 2,
                 rich: bool = True) -> None:
        self.rich = rich   # also what multiplies the orders too much for following each
        self.choose, self.face, self.effects, self.count = choose, face, effects, nodes
        self.loop, self.story = VirtualLoop(), Story()
        self.transports: list[Transport] = []
        self.health = ["Ready"] * nodes
        self.ended = self.turned = self.scarce = False
        self.end_s = float("inf")   # when the process ends, and all that is open with it
        self.tasks: dict[str, asyncio.Task[Any]] = {}
        self.doors: dict[str, Transport] = {}
        asyncio._set_running_loop(self.loop)
        self._real = [(module, name, getattr(module, name)) for module, name in PATCHED]
        clock = type("_Clock", (Clock,), {"loop": self.loop})
        node_module.Clock = clock  # type: ignore[misc, assignment]
        client_module.time = Time(self.loop)  # type: ignore[assignment]
        upstream_module.say = lambda what, why: None  # the same line ten thousand times a second helps nobody
        upstream_module.select = listener_module.select = Select  # type: ignore[assignment]
        self.gateway = Gateway(configuration(nodes))
        with suppress(StopIteration):
            self.gateway.start().send(None)
        assert self.gateway._node
        self.node = self.gateway._node
        self.node._sweeping.cancel()
        self._watch_module()
        if face == "daemon":
            self.door = Door(self)

    def close(self) -> None:
        for task in self.tasks.values():
            task.cancel()
        self.loop.settle()
        asyncio._set_running_loop(None)
        for module, name, value in self._real:
            setattr(module, name, value)

    # -- eyes

    def _watch_module(self) -> None:
        balancer = self.node.engine._balancer
        coins = Coins(self.choose)
        drawing = [False]
        balancer.rnd = lambda: coins.draw() if drawing[0] else 0.5
        draw, handle, story = balancer._draw, balancer.handle, self.story

        def drawn() -> Any:
            drawing[0] = True
            try:
                return draw()
            finally:
                drawing[0] = False

        tries: dict[int, int] = {}

        def handled(now: float, event: Any) -> Any:
            if type(event).__name__ == "AttemptEnded":
                key = (event.request, event.attempt)
                if key not in story.sends:
                    story.wrong.append(f"the module hears an outcome of {key}, which it never sent")
                else:
                    story.sends[key] += 1
            actions = handle(now, event)
            for action in actions:
                if type(action).__name__ == "Send":
                    number = tries.get(action.request, 0)
                    tries[action.request] = number + 1
                    story.sends[action.request, number] = 0
            return actions

        balancer._draw = drawn  # type: ignore[method-assign]
        balancer.handle = handled  # type: ignore[method-assign]

    def _attach(self, transport: Transport) -> None:
        self.transports.append(transport)
        transport.wrote, transport.takes = self._wrote, self._takes

    def _takes(self, transport: Transport, data: bytes) -> int:
        """The kernel takes all of a write, or a part of it."""
        taken = (len(data), len(data) // 2)[self.choose("the kernel takes all of it", "the kernel takes half of it")]
        sent = self.story.sent[-1]
        sent.whole = taken == len(data)
        return taken

    def _wrote(self, transport: Transport, data: bytes) -> None:
        found = RID.search(data)
        assert found
        rid = found[1].decode()
        sent = Sent(rid, transport.port - 1, self.loop.now, transport)
        self.story.wrong += properties.sending(self, sent)
        self.story.sent.append(sent)

    def call(self, rid: str) -> Any:
        return next((c for c in self.node.engine.calls.values() if c.name == rid.encode()), None)

    # -- hands: what may happen next

    def events(self) -> list[tuple[str, Callable[[], None]]]:
        """Each possible event: its words, and what brings it about."""
        found: list[tuple[str, Callable[[], None]]] = []
        asked = len(self.story.asked)
        if asked < len(self.effects):
            found.append((f"{self.rid(asked)} comes", lambda: self._ask(asked)))
        for rid in self.story.asked:
            if rid not in self.story.told and rid not in self.story.left:
                found.append((f"{rid}'s client leaves", lambda rid=rid: self._leave(rid)))
        coming = [d for d in self.loop.dials if not d.up.done()]
        for at, dial in enumerate(coming):
            before = sum(d.port == dial.port for d in coming[:at])
            where = f"{('a', 'another', 'a third')[min(2, before)]} connection to n{dial.port - 1}"
            found.append((f"{where} comes up", lambda d=dial: self._up(d)))
            found.append((f"{where} is refused", lambda d=dial: d.up.set_exception(ConnectionRefusedError())))
        for at, transport in enumerate(self.transports):
            if transport.closing:
                continue
            name = f"connection {at} (n{transport.port - 1})"
            sent = self.out(transport)
            if transport.held:
                found.append((f"the rest is written on {name}", lambda t=transport: self._drain(t)))
            if sent and sent.half:
                found.append((f"the rest of the answer comes on {name}", lambda s=sent: self._rest(s)))
            elif sent and sent.whole:
                found += [(f"{what} comes on {name}", lambda s=sent, w=what: self._reply(s, w))
                          for what in REPLIES[:None if self.rich else COMMON]]
            elif sent:
                found += [(f"{what} comes early on {name}", lambda s=sent, w=what: self._reply(s, w))
                          for what in ("503, not run,", "a 200")]
            if transport.coming:
                found.append((f"the copy's rest comes on {name}", lambda t=transport: self._copy(t)))
            if transport.unread:
                found.append((f"what has arrived is read on {name}", lambda t=transport: self._read(t)))
            elif not sent:
                found.append((f"noise comes on {name}", lambda t=transport: self._noise(t, True)))
                if self.rich:
                    found.append((f"noise arrives, unread, on {name}", lambda t=transport: self._noise(t, False)))
            found.append((f"{name} is reset", lambda t=transport: t.end(True)))
        found += self._list_events()
        if self.loop.timers:
            found.append(("time passes to the next timer", self.loop.fire))
        if self.rich and not self.scarce and self.story.asked:
            found.append(("descriptors run out", self._run_out))
        if not self.ended and self.story.asked:
            found.append(("the process is told to end", self._end))
        return found

    def _list_events(self) -> list[tuple[str, Callable[[], None]]]:
        if self.turned or not self.story.asked:
            return []
        return [(f"the list says {health} of n0", lambda h=health: self._list(h))  # type: ignore[misc]
                for health in ("Terminating", "Gone", "another id")]

    def rid(self, at: int) -> str:
        return f"{self.effects[at]}-{at}"

    def out(self, transport: Transport) -> Sent | None:
        """What is unanswered on a connection."""
        last = next((s for s in reversed(self.story.sent) if s.transport is transport), None)
        return last if last and not last.answered else None

    def _ask(self, at: int) -> None:
        rid, effect = self.rid(at), self.effects[at]
        self.story.asked[rid] = self.loop.now
        if self.face == "library":
            self.tasks[rid] = self.loop.create_task(self._request(rid, effect))
            return
        client = Client(self.door)  # type: ignore[arg-type]
        door = self.doors[rid] = Transport(self.loop, client, 0)
        door.wrote = lambda transport, data: self._answered(rid, data)
        client.connection_made(door)  # type: ignore[arg-type]
        key = f"Idempotency-Key: k{at}\r\n" if effect == "keyed" else ""
        method, length = ("GET", "") if effect == "safe" else ("POST", "Content-Length: 2\r\n")
        door.feed(f"{method} /{effect} HTTP/1.1\r\nHost: o\r\nX-Request-Id: {rid}\r\nX-Deadline: 1.0\r\n{key}{length}"
                  "\r\n".encode() + (b"ab" if length else b""))

    def _answered(self, rid: str, data: bytes) -> None:
        head, _, body = data.partition(b"\r\n\r\n")
        status = int(head.split()[1])
        kinds = {200: "served", 503: "refused", 504: "timed out", 502: "failed"}
        self.tell(rid, kinds.get(status, str(status)), body)

    async def _request(self, rid: str, effect: str) -> None:
        try:
            answer = await self.gateway.request(
                effect, request_id=rid, deadline=1.0, body=b"" if effect == "safe" else b"ab",
                idempotency_key=f"k-{rid}" if effect == "keyed" else None)
            self.tell(rid, "served", answer.body)
        except Refused:
            self.tell(rid, "refused", b"")
        except DeadlineExceeded:
            self.tell(rid, "timed out", b"")
        except GatewayError as error:
            self.tell(rid, type(error).__name__.lower(), b"")

    def tell(self, rid: str, outcome: str, body: bytes) -> None:
        self.story.told.setdefault(rid, []).append((self.loop.now, outcome, body))
        self.story.wrong += properties.telling(self, rid, outcome, body)

    def _leave(self, rid: str) -> None:
        self.story.left[rid] = self.loop.now
        if self.face == "library":
            self.tasks[rid].cancel()
        else:
            self.doors[rid].end(False)

    def _up(self, dial: Any) -> None:
        dial.made = self._attach
        dial.up.set_result(None)

    def _drain(self, transport: Transport) -> None:
        sent = self.out(transport)
        if sent:
            sent.whole = True
        transport.drain()

    def _reply(self, sent: Sent, what: str) -> None:
        answer = OK % (len(sent.rid), sent.rid.encode())
        sent.answered = True
        if cut := {"half of a 200": 40, "a part of a head": 10}.get(what):
            sent.answered, sent.half = False, answer[cut:]
            sent.transport.feed(answer[:cut])
            return
        sent.turned_away = what == "503, not run,"
        data = {"a 200": answer, "a 500": ERROR, "503, not run,": NOT_RUN, "noise": NOISE,
                "a 200 twice": answer + answer, "a 1xx and a 200": EARLY + answer,
                "a 1xx that closes, and a 200": EARLY_LAST + answer,
                "a 200 and a bit of a copy": answer + answer[:10]}.get(what, answer)
        if what in ("a 200 twice", "a 200 and a bit of a copy"):
            sent.transport.tainted = True
        if what == "a 200 and a bit of a copy":
            sent.transport.coming = answer[10:]
        sent.transport.feed(data)
        if what == "a 200 and a reset":
            sent.transport.end(True)

    def _rest(self, sent: Sent) -> None:
        sent.answered, rest, sent.half = True, sent.half, b""
        sent.transport.feed(rest)

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
        data, transport.coming = transport.coming, b""
        transport.feed(data)

    def _list(self, health: str) -> None:
        self.turned = True
        self.story.drained[0] = self.loop.now
        hosts = [dict(h) for h in self.node.config.known["hosts"]]
        if health == "another id":
            hosts[0]["host"] = "other"
            del self.story.drained[0]
        elif health == "Gone":
            del hosts[0]
        else:
            hosts[0]["health"] = health
        self.node.discovery.replace({"hosts": hosts})  # type: ignore[union-attr]

    def _run_out(self) -> None:
        self.scarce = True
        self.node.descriptors.most = 0

    def _end(self) -> None:
        self.ended, self.end_s = True, self.loop.now + 0.5
        self.node.engine.end_by(self.end_s * 1000)


REPLIES = ("a 200", "a 500", "503, not run,", "noise", "half of a 200", "a 200 twice", "a 1xx and a 200",
           "a 200 and a reset", "a 1xx that closes, and a 200", "a part of a head",
           "a 200 and a bit of a copy")
COMMON = 8           # so many of them where every order is followed
