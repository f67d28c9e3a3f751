"""Tests of the httpx transport through an `httpx.AsyncClient`."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpx
import pytest

from gateusher import Failed
from gateusher.httpx import GatewayTransport
from gateusher.standins.nodes import RejectRequest, Reply, Reset, Stall

from ..helpers import wait_until
from .rig import Rig, is_idle, rig, run


@asynccontextmanager
async def open_client(r: Rig, **options: object) -> AsyncIterator[httpx.AsyncClient]:
    async with httpx.AsyncClient(transport=GatewayTransport(r.gateway), base_url="http://nodes", **options) as client:  # type: ignore
        yield client


def test_request_and_response() -> None:
    async def test() -> None:
        async with rig() as r, open_client(r) as client:
            r.fleet.add_behaviors(
                "r", Reply(201, b"made", (("Content-Type", "text/plain"), ("X-A", "1"), ("X-A", "2")))
            )
            response = await client.post(
                "/issue/new",
                params={"a": "b c"},
                json={"x": 1},
                headers={"X-Request-Id": "r", "Authorization": "Basic a"},
            )
            assert (response.status_code, response.text) == (201, "made")
            assert response.headers.get_list("x-a") == ["1", "2"]
            (received,) = r.fleet.requests["r"]
            assert (received.method, received.target, received.body) == ("POST", "/issue/new?a=b+c", b'{"x":1}')
            assert received.headers["content-type"] == "application/json"
            assert received.headers["authorization"] == "Basic a" and received.headers["host"] == "nodes"

    run(test())


@pytest.mark.parametrize("follow", [False, True])
def test_redirects_are_left_to_the_client(follow: bool) -> None:
    async def test() -> None:
        async with rig() as r, open_client(r, follow_redirects=follow) as client:
            r.fleet.add_behaviors("r", Reply(302, headers=(("Location", "/look/elsewhere"),)))
            response = await client.get("/look/here", headers={"X-Request-Id": "r"})
            assert response.status_code == (200 if follow else 302)
            assert [h.status_code for h in response.history] == ([302] if follow else [])
            assert [a.target for a in r.fleet.requests["r"]] == ["/look/here", "/look/elsewhere"][: 1 + follow]

    run(test())


def test_streamed_request_and_response() -> None:
    async def test() -> None:
        async with rig() as r, open_client(r) as client:

            async def request_body() -> AsyncIterator[bytes]:
                for _ in range(4):
                    await asyncio.sleep(0)
                    yield b"xy"

            r.fleet.add_behaviors("r", Reply(200, b"d" * 50000, parts=20))
            async with client.stream(
                "POST", "/issue", content=request_body(), headers={"X-Request-Id": "r"}
            ) as response:
                parts = [part async for part in response.aiter_bytes(1000)]
            assert b"".join(parts) == b"d" * 50000 and len(parts) == 50
            assert r.fleet.requests["r"][0].body == b"xy" * 4
            assert "transfer-encoding" not in r.fleet.requests["r"][0].headers

    run(test())


def test_errors_map_to_httpx_exceptions() -> None:
    async def test() -> None:
        async with rig() as r, open_client(r, timeout=httpx.Timeout(0.2)) as client:
            r.fleet.add_behaviors("late", Stall())
            with pytest.raises(httpx.ReadTimeout) as late:
                await client.post("/issue", headers={"X-Request-Id": "late"})
            r.fleet.add_behaviors("reset", Reset())
            with pytest.raises(httpx.ReadError) as reset:
                await client.post("/issue", headers={"X-Request-Id": "reset"})
            for caught in (late, reset):
                assert isinstance(caught.value.__cause__, Failed) and caught.value.__cause__.may_have_run
            with pytest.raises(httpx.LocalProtocolError):
                await client.post("/strange")
            r.fleet.add_behaviors("full", *([RejectRequest()] * 9))
            response = await client.post("/issue", headers={"X-Request-Id": "full"})
            assert response.status_code == 503 and 0 < float(response.headers["retry-after"]) <= 2
            with pytest.raises(httpx.HTTPStatusError):
                response.raise_for_status()

            async def never() -> AsyncIterator[bytes]:
                await asyncio.sleep(60)
                yield b""

            with pytest.raises(httpx.ConnectTimeout):  # nothing was sent
                await client.post("/issue", content=never(), headers={"X-Request-Id": "never"})
            assert not r.fleet.attempts["never"]
            await wait_until(lambda: is_idle(r.gateway))

    run(test())


def test_class_deadline_without_timeout_and_gateway_stays_open() -> None:
    async def test() -> None:
        async with rig() as r:
            async with open_client(r, timeout=None) as client:
                await client.post("/issue", headers={"X-Request-Id": "r"})
                await client.get("/x/y", extensions={"gateusher_class": "look"})
            assert 0.5 < float(r.fleet.requests["r"][0].headers["x-deadline"]) <= 1.0
            await r.gateway.request("issue")
        async with open_client(r) as client:
            with pytest.raises(httpx.ConnectError):
                await client.post("/issue")

    run(test())
