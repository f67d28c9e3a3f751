"""The middleware with Starlette and FastAPI, and with an ASGI server's side played by hand."""

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
from .rig import at_rest, config, fleet_of, rig, run


async def issue(request: Request) -> PlainTextResponse:
    answer = await request.state.gateway.request(
        "issue", request_id=request.state.request_id, body=await request.body()
    )
    return PlainTextResponse(answer.body)


def by_hand(gateway: Gateway, *routes: Route, **more: Any) -> Any:
    """Round the whole framework, its own outermost error handler too."""
    return GatewayMiddleware(Starlette(routes=[Route("/issue", issue, methods=["POST"]), *routes]), gateway, **more)


def fast_by_hand(gateway: Gateway, *routes: Route, **more: Any) -> Any:
    app = FastAPI(routes=[Route("/issue", issue, methods=["POST"]), *routes])
    return GatewayMiddleware(app, gateway, **more)


def application(gateway: Gateway, *routes: Route, **more: Any) -> Any:
    return Starlette(
        routes=[Route("/issue", issue, methods=["POST"]), *routes],
        middleware=[Middleware(GatewayMiddleware, gateway=gateway, **more)],
    )


Wrap = Callable[..., Any]
WRAPS = (application, by_hand, fast_by_hand)


class Served:
    """What an ASGI server does: the lifespan, and requests whose messages a test can see and hold."""

    def __init__(self, app: Any) -> None:
        self.app = app
        self._inbox: asyncio.Queue[Any] = asyncio.Queue()
        self.said: asyncio.Queue[Any] = asyncio.Queue()

    async def up(self) -> Any:
        scope = {"type": "lifespan", "asgi": {"version": "3.0", "spec_version": "2.0"}, "state": {}}
        self.task = asyncio.create_task(self.app(scope, self._inbox.get, self.said.put))
        await self._inbox.put({"type": "lifespan.startup"})
        return (await self.said.get())["type"]

    async def down(self) -> Any:
        await self._inbox.put({"type": "lifespan.shutdown"})
        said = await self.said.get()
        await self.task
        return said["type"]

    def client(self) -> httpx.AsyncClient:
        return httpx.AsyncClient(transport=httpx.ASGITransport(self.app), base_url="http://app")

    def begin(self, path: str, headers: dict[str, str], parts: tuple[bytes, ...] = (b"",)) -> "Exchange":
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
async def served(
    count: int = 1, routes: tuple[Route, ...] = (), wrap: Wrap = application, **more: Any
) -> AsyncIterator[Any]:
    async with fleet_of(count) as (fleet, nodes):
        settled: list[Settled] = []
        gateway = Gateway(config(*nodes), on_settled=settled.append)
        server = Served(wrap(gateway, *routes, **more))
        assert await server.up() == "lifespan.startup.complete"
        yield server, gateway, fleet, settled
        assert await server.down() == "lifespan.shutdown.complete"
        assert gateway._node and gateway._node.descriptors.used == 0
        with pytest.raises(RuntimeError):
            await gateway.request("issue")


def test_it_takes_the_callers_id_and_deadline() -> None:
    async def test() -> None:
        async with served() as (server, _, fleet, _), server.client() as client:
            response = await client.post("/issue", headers={"X-Request-Id": "r", "X-Deadline": "0.4"}, content=b"ab")
            assert (response.status_code, response.text) == (200, "r")
            (asked,) = fleet.requests["r"]
            assert asked.body == b"ab" and float(asked.headers["x-deadline"]) <= 0.39
            response = await client.post("/issue")  # neither: an id is made up and the class's deadline holds
            assert response.status_code == 200 and fleet.requests_by_node.total() == 2

    run(test())


ERRORS = {"refused": ((RejectRequest(),) * 9, 503), "failed": ((Reset(),), 502), "late": ((Stall(),), 504)}


@pytest.mark.parametrize("wrap", WRAPS)
@pytest.mark.parametrize("name", ERRORS)
def test_what_the_gateway_raises_becomes_an_honest_status(name: str, wrap: Wrap) -> None:
    async def test() -> None:
        acts, status = ERRORS[name]
        async with served(wrap=wrap) as (server, _, fleet, _), server.client() as client:
            fleet.add_behaviors("r", *acts)
            response = await client.post("/issue", headers={"X-Request-Id": "r", "X-Deadline": "0.3"})
            assert response.status_code == status
            assert ("retry-after" in response.headers) is (status == 503)
            if status == 503:
                assert 0 < float(response.headers["retry-after"]) <= 2.0

    run(test())


