"""The library: the daemon's core embedded in an application's process, without a listener.

A `Gateway` belongs to one event loop and one process, and owns the `Node` that it opens there.  It sets no signal
handler, no loop policy and no logging handler, and the module has no global state: two gateways in one process share
nothing unless both are given the same `Budget`.
"""

from __future__ import annotations

import asyncio
import os
import re
import time
import uuid
from collections.abc import AsyncIterable, Callable, Iterable
from contextlib import suppress
from types import TracebackType
from typing import TYPE_CHECKING, Final, NamedTuple

from .base.limits import SPARE_DESCRIPTORS, SharedBudget
from .base.log import log_event
from .config.model import Config, ConfigError, affinity_key_hash
from .core.requests import MAX_LIBRARY_BODY_BYTES, ClientRequest, FinalOutcome, FinalResponse, RequestFault
from .inherited_deadline import deadline, time_left
from .node import Node, body_memory_bytes
from .policy.interface import Effect
from .upstream.interface import HOP_BY_HOP_HEADERS, Headers

if TYPE_CHECKING:
    from .duties.remote import Duty

CLOSE_POLL_INTERVAL_S: Final = 0.02  # between the checks of `close` for open requests
MAX_DEADLINE_S: Final = 30 * 86400.0

_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")  # RFC 9110, 5.6.2
_FIELD_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")  # RFC 9110, 5.5
_TARGET = re.compile(rb"/[\x21-\x7e]*")  # RFC 9112, 3.2.1
_REQUEST_ID = re.compile(rb"[\x21-\x7e]{1,256}")

# Headers that are set from a request's other parameters, never from its headers.
_RESERVED_HEADERS = frozenset(
    {b"x-request-id", b"x-class", b"x-deadline", b"x-tenant", b"idempotency-key", b"expect"}
)


class GatewayError(Exception):
    """A request has no response.  `may_have_run`: whether an endpoint may have started it, or still may."""

    may_have_run = False

    def __init__(self, message: str, *, may_have_run: bool = False) -> None:
        super().__init__(message)
        self.may_have_run = may_have_run


class Refused(GatewayError):
    """The request was not served, and a retry is harmless, preferably after `retry_after` seconds.

    `may_have_run` can be true here only for idempotent classes, and for keyed classes whose duplicates every endpoint
    drops.
    """

    def __init__(self, message: str, *, retry_after: float, may_have_run: bool = False) -> None:
        super().__init__(message, may_have_run=may_have_run)
        self.retry_after = retry_after


class Failed(GatewayError):
    """The request was not served, and a retry may execute it twice if `may_have_run` is true."""


class DeadlineExceeded(Failed):
    """The request, or its last attempt, timed out."""


class Conflict(GatewayError):
    """A request with this id is open, has an attempt in flight, or must not run again.  This one was not sent."""


class InvalidRequest(GatewayError, ValueError):
    """The request violates the rules of its class or is not valid HTTP.  It was not sent."""


class Unusable(GatewayError, RuntimeError):
    """The gateway is not open, is closed, or belongs to another process or event loop.  Nothing was sent."""


