"""Classifies a request by its path and header fields and submits it to the core.

The platform's header names (`X-Class`, `X-Deadline`, ...) are mapped to the fields of `ClientRequest` here.  No state
is owned.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Protocol

from ..base import proof
from ..config.class_history import ClassHistory
from ..config.model import Names, query_affinity_key
from ..core.engine import Engine, FinalOutcome, FinalResponse, RequestFault
from ..upstream.interface import EndpointResponse
from .http_request import HttpRequest
from .lifecycle import Lifecycle

HEALTH_PATH = b"/_health"
REHEARSAL_PROOF_PATH = proof.CHALLENGE_PATH.encode()
MAX_DEADLINE_MS = 3.6e6
MAX_COST_HINT_MS = 1e9
ACCEPTED = 0  # instead of a status: the core will answer, and releases the body's memory
ANSWERED = 1  # instead of a status: the response has been passed on, and the core knows nothing of the request
PLAIN_DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,12})?")

STATUS_BY_FAULT = {fault: 400 for fault in RequestFault} | {RequestFault.METHOD: 405, RequestFault.CONFLICT: 409}

Fields = dict[bytes, bytes]  # header fields by lower-case name


class RequestListener(Protocol):
    """The part of the listener that classification uses."""

    engine: Engine
    lifecycle: Lifecycle
    names: Names
    class_history: ClassHistory
    before_request: Callable[[], None]  # called before a request is classified
    authority: bytes  # the Host field for requests without one
    is_rehearsal: bool  # all endpoints are stand-ins


def parse_decimal(text: bytes | None, factor: float, limit: float) -> float | None:
    """A plain decimal number times `factor`; None if it is missing, not plain or larger than `limit`.

    float() would accept more: signs, exponents, underscores, `inf` and `nan`.
    """
    if text is None or not PLAIN_DECIMAL.fullmatch(text):
        return None
    value = float(text) * factor
    return value if value <= limit else None


def parse_deadline_ms(fields: Fields) -> float | None:
    """The time that the client allows, in milliseconds; None if the field is missing or invalid."""
    return parse_decimal(fields.get(b"x-deadline"), 1000.0, MAX_DEADLINE_MS)


def submit_request(request: HttpRequest, fields: Fields, listener: RequestListener) -> int:
    """Submit a request to the core.

    Returns ACCEPTED, or ANSWERED or the status of the response if it is not submitted.
    """
    path, _, query = request.target.partition(b"?")
    if path == HEALTH_PATH:
        return 200 if listener.lifecycle.is_healthy else 503
    if b"host" not in fields:
        if not request.is_http_1_0:
            return 400  # RFC 9112, section 3.2
        request.headers.insert(0, (b"Host", listener.authority))  # it is forwarded as HTTP/1.1
    path_class = path[1:].partition(b"/")[0]
    class_name = fields.get(b"x-class", path_class)
    deadline_ms = parse_deadline_ms(fields)
    if path[:1] != b"/" or class_name != path_class or deadline_ms is None:
        if listener.is_rehearsal and path == REHEARSAL_PROOF_PATH:
            return _answer_challenge(request, query)
        return 400
    listener.before_request()
    _read_fields(request, fields, query, listener.names)
    return _submit_by_class(request, class_name, deadline_ms, listener)


def _read_fields(request: HttpRequest, fields: Fields, query: bytes, names: Names) -> None:
    request.request_id = fields.get(b"x-request-id", b"")
    request.has_idempotency_key = bool(fields.get(b"idempotency-key"))
    request.affinity_key = query_affinity_key(query) if query else 0
    request.tenant = names.tenants.get(fields.get(b"x-tenant", b""), 0)
    request.cost_hint_ms = parse_decimal(fields.get(b"x-cost-hint"), 0.001, MAX_COST_HINT_MS) or 0.0
    request.is_retry = fields.get(b"x-retry") == b"1"


def _submit_by_class(request: HttpRequest, class_name: bytes, deadline_ms: float, listener: RequestListener) -> int:
    """Submit with the class that the name has now or, just after a reload, with those that its client may mean."""
    meaning = listener.class_history.meaning(class_name, request.method, request.has_idempotency_key, request.sent_s)
    if meaning is None:
        return 400
    request.class_index, request.former_rules = meaning
    fault = listener.engine.submit(request, deadline_ms)
    return ACCEPTED if fault is None else STATUS_BY_FAULT[fault]


def _answer_challenge(request: HttpRequest, query: bytes) -> int:
    """Answer a load generator's challenge as a stand-in would: all endpoints of a rehearsal are known stand-ins."""
    answer = proof.answer_challenge(query.decode("latin-1"))
    if answer is None or request.method != b"GET":
        return 400
    response = EndpointResponse(200, [], b'{"standin": "%b"}' % answer.encode())
    request.client.on_final_response(request, FinalResponse(FinalOutcome.SERVED, response))
    return ANSWERED
