"""A common request method for each interface under test, and the mapping of its responses to outcomes."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import httpx
from fastapi import FastAPI
from starlette.applications import Starlette
from starlette.routing import Mount

from gateusher import (
    Config,
    Conflict,
    DeadlineExceeded,
    Failed,
    Gateway,
    GatewayError,
    InvalidRequest,
    Refused,
    Settled,
)
from gateusher.asgi import GatewayMiddleware
from gateusher.daemon import Sidecar
from gateusher.httpx import GatewayTransport
from gateusher.node import Node
from gateusher.standins.caller import HttpClient

OUTCOME_BY_STATUS = {
    400: "invalid",
    405: "invalid",
    409: "conflict",
    413: "invalid",
    431: "invalid",
    502: "failed",
    503: "refused",
    504: "timed out",
}


@dataclass(frozen=True)
class RequestSpec:
    """A request, independent of the interface that sends it."""

    cls: str
    request_id: str
    path: str | None = None
    method: str | None = None
    body: bytes = b""
    deadline: float | None = 1.0
    key: str | None = None
    headers: dict[str, str] = field(default_factory=dict)


class Result(NamedTuple):
    """The outcome that the caller sees.  `may_have_run` is None on interfaces that don't report it."""

    outcome: str
    status: int = 0
    body: bytes = b""
    headers: dict[str, str] = {}  # noqa: RUF012
    retry_after: float | None = None
    may_have_run: bool | None = None


def result_from_status(status: int, headers: dict[str, str], body: bytes, from_node: bool) -> Result:
    """Return the result of an HTTP interface; `from_node`: a node sent the response, whatever its status."""
    outcome = "served" if from_node else OUTCOME_BY_STATUS[status]
    retry_after = float(headers["retry-after"]) if outcome == "refused" else None
    return Result(outcome, status, body, headers, retry_after)


def result_from_error(error: GatewayError) -> Result:
    outcomes = {
        Refused: "refused",
        DeadlineExceeded: "timed out",
        Failed: "failed",
        Conflict: "conflict",
        InvalidRequest: "invalid",
    }
    return Result(
        outcomes[type(error)],
        retry_after=error.retry_after if isinstance(error, Refused) else None,
        may_have_run=error.may_have_run,
    )


def default_method(spec: RequestSpec) -> str:
    return spec.method or ("GET" if spec.cls.startswith("look") else "POST")


def request_headers(spec: RequestSpec) -> dict[str, str]:
    """Return the headers of a request in the platform's protocol."""
    deadline = {"X-Deadline": f"{spec.deadline:.3f}"} if spec.deadline is not None else {}
    key = {"Idempotency-Key": spec.key} if spec.key is not None else {}
    return {"X-Request-Id": spec.request_id, "X-Class": spec.cls, **deadline, **key, **spec.headers}


class Interface:
    """An interface under test; `settled` holds the `on_settled` notifications of cancelled requests."""

    def __init__(self, config: Config) -> None:
        self.config, self.settled = config, list[Settled]()
        self.node: Node

    async def send(self, spec: RequestSpec) -> Result:
        raise NotImplementedError

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        gateway = Gateway(self.config, on_settled=self.settled.append)
        async with gateway:
            assert gateway._node
            self.node = gateway._node
            async with self.open_on(gateway):
                yield

    @asynccontextmanager
    async def open_on(self, gateway: Gateway) -> AsyncIterator[None]:
        yield


class DaemonInterface(Interface):
    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        sidecar = Sidecar(self.config._replace(listen=("127.0.0.1", 0)))
        self.node = sidecar.node
        self._client = HttpClient(sidecar.server.port)
        try:
            yield
        finally:
            await self._client.close()
            sidecar.close()
            await sidecar.node.upstream.wait_closed()

    async def send(self, spec: RequestSpec) -> Result:
        response = await self._client.request(
            default_method(spec), spec.path or f"/{spec.cls}", request_headers(spec), spec.body
        )
        from_node = response.status in self.config.serves and (
            response.status not in OUTCOME_BY_STATUS or "x-node" in response.headers
        )
        return result_from_status(response.status, response.headers, response.body, from_node)


class LibraryInterface(Interface):
    @asynccontextmanager
    async def open_on(self, gateway: Gateway) -> AsyncIterator[None]:
        self._gateway = gateway
        yield

    async def send(self, spec: RequestSpec) -> Result:
        try:
            answer = await self._gateway.request(
                spec.cls,
                path=spec.path,
                method=spec.method,
                body=spec.body,
                headers=list(spec.headers.items()),
                deadline=spec.deadline,
                request_id=spec.request_id,
                idempotency_key=spec.key,
            )
        except GatewayError as error:
            return result_from_error(error)
        return Result("served", answer.status, answer.body, dict(answer.headers), None, True)