class Answer(NamedTuple):
    """An endpoint's response.  `headers` holds the end-to-end headers in their order, names in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str, default: str | None = None) -> str | None:
        """Return the first value of a header, or `default`.  The name is case-insensitive."""
        return next((value for key, value in self.headers if key == name.lower()), default)


class Settled(NamedTuple):
    """The final outcome of a request whose caller was cancelled.

    `outcome`: "served" (an endpoint responded), "failed" (it may have run, and no response arrived), or "not sent"
    (its last byte was never written, so it can't have run).
    """

    request_id: str
    cls: str
    outcome: str
    may_have_run: bool


class Budget:
    """Limits on memory and descriptors that several gateways share, across loops and threads of one process.

    :param memory_mb: memory of the process in MiB; request bodies may take 1 / BODY_MEMORY_DIVISOR of it.
    :param sockets: file descriptors, SPARE_DESCRIPTORS included.
    """

    def __init__(self, memory_mb: float, sockets: int) -> None:
        self.memory = SharedBudget(body_memory_bytes(memory_mb))
        self.sockets = SharedBudget(max(1, sockets - SPARE_DESCRIPTORS))


class _Caller:
    """The caller of one request, waiting for its response or cancelled."""

    __slots__ = ("class_name", "future", "gateway", "request_id", "was_cancelled")

    def __init__(
        self, gateway: Gateway, class_name: str, request_id: str, future: asyncio.Future[FinalResponse]
    ) -> None:
        self.gateway = gateway
        self.class_name, self.request_id = class_name, request_id
        self.future = future
        self.was_cancelled = False

    def on_final_response(self, request: ClientRequest, final: FinalResponse) -> None:
        if not self.future.done():
            self.future.set_result(final)

    def is_disconnected(self, request: ClientRequest) -> bool:
        return self.future.cancelled()  # true at once, though the caller's task runs only later

    def on_released(self, request: ClientRequest) -> None:
        if self.was_cancelled:
            self.gateway._report_settled(self, request)


class Gateway:
    """Sends requests to the endpoints of one configuration, under the same rules as the daemon.

    :param config: the settings; `from_config` reads them from a file.
    :param on_settled: called with a `Settled` for each request whose caller was cancelled, once no attempt of it is
        in flight: immediately if it can't have run, otherwise by its deadline.  It runs on the gateway's loop and
        must not block; its exceptions are logged.
    :param budget: memory and descriptors shared with other gateways, in addition to this gateway's own limits.

    Every method may raise `Unusable`.
    """

    def __init__(
        self, config: Config, *, on_settled: Callable[[Settled], object] | None = None, budget: Budget | None = None
    ) -> None:
        self._config = config
        self._on_settled = on_settled
        self._budget = budget
        self._node: Node | None = None
        self._process_id = 0  # the process that started the gateway
        self._is_closing = self._is_closed = False
        self._class_indexes = {name.decode(): index for name, index in config.names.classes.items()}

    @classmethod
    def from_config(
        cls, path: str, *, on_settled: Callable[[Settled], object] | None = None, budget: Budget | None = None
    ) -> Gateway:
        """Create a gateway from a TOML file.  Raises `ConfigError`, which lists every fault in the file."""
        from .config.file import load  # noqa: PLC0415 - the library loads without the file reader

        return cls(load(path), on_settled=on_settled, budget=budget)

    # -- opening and closing

    async def start(self) -> None:
        """Open the gateway on the running loop.  No connection is made before the first request."""
        if self._node or self._is_closed:
            raise Unusable("this gateway has been started before")
        self._process_id = os.getpid()
        budget = self._budget
        self._node = Node(self._config, budget.memory if budget else None, budget.sockets if budget else None)

    async def __aenter__(self) -> Gateway:
        await self.start()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    @property
    def started(self) -> bool:
        """Whether the gateway was ever opened; it stays true after `close`."""
        return self._node is not None or self._is_closed

    async def close(self) -> None:
        """Shut down gracefully: accept no new request, and give open ones the configured time to finish.

        Requests that are open after that fail, and their attempts are aborted.  Cancelling this call ends the
        wait immediately.  When it returns, all descriptors are closed; if it raises, they are closed a few iterations
        of the loop later.  It may be called again, even concurrently.
        """
        if self._process_id and os.getpid() != self._process_id:
            return  # the sockets and the loop's selector belong to the parent process
        if not self._node or self._is_closed:
            self._is_closed = True
            return
        node = self._require_node(closing=True)
        self._is_closing = True
        drain_s = self._config.drain_s
        closes_at_s = node.loop.time() + drain_s
        node.engine.end_by(node.clock.now_ms() + drain_s * 1000)
        try:
            while node.engine.requests and node.loop.time() < closes_at_s and not self._is_closed:
                await asyncio.sleep(CLOSE_POLL_INTERVAL_S)
        finally:
            if not self._is_closed:
                self._is_closed = True
                node.close()
        await node.upstream.wait_closed()

    def _require_node(self, closing: bool = False) -> Node:
        """Return the node.  Raises `Unusable` unless the gateway is open in this process and on the running loop."""
        node = self._node
        if node is None:
            raise Unusable("the gateway is not open: use `async with` or `start`")
        if os.getpid() != self._process_id:
            raise forked_error(self._process_id)
        try:
            running_loop = asyncio.get_running_loop()
        except RuntimeError:
            running_loop = None
        if running_loop is not node.loop:
            detail = " which has ended" if node.loop.is_closed() else ""
            raise Unusable(f"the gateway belongs to another event loop{detail}")
        if (self._is_closed or self._is_closing) and not closing:
            raise Unusable("the gateway has ended or is closing")
        return node

    # -- singleton tasks

    def duty(self, name: str, *, at: str | None = None, within: float | None = None, grace: float = 1.0) -> Duty:
        """Run a block while the local sidecar holds a lease: `async with gateway.duty("name") as held:`.

        :param name: the name of the duty, a singleton task that one process of the fleet runs at a time.
        :param at: path of the sidecar's control socket; default: `control` of this gateway's configuration.
        :param within: seconds to wait for the lease before TimeoutError is raised; default: no limit.
        :param grace: the block is cancelled this many seconds before the lease expires, or earlier if it is being
            released, and DutyLost is raised.
        :raises ConfigError: no control socket is configured.

        Send `held.fence`, the fencing token, with each side effect, after checking `held.held`.  The service that
        applies the effect must reject a lower token.
        """
        from .duties.remote import Duty  # noqa: PLC0415 - few applications use it

        control_socket = at or self._config.control
        if not control_socket:
            raise ConfigError("control: a duty requires a sidecar's control socket, and none is configured")
        return Duty(control_socket, name, within, grace)

    # -- requests

    async def request(
        self,
        cls: str,
        *,
        path: str | None = None,
        method: str | None = None,
        body: bytes | AsyncIterable[bytes] = b"",
        headers: Iterable[tuple[str, str]] = (),
        deadline: float | None = None,
        request_id: str | None = None,
        idempotency_key: str | None = None,
        tenant: str | None = None,
        key: str | None = None,
    ) -> Answer:
        """Send a request and return the endpoint's response.

        :param cls: the name of the request class, which determines whether the request may be retried.
        :param path: path and query; default: `/` and the class.
        :param method: one that the class allows; default: GET for idempotent classes, else POST.
        :param body: at most 65,536 bytes, complete or an iterator.  Nothing is sent until it is complete.
        :param headers: end-to-end headers, which are forwarded unchanged.
        :param deadline: seconds from now; default: the deadline of the class.  It is bounded by the inherited
            deadline, less the configured margin.
        :param request_id: unique for each request, also for a manual retry; default: generated.
        :param idempotency_key: required for keyed classes, and only allowed there.
        :param tenant: one of the configured names.
        :param key: the affinity key: requests with the same key prefer the same endpoints, which cache by it.
        :raises Refused: it was not served; a retry is harmless, after `retry_after` seconds.
        :raises DeadlineExceeded: it timed out; see `may_have_run`.
        :raises Failed: it was not served; see `may_have_run`.
        :raises Conflict: a request with this id is open, or may have run and is not idempotent.
        :raises InvalidRequest: it violates its class or HTTP, and was not sent.

        On cancellation nothing more is sent.  If the last byte of an attempt was written, its response is read to the
        end, or until the deadline.  Until then the id stays reserved; after that `on_settled` is called.
        """
        node = self._require_node()
        ends_at_s = time.monotonic() + self._timeout_s(cls, deadline)
        name = request_id if request_id is not None else uuid.uuid4().hex
        caller = _Caller(self, cls, name, node.loop.create_future())
        request = self._build_request(caller, path, method, headers, idempotency_key, tenant, key)
        if not node.engine.ids.reserve(request.request_id):
            raise Conflict(f"a request with the id {name!r} is open")
        submitted = False
        try:
            content = body if isinstance(body, bytes) else await self._read_body(body, ends_at_s)
            node = self._submit(request, caller.class_name, content, ends_at_s)
            submitted = True
        finally:
            if not submitted:
                node.engine.ids.release(request.request_id)
        try:
            final = await caller.future
        except asyncio.CancelledError:
            self._on_cancelled(node, caller, request)
            raise
        return _to_answer(final, cls)

    def _submit(self, request: ClientRequest, class_name: str, content: bytes, ends_at_s: float) -> Node:
        """Submit the complete request to the engine, and return the node that has it."""
        if len(content) > MAX_LIBRARY_BODY_BYTES:
            raise InvalidRequest(f"a body holds at most {MAX_LIBRARY_BODY_BYTES} bytes, this one {len(content)}")
        timeout_s = ends_at_s - time.monotonic()
        if timeout_s <= 0:
            raise DeadlineExceeded("the deadline passed before anything was sent")
        node = self._require_node()  # the gateway may have been closed while the body was read
        if not node.memory.acquire(len(content)):
            raise Refused("no memory for the body", retry_after=node.engine.retry_after_ms(0.0) / 1000)
        request.body = content
        fault = node.engine.submit(request, timeout_s * 1000, reserved=True)
        if fault:
            node.memory.release(len(content))
            if fault is RequestFault.CONFLICT:
                raise Conflict(f"{class_name}: {fault.value}")
            raise InvalidRequest(f"{class_name}: {fault.value}")
        return node

    def _timeout_s(self, class_name: str, deadline_s: float | None) -> float:
        """Return the timeout of a request, in seconds.

        Raises InvalidRequest, or DeadlineExceeded if the inherited deadline leaves no time.
        """
        index = self._class_indexes.get(class_name)
        if index is None:
            raise InvalidRequest(f"there is no class {class_name!r}; there are {', '.join(self._class_indexes)}")
        timeout_s = deadline_s
        if timeout_s is None:
            timeout_s = self._config.settings.classes[index].deadline_ms / 1000
        if not 0 < timeout_s < MAX_DEADLINE_S:  # rejects NaN too
            raise InvalidRequest(f"{class_name}: {RequestFault.DEADLINE.value}: {deadline_s!r}")
        inherited_s = time_left()
        if inherited_s is not None:
            timeout_s = min(timeout_s, inherited_s - self._config.margin_s)
            if timeout_s <= 0:
                raise DeadlineExceeded("the inherited deadline leaves no time; nothing was sent")
        return timeout_s

    def _build_request(
        self,
        caller: _Caller,
        path: str | None,
        method: str | None,
        headers: Iterable[tuple[str, str]],
        idempotency_key: str | None,
        tenant: str | None,
        key: str | None,
    ) -> ClientRequest:
        """Return the request without its body.  Raises InvalidRequest if a part violates the syntax of HTTP."""
        class_name = caller.class_name
        class_index = self._class_indexes[class_name]
        effect = self._config.settings.classes[class_index].effect
        default_method = "GET" if effect is Effect.IDEMPOTENT else "POST"
        target = _encode(f"/{class_name}" if path is None else path, _TARGET, "path")
        fields = self._forwarded_headers(headers)
        request_id = _encode(caller.request_id, _REQUEST_ID, "request id")
        fields += ((b"X-Request-Id", request_id), (b"X-Class", class_name.encode()))
        if idempotency_key is not None:
            fields.append((b"Idempotency-Key", _encode(idempotency_key, _REQUEST_ID, "idempotency key")))
        verb = _encode(method or default_method, _TOKEN, "method")
        request = ClientRequest(caller, verb, target, fields, b"", class_index, request_id)
        request.has_idempotency_key = idempotency_key is not None
        if tenant is not None:
            tenant_number = self._config.names.tenants.get(tenant.encode())
            if tenant_number is None:
                raise InvalidRequest(f"there is no tenant {tenant!r}")
            request.tenant = tenant_number
            fields.append((b"X-Tenant", tenant.encode()))
        if key is not None:
            request.affinity_key = affinity_key_hash(key.encode())
        return request

    def _forwarded_headers(self, headers: Iterable[tuple[str, str]]) -> Headers:
        """Return the end-to-end headers, with a Host header."""
        fields: Headers = []
        has_host = False
        for name, value in headers:
            encoded_name = _encode(name, _TOKEN, "header name")
            lower_name = encoded_name.lower()
            has_host = has_host or lower_name == b"host"
            if lower_name not in HOP_BY_HOP_HEADERS and lower_name not in _RESERVED_HEADERS:
                fields.append((encoded_name, _encode(value, _FIELD_VALUE, f"header {name}").strip()))
        if not has_host:
            fields.insert(0, (b"Host", self._config.authority.encode()))
        return fields

    @staticmethod
    async def _read_body(body: AsyncIterable[bytes], ends_at_s: float) -> bytes:
        """Read a body from an iterator, within the deadline and the limit on its length."""
        parts = []
        body_bytes = 0
        try:
            async with asyncio.timeout(ends_at_s - time.monotonic()):
                async for part in body:
                    body_bytes += len(part)
                    if body_bytes > MAX_LIBRARY_BODY_BYTES:
                        raise InvalidRequest(f"a body holds at most {MAX_LIBRARY_BODY_BYTES} bytes")
                    parts.append(part)
        except TimeoutError:
            raise DeadlineExceeded("the body was not complete in time; nothing was sent") from None
        return b"".join(parts)

    # -- cancellation

    def _on_cancelled(self, node: Node, caller: _Caller, request: ClientRequest) -> None:
        """Handle the cancellation of a caller, which then receives no response, even one that has arrived."""
        if request.request_number not in node.engine.requests:
            self._report_settled(caller, request)  # the response arrived in the same iteration of the loop
            return
        caller.was_cancelled = True
        node.engine.client_disconnected(request)

    def _report_settled(self, caller: _Caller, request: ClientRequest) -> None:
        if self._on_settled is None:
            return
        unserved_outcome = "failed" if request.may_have_run else "not sent"
        outcome = "served" if request.served else unserved_outcome
        may_have_run = request.served or request.may_have_run
        try:
            self._on_settled(Settled(caller.request_id, caller.class_name, outcome, may_have_run))
        except Exception as error:
            log_event("on_settled raised", repr(error))


def forked_error(process_id: int) -> Unusable:
    """Return the error for using a gateway in a process that was forked from its own."""
    return Unusable(f"the gateway belongs to process {process_id}, which forked this one: make one after the fork")


def _encode(text: str, allowed: re.Pattern[bytes], part_name: str) -> bytes:
    """Encode text as Latin-1.  Raises InvalidRequest if HTTP does not allow it here, as a line break in a header."""
    with suppress(UnicodeEncodeError):
        encoded = text.encode("latin-1")
        if allowed.fullmatch(encoded):
            return encoded
    raise InvalidRequest(f"the {part_name} can't be sent: {text!r}"[:200])


def _to_answer(final: FinalResponse, class_name: str) -> Answer:
    """Return the endpoint's response.  Raises a GatewayError if there is none."""
    response = final.response
    if response is not None:
        headers = tuple((name.decode("latin-1"), value.decode("latin-1")) for name, value in response.headers)
        return Answer(response.status, headers, response.body)
    if final.outcome is FinalOutcome.REJECTED:
        raise Refused(
            f"{class_name}: rejected; a retry is harmless",
            retry_after=final.retry_after_ms / 1000,
            may_have_run=final.may_have_run,
        )
    error = DeadlineExceeded if final.outcome is FinalOutcome.TIMED_OUT else Failed
    raise error(f"{class_name}: {final.outcome.value}", may_have_run=final.may_have_run)


__all__ = [
    "Answer",
    "Budget",
    "Config",
    "ConfigError",
    "Conflict",
    "DeadlineExceeded",
    "Failed",
    "Gateway",
    "GatewayError",
    "InvalidRequest",
    "Refused",
    "Settled",
    "Unusable",
    "deadline",
    "time_left",
]
