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

from gateusher.core.requests import ClientRequest
from gateusher.listeners.client_connection import ClientConnection
from gateusher.policy.records import ClassHealth, EndpointRecord
from gateusher.upstream.connection import Connection
from gateusher.upstream.interface import Attempt
from gateusher.upstream.pool import REUSE_DELAY_MS
from gateusher.virtual.loop import Transport

from .history import AttemptRecord, RequestRecord
from .properties import DRAIN_GRACE_S
from .world import World

FAR_MS = 1e5  # beyond that no difference of two times matters to anybody
PAST_S = -DRAIN_GRACE_S - 0.1  # nor how long ago a grace was over
_TIMES = frozenset(
    {
        "reported_at_ms",
        "slowness_at_ms",
        "silent_since_ms",
        "last_served_sent_at_ms",
        "last_response_at_ms",
        "connection_used_at_ms",
        "last_failure_at_ms",
        "first_failure_at_ms",
        "ejected_until_ms",
        "slow_start_from_ms",
        "slow_start_until_ms",
        "slow_start_credit_at_ms",
        "last_failed_sent_at_ms",
        "ejected_at_ms",
    }
)
_NO_STATE = ("endpoint_id", "entry", "class_health", "bucket", "bucket_position")
_ENDPOINT = [f.name for f in fields(EndpointRecord) if f.name not in _NO_STATE]
# What tells of an endpoint only which of several is the better one.  Where one request is left, that matters to
# nothing: the draw may give each of them alone, and what its answer teaches comes too late for anybody.
_BETTER = ("reported_load", "reported_at_ms", "slowness", "slowness_at_ms", "connection_used_at_ms")
_FEW = [n for n in _ENDPOINT if n not in _BETTER]
_CLASS_HEALTH = [f.name for f in fields(ClassHealth)]


def canonical(world: World) -> int:
    """The state as a number of 64 bits, the same in every process and run."""
    form = marshal.dumps(_state(world), 2)  # version 2: later ones tell whether two equal texts are one object
    return int.from_bytes(hashlib.blake2b(form, digest_size=8).digest(), "big")


