"""The four faces behind one way to ask, and what each answer means."""

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

BY_STATUS = {
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
class Ask:
    """A request in everybody's terms."""

    cls: str
    rid: str
    path: str | None = None
    method: str | None = None
    body: bytes = b""
    deadline: float | None = 1.0
    key: str | None = None
    headers: dict[str, str] = field(default_factory=dict)


class Result(NamedTuple):
    """What the asker was told.  `may_have_run` is None on faces that can't tell."""

    outcome: str
    status: int = 0
    body: bytes = b""
    headers: dict[str, str] = {}  # noqa: RUF012
    retry_after: float | None = None
    may_have_run: bool | None = None


def by_status(status: int, headers: dict[str, str], body: bytes, node_said: bool) -> Result:
    """An HTTP face's answer; `node_said` where it is a node's, whatever its status."""
    outcome = "served" if node_said else BY_STATUS[status]
    after = float(headers["retry-after"]) if outcome == "refused" else None
    return Result(outcome, status, body, headers, after)


def of_error(error: GatewayError) -> Result:
    kinds = {
        Refused: "refused",
        DeadlineExceeded: "timed out",
        Failed: "failed",
        Conflict: "conflict",
        InvalidRequest: "invalid",
    }
    return Result(
        kinds[type(error)],
        retry_after=error.retry_after if isinstance(error, Refused) else None,
        may_have_run=error.may_have_run,
    )


def usual_method(ask: Ask) -> str:
    return ask.method or ("GET" if ask.cls.startswith("look") else "POST")


def head(ask: Ask) -> dict[str, str]:
    """The request's headers as the platform's protocol has them."""
    more = {"X-Deadline": f"{ask.deadline:.3f}"} if ask.deadline is not None else {}
    key = {"Idempotency-Key": ask.key} if ask.key is not None else {}
    return {"X-Request-Id": ask.rid, "X-Class": ask.cls, **more, **key, **ask.headers}


class Face:
    """A running face; `settled` is what the application was told of cancelled requests."""

    def __init__(self, config: Config) -> None:
        self.config, self.settled = config, list[Settled]()
        self.node: Node

    async def ask(self, ask: Ask) -> Result:
        raise NotImplementedError

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        gateway = Gateway(self.config, on_settled=self.settled.append)
        async with gateway:
            assert gateway._node
            self.node = gateway._node
            async with self.on(gateway):
                yield

    @asynccontextmanager
    async def on(self, gateway: Gateway) -> AsyncIterator[None]:
        yield


class DaemonFace(Face):
    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        sidecar = Sidecar(self.config._replace(listen=("127.0.0.1", 0)))
        self.node = sidecar.node
        self._caller = HttpClient(sidecar.server.port)
        try:
            yield
        finally:
            await self._caller.close()
            sidecar.close()
            await sidecar.node.upstream.wait_closed()

    async def ask(self, ask: Ask) -> Result:
        got = await self._caller.request(usual_method(ask), ask.path or f"/{ask.cls}", head(ask), ask.body)
        node_said = got.status in self.config.serves and (got.status not in BY_STATUS or "x-node" in got.headers)
        return by_status(got.status, got.headers, got.body, node_said)


class LibraryFace(Face):
    @asynccontextmanager
    async def on(self, gateway: Gateway) -> AsyncIterator[None]:
        self._gateway = gateway
        yield

    async def ask(self, ask: Ask) -> Result:
        try:
            answer = await self._gateway.request(
                ask.cls,
                path=ask.path,
                method=ask.method,
                body=ask.body,
                headers=list(ask.headers.items()),
                deadline=ask.deadline,
                request_id=ask.rid,
                idempotency_key=ask.key,
            )
        except GatewayError as error:
            return of_error(error)
        return Result("served", answer.status, answer.body, dict(answer.headers), None, True)


class AsgiFace(Face):
    """An application behind the middleware that calls a node for each request and answers what it answers.

    The server's side is played here, by the ASGI specification; a cancelled asker is a disconnect.
    """

    @asynccontextmanager
    async def on(self, gateway: Gateway) -> AsyncIterator[None]:
        self._gateway = gateway
        self._app = GatewayMiddleware(self.framework(), gateway)
        yield

    def framework(self) -> Any:
        """What the middleware is wrapped round: a bare application."""
        return self._serve

    async def _serve(self, scope: Any, receive: Any, send: Any) -> None:
        headers = {n.decode(): v.decode() for n, v in scope["headers"]}
        body, more = b"", True
        while more:
            message = await receive()
            body += message["body"]
            more = message.get("more_body", False)
        own = ("x-request-id", "x-class", "x-deadline", "idempotency-key")
        answer = await scope["state"]["gateway"].request(
            headers["x-class"],
            path=scope["path"],
            method=scope["method"],
            body=body,
            request_id=scope["state"]["request_id"],
            idempotency_key=headers.get("idempotency-key"),
            headers=[(n, v) for n, v in headers.items() if n not in own],
        )
        await send(
            {
                "type": "http.response.start",
                "status": answer.status,
                "headers": [(n.encode(), v.encode()) for n, v in answer.headers] + [(b"x-app", b"1")],
            }
        )
        await send({"type": "http.response.body", "body": answer.body})

    async def ask(self, ask: Ask) -> Result:
        parts = [ask.body[:1000], ask.body[1000:]]
        inbox = [{"type": "http.request", "body": part, "more_body": i < 1} for i, part in enumerate(parts)]
        gone, sent = asyncio.Event(), []

        async def receive() -> Any:
            if inbox:
                return inbox.pop(0)
            await gone.wait()
            return {"type": "http.disconnect"}

        async def send(message: Any) -> None:
            sent.append(message)

        scope = {
            "type": "http",
            "asgi": {"version": "3.0"},
            "method": usual_method(ask),
            "query_string": b"",
            "path": ask.path or f"/{ask.cls}",
            "headers": [(n.lower().encode(), v.encode()) for n, v in head(ask).items()],
        }
        serving = asyncio.create_task(self._app(scope, receive, send))
        try:
            await asyncio.shield(serving)
        except asyncio.CancelledError:
            gone.set()
            await serving
            assert not sent
            raise
        headers = {n.decode(): v.decode() for n, v in sent[0]["headers"]}
        return by_status(sent[0]["status"], headers, sent[1]["body"], "x-app" in headers)


class StarletteFace(AsgiFace):
    """The same wrapped by hand round a whole Starlette application, with its own handler of errors."""

    def framework(self) -> Any:
        return Starlette(routes=[Mount("/", app=self._serve)])


class FastApiFace(AsgiFace):
    """And round FastAPI's."""

    def framework(self) -> Any:
        return FastAPI(routes=[Mount("/", app=self._serve)], openapi_url=None)


class HttpxFace(Face):
    @asynccontextmanager
    async def on(self, gateway: Gateway) -> AsyncIterator[None]:
        async with httpx.AsyncClient(transport=GatewayTransport(gateway), base_url="http://nodes") as self._client:
            yield

    async def ask(self, ask: Ask) -> Result:
        try:
            response = await self._client.request(
                usual_method(ask),
                ask.path or f"/{ask.cls}",
                content=ask.body or None,
                headers={n: v for n, v in head(ask).items() if n != "X-Deadline"},
                timeout=httpx.Timeout(None, read=ask.deadline),
            )
        except httpx.TransportError as error:
            assert isinstance(error.__cause__, GatewayError)
            return of_error(error.__cause__)
        headers = dict(response.headers)
        node_said = response.status_code not in BY_STATUS or "x-node" in headers
        return by_status(response.status_code, headers, response.content, node_said)


FACES: dict[str, type[Face]] = {
    "daemon": DaemonFace,
    "library": LibraryFace,
    "asgi": AsgiFace,
    "httpx": HttpxFace,
    "starlette": StarletteFace,
    "fastapi": FastApiFace,
}
