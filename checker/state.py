"""The canonical form of a world: worlds of one form behave alike from here on.

All that decides what can happen is in it, with times relative to now; what can't matter any more is not: a connection
that is gone, what was learnt where nobody will ask again.  It is no proof by itself that nothing was forgotten:
`levels.audit` plays on from two ways to one form and compares what comes of them.
"""

from __future__ import annotations

import asyncio
import hashlib
import marshal
from dataclasses import fields
from enum import Enum
from typing import Any

from gateusher.core.engine import ClientRequest
from gateusher.listeners.client_connection import ClientConnection
from gateusher.policy.records import Lane, Server
from gateusher.upstream.http import SETTLE_MS, Connection
from gateusher.upstream.interface import Attempt
from gateusher.virtual.loop import Transport

from .properties import GRACE_S
from .story import Ask, Sent
from .world import World

FAR_MS = 1e5  # beyond that no difference of two times matters to anybody
PAST_S = -GRACE_S - 0.1  # nor how long ago a grace was over
_TIMES = frozenset(
    {
        "load_at",
        "slow_at",
        "quiet_at",
        "served_sent",
        "heard_at",
        "used_at",
        "struck_at",
        "down_at",
        "out_until",
        "cold_from",
        "warm_at",
        "credit_at",
        "sent_at",
        "barred_at",
    }
)
_SERVER = [f.name for f in fields(Server) if f.name not in ("eid", "info", "lanes", "level", "pos")]
# What tells of an endpoint only which of several is the better one.  Where one request is left, that matters to
# nothing: the draw may give each of them alone, and what its answer teaches comes too late for anybody.
_BETTER = ("load", "load_at", "slow", "slow_at", "used_at")
_FEW = [n for n in _SERVER if n not in _BETTER]
_LANE = [f.name for f in fields(Lane)]


def canonical(world: World) -> int:
    """The state as a number of 64 bits, the same in every process and run."""
    form = marshal.dumps(_form(world), 2)  # version 2: later ones tell whether two equal texts are one object
    return int.from_bytes(hashlib.blake2b(form, digest_size=8).digest(), "big")