def _state(world: World) -> Any:  # noqa: PLR0915 - one small function a kind of record
    now_s = world.loop.now
    now = now_s * 1000

    def since(t: float) -> float:
        return round(max(-FAR_MS, min(FAR_MS, t - now)), 1) + 0.0  # no -0.0

    def since_s(t: float) -> float:
        return since(t * 1000)

    engine, upstream, balancer = world.node.engine, world.node.upstream, world.balancer
    history = world.history
    live = [
        c
        for c in world.dialed
        if c in upstream._connections or c.attempt or (c._transport and not c._transport.lost)  # type: ignore[attr-defined]
    ]
    number: dict[int, int] = {id(c): i for i, c in enumerate(live)}
    names = {h.endpoint_id: h.name for h in upstream._endpoints.values()}

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
            return "client", next(
                (n for n, line in world.daemon_connections.items() if line.transport.protocol is x), ""
            )
        if isinstance(x, ClientRequest):
            return "call", x.request_id
        if isinstance(x, Attempt):
            return (
                "attempt",
                getattr(getattr(x, "request", None), "request_id", b""),
                getattr(x, "number", -1),
                x.state,
            )
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
        - sum(not a.extra for a in history.requests.values())
        + sum(
            a.disconnected_at is None and not a.outcomes and not world.core_request(a)
            for a in history.requests.values()
        )
    )
    quiet = not (balancer.requests.pending or engine.requests or to_come or world.setting.load_report_polls)
    last = (
        to_come + len(engine.requests) <= 1 and not world.setting.load_report_polls and not world.setting.slow_start
    )

    def record(of: Any, names: list[str]) -> Any:
        return tuple(
            since(v) if n in _TIMES else round(v, 3) + 0.0 if isinstance(v, float) else v
            for n in names
            for v in (getattr(of, n),)
        )

    def server(s: EndpointRecord) -> Any:
        if quiet:  # nobody will be chosen again, whatever was learnt
            return names.get(s.endpoint_id), s.ready
        return (
            names.get(s.endpoint_id),
            record(s, _FEW if last else _ENDPOINT),
            tuple((cls, record(health, _CLASS_HEALTH)) for cls, health in sorted(s.class_health.items())),
        )

    def conn(c: Connection) -> Any:
        t = c._transport
        attempt = world.unanswered_attempt(t) if t else None  # type: ignore[arg-type]
        rests = since(c.idle_since_ms) if c.state == "idle" else 0.0
        if c.state == "closed" and not c.attempt:
            return c.endpoint.name, t and transport(t)  # type: ignore[arg-type]
        return (
            c.endpoint.name,
            c.state,
            c.endpoint_started_ms == c.endpoint.started_ms,
            c.address == c.endpoint.address,
            c._write_is_paused,
            c._response.status,
            c._response.content_length,
            c._response.head_bytes,
            c._response.is_delimited,
            c._response._not_executed,
            c._response.keep_alive,
            c._response.closes_connection,
            c._response._began_early,
            c._response.exceeds_buffer,
            c._response.is_chunked,
            c._response.body_bytes,
            len(c._response._headers),
            ref(c.attempt),
            c.dial_task is not None,
            max(-REUSE_DELAY_MS - 1, rests),
            since(c._response.started_ms) if c.state in ("reading head", "reading body") else 0.0,
            t and transport(t),  # type: ignore[arg-type]
            attempt and story_of(attempt),
        )

    def transport(t: Transport) -> Any:
        return (
            t.port,
            t.closing,
            t.lost,
            t.flushing,
            len(t.unsent),
            t.unread,
            t.unsolicited,
            t.unsolicited_by_s > now_s,
            t.tainted,
            t.paused,
            tuple(t.paused_input),
            t.paused_end,
        )

    def story_of(s: AttemptRecord) -> Any:
        at = since_s(s.sent_at) if s.request and s.request.effect == "keyed" else 0.0
        if s.transport.closing:
            return s.node, s.may_have_run, s.served, at
        return (
            s.request_name,
            s.node,
            s.fully_sent,
            s.answered,
            s.rejected,
            s.served,
            len(s.rest_of_response),
            s.ends_at_close,
            at,
        )

    def line(name: str, request: RequestRecord) -> Any:
        at = world.daemon_connections.get(name)
        if at is None:
            return None
        c, t = at.transport.protocol, at.transport
        if t.lost:
            return at.name, at.truncated_request is request, at.sent_after_close
        return (
            at.name,
            at.stopped_reading,
            at.sent_after_close,
            at._response_begun,
            tuple(a.name for a in at.unanswered),
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

    def asked(request: RequestRecord) -> Any:
        call = world.core_request(request)
        attempt = (
            tuple(story_of(s) for s in history.attempts_of(request))
            if call or request.is_open or request.via_library
            else ()
        )
        making = world.pending_bodies.get(request.name)
        return (
            request.name,
            request.submitted_at is not None,
            bool(request.outcomes),
            request.disconnected_at is not None,
            request.unsent,
            request.via_library,
            making is not None and not making.done(),
            request.name in world.accepted,
            call is not None,
            since_s(request.submitted_at) if request.is_open and request.submitted_at is not None else 0.0,
            attempt,
            line(request.name, request),
            len(history.settled.get(request.request_id, ())),
            request.name in world.tasks and world.tasks[request.name].done(),
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
            a.host is not None and a.host.last_received_ms < a.sent_ms,
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
            getattr(engine.requests.get(w.request_id), "request_id", b""),
            w.in_flight,
            w.may_have_run,
            w.ended,
            w.round_start,
            w.attempts_at_backoff,
            since(w.started_at_ms),
            since(w.deadline_ms),
            w.max_attempts,
            round(w.time_limit_ms, 1),
            w.first_execution_endpoint and names.get(w.first_execution_endpoint.endpoint_id),
            since(w.first_execution_sent_ms) if w.first_execution_endpoint else 0.0,
            tuple((names.get(s.endpoint_id), since(t), 0.0 if last else round(load, 2)) for s, t, load in w.attempts),
        )
        for w in balancer.requests.pending.values()
    )
    learnt: Any = ()
    if not quiet:
        learnt = (
            round(balancer.admission.rejection_rate, 3),
            round(balancer.admission.timeout_rate, 3),
            tuple(sorted(balancer.context.never_repeat)),
            round(balancer.admission.admitted_share, 3),
            tuple(round(t, 1) for t in balancer.estimates.latency_target_ms),
            tuple(round(t, 1) for t in balancer.estimates.service_time_ms),
            tuple(round(m, 3) for m in balancer.admission.class_mix),
        )
    if not last:
        learnt += (
            since(balancer.admission.share_updated_at_ms),
            round(balancer.estimates.request_rate_per_ms, 6),
            since(balancer.estimates.rate_updated_at_ms),
            round(balancer.estimates.mean_load, 3),
            tuple(balancer.estimates.samples),
            tuple(tuple(round(f, 3) for f in row) for row in balancer.estimates.kind_slowness),
        )
    return (
        calls,
        works,
        learnt,
        tuple(server(s) for s in balancer.endpoint_list.endpoints.values()),
        tuple(asked(a) for a in history.requests.values()),
        tuple(
            (
                h.name,
                h.port,
                h.ready,
                h.last_received_ms >= now,
                since(h.started_ms),
                tuple(number.get(id(c), -1) for c in h.idle),
            )
            for h in upstream._endpoints.values()
        ),
        tuple(conn(c) for c in live),
        tuple((d.port, d.established.done()) for d in world.loop.dials),
        tuple(handle(h) for h in world.loop.ready if not h.cancelled()),
        tuple((since_s(t), handle(h)) for t, _, h in sorted(world.loop.timers, key=lambda e: e[:2])),
        tuple((n, max(PAST_S * 1000, since_s(t))) for n, t in sorted(history.draining_since.items())),
        tuple((n, since_s(until)) for n, (_, until) in sorted(history.slow_start.items())),
        since(engine._deadlines.latest_ms),
        len(engine._policy_timers),
        len(engine._reserved_ids),
        since_s(world.shutdown_at_s),
        world.shutting_down,
        world.descriptors_exhausted,
        world.has_duplicate,
        world.list_changes,
        world.has_reloaded,
        tuple(sorted(world.dead_nodes)),
        tuple(world.restart_counts),
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
