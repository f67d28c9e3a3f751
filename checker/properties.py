"""The safety and liveness properties of an execution: one function each, returning the violations it finds.

They judge what clients and nodes observe (`history.py`).  The program's own records are read only to see which
resources are retained and whether a request is open.  Each docstring states the requirement that it checks, with its
number in the design of the explorer.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from gateusher.core.deadlines import DEADLINE_GRACE_MS
from gateusher.core.states import OPEN

if TYPE_CHECKING:
    from .history import AttemptRecord, RequestRecord
    from .world_state import WorldState

DRAIN_GRACE_S = 2.0
DEDUPLICATION_WINDOW_S = 0.3
DISCONNECT_GRACE_S = 0.3
TOLERANCE_S = 0.001
DEADLINE_HEADER = re.compile(rb"\r\nX-Deadline: ([0-9.]+)\r\n")


def on_write(world: WorldState, attempt: AttemptRecord, data: bytes) -> list[str]:
    """Return the violations of a write of a request or of a load report poll."""
    if attempt.request is None:
        return connection_was_idle(world, attempt)
    return [
        *no_write_after_final_response(world, attempt.request),
        *no_duplicate_execution(world, attempt, attempt.request),
        *one_attempt_per_request_id(world, attempt.request),
        *no_write_to_draining_endpoint(world, attempt),
        *write_to_listed_address(world, attempt),
        *within_slow_start_budget(world, attempt),
        *connection_was_idle(world, attempt),
        *request_forwarded_unchanged(world, attempt.request, data),
    ]


def on_outcome(
    world: WorldState, request: RequestRecord, outcome: str, body: bytes, may_have_run: bool | None
) -> list[str]:
    """Return the violations of a final response."""
    return [
        *one_final_response(request),
        *outcome_matches_request(world, request, outcome),
        *rejection_means_not_executed(world, request, outcome),
        *response_belongs_to_request(world, request, outcome, body),
        *may_have_run_is_truthful(world, request, may_have_run),
    ]


def on_idle(world: WorldState) -> list[str]:
    """Return the violations of a state in which the event loop has nothing ready."""
    return [*answered_by_deadline(world), *abandoned_request_is_answered(world), *no_internal_error(world)]


def on_quiescence(world: WorldState) -> list[str]:
    """Return the violations of a state that no timer or I/O event changes any more."""
    return [
        *every_request_answered(world),
        *nothing_retained(world),
        *one_outcome_per_attempt(world),
        *cancelled_callers_notified(world),
        *served_without_faults(world),
        *no_internal_error(world),
    ]


def one_final_response(request: RequestRecord) -> list[str]:
    """1. A request gets exactly one final response, and none once its client has disconnected (BRIEF 11)."""
    if len(request.outcomes) > 1:
        return [f"{request.name} is answered twice: {[t[1] for t in request.outcomes]}"]
    if request.disconnected_at is not None and not request.via_library:
        return [f"{request.name} is answered after its client disconnected"]
    return []


def outcome_matches_request(world: WorldState, request: RequestRecord, outcome: str) -> list[str]:
    """An invalid request gets an error (DAYS, Bad clients), and a valid one never gets the error of an invalid one.

    A conflict in particular needs another request with the same id.
    """
    if request.name.startswith("invalid"):
        is_expected = (
            outcome in ("400", "405", "408", "invalidrequest", "unusable")
            or outcome == "refused"
            and (world.shutting_down or world.descriptors_exhausted)
        )
        return [] if is_expected else [f"{request.name}, which is invalid, ends as {outcome}"]
    if outcome == "conflict":
        is_shared = any(
            other is not request and other.request_id == request.request_id
            for other in world.history.requests.values()
        )
        return [] if is_shared else [f"{request.name} ends as a conflict, and its request id is not in use"]
    if outcome not in ("served", "refused", "failed", "timed out") and not (
        outcome == "unusable" and world.shutting_down
    ):
        return [f"{request.name}, which is valid, ends as {outcome}"]
    return []


def served_without_faults(world: WorldState) -> list[str]:
    """Without faults every request is served by a single attempt."""
    if not world.setting.fault_free:
        return []
    return [
        f"{a.name}: {[t[1] for t in a.outcomes]} after {len(world.history.attempts_of(a))} attempts without any fault"
        for a in world.history.requests.values()
        if [t[1] for t in a.outcomes] != ["served"] or len(world.history.attempts_of(a)) != 1
    ]


def no_write_after_final_response(world: WorldState, request: RequestRecord) -> list[str]:
    """1. Nothing is sent for a request after its final response (BRIEF 11)."""
    core_request = world.core_request(request)
    if core_request is None or core_request.state != OPEN or request.outcomes:
        return [f"{request.name} is sent while it is {core_request.state if core_request else 'settled'}"]
    return []


def answered_by_deadline(world: WorldState) -> list[str]:
    """1. A request is answered by the deadline of its client plus the grace period (BRIEF 11)."""
    violations = []
    for request in world.history.requests.values():
        if not request.is_open or request.submitted_at is None:
            continue
        if (
            request.via_library
            and world.loop.now > request.submitted_at + request.timeout_s + DEADLINE_GRACE_MS / 1000 + TOLERANCE_S
        ):
            violations.append(f"{request.name}'s caller waits past its deadline")
        deadline = min(request.submitted_at + request.timeout_s, max(world.shutdown_at_s, request.submitted_at))
        core_request = world.core_request(request)
        if (
            core_request
            and core_request.state == OPEN
            and world.loop.now > deadline + DEADLINE_GRACE_MS / 1000 + TOLERANCE_S
        ):
            violations.append(f"{request.name} is open past its deadline")
    return violations


def no_duplicate_execution(world: WorldState, attempt: AttemptRecord, request: RequestRecord) -> list[str]:
    """2. No retry can execute a request a second time (BRIEF 12, 13).

    An unsafe request is retried only if no earlier attempt can have been executed; a keyed request also within the
    deduplication window and scope of an attempt that may have been.  This holds for all requests under one id.
    """
    earlier = [a for a in world.history.attempts_under_id_of(request) if a is not attempt and a.may_have_run]
    if not earlier:
        return []
    first = earlier[0]
    if request.effect == "unsafe" or request.at_most_once:
        return [f"{request.name} is retried though it may have been executed on n{first.node}"]
    if request.effect == "keyed" and world.loop.now > first.sent_at + DEDUPLICATION_WINDOW_S + TOLERANCE_S:
        return [f"{request.name} is retried past its deduplication window"]
    if (
        request.effect == "keyed"
        and world.setting.deduplication_scope != "all"
        and attempt.node % 2 != first.node % 2
    ):
        return [f"{request.name} is retried on n{attempt.node}, outside the deduplication scope of n{first.node}"]
    return []


def on_last_byte(world: WorldState, attempt: AttemptRecord) -> list[str]:
    """Return the violations of sending the last byte of a request.

    A node executes a request from its last byte on (PROTOCOL, Sidecars to endpoints).
    """
    return (
        no_duplicate_execution(world, attempt, attempt.request) + client_still_connected(world, attempt.request)
        if attempt.request
        else []
    )


def client_still_connected(world: WorldState, request: RequestRecord) -> list[str]:
    """A queued request is not forwarded more than 0.3 s after its client has disconnected, as operators require."""
    is_late = (
        request.disconnected_at is not None
        and not request.via_library
        and world.loop.now > request.disconnected_at + DISCONNECT_GRACE_S
    )
    return [f"{request.name} is forwarded after its client disconnected"] if is_late else []


def one_attempt_per_request_id(world: WorldState, request: RequestRecord) -> list[str]:
    """2. Two requests with one id are never in flight together on open connections.

    PROTOCOL, Sidecars to endpoints.
    """
    if any(
        a.request
        and a.request is not request
        and a.request.request_id == request.request_id
        and not a.answered
        and not a.transport.closing
        for a in world.history.attempts
    ):
        return [f"{request.name} is sent while another request with its id is in flight"]
    return []


def rejection_means_not_executed(world: WorldState, request: RequestRecord, outcome: str) -> list[str]:
    """2. A rejection tells the client that a retry is harmless (BRIEF 13)."""
    retry_is_harmful = (
        request.effect == "unsafe" or request.effect == "keyed" and world.setting.deduplication_scope != "all"
    )
    if outcome == "refused" and retry_is_harmful and any(a.may_have_run for a in world.history.attempts_of(request)):
        return [f"{request.name} is rejected though it may have been executed"]
    return []


def may_have_run_is_truthful(world: WorldState, request: RequestRecord, may_have_run: bool | None) -> list[str]:
    """2. The library sets `may_have_run` to False only if no node can have executed the request (docs/library.md)."""
    if may_have_run is False and any(a.may_have_run for a in world.history.attempts_of(request)):
        return [f"{request.name}'s caller gets may_have_run=False, and it may have been executed"]
    return []


def no_write_to_draining_endpoint(world: WorldState, attempt: AttemptRecord) -> list[str]:
    """3. No request goes to an endpoint after the grace period of its draining or removal (BRIEF 14)."""
    since = world.history.draining_since.get(attempt.node)
    if since is not None and attempt.sent_at > since + DRAIN_GRACE_S:
        return [
            f"{attempt.request_name} is sent to n{attempt.node} {attempt.sent_at - since:.2f} s after its draining"
        ]
    return []


def write_to_listed_address(world: WorldState, attempt: AttemptRecord) -> list[str]:
    """A request goes only to an address that discovery has listed (PROTOCOL, Sidecars to endpoints)."""
    address = f"127.0.0.1:{attempt.transport.port}"
    if address in world.listed_addresses:
        return []
    return [f"{attempt.request_name} is sent to {address}, which discovery never listed"]


def within_slow_start_budget(world: WorldState, attempt: AttemptRecord) -> list[str]:
    """4. An endpoint in slow start is not overloaded (BRIEF 15).

    The quota of a client that has just started is less than one request over the whole slow start, so it may have one
    request in flight there and no second one.
    """
    since, until = world.history.slow_start.get(attempt.node, (0.0, 0.0))
    if not since <= world.loop.now < until:
        return []
    in_flight = [
        a
        for a in world.history.attempts
        if a.node == attempt.node
        and a.request
        and a.sent_at >= since
        and not a.answered
        and not a.transport.closing
        and a.transport is not attempt.transport
    ]
    if not in_flight:
        return []
    return [
        f"{attempt.request_name} is sent to n{attempt.node}, which is warming up and has "
        f"{in_flight[0].request_name} in flight"
    ]


def abandoned_request_is_answered(world: WorldState) -> list[str]:
    """5. A request that the policy has abandoned gets its final response at once (GROWTH)."""
    pending = world.balancer.requests.pending
    return [
        f"{c.request_id.decode()} is open though the policy has abandoned it"
        for c in world.engine.requests.values()
        if c.state == OPEN
        and (
            c.request_number not in pending
            or pending[c.request_number].ended
            or not (c.attempts or world.engine._policy_timers)
        )
    ]


def response_belongs_to_request(world: WorldState, request: RequestRecord, outcome: str, body: bytes) -> list[str]:
    """6. A client is served only with the response to its own request (DAYS)."""
    if outcome != "served":
        return []
    attempts = world.history.attempts_of(request)
    if body not in (request.name.encode(), b""):
        return [f"{request.name} is served with {body!r}"]
    if not any(a.served for a in attempts):
        return [f"{request.name} is served without a response of a node that may be served"]
    return []


def connection_was_idle(world: WorldState, attempt: AttemptRecord) -> list[str]:
    """6. Unsolicited input on a connection is never taken for the response to a request (DAYS)."""
    if attempt.transport.tainted:
        return [f"{attempt.request_name} is sent on a connection that had unsolicited input"]
    if any(a.transport is attempt.transport and not a.answered for a in world.history.attempts):
        return [f"{attempt.request_name} is sent on a connection with a request in flight; PROTOCOL allows one"]
    return []


def request_forwarded_unchanged(world: WorldState, request: RequestRecord, data: bytes) -> list[str]:
    """Method, path, query, body, X-Request-Id and Idempotency-Key are forwarded unchanged (PROTOCOL).

    X-Deadline is how long the sidecar will wait.  Connection-specific headers are not forwarded (RFC 9110, 7.6.1).
    """
    method = b"GET" if request.effect == "safe" else b"POST"
    head, _, body = data.partition(b"\r\n\r\n")
    fields = head.split(b"\r\n")
    expected = [b"X-Request-Id: " + request.request_id.encode(), b"X-Extra: e"]
    if request.effect == "keyed":
        expected.append(b"Idempotency-Key: k-" + request.request_id.encode())
    if method == b"POST":
        expected.append(b"Content-Length: 2")
    deadline = DEADLINE_HEADER.search(head + b"\r\n")
    violations = [
        f"{request.name} is sent with {len([f for f in fields if f == e])} times {e.decode()}"
        for e in expected
        if fields.count(e) != 1
    ]
    start = b"%b /%b HTTP/1.1" % (method, request.effect.encode())
    if fields[0] != start or body != (b"ab" if method == b"POST" else b""):
        violations.append(f"{request.name} is sent as {data!r}")
    if sum(f.lower().startswith(b"host:") for f in fields) != 1:
        violations.append(f"{request.name} is not sent with exactly one Host")
    if any(f.lower().startswith(b"te:") for f in fields):
        violations.append(f"{request.name} is sent with a connection-specific header")
    max_deadline_s = (request.submitted_at or 0.0) + request.timeout_s - world.loop.now
    if (
        not deadline
        or not -TOLERANCE_S < float(deadline[1]) - 0.0005 <= max_deadline_s + TOLERANCE_S
        or float(deadline[1]) <= 0
    ):
        violations.append(
            f"{request.name} is sent with X-Deadline {deadline and deadline[1]!r}, {max_deadline_s:.3f} s left"
        )
    return violations


def on_daemon_response(status: int, headers: dict[bytes, bytes]) -> list[str]:
    """A 429 or 503 of the sidecar itself carries a Retry-After within `max_retry_after_ms`."""
    if b"x-node" in headers or status not in (429, 503):
        return []
    retry_after = headers.get(b"retry-after", b"")
    is_valid = re.fullmatch(rb"[0-9.]+", retry_after) and 0 < float(retry_after) <= 2
    return [] if is_valid else [f"{status} with Retry-After {retry_after!r}"]


def every_request_answered(world: WorldState) -> list[str]:
    """1. No request is lost (BRIEF 11).  A request that was never read is left to its client to retry."""
    truncated = {
        request.name
        for connection in world.daemon_connections.values()
        if (request := connection.truncated_request) and truncation_allowed(world, request)
    }
    return [
        f"{a.name} was never answered"
        for a in world.history.requests.values()
        if a.is_open
        and a.name not in truncated
        and (a.via_library or a.name in world.accepted or not world.daemon_connections[a.name].transport.lost)
    ]


def truncation_allowed(world: WorldState, request: RequestRecord) -> bool:
    """Return whether a truncated response counts as a failure rather than as a lost request.

    1. It does if the client can detect the truncation, and the node aborted the response or the process was shut down
    (PROTOCOL, Figures).
    """
    started = [a for a in world.history.attempts_of(request) if a.served]
    return world.shutting_down or any(a.rest_of_response or a.ends_at_close or a.transport.tainted for a in started)


def nothing_retained(world: WorldState) -> list[str]:
    """7. No bytes, ids, requests, attempts, policy records or descriptors are retained at quiescence."""
    node = world.node
    engine, upstream = node.engine, node.upstream
    client_count = sum(not c.transport.lost for c in set(world.daemon_connections.values()))
    retained = {
        "requests": len(engine.requests),
        "ids": engine.ids.in_flight_count,
        "bytes": node.memory.in_use,
        "policy records": len(world.balancer.requests.pending),
        "requests in flight": sum(e.in_flight for e in world.balancer.endpoint_list.endpoints.values()),
        "attempts": sum(c.attempt is not None for c in upstream._connections),
        "descriptors": node.descriptors.used - sum(not t.closing for t in world.transports) - client_count,
        "unusable connections": sum(
            not any(c in h.idle for h in upstream._endpoints.values()) for c in upstream._connections
        ),
    }
    return [f"{what} retained at quiescence: {count}" for what, count in retained.items() if count]


def one_outcome_per_attempt(world: WorldState) -> list[str]:
    """8. The policy gets exactly one outcome for each attempt."""
    return [
        f"the policy gets {count} outcomes of attempt {attempt} of request {request}"
        for (request, attempt), count in world.history.policy_outcomes.items()
        if count != 1
    ]


def cancelled_callers_notified(world: WorldState) -> list[str]:
    """2. `on_settled` is called once for each request whose caller was cancelled (docs/library.md).

    Its outcome agrees with what the nodes observed.
    """
    violations = []
    for request in world.history.requests.values():
        attempts = world.history.attempts_of(request)
        settled = world.history.settled.get(request.request_id, [])
        if (
            not request.via_library
            or request.disconnected_at is None
            or any(
                other.request_id == request.request_id and other is not request
                for other in world.history.requests.values()
            )
        ):
            continue
        if len(settled) > 1 or (attempts and not settled):
            violations.append(f"{request.name}'s caller was cancelled and gets on_settled {len(settled)} times")
        for notification in settled:
            if not notification.may_have_run and any(a.may_have_run for a in attempts):
                violations.append(f"{request.name} settled with may_have_run=False, and it may have been executed")
            if notification.outcome == "served" and not any(a.served for a in attempts):
                violations.append(f"{request.name} settled as served, and it was not")
            if notification.outcome == "not sent" and any(a.fully_sent and not a.rejected for a in attempts):
                violations.append(f"{request.name} settled as not sent, and it was")
    return violations


def no_internal_error(world: WorldState) -> list[str]:
    """No callback raises, and no rule that the program checks at run time is violated."""
    errors, world.loop.errors = world.loop.errors, []
    return [f"a callback raised: {e}" for e in errors] + runtime_violations(world)


def runtime_violations(world: WorldState) -> list[str]:
    """Return the rules that the program itself found violated: its run-time checks guard against faults elsewhere."""
    return [f"rule violated at run time: {rule.value}" for rule in world.node.diagnostics.violations]


__all__ = ["on_daemon_response", "on_idle", "on_last_byte", "on_outcome", "on_quiescence", "on_write"]