class AsgiInterface(Interface):
    """An application behind the middleware that forwards each request to a node and returns its response.

    This class acts as the server, by the ASGI specification; a cancelled request becomes a disconnect.
    """

    @asynccontextmanager
    async def open_on(self, gateway: Gateway) -> AsyncIterator[None]:
        self._gateway = gateway
        self._app = GatewayMiddleware(self.framework(), gateway)
        yield

    def framework(self) -> Any:
        """Return the application inside the middleware, here without a framework."""
        return self._serve

    async def _serve(self, scope: Any, receive: Any, send: Any) -> None:
        headers = {n.decode(): v.decode() for n, v in scope["headers"]}
        body, more_body = b"", True
        while more_body:
            message = await receive()
            body += message["body"]
            more_body = message.get("more_body", False)
        protocol_headers = ("x-request-id", "x-class", "x-deadline", "idempotency-key")
        answer = await scope["state"]["gateway"].request(
            headers["x-class"],
            path=scope["path"],
            method=scope["method"],
            body=body,
            request_id=scope["state"]["request_id"],
            idempotency_key=headers.get("idempotency-key"),
            headers=[(n, v) for n, v in headers.items() if n not in protocol_headers],
        )
        await send(
            {
                "type": "http.response.start",
                "status": answer.status,
                "headers": [(n.encode(), v.encode()) for n, v in answer.headers] + [(b"x-app", b"1")],
            }
        )
        await send({"type": "http.response.body", "body": answer.body})

    async def send(self, spec: RequestSpec) -> Result:
        parts = [spec.body[:1000], spec.body[1000:]]
        inbox = [{"type": "http.request", "body": part, "more_body": i < 1} for i, part in enumerate(parts)]
        disconnected, sent = asyncio.Event(), []

        async def receive() -> Any:
            if inbox:
                return inbox.pop(0)
            await disconnected.wait()
            return {"type": "http.disconnect"}

        async def send(message: Any) -> None:
            sent.append(message)

        scope = {
            "type": "http",
            "asgi": {"version": "3.0"},
            "method": default_method(spec),
            "query_string": b"",
            "path": spec.path or f"/{spec.cls}",
            "headers": [(n.lower().encode(), v.encode()) for n, v in request_headers(spec).items()],
        }
        serving = asyncio.create_task(self._app(scope, receive, send))
        try:
            await asyncio.shield(serving)
        except asyncio.CancelledError:
            disconnected.set()
            await serving
            assert not sent
            raise
        headers = {n.decode(): v.decode() for n, v in sent[0]["headers"]}
        return result_from_status(sent[0]["status"], headers, sent[1]["body"], "x-app" in headers)


class StarletteInterface(AsgiInterface):
    """The middleware around a complete Starlette application with its own error handler."""

    def framework(self) -> Any:
        return Starlette(routes=[Mount("/", app=self._serve)])


class FastApiInterface(AsgiInterface):
    """The middleware around a complete FastAPI application."""

    def framework(self) -> Any:
        return FastAPI(routes=[Mount("/", app=self._serve)], openapi_url=None)


class HttpxInterface(Interface):
    @asynccontextmanager
    async def open_on(self, gateway: Gateway) -> AsyncIterator[None]:
        async with httpx.AsyncClient(transport=GatewayTransport(gateway), base_url="http://nodes") as self._client:
            yield

    async def send(self, spec: RequestSpec) -> Result:
        try:
            response = await self._client.request(
                default_method(spec),
                spec.path or f"/{spec.cls}",
                content=spec.body or None,
                headers={n: v for n, v in request_headers(spec).items() if n != "X-Deadline"},
                timeout=httpx.Timeout(None, read=spec.deadline),
            )
        except httpx.TransportError as error:
            assert isinstance(error.__cause__, GatewayError)
            return result_from_error(error.__cause__)
        headers = dict(response.headers)
        from_node = response.status_code not in OUTCOME_BY_STATUS or "x-node" in headers
        return result_from_status(response.status_code, headers, response.content, from_node)


INTERFACES: dict[str, type[Interface]] = {
    "daemon": DaemonInterface,
    "library": LibraryInterface,
    "asgi": AsgiInterface,
    "httpx": HttpxInterface,
    "starlette": StarletteInterface,
    "fastapi": FastApiInterface,
}
