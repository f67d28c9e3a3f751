"""Tests of the middleware with Starlette and FastAPI, under a minimal ASGI server."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import httpx
import pytest
from fastapi import Depends, FastAPI
from fastapi import Request as FastRequest
from starlette.applications import Starlette
from starlette.background import BackgroundTask
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import PlainTextResponse, StreamingResponse
from starlette.routing import Route

from gateusher import Failed, Gateway, Settled
from gateusher.asgi import GatewayMiddleware
from gateusher.standins.nodes import RejectRequest, Reply, Reset, Stall

from ..helpers import wait_until
from .rig import config, is_idle, open_fleet, rig, run


async def issue(request: Request) -> PlainTextResponse:
    answer = await request.state.gateway.request(
        "issue", request_id=request.state.request_id, body=await request.body()
    )
    return PlainTextResponse(answer.body)


def wrapped_starlette(gateway: Gateway, *routes: Route, **options: Any) -> Any:
    """Wrap the complete framework, including its outermost error handler."""
    return GatewayMiddleware(
        Starlette(routes=[Route("/issue", issue, methods=["POST"]), *routes]), gateway, **options
    )


def wrapped_fastapi(gateway: Gateway, *routes: Route, **options: Any) -> Any:
    app = FastAPI(routes=[Route("/issue", issue, methods=["POST"]), *routes])
    return GatewayMiddleware(app, gateway, **options)


def starlette_middleware(gateway: Gateway, *routes: Route, **options: Any) -> Any:
    return Starlette(
        routes=[Route("/issue", issue, methods=["POST"]), *routes],
        middleware=[Middleware(GatewayMiddleware, gateway=gateway, **options)],
    )


Wrap = Callable[..., Any]
WRAPS = (starlette_middleware, wrapped_starlette, wrapped_fastapi)


class AsgiServer:
    """A minimal ASGI server: the lifespan, and requests whose messages a test can inspect and delay."""

    def __init__(self, app: Any) -> None:
        self.app = app
        self._inbox: asyncio.Queue[Any] = asyncio.Queue()
        self.reported: asyncio.Queue[Any] = asyncio.Queue()

    async def start(self) -> Any:
        scope = {"type": "lifespan", "asgi": {"version": "3.0", "spec_version": "2.0"}, "state": {}}
        self.task = asyncio.create_task(self.app(scope, self._inbox.get, self.reported.put))
        await self._inbox.put({"type": "lifespan.startup"})
        return (await self.reported.get())["type"]

    async def stop(self) -> Any:
        await self._inbox.put({"type": "lifespan.shutdown"})
        reported = await self.reported.get()
        await self.task
        return reported["type"]

    def client(self) -> httpx.AsyncClient:
        return httpx.AsyncClient(transport=httpx.ASGITransport(self.app), base_url="http://app")

    def start_request(self, path: str, headers: dict[str, str], parts: tuple[bytes, ...] = (b"",)) -> "Exchange":
        return Exchange(self.app, path, headers, parts)


class Exchange:
    def __init__(self, app: Any, path: str, headers: dict[str, str], parts: tuple[bytes, ...]) -> None:
        self.inbox: asyncio.Queue[Any] = asyncio.Queue()
        self.sent: list[Any] = []
        self.reads = 0
        for i, part in enumerate(parts):
            self.inbox.put_nowait({"type": "http.request", "body": part, "more_body": i < len(parts) - 1})
        scope = {
            "type": "http",
            "asgi": {"version": "3.0"},
            "http_version": "1.1",
            "method": "POST",
            "path": path,
            "raw_path": path.encode(),
            "root_path": "",
            "scheme": "http",
            "query_string": b"",
            "client": ("127.0.0.1", 1),
            "server": ("127.0.0.1", 2),
            "state": {},
            "headers": [(n.lower().encode(), v.encode()) for n, v in headers.items()],
        }
        self.task = asyncio.create_task(app(scope, self._receive, self._send))

    async def _receive(self) -> Any:
        self.reads += 1
        return await self.inbox.get()

    async def _send(self, message: Any) -> None:
        self.sent.append(message)

    def disconnect(self) -> None:
        self.inbox.put_nowait({"type": "http.disconnect"})


@asynccontextmanager
async def open_server(
    count: int = 1, routes: tuple[Route, ...] = (), wrap: Wrap = starlette_middleware, **options: Any
) -> AsyncIterator[Any]:
    async with open_fleet(count) as (fleet, nodes):
        settled: list[Settled] = []
        gateway = Gateway(config(*nodes), on_settled=settled.append)
        server = AsgiServer(wrap(gateway, *routes, **options))
        assert await server.start() == "lifespan.startup.complete"
        yield server, gateway, fleet, settled
        assert await server.stop() == "lifespan.shutdown.complete"
        assert gateway._node and gateway._node.descriptors.used == 0
        with pytest.raises(RuntimeError):
            await gateway.request("issue")


def test_callers_id_and_deadline_are_used() -> None:
    async def test() -> None:
        async with open_server() as (server, _, fleet, _), server.client() as client:
            response = await client.post("/issue", headers={"X-Request-Id": "r", "X-Deadline": "0.4"}, content=b"ab")
            assert (response.status_code, response.text) == (200, "r")
            (received,) = fleet.requests["r"]
            assert received.body == b"ab" and float(received.headers["x-deadline"]) <= 0.39
            response = await client.post("/issue")  # neither: the id is generated and the class's deadline applies
            assert response.status_code == 200 and fleet.requests_by_node.total() == 2

    run(test())


ERRORS = {"refused": ((RejectRequest(),) * 9, 503), "failed": ((Reset(),), 502), "late": ((Stall(),), 504)}


@pytest.mark.parametrize("wrap", WRAPS)
@pytest.mark.parametrize("name", ERRORS)
def test_gateway_errors_map_to_statuses(name: str, wrap: Wrap) -> None:
    async def test() -> None:
        behaviors, status = ERRORS[name]
        async with open_server(wrap=wrap) as (server, _, fleet, _), server.client() as client:
            fleet.add_behaviors("r", *behaviors)
            response = await client.post("/issue", headers={"X-Request-Id": "r", "X-Deadline": "0.3"})
            assert response.status_code == status
            assert ("retry-after" in response.headers) is (status == 503)
            if status == 503:
                assert 0 < float(response.headers["retry-after"]) <= 2.0

    run(test())


@pytest.mark.parametrize("wrap", WRAPS)
def test_500_of_the_application_is_sent_completely_and_at_once(wrap: Wrap) -> None:
    """Includes a 500 with a background task: the client must not wait for the task."""

    async def test() -> None:
        done = asyncio.Event()

        async def own_error(request: Request) -> PlainTextResponse:
            return PlainTextResponse("own", 500, background=BackgroundTask(done.wait))

        async def streamed(request: Request) -> StreamingResponse:
            async def parts() -> AsyncIterator[bytes]:
                yield b"a"
                yield b"b"

            return StreamingResponse(parts(), 500)

        async def broken(request: Request) -> PlainTextResponse:
            raise ValueError("raised by the application")

        routes = tuple(Route(f"/{f.__name__}", f, methods=["POST"]) for f in (own_error, streamed, broken))
        async with open_server(routes=routes, wrap=wrap) as (server, *_):
            exchange = server.start_request("/own_error", {})
            await wait_until(lambda: len(exchange.sent) == 2)
            assert exchange.sent[0]["status"] == 500 and exchange.sent[1]["body"] == b"own"
            assert not exchange.task.done()
            done.set()
            await exchange.task
            exchange = server.start_request("/streamed", {})
            await exchange.task
            assert b"".join(m["body"] for m in exchange.sent[1:]) == b"ab"
            exchange = server.start_request("/broken", {})
            with pytest.raises(ValueError, match="raised by the application"):
                await exchange.task
            assert [m["type"] for m in exchange.sent] == ["http.response.start", "http.response.body"]
            assert exchange.sent[0]["status"] == 500

    run(test())


def test_conflict_and_invalid_request() -> None:
    async def unknown_class(request: Request) -> PlainTextResponse:
        await request.state.gateway.request("strange")
        raise AssertionError("unreachable")

    async def test() -> None:
        async with (
            open_server(routes=(Route("/strange", unknown_class),)) as (server, _, fleet, _),
            server.client() as client,
        ):
            fleet.add_behaviors("r", Stall())
            first = asyncio.create_task(client.post("/issue", headers={"X-Request-Id": "r"}))
            await fleet.wait_for_arrival("r")
            assert (await client.post("/issue", headers={"X-Request-Id": "r"})).status_code == 409
            fleet.release("r")
            assert (await first).status_code == 200
            assert (await client.get("/strange")).status_code == 400

    run(test())


def test_error_after_the_headers_is_raised() -> None:
    async def half(request: Request) -> StreamingResponse:
        async def parts() -> AsyncIterator[bytes]:
            yield b"begun"
            await request.state.gateway.request("issue", request_id="r")

        return StreamingResponse(parts())

    async def test() -> None:
        async with open_server(routes=(Route("/half", half, methods=["POST"]),)) as (server, _, fleet, _):
            fleet.add_behaviors("r", Reset())
            exchange = server.start_request("/half", {})
            with pytest.raises(BaseException) as caught:
                await exchange.task
            found: BaseException = caught.value
            while isinstance(found, BaseExceptionGroup):
                (found,) = found.exceptions
            assert isinstance(found, Failed) and found.may_have_run
            assert [m["type"] for m in exchange.sent] == ["http.response.start", "http.response.body"]
            assert exchange.sent[1]["more_body"]  # the response is never marked as complete

    run(test())


@pytest.mark.parametrize("parts", [(b"",), (b"ab", b"cd", b"ef")])
def test_disconnect_cancels_the_application(parts: tuple[bytes, ...]) -> None:
    async def test() -> None:
        async with open_server() as (server, gateway, fleet, settled):
            fleet.add_behaviors("r", Stall())
            exchange = server.start_request("/issue", {"X-Request-Id": "r"}, parts)
            await fleet.wait_for_arrival("r")
            exchange.disconnect()
            await exchange.task  # the cancellation does not propagate to the server
            assert not exchange.sent
            fleet.release("r")
            await wait_until(lambda: is_idle(gateway))
            assert [(s.request_id, s.outcome) for s in settled] == [("r", "served")]
            assert fleet.effects["r"] == 1 and fleet.requests["r"][0].body == b"".join(parts)

    run(test())


def test_cancellation_by_the_server_propagates() -> None:
    async def test() -> None:
        async with open_server() as (server, gateway, fleet, _):
            fleet.add_behaviors("r", Stall())
            exchange = server.start_request("/issue", {"X-Request-Id": "r"})
            await fleet.wait_for_arrival("r")
            exchange.task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await exchange.task
            fleet.release("r")
            await wait_until(lambda: is_idle(gateway))

    run(test())


def test_read_ahead_of_a_long_body_is_bounded() -> None:
    async def slow(request: Request) -> PlainTextResponse:
        stream = request.stream()
        assert await anext(stream) == b"a"
        await reading.wait()
        return PlainTextResponse(str(len([p async for p in stream])))

    reading = asyncio.Event()

    async def test() -> None:
        async with open_server(routes=(Route("/slow", slow, methods=["POST"]),)) as (server, _, _, _):
            exchange = server.start_request("/slow", {}, (b"a",) * 50)
            for _ in range(50):
                await asyncio.sleep(0)
            assert exchange.reads <= 3
            reading.set()
            await exchange.task
            assert exchange.sent[1]["body"] == b"50"  # 49 parts and the empty one that ends Starlette's stream

    run(test())


def test_shutdown_waits_for_open_requests() -> None:
    async def test() -> None:
        async with open_server() as (server, _, fleet, _):
            fleet.add_behaviors("r", Stall())
            exchange = server.start_request("/issue", {"X-Request-Id": "r"})
            await fleet.wait_for_arrival("r")
            ending = asyncio.create_task(server.stop())
            await asyncio.sleep(0.02)
            assert not ending.done()
            fleet.release("r")
            await exchange.task
            assert exchange.sent[0]["status"] == 200
            assert await ending == "lifespan.shutdown.complete"
            # For the cleanup of `open_server`; the gateway stays closed.
            assert await server.start() == "lifespan.startup.complete"

    run(test())


def test_application_without_a_lifespan() -> None:
    async def bare(scope: Any, receive: Any, send: Any) -> None:
        assert scope["type"] == "http"
        answer = await scope["state"]["gateway"].request("issue")
        await send({"type": "http.response.start", "status": answer.status, "headers": []})
        await send({"type": "http.response.body", "body": answer.body})

    async def test(lifespan: bool) -> None:
        async with open_fleet() as (_, nodes):
            gateway = Gateway(config(*nodes))
            server = AsgiServer(GatewayMiddleware(bare, gateway))
            if lifespan:
                assert await server.start() == "lifespan.startup.complete"
            async with server.client() as client:
                assert (await client.post("/")).status_code == 200
            if lifespan:
                assert await server.stop() == "lifespan.shutdown.complete"
                assert gateway._is_closed
            else:
                await gateway.close()

    run(test(True))
    run(test(False))


def test_failed_startup_closes_the_gateway() -> None:
    @asynccontextmanager
    async def broken(_: Any) -> AsyncIterator[None]:
        raise RuntimeError("no database")
        yield

    async def test() -> None:
        async with open_fleet() as (_, nodes):
            gateway = Gateway(config(*nodes))
            app = Starlette(lifespan=broken, middleware=[Middleware(GatewayMiddleware, gateway=gateway)])
            server = AsgiServer(app)
            assert await server.start() == "lifespan.startup.failed"
            with pytest.raises(RuntimeError):
                await server.task
            assert gateway._is_closed

    run(test())


def test_gateway_that_is_already_started_is_not_closed() -> None:
    async def test() -> None:
        async with rig() as r:
            server = AsgiServer(starlette_middleware(r.gateway))
            await server.start()
            await server.stop()
            assert (await r.gateway.request("issue", request_id="r")).body == b"r"

    run(test())


def test_fastapi_with_a_dependency_and_the_inherited_deadline() -> None:
    app = FastAPI()

    def gateway_of(request: FastRequest) -> Gateway:
        gateway: Gateway = request.state.gateway
        return gateway

    @app.post("/twice")
    async def twice(gateway: Gateway = Depends(gateway_of)) -> dict[str, int]:  # noqa: B008
        first = await gateway.request("look", request_id="one", deadline=5.0)
        second = await asyncio.gather(gateway.request("issue", request_id="two"))
        return {"first": first.status, "second": second[0].status}

    async def test() -> None:
        async with open_fleet() as (fleet, nodes):
            gateway = Gateway(config(*nodes))
            app.add_middleware(GatewayMiddleware, gateway=gateway, most=0.6)
            server = AsgiServer(app)
            assert await server.start() == "lifespan.startup.complete"
            fleet.add_behaviors("one", Reply(delay_s=0.1))
            async with server.client() as client:
                response = await client.post("/twice", headers={"X-Deadline": "soon"})  # malformed: `most` applies
                assert response.json() == {"first": 200, "second": 200}
            one, two = (float(fleet.requests[r][0].headers["x-deadline"]) for r in ("one", "two"))
            assert one <= 0.59 and two <= 0.49
            assert await server.stop() == "lifespan.shutdown.complete"

    run(test())
