"""The canonical state of a world: worlds with equal canonical states behave alike from here on.

It contains all that decides what can happen, with times relative to now, and omits what cannot matter any more, such
as a closed connection or estimates that no request will use.  That nothing is missing is not proven by construction:
`levels.audit` expands one canonical state from two paths and compares the successors.
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

MAX_TIME_DIFFERENCE_MS = 1e5  # larger differences of two times make no difference
MAX_DRAIN_AGE_S = DRAIN_GRACE_S + 0.1  # nor does an older drain, whose grace period is over
MAX_REFERENCE_DEPTH = 3
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
_OMITTED_FIELDS = ("endpoint_id", "entry", "class_health", "bucket", "bucket_position")
_ENDPOINT_FIELDS = [f.name for f in fields(EndpointRecord) if f.name not in _OMITTED_FIELDS]
# These fields only rank endpoints.  With one request left they decide nothing: the draw may yield each endpoint
# alone, and its response updates the estimates too late for any other request.
_RANKING_FIELDS = ("reported_load", "reported_at_ms", "slowness", "slowness_at_ms", "connection_used_at_ms")
_LAST_REQUEST_FIELDS = [n for n in _ENDPOINT_FIELDS if n not in _RANKING_FIELDS]
_CLASS_HEALTH_FIELDS = [f.name for f in fields(ClassHealth)]


def canonical(world: World) -> int:
    """Return the canonical state as a 64-bit number, the same in every process and run."""
    data = marshal.dumps(_components(world), 2)  # later versions encode whether two equal strings are one object
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def _components(world: World) -> Any:
    return _StateEncoder(world).components()


class _StateEncoder:
    """Encodes the state of a world as nested tuples."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._history = world.history
        self._now_s = world.loop.now
        self._now_ms = world.loop.now * 1000
        self._engine, self._upstream, self._balancer = world.node.engine, world.node.upstream, world.balancer
        self._open_connections = [
            c
            for c in world.dialed
            if c in self._upstream._connections or c.attempt or (c._transport and not c._transport.lost)  # type: ignore[attr-defined]
        ]
        self._connection_indices: dict[int, int] = {id(c): i for i, c in enumerate(self._open_connections)}
        self._endpoint_names = {h.endpoint_id: h.name for h in self._upstream._endpoints.values()}
        requests = self._history.requests.values()
        future_requests = (
            len(world.effects)
            - sum(not r.extra for r in requests)
            + sum(r.disconnected_at is None and not r.outcomes and not world.core_request(r) for r in requests)
        )
        polls = world.setting.load_report_polls
        # No endpoint will be selected any more.
        self._is_policy_idle = not (
            self._balancer.requests.pending or self._engine.requests or future_requests or polls
        )
        # At most one request is left.
        self._is_last_request = (
            future_requests + len(self._engine.requests) <= 1 and not polls and not world.setting.slow_start
        )

    def components(self) -> Any:
        """Return the components of the state."""
        world, history = self._world, self._history
        since_s = self._since_s
        return (
            tuple(self._core_request(r) for r in self._engine.requests.values()),
            tuple(self._policy_request(r) for r in self._balancer.requests.pending.values()),
            self._estimates(),
            tuple(self._endpoint_record(e) for e in self._balancer.endpoint_list.endpoints.values()),
            tuple(self._request(r) for r in history.requests.values()),
            self._endpoints(),
            tuple(self._connection(c) for c in self._open_connections),
            tuple((d.port, d.established.done()) for d in world.loop.dials),
            tuple(self._handle(h) for h in world.loop.ready if not h.cancelled()),
            tuple((since_s(t), self._handle(h)) for t, _, h in sorted(world.loop.timers, key=lambda e: e[:2])),
            tuple((n, max(-MAX_DRAIN_AGE_S * 1000, since_s(t))) for n, t in sorted(history.draining_since.items())),
            tuple((n, since_s(until)) for n, (_, until) in sorted(history.slow_start.items())),
            self._since_ms(self._engine._deadlines.latest_ms),
            len(self._engine._policy_timers),
            self._engine.ids.in_flight_count,
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

    # -- values

    def _since_ms(self, t: float) -> float:
        difference = max(-MAX_TIME_DIFFERENCE_MS, min(MAX_TIME_DIFFERENCE_MS, t - self._now_ms))
        return round(difference, 1) + 0.0  # no -0.0

    def _since_s(self, t: float) -> float:
        return self._since_ms(t * 1000)

    def _fields(self, record: Any, names: list[str]) -> Any:
        return tuple(
            self._since_ms(v) if n in _TIMES else round(v, 3) + 0.0 if isinstance(v, float) else v
            for n in names
            for v in (getattr(record, n),)
        )

    def _reference(self, x: Any, depth: int = MAX_REFERENCE_DEPTH) -> Any:
        """Return which object of the state this is, or its contents up to a depth, or the name of its type."""
        if x is None or isinstance(x, bool | int | str | bytes):
            return x
        if isinstance(x, float):
            return round(x, 3) + 0.0
        if isinstance(x, Connection):
            return "connection", self._connection_indices.get(id(x), -1)
        if isinstance(x, Transport):
            return "transport", self._reference(x.protocol)
        if isinstance(x, ClientConnection):
            connections = self._world.daemon_connections.items()
            return "client", next((n for n, c in connections if c.transport.protocol is x), "")
        if isinstance(x, ClientRequest):
            return "request", x.request_id
        if isinstance(x, Attempt):
            request_id = getattr(getattr(x, "request", None), "request_id", b"")
            return "attempt", request_id, getattr(x, "number", -1), x.state
        if isinstance(x, Enum):
            return x.name
        if isinstance(x, asyncio.Task):
            name = next((n for n, t in self._world.tasks.items() if t is x), "")
            return "task", name, _suspension_points(x), self._reference(_dialed_connection(x), depth)
        if isinstance(x, tuple | list):
            return tuple(self._reference(e, depth - 1) for e in x) if depth else len(x)
        if isinstance(x, dict):
            return tuple((k, self._reference(v, depth - 1)) for k, v in x.items()) if depth else len(x)
        if isinstance(x, BaseException):
            return type(x).__name__
        owner = getattr(x, "__self__", None)
        if owner is not None:
            return getattr(x, "__qualname__", ""), self._reference(owner, depth)
        if cells := getattr(x, "__closure__", None):
            contents = tuple(self._reference(c.cell_contents, depth - 1) for c in cells) if depth else ()
            return x.__qualname__, contents
        if isinstance(x, asyncio.Timeout):
            return "timeout", self._reference(x._task, depth)  # type: ignore[attr-defined]
        return getattr(x, "__qualname__", type(x).__name__)

    def _handle(self, handle: asyncio.Handle) -> Any:
        return self._reference(handle._callback), self._reference(handle._args)  # type: ignore[attr-defined]

    # -- the policy

    def _endpoint_record(self, endpoint: EndpointRecord) -> Any:
        name = self._endpoint_names.get(endpoint.endpoint_id)
        if self._is_policy_idle:
            return name, endpoint.ready
        return (
            name,
            self._fields(endpoint, _LAST_REQUEST_FIELDS if self._is_last_request else _ENDPOINT_FIELDS),
            tuple(
                (cls, self._fields(health, _CLASS_HEALTH_FIELDS))
                for cls, health in sorted(endpoint.class_health.items())
            ),
        )

    def _policy_request(self, request: Any) -> Any:
        """Identify a request by its id rather than its number: the order is that of the core's requests."""
        first = request.first_execution
        return (
            getattr(self._engine.requests.get(request.request_id), "request_id", b""),
            request.in_flight,
            request.may_have_run,
            request.ended,
            request.round_start,
            request.attempts_at_backoff,
            self._since_ms(request.started_at_ms),
            self._since_ms(request.deadline_ms),
            request.rules.max_attempts,
            round(request.time_limit_ms, 1),
            first and self._endpoint_names.get(first.endpoint.endpoint_id),
            self._since_ms(first.sent_at_ms) if first else 0.0,
            tuple(
                (
                    self._endpoint_names.get(attempt.endpoint.endpoint_id),
                    self._since_ms(attempt.sent_at_ms),
                    0.0 if self._is_last_request else round(attempt.expected_load, 2),
                )
                for attempt in request.attempts
            ),
        )

    def _estimates(self) -> Any:
        admission, estimates = self._balancer.admission, self._balancer.estimates
        encoded: Any = ()
        if not self._is_policy_idle:
            encoded = (
                round(admission.rejection_rate, 3),
                round(admission.timeout_rate, 3),
                tuple(sorted(self._balancer.context.never_repeat)),
                round(admission.admitted_share, 3),
                tuple(round(t, 1) for t in estimates.latency_target_ms),
                tuple(round(t, 1) for t in estimates.service_time_ms),
                tuple(round(m, 3) for m in admission.class_mix),
            )
        if not self._is_last_request:
            encoded += (
                self._since_ms(admission.share_updated_at_ms),
                round(estimates.request_rate_per_ms, 6),
                self._since_ms(estimates.rate_updated_at_ms),
                round(estimates.mean_load, 3),
                tuple(estimates.samples),
                tuple(tuple(round(f, 3) for f in row) for row in estimates.kind_slowness),
            )
        return encoded

    # -- the core

    def _core_request(self, request: ClientRequest) -> Any:
        return (
            request.request_id,
            request.state,
            request.attempts_made,
            request.rules.max_attempts,
            request.attempt_may_have_run,
            request.served,
            request.last_outcome.name,
            self._since_ms(request.deadline_ms),
            self._since_ms(request.write_by_ms),
            tuple(self._attempt(a) for _, a in sorted(request.attempts.items())),
        )

    def _attempt(self, attempt: Any) -> Any:
        return (
            attempt.number,
            self._endpoint_names.get(attempt.endpoint_id),
            attempt.state,
            self._since_ms(attempt.sent_ms),
            self._since_ms(attempt.expires_ms),
            self._since_ms(attempt.write_by_ms),
            self._reference(attempt.connection),
            attempt.endpoint_activity is not None and attempt.endpoint_activity.last_received_ms < attempt.sent_ms,
        )

    # -- connections

    def _endpoints(self) -> Any:
        return tuple(
            (
                endpoint.name,
                endpoint.port,
                endpoint.ready,
                endpoint.last_received_ms >= self._now_ms,
                self._since_ms(endpoint.started_ms),
                tuple(self._connection_indices.get(id(c), -1) for c in endpoint.idle),
            )
            for endpoint in self._upstream._endpoints.values()
        )

    def _connection(self, connection: Connection) -> Any:
        transport: Any = connection._transport
        if connection.state == "closed" and not connection.attempt:
            return connection.endpoint.name, transport and self._transport(transport)
        attempt = self._world.unanswered_attempt(transport) if transport else None
        parser = connection._parser
        return (
            connection.endpoint.name,
            connection.state,
            connection.endpoint_started_ms == connection.endpoint.started_ms,
            connection.address == connection.endpoint.address,
            connection._write_is_paused,
            parser.status,
            parser.content_length,
            parser.head_bytes,
            parser.is_delimited,
            parser._not_executed,
            parser.keep_alive,
            parser.closes_connection,
            parser._began_early,
            parser.exceeds_buffer,
            parser.is_chunked,
            parser.body_bytes,
            len(parser._headers),
            self._reference(connection.attempt),
            connection.dial_task is not None,
            max(-REUSE_DELAY_MS - 1, self._since_ms(connection.idle_since_ms) if connection.state == "idle" else 0.0),
            self._since_ms(parser.started_ms) if connection.state in ("reading head", "reading body") else 0.0,
            transport and self._transport(transport),
            attempt and self._attempt_record(attempt),
        )

    def _transport(self, transport: Transport) -> Any:
        return (
            transport.port,
            transport.closing,
            transport.lost,
            transport.flushing,
            len(transport.unsent),
            transport.unread,
            transport.unsolicited,
            transport.unsolicited_by_s > self._now_s,
            transport.tainted,
            transport.paused,
            tuple(transport.paused_input),
            transport.paused_end,
        )

    # -- the history

    def _attempt_record(self, attempt: AttemptRecord) -> Any:
        sent_at = self._since_s(attempt.sent_at) if attempt.request and attempt.request.effect == "keyed" else 0.0
        if attempt.transport.closing:
            return attempt.node, attempt.may_have_run, attempt.served, sent_at
        return (
            attempt.request_name,
            attempt.node,
            attempt.fully_sent,
            attempt.answered,
            attempt.rejected,
            attempt.served,
            len(attempt.rest_of_response),
            attempt.ends_at_close,
            sent_at,
        )

    def _request(self, request: RequestRecord) -> Any:
        world, name = self._world, request.name
        is_in_core = world.core_request(request) is not None
        is_unsettled = is_in_core or request.is_open or request.via_library
        pending_body = world.pending_bodies.get(name)
        return (
            name,
            request.submitted_at is not None,
            bool(request.outcomes),
            request.disconnected_at is not None,
            request.unsent,
            request.via_library,
            pending_body is not None and not pending_body.done(),
            name in world.accepted,
            is_in_core,
            self._since_s(request.submitted_at) if request.is_open and request.submitted_at is not None else 0.0,
            tuple(self._attempt_record(a) for a in self._history.attempts_of(request)) if is_unsettled else (),
            self._daemon_connection(request),
            len(self._history.settled.get(request.request_id, ())),
            name in world.tasks and world.tasks[name].done(),
        )

    def _daemon_connection(self, request: RequestRecord) -> Any:
        connection = self._world.daemon_connections.get(request.name)
        if connection is None:
            return None
        transport, server_side = connection.transport, connection.transport.protocol
        if transport.lost:
            return connection.name, connection.truncated_request is request, connection.sent_after_close
        return (
            connection.name,
            connection.stopped_reading,
            connection.sent_after_close,
            connection._response_begun,
            tuple(r.name for r in connection.unanswered),
            self._transport(transport),
            server_side._write_blocked,
            server_side._discards_input,
            server_side._has_begun_request,
            server_side._unread_input.has_received_request,
            server_side._closing,
            server_side._parser.in_head,
            server_side._parser.in_request,
            server_side._parser._unfinished_head_bytes,
            server_side._parser.body_bytes,
            len(server_side._buffered_body),
            tuple((a.state, a.unwritten_response is not None, a.keep_alive) for a in server_side._unanswered),
        )


def _suspension_points(task: asyncio.Task[Any]) -> Any:
    """Return where each coroutine of a task is suspended."""
    found: list[Any] = []
    coroutine: Any = task.get_coro()
    while (frame := getattr(coroutine, "cr_frame", None)) is not None:
        found.append((frame.f_code.co_name, frame.f_lineno, frame.f_lasti))
        coroutine = coroutine.cr_await
    return tuple(found)


def _dialed_connection(task: asyncio.Task[Any]) -> Any:
    """Return the connection that a dial task establishes, from the local variable of its coroutine."""
    frame = getattr(task.get_coro(), "cr_frame", None)
    return frame.f_locals.get("connection") if frame else None