@pytest.mark.parametrize("wrap", WRAPS)
def test_a_500_of_the_applications_own_goes_out_at_once_and_whole(wrap: Wrap) -> None:
    """Also one behind which the application works on: its client doesn't wait for that."""

    async def test() -> None:
        done = asyncio.Event()

        async def odd(request: Request) -> PlainTextResponse:
            return PlainTextResponse("own", 500, background=BackgroundTask(done.wait))

        async def streamed(request: Request) -> StreamingResponse:
            async def parts() -> AsyncIterator[bytes]:
                yield b"a"
                yield b"b"

            return StreamingResponse(parts(), 500)

        async def broken(request: Request) -> PlainTextResponse:
            raise ValueError("not the gateway's")

        routes = tuple(Route(f"/{f.__name__}", f, methods=["POST"]) for f in (odd, streamed, broken))
        async with served(routes=routes, wrap=wrap) as (server, *_):
            exchange = server.begin("/odd", {})
            await wait_until(lambda: len(exchange.sent) == 2)
            assert exchange.sent[0]["status"] == 500 and exchange.sent[1]["body"] == b"own"
            assert not exchange.task.done()
            done.set()
            await exchange.task
            exchange = server.begin("/streamed", {})
            await exchange.task
            assert b"".join(m["body"] for m in exchange.sent[1:]) == b"ab"
            exchange = server.begin("/broken", {})
            with pytest.raises(ValueError, match="not the gateway's"):
                await exchange.task
            assert [m["type"] for m in exchange.sent] == ["http.response.start", "http.response.body"]
            assert exchange.sent[0]["status"] == 500

    run(test())


def test_an_open_id_and_a_bad_request() -> None:
    async def strange(request: Request) -> PlainTextResponse:
        await request.state.gateway.request("strange")
        raise AssertionError("unreachable")

    async def test() -> None:
        async with served(routes=(Route("/strange", strange),)) as (server, _, fleet, _), server.client() as client:
            fleet.add_behaviors("r", Stall())
            first = asyncio.create_task(client.post("/issue", headers={"X-Request-Id": "r"}))
            await fleet.wait_for_arrival("r")
            assert (await client.post("/issue", headers={"X-Request-Id": "r"})).status_code == 409
            fleet.release("r")
            assert (await first).status_code == 200
            assert (await client.get("/strange")).status_code == 400

    run(test())


def test_an_error_past_the_headers_ends_the_connection() -> None:
    async def half(request: Request) -> StreamingResponse:
        async def parts() -> AsyncIterator[bytes]:
            yield b"begun"
            await request.state.gateway.request("issue", request_id="r")

        return StreamingResponse(parts())

    async def test() -> None:
        async with served(routes=(Route("/half", half, methods=["POST"]),)) as (server, _, fleet, _):
            fleet.add_behaviors("r", Reset())
            exchange = server.begin("/half", {})
            with pytest.raises(BaseException) as caught:
                await exchange.task
            found: BaseException = caught.value
            while isinstance(found, BaseExceptionGroup):
                (found,) = found.exceptions
            assert isinstance(found, Failed) and found.may_have_run
            assert [m["type"] for m in exchange.sent] == ["http.response.start", "http.response.body"]
            assert exchange.sent[1]["more_body"]  # never said to be whole

    run(test())


@pytest.mark.parametrize("parts", [(b"",), (b"ab", b"cd", b"ef")])
def test_a_disconnect_cancels_what_runs(parts: tuple[bytes, ...]) -> None:
    async def test() -> None:
        async with served() as (server, gateway, fleet, settled):
            fleet.add_behaviors("r", Stall())
            exchange = server.begin("/issue", {"X-Request-Id": "r"}, parts)
            await fleet.wait_for_arrival("r")
            exchange.disconnect()
            await exchange.task  # the cancel stays inside
            assert not exchange.sent
            fleet.release("r")
            await wait_until(lambda: at_rest(gateway))
            assert [(s.request_id, s.outcome) for s in settled] == [("r", "served")]
            assert fleet.effects["r"] == 1 and fleet.requests["r"][0].body == b"".join(parts)

    run(test())


