"""The library: the daemon's core inside an application's own process, without a listener.

A `Gateway` belongs to one event loop and one process.  It sets no signal handler, no loop policy and no logging
handler, and nothing of it is kept by the module: two gateways in one process share nothing unless a `Budget`
is given to both.  The one name here that outlives a call is the key under which a context holds an inherited
deadline; what it holds belongs to the context.
"""

from __future__ import annotations

import asyncio
import os
import re
import time
import uuid
from collections.abc import AsyncIterable, Callable, Iterable, Iterator
from contextlib import contextmanager, suppress
from contextvars import ContextVar
from types import TracebackType
from typing import TYPE_CHECKING, NamedTuple

from .base.limits import SPARE_DESCRIPTORS, SharedBudget
from .base.log import log_event
from .config.model import Config, ConfigError, key_number
from .core.engine import MAX_BODY_BYTES, ClientRequest, FinalOutcome, FinalResponse, RequestFault
from .node import Node, body_memory_bytes
from .policy.interface import Effect
from .upstream.interface import HOP_BY_HOP_HEADERS, Headers

if TYPE_CHECKING:
    from .duties.remote import Duty

SETTLE_STEP_S = 0.02  # how often a planned end looks whether all is settled

_inherited: ContextVar[float | None] = ContextVar("gateusher_deadline", default=None)  # on time.monotonic()

_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")  # RFC 9110, 5.6.2
_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")  # RFC 9110, 5.5
_TARGET = re.compile(rb"/[\x21-\x7e]*")  # RFC 9112, 3.2.1
_ID = re.compile(rb"[\x21-\x7e]{1,256}")


class GatewayError(Exception):
    """A request has no answer.  `may_have_run`: whether an endpoint may have begun it, or still may."""

    may_have_run = False

    def __init__(self, message: str, *, may_have_run: bool = False) -> None:
        super().__init__(message)
        self.may_have_run = may_have_run


class Refused(GatewayError):
    """Not served, and repeating it is harmless; best after `retry_after` seconds.

    `may_have_run` can be true here only where a repeat does no harm: for safe classes, and for keyed ones
    whose repeats every node drops.
    """

    def __init__(self, message: str, *, retry_after: float, may_have_run: bool = False) -> None:
        super().__init__(message, may_have_run=may_have_run)
        self.retry_after = retry_after


class Failed(GatewayError):
    """Not served, and nothing is promised about a repeat: see `may_have_run`."""


class DeadlineExceeded(Failed):
    """The time for the request, or for its last attempt, ran out."""


class Conflict(GatewayError):
    """A request with this id is open, or an attempt of it is still out.  This one was not sent."""


class InvalidRequest(GatewayError, ValueError):
    """The request contradicts its class or can't be sent as HTTP.  It was not sent."""


class Unusable(GatewayError, RuntimeError):
    """The gateway is not open, has ended, or belongs to another process or event loop.  Nothing was sent."""