def _form(world: World) -> Any:  # noqa: PLR0915 - one small function a kind of record
    now_s = world.loop.now
    now = now_s * 1000

    def since(t: float) -> float:
        return round(max(-FAR_MS, min(FAR_MS, t - now)), 1) + 0.0  # no -0.0

    def since_s(t: float) -> float:
        return since(t * 1000)

    engine, upstream, balancer = world.node.engine, world.node.upstream, world.balancer
    story = world.story
    live = [c for c in world.conns if c in upstream._conns or c.attempt or (c._transport and not c._transport.lost)]  # type: ignore[attr-defined]
    number: dict[int, int] = {id(c): i for i, c in enumerate(live)}
    names = {h.eid: h.name for h in upstream._hosts.values()}

    def ref(x: Any, depth: int = 3) -> Any:
        """Which one of the objects that the form tells of this is."""
        if x is None or isinstance(x, bool | int | str | bytes):
            return x
        if isinstance(x, float):
            return round(x, 3) + 0.0
        if isinstance(x, Connection):
            return "connection", number.get(id(x), -1)
        if isinstance(x, Transport):
            return "transport", ref(x.protocol)
        if isinstance(x, ClientConnection):
            return "client", next((n for n, line in world.lines.items() if line.transport.protocol is x), "")
        if isinstance(x, ClientRequest):
            return "call", x.request_id
        if isinstance(x, Attempt):
            return "attempt", getattr(getattr(x, "call", None), "request_id", b""), getattr(x, "number", -1), x.state
        if isinstance(x, Enum):
            return x.name
        if isinstance(x, asyncio.Task):
            return "task", next((n for n, t in world.tasks.items() if t is x), ""), _where(x), ref(_locals(x), depth)
        if isinstance(x, tuple | list):
            return tuple(ref(e, depth - 1) for e in x) if depth else len(x)
        if isinstance(x, dict):
            return tuple((k, ref(v, depth - 1)) for k, v in x.items()) if depth else len(x)
        if isinstance(x, BaseException):
            return type(x).__name__
        owner = getattr(x, "__self__", None)
        if owner is not None:
            return getattr(x, "__qualname__", ""), ref(owner, depth)
        if cells := getattr(x, "__closure__", None):
            return x.__qualname__, tuple(ref(c.cell_contents, depth - 1) for c in cells) if depth else ()
        if isinstance(x, asyncio.Timeout):
            return "timeout", ref(x._task, depth)  # type: ignore[attr-defined]
        return getattr(x, "__qualname__", type(x).__name__)

    def handle(h: asyncio.Handle) -> Any:
        return ref(h._callback), ref(h._args)  # type: ignore[attr-defined]

    to_come = (
        len(world.effects)
        - sum(not a.extra for a in story.asks.values())
        + sum(a.left is None and not a.told and not world.call(a) for a in story.asks.values())
    )
    quiet = not (balancer.work or engine.requests or to_come or world.setting.probes)
    last = to_come + len(engine.requests) <= 1 and not world.setting.probes and not world.setting.cold

    def record(of: Any, names: list[str]) -> Any:
        return tuple(
            since(v) if n in _TIMES else round(v, 3) + 0.0 if isinstance(v, float) else v
            for n in names
            for v in (getattr(of, n),)
        )

    def server(s: Server) -> Any:
        if quiet:  # nobody will be chosen again, whatever was learnt
            return names.get(s.eid), s.ready
        return (
            names.get(s.eid),
            record(s, _FEW if last else _SERVER),
            tuple((cls, record(lane, _LANE)) for cls, lane in sorted(s.lanes.items())),
        )

    def conn(c: Connection) -> Any:
        t = c._transport
        sent = world.out(t) if t else None  # type: ignore[arg-type]
        rests = since(c.idle_since) if c.state == "quiet" else 0.0
        if c.state == "closed" and not c.attempt:
            return c.host.name, t and transport(t)  # type: ignore[arg-type]
        return (
            c.host.name,
            c.state,
            c.born_ms == c.host.born_ms,
            c.where == (c.host.ip, c.host.port),
            c._blocked,
            c._status,
            c._length,
            c._head_size,
            c._framed,
            c._not_run,
            c._keep,
            c._closes,
            c._early,
            c._long,
            c._chunked,
            c._size,
            len(c._headers),
            ref(c.attempt),
            c.dial is not None,
            max(-SETTLE_MS - 1, rests),
            since(c._begun_ms) if c.state in ("begun", "headed") else 0.0,
            t and transport(t),  # type: ignore[arg-type]
            sent and story_of(sent),
        )

    def transport(t: Transport) -> Any:
        return (
            t.port,
            t.closing,
            t.lost,
            t.flushing,
            len(t.held),
            t.unread,
            t.coming,
            t.coming_by > now_s,
            t.tainted,
            t.paused,
            tuple(t.waiting),
            t.ended,
        )

    def story_of(s: Sent) -> Any:
        at = since_s(s.at) if s.ask and s.ask.effect == "keyed" else 0.0
        if s.transport.closing:
            return s.node, s.may_have_run, s.served, at
        return s.rid, s.node, s.whole, s.answered, s.turned_away, s.served, len(s.half), s.ends, at

    def line(name: str, ask: Ask) -> Any:
        at = world.lines.get(name)
        if at is None:
            return None
        c, t = at.transport.protocol, at.transport
        if t.lost:
            return at.name, at.broken is ask, at.too_late
        return (
            at.name,
            at.stopped,
            at.too_late,
            at._begun,
            tuple(a.name for a in at.queue),
            transport(t),
            c._write_blocked,
            c._discards_input,
            c._has_begun_request,
            c._unread_input.has_received_request,
            c._closing,
            c._parser.in_head,
            c._parser.in_request,
            c._parser._unfinished_head_bytes,
            c._parser.body_bytes,
            len(c._buffered_body),
            tuple((a.state, a.unwritten_response is not None, a.keep_alive) for a in c._unanswered),
        )

    def asked(ask: Ask) -> Any:
        call = world.call(ask)
        sent = tuple(story_of(s) for s in story.of(ask)) if call or ask.open or ask.beside else ()
        making = world.bodies.get(ask.name)
        return (
            ask.name,
            ask.at is not None,
            bool(ask.told),
            ask.left is not None,
            ask.coming,
            ask.beside,
            making is not None and not making.done(),
            ask.name in world.taken,
            call is not None,
            since_s(ask.at) if ask.open and ask.at is not None else 0.0,
            sent,
            line(ask.name, ask),
            len(story.settled.get(ask.rid, ())),
            ask.name in world.tasks and world.tasks[ask.name].done(),
        )

    def attempt(a: Any) -> Any:
        return (
            a.number,
            names.get(a.endpoint_id),
            a.state,
            since(a.sent_ms),
            since(a.expires_ms),
            since(a.write_by_ms),
            since(a.response_deadline_ms),
            ref(a.connection),
            a.host is not None and a.host.heard_ms < a.sent_ms,
        )

    calls = tuple(
        (
            c.request_id,
            c.state,
            c.attempts_made,
            c.max_attempts,
            c.attempt_may_have_run,
            c.served,
            c.last_outcome.name,
            since(c.deadline_ms),
            since(c.write_by_ms),
            tuple(attempt(a) for _, a in sorted(c.attempts.items())),
        )
        for c in engine.requests.values()
    )
    # By request, not by the number that the core gave it: what came first is told by the calls.
    works = tuple(
        (
            getattr(engine.requests.get(w.rid), "request_id", b""),
            w.out,
            w.maybe_ran,
            w.ended,
            w.round,
            w.held,
            since(w.began),
            since(w.give_up),
            w.most,
            round(w.span, 1),
            w.home and names.get(w.home.eid),
            since(w.home_at) if w.home else 0.0,
            tuple((names.get(s.eid), since(t), 0.0 if last else round(load, 2)) for s, t, load in w.sent),
        )
        for w in balancer.work.values()
    )
    learnt: Any = ()
    if not quiet:
        learnt = (
            round(balancer.full, 3),
            round(balancer.late, 3),
            tuple(sorted(balancer.once)),
            round(balancer.room, 3),
            tuple(round(t, 1) for t in balancer.target),
            tuple(round(t, 1) for t in balancer.service),
            tuple(round(m, 3) for m in balancer.mix),
        )
    if not last:
        learnt += (
            since(balancer.room_at),
            round(balancer.rate, 6),
            since(balancer.rate_at),
            round(balancer.mean_load, 3),
            tuple(balancer.count),
            tuple(tuple(round(f, 3) for f in row) for row in balancer.fit),
        )
    return (
        calls,
        works,
        learnt,
        tuple(server(s) for s in balancer.servers.values()),
        tuple(asked(a) for a in story.asks.values()),
        tuple(
            (
                h.name,
                h.port,
                h.ready,
                h.heard_ms >= now,
                since(h.born_ms),
                tuple(number.get(id(c), -1) for c in h.idle),
            )
            for h in upstream._hosts.values()
        ),
        tuple(conn(c) for c in live),
        tuple((d.port, d.up.done()) for d in world.loop.dials),
        tuple(handle(h) for h in world.loop.ready if not h.cancelled()),
        tuple((since_s(t), handle(h)) for t, _, h in sorted(world.loop.timers, key=lambda e: e[:2])),
        tuple((n, max(PAST_S * 1000, since_s(t))) for n, t in sorted(story.drained.items())),
        tuple((n, since_s(until)) for n, (_, until) in sorted(story.cold.items())),
        since(engine._latest),
        len(engine._timers),
        len(engine._names),
        since_s(world.end_s),
        world.ended,
        world.scarce,
        world.again,
        world.turned,
        world.reloaded,
        tuple(sorted(world.dead)),
        tuple(world.starts),
        tuple(h["health"] + h["host"] for h in world.hosts),
        world.node.descriptors.used,
        world.node.memory.in_use,
    )


def _where(task: asyncio.Task[Any]) -> Any:
    """The line at which each coroutine of a task waits."""
    found: list[Any] = []
    coro: Any = task.get_coro()
    while (frame := getattr(coro, "cr_frame", None)) is not None:
        found.append((frame.f_code.co_name, frame.f_lineno, frame.f_lasti))
        coro = coro.cr_await
    return tuple(found)


def _locals(task: asyncio.Task[Any]) -> Any:
    """The connection that a dial is for."""
    frame = getattr(task.get_coro(), "cr_frame", None)
    return frame.f_locals.get("conn") if frame else None