def test_the_servers_own_cancel_goes_on() -> None:
    async def test() -> None:
        async with served() as (server, gateway, fleet, _):
            fleet.add_behaviors("r", Stall())
            exchange = server.begin("/issue", {"X-Request-Id": "r"})
            await fleet.wait_for_arrival("r")
            exchange.task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await exchange.task
            fleet.release("r")
            await wait_until(lambda: at_rest(gateway))

    run(test())


def test_a_long_body_is_read_no_further_than_the_application_reads() -> None:
    async def slow(request: Request) -> PlainTextResponse:
        stream = request.stream()
        assert await anext(stream) == b"a"
        await reading.wait()
        return PlainTextResponse(str(len([p async for p in stream])))

    reading = asyncio.Event()

    async def test() -> None:
        async with served(routes=(Route("/slow", slow, methods=["POST"]),)) as (server, _, _, _):
            exchange = server.begin("/slow", {}, (b"a",) * 50)
            for _ in range(50):
                await asyncio.sleep(0)
            assert exchange.reads <= 3
            reading.set()
            await exchange.task
            assert exchange.sent[1]["body"] == b"50"  # 49 and the empty one that ends Starlette's stream

    run(test())


def test_a_lifespan_that_ends_with_requests_open() -> None:
    async def test() -> None:
        async with served() as (server, _, fleet, _):
            fleet.add_behaviors("r", Stall())
            exchange = server.begin("/issue", {"X-Request-Id": "r"})
            await fleet.wait_for_arrival("r")
            ending = asyncio.create_task(server.down())
            await asyncio.sleep(0.02)
            assert not ending.done()
            fleet.release("r")
            await exchange.task
            assert exchange.sent[0]["status"] == 200
            assert await ending == "lifespan.shutdown.complete"
            assert await server.up() == "lifespan.startup.complete"  # for the end of `served`; it stays closed

    run(test())


def test_an_application_without_a_lifespan() -> None:
    async def bare(scope: Any, receive: Any, send: Any) -> None:
        assert scope["type"] == "http"
        answer = await scope["state"]["gateway"].request("issue")
        await send({"type": "http.response.start", "status": answer.status, "headers": []})
        await send({"type": "http.response.body", "body": answer.body})

    async def test(lifespan: bool) -> None:
        async with fleet_of() as (_, nodes):
            gateway = Gateway(config(*nodes))
            server = Served(GatewayMiddleware(bare, gateway))
            if lifespan:
                assert await server.up() == "lifespan.startup.complete"
            async with server.client() as client:
                assert (await client.post("/")).status_code == 200
            if lifespan:
                assert await server.down() == "lifespan.shutdown.complete"
                assert gateway._is_closed
            else:
                await gateway.close()

    run(test(True))
    run(test(False))


def test_an_application_that_fails_to_start_leaves_nothing() -> None:
    @asynccontextmanager
    async def broken(_: Any) -> AsyncIterator[None]:
        raise RuntimeError("no database")
        yield

    async def test() -> None:
        async with fleet_of() as (_, nodes):
            gateway = Gateway(config(*nodes))
            app = Starlette(lifespan=broken, middleware=[Middleware(GatewayMiddleware, gateway=gateway)])
            server = Served(app)
            assert await server.up() == "lifespan.startup.failed"
            with pytest.raises(RuntimeError):
                await server.task
            assert gateway._is_closed

    run(test())


def test_a_gateway_that_was_started_before_is_left_to_its_owner() -> None:
    async def test() -> None:
        async with rig() as r:
            server = Served(application(r.gateway))
            await server.up()
            await server.down()
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
        async with fleet_of() as (fleet, nodes):
            gateway = Gateway(config(*nodes))
            app.add_middleware(GatewayMiddleware, gateway=gateway, most=0.6)
            server = Served(app)
            assert await server.up() == "lifespan.startup.complete"
            fleet.add_behaviors("one", Reply(delay_s=0.1))
            async with server.client() as client:
                response = await client.post("/twice", headers={"X-Deadline": "soon"})  # unreadable: `most` holds
                assert response.json() == {"first": 200, "second": 200}
            one, two = (float(fleet.requests[r][0].headers["x-deadline"]) for r in ("one", "two"))
            assert one <= 0.59 and two <= 0.49
            assert await server.down() == "lifespan.shutdown.complete"

    run(test())