class Answer(NamedTuple):
    """A node's answer.  `headers` holds the end-to-end headers in their order, names in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str, default: str | None = None) -> str | None:
        """The first value of a header."""
        return next((v for n, v in self.headers if n == name.lower()), default)


class Settled(NamedTuple):
    """What became of a request whose caller was cancelled.

    `outcome`: "served" (a node answered), "failed" (it may have run, and no answer came), or "not sent" (its
    last byte never left, so it can't have run).
    """

    request_id: str
    cls: str
    outcome: str
    may_have_run: bool


class Budget:
    """Bytes and descriptors that several gateways share on purpose, in any loops and threads of one process."""

    def __init__(self, memory_mb: float, sockets: int) -> None:
        self.memory = SharedBudget(body_memory_bytes(memory_mb))
        self.sockets = SharedBudget(max(1, sockets - SPARE_DESCRIPTORS))


def time_left() -> float | None:
    """Seconds until the inherited deadline, below 0 past it; None where none is inherited."""
    end = _inherited.get()
    return None if end is None else end - time.monotonic()


@contextmanager
def deadline(seconds: float) -> Iterator[None]:
    """Within this block no request gets more time than is left of these seconds, nor of an outer block's."""
    end = time.monotonic() + seconds
    outer = _inherited.get()
    token = _inherited.set(end if outer is None else min(end, outer))
    try:
        yield
    finally:
        _inherited.reset(token)


class _Asker:
    """One caller that waits, or has been cancelled and is told later."""

    __slots__ = ("cls", "future", "gateway", "left", "name")

    def __init__(self, gateway: Gateway, cls: str, name: str, future: asyncio.Future[FinalResponse]) -> None:
        self.gateway, self.cls, self.name, self.future = gateway, cls, name, future
        self.left = False

    def on_final_response(self, call: ClientRequest, final: FinalResponse) -> None:
        if not self.future.done():
            self.future.set_result(final)

    def is_disconnected(self, call: ClientRequest) -> bool:
        return self.future.cancelled()  # at once, though the caller's own turn comes later

    def on_released(self, call: ClientRequest) -> None:
        if self.left:
            self.gateway._settled(self, call)


class Gateway:
    """Requests to the nodes of one configuration, under the daemon's rules.

    :param config: from `Config` readers, see `from_config`.
    :param on_settled: called with a `Settled` for each request whose caller was cancelled, once nothing is out
        for it any more: at the cancel where it can't have run, at the latest at its deadline otherwise.  It is
        called on the gateway's loop and must not block; what it raises is logged.
    :param budget: bytes and descriptors shared with other gateways, beside this one's own limits.

    Every method may raise `Unusable`.
    """

    def __init__(
        self, config: Config, *, on_settled: Callable[[Settled], object] | None = None, budget: Budget | None = None
    ) -> None:
        self._config, self._on_settled, self._budget = config, on_settled, budget
        self._node: Node | None = None
        self._pid = 0
        self._ended = self._ending = False
        self._classes = {name.decode(): i for name, i in config.names.classes.items()}

    @classmethod
    def from_config(
        cls, path: str, *, on_settled: Callable[[Settled], object] | None = None, budget: Budget | None = None
    ) -> Gateway:
        """A gateway by a TOML file.  Raises `ConfigError` with every fault of it."""
        from .config.file import load  # noqa: PLC0415 - importing the library needs no reader of files

        return cls(load(path), on_settled=on_settled, budget=budget)

    # -- its life

    async def start(self) -> None:
        """Open it on the running loop; no connection is made before the first request."""
        if self._node or self._ended:
            raise Unusable("this gateway has been started before")
        self._pid = os.getpid()
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
        return self._node is not None or self._ended

    async def close(self) -> None:
        """The planned end: no new request, and what is open gets the configured time to its final answer.

        What is open after that is failed, and what is out given up.  A cancel ends the wait at once.  Nothing is
        left when this returns, and where it raises, nothing after some turns of the loop.  It may be called
        again, also while it runs.
        """
        if self._pid and os.getpid() != self._pid:
            return  # the sockets and the poller are the parent's
        if not self._node or self._ended:
            self._ended = True
            return
        node = self._usable(ending=True)
        self._ending = True
        by = node.loop.time() + self._config.drain_s
        node.engine.end_by(node.clock.now_ms() + self._config.drain_s * 1000)
        try:
            while node.engine.requests and node.loop.time() < by and not self._ended:
                await asyncio.sleep(SETTLE_STEP_S)
        finally:
            if not self._ended:
                self._ended = True
                node.close()
        await node.upstream.closed()

    def _usable(self, ending: bool = False) -> Node:
        node = self._node
        if node is None:
            raise Unusable("the gateway is not open: use `async with` or `start`")
        if os.getpid() != self._pid:
            raise Unusable(
                f"the gateway belongs to process {self._pid}, which forked this one: make one after the fork"
            )
        try:
            here = asyncio.get_running_loop()
        except RuntimeError:
            here = None
        if here is not node.loop:
            ended = " has ended" if node.loop.is_closed() else ""
            raise Unusable(f"the gateway belongs to another event loop{' which' if ended else ''}{ended}")
        if (self._ended or self._ending) and not ending:
            raise Unusable("the gateway has ended or is ending")
        return node

    # -- what one process of a fleet may do

    def duty(self, name: str, *, at: str | None = None, within: float | None = None, grace: float = 1.0) -> Duty:
        """`async with gateway.duty("name") as held:` runs its block while the sidecar beside it holds a duty.

        :param at: the sidecar's control socket; `control` of this gateway's configuration where left out.
        :param within: seconds to wait for it, then TimeoutError; as long as it takes where left out.
        :param grace: the block is cancelled so many seconds before the duty's proof is over, or sooner where it is
            to be let go, and DutyLost is raised.
        :raises ConfigError: nobody says which sidecar to ask.

        Send `held.fence` with each act, after a look at `held.held`; whoever takes the act refuses a lower fence.
        """
        from .duties.remote import Duty  # noqa: PLC0415 - few applications hold any

        where = at or self._config.control
        if not where:
            raise ConfigError("control: a duty is held through a sidecar's control socket, and none is set")
        return Duty(where, name, within, grace)

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
        """Send a request and give the node's answer.

        :param cls: the name of its class, which says what a repeat would do.
        :param path: path and query; `/` and the class where left out.
        :param method: one of the class's; where left out, its usual one (GET for safe classes, else POST).
        :param body: at most 65,536 bytes, whole or still being made.  Nothing is sent until it is whole.
        :param headers: end-to-end headers that go on unchanged.
        :param deadline: seconds from now in which an answer is of use; the class's where left out.  It is never
            more than what is left of an inherited deadline, less the configured margin.
        :param request_id: new for each request, also for a repeat by hand; made up where left out.
        :param idempotency_key: for keyed classes, and needed there.
        :param tenant: one of the configured names.
        :param key: what the request is about, where that matters for caches.
        :raises Refused: a repeat is harmless, after `retry_after` seconds.
        :raises DeadlineExceeded: time ran out; see `may_have_run`.
        :raises Failed: it may have run.
        :raises Conflict: a request with this id is open.
        :raises InvalidRequest: it can't be sent, and wasn't.

        Cancelling it: nothing more is sent.  An attempt whose last byte had left is read to its end, or to the
        deadline, though nobody waits: until then the id stays taken, and then `on_settled` is told.
        """
        node = self._usable()
        end = time.monotonic() + self._patience(cls, deadline)
        name = request_id if request_id is not None else uuid.uuid4().hex
        asker = _Asker(self, cls, name, node.loop.create_future())
        call = self._call(asker, path, method, headers, idempotency_key, tenant, key)
        if not node.engine.reserve_request_id(call.request_id):
            raise Conflict(f"a request with the id {name!r} is open")
        taken = False
        try:
            content = body if isinstance(body, bytes) else await self._made(body, end)
            if len(content) > MAX_BODY_BYTES:
                raise InvalidRequest(f"a body holds at most {MAX_BODY_BYTES} bytes, this one {len(content)}")
            patience = end - time.monotonic()
            if patience <= 0:
                raise DeadlineExceeded("no time was left before anything was sent")
            node = self._usable()  # the body may have taken its time
            if not node.memory.acquire(len(content)):
                raise Refused("no memory for the body", retry_after=node.engine.retry_after_ms(0.0) / 1000)
            call.body = content
            fault = node.engine.submit(call, patience * 1000, reserved=True)
            if fault:
                node.memory.release(len(content))
                raise InvalidRequest(f"{cls}: {fault.value}")
            taken = True
        finally:
            if not taken:
                node.engine.release_request_id(call.request_id)
        try:
            final = await asker.future
        except asyncio.CancelledError:
            self._left(node, asker, call)
            raise
        return _read(final, cls)

    def _patience(self, cls: str, wish: float | None) -> float:
        """Seconds for a request.  Raises InvalidRequest, or DeadlineExceeded where nothing is left."""
        index = self._classes.get(cls)
        if index is None:
            raise InvalidRequest(f"there is no class {cls!r}; there are {', '.join(self._classes)}")
        most = self._config.settings.classes[index].deadline_ms / 1000 if wish is None else wish
        if not 0 < most < 86400 * 30:
            raise InvalidRequest(f"{cls}: {RequestFault.PATIENCE.value}: {wish!r}")
        left = time_left()
        if left is not None:
            most = min(most, left - self._config.margin_s)
            if most <= 0:
                raise DeadlineExceeded("nothing is left of the inherited deadline; nothing was sent")
        return most

    def _call(
        self,
        asker: _Asker,
        path: str | None,
        method: str | None,
        headers: Iterable[tuple[str, str]],
        idempotency_key: str | None,
        tenant: str | None,
        key: str | None,
    ) -> ClientRequest:
        """The request without its body, checked for what would break the wire's syntax."""
        cls, index = asker.cls, self._classes[asker.cls]
        settings = self._config.settings.classes[index]
        usual = "GET" if settings.effect is Effect.IDEMPOTENT else "POST"
        target = _bytes(f"/{cls}" if path is None else path, _TARGET, "path")
        fields: Headers = []
        host = False
        for field, value in headers:
            raw = _bytes(field, _TOKEN, "header name")
            lower = raw.lower()
            host = host or lower == b"host"
            if lower not in HOP_BY_HOP_HEADERS and lower not in _OURS:
                fields.append((raw, _bytes(value, _VALUE, f"header {field}").strip()))
        if not host:
            fields.insert(0, (b"Host", self._config.authority.encode()))
        rid = _bytes(asker.name, _ID, "request id")
        fields += ((b"X-Request-Id", rid), (b"X-Class", cls.encode()))
        if idempotency_key is not None:
            fields.append((b"Idempotency-Key", _bytes(idempotency_key, _ID, "idempotency key")))
        call = ClientRequest(asker, _bytes(method or usual, _TOKEN, "method"), target, fields, b"", index, rid)
        call.has_idempotency_key = idempotency_key is not None
        if tenant is not None:
            known = self._config.names.tenants.get(tenant.encode())
            if known is None:
                raise InvalidRequest(f"there is no tenant {tenant!r}")
            call.tenant = known
            fields.append((b"X-Tenant", tenant.encode()))
        if key is not None:
            call.affinity_key = key_number(key.encode())
        return call

    @staticmethod
    async def _made(body: AsyncIterable[bytes], end: float) -> bytes:
        """A body that is still being made.  It is held to the deadline and to the most that may be sent."""
        parts, size = [], 0
        try:
            async with asyncio.timeout(end - time.monotonic()):
                async for part in body:
                    size += len(part)
                    if size > MAX_BODY_BYTES:
                        raise InvalidRequest(f"a body holds at most {MAX_BODY_BYTES} bytes")
                    parts.append(part)
        except TimeoutError:
            raise DeadlineExceeded("the body was not whole in time; nothing was sent") from None
        return b"".join(parts)

    # -- after a cancel

    def _left(self, node: Node, asker: _Asker, call: ClientRequest) -> None:
        """The caller was cancelled.  What it had been told already, or what is known now, it can't hear."""
        if call.request_number not in node.engine.requests:
            self._settled(asker, call)  # an answer and the cancel met in one turn of the loop
            return
        asker.left = True
        node.engine.client_disconnected(call)

    def _settled(self, asker: _Asker, call: ClientRequest) -> None:
        served = call.served
        outcome = "served" if served else "failed" if call.may_have_run else "not sent"
        if self._on_settled is None:
            return
        try:
            self._on_settled(Settled(asker.name, asker.cls, outcome, served or call.may_have_run))
        except Exception as error:
            log_event("on_settled raised", repr(error))


# Set from a request's other parameters, never from its headers.
_OURS = frozenset({b"x-request-id", b"x-class", b"x-deadline", b"x-tenant", b"idempotency-key", b"expect"})


def _bytes(text: str, allowed: re.Pattern[bytes], what: str) -> bytes:
    """ASCII or Latin-1 bytes that may stand on the wire: nothing may end a line or a field early."""
    with suppress(UnicodeEncodeError):
        raw = text.encode("latin-1")
        if allowed.fullmatch(raw):
            return raw
    raise InvalidRequest(f"the {what} can't be sent: {text!r}"[:200])


def _read(final: FinalResponse, cls: str) -> Answer:
    reply = final.response
    if reply is not None:
        headers = tuple((n.decode("latin-1"), v.decode("latin-1")) for n, v in reply.headers)
        return Answer(reply.status, headers, reply.body)
    if final.outcome is FinalOutcome.REJECTED:
        raise Refused(
            f"{cls}: refused; a repeat is harmless",
            retry_after=final.retry_after_ms / 1000,
            may_have_run=final.may_have_run,
        )
    kind = DeadlineExceeded if final.outcome is FinalOutcome.TIMED_OUT else Failed
    raise kind(f"{cls}: {final.outcome.value}", may_have_run=final.may_have_run)


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
